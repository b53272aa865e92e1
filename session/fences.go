package session

import (
	"slices"
)

// group is the state of one primary and its replicas.
type group struct {
	id                       int
	floor                    Position // applies to every read: expired watermarks and lost entries lie at or below it
	floorSetAt               int64
	coveredLosses            uint64   // the loss count that the floor covers
	primaryPosition          Position // highest position that a primary reported of itself
	primaryPositionSetAt     int64    // when the request for that report was sent
	fencedPosition           Position // what the latest fence proved, at fencedAt
	fencedAt                 int64    // when that fence was sent
	maxMemberPosition        Position // highest position reported of any other member: the group's log has reached it, whoever is its primary
	waitingReads             []*read  // in the order of arrival
	pendingFences            []fenceRequest
	nextFenceAt              int64 // no new fence before
	primaryUnavailable       bool  // fences fail, as last logged
	consecutiveFenceFailures int
	positionsUntold          bool  // the last fence was answered by a primary that told no position
	fenceDuration            int64 // how long the last fence that was answered took
}

// read is a session read that waits for its floor.
type read struct {
	id              uint64
	session         uint64
	clientPosition  Position
	complete        bool // clientPosition covers all that the session wrote
	entriesComplete bool // all entries from before its arrival are held here: only clientPosition is in doubt
	arrivedAt       int64
	deadline        int64
	arrival         uint64 // number in the order of arrival
	fenceID         uint64 // the latest fence that was asked with it, 0 for none
	group           *group
}

// fenceRequest is a fence in flight.
type fenceRequest struct {
	id          uint64
	sentAt      int64
	lossCount   uint64 // when it was sent
	lastArrival uint64 // the latest read that it covers, in the order of arrival
}

// peerQuery is a request to all other gateways for their entries.
type peerQuery struct {
	startedAt         int64 // 0 while there is none
	lastArrival       uint64
	previousRequestID uint64 // requests with a higher number belong to the query
	pending           []bool // by peer: its entries are not yet held up to its last
	pendingCount      int
	attempts          int
}

func (s *Sessions) groupByID(id int) *group {
	g := s.groupsByID[id]
	if g == nil {
		g = &group{id: id}
		s.groupsByID[id] = g
		at, _ := slices.BinarySearchFunc(s.groups, id, func(g *group, id int) int { return g.id - id })
		s.groups = slices.Insert(s.groups, at, g)
	}
	return g
}

// AddRead takes a session read. clientPosition is the position that its client reports for the session, 0 for none;
// complete means that it covers all that the session wrote, 0 that it wrote nothing. A read without a floor when a
// reserved fraction of its time is left before until is refused.
func (s *Sessions) AddRead(id uint64, groupID int, session uint64, clientPosition Position, complete bool, until int64) {
	s.addMessageBudget(s.config.MessagesPerTxn)
	s.stats.Reads++
	s.lastArrival++
	g := s.groupByID(groupID)
	r := &read{id: id, session: session, clientPosition: clientPosition, complete: complete, arrivedAt: s.now,
		arrival: s.lastArrival, group: g, deadline: until - max(minDeadlineReserve, (until-s.now)/deadlineReserveDivisor)}
	switch {
	case session == 0 && clientPosition == 0:
		s.serve(r, 0)
		return
	case s.config.Source == SourceLocal:
		floor, _ := s.sessionFloor(g, session)
		s.serve(r, max(floor, clientPosition))
		return
	case complete && s.config.Source == SourceEntries && s.trustsClientPosition(r):
		s.stats.Trusted++
		s.serve(r, clientPosition)
		return
	}
	s.reads[id] = r
	g.waitingReads = append(g.waitingReads, r)
}

// trustsClientPosition reports whether a client's position can be taken as it is: the group is known to have reached
// it. A higher one may be forged, or come from a clock that runs ahead; the primary's position bounds it.
func (s *Sessions) trustsClientPosition(r *read) bool {
	floor, _ := s.sessionFloor(r.group, r.session)
	return r.clientPosition <= max(floor, r.group.primaryPosition, r.group.maxMemberPosition)
}

// LimitReads has the reads that wait refused in time to be answered by a given time.
func (s *Sessions) LimitReads(until int64) {
	for _, r := range s.reads {
		r.deadline = min(r.deadline, until-minDeadlineReserve)
	}
}

// CancelRead removes a read whose client is gone.
func (s *Sessions) CancelRead(id uint64) {
	if r := s.reads[id]; r != nil {
		s.removeRead(r)
	}
}

func (s *Sessions) removeRead(r *read) {
	delete(s.reads, r.id)
	r.group.waitingReads = slices.DeleteFunc(r.group.waitingReads, func(x *read) bool { return x == r })
}

