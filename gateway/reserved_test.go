package gateway_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"magpieglade/standin"
)

// userLoad is the load of one user's clients at one gateway, each of which sends one read after another.
type userLoad struct {
	stop                     chan struct{}
	wg                       sync.WaitGroup
	served, declined, failed atomic.Int64
}

func (u *agreementFleet) startUserLoad(user string, gateway, n int) *userLoad {
	g := &userLoad{stop: make(chan struct{})}
	for i := range n {
		g.wg.Add(1)
		go func() {
			defer g.wg.Done()
			c := u.front.NewClient(fmt.Sprintf("%08x", 0xd0000+gateway*1000+len(user)*100+i), standin.TxnTypes{Read: "any", Write: "keyed"})
			c.User = user
			defer c.Close()
			for {
				select {
				case <-g.stop:
					return
				default:
				}
				switch a := c.Read(gateway); {
				case a.Err == nil && a.Code == "":
					g.served.Add(1)
				case a.Code == "53300":
					g.declined.Add(1)
					time.Sleep(2 * time.Millisecond)
				default:
					g.failed.Add(1)
					time.Sleep(2 * time.Millisecond)
				}
			}
		}()
	}
	return g
}

func (g *userLoad) end() (served, declined int64) {
	close(g.stop)
	g.wg.Wait()
	return g.served.Load(), g.declined.Load()
}

// In an open window the statement of a voter adds up to what the clients of all gateways received and to what the stand-ins
// served, also after a gateway that is no voter was killed shortly after its last report and all voters were killed one after
// another.
func TestUsageCountsAddUp(t *testing.T) {
	u := newAgreementFleet(t, 5, 3)
	rules := "in_flight = 20\nroute \"tv\" {\n  users  = [\"tv\"]\n  tenant = \"tv\"\n}\ntenant \"tv\" {}\ntenant \"others\" {}\n"
	if said := u.apply(3, rules); !strings.Contains(said, "version 1 is agreed on") {
		t.Fatal(said)
	}
	u.awaitVersion(1, 0, 1, 2, 3, 4)
	path := filepath.Join(u.dir, "now.hcl")
	must(os.WriteFile(path, []byte(fmt.Sprintf("capacity {\n  group \"0\" {\n    reads = 1000\n    writes = 40\n  }\n}\ncontract \"now\" {\n  tenant = \"tv\"\n  reads = 500\n  in_flight = 12\n  window {\n    zone = \"UTC\"\n    start = %q\n    length = \"2h\"\n  }\n}\n",
		time.Now().UTC().Add(-30*time.Minute).Format("2006-01-02 15:04"))), 0o600))
	for _, w := range [][]string{{"capacity", path}, {"draft", path}, {"quote", "now"}, {"book", "now"}} {
		if said := u.command(4, append([]string{"contracts"}, w...)...); strings.Contains(said, "exit status") {
			t.Fatal(w, said)
		}
	}
	for i := range u.gateways {
		u.await("slots are reserved", func() bool { return strings.Contains(u.command(i, "contracts", "list"), "held here now: 12") })
	}
	reads := len(u.readTimes())
	requested, served := int64(0), int64(0)
	for range 2 {
		var all []*userLoad
		for i := range u.gateways {
			all = append(all, u.startUserLoad("tv", i, 15)) // three more than the reserved slots
		}
		time.Sleep(time.Second)
		for _, g := range all {
			n, declined := g.end()
			served, requested = served+n, requested+n+declined
			if g.failed.Load() > 0 {
				t.Fatal("failed reads: ", g.failed.Load())
			}
		}
	}
	if n := int64(len(u.readTimes()) - reads); n < served {
		t.Fatalf("%d reads at the stand-ins, %d served at the clients", n, served)
	}
	stated := func(i int) (got, inTime int64) {
		for _, line := range strings.Split(u.command(i, "contracts", "statement", "now", "--csv"), "\n") {
			if f := strings.Split(line, ","); len(f) > 6 && f[0] == "now" {
				var a, b int64
				_, _ = fmt.Sscan(f[5]+" "+f[6], &a, &b)
				got, inTime = got+a, inTime+b
			}
		}
		return got, inTime
	}
	checkCounts := func(what string, gateways ...int) {
		t.Helper()
		for _, i := range gateways {
			u.await(what, func() bool { got, _ := stated(i); return got == requested })
			if got, inTime := stated(i); inTime > served || got > requested {
				t.Fatal(what, got, inTime, requested, served)
			}
		}
	}
	checkCounts("every txn is counted once", 0, 1, 2)
	t.Logf("%d requested, %d served, as stated by each voter", requested, served)
	if said := u.command(4, "contracts", "usage"); !strings.Contains(said, "this gateway alone") {
		t.Fatal(said)
	}
	page := filepath.Join(u.dir, "page.html")
	u.command(0, "contracts", "statement", "now", "--html", page)
	if text, err := os.ReadFile(page); err != nil || !strings.Contains(string(text), "<h1>now: what was kept</h1>") {
		t.Fatal(err, string(text))
	}
	if said := u.command(0, "metrics"); !strings.Contains(said, fmt.Sprintf("magpieglade_contract_txns{contract=\"now\",outcome=\"asked\"} %d", requested)) {
		t.Fatal(said)
	}
	u.gateways[4].kill()
	u.gateways[4].start()
	for _, i := range []int{0, 1, 2} {
		u.gateways[i].kill()
		u.gateways[i].start()
		u.awaitFor(2*eventTimeout, "the other voters have sent their counts", func() bool { got, _ := stated(i); return got == requested })
	}
	checkCounts("no count is lost or doubled", 0, 1, 2)
}

