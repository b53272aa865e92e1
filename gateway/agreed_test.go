package gateway_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"magpieglade/standin"
)

// agreeing is an operator's file for gateways that agree on one version; the wire stands between them.
const agreeing = `
control = "%DIR%.sock"
agreement {
  listen  = "%LISTEN%"
  address = "%ADDRESS%"
  ask     = %VOTERS%
  folder  = "%DIR%"
  key "1" { file = "key" }
}
`

// union is a fleet that agrees, with the network between its gateways.
type union struct {
	*fleet
	wire    *standin.Network
	voters  int
	t       testing.TB
	members []*standin.Member
	group   *standin.Group
}

func newUnion(t testing.TB, n, voters int) *union { return newUnionOf(t, n, voters, agreeing) }

func newUnionOf(t testing.TB, n, voters int, operator string) *union {
	return newUnlikeUnion(t, n, voters, operator, nil)
}

func newUnlikeUnion(t testing.TB, n, voters int, operator string, skews func(*process)) *union {
	g, members := newGroup(0, 2)
	return newUnionBefore(t, n, voters, operator, skews, g, members)
}

func newUnionBefore(t testing.TB, n, voters int, operator string, skews func(*process), g *standin.Group, members []*standin.Member) *union {
	u := &union{wire: standin.NewNetwork(1), voters: voters, t: t, members: members, group: g}
	u.fleet = newFleet(0, operator, members...)
	u.fleet.customize = skews
	u.addresses = map[int]string{}
	u.fleet.advertised = func(p *process) string {
		if u.addresses[p.index] == "" {
			u.addresses[p.index] = u.wire.Join(p.peer)
		}
		return u.addresses[p.index]
	}
	u.fleet.add(n)
	t.Cleanup(func() {
		if t.Failed() { // one that hangs tells where
			for _, p := range u.gateways {
				if p.cmd != nil {
					_ = p.cmd.Process.Signal(syscall.SIGQUIT)
				}
			}
			time.Sleep(time.Second)
		}
		u.stop()
		u.wire.Close()
		if t.Failed() {
			for _, p := range u.gateways {
				p.readLog()
				t.Logf("gateway %d:\n%s", p.index, strings.Join(p.lines, "\n"))
			}
		}
	})
	u.said(0, "fleet", "found")
	u.await("all have joined", func() bool { return strings.Count(u.said(0, "fleet", "status"), "127.0.0.5") == n })
	for i := 1; i < voters; i++ {
		u.said(0, "fleet", "voters", "--add", fmt.Sprint("n", i))
	}
	for i := range u.gateways {
		u.await("it may act", func() bool { return strings.Contains(u.said(i, "fleet", "status"), "may act") })
	}
	u.await("all vote", func() bool { return strings.Count(u.said(0, "fleet", "status"), "true") == voters })
	return u
}

func (u *union) said(gateway int, args ...string) string {
	return command(append(args, "--control", filepath.Join(u.dir, fmt.Sprintf("ledger%d.sock", gateway)))...)
}

func (u *union) await(what string, f func() bool) {
	u.t.Helper()
	u.awaitFor(eventTimeout, what, f)
}

// awaitFor is for what takes an election, another keeper and its quiet.
func (u *union) awaitFor(span time.Duration, what string, f func() bool) {
	u.t.Helper()
	for began := time.Now(); !f(); time.Sleep(20 * time.Millisecond) {
		if time.Since(began) > span {
			u.t.Fatal("not in time: ", what)
		}
	}
}

// apply has a gateway ask for a change; it gives what the command said.
func (u *union) apply(gateway int, text string) string {
	path := filepath.Join(u.dir, fmt.Sprintf("change%d.hcl", gateway))
	must(os.WriteFile(path, []byte(text), 0o600))
	return u.said(gateway, "config", "apply", "--why", "a test", path)
}

// holds waits until some gateways act on a version.
func (u *union) holds(version int, gateways ...int) {
	u.t.Helper()
	for _, i := range gateways {
		u.await(fmt.Sprintf("gateway %d acts on version %d", i, version), func() bool {
			said := u.said(i, "fleet", "status")
			return strings.Contains(said, fmt.Sprintf("routes: version %d (", version)) && !strings.Contains(said, "next version") && !strings.Contains(said, "tries version") && strings.Contains(said, "may act")
		})
	}
}

