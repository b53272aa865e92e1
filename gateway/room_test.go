package gateway

import (
	"sync"
	"testing"

	"magpieglade/internal/pgwire"
)

// TestIdleMemberConnectionsClosedForClients guards against clients that are rejected while idle connections to members hold
// the clients' part of the descriptors.
func TestIdleMemberConnectionsClosedForClients(t *testing.T) {
	t.Parallel()
	const concurrent, additional = 8, 8
	d, m := newScriptedServer(t), newScriptedServer(t)
	g, ended, stop := startTestGatewayWith(t, func(c *Config) { c.Limits.Sockets = 64 }, d, m.listEntry("m", "active"))
	d.accept(t).readCall(t)
	var clients, upstreams []*testConn
	for range concurrent { // each uses a member connection of its own, as the others await responses
		c := connectClient(t, g)
		c.sendTxn("any", 9000)
		upstream := m.accept(t)
		upstream.readStartup()
		upstream.sendReady()
		upstream.readQuery()
		clients, upstreams = append(clients, c), append(upstreams, upstream)
	}
	var answered sync.WaitGroup
	for i := range clients {
		answered.Go(func() {
			upstreams[i].sendRow("m", "read-only")
			if got := clients[i].readResponse(); got != "served by m" {
				t.Error(got)
			}
		})
	}
	answered.Wait()
	for i := range additional {
		next := newTestConn(dialGateway(t, g))
		_, _ = next.Write(pgwire.AppendStartup(nil, "portal", "crm"))
		if got := next.readResponse(); got != "" {
			t.Fatalf("client %d got %s", concurrent+i+1, got)
		}
	}
	stop()
	<-ended
}
