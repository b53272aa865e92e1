package agreement

import (
	"slices"

	"go.etcd.io/raft/v3/tracker"
)

type raftProgress = tracker.Progress

// renewals is how often a gateway asks for its lease in the time of one: two may be lost.
const renewalsPerLease = 4

// urgent is how often a gateway asks that may not act: nobody in a fleet without a leader waits long for its lease once
// there is one again.
const urgentRenewalsPerLease = 16

// holder is what a gateway holds of what is agreed on.
type holder struct {
	a              *Agreement
	voters         []ID // that it asks, the present one first
	renewAt        int64
	lastRenewAt    int64
	answered       bool // since it asked
	leaseUntil     int64
	manifest       Manifest
	next           *Manifest // of which texts are fetched
	healthyVersion uint64    // the latest version that was tried here and is well
	pending        *Manifest // that the host prepares for
	source         ID        // from whom
	fetchDigest    Digest    // of the manifest that is fetched
	fetchSize      int
	fetchRevision  uint64
}

// Leased tells until when this gateway may act on what it holds. It is to be asked at each decision, with the time of
// that: past it the gateway is careful.
func (a *Agreement) LeaseUntil() (until int64) { return a.holder.leaseUntil }

// Held is what this gateway holds of what is agreed on.
func (a *Agreement) Manifest() *Manifest { return &a.holder.manifest }

// Well tells that a version which this gateway tries is well with it.
func (a *Agreement) ReportHealthy(no uint64) {
	a.holder.healthyVersion = max(a.holder.healthyVersion, no)
	a.holder.renewAt = a.now
}

// Coming is what the host is to act on next, nil if that is what Held tells.
func (a *Agreement) Pending() *Manifest { return a.holder.pending }

// Adopt tells that the host acts on what Coming told, if that was of this stamp: then this gateway says that it knows it.
func (a *Agreement) Adopt(stamp uint64) {
	h := &a.holder
	if h.pending == nil || h.pending.Revision != stamp {
		return
	}
	h.manifest, h.pending, h.next = *h.pending, nil, nil
	a.texts.retain(&h.manifest)
	h.updateVoters()
	h.renew()
}

// Text gives the text of a version that Held or Coming tells of, nil if it is not kept.
func (a *Agreement) Text(d Digest) []byte { return a.texts.get(d) }

// Book is all that is agreed on as this voter has it, nil at a gateway that does not vote.
func (a *Agreement) State() *State {
	if a.voter == nil {
		return nil
	}
	return a.voter.state
}

// Role tells how it stands to the log: whether it votes, who leads as it knows, in which term, and until when it may
// let others act.
func (a *Agreement) Role() (votes bool, leader ID, term uint64, grants int64) {
	if a.voter == nil {
		return false, 0, 0, 0
	}
	st := a.voter.node.BasicStatus()
	return a.voter.isVoter(), ID(st.Lead), st.Term, a.voter.grantUntil()
}

// asMember is this gateway's entry of the list, nil where it is none.
func (h *holder) ownEntry() *Gateway {
	return (&State{Gateways: h.manifest.Gateways}).Gateway(h.a.config.Self)
}

// round asks for the lease, and another voter where one is silent.
func (h *holder) round() {
	h.fetchManifest()
	if h.a.now < h.renewAt || len(h.voters) == 0 && h.a.voter == nil {
		return
	}
	span := h.a.config.Lease / renewalsPerLease
	if h.a.now >= h.leaseUntil {
		span = h.a.config.Lease / urgentRenewalsPerLease
	}
	if !h.answered && h.lastRenewAt > 0 && len(h.voters) > 1 {
		h.voters = append(h.voters[1:], h.voters[0])
	}
	h.renew()
	h.renewAt = h.a.now + span*3/4 + h.a.jitter(span/4)
}

func (h *holder) renew() {
	h.lastRenewAt, h.answered = h.a.now, false
	h.a.send(Message{Kind: Renew, To: h.renewTarget(), SentAt: h.a.now, Epoch: h.a.config.Epoch, KnownRevision: h.manifest.Revision, HealthyVersion: h.healthyVersion})
}

