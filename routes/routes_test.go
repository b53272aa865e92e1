package routes

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func init() { _ = flag.Set("rapid.seed", "1") }

func testEnvironment() *Environment {
	return &Environment{Zones: []string{"a", "b"}, ClientDescriptors: 100,
		Types: []Type{{"any", 1e9, "repeatable", "eventual", 0, 0}, {"bounded", 1e9, "repeatable", "lag_bound", 0, 0},
			{"session", 1e9, "repeatable", "causal", 0, 0}, {"record", 2e9, "by_key", "mutate", 2e9, 0}, {"pay", 2e9, "once", "mutate", 0, 0}},
		Groups: map[int][]Host{0: {{"p0", "a", false, true}, {"r0", "b", false, false}}, 1: {{"p1", "a", false, true}}}}
}

// matches is a direct implementation of a route's conditions, as the reference for Lookup.
func matches(r *Route, x *Txn, types []Type) bool {
	one := func(list []string, word string) bool { return len(list) == 0 || slices.Contains(list, word) }
	if len(r.Types) > 0 && (x.Type < 0 || !slices.Contains(r.Types, types[x.Type].Name)) {
		return false
	}
	in := len(r.Networks) == 0 || slices.ContainsFunc(r.Networks, func(n netip.Prefix) bool { return n.Contains(x.Client) })
	return one(r.Users, x.User) && one(r.Databases, x.Database) && one(r.Tables, x.Table) && in
}

// A lookup returns the first route in the document that matches; a route is reported as never matching only if no txn
// reaches it.
func TestLookupReturnsFirstMatch(t *testing.T) {
	environment := testEnvironment()
	words := []string{"u1", "u2", "u3"}
	nets := []netip.Prefix{netip.MustParsePrefix("10.0.0.0/8"), netip.MustParsePrefix("10.1.0.0/16"), netip.MustParsePrefix("0.0.0.0/0")}
	clients := []netip.Addr{netip.MustParseAddr("10.0.0.1"), netip.MustParseAddr("10.1.2.3"), netip.MustParseAddr("192.0.2.1")}
	var all []Txn
	for txnType := -1; txnType < len(environment.Types); txnType++ {
		for _, u := range append(words, "other") {
			for _, d := range append(words, "other") {
				for _, c := range clients {
					all = append(all, Txn{Type: txnType, User: u, Database: d, Table: "t", Client: c})
				}
			}
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		d := &Document{}
		some := func(name string, from []string) []string {
			return rapid.SliceOfNDistinct(rapid.SampledFrom(from), 0, 2, rapid.ID).Draw(t, name)
		}
		for i := range rapid.IntRange(1, 6).Draw(t, "routes") {
			d.Routes = append(d.Routes, Route{Name: fmt.Sprint(i), Types: some("types", []string{"any", "session", "record"}),
				Users: some("users", words), Databases: some("databases", words), Tables: some("tables", []string{"t", "s"}),
				Networks: rapid.SliceOfNDistinct(rapid.SampledFrom(nets), 0, 2, rapid.ID).Draw(t, "nets")})
		}
		table, findings := Compile(d, environment)
		reportedUnreachable := map[string]bool{}
		for _, f := range findings {
			if !f.Warning {
				if !strings.Contains(f.Problem, "never matches") {
					t.Fatal(f)
				}
				reportedUnreachable[strings.Split(f.Problem, `"`)[1]] = true
			}
		}
		for i := range all {
			first := int32(-1)
			for n := range d.Routes {
				if matches(&d.Routes[n], &all[i], environment.Types) {
					first = int32(n)
					break
				}
			}
			if first >= 0 && reportedUnreachable[d.Routes[first].Name] {
				t.Fatalf("route %d is reported as never matching, but matches %+v", first, all[i])
			}
			if table != nil && table.Lookup(&all[i]).Route != first {
				t.Fatalf("%+v: got %+v, want route %d", all[i], table.Lookup(&all[i]), first)
			}
		}
	})
}

