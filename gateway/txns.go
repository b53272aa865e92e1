package gateway

import (
	"hash/fnv"
	"net"
	"slices"
	"strconv"

	"magpieglade/decide"
	"magpieglade/internal/pgwire"
	"magpieglade/internal/slots"
	"magpieglade/routes"
)

// txn is one request of a client. It is given back in settled, once it is answered or withdrawn and all its
// submissions have ended.
type txn struct {
	id       uint64
	client   slots.Ref
	size     int // of its query, the first in the client's buffer
	comment  pgwire.Comment
	answered bool // or withdrawn: nothing more is owed
	out      int  // submissions that the module was not told the end of
	subs     []slots.Ref

	generation *generation // that it arrived under
	route      routes.Match
	shares     *routes.Shares // that it counts against, nil for none
	tenant     int32          // of those
	also       *routes.Shares // of a version that comes next, nil for none
	alsoTenant int32          // of those
	counted    bool           // until it has ended
	bounds     []*fleetBounds // of the fleet that it counts against
	bytes      int64          // that it counts for there
	failed     bool           // its answer is an error
	ending     ending         // why, for who counts
	arrived    decide.Nanos

	class        int
	session, key uint64
	writes       bool         // it changes what its session reads
	held         bool         // it waits for its floor, and the routing does not know it yet
	until        decide.Nanos // of one that was held
	waiting      []byte       // its answer, which waits for the ledger
	early        bool         // it was answered before the ledger had its change, which still comes
	floor        decide.Nanos // position that it must see, 0 for none or what its client brought
}

// waitForPart is that a query is to be read again in a moment.
const waitForPart = "it waits for a first part of a bound"

// arrived takes a txn for the module, or says what is wrong with its statement.
func (g *Gateway) arrived(ref slots.Ref, c *client, text []byte, size int) (problem string) {
	comment, err := pgwire.ReadComment(text)
	if err != nil {
		return err.Error()
	}
	class := -1
	for i := range g.names.Classes {
		if g.names.Classes[i].Name == string(comment.Class) {
			class = i
		}
	}
	if class < 0 {
		return "c names no known txn type"
	}
	if !g.discovery.list.groups[comment.Group] { // the module keeps what it knows of each group that it is told of
		return "cluster is none of the list's"
	}
	if _, open := g.byID[comment.ID]; open {
		return "id belongs to an open txn"
	}
	t := txn{id: comment.ID, client: ref, size: size, comment: comment, arrived: g.clock.now()}
	why, after := g.generations.admit(&t, g.routed(c, class, text))
	if why == routes.WrongGroup {
		return why.String()
	}
	if why == routes.Allowed {
		first := false
		if why, after, first = g.generations.mayOfFleet(&t); first && g.clients.waitsForPart(c) {
			return waitForPart
		}
	}
	t.class = int(t.route.Type)
	kind := &g.names.Classes[t.class]
	if kind.Effect == "by_key" && comment.IdempotencyKey == nil {
		return "the comment lacks k, which this txn type needs"
	}
	// The client's time runs while its query waits here: behind another, for a slow reader, for a part of a bound.
	budget := max(1, decide.Millis(comment.Budget)-c.waited(size, t.arrived))
	if t.route.Route >= 0 {
		if most := t.generation.table.Routes[t.route.Route].Expiry; most > 0 {
			budget = min(budget, decide.Nanos(most))
		}
	}
	need := g.names.FamilyInfo.Consistency[t.class]
	t.writes = need == "mutate"
	if need == "causal" || t.writes {
		t.session = sessionOf(comment.Session)
	}
	if comment.IdempotencyKey != nil {
		t.key = keyOf(comment.IdempotencyKey)
	}
	if g.sessions != nil && why == routes.Allowed && t.writes && t.session != 0 && !g.sessions.Module.AcceptsSessionWrites() {
		why, after = routes.AgreementUnavailable, g.sessions.Config.Session.RetryAfter // others do not know that it is to be asked
	}
	repeats := true
	if g.sessions != nil && kind.Effect == "by_key" {
		budget, repeats = g.mayRepeatKey(&t, decide.Millis(kind.Window), budget)
	}
	c.txn = g.txns.Add(t)
	g.byID[comment.ID] = c.txn
	g.counts.taken++
	if g.coordinated != nil {
		g.coordinated.c.AddTxn()
	}
	held := g.txns.Get(c.txn)
	held.ending = endingOf(why)
	defer g.forgetBuffer(held)
	switch {
	case why != routes.Allowed:
		g.inputs = append(g.inputs, input{kind: inRefused, ref: c.txn, elapsed: decide.Nanos(after)})
		return ""
	case !repeats: // its group would not drop it as a repeat any more
		g.inputs = append(g.inputs, input{kind: inRepeated, ref: c.txn})
		return ""
	}
	g.generations.begin(held)
	if g.sessions != nil && need == "causal" {
		g.readOf(held, budget)
		return ""
	}
	var age decide.Nanos
	if need == "causal" && comment.After > 0 {
		// By the module's time, which counts back from it: by a later one the position would come out older than it is. Nor
		// is one that is ahead of the clock, as commits are rounded up, taken for the present.
		if age = g.turnAt - g.clock.at(comment.After); age == 0 {
			age = -1 // 0 is none
		}
	}
	if err := g.module.AddTxn(t.id, t.class, 0, t.session, budget, 0, comment.Group, age); err != nil {
		g.settled(c.txn, true)
		return err.Error()
	}
	g.generations.restrictReads(held)
	if g.leaving {
		g.module.LimitExpiry(t.id, g.kill)
	}
	return ""
}

