package agreement

import (
	"fmt"
	"maps"
	"slices"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

// Leases form a chain. The leader acts by promises of a majority of voters: with its answer to a heartbeat each
// voter promises not to vote for another candidate for a while. Other voters grant leases no longer than the leader
// allowed, and gateways act no longer than a voter granted. Each duration counts from the time a request was sent,
// by the sender's clock, so neither network delay nor clock offset matters, only that clocks run at the same rate.

// leaseGrant is until when a gateway may act, and what it knew at its last request.
type leaseGrant struct {
	knownRevision  uint64
	until          int64
	healthyVersion uint64
}

// leaderUntil is until when the leader may act and delegate: one lease after the latest heartbeat that a majority,
// including itself, has answered.
func (v *voter) leaderUntil() int64 {
	if v.leadTerm == 0 {
		return 0
	}
	var times []int64
	for _, id := range v.conf.Voters {
		switch p := v.peers[ID(id)]; {
		case ID(id) == v.a.config.Self:
			times = append(times, v.a.now)
		case p != nil:
			times = append(times, p.ackedAt)
		default:
			times = append(times, 0)
		}
	}
	slices.Sort(times)
	if len(times) == 0 {
		return 0
	}
	ackedAt := times[(len(times)-1)/2]
	if ackedAt == 0 {
		return 0
	}
	return ackedAt + v.a.config.Lease
}

// grantUntil is until when this voter may grant leases.
func (v *voter) grantUntil() int64 {
	if v.isLeading() {
		return v.leaderUntil()
	}
	return v.delegatedUntil
}

// sendHeartbeats tells the other voters who leads and how long they may grant, counted from the last promise of
// each.
func (v *voter) sendHeartbeats() {
	remaining := v.leaderUntil() - v.a.now
	if !v.isLeading() {
		remaining = 0
	}
	for _, id := range v.others() {
		p := v.peer(id)
		m := Message{Kind: Heartbeat, To: id, Term: v.leadTerm, SentAt: v.a.now, Echo: p.promisedAt, Epoch: p.epoch, Revision: v.state.Revision}
		if remaining > 0 && p.promisedAt != 0 {
			m.Remaining = remaining
			v.recordSentGrant(p, sentGrant{v.state.Revision, v.a.now + remaining})
		}
		v.a.send(m)
	}
}

// recordSentGrant remembers until when a voter may grant: the latest time per revision, until it has expired.
func (v *voter) recordSentGrant(p *peer, s sentGrant) {
	p.grants = slices.DeleteFunc(p.grants, func(x sentGrant) bool { return v.expired(x.until) || x.revision == s.revision })
	p.grants = append(p.grants, s)
}

// expired reports whether everything that a gateway could decide until a time has taken effect.
func (v *voter) expired(until int64) bool {
	return v.a.now >= until+v.a.config.ClockError+v.a.config.EffectDelay
}

// handleHeartbeat answers a heartbeat of the leader.
func (v *voter) handleHeartbeat(m *Message) {
	st := v.node.BasicStatus()
	if ID(st.Lead) != m.From || st.Term != m.Term || st.RaftState != raft.StateFollower {
		return
	}
	v.promisedUntil = v.a.now + v.a.config.MaxDivergence()
	v.nextElection = v.promisedUntil + v.a.jitter(v.a.config.Lease/electionJitterParts)
	if m.Echo != 0 && m.Epoch == v.a.config.Epoch && m.Remaining > 0 && m.Revision <= v.state.Revision {
		v.delegatedUntil = max(v.delegatedUntil, m.Echo+m.Remaining)
	}
	v.a.send(Message{Kind: Promise, To: m.From, Term: m.Term, Echo: m.SentAt, SentAt: v.a.now, Epoch: v.a.config.Epoch, KnownRevision: v.minKnownRevision(), HealthyVersion: v.healthyVersion()})
}

// handlePromise handles a voter's answer to a heartbeat.
func (v *voter) handlePromise(m *Message) {
	if v.leadTerm == 0 || m.Term != v.leadTerm || !slices.Contains(v.others(), m.From) {
		return
	}
	p := v.peer(m.From)
	if m.Epoch < p.epoch {
		return // from an earlier start, with another clock
	}
	if m.Epoch > p.epoch {
		p.epoch, p.promisedAt = m.Epoch, 0
	}
	p.ackedAt, p.promisedAt = max(p.ackedAt, m.Echo), max(p.promisedAt, m.SentAt)
	if m.KnownRevision >= p.knownRevision { // the healthy version goes with this known revision
		p.knownRevision, p.healthyVersion = m.KnownRevision, m.HealthyVersion
	}
}

// healthyVersion is the latest version that is healthy at every gateway that tries one under a grant of this voter;
// the maximum if none does.
func (v *voter) healthyVersion() uint64 {
	version := uint64(1<<64 - 1)
	for i := range v.state.Subjects {
		s := v.state.Subjects[i].status()
		for id, g := range v.grants {
			if s.InCanary(id) && !v.expired(g.until) {
				version = min(version, g.healthyVersion)
			}
		}
	}
	return version
}

// allHealthy reports whether every gateway that tries a version and may act is healthy with it. A former voter
// counts only while it may still grant leases: otherwise a version whose steps begin after a voter left would be
// tried forever (seed 189).
func (v *voter) allHealthy(no uint64) bool {
	if v.healthyVersion() < no {
		return false
	}
	for _, id := range v.sortedPeers() {
		p := v.peers[id]
		if p.healthyVersion < no && slices.ContainsFunc(p.grants, func(s sentGrant) bool { return !v.expired(s.until) }) {
			return false
		}
	}
	return true
}

// minKnownRevision is the revision known to all gateways that may act under a grant of this voter, 0 if it can't
// tell.
func (v *voter) minKnownRevision() uint64 {
	if v.a.now < v.unknownGrantsUntil {
		return 0
	}
	revision := v.state.Revision
	maps.DeleteFunc(v.grants, func(_ ID, g leaseGrant) bool { return v.expired(g.until) })
	for _, g := range v.grants {
		revision = min(revision, g.knownRevision)
	}
	return revision
}

// knownToAll reports whether every gateway of the fleet that may act knows a revision.
func (v *voter) knownToAll(revision uint64) bool { return v.revisionKnownToAll() >= revision }

// revisionKnownToAll is the latest revision known to every gateway of the fleet that may act.
func (v *voter) revisionKnownToAll() uint64 {
	if !v.isLeading() {
		return 0
	}
	revision := uint64(1<<64 - 1)
	if v.a.now >= v.unknownGrantsUntil {
		revision = v.minKnownRevision()
	}
	for _, p := range v.peers {
		minSent := uint64(1<<64 - 1)
		for _, s := range p.grants {
			if !v.expired(s.until) {
				minSent = min(minSent, s.revision)
			}
		}
		revision = min(revision, max(p.knownRevision, minSent))
	}
	return revision
}

// handleRenew answers a lease request. A gateway gets a lease only if it knows all that this voter knows; else it
// has to fetch the rest first.
func (v *voter) handleRenew(m *Message) {
	response := Message{Kind: Grant, To: m.From, Echo: m.SentAt, Epoch: m.Epoch, Revision: v.state.Revision}
	g, exists := v.grants[m.From]
	g.knownRevision, g.healthyVersion = max(g.knownRevision, m.KnownRevision), max(g.healthyVersion, m.HealthyVersion)
	if remaining := v.grantUntil() - v.a.now; remaining > 0 && m.KnownRevision >= v.state.Revision && v.state.Gateway(m.From) != nil {
		response.Remaining = min(remaining, v.a.config.Lease)
		g.until = max(g.until, v.a.now+response.Remaining)
		v.grants[m.From] = g
	} else if exists {
		v.grants[m.From] = g
	}
	if m.KnownRevision < v.state.Revision {
		encoded := v.changesSince(m.KnownRevision)
		response.Digest, response.Size = encoded.digest, encoded.size
	}
	v.a.send(response)
}

// notifyHolders tells all gateways with a grant of this voter at once that the state has changed.
func (v *voter) notifyHolders() {
	if v.notifiedRevision == v.state.Revision {
		return
	}
	v.notifiedRevision = v.state.Revision
	for _, id := range slices.Sorted(maps.Keys(v.grants)) {
		encoded := v.changesSince(v.grants[id].knownRevision)
		v.a.send(Message{Kind: Grant, To: id, Revision: v.state.Revision, Digest: encoded.digest, Size: encoded.size})
	}
}

// job is a proposal that the leader appends to the log.
type job struct {
	origin       ID
	no           uint64
	proposal     Proposal
	text         []byte // text of its version
	offset       int    // bytes of the text that are in the log
	appended     bool   // the proposal is in the log
	waitReported bool   // its gateway was told that it has to wait
	until        int64  // expiry; the gateway repeats the proposal if it still wants it
}

// processJobs appends proposals to the log, advances versions and changes voters, one at a time.
func (v *voter) processJobs() {
	if !v.isLeading() {
		return
	}
	outcomes := map[ID]lastOutcome{}
	if v.jobsCheckedAt != v.applied && len(v.jobs) > 0 { // proposals received since the last check have no outcome yet
		for _, x := range v.state.Outcomes {
			outcomes[x.Origin] = x
		}
	}
	v.jobsCheckedAt = v.applied
	v.jobs = slices.DeleteFunc(v.jobs, func(j *job) bool {
		x, done := outcomes[j.origin]
		if done = done && x.No == j.no; done {
			v.a.sendResult(j.origin, result{j.origin, j.no, x.Outcome})
		}
		return done || v.a.now >= j.until
	})
	for _, j := range v.jobs {
		v.processJob(j)
	}
	for i := range v.state.Subjects {
		s := &v.state.Subjects[i]
		if stepKey := s.Next*4 + uint64(s.Step); s.Next != 0 && v.advanced[s.Name] != stepKey && v.knownToAll(s.ChangedAt) && (s.Step == 0 || v.allHealthy(s.Next)) {
			advance := stepAdvance{s.Name, s.Next, 0}
			if s.Step == stepProposer {
				advance.Step = stepCanary
			}
			if v.propose(entry{Advance: &advance}) {
				v.advanced[s.Name] = stepKey
			}
		}
	}
	v.updateList()
	v.changeVoters()
}

// updateList admits gateways that have asked to join, and records which listed gateways all others know. The first
// is admitted at once, those right after it together: after each change all gateways fetch the list, and none gets a
// lease before it has it, so a list that changed with each of two thousand joins would leave the whole fleet without
// leases.
func (v *voter) updateList() {
	if v.a.now < v.nextListUpdate {
		return
	}
	if v.notKnownToAllAt != v.state.Revision {
		v.notKnownToAllAt, v.notKnownToAll = v.state.Revision, nil
		for i := range v.state.Gateways {
			if g := &v.state.Gateways[i]; !g.KnownToAll {
				v.notKnownToAll = append(v.notKnownToAll, g.ListedAt)
			}
		}
	}
	update := listUpdate{Admit: len(v.state.Joining) > 0}
	if len(v.notKnownToAll) > 0 {
		known := v.revisionKnownToAll()
		for _, listedAt := range v.notKnownToAll {
			if listedAt <= known {
				update.KnownToAll = max(update.KnownToAll, listedAt)
			}
		}
	}
	if (update.Admit || update.KnownToAll > 0) && v.propose(entry{ListUpdate: &update}) {
		v.nextListUpdate = v.a.now + v.a.config.Lease/listUpdatesPerLease
	}
}

func (v *voter) processJob(j *job) {
	if j.appended {
		return
	}
	version := j.proposal.Version
	if version == nil {
		j.appended = v.propose(entry{Proposal: &proposalRecord{j.origin, j.no, j.proposal}})
		return
	}
	// A version may follow another only once all gateways that may act know that one, so no more than two are active at
	// a time.
	if s := v.state.Subject(version.Subject); s != nil && (s.Next != 0 || !v.knownToAll(s.ChangedAt)) {
		if !j.waitReported {
			j.waitReported = true
			last := s.Versions[len(s.Versions)-1]
			v.a.sendResult(j.origin, result{j.origin, j.no, Outcome{Retry: true,
				Reason: fmt.Sprintf("version %d of %s by %s is not yet held by all that may act", last.No, s.Name, last.Author)}})
		}
		return
	}
	for !v.state.hasText(version.Digest) && j.offset < len(j.text) {
		n := min(v.a.config.PageSize, len(j.text)-j.offset)
		if !v.propose(entry{Part: &textPart{version.Digest, len(j.text), j.offset, j.text[j.offset : j.offset+n]}}) {
			return
		}
		j.offset += n
	}
	j.appended = v.propose(entry{Proposal: &proposalRecord{j.origin, j.no, j.proposal}})
}

// changeVoters aligns the Raft configuration with the list: a new voter is a learner until it has caught up.
func (v *voter) changeVoters() {
	if v.a.now < v.nextConfChange {
		return
	}
	proposeChange := func(t raftpb.ConfChangeType, id uint64) {
		v.nextConfChange = v.a.now + proposalRetryInterval
		_ = v.node.ProposeConfChange(raftpb.ConfChange{Type: t, NodeID: id}) // raft allows one change at a time
	}
	for _, g := range v.state.Gateways {
		id := uint64(g.ID)
		switch {
		case !g.Vote || slices.Contains(v.conf.Voters, id):
		case !slices.Contains(v.conf.Learners, id):
			proposeChange(raftpb.ConfChangeAddLearnerNode, id)
			return
		case v.caughtUp(id):
			proposeChange(raftpb.ConfChangeAddNode, id)
			return
		}
	}
	for _, id := range append(slices.Clone(v.conf.Voters), v.conf.Learners...) {
		if g := v.state.Gateway(ID(id)); g == nil || !g.Vote {
			proposeChange(raftpb.ConfChangeRemoveNode, id)
			return
		}
	}
}

// caughtUp reports whether a learner has all entries that are applied here and has sent a promise within the last
// lease.
func (v *voter) caughtUp(id uint64) bool {
	p := v.peers[ID(id)]
	if p == nil || v.a.now-p.ackedAt > v.a.config.Lease {
		return false
	}
	ok := false
	v.node.WithProgress(func(x uint64, _ raft.ProgressType, pr raftProgress) {
		ok = ok || x == id && pr.Match >= v.applied
	})
	return ok
}
