package agreement

import (
	"fmt"
	"maps"
	"slices"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

// Who may act until when. A leader acts by promises of a majority of voters, each of which promises at a beat to vote for
// no other for a while; other voters grant no longer than the leader let them, gateways act no longer than a voter let
// them. All of it is counted from when a question was sent, by the clock of who sent it, so that neither a message's way
// nor what clocks show matters, only that they run alike.

// grant is that a gateway may act until a time, and what it knew when it asked last.
type leaseGrant struct {
	knownRevision  uint64
	until          int64
	healthyVersion uint64
}

// until is until when the leader may act itself and let others: a lease from the latest beat by which a majority has
// promised, itself among them.
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
	at := times[(len(times)-1)/2]
	if at == 0 {
		return 0
	}
	return at + v.a.config.Lease
}

// mayGrant is until when it may grant.
func (v *voter) grantUntil() int64 {
	if v.isLeading() {
		return v.leaderUntil()
	}
	return v.delegatedUntil
}

// sendBeats tells the others that it leads and how long they may grant, from the promise that each gave last.
func (v *voter) sendHeartbeats() {
	left := v.leaderUntil() - v.a.now
	if !v.isLeading() {
		left = 0
	}
	for _, id := range v.others() {
		p := v.peer(id)
		m := Message{Kind: Heartbeat, To: id, Term: v.leadTerm, SentAt: v.a.now, Echo: p.promisedAt, Epoch: p.epoch, Revision: v.state.Revision}
		if left > 0 && p.promisedAt != 0 {
			m.Remaining = left
			v.recordSentGrant(p, sentGrant{v.state.Revision, v.a.now + left})
		}
		v.a.send(m)
	}
}

// note keeps what a voter may grant by: of each stamp the latest time, as long as that is not past.
func (v *voter) recordSentGrant(p *peer, s sentGrant) {
	p.grants = slices.DeleteFunc(p.grants, func(x sentGrant) bool { return v.expired(x.until) || x.revision == s.revision })
	p.grants = append(p.grants, s)
}

// over tells that what could be done until a time at any gateway has had its effect.
func (v *voter) expired(until int64) bool {
	return v.a.now >= until+v.a.config.ClockError+v.a.config.EffectDelay
}

// beat takes a leader's word.
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

// promised takes a voter's word.
func (v *voter) handlePromise(m *Message) {
	if v.leadTerm == 0 || m.Term != v.leadTerm || !slices.Contains(v.others(), m.From) {
		return
	}
	p := v.peer(m.From)
	if m.Epoch < p.epoch {
		return // of a former start, whose clock was another
	}
	if m.Epoch > p.epoch {
		p.epoch, p.promisedAt = m.Epoch, 0
	}
	p.ackedAt, p.promisedAt = max(p.ackedAt, m.Echo), max(p.promisedAt, m.SentAt)
	if m.KnownRevision >= p.knownRevision { // what is well is of what was known then
		p.knownRevision, p.healthyVersion = m.KnownRevision, m.HealthyVersion
	}
}

// well is the latest version with which all are well that try one by a grant of this voter: none does, all are.
func (v *voter) healthyVersion() uint64 {
	well := uint64(1<<64 - 1)
	for i := range v.state.Subjects {
		s := v.state.Subjects[i].status()
		for id, g := range v.grants {
			if s.InCanary(id) && !v.expired(g.until) {
				well = min(well, g.healthyVersion)
			}
		}
	}
	return well
}

// allWell tells that whoever tries a version and may act is well with it. Of a voter that is none any more only what it may
// still grant by counts: without that a version whose steps begin after one has left is tried for ever (seed 189).
func (v *voter) allHealthy(no uint64) bool {
	if v.healthyVersion() < no {
		return false
	}
	for _, id := range v.peersInOrder() {
		p := v.peers[id]
		if p.healthyVersion < no && slices.ContainsFunc(p.grants, func(s sentGrant) bool { return !v.expired(s.until) }) {
			return false
		}
	}
	return true
}

