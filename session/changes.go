package session

// Change is one step of what is known here that a restart needs in order to go on as if nothing had been. A state is
// a list of them.
type Change struct {
	Kind     ChangeKind
	Peer     int    // Caught
	Sequence uint64 // Began: of the last note before; Noted: its number; Caught: the last that is held
	Epoch    uint64 // Began, Caught
	Entry    Entry  // Noted, Heard; Floored uses Group and Position
}

// ChangeKind is what a change is.
type ChangeKind uint8

const (
	EpochStarted  ChangeKind = iota // the epoch of this gateway's notes
	EntryRecorded                   // this gateway noted an entry
	EntryReceived                   // another did
	PeerCaughtUp                    // another's notes are held up to a number
	FloorSet                        // the floor of a group covers all losses so far
	EntriesLost                     // something was lost: no floor covers it yet
	GatewayEnded                    // No is what the list says of gateways that have ended, whose loss is told
)

// TrackChanges begins to gather changes for Changes. It is to be called before the first input.
func (s *Sessions) TrackChanges() { s.keeps = true }

// TakeChanges gives the changes since the last call, in order. What a write's answer must not be ahead of is there as soon
// as Committed has been told.
func (s *Sessions) TakeChanges() []Change {
	c := s.changes
	s.changes = nil
	return c
}

func (s *Sessions) changed(c Change) {
	if s.keeps {
		s.changes = append(s.changes, c)
	}
}

func (s *Sessions) lose() {
	s.loss++
	s.stats.EntryLosses++
	s.changed(Change{Kind: EntriesLost})
}

// Snapshot gives the state as changes.
func (s *Sessions) Snapshot() (all []Change) {
	n := &s.notes
	all = append(all, Change{Kind: EpochStarted, Epoch: s.epoch, Sequence: n.last - uint64(len(n.ring))})
	for _, a := range s.marks.line {
		if held := s.marks.held[a.of]; held.at == a.at && held.position > 0 {
			all = append(all, Change{Kind: EntryReceived, Entry: Entry{Kind: CommitEntry, Group: a.of.group, Key: a.of.session,
				Position: held.position, Age: s.now - a.at}})
		}
	}
	for _, key := range s.keys.line {
		held := s.keys.held[key]
		all = append(all, Change{Kind: EntryReceived, Entry: Entry{Kind: KeyedWriteEntry, Group: held.group, Key: key, Age: s.now - held.first}})
	}
	for i, x := range n.ring {
		e := x.Entry
		e.Age = s.now - x.at
		all = append(all, Change{Kind: EntryRecorded, Sequence: n.last - uint64(len(n.ring)-1-i), Entry: e})
	}
	for _, g := range s.groups {
		if g.fenced == s.loss {
			all = append(all, Change{Kind: FloorSet, Entry: Entry{Group: g.id, Position: g.floor}})
		}
	}
	if s.ended != 0 {
		all = append(all, Change{Kind: GatewayEnded, Sequence: s.ended})
	}
	for i := range s.peers {
		if p := &s.peers[i]; p.known {
			all = append(all, Change{Kind: PeerCaughtUp, Peer: i, Epoch: p.epoch, Sequence: p.upto})
		}
	}
	return all
}

// Restore takes a state and the changes since, all of them: nothing was answered that they lack. It is to be called
// after the first Clock and before the first input. Groups without a floor are fenced as at a first start.
func (s *Sessions) Restore(all []Change) {
	for i := range all {
		c := &all[i]
		e := c.Entry
		switch c.Kind {
		case EpochStarted:
			s.epoch, s.notes.last, s.notes.ring = c.Epoch, c.Sequence, nil
			s.notes.pushed = c.Sequence
		case EntryRecorded:
			s.remember(&e)
			s.notes.last = c.Sequence
			if s.terms.FleetSize > 1 || s.terms.DynamicMembership {
				s.notes.ring = append(s.notes.ring, noted{e, s.now - e.Age})
				s.notes.trim()
			}
		case EntryReceived:
			s.remember(&e)
		case PeerCaughtUp:
			if s.terms.DynamicMembership && c.Peer >= len(s.peers) {
				s.peers = append(s.peers, make([]peer, c.Peer+1-len(s.peers))...)
			}
			if s.isPeer(c.Peer) || s.terms.DynamicMembership { // who of them is still to be asked the list tells
				p := &s.peers[c.Peer]
				p.known, p.epoch, p.upto = true, c.Epoch, c.Sequence
			}
		case FloorSet:
			g := s.groupOf(e.Group)
			g.floor, g.floorAt, g.fenced = e.Position, s.now, s.loss
		case EntriesLost:
			s.loss++
		case GatewayEnded:
			s.ended = c.Sequence
		}
	}
	s.changes = nil
}

// RestoreKeyedWrites takes of a state that may lack something what is true all the same: which keyed writes were sent.
func (s *Sessions) RestoreKeyedWrites(all []Change) {
	for i := range all {
		if e := all[i].Entry; e.Kind == KeyedWriteEntry && (all[i].Kind == EntryRecorded || all[i].Kind == EntryReceived) {
			s.remember(&e)
		}
	}
	s.changes = nil
}

func (s *Sessions) remember(e *Entry) {
	switch e.Kind {
	case CommitEntry:
		s.note(e.Group, e.Key, e.Position)
	case KeyedWriteEntry:
		s.keys.note(e.Group, e.Key, s.now-e.Age, s.now)
	}
}
