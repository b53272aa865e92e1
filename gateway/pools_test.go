package gateway_test

import (
	"bytes"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"magpieglade/gateway"
	"magpieglade/routes"
	"magpieglade/standin"
)

// startZoned starts a gateway for a primary in zone a and one replica in each of the zones a and b.
func startZoned(t *testing.T, log *slog.Logger) (pool *standin.ClientPool, g0 *standin.Group, g *gateway.Gateway, list *standin.List, hosts []standin.Host) {
	g0, members := newGroup(0, 2)
	for _, m := range members {
		hosts = append(hosts, m.ListEntry("active"))
	}
	hosts[2].Site = "b"
	address, g, list := runInProcessWith(t, func(c *gateway.Config) {
		c.Log = log
		c.Settings = bytes.Replace(c.Settings, []byte(`"zones":["a"]`), []byte(`"zones":["a","b"]`), 1)
	}, members...)
	list.SetHosts(hosts...)
	list.AwaitDelivered()
	return standin.NewClientPool(address), g0, g, list, hosts
}

// TestPools checks that reads of a route with a pool of zones go there, even if members elsewhere are nearer, and that they
// go to other members once none in the pool may be used. A route that does not include a group rejects requests for it.
func TestPools(t *testing.T) {
	pool, g0, g, list, hosts := startZoned(t, slog.New(slog.DiscardHandler))
	c := pool.NewClient("d001", standin.TxnTypes{Read: "any", Write: "keyed"})
	defer c.Close()
	reads := func(n int) (at map[string]int) {
		at = map[string]int{}
		from := len(g0.Events())
		for range n {
			if a := c.Read(0); a.Code != "" || a.Err != nil {
				t.Fatal(a)
			}
		}
		for _, e := range g0.Events()[from:] {
			if e.Kind == "read" {
				at[e.Member]++
			}
		}
		return at
	}
	applyAndAwait(t, g, &routes.Document{Routes: []routes.Route{{Name: "far", Types: []string{"any"}, Zones: []string{"b"}, RetryRatio: -1}}}, 0)
	pollUntil(func() bool { return reads(1)["r2"] == 1 }) // the list was delivered, but nothing signals when the gateway has applied it
	if at := reads(30); at["r2"] != 30 {
		t.Fatal("reads leave their pool", at)
	}
	applyAndAwait(t, g, &routes.Document{Routes: []routes.Route{{Name: "near", Types: []string{"any"}, Zones: []string{"a"}, RetryRatio: -1}}}, 0)
	if at := reads(30); at["r2"] != 0 {
		t.Fatal("reads leave their pool", at)
	}
	applyAndAwait(t, g, &routes.Document{Routes: []routes.Route{{Name: "far", Types: []string{"any"}, Zones: []string{"b"}, RetryRatio: -1}}}, 0)
	hosts[2].Health = "leaving"
	list.SetHosts(append(hosts, standin.NewGroup(5).NewMember("q", true).ListEntry("active"))...)
	list.AwaitDelivered()
	pollUntil(func() bool { return reads(1)["r2"] == 0 })
	if at := reads(30); at["r2"] != 0 {
		t.Fatal("reads go to a draining member of their pool", at)
	}
	applyAndAwait(t, g, &routes.Document{Routes: []routes.Route{{Name: "other", Groups: []int{5}, RetryRatio: -1}}}, 0)
	if a := c.Read(0); a.Code == "" {
		t.Fatal("a route serves a group that is not in its pool")
	}
}

// TestConnectionsAndLog checks that a tenant's connections are counted by the names that clients send at startup, also over
// configuration changes: one above the limit is refused, existing ones stay, and one that closes frees a slot. The log level
// follows the generation.
func TestConnectionsAndLog(t *testing.T) {
	log, lines := captureLog()
	pool, _, g, _, _ := startZoned(t, log)
	withLimit := func(n int, level string) *routes.Document {
		return &routes.Document{LogLevel: level, Tenants: []routes.Tenant{{Name: "t", Weight: 1, MaxConnections: n}},
			Routes: []routes.Route{{Name: "all", Users: []string{"portal"}, Tenant: "t", RetryRatio: -1}}}
	}
	var clients []*standin.Client
	connectAndRead := func() string {
		c := pool.NewClient(fmt.Sprintf("%08x", 0xe00+len(clients)), standin.TxnTypes{Read: "any", Write: "keyed"})
		clients = append(clients, c)
		t.Cleanup(c.Close)
		if a := c.Read(0); a.Err != nil {
			return "refused"
		}
		return "served"
	}
	results := []string{connectAndRead(), connectAndRead()}
	applyAndAwait(t, g, withLimit(3, "warn"), 0)
	results = append(results, connectAndRead(), connectAndRead())
	applyAndAwait(t, g, withLimit(2, "warn"), 0)
	results = append(results, clients[0].Read(0).String(), connectAndRead())
	clients[0].Close()
	clients[1].Close()
	pollUntil(func() bool { return connectAndRead() == "served" })
	applyAndAwait(t, g, withLimit(100, ""), time.Hour)
	if s := fmt.Sprint(results); s != "[served served served refused served  refused]" {
		t.Fatal(s)
	}
	for { // the first two generations log only warnings; the third one is logged
		select {
		case l := <-lines:
			if bytes.Contains([]byte(l), []byte("generation 3: applied")) {
				return
			} else if bytes.Contains([]byte(l), []byte("generation 2")) {
				t.Fatal(l)
			}
		case <-time.After(eventTimeout):
			t.Fatal("the change is not logged")
		}
	}
}
