package rehearse

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"magpieglade/rehearse/audit"
	"magpieglade/standin"
)

// testbed runs a scenario on loopback sockets, with real gateway processes and stand-ins for databases, list service and
// network.
type testbed struct {
	scenario    *Scenario
	program     string
	dir         string
	rng         *rand.Rand // for scheduling random faults; clients and members have their own
	start       time.Time
	groups      []*standin.Group
	members     []*standin.Member
	list        *standin.List
	gateways    []*gatewayProcess
	mu          sync.Mutex
	log         audit.Log
	marks       []Incident
	logLines    []string
	health      map[string]string
	slowdown    []atomic.Int64   // service time multiplier in thousandths, by member
	unsupported []string         // faults that can't be injected in real time
	network     *standin.Network // proxy between gateways, nil if no fault affects that network
	wg          sync.WaitGroup
}

// gatewayProcess is one gateway, which can be killed and restarted.
type gatewayProcess struct {
	testbed       *testbed
	number        int
	listenAddress string
	peerAddress   string
	proxyAddress  string // where other gateways reach it, if the network is proxied
	mu            sync.Mutex
	cmd           *exec.Cmd
	exited        chan struct{}
	endpoint      *endpoint
}

// RunReal runs a scenario in real time, with gateway processes of the given program. The seed determines which requests are
// sent and when; latencies depend on the machine.
func RunReal(s *Scenario, program string, watch func(Progress)) (*Report, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	if s.Policy != PolicyDecide {
		return nil, fmt.Errorf("policy %q needs the virtual clock: gateway processes always place reads by policy \"decide\"", s.Policy)
	}
	start := time.Now()
	dir, err := os.MkdirTemp("", "rehearse")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	tb := &testbed{scenario: s, program: program, dir: dir, rng: rand.New(rand.NewPCG(s.Seed, 12)), health: map[string]string{}}
	if err := tb.build(); err != nil {
		return nil, err
	}
	defer tb.close()
	tb.start = time.Now()
	for _, f := range s.Faults {
		tb.scheduleFault(f)
	}
	for _, random := range s.Random {
		for at := int64(0); ; {
			if at += int64(tb.rng.ExpFloat64() * float64(random.MeanInterval)); at+random.Duration >= s.Length {
				break
			}
			member := tb.members[tb.rng.IntN(len(tb.members))]
			tb.scheduleFault(Fault{Kind: random.Kinds[tb.rng.IntN(len(random.Kinds))], At: at, Duration: random.Duration, Member: member.Name, Factor: random.Factor, Lag: random.Lag,
				Gateway: tb.rng.IntN(s.Gateways), Zone: s.Zones[0]})
		}
	}
	driver := newDriver(s, tb.start)
	driver.groupOf = func(session int) int { return session % len(tb.groups) }
	for _, gateway := range tb.gateways {
		driver.endpoints = append(driver.endpoints, gateway.endpoint)
	}
	driver.run(watch)
	tb.wg.Wait()
	tb.log.Attempts, tb.log.Responses = driver.log.Attempts, driver.log.Responses
	report := tb.buildReport()
	report.Elapsed = time.Since(start)
	return report, nil
}

func (tb *testbed) now() int64 { return int64(time.Since(tb.start)) }

func (tb *testbed) logf(format string, a ...any) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.logLines = append(tb.logLines, fmt.Sprintf("%8.1f ms  ", float64(tb.now())/1e6)+fmt.Sprintf(format, a...))
}

func (tb *testbed) recordEvent(n audit.Event) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	n.At = tb.now()
	tb.log.Events = append(tb.log.Events, n)
}

