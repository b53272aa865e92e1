package gateway

import (
	"io"
	"testing"

	"magpieglade/decide"
	"magpieglade/internal/slots"
)

// TestCancelCrossesTheResponse guards against a response that is thrown away: as its member counted as silent, or its time was up,
// the attempt was cancelled while the response lay unread in the socket.
func TestCancelCrossesTheResponse(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name   string
		cancel func(g *Gateway, txn, conn slots.Ref)
	}{
		{"silent member", func(g *Gateway, txn, _ slots.Ref) { g.cancelSubmission(g.txns.Get(txn).id, 0) }},
		{"time limit", func(g *Gateway, _, conn slots.Ref) { g.members.submissionTimedOut(conn) }},
	} {
		for _, complete := range []bool{true, false} {
			name := test.name + ", complete response"
			if !complete {
				name = test.name + ", part of a response"
			}
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				d, m := newScriptedServer(t), newScriptedServer(t)
				g, ended, stop := startTestGateway(t, d, m.listEntry("m", "active"))
				c := connectClient(t, g)
				c.sendTxn("once", 9000)
				up := m.acceptConnection(t)
				up.readQuery()
				g.runOnLoop(func() {
					conn := g.busyConnection()
					if complete {
						up.sendRow("m", "read-write")
					} else {
						_, _ = io.WriteString(up, "T\x00\x00")
					}
					awaitUnread(t, g.members.conns.Get(conn).conn.Fd())
					test.cancel(g, g.members.conns.Get(conn).job.txn, conn)
				})
				if complete {
					if got := c.readResponse(); got != "served by m" {
						t.Errorf("the client got %q", got)
					}
				} else {
					up.awaitEnd()
					g.runOnLoop(func() {
						if attempts := g.outcomes.attempts; attempts[decide.Cancelled]+attempts[decide.TimedOut] != 1 {
							t.Errorf("attempts by result: %v", attempts)
						}
					})
				}
				stop()
				<-ended
			})
		}
	}
}

// busyConnection returns the connection to a member on which a txn is under way.
func (g *Gateway) busyConnection() slots.Ref {
	for _, ref := range g.members.conns.Refs() {
		if m := g.members.conns.Get(ref); m.hasJob && m.phase == busy && !m.job.probe {
			return ref
		}
	}
	return slots.Ref{}
}