// Unsafe or meaningless documents are rejected with the location and a remedy; doubtful ones give a warning.
func Example_findings() {
	at := SourceLocation{"routes.hcl", 3, 1}
	tenant := Tenant{Name: "t", Weight: 1}
	net := func(s string) []netip.Prefix { return []netip.Prefix{netip.MustParsePrefix(s)} }
	for _, d := range []Document{
		{Routes: []Route{{Name: "r", At: at}}},
		{Routes: []Route{{At: at}}},
		{Routes: []Route{{Name: "r", At: at, Types: []string{"any"}}, {Name: "r", At: at}}},
		{Routes: []Route{{Name: "r", At: at, Types: []string{"none"}}}},
		{Routes: []Route{{Name: "r", At: at, RunAs: "none"}}},
		{Routes: []Route{{Name: "r", At: at, Types: []string{"session"}, RunAs: "any"}}},
		{Routes: []Route{{Name: "r", At: at, Types: []string{"any"}, RunAs: "session"}}},
		{Routes: []Route{{Name: "r", At: at, Types: []string{"pay"}, RunAs: "record"}}},
		{Routes: []Route{{Name: "r", At: at, Types: []string{"record"}, RunAs: "any"}}},
		{Routes: []Route{{Name: "r", At: at, Tenant: "x"}}},
		{Routes: []Route{{Name: "r", At: at, Zones: []string{"c"}}}},
		{Routes: []Route{{Name: "r", At: at, Groups: []int{7}}}},
		{Routes: []Route{{Name: "r", At: at, TargetLatency: 5, Expiry: 3}}},
		{Routes: []Route{{Name: "r", At: at, RetryRatio: 11}}},
		{Routes: []Route{{Name: "r", At: at, Networks: net("10.0.0.1/8")}}},
		{Routes: []Route{{Name: "a", At: at, Networks: net("10.0.0.0/8")}, {Name: "b", At: at, Networks: net("10.1.0.0/16"), Users: []string{"u"}}}},
		{Routes: []Route{{Name: "a", At: at, Users: []string{"u"}}, {Name: "b", At: at, Users: []string{"u", "v"}}}},
		{Tenants: []Tenant{{Name: "t", At: at, Weight: -1}}},
		{Tenants: []Tenant{tenant, tenant}},
		{Tenants: []Tenant{{Name: "t", At: at, Rate: 5}}},
		{Tenants: []Tenant{{Name: "t", At: at, MaxConnections: 101}}},
		{Tenants: []Tenant{{Name: "t", At: at}}, MaxInFlight: 10},
		{Tenants: []Tenant{tenant}},
		{Excluded: []Member{{"p1", at}}},
		{Drained: []Member{{"x", at}}},
		{Drained: []Member{{"p0", at}}},
		{Excluded: []Member{{"p0", at}}, Drained: []Member{{"r0", at}}, Routes: []Route{{Name: "r", At: at, Groups: []int{0}}}},
	} {
		table, findings := Compile(&d, testEnvironment())
		for _, f := range findings {
			fmt.Println(f.Error())
		}
		if len(findings) == 0 {
			fmt.Println("good", table != nil)
		}
	}
	// Output:
	// good true
	// routes.hcl:3:1: a route has no name: Add a name.
	// routes.hcl:3:1: duplicate route "r": Remove one of them.
	// routes.hcl:3:1: route "r": unknown txn type "none": The platform's settings name the txn types.
	// routes.hcl:3:1: route "r": unknown txn type "none" to run as: The platform's settings name the txn types.
	// routes.hcl:3:1: route "r": "session" needs stronger consistency than "any": Its reads could be stale.
	// good true
	// routes.hcl:3:1: route "r": "pay" is safe to retry in fewer cases than "record": It could take effect twice.
	// routes.hcl:3:1: route "r": "record" can't run as "any": A write can only run as a write, a read only as a read.
	// routes.hcl:3:1: route "r": unknown tenant "x": Add a tenant block for it.
	// routes.hcl:3:1: route "r": unknown zone "c": The platform's settings name the zones.
	// routes.hcl:3:1: warning: route "r": group 7 is not listed: It may be added later.
	// routes.hcl:3:1: route "r" is left without members: Name a group that has members.
	// routes.hcl:3:1: route "r": aim or expiry is out of range: Neither may be below 0, and the aim must not exceed the expiry.
	// routes.hcl:3:1: route "r": retries is out of range: It is a fraction of first submissions: 0.1 is one in ten.
	// routes.hcl:3:1: route "r": 10.0.0.1/8 is not an IPv4 network: Write it as 10.0.0.0/8, with no bits set after the prefix.
	// routes.hcl:3:1: route "b" never matches: "a" matches all of its txns: Move it before that route, or remove it.
	// routes.hcl:3:1: warning: route "b": 1 of its 2 combinations match earlier routes, such as "a": The first match applies.
	// routes.hcl:3:1: tenant "t": weight is out of range: It must be 0 or more; a tenant with 0 has no share of its own and only borrows.
	// routes.hcl:3:1: warning: tenant "t" has no route: Name it in a route, or remove it.
	// document: duplicate tenant "t": Remove one of them.
	// document: warning: tenant "t" has no route: Name it in a route, or remove it.
	// document: warning: tenant "t" has no route: Name it in a route, or remove it.
	// routes.hcl:3:1: tenant "t": burst is below 1: With a burst below 1 no txn is ever allowed.
	// routes.hcl:3:1: warning: tenant "t" has no route: Name it in a route, or remove it.
	// routes.hcl:3:1: tenant "t": more connections than available file descriptors: Clients may have 100 in total.
	// routes.hcl:3:1: warning: tenant "t" has no route: Name it in a route, or remove it.
	// routes.hcl:3:1: no tenant has a share of in_flight: Give at least one tenant a weight above 0.
	// routes.hcl:3:1: warning: tenant "t" has no route: Name it in a route, or remove it.
	// document: warning: tenant "t" has no route: Name it in a route, or remove it.
	// routes.hcl:3:1: group 1 is left without members: Keep at least one, or remove the group from the list.
	// routes.hcl:3:1: warning: member "x" is not listed: It may be added later; otherwise remove it here.
	// routes.hcl:3:1: group 0 is left without its primary "p0": no writes are possible: Switch to another primary first.
	// routes.hcl:3:1: group 0 is left without members: Keep at least one, or remove the group from the list.
	// routes.hcl:3:1: route "r" is left without members: Name a group that has members.
}

