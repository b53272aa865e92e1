package session

// Change is one step of the state that a restart needs in order to continue where the last run ended. A state is a
// list of changes.
type Change struct {
	Kind     ChangeKind
	Peer     int    // PeerCaughtUp
	Sequence uint64 // EpochStarted: of the entry before the first; EntryRecorded: its own; PeerCaughtUp: of the last held
	Epoch    uint64 // EpochStarted, PeerCaughtUp
	Entry    Entry  // EntryRecorded, EntryReceived; FloorSet uses Group and Position
}

// ChangeKind is the kind of a change.
type ChangeKind uint8

const (
	EpochStarted  ChangeKind = iota // the epoch of this gateway's entry log
	EntryRecorded                   // this gateway recorded an entry
	EntryReceived                   // an entry of another gateway was received
	PeerCaughtUp                    // a peer's entries are held up to a sequence number
	FloorSet                        // the floor of a group covers all losses so far
	EntriesLost                     // entries were lost, and no floor covers them yet
	GatewayEnded                    // Sequence is Membership.EndedVersion, whose loss has been recorded
)

// TrackChanges begins to collect changes for TakeChanges. It must be called before the first input.
func (s *Sessions) TrackChanges() { s.tracksChanges = true }

// TakeChanges returns the changes since the last call, in order. Changes that must be stored before a write is
// answered are available as soon as RecordCommit returns.
func (s *Sessions) TakeChanges() []Change {
	c := s.changes
	s.changes = nil
	return c
}

func (s *Sessions) recordChange(c Change) {
	if s.tracksChanges {
		s.changes = append(s.changes, c)
	}
}

func (s *Sessions) recordLoss() {
	s.lossCount++
	s.stats.EntryLosses++
	s.recordChange(Change{Kind: EntriesLost})
}

// Snapshot returns the state as changes.
func (s *Sessions) Snapshot() (all []Change) {
	l := &s.entryLog
	all = append(all, Change{Kind: EpochStarted, Epoch: s.epoch, Sequence: l.lastSequence - uint64(len(l.retained))})
	for _, a := range s.watermarks.byAge {
		if held := s.watermarks.bySession[a.key]; held.recordedAt == a.recordedAt && held.position > 0 {
			all = append(all, Change{Kind: EntryReceived, Entry: Entry{Kind: CommitEntry, Group: a.key.group,
				Key: a.key.session, Position: held.position, Age: s.now - a.recordedAt}})
		}
	}
	for _, key := range s.keyedWrites.byAge {
		held := s.keyedWrites.byKey[key]
		all = append(all, Change{Kind: EntryReceived, Entry: Entry{Kind: KeyedWriteEntry, Group: held.group, Key: key,
			Age: s.now - held.firstSentAt}})
	}
	for i, logged := range l.retained {
		e := logged.Entry
		e.Age = s.now - logged.recordedAt
		all = append(all, Change{Kind: EntryRecorded, Sequence: l.lastSequence - uint64(len(l.retained)-1-i), Entry: e})
	}
	for _, g := range s.groups {
		if g.coveredLosses == s.lossCount {
			all = append(all, Change{Kind: FloorSet, Entry: Entry{Group: g.id, Position: g.floor}})
		}
	}
	if s.endedVersion != 0 {
		all = append(all, Change{Kind: GatewayEnded, Sequence: s.endedVersion})
	}
	for i := range s.peers {
		if p := &s.peers[i]; p.epochKnown {
			all = append(all, Change{Kind: PeerCaughtUp, Peer: i, Epoch: p.epoch, Sequence: p.lastSequence})
		}
	}
	return all
}

// Restore takes a state and all changes since: no answer may have been given whose change they lack. It must be called
// after the first SetTime and before the first input. Groups without a floor are fenced as at a first start.
func (s *Sessions) Restore(all []Change) {
	for i := range all {
		c := &all[i]
		e := c.Entry
		switch c.Kind {
		case EpochStarted:
			s.epoch, s.entryLog.lastSequence, s.entryLog.retained = c.Epoch, c.Sequence, nil
			s.entryLog.lastPushed = c.Sequence
		case EntryRecorded:
			s.restoreEntry(&e)
			s.entryLog.lastSequence = c.Sequence
			if s.config.FleetSize > 1 || s.config.DynamicMembership {
				s.entryLog.retained = append(s.entryLog.retained, loggedEntry{e, s.now - e.Age})
				s.entryLog.trim()
			}
		case EntryReceived:
			s.restoreEntry(&e)
		case PeerCaughtUp:
			if s.config.DynamicMembership && c.Peer >= len(s.peers) {
				s.peers = append(s.peers, make([]peer, c.Peer+1-len(s.peers))...)
			}
			if s.isPeer(c.Peer) || s.config.DynamicMembership { // SetMembership determines which of them are still asked
				p := &s.peers[c.Peer]
				p.epochKnown, p.epoch, p.lastSequence = true, c.Epoch, c.Sequence
			}
		case FloorSet:
			g := s.groupByID(e.Group)
			g.floor, g.floorSetAt, g.coveredLosses = e.Position, s.now, s.lossCount
		case EntriesLost:
			s.lossCount++
		case GatewayEnded:
			s.endedVersion = c.Sequence
		}
	}
	s.changes = nil
}

// RestoreKeyedWrites restores from a state that may be incomplete what remains true: which keyed writes were sent.
func (s *Sessions) RestoreKeyedWrites(all []Change) {
	for i := range all {
		if e := all[i].Entry; e.Kind == KeyedWriteEntry && (all[i].Kind == EntryRecorded || all[i].Kind == EntryReceived) {
			s.restoreEntry(&e)
		}
	}
	s.changes = nil
}

func (s *Sessions) restoreEntry(e *Entry) {
	switch e.Kind {
	case CommitEntry:
		s.raiseWatermark(e.Group, e.Key, e.Position)
	case KeyedWriteEntry:
		s.keyedWrites.record(e.Group, e.Key, s.now-e.Age, s.now)
	}
}