// routed is what a route is chosen by, read only where there are routes.
func (g *Gateway) routed(c *client, class int, text []byte) *routes.Txn {
	x := &g.lookup
	*x = routes.Txn{Type: class}
	if g.generations.inForce.table != nil {
		x.User, x.Database, x.Table = c.user, c.database, string(pgwire.TableName(text))
		if a, ok := c.conn.RemoteAddr().(*net.TCPAddr); ok {
			x.Client = a.AddrPort().Addr()
		}
	}
	return x
}

// forgetBuffer drops what is part of a buffer that moves on.
func (g *Gateway) forgetBuffer(t *txn) {
	t.comment.Class, t.comment.IdempotencyKey, t.comment.Session, t.comment.Token = nil, nil, nil, nil
}

// sessionOf is a session's number: its key where that is one, else a hash of it.
func sessionOf(key []byte) uint64 {
	if n, err := strconv.ParseUint(string(key), 16, 64); err == nil {
		return n
	}
	h := fnv.New64a()
	_, _ = h.Write(key)
	return h.Sum64()
}

// settled gives a txn back where nothing is left of it.
func (g *Gateway) settled(ref slots.Ref, answered bool) {
	t := g.txns.Get(ref)
	if t == nil {
		return
	}
	t.answered = t.answered || answered
	if t.answered && t.out == 0 && !t.early {
		delete(g.byID, t.id)
		g.generations.end(t)
		g.txns.Remove(ref)
	}
}

// answer writes a txn's one final answer, in parts that are not kept, and turns to what its client sent next.
func (g *Gateway) answer(ref slots.Ref, parts ...[]byte) {
	t := g.txns.Get(ref)
	if t == nil || t.answered {
		return
	}
	t.answered = true
	g.generations.recordOutcome(t, !t.failed)
	if g.reserved != nil {
		g.reserved.count(t, !t.failed)
	}
	who, size := t.client, t.size
	c := g.clients.open.Get(who)
	c.txn = slots.Ref{}
	_, _ = c.conn.Writev(parts) // one that fails ends the connection within it
	if c = g.clients.open.Get(who); c != nil {
		c.takes(size)
		g.inputs = append(g.inputs, input{kind: inReadable, ref: who})
	}
}

// answerLater keeps an answer, in parts that are not kept, until answerWaiting.
func (g *Gateway) answerLater(ref slots.Ref, parts ...[]byte) {
	if t := g.txns.Get(ref); t != nil && !t.answered {
		t.waiting = slices.Concat(parts...)
	}
}

// answerWaiting gives an answer that was kept.
func (g *Gateway) answerWaiting(ref slots.Ref) {
	t := g.txns.Get(ref)
	if t == nil || t.waiting == nil {
		return
	}
	answer := t.waiting
	t.waiting = nil
	g.answer(ref, answer)
	g.settled(ref, true)
}

// decline and rollBack carry out the module's own answers.
func (g *Gateway) decline(id uint64, after decide.Nanos) {
	detail := ""
	if g.names.Limits.RetryAfter && after > 0 {
		detail = strconv.FormatInt(int64((after+decide.Millisecond-1)/decide.Millisecond), 10)
	}
	g.fail(id, "53300", "declined, trying again does no harm", detail)
	g.counts.declined++
}

func (g *Gateway) rollBack(id uint64) {
	if t := g.txns.Get(g.byID[id]); t != nil {
		t.ending = endRolledBack
	}
	g.fail(id, "40000", "rolled back, it may have had its effect", "")
	g.counts.rolledBack++
}