// Limits are never exceeded, unused shares are lent except for a reserve, and a tenant within its share and its own
// limit is rejected only while the gateway is full, so that it gets a slot as soon as any txn ends; all compared with a
// plain count.
func TestShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := &Table{MaxInFlight: rapid.IntRange(3, 60).Draw(t, "in flight")}
		for i := range rapid.IntRange(1, 4).Draw(t, "tenants") {
			table.Tenants = append(table.Tenants, Tenant{Name: fmt.Sprint(i), Weight: float64(rapid.IntRange(0, 5).Draw(t, "weight")),
				MaxInFlight: rapid.IntRange(0, 20).Draw(t, "most")})
		}
		table.Tenants[0].Weight++
		s := NewShares(table, 0)
		counts := make([]int, len(table.Tenants))
		total := 0
		tenant := rapid.IntRange(0, len(counts)-1)
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			n := int32(tenant.Draw(t, "tenant"))
			if rapid.IntRange(0, 2).Draw(t, "kind") == 0 {
				if counts[n] > 0 {
					s.End(n, 1)
					counts[n]--
					total--
				}
				continue
			}
			reason, _ := s.CanBegin(n, 1, 0)
			own := s.tenants[n].own
			limit := table.Tenants[n].MaxInFlight
			switch {
			case reason == Allowed:
				s.Begin(n, 1, 0)
				counts[n]++
				total++
				if total > table.MaxInFlight || limit > 0 && counts[n] > limit {
					t.Fatalf("limit exceeded: %v", counts)
				}
			case reason == ShareInUse && float64(counts[n]+1) <= own:
				t.Fatalf("rejected within its share: %v of %v", counts[n], own)
			case reason == GatewayFull && total < table.MaxInFlight, reason == TenantInFlight && (limit == 0 || counts[n] < limit):
				t.Fatalf("%v, though %d of %d are in flight", reason, total, table.MaxInFlight)
			}
			inFlight, _ := s.Usage(n)
			if inFlight != counts[n] {
				t.Fatal(inFlight, counts)
			}
		}
		reserved := 0.0
		for i := range s.tenants {
			reserved += s.tenants[i].reserve()
		}
		if diff := reserved - s.reserved; diff > 1e-6 || diff < -1e-6 {
			t.Fatalf("reserves %v, counted %v", reserved, s.reserved)
		}
	})
}

