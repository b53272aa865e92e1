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

// Parts of a lease, and sizes of the log. Sources: ours.
const (
	electionJitterParts = 8   // of a lease: so far apart by chance voters campaign, some ways there and back
	heartbeatsPerLease  = 8   // a leader is heard this often in a lease, so that one lost beat costs nothing
	maxLogEntries       = 512 // after which a snapshot takes the place of the log
	maxRaftMessageSize  = 900 // bytes of entries in a message: with its head it is one datagram
	maxInflightMessages = 32  // messages to a voter that are not acknowledged
	listUpdatesPerLease = 32  // a lease has room for so many changes of the list for many at once
)

// voter is the log of a gateway that votes, over raft's state machine. Who leads is decided by times of this package:
// raft's own clock runs at the leader alone, for its heartbeats, so that none of raft's chance is in any decision.
type voter struct {
	a       *Agreement
	node    *raft.RawNode
	storage *raft.MemoryStorage
	conf    raftpb.ConfState
	state   *State
	applied uint64
	term    uint64 // of the last entry that was applied

	saving       bool
	savingSince  int64       // since when the disk has not answered
	suspended    bool        // it leads, and says nothing as its disk takes nothing
	pendingReady *raft.Ready // that waits for the disk
	snapshotDue  bool        // a snapshot is due

	promisedUntil      int64 // no other leader gets its vote before
	nextElection       int64
	unknownGrantsUntil int64 // it may have granted before its start what it does not know of
	delegatedUntil     int64 // until when it may grant, as its leader has said
	grants             map[ID]leaseGrant

	leader            uint64 // who leads as it knows
	leadTerm          uint64 // the term that it leads in, 0 for none
	nextHeartbeat     int64
	peers             map[ID]*peer
	jobs              []*job
	advanced          map[string]uint64 // versions, with their steps, that were put into the log to go on
	jobsCheckedAt     uint64            // what was applied when it was last looked for answers to jobs
	notKnownToAll     []uint64          // the stamps at which those came of whom not all know, of the list at seatAt
	notKnownRevision  uint64
	nextListUpdate    int64                      // when the list may be changed again for many at once
	nextConfChange    int64                      // when a change of voters may be tried again
	notifiedRevision  uint64                     // the stamp that its voters were last told of
	manifests         map[uint64]encodedManifest // manifests by what is known, of the stamp wordedAt
	manifestsRevision uint64
}

// worded is a manifest that is offered.
type encodedManifest struct {
	digest Digest
	size   int
}

// news offers who knows what was agreed on up to a stamp what came since. Most know the same, so it is worded once.
func (v *voter) changesSince(known uint64) encodedManifest {
	if v.manifestsRevision != v.state.Revision {
		v.manifestsRevision, v.manifests = v.state.Revision, map[uint64]encodedManifest{}
	}
	w, ok := v.manifests[known]
	if !ok || v.a.texts.get(w.digest) == nil {
		text := v.state.manifest(known)
		w = encodedManifest{v.a.texts.offer(text), len(text)}
		v.manifests[known] = w
	}
	return w
}

// peer is another voter as the leader knows it.
type peer struct {
	ackedAt                       int64       // when the latest beat was sent that it has promised by
	promisedAt                    int64       // its time of that promise
	epoch                         uint64      // the start that this was in
	knownRevision, healthyVersion uint64      // what all know, and the latest version that is well with all that try one, to whom it grants
	grants                        []sentGrant // what it may still grant by
}

// sent is that a voter was told that it may grant until a time, if it knows a stamp.
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

// foundVoter begins a log with one voter, by a snapshot that holds nothing but the list with it.
func bootstrapVoter(a *Agreement, self Gateway) (*voter, error) {
	b := newState()
	self.ListedAt, self.KnownToAll = 1, true
	b.Revision, b.Gateways, b.NextNumber, b.KnownToAllUpTo = 1, []Gateway{self}, 1, 1
	v, err := voterFromState(a, raftpb.Snapshot{Data: b.encode(), Metadata: raftpb.SnapshotMetadata{Index: 1, Term: 1,
		ConfState: raftpb.ConfState{Voters: []uint64{uint64(self.ID)}}}}, raftpb.HardState{Term: 1, Commit: 1}, nil)
	if err == nil {
		v.initTimers(a.now)
		v.promisedUntil, v.nextElection, v.unknownGrantsUntil = 0, 0, 0
		v.createSnapshot()
	}
	return v, err
}

