package gateway

import (
	"bufio"
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"magpieglade/decide"
	"magpieglade/internal/httpwire"
	"magpieglade/internal/pgwire"
	"magpieglade/internal/slots"
)

// These tests run a gateway in the test's process, so that its event loop can be blocked while data, closed connections and
// timers become pending: each test produces the order of events that causes the failure, on every run.

// testTimeout is how long an event may take before the test fails; no test passes by waiting for it.
const testTimeout = 20 * time.Second

// testConn is the test's side of a connection of the gateway: a member's, discovery's or a client's.
type testConn struct {
	*net.TCPConn
	r *bufio.Reader
}

func newTestConn(c net.Conn) *testConn {
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	return &testConn{c.(*net.TCPConn), bufio.NewReader(c)}
}

// scriptedServer is a listener whose connections the test serves step by step. They stay open until the test ends: the garbage
// collector would close one that the test no longer refers to, which the gateway would notice.
type scriptedServer struct {
	listener net.Listener
	accepted chan *testConn
	mu       sync.Mutex
	open     []net.Conn
}

func newScriptedServer(t *testing.T) *scriptedServer {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &scriptedServer{listener: l, accepted: make(chan *testConn, 1000)}
	t.Cleanup(s.close)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.open = append(s.open, c)
			s.mu.Unlock()
			s.accepted <- newTestConn(c)
		}
	}()
	return s
}

// close ends the listener and all connections.
func (s *scriptedServer) close() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.open {
		_ = c.Close()
	}
}

// accept waits for the next connection.
func (s *scriptedServer) accept(t *testing.T) *testConn {
	t.Helper()
	select {
	case e := <-s.accepted:
		return e
	case <-time.After(testTimeout):
		t.Fatal("no connection came")
		return nil
	}
}

func (s *scriptedServer) address() netip.AddrPort {
	return netip.MustParseAddrPort(s.listener.Addr().String())
}

func (s *scriptedServer) listEntry(name, health string) httpwire.Host {
	return httpwire.Host{Host: name, Dial: s.listener.Addr().String(), Site: "a", Class: "m", Health: health, Share: 1}
}

// readMessage reads a PostgreSQL message; kind 0 means that the connection ended.
func (e *testConn) readMessage() (kind byte, body []byte) {
	var head [5]byte
	if _, err := io.ReadFull(e.r, head[:]); err != nil {
		return 0, nil
	}
	body = make([]byte, binary.BigEndian.Uint32(head[1:])-4)
	if _, err := io.ReadFull(e.r, body); err != nil {
		return 0, nil
	}
	return head[0], body
}

// readResponse reads a whole response and returns its error code or which member served it.
func (e *testConn) readResponse() (summary string) {
	for {
		kind, body := e.readMessage()
		switch kind {
		case 0:
			return summary + "the connection ended"
		case 'E':
			_, code, _ := strings.Cut(string(body), "\x00C")
			summary += code[:5]
		case 'D':
			summary += "served by " + string(body[6:])
		case 'Z':
			return summary
		}
	}
}

// readStartup reads the gateway's startup message, which has no type byte.
func (e *testConn) readStartup() {
	var size [4]byte
	_, _ = io.ReadFull(e.r, size[:])
	_, _ = e.r.Discard(int(binary.BigEndian.Uint32(size[:])) - 4)
}

// sendReady completes the startup: authentication succeeded, ready for queries.
func (e *testConn) sendReady() {
	_, _ = e.Write([]byte("R\x00\x00\x00\x08\x00\x00\x00\x00Z\x00\x00\x00\x05I"))
}

// readQuery reads the next query; it returns false when the connection ended.
func (e *testConn) readQuery() (string, bool) {
	kind, body := e.readMessage()
	if kind != 'Q' {
		return "", false
	}
	return string(body[:len(body)-1]), true
}

