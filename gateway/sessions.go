package gateway

import (
	"hash/fnv"
	"log/slog"

	"magpieglade/decide"
	"magpieglade/fleet"
	"magpieglade/internal/pgwire"
	"magpieglade/internal/slots"
	"magpieglade/session"
)

// fenceRounding is how far a commit's position, rounded up, may lie above the primary's in an answer, rounded down.
const fenceRounding = decide.Millisecond

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

// clientPosition is the position that a txn's client sent.
func (g *Gateway) clientPosition(t *txn) session.Position {
	return g.sessionPosition(decide.Millis(t.comment.After - float64(g.clock.zeroUnixMs)))
}

// addSessionRead adds a session's read, which waits until its minimum position is known.
func (g *Gateway) addSessionRead(t *txn, budget decide.Nanos) {
	minPosition := session.Position(0)
	if t.comment.After > 0 {
		minPosition = g.clientPosition(t)
	}
	t.awaitingFloor, t.heldUntil = true, g.clock.now()+budget
	g.sessions.AddRead(t.id, t.comment.Group, t.session, minPosition, t.comment.Token, int64(g.latestAnswer(t.heldUntil)))
}

// recordSessionCommit records a session's write before it is answered, and returns the message with the token that its client
// is to send with later txns, if any.
func (g *Gateway) recordSessionCommit(t *txn, unixMs float64) (parameter []byte) {
	position := session.Position(0)
	if at, ok := g.members.groupPosition(t.comment.Group, unixMs); ok {
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

// searchEnded handles the end of a query to a member that may be the primary. What it reports may be older than the query, so
// it completes no fence; the decision module learns its role from the same report, and the next fence goes to the primary.
func (g *Gateway) searchEnded(in *input) {
	reported := in.position
	for i, x := range in.report {
		if g.names.LoadReport.Fields[i] == "x0" {
			reported = max(reported, decide.Millis(x*1000))
		}
	}
	if !g.module.CanPlacePosition(in.group, reported, g.clock.now()) {
		reported = 0
	}
	g.fenceFailed(in.group, in.fenceAttempt, reported)
}

// fenceFailed reports the end of a fence that no primary answered, and the position that a member told instead, 0 for none.
func (g *Gateway) fenceFailed(group int, requestID uint64, reported decide.Nanos) {
	position := session.Position(0)
	if reported > 0 {
		position = g.sessionPosition(reported)
	}
	g.sessions.FenceFailed(group, requestID, position)
}

// answersFence reports whether a response may answer the read of a fence, or any other txn: only who calls itself primary in
// that same response proves that it served the latest data.
func (g *Gateway) answersFence(ref slots.Ref, a *response) bool {
	t := g.txns.Get(ref)
	return t == nil || t.fenceRequest == 0 || a.role == decide.RolePrimary
}

// fenceAnswered completes the fence of a read that its primary has answered, if it is one. The position in that response is
// that of a moment after the read was sent, unlike the one in a load report.
func (g *Gateway) fenceAnswered(ref slots.Ref, a *response) {
	t := g.txns.Get(ref)
	if t == nil || t.fenceRequest == 0 {
		return
	}
	position := session.Position(0)
	if at, ok := g.members.groupPosition(t.comment.Group, a.position); ok {
		position = g.sessionPosition(at + fenceRounding)
	}
	g.sessions.FenceCompleted(t.comment.Group, t.fenceRequest, position)
	t.fenceRequest = 0
}

// endFence reports that the read of a fence ends without an answer of a primary.
func (g *Gateway) endFence(t *txn) {
	if t.fenceRequest != 0 {
		g.fenceFailed(t.comment.Group, t.fenceRequest, 0)
		t.fenceRequest = 0
	}
}

// Serve routes a read to a member that has reached minPosition.
func (x sessionHost) Serve(readID uint64, minPosition session.Position) {
	g := x.g
	t := g.txns.Get(g.byID[readID])
	if t == nil || !t.awaitingFloor {
		return
	}
	if minPosition > 0 {
		t.floor = max(1, g.clockTime(minPosition)) // 0 would mean none
	}
	g.routeSessionRead(t, t.floor)
}

// routeSessionRead passes a read to the decision module with the position that it must see, 0 for none.
func (g *Gateway) routeSessionRead(t *txn, floor decide.Nanos) (ok bool) {
	t.awaitingFloor = false
	if err := g.addToModule(t, max(1, t.heldUntil-g.clock.now()), floor); err != nil {
		g.rollBack(t.id)
		return false
	}
	return true
}

// Refuse rejects a read.
func (x sessionHost) Refuse(readID uint64, retryAfter int64) {
	if t := x.g.txns.Get(x.g.byID[readID]); t != nil {
		t.awaitingFloor = false
		x.g.reject(readID, decide.Nanos(retryAfter))
	}
}

// Fence routes a read to the primary of its group, or queries a member that may be the primary.
func (x sessionHost) Fence(d *session.Decision, timeout int64) fleet.FenceRoute {
	g := x.g
	server, isPrimary, ok := g.module.PositionSource(d.Group)
	if !ok {
		return fleet.FenceNotSent
	}
	if !isPrimary {
		now := g.clock.now()
		g.members.startJob(server, job{probe: true, fenceRequestNo: d.RequestID, group: d.Group, startedAt: now, deadline: now + decide.Nanos(timeout)})
		return fleet.FenceSearching
	}
	t := g.txns.Get(g.byID[d.ReadID])
	if t == nil || !t.awaitingFloor || !g.routeSessionRead(t, 0) {
		return fleet.FenceNotSent
	}
	t.fenceRequest = d.RequestID
	if t.comment.After > 0 && g.clientPosition(t) > d.Floor { // it may be forged: the primary would wait for it in vain
		t.floor = max(1, g.clockTime(d.Floor))
	}
	g.module.RequirePrimary(d.ReadID)
	return fleet.FenceAtPrimary
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
	x.g.deadlines.Add(int64(x.g.latestAnswer(decide.Nanos(at))), timerEvent{kind: timerAnswer, ref: ref})
}

// hashKey hashes an idempotency key to a non-zero number.
func hashKey(key []byte) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(key)
	return max(1, h.Sum64())
}
