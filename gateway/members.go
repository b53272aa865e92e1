package gateway

import (
	"bytes"
	"net/netip"
	"slices"

	"github.com/panjf2000/gnet/v2"

	"magpieglade/decide"
	"magpieglade/internal/deadlines"
	"magpieglade/internal/pgwire"
	"magpieglade/internal/slots"
)

const (
	// Bytes of an answer. Values are to be of 64 KiB at most, yet members were seen to answer with 350 KB in hexadecimal, rightly.
	mostAnswer = 1 << 20
	// An answer that has begun goes on coming: one that stands still for so long is one whose lengths lie.
	mostStill = 100 * decide.Millisecond
	// What belongs to no query comes right behind an answer: a connection that has just brought one rests for
	// longer than that takes, else it would be read as the answer of the next.
	leastRest = 2 * decide.Millisecond
	// All machines read one clock; a commit's position is rounded up. What is further ahead proves nothing.
	mostEarly = 5 * decide.Millisecond
)

// phase is what a member's connection is doing.
type phase int

const (
	dialling phase = iota
	starting       // connected, not yet ready for its first query
	idle
	busy
)

// job is what a member's connection does or waits to do: a submission, or a probe, which has no txn.
type job struct {
	txn       slots.Ref
	no        int
	probe     bool
	fence     uint64 // a probe that asks for the position of a group's primary: as which question
	group     int
	at, until decide.Nanos
	before    decide.Nanos // it may be sent before that alone; 0 is at any time
}

// memberConn is a connection to a member. It is given back in release.
type memberConn struct {
	server    decide.Server
	conn      gnet.Conn // nil while it is dialled
	phase     phase
	job       job
	working   bool         // has a job
	broken    bool         // brought what it should not have: nothing that it said is believed
	heardAt   decide.Nanos // when the latest part of an answer came that is not whole yet; 0 is none
	needs     int          // bytes that the buffer must hold for the message in hand to be whole
	held      int          // bytes in the buffer, of an answer that is not whole
	sent      bool         // the query was written, though some of it may wait in the outbound buffer
	abandoned bool         // given up while it was dialled: closed as soon as it comes up
	delayed   bool         // its dial met an error of this machine, which says nothing of the member
	barred    bool         // its member was told to drain or to be gone since it was begun: nothing more is sent on it
	since     decide.Nanos
	connect   *deadlines.Entry[due]
	patience  *deadlines.Entry[due] // of a job, or of an idle connection
	answer    answer
}

// answer is what has been read of an answer; parts are offsets in the connection's buffer.
type answer struct {
	read             int
	parts            [][2]int
	rows, columns    int
	complete         bool
	problem          pgwire.ErrorResponse // an ErrorResponse
	role             decide.Role
	position         float64
	report           []float64
	valueFrom, value int
}

// members are the connections to members and their pools. They belong to the loop.
type members struct {
	g         *Gateway
	conns     slots.Table[memberConn]
	pools     map[decide.Server]*pool
	answering int // bytes of answers that are not whole
}

// pool holds a member's idle connections, the latest used last.
type pool struct{ idle []slots.Ref }

func (ms *members) poolOf(server decide.Server) *pool {
	p := ms.pools[server]
	if p == nil {
		p = new(pool)
		ms.pools[server] = p
	}
	return p
}

// connect gives a job to the latest used idle connection, or dials one.
func (ms *members) connect(server decide.Server, j job) slots.Ref {
	if ref, ok := ms.rested(server); ok {
		m := ms.conns.Get(ref)
		ms.g.deadlines.Remove(m.patience)
		ms.assign(ref, m, j)
		ms.begin(ref)
		return ref
	}
	now := ms.g.clock.now()
	ref := ms.conns.Add(memberConn{server: server, since: now})
	wait := decide.Millis(ms.g.names.Limits.ConnectTimeoutMs)
	for !ms.g.dial(server.String(), wait, &owner{kind: ownerMember, ref: ref}) {
		if !ms.closeLongestIdle() {
			ms.conns.Remove(ref)
			ms.noteEnd(j, server, decide.NotSent, nil)
			return slots.Ref{}
		}
	}
	m := ms.conns.Get(ref)
	ms.assign(ref, m, j)
	m.connect = ms.g.deadlines.Add(int64(now+wait), due{kind: dueConnect, ref: ref})
	return ref
}

