package session

// sessionKey identifies a session of a group.
type sessionKey struct {
	group   int
	session uint64
}

// watermark is the highest known position of a session's writes.
type watermark struct {
	position   Position
	recordedAt int64 // when this gateway received it
}

// watermarks are limited by age and number. One that expires raises the floor of its group.
type watermarks struct {
	bySession map[sessionKey]watermark
	byAge     []watermarkAge // oldest first; one whose watermark was raised since is skipped
}

type watermarkAge struct {
	key        sessionKey
	recordedAt int64
}

func (m *watermarks) init() { m.bySession = map[sessionKey]watermark{} }

// raiseWatermark raises a session's watermark. A commit that did not report its position is a loss, which the next
// fence covers.
func (s *Sessions) raiseWatermark(groupID int, session uint64, p Position) {
	if p <= 0 {
		s.recordLoss()
		return
	}
	key := sessionKey{groupID, session}
	if old, ok := s.watermarks.bySession[key]; ok && old.position >= p {
		return
	}
	s.watermarks.bySession[key] = watermark{p, s.now}
	s.watermarks.byAge = append(s.watermarks.byAge, watermarkAge{key, s.now})
}

// expireOld replaces watermarks that are too old or too many by the floors of their groups, and drops old keyed writes.
func (s *Sessions) expireOld() {
	m := &s.watermarks
	n := 0
	for ; n < len(m.byAge); n++ {
		a := m.byAge[n]
		if s.now-a.recordedAt < s.config.WatermarkExpiry && len(m.bySession) <= s.config.MaxWatermarks {
			break
		}
		if held := m.bySession[a.key]; held.recordedAt == a.recordedAt && held.position > 0 {
			s.expireWatermark(a.key, held)
		}
	}
	// Reslicing leaves the array to a later append, which copies what is left: each entry is copied at most once more.
	if m.byAge = m.byAge[n:]; len(m.byAge) == 0 {
		m.byAge = nil
	}
	s.keyedWrites.expireOld(s.now, s.config.KeyedWriteExpiry, s.config.MaxWatermarks)
}

// expireWatermark drops a watermark and raises the floor of its group, but not above where a fence found the primary long
// after: a position that it has not reached by then was lost or never existed. A commit's position does not tell where the
// primary stands: that of a repeated write is that of its first commit.
func (s *Sessions) expireWatermark(key sessionKey, held watermark) {
	delete(s.watermarks.bySession, key)
	g := s.groupByID(key.group)
	p := held.position
	if p > g.fencedPosition && g.fencedAt > held.recordedAt+positionSettleTime {
		p = g.fencedPosition
	}
	if p > g.floor {
		g.floor, g.floorSetAt = p, s.now
	}
}

// sessionFloor returns the position that a session's read must see according to the local state, and when it was set.
func (s *Sessions) sessionFloor(g *group, session uint64) (p Position, setAt int64) {
	p, setAt = g.floor, g.floorSetAt
	if held, ok := s.watermarks.bySession[sessionKey{g.id, session}]; ok && held.position > p {
		p, setAt = held.position, held.recordedAt
	}
	return p, setAt
}

// RecordCommit records that a session's write is about to be answered as committed at a position. The host must call
// it before it writes the answer.
func (s *Sessions) RecordCommit(groupID int, session uint64, p Position) {
	s.addMessageBudget(s.config.MessagesPerTxn)
	if p > 0 {
		s.updatePrimaryPosition(s.groupByID(groupID), p, s.now)
	}
	if session != 0 {
		s.raiseWatermark(groupID, session, p)
		s.appendEntry(Entry{Kind: CommitEntry, Group: groupID, Key: session, Position: p})
	}
}

// updatePrimaryPosition takes the position that a primary reported of itself, at or after a time.
func (s *Sessions) updatePrimaryPosition(g *group, p Position, at int64) {
	// A position that stays lower for so long is of another primary, which has less or another clock.
	if p > g.primaryPosition || at > g.primaryPositionSetAt+positionSettleTime {
		if p < g.primaryPosition { // other members may have reported positions that the new primary lost
			g.maxMemberPosition = min(g.maxMemberPosition, p)
		}
		g.primaryPosition, g.primaryPositionSetAt = p, at
	}
}