// emptyVoter has nothing, and takes what its leader sends it.
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
		case recordSnapshot: // what of entries still holds is told again behind it
			snapshot.Reset() // else lists would be read behind those of the one before
			err = snapshot.Unmarshal(r[1:])
			entries, state = nil, raftpb.HardState{}
		case recordEntry:
			var e raftpb.Entry
			if err = e.Unmarshal(r[1:]); err == nil {
				// An entry takes the place of what stood there, and ends the log.
				entries = append(slices.DeleteFunc(entries, func(x raftpb.Entry) bool { return x.Index >= e.Index }), e)
			}
		default:
			err = fmt.Errorf("kind %d", r[0])
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

// install takes a snapshot as what was applied.
func (v *voter) install(s raftpb.Snapshot) error {
	if s.Metadata.Index == 0 {
		return nil
	}
	b, err := decodeState(s.Data)
	if err != nil {
		return err
	}
	v.state, v.applied, v.term, v.conf = b, s.Metadata.Index, s.Metadata.Term, s.Metadata.ConfState
	return nil
}

func (b *State) encode() []byte {
	text, err := json.Marshal(b)
	if err != nil {
		panic(err) // it holds nothing that has no JSON
	}
	return text
}

func decodeState(text []byte) (*State, error) {
	b := newState()
	if err := json.Unmarshal(text, b); err != nil {
		return nil, fmt.Errorf("agreement: a snapshot can't be read: %w", err)
	}
	return b, nil
}

// starts: what it promised and granted before is forgotten, so it waits until that is over.
func (v *voter) initTimers(now int64) {
	v.promisedUntil = now + v.a.config.MaxDivergence()
	v.unknownGrantsUntil = v.promisedUntil
	v.nextElection = v.promisedUntil + v.a.jitter(v.a.config.Lease/electionJitterParts)
}

// steps takes a message of the log's protocol.
func (a *Agreement) handleRaft(m *Message) {
	var r raftpb.Message
	if err := r.Unmarshal(m.Data); err != nil || ID(r.From) != m.From || ID(r.To) != a.config.Self {
		return
	}
	if a.voter == nil { // it was made a voter, and has not heard
		if r.Type != raftpb.MsgApp && r.Type != raftpb.MsgHeartbeat && r.Type != raftpb.MsgSnap || a.holder.ownEntry() == nil {
			return
		}
		v, err := emptyVoter(a)
		if err != nil {
			a.log("it can't vote: %v", err)
			return
		}
		a.voter = v
	}
	v := a.voter
	// Who has promised votes for nobody else, nor does who leads by a promise: so no leader is elected while another's
	// leases last.
	if (r.Type == raftpb.MsgVote || r.Type == raftpb.MsgPreVote) && a.now < max(v.promisedUntil, v.leaderUntil()+a.config.MaxDivergence()-a.config.Lease) {
		return
	}
	if r.Type == raftpb.MsgSnap { // its text comes by pages
		text := a.texts.getOrFetch(m.From, m.Digest, m.Size)
		if text == nil {
			return // it is sent again
		}
		r.Snapshot.Data = text
	}
	_ = v.node.Step(r) // what it does not want is dropped
}

// round moves the log on and does what is due.
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
			v.a.log("its disk takes nothing: %v; while it does not it does not lead", v.suspended)
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

// stuck tells that its disk has taken nothing for the time of a lease. A leader whose disk is full agrees on nothing, as it
// sends nothing that it could not keep; but its beats need no disk, and by them nobody else would ever lead.
func (v *voter) diskStalled() bool { return v.saving && v.a.now-v.savingSince > v.a.config.Lease }

func (v *voter) isVoter() bool { return slices.Contains(v.conf.Voters, uint64(v.a.config.Self)) }

