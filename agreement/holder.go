package agreement

import (
	"slices"

	"go.etcd.io/raft/v3/tracker"
)

type raftProgress = tracker.Progress

// renewalsPerLease is how often a gateway renews its lease during one: two requests may be lost.
const renewalsPerLease = 4

// urgentRenewalsPerLease applies to a gateway without a lease, so that after an election no gateway waits long for
// one.
const urgentRenewalsPerLease = 16

// holder is a gateway's copy of the agreed state, and its lease.
type holder struct {
	a              *Agreement
	voters         []ID // to ask for a lease, the current one first
	renewAt        int64
	lastRenewAt    int64
	answered       bool // since the last request
	leaseUntil     int64
	manifest       Manifest
	next           *Manifest // its texts are being fetched
	healthyVersion uint64    // latest version that was tried here and found healthy
	pending        *Manifest // the host prepares to act on it
	source         ID        // gateway to fetch from
	fetchDigest    Digest    // of the manifest that is being fetched
	fetchSize      int
	fetchRevision  uint64
}

// LeaseUntil is until when this gateway may act on what it holds. Check it at each decision, against the time of the
// decision: once it has expired the gateway may decide only what needs no lease.
func (a *Agreement) LeaseUntil() (until int64) { return a.holder.leaseUntil }

// Manifest is this gateway's copy of the agreed state.
func (a *Agreement) Manifest() *Manifest { return &a.holder.manifest }

// ReportHealthy reports that a version that this gateway tries is healthy here.
func (a *Agreement) ReportHealthy(no uint64) {
	a.holder.healthyVersion = max(a.holder.healthyVersion, no)
	a.holder.renewAt = a.now
}

// Pending is the manifest that the host has to act on next, nil if there is none besides Manifest.
func (a *Agreement) Pending() *Manifest { return a.holder.pending }

// Adopt reports that the host acts on Pending, if it still has this revision: only then does this gateway claim to
// know it.
func (a *Agreement) Adopt(revision uint64) {
	h := &a.holder
	if h.pending == nil || h.pending.Revision != revision {
		return
	}
	h.manifest, h.pending, h.next = *h.pending, nil, nil
	a.texts.retain(&h.manifest)
	h.updateVoters()
	h.renew()
}

// Text returns the text of a version in Manifest or Pending, nil if it is not kept.
func (a *Agreement) Text(d Digest) []byte { return a.texts.get(d) }

// State returns the replicated state of this voter, nil at a gateway that does not vote.
func (a *Agreement) State() *State {
	if a.voter == nil {
		return nil
	}
	return a.voter.state
}

// Role reports whether this gateway votes, the leader and term that it knows, and until when it may grant leases.
func (a *Agreement) Role() (votes bool, leader ID, term uint64, grants int64) {
	if a.voter == nil {
		return false, 0, 0, 0
	}
	st := a.voter.node.BasicStatus()
	return a.voter.isVoter(), ID(st.Lead), st.Term, a.voter.grantUntil()
}

// ownEntry returns this gateway's entry in the list, nil if it is not listed.
func (h *holder) ownEntry() *Gateway {
	return (&State{Gateways: h.manifest.Gateways}).Gateway(h.a.config.Self)
}

// round renews the lease, and switches to another voter if one does not answer.
func (h *holder) round() {
	h.fetchManifest()
	if h.a.now < h.renewAt || len(h.voters) == 0 && h.a.voter == nil {
		return
	}
	interval := h.a.config.Lease / renewalsPerLease
	if h.a.now >= h.leaseUntil {
		interval = h.a.config.Lease / urgentRenewalsPerLease
	}
	if !h.answered && h.lastRenewAt > 0 && len(h.voters) > 1 {
		h.voters = append(h.voters[1:], h.voters[0])
	}
	h.renew()
	h.renewAt = h.a.now + interval*3/4 + h.a.jitter(interval/4)
}

func (h *holder) renew() {
	h.lastRenewAt, h.answered = h.a.now, false
	h.a.send(Message{Kind: Renew, To: h.renewTarget(), SentAt: h.a.now, Epoch: h.a.config.Epoch, KnownRevision: h.manifest.Revision, HealthyVersion: h.healthyVersion})
}

// renewTarget is the voter to ask: itself, if it votes and may grant leases.
func (h *holder) renewTarget() ID {
	own := h.ownEntry()
	if v := h.a.voter; v != nil && (len(h.voters) == 0 || v.grantUntil() > h.a.now && (own == nil || own.Vote)) {
		return h.a.config.Self
	}
	return h.voters[0]
}

// handleGrant handles a response to a renewal, or a voter's notification of a change.
func (h *holder) handleGrant(m *Message) {
	if m.Echo != 0 && m.Epoch != h.a.config.Epoch {
		return // response to a request of an earlier start
	}
	if m.Echo != 0 && (m.Remaining > 0 || m.Revision > h.manifest.Revision) {
		h.answered = true
	}
	if m.Remaining > 0 && m.Echo != 0 && m.Revision <= h.manifest.Revision {
		h.leaseUntil = max(h.leaseUntil, m.Echo+m.Remaining)
	}
	if m.Revision > max(h.manifest.Revision, h.fetchRevision) && m.Size > 0 {
		// A nearly complete fetch is not dropped for a later revision: while many gateways join one after another, no fetch
		// would ever finish.
		if missing, arriving := h.a.texts.missingBytes(h.fetchDigest); h.fetchRevision > h.manifest.Revision && h.next == nil && arriving && missing <= m.Size {
			return
		}
		h.source, h.fetchDigest, h.fetchSize, h.fetchRevision, h.next = m.From, m.Digest, m.Size, m.Revision, nil
	}
}

// fetchManifest fetches the latest manifest that it was notified of, then its texts. It takes over all of it or
// nothing.
func (h *holder) fetchManifest() {
	if h.fetchRevision <= h.manifest.Revision || h.pending != nil && h.fetchRevision <= h.pending.Revision {
		return
	}
	if h.next == nil {
		text := h.a.texts.getOrFetch(h.source, h.fetchDigest, h.fetchSize)
		if text == nil {
			if h.a.texts.takeFailed(h.fetchDigest) { // the state changed again meanwhile; the next response names the new one
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
	complete := true
	for _, s := range h.next.Subjects {
		for _, v := range []*Version{s.InForce, s.Next} {
			if v != nil && h.a.texts.getOrFetch(h.source, v.Digest, v.Size) == nil {
				complete = false
				if h.a.texts.takeFailed(v.Digest) {
					h.fetchRevision = h.manifest.Revision
					return
				}
			}
		}
	}
	if !complete {
		return
	}
	if h.pending == nil || h.pending.Revision < h.next.Revision {
		h.pending = h.next
		h.a.decisions = append(h.a.decisions, Decision{Kind: Prepare})
	}
}

// updateVoters takes over the voters of the manifest. The one that is asked now stays first if it still votes.
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
	// Gateways begin at different voters, which spreads the load.
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
