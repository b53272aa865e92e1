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
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"magpieglade/decide"
	"magpieglade/internal/httpwire"
	"magpieglade/internal/pgwire"
	"magpieglade/internal/slots"
)

// The tests here run a gateway within the test, so that its loop can be held while bytes, ends and timers come to it: what harms
// comes in the order that harms, each time.

// soonHeld is how long an event may take before a test is given up; none passes by waiting for it.
const soonHeld = 20 * time.Second

// end is the other side of a connection of the gateway's, or a client's own.
type end struct {
	*net.TCPConn
	r *bufio.Reader
}

func newEnd(c net.Conn) *end {
	_ = c.SetDeadline(time.Now().Add(soonHeld))
	return &end{c.(*net.TCPConn), bufio.NewReader(c)}
}

// script is a listener whose connections the test plays.
type script struct {
	l    net.Listener
	come chan *end
}

func newScript(t *testing.T) *script {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &script{l, make(chan *end, 1000)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.come <- newEnd(c)
		}
	}()
	return s
}

func (s *script) next(t *testing.T) *end {
	t.Helper()
	select {
	case e := <-s.come:
		return e
	case <-time.After(soonHeld):
		t.Fatal("no connection came")
		return nil
	}
}

func (s *script) at() netip.AddrPort { return netip.MustParseAddrPort(s.l.Addr().String()) }

func (s *script) host(name, health string) httpwire.Host {
	return httpwire.Host{Host: name, Dial: s.l.Addr().String(), Site: "a", Class: "m", Health: health, Share: 1}
}

