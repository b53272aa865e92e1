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

// Load configures a load test of running gateways: it uses a scenario's txn types and traffic, but not its fleet.
type Load struct {
	Scenario      *Scenario
	Addresses     []string
	Group         int    // database group that all txns address
	SessionPrefix uint32 // of session codes, so that concurrent loads don't share sessions
}

// LoadReport holds the results of a load test. Only responses are observed, not effects, drains or cold members, so the
// audit covers only RuleNoLoss and RuleNoStaleRead.
type LoadReport struct {
	Service    audit.Service
	Violations []audit.Violation
	SendDelay  *hdrhistogram.Histogram // microseconds from a txn's scheduled time to its first attempt
	Elapsed    time.Duration
	Errors     map[string]int // failed attempts, by error text
}

// RunLoad sends a scenario's traffic in an open loop: txns are sent at their scheduled times, whatever has been answered, and
// latencies count from the scheduled time.
func RunLoad(l *Load, watch func(Progress)) (*LoadReport, error) {
	s := l.Scenario
	if len(l.Addresses) == 0 {
		return nil, fmt.Errorf("no gateway address given")
	}
	start := time.Now()
	d := newDriver(s, start)
	// Start at a different value on each run: an ID must be unique among open txns, and a key must be unique for as long as
	// databases remember it.
	first := uint64(start.UnixNano()) << 16
	d.lastID.Store(first)
	d.lastKey.Store(first)
	d.sessionPrefix, d.groupOf = l.SessionPrefix, func(int) int { return l.Group }
	for _, a := range l.Addresses {
		d.endpoints = append(d.endpoints, &endpoint{pool: standin.NewClientPool(a), address: a})
	}
	d.run(watch)
	config := s.auditConfig(250e6)
	config.OverloadFactor = 0
	var violations []audit.Violation
	for _, v := range audit.Check(config, &d.log) {
		if v.Rule == audit.RuleNoLoss || v.Rule == audit.RuleNoStaleRead {
			violations = append(violations, v)
		}
	}
	return &LoadReport{Service: audit.Measure(config, &d.log), Violations: violations, SendDelay: d.sendDelay, Elapsed: time.Since(d.start), Errors: d.errors}, nil
}

// driver is a load generator.
type driver struct {
	scenario      *Scenario
	sessionPrefix uint32
	groupOf       func(session int) int
	endpoints     []*endpoint
	rng           *rand.Rand
	thinkRNG      *rand.Rand // for think times; guarded by mu, as the goroutines of responses draw from it
	start         time.Time
	mu            sync.Mutex
	sessions      []clientSession
	log           audit.Log
	sendDelay     *hdrhistogram.Histogram
	errors        map[string]int
	lastID        atomic.Uint64
	lastKey       atomic.Uint64
	served        atomic.Int64
	wg            sync.WaitGroup
}

// endpoint is a gateway's client address, with a pool of idle connections.
type endpoint struct {
	pool    *standin.ClientPool
	address string
	mu      sync.Mutex
	idle    []*standin.Client
	downAt  time.Time // when the process was killed; zero while it runs
}

// maxIdle is the maximum number of idle connections per endpoint.
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

// setRunning records whether the gateway's process runs, and forgets the idle connections.
func (o *endpoint) setRunning(running bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.idle, o.downAt = nil, time.Time{}
	if !running {
		o.downAt = time.Now()
	}
}

// isDown reports whether the process has been down for long enough that clients have noticed.
func (o *endpoint) isDown() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return !o.downAt.IsZero() && time.Since(o.downAt) > 100*time.Millisecond
}

func newDriver(s *Scenario, began time.Time) *driver {
	return &driver{scenario: s, start: began, sessions: make([]clientSession, s.Traffic.Sessions), sendDelay: hdrhistogram.New(1, 60_000_000, 3), errors: map[string]int{},
		rng: rand.New(rand.NewPCG(s.Seed, 13)), thinkRNG: rand.New(rand.NewPCG(s.Seed, 15))}
}

func (d *driver) now() int64 { return int64(time.Since(d.start)) }

