package gateway

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"log/slog"
	"regexp"
	"strings"
	"sync"
	"testing"

	"github.com/sebdah/goldie/v2"

	"magpieglade/internal/pgwire"
)

// Transcripts of the traffic on all connections in four situations: queries that cross a shutdown, a cancelled query, a
// silent watch and a reload. They are compared with the reviewed files under testdata. Numbers and addresses are normalized.
// `-update` rewrites the files.

// recorder records the traffic of each side, and what the gateway logs.
type recorder struct {
	t         *testing.T
	text, log strings.Builder
	mu        sync.Mutex // guards log, which the event loop writes
}

var wireNormalizers = []struct {
	pattern     *regexp.Regexp
	replacement string
}{
	{regexp.MustCompile(`127\.0\.0\.\d+:\d+`), "ADDRESS"}, {regexp.MustCompile(`id=[0-9a-f]+`), "id=ID"}, {regexp.MustCompile(`d=\d+`), "d=LEFT"},
	{regexp.MustCompile(`(longest_turn_us|latest_timer_us|most_descriptors)=\d+`), "$1=N"},
}

func (r *recorder) record(source, format string, a ...any) {
	fmt.Fprintf(&r.text, "%-10s %s\n", source+":", normalizeWire(fmt.Sprintf(format, a...)))
}

func normalizeWire(text string) string {
	for _, x := range wireNormalizers {
		text = x.pattern.ReplaceAllString(text, x.replacement)
	}
	return text
}

// recorder is also a slog.Handler. The log comes after the traffic in a transcript, as the two have no defined order.
func (r *recorder) Enabled(context.Context, slog.Level) bool { return true }
func (r *recorder) WithAttrs([]slog.Attr) slog.Handler       { return r }
func (r *recorder) WithGroup(string) slog.Handler            { return r }
func (r *recorder) Handle(_ context.Context, l slog.Record) error {
	line := l.Message
	l.Attrs(func(a slog.Attr) bool { line += fmt.Sprintf(" %s=%v", a.Key, a.Value); return true })
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(&r.log, "log: %s\n", normalizeWire(line))
	return nil
}

func (r *recorder) approve(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	goldie.New(r.t, goldie.WithNameSuffix(".txt")).Assert(r.t, name, []byte(r.text.String()+r.log.String()))
}

// awaitReusable waits until all idle member connections may be reused, so that the next query goes to one of them.
func (g *Gateway) awaitReusable() {
	for all := false; !all; {
		g.runOnLoop(func() {
			all = true
			for _, ref := range g.members.conns.Refs() {
				m := g.members.conns.Get(ref)
				all = all && (m.phase != idle || g.clock.now()-m.since >= minIdleBeforeReuse)
			}
		})
	}
}

// acceptConnection accepts a connection from the gateway and completes its startup.
func (s *scriptedServer) acceptConnection(t *testing.T) *testConn {
	up := s.accept(t)
	up.readStartup()
	up.sendReady()
	return up
}

// readRequestLine reads the next call to discovery and returns its request line without the protocol version.
func (e *testConn) readRequestLine(t *testing.T) string {
	line, err := e.r.ReadString('\n')
	if err != nil {
		t.Fatal("no call: ", err)
	}
	for rest := line; rest != "\r\n"; {
		if rest, err = e.r.ReadString('\n'); err != nil {
			t.Fatal("half a call: ", err)
		}
	}
	return strings.TrimSuffix(strings.TrimSpace(line), " HTTP/1.1")
}

// awaitEnd waits until the other side closes a connection.
func (e *testConn) awaitEnd() string {
	if _, err := io.Copy(io.Discard, e.r); err != nil {
		return "the connection broke"
	}
	return "the connection ended"
}

func TestTranscriptOfAShutdownCrossedByQueries(t *testing.T) {
	t.Parallel()
	r := &recorder{t: t}
	d, m := newScriptedServer(t), newScriptedServer(t)
	g, ended, stop := startTestGateway(t, d, m.listEntry("m", "active"))
	d.accept(t).readCall(t)
	a, b, last := connectClient(t, g), connectClient(t, g), connectClient(t, g)
	last.sendTxn("once", 9000) // a once query is never sent twice, however long it takes
	pendingWrite := m.acceptConnection(t)
	pendingWrite.readQuery()
	r.record("last", "asks for a write; the member does not answer yet")
	a.sendTxn("any", 9000)
	up := m.acceptConnection(t)
	up.readQuery()
	up.sendRow("m", "read-only")
	r.record("a", "%s", a.readResponse())
	g.awaitReusable()
	stop()
	for leaves := false; !leaves; {
		g.runOnLoop(func() { leaves = g.shuttingDown })
	}
	r.record("operator", "SIGTERM")
	r.record("a", "asks in the moment in which clients are sent away, and is not read yet")
	g.runOnLoop(func() {
		for _, ref := range g.clients.conns.Refs() {
			if c := g.clients.conns.Get(ref); c.hasQueried && c.stage == stageIdle {
				a.sendTxn("any", 9000)
				awaitUnread(t, c.conn.Fd())
			}
		}
		g.closeIdleClients()
	})
	up.readQuery()
	up.sendRow("m", "read-only")
	r.record("a", "%s, then %s", a.readResponse(), a.awaitEnd())
	r.record("b", "has asked nothing: %s", b.awaitEnd())
	again := connectClient(t, g)
	g.awaitReusable()
	again.sendTxn("any", 9000)
	up.readQuery()
	up.sendRow("m", "read-only")
	r.record("a", "asks once more on a new connection what crossed the end of another: %s", again.readResponse())
	pendingWrite.sendRow("m", "read-only")
	r.record("last", "%s, then %s", last.readResponse(), last.awaitEnd())
	_ = again.Close()
	r.record("gateway", "ends: %v", <-ended)
	r.approve("end-crossed")
}

