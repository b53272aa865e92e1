package session

import (
	"slices"
)

// group is what is known of one primary and its replicas.
type group struct {
	id      int
	floor   Position // every read's: what was forgotten, or lost to this gateway, lies at or below
	floorAt int64
	fenced  uint64   // the count of losses that the floor covers
	top     Position // highest position that a primary told of itself
	topSet  int64    // when the question for that word went out
	topAt   int64    // the same of the latest word
	seen    Position // highest that any other member was seen at: the log stood there, whoever is its primary
	waiting []*read  // in the order of arrival
	fences  []question
	fenceAt int64 // no new one before
	lacking bool  // fences fail, as last logged
	failed  int   // in a row
}

// read is a session read that waits for its floor.
type read struct {
	id       uint64
	session  uint64
	brought  Position
	complete bool // brought covers all that the session wrote
	noted    bool // all that was answered before it came is noted here: what it brought alone is in doubt
	arrived  int64
	until    int64
	order    uint64
	group    *group
}

// question is a fence under way.
type question struct {
	no     uint64
	at     int64
	loss   uint64 // the count of losses when it went out
	covers uint64 // reads up to this one in the order of arrival
}

// round is a question to all other gateways.
type round struct {
	began  int64 // 0 while there is none
	covers uint64
	after  uint64 // questions with a higher number belong to it
	lacks  []bool // by peer: its notes are not yet held to the last
	open   int
	tries  int
}

func (s *Sessions) groupOf(id int) *group {
	g := s.byID[id]
	if g == nil {
		g = &group{id: id}
		s.byID[id] = g
		at, _ := slices.BinarySearchFunc(s.groups, id, func(g *group, id int) int { return g.id - id })
		s.groups = slices.Insert(s.groups, at, g)
	}
	return g
}

// AddRead takes a session read. brought is the position that its client says the session has reached, 0 for none;
// complete says that this covers all that the session wrote, 0 that it wrote nothing. What has no floor by a part of
// its time before until is refused.
func (s *Sessions) AddRead(id uint64, grp int, session uint64, brought Position, complete bool, until int64) {
	s.earn(s.terms.MessagesPerTxn)
	s.stats.Reads++
	s.order++
	g := s.groupOf(grp)
	r := &read{id: id, session: session, brought: brought, complete: complete, arrived: s.now, order: s.order, group: g,
		until: until - max(leastLeft, (until-s.now)/refusePart)}
	switch {
	case session == 0 && brought == 0:
		s.serve(r, 0)
		return
	case s.terms.Source == SourceLocal:
		floor, _ := s.floorOf(g, session)
		s.serve(r, max(floor, brought))
		return
	case complete && s.terms.Source == SourceEntries && s.believed(r):
		s.stats.Trusted++
		s.serve(r, brought)
		return
	}
	s.reads[id] = r
	g.waiting = append(g.waiting, r)
}

// believed tells whether a position that a client brings can be taken as it is: the group was seen there. One from
// further ahead may be forged, or of a clock that runs ahead; the primary's position bounds it.
func (s *Sessions) believed(r *read) bool {
	known, _ := s.floorOf(r.group, r.session)
	return r.brought <= max(known, r.group.top, r.group.seen)
}

// CancelRead takes back a read whose client is gone.
func (s *Sessions) CancelRead(id uint64) {
	if r := s.reads[id]; r != nil {
		s.drop(r)
	}
}

func (s *Sessions) drop(r *read) {
	delete(s.reads, r.id)
	r.group.waiting = slices.DeleteFunc(r.group.waiting, func(x *read) bool { return x == r })
}

func (s *Sessions) serve(r *read, floor Position) {
	s.stats.WaitTime += s.now - r.arrived
	s.out = append(s.out, Decision{Kind: Serve, ReadID: r.id, Group: r.group.id, Floor: floor})
}

// release serves all waiting reads of a group that something answers.
func (s *Sessions) release(g *group, answers func(*read) (Position, bool)) (n int) {
	g.waiting = slices.DeleteFunc(g.waiting, func(r *read) bool {
		floor, ok := answers(r)
		if !ok {
			return false
		}
		delete(s.reads, r.id)
		s.serve(r, floor)
		n++
		return true
	})
	return n
}

