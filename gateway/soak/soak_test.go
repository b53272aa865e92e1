// Package soak runs a gateway process against stand-ins on loopback, with faults drawn from a seed: failing system calls,
// repeated signals, clients that leave, cancel or take up all connections, servers that hang, reset or drain, and an
// unavailable discovery service. Each run is checked against the five rules.
package soak

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
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
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// envSeeds selects the seeds to run, as 7 or 1-50.
const envSeeds = "MAGPIEGLADE_SOAK_SEEDS"

const defaultSeeds = "1-36"

const settings = `{"classes":[
 {"effect":"repeatable","promiseMs":300,"hardLimitMs":1000,"worth":1,"name":"any"},
 {"effect":"repeatable","promiseMs":300,"hardLimitMs":1000,"worth":1,"name":"session"},
 {"effect":"repeatable","promiseMs":300,"hardLimitMs":1000,"worth":1,"name":"bounded"},
 {"effect":"by_key","group":"cell","windowMs":800,"promiseMs":500,"hardLimitMs":2000,"worth":4,"name":"keyed"},
 {"effect":"once","promiseMs":500,"hardLimitMs":2000,"worth":4,"name":"once"}],
 "familyInfo":{"consistency":["eventual","causal","lag_bound","mutate","mutate"],"oldestDataMs":[0,0,300,0,0],"whenBehind":"%CHECKS%",
  "writeMarks":"%MARKS%","roleInList":"none","countedFromMs":146484879.702,"waitMs":20,"answersStamped":%STAMPED%},
 "fleetSize":2,"limits":{"cancelling":true,"maxAttempts":8,"mayDuplicate":false,"probes":true,"retryAfter":true,
  "connectTimeoutMs":250,"keepaliveMs":15000,"maxRetryAfterMs":1000},
 "loadReport":{"how":"%REPORTS%","fields":["x0","x1"]},"locality":0,"membershipMode":"ask","parties":[],
 "rules":{"askWithinMs":10000,"coldFrom":0.2,"coldMs":10000,"drainGraceMs":250,"fallMultiple":2,"overloadForMs":1000},
 "machineTypes":["m"],"zones":["a"],"tickMs":5}`

// deployment is how members tell positions and check reads, drawn for each run.
type deployment struct {
	marks, checks, reports string // writeMarks, whenBehind and loadReport.how of the settings
	stamped                bool   // every answer tells a position
}

// drawDeployment draws from all combinations; half of the runs have members that check nothing.
func drawDeployment(random *rand.Rand) deployment {
	pick := func(values ...string) string { return values[random.IntN(len(values))] }
	return deployment{marks: pick("brought", "kept"), checks: pick("none", "none", "bounce", "await"),
		reports: pick("answers", "probe", "none"), stamped: random.IntN(3) > 0}
}

func (d deployment) settings() string {
	return strings.NewReplacer("%CHECKS%", d.checks, "%MARKS%", d.marks, "%REPORTS%", d.reports, "%STAMPED%", fmt.Sprint(d.stamped)).Replace(settings)
}

// wait is how long members hold a read for which they are behind.
func (d deployment) wait() time.Duration {
	if d.checks == "await" {
		return 20 * time.Millisecond
	}
	return 0
}

// Durations of a run and bounds of the rules.
const (
	runDuration      = 2500 * time.Millisecond // until SIGTERM
	maxTxnWait       = 2000 * time.Millisecond // the longest hardLimitMs of the settings
	killAfter        = maxTxnWait + 700*time.Millisecond
	dedupWindow      = 800 * time.Millisecond // windowMs of the keyed class
	drainGrace       = 250 * time.Millisecond
	timeoutTolerance = 150 * time.Millisecond // on the time left that the gateway passes on
	leaveTolerance   = 100 * time.Millisecond // for an attempt after its client left
	maxStopDuration  = 100 * time.Millisecond // for which SIGSTOP suspends the process
	socketLimit      = 192
	stalenessBound   = 300 * time.Millisecond // oldestDataMs of the bounded class
	answerNotice     = 100 * time.Millisecond // after which an answer that was written counts as known
	limitTolerance   = 50 * time.Millisecond  // on every time limit
	maxDrainDelay    = drainGrace + 150*time.Millisecond
)