// message reads one of PostgreSQL's messages; kind 0 is the end of the connection.
func (e *end) message() (kind byte, body []byte) {
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

// answer reads up to the end of an answer and words it.
func (e *end) answer() (seen string) {
	for {
		kind, body := e.message()
		switch kind {
		case 0:
			return seen + "the connection ended"
		case 'E':
			_, code, _ := strings.Cut(string(body), "\x00C")
			seen += code[:5]
		case 'D':
			seen += "served by " + string(body[6:])
		case 'Z':
			return seen
		}
	}
}

// startup takes a gateway's startup message, which has no kind.
func (e *end) startup() {
	var size [4]byte
	_, _ = io.ReadFull(e.r, size[:])
	_, _ = e.r.Discard(int(binary.BigEndian.Uint32(size[:])) - 4)
}

func (e *end) ready() { _, _ = e.Write([]byte("R\x00\x00\x00\x08\x00\x00\x00\x00Z\x00\x00\x00\x05I")) }

// query reads the next query; false is the end of the connection.
func (e *end) query() (string, bool) {
	kind, body := e.message()
	if kind != 'Q' {
		return "", false
	}
	return string(body[:len(body)-1]), true
}

// row answers a query as a member of this name and mode, which has reached the present.
func (e *end) row(name, mode string) { e.rowAt(name, mode, time.Now().UnixMilli()) }

func (e *end) rowAt(name, mode string, position int64) {
	msg := func(kind byte, body string) string {
		return string(binary.BigEndian.AppendUint32([]byte{kind}, uint32(len(body)+4))) + body
	}
	_, _ = io.WriteString(e, msg('T', "\x00\x01data\x00"+strings.Repeat("\x00", 18))+
		msg('D', "\x00\x01\x00\x00\x00"+string(rune(len(name)))+name)+msg('C', "SELECT 1\x00")+
		msg('S', "mode\x00"+mode+"\x00")+msg('S', fmt.Sprintf("wal_time\x00%d\x00", position))+msg('Z', "I"))
}

// serve answers all that comes on all connections from now on, and tells how many txns did.
func (s *script) serve(name, mode string) *atomic.Int64 {
	n := new(atomic.Int64)
	go func() {
		for e := range s.come {
			go func() {
				e.startup()
				e.ready()
				for text, ok := e.query(); ok; text, ok = e.query() {
					if strings.HasPrefix(text, "/*") {
						n.Add(1)
					}
					e.row(name, mode)
				}
			}()
		}
	}()
	return n
}

// list answers one call to discovery.
func (e *end) list(seq int, hosts ...httpwire.Host) {
	body, _ := json.Marshal(httpwire.List{Seq: int64(seq), Whole: true, Hosts: hosts})
	_, _ = fmt.Fprintf(e, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// call reads a call to discovery and gives how long it may wait.
func (e *end) call(t *testing.T) (wait string) {
	t.Helper()
	r, err := http.ReadRequest(e.r)
	if err != nil {
		t.Fatal("no call: ", err)
	}
	return r.URL.Query().Get("wait_ms")
}

const heldSettings = `{"classes":[
 {"effect":"repeatable","promiseMs":3000,"hardLimitMs":10000,"worth":1,"name":"any"},
 {"effect":"once","promiseMs":3000,"hardLimitMs":10000,"worth":4,"name":"once"}],
 "familyInfo":{"consistency":["eventual","mutate"],"oldestDataMs":[0,0],"whenBehind":"await",
  "writeMarks":"brought","roleInList":"none","countedFromMs":0,"waitMs":20,"answersStamped":true},
 "fleetSize":2,"limits":{"cancelling":true,"maxAttempts":8,"mayDuplicate":false,"probes":false,"retryAfter":true,
  "connectTimeoutMs":10000,"keepaliveMs":60000,"maxRetryAfterMs":1000},
 "loadReport":{"how":"none","fields":[]},"locality":0,"membershipMode":"ask","parties":[],
 "rules":{"askWithinMs":10000,"coldFrom":0.2,"coldMs":10000,"drainGraceMs":250,"fallMultiple":2,"overloadForMs":1000},
 "machineTypes":["m"],"zones":["a"],"tickMs":5}`

// heldGateway starts a gateway that knows these members and has its list from a discovery that the test plays.
func heldGateway(t *testing.T, discovery *script, known ...httpwire.Host) (g *Gateway, ended chan error, stop func()) {
	return heldGatewayThatLogs(t, nil, discovery, known...)
}

// heldGatewayThatLogs is one whose log the test reads.
func heldGatewayThatLogs(t *testing.T, log *slog.Logger, discovery *script, known ...httpwire.Host) (g *Gateway, ended chan error, stop func()) {
	return heldGatewayWith(t, func(c *Config) { c.Log = log }, discovery, known...)
}

// heldGatewayWith is one whose configuration the test changes.
func heldGatewayWith(t *testing.T, change func(*Config), discovery *script, known ...httpwire.Host) (g *Gateway, ended chan error, stop func()) {
	l, err := net.Listen("tcp4", "127.0.0.3:0")
	if err != nil {
		t.Fatal(err)
	}
	c := Config{Name: "n", Listen: l.Addr().(*net.TCPAddr).AddrPort(), Seed: "1", Settings: json.RawMessage(heldSettings),
		Discovery: discovery.at(), KnownHosts: &httpwire.List{Seq: 1, Whole: true, Hosts: known}}
	c.Limits.MemoryMB, c.Limits.Sockets = 128, 256
	change(&c)
	_ = l.Close() // nothing else here uses this address
	if g, err = New(c); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended = make(chan error, 1)
	go func() { ended <- g.Run(ctx) }()
	<-g.started
	return g, ended, cancel
}

// hold runs something while the loop does nothing else, and waits until that is done.
func (g *Gateway) hold(f func()) {
	done := make(chan bool)
	g.post(func() { f(); close(done) })
	<-done
}

// timesOut brings a call's time to an end, as if the span of its watch had passed.
func (g *Gateway) timesOut(kind callKind) {
	g.hold(func() {
		c := &g.discovery.calls[kind]
		g.deadlines.Remove(c.due)
		c.due = g.deadlines.Add(int64(g.clock.now()), due{kind: dueCall, call: c})
		g.onTimer()
	})
}

// awaitUnread waits until something has come to a socket that the loop has not read.
func awaitUnread(t *testing.T, fd int) {
	t.Helper()
	for end := time.Now().Add(soonHeld); !hasUnread(fd); {
		if time.Now().After(end) {
			t.Fatal("nothing came")
		}
	}
}

// dialled is a connection to a gateway.
func dialled(t *testing.T, g *Gateway) net.Conn {
	c, err := net.Dial("tcp4", g.config.Listen.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// heldClient connects as clients do.
func heldClient(t *testing.T, g *Gateway) *end {
	e := newEnd(dialled(t, g))
	_, _ = e.Write(pgwire.AppendStartup(nil, "portal", "crm"))
	e.answer()
	return e
}

var heldIDs atomic.Uint64

func (e *end) ask(class string, ms int) {
	text := fmt.Sprintf("/* id=%016x,c=%s,d=%d,cluster=0 */ SELECT data FROM facts WHERE code = '7f3a'", heldIDs.Add(1), class, ms)
	_, _ = e.Write(pgwire.AppendQuery(nil, text))
}

// What discovery wrote counts as told: an answer that has come when its call's time is up, unread as the loop was busy, is
// read and not thrown away with the call.
func TestAnswerThatComesWithTheTimer(t *testing.T) {
	t.Parallel()
	d, m := newScript(t), newScript(t)
	g, ended, stop := heldGateway(t, d, m.host("m", "active"))
	call := d.next(t)
	call.call(t)
	g.hold(func() {
		c := &g.discovery.calls[callWatch]
		call.list(5, m.host("m", "active"))
		awaitUnread(t, c.conn.Fd())
		g.deadlines.Remove(c.due) // its time is up now
		c.due = g.deadlines.Add(int64(g.clock.now()), due{kind: dueCall, call: c})
		g.onTimer()
	})
	if wait := call.call(t); wait == "" || wait == "0" { // on the same connection, as a watch that goes on
		t.Errorf("the next call waits %q", wait)
	}
	g.hold(func() {
		if g.discovery.list.seq != 5 {
			t.Errorf("the list in force is %d", g.discovery.list.seq)
		}
	})
	stop()
	<-ended
}

// An answer that comes after its call was given up counts as told all the same: it is read while the next call is made.
// Discovery that has many callers answers when its callers give up, and so drains were told and not known.
func TestAnswerAfterItsCallWasGivenUp(t *testing.T) {
	t.Parallel()
	d, m := newScript(t), newScript(t)
	g, ended, stop := heldGateway(t, d, m.host("m", "active"))
	first := d.next(t)
	first.call(t)
	giveUp := func() { g.timesOut(callWatch) }
	inForce := func() (seq int64) {
		g.hold(func() { seq = g.discovery.list.seq })
		return seq
	}
	giveUp()
	first.list(5, m.host("m", "active"))
	if wait := first.call(t); wait == "" || wait == "0" || inForce() != 5 { // no other was under way: it goes on as the watch
		t.Errorf("the next call waits %q, the list in force is %d", wait, inForce())
	}
	giveUp()
	second := d.next(t)
	second.call(t) // under way
	first.list(6, m.host("m", "active"))
	if _, err := first.r.ReadByte(); err == nil || inForce() != 6 { // its end
		t.Errorf("the list in force is %d", inForce())
	}
	second.list(5, m.host("m", "active"))
	second.call(t)
	giveUp()
	third := d.next(t)
	third.call(t)
	third.list(7, m.host("m", "active"))
	third.call(t)
	second.list(6, m.host("m", "active"))
	if _, err := second.r.ReadByte(); err == nil || inForce() != 7 { // older than what is held
		t.Errorf("the list in force is %d", inForce())
	}
	stop()
	<-ended
}

// A list without a length is whole when its connection ends in order; a reset is no end.
func TestListWithoutLength(t *testing.T) {
	t.Parallel()
	d, m := newScript(t), newScript(t)
	g, ended, stop := heldGateway(t, d, m.host("m", "active"))
	body, _ := json.Marshal(httpwire.List{Seq: 7, Whole: true, Hosts: []httpwire.Host{m.host("m", "active")}})
	for _, reset := range []bool{true, false} {
		call := d.next(t)
		call.call(t)
		g.hold(func() {
			if g.discovery.list.seq != 1 {
				t.Error("half an answer was taken for a list")
			}
		})
		_, _ = fmt.Fprintf(call, "HTTP/1.1 200 OK\r\n\r\n%s", body)
		for here := 0; here < len(body); { // it is read; what ends the connection comes after it
			g.hold(func() { here = g.discovery.calls[callWatch].conn.InboundBuffered() })
		}
		if reset {
			_ = call.SetLinger(0)
		}
		_ = call.Close()
	}
	if wait := d.next(t).call(t); wait == "" || wait == "0" {
		t.Errorf("after a whole list the next call waits %q", wait)
	}
	g.hold(func() {
		if g.discovery.list.seq != 7 {
			t.Errorf("the list in force is %d", g.discovery.list.seq)
		}
	})
	stop()
	<-ended
}

// A drain that is told while a connection comes up: nothing is sent on it, the txn goes to another.
func TestDrainToldWhileAConnectionComesUp(t *testing.T) {
	t.Parallel()
	d, a, b := newScript(t), newScript(t), newScript(t)
	g, ended, stop := heldGateway(t, d, a.host("a", "active"))
	call := d.next(t)
	call.call(t)
	call.list(5, a.host("a", "active"))
	call.call(t)
	c := heldClient(t, g)
	c.ask("any", 9000)
	up := a.next(t)
	up.startup()
	served := b.serve("b", "read-only")
	call.list(6, a.host("a", "leaving"), b.host("b", "active"))
	call.call(t) // it has read that
	up.ready()
	if text, sent := up.query(); sent {
		t.Errorf("sent to a member that drains: %s", text)
	}
	if got := c.answer(); got != "served by b" || served.Load() != 1 {
		t.Error(got)
	}
	stop()
	<-ended
}

// A submission that is given up is off its connection before another begins: the second would be a copy beside the first.
func TestGivenUpIsClosedBeforeAnotherBegins(t *testing.T) {
	t.Parallel()
	d, a := newScript(t), newScript(t)
	g, ended, stop := heldGateway(t, d, a.host("a", "active"))
	c := heldClient(t, g)
	c.ask("any", 9000)
	up := a.next(t)
	up.startup()
	up.ready()
	up.query()
	g.hold(func() {
		for _, ref := range g.members.conns.Refs() {
			if g.members.conns.Get(ref).phase == busy {
				g.members.giveUp(ref, decide.Cancelled)
			}
		}
		if _, sent := up.query(); sent { // its end, while the loop does nothing else
			t.Error("a query came on it")
		}
	})
	again := a.next(t)
	again.startup()
	again.ready()
	again.query()
	again.row("a", "read-only")
	if got := c.answer(); got != "served by a" {
		t.Error(got)
	}
	stop()
	<-ended
}

// A repeat that may be sent until its group forgets the first is not sent later, though its connection came up late.
func TestRepeatIsNotSentLate(t *testing.T) {
	t.Parallel()
	d, a := newScript(t), newScript(t)
	g, ended, stop := heldGateway(t, d, a.host("a", "active"))
	c := heldClient(t, g)
	c.ask("any", 9000)
	up := a.next(t)
	up.startup()
	g.hold(func() {
		for _, ref := range g.members.conns.Refs() {
			g.members.conns.Get(ref).job.before = g.clock.now()
		}
	})
	up.ready()
	again := a.next(t) // the module has it sent anew
	again.startup()
	again.ready()
	again.query()
	again.row("a", "read-only")
	if got := c.answer(); got != "served by a" {
		t.Error(got)
	}
	_ = up.SetReadDeadline(time.Now())
	if text, sent := up.query(); sent {
		t.Errorf("sent too late: %s", text)
	}
	stop()
	<-ended
}

// Members leave the calls to discovery their descriptors, however few are left.
func TestDescriptorsOfDiscovery(t *testing.T) {
	t.Parallel()
	d, a := newScript(t), newScript(t)
	g, ended, stop := heldGateway(t, d, a.host("a", "active"))
	call := d.next(t)
	call.call(t)
	g.hold(func() {
		free := g.budget.free
		g.budget.free = 5
		if g.dial(a.l.Addr().String(), decide.Millisecond, &owner{kind: ownerMember}) {
			t.Error("a member took what discovery may need")
		}
		g.discovery.reloadCall(t)
		g.budget.free += free - 5
	})
	if wait := d.next(t).call(t); wait != "" && wait != "0" {
		t.Error(wait)
	}
	stop()
	<-ended
}

// reloadCall gives the call up that is out and makes another.
func (ds *discovery) reloadCall(t *testing.T) {
	c := &ds.calls[callWatch]
	ds.hangUpCall(c)
	ds.call(callWatch)
	if !c.dialled {
		t.Error("no descriptor for discovery")
	}
}

// Two answers that are read in one round: the late one of a call that was given up, written last, and that of the call which
// was made since, written before it. The former is the newer one: what it told of a drain stays known.
func TestLateAnswerOvertakesTheNext(t *testing.T) {
	t.Parallel()
	d, m := newScript(t), newScript(t)
	g, ended, stop := heldGateway(t, d, m.host("m", "active"))
	first := d.next(t)
	first.call(t)
	watch := &g.discovery.calls[callWatch]
	g.timesOut(callWatch)
	second := d.next(t)
	second.call(t)
	g.hold(func() {
		first.list(6, m.host("m", "leaving"))
		awaitUnread(t, watch.late.Fd()) // what comes first is read first
		second.list(5, m.host("m", "active"))
		awaitUnread(t, watch.conn.Fd())
	})
	second.call(t) // both are read
	g.hold(func() {
		if seq, drains := g.discovery.list.seq, len(g.discovery.leave); seq != 6 || drains != 1 {
			t.Errorf("the list in force is %d, %d members drain", seq, drains)
		}
	})
	second.list(2, m.host("m", "active")) // below what was asked for: a service that numbers anew
	second.call(t)
	g.hold(func() {
		if seq, drains := g.discovery.list.seq, len(g.discovery.leave); seq != 2 || drains != 0 {
			t.Errorf("of the service that numbers anew the list in force is %d, %d members drain", seq, drains)
		}
	})
	stop()
	<-ended
}

// A query of which part waits in the outbound buffer when its connection ends was never sent: nothing more of it is written,
// though there is room by then and a member that ended its own sending still reads. It would run a second time.
func TestHalfWrittenQueryIsNotCompleted(t *testing.T) {
	t.Parallel()
	for _, ends := range []string{"the member", "the gateway"} {
		d, a, b := newScript(t), newScript(t), newScript(t)
		g, ended, stop := heldGateway(t, d, a.host("a", "active"))
		call := d.next(t)
		call.call(t)
		c := heldClient(t, g)
		text := fmt.Sprintf("/* id=%016x,c=once,d=9000,cluster=0 */ INSERT INTO facts (code, data) VALUES ('7f3a', '\\x%s') RETURNING data",
			heldIDs.Add(1), strings.Repeat("9f", 64<<10))
		_, _ = c.Write(pgwire.AppendQuery(nil, text))
		up := a.next(t)
		up.startup()
		var ref slots.Ref
		var m *memberConn
		g.hold(func() { // the kernel takes no more than a part
			ref = g.members.conns.Refs()[0]
			m = g.members.conns.Get(ref)
			_ = unix.SetsockoptInt(m.conn.Fd(), unix.SOL_SOCKET, unix.SO_SNDBUF, 32<<10)
		})
		up.ready()
		for waits := 0; waits == 0; {
			g.hold(func() { waits = m.conn.OutboundBuffered() })
		}
		call.list(5, a.host("a", "active"), b.host("b", "active"))
		call.call(t)
		whole := make(chan bool)
		g.hold(func() {
			left := m.conn.OutboundBuffered()
			if _, err := io.CopyN(io.Discard, up.r, int64(len(text)+6-left)); err != nil { // all that was written
				t.Error(err)
			}
			_ = unix.SetsockoptInt(m.conn.Fd(), unix.SOL_SOCKET, unix.SO_SNDBUF, 256<<10) // and there is room for the rest
			go func() {
				_, err := io.CopyN(io.Discard, up.r, int64(left))
				whole <- err == nil
			}()
			if ends == "the member" {
				_ = up.CloseWrite()
				awaitUnread(t, m.conn.Fd())
				_ = g.loop.Close(m.conn) // as the library does when it reads the end
			} else {
				g.members.giveUp(ref, decide.Cancelled)
			}
		})
		if <-whole {
			t.Errorf("%s ended the connection: the query came whole all the same", ends)
		}
		if ends == "the member" { // it may go to another
			again := b.next(t)
			again.startup()
			again.ready()
			if _, sent := again.query(); !sent {
				t.Error("it is not sent again")
			}
			again.row("b", "read-write")
		}
		got := c.answer()
		if want := map[string]string{"the member": "served by b", "the gateway": "40000"}[ends]; got != want {
			t.Errorf("%s ended the connection: %s", ends, got)
		}
		stop()
		<-ended
	}
}

// A read that brings a position ahead of this machine's clock, as a commit's is rounded up: a member that has not reached it is
// not asked, though it has reached the present. Here the position is seconds ahead, so that no time on the way closes the gap.
func TestPositionAheadOfTheClock(t *testing.T) {
	t.Parallel()
	d, a := newScript(t), newScript(t)
	g, ended, stop := heldGatewayWith(t, func(c *Config) {
		text := strings.Replace(heldSettings, `"eventual"`, `"causal"`, 1)
		c.Settings = json.RawMessage(strings.Replace(text, `"whenBehind":"await"`, `"whenBehind":"none"`, 1))
		c.ClockError = time.Minute
	}, d, a.host("a", "active"))
	d.next(t).call(t)
	c := heldClient(t, g)
	ahead := func(by time.Duration) int64 { return time.Now().Add(by).UnixMilli() }
	asks := func(after int64) {
		text := fmt.Sprintf("/* id=%016x,c=any,d=2000,cluster=0,after=%d */ SELECT data FROM facts WHERE code = '7f3a'", heldIDs.Add(1), after)
		_, _ = c.Write(pgwire.AppendQuery(nil, text))
	}
	c.ask("any", 9000)
	up := a.admit(t)
	up.query()
	reached := ahead(20 * time.Second)
	up.rowAt("a", "read-only", reached)
	c.answer()
	g.rested()
	asks(reached)
	up.query()
	up.rowAt("a", "read-only", reached)
	if got := c.answer(); got != "served by a" { // which has reached it
		t.Error(got)
	}
	g.rested()
	asks(reached + 10_000)
	sent := make(chan string, 1)
	go func() {
		if text, ok := up.query(); ok {
			sent <- text
			up.rowAt("a", "read-only", reached)
		}
	}()
	if got := c.answer(); got != "53300" || len(sent)+len(a.come) > 0 {
		t.Errorf("%s: a member was asked that has not reached what the read must see", got)
	}
	stop()
	<-ended
}
