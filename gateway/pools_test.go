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

// zoned starts a gateway before a primary in zone a and a replica in each of a and b.
func zoned(t *testing.T, log *slog.Logger) (front *standin.ClientPool, g0 *standin.Group, g *gateway.Gateway, list *standin.List, hosts []standin.Host) {
	g0, members := group(0, 2)
	for _, m := range members {
		hosts = append(hosts, m.ListEntry("active"))
	}
	hosts[2].Site = "b"
	address, g, list := embeddedWith(t, func(c *gateway.Config) {
		c.Log = log
		c.Settings = bytes.Replace(c.Settings, []byte(`"zones":["a"]`), []byte(`"zones":["a","b"]`), 1)
	}, members...)
	list.SetHosts(hosts...)
	list.AwaitDelivered()
	return standin.NewClientPool(address), g0, g, list, hosts
}

// Reads of a route with a pool of zones go there, also where members elsewhere are nearer; once none there may get
// anything, they go where they can. A route that does not go to a group turns away what names it.
func TestPools(t *testing.T) {
	front, g0, g, list, hosts := zoned(t, slog.New(slog.DiscardHandler))
	c := front.NewClient("d001", standin.TxnTypes{Read: "any", Write: "keyed"})
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
	until(func() bool { return reads(1)["r2"] == 1 }) // the list has been told; nothing tells when the gateway has read it
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
	until(func() bool { return reads(1)["r2"] == 0 })
	if at := reads(30); at["r2"] != 0 {
		t.Fatal("a pool goes before a drain", at)
	}
	applyAndAwait(t, g, &routes.Document{Routes: []routes.Route{{Name: "other", Groups: []int{5}, RetryRatio: -1}}}, 0)
	if a := c.Read(0); a.Code == "" {
		t.Fatal("a route goes to a group that is not of its pool")
	}
}

// A tenant's connections are counted by what clients say of themselves, over changes too: one too many is refused, who is
// there stays, and one that goes makes room. What is logged follows the generation.
func TestConnectionsAndLog(t *testing.T) {
	log, lines := logLines()
	front, _, g, _, _ := zoned(t, log)
	bound := func(n int, level string) *routes.Document {
		return &routes.Document{LogLevel: level, Tenants: []routes.Tenant{{Name: "t", Weight: 1, MaxConnections: n}},
			Routes: []routes.Route{{Name: "all", Users: []string{"portal"}, Tenant: "t", RetryRatio: -1}}}
	}
	var all []*standin.Client
	ask := func() string {
		c := front.NewClient(fmt.Sprintf("%08x", 0xe00+len(all)), standin.TxnTypes{Read: "any", Write: "keyed"})
		all = append(all, c)
		t.Cleanup(c.Close)
		if a := c.Read(0); a.Err != nil {
			return "refused"
		}
		return "served"
	}
	got := []string{ask(), ask()}
	applyAndAwait(t, g, bound(3, "warn"), 0)
	got = append(got, ask(), ask())
	applyAndAwait(t, g, bound(2, "warn"), 0)
	got = append(got, all[0].Read(0).String(), ask())
	all[0].Close()
	all[1].Close()
	until(func() bool { return ask() == "served" })
	applyAndAwait(t, g, bound(100, ""), time.Hour)
	if s := fmt.Sprint(got); s != "[served served served refused served  refused]" {
		t.Fatal(s)
	}
	for { // two changes are kept without a word, the third is told
		select {
		case l := <-lines:
			if bytes.Contains([]byte(l), []byte("generation 3: applied")) {
				return
			} else if bytes.Contains([]byte(l), []byte("generation 2")) {
				t.Fatal(l)
			}
		case <-time.After(soon):
			t.Fatal("the change is not logged")
		}
	}
}
