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
	d, m := newScript(t), newScript(t)
	g, ended, stop := heldGatewayWith(t, func(c *Config) { c.Limits.Sockets = 64 }, d, m.host("m", "active"))
	d.next(t).call(t)
	var clients, busy []*end
	for range atOnce { // each on a connection of its own, as the others have no answer yet
		c := heldClient(t, g)
		c.ask("any", 9000)
		up := m.next(t)
		up.startup()
		up.ready()
		up.query()
		clients, busy = append(clients, c), append(busy, up)
	}
	var answered sync.WaitGroup
	for i := range clients {
		answered.Go(func() {
			busy[i].row("m", "read-only")
			if got := clients[i].answer(); got != "served by m" {
				t.Error(got)
			}
		})
	}
	answered.Wait()
	for i := range more {
		next := newEnd(dialled(t, g))
		_, _ = next.Write(pgwire.AppendStartup(nil, "portal", "crm"))
		if got := next.answer(); got != "" {
			t.Fatalf("client %d is told %s", atOnce+i+1, got)
		}
	}
	stop()
	<-ended
}