// soakRun is the run of one seed.
type soakRun struct {
	t              *testing.T
	seed           uint64
	random         *rand.Rand
	dir            string
	attempts       *attemptLog
	rules          deployment
	group          *replication
	servers        []*server
	discovery      *discovery
	load           *clientLoad
	process        *exec.Cmd
	logLines       []string // the gateway process's log
	logReader      sync.WaitGroup
	exited         chan error
	maxLag         atomic.Int64 // the longest scheduling delay of this process, in nanoseconds
	drainingServer string       // the server listed as draining
	terminatedAt   time.Time    // when the first SIGTERM was sent
}

func seedRange(t *testing.T) (selected []uint64) {
	text := os.Getenv(envSeeds)
	if text == "" {
		text = defaultSeeds
	}
	from, to, _ := strings.Cut(text, "-")
	first, err := strconv.ParseUint(from, 10, 64)
	last := first
	if err == nil && to != "" {
		last, err = strconv.ParseUint(to, 10, 64)
	}
	if err != nil {
		t.Fatalf("%s: %v", envSeeds, err)
	}
	for seed := first; seed <= last; seed++ {
		selected = append(selected, seed)
	}
	return selected
}

// TestSoak runs each seed and checks it against the rules.
func TestSoak(t *testing.T) {
	for _, seed := range seedRange(t) {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			t.Parallel()
			p := &soakRun{t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 0)), dir: t.TempDir(),
				attempts: &attemptLog{byID: map[uint64][]*attempt{}}, exited: make(chan error, 1)}
			p.run()
		})
	}
}

func (p *soakRun) must(err error) {
	p.t.Helper()
	if err != nil {
		p.t.Fatal(err)
	}
}

func (p *soakRun) run() {
	stopMeasuring := p.measureLag()
	defer stopMeasuring()
	p.start()
	defer func() {
		_ = p.process.Process.Kill()
		p.discovery.close()
		for _, s := range p.servers {
			s.close()
		}
	}()
	p.startClients()
	p.injectFaults(time.Now().Add(runDuration))
	p.checkNewClient()
	p.shutDown()
	p.checkRules()
}

// measureLag measures this process's longest scheduling delay, which the checks must not attribute to the gateway.
func (p *soakRun) measureLag() (stop func()) {
	done := make(chan struct{})
	go func() {
		const step = 2 * time.Millisecond
		for {
			startedAt := time.Now()
			select {
			case <-done:
				return
			case <-time.After(step):
			}
			p.maxLag.Store(max(p.maxLag.Load(), int64(time.Since(startedAt)-step)))
		}
	}()
	return func() { close(done) }
}

func (p *soakRun) start() {
	var err error
	p.discovery, err = newDiscovery()
	p.must(err)
	faults := rand.New(rand.NewPCG(p.seed, 3))
	p.rules, p.group = drawDeployment(faults), newReplication()
	for i := range 3 {
		p.addServer(i == 0, randomLag(faults), 0)
	}
	p.discovery.setHosts(p.listEntries()...)
	l, err := net.Listen("tcp4", "127.0.0.4:0")
	p.must(err)
	p.load = &clientLoad{address: l.Addr().String(), done: make(chan struct{}), group: p.group, marks: p.rules.marks}
	p.must(l.Close())
	p.writeConfig(0)
	p.process = exec.Command(os.Args[0])
	p.process.Env = append(os.Environ(), envFaults+"="+fmt.Sprint(p.seed), "EDGE_CONFIG="+filepath.Join(p.dir, "config.json"))
	pipe, err := p.process.StderrPipe()
	p.must(err)
	p.must(p.process.Start())
	listening := make(chan struct{})
	p.logReader.Go(func() {
		for s := bufio.NewScanner(pipe); s.Scan(); {
			if p.logLines = append(p.logLines, s.Text()); strings.Contains(s.Text(), "listening") {
				close(listening)
			}
		}
		p.exited <- p.process.Wait()
	})
	select {
	case <-listening:
	case err := <-p.exited:
		p.t.Fatal("the gateway did not start: ", err, p.logLines)
	}
}

