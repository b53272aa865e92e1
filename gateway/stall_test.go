package gateway

import (
	"encoding/binary"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"magpieglade/internal/pgwire"
)

// adjustableClock is a monotonic clock that a test moves forward.
type adjustableClock struct {
	startedAt time.Time
	advanced  atomic.Int64
}

func newAdjustableClock() *adjustableClock { return &adjustableClock{startedAt: time.Now()} }

func (c *adjustableClock) elapsed() time.Duration {
	return time.Since(c.startedAt) + time.Duration(c.advanced.Load())
}

// stall blocks the event loop while f runs, for longer than any time limit allows by the gateway's clock.
func (g *Gateway) stall(c *adjustableClock, f func()) {
	g.runOnLoop(func() {
		f()
		c.advanced.Add(int64(1600 * time.Millisecond))
	})
}

// receivedTexts records the statements that a member receives.
type receivedTexts struct {
	mu  sync.Mutex
	all []string
}

func (r *receivedTexts) add(text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, text)
}

func (r *receivedTexts) contains(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.ContainsFunc(r.all, func(text string) bool { return strings.Contains(text, id) })
}

// serveRecorded answers all queries as a primary and records them.
func (s *scriptedServer) serveRecorded(name string) *receivedTexts {
	received := new(receivedTexts)
	go func() {
		for e := range s.accepted {
			go func() {
				e.readStartup()
				e.sendReady()
				for text, ok := e.readQuery(); ok; text, ok = e.readQuery() {
					received.add(text)
					e.sendRow(name, "read-write")
				}
			}()
		}
	}()
	return received
}

// sendIdentifiedTxn sends a txn and returns its id.
func (e *testConn) sendIdentifiedTxn(class string, ms int) (id string) {
	e.sendTxn(class, ms)
	return fmt.Sprintf("id=%016x", lastTestID.Load())
}

// readCancelKey completes the startup of a connection and returns its cancel key.
func (e *testConn) readCancelKey(t *testing.T) (key []byte) {
	t.Helper()
	for {
		kind, body := e.readMessage()
		switch kind {
		case 0:
			t.Fatal("the connection ended")
		case 'K':
			key = body
		case 'Z':
			return key
		}
	}
}

// TestNothingIsSentAfterAStallForClientsThatLeft guards against attempts for clients that closed or cancelled while the event
// loop was held up: it sent the first request that it found before it read what had arrived behind it or on other connections.
func TestNothingIsSentAfterAStallForClientsThatLeft(t *testing.T) {
	for _, test := range []struct {
		name  string
		leave func(t *testing.T, g *Gateway, c *testConn, cancelKey []byte)
	}{
		{"closed", func(_ *testing.T, _ *Gateway, c *testConn, _ []byte) { _ = c.CloseWrite() }},
		{"reset", func(_ *testing.T, _ *Gateway, c *testConn, _ []byte) {
			_ = c.SetLinger(0)
			_ = c.Close()
		}},
		{"closed behind more than one read takes", func(_ *testing.T, _ *Gateway, c *testConn, _ []byte) {
			_, _ = c.Write(pgwire.AppendQuery(nil, strings.Repeat(" ", 100_000)))
			_ = c.CloseWrite()
		}},
		{"cancelled on another connection", func(t *testing.T, g *Gateway, _ *testConn, cancelKey []byte) {
			request := append(binary.BigEndian.AppendUint32(nil, 16), 4, 210, 22, 46)
			_, _ = dialGateway(t, g).Write(append(request, cancelKey...))
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			clock := newAdjustableClock()
			d, m := newScriptedServer(t), newScriptedServer(t)
			g, ended, stop := startTestGatewayWith(t, func(c *Config) { c.Elapsed = clock.elapsed }, d, m.listEntry("m", "active"))
			received := m.serveRecorded("m")
			c := newTestConn(dialGateway(t, g))
			_, _ = c.Write(pgwire.AppendStartup(nil, "portal", "crm"))
			cancelKey := c.readCancelKey(t)
			if c.sendTxn("once", 9000); c.readResponse() != "served by m" { // the connection to the member is reused
				t.Fatal("not served before the stall")
			}
			g.awaitReusable()
			id := ""
			g.stall(clock, func() {
				id = c.sendIdentifiedTxn("once", 9000)
				test.leave(t, g, c, cancelKey)
				awaitUnread(t, g.clients.conns.Get(g.clients.conns.Refs()[0]).conn.Fd())
			})
			after := connectClient(t, g)
			if after.sendTxn("once", 9000); after.readResponse() != "served by m" {
				t.Error("not served after the stall")
			}
			if received.contains(id) {
				t.Error("the request of the client that left was sent")
			}
			stop()
			<-ended
		})
	}
}

