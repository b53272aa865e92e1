package gateway

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"magpieglade/decide"
	"magpieglade/internal/pgwire"
	"magpieglade/pacing"
)

// maxInput returns the most input that a client of the gateway holds.
func (g *Gateway) maxInput() (most int) {
	g.runOnLoop(func() {
		for _, ref := range g.clients.conns.Refs() {
			most = max(most, g.clients.conns.Get(ref).conn.InboundBuffered())
		}
	})
	return most
}

// TestWaitingClientIsNotRead guards against input that piles up in memory behind an open query, and against queries that are
// lost or run twice as reading stops and goes on.
func TestWaitingClientIsNotRead(t *testing.T) {
	t.Parallel()
	const queries = 900 // of together more than twice maxReadAhead
	d, s := newScriptedServer(t), newScriptedServer(t)
	g, ended, stop := startTestGateway(t, d, s.listEntry("m", "active"))
	m := s.serveGated()
	c := connectClient(t, g)
	var ids []string
	var all []byte
	for range queries {
		id := fmt.Sprintf("%016x", lastTestID.Add(1))
		ids = append(ids, id)
		all = append(all, pgwire.AppendQuery(nil, fmt.Sprintf("/* id=%s,c=once,d=20000,cluster=0 */ INSERT INTO facts (code, data) VALUES ('7f3a', '%s')", id, strings.Repeat("x", 400)))...)
	}
	go func() { _, _ = c.Write(all) }()
	<-m.first
	g.awaitInputRead()
	if most := g.maxInput(); most > maxReadAhead+2*readBufferSize {
		t.Errorf("%d bytes of input in memory while the first query is open", most)
	}
	close(m.release)
	for i, id := range ids {
		if got := c.readResponse(); got != "served by m" {
			t.Fatalf("query %d: %q", i, got)
		}
		m.mu.Lock()
		if m.received[id] != 1 {
			t.Errorf("query %d was received %d times", i, m.received[id])
		}
		m.mu.Unlock()
	}
	if got := g.maxInput(); got != 0 {
		t.Errorf("%d bytes of input are left", got)
	}
	stop()
	<-ended
}

// TestUnreadQueryIsDatedByItsArrival guards against a query that is given more time than its client has left, as it lay in the
// socket while an earlier one was open.
func TestUnreadQueryIsDatedByItsArrival(t *testing.T) {
	t.Parallel()
	const wait, held = 9000 * decide.Millisecond, 600 * time.Millisecond
	d, s := newScriptedServer(t), newScriptedServer(t)
	g, ended, stop := startTestGateway(t, d, s.listEntry("m", "active"))
	queries, release := make(chan bool), make(chan bool)
	go s.answerConnections(func(text string) {
		if requestID(text) != "" { // no probe
			queries <- true
			<-release
		}
	})
	c := connectClient(t, g)
	c.sendTxn("once", 9000)
	<-queries
	largeQuery := func() []byte {
		id := fmt.Sprintf("%016x", lastTestID.Add(1))
		return pgwire.AppendQuery(nil, fmt.Sprintf("/* id=%s,c=once,d=%d,cluster=0 */ INSERT INTO facts (code, data) VALUES ('7f3a', '%s')", id, wait/decide.Millisecond, strings.Repeat("x", maxReadAhead*2/3)))
	}
	between, query := largeQuery(), largeQuery()
	sentAt := g.clock.now()
	go func() { _, _ = c.Write(append(between, query...)) }()
	g.awaitInputRead()
	<-time.After(held)
	for range 2 { // the first query, and the one between, behind which the next is not read whole
		release <- true
		if got := c.readResponse(); got != "served by m" {
			t.Fatal(got)
		}
		<-queries
	}
	if over := g.jobDeadline(t) - (sentAt + wait); over > deadlineSlack || over < -deadlineSlack {
		t.Errorf("the member is told %d ms more than is left to the client", over/decide.Millisecond)
	}
	release <- true
	if got := c.readResponse(); got != "served by m" {
		t.Error(got)
	}
	stop()
	<-ended
}

// answerConnections answers all queries of all connections, each after a call of received.
func (s *scriptedServer) answerConnections(received func(text string)) {
	for e := range s.accepted {
		go func() {
			e.readStartup()
			e.sendReady()
			for text, ok := e.readQuery(); ok; text, ok = e.readQuery() {
				received(text)
				e.sendRow("m", "read-write")
			}
		}()
	}
}

// TestMessagesAheadOfUnreadAnswersAreAnswered guards against a connection that is closed for what it sent ahead: messages of two
// kinds in turn were counted up to a limit while their client did not read.
func TestMessagesAheadOfUnreadAnswersAreAnswered(t *testing.T) {
	t.Parallel()
	const messages = 200_000 // more answers than the buffers of sockets hold
	d, s := newScriptedServer(t), newScriptedServer(t)
	g, ended, stop := startTestGateway(t, d, s.listEntry("m", "active"))
	s.serveRecorded("m")
	c := connectClient(t, g)
	parseAndSync := "P\x00\x00\x00\x08\x00\x00\x00\x00S\x00\x00\x00\x04"
	go func() { _, _ = c.Write([]byte(strings.Repeat(parseAndSync, messages))) }()
	for stopped := false; !stopped; {
		g.runOnLoop(func() {
			stopped = g.clients.conns.Get(g.clients.conns.Refs()[0]).conn.ReadingStopped()
		})
	}
	g.awaitInputRead()
	for i := range messages {
		if got := c.readResponse(); got != "0A000" {
			t.Fatalf("message %d: %q", i, got)
		}
	}
	c.sendTxn("any", 9000)
	if got := c.readResponse(); got != "served by m" {
		t.Error("afterwards:", got)
	}
	if pauses := g.clientPauses(t); pauses[string(pacing.ControlMessages)] == 0 {
		t.Error("the client did not pause")
	}
	stop()
	<-ended
}