// addServer starts a server with data of the given age.
func (p *soakRun) addServer(primary bool, lag, age time.Duration) {
	i := len(p.servers)
	name := fmt.Sprint("s", i)
	p.group.add(name, primary, lag, age)
	s, err := newServer(name, p.group, p.rules, p.attempts, rand.New(rand.NewPCG(p.seed, uint64(10+i))))
	p.must(err)
	p.servers = append(p.servers, s)
}

func (p *soakRun) listEntries() (entries []map[string]any) {
	for _, s := range p.servers {
		health := "active"
		if s.name == p.drainingServer {
			health = "leaving"
		}
		entries = append(entries, s.listEntry(health))
	}
	return entries
}

// writeConfig replaces the configuration file; discovery is at the address of this index.
func (p *soakRun) writeConfig(addressIndex int) {
	text, err := json.Marshal(map[string]any{"name": "n0", "listen": p.load.address, "discovery": p.discovery.listeners[addressIndex].Addr().String(),
		"seed": strconv.FormatUint(p.seed, 16), "limits": map[string]any{"memory_mb": 192, "sockets": socketLimit}, "known": p.discovery.list(),
		"settings": json.RawMessage(p.rules.settings())})
	p.must(err)
	next := filepath.Join(p.dir, "next.json")
	p.must(os.WriteFile(next, text, 0o600))
	p.must(os.Rename(next, filepath.Join(p.dir, "config.json")))
}

func (p *soakRun) startClients() {
	tolerance := responseTolerance + maxStopDuration
	client := func(n int, f func(*rand.Rand)) {
		for range n {
			random := rand.New(rand.NewPCG(p.seed, p.random.Uint64()))
			p.load.clients.Go(func() { f(random) })
		}
	}
	l := p.load
	client(6, func(r *rand.Rand) { l.runSteady(r, 1, tolerance) })
	client(2, func(r *rand.Rand) { l.runSteady(r, 3, tolerance) })
	client(2, l.runLeaving)
	client(2, func(r *rand.Rand) { l.runCancelling(r, tolerance) })
	client(1, func(r *rand.Rand) { l.runSlowWriter(r, tolerance) })
	if p.random.IntN(3) == 0 {
		client(1, func(r *rand.Rand) { l.runIdleCrowd(r, 2*socketLimit) })
	}
}

func (p *soakRun) signal(s syscall.Signal) { _ = p.process.Process.Signal(s) }

// injectFaults injects one random fault after another.
func (p *soakRun) injectFaults(end time.Time) {
	for time.Now().Before(end) {
		time.Sleep(time.Duration(p.random.IntN(200)) * time.Millisecond)
		duration := time.Duration(p.random.Int64N(int64(maxStopDuration)))
		switch p.random.IntN(10) {
		case 0:
			p.writeConfig(p.random.IntN(2))
			p.signal(syscall.SIGHUP)
		case 1:
			p.must(os.WriteFile(filepath.Join(p.dir, "config.json"), []byte("{"), 0o600))
			p.signal(syscall.SIGHUP)
			p.writeConfig(p.random.IntN(2))
		case 2:
			p.signal(syscall.SIGSTOP)
			time.Sleep(duration)
			p.signal(syscall.SIGCONT)
		case 3:
			p.denyDescriptors(duration)
		case 4:
			p.discovery.setDown(true)
			time.Sleep(2 * duration)
			p.discovery.setDown(false)
		case 5:
			p.servers[p.random.IntN(len(p.servers))].hang(5 * duration)
		case 6:
			p.drainReplica()
		case 7:
			p.group.freeze(p.servers[p.random.IntN(len(p.servers))].name, time.Duration(p.random.Int64N(int64(maxFreeze))))
		case 8:
			p.movePrimary(duration)
		case 9:
			p.joinReplica()
		}
	}
}