func (s *Sessions) serve(r *read, floor Position) {
	s.stats.WaitTime += s.now - r.arrivedAt
	s.decisions = append(s.decisions, Decision{Kind: Serve, ReadID: r.id, Group: r.group.id, Floor: floor})
}

// serveWaiting serves all waiting reads of a group for which floorOf returns a floor.
func (s *Sessions) serveWaiting(g *group, floorOf func(*read) (Position, bool)) (served int) {
	g.waitingReads = slices.DeleteFunc(g.waitingReads, func(r *read) bool {
		floor, ok := floorOf(r)
		if !ok {
			return false
		}
		delete(s.reads, r.id)
		s.serve(r, floor)
		served++
		return true
	})
	return served
}

// FenceCompleted takes the position that a primary told in its answer to the read of a fence, 0 if it told none. The
// position must be that of a moment after the fence was asked, as every commit that was answered before is to lie at or
// below it: a load report, which may be older, does not prove that. The member must have stated in the same answer that
// it is the primary.
func (s *Sessions) FenceCompleted(groupID int, requestID uint64, p Position) {
	g := s.groupByID(groupID)
	i := g.fenceIndex(requestID)
	if i < 0 {
		return
	}
	f := g.pendingFences[i]
	g.fenceDuration = s.now - f.sentAt
	if g.positionsUntold = p <= 0; g.positionsUntold {
		g.pendingFences = slices.Delete(g.pendingFences, i, i+1)
		return
	}
	g.pendingFences = slices.Delete(g.pendingFences, 0, i+1) // earlier ones cover nothing more
	g.consecutiveFenceFailures = 0
	if g.primaryUnavailable {
		g.primaryUnavailable = false
		s.log("group %d: its primary tells its position again, %d reads waited", groupID, len(g.waitingReads))
	}
	g.fencedPosition, g.fencedAt = p, f.sentAt
	s.updatePrimaryPosition(g, p, f.sentAt)
	if g.floor > p && g.floorSetAt+positionSettleTime < f.sentAt {
		s.log("group %d: floor %d ms beyond its primary, lowered: commits were lost in a switch, or clocks differ",
			groupID, int64(g.floor-p)/1e6)
		g.floor = p
	}
	if f.lossCount > g.coveredLosses {
		g.coveredLosses = f.lossCount
		if p > g.floor {
			g.floor, g.floorSetAt = p, s.now
		}
		if g.coveredLosses == s.lossCount {
			s.recordChange(Change{Kind: FloorSet, Entry: Entry{Group: g.id, Position: g.floor}})
		}
	}
	s.stats.Fenced += uint64(s.serveWaiting(g, func(r *read) (Position, bool) {
		if r.arrival > f.lastArrival {
			return 0, false
		}
		if r.complete {
			return min(r.clientPosition, p), true
		}
		floor, setAt := s.sessionFloor(g, r.session)
		if setAt+positionSettleTime < f.sentAt { // if it lies beyond the primary, it is out of reach
			return p, true
		}
		return max(floor, p), true
	}))
}

// ReadRouted reports that the host has routed a fence's read to the primary: it is answered there and waits no more.
func (s *Sessions) ReadRouted(id uint64) {
	if r := s.reads[id]; r != nil {
		s.removeRead(r)
		s.stats.Fenced++
		s.stats.WaitTime += s.now - r.arrivedAt
	}
}

// RecordMemberPosition takes the position of a member that is not the primary, or does not state that it is. It bounds
// no read, as the primary may be ahead; but the group's log has reached it, so a lower floor or client position is
// within reach and needs no primary. Without it a gateway that restarted while its primary hangs refuses, from one
// second on, every read of the sessions that it has entries of. It is unsafe where a member reports positions that its
// group never had: client positions are then trusted up to there.
func (s *Sessions) RecordMemberPosition(groupID int, p Position) {
	g := s.groupByID(groupID)
	if p <= g.maxMemberPosition {
		return
	}
	g.maxMemberPosition = p
	s.serveWaiting(g, func(r *read) (Position, bool) {
		floor, _ := s.sessionFloor(g, r.session)
		switch {
		case r.complete && s.config.Source == SourceEntries && s.trustsClientPosition(r):
			s.stats.Trusted++
			return r.clientPosition, true
		case r.entriesComplete && s.trustsClientPosition(r):
			s.stats.Covered++
			return max(floor, r.clientPosition), true
		}
		return 0, false
	})
}