// low is what all know that may act by a grant of this voter, 0 if it can't tell.
func (v *voter) minKnownRevision() uint64 {
	if v.a.now < v.unknownGrantsUntil {
		return 0
	}
	low := v.state.Revision
	maps.DeleteFunc(v.grants, func(_ ID, g leaseGrant) bool { return v.expired(g.until) })
	for _, g := range v.grants {
		low = min(low, g.knownRevision)
	}
	return low
}

// known tells that whoever may act in the fleet knows what was agreed on up to a stamp.
func (v *voter) knownToAll(stamp uint64) bool { return v.revisionKnownToAll() >= stamp }

// knownTo is up to which stamp whoever may act in the fleet knows what was agreed on.
func (v *voter) revisionKnownToAll() uint64 {
	if !v.isLeading() {
		return 0
	}
	to := uint64(1<<64 - 1)
	if v.a.now >= v.unknownGrantsUntil {
		to = v.minKnownRevision()
	}
	for _, p := range v.peers {
		least := uint64(1<<64 - 1)
		for _, s := range p.grants {
			if !v.expired(s.until) {
				least = min(least, s.revision)
			}
		}
		to = min(to, max(p.knownRevision, least))
	}
	return to
}

// renew answers a gateway. It may act only by what this voter knows: what is newer it has to fetch first.
func (v *voter) handleRenew(m *Message) {
	out := Message{Kind: Grant, To: m.From, Echo: m.SentAt, Epoch: m.Epoch, Revision: v.state.Revision}
	g, before := v.grants[m.From]
	g.knownRevision, g.healthyVersion = max(g.knownRevision, m.KnownRevision), max(g.healthyVersion, m.HealthyVersion)
	if left := v.grantUntil() - v.a.now; left > 0 && m.KnownRevision >= v.state.Revision && v.state.Gateway(m.From) != nil {
		out.Remaining = min(left, v.a.config.Lease)
		g.until = max(g.until, v.a.now+out.Remaining)
		v.grants[m.From] = g
	} else if before {
		v.grants[m.From] = g
	}
	if m.KnownRevision < v.state.Revision {
		w := v.changesSince(m.KnownRevision)
		out.Digest, out.Size = w.digest, w.size
	}
	v.a.send(out)
}

// tells has all that may act by a grant of this voter hear at once that something has changed.
func (v *voter) notifyHolders() {
	if v.notifiedRevision == v.state.Revision {
		return
	}
	v.notifiedRevision = v.state.Revision
	for _, id := range slices.Sorted(maps.Keys(v.grants)) {
		w := v.changesSince(v.grants[id].knownRevision)
		v.a.send(Message{Kind: Grant, To: id, Revision: v.state.Revision, Digest: w.digest, Size: w.size})
	}
}

// job is a wish that the leader brings into the log.
type job struct {
	origin       ID
	no           uint64
	wish         Proposal
	text         []byte // of its version
	offset       int    // of what of it is in the log
	appended     bool   // the wish is in the log
	waitReported bool   // its gateway was told that it waits
	until        int64  // after which it is forgotten: it comes again if it is still wanted
}