// checkNewClient checks that a new client is accepted, or rejected with an error, within maxTxnWait: accept must recover
// when its faults end.
func (p *soakRun) checkNewClient() {
	for end := time.Now().Add(maxTxnWait); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		c, err := p.load.connect()
		if err == nil {
			_ = c.Close()
		}
		if err == nil || errors.Is(err, errRejected) {
			return
		}
	}
	p.t.Error("no new client was accepted or rejected")
}

// denyDescriptors makes the kernel deny the process new descriptors for a while.
func (p *soakRun) denyDescriptors(duration time.Duration) {
	var original unix.Rlimit
	pid := p.process.Process.Pid
	p.must(unix.Prlimit(pid, unix.RLIMIT_NOFILE, nil, &original))
	p.must(unix.Prlimit(pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: 1, Max: original.Max}, nil))
	time.Sleep(duration)
	p.must(unix.Prlimit(pid, unix.RLIMIT_NOFILE, &original, nil))
}

// movePrimary hangs the primary for a while and promotes another server.
func (p *soakRun) movePrimary(duration time.Duration) {
	for _, s := range p.servers {
		if s.name == p.group.primary {
			s.hang(duration)
		}
	}
	p.group.promote(p.servers[p.random.IntN(2)].name, randomLag(p.random))
}

// joinReplica adds a replica with old data to the list, once per run; it catches up a while later.
func (p *soakRun) joinReplica() {
	if len(p.servers) > 3 {
		return
	}
	p.addServer(false, randomLag(p.random), copyAge)
	p.group.freeze(p.servers[3].name, maxFreeze)
	p.discovery.setHosts(p.listEntries()...)
}

// drainReplica lists a replica as draining, once per run; the replica keeps running.
func (p *soakRun) drainReplica() {
	if p.drainingServer != "" {
		return
	}
	p.drainingServer = p.servers[2].name
	p.discovery.setHosts(p.listEntries()...)
}

// shutDown sends SIGTERM and further signals, and fails if the process still runs at the earliest time at which the
// platform may kill it.
func (p *soakRun) shutDown() {
	p.terminatedAt = time.Now()
	p.signal(syscall.SIGTERM)
	kill := time.NewTimer(killAfter)
	defer kill.Stop()
	for range 3 {
		time.Sleep(time.Duration(p.random.IntN(200)) * time.Millisecond)
		p.signal([]syscall.Signal{syscall.SIGTERM, syscall.SIGHUP}[p.random.IntN(2)])
	}
	if p.random.IntN(2) == 0 {
		for _, s := range p.servers {
			s.hang(killAfter)
		}
	}
	select {
	case err := <-p.exited:
		if err != nil {
			p.t.Errorf("the gateway exited with %v", err)
		}
	case <-kill.C:
		_ = p.process.Process.Kill()
		<-p.exited
		p.t.Error("the gateway still ran when the platform may kill it")
	}
	close(p.load.done)
	p.load.clients.Wait()
	p.logReader.Wait()
}

// checkRules checks every request of the run against the rules.
func (p *soakRun) checkRules() {
	lag := time.Duration(p.maxLag.Load())
	counts := map[string]int{}
	for _, r := range p.load.requests {
		p.checkResult(r, counts)
		p.checkAttempts(r, p.attempts.byID[r.id], lag)
	}
	for _, line := range p.logLines {
		if strings.Contains(line, "request ends without an answer") || strings.Contains(line, "panic") {
			p.t.Error(line)
		}
	}
	p.t.Logf("%+v: %d requests %v, longest scheduling delay of this process %v", p.rules, len(p.load.requests), counts, lag)
	if p.t.Failed() {
		p.t.Logf("rerun: %s=%d go test -count=1 -run TestSoak ./gateway/soak\n%s", envSeeds, p.seed, strings.Join(p.logLines, "\n"))
	}
}