// sendRow responds to a query as a member of the given name and mode whose position is the present time.
func (e *testConn) sendRow(name, mode string) { e.sendRowAt(name, mode, time.Now().UnixMilli()) }

// sendRowAt responds as sendRow does, with the given position.
func (e *testConn) sendRowAt(name, mode string, position int64) {
	msg := func(kind byte, body string) string {
		return string(binary.BigEndian.AppendUint32([]byte{kind}, uint32(len(body)+4))) + body
	}
	_, _ = io.WriteString(e, msg('T', "\x00\x01data\x00"+strings.Repeat("\x00", 18))+
		msg('D', "\x00\x01\x00\x00\x00"+string(rune(len(name)))+name)+msg('C', "SELECT 1\x00")+
		msg('S', "mode\x00"+mode+"\x00")+msg('S', fmt.Sprintf("wal_time\x00%d\x00", position))+msg('Z', "I"))
}

// serve responds to every query on all connections from now on, and returns a counter of the txns received.
func (s *scriptedServer) serve(name, mode string) *atomic.Int64 {
	count := new(atomic.Int64)
	go func() {
		for e := range s.accepted {
			go func() {
				e.readStartup()
				e.sendReady()
				for text, ok := e.readQuery(); ok; text, ok = e.readQuery() {
					if strings.HasPrefix(text, "/*") {
						count.Add(1)
					}
					e.sendRow(name, mode)
				}
			}()
		}
	}()
	return count
}