// FenceCompleted takes a primary's word on its position, as the answer to a question. The member must have said in the same
// answer that it is the primary.
func (s *Sessions) FenceCompleted(grp int, no uint64, p Position) {
	g := s.groupOf(grp)
	i := slices.IndexFunc(g.fences, func(q question) bool { return q.no == no })
	if i < 0 || p <= 0 {
		return
	}
	q := g.fences[i]
	g.fences = slices.Delete(g.fences, 0, i+1) // those before it have nothing to add
	g.failed = 0
	if g.lacking {
		g.lacking = false
		s.log("group %d: its primary tells its position again, %d reads waited", grp, len(g.waiting))
	}
	s.heardTop(g, p, q.at)
	if g.floor > p && g.floorAt+settle < q.at {
		s.log("group %d: floor %d ms beyond its primary, lowered: commits were lost in a switch, or clocks differ",
			grp, int64(g.floor-p)/1e6)
		g.floor = p
	}
	if q.loss > g.fenced {
		g.fenced = q.loss
		if p > g.floor {
			g.floor, g.floorAt = p, s.now
		}
		if g.fenced == s.loss {
			s.changed(Change{Kind: FloorSet, Entry: Entry{Group: g.id, Position: g.floor}})
		}
	}
	s.stats.Fenced += uint64(s.release(g, func(r *read) (Position, bool) {
		if r.order > q.covers {
			return 0, false
		}
		if r.complete {
			return min(r.brought, p), true
		}
		return p, true
	}))
}

// RecordMemberPosition takes the position of a member that is not the primary, or does not say so. It bounds no read, as the primary
// may be further; but the group's log stood there, so a floor or a client's position from before that is in reach and
// needs no primary. Without it a gateway that came back while its primary hangs refuses, from a second on, every read
// of the sessions that it has notes of. It may harm where a member tells positions that its group never had: what
// clients bring is then believed up to there.
func (s *Sessions) RecordMemberPosition(grp int, p Position) {
	g := s.groupOf(grp)
	if p <= g.seen {
		return
	}
	g.seen = p
	s.release(g, func(r *read) (Position, bool) {
		floor, _ := s.floorOf(g, r.session)
		switch {
		case r.complete && s.terms.Source == SourceEntries && s.believed(r):
			s.stats.Trusted++
			return r.brought, true
		case r.noted && s.believed(r):
			s.stats.Covered++
			return max(floor, r.brought), true
		}
		return 0, false
	})
}

// FenceFailed tells that a fence has no answer: no primary is known, it drains, or it did not answer as one.
func (s *Sessions) FenceFailed(grp int, no uint64) {
	g := s.groupOf(grp)
	before := len(g.fences)
	if g.fences = slices.DeleteFunc(g.fences, func(q question) bool { return q.no == no }); len(g.fences) == before {
		return
	}
	g.fenceAt = s.now + oftenest
	if g.failed++; g.failed > 10 && !g.lacking {
		g.lacking = true
		s.log("group %d: no primary tells its position, %d reads wait", grp, len(g.waiting))
	}
}

// decideReads looks at the reads that wait: what can be answered, what must be asked, what is out of time.
func (s *Sessions) decideReads() {
	s.repeatRound()
	s.roundOverdue()
	wantsRound := false
	for _, g := range s.groups {
		if len(g.waiting) == 0 {
			continue
		}
		for len(g.waiting) > 0 {
			r := s.firstOverdue(g)
			if r == nil {
				break
			}
			s.drop(r)
			s.stats.Refused++
			s.out = append(s.out, Decision{Kind: Refuse, ReadID: r.id, Group: g.id, Delay: s.terms.RetryAfter})
		}
		if len(s.others) == 0 && s.current() && s.terms.Source == SourceEntries && g.fenced == s.loss {
			s.covered(g, s.order)
		}
		if len(g.waiting) == 0 {
			continue
		}
		if s.roundServes(g) {
			wantsRound = true
		} else {
			s.fence(g)
		}
	}
	if wantsRound && s.round.began == 0 {
		s.beginRound()
	}
}

func (s *Sessions) firstOverdue(g *group) *read {
	for _, r := range g.waiting {
		if s.now >= r.until {
			return r
		}
	}
	return nil
}

// covered serves the reads up to one in the order of arrival by what is noted. A floor that some member should have
// shown itself beyond long since is not taken as it is.
func (s *Sessions) covered(g *group, upto uint64) {
	s.stats.Covered += uint64(s.release(g, func(r *read) (Position, bool) {
		if r.order > upto || r.complete {
			return 0, false
		}
		floor, at := s.floorOf(g, r.session)
		if floor > max(g.top, g.seen) && s.now-at > settle {
			return 0, false
		}
		r.noted = true
		return max(floor, r.brought), s.believed(r)
	}))
}