// checkResult checks that the request got its own value, one of the expected errors, or no response for a reason that
// the rules allow, and counts it.
func (p *soakRun) checkResult(r *request, counts map[string]int) {
	id := fmt.Sprintf("%016x", r.id)
	switch r.result {
	case id:
		counts["committed"]++
	case "53300", "40000", "57014":
		counts[r.result]++
	case resultUnread, resultClientLeft:
		counts[r.result]++
	default:
		p.t.Errorf("request %s, type %s, sent %v after SIGTERM, timeout %v: %s after %v; attempts %v", id, r.txnType,
			r.sentAt.Sub(p.terminatedAt), r.timeout, r.result, r.latency, p.attempts.byID[r.id])
	}
}

// checkAttempts checks the attempts that servers received for a request: how many, how late, and with which timeout.
func (p *soakRun) checkAttempts(r *request, attempts []*attempt, lag time.Duration) {
	id := fmt.Sprintf("%016x", r.id)
	slices.SortFunc(attempts, func(a, b *attempt) int { return a.receivedAt.Compare(b.receivedAt) })
	executed := slices.DeleteFunc(slices.Clone(attempts), func(a *attempt) bool { return a.missed })
	if r.txnType == "once" && len(executed) > 1 {
		p.t.Errorf("request %s, once only, was executed by servers %d times", id, len(executed))
	}
	if r.result == "53300" && r.isWrite() && len(executed) > 0 {
		p.t.Errorf("request %s was rejected but a server executed it", id)
	}
	for i, a := range executed {
		if elapsed := a.receivedAt.Sub(executed[0].receivedAt); r.txnType == "keyed" && elapsed > dedupWindow+lag {
			p.t.Errorf("request %s, keyed, reached %s %v after its first attempt (%d)", id, a.server, elapsed, i)
		}
		p.checkFreshness(id, a, lag)
	}
	for i, a := range attempts {
		if remaining := r.sentAt.Add(r.timeout).Sub(a.receivedAt); a.timeout > remaining+timeoutTolerance+lag {
			p.t.Errorf("request %s: %s received a timeout of %v, but its client waits %v", id, a.server, a.timeout, remaining)
		}
		if delay := a.receivedAt.Sub(r.leftAt); !r.leftAt.IsZero() && delay > leaveTolerance+maxStopDuration+lag {
			p.t.Errorf("request %s: attempt %d arrived %v after its client left", id, i+1, delay)
		}
		if listedAt := p.discovery.drainListedAt; a.server == p.drainingServer && !listedAt.IsZero() && a.receivedAt.Sub(listedAt) > maxDrainDelay+maxStopDuration+lag {
			p.t.Errorf("request %s reached %s %v after its drain was listed", id, a.server, a.receivedAt.Sub(listedAt))
		}
	}
}

// checkFreshness checks that a read was served from data that its type allows.
func (p *soakRun) checkFreshness(id string, a *attempt, lag time.Duration) {
	if a.position == 0 || p.group.mayBeTakenForPrimary(a.server, a.receivedAt.Add(-lag), answerNotice) {
		return
	}
	required := int64(0)
	switch {
	case a.txnType == "bounded":
		required = a.receivedAt.Add(-stalenessBound - limitTolerance - lag).UnixMilli()
	case a.txnType == "session" && p.rules.marks == "brought":
		required = a.after
	case a.txnType == "session":
		required = p.group.required(a.session, a.receivedAt.Add(-lag), answerNotice)
	}
	if a.position < required {
		p.t.Errorf("stale read: request %s, type %s, session %s: %s responded from data %d ms older than allowed, received %v before SIGTERM",
			id, a.txnType, a.session, a.server, required-a.position, p.terminatedAt.Sub(a.receivedAt))
	}
}