// sendList responds to one call to discovery.
func (e *testConn) sendList(seq int, hosts ...httpwire.Host) {
	body, _ := json.Marshal(httpwire.List{Seq: int64(seq), Whole: true, Hosts: hosts})
	_, _ = fmt.Fprintf(e, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// readCall reads a call to discovery and returns its wait_ms parameter.
func (e *testConn) readCall(t *testing.T) (wait string) {
	t.Helper()
	r, err := http.ReadRequest(e.r)
	if err != nil {
		t.Fatal("no call to discovery: ", err)
	}
	return r.URL.Query().Get("wait_ms")
}

const testSettings = `{"classes":[
 {"effect":"repeatable","promiseMs":3000,"hardLimitMs":10000,"worth":1,"name":"any"},
 {"effect":"once","promiseMs":3000,"hardLimitMs":10000,"worth":4,"name":"once"}],
 "familyInfo":{"consistency":["eventual","mutate"],"oldestDataMs":[0,0],"whenBehind":"await",
  "writeMarks":"brought","roleInList":"none","countedFromMs":0,"waitMs":20,"answersStamped":true},
 "fleetSize":2,"limits":{"cancelling":true,"maxAttempts":8,"mayDuplicate":false,"probes":false,"retryAfter":true,
  "connectTimeoutMs":10000,"keepaliveMs":60000,"maxRetryAfterMs":1000},
 "loadReport":{"how":"none","fields":[]},"locality":0,"membershipMode":"ask","parties":[],
 "rules":{"askWithinMs":10000,"coldFrom":0.2,"coldMs":10000,"drainGraceMs":250,"fallMultiple":2,"overloadForMs":1000},
 "machineTypes":["m"],"zones":["a"],"tickMs":5}`

// startTestGateway starts a gateway that knows these members and takes its list from a discovery that the test scripts.
func startTestGateway(t *testing.T, discovery *scriptedServer, known ...httpwire.Host) (g *Gateway, ended chan error, stop func()) {
	return startTestGatewayWithLog(t, nil, discovery, known...)
}

// startTestGatewayWithLog starts a test gateway that logs to the given logger.
func startTestGatewayWithLog(t *testing.T, log *slog.Logger, discovery *scriptedServer, known ...httpwire.Host) (g *Gateway, ended chan error, stop func()) {
	return startTestGatewayWith(t, func(c *Config) { c.Log = log }, discovery, known...)
}

// startTestGatewayWith starts a test gateway whose configuration is adjusted by change.
func startTestGatewayWith(t *testing.T, change func(*Config), discovery *scriptedServer, known ...httpwire.Host) (g *Gateway, ended chan error, stop func()) {
	l, err := net.Listen("tcp4", "127.0.0.3:0")
	if err != nil {
		t.Fatal(err)
	}
	c := Config{Name: "n", Listen: l.Addr().(*net.TCPAddr).AddrPort(), Seed: "1", Settings: json.RawMessage(testSettings),
		Discovery: discovery.address(), KnownHosts: &httpwire.List{Seq: 1, Whole: true, Hosts: known}}
	c.Limits.MemoryMB, c.Limits.Sockets = 128, 256
	change(&c)
	_ = l.Close() // nothing else in these tests uses this address
	if g, err = New(c); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended = make(chan error, 1)
	go func() { ended <- g.Run(ctx) }()
	<-g.started
	return g, ended, cancel
}

// runOnLoop runs f on the event loop, which does nothing else meanwhile, and waits until it returns.
func (g *Gateway) runOnLoop(f func()) {
	done := make(chan bool)
	g.post(func() { f(); close(done) })
	<-done
}

// expireCall makes a call time out now, as if its wait had passed.
func (g *Gateway) expireCall(kind callKind) {
	g.runOnLoop(func() {
		c := &g.discovery.calls[kind]
		g.deadlines.Remove(c.timeout)
		c.timeout = g.deadlines.Add(int64(g.clock.now()), timerEvent{kind: timerCall, call: c})
		g.onTimer()
	})
}

// awaitUnread waits until a socket has data or an end of stream that the loop has not read.
func awaitUnread(t *testing.T, fd int) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !hasUnread(fd); {
		if time.Now().After(end) {
			t.Fatal("the socket received nothing")
		}
	}
}

// dialGateway opens a connection to a gateway.
func dialGateway(t *testing.T, g *Gateway) net.Conn {
	c, err := net.Dial("tcp4", g.config.Listen.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// connectClient opens a client connection and completes the startup.
func connectClient(t *testing.T, g *Gateway) *testConn {
	e := newTestConn(dialGateway(t, g))
	_, _ = e.Write(pgwire.AppendStartup(nil, "portal", "crm"))
	e.readResponse()
	return e
}

var lastTestID atomic.Uint64

// sendTxn sends a SELECT as a txn of the given class and timeout.
func (e *testConn) sendTxn(class string, ms int) {
	text := fmt.Sprintf("/* id=%016x,c=%s,d=%d,cluster=0 */ SELECT data FROM facts WHERE code = '7f3a'", lastTestID.Add(1), class, ms)
	_, _ = e.Write(pgwire.AppendQuery(nil, text))
}

// A response that discovery has written counts as delivered: if it has arrived but is unread because the loop was busy when
// its call times out, it is read and not discarded with the call.
func TestResponseArrivingWithTimeout(t *testing.T) {
	t.Parallel()
	d, m := newScriptedServer(t), newScriptedServer(t)
	g, ended, stop := startTestGateway(t, d, m.listEntry("m", "active"))
	call := d.accept(t)
	call.readCall(t)
	g.runOnLoop(func() {
		c := &g.discovery.calls[callWatch]
		call.sendList(5, m.listEntry("m", "active"))
		awaitUnread(t, c.conn.Fd())
		g.deadlines.Remove(c.timeout) // it times out now
		c.timeout = g.deadlines.Add(int64(g.clock.now()), timerEvent{kind: timerCall, call: c})
		g.onTimer()
	})
	if wait := call.readCall(t); wait == "" || wait == "0" { // on the same connection: the watch continues
		t.Errorf("the next call waits %q", wait)
	}
	g.runOnLoop(func() {
		if g.discovery.list.seq != 5 {
			t.Errorf("the list in force is %d", g.discovery.list.seq)
		}
	})
	stop()
	<-ended
}

// A response that arrives after its call timed out counts as delivered too: it is read while the next call is made. A
// discovery with many callers responds about when they time out, so drains that it had sent were lost.
func TestResponseAfterCallTimeout(t *testing.T) {
	t.Parallel()
	d, m := newScriptedServer(t), newScriptedServer(t)
	g, ended, stop := startTestGateway(t, d, m.listEntry("m", "active"))
	first := d.accept(t)
	first.readCall(t)
	expireWatch := func() { g.expireCall(callWatch) }
	currentSeq := func() (seq int64) {
		g.runOnLoop(func() { seq = g.discovery.list.seq })
		return seq
	}
	expireWatch()
	first.sendList(5, m.listEntry("m", "active"))
	if wait := first.readCall(t); wait == "" || wait == "0" || currentSeq() != 5 { // no other call was in flight: the connection continues as the watch
		t.Errorf("the next call waits %q, the list in force is %d", wait, currentSeq())
	}
	expireWatch()
	second := d.accept(t)
	second.readCall(t) // in flight
	first.sendList(6, m.listEntry("m", "active"))
	if _, err := first.r.ReadByte(); err == nil || currentSeq() != 6 { // the connection ended
		t.Errorf("the list in force is %d", currentSeq())
	}
	second.sendList(5, m.listEntry("m", "active"))
	second.readCall(t)
	expireWatch()
	third := d.accept(t)
	third.readCall(t)
	third.sendList(7, m.listEntry("m", "active"))
	third.readCall(t)
	second.sendList(6, m.listEntry("m", "active"))
	if _, err := second.r.ReadByte(); err == nil || currentSeq() != 7 { // older than the list in force
		t.Errorf("the list in force is %d", currentSeq())
	}
	stop()
	<-ended
}

// A list without a Content-Length is complete when its connection is closed normally, but not when it is reset.
func TestListWithoutContentLength(t *testing.T) {
	t.Parallel()
	d, m := newScriptedServer(t), newScriptedServer(t)
	g, ended, stop := startTestGateway(t, d, m.listEntry("m", "active"))
	body, _ := json.Marshal(httpwire.List{Seq: 7, Whole: true, Hosts: []httpwire.Host{m.listEntry("m", "active")}})
	for _, reset := range []bool{true, false} {
		call := d.accept(t)
		call.readCall(t)
		g.runOnLoop(func() {
			if g.discovery.list.seq != 1 {
				t.Error("a partial response was taken for a list")
			}
		})
		_, _ = fmt.Fprintf(call, "HTTP/1.1 200 OK\r\n\r\n%s", body)
		for buffered := 0; buffered < len(body); { // the body is read before the connection ends
			g.runOnLoop(func() { buffered = g.discovery.calls[callWatch].conn.InboundBuffered() })
		}
		if reset {
			_ = call.SetLinger(0)
		}
		_ = call.Close()
	}
	if wait := d.accept(t).readCall(t); wait == "" || wait == "0" {
		t.Errorf("after a complete list the next call waits %q", wait)
	}
	g.runOnLoop(func() {
		if g.discovery.list.seq != 7 {
			t.Errorf("the list in force is %d", g.discovery.list.seq)
		}
	})
	stop()
	<-ended
}

// When a member is listed as draining while a connection to it is being set up, nothing is sent on that connection and
// the txn goes to another member.
func TestDrainWhileConnecting(t *testing.T) {
	t.Parallel()
	d, a, b := newScriptedServer(t), newScriptedServer(t), newScriptedServer(t)
	g, ended, stop := startTestGateway(t, d, a.listEntry("a", "active"))
	call := d.accept(t)
	call.readCall(t)
	call.sendList(5, a.listEntry("a", "active"))
	call.readCall(t)
	c := connectClient(t, g)
	c.sendTxn("any", 9000)
	conn := a.accept(t)
	conn.readStartup()
	servedByB := b.serve("b", "read-only")
	call.sendList(6, a.listEntry("a", "leaving"), b.listEntry("b", "active"))
	call.readCall(t) // so the gateway has read the list
	conn.sendReady()
	if text, sent := conn.readQuery(); sent {
		t.Errorf("sent to a draining member: %s", text)
	}
	if got := c.readResponse(); got != "served by b" || servedByB.Load() != 1 {
		t.Error(got)
	}
	stop()
	<-ended
}

// The connection of an abandoned submission is closed before the next submission begins; otherwise two copies of the txn
// could run at once.
func TestAbandonedSubmissionClosedBeforeRetry(t *testing.T) {
	t.Parallel()
	d, a := newScriptedServer(t), newScriptedServer(t)
	g, ended, stop := startTestGateway(t, d, a.listEntry("a", "active"))
	c := connectClient(t, g)
	c.sendTxn("any", 9000)
	conn := a.accept(t)
	conn.readStartup()
	conn.sendReady()
	conn.readQuery()
	g.runOnLoop(func() {
		for _, ref := range g.members.conns.Refs() {
			if g.members.conns.Get(ref).phase == busy {
				g.members.cancelJob(ref, decide.Cancelled)
			}
		}
		if _, sent := conn.readQuery(); sent { // the connection ended, while the loop does nothing else
			t.Error("a query was sent on the closed connection")
		}
	})
	retryConn := a.accept(t)
	retryConn.readStartup()
	retryConn.sendReady()
	retryConn.readQuery()
	retryConn.sendRow("a", "read-only")
	if got := c.readResponse(); got != "served by a" {
		t.Error(got)
	}
	stop()
	<-ended
}

// A retry may be sent only until the group's dedup window for the first attempt ends: it is not sent later, when its
// connection is established only after that time.
func TestRetryNotSentAfterDedupWindow(t *testing.T) {
	t.Parallel()
	d, a := newScriptedServer(t), newScriptedServer(t)
	g, ended, stop := startTestGateway(t, d, a.listEntry("a", "active"))
	c := connectClient(t, g)
	c.sendTxn("any", 9000)
	conn := a.accept(t)
	conn.readStartup()
	g.runOnLoop(func() {
		for _, ref := range g.members.conns.Refs() {
			g.members.conns.Get(ref).job.sendBefore = g.clock.now()
		}
	})
	queries := make(chan *testConn, 1000)
	var reading sync.WaitGroup
	readQueries := func(e *testConn) {
		for _, sent := e.readQuery(); sent; _, sent = e.readQuery() {
			queries <- e
		}
	}
	reading.Go(func() { readQueries(conn) })
	go func() {
		for e := range a.accepted {
			e.readStartup()
			e.sendReady()
			reading.Go(func() { readQueries(e) })
		}
	}()
	conn.sendReady()
	var retryConn *testConn // a new connection, or the same one if it has been idle for minIdleBeforeReuse by then
	select {
	case retryConn = <-queries: // package decide retries it
	case <-time.After(testTimeout):
		t.Fatal("no query was sent")
	}
	g.runOnLoop(func() {
		if unsent := g.outcomes.attempts[decide.NotSent]; unsent != 1 {
			t.Errorf("%d submissions ended unsent before the query, 1 expected: sent too late", unsent)
		}
	})
	retryConn.sendRow("a", "read-only")
	if got := c.readResponse(); got != "served by a" {
		t.Error(got)
	}
	stop()
	<-ended
	reading.Wait()
	if len(queries) > 0 {
		t.Error("the query was sent twice")
	}
}

// Connections to members leave the descriptors reserved for calls to discovery free, however few remain.
func TestDescriptorsReservedForDiscovery(t *testing.T) {
	t.Parallel()
	d, a := newScriptedServer(t), newScriptedServer(t)
	g, ended, stop := startTestGateway(t, d, a.listEntry("a", "active"))
	call := d.accept(t)
	call.readCall(t)
	g.runOnLoop(func() {
		free := g.budget.free
		g.budget.free = 5
		if g.dial(a.listener.Addr().String(), decide.Millisecond, &owner{kind: ownerMember}) {
			t.Error("a member connection took a descriptor reserved for discovery")
		}
		g.discovery.restartCall(t)
		g.budget.free += free - 5
	})
	if wait := d.accept(t).readCall(t); wait != "" && wait != "0" {
		t.Error(wait)
	}
	stop()
	<-ended
}

// restartCall hangs up the watch in flight and makes another call.
func (ds *discoveryClient) restartCall(t *testing.T) {
	c := &ds.calls[callWatch]
	ds.closeCall(c)
	ds.startCall(callWatch)
	if !c.dialing {
		t.Error("no descriptor left for discovery")
	}
}

// Two responses are read in one round of the loop: the late response of a call that timed out, which discovery wrote last,
// and the response of the call made since, which discovery wrote before it. The late response has the newer list, so the
// drain that it reports must not be forgotten.
func TestLateResponseNewerThanNext(t *testing.T) {
	t.Parallel()
	d, m := newScriptedServer(t), newScriptedServer(t)
	g, ended, stop := startTestGateway(t, d, m.listEntry("m", "active"))
	first := d.accept(t)
	first.readCall(t)
	watch := &g.discovery.calls[callWatch]
	g.expireCall(callWatch)
	second := d.accept(t)
	second.readCall(t)
	g.runOnLoop(func() {
		first.sendList(6, m.listEntry("m", "leaving"))
		awaitUnread(t, watch.lateConn.Fd()) // what arrives first is read first
		second.sendList(5, m.listEntry("m", "active"))
		awaitUnread(t, watch.conn.Fd())
	})
	second.readCall(t) // both responses are read
	g.runOnLoop(func() {
		if seq, drains := g.discovery.list.seq, len(g.discovery.draining); seq != 6 || drains != 1 {
			t.Errorf("the list in force is %d, %d members drain", seq, drains)
		}
	})
	second.sendList(2, m.listEntry("m", "active")) // lower than requested: the service restarted its numbering
	second.readCall(t)
	g.runOnLoop(func() {
		if seq, drains := g.discovery.list.seq, len(g.discovery.draining); seq != 2 || drains != 0 {
			t.Errorf("after the service restarted its numbering the list in force is %d, %d members drain", seq, drains)
		}
	})
	stop()
	<-ended
}

// If part of a query is still in the outbound buffer when its connection ends, the query counts as not sent, and the rest
// is never written, even if there is room by then and a member that closed its sending side still reads. A completed query
// would run a second time after the retry.
func TestPartlyWrittenQueryNotCompleted(t *testing.T) {
	t.Parallel()
	for _, closedBy := range []string{"the member", "the gateway"} {
		d, a, b := newScriptedServer(t), newScriptedServer(t), newScriptedServer(t)
		g, ended, stop := startTestGateway(t, d, a.listEntry("a", "active"))
		call := d.accept(t)
		call.readCall(t)
		c := connectClient(t, g)
		text := fmt.Sprintf("/* id=%016x,c=once,d=9000,cluster=0 */ INSERT INTO facts (code, data) VALUES ('7f3a', '\\x%s') RETURNING data",
			lastTestID.Add(1), strings.Repeat("9f", 64<<10))
		_, _ = c.Write(pgwire.AppendQuery(nil, text))
		conn := a.accept(t)
		conn.readStartup()
		var ref slots.Ref
		var m *memberConn
		g.runOnLoop(func() { // the kernel accepts only part of the query
			ref = g.members.conns.Refs()[0]
			m = g.members.conns.Get(ref)
			_ = unix.SetsockoptInt(m.conn.Fd(), unix.SOL_SOCKET, unix.SO_SNDBUF, 32<<10)
		})
		conn.sendReady()
		for buffered := 0; buffered == 0; {
			g.runOnLoop(func() { buffered = m.conn.OutboundBuffered() })
		}
		call.sendList(5, a.listEntry("a", "active"), b.listEntry("b", "active"))
		call.readCall(t)
		complete := make(chan bool)
		g.runOnLoop(func() {
			remaining := m.conn.OutboundBuffered()
			if _, err := io.CopyN(io.Discard, conn.r, int64(len(text)+6-remaining)); err != nil { // everything written so far
				t.Error(err)
			}
			_ = unix.SetsockoptInt(m.conn.Fd(), unix.SOL_SOCKET, unix.SO_SNDBUF, 256<<10) // now there is room for the rest
			go func() {
				_, err := io.CopyN(io.Discard, conn.r, int64(remaining))
				complete <- err == nil
			}()
			if closedBy == "the member" {
				_ = conn.CloseWrite()
				awaitUnread(t, m.conn.Fd())
				m.conn.Close() // as the loop does when it reads the end of stream
			} else {
				g.members.cancelJob(ref, decide.Cancelled)
			}
		})
		if <-complete {
			t.Errorf("%s ended the connection, but the whole query arrived", closedBy)
		}
		if closedBy == "the member" { // it may go to another member
			retryConn := b.accept(t)
			retryConn.readStartup()
			retryConn.sendReady()
			if _, sent := retryConn.readQuery(); !sent {
				t.Error("the query was not retried")
			}
			retryConn.sendRow("b", "read-write")
		}
		got := c.readResponse()
		if want := map[string]string{"the member": "served by b", "the gateway": "40000"}[closedBy]; got != want {
			t.Errorf("%s ended the connection: %s", closedBy, got)
		}
		stop()
		<-ended
	}
}

// A read may carry a position ahead of this machine's clock, since a commit's position is rounded up. A member that has not
// reached the position gets no such read, even if it has reached the present. The position here is seconds ahead, so that
// no delay in the test closes the gap.
func TestPositionAheadOfTheClock(t *testing.T) {
	t.Parallel()
	d, a := newScriptedServer(t), newScriptedServer(t)
	g, ended, stop := startTestGatewayWith(t, func(c *Config) {
		text := strings.Replace(testSettings, `"eventual"`, `"causal"`, 1)
		c.Settings = json.RawMessage(strings.Replace(text, `"whenBehind":"await"`, `"whenBehind":"none"`, 1))
		c.ClockError = time.Minute
	}, d, a.listEntry("a", "active"))
	d.accept(t).readCall(t)
	c := connectClient(t, g)
	positionAhead := func(by time.Duration) int64 { return time.Now().Add(by).UnixMilli() }
	sendReadAfter := func(after int64) {
		text := fmt.Sprintf("/* id=%016x,c=any,d=2000,cluster=0,after=%d */ SELECT data FROM facts WHERE code = '7f3a'", lastTestID.Add(1), after)
		_, _ = c.Write(pgwire.AppendQuery(nil, text))
	}
	c.sendTxn("any", 9000)
	conn := a.acceptConnection(t)
	conn.readQuery()
	reached := positionAhead(20 * time.Second)
	conn.sendRowAt("a", "read-only", reached)
	c.readResponse()
	g.awaitReusable()
	sendReadAfter(reached)
	conn.readQuery()
	conn.sendRowAt("a", "read-only", reached)
	if got := c.readResponse(); got != "served by a" { // it has reached the position
		t.Error(got)
	}
	g.awaitReusable()
	sendReadAfter(reached + 10_000)
	sent := make(chan string, 1)
	go func() {
		if text, ok := conn.readQuery(); ok {
			sent <- text
			conn.sendRowAt("a", "read-only", reached)
		}
	}()
	if got := c.readResponse(); got != "53300" || len(sent)+len(a.accepted) > 0 {
		t.Errorf("%s: the read was sent to a member that has not reached its position", got)
	}
	stop()
	<-ended
}
