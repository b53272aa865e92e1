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

// What all sides say on their connections in four moments that an end, a cancel, a silent watch or a reload may meet: read and
// approved by a person, under testdata. Numbers and addresses are made alike. `-update` writes them anew.

// recorder takes down who said what, and what the gateway logs.
type recorder struct {
	t         *testing.T
	text, log strings.Builder
	mu        sync.Mutex // of the log, which the loop writes
}

var alikeOnWires = []struct {
	at *regexp.Regexp
	to string
}{
	{regexp.MustCompile(`127\.0\.0\.\d+:\d+`), "ADDRESS"}, {regexp.MustCompile(`id=[0-9a-f]+`), "id=ID"}, {regexp.MustCompile(`d=\d+`), "d=LEFT"},
	{regexp.MustCompile(`(longest_turn_us|latest_timer_us|most_descriptors)=\d+`), "$1=N"},
}

func (r *recorder) says(who, format string, a ...any) {
	fmt.Fprintf(&r.text, "%-10s %s\n", who+":", alikeOnWire(fmt.Sprintf(format, a...)))
}

func alikeOnWire(said string) string {
	for _, x := range alikeOnWires {
		said = x.at.ReplaceAllString(said, x.to)
	}
	return said
}

// recorder is a handler of the log as well, which stands behind the rest: a line of it and what is read elsewhere have no order.
func (r *recorder) Enabled(context.Context, slog.Level) bool { return true }
func (r *recorder) WithAttrs([]slog.Attr) slog.Handler       { return r }
func (r *recorder) WithGroup(string) slog.Handler            { return r }
func (r *recorder) Handle(_ context.Context, l slog.Record) error {
	line := l.Message
	l.Attrs(func(a slog.Attr) bool { line += fmt.Sprintf(" %s=%v", a.Key, a.Value); return true })
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(&r.log, "log: %s\n", alikeOnWire(line))
	return nil
}

func (r *recorder) approve(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	goldie.New(r.t, goldie.WithNameSuffix(".txt")).Assert(r.t, name, []byte(r.text.String()+r.log.String()))
}

// rested waits until members' idle connections have rested, so that the next query goes on one of them.
func (g *Gateway) rested() {
	for all := false; !all; {
		g.runOnLoop(func() {
			all = true
			for _, ref := range g.members.conns.Refs() {
				m := g.members.conns.Get(ref)
				all = all && (m.phase != idle || g.clock.now()-m.since >= leastRest)
			}
		})
	}
}

// admit takes a connection of the gateway's up to its first query.
func (s *scriptedServer) admit(t *testing.T) *testConn {
	up := s.accept(t)
	up.readStartup()
	up.sendReady()
	return up
}

