package gateway

import (
	"bytes"
	"net/netip"
	"slices"

	"magpieglade/decide"
	"magpieglade/internal/deadlines"
	"magpieglade/internal/eventloop"
	"magpieglade/internal/pgwire"
	"magpieglade/internal/slots"
)

const (
	// Bytes. Values should be at most 64 KiB, yet members have sent correct responses of 350 KB in hexadecimal.
	maxResponseSize = 1 << 20
	// A response that has begun keeps arriving: one that stalls for this long has wrong length fields.
	responseStallTimeout = 100 * decide.Millisecond
	// Messages that belong to no query follow right after a response: a connection is not reused before they have had
	// time to arrive, or they would be read as the response to the next query.
	minIdleBeforeReuse = 2 * decide.Millisecond
	// Milliseconds. Reports give positions in seconds with three decimals and do not say which way they are rounded.
	reportRoundingMs = 1
)

// phase is the state of a member connection.
type phase int

const (
	dialling phase = iota
	starting       // connected, not yet ready for its first query
	idle
	busy
)

// job is a submission, or a probe, which has no txn, that a member connection runs or is about to run.
type job struct {
	txn                 slots.Ref
	submissionNo        int
	probe               bool
	fenceRequestNo      uint64 // number of the fence request for which this probe seeks a group's primary, 0 for none
	group               int
	startedAt, deadline decide.Nanos
	sendBefore          decide.Nanos // the query must be sent before this time; 0 for no limit
}

// memberConn is a connection to a member; release removes it.
type memberConn struct {
	server          decide.Server
	conn            *eventloop.Conn // nil while dialling
	phase           phase
	job             job
	hasJob          bool
	protocolError   bool         // sent something invalid: nothing that it sent is trusted
	lastPartAt      decide.Nanos // when the latest part of an incomplete response arrived, 0 for none
	cancelled       bool         // its job ends with cancelResult, unless the response that has arrived is complete
	cancelResult    decide.Result
	bytesNeeded     int          // bytes that the buffer must hold for the current message to be complete
	bufferedBytes   int          // bytes of an incomplete response in the buffer
	sent            bool         // the query was written, though some of it may wait in the outbound buffer
	abandoned       bool         // given up while dialling: closed as soon as it is established
	localDialError  bool         // an attempt to dial it failed with an error of this machine, which says nothing about the member
	draining        bool         // its member began to drain or left the list after the dial: no further query is sent on it
	since           decide.Nanos // when the dial began, then when the connection last became idle
	connectDeadline *deadlines.Entry[timerEvent]
	deadline        *deadlines.Entry[timerEvent] // of its job, or of the idle connection
	response        response
}

// response is what has been read of a member's response; ranges holds start and end offsets in the connection's buffer.
type response struct {
	readBytes              int
	ranges                 [][2]int
	rows, columns          int
	complete               bool
	errorResponse          pgwire.ErrorResponse // from an ErrorResponse; its Code is empty without one
	role                   decide.Role
	position               float64
	loadReport             []float64
	valueOffset, valueSize int
}

// members holds the connections to members and their pools. Only the event loop may use it.
type members struct {
	g             *Gateway
	conns         slots.Table[memberConn]
	pools         map[decide.Server]*pool
	bufferedBytes int // bytes of incomplete responses on all connections
}

// pool holds a member's idle connections, the most recently used last.
type pool struct{ idle []slots.Ref }

func (ms *members) poolOf(server decide.Server) *pool {
	p := ms.pools[server]
	if p == nil {
		p = new(pool)
		ms.pools[server] = p
	}
	return p
}

// startJob gives a job to the most recently used idle connection, or dials a new one.
func (ms *members) startJob(server decide.Server, j job) slots.Ref {
	if ref, ok := ms.takeIdle(server); ok {
		m := ms.conns.Get(ref)
		ms.g.deadlines.Remove(m.deadline)
		ms.assign(ref, m, j)
		ms.sendQuery(ref)
		return ref
	}
	now := ms.g.clock.now()
	ref := ms.conns.Add(memberConn{server: server, since: now})
	wait := decide.Millis(ms.g.names.Limits.ConnectTimeoutMs)
	for !ms.g.dial(server.String(), wait, &owner{kind: ownerMember, ref: ref}) {
		if !ms.closeLongestIdle() {
			ms.conns.Remove(ref)
			ms.reportJobEnd(j, server, decide.NotSent, nil)
			return slots.Ref{}
		}
	}
	m := ms.conns.Get(ref)
	ms.assign(ref, m, j)
	m.connectDeadline = ms.g.deadlines.Add(int64(now+wait), timerEvent{kind: timerConnect, ref: ref})
	return ref
}