// turnsLeader notes when it begins or ceases to lead.
func (v *voter) trackLeadership() {
	st := v.node.BasicStatus()
	if st.Lead != v.leader { // a new one is given the time of a few beats: the first may have come before it was known
		if v.leader = st.Lead; st.Lead != 0 {
			v.nextElection = max(v.nextElection, v.a.now+v.a.config.Lease/renewalsPerLease+v.a.jitter(v.a.config.Lease/electionJitterParts))
		}
	}
	switch leads := st.RaftState == raft.StateLeader; {
	case leads && v.leadTerm != st.Term:
		v.leadTerm, v.nextHeartbeat, v.nextConfChange, v.notifiedRevision = st.Term, v.a.now, 0, 0
		v.advanced, v.jobs, v.nextListUpdate, v.notKnownRevision = map[string]uint64{}, nil, 0, 0
		for _, p := range v.peers { // what was sent before may still be granted by
			*p = peer{grants: p.grants}
		}
		v.a.log("leads the fleet's log, term %d", st.Term)
	case !leads && v.leadTerm != 0:
		v.nextElection = v.a.now + v.a.jitter(v.a.config.Lease/electionJitterParts)
		if v.leaderUntil() != 0 { // it let others act; one that two took at once did not
			v.nextElection += v.a.config.MaxDivergence()
		}
		v.leadTerm = 0
		v.a.log("no longer leads the fleet's log, term %d", st.Term)
	}
}

// take has a part of the log saved, and then sent and applied.
func (v *voter) handleReady(rd raft.Ready) {
	if !raft.IsEmptySnap(rd.Snapshot) {
		if err := v.storage.ApplySnapshot(rd.Snapshot); err != nil {
			v.a.log("a snapshot is not taken: %v", err)
		} else if err = v.install(rd.Snapshot); err != nil {
			v.a.log("a snapshot is not taken: %v", err)
		}
	}
	if !raft.IsEmptyHardState(rd.HardState) {
		_ = v.storage.SetHardState(rd.HardState)
	}
	if err := v.storage.Append(rd.Entries); err != nil {
		v.a.log("the log is not taken: %v", err)
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

// carryOut sends and applies what was saved.
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
	if r.Type == raftpb.MsgSnap { // its text is fetched by pages; what is sent says which
		s := *r.Snapshot
		m.Digest, m.Size = v.a.texts.offer(s.Data), len(s.Data)
		s.Data = nil
		r.Snapshot = &s
		defer v.node.ReportSnapshot(r.To, raft.SnapshotFinish) // a lost one is found out by the next probe
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
			v.snapshotDue = true // who is new takes no snapshot that does not name it
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

// compacted puts a snapshot in the place of the log so far.
func (v *voter) createSnapshot() {
	if _, err := v.storage.CreateSnapshot(v.applied, &v.conf, v.state.encode()); err != nil && !errors.Is(err, raft.ErrSnapOutOfDate) {
		v.a.log("no snapshot: %v", err)
		return
	}
	if err := v.storage.Compact(v.applied); err != nil && !errors.Is(err, raft.ErrCompacted) {
		v.a.log("no snapshot: %v", err)
	}
	v.saving, v.savingSince = true, v.a.now
	v.a.decisions = append(v.a.decisions, Decision{Kind: Save, Records: v.records(), ReplaceAll: true})
}

// records are all that a start needs.
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

// Records are all that New needs, in the place of all that Save gave so far; none for a gateway that does not vote.
func (a *Agreement) Records() [][]byte {
	if a.voter == nil {
		return nil
	}
	return a.voter.records()
}

// leading tells that it leads and has applied all that was agreed on before.
func (v *voter) isLeading() bool { return v.leadTerm != 0 && v.term == v.leadTerm }

// propose puts an entry into the log.
func (v *voter) propose(e entry) bool {
	text, err := json.Marshal(e)
	return err == nil && v.node.Propose(text) == nil
}

// others are the other voters, those that only learn too, in order.
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

// peersInOrder gives all voters that it ever told that they may grant.
func (v *voter) peersInOrder() []ID { return slices.Sorted(maps.Keys(v.peers)) }
