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

// agreementOperatorFile is an operator's file for gateways that agree on one version over the simulated network.
const agreementOperatorFile = `
control = "%DIR%.sock"
agreement {
  listen  = "%LISTEN%"
  address = "%ADDRESS%"
  ask     = %VOTERS%
  folder  = "%DIR%"
  key "1" { file = "key" }
}
`

// agreementFleet is a fleet with an agreement, and the simulated network between its gateways.
type agreementFleet struct {
	*fleet
	network *standin.Network
	voters  int
	t       testing.TB
	members []*standin.Member
	group   *standin.Group
}

// newAgreementFleet starts n gateways and makes the first ones voters; it returns once all may act.
func newAgreementFleet(t testing.TB, n, voters int) *agreementFleet {
	return newAgreementFleetWith(t, n, voters, agreementOperatorFile)
}

// newAgreementFleetWith does the same with another operator's file.
func newAgreementFleetWith(t testing.TB, n, voters int, operator string) *agreementFleet {
	return newSkewedAgreementFleet(t, n, voters, operator, nil)
}

// newSkewedAgreementFleet also sets the clock rate and disk delay of each process; setSkew may be nil.
func newSkewedAgreementFleet(t testing.TB, n, voters int, operator string, setSkew func(*process)) *agreementFleet {
	g, members := newGroup(0, 2)
	return newAgreementFleetForGroup(t, n, voters, operator, setSkew, g, members)
}

// newAgreementFleetForGroup puts the fleet in front of an existing group of members.
func newAgreementFleetForGroup(t testing.TB, n, voters int, operator string, setSkew func(*process), g *standin.Group, members []*standin.Member) *agreementFleet {
	u := &agreementFleet{network: standin.NewNetwork(1), voters: voters, t: t, members: members, group: g}
	u.fleet = newFleet(0, operator, members...)
	u.fleet.customize = setSkew
	u.addresses = map[int]string{}
	u.fleet.advertised = func(p *process) string {
		if u.addresses[p.index] == "" {
			u.addresses[p.index] = u.network.Join(p.peer)
		}
		return u.addresses[p.index]
	}
	u.fleet.add(n)
	t.Cleanup(func() {
		if t.Failed() { // print the stacks of a process that hangs
			for _, p := range u.gateways {
				if p.cmd != nil {
					_ = p.cmd.Process.Signal(syscall.SIGQUIT)
				}
			}
			time.Sleep(time.Second)
		}
		u.stop()
		u.network.Close()
		if t.Failed() {
			for _, p := range u.gateways {
				p.readLog()
				t.Logf("gateway %d:\n%s", p.index, strings.Join(p.lines, "\n"))
			}
		}
	})
	u.command(0, "fleet", "found")
	u.await("all have joined", func() bool { return strings.Count(u.command(0, "fleet", "status"), "127.0.0.5") == n })
	for i := 1; i < voters; i++ {
		u.command(0, "fleet", "voters", "--add", fmt.Sprint("n", i))
	}
	for i := range u.gateways {
		u.await("the gateway may act", func() bool { return strings.Contains(u.command(i, "fleet", "status"), "may act") })
	}
	u.await("all vote", func() bool { return strings.Count(u.command(0, "fleet", "status"), "true") == voters })
	return u
}

// command runs a command of the program against the control socket of a gateway and returns its output.
func (u *agreementFleet) command(index int, args ...string) string {
	return runProgram(append(args, "--control", filepath.Join(u.dir, fmt.Sprintf("ledger%d.sock", index)))...)
}

func (u *agreementFleet) await(what string, condition func() bool) {
	u.t.Helper()
	u.awaitFor(eventTimeout, what, condition)
}

// awaitFor is for conditions that take an election, a new allocator and its quiet period.
func (u *agreementFleet) awaitFor(timeout time.Duration, what string, condition func() bool) {
	u.t.Helper()
	for began := time.Now(); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Since(began) > timeout {
			u.t.Fatal("not in time: ", what)
		}
	}
}

// apply proposes a change at a gateway and returns the command's output.
func (u *agreementFleet) apply(gateway int, text string) string {
	path := filepath.Join(u.dir, fmt.Sprintf("change%d.hcl", gateway))
	must(os.WriteFile(path, []byte(text), 0o600))
	return u.command(gateway, "config", "apply", "--why", "a test", path)
}