// takeIdle removes the most recently used idle connection that can be reused from the pool. One with unread input, even if
// that is only its end, is closed instead: the loop may not have read it yet.
func (ms *members) takeIdle(server decide.Server) (ref slots.Ref, ok bool) {
	p := ms.pools[server]
	if p == nil {
		return ref, false
	}
	now := ms.g.clock.now()
	for i := len(p.idle) - 1; i >= 0; i-- {
		ref = p.idle[i]
		m := ms.conns.Get(ref)
		if now-m.since < minIdleBeforeReuse {
			continue
		}
		p.idle = slices.Delete(p.idle, i, i+1)
		if !hasUnread(m.conn.Fd()) && m.conn.InboundBuffered() == 0 {
			return ref, true
		}
		ms.release(ref)
	}
	return ref, false
}

// closeLongestIdle closes the least recently used idle connection.
func (ms *members) closeLongestIdle() bool {
	var oldest slots.Ref
	var since decide.Nanos
	for _, p := range ms.pools {
		if len(p.idle) > 0 {
			if m := ms.conns.Get(p.idle[0]); since == 0 || m.since < since {
				oldest, since = p.idle[0], m.since
			}
		}
	}
	if since == 0 {
		return false
	}
	conn := ms.conns.Get(oldest).conn
	ms.release(oldest)
	conn.Close() // immediately, as its descriptor is needed
	return true
}

func (ms *members) assign(ref slots.Ref, m *memberConn, j job) {
	m.job, m.hasJob, m.sent = j, true, false
	m.deadline = ms.g.deadlines.Add(int64(j.deadline), timerEvent{kind: timerSubmission, ref: ref})
}

// sendQuery writes the query of a connection's job, unless something forbids it that happened while the connection was
// being established: its member drains, its group may have forgotten the txn's first submission, or its member is no longer
// proven to have the data that the txn must see, or its client has left.
func (ms *members) sendQuery(ref slots.Ref) {
	m := ms.conns.Get(ref)
	now := ms.g.clock.now()
	expired := m.job.sendBefore > 0 && now >= m.job.sendBefore
	if m.draining || expired || ms.g.clientHasLeft(&m.job, now) || !ms.g.isStillFresh(&m.job, now) {
		ms.finishJob(ref, decide.NotSent, false)
		ms.returnToPool(ref)
		return
	}
	m.phase, m.lastPartAt, m.bytesNeeded, m.cancelled = busy, 0, 0, false
	m.response = response{ranges: m.response.ranges[:0]}
	var parts [][]byte
	if m.job.probe {
		ms.g.scratch = pgwire.AppendQuery(ms.g.scratch[:0], ms.probeQuery())
		parts = append(ms.g.parts[:0], ms.g.scratch)
	} else {
		var ok bool
		if parts, ok = ms.g.buildQuery(m.job.txn, m.job.deadline); !ok {
			ms.finishJob(ref, decide.NotSent, false)
			ms.returnToPool(ref)
			return
		}
	}
	_, err := m.conn.Writev(parts) // a failed write closes the connection before it returns, with the query counted as never written
	if m = ms.conns.Get(ref); err == nil && m != nil {
		m.sent = true
	}
}

// probeQuery asks for the load report, unless the settings say that members give none.
func (ms *members) probeQuery() string {
	if ms.g.names.LoadReport.How == "none" {
		return "SELECT 1"
	}
	return "SHOW stats"
}

func (ms *members) probe(server decide.Server) {
	now := ms.g.clock.now()
	ms.startJob(server, job{probe: true, startedAt: now, deadline: now + decide.Millis(ms.g.names.Limits.ConnectTimeoutMs)})
}

