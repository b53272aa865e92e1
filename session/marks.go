package session

// sessionOf names a session of a group.
type sessionOf struct {
	group   int
	session uint64
}

// mark is the highest position of a session's writes that is known here.
type mark struct {
	position Position
	at       int64 // when it was told here
}

// marks are bounded by a span and a number. What is forgotten raises the floor of its group.
type marks struct {
	held map[sessionOf]mark
	line []aged // oldest first; one whose mark was raised since is passed over
}

type aged struct {
	of sessionOf
	at int64
}

func (m *marks) init() { m.held = map[sessionOf]mark{} }

// note raises a session's mark. A commit that did not tell its position lies under the next fence.
func (s *Sessions) note(grp int, session uint64, p Position) {
	if p <= 0 {
		s.lose()
		return
	}
	of := sessionOf{grp, session}
	if old, ok := s.marks.held[of]; ok && old.position >= p {
		return
	}
	s.marks.held[of] = mark{p, s.now}
	s.marks.line = append(s.marks.line, aged{of, s.now})
}

// forgetOld lets the floors of groups take the place of marks that are old or too many.
func (s *Sessions) forgetOld() {
	m := &s.marks
	n := 0
	for ; n < len(m.line); n++ {
		a := m.line[n]
		if s.now-a.at < s.terms.WatermarkExpiry && len(m.held) <= s.terms.MaxWatermarks {
			break
		}
		if held := m.held[a.of]; held.at == a.at && held.position > 0 {
			s.forget(a.of, held)
		}
	}
	// The array is left behind once half of it is forgotten: each entry moves once more at the most.
	if m.line = m.line[n:]; len(m.line) == 0 {
		m.line = nil
	}
	s.keys.forgetOld(s.now, s.terms.KeyedWriteExpiry, s.terms.MaxWatermarks)
}

// forget drops a mark and raises the floor of its group, never above what the primary was seen at long after: what
// it has not reached by then is lost or was never so.
func (s *Sessions) forget(of sessionOf, held mark) {
	delete(s.marks.held, of)
	g := s.groupOf(of.group)
	p := held.position
	if p > g.top && g.topAt > held.at+settle {
		p = g.top
	}
	if p > g.floor {
		g.floor, g.floorAt = p, s.now
	}
}

// floorOf is what a session's read must see by what is known here.
func (s *Sessions) floorOf(g *group, session uint64) (p Position, at int64) {
	p, at = g.floor, g.floorAt
	if held, ok := s.marks.held[sessionOf{g.id, session}]; ok && held.position > p {
		p, at = held.position, held.at
	}
	return p, at
}

// RecordCommit notes that a session's write is about to be answered as committed at a position. It is to be told before
// the answer is written.
func (s *Sessions) RecordCommit(grp int, session uint64, p Position) {
	s.earn(s.terms.MessagesPerTxn)
	if p > 0 {
		s.heardTop(s.groupOf(grp), p, s.now)
	}
	if session != 0 {
		s.note(grp, session, p)
		s.append(Entry{Kind: CommitEntry, Group: grp, Key: session, Position: p})
	}
}

// heardTop takes a primary's own word on its position, given at or after a time.
func (s *Sessions) heardTop(g *group, p Position, at int64) {
	if p > g.top || at > g.topSet+settle { // lower for so long: another primary, which has less or another clock
		if p < g.top { // what others showed may be what it lost
			g.seen = min(g.seen, p)
		}
		g.top, g.topSet = p, at
	}
	g.topAt = max(g.topAt, at)
}
