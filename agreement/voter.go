package agreement

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"maps"
	"slices"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

// Divisors of a lease, and limits of the log.
const (
	electionJitterParts = 8   // random delays of campaigns spread over this part of a lease, several round trips
	heartbeatsPerLease  = 8   // one lost heartbeat has no effect
	maxLogEntries       = 512 // until a snapshot replaces the log
	maxRaftMessageSize  = 900 // bytes of entries per message: with the header it fits one datagram
	maxInflightMessages = 32  // unacknowledged messages to a voter
	listUpdatesPerLease = 32  // batches of membership changes
)

// voter runs the replicated log on raft's state machine. Leadership is decided by the deadlines of this package:
// raft's own clock ticks only at the leader, for its heartbeats, so raft's randomness influences no decision.
type voter struct {
	a       *Agreement
	node    *raft.RawNode
	storage *raft.MemoryStorage
	conf    raftpb.ConfState
	state   *State
	applied uint64
	term    uint64 // of the last applied entry

	saving       bool
	savingSince  int64       // since when the disk has not answered
	suspended    bool        // leads, but sends no heartbeats as its disk is stalled
	pendingReady *raft.Ready // waits for the disk
	snapshotDue  bool

	promisedUntil      int64 // votes for no other candidate before
	nextElection       int64
	unknownGrantsUntil int64 // leases granted before the last start are unknown until then
	delegatedUntil     int64 // until when it may grant leases, as its leader allowed
	grants             map[ID]leaseGrant

	leader            uint64 // known leader
	leadTerm          uint64 // 0 if it does not lead
	nextHeartbeat     int64
	peers             map[ID]*peer
	jobs              []*job
	advanced          map[string]uint64 // versions with their steps whose advance was appended to the log
	jobsCheckedAt     uint64            // applied index when outcomes of jobs were last checked
	notKnownToAll     []uint64          // listing revisions of gateways that are not known to all, as of notKnownToAllAt
	notKnownToAllAt   uint64
	nextListUpdate    int64                      // earliest time of the next batch of membership changes
	nextConfChange    int64                      // earliest time of the next change of voters
	notifiedRevision  uint64                     // revision that holders were last notified of
	manifests         map[uint64]encodedManifest // by known revision, as of manifestsRevision
	manifestsRevision uint64
}

// encodedManifest identifies a manifest that is offered for fetching.
type encodedManifest struct {
	digest Digest
	size   int
}

// changesSince offers the changes after a known revision. Most gateways know the same one, so each is encoded once.
func (v *voter) changesSince(known uint64) encodedManifest {
	if v.manifestsRevision != v.state.Revision {
		v.manifestsRevision, v.manifests = v.state.Revision, map[uint64]encodedManifest{}
	}
	encoded, ok := v.manifests[known]
	if !ok || v.a.texts.get(encoded.digest) == nil {
		text := v.state.manifest(known)
		encoded = encodedManifest{v.a.texts.offer(text), len(text)}
		v.manifests[known] = encoded
	}
	return encoded
}

// peer is another voter as the leader knows it.
type peer struct {
	ackedAt                       int64       // send time of the latest heartbeat that it answered
	promisedAt                    int64       // time of that answer by its clock
	epoch                         uint64      // start that promisedAt belongs to
	knownRevision, healthyVersion uint64      // minimum over the gateways that it granted leases
	grants                        []sentGrant // grants that it may still issue by
}

// sentGrant records that a voter may grant leases until a time, to gateways that know a revision.
type sentGrant struct {
	revision uint64
	until    int64
}

const (
	recordState = iota + 1
	recordEntry
	recordSnapshot
)

var discardLogger = &raft.DefaultLogger{Logger: log.New(io.Discard, "", 0)}