func serverOf(a netip.AddrPort) (s decide.Server) {
	ip := a.Addr().As4()
	copy(s[:], ip[:])
	s[4], s[5] = byte(a.Port()), byte(a.Port()>>8)
	return s
}

func (ms *members) memberOpened(c *eventloop.Conn, ref slots.Ref) (startup []byte, keep bool) {
	m := ms.conns.Get(ref)
	if m == nil || m.abandoned {
		ms.release(ref)
		return nil, false
	}
	m.conn, m.phase = c, starting
	return pgwire.AppendStartup(nil, "portal", "crm"), true
}

// release is the one place where a member connection is removed.
func (ms *members) release(ref slots.Ref) {
	m := ms.conns.Get(ref)
	if m == nil {
		return
	}
	ms.g.deadlines.Remove(m.connectDeadline)
	ms.g.deadlines.Remove(m.deadline)
	ms.bufferedBytes -= m.bufferedBytes
	p := ms.poolOf(m.server)
	if m.phase == idle {
		p.idle = slices.DeleteFunc(p.idle, func(r slots.Ref) bool { return r == ref })
	}
	if len(p.idle) == 0 {
		delete(ms.pools, m.server)
	}
	if m.conn != nil {
		m.conn.CloseSoon()
	}
	ms.conns.Remove(ref)
}

// memberClosed handles a connection that broke or could not be established. flushed means that all output was
// written.
func (ms *members) memberClosed(ref slots.Ref, flushed bool) {
	m := ms.conns.Get(ref)
	if m == nil {
		return
	}
	if m.hasJob {
		switch {
		case m.phase == busy && m.response.errorResponse.Fatal && !m.protocolError && m.conn.InboundBuffered() == m.response.readBytes:
			ms.finishJob(ref, resultForCode(m.response.errorResponse.Code), true) // no ReadyForQuery follows a fatal error
		case m.sent && flushed:
			ms.finishJob(ref, decide.Broken, false)
		case m.phase == dialling:
			ms.finishJob(ref, m.connectFailure(), false)
		case m.response.errorResponse.Code == "53300": // its connection limit is reached
			ms.finishJob(ref, decide.Unreachable, false)
		default:
			ms.finishJob(ref, decide.ResetBeforeSend, false)
		}
	}
	ms.release(ref)
}

// cancelJob ends a connection's job. If the query was sent, the connection is closed; if not, the connection is left to be
// established and used by another job. A job whose response has arrived unread is cancelled only if that is incomplete.
func (ms *members) cancelJob(ref slots.Ref, r decide.Result) {
	m := ms.conns.Get(ref)
	if m.phase == busy && hasUnread(m.conn.Fd()) {
		m.cancelled, m.cancelResult = true, r
		return
	}
	if m.phase != busy {
		r = decide.NotSent // it was never written: the member did not time out, and nothing ran
	}
	ms.finishJob(ref, r, false)
	if m.phase != busy {
		return
	}
	// Immediately, before the next turn: a submission sent elsewhere instead would be a second copy beside an open one.
	conn := m.conn
	ms.release(ref)
	conn.Close()
}

func (ms *members) submissionTimedOut(ref slots.Ref) {
	switch m := ms.conns.Get(ref); {
	case m == nil || !m.hasJob:
	case m.lastPartAt > 0 && ms.g.clock.now() < min(m.job.deadline, m.lastPartAt+responseStallTimeout):
		ms.setStallDeadline(ref, m)
	case m.lastPartAt > 0 && ms.g.clock.now() < m.job.deadline:
		ms.rejectResponse(ref)
	default:
		ms.cancelJob(ref, decide.TimedOut)
	}
}

// connectFailure is the result of a job whose connection could not be established.
func (m *memberConn) connectFailure() decide.Result {
	if m.phase == dialling && m.localDialError {
		return decide.NotSent
	}
	return decide.Unreachable
}

// connectTimedOut ends a connection that was not established in time. A pending dial is left to end by itself, as it holds
// its descriptors until then.
func (ms *members) connectTimedOut(ref slots.Ref) {
	m := ms.conns.Get(ref)
	if m == nil || m.phase > starting {
		return
	}
	if m.hasJob {
		ms.finishJob(ref, m.connectFailure(), false)
	}
	if m.phase == dialling {
		m.abandoned = true
		return
	}
	ms.release(ref)
}