// run sends each txn at its scheduled time, in its own goroutine, so that no txn waits for another's response.
func (d *driver) run(watch func(Progress)) {
	s := d.scenario
	totalWeight := 0.0
	for _, t := range s.Types {
		totalWeight += t.Weight
	}
	attempted := 0
	done := make(chan struct{})
	if s.Traffic.BadClientRate > 0 {
		d.wg.Add(1)
		go func() {
			defer d.wg.Done()
			d.runBadClients(done)
		}()
	}
	for next, lastProgress := int64(0), int64(0); ; {
		next += int64(d.rng.ExpFloat64() / max(0.001, s.Traffic.rateAt(next)) * 1e9)
		if next >= s.Length {
			break
		}
		time.Sleep(time.Until(d.start.Add(time.Duration(next))))
		if watch != nil && next-lastProgress > 1e9 {
			lastProgress = next
			watch(Progress{At: next, Length: s.Length, Requested: attempted, Served: int(d.served.Load())})
		}
		x := d.rng.Float64() * totalWeight
		kind := 0
		for kind < len(s.Types)-1 && x >= s.Types[kind].Weight {
			x -= s.Types[kind].Weight
			kind++
		}
		txn := &clientRequest{txnType: kind, session: d.rng.IntN(len(d.sessions)), dueAt: next}
		gateway := txn.session % len(d.endpoints)
		if d.rng.Float64() < s.Traffic.RoamingFraction {
			gateway = d.rng.IntN(len(d.endpoints))
		}
		if s.Types[kind].Consistency == "mutate" {
			d.mu.Lock()
			for i := 0; i < 20 && d.sessions[txn.session].writing; i++ {
				txn.session = d.rng.IntN(len(d.sessions))
			}
			session := &d.sessions[txn.session]
			session.writing = true
			session.lastSent++
			txn.version = session.lastSent
			if s.Types[kind].Effect == "by_key" {
				txn.key = d.lastKey.Add(1)
			}
			d.mu.Unlock()
		}
		if s.Types[kind].Consistency != "mutate" && s.Traffic.PipelinedFraction > 0 && d.rng.Float64() < s.Traffic.PipelinedFraction/pipelineDepth {
			all := []*clientRequest{txn}
			for len(all) < pipelineDepth {
				all = append(all, &clientRequest{txnType: kind, session: txn.session, dueAt: next})
			}
			attempted += pipelineDepth
			d.wg.Add(1)
			go func() {
				defer d.wg.Done()
				d.sendPipelined(all, gateway)
			}()
			continue
		}
		attempted++
		d.wg.Add(1)
		go func() {
			defer d.wg.Done()
			d.runTxn(txn, gateway)
		}()
	}
	close(done)
	d.wg.Wait()
	for _, o := range d.endpoints {
		for _, c := range o.idle {
			c.Close()
		}
	}
}

// runTxn sends a txn and retries it after the delay that the gateway asks for.
func (d *driver) runTxn(txn *clientRequest, gateway int) {
	s := d.scenario
	t := &s.Types[txn.txnType]
	for {
		for i := 0; i < len(d.endpoints) && d.endpoints[gateway].isDown(); i++ {
			gateway = (gateway + 1) % len(d.endpoints)
		}
		client := d.endpoints[gateway].acquire()
		id := d.lastID.Add(1)
		if txn.attempts++; txn.firstID == 0 {
			txn.firstID = id
		}
		d.mu.Lock()
		session := &d.sessions[txn.session]
		at := d.now()
		if txn.attempts == 1 {
			_ = d.sendDelay.RecordValue(max(1, (at-txn.dueAt)/1000))
		}
		remaining := txn.dueAt + t.MaxWait - at
		d.log.Attempts = append(d.log.Attempts, audit.Attempt{ID: id, FirstID: txn.firstID, Session: uint64(txn.session) + 1, Type: txn.txnType, Key: txn.key, Version: txn.version,
			MinVersion: session.confirmed, DueAt: txn.dueAt, SentAt: at, Deadline: at + remaining, Gateway: gateway})
		d.mu.Unlock()
		client.SessionCode, client.Group, client.Timeout = fmt.Sprintf("%08x%08x", d.sessionPrefix, txn.session+1), d.groupOf(txn.session), time.Duration(max(1e6, remaining))
		client.Types = standin.TxnTypes{Write: t.Name, Read: t.Name}
		var response standin.Response
		if t.Consistency == "mutate" {
			key := ""
			if txn.key != 0 {
				key = fmt.Sprint("k", txn.key)
			}
			response = client.WriteWithID(id, 0, key, fmt.Sprintf("%08d", txn.version))
		} else {
			response = client.ReadWithID(id, 0)
		}
		outcome, version := audit.Served, uint64(0)
		switch {
		case response.Err != nil || response.Code == "57P03" || strings.HasPrefix(response.Code, "08"):
			outcome = audit.Disconnected
			client.Close()
		case response.Code == "53300":
			outcome = audit.Declined
		case response.Code != "":
			outcome = audit.RolledBack
		default:
			version, _ = strconv.ParseUint(response.Value, 10, 64)
			d.served.Add(1)
		}
		now := d.now()
		d.mu.Lock()
		d.log.Responses = append(d.log.Responses, audit.Response{ID: id, At: now, Outcome: outcome, Version: version})
		if outcome == audit.Served && t.Consistency == "mutate" {
			session.confirmed = max(session.confirmed, txn.version)
			if kind := s.followUpType(); kind >= 0 {
				thinkTime := time.Duration(d.thinkRNG.ExpFloat64() * float64(s.Traffic.ThinkTime))
				d.wg.Add(1)
				go func() {
					defer d.wg.Done()
					if time.Sleep(thinkTime); d.now() < s.Length {
						d.runTxn(&clientRequest{txnType: kind, session: txn.session, dueAt: d.now()}, gateway)
					}
				}()
			}
		}
		if outcome == audit.Disconnected {
			d.errors[strings.TrimSpace(response.Code+" "+fmt.Sprint(response.Err))]++
		} else {
			d.endpoints[gateway].release(client)
		}
		retryAfterMs, _ := strconv.Atoi(response.RetryAfter)
		delay := max(int64(retryAfterMs)*1e6, int64(20e6))
		repeatable := t.Effect == "repeatable" || outcome == audit.Declined
		done := outcome == audit.Served || !s.Traffic.Retry || !repeatable || txn.attempts >= 5 || now+delay >= txn.dueAt+t.MaxWait-int64(50e6)
		if done && t.Consistency == "mutate" {
			session.writing = false
		}
		d.mu.Unlock()
		if done {
			return
		}
		time.Sleep(time.Duration(delay))
	}
}
