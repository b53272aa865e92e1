package gateway

import (
	"fmt"
	"net"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"magpieglade/decide"
	"magpieglade/internal/eventloop"
	"magpieglade/internal/pgwire"
)

// deadlineSlack is how much longer than its client a member may be told that the gateway waits, by the protocol's pages.
const deadlineSlack = 150 * decide.Millisecond

// jobDeadline waits until the only open txn has been sent to a member and returns until when the gateway waits there.
func (g *Gateway) jobDeadline(t *testing.T) (at decide.Nanos) {
	t.Helper()
	for end := time.Now().Add(testTimeout); at == 0; {
		g.runOnLoop(func() {
			for _, ref := range g.members.conns.Refs() {
				if m := g.members.conns.Get(ref); m.hasJob && m.phase == busy && !m.job.probe {
					at = m.job.deadline
				}
			}
		})
		if time.Now().After(end) {
			t.Fatal("no query was sent")
		}
	}
	return at
}

// TestQueryIsDatedByItsArrivalAfterAStall guards against final answers after the client's time, and members that are told more
// than is left: the time in which a query lay in the socket while the event loop was stalled was added to its client's.
func TestQueryIsDatedByItsArrivalAfterAStall(t *testing.T) {
	t.Parallel()
	const wait, stall = 9000 * decide.Millisecond, 600 * time.Millisecond
	for _, test := range []struct {
		name   string
		before string // what the client sends in the same piece before its query
	}{
		{"alone", ""},
		{"behind another message", string(pgwire.AppendQuery(nil, ""))},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			d, m := newScriptedServer(t), newScriptedServer(t)
			g, ended, stop := startTestGateway(t, d, m.listEntry("m", "active"))
			c := connectClient(t, g)
			c.sendTxn("any", 9000)
			up := m.acceptConnection(t)
			up.readQuery()
			up.sendRow("m", "read-only")
			c.readResponse()
			g.awaitReusable()
			var sentAt decide.Nanos
			g.runOnLoop(func() {
				sentAt = g.clock.now()
				text := fmt.Sprintf("/* id=%016x,c=any,d=%d,cluster=0 */ SELECT data FROM facts WHERE code = '7f3a'", lastTestID.Add(1), wait/decide.Millisecond)
				_, _ = c.Write(append([]byte(test.before), pgwire.AppendQuery(nil, text)...))
				<-time.After(stall)
			})
			if over := g.jobDeadline(t) - (sentAt + wait); over > deadlineSlack || over < -deadlineSlack {
				t.Errorf("the member is told %d ms more than is left to the client", over/decide.Millisecond)
			}
			stop()
			<-ended
		})
	}
}

// TestRecoveryEndsOnceTheLoopHasRead guards against a recovery that is over before the loop has read anything: the loop runs
// all tasks that wait before it reads, and the rounds of a recovery are tasks too.
func TestRecoveryEndsOnceTheLoopHasRead(t *testing.T) {
	t.Parallel()
	const wait, stall = 9000 * decide.Millisecond, 600 * time.Millisecond
	const tasks, taskTime = 8, 2 * recoveryRound
	for _, test := range []struct {
		name        string
		beforeStall func(g *Gateway, other *eventloop.Conn) // in a task of the loop
		firstTask   func(g *Gateway, other *eventloop.Conn)
	}{
		{"tasks without events", nil, nil},
		{"a task closes a connection", nil, func(g *Gateway, other *eventloop.Conn) { other.CloseSoon() }},
		{"the stall follows another whose recovery has read", func(g *Gateway, other *eventloop.Conn) {
			<-time.After(stall)
			g.checkForStall()
			g.Received(other)
			g.continueRecovery()
		}, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			d, m := newScriptedServer(t), newScriptedServer(t)
			g, ended, stop := startTestGateway(t, d, m.listEntry("m", "active"))
			otherClient := connectClient(t, g)
			defer otherClient.Close()
			var other *eventloop.Conn
			g.runOnLoop(func() { other = g.clients.conns.Get(g.clients.conns.Refs()[0]).conn })
			c := connectClient(t, g)
			var sentAt decide.Nanos
			g.runOnLoop(func() {
				if test.beforeStall != nil {
					test.beforeStall(g, other)
				}
				sentAt = g.clock.now()
				c.sendTxn("any", int(wait/decide.Millisecond))
				<-time.After(stall)
				left := tasks
				var runTask func()
				runTask = func() {
					if left == tasks && test.firstTask != nil {
						test.firstTask(g, other)
					}
					<-time.After(time.Duration(taskTime)) // the next round of the recovery is a task of the loop by then
					if left--; left > 0 {
						g.post(runTask)
					}
				}
				g.post(runTask)
			})
			m.acceptConnection(t)
			if over := g.jobDeadline(t) - (sentAt + wait); over > deadlineSlack || over < -deadlineSlack {
				t.Errorf("the member is told %d ms more than is left to the client", over/decide.Millisecond)
			}
			stop()
			<-ended
		})
	}
}