func (ms *members) idleTimedOut(ref slots.Ref) {
	if m := ms.conns.Get(ref); m != nil && m.phase == idle {
		ms.release(ref)
	}
}

// drainMember closes the idle connections to a member and lets all others finish their current job only.
func (ms *members) drainMember(server decide.Server) {
	ms.closeIdle(server)
	for _, ref := range ms.conns.Refs() {
		if m := ms.conns.Get(ref); m.server == server {
			m.draining = true
		}
	}
}

// closeIdle closes the idle connections to a member.
func (ms *members) closeIdle(server decide.Server) {
	for p := ms.pools[server]; p != nil && len(p.idle) > 0; {
		ms.release(p.idle[len(p.idle)-1])
	}
}

// returnToPool returns a connection that is ready for a query to the pool.
func (ms *members) returnToPool(ref slots.Ref) {
	m := ms.conns.Get(ref)
	if m.draining || ms.g.discovery.draining[m.server] { // no further query goes there: close it after its last response
		ms.release(ref)
		return
	}
	m.phase, m.since = idle, ms.g.clock.now()
	p := ms.poolOf(m.server)
	p.idle = append(p.idle, ref)
	// Well before the member closes it: a query written after that fails with a reset.
	m.deadline = ms.g.deadlines.Add(int64(m.since+decide.Millis(0.8*ms.g.names.Limits.KeepaliveMs)),
		timerEvent{kind: timerIdle, ref: ref})
}

// finishJob ends a connection's job and reports it, with the member's status if hasResponse is set.
func (ms *members) finishJob(ref slots.Ref, r decide.Result, hasResponse bool) {
	m := ms.conns.Get(ref)
	m.hasJob = false
	ms.g.deadlines.Remove(m.deadline)
	m.deadline = nil
	var a *response
	if hasResponse {
		a = &m.response
	}
	ms.reportJobEnd(m.job, m.server, r, a)
}

// reportJobEnd queues the end of a job as an input of the decision module.
func (ms *members) reportJobEnd(j job, server decide.Server, r decide.Result, a *response) {
	in := input{kind: inEnded, ref: j.txn, attempt: j.submissionNo, server: server, result: r, elapsed: ms.g.clock.now() - j.startedAt,
		fenceAttempt: j.fenceRequestNo, group: j.group}
	if j.probe {
		in.kind = inProbed
	}
	if a != nil {
		in.report = a.loadReport
		in.role = a.role
		if a.position > 0 {
			in.position = ms.g.clock.fromUnixMs(a.position)
		}
	}
	ms.g.inputs = append(ms.g.inputs, in)
}

// groupPosition converts a position to the gateway's clock; ok is false if it is missing, or ahead of its group's clock.
func (ms *members) groupPosition(group int, unixMs float64) (at decide.Nanos, ok bool) {
	at = ms.g.clock.fromUnixMs(unixMs)
	if unixMs <= 0 || !ms.g.module.CanPlacePosition(group, at, ms.g.clock.now()) {
		return 0, false
	}
	return at, true
}

// resultForCode maps the SQLSTATE of a member's error to a result.
func resultForCode(code string) decide.Result {
	switch code {
	case "25006", "72000":
		return decide.NotEligible
	case "53300":
		return decide.AtCapacity
	}
	return decide.Failed
}