// awaitVersion waits until the given gateways act on a version and no other is pending.
func (u *agreementFleet) awaitVersion(version int, gateways ...int) {
	u.t.Helper()
	for _, i := range gateways {
		u.await(fmt.Sprintf("gateway %d acts on version %d", i, version), func() bool {
			output := u.command(i, "fleet", "status")
			return strings.Contains(output, fmt.Sprintf("routes: version %d (", version)) && !strings.Contains(output, "next version") && !strings.Contains(output, "tries version") && strings.Contains(output, "may act")
		})
	}
}

// pause stops a process with SIGSTOP and waits until all of its threads have stopped.
func (p *process) pause() {
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

// leader waits until one of the voters knows the leader, and returns its index.
func (u *agreementFleet) leader(voters ...int) int {
	u.t.Helper()
	leader := -1
	u.await("a leader is known", func() bool {
		for _, i := range voters {
			var name string
			output := u.command(i, "fleet", "status")
			if _, after, ok := strings.Cut(output, "votes; "); ok {
				if n, _ := fmt.Sscanf(after, "%s leads", &name); n == 1 && strings.HasPrefix(name, "n") {
					if k, _ := fmt.Sscanf(name, "n%d", &leader); k == 1 {
						return true
					}
				}
			}
		}
		return false
	})
	return leader
}

// conflictingChange is a change that conflicts with those of other numbers: it assigns reads to another tenant.
func conflictingChange(n int) string {
	return fmt.Sprintf("route \"moved\" {\n  types  = [\"any\"]\n  tenant = \"t%d\"\n}\ntenant \"t%d\" {\n  in_flight = 50\n}\n", n, n)
}

// backgroundReads sends reads to all gateways until finish, and collects unexpected responses.
type backgroundReads struct {
	stop               chan struct{}
	wg                 sync.WaitGroup
	served, unanswered atomic.Int64
	rejected           atomic.Int64
	mu                 sync.Mutex
	unexpected         map[string]int
}

func (u *agreementFleet) startReads() *backgroundReads {
	l := &backgroundReads{stop: make(chan struct{}), unexpected: map[string]int{}}
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
						l.rejected.Add(1)
					case a.Err != nil:
						l.unanswered.Add(1) // its gateway was killed or stopped
					default:
						l.mu.Lock()
						l.unexpected[a.String()]++
						l.mu.Unlock()
					}
				}
			}()
		}
	}
	return l
}

// finish stops the reads and fails the test if a response was unexpected or nothing was served.
func (l *backgroundReads) finish(t testing.TB) {
	t.Helper()
	close(l.stop)
	l.wg.Wait()
	t.Logf("%d served, %d rejected, %d without a response", l.served.Load(), l.rejected.Load(), l.unanswered.Load())
	if len(l.unexpected) > 0 || l.served.Load() == 0 {
		t.Fatalf("%d served, %v", l.served.Load(), l.unexpected)
	}
}