// FenceFailed reports that a fence has no response: no primary is known, it drains, or it did not respond as one.
func (s *Sessions) FenceFailed(groupID int, requestID uint64) {
	g := s.groupByID(groupID)
	i := g.fenceIndex(requestID)
	if i < 0 {
		return
	}
	g.pendingFences = slices.Delete(g.pendingFences, i, i+1)
	g.positionsUntold = false
	g.nextFenceAt = s.now + fenceRetryInterval
	if g.consecutiveFenceFailures++; g.consecutiveFenceFailures > 10 && !g.primaryUnavailable {
		g.primaryUnavailable = true
		s.log("group %d: no primary tells its position, %d reads wait", groupID, len(g.waitingReads))
	}
}

// processReads serves the waiting reads that can be served, refuses the overdue ones and sends requests for the rest.
func (s *Sessions) processReads() {
	s.retryPeerQuery()
	s.expirePeerQuery()
	needsQuery := false
	for _, g := range s.groups {
		if len(g.waitingReads) == 0 {
			continue
		}
		for len(g.waitingReads) > 0 {
			r := s.firstOverdue(g)
			if r == nil {
				break
			}
			s.removeRead(r)
			s.stats.Refused++
			s.decisions = append(s.decisions, Decision{Kind: Refuse, ReadID: r.id, Group: g.id, Delay: s.config.RetryAfter})
		}
		if len(s.otherGateways) == 0 && s.leaseValid() && s.config.Source == SourceEntries && g.coveredLosses == s.lossCount {
			s.serveFromEntries(g, s.lastArrival)
		}
		if len(g.waitingReads) == 0 {
			continue
		}
		if s.usesPeerQuery(g) {
			needsQuery = true
		} else {
			s.requestFence(g)
		}
	}
	if needsQuery && s.query.startedAt == 0 {
		s.startPeerQuery()
	}
}

func (s *Sessions) firstOverdue(g *group) *read {
	for _, r := range g.waitingReads {
		if s.now >= r.deadline {
			return r
		}
	}
	return nil
}

// serveFromEntries serves the reads up to one in the order of arrival by the entries held here. A floor that some
// member should have passed long ago is not taken as it is.
func (s *Sessions) serveFromEntries(g *group, lastArrival uint64) {
	s.stats.Covered += uint64(s.serveWaiting(g, func(r *read) (Position, bool) {
		if r.arrival > lastArrival || r.complete {
			return 0, false
		}
		floor, setAt := s.sessionFloor(g, r.session)
		if floor > max(g.primaryPosition, g.maxMemberPosition) && s.now-setAt > positionSettleTime {
			return 0, false
		}
		r.entriesComplete = true
		return max(floor, r.clientPosition), s.trustsClientPosition(r)
	}))
}

// usesPeerQuery reports whether the other gateways are to be asked for a group's reads, rather than its primary.
func (s *Sessions) usesPeerQuery(g *group) bool {
	if !s.canQueryPeers() || g.coveredLosses != s.lossCount || len(g.pendingFences) > 0 ||
		!s.leaseValid() && s.query.startedAt == 0 {
		return false
	}
	for _, i := range s.otherGateways {
		if s.peers[i].unresponsive || !s.peers[i].epochKnown {
			return false
		}
	}
	for _, r := range g.waitingReads {
		// The primary must bound a client position from ahead, and serves the reads that a query failed for.
		if r.complete || r.arrival <= s.query.lastArrival && s.query.startedAt == 0 {
			return false
		}
	}
	return s.query.startedAt != 0 || s.messageBudget >= float64(2*len(s.otherGateways))
}

// requestFence asks a group's primary for its position, for all reads that wait. The oldest of them is the question: what
// the primary answers to it is as fresh as the fence. While the primary tells no positions, each read is one.
func (s *Sessions) requestFence(g *group) {
	for _, r := range g.waitingReads {
		if !s.mayRequestFence(g) {
			return
		}
		if !g.positionsUntold || g.fenceIndex(r.fenceID) < 0 {
			s.fenceWith(g, r)
		}
	}
}

// fenceIndex is the index of a fence in flight, -1 if it is not.
func (g *group) fenceIndex(id uint64) int {
	return slices.IndexFunc(g.pendingFences, func(f fenceRequest) bool { return f.id == id })
}

// mayRequestFence reports whether a fence may be asked for: one at a time, the next begins when this one ends or takes too
// long.
func (s *Sessions) mayRequestFence(g *group) bool {
	n := len(g.pendingFences)
	if s.now < g.nextFenceAt || n >= maxPendingFences {
		return false
	}
	return n == 0 || g.positionsUntold || s.now >= s.fenceOverdueAt(g)
}

// fenceOverdueAt is when the latest fence in flight takes too long: it costs the primary a read, which may take longer than
// FenceTimeout.
func (s *Sessions) fenceOverdueAt(g *group) int64 {
	expected := min(fenceDurations*g.fenceDuration, maxFenceTimeouts*s.config.FenceTimeout)
	return g.pendingFences[len(g.pendingFences)-1].sentAt + max(s.config.FenceTimeout, expected)
}

