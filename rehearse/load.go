package rehearse

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"magpieglade/rehearse/audit"
	"magpieglade/standin"
)

// Load is what drives gateways at some addresses: a scenario's txn types and traffic, and nothing of its fleet.
type Load struct {
	Scenario      *Scenario
	Addresses     []string
	Group         int    // that all txns name
	SessionPrefix uint32 // of sessions' keys, so that two loads do not share them
}

// LoadReport is what came of it. Answers are all that is seen: effects, drains and cold members are not, so only the rules
// of answers and of stale reads are audited.
type LoadReport struct {
	Service    audit.Service
	Violations []audit.Violation
	SendDelay  *hdrhistogram.Histogram // microseconds between when a try was due and when it was sent
	Elapsed    time.Duration
	Errors     map[string]int // of connections, by what they say
}

// Drive sends a scenario's traffic in open loop: what is due is sent, whatever has come back, and counts from when it was due.
func RunLoad(l *Load, watch func(Progress)) (*LoadReport, error) {
	s := l.Scenario
	if len(l.Addresses) == 0 {
		return nil, fmt.Errorf("there is no address")
	}
	began := time.Now()
	d := newDriver(s, began)
	// Another at each start: ids belong to one txn as long as it is open, and keys as long as databases remember them.
	first := uint64(began.UnixNano()) << 16
	d.lastID.Store(first)
	d.lastKey.Store(first)
	d.sessionPrefix, d.groupOf = l.SessionPrefix, func(int) int { return l.Group }
	for _, a := range l.Addresses {
		d.endpoints = append(d.endpoints, &endpoint{pool: standin.NewClientPool(a), address: a})
	}
	d.run(watch)
	t := s.auditConfig(250e6)
	t.OverloadFactor = 0
	var kept []audit.Violation
	for _, v := range audit.Check(t, &d.log) {
		if v.Rule == audit.RuleNoLoss || v.Rule == audit.RuleNoStaleRead {
			kept = append(kept, v)
		}
	}
	return &LoadReport{Service: audit.Measure(t, &d.log), Violations: kept, SendDelay: d.sendDelay, Elapsed: time.Since(d.start), Errors: d.errors}, nil
}

// driver is a load under way.
type driver struct {
	scenario      *Scenario
	sessionPrefix uint32
	groupOf       func(session int) int
	endpoints     []*endpoint
	rng           *rand.Rand
	thinkRNG      *rand.Rand // of mu's, as whoever was answered draws from it
	start         time.Time
	mu            sync.Mutex
	sessions      []person
	log           audit.Log
	sendDelay     *hdrhistogram.Histogram
	errors        map[string]int
	lastID        atomic.Uint64
	lastKey       atomic.Uint64
	served        atomic.Int64
	wg            sync.WaitGroup
}

// door is a gateway as clients reach it, with the connections that wait for the next txn.
type endpoint struct {
	pool    *standin.ClientPool
	address string
	mu      sync.Mutex
	idle    []*standin.Client
	downAt  time.Time // of a process that was ended; not set while it runs
}

// mostIdle is how many connections a door keeps.
const maxIdle = 1000

func (o *endpoint) acquire() *standin.Client {
	o.mu.Lock()
	defer o.mu.Unlock()
	if k := len(o.idle); k > 0 {
		c := o.idle[k-1]
		o.idle = o.idle[:k-1]
		return c
	}
	return o.pool.NewClient("", standin.TxnTypes{})
}

func (o *endpoint) release(c *standin.Client) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.downAt.IsZero() && len(o.idle) < maxIdle {
		o.idle = append(o.idle, c)
		return
	}
	c.Close()
}

// set says that its process runs or has ended.
func (o *endpoint) setRunning(runs bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.idle, o.downAt = nil, time.Time{}
	if !runs {
		o.downAt = time.Now()
	}
}

// away tells that the front has seen that it is down.
func (o *endpoint) isDown() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return !o.downAt.IsZero() && time.Since(o.downAt) > 100*time.Millisecond
}

func newDriver(s *Scenario, began time.Time) *driver {
	return &driver{scenario: s, start: began, sessions: make([]person, s.Traffic.Sessions), sendDelay: hdrhistogram.New(1, 60_000_000, 3), errors: map[string]int{},
		rng: rand.New(rand.NewPCG(s.Seed, 13)), thinkRNG: rand.New(rand.NewPCG(s.Seed, 15))}
}

func (d *driver) now() int64 { return int64(time.Since(d.start)) }