// Five gateways, three of them voters, run under load on a network that loses and duplicates messages. After each fault
// (a paused gateway, a killed leader, partitions, concurrent proposals, killed voters, a lost disk) the next change must
// come into force at all reachable gateways, and the voters must have one history.
func TestAgreementUnderFaults(t *testing.T) {
	t.Parallel() // it mostly waits for events
	u := newAgreementFleet(t, 5, 3)
	l := u.startReads()
	u.network.SetFaults(0.05, 0.05, 5*time.Millisecond)
	all := []int{0, 1, 2, 3, 4}
	applyVersion := func(gateway, version int) {
		t.Helper()
		if results := u.apply(gateway, conflictingChange(version)); !strings.Contains(results, fmt.Sprintf("version %d is agreed on", version)) {
			t.Fatalf("version %d: %s", version, results)
		}
	}
	applyVersion(4, 1)
	u.awaitVersion(1, all...)

	// A paused gateway must not delay the others. A txn that waits at it while the others assign it to another tenant must
	// not be served by the former version when the process continues, even as its first action.
	c := u.front.NewClient("ca00", standin.TxnTypes{Read: "any", Write: "keyed"})
	c.Timeout = 30 * time.Second
	if a := c.Read(4); a.Code != "" || a.Err != nil {
		t.Fatal(a)
	}
	u.gateways[4].pause()
	waited := make(chan standin.Response, 1)
	go func() { waited <- c.Read(4) }()
	for v := 2; v <= 4; v++ {
		applyVersion(v%4, v)
		u.awaitVersion(v, 0, 1, 2, 3)
	}
	must(u.gateways[4].cmd.Process.Signal(syscall.SIGCONT))
	if a := <-waited; a.Code != "53300" {
		t.Fatalf("a paused gateway served by the former version: %v", a)
	}
	c.Close()
	u.awaitVersion(4, 4)

	// The leader is killed while a change is being rolled out: a new leader completes it.
	leader := u.leader(0, 1, 2)
	applyVersion(3, 5)
	u.gateways[leader].kill()
	others := []int{}
	for _, i := range all {
		if i != leader {
			others = append(others, i)
		}
	}
	u.awaitVersion(5, others...)
	u.gateways[leader].start()
	u.awaitVersion(5, leader)

	// A gateway that is partitioned from the others but not from its clients rejects what a new version may change once its
	// lease has expired, and adopts the version in force when it is reconnected.
	c = u.front.NewClient("ca01", standin.TxnTypes{Read: "any", Write: "keyed"})
	last, ended := time.Now(), make(chan struct{})
	u.network.Isolate(3, true)
	go func() { // until it rejects what a change may have affected
		defer close(ended)
		for a := c.Read(3); a.Code == "" && a.Err == nil; a = c.Read(3) {
			last = time.Now()
		}
	}()
	applyVersion(0, 6)
	agreed := time.Now()
	u.awaitVersion(6, 0, 1, 2, 4)
	<-ended
	if d := last.Sub(agreed); d > 3*time.Second {
		t.Fatalf("acted on the former version for %v", d)
	} else {
		t.Logf("a partitioned gateway acted on the former version for %v, the stated limit is 3s", max(0, d))
	}
	u.await("its lease has expired", func() bool { return strings.Contains(u.command(3, "fleet", "status"), "careful") })
	if a := c.Read(3); a.Code != "53300" || a.RetryAfter == "" {
		t.Fatalf("a txn with different outcomes under the two versions, at a gateway without a lease: %v", a)
	}
	c.Types.Read = "session"
	if a := c.Read(3); a.Code != "" || a.Err != nil {
		t.Fatalf("a txn without a route, at a gateway without a lease: %v", a)
	}
	c.Close()
	if output := u.command(3, "metrics"); !strings.Contains(output, "magpieglade_fleet_version_in_force 5") || strings.Contains(output, "txns_unagreed_total 0") ||
		!strings.Contains(output, "magpieglade_fleet_lease_left_seconds -") {
		t.Fatal(output)
	}
	u.network.Isolate(3, false)
	u.awaitVersion(6, all...)

	// Two operators propose at once: one succeeds, the other's error names the winning version.
	output := make(chan string, 2)
	for i := range 2 {
		go func() { output <- u.apply(3+i, conflictingChange(70+i)) }()
	}
	first, second := <-output, <-output
	if strings.Contains(first, "agreed on") == strings.Contains(second, "agreed on") || !strings.Contains(first+second, "put version 7") {
		t.Fatalf("two operators: %s / %s", first, second)
	}
	u.awaitVersion(7, all...)

	// All voters are killed and restarted.
	for i := range 3 {
		u.gateways[i].kill()
	}
	for i := range 3 {
		u.gateways[i].start()
	}
	u.awaitVersion(7, all...)
	applyVersion(2, 8)
	u.awaitVersion(8, all...)

	// A voter that lost its disk rejoins as a new gateway, and votes once it was added as a voter again.
	u.gateways[1].kill()
	must(os.RemoveAll(filepath.Join(u.dir, "ledger1")))
	u.gateways[1].start()
	u.awaitVersion(8, 1)
	u.await("two vote", func() bool { return strings.Count(u.command(0, "fleet", "status"), "true") == 2 })
	u.command(0, "fleet", "voters", "--add", "n1")
	u.await("three vote", func() bool { return strings.Contains(u.command(1, "fleet", "status"), "votes; n") })

	// A voter that receives messages but whose own are lost: the others continue without it, with a new leader if it led.
	for i := range all {
		u.network.Block(2, i, true)
	}
	u.await("version 9 is agreed on", func() bool { return strings.Contains(u.apply(3, conflictingChange(9)), "version 9 is agreed on") })
	u.awaitVersion(9, 0, 1, 3, 4)
	for i := range all {
		u.network.Block(2, i, false)
	}
	u.awaitVersion(9, all...)
	u.network.SetFaults(0, 0, 0)
	l.finish(t)
	u.await("one history", func() bool { // once the log has reached all voters
		history := u.command(0, "config", "history")
		return history == u.command(1, "config", "history") && history == u.command(2, "config", "history")
	})
}

