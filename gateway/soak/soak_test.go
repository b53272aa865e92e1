// Package soak plays a gateway's process among stand-ins on loopback, with faults drawn by a seed: system calls that fail,
// signals in series, clients that leave, cancel or crowd, servers that hang, reset or drain, discovery that is down. Each play
// is judged by the five rules.
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

// envSeeds names the seeds to play, as 1-50.
const envSeeds = "MAGPIEGLADE_SOAK_SEEDS"

const usualSeeds = "1-36"

const settings = `{"classes":[
 {"effect":"repeatable","promiseMs":300,"hardLimitMs":1000,"worth":1,"name":"any"},
 {"effect":"by_key","group":"cell","windowMs":800,"promiseMs":500,"hardLimitMs":2000,"worth":4,"name":"keyed"},
 {"effect":"once","promiseMs":500,"hardLimitMs":2000,"worth":4,"name":"once"}],
 "familyInfo":{"consistency":["eventual","mutate","mutate"],"oldestDataMs":[0,0,0],"whenBehind":"await",
  "writeMarks":"brought","roleInList":"none","countedFromMs":146484879.702,"waitMs":20,"answersStamped":true},
 "fleetSize":2,"limits":{"cancelling":true,"maxAttempts":8,"mayDuplicate":false,"probes":true,"retryAfter":true,
  "connectTimeoutMs":250,"keepaliveMs":15000,"maxRetryAfterMs":1000},
 "loadReport":{"how":"none","fields":[]},"locality":0,"membershipMode":"ask","parties":[],
 "rules":{"askWithinMs":10000,"coldFrom":0.2,"coldMs":10000,"drainGraceMs":250,"fallMultiple":2,"overloadForMs":1000},
 "machineTypes":["m"],"zones":["a"],"tickMs":5}`

// Spans of a play and bounds of the rules.
const (
	beforeSIGTERM  = 2500 * time.Millisecond
	longest        = 2000 * time.Millisecond // that a class of the settings waits
	killAfter      = longest + 700*time.Millisecond
	window         = 800 * time.Millisecond // of the keyed class
	drainGrace     = 250 * time.Millisecond
	deadlineSlack  = 150 * time.Millisecond // of the deadline passed on
	leftSlack      = 100 * time.Millisecond // for an attempt behind its client's close
	mostStopped    = 100 * time.Millisecond // that SIGSTOP holds the process
	sockets        = 192
	mostOfDrainDue = drainGrace + 150*time.Millisecond
)

// play is one seed's.
type play struct {
	t       *testing.T
	seed    uint64
	random  *rand.Rand
	dir     string
	records *records
	servers []*server
	list    *discovery
	load    *load
	process *exec.Cmd
	lines   []string // of the process's log
	logged  sync.WaitGroup
	exited  chan error
	lag     atomic.Int64 // by which this process was late at the most, in nanoseconds
	drained string       // server that a list calls draining
	ending  time.Time    // when the first SIGTERM was sent
}

func seeds(t *testing.T) (all []uint64) {
	text := os.Getenv(envSeeds)
	if text == "" {
		text = usualSeeds
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
		all = append(all, seed)
	}
	return all
}

// TestSoak plays seeds and judges them by the rules.
func TestSoak(t *testing.T) {
	for _, seed := range seeds(t) {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			t.Parallel()
			p := &play{t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 0)), dir: t.TempDir(),
				records: &records{attempts: map[uint64][]attempt{}}, exited: make(chan error, 1)}
			p.run()
		})
	}
}

func (p *play) must(err error) {
	p.t.Helper()
	if err != nil {
		p.t.Fatal(err)
	}
}

func (p *play) run() {
	stopWatch := p.watchLag()
	defer stopWatch()
	p.start()
	defer func() {
		_ = p.process.Process.Kill()
		p.list.close()
		for _, s := range p.servers {
			s.close()
		}
	}()
	p.startClients()
	p.faultsUntil(time.Now().Add(beforeSIGTERM))
	p.hearsNewClient()
	p.end()
	p.judge()
}

// watchLag measures by how much this process is late, which its own times may not be blamed on the gateway for.
func (p *play) watchLag() (stop func()) {
	over := make(chan struct{})
	go func() {
		const step = 2 * time.Millisecond
		for {
			began := time.Now()
			select {
			case <-over:
				return
			case <-time.After(step):
			}
			p.lag.Store(max(p.lag.Load(), int64(time.Since(began)-step)))
		}
	}()
	return func() { close(over) }
}