// halt stops a process as it stands, and waits until all of its threads do.
func (p *process) halt() {
	must(p.cmd.Process.Signal(syscall.SIGSTOP))
	pollUntil(func() bool {
		tasks, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.cmd.Process.Pid))
		must(err)
		for _, x := range tasks {
			text, err := os.ReadFile(x)
			if _, after, ok := strings.Cut(string(text), ") "); err == nil && ok && after[0] != 'T' {
				return false
			}
		}
		return len(tasks) > 0
	})
}

// leader is who leads as a voter knows it.
func (u *union) leader(asked ...int) int {
	u.t.Helper()
	at := -1
	u.await("somebody leads", func() bool {
		for _, i := range asked {
			var name string
			said := u.said(i, "fleet", "status")
			if _, after, ok := strings.Cut(said, "votes; "); ok {
				if n, _ := fmt.Sscanf(after, "%s leads", &name); n == 1 && strings.HasPrefix(name, "n") {
					if k, _ := fmt.Sscanf(name, "n%d", &at); k == 1 {
						return true
					}
				}
			}
		}
		return false
	})
	return at
}

// moves is a change that the others contradict: reads are run as another tenant's, which may have none.
func moves(n int) string {
	return fmt.Sprintf("route \"moved\" {\n  types  = [\"any\"]\n  tenant = \"t%d\"\n}\ntenant \"t%d\" {\n  in_flight = 50\n}\n", n, n)
}

// load asks all gateways for reads and writes until it is ended, and tells what was not right.
type load struct {
	stop           chan struct{}
	wg             sync.WaitGroup
	served, others atomic.Int64
	declined       atomic.Int64
	mu             sync.Mutex
	wrong          map[string]int
}

func (u *union) load() *load {
	l := &load{stop: make(chan struct{}), wrong: map[string]int{}}
	for i := range u.gateways {
		for _, class := range []string{"any", "session"} {
			l.wg.Add(1)
			go func() {
				defer l.wg.Done()
				c := u.front.NewClient(fmt.Sprintf("%08x", 0xe00+i), standin.TxnTypes{Read: class, Write: "keyed"})
				defer c.Close()
				for n := 0; ; n++ {
					select {
					case <-l.stop:
						return
					case <-time.After(5 * time.Millisecond):
					}
					a := c.Read(i)
					switch {
					case a.Err == nil && a.Code == "":
						l.served.Add(1)
					case a.Code == "53300":
						l.declined.Add(1)
					case a.Err != nil:
						l.others.Add(1) // its gateway was killed or stopped
					default:
						l.mu.Lock()
						l.wrong[a.String()]++
						l.mu.Unlock()
					}
				}
			}()
		}
	}
	return l
}

func (l *load) end(t testing.TB) {
	t.Helper()
	close(l.stop)
	l.wg.Wait()
	t.Logf("%d served, %d declined, %d without an answer", l.served.Load(), l.declined.Load(), l.others.Load())
	if len(l.wrong) > 0 || l.served.Load() == 0 {
		t.Fatalf("%d served, %v", l.served.Load(), l.wrong)
	}
}