// send sends what is due when it is due: who waits for an answer holds nobody else up.
func (d *driver) run(watch func(Progress)) {
	s := d.scenario
	sum := 0.0
	for _, t := range s.Types {
		sum += t.Weight
	}
	asked := 0
	over := make(chan struct{})
	if s.Traffic.BadClientRate > 0 {
		d.wg.Add(1)
		go func() {
			defer d.wg.Done()
			d.rude(over)
		}()
	}
	for next, shown := int64(0), int64(0); ; {
		next += int64(d.rng.ExpFloat64() / max(0.001, s.Traffic.rateAt(next)) * 1e9)
		if next >= s.Length {
			break
		}
		time.Sleep(time.Until(d.start.Add(time.Duration(next))))
		if watch != nil && next-shown > 1e9 {
			shown = next
			watch(Progress{At: next, Length: s.Length, Asked: asked, Served: int(d.served.Load())})
		}
		x := d.rng.Float64() * sum
		kind := 0
		for kind < len(s.Types)-1 && x >= s.Types[kind].Weight {
			x -= s.Types[kind].Weight
			kind++
		}
		w := &wish{kind: kind, session: d.rng.IntN(len(d.sessions)), due: next}
		no := w.session % len(d.endpoints)
		if d.rng.Float64() < s.Traffic.RoamingFraction {
			no = d.rng.IntN(len(d.endpoints))
		}
		if s.Types[kind].Consistency == "mutate" {
			d.mu.Lock()
			for i := 0; i < 20 && d.sessions[w.session].writing; i++ {
				w.session = d.rng.IntN(len(d.sessions))
			}
			p := &d.sessions[w.session]
			p.writing = true
			p.written++
			w.version = p.written
			if s.Types[kind].Effect == "by_key" {
				w.key = d.lastKey.Add(1)
			}
			d.mu.Unlock()
		}
		if s.Types[kind].Consistency != "mutate" && s.Traffic.PipelinedFraction > 0 && d.rng.Float64() < s.Traffic.PipelinedFraction/batch {
			all := []*wish{w}
			for len(all) < batch {
				all = append(all, &wish{kind: kind, session: w.session, due: next})
			}
			asked += batch
			d.wg.Add(1)
			go func() {
				defer d.wg.Done()
				d.piped(all, no)
			}()
			continue
		}
		asked++
		d.wg.Add(1)
		go func() {
			defer d.wg.Done()
			d.runTxn(w, no)
		}()
	}
	close(over)
	d.wg.Wait()
	for _, o := range d.endpoints {
		for _, c := range o.idle {
			c.Close()
		}
	}
}

// wish has a client try, and come again as it is told.
func (d *driver) runTxn(x *wish, no int) {
	s := d.scenario
	t := &s.Types[x.kind]
	for {
		for i := 0; i < len(d.endpoints) && d.endpoints[no].isDown(); i++ {
			no = (no + 1) % len(d.endpoints)
		}
		c := d.endpoints[no].acquire()
		id := d.lastID.Add(1)
		if x.tries++; x.first == 0 {
			x.first = id
		}
		d.mu.Lock()
		p := &d.sessions[x.session]
		at := d.now()
		if x.tries == 1 {
			_ = d.sendDelay.RecordValue(max(1, (at-x.due)/1000))
		}
		left := x.due + t.MaxWait - at
		d.log.Attempts = append(d.log.Attempts, audit.Attempt{ID: id, FirstID: x.first, Session: uint64(x.session) + 1, Type: x.kind, Key: x.key, Version: x.version,
			MinVersion: p.told, DueAt: x.due, SentAt: at, Deadline: at + left, Gateway: no})
		d.mu.Unlock()
		c.SessionCode, c.Group, c.Timeout = fmt.Sprintf("%08x%08x", d.sessionPrefix, x.session+1), d.groupOf(x.session), time.Duration(max(1e6, left))
		c.Types = standin.TxnTypes{Write: t.Name, Read: t.Name}
		var a standin.Response
		if t.Consistency == "mutate" {
			key := ""
			if x.key != 0 {
				key = fmt.Sprint("k", x.key)
			}
			a = c.WriteWithID(id, 0, key, fmt.Sprintf("%08d", x.version))
		} else {
			a = c.ReadWithID(id, 0)
		}
		k, version := audit.Served, uint64(0)
		switch {
		case a.Err != nil || a.Code == "57P03" || strings.HasPrefix(a.Code, "08"):
			k = audit.Disconnected
			c.Close()
		case a.Code == "53300":
			k = audit.Declined
		case a.Code != "":
			k = audit.RolledBack
		default:
			version, _ = strconv.ParseUint(a.Value, 10, 64)
			d.served.Add(1)
		}
		now := d.now()
		d.mu.Lock()
		d.log.Responses = append(d.log.Responses, audit.Response{ID: id, At: now, Outcome: k, Version: version})
		if k == audit.Served && t.Consistency == "mutate" {
			p.told = max(p.told, x.version)
			if kind := s.followUpType(); kind >= 0 {
				think := time.Duration(d.thinkRNG.ExpFloat64() * float64(s.Traffic.ThinkTime))
				d.wg.Add(1)
				go func() {
					defer d.wg.Done()
					if time.Sleep(think); d.now() < s.Length {
						d.runTxn(&wish{kind: kind, session: x.session, due: d.now()}, no)
					}
				}()
			}
		}
		if k == audit.Disconnected {
			d.errors[strings.TrimSpace(a.Code+" "+fmt.Sprint(a.Err))]++
		} else {
			d.endpoints[no].release(c)
		}
		again, _ := strconv.Atoi(a.RetryAfter)
		pause := max(int64(again)*1e6, int64(20e6))
		repeatable := t.Effect == "repeatable" || k == audit.Declined
		over := k == audit.Served || !s.Traffic.Retry || !repeatable || x.tries >= 5 || now+pause >= x.due+t.MaxWait-int64(50e6)
		if over && t.Consistency == "mutate" {
			p.writing = false
		}
		d.mu.Unlock()
		if over {
			return
		}
		time.Sleep(time.Duration(pause))
	}
}