func (tb *testbed) build() error {
	s := tb.scenario
	total := 0
	for _, p := range s.Groups {
		total += p.Members
	}
	tb.slowdown = make([]atomic.Int64, total)
	var hosts []standin.Host
	for i, p := range s.Groups {
		g := standin.NewGroup(i)
		g.ReplicaWait = time.Duration(p.ReplicaWait)
		for _, t := range s.Types {
			if t.Effect == "by_key" {
				g.DedupWindow = time.Duration(t.DedupWindow)
			}
		}
		tb.groups = append(tb.groups, g)
		for k := range p.Members {
			m := g.NewMember(fmt.Sprintf("%d.%d", i, k), k == 0)
			no := len(tb.members)
			tb.slowdown[no].Store(1000)
			m.SetCapacity(p.Cores, tb.serviceTimes(no))
			if k > 0 {
				m.SetLag(time.Duration(p.ReplicationLag))
			}
			tb.members = append(tb.members, m)
			tb.log.Cores, tb.log.Names = append(tb.log.Cores, p.Cores), append(tb.log.Names, m.Name)
			tb.health[m.Name] = "active"
			hosts = append(hosts, tb.listEntry(m))
		}
	}
	tb.list = standin.NewList(hosts...)
	key := filepath.Join(tb.dir, "key")
	if err := os.WriteFile(key, []byte(strings.Repeat("ab", 32)), 0o600); err != nil {
		return err
	}
	for i := range s.Gateways {
		listen, err := freeAddress("tcp4")
		if err != nil {
			return err
		}
		peer, err := freeAddress("udp4")
		if err != nil {
			return err
		}
		tb.gateways = append(tb.gateways, &gatewayProcess{testbed: tb, number: i, listenAddress: listen, peerAddress: peer, endpoint: &endpoint{pool: standin.NewClientPool(listen), address: listen}})
	}
	if slices.ContainsFunc(s.Faults, func(f Fault) bool { return f.isBetweenGateways() }) {
		tb.network = standin.NewNetwork(s.Seed)
		for _, n := range tb.gateways {
			n.proxyAddress = tb.network.Join(n.peerAddress)
		}
	}
	for _, n := range tb.gateways {
		if err := n.start(); err != nil {
			return err
		}
	}
	return tb.bootstrapFleet()
}

// bootstrapFleet creates the fleet on gateway 0, waits until all gateways have joined, and makes three of them voters if
// there are that many. It does nothing if the network between gateways isn't proxied.
func (tb *testbed) bootstrapFleet() error {
	if tb.network == nil {
		return nil
	}
	runCommand := func(args ...string) (string, error) {
		out, err := exec.Command(tb.program, append(args, "--control", filepath.Join(tb.dir, "control0"))...).CombinedOutput()
		if err != nil {
			err = fmt.Errorf("%s: %s", strings.Join(args, " "), out)
		}
		return string(out), err
	}
	waitFor := func(what string, f func(status string) bool) error {
		for start := time.Now(); ; time.Sleep(20 * time.Millisecond) {
			output, err := runCommand("fleet", "status")
			if err == nil && f(output) {
				return nil
			}
			if time.Since(start) > 30*time.Second {
				return fmt.Errorf("timeout while waiting for the fleet: %s", what)
			}
		}
	}
	if err := waitFor("creating the fleet", func(string) bool { _, err := runCommand("fleet", "found"); return err == nil }); err != nil {
		return err
	}
	if err := waitFor("all gateways have joined", func(output string) bool { return strings.Count(output, " all") == len(tb.gateways) }); err != nil {
		return err
	}
	if len(tb.gateways) < 3 {
		return nil
	}
	for _, name := range []string{"g1", "g2"} {
		if _, err := runCommand("fleet", "voters", "--add", name); err != nil {
			return err
		}
	}
	return waitFor("three gateways are voters", func(output string) bool {
		return strings.Count(output, "true") == 3 && strings.Count(output, " all") == len(tb.gateways)
	})
}

// operatorConfig returns the gateway's operator file: its session source and its peers.
func (n *gatewayProcess) operatorConfig(source string) string {
	tb := n.testbed
	if tb.network != nil {
		var ask []string
		for _, o := range tb.gateways[:min(3, len(tb.gateways))] {
			ask = append(ask, strconv.Quote(o.proxyAddress))
		}
		return fmt.Sprintf("control = %q\nsessions {\n  source = %q\n}\nagreement {\n  listen  = %q\n  address = %q\n  ask     = [%s]\n  folder  = %q\n  key \"1\" { file = \"key\" }\n}\n",
			filepath.Join(tb.dir, fmt.Sprint("control", n.number)), source, n.peerAddress, n.proxyAddress, strings.Join(ask, ", "), fmt.Sprint("agreement", n.number))
	}
	if len(tb.gateways) == 1 {
		return fmt.Sprintf("sessions {\n  source = %q\n}\n", source)
	}
	var all []string
	for _, o := range tb.gateways {
		all = append(all, strconv.Quote(o.peerAddress))
	}
	return fmt.Sprintf("sessions {\n  source = %q\n  peers {\n    listen   = %q\n    gateways = [%s]\n    key \"1\" { file = \"key\" }\n  }\n}\n", source, n.peerAddress, strings.Join(all, ", "))
}