// rested takes the latest used idle connection out of the pool that can be used again. One on which something
// waits unread, be it its end, is no longer of use; the loop may not have come to read it yet.
func (ms *members) rested(server decide.Server) (ref slots.Ref, ok bool) {
	p := ms.pools[server]
	if p == nil {
		return ref, false
	}
	now := ms.g.clock.now()
	for i := len(p.idle) - 1; i >= 0; i-- {
		ref = p.idle[i]
		m := ms.conns.Get(ref)
		if now-m.since < leastRest {
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

// closeLongestIdle closes the idle connection that was used longest ago.
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
	_ = ms.g.loop.Close(conn) // now, as its descriptor is wanted
	return true
}

func (ms *members) assign(ref slots.Ref, m *memberConn, j job) {
	m.job, m.working, m.sent = j, true, false
	m.patience = ms.g.deadlines.Add(int64(j.until), due{kind: dueSubmission, ref: ref})
}

// begin writes the query of a connection's job, unless the time that it took to come up has brought what forbids it: its
// member drains by now, or its group may have forgotten the txn's first submission.
func (ms *members) begin(ref slots.Ref) {
	m := ms.conns.Get(ref)
	late := m.job.before > 0 && ms.g.clock.now() >= m.job.before
	if m.barred || late {
		ms.finish(ref, decide.NotSent, false)
		ms.toIdle(ref)
		return
	}
	m.phase, m.heardAt, m.needs = busy, 0, 0
	m.answer = answer{parts: m.answer.parts[:0]}
	var parts [][]byte
	if m.job.probe {
		ms.g.scratch = pgwire.AppendQuery(ms.g.scratch[:0], ms.probeText())
		parts = append(ms.g.parts[:0], ms.g.scratch)
	} else {
		var ok bool
		if parts, ok = ms.g.statement(m.job.txn, m.job.until); !ok {
			ms.finish(ref, decide.NotSent, false)
			ms.toIdle(ref)
			return
		}
	}
	_, err := m.conn.Writev(parts) // one that fails ends the connection within it, as never written
	if m = ms.conns.Get(ref); err == nil && m != nil {
		m.sent = true
	}
}

// probeText is the probe that tells most where the settings allow it.
func (ms *members) probeText() string {
	if ms.g.names.LoadReport.How == "none" {
		return "SELECT 1"
	}
	return "SHOW stats"
}

func (ms *members) probe(server decide.Server) {
	now := ms.g.clock.now()
	ms.connect(server, job{probe: true, at: now, until: now + decide.Millis(ms.g.names.Limits.ConnectTimeoutMs)})
}

func serverOf(a netip.AddrPort) (s decide.Server) {
	ip := a.Addr().As4()
	copy(s[:], ip[:])
	s[4], s[5] = byte(a.Port()), byte(a.Port()>>8)
	return s
}

func (ms *members) memberOpened(c gnet.Conn, ref slots.Ref) ([]byte, gnet.Action) {
	m := ms.conns.Get(ref)
	if m == nil || m.abandoned {
		ms.release(ref)
		return nil, gnet.Close
	}
	m.conn, m.phase = c, starting
	return pgwire.AppendStartup(nil, "portal", "crm"), gnet.None
}

// release is the one place where a member's connection is given back.
func (ms *members) release(ref slots.Ref) {
	m := ms.conns.Get(ref)
	if m == nil {
		return
	}
	ms.g.deadlines.Remove(m.connect)
	ms.g.deadlines.Remove(m.patience)
	ms.answering -= m.held
	p := ms.poolOf(m.server)
	if m.phase == idle {
		p.idle = slices.DeleteFunc(p.idle, func(r slots.Ref) bool { return r == ref })
	}
	if len(p.idle) == 0 {
		delete(ms.pools, m.server)
	}
	if m.conn != nil {
		_ = m.conn.Close()
	}
	ms.conns.Remove(ref)
}

// memberClosed comes when a connection broke or could not be had. flushed says that nothing is left that was
// to be written.
func (ms *members) memberClosed(ref slots.Ref, flushed bool) {
	m := ms.conns.Get(ref)
	if m == nil {
		return
	}
	if m.working {
		switch {
		case m.phase == busy && m.answer.problem.Fatal && !m.broken && m.conn.InboundBuffered() == m.answer.read:
			ms.finish(ref, resultOf(m.answer.problem.Code), true) // after which no ReadyForQuery is due
		case m.sent && flushed:
			ms.finish(ref, decide.Broken, false)
		case m.phase == dialling:
			ms.finish(ref, m.notConnected(), false)
		case m.answer.problem.Code == "53300": // it has no connection to give
			ms.finish(ref, decide.Unreachable, false)
		default:
			ms.finish(ref, decide.ResetBeforeSend, false)
		}
	}
	ms.release(ref)
}

// giveUp ends a connection's job. A query that was begun is given up by closing the connection; one that was
// not leaves the connection to come up and be of use to another.
func (ms *members) giveUp(ref slots.Ref, r decide.Result) {
	m := ms.conns.Get(ref)
	if m.phase != busy {
		r = decide.NotSent // it was never written: the member is not silent, and nothing ran
	}
	ms.finish(ref, r, false)
	if m.phase != busy {
		return
	}
	// At once, before a turn: what is sent elsewhere instead would be a second copy beside an open one.
	conn := m.conn
	ms.release(ref)
	_ = ms.g.loop.Close(conn)
}

func (ms *members) submissionTimedOut(ref slots.Ref) {
	switch m := ms.conns.Get(ref); {
	case m == nil || !m.working:
	case m.heardAt > 0 && ms.g.clock.now() < min(m.job.until, m.heardAt+mostStill):
		ms.awaitRest(ref, m)
	case m.heardAt > 0 && ms.g.clock.now() < m.job.until:
		ms.memberRefused(ref)
	default:
		ms.giveUp(ref, decide.TimedOut)
	}
}

// notConnected is the result of a job whose connection did not come up.
func (m *memberConn) notConnected() decide.Result {
	if m.phase == dialling && m.delayed {
		return decide.NotSent
	}
	return decide.Unreachable
}

// connectTimedOut ends a connection that did not come up. A dial is left to end by itself, as it holds its
// descriptors until then.
func (ms *members) connectTimedOut(ref slots.Ref) {
	m := ms.conns.Get(ref)
	if m == nil || m.phase > starting {
		return
	}
	if m.working {
		ms.finish(ref, m.notConnected(), false)
	}
	if m.phase == dialling {
		m.abandoned = true
		return
	}
	ms.release(ref)
}

func (ms *members) idleTooLong(ref slots.Ref) {
	if m := ms.conns.Get(ref); m != nil && m.phase == idle {
		ms.release(ref)
	}
}

// bar closes the idle connections to a member and has all others end with what they are doing.
func (ms *members) bar(server decide.Server) {
	ms.closeIdle(server)
	for _, ref := range ms.conns.Refs() {
		if m := ms.conns.Get(ref); m.server == server {
			m.barred = true
		}
	}
}

// closeIdle closes the idle connections to a member.
func (ms *members) closeIdle(server decide.Server) {
	for p := ms.pools[server]; p != nil && len(p.idle) > 0; {
		ms.release(p.idle[len(p.idle)-1])
	}
}

// toIdle puts a connection that is ready for a query back into the pool.
func (ms *members) toIdle(ref slots.Ref) {
	m := ms.conns.Get(ref)
	if m.barred || ms.g.discovery.leave[m.server] { // nothing more goes there: it is given back with its last answer
		ms.release(ref)
		return
	}
	m.phase, m.since = idle, ms.g.clock.now()
	p := ms.poolOf(m.server)
	p.idle = append(p.idle, ref)
	// Clearly before the member closes it: what is written to it from then on ends as a reset.
	m.patience = ms.g.deadlines.Add(int64(m.since+decide.Millis(0.8*ms.g.names.Limits.KeepaliveMs)),
		due{kind: dueIdle, ref: ref})
}

// finish ends a connection's job for the module, with what the member told of itself, if it did.
func (ms *members) finish(ref slots.Ref, r decide.Result, told bool) {
	m := ms.conns.Get(ref)
	m.working = false
	ms.g.deadlines.Remove(m.patience)
	m.patience = nil
	var a *answer
	if told {
		a = &m.answer
	}
	ms.noteEnd(m.job, m.server, r, a)
}

// noteEnd notes the end of a job for the module.
func (ms *members) noteEnd(j job, server decide.Server, r decide.Result, a *answer) {
	in := input{kind: inEnded, ref: j.txn, no: j.no, server: server, result: r, elapsed: ms.g.clock.now() - j.at,
		fence: j.fence, group: j.group}
	if j.probe {
		in.kind = inProbed
	}
	if a != nil {
		in.report = a.report
		in.role = a.role
		in.position, _ = ms.position(a.position)
	}
	ms.g.inputs = append(ms.g.inputs, in)
}

// position is a position on the gateway's clock, 0 where it was not told or lies ahead.
func (ms *members) position(unixMs float64) (at decide.Nanos, ok bool) {
	at = ms.g.clock.at(unixMs)
	if unixMs <= 0 || at > ms.g.clock.now()+mostEarly+decide.Nanos(ms.g.config.ClockError) {
		return 0, false
	}
	return at, true
}

// resultOf is what an error of a member means.
func resultOf(code string) decide.Result {
	switch code {
	case "25006", "72000":
		return decide.NotEligible
	case "53300":
		return decide.AtCapacity
	}
	return decide.Failed
}

// readMember reads what a member sent.
func (ms *members) readMember(ref slots.Ref) {
	for {
		m := ms.conns.Get(ref)
		if m == nil {
			return
		}
		// Until a message is whole its buffer is not looked at: to join what a ring holds in two parts costs a copy.
		here := m.conn.InboundBuffered()
		if here < m.needs {
			ms.part(ref, m, here)
			return
		}
		buf, err := m.conn.Peek(-1)
		if err != nil {
			return
		}
		a := &m.answer
		kind, body, size, err := pgwire.ReadMessage(buf[a.read:], mostAnswer)
		if err != nil || len(buf) > mostAnswer || !pgwire.MayBeResponse(buf[a.read:], mostAnswer) {
			ms.memberRefused(ref)
			return
		}
		m.needs = 0
		if size == 0 {
			if rest := buf[a.read:]; len(rest) >= pgwire.HeaderSize+pgwire.ColumnHeaderSize {
				m.needs = a.read + pgwire.MessageSize(rest)
			}
			ms.part(ref, m, here)
			return
		}
		from := a.read
		a.read += size
		ok := true
		// Messages come in the protocol's order: row description, row, completion, or at any point before that an
		// error; then the end. What a member tells of itself comes anywhere.
		answering := m.phase == busy && !a.complete && a.problem.Code == ""
		switch {
		case m.phase == idle && (kind == 'S' || kind == 'N'):
			_, _ = m.conn.Discard(size)
			a.read = 0
		case kind == 'S':
			ok = ms.parameter(a, body)
		case kind == 'N':
		case kind == 'Z':
			ok = bytes.Equal(body, []byte{'I'}) && ms.ready(ref, m, buf)
		case m.phase == starting && kind == 'R':
			ok = bytes.Equal(body, []byte{0, 0, 0, 0})
		case m.phase == starting && kind == 'K':
		case kind == 'E' && (answering || m.phase == starting):
			a.problem = pgwire.ReadErrorResponse(body)
			// Before its first query a member that is full has no connection to give.
			ok = m.phase == busy && a.problem.Code != ""
		case answering && kind == 'T' && a.columns == 0:
			a.columns = pgwire.CountColumns(body)
			a.take(from, size)
			ok = a.columns == 1
		case answering && kind == 'D' && a.columns == 1 && a.rows == 0:
			var value []byte
			value, ok = pgwire.ReadColumn(body)
			a.rows++
			a.value = len(value)
			a.valueFrom = from + size - len(value)
			a.take(from, size)
		case answering && kind == 'C' && a.rows == 1:
			_, ok = pgwire.ReadString(body)
			a.complete = true
			a.take(from, size)
		default:
			ok = false
		}
		if !ok {
			ms.memberRefused(ref)
			return
		}
	}
}

// part notes that an answer is not whole yet. All of them together are held to a part of the memory.
func (ms *members) part(ref slots.Ref, m *memberConn, here int) {
	ms.answering += here - m.held
	m.held = here
	if here == 0 || m.phase != busy || !m.working {
		return
	}
	if ms.answering > ms.g.config.Limits.MemoryMB<<20/memoryPart {
		ms.memberRefused(ref)
		return
	}
	first := m.heardAt == 0
	m.heardAt = ms.g.clock.now()
	ms.g.inputs = append(ms.g.inputs, input{kind: inHeard, server: m.server})
	if first {
		ms.awaitRest(ref, m)
	}
}

// awaitRest sets until when the next part of an answer has to come.
func (ms *members) awaitRest(ref slots.Ref, m *memberConn) {
	ms.g.deadlines.Remove(m.patience)
	m.patience = ms.g.deadlines.Add(int64(min(m.job.until, m.heardAt+mostStill)), due{kind: dueSubmission, ref: ref})
}

// memberRefused ends a connection that brought what it should not have.
func (ms *members) memberRefused(ref slots.Ref) {
	m := ms.conns.Get(ref)
	if m == nil {
		return
	}
	if m.working && m.phase == starting && m.answer.problem.Code == "53300" && m.job.probe {
		// It has no connection to give, yet it answered: that is what a probe asks.
		ms.finish(ref, decide.Committed, false)
	}
	m.broken = true
	ms.memberClosed(ref, true)
}

func (a *answer) take(from, size int) {
	if n := len(a.parts); n > 0 && a.parts[n-1][1] == from {
		a.parts[n-1][1] += size
		return
	}
	a.parts = append(a.parts, [2]int{from, from + size})
}

// parameter takes what a member tells of itself.
func (ms *members) parameter(a *answer, body []byte) bool {
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
		a.report = ms.reportOf(value)
	}
	return true
}

// reportOf gives a report's values in the order in which the settings name them. One that cannot be read, or
// lacks a value, tells nothing: a value that is not there is not zero.
func (ms *members) reportOf(text []byte) []float64 {
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
			at, ok := ms.position(x)
			if !ok {
				return nil
			}
			x = float64(at) / 1e9
		}
		report[i] = x
	}
	if slices.Contains(report, -1) {
		return nil
	}
	return report
}

