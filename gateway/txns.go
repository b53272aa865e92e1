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

// txn is one request of a client. releaseIfDone removes it once it is answered or withdrawn and all its submissions
// have ended.
type txn struct {
	id          uint64
	client      slots.Ref
	querySize   int // of its query message, the first in the client's buffer
	comment     pgwire.Comment
	answered    bool // or withdrawn: the client gets no further response
	inFlight    int  // submissions whose end was not yet reported to the decision module
	submissions []slots.Ref

	generation      *generation // the generation in force at its arrival
	route           routes.Match
	shares          *routes.Shares // the quotas that it counts against, nil for none
	tenant          int32          // of those
	nextShares      *routes.Shares // the quotas of the next version that it also counts against, nil for none
	nextTenant      int32          // of those
	countedInFlight bool           // it counts against those quotas, until it has ended
	fleetLimits     []*fleetLimits // fleet-wide limits that it counts against
	fleetLimitBytes int64          // size that it counts with against them
	failed          bool           // its response is an error
	ending          txnOutcome     // how it ended, for statistics
	mayHaveRun      bool           // one of its submissions may have had an effect
	arrived         decide.Nanos
	arrivedAtSocket decide.Nanos // when its client's time began, before it waited behind other queries

	class           int
	session, key    uint64
	writes          bool         // it changes data that its session reads
	awaitingFloor   bool         // it waits for its floor, and is not in the decision module yet
	heldUntil       decide.Nanos // when it expires, if it was held for its floor
	delayedResponse []byte       // its response, which waits for the ledger to be saved
	awaitingLedger  bool         // it was answered before the ledger saved its change, which is still pending
	floor           decide.Nanos // position that its read must see; 0 for none, or for the one that its client sent
	fenceRequest    uint64       // fence that a primary's answer to it completes, 0 for none
}

// awaitingAllocation is the problem of receiveTxn when the query must be read again after allocationPollInterval. Clients
// never see it.
const awaitingAllocation = "waiting for a first allocation of a fleet-wide limit"

// receiveTxn adds a txn to the decision module, or returns what is wrong with its statement.
func (g *Gateway) receiveTxn(ref slots.Ref, c *client, text []byte, size int) (problem string) {
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
	if !g.discovery.list.knownGroups[comment.Group] { // the decision module keeps state for every group it is given, so unknown ones are rejected here
		return "cluster is none of the list's"
	}
	if _, open := g.byID[comment.ID]; open {
		return "id belongs to an open txn"
	}
	t := txn{id: comment.ID, client: ref, querySize: size, comment: comment, arrived: g.clock.now()}
	reason, retryAfter := g.generations.admit(&t, g.routingAttributes(c, class, text))
	if reason == routes.WrongGroup {
		return reason.String()
	}
	if reason == routes.Allowed {
		awaitsAllocation := false
		if reason, retryAfter, awaitsAllocation = g.generations.checkFleetLimits(&t); awaitsAllocation && g.clients.waitForAllocation(c) {
			return awaitingAllocation
		}
	}
	t.class = int(t.route.Type)
	kind := &g.names.Classes[t.class]
	if kind.Effect == "by_key" && comment.IdempotencyKey == nil {
		return "the comment lacks k, which this txn type needs"
	}
	// The client's budget runs while its query waits here: behind another query, for a slow reader, or for an allocation.
	queued := c.queuedFor(size, t.arrived)
	t.arrivedAtSocket = t.arrived - queued
	budget := max(1, decide.Millis(comment.Budget)-queued)
	if t.route.Route >= 0 {
		if routeExpiry := t.generation.table.Routes[t.route.Route].Expiry; routeExpiry > 0 {
			budget = min(budget, decide.Nanos(routeExpiry))
		}
	}
	consistency := g.names.FamilyInfo.Consistency[t.class]
	t.writes = consistency == "mutate"
	if consistency == "causal" || t.writes {
		t.session = sessionNumber(comment.Session)
	}
	if comment.IdempotencyKey != nil {
		t.key = hashKey(comment.IdempotencyKey)
	}
	if g.sessions != nil && reason == routes.Allowed && t.writes && t.session != 0 && !g.sessions.Module.AcceptsSessionWrites() {
		reason, retryAfter = routes.AgreementUnavailable, g.sessions.Config.Session.RetryAfter // the other gateways do not know that this one must be asked
	}
	mayRepeat := true
	if g.sessions != nil && kind.Effect == "by_key" {
		budget, mayRepeat = g.retryBudget(&t, decide.Millis(kind.Window), budget)
	}
	c.txn = g.txns.Add(t)
	g.byID[comment.ID] = c.txn
	g.counts.taken++
	if g.coordination != nil {
		g.coordination.coordination.AddTxn()
	}
	added := g.txns.Get(c.txn)
	added.ending = outcomeOfRejection(reason)
	defer g.clearBufferReferences(added)
	switch {
	case reason != routes.Allowed:
		g.inputs = append(g.inputs, input{kind: inReject, ref: c.txn, elapsed: decide.Nanos(retryAfter)})
		return ""
	case g.abandoned.contains(comment.ID, t.arrived):
		g.inputs = append(g.inputs, input{kind: inRollBack, ref: c.txn})
		return ""
	case !mayRepeat: // its group would no longer recognize it as a repetition
		g.inputs = append(g.inputs, input{kind: inRollBack, ref: c.txn})
		return ""
	}
	g.generations.begin(added)
	if g.sessions != nil && consistency == "causal" {
		g.addSessionRead(added, budget)
		return ""
	}
	var floor decide.Nanos
	if consistency == "causal" && comment.After > 0 {
		floor = max(1, g.clock.fromUnixMs(comment.After))
	}
	if err := g.addToModule(added, budget, floor); err != nil {
		g.releaseIfDone(c.txn, true)
		return err.Error()
	}
	return ""
}