func freeAddress(network string) (string, error) {
	if network == "udp4" {
		c, err := net.ListenPacket(network, "127.0.0.1:0")
		if err != nil {
			return "", err
		}
		defer func() { _ = c.Close() }()
		return c.LocalAddr().String(), nil
	}
	l, err := net.Listen(network, "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

// serviceTimes returns a function that draws a member's service time for a txn type.
func (tb *testbed) serviceTimes(no int) func(class string) time.Duration {
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(tb.scenario.Seed, 100+uint64(no)))
	return func(class string) time.Duration {
		for i := range tb.scenario.Types {
			t := &tb.scenario.Types[i]
			if t.Name != class {
				continue
			}
			mu.Lock()
			defer mu.Unlock()
			x := float64(t.Cost) * float64(tb.slowdown[no].Load()) / 1000
			switch t.Distribution {
			case Exponential:
				x *= rng.ExpFloat64()
			case Lognormal:
				x *= math.Exp(rng.NormFloat64() - 0.5)
			}
			return time.Duration(x)
		}
		return 0
	}
}

func (tb *testbed) listEntry(m *standin.Member) standin.Host {
	h := m.ListEntry(tb.health[m.Name])
	h.Site = tb.scenario.Zones[0]
	return h
}

// publishList updates the list service with the current health of all members.
func (tb *testbed) publishList() {
	tb.mu.Lock()
	var hosts []standin.Host
	for _, m := range tb.members {
		hosts = append(hosts, tb.listEntry(m))
	}
	tb.mu.Unlock()
	tb.list.SetHosts(hosts...)
}

// start starts the gateway's process and waits until it listens.
func (n *gatewayProcess) start() error {
	tb := n.testbed
	settings, err := tb.scenario.gatewaySettings(0)
	if err != nil {
		return err
	}
	// The positions of stand-ins are derived from the wall clock.
	settings = []byte(strings.Replace(string(settings), `"countedFromMs":0`, `"countedFromMs":1000000000000`, 1))
	text, err := json.Marshal(map[string]any{"name": fmt.Sprint("g", n.number), "listen": n.listenAddress, "discovery": tb.list.Address(),
		"seed": fmt.Sprintf("%x", tb.scenario.Seed+uint64(n.number)+1), "limits": map[string]any{"memory_mb": 192, "sockets": 1024}, "known": tb.list.Snapshot(),
		"settings": json.RawMessage(settings)})
	if err != nil {
		return err
	}
	config := filepath.Join(tb.dir, fmt.Sprintf("config%d.json", n.number))
	operator := filepath.Join(tb.dir, fmt.Sprintf("operator%d.hcl", n.number))
	source := "covered"
	if tb.scenario.Sessions != Brought {
		source = tb.scenario.Sessions
	}
	if err := os.WriteFile(config, text, 0o600); err != nil {
		return err
	}
	if err := os.WriteFile(operator, []byte(n.operatorConfig(source)), 0o600); err != nil {
		return err
	}
	cmd := exec.Command(tb.program, "serve", "--operator", operator)
	cmd.Env = append(os.Environ(), "EDGE_CONFIG="+config)
	pipe, err := cmd.StderrPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited, listening := make(chan struct{}), make(chan struct{})
	go func() {
		open := true
		for lines := bufio.NewScanner(pipe); lines.Scan(); {
			if strings.Contains(lines.Text(), "listening") && open {
				open = false
				close(listening)
			}
			if !tb.start.IsZero() {
				tb.logf("gateway %d: %s", n.number, lines.Text())
			}
		}
		_ = cmd.Wait()
		close(exited)
	}()
	select {
	case <-listening:
	case <-exited:
		return fmt.Errorf("gateway %d exited during startup", n.number)
	case <-time.After(20 * time.Second):
		_ = cmd.Process.Kill()
		return fmt.Errorf("gateway %d did not listen in time", n.number)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cmd, n.exited = cmd, exited
	n.endpoint.setRunning(true)
	return nil
}

func (n *gatewayProcess) kill() {
	n.mu.Lock()
	cmd, exited := n.cmd, n.exited
	n.cmd = nil
	n.endpoint.setRunning(false)
	n.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Kill()
		<-exited
	}
}

func (tb *testbed) close() {
	for _, n := range tb.gateways {
		n.kill()
	}
	for _, m := range tb.members {
		m.Kill()
	}
	tb.list.Close()
	if tb.network != nil {
		tb.network.Close()
	}
}

// schedule calls do in a goroutine when the given time of the run has come.
func (tb *testbed) schedule(when int64, do func()) {
	tb.wg.Add(1)
	go func() {
		defer tb.wg.Done()
		time.Sleep(time.Until(tb.start.Add(time.Duration(when))))
		do()
	}()
}

func (tb *testbed) scheduleFault(f Fault) {
	var member *standin.Member
	index := 0
	if slices.Contains(FaultKinds[f.Kind], "member") {
		for i, x := range tb.members {
			if x.Name == f.Member {
				member, index = x, i
			}
		}
	}
	schedulePair := func(begin, end func()) {
		tb.marks = append(tb.marks, Incident{f.At, f.Duration, f.String()})
		tb.schedule(f.At, func() { tb.logf("%s", f); begin() })
		if f.Duration > 0 {
			tb.schedule(f.At+f.Duration, end)
		}
	}
	switch f.Kind {
	case "crash":
		schedulePair(func() {
			tb.recordEvent(audit.Event{Kind: audit.MemberDied, Member: index})
			p := tb.groupConfig(member)
			wasPrimary := member.Group().Primary() == member
			member.Kill()
			if wasPrimary {
				member.Group().Demote()
				tb.schedule(f.At+p.DetectionTime, func() { tb.failOver(member.Group(), member, p.SyncReplication) })
			}
		}, func() {
			if err := member.Start(); err != nil {
				tb.logf("%s failed to start: %v", member.Name, err)
				return
			}
			tb.recordEvent(audit.Event{Kind: audit.MemberStarted, Member: index})
		})
	case "pause":
		schedulePair(func() {
			member.SetHung(true)
			if member.Group().Primary() == member {
				p := tb.groupConfig(member)
				tb.schedule(f.At+p.DetectionTime, func() {
					if f.Duration > p.DetectionTime && member.Group().Primary() == member {
						member.Group().Demote()
						tb.failOver(member.Group(), member, p.SyncReplication)
					}
				})
			}
		}, func() { member.SetHung(false) })
	case "errors":
		schedulePair(func() { member.SetFailRatio(f.Factor) }, func() { member.SetFailRatio(0) })
	case "slow":
		schedulePair(func() { tb.slowdown[index].Store(int64(1000 * f.Factor)) }, func() { tb.slowdown[index].Store(1000) })
	case "lag":
		schedulePair(func() { member.SetLag(time.Duration(f.Lag)) }, func() { member.SetLag(time.Duration(tb.groupConfig(member).ReplicationLag)) })
	case "drain":
		setHealth := func(health string, kind audit.EventKind) {
			tb.mu.Lock()
			tb.health[member.Name] = health
			tb.mu.Unlock()
			tb.publishList()
			tb.list.AwaitDeliveredTo(tb.scenario.Gateways)
			tb.recordEvent(audit.Event{Kind: kind, Member: index})
		}
		schedulePair(func() { setHealth("leaving", audit.DrainStarted) }, func() { setHealth("active", audit.Restored) })
	case "answers_lost":
		schedulePair(func() {
			for i := range tb.scenario.Types {
				member.DropResponses(tb.scenario.Types[i].Name, int(math.Ceil(f.Factor*10)))
			}
		}, func() {})
	case "move":
		schedulePair(func() {
			if tb.isPaused(member.Name) {
				tb.logf("%s is paused and can't become the primary", member.Name)
				return
			}
			member.Group().Demote()
			time.Sleep(time.Duration(tb.groupConfig(member).SwitchoverTime))
			member.Group().Promote(member, tb.groupConfig(member).SyncReplication)
			tb.logf("%s is the primary", member.Name)
		}, func() {})
	case "list":
		schedulePair(func() { tb.list.SetDown(true) }, func() { tb.list.SetDown(false) })
	case "kill":
		n := tb.gateways[f.Gateway]
		schedulePair(func() {
			tb.recordEvent(audit.Event{Kind: audit.GatewayKilled, Gateway: n.number})
			n.kill()
		}, func() {
			if err := n.start(); err != nil {
				tb.logf("gateway %d failed to start: %v", n.number, err)
				return
			}
			tb.recordEvent(audit.Event{Kind: audit.GatewayUp, Gateway: n.number})
		})
	case "apart", "halves":
		setBlocked := func(blocked bool) {
			for i := range tb.gateways {
				for k := range tb.gateways {
					if f.isolates(i, k, len(tb.gateways)) {
						tb.network.Block(i, k, blocked)
					}
				}
			}
		}
		schedulePair(func() { setBlocked(true) }, func() { setBlocked(false) })
	case "rough":
		schedulePair(func() { tb.network.SetFaults(f.Factor, 0, 0) }, func() { tb.network.SetFaults(0, 0, 0) })
	default:
		tb.unsupported = append(tb.unsupported, f.String())
	}
}

func (tb *testbed) groupConfig(m *standin.Member) *GroupConfig {
	return &tb.scenario.Groups[m.Group().ID]
}

func (tb *testbed) failOver(g *standin.Group, lost *standin.Member, sync bool) {
	var best *standin.Member
	for _, m := range tb.members {
		if m.Group() == g && m != lost && (best == nil || m.Position() > best.Position()) {
			best = m
		}
	}
	if best == nil || g.Primary() != nil {
		return
	}
	g.Promote(best, sync)
	tb.logf("%s is the primary", best.Name)
}

// realSlack is added to the time limits of the rules, for delays on a busy machine.
const realSlack = int64(250e6)

// pauseGrace is how long after a pause a member may still respond to queries that arrived during it.
const pauseGrace = int64(500e6)

// isPaused reports whether a member is paused now by a scheduled fault.
func (tb *testbed) isPaused(member string) bool {
	now := tb.now()
	return slices.ContainsFunc(tb.scenario.Faults, func(f Fault) bool {
		return f.Kind == "pause" && f.Member == member && now >= f.At && now < f.At+f.Duration
	})
}

// receivedAt returns the earliest time at which a query executed at the given time may have arrived. Stand-ins record only
// the execution time; a query executed during or just after a pause may have arrived when the pause began.
func (tb *testbed) receivedAt(member string, at int64) int64 {
	for _, f := range tb.scenario.Faults {
		if f.Kind == "pause" && f.Member == member && at >= f.At && at <= f.At+f.Duration+pauseGrace {
			return min(at, f.At)
		}
	}
	return at
}

// buildReport adds the events of the stand-ins to the audit log and evaluates it.
func (tb *testbed) buildReport() *Report {
	memberIndex := map[string]int{}
	for i, m := range tb.members {
		memberIndex[m.Name] = i
	}
	kinds := map[string]audit.SubmissionKind{"write": audit.Write, "repeat": audit.Repeat, "read": audit.Read, "miss": audit.Rejected, "behind": audit.Rejected}
	costs := map[uint64]int64{}
	tb.mu.Lock()
	defer tb.mu.Unlock()
	for i := range tb.log.Attempts {
		costs[tb.log.Attempts[i].ID] = tb.scenario.Types[tb.log.Attempts[i].Type].Cost
	}
	for _, g := range tb.groups {
		for _, e := range g.Events() {
			kind, ok := kinds[e.Kind]
			if !ok || e.At.Before(tb.start) {
				continue
			}
			id, _ := strconv.ParseUint(e.ID, 16, 64)
			session, _ := strconv.ParseUint(e.Code[max(0, len(e.Code)-8):], 16, 64)
			version, _ := strconv.ParseUint(e.Value, 10, 64)
			key, _ := strconv.ParseUint(strings.TrimPrefix(e.Key, "k"), 10, 64)
			tb.log.Submissions = append(tb.log.Submissions, audit.Submission{ID: id, Key: key, Session: session, Version: version, Member: memberIndex[e.Member], Kind: kind,
				At: int64(e.At.Sub(tb.start)), ReceivedAt: tb.receivedAt(e.Member, int64(e.At.Sub(tb.start))), Cost: costs[id]})
		}
	}
	slices.SortStableFunc(tb.log.Submissions, func(a, b audit.Submission) int { return int(a.At - b.At) })
	r := newReport(tb.scenario, &tb.log, 0, realSlack)
	r.Clock, r.Marks, r.LogLines, r.UnsupportedFaults = "real", tb.marks, tb.logLines, tb.unsupported
	return r
}