// There is capacity for one of two contracts: both are booked concurrently at two gateways, and one succeeds. Its tenant's
// clients are served through any gateway beside a flood by others, also while the leader is killed; a partitioned gateway keeps
// the slots reserved. After all gateways were killed the book is unchanged.
func TestContracts(t *testing.T) {
	t.Parallel()
	u := newAgreementFleet(t, 5, 3)
	all := []int{0, 1, 2, 3, 4}
	for _, m := range u.members {
		m.SetDelay(20 * time.Millisecond)
	}
	rules := "in_flight = 20\nroute \"tv\" {\n  users  = [\"tv\"]\n  tenant = \"tv\"\n}\nroute \"rest\" {\n  tenant = \"others\"\n}\ntenant \"tv\" {\n  weight = 1\n}\ntenant \"others\" {\n  weight = 19\n}\n"
	if said := u.apply(3, rules); !strings.Contains(said, "version 1 is agreed on") {
		t.Fatal(said)
	}
	u.awaitVersion(1, all...)
	start := time.Now().UTC().Add(90 * time.Second).Truncate(time.Minute)
	path := filepath.Join(u.dir, "peak.hcl")
	text := "capacity {\n  floor = 0.2\n  group \"0\" {\n    reads  = 100\n    writes = 40\n  }\n}\n"
	for _, name := range []string{"final", "gala"} {
		text += fmt.Sprintf("contract %q {\n  tenant = \"tv\"\n  reads = 50\n  in_flight = 12\n  ramp = \"2h\"\n  price = \"120.50\"\n  window {\n    zone = \"UTC\"\n    start = %q\n    length = \"1h\"\n  }\n}\n", name, start.Format("2006-01-02 15:04"))
	}
	must(os.WriteFile(path, []byte(text), 0o600))
	for _, w := range [][]string{{"capacity", path}, {"draft", path}, {"quote", "final"}, {"quote", "gala"}} {
		if said := u.command(4, append([]string{"contracts"}, w...)...); strings.Contains(said, "exit status") {
			t.Fatal(w, said)
		}
	}
	// Before the booking: beside a flood the tenant has its weight of 1 in 20.
	startFloods := func() (all []*userLoad) {
		for i := range u.gateways {
			all = append(all, u.startUserLoad("portal", i, 40))
		}
		return all
	}
	measureRate := func(gateway int, duration time.Duration) (float64, int64) {
		g := u.startUserLoad("tv", gateway, 10)
		time.Sleep(duration)
		n, declined := g.end()
		return float64(n) / duration.Seconds(), declined
	}
	aloneRate, _ := measureRate(0, time.Second)
	flood := startFloods()
	time.Sleep(300 * time.Millisecond)
	rateBefore, _ := measureRate(0, time.Second)

	// Two operators book concurrently.
	said := make([]string, 2)
	var wg sync.WaitGroup
	for i, name := range []string{"final", "gala"} {
		wg.Add(1)
		go func() {
			defer wg.Done()
			said[i] = u.command(3+i, "contracts", "book", name)
		}()
	}
	wg.Wait()
	if strings.Contains(said[0], "is booked") == strings.Contains(said[1], "is booked") || !strings.Contains(said[0]+said[1], "group 0 lacks 20 reads a second") {
		t.Fatalf("two booked the last capacity: %s / %s", said[0], said[1])
	}
	for _, i := range all {
		u.await("slots are reserved at each gateway", func() bool {
			return strings.Contains(u.command(i, "contracts", "list"), "held here now: 12 in flight for tv")
		})
	}
	time.Sleep(300 * time.Millisecond) // txns that used the now reserved slots have ended
	rateBooked, declined := measureRate(1, time.Second)
	t.Logf("ten clients: %.0f txns a second alone, %.0f beside the flood before, %.0f after; %d declined", aloneRate, rateBefore, rateBooked, declined)
	if rateBooked < 0.6*aloneRate || rateBefore > 0.5*rateBooked {
		t.Fatal(aloneRate, rateBefore, rateBooked)
	}

	// One gateway is partitioned, the others go on; the leader is killed at the same time.
	leader := u.leader(0, 1, 2)
	u.gateways[leader].kill()
	partitioned := 4
	u.network.Isolate(partitioned, true)
	time.Sleep(4 * time.Second) // longer than its lease
	rateAfter, _ := measureRate(3, time.Second)
	t.Logf("through another gateway with the leader killed: %.0f", rateAfter)
	if rateAfter < 0.4*aloneRate {
		t.Fatal(rateAfter, aloneRate)
	}
	if said := u.command(partitioned, "contracts", "list"); !strings.Contains(said, "held here now: 12 in flight for tv") {
		t.Fatal("a partitioned gateway has no reserved slots: ", said)
	}
	u.network.Isolate(partitioned, false)
	for _, f := range flood {
		f.end()
	}
	u.gateways[leader].start()

	// All gateways are killed and started again.
	u.awaitFor(2*eventTimeout, "all may act", func() bool {
		for _, i := range all {
			if !strings.Contains(u.command(i, "fleet", "status"), "may act") {
				return false
			}
		}
		return true
	})
	book := u.command(0, "contracts", "history", "final") + u.command(0, "contracts", "history", "gala")
	for _, p := range u.gateways {
		p.kill()
	}
	for _, p := range u.gateways {
		p.start()
	}
	for _, i := range all {
		u.awaitFor(2*eventTimeout, "the book is unchanged", func() bool {
			return u.command(i, "contracts", "history", "final")+u.command(i, "contracts", "history", "gala") == book && strings.Contains(u.command(i, "contracts", "list"), "held here now: 12 in flight for tv")
		})
	}
	// A member is removed: a contract that the others can't fulfil is reported, and stays booked.
	var hosts []standin.Host
	for _, m := range u.members[:2] {
		hosts = append(hosts, m.ListEntry("active"))
	}
	u.list.SetHosts(hosts...)
	for _, p := range u.gateways {
		p.awaitLog("contracts: at risk")
	}
	if said := u.command(1, "contracts", "list"); !strings.Contains(said, "at risk from") || !strings.Contains(said, "group 0 lacks 50 reads a second") {
		t.Fatal(said)
	}
	// After the cancellation no slots are reserved.
	booked := "final"
	if strings.Contains(said[1], "is booked") {
		booked = "gala"
	}
	u.awaitFor(2*eventTimeout, "it is cancelled", func() bool { return strings.Contains(u.command(2, "contracts", "cancel", booked), "is cancelled") })
	for _, i := range all {
		u.await("no slots are reserved", func() bool { return !strings.Contains(u.command(i, "contracts", "list"), "held here now") })
	}
}