func (p *play) start() {
	var err error
	p.list, err = newDiscovery()
	p.must(err)
	var hosts []map[string]any
	for i, mode := range []string{"read-write", "read-only", "read-only"} {
		s, err := newServer(fmt.Sprint("s", i), mode, p.records, rand.New(rand.NewPCG(p.seed, uint64(10+i))))
		p.must(err)
		p.servers = append(p.servers, s)
		hosts = append(hosts, s.host("active"))
	}
	p.list.set(hosts...)
	l, err := net.Listen("tcp4", "127.0.0.4:0")
	p.must(err)
	p.load = &load{address: l.Addr().String(), over: make(chan struct{})}
	p.must(l.Close())
	p.configure(0)
	p.process = exec.Command(os.Args[0])
	p.process.Env = append(os.Environ(), envFaults+"="+fmt.Sprint(p.seed), "EDGE_CONFIG="+filepath.Join(p.dir, "config.json"))
	pipe, err := p.process.StderrPipe()
	p.must(err)
	p.must(p.process.Start())
	listening := make(chan struct{})
	p.logged.Go(func() {
		for s := bufio.NewScanner(pipe); s.Scan(); {
			if p.lines = append(p.lines, s.Text()); strings.Contains(s.Text(), "listening") {
				close(listening)
			}
		}
		p.exited <- p.process.Wait()
	})
	select {
	case <-listening:
	case err := <-p.exited:
		p.t.Fatal("it does not start: ", err, p.lines)
	}
}

// configure writes the file, with discovery at one of its addresses.
func (p *play) configure(at int) {
	text, err := json.Marshal(map[string]any{"name": "n0", "listen": p.load.address, "discovery": p.list.listeners[at].Addr().String(),
		"seed": strconv.FormatUint(p.seed, 16), "limits": map[string]any{"memory_mb": 192, "sockets": sockets}, "known": p.list.list(),
		"settings": json.RawMessage(settings)})
	p.must(err)
	next := filepath.Join(p.dir, "next.json")
	p.must(os.WriteFile(next, text, 0o600))
	p.must(os.Rename(next, filepath.Join(p.dir, "config.json")))
}

func (p *play) startClients() {
	slack := answerSlack + mostStopped
	client := func(n int, f func(*rand.Rand)) {
		for range n {
			random := rand.New(rand.NewPCG(p.seed, p.random.Uint64()))
			p.load.clients.Go(func() { f(random) })
		}
	}
	l := p.load
	client(6, func(r *rand.Rand) { l.steady(r, 1, slack) })
	client(2, func(r *rand.Rand) { l.steady(r, 3, slack) })
	client(2, l.leaving)
	client(2, func(r *rand.Rand) { l.cancelling(r, slack) })
	client(1, func(r *rand.Rand) { l.slowWriters(r, slack) })
	if p.random.IntN(3) == 0 {
		client(1, func(r *rand.Rand) { l.crowd(r, 2*sockets) })
	}
}

func (p *play) signal(s syscall.Signal) { _ = p.process.Process.Signal(s) }

// faultsUntil brings about one fault after another.
func (p *play) faultsUntil(end time.Time) {
	for time.Now().Before(end) {
		time.Sleep(time.Duration(p.random.IntN(200)) * time.Millisecond)
		span := time.Duration(p.random.Int64N(int64(mostStopped)))
		switch p.random.IntN(7) {
		case 0:
			p.configure(p.random.IntN(2))
			p.signal(syscall.SIGHUP)
		case 1:
			p.must(os.WriteFile(filepath.Join(p.dir, "config.json"), []byte("{"), 0o600))
			p.signal(syscall.SIGHUP)
			p.configure(p.random.IntN(2))
		case 2:
			p.signal(syscall.SIGSTOP)
			time.Sleep(span)
			p.signal(syscall.SIGCONT)
		case 3:
			p.refuseDescriptors(span)
		case 4:
			p.list.setDown(true)
			time.Sleep(2 * span)
			p.list.setDown(false)
		case 5:
			p.servers[p.random.IntN(len(p.servers))].hang(5 * span)
		case 6:
			p.drain()
		}
	}
}