// TestStallDuringARecovery guards against the same when the loop is held up once more before it has read what came during the
// first stall: the time of the recovery was over when it went on.
func TestStallDuringARecovery(t *testing.T) {
	clock := newAdjustableClock()
	d, m := newScriptedServer(t), newScriptedServer(t)
	g, ended, stop := startTestGatewayWith(t, func(c *Config) { c.Elapsed = clock.elapsed }, d, m.listEntry("m", "active"))
	received := m.serveRecorded("m")
	c := connectClient(t, g)
	if c.sendTxn("once", 9000); c.readResponse() != "served by m" {
		t.Fatal("not served before the stall")
	}
	g.awaitReusable()
	id, done := "", make(chan bool)
	g.runOnLoop(func() { // both run before the loop reads anything
		g.post(func() { clock.advanced.Add(int64(time.Second)) })
		g.post(func() {
			<-time.After(10 * time.Millisecond) // the timer of the recovery fires meanwhile
			clock.advanced.Add(int64(time.Second))
			id = c.sendIdentifiedTxn("once", 9000)
			_ = c.CloseWrite()
			awaitUnread(t, g.clients.conns.Get(g.clients.conns.Refs()[0]).conn.Fd())
			close(done)
		})
	})
	<-done
	after := connectClient(t, g)
	if after.sendTxn("once", 9000); after.readResponse() != "served by m" {
		t.Error("not served after the stalls")
	}
	if received.contains(id) {
		t.Error("the request of the client that left was sent")
	}
	stop()
	<-ended
}

// TestListIsReadAfterAStallBeforeAnythingIsSent guards against requests that are sent to a member after a list in which it
// drains has arrived, because the event loop was held up and the requests came first.
func TestListIsReadAfterAStallBeforeAnythingIsSent(t *testing.T) {
	clock := newAdjustableClock()
	d, m, other := newScriptedServer(t), newScriptedServer(t), newScriptedServer(t)
	g, ended, stop := startTestGatewayWith(t, func(c *Config) { c.Elapsed = clock.elapsed }, d, m.listEntry("m", "active"))
	call := d.accept(t)
	call.readCall(t)
	received := m.serveRecorded("m")
	other.serveRecorded("other")
	c := connectClient(t, g)
	if c.sendTxn("once", 9000); c.readResponse() != "served by m" {
		t.Fatal("not served before the stall")
	}
	g.awaitReusable()
	id := ""
	g.stall(clock, func() {
		id = c.sendIdentifiedTxn("once", 9000)
		awaitUnread(t, g.clients.conns.Get(g.clients.conns.Refs()[0]).conn.Fd())
		call.sendList(5, m.listEntry("m", "leaving"), other.listEntry("other", "active"))
		awaitUnread(t, g.discovery.calls[callWatch].conn.Fd())
	})
	if got := c.readResponse(); got != "served by other" || received.contains(id) {
		t.Errorf("%s; sent to the draining member: %v", got, received.contains(id))
	}
	stop()
	<-ended
}

// TestClientIsLookedAtBeforeALateAttempt guards against an attempt that begins when a connection to a member comes up late,
// although the client has closed by then: the member's connection was read first.
func TestClientIsLookedAtBeforeALateAttempt(t *testing.T) {
	d, m := newScriptedServer(t), newScriptedServer(t)
	g, ended, stop := startTestGateway(t, d, m.listEntry("m", "active"))
	c := connectClient(t, g)
	c.sendTxn("any", 9000)
	up := m.accept(t)
	up.readStartup()
	g.runOnLoop(func() {
		started := g.clock.now()
		for g.clock.now()-started < uncheckedQueryAge { // less than a stall
		}
	})
	g.runOnLoop(func() {
		up.sendReady()
		awaitUnread(t, g.members.conns.Get(g.members.conns.Refs()[0]).conn.Fd())
		_ = c.CloseWrite()
		awaitUnread(t, g.clients.conns.Get(g.clients.conns.Refs()[0]).conn.Fd())
	})
	if _, err := io.ReadAll(c.r); err != nil { // the gateway has noticed the end
		t.Error(err)
	}
	g.awaitReusable()
	other := connectClient(t, g)
	id := other.sendIdentifiedTxn("any", 9000)
	if text, ok := up.readQuery(); !ok || !strings.Contains(text, id) {
		t.Errorf("the member received %q (%v), want the query of the client that stayed", text, ok)
	}
	up.sendRow("m", "read-write")
	if got := other.readResponse(); got != "served by m" {
		t.Error(got)
	}
	stop()
	<-ended
}