// A fleet of five, three of which vote, under load and a network that loses and repeats, while what can fail fails: after
// each there is one history, and the next change comes in force at all that can be reached.
func TestAgreedUnderFaults(t *testing.T) {
	t.Parallel() // it waits for events nearly all of its time
	u := newUnion(t, 5, 3)
	l := u.load()
	u.wire.SetFaults(0.05, 0.05, 5*time.Millisecond)
	all := []int{0, 1, 2, 3, 4}
	want := func(gateway, version int) {
		t.Helper()
		if said := u.apply(gateway, moves(version)); !strings.Contains(said, fmt.Sprintf("version %d is agreed on", version)) {
			t.Fatalf("version %d: %s", version, said)
		}
	}
	want(4, 1)
	u.holds(1, all...)

	// One is stopped, as somebody is in any fleet: it holds nobody up. A txn that waits at it while the others move its
	// tenant is not served by former rules when it goes on, not even as the first thing that it does.
	c := u.front.NewClient("ca00", standin.TxnTypes{Read: "any", Write: "keyed"})
	c.Timeout = 30 * time.Second
	if a := c.Read(4); a.Code != "" || a.Err != nil {
		t.Fatal(a)
	}
	u.gateways[4].halt()
	waited := make(chan standin.Response, 1)
	go func() { waited <- c.Read(4) }()
	for v := 2; v <= 4; v++ {
		want(v%4, v)
		u.holds(v, 0, 1, 2, 3)
	}
	must(u.gateways[4].cmd.Process.Signal(syscall.SIGCONT))
	if a := <-waited; a.Code != "53300" {
		t.Fatalf("a gateway that stood still served by former rules: %v", a)
	}
	c.Close()
	u.holds(4, 4)

	// The leader is killed with a change half-way: another one goes on with it.
	at := u.leader(0, 1, 2)
	want(3, 5)
	u.gateways[at].kill()
	others := []int{}
	for _, i := range all {
		if i != at {
			others = append(others, i)
		}
	}
	u.holds(5, others...)
	u.gateways[at].start()
	u.holds(5, at)

	// Cut off from the others but not from its clients: it is careful, and takes what holds when it is back.
	c = u.front.NewClient("ca01", standin.TxnTypes{Read: "any", Write: "keyed"})
	last, ended := time.Now(), make(chan struct{})
	u.wire.Isolate(3, true)
	go func() { // until it declines what a change may have moved
		defer close(ended)
		for a := c.Read(3); a.Code == "" && a.Err == nil; a = c.Read(3) {
			last = time.Now()
		}
	}()
	want(0, 6)
	agreed := time.Now()
	u.holds(6, 0, 1, 2, 4)
	<-ended
	if d := last.Sub(agreed); d > 3*time.Second {
		t.Fatalf("acted on a former version for %v", d)
	} else {
		t.Logf("a gateway that was cut off acted on the former version for %v, 3s are stated", max(0, d))
	}
	u.await("it is careful", func() bool { return strings.Contains(u.said(3, "fleet", "status"), "careful") })
	if a := c.Read(3); a.Code != "53300" || a.RetryAfter == "" {
		t.Fatalf("a txn that the versions do not share, at a gateway that can't renew: %v", a)
	}
	c.Types.Read = "session"
	if a := c.Read(3); a.Code != "" || a.Err != nil {
		t.Fatalf("a txn of the ordinary path, at a gateway that can't renew: %v", a)
	}
	c.Close()
	if said := u.said(3, "metrics"); !strings.Contains(said, "magpieglade_fleet_version_in_force 5") || strings.Contains(said, "txns_unagreed_total 0") ||
		!strings.Contains(said, "magpieglade_fleet_lease_left_seconds -") {
		t.Fatal(said)
	}
	u.wire.Isolate(3, false)
	u.holds(6, all...)

	// Two operators at once: one wins, the other is told by whom.
	said := make(chan string, 2)
	for i := range 2 {
		go func() { said <- u.apply(3+i, moves(70+i)) }()
	}
	first, second := <-said, <-said
	if strings.Contains(first, "agreed on") == strings.Contains(second, "agreed on") || !strings.Contains(first+second, "put version 7") {
		t.Fatalf("two operators: %s / %s", first, second)
	}
	u.holds(7, all...)

	// All that vote are killed and started again.
	for i := range 3 {
		u.gateways[i].kill()
	}
	for i := range 3 {
		u.gateways[i].start()
	}
	u.holds(7, all...)
	want(2, 8)
	u.holds(8, all...)

	// A voter that lost its disk comes back as another gateway, and votes once it is let.
	u.gateways[1].kill()
	must(os.RemoveAll(filepath.Join(u.dir, "ledger1")))
	u.gateways[1].start()
	u.holds(8, 1)
	u.await("two vote", func() bool { return strings.Count(u.said(0, "fleet", "status"), "true") == 2 })
	u.said(0, "fleet", "voters", "--add", "n1")
	u.await("three vote", func() bool { return strings.Contains(u.said(1, "fleet", "status"), "votes; n") })

	// A voter that hears all and is heard by none: the others go on without it, another one leads if it did.
	for i := range all {
		u.wire.Block(2, i, true)
	}
	u.await("version 9 is agreed on", func() bool { return strings.Contains(u.apply(3, moves(9)), "version 9 is agreed on") })
	u.holds(9, 0, 1, 3, 4)
	for i := range all {
		u.wire.Block(2, i, false)
	}
	u.holds(9, all...)
	u.wire.SetFaults(0, 0, 0)
	l.end(t)
	u.await("one history", func() bool { // once the log has reached all that vote
		history := u.said(0, "config", "history")
		return history == u.said(1, "config", "history") && history == u.said(2, "config", "history")
	})
}

