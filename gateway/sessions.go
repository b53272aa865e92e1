package gateway

import (
	"hash/fnv"
	"log/slog"

	"magpieglade/decide"
	"magpieglade/internal/pgwire"
	"magpieglade/internal/slots"
	"magpieglade/session"
)

// fenceRounding is how far a commit's position, rounded up, may lie above the primary's in a report, rounded down.
const fenceRounding = decide.Millisecond * (1 + reportRoundingMs)

// sessionHost implements fleet.SessionHost: it routes reads, queries primaries for their positions and releases answers.
type sessionHost struct{ g *Gateway }

// Post runs f on the event loop.
func (x sessionHost) Post(f func()) { x.g.post(f) }

// Now returns the time of the gateway's clock in nanoseconds.
func (x sessionHost) Now() int64 { return int64(x.g.clock.now()) }

// WakeAfter wakes the event loop after a delay in nanoseconds.
func (x sessionHost) WakeAfter(delay int64) {
	x.g.deadlines.Add(x.Now()+delay, timerEvent{kind: timerWake})
}

// Logger returns the gateway's logger.
func (x sessionHost) Logger() *slog.Logger { return x.g.log }

// Started is closed once the event loop runs.
func (x sessionHost) Started() <-chan struct{} { return x.g.started }

// sessionPosition converts a position on the gateway's own clock to one that is comparable between gateways.
func (g *Gateway) sessionPosition(at decide.Nanos) session.Position {
	return session.Position(g.clock.zeroUnixMs*1e6 + int64(at))
}

// clockTime is the inverse of sessionPosition.
func (g *Gateway) clockTime(p session.Position) decide.Nanos {
	return decide.Nanos(int64(p) - g.clock.zeroUnixMs*1e6)
}

// addSessionRead adds a session's read, which waits until its minimum position is known.
func (g *Gateway) addSessionRead(t *txn, budget decide.Nanos) {
	minPosition := session.Position(0)
	if t.comment.After > 0 {
		minPosition = g.sessionPosition(decide.Millis(t.comment.After - float64(g.clock.zeroUnixMs)))
	}
	t.awaitingFloor, t.heldUntil = true, g.clock.now()+budget
	g.sessions.AddRead(t.id, t.comment.Group, t.session, minPosition, t.comment.Token, int64(t.heldUntil))
}

// recordSessionCommit records a session's write before it is answered, and returns the message with the token that its client
// is to send with later txns, if any.
func (g *Gateway) recordSessionCommit(t *txn, unixMs float64) (parameter []byte) {
	position := session.Position(0)
	if at, ok := g.members.localPosition(unixMs); ok {
		position = g.sessionPosition(at)
	}
	if token := g.sessions.RecordCommit(t.comment.Group, t.session, position); token != nil {
		return pgwire.AppendParameterStatus(nil, "session_token", string(token))
	}
	return nil
}

// waitsForLedger reports whether a write's answer waits until the ledger has its record.
func (g *Gateway) waitsForLedger(ref slots.Ref) bool {
	t := g.txns.Get(ref)
	return g.sessions != nil && g.sessions.WaitsForLedger() && t != nil && t.writes && t.session != 0 && !t.answered
}

// retryBudget returns how long a write with an idempotency key may still be sent; ok is false if that time is over.
func (g *Gateway) retryBudget(t *txn, window, budget decide.Nanos) (remaining decide.Nanos, ok bool) {
	deadline, ok := g.sessions.Module.RetryDeadline(t.comment.Group, t.key, int64(window))
	if deadline > 0 {
		budget = min(budget, decide.Nanos(deadline)-g.clock.now())
	}
	return budget, ok
}

// fenceCompleted handles the response to a fence. It counts only if the member reports itself primary in that same response.
func (g *Gateway) fenceCompleted(in *input) {
	reported, primary := in.position, in.role == decide.RolePrimary
	fields := g.names.LoadReport.Fields
	for i, x := range in.report {
		switch fields[i] {
		case "x0":
			reported = max(reported, decide.Millis(x*1000))
		case "x1":
			primary = primary || in.role == decide.RoleUnknown && x == 1
		}
	}
	position := session.Position(0)
	if in.result == decide.Committed && reported > 0 { // rounded down, while the commits that it must cover are rounded up
		position = g.sessionPosition(reported + fenceRounding)
	}
	g.sessions.FenceCompleted(in.group, in.fenceAttempt, position, primary)
}

// Serve routes a read to a member that has reached minPosition.
func (x sessionHost) Serve(readID uint64, minPosition session.Position) {
	g := x.g
	t := g.txns.Get(g.byID[readID])
	if t == nil || !t.awaitingFloor {
		return
	}
	t.awaitingFloor = false
	now := g.clock.now()
	var age decide.Nanos
	if minPosition > 0 {
		t.floor = g.clockTime(minPosition)
		// A minimum position of 0 or below would mean none.
		if age = now - max(1, t.floor); age == 0 {
			age = -1
		}
	}
	if err := g.module.AddTxn(t.id, t.class, 0, t.session, max(1, t.heldUntil-now), 0, t.comment.Group, age); err != nil {
		g.rollBack(t.id)
		return
	}
	g.generations.restrictReads(t)
}

// Refuse rejects a read.
func (x sessionHost) Refuse(readID uint64, retryAfter int64) {
	if t := x.g.txns.Get(x.g.byID[readID]); t != nil {
		t.awaitingFloor = false
		x.g.reject(readID, decide.Nanos(retryAfter))
	}
}

// Fence queries the primary of a group for its position, or a member that may be the primary.
func (x sessionHost) Fence(group int, requestID uint64, attempt int, timeout int64) bool {
	server, ok := x.g.module.PositionSource(group, attempt)
	if !ok {
		return false
	}
	now := x.g.clock.now()
	x.g.members.startJob(server, job{probe: true, fenceRequestNo: requestID, group: group, startedAt: now, deadline: now + decide.Nanos(timeout)})
	return true
}

// IsWaiting reports whether an answer waits for its ledger record.
func (x sessionHost) IsWaiting(ref slots.Ref) bool {
	t := x.g.txns.Get(ref)
	return t != nil && t.delayedResponse != nil
}

// ReleaseAnswer sends an answer that waited for its ledger record; early means before the record is written.
func (x sessionHost) ReleaseAnswer(ref slots.Ref, early bool) {
	x.g.txns.Get(ref).awaitingLedger = early
	x.g.sendDelayedResponse(ref)
}

// EarlyAnswerWritten frees the slot of a txn whose answer was sent early.
func (x sessionHost) EarlyAnswerWritten(ref slots.Ref) bool {
	t := x.g.txns.Get(ref)
	if t == nil || !t.awaitingLedger {
		return false
	}
	t.awaitingLedger = false
	x.g.releaseIfDone(ref, false)
	return true
}

// SetAnswerDeadline has a waiting answer sent at a given time even if its ledger record is not written by then.
func (x sessionHost) SetAnswerDeadline(ref slots.Ref, at int64) {
	x.g.deadlines.Add(at, timerEvent{kind: timerAnswer, ref: ref})
}

// hashKey hashes an idempotency key to a non-zero number.
func hashKey(key []byte) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(key)
	return max(1, h.Sum64())
}