// told words the next call to discovery.
func (e *testConn) told(t *testing.T) string {
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

// ended waits for the end of a connection.
func (e *testConn) ended() string {
	if _, err := io.Copy(io.Discard, e.r); err != nil {
		return "the connection broke"
	}
	return "the connection ended"
}

func TestTranscriptOfAnEndThatQueriesCross(t *testing.T) {
	t.Parallel()
	r := &recorder{t: t}
	d, m := newScriptedServer(t), newScriptedServer(t)
	g, ended, stop := startTestGateway(t, d, m.listEntry("m", "active"))
	d.accept(t).readCall(t)
	a, b, last := connectClient(t, g), connectClient(t, g), connectClient(t, g)
	last.sendTxn("once", 9000) // which is never sent twice, however long it takes
	held := m.admit(t)
	held.readQuery()
	r.says("last", "asks for a write; the member does not answer yet")
	a.sendTxn("any", 9000)
	up := m.admit(t)
	up.readQuery()
	up.sendRow("m", "read-only")
	r.says("a", "%s", a.readResponse())
	g.rested()
	stop()
	for leaves := false; !leaves; {
		g.runOnLoop(func() { leaves = g.shuttingDown })
	}
	r.says("operator", "SIGTERM")
	r.says("a", "asks in the moment in which clients are sent away, and is not read yet")
	g.runOnLoop(func() {
		for _, ref := range g.clients.open.Refs() {
			if c := g.clients.open.Get(ref); c.asked && c.stage == quiet {
				a.sendTxn("any", 9000)
				awaitUnread(t, c.conn.Fd())
			}
		}
		g.closeIdleClients()
	})
	up.readQuery()
	up.sendRow("m", "read-only")
	r.says("a", "%s, then %s", a.readResponse(), a.ended())
	r.says("b", "has asked nothing: %s", b.ended())
	again := connectClient(t, g)
	g.rested()
	again.sendTxn("any", 9000)
	up.readQuery()
	up.sendRow("m", "read-only")
	r.says("a", "asks once more on a new connection what crossed the end of another: %s", again.readResponse())
	held.sendRow("m", "read-only")
	r.says("last", "%s, then %s", last.readResponse(), last.ended())
	_ = again.Close()
	r.says("gateway", "ends: %v", <-ended)
	r.approve("end-crossed")
}

func TestTranscriptOfACancelledQuery(t *testing.T) {
	t.Parallel()
	r := &recorder{t: t}
	d, m := newScriptedServer(t), newScriptedServer(t)
	g, ended, stop := startTestGateway(t, d, m.listEntry("m", "active"))
	c := connectClient(t, g)
	var key pgwire.CancelKey
	g.runOnLoop(func() { key = g.clients.open.Get(g.clients.open.Refs()[0]).key })
	cancel := func(key pgwire.CancelKey) {
		e := newTestConn(dialGateway(t, g))
		message := binary.BigEndian.AppendUint32([]byte("\x00\x00\x00\x10\x04\xd2\x16\x2e"), key.Process)
		_, _ = e.Write(binary.BigEndian.AppendUint32(message, key.Secret))
		r.says("another", "sends a cancel request; %s", e.ended())
	}
	c.sendTxn("any", 9000)
	up := m.admit(t)
	text, _ := up.readQuery()
	r.says("member", "gets %s", text)
	r.says("another", "has a key that does not fit")
	cancel(pgwire.CancelKey{Process: key.Process, Secret: key.Secret + 1})
	r.says("another", "has the key")
	cancel(key)
	r.says("client", "%s", c.readResponse())
	r.says("member", "%s", up.ended())
	c.sendTxn("any", 9000)
	up = m.admit(t)
	up.readQuery()
	up.sendRow("m", "read-only")
	r.says("client", "asks the next: %s", c.readResponse())
	r.says("another", "cancels behind the answer")
	cancel(key)
	g.rested()
	c.sendTxn("any", 9000)
	up.readQuery()
	up.sendRow("m", "read-only")
	r.says("client", "asks the next: %s", c.readResponse())
	stop()
	<-ended
	r.approve("cancelled")
}

// follows starts a gateway that follows the list of a discovery, which is called so, with one member.
func (r *recorder) follows(called string, d, a *scriptedServer) (g *Gateway, watch *testConn, stop func()) {
	g, ended, leave := startTestGatewayWithLog(r.t, slog.New(r), d, a.listEntry("a", "active"))
	watch = d.accept(r.t)
	r.says("gateway", "%s", watch.told(r.t))
	watch.sendList(5, a.listEntry("a", "active"))
	r.says(called, "list 5: a is active")
	r.says("gateway", "%s", watch.told(r.t))
	return g, watch, func() { leave(); <-ended }
}

func TestTranscriptOfASilentWatchBeforeADrain(t *testing.T) {
	t.Parallel()
	r := &recorder{t: t}
	d, a, b := newScriptedServer(t), newScriptedServer(t), newScriptedServer(t)
	g, watch, end := r.follows("discovery", d, a)
	c := connectClient(t, g)
	c.sendTxn("any", 9000)
	idle := a.admit(t)
	idle.readQuery()
	idle.sendRow("a", "read-only")
	r.says("client", "%s", c.readResponse())
	r.says("discovery", "falls silent, and a begins to drain")
	g.expireCall(callWatch)
	again := d.accept(t)
	r.says("gateway", "%s", again.told(t))
	again.sendList(6, a.listEntry("a", "leaving"), b.listEntry("b", "active"))
	r.says("discovery", "list 6: a is leaving, b is active")
	r.says("a", "%s", idle.ended())
	r.says("gateway", "%s", again.told(t))
	c.sendTxn("any", 9000)
	up := b.admit(t)
	up.readQuery()
	up.sendRow("b", "read-only")
	r.says("client", "%s", c.readResponse())
	r.says("discovery", "the watch that was silent brings what it missed")
	watch.sendList(6, a.listEntry("a", "leaving"), b.listEntry("b", "active"))
	r.says("gateway", "%s of the silent watch", watch.ended())
	r.approve("silent-watch")
	end()
}

func TestTranscriptOfAReload(t *testing.T) {
	t.Parallel()
	r := &recorder{t: t}
	former, next, a, b := newScriptedServer(t), newScriptedServer(t), newScriptedServer(t), newScriptedServer(t)
	g, watch, end := r.follows("former", former, a)
	c := g.config
	c.Discovery = next.address()
	r.says("operator", "SIGHUP, with another discovery; an answer of the former one is in the socket then")
	g.runOnLoop(func() {
		watch.sendList(6, a.listEntry("a", "leaving"))
		awaitUnread(t, g.discovery.calls[callWatch].conn.Fd())
		g.reload(c)
	})
	r.says("former", "%s", watch.ended())
	call := next.accept(t)
	r.says("gateway", "%s", call.told(t))
	call.sendList(2, a.listEntry("a", "active"), b.listEntry("b", "leaving"))
	r.says("next", "list 2, by numbers of its own: a is active, b is leaving")
	r.says("gateway", "%s", call.told(t))
	asks := connectClient(t, g)
	asks.sendTxn("any", 9000)
	up := a.admit(t)
	up.readQuery()
	up.sendRow("a", "read-only")
	r.says("client", "%s", asks.readResponse())
	r.approve("reload")
	end()
}