// hearsNewClient has a client that was never there before admitted, or told that there is no room for it: faults of accept
// last for a moment only.
func (p *play) hearsNewClient() {
	for end := time.Now().Add(longest); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		c, err := p.load.connect()
		if err == nil {
			_ = c.Close()
		}
		if err == nil || errors.Is(err, errTurnedAway) {
			return
		}
	}
	p.t.Error("no new client is heard")
}

// refuseDescriptors has the kernel refuse the process any new descriptor for a while.
func (p *play) refuseDescriptors(span time.Duration) {
	var former unix.Rlimit
	pid := p.process.Process.Pid
	p.must(unix.Prlimit(pid, unix.RLIMIT_NOFILE, nil, &former))
	p.must(unix.Prlimit(pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: 1, Max: former.Max}, nil))
	time.Sleep(span)
	p.must(unix.Prlimit(pid, unix.RLIMIT_NOFILE, &former, nil))
}

// drain has the list call a replica draining; it stays up.
func (p *play) drain() {
	if p.drained != "" {
		return
	}
	out := p.servers[2]
	p.drained = out.name
	p.list.set(p.servers[0].host("active"), p.servers[1].host("active"), out.host("leaving"))
}

// end tells the process to end, more than once, and kills it as late as the platform may do so at the earliest.
func (p *play) end() {
	p.ending = time.Now()
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
			p.t.Errorf("it ends with %v", err)
		}
	case <-kill.C:
		_ = p.process.Process.Kill()
		<-p.exited
		p.t.Error("it is still there when it may be killed")
	}
	close(p.load.over)
	p.load.clients.Wait()
	p.logged.Wait()
}

// judge holds the play to the rules.
func (p *play) judge() {
	lag := time.Duration(p.lag.Load())
	counts := map[string]int{}
	for _, r := range p.load.requests {
		p.judgeAnswer(r, counts)
		p.judgeAttempts(r, p.records.attempts[r.id], lag)
	}
	for _, line := range p.lines {
		if strings.Contains(line, "request ends without an answer") || strings.Contains(line, "panic") {
			p.t.Error(line)
		}
	}
	p.t.Logf("%d requests %v, this process late by %v at the most", len(p.load.requests), counts, lag)
	if p.t.Failed() {
		p.t.Logf("again: %s=%d go test -count=1 -run TestSoak ./gateway/soak\n%s", envSeeds, p.seed, strings.Join(p.lines, "\n"))
	}
}

func (p *play) judgeAnswer(r *request, counts map[string]int) {
	own := fmt.Sprintf("%016x", r.id)
	switch r.result {
	case own:
		counts["committed"]++
	case "53300", "40000", "57014":
		counts[r.result]++
	case unread, gone:
		counts[r.result]++
	default:
		p.t.Errorf("request %s, class %s, sent %v after SIGTERM, %v to wait: %s after %v; attempts %v", own, r.class,
			r.sent.Sub(p.ending), r.budget, r.result, r.took, p.records.attempts[r.id])
	}
}

func (p *play) judgeAttempts(r *request, attempts []attempt, lag time.Duration) {
	own := fmt.Sprintf("%016x", r.id)
	slices.SortFunc(attempts, func(a, b attempt) int { return a.at.Compare(b.at) })
	if r.class == "once" && len(attempts) > 1 {
		p.t.Errorf("request %s, once only, came to servers %d times", own, len(attempts))
	}
	if r.result == "53300" && r.class != "any" && len(attempts) > 0 {
		p.t.Errorf("request %s was declined, and came to a server", own)
	}
	for i, a := range attempts {
		if passed := a.at.Sub(attempts[0].at); r.class == "keyed" && passed > window+lag {
			p.t.Errorf("request %s, keyed, came to %s %v behind its first attempt", own, a.server, passed)
		}
		if left := r.sent.Add(r.budget).Sub(a.at); a.deadline > left+deadlineSlack+lag {
			p.t.Errorf("request %s: %s is told %v, its client waits %v", own, a.server, a.deadline, left)
		}
		if behind := a.at.Sub(r.left); !r.left.IsZero() && behind > leftSlack+mostStopped+lag {
			p.t.Errorf("request %s: attempt %d begins %v after its client left", own, i+1, behind)
		}
		if told := p.list.leftAt; a.server == p.drained && !told.IsZero() && a.at.Sub(told) > mostOfDrainDue+mostStopped+lag {
			p.t.Errorf("request %s came to %s %v after its drain was told", own, a.server, a.at.Sub(told))
		}
	}
}
