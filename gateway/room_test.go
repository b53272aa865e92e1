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
	d, m := newScript(t), newScript(t)
	g, ended, stop := heldGatewayWith(t, func(c *Config) { c.Limits.Sockets = 64 }, d, m.host("m", "active"))
	d.next(t).call(t)
	var clients, upstreams []*end
	for range concurrent { // each uses a member connection of its own, as the others await responses
		c := heldClient(t, g)
		c.ask("any", 9000)
		upstream := m.next(t)
		upstream.startup()
		upstream.ready()
		upstream.query()
		clients, upstreams = append(clients, c), append(upstreams, upstream)
	}
	var answered sync.WaitGroup
	for i := range clients {
		answered.Go(func() {
			upstreams[i].row("m", "read-only")
			if got := clients[i].answer(); got != "served by m" {
				t.Error(got)
			}
		})
	}
	answered.Wait()
	for i := range additional {
		next := newEnd(dialled(t, g))
		_, _ = next.Write(pgwire.AppendStartup(nil, "portal", "crm"))
		if got := next.answer(); got != "" {
			t.Fatalf("client %d got %s", concurrent+i+1, got)
		}
	}
	stop()
	<-ended
}
