package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["7"] = staleByHint }

// homebuyer is the deployment homebuyer-calc with one shard.
func homebuyer() *site {
	return &site{membership: "ask", zones: []string{"austin", "dallas", "houston"}, machines: []string{"std-3core"},
		classes: []class{
			{name: "rate-lookup", aim: 200, deadline: 600, worth: 3, late: 0.2, effect: "repeatable", read: "lag_bound", bound: 300},
			{name: "my-scenarios", aim: 250, deadline: 750, worth: 3, effect: "repeatable", read: "causal"},
			{name: "assistance-check", aim: 600, deadline: 2000, worth: 1, effect: "repeatable", read: "strong"},
			{name: "county-report", aim: 4000, deadline: 8000, worth: 6, effect: "repeatable", read: "eventual"},
			{name: "grant-reserve", aim: 600, deadline: 3000, worth: 3, late: 0.3, effect: "once", read: "mutate"},
		},
		reports: "probe", fields: []string{"x0", "x1"}, stamped: true, roles: "trailing", whenBehind: "none", writeMarks: "brought", attempts: 6,
		drainGrace: 250, softGone: true, coldFrom: 0.23, coldMs: 15000, multiple: 4, overloadMs: 1500, fleet: 4}
}

// The users' figures for homebuyer-calc.
const (
	deadFor     = 5600 * time.Millisecond // databases die and come back after 5.6 to 24 s
	takenOver   = 5550 * time.Millisecond // given up after 1.2 to 2.7 s, replaced 1.6 to 3.2 s later
	roleNotice  = 4000 * time.Millisecond // the roster names the primary 2 to 4.1 s late
	applySpeed  = 2.6                     // one thread, busy 31 to 59% of the time: it applies 1.7 to 3.2 s of the log a second
	usualLag    = 10 * time.Millisecond   // of a replica, 4.6 to 12 ms
	readingTime = 40 * time.Millisecond
	// What an answer tells counts as known 100 ms after it was written, on sockets 50 ms more.
	toldGrace = 150 * time.Millisecond
)

// The course of a play, from when the former primary is back. Each has servers and gateways of its own.
const (
	plays        = 5
	restartAfter = 1000 * time.Millisecond // a killed gateway is there again
	checkAfter   = 3150 * time.Millisecond
)

// shard is a primary and its replicas: one log and who has applied how much of it.
type shard struct {
	mu       sync.Mutex
	rec      *record
	members  []*shardMember
	commits  []int64                 // positions, in Unix milliseconds
	answered int                     // commits that were answered
	viaFirst map[string]bool         // ids of the requests that went through the first gateway
	servedBy map[string]*shardMember // by id of a read
}

type shardMember struct {
	s       *shard
	d       *database
	name    string
	primary bool
	was     bool      // the primary, at any time
	diedAt  time.Time // it goes on from where it stood then
	backAt  time.Time
	toldAt  time.Time // when it first told the first gateway that it is the primary no more
}

// position is the time up to which a member has applied every commit; the caller holds the lock.
func (m *shardMember) position(now time.Time) int64 {
	switch {
	case m.primary:
		return now.UnixMilli()
	case !m.backAt.IsZero():
		made := m.diedAt.Add(time.Duration(applySpeed * float64(now.Sub(m.backAt))))
		return min(made.UnixMilli(), now.Add(-usualLag).UnixMilli())
	}
	return now.Add(-usualLag).UnixMilli()
}

// visible is how many commits a member has applied; the caller holds the lock.
func (m *shardMember) visible(now time.Time) (n int) {
	at := m.position(now)
	for _, c := range m.s.commits {
		if m.primary || c <= at {
			n++
		}
	}
	return n
}

// answer serves a read with the number of commits that it sees, and a write with its own.
func (m *shardMember) answer(q *query) reply {
	s := m.s
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	at := m.position(now)
	if s.viaFirst[q.id] && m.was && !m.primary && m.toldAt.IsZero() {
		m.toldAt = now
		if !q.write {
			m.toldAt = now.Add(readingTime)
		}
		s.rec.logf("%s tells n1 with its answer to %s that it is a replica", m.name, q.id)
	}
	switch {
	case q.write && !m.primary:
		return reply{code: "25006", status: status(false, at)}
	case q.write:
		at = now.UnixMilli() + 1
		s.commits = append(s.commits, at)
		return reply{work: 5 * time.Millisecond, value: strconv.Itoa(len(s.commits)), status: status(true, at)}
	}
	s.servedBy[q.id] = m
	return reply{work: readingTime, value: strconv.Itoa(m.visible(now)), status: status(m.primary, at)}
}

func (m *shardMember) report() reply {
	m.s.mu.Lock()
	defer m.s.mu.Unlock()
	role := 0
	if m.primary {
		role = 1
	}
	return reply{value: fmt.Sprintf("x0=%.3f,x1=%d", float64(m.position(time.Now()))/1000, role)}
}

// die ends a member's process.
func (m *shardMember) die() {
	m.s.mu.Lock()
	m.diedAt, m.primary, m.backAt, m.toldAt = time.Now(), false, time.Time{}, time.Time{}
	m.s.mu.Unlock()
	m.s.rec.logf("%s dies", m.name)
	m.d.kill()
}

