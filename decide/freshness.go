package decide

// This file holds what a read must see and what proves that a member has it. A value that is missing, late or from
// another server proves nothing: what is not proven counts as not reached.

// answerNoticeTime is less than the 100 ms after which an answer that was written counts as known, read or not.
const answerNoticeTime = 50 * ms

// commitRounding is how far a commit's position may lie above its time.
const commitRounding = 1 * ms

// sessionWrites is what a gateway remembers of a session's writes in a group.
type sessionWrites struct {
	committed Nanos // latest commit position told in an answer
	possible  Nanos // a write without a known commit position was committed no later
	inFlight  int   // submissions that have not ended
}

// noWrites stands for a session that is not remembered; it is never changed.
var noWrites sessionWrites

// latest is the position up to which the session's ended writes may have been committed.
func (w *sessionWrites) latest() Nanos { return max(w.committed, w.possible) }

// remembersWrites reports whether session reads must see the writes that this gateway remembers.
func (g *Gateway) remembersWrites() bool { return g.settings.Replication.WriteMarks == "kept" }

// checksReads reports whether members refuse reads for which they are too far behind.
func (g *Gateway) checksReads() bool { return g.settings.Replication.WhenBehind != "none" }

// writesOf returns the entry of a session, created if needed.
func (grp *group) writesOf(session uint64) *sessionWrites {
	w := grp.writes[session]
	if w == nil {
		w = new(sessionWrites)
		grp.writes[session] = w
	}
	return w
}

// isSessionWrite reports whether a txn is a write that reads of its session must see by this gateway's memory.
func (g *Gateway) isSessionWrite(t *txn) bool {
	return g.remembersWrites() && t.session != 0 && g.settings.Replication.Consistency[t.class] == "mutate"
}

// writeStarted records that a write of a session is in flight.
func (g *Gateway) writeStarted(t *txn) {
	if g.isSessionWrite(t) {
		t.group.writesOf(t.session).inFlight++
	}
}

// writeEnded records how a submission of a session's write ended, whether or not its client still waits. Without a
// commit position the commit may be as late as now.
func (g *Gateway) writeEnded(t *txn, r Result, position Nanos) {
	if !g.isSessionWrite(t) {
		return
	}
	w := t.group.writesOf(t.session)
	w.inFlight--
	switch {
	case r == Committed && position > 0:
		w.committed = max(w.committed, g.settings.Replication.PositionEpoch+position)
	case r == Committed || mayHaveRun(r):
		w.possible = max(w.possible, t.group.groupTime(g.now))
	}
}

// mayHaveRun reports whether a submission with this result may have had an effect without a valid answer.
func mayHaveRun(r Result) bool {
	return r == Failed || r == TimedOut || r == Broken || r == Cancelled
}

// unread reports whether an answer may have been written that this gateway did not read.
func unread(r Result) bool { return r == TimedOut || r == Broken || r == Cancelled }

// consistencyOf is the consistency that a txn needs: that of its type, unless its read requires the primary.
func (g *Gateway) consistencyOf(t *txn) string {
	if t.primaryOnly {
		return "strong"
	}
	return g.settings.Replication.Consistency[t.class]
}

// requiredPosition is the position that a read sent at a given time must see, 0 if any replica will do.
func (g *Gateway) requiredPosition(t *txn, sentAt Nanos) Nanos {
	at := t.group.groupTime(sentAt)
	switch g.consistencyOf(t) {
	case "lag_bound":
		return at - Nanos((1-stalenessMargin)*float64(g.settings.Replication.MaxStaleness[t.class]))
	case "causal":
		if g.remembersWrites() { // beside a floor that other gateways' writes set
			return max(t.token, t.group.sessionPosition(t.session, at, g.checksReads()))
		}
	}
	return t.token
}

// sessionPosition is the position that a read of a session sent at a given time of the group's clock must see by what is remembered of its
// writes, 0 if every replica is known to have reached it (step 2). Members that check reads enforce what the session
// was answered, and no more.
func (grp *group) sessionPosition(session uint64, at Nanos, checked bool) Nanos {
	w := grp.writes[session]
	if w == nil {
		w = &noWrites
	}
	required := w.committed
	if !checked {
		required = max(w.latest(), grp.forgotten)
		if w.inFlight > 0 {
			required = max(required, at-answerNoticeTime)
		}
	}
	if required <= grp.minReplicaPosition() {
		return 0
	}
	return required
}

// forgetWrites deletes what every replica has reached, and keeps the position for replicas that join later.
func (grp *group) forgetWrites() {
	reached := grp.minReplicaPosition()
	for session, w := range grp.writes {
		if at := w.latest(); w.inFlight == 0 && at <= reached {
			grp.forgotten = max(grp.forgotten, at)
			delete(grp.writes, session)
		}
	}
}

// minReplicaPosition is the position that every replica is known to have reached.
func (grp *group) minReplicaPosition() Nanos {
	lowest := Nanos(1 << 62)
	for _, m := range grp.members {
		if !m.excluded && !m.isProvenPrimary() {
			lowest = min(lowest, m.position)
		}
	}
	return lowest
}

// freshPrimary is the group's primary for reads, nil if a member that does not check reads may have told in an unread
// answer that it is the primary no more. It then counts by its position, like a replica.
func (g *Gateway) freshPrimary(grp *group) *member {
	p := g.primaryOf(grp)
	if p != nil && !g.checksReads() && p.roleUnreadAt > 0 {
		return nil
	}
	return p
}

// StillFresh reports whether a submission that is about to be written, maybe long after it was decided on, may still go
// to its member: establishing a connection takes time, in which a bound passes, a session's write is answered and a
// primary loses its role.
func (g *Gateway) StillFresh(id uint64, attempt int, now Nanos) bool {
	t := g.txns[id]
	if t == nil || attempt >= len(t.submissions) || g.checksReads() {
		return true
	}
	m := t.submissions[attempt].member
	isPrimary := m == g.freshPrimary(t.group)
	switch g.consistencyOf(t) {
	case "mutate", "eventual":
		return true
	case "strong":
		return isPrimary && m.role == RolePrimary
	case "lag_bound":
		return isPrimary || m.position >= t.group.groupTime(now)-g.settings.Replication.MaxStaleness[t.class]
	}
	return isPrimary || m.position >= g.requiredPosition(t, now)
}

// proofOf is why a txn may be sent to a member now.
func (g *Gateway) proofOf(t *txn, m *member) Proof {
	required := g.requiredPosition(t, g.now)
	switch {
	case g.settings.Replication.Consistency[t.class] == "mutate":
		return NoProof
	case required <= 0:
		return NoneRequired
	case m == g.freshPrimary(t.group):
		return AtPrimary
	case m.position >= required:
		return ProvenPosition
	}
	return CheckedByMember
}

// learnPosition records what a committed read proves on a member that checks reads: its token or staleness bound.
func (g *Gateway) learnPosition(t *txn, s *submission, m *member) {
	if !g.checksReads() {
		return
	}
	switch g.consistencyOf(t) {
	case "lag_bound":
		m.advancePosition(s.sentAt - g.settings.Replication.MaxStaleness[t.class])
	case "causal", "strong":
		if token := max(t.token, s.required); token > 0 {
			m.advancePosition(token)
			m.lastLag, m.lagSeenAt = min(g.estimatedLag(m), g.now-token), g.now
		}
	}
}