// TestQueryThatCameDuringAStallKeepsItsTime guards against queries that count as old as the stall in which they came: one that
// came at its end has nearly all its time left.
func TestQueryThatCameDuringAStallKeepsItsTime(t *testing.T) {
	t.Parallel()
	const wait, stall = 500 * decide.Millisecond, 600 * time.Millisecond
	d, m := newScriptedServer(t), newScriptedServer(t)
	g, ended, stop := startTestGateway(t, d, m.listEntry("m", "active"))
	m.serve("m", "read-only")
	c := connectClient(t, g)
	g.runOnLoop(func() {
		<-time.After(stall)
		c.sendTxn("any", int(wait/decide.Millisecond))
		awaitUnread(t, g.clients.conns.Get(g.clients.conns.Refs()[0]).conn.Fd())
	})
	if got := c.readResponse(); got != "served by m" {
		t.Error(got)
	}
	stop()
	<-ended
}

// busyListener is a listener whose accepts fail until it is released.
type busyListener struct {
	net.Listener
	release chan bool
	failed  chan bool
}

func (l *busyListener) Accept() (net.Conn, error) {
	select {
	case <-l.release:
		return l.Listener.Accept()
	default:
		select {
		case l.failed <- true:
		default:
		}
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
	}
}

// busyNetwork is the system's network with a busyListener.
type busyNetwork struct {
	SystemNetwork
	release, failed chan bool
}

func (n *busyNetwork) Listen(address netip.AddrPort) (net.Listener, error) {
	l, err := n.SystemNetwork.Listen(address)
	return &busyListener{l, n.release, n.failed}, err
}

// TestQueryIsDatedByItsArrivalBeforeAccept guards against the same at a client that connects while accept fails: its query is
// in the socket before the gateway has its connection.
func TestQueryIsDatedByItsArrivalBeforeAccept(t *testing.T) {
	t.Parallel()
	const wait, failing = 9000 * decide.Millisecond, 600 * time.Millisecond
	network := &busyNetwork{release: make(chan bool), failed: make(chan bool, 1)}
	d, m := newScriptedServer(t), newScriptedServer(t)
	g, ended, stop := startTestGatewayWith(t, func(c *Config) { c.Network = network }, d, m.listEntry("m", "active"))
	<-network.failed
	c := newTestConn(dialGateway(t, g))
	sentAt := g.clock.now()
	text := fmt.Sprintf("/* id=%016x,c=any,d=%d,cluster=0 */ SELECT data FROM facts WHERE code = '7f3a'", lastTestID.Add(1), wait/decide.Millisecond)
	_, _ = c.Write(pgwire.AppendQuery(pgwire.AppendStartup(nil, "portal", "crm"), text))
	<-time.After(failing)
	close(network.release)
	up := m.acceptConnection(t)
	t.Cleanup(func() { _ = up.Close() })
	up.readQuery()
	if over := g.jobDeadline(t) - (sentAt + wait); over > deadlineSlack || over < -deadlineSlack {
		t.Errorf("the member is told %d ms more than is left to the client", over/decide.Millisecond)
	}
	stop()
	<-ended
}