func (s *Sessions) fenceWith(g *group, r *read) {
	s.lastRequestID++
	r.fenceID = s.lastRequestID
	s.stats.FenceRequests++
	g.pendingFences = append(g.pendingFences,
		fenceRequest{id: s.lastRequestID, sentAt: s.now, lossCount: s.lossCount, lastArrival: s.lastArrival})
	floor, _ := s.sessionFloor(g, r.session)
	if s.trustsClientPosition(r) {
		floor = max(floor, r.clientPosition)
	}
	s.decisions = append(s.decisions, Decision{Kind: Fence, ReadID: r.id, Group: g.id, RequestID: s.lastRequestID, Floor: floor})
}

// startPeerQuery requests the entries of all other gateways.
func (s *Sessions) startPeerQuery() {
	s.query = peerQuery{startedAt: s.now, lastArrival: s.lastArrival, previousRequestID: s.lastRequestID,
		pending: make([]bool, len(s.peers)), attempts: 1}
	for _, i := range s.otherGateways {
		s.requestEntries(i)
		s.query.pending[i] = true
		s.query.pendingCount++
	}
}

// nextAttemptAt is when peers that have not responded are asked again, as a message may be lost.
func (q *peerQuery) nextAttemptAt(timeout int64) int64 {
	return q.startedAt + timeout*int64(q.attempts)/maxQueryAttempts
}

func (s *Sessions) retryPeerQuery() {
	q := &s.query
	if q.startedAt == 0 || q.attempts >= maxQueryAttempts || s.now < q.nextAttemptAt(s.config.PeerTimeout) ||
		s.now-q.startedAt >= s.config.PeerTimeout {
		return
	}
	q.attempts++
	for i, pending := range q.pending {
		if pending && s.messageBudget >= 2 {
			s.requestEntries(i)
		}
	}
}

// recordPeerResponse takes a response to a query's request. caughtUp means that all of the peer's entries are held.
func (s *Sessions) recordPeerResponse(from int, requestID uint64, caughtUp bool) {
	if s.query.startedAt == 0 || requestID <= s.query.previousRequestID || !s.query.pending[from] || !caughtUp {
		return
	}
	s.query.pending[from] = false
	if s.query.pendingCount--; s.query.pendingCount > 0 {
		return
	}
	lastArrival := s.query.lastArrival
	s.query.startedAt = 0
	for _, g := range s.groups {
		if g.coveredLosses == s.lossCount && len(g.waitingReads) > 0 {
			s.serveFromEntries(g, lastArrival)
		}
	}
}

// expirePeerQuery gives up a query that takes too long: a peer that sent nothing is unresponsive until it responds
// again. A peer of which only a page was lost is not; the reads are fenced all the same.
func (s *Sessions) expirePeerQuery() {
	if s.query.startedAt == 0 || s.now-s.query.startedAt < s.config.PeerTimeout {
		return
	}
	startedAt := s.query.startedAt
	s.query.startedAt = 0
	for i, pending := range s.query.pending {
		if p := &s.peers[i]; pending && !p.unresponsive && p.respondedAt < startedAt {
			p.unresponsive, p.unresponsiveSince, p.retryInterval = true, s.now, s.config.PeerTimeout
			s.log("gateway %d does not answer, reads are fenced, notes held to %d", i, p.lastSequence)
		}
	}
}

// nextDeadline is when the next round is needed, 0 for never.
func (s *Sessions) nextDeadline() int64 {
	var earliest int64
	include := func(t int64) {
		if earliest == 0 || t < earliest {
			earliest = t
		}
	}
	for _, g := range s.groups {
		for _, r := range g.waitingReads {
			include(r.deadline)
		}
		if len(g.waitingReads) > 0 {
			if n := len(g.pendingFences); n >= maxPendingFences {
				continue // the end of one of them causes the next round
			} else if n > 0 {
				include(max(g.nextFenceAt, s.fenceOverdueAt(g)))
			} else if g.nextFenceAt > s.now {
				include(g.nextFenceAt)
			}
		}
	}
	if s.query.startedAt > 0 {
		include(min(s.query.nextAttemptAt(s.config.PeerTimeout), s.query.startedAt+s.config.PeerTimeout))
	}
	if len(s.otherGateways) > 0 {
		for _, i := range s.otherGateways {
			if s.canQueryPeers() {
				include(max(s.now+minKeepaliveWakeDelay, s.peers[i].requestedAt+s.keepaliveInterval(&s.peers[i])))
			}
		}
		if l := &s.entryLog; l.lastPushed < l.lastSequence {
			include(s.now + pushDelay)
		}
	}
	return earliest
}