// readMember processes what a member sent.
func (ms *members) readMember(ref slots.Ref) {
	for {
		m := ms.conns.Get(ref)
		if m == nil {
			return
		}
		buffered := m.conn.InboundBuffered()
		if buffered < m.bytesNeeded {
			ms.receivePartial(ref, m, buffered)
			return
		}
		buf, err := m.conn.Peek(-1)
		if err != nil {
			return
		}
		a := &m.response
		kind, body, size, err := pgwire.ReadMessage(buf[a.readBytes:], maxResponseSize)
		if err != nil || len(buf) > maxResponseSize || !pgwire.MayBeResponse(buf[a.readBytes:], maxResponseSize) {
			ms.rejectResponse(ref)
			return
		}
		m.bytesNeeded = 0
		if size == 0 {
			if rest := buf[a.readBytes:]; len(rest) >= pgwire.HeaderSize+pgwire.ColumnHeaderSize {
				m.bytesNeeded = a.readBytes + pgwire.MessageSize(rest)
			}
			ms.receivePartial(ref, m, buffered)
			return
		}
		from := a.readBytes
		a.readBytes += size
		ok := true
		// Messages follow the protocol's order: row description, row, completion, or an error at any point before that;
		// then ReadyForQuery. Parameter statuses and notices may come anywhere.
		answering := m.phase == busy && !a.complete && a.errorResponse.Code == ""
		switch {
		case m.phase == idle && (kind == 'S' || kind == 'N'):
			m.conn.Discard(size)
			a.readBytes = 0
		case kind == 'S':
			ok = ms.readParameter(a, body)
		case kind == 'N':
		case kind == 'Z':
			ok = bytes.Equal(body, []byte{'I'}) && ms.handleReady(ref, m, buf)
		case m.phase == starting && kind == 'R':
			ok = bytes.Equal(body, []byte{0, 0, 0, 0})
		case m.phase == starting && kind == 'K':
		case kind == 'E' && (answering || m.phase == starting):
			a.errorResponse = pgwire.ReadErrorResponse(body)
			// Before the first query an error, such as a reached connection limit, ends the connection.
			ok = m.phase == busy && a.errorResponse.Code != ""
		case answering && kind == 'T' && a.columns == 0:
			a.columns = pgwire.CountColumns(body)
			a.addRange(from, size)
			ok = a.columns == 1
		case answering && kind == 'D' && a.columns == 1 && a.rows == 0:
			var value []byte
			value, ok = pgwire.ReadColumn(body)
			a.rows++
			a.valueSize = len(value)
			a.valueOffset = from + size - len(value)
			a.addRange(from, size)
		case answering && kind == 'C' && a.rows == 1:
			_, ok = pgwire.ReadString(body)
			a.complete = true
			a.addRange(from, size)
		default:
			ok = false
		}
		if !ok {
			ms.rejectResponse(ref)
			return
		}
	}
}

// receivePartial handles an incomplete response. All of them together may fill only a fraction of the memory limit.
func (ms *members) receivePartial(ref slots.Ref, m *memberConn, buffered int) {
	ms.bufferedBytes += buffered - m.bufferedBytes
	m.bufferedBytes = buffered
	if buffered == 0 || m.phase != busy || !m.hasJob {
		return
	}
	if m.cancelled {
		ms.cancelJob(ref, m.cancelResult)
		return
	}
	if ms.bufferedBytes > ms.g.config.Limits.MemoryMB<<20/bufferMemoryDivisor {
		ms.rejectResponse(ref)
		return
	}
	first := m.lastPartAt == 0
	m.lastPartAt = ms.g.clock.now()
	ms.g.inputs = append(ms.g.inputs, input{kind: inProgress, server: m.server})
	if first {
		ms.setStallDeadline(ref, m)
	}
}

// setStallDeadline sets the time by which the next part of a response must arrive.
func (ms *members) setStallDeadline(ref slots.Ref, m *memberConn) {
	ms.g.deadlines.Remove(m.deadline)
	m.deadline = ms.g.deadlines.Add(int64(min(m.job.deadline, m.lastPartAt+responseStallTimeout)), timerEvent{kind: timerSubmission, ref: ref})
}

// rejectResponse closes a connection on which the member sent something invalid.
func (ms *members) rejectResponse(ref slots.Ref) {
	m := ms.conns.Get(ref)
	if m == nil {
		return
	}
	if m.hasJob && m.phase == starting && m.response.errorResponse.Code == "53300" && m.job.probe {
		// Its connection limit is reached, yet it responded: that is all a probe needs.
		ms.finishJob(ref, decide.Committed, false)
	}
	m.protocolError = true
	ms.memberClosed(ref, true)
}

// addRange adds a message to the ranges to forward, merging it with the last one if adjacent.
func (a *response) addRange(from, size int) {
	if n := len(a.ranges); n > 0 && a.ranges[n-1][1] == from {
		a.ranges[n-1][1] += size
		return
	}
	a.ranges = append(a.ranges, [2]int{from, from + size})
}

