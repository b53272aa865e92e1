package gateway

import (
	"hash/fnv"
	"log/slog"

	"magpieglade/decide"
	"magpieglade/internal/pgwire"
	"magpieglade/internal/slots"
	"magpieglade/session"
)

// sessionTxns is what package fleet sees of the gateway for sessions: it routes reads, asks primaries and gives answers.
type sessionTxns struct{ g *Gateway }

// Post runs something on the loop.
func (x sessionTxns) Post(f func()) { x.g.post(f) }

// Now is the gateway's clock.
func (x sessionTxns) Now() int64 { return int64(x.g.clock.now()) }

// WakeAfter has a turn come.
func (x sessionTxns) WakeAfter(span int64) { x.g.deadlines.Add(x.Now()+span, due{kind: dueWake}) }

// Logger is the gateway's.
func (x sessionTxns) Logger() *slog.Logger { return x.g.log }

// Started is closed once there is a loop.
func (x sessionTxns) Started() <-chan struct{} { return x.g.started }

// position is a position on the gateway's clock as every gateway words it, and onClock takes it back.
func (g *Gateway) position(at decide.Nanos) session.Position {
	return session.Position(g.clock.zero*1e6 + int64(at))
}

func (g *Gateway) onClock(p session.Position) decide.Nanos {
	return decide.Nanos(int64(p) - g.clock.zero*1e6)
}

// readOf takes a session read, which waits for its floor.
func (g *Gateway) readOf(t *txn, budget decide.Nanos) {
	brought := session.Position(0)
	if t.comment.After > 0 {
		brought = g.position(decide.Millis(t.comment.After - float64(g.clock.zero)))
	}
	t.held, t.until = true, g.clock.now()+budget
	g.sessions.AddRead(t.id, t.comment.Group, t.session, brought, t.comment.Token, int64(t.until))
}

// committed notes a session's write before it is answered, and gives what its client is to carry.
func (g *Gateway) committed(t *txn, unixMs float64) (parameter []byte) {
	p := session.Position(0)
	if at, ok := g.members.position(unixMs); ok {
		p = g.position(at)
	}
	if token := g.sessions.RecordCommit(t.comment.Group, t.session, p); token != nil {
		return pgwire.AppendParameterStatus(nil, "session_token", string(token))
	}
	return nil
}

// waitsForMark tells whether a write's answer is to wait for the ledger.
func (g *Gateway) waitsForMark(ref slots.Ref) bool {
	t := g.txns.Get(ref)
	return g.sessions != nil && g.sessions.WaitsForLedger() && t != nil && t.writes && t.session != 0 && !t.answered
}

// mayRepeatKey tells how long a keyed write may be sent; ok is false where that is over.
func (g *Gateway) mayRepeatKey(t *txn, window, budget decide.Nanos) (left decide.Nanos, ok bool) {
	until, ok := g.sessions.Module.RetryDeadline(t.comment.Group, t.key, int64(window))
	if until > 0 {
		budget = min(budget, decide.Nanos(until)-g.clock.now())
	}
	return budget, ok
}

// fenced takes the answer to a fence. Its member must have called itself primary in that very answer.
func (g *Gateway) fenced(in *input) {
	at, primary := in.position, in.role == decide.RolePrimary
	fields := g.names.LoadReport.Fields
	for i, x := range in.report {
		switch fields[i] {
		case "x0":
			at = max(at, decide.Millis(x*1000))
		case "x1":
			primary = primary || in.role == decide.RoleUnknown && x == 1
		}
	}
	p := session.Position(0)
	if in.result == decide.Committed && at > 0 {
		p = g.position(at)
	}
	g.sessions.FenceCompleted(in.group, in.fence, p, primary)
}

// Serve gives a read with its floor to the routing.
func (x sessionTxns) Serve(read uint64, floor session.Position) {
	g := x.g
	t := g.txns.Get(g.byID[read])
	if t == nil || !t.held {
		return
	}
	t.held = false
	now := g.clock.now()
	var age decide.Nanos
	if floor > 0 {
		t.floor = g.onClock(floor)
		// A token of 0 or below would be none.
		if age = now - max(1, t.floor); age == 0 {
			age = -1
		}
	}
	if err := g.module.AddTxn(t.id, t.class, 0, t.session, max(1, t.until-now), 0, t.comment.Group, age); err != nil {
		g.rollBack(t.id)
		return
	}
	g.generations.restrictReads(t)
}

// Refuse declines a read.
func (x sessionTxns) Refuse(read uint64, after int64) {
	if t := x.g.txns.Get(x.g.byID[read]); t != nil {
		t.held = false
		x.g.decline(read, decide.Nanos(after))
	}
}

// Fence asks the primary of a group for its position, or whoever may be it.
func (x sessionTxns) Fence(group int, no uint64, turn int, wait int64) bool {
	server, ok := x.g.module.PositionSource(group, turn)
	if !ok {
		return false
	}
	now := x.g.clock.now()
	x.g.members.connect(server, job{probe: true, fence: no, group: group, at: now, until: now + decide.Nanos(wait)})
	return true
}

// IsWaiting tells whether an answer waits for its mark.
func (x sessionTxns) IsWaiting(ref slots.Ref) bool {
	t := x.g.txns.Get(ref)
	return t != nil && t.waiting != nil
}

// ReleaseAnswer gives it.
func (x sessionTxns) ReleaseAnswer(ref slots.Ref, early bool) {
	x.g.txns.Get(ref).early = early
	x.g.answerWaiting(ref)
}

// EarlyAnswerWritten frees the place of one that went out early.
func (x sessionTxns) EarlyAnswerWritten(ref slots.Ref) bool {
	t := x.g.txns.Get(ref)
	if t == nil || !t.early {
		return false
	}
	t.early = false
	x.g.settled(ref, false)
	return true
}

// SetAnswerDeadline has one that waits be given at a time, whatever has become of its mark.
func (x sessionTxns) SetAnswerDeadline(ref slots.Ref, at int64) {
	x.g.deadlines.Add(at, due{kind: dueAnswer, ref: ref})
}

// keyOf is a key's number.
func keyOf(key []byte) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(key)
	return max(1, h.Sum64())
}