func newVoter(a *Agreement, s *raft.MemoryStorage, applied uint64) (*voter, error) {
	v := &voter{a: a, storage: s, state: newState(), applied: applied, grants: map[ID]leaseGrant{}, peers: map[ID]*peer{}}
	node, err := raft.NewRawNode(&raft.Config{ID: uint64(a.config.Self), ElectionTick: 10, HeartbeatTick: 1, Storage: s, Applied: applied,
		MaxSizePerMsg: maxRaftMessageSize, MaxInflightMsgs: maxInflightMessages, PreVote: true, DisableProposalForwarding: true, Logger: discardLogger})
	v.node = node
	return v, err
}

// bootstrapVoter starts a log with one voter, from a snapshot that lists only this gateway.
func bootstrapVoter(a *Agreement, self Gateway) (*voter, error) {
	st := newState()
	self.ListedAt, self.KnownToAll = 1, true
	st.Revision, st.Gateways, st.NextNumber, st.KnownToAllUpTo = 1, []Gateway{self}, 1, 1
	v, err := voterFromState(a, raftpb.Snapshot{Data: st.encode(), Metadata: raftpb.SnapshotMetadata{Index: 1, Term: 1,
		ConfState: raftpb.ConfState{Voters: []uint64{uint64(self.ID)}}}}, raftpb.HardState{Term: 1, Commit: 1}, nil)
	if err == nil {
		v.initTimers(a.now)
		v.promisedUntil, v.nextElection, v.unknownGrantsUntil = 0, 0, 0
		v.createSnapshot()
	}
	return v, err
}

// emptyVoter has no log and accepts what its leader sends.
func emptyVoter(a *Agreement) (*voter, error) {
	v, err := newVoter(a, raft.NewMemoryStorage(), 0)
	if err == nil {
		v.initTimers(a.now)
	}
	return v, err
}

func restoreVoter(a *Agreement, records [][]byte) (*voter, error) {
	var snapshot raftpb.Snapshot
	var state raftpb.HardState
	var entries []raftpb.Entry
	for _, r := range records {
		if len(r) == 0 {
			return nil, errors.New("agreement: an empty record")
		}
		var err error
		switch r[0] {
		case recordState:
			state.Reset()
			err = state.Unmarshal(r[1:])
		case recordSnapshot: // entries that still count are recorded again after a snapshot
			snapshot.Reset() // Unmarshal would append lists to those of the former snapshot
			err = snapshot.Unmarshal(r[1:])
			entries, state = nil, raftpb.HardState{}
		case recordEntry:
			var e raftpb.Entry
			if err = e.Unmarshal(r[1:]); err == nil {
				// An entry replaces the one at its index and all after it.
				entries = append(slices.DeleteFunc(entries, func(x raftpb.Entry) bool { return x.Index >= e.Index }), e)
			}
		default:
			err = fmt.Errorf("unknown kind %d", r[0])
		}
		if err != nil {
			return nil, fmt.Errorf("agreement: a record can't be read: %w", err)
		}
	}
	return voterFromState(a, snapshot, state, entries)
}

func voterFromState(a *Agreement, snapshot raftpb.Snapshot, state raftpb.HardState, entries []raftpb.Entry) (*voter, error) {
	s := raft.NewMemoryStorage()
	if snapshot.Metadata.Index > 0 {
		if err := s.ApplySnapshot(snapshot); err != nil {
			return nil, err
		}
	}
	if err := errors.Join(s.SetHardState(state), s.Append(entries)); err != nil {
		return nil, err
	}
	v, err := newVoter(a, s, snapshot.Metadata.Index)
	if err != nil {
		return nil, err
	}
	v.conf = snapshot.Metadata.ConfState
	return v, v.install(snapshot)
}

// install replaces the applied state by a snapshot.
func (v *voter) install(s raftpb.Snapshot) error {
	if s.Metadata.Index == 0 {
		return nil
	}
	st, err := decodeState(s.Data)
	if err != nil {
		return err
	}
	v.state, v.applied, v.term, v.conf = st, s.Metadata.Index, s.Metadata.Term, s.Metadata.ConfState
	return nil
}