// A version under which one gateway's health worsens, or that an operator undoes, is undone by all gateways: the former
// text becomes the next version.
func TestWorseVersionIsUndoneByAllGateways(t *testing.T) {
	u := newAgreementFleet(t, 3, 1)
	l := u.startReads()
	defer l.finish(t)
	for i := range u.gateways { // each gateway has a baseline to compare with
		u.await("health is known", func() bool { return strings.Contains(u.command(i, "config", "status"), "spread") })
	}
	if output := u.apply(1, "watch = \"20s\"\nroute \"bad\" {\n  types = [\"any\"]\n  expiry = \"1ms\"\n}\n"); !strings.Contains(output, "version 1 is agreed on") {
		t.Fatal(output)
	}
	u.awaitVersion(2, 0, 1, 2)
	history := u.command(0, "config", "history")
	if !strings.Contains(history, "gateway n") || !strings.Contains(history, "health worsened") {
		t.Fatal(history)
	}
	if output := u.apply(2, "watch = \"1m\"\n"+conflictingChange(3)); !strings.Contains(output, "version 3 is agreed on") {
		t.Fatal(output)
	}
	u.awaitVersion(3, 0, 1, 2)
	u.command(1, "config", "undo")
	u.awaitVersion(4, 0, 1, 2)
	if history := u.command(0, "config", "history"); !strings.Contains(history, "by hand") {
		t.Fatal(history)
	}
	if output := u.command(0, "config", "restore", "3"); !strings.Contains(output, "version 5 is agreed on, with the text of version 3") {
		t.Fatal(output)
	}
	u.awaitVersion(5, 0, 1, 2)
}

// Measures the cost of the agreement per txn: CPU time of one gateway, a voter, without the agreement, with it, and with a
// route that matches the txns. Run it with -bench Agreement -benchtime 1x.
func BenchmarkAgreement(b *testing.B) {
	for _, name := range []string{"off", "on", "ruled"} {
		b.Run(name, func(b *testing.B) {
			var f *fleet
			if name == "off" {
				_, members := newGroup(0, 2)
				f = newFleet(1, "", members...)
				defer f.stop()
			} else {
				u := newAgreementFleet(b, 1, 1)
				if f = u.fleet; name == "ruled" {
					u.apply(0, conflictingChange(1))
					u.awaitVersion(1, 0)
				}
			}
			p := f.gateways[0]
			began, txns := cpuTime(p), 0
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
			b.ReportMetric(float64((cpuTime(p)-began).Microseconds())/float64(txns), "cpu-us/txn")
		})
	}
}

// cpuTime returns the CPU time of a process so far, with a resolution of 10 ms.
func cpuTime(p *process) time.Duration {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	must(err)
	_, after, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(after)
	var user, system int
	_, err = fmt.Sscan(fields[11]+" "+fields[12], &user, &system)
	must(err)
	return time.Duration(user+system) * 10 * time.Millisecond
}

// A version without conflicts is rolled out in steps, each of them watched: to the gateway that proposed it, to a fraction
// of the fleet, to all. A version that is undone during a step is aborted and never reaches the other gateways.
func TestVersionRollsOutInSteps(t *testing.T) {
	u := newAgreementFleetWith(t, 3, 1, strings.Replace(agreementOperatorFile, "folder ", "share   = 0.5\n  folder ", 1))
	l := u.startReads()
	defer l.finish(t)
	route := func(retries, watch string) string {
		return "watch = \"" + watch + "\"\nroute \"tuned\" {\n  types = [\"any\"]\n  retries = " + retries + "\n}\n"
	}
	for i := range u.gateways {
		u.await("health is known", func() bool { return strings.Contains(u.command(i, "config", "status"), "spread") })
	}
	if output := u.apply(0, route("0.1", "0s")); !strings.Contains(output, "version 1 is agreed on") {
		t.Fatal(output)
	}
	u.awaitVersion(1, 0, 1, 2)
	if output := u.apply(1, route("0.2", "1m")); !strings.Contains(output, "version 2 is agreed on") {
		t.Fatal(output)
	}
	u.await("the proposing gateway runs it as a canary", func() bool { return strings.Contains(u.command(1, "fleet", "status"), "here too") })
	if output := u.command(0, "fleet", "status"); !strings.Contains(output, "step 1 of 2 tries version 2") || !strings.Contains(output, "elsewhere") {
		t.Fatal(output)
	}
	u.command(1, "config", "undo")
	u.await("the version is aborted", func() bool {
		return strings.Contains(u.command(0, "config", "history"), "dropped: gateway n1: by hand")
	})
	if output := u.apply(2, route("0.3", "2s")); !strings.Contains(output, "version 3 is agreed on") {
		t.Fatal(output)
	}
	u.awaitVersion(3, 0, 1, 2)
}