// work brings wishes into the log, puts versions in force and changes voters, one at a time.
func (v *voter) processJobs() {
	if !v.isLeading() {
		return
	}
	answers := map[ID]lastOutcome{}
	if v.jobsCheckedAt != v.applied && len(v.jobs) > 0 { // there are none to what was asked for since
		for _, x := range v.state.Outcomes {
			answers[x.Origin] = x
		}
	}
	v.jobsCheckedAt = v.applied
	v.jobs = slices.DeleteFunc(v.jobs, func(j *job) bool {
		x, done := answers[j.origin]
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
		if at := s.Next*4 + uint64(s.Step); s.Next != 0 && v.advanced[s.Name] != at && v.knownToAll(s.Changed) && (s.Step == 0 || v.allHealthy(s.Next)) {
			o := stepAdvance{s.Name, s.Next, 0}
			if s.Step == stepProposer {
				o.Step = stepCanary
			}
			if v.propose(entry{Advance: &o}) {
				v.advanced[s.Name] = at
			}
		}
	}
	v.updateList()
	v.changeVoters()
}

// listing admits who has asked to join, and says of who has come into the list that whoever may act knows of it. The first is
// admitted at once, those that come right after it together: each change has all gateways fetch it, and a gateway gets no
// lease before it has, so a list that changed with each of two thousand that join would leave the whole fleet without.
func (v *voter) updateList() {
	if v.a.now < v.nextListUpdate {
		return
	}
	if v.notKnownRevision != v.state.Revision {
		v.notKnownRevision, v.notKnownToAll = v.state.Revision, nil
		for i := range v.state.Gateways {
			if g := &v.state.Gateways[i]; !g.KnownToAll {
				v.notKnownToAll = append(v.notKnownToAll, g.ListedAt)
			}
		}
	}
	l := listUpdate{Admit: len(v.state.Joining) > 0}
	if len(v.notKnownToAll) > 0 {
		to := v.revisionKnownToAll()
		for _, since := range v.notKnownToAll {
			if since <= to {
				l.KnownToAll = max(l.KnownToAll, since)
			}
		}
	}
	if (l.Admit || l.KnownToAll > 0) && v.propose(entry{ListUpdate: &l}) {
		v.nextListUpdate = v.a.now + v.a.config.Lease/listUpdatesPerLease
	}
}

func (v *voter) processJob(j *job) {
	if j.appended {
		return
	}
	w := j.wish.Version
	if w == nil {
		j.appended = v.propose(entry{Proposal: &proposalRecord{j.origin, j.no, j.wish}})
		return
	}
	// A version follows another only once whoever may act knows that one: never are more than two alive.
	if s := v.state.Subject(w.Subject); s != nil && (s.Next != 0 || !v.knownToAll(s.Changed)) {
		if !j.waitReported {
			j.waitReported = true
			last := s.Versions[len(s.Versions)-1]
			v.a.sendResult(j.origin, result{j.origin, j.no, Outcome{Wait: true,
				Why: fmt.Sprintf("version %d of %s by %s is not yet held by all that may act", last.No, s.Name, last.Who)}})
		}
		return
	}
	for !v.state.hasText(w.Digest) && j.offset < len(j.text) {
		n := min(v.a.config.PageSize, len(j.text)-j.offset)
		if !v.propose(entry{Part: &textPart{w.Digest, len(j.text), j.offset, j.text[j.offset : j.offset+n]}}) {
			return
		}
		j.offset += n
	}
	j.appended = v.propose(entry{Proposal: &proposalRecord{j.origin, j.no, j.wish}})
}

// changeVoters brings the voters of the log to those of the list: who is to vote learns first, until it has all.
func (v *voter) changeVoters() {
	if v.a.now < v.nextConfChange {
		return
	}
	change := func(t raftpb.ConfChangeType, id uint64) {
		v.nextConfChange = v.a.now + proposalRetryInterval
		_ = v.node.ProposeConfChange(raftpb.ConfChange{Type: t, NodeID: id}) // raft lets one be under way at a time
	}
	for _, g := range v.state.Gateways {
		id := uint64(g.ID)
		switch {
		case !g.Vote || slices.Contains(v.conf.Voters, id):
		case !slices.Contains(v.conf.Learners, id):
			change(raftpb.ConfChangeAddLearnerNode, id)
			return
		case v.caughtUp(id):
			change(raftpb.ConfChangeAddNode, id)
			return
		}
	}
	for _, id := range append(slices.Clone(v.conf.Voters), v.conf.Learners...) {
		if g := v.state.Gateway(ID(id)); g == nil || !g.Vote {
			change(raftpb.ConfChangeRemoveNode, id)
			return
		}
	}
}

// caughtUp: who learns has all that was applied here, and has promised of late.
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