func (st *State) encode() []byte {
	text, err := json.Marshal(st)
	if err != nil {
		panic(err) // the type has no value that JSON can't encode
	}
	return text
}

func decodeState(text []byte) (*State, error) {
	st := newState()
	if err := json.Unmarshal(text, st); err != nil {
		return nil, fmt.Errorf("agreement: a snapshot can't be read: %w", err)
	}
	return st, nil
}

// initTimers waits out the promises and grants made before the start, as they are not stored.
func (v *voter) initTimers(now int64) {
	v.promisedUntil = now + v.a.config.MaxDivergence()
	v.unknownGrantsUntil = v.promisedUntil
	v.nextElection = v.promisedUntil + v.a.jitter(v.a.config.Lease/electionJitterParts)
}

// handleRaft handles a Raft message.
func (a *Agreement) handleRaft(m *Message) {
	var r raftpb.Message
	if err := r.Unmarshal(m.Data); err != nil || ID(r.From) != m.From || ID(r.To) != a.config.Self {
		return
	}
	if a.voter == nil { // it was made a voter and does not know yet
		if r.Type != raftpb.MsgApp && r.Type != raftpb.MsgHeartbeat && r.Type != raftpb.MsgSnap || a.holder.ownEntry() == nil {
			return
		}
		v, err := emptyVoter(a)
		if err != nil {
			a.log("can't become a voter: %v", err)
			return
		}
		a.voter = v
	}
	v := a.voter
	// A voter that has promised votes for no other candidate, and neither does a leader while its promises last: so no
	// leader is elected while leases of another one last.
	if (r.Type == raftpb.MsgVote || r.Type == raftpb.MsgPreVote) && a.now < max(v.promisedUntil, v.leaderUntil()+a.config.MaxDivergence()-a.config.Lease) {
		return
	}
	if r.Type == raftpb.MsgSnap { // the data of a snapshot is fetched in pages
		text := a.texts.getOrFetch(m.From, m.Digest, m.Size)
		if text == nil {
			return // raft sends the snapshot again
		}
		r.Snapshot.Data = text
	}
	_ = v.node.Step(r) // raft ignores messages that do not apply
}

// round advances the log and does what is due.
func (v *voter) round() {
	v.trackLeadership()
	if v.leadTerm == 0 && v.a.now >= v.nextElection && v.isVoter() {
		v.nextElection = v.a.now + v.a.config.Lease/electionJitterParts + v.a.jitter(v.a.config.Lease/electionJitterParts)
		_ = v.node.Campaign()
	}
	if v.leadTerm != 0 && v.a.now >= v.nextHeartbeat {
		v.nextHeartbeat = v.a.now + v.a.config.Lease/heartbeatsPerLease
		if v.diskStalled() != v.suspended {
			v.suspended = !v.suspended
			v.a.log("disk stalled: %v; a leader sends no heartbeats while it is", v.suspended)
		}
		if !v.suspended {
			v.node.Tick()
			v.sendHeartbeats()
		}
	}
	for v.processJobs(); !v.saving && v.node.HasReady(); v.processJobs() {
		v.handleReady(v.node.Ready())
	}
	v.trackLeadership()
	v.notifyHolders()
}

// diskStalled reports that the disk has not answered for a whole lease. A leader with a full disk commits nothing,
// as it sends nothing that it can't store; but heartbeats need no disk, and as long as they arrive no other voter
// would take over.
func (v *voter) diskStalled() bool { return v.saving && v.a.now-v.savingSince > v.a.config.Lease }

func (v *voter) isVoter() bool { return slices.Contains(v.conf.Voters, uint64(v.a.config.Self)) }