// comeBack starts a member again at its address, as a replica that goes on from where it stood.
func (m *shardMember) comeBack() error {
	l, err := net.Listen("tcp4", m.d.address)
	if err != nil {
		return err
	}
	m.s.mu.Lock()
	m.backAt = time.Now()
	m.s.mu.Unlock()
	m.s.rec.logf("%s is back, a replica %v behind", m.name, time.Since(m.diedAt).Round(time.Millisecond))
	m.d.listener = l
	go m.d.serve(l)
	return nil
}

// promote makes a member the primary.
func (m *shardMember) promote() {
	m.s.mu.Lock()
	defer m.s.mu.Unlock()
	m.primary, m.was = true, true
	m.s.rec.logf("%s is the primary", m.name)
}

// fleetOfFour is three gateways that talk to each other, and one that runs without an operator's file.
type fleetOfFour struct {
	configs  []gatewayConfig
	gateways []*gateway
}

// freeDatagramAddress returns a loopback address with a free UDP port.
func freeDatagramAddress() (string, error) {
	for range 1000 {
		c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: firstPort + rand.IntN(ports)})
		if errors.Is(err, syscall.EADDRINUSE) {
			continue
		}
		if err != nil {
			return "", err
		}
		defer c.Close()
		return c.LocalAddr().String(), nil
	}
	return "", syscall.EADDRINUSE
}

// startFleet starts the gateways and founds the fleet, as docs/agreement.md says.
func (r *rig) startFleet(list *discovery, play int) (*fleetOfFour, error) {
	key := filepath.Join(r.temp, "peer.key")
	if err := os.WriteFile(key, []byte(strings.Repeat("0123456789abcdef", 2)), 0o600); err != nil {
		return nil, err
	}
	var peers []string
	for range 3 {
		p, err := freeDatagramAddress()
		if err != nil {
			return nil, err
		}
		peers = append(peers, p)
	}
	f := new(fleetOfFour)
	control := filepath.Join(r.temp, fmt.Sprintf("n1-%d.control", play))
	for i := range 4 {
		name := fmt.Sprintf("n%d", i+1)
		listen, err := freeAddress()
		if err != nil {
			return nil, err
		}
		operator := ""
		if i < 3 {
			operator = fmt.Sprintf(`control = %q
agreement {
  listen  = %q
  address = %q
  ask     = [%q, %q, %q]
  folder  = %q
  zone    = "austin"
  without_agreement = "serve"
  key "1" { file = %q }
}
coordination {
  signals = true
}
`, filepath.Join(r.temp, fmt.Sprintf("%s-%d.control", name, play)), peers[i], peers[i], peers[0], peers[1], peers[2], filepath.Join(r.temp, fmt.Sprintf("%s-%d.agreement", name, play)), key)
		}
		c := gatewayConfig{name: name, listen: listen, discovery: list.address, known: list.snapshot(), settings: homebuyer().settings(), operator: operator}
		g, err := r.startGateway(c)
		if err != nil {
			return nil, err
		}
		if err := g.awaitReady(30 * time.Second); err != nil {
			return nil, err
		}
		f.configs, f.gateways = append(f.configs, c), append(f.gateways, g)
	}
	for _, args := range [][]string{{"fleet", "found", "--control", control}, {"fleet", "voters", "--control", control, "--add", "n2", "--add", "n3"}} {
		for attempt := 0; ; attempt++ {
			out, err := exec.Command(filepath.Join(r.root, "bin", "magpieglade"), args...).CombinedOutput()
			r.logf("magpieglade %v: %s %v", args, strings.TrimSpace(string(out)), err)
			if err == nil {
				break
			}
			if attempt == 10 {
				return nil, errors.New("the fleet can't be founded")
			}
			time.Sleep(time.Second)
		}
		time.Sleep(3 * time.Second)
	}
	return f, nil
}

// shardClients are the clients of the fleet.
type shardClients struct {
	r             *rig
	s             *shard
	f             *fleetOfFour
	checks, stale int
}

// write commits through a gateway.
func (c *shardClients) write(g *gateway) bool {
	id := c.newID(g)
	o, err := c.r.request(g, id, writeText(id, "grant-reserve", "00000000000000aa", "", "v", 3*time.Second), 3*time.Second)
	if err != nil || o.kind != "served" {
		return false
	}
	n, _ := strconv.Atoi(o.value)
	c.s.mu.Lock()
	c.s.answered = max(c.s.answered, n)
	c.s.mu.Unlock()
	return true
}

func (c *shardClients) newID(g *gateway) string {
	id := newID()
	if g == c.f.gateways[0] {
		c.s.mu.Lock()
		c.s.viaFirst[id] = true
		c.s.mu.Unlock()
	}
	return id
}

