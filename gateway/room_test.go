package gateway

import (
	"sync"
	"testing"

	"magpieglade/internal/pgwire"
)

// TestIdleMemberConnectionsMakeWayForClients guards against clients that are turned away while connections to members that
// nobody uses hold the clients' part of the descriptors.
func TestIdleMemberConnectionsMakeWayForClients(t *testing.T) {
	t.Parallel()
	const atOnce, more = 8, 8
	d, m := newScriptedServer(t), newScriptedServer(t)
	g, ended, stop := startTestGatewayWith(t, func(c *Config) { c.Limits.Sockets = 64 }, d, m.listEntry("m", "active"))
	d.accept(t).readCall(t)
	var clients, busy []*testConn
	for range atOnce { // each on a connection of its own, as the others have no answer yet
		c := connectClient(t, g)
		c.sendTxn("any", 9000)
		up := m.accept(t)
		up.readStartup()
		up.sendReady()
		up.readQuery()
		clients, busy = append(clients, c), append(busy, up)
	}
	var answered sync.WaitGroup
	for i := range clients {
		answered.Go(func() {
			busy[i].sendRow("m", "read-only")
			if got := clients[i].readResponse(); got != "served by m" {
				t.Error(got)
			}
		})
	}
	answered.Wait()
	for i := range more {
		next := newTestConn(dialGateway(t, g))
		_, _ = next.Write(pgwire.AppendStartup(nil, "portal", "crm"))
		if got := next.readResponse(); got != "" {
			t.Fatalf("client %d is told %s", atOnce+i+1, got)
		}
	}
	stop()
	<-ended
}