// addToModule adds a txn to the decision module, which from then on decides when it ends. Its read must see the position floor,
// 0 for none.
func (g *Gateway) addToModule(t *txn, budget, floor decide.Nanos) error {
	if err := g.module.AddTxn(t.id, t.class, 0, t.session, budget, 0, t.comment.Group, 0); err != nil {
		return err
	}
	if floor > 0 {
		g.module.RequirePosition(t.id, floor)
	}
	g.generations.restrictReads(t)
	if g.shuttingDown {
		g.module.LimitExpiry(t.id, g.answerDeadline)
	}
	return nil
}

// routingAttributes returns the attributes that a route is chosen by, filled in only if there are routes.
func (g *Gateway) routingAttributes(c *client, class int, text []byte) *routes.Txn {
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

// clearBufferReferences drops the comment's slices into the connection's buffer, whose contents will change.
func (g *Gateway) clearBufferReferences(t *txn) {
	t.comment.Class, t.comment.IdempotencyKey, t.comment.Session, t.comment.Token = nil, nil, nil, nil
}

// sessionNumber returns a session's number: its key if that is a hexadecimal number, else a hash of it.
func sessionNumber(key []byte) uint64 {
	if n, err := strconv.ParseUint(string(key), 16, 64); err == nil {
		return n
	}
	h := fnv.New64a()
	_, _ = h.Write(key)
	return h.Sum64()
}

// releaseIfDone removes a txn that is answered and has nothing pending.
func (g *Gateway) releaseIfDone(ref slots.Ref, answered bool) {
	t := g.txns.Get(ref)
	if t == nil {
		return
	}
	t.answered = t.answered || answered
	if t.answered && t.inFlight == 0 && !t.awaitingLedger {
		delete(g.byID, t.id)
		g.generations.end(t)
		if t.ending == outcomeAbandoned && t.mayHaveRun && g.names.Classes[t.class].Effect == "once" {
			g.abandoned.add(t.id, g.clock.now())
		}
		g.txns.Remove(ref)
	}
}

// respond writes a txn's only final response and schedules reading the client's next query. It does not retain parts.
func (g *Gateway) respond(ref slots.Ref, parts ...[]byte) {
	t := g.txns.Get(ref)
	if t == nil || t.answered {
		return
	}
	t.answered = true
	g.endFence(t)
	g.generations.recordOutcome(t, !t.failed)
	if g.contracts != nil {
		g.contracts.countTxn(t, !t.failed)
	}
	client, size := t.client, t.querySize
	c := g.clients.conns.Get(client)
	c.txn = slots.Ref{}
	_, _ = c.conn.Writev(parts) // a failed write closes the connection before it returns
	if c = g.clients.conns.Get(client); c != nil {
		c.consume(size)
		g.inputs = append(g.inputs, input{kind: inReadable, ref: client})
	}
}

// delayResponse keeps a copy of a response until sendDelayedResponse.
func (g *Gateway) delayResponse(ref slots.Ref, parts ...[]byte) {
	if t := g.txns.Get(ref); t != nil && !t.answered {
		t.delayedResponse = slices.Concat(parts...)
	}
}

// sendDelayedResponse sends a response that delayResponse kept.
func (g *Gateway) sendDelayedResponse(ref slots.Ref) {
	t := g.txns.Get(ref)
	if t == nil || t.delayedResponse == nil {
		return
	}
	response := t.delayedResponse
	t.delayedResponse = nil
	g.respond(ref, response)
	g.releaseIfDone(ref, true)
}

// reject carries out a decision to decline a txn: its client may safely send it again.
func (g *Gateway) reject(id uint64, retryAfter decide.Nanos) {
	detail := ""
	if g.names.Limits.RetryAfter && retryAfter > 0 {
		detail = strconv.FormatInt(int64((retryAfter+decide.Millisecond-1)/decide.Millisecond), 10)
	}
	g.respondError(id, "53300", "declined, trying again does no harm", detail)
	g.counts.declined++
}

// rollBack carries out a decision to roll a txn back: it may nevertheless have taken effect.
func (g *Gateway) rollBack(id uint64) {
	if t := g.txns.Get(g.byID[id]); t != nil {
		t.ending = outcomeRolledBack
	}
	g.respondError(id, "40000", "rolled back, it may have had its effect", "")
	g.counts.rolledBack++
}

// respondError answers a txn with an error.
func (g *Gateway) respondError(id uint64, code, message, detail string) {
	ref := g.byID[id]
	if t := g.txns.Get(ref); t != nil {
		t.failed = true
	}
	out := pgwire.AppendError(g.scratch[:0], "ERROR", code, message, detail)
	out = pgwire.AppendReadyForQuery(out)
	g.scratch = out[:0]
	g.respond(ref, out)
	g.releaseIfDone(ref, true)
}

// withdrawTxn tells the decision module, or the session module if it holds the txn, that its client is gone.
func (g *Gateway) withdrawTxn(ref slots.Ref) {
	if t := g.txns.Get(ref); t != nil {
		g.counts.withdrawn++
		if t.ending = outcomeAbandoned; g.contracts != nil && !t.answered {
			g.contracts.countTxn(t, false)
		}
		if t.awaitingFloor {
			g.sessions.Module.CancelRead(t.id)
		} else {
			g.module.ClientGone(t.id)
		}
		g.endFence(t)
		g.releaseIfDone(ref, true)
	}
}

// cancelTxn answers a query that its client has cancelled; its submissions end as if the client had disconnected.
func (g *Gateway) cancelTxn(ref slots.Ref) {
	t := g.txns.Get(ref)
	if t == nil || t.answered {
		return
	}
	t.failed, t.ending = true, outcomeAbandoned
	out := pgwire.AppendError(g.scratch[:0], "ERROR", "57014", "cancelled by its client, it may have had its effect", "")
	g.scratch = pgwire.AppendReadyForQuery(out)
	g.respond(ref, g.scratch)
	g.withdrawTxn(ref)
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
	submissionNo := len(t.submissions)
	t.inFlight++
	if !t.answered && !g.generations.allowAttempt(t, submissionNo) { // the client can safely send a repeatable txn again
		g.reject(id, 0)
		if t = g.txns.Get(ref); t == nil {
			return
		}
	}
	if t.answered {
		t.submissions = append(t.submissions, slots.Ref{})
		g.inputs = append(g.inputs, input{kind: inEnded, ref: ref, attempt: submissionNo, server: server, result: decide.NotSent})
		return
	}
	if d.Proof != decide.NoProof {
		g.outcomes.readsSent[d.Proof]++
	}
	job := job{txn: ref, submissionNo: submissionNo, startedAt: g.clock.now(), deadline: d.Expiry, sendBefore: d.SendBefore}
	conn := g.members.startJob(server, job)
	if t = g.txns.Get(ref); t != nil {
		t.submissions = append(t.submissions, conn)
	}
}

// cancelSubmission cancels one submission.
func (g *Gateway) cancelSubmission(id uint64, submissionNo int) {
	ref := g.byID[id]
	if t := g.txns.Get(ref); t != nil && submissionNo < len(t.submissions) {
		conn := t.submissions[submissionNo]
		if m := g.members.conns.Get(conn); m != nil && m.job.txn == ref && m.job.submissionNo == submissionNo {
			g.members.cancelJob(conn, decide.Cancelled)
		}
	}
}

// submissionEnded reports the end of a submission to the decision module.
func (g *Gateway) submissionEnded(in input) {
	t := g.txns.Get(in.ref)
	if t == nil {
		return
	}
	t.inFlight--
	t.mayHaveRun = t.mayHaveRun || mayHaveRun(in.result)
	g.outcomes.attempts[in.result]++
	isPlaced := in.position > 0 && g.module.CanPlacePosition(t.comment.Group, in.position, g.clock.now())
	g.module.SubmissionEnded(t.id, in.attempt, in.server, in.result, in.elapsed, in.role, in.position,
		t.answered, in.report)
	if t.fenceRequest != 0 && isPlaced { // the group's log has reached it, whoever is its primary
		g.sessions.Module.RecordMemberPosition(t.comment.Group, g.sessionPosition(in.position))
	}
	g.releaseIfDone(in.ref, false)
}

// isStillFresh reports whether a job may be written now, as far as the age of its member's data is concerned.
func (g *Gateway) isStillFresh(j *job, now decide.Nanos) bool {
	t := g.txns.Get(j.txn)
	if j.probe || t == nil || g.module.StillFresh(t.id, j.submissionNo, now) {
		return true
	}
	g.outcomes.readsWithheld++
	return false
}

// buildQuery returns a txn's query message for a member: byte for byte what the client sent, except for the budget, which
// is the time that this gateway will wait.
func (g *Gateway) buildQuery(ref slots.Ref, until decide.Nanos) (parts [][]byte, ok bool) {
	t := g.txns.Get(ref)
	if t == nil || t.answered {
		return nil, false
	}
	buf, err := g.clients.conns.Get(t.client).peek(t.querySize)
	if err != nil {
		return nil, false
	}
	left := max(1, int64((until-g.clock.now())/decide.Millisecond))
	if t.floor > 0 { // members that check reads get the position that this one must see
		text := t.comment.AppendWithAfter(g.raisedStatement[:0], buf[5:], left, g.clock.unixMs(t.floor))
		g.raisedStatement = text
		head := pgwire.AppendQueryHeader(g.scratch[:0], len(text)-1)
		g.scratch = head
		return append(slices.Grow(g.parts[:0], 2), head, text), true
	}
	before, after := t.comment.SplitAtBudget(buf[5:])
	var digits [20]byte
	d := strconv.AppendInt(digits[:0], left, 10)
	head := pgwire.AppendQueryHeader(g.scratch[:0], len(before)+len(d)+len(after)-1)
	g.scratch = append(append(head, before...), d...)
	return append(slices.Grow(g.parts[:0], 2), g.scratch, after), true
}