// voter is whom it asks: itself, where it votes and may grant.
func (h *holder) renewTarget() ID {
	me := h.ownEntry()
	if v := h.a.voter; v != nil && (len(h.voters) == 0 || v.grantUntil() > h.a.now && (me == nil || me.Vote)) {
		return h.a.config.Self
	}
	return h.voters[0]
}

// granted takes a voter's answer, or its word that something has changed.
func (h *holder) handleGrant(m *Message) {
	if m.Echo != 0 && m.Epoch != h.a.config.Epoch {
		return // to a question of a former start
	}
	if m.Echo != 0 && (m.Remaining > 0 || m.Revision > h.manifest.Revision) {
		h.answered = true
	}
	if m.Remaining > 0 && m.Echo != 0 && m.Revision <= h.manifest.Revision {
		h.leaseUntil = max(h.leaseUntil, m.Echo+m.Remaining)
	}
	if m.Revision > max(h.manifest.Revision, h.fetchRevision) && m.Size > 0 {
		// What is nearly here is not given up for what comes later: while many join one after another that would be for ever.
		if bytes, comes := h.a.texts.missingBytes(h.fetchDigest); h.fetchRevision > h.manifest.Revision && h.next == nil && comes && bytes <= m.Size {
			return
		}
		h.source, h.fetchDigest, h.fetchSize, h.fetchRevision, h.next = m.From, m.Digest, m.Size, m.Revision, nil
	}
}

// fetches gets what it lacks of the latest that it heard of: the manifest, then its texts. It holds all of it or none.
func (h *holder) fetchManifest() {
	if h.fetchRevision <= h.manifest.Revision || h.pending != nil && h.fetchRevision <= h.pending.Revision {
		return
	}
	if h.next == nil {
		text := h.a.texts.getOrFetch(h.source, h.fetchDigest, h.fetchSize)
		if text == nil {
			if h.a.texts.takeFailed(h.fetchDigest) { // it changed again meanwhile; the next answer tells of that
				h.fetchRevision = h.manifest.Revision
			}
			return
		}
		var m Manifest
		if m.unpack(text) != nil || m.Revision <= h.manifest.Revision || !m.completeFrom(&h.manifest) {
			h.fetchRevision = h.manifest.Revision
			return
		}
		h.next = &m
	}
	whole := true
	for _, s := range h.next.Subjects {
		for _, v := range []*Version{s.InForce, s.Next} {
			if v != nil && h.a.texts.getOrFetch(h.source, v.Digest, v.Size) == nil {
				whole = false
				if h.a.texts.takeFailed(v.Digest) {
					h.fetchRevision = h.manifest.Revision
					return
				}
			}
		}
	}
	if !whole {
		return
	}
	if h.pending == nil || h.pending.Revision < h.next.Revision {
		h.pending = h.next
		h.a.decisions = append(h.a.decisions, Decision{Kind: Prepare})
	}
}

// follow takes over who votes: the one that it asks stays if it still does.
func (h *holder) updateVoters() {
	var ids []ID
	for _, g := range h.manifest.Gateways {
		if g.Vote && g.ID != h.a.config.Self {
			ids = append(ids, g.ID)
		}
	}
	if len(ids) == 0 {
		return
	}
	slices.Sort(ids)
	// Each begins elsewhere, so that voters share the fleet.
	first := int(uint64(h.a.config.Self) % uint64(len(ids)))
	if i := slices.Index(ids, h.firstVoter()); i >= 0 {
		first = i
	}
	h.voters = append(slices.Clone(ids[first:]), ids[:first]...)
}

func (h *holder) firstVoter() ID {
	if len(h.voters) == 0 {
		return 0
	}
	return h.voters[0]
}

func (h *holder) nextDeadline() int64 {
	if len(h.voters) == 0 && h.a.voter == nil {
		return h.a.now + h.a.config.Lease
	}
	return h.renewAt
}