// trackLeadership detects that this voter starts or stops leading.
func (v *voter) trackLeadership() {
	st := v.node.BasicStatus()
	if st.Lead != v.leader { // a new leader gets the time of a few heartbeats: the first may have arrived before it was known
		if v.leader = st.Lead; st.Lead != 0 {
			v.nextElection = max(v.nextElection, v.a.now+v.a.config.Lease/renewalsPerLease+v.a.jitter(v.a.config.Lease/electionJitterParts))
		}
	}
	switch leading := st.RaftState == raft.StateLeader; {
	case leading && v.leadTerm != st.Term:
		v.leadTerm, v.nextHeartbeat, v.nextConfChange, v.notifiedRevision = st.Term, v.a.now, 0, 0
		v.advanced, v.jobs, v.nextListUpdate, v.notKnownToAllAt = map[string]uint64{}, nil, 0, 0
		for _, p := range v.peers { // grants sent in an earlier term may still be in use
			*p = peer{grants: p.grants}
		}
		v.a.log("became leader in term %d", st.Term)
	case !leading && v.leadTerm != 0:
		v.nextElection = v.a.now + v.a.jitter(v.a.config.Lease/electionJitterParts)
		if v.leaderUntil() != 0 { // only if a majority had answered; a leader that another candidate replaced at once did not delegate
			v.nextElection += v.a.config.MaxDivergence()
		}
		v.leadTerm = 0
		v.a.log("lost leadership in term %d", st.Term)
	}
}

// handleReady stores raft's output, then sends and applies it.
func (v *voter) handleReady(rd raft.Ready) {
	if !raft.IsEmptySnap(rd.Snapshot) {
		if err := v.storage.ApplySnapshot(rd.Snapshot); err != nil {
			v.a.log("can't store a snapshot: %v", err)
		} else if err = v.install(rd.Snapshot); err != nil {
			v.a.log("can't apply a snapshot: %v", err)
		}
	}
	if !raft.IsEmptyHardState(rd.HardState) {
		_ = v.storage.SetHardState(rd.HardState)
	}
	if err := v.storage.Append(rd.Entries); err != nil {
		v.a.log("can't append to the log: %v", err)
	}
	v.pendingReady = &rd
	if rd.MustSync || !raft.IsEmptySnap(rd.Snapshot) {
		v.saving, v.savingSince = true, v.a.now
		if !raft.IsEmptySnap(rd.Snapshot) {
			v.a.decisions = append(v.a.decisions, Decision{Kind: Save, Records: v.records(), ReplaceAll: true})
			return
		}
		v.a.decisions = append(v.a.decisions, Decision{Kind: Save, Records: recordsOf(rd.HardState, rd.Entries)})
		return
	}
	v.applyReady()
}

func (v *voter) saved() {
	if v.saving {
		v.saving = false
		v.applyReady()
	}
}

// applyReady sends and applies what has been stored.
func (v *voter) applyReady() {
	rd := v.pendingReady
	if rd == nil {
		return
	}
	v.pendingReady = nil
	for i := range rd.Messages {
		v.sendRaft(&rd.Messages[i])
	}
	for i := range rd.CommittedEntries {
		v.apply(&rd.CommittedEntries[i])
	}
	v.node.Advance(*rd)
	if first, err := v.storage.FirstIndex(); err == nil && (v.snapshotDue || v.applied >= first+maxLogEntries) {
		v.snapshotDue = false
		v.createSnapshot()
	}
}

func (v *voter) sendRaft(r *raftpb.Message) {
	m := Message{Kind: Raft, To: ID(r.To)}
	if r.Type == raftpb.MsgSnap { // the message names the data of the snapshot, which is fetched in pages
		s := *r.Snapshot
		m.Digest, m.Size = v.a.texts.offer(s.Data), len(s.Data)
		s.Data = nil
		r.Snapshot = &s
		defer v.node.ReportSnapshot(r.To, raft.SnapshotFinish) // raft's next probe detects a lost one
	}
	var err error
	if m.Data, err = r.Marshal(); err == nil {
		v.a.send(m)
	}
}