// What one gateway's health speaks against, or an operator undoes, is undone by all: its former text is the next version.
func TestWorseVersionIsUndoneByAll(t *testing.T) {
	u := newUnion(t, 3, 1)
	l := u.load()
	defer l.end(t)
	for i := range u.gateways { // each has a time before that it judges by
		u.await("health is known", func() bool { return strings.Contains(u.said(i, "config", "status"), "spread") })
	}
	if said := u.apply(1, "watch = \"20s\"\nroute \"bad\" {\n  types = [\"any\"]\n  expiry = \"1ms\"\n}\n"); !strings.Contains(said, "version 1 is agreed on") {
		t.Fatal(said)
	}
	u.holds(2, 0, 1, 2)
	history := u.said(0, "config", "history")
	if !strings.Contains(history, "gateway n") || !strings.Contains(history, "health worsened") {
		t.Fatal(history)
	}
	if said := u.apply(2, "watch = \"1m\"\n"+moves(3)); !strings.Contains(said, "version 3 is agreed on") {
		t.Fatal(said)
	}
	u.holds(3, 0, 1, 2)
	u.said(1, "config", "undo")
	u.holds(4, 0, 1, 2)
	if history := u.said(0, "config", "history"); !strings.Contains(history, "by hand") {
		t.Fatal(history)
	}
	if said := u.said(0, "config", "restore", "3"); !strings.Contains(said, "version 5 is agreed on, with the text of version 3") {
		t.Fatal(said)
	}
	u.holds(5, 0, 1, 2)
}

// What the agreement costs a txn: processor time of one gateway, which votes, without it, with it, and with a route that
// rules the txns. Run by hand: -bench Agreed -benchtime 1x.
func BenchmarkAgreed(b *testing.B) {
	for _, name := range []string{"off", "on", "ruled"} {
		b.Run(name, func(b *testing.B) {
			var f *fleet
			if name == "off" {
				_, members := newGroup(0, 2)
				f = newFleet(1, "", members...)
				defer f.stop()
			} else {
				u := newUnion(b, 1, 1)
				if f = u.fleet; name == "ruled" {
					u.apply(0, moves(1))
					u.holds(1, 0)
				}
			}
			p := f.gateways[0]
			began, txns := spentBy(p), 0
			for b.Loop() {
				var wg sync.WaitGroup
				for i := range 8 {
					wg.Add(1)
					go func() {
						defer wg.Done()
						c := f.front.NewClient(fmt.Sprintf("%08x", 0x700+i), standin.TxnTypes{Read: "any", Write: "keyed"})
						defer c.Close()
						for range 3000 {
							if a := c.Read(0); a.Err != nil || a.Code != "" {
								b.Error(a)
							}
						}
					}()
				}
				wg.Wait()
				txns += 8 * 3000
			}
			b.ReportMetric(float64((spentBy(p)-began).Microseconds())/float64(txns), "cpu-us/txn")
		})
	}
}

// spentBy is a process's processor time so far, in steps of 10 ms.
func spentBy(p *process) time.Duration {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	must(err)
	_, after, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(after)
	var user, system int
	_, err = fmt.Sscan(fields[11]+" "+fields[12], &user, &system)
	must(err)
	return time.Duration(user+system) * 10 * time.Millisecond
}

// A version that contradicts nothing goes to the gateway that was asked, to a share, to all, each watching it; one that is
// not well with who tries it is dropped, and nobody else has it.
func TestVersionBySteps(t *testing.T) {
	u := newUnionOf(t, 3, 1, strings.Replace(agreeing, "folder ", "share   = 0.5\n  folder ", 1))
	l := u.load()
	defer l.end(t)
	route := func(retries, watch string) string {
		return "watch = \"" + watch + "\"\nroute \"tuned\" {\n  types = [\"any\"]\n  retries = " + retries + "\n}\n"
	}
	for i := range u.gateways {
		u.await("health is known", func() bool { return strings.Contains(u.said(i, "config", "status"), "spread") })
	}
	if said := u.apply(0, route("0.1", "0s")); !strings.Contains(said, "version 1 is agreed on") {
		t.Fatal(said)
	}
	u.holds(1, 0, 1, 2)
	if said := u.apply(1, route("0.2", "1m")); !strings.Contains(said, "version 2 is agreed on") {
		t.Fatal(said)
	}
	u.await("its asker tries it", func() bool { return strings.Contains(u.said(1, "fleet", "status"), "here too") })
	if said := u.said(0, "fleet", "status"); !strings.Contains(said, "step 1 of 2 tries version 2") || !strings.Contains(said, "elsewhere") {
		t.Fatal(said)
	}
	u.said(1, "config", "undo")
	u.await("it is dropped", func() bool { return strings.Contains(u.said(0, "config", "history"), "dropped: gateway n1: by hand") })
	if said := u.apply(2, route("0.3", "2s")); !strings.Contains(said, "version 3 is agreed on") {
		t.Fatal(said)
	}
	u.holds(3, 0, 1, 2)
}