func (g *Gateway) fail(id uint64, code, message, detail string) {
	ref := g.byID[id]
	if t := g.txns.Get(ref); t != nil {
		t.failed = true
	}
	out := pgwire.AppendError(g.scratch[:0], "ERROR", code, message, detail)
	out = pgwire.AppendReadyForQuery(out)
	g.scratch = out[:0]
	g.answer(ref, out)
	g.settled(ref, true)
}

func (g *Gateway) tellWithdrawn(ref slots.Ref) {
	if t := g.txns.Get(ref); t != nil {
		g.counts.withdrawn++
		if t.ending = endLeft; g.reserved != nil && !t.answered {
			g.reserved.count(t, false)
		}
		if t.held {
			g.sessions.Module.CancelRead(t.id)
		} else {
			g.module.ClientGone(t.id)
		}
		g.settled(ref, true)
	}
}

// tellCancelled answers a query that its client has cancelled; what is out to members ends as if the client had left.
func (g *Gateway) tellCancelled(ref slots.Ref) {
	t := g.txns.Get(ref)
	if t == nil || t.answered {
		return
	}
	t.failed, t.ending = true, endLeft
	out := pgwire.AppendError(g.scratch[:0], "ERROR", "57014", "cancelled by its client, it may have had its effect", "")
	g.scratch = pgwire.AppendReadyForQuery(out)
	g.answer(ref, g.scratch)
	g.tellWithdrawn(ref)
}

// submit sends a txn to a member, on an idle connection or a new one.
func (g *Gateway) submit(d decide.Decision) {
	id, server := d.Txn, d.Server
	ref := g.byID[id]
	t := g.txns.Get(ref)
	if t == nil {
		return
	}
	if g.sessions != nil && t.key != 0 && !t.answered {
		g.sessions.Module.RecordKeyedWrite(t.comment.Group, t.key)
	}
	no := len(t.subs)
	t.out++
	if !t.answered && !g.generations.allowAttempt(t, no) { // nothing of a repeatable txn is lost by coming again
		g.decline(id, 0)
		if t = g.txns.Get(ref); t == nil {
			return
		}
	}
	if t.answered {
		t.subs = append(t.subs, slots.Ref{})
		g.inputs = append(g.inputs, input{kind: inEnded, ref: ref, no: no, server: server, result: decide.NotSent})
		return
	}
	job := job{txn: ref, no: no, at: g.clock.now(), until: d.Expiry, before: d.SendBefore}
	on := g.members.connect(server, job)
	if t = g.txns.Get(ref); t != nil {
		t.subs = append(t.subs, on)
	}
}

// cancel gives up one submission.
func (g *Gateway) cancel(id uint64, no int) {
	ref := g.byID[id]
	if t := g.txns.Get(ref); t != nil && no < len(t.subs) {
		on := t.subs[no]
		if m := g.members.conns.Get(on); m != nil && m.job.txn == ref && m.job.no == no {
			g.members.giveUp(on, decide.Cancelled)
		}
	}
}

// tellEnded tells the module how a submission ended.
func (g *Gateway) tellEnded(in input) {
	t := g.txns.Get(in.ref)
	if t == nil {
		return
	}
	t.out--
	g.outcomes.attempts[in.result]++
	g.module.SubmissionEnded(t.id, in.no, in.server, in.result, in.elapsed, in.role, in.position,
		t.answered, in.report)
	g.settled(in.ref, false)
}

// statement gives a txn's query as it goes to a member: byte for byte what the client sent, but for the time
// that this gateway will wait.
func (g *Gateway) statement(ref slots.Ref, until decide.Nanos) (parts [][]byte, ok bool) {
	t := g.txns.Get(ref)
	if t == nil || t.answered {
		return nil, false
	}
	buf, err := g.clients.open.Get(t.client).conn.Peek(t.size)
	if err != nil {
		return nil, false
	}
	left := max(1, int64((until-g.clock.now())/decide.Millisecond))
	if t.floor > 0 { // members that check reads are told what this one must see
		text := t.comment.AppendWithAfter(g.raised[:0], buf[5:], left, g.clock.unixMs(t.floor))
		g.raised = text
		head := pgwire.AppendQueryHeader(g.scratch[:0], len(text)-1)
		g.scratch = head
		return append(slices.Grow(g.parts[:0], 2), head, text), true
	}
	before, behind := t.comment.SplitAtBudget(buf[5:])
	var digits [20]byte
	d := strconv.AppendInt(digits[:0], left, 10)
	head := pgwire.AppendQueryHeader(g.scratch[:0], len(before)+len(d)+len(behind)-1)
	g.scratch = append(append(head, before...), d...)
	return append(slices.Grow(g.parts[:0], 2), g.scratch, behind), true
}