// ready takes ReadyForQuery: a connection has come up, or an answer is whole.
func (ms *members) ready(ref slots.Ref, m *memberConn, buf []byte) bool {
	a := &m.answer
	switch m.phase {
	case starting:
		ms.g.deadlines.Remove(m.connect)
		m.connect = nil
		_, _ = m.conn.Discard(a.read)
		a.read = 0
		if m.conn.InboundBuffered() > 0 {
			return false
		}
		if m.working {
			ms.begin(ref)
		} else {
			m.answer = answer{}
			ms.toIdle(ref)
		}
		return true
	case busy:
	default:
		return false
	}
	r := decide.Committed
	switch {
	case a.problem.Code != "":
		r = resultOf(a.problem.Code)
	case a.columns != 1 || a.rows != 1 || !a.complete:
		return false
	}
	if m.job.probe {
		if a.problem.Code == "" && ms.g.names.LoadReport.How != "none" {
			a.report = ms.reportOf(buf[a.valueFrom : a.valueFrom+a.value])
		}
	} else if r == decide.Committed {
		parts := ms.g.parts[:0]
		for _, p := range a.parts {
			parts = append(parts, buf[p[0]:p[1]])
		}
		ms.g.parts = parts
		if t := ms.g.txns.Get(m.job.txn); ms.g.sessions != nil && t != nil && !t.answered && t.writes {
			if token := ms.g.recordSessionCommit(t, a.position); token != nil {
				parts = append(parts, token)
			}
		}
		parts = append(parts, pgwire.AppendReadyForQuery(nil))
		if ms.g.waitsForLedger(m.job.txn) {
			ms.g.answerLater(m.job.txn, parts...)
			ms.g.sessions.SaveChanges(m.job.txn)
		} else {
			ms.g.answer(m.job.txn, parts...)
		}
	}
	ms.finish(ref, r, true)
	ms.answering -= m.held
	m.held = 0
	_, _ = m.conn.Discard(a.read)
	*a = answer{parts: a.parts[:0]}
	if m.conn.InboundBuffered() > 0 {
		ms.release(ref) // nobody asked for more
		return true
	}
	ms.toIdle(ref)
	return true
}