func TestTranscriptOfACancelledQuery(t *testing.T) {
	t.Parallel()
	r := &recorder{t: t}
	d, m := newScriptedServer(t), newScriptedServer(t)
	g, ended, stop := startTestGateway(t, d, m.listEntry("m", "active"))
	c := connectClient(t, g)
	var key pgwire.CancelKey
	g.runOnLoop(func() { key = g.clients.conns.Get(g.clients.conns.Refs()[0]).cancelKey })
	cancel := func(key pgwire.CancelKey) {
		e := newTestConn(dialGateway(t, g))
		message := binary.BigEndian.AppendUint32([]byte("\x00\x00\x00\x10\x04\xd2\x16\x2e"), key.Process)
		_, _ = e.Write(binary.BigEndian.AppendUint32(message, key.Secret))
		r.record("another", "sends a cancel request; %s", e.awaitEnd())
	}
	c.sendTxn("any", 9000)
	up := m.acceptConnection(t)
	query, _ := up.readQuery()
	r.record("member", "gets %s", query)
	r.record("another", "has a key that does not fit")
	cancel(pgwire.CancelKey{Process: key.Process, Secret: key.Secret + 1})
	r.record("another", "has the key")
	cancel(key)
	r.record("client", "%s", c.readResponse())
	r.record("member", "%s", up.awaitEnd())
	c.sendTxn("any", 9000)
	up = m.acceptConnection(t)
	up.readQuery()
	up.sendRow("m", "read-only")
	r.record("client", "asks the next: %s", c.readResponse())
	r.record("another", "cancels behind the answer")
	cancel(key)
	g.awaitReusable()
	c.sendTxn("any", 9000)
	up.readQuery()
	up.sendRow("m", "read-only")
	r.record("client", "asks the next: %s", c.readResponse())
	stop()
	<-ended
	r.approve("cancelled")
}

// startFollowing starts a gateway that follows the list of a discovery, which the transcript calls discoveryName, with one
// member.
func (r *recorder) startFollowing(discoveryName string, d, a *scriptedServer) (g *Gateway, watch *testConn, stop func()) {
	g, ended, leave := startTestGatewayWithLog(r.t, slog.New(r), d, a.listEntry("a", "active"))
	watch = d.accept(r.t)
	r.record("gateway", "%s", watch.readRequestLine(r.t))
	watch.sendList(5, a.listEntry("a", "active"))
	r.record(discoveryName, "list 5: a is active")
	r.record("gateway", "%s", watch.readRequestLine(r.t))
	return g, watch, func() { leave(); <-ended }
}

func TestTranscriptOfASilentWatchBeforeADrain(t *testing.T) {
	t.Parallel()
	r := &recorder{t: t}
	d, a, b := newScriptedServer(t), newScriptedServer(t), newScriptedServer(t)
	g, watch, end := r.startFollowing("discovery", d, a)
	c := connectClient(t, g)
	c.sendTxn("any", 9000)
	idle := a.acceptConnection(t)
	idle.readQuery()
	idle.sendRow("a", "read-only")
	r.record("client", "%s", c.readResponse())
	r.record("discovery", "falls silent, and a begins to drain")
	g.expireCall(callWatch)
	again := d.accept(t)
	r.record("gateway", "%s", again.readRequestLine(t))
	again.sendList(6, a.listEntry("a", "leaving"), b.listEntry("b", "active"))
	r.record("discovery", "list 6: a is leaving, b is active")
	r.record("a", "%s", idle.awaitEnd())
	r.record("gateway", "%s", again.readRequestLine(t))
	c.sendTxn("any", 9000)
	up := b.acceptConnection(t)
	up.readQuery()
	up.sendRow("b", "read-only")
	r.record("client", "%s", c.readResponse())
	r.record("discovery", "the watch that was silent brings what it missed")
	watch.sendList(6, a.listEntry("a", "leaving"), b.listEntry("b", "active"))
	r.record("gateway", "%s of the silent watch", watch.awaitEnd())
	r.approve("silent-watch")
	end()
}

func TestTranscriptOfAReload(t *testing.T) {
	t.Parallel()
	r := &recorder{t: t}
	former, next, a, b := newScriptedServer(t), newScriptedServer(t), newScriptedServer(t), newScriptedServer(t)
	g, watch, end := r.startFollowing("former", former, a)
	c := g.config
	c.Discovery = next.address()
	r.record("operator", "SIGHUP, with another discovery; an answer of the former one is in the socket then")
	g.runOnLoop(func() {
		watch.sendList(6, a.listEntry("a", "leaving"))
		awaitUnread(t, g.discovery.calls[callWatch].conn.Fd())
		g.reload(c)
	})
	r.record("former", "%s", watch.awaitEnd())
	call := next.accept(t)
	r.record("gateway", "%s", call.readRequestLine(t))
	call.sendList(2, a.listEntry("a", "active"), b.listEntry("b", "leaving"))
	r.record("next", "list 2, by numbers of its own: a is active, b is leaving")
	r.record("gateway", "%s", call.readRequestLine(t))
	client := connectClient(t, g)
	client.sendTxn("any", 9000)
	up := a.acceptConnection(t)
	up.readQuery()
	up.sendRow("a", "read-only")
	r.record("client", "%s", client.readResponse())
	r.approve("reload")
	end()
}