// roundServes tells whether the other gateways are to be asked for a group's reads, rather than its primary.
func (s *Sessions) roundServes(g *group) bool {
	if !s.asksAll() || g.fenced != s.loss || len(g.fences) > 0 || !s.current() && s.round.began == 0 {
		return false
	}
	for _, i := range s.others {
		if s.peers[i].silent || !s.peers[i].known {
			return false
		}
	}
	for _, r := range g.waiting {
		// A position from ahead is for the primary to bound, and so is what a round was in vain for.
		if r.complete || r.order <= s.round.covers && s.round.began == 0 {
			return false
		}
	}
	return s.round.began != 0 || s.credit >= float64(2*len(s.others))
}

// fence asks a group's primary for its position, for all reads that wait.
func (s *Sessions) fence(g *group) {
	n := len(g.fences)
	// One at a time: the next begins when this one ends, or takes too long.
	if s.now < g.fenceAt || n > 0 && s.now-g.fences[n-1].at < s.terms.FenceTimeout {
		return
	}
	if len(g.fences) >= questions {
		g.fences = slices.Delete(g.fences, 0, 1)
	}
	s.nonce++
	s.stats.FenceRequests++
	g.fences = append(g.fences, question{no: s.nonce, at: s.now, loss: s.loss, covers: s.order})
	s.out = append(s.out, Decision{Kind: Fence, Group: g.id, RequestID: s.nonce})
}

// beginRound asks all other gateways what they noted.
func (s *Sessions) beginRound() {
	s.round = round{began: s.now, covers: s.order, after: s.nonce, lacks: make([]bool, len(s.peers)), tries: 1}
	for _, i := range s.others {
		s.ask(i)
		s.round.lacks[i] = true
		s.round.open++
	}
}

// repeatAt is when those that have not answered are asked again: a message may be lost.
func (r *round) repeatAt(wait int64) int64 { return r.began + wait*int64(r.tries)/roundTries }

func (s *Sessions) repeatRound() {
	r := &s.round
	if r.began == 0 || r.tries >= roundTries || s.now < r.repeatAt(s.terms.PeerTimeout) || s.now-r.began >= s.terms.PeerTimeout {
		return
	}
	r.tries++
	for i, lacks := range r.lacks {
		if lacks && s.credit >= 2 {
			s.ask(i)
		}
	}
}

// roundHeard takes an answer to a round's question.
func (s *Sessions) roundHeard(from int, no uint64, whole bool) {
	if s.round.began == 0 || no <= s.round.after || !s.round.lacks[from] || !whole {
		return
	}
	s.round.lacks[from] = false
	if s.round.open--; s.round.open > 0 {
		return
	}
	covers := s.round.covers
	s.round.began = 0
	for _, g := range s.groups {
		if g.fenced == s.loss && len(g.waiting) > 0 {
			s.covered(g, covers)
		}
	}
}

// roundOverdue gives up a round that takes too long: who has said nothing is silent from now on, until it answers.
// One that lost a page on the way is not; the reads are fenced all the same.
func (s *Sessions) roundOverdue() {
	if s.round.began == 0 || s.now-s.round.began < s.terms.PeerTimeout {
		return
	}
	began := s.round.began
	s.round.began = 0
	for i, lacks := range s.round.lacks {
		if p := &s.peers[i]; lacks && !p.silent && p.heardAt < began {
			p.silent, p.silentAt, p.retry = true, s.now, s.terms.PeerTimeout
			s.log("gateway %d does not answer, reads are fenced, notes held to %d", i, p.upto)
		}
	}
}

// due is when the next round is needed, 0 for never.
func (s *Sessions) due() int64 {
	var at int64
	by := func(t int64) {
		if at == 0 || t < at {
			at = t
		}
	}
	for _, g := range s.groups {
		for _, r := range g.waiting {
			by(r.until)
		}
		if len(g.waiting) > 0 {
			if n := len(g.fences); n > 0 {
				by(max(g.fenceAt, g.fences[n-1].at+s.terms.FenceTimeout))
			} else if g.fenceAt > s.now {
				by(g.fenceAt)
			}
		}
	}
	if s.round.began > 0 {
		by(min(s.round.repeatAt(s.terms.PeerTimeout), s.round.began+s.terms.PeerTimeout))
	}
	if len(s.others) > 0 {
		for _, i := range s.others {
			if s.asksAll() {
				by(max(s.now+slowWake, s.peers[i].askedAt+s.keepalive(&s.peers[i])))
			}
		}
		if n := &s.notes; n.pushed < n.last {
			by(s.now + pushAfter)
		}
	}
	return at
}