func (v *voter) apply(e *raftpb.Entry) {
	v.applied, v.term = e.Index, e.Term
	switch e.Type {
	case raftpb.EntryConfChange:
		var cc raftpb.ConfChange
		if cc.Unmarshal(e.Data) == nil {
			v.conf = *v.node.ApplyConfChange(cc)
			v.snapshotDue = true // a new voter needs a snapshot that lists it
		}
	case raftpb.EntryNormal:
		var x entry
		if len(e.Data) == 0 || json.Unmarshal(e.Data, &x) != nil {
			return
		}
		if !v.state.apply(e.Index, &x) {
			return
		}
		for _, j := range v.jobs {
			if j.origin == x.Proposal.Origin && j.no == x.Proposal.No {
				j.appended, j.offset = false, 0
			}
		}
	}
}

// createSnapshot replaces the log up to the applied index by a snapshot.
func (v *voter) createSnapshot() {
	if _, err := v.storage.CreateSnapshot(v.applied, &v.conf, v.state.encode()); err != nil && !errors.Is(err, raft.ErrSnapOutOfDate) {
		v.a.log("can't create a snapshot: %v", err)
		return
	}
	if err := v.storage.Compact(v.applied); err != nil && !errors.Is(err, raft.ErrCompacted) {
		v.a.log("can't compact the log: %v", err)
	}
	v.saving, v.savingSince = true, v.a.now
	v.a.decisions = append(v.a.decisions, Decision{Kind: Save, Records: v.records(), ReplaceAll: true})
}

// records returns everything that a restart needs.
func (v *voter) records() [][]byte {
	s, _ := v.storage.Snapshot()
	state, _, _ := v.storage.InitialState()
	first, _ := v.storage.FirstIndex()
	last, _ := v.storage.LastIndex()
	var entries []raftpb.Entry
	if last >= first {
		entries, _ = v.storage.Entries(first, last+1, 1<<62)
	}
	text, err := s.Marshal()
	if err != nil {
		panic(err)
	}
	return append([][]byte{append([]byte{recordSnapshot}, text...)}, recordsOf(state, entries)...)
}

func recordsOf(state raftpb.HardState, entries []raftpb.Entry) (all [][]byte) {
	for i := range entries {
		text, err := entries[i].Marshal()
		if err != nil {
			panic(err)
		}
		all = append(all, append([]byte{recordEntry}, text...))
	}
	if !raft.IsEmptyHardState(state) {
		text, err := state.Marshal()
		if err != nil {
			panic(err)
		}
		all = append(all, append([]byte{recordState}, text...))
	}
	return all
}

// Records returns everything that New needs, replacing all that Save gave so far; none for a gateway that does not
// vote.
func (a *Agreement) Records() [][]byte {
	if a.voter == nil {
		return nil
	}
	return a.voter.records()
}

// isLeading reports whether it leads and has applied all entries of earlier terms.
func (v *voter) isLeading() bool { return v.leadTerm != 0 && v.term == v.leadTerm }

// propose appends an entry to the log.
func (v *voter) propose(e entry) bool {
	text, err := json.Marshal(e)
	return err == nil && v.node.Propose(text) == nil
}

// others returns the other voters and learners in order.
func (v *voter) others() (ids []ID) {
	for _, id := range append(slices.Clone(v.conf.Voters), v.conf.Learners...) {
		if ID(id) != v.a.config.Self {
			ids = append(ids, ID(id))
		}
	}
	slices.Sort(ids)
	return ids
}

func (v *voter) peer(id ID) *peer {
	if v.peers[id] == nil {
		v.peers[id] = &peer{}
	}
	return v.peers[id]
}

func (v *voter) nextDeadline() int64 {
	if v.leadTerm != 0 && v.nextListUpdate > v.a.now && len(v.state.Joining) > 0 {
		return min(v.nextHeartbeat, v.nextListUpdate)
	}
	if v.leadTerm != 0 {
		return v.nextHeartbeat
	}
	if !v.isVoter() {
		return v.a.now + v.a.config.Lease
	}
	return v.nextElection
}

// sortedPeers returns all voters that were ever allowed to grant leases.
func (v *voter) sortedPeers() []ID { return slices.Sorted(maps.Keys(v.peers)) }