// readParameter records the role, position or load report in a ParameterStatus message.
func (ms *members) readParameter(a *response, body []byte) bool {
	name, value, ok := pgwire.ReadParameterStatus(body)
	if !ok {
		return false
	}
	switch string(name) {
	case "mode":
		switch string(value) {
		case "read-write":
			a.role = decide.RolePrimary
		case "read-only":
			a.role = decide.RoleReplica
		}
	case "wal_time":
		a.position, _ = pgwire.ParseNumber(value)
	case "stats":
		a.loadReport = ms.parseLoadReport(value)
	}
	return true
}

// parseLoadReport returns a report's values in the order in which the settings name them. It returns nil for a report that
// is malformed or lacks a value: a missing value is not zero.
func (ms *members) parseLoadReport(text []byte) []float64 {
	report := make([]float64, len(ms.g.names.LoadReport.Fields))
	for i := range report {
		report[i] = -1
	}
	for len(text) > 0 {
		var part []byte
		part, text, _ = bytes.Cut(text, []byte{','})
		name, value, _ := bytes.Cut(part, []byte{'='})
		x, ok := pgwire.ParseNumber(value)
		if !ok {
			return nil
		}
		i := slices.Index(ms.g.names.LoadReport.Fields, string(name))
		if i < 0 {
			continue
		}
		if string(name) == "x0" {
			x = float64(ms.g.clock.fromUnixMs(x*1000-reportRoundingMs)) / 1e9
		}
		report[i] = x
	}
	if slices.Contains(report, -1) {
		return nil
	}
	return report
}

// handleReady handles ReadyForQuery: a connection is established, or a response is complete.
func (ms *members) handleReady(ref slots.Ref, m *memberConn, buf []byte) bool {
	a := &m.response
	switch m.phase {
	case starting:
		ms.g.deadlines.Remove(m.connectDeadline)
		m.connectDeadline = nil
		m.conn.Discard(a.readBytes)
		a.readBytes = 0
		if m.conn.InboundBuffered() > 0 {
			return false
		}
		switch {
		case ms.g.recovery.active: // what arrived during the stall may forbid to send the query
			ms.g.recovery.heldQueries = append(ms.g.recovery.heldQueries, ref)
		case m.hasJob:
			ms.sendQuery(ref)
		default:
			m.response = response{}
			ms.returnToPool(ref)
		}
		return true
	case busy:
	default:
		return false
	}
	r := decide.Committed
	switch {
	case a.errorResponse.Code != "":
		r = resultForCode(a.errorResponse.Code)
	case a.columns != 1 || a.rows != 1 || !a.complete:
		return false
	case !m.job.probe && !ms.g.answersFence(m.job.txn, a):
		r = decide.NotEligible
	}
	if m.job.probe {
		if a.errorResponse.Code == "" && ms.g.names.LoadReport.How != "none" {
			a.loadReport = ms.parseLoadReport(buf[a.valueOffset : a.valueOffset+a.valueSize])
		}
	} else if r == decide.Committed {
		parts := ms.g.parts[:0]
		for _, p := range a.ranges {
			parts = append(parts, buf[p[0]:p[1]])
		}
		ms.g.parts = parts
		ms.g.fenceAnswered(m.job.txn, a)
		if t := ms.g.txns.Get(m.job.txn); ms.g.sessions != nil && t != nil && !t.answered && t.writes {
			if token := ms.g.recordSessionCommit(t, a.position); token != nil {
				parts = append(parts, token)
			}
		}
		parts = append(parts, pgwire.AppendReadyForQuery(nil))
		if ms.g.waitsForLedger(m.job.txn) {
			ms.g.delayResponse(m.job.txn, parts...)
			ms.g.sessions.SaveChanges(m.job.txn)
		} else {
			ms.g.respond(m.job.txn, parts...)
		}
	}
	ms.finishJob(ref, r, true)
	ms.bufferedBytes -= m.bufferedBytes
	m.bufferedBytes = 0
	m.conn.Discard(a.readBytes)
	*a = response{ranges: a.ranges[:0]}
	if m.conn.InboundBuffered() > 0 {
		ms.release(ref) // unexpected input after the response
		return true
	}
	ms.returnToPool(ref)
	return true
}