// One tenant floods the gateway: it gets the unused slots, and the other has its share within the duration of one txn.
func Example_tenantFlood() {
	table := &Table{MaxInFlight: 100, Tenants: []Tenant{{Name: "flood", Weight: 1}, {Name: "calm", Weight: 1}}}
	s := NewShares(table, 0)
	fill := func(tenant int32) (n int, reason RejectReason) {
		for {
			if reason, _ = s.CanBegin(tenant, 1, 0); reason != Allowed {
				return n, reason
			}
			s.Begin(tenant, 1, 0)
			n++
		}
	}
	fmt.Println(fill(0))
	fmt.Println(fill(1)) // the reserve, at once
	for range 45 {       // and the rest as the flooding tenant's txns end
		s.End(0, 1)
	}
	fmt.Println(fill(0))
	fmt.Println(fill(1))
	fmt.Println(s.Usage(0))
	// Output:
	// 95 the tenant's share is in use
	// 5 too many txns in flight
	// 0 the tenant's share is in use
	// 45 too many txns in flight
	// 50 50
}

// A rate limit allows a burst and then reports when to retry; a retry budget is a fraction of first submissions.
func Example_rateAndRetries() {
	table := &Table{Tenants: []Tenant{{Name: "t", Rate: 10, Burst: 2}}, Routes: []Route{{RetryRatio: 0.1}, {RetryRatio: -1}}}
	s := NewShares(table, 0)
	for _, now := range []int64{0, 0, 0, 50e6, 100e6} {
		reason, after := s.CanBegin(0, 1, now)
		if reason == Allowed {
			s.Begin(0, 1, now)
		}
		fmt.Println(reason, after/1e6)
	}
	r := NewRetryBudgets(table)
	countRetries := func() (n int) {
		for range 100 {
			if r.TryRetry(0, 1e9) {
				n++
			}
		}
		return n
	}
	fmt.Println(countRetries(), r.TryRetry(1, 0), r.TryRetry(-1, 0))
	for range 200 {
		r.RecordFirst(0, 1e9)
	}
	fmt.Println(countRetries())
	// Output:
	// free 0
	// free 0
	// the tenant's rate 100
	// the tenant's rate 50
	// free 0
	// 3 true true
	// 17
}

func BenchmarkLookup(b *testing.B) {
	for _, n := range []int{10, 1000, 100_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			rng := rand.New(rand.NewPCG(1, 1))
			d := &Document{}
			for i := range n {
				r := Route{Name: fmt.Sprint(i), Users: []string{fmt.Sprint("u", i)}}
				switch i % 3 {
				case 1:
					r.Types = []string{"any", "session"}
				case 2:
					r.Networks = []netip.Prefix{netip.PrefixFrom(netip.AddrFrom4([4]byte{10, byte(i >> 8), byte(i), 0}), 24)}
				}
				d.Routes = append(d.Routes, r)
			}
			table, findings := Compile(d, testEnvironment())
			if table == nil {
				b.Fatal(findings[0])
			}
			txns := make([]Txn, 1024)
			for i := range txns {
				txns[i] = Txn{Type: rng.IntN(5), User: fmt.Sprint("u", rng.IntN(n)), Client: netip.AddrFrom4([4]byte{10, byte(rng.IntN(256)), byte(rng.IntN(256)), 1})}
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				table.Lookup(&txns[i%1024])
				i++
			}
		})
	}
}

// Slots held for a tenant are its own whatever its weight: half of the unused ones are lent, and it gets all of them
// back as the borrowers' txns end; once none are held, shares follow the weights again.
func Example_heldSlots() {
	table := &Table{MaxInFlight: 20, Tenants: []Tenant{{Name: "tv", Weight: 1}, {Name: "others", Weight: 19}}}
	s := NewShares(table, 0)
	fill := func(tenant int32, limit int) (n int) {
		for reason, _ := s.CanBegin(tenant, 1, 0); reason == Allowed && n < limit; reason, _ = s.CanBegin(tenant, 1, 0) {
			s.Begin(tenant, 1, 0)
			n++
		}
		return n
	}
	fmt.Println("held:", s.HoldSlots(map[int32]int{0: 12}))
	fmt.Println("others begin", fill(1, 99), "while nobody else asks; the tenant", fill(0, 99), "at once")
	for range 6 {
		s.End(1, 1)
	}
	fmt.Println("as six end the tenant begins", fill(0, 99), "and others", fill(1, 99))
	fmt.Println("more than there is, held:", s.HoldSlots(map[int32]int{0: 30, 1: 10}))
	s.HoldSlots(nil)
	_, own := s.Usage(0)
	fmt.Println("by weight again:", own)
	// Output:
	// held: 12
	// others begin 14 while nobody else asks; the tenant 6 at once
	// as six end the tenant begins 6 and others 0
	// more than there is, held: 20
	// by weight again: 1
}