// check sends a read that must see every commit that was answered before, through the first gateway.
func (c *shardClients) check() {
	g, s := c.f.gateways[0], c.s
	id := c.newID(g)
	s.mu.Lock()
	before, sentAt := s.answered, time.Now()
	s.mu.Unlock()
	o, err := c.r.request(g, id, readText(id, "assistance-check", "00000000000000bb", 2*time.Second, 0), 2*time.Second)
	if err != nil || o.kind != "served" {
		return
	}
	c.checks++
	n, _ := strconv.Atoi(o.value)
	if n >= before {
		return
	}
	s.mu.Lock()
	m := s.servedBy[id]
	toldAt := m.toldAt
	s.mu.Unlock()
	if toldAt.IsZero() || sentAt.Sub(toldAt) < toldGrace {
		c.r.logf("excused: %s shows %d commits, %d had been answered; %s had not told that it is a replica", id, n, before, m.name)
		return
	}
	c.stale++
	c.r.logf("broken: %s through %s shows %d commits, %d had been answered before it was sent; %s had told it %d ms before that it is a replica",
		id, g.name, n, before, m.name, sentAt.Sub(toldAt).Milliseconds())
}

// staleByHint lets a primary die and come back behind, while one gateway of the fleet is killed and starts anew. It checks reads
// that must see every commit that was answered before they were sent.
func staleByHint(r *rig) (broken string, err error) {
	checks, stale := 0, 0
	for play := range plays {
		c, err := r.playSwitch(play)
		endGateways()
		if err != nil {
			return "", err
		}
		if c.checks < 3 {
			return "", errors.New("too few checks were served")
		}
		checks, stale = checks+c.checks, stale+c.stale
	}
	r.logf("%d checks served, %d stale", checks, stale)
	if stale > 0 {
		return fmt.Sprintf("%d of %d reads were answered from data that lacked commits answered before they were sent", stale, checks), nil
	}
	return "", nil
}

// playSwitch plays one switch of the primary.
func (r *rig) playSwitch(play int) (c *shardClients, err error) {
	s := &shard{rec: r.record, viaFirst: map[string]bool{}, servedBy: map[string]*shardMember{}}
	var hosts []host
	for i := range 5 {
		m := &shardMember{s: s, name: fmt.Sprintf("s-%d", i+1), primary: i == 0, was: i == 0}
		if m.d, err = newDatabase(r.record, m.name, m.answer); err != nil {
			return nil, err
		}
		defer m.d.kill()
		m.d.probe = m.report
		s.members = append(s.members, m)
		hosts = append(hosts, host{Host: m.name, Dial: m.d.address, Site: "austin", Class: "std-3core", Block: 2, Health: "active", Share: 1, Mode: "read-only"})
	}
	hosts[0].Mode = "read-write"
	list, err := newDiscovery(r.record, hosts...)
	if err != nil {
		return nil, err
	}
	r.logf("play %d", play+1)
	f, err := r.startFleet(list, play)
	if err != nil {
		return nil, err
	}
	c = &shardClients{r: r, s: s, f: f}
	done := make(chan struct{})
	var working sync.WaitGroup
	work := func(pause time.Duration, f func()) {
		working.Go(func() {
			for {
				select {
				case <-done:
					return
				case <-time.After(pause):
					f()
				}
			}
		})
	}
	defer working.Wait()
	defer close(done)
	work(100*time.Millisecond, func() { c.write(f.gateways[3]) })
	work(30*time.Millisecond, func() { // sessions that have written nothing
		id := newID()
		_, _ = r.request(f.gateways[1], id, readText(id, "my-scenarios", id, 750*time.Millisecond, 0), time.Second)
	})
	for range 3 { // an ordinary start
		if !c.write(f.gateways[0]) || !c.write(f.gateways[1]) {
			return nil, errors.New("a write was not served on a calm start")
		}
		c.check()
	}
	if r.trouble {
		if err := c.switchPrimary(list, hosts); err != nil {
			return nil, err
		}
	}
	for range 6 {
		c.check()
		time.Sleep(400 * time.Millisecond)
	}
	return c, nil
}

// switchPrimary lets a primary die, another one take over, and the first come back.
func (c *shardClients) switchPrimary(list *discovery, hosts []host) (err error) {
	former, next, f := c.s.members[0], c.s.members[1], c.f
	began := time.Now()
	former.die()
	f.gateways[2].signal(syscall.SIGKILL)
	<-f.gateways[2].ended
	time.Sleep(time.Until(began.Add(takenOver)))
	next.promote()
	born := began.Add(deadFor)
	time.AfterFunc(roleNotice, func() {
		later := append([]host(nil), hosts...)
		later[0].Mode, later[0].BornMs, later[1].Mode = "read-only", float64(born.UnixMilli()), "read-write"
		list.set(later...)
	})
	time.Sleep(time.Until(born))
	if err := former.comeBack(); err != nil {
		return err
	}
	c.write(f.gateways[0]) // they look for the new primary
	c.write(f.gateways[1])
	time.Sleep(time.Until(born.Add(restartAfter)))
	f.configs[2].known = list.snapshot()
	f.gateways[2], err = c.r.startGateway(f.configs[2])
	time.Sleep(time.Until(born.Add(checkAfter)))
	return err
}
