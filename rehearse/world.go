package rehearse

import (
	"fmt"
	"hash/fnv"
	"io"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"magpieglade/decide"
	"magpieglade/internal/agenda"
	"magpieglade/rehearse/audit"
	"magpieglade/subset"
)

// Submission results as int values of decide.Result.
const (
	committed   = int(decide.Committed)
	failed      = int(decide.Failed)
	atCapacity  = int(decide.AtCapacity)
	timedOut    = int(decide.TimedOut)
	unreachable = int(decide.Unreachable)
	broken      = int(decide.Broken)
	cancelled   = int(decide.Cancelled)
	notSent     = int(decide.NotSent)
	notEligible = int(decide.NotEligible)
)

// simulation is one running simulated scenario: one virtual clock, one event scheduler, one random source.
type simulation struct {
	scenario *Scenario
	rng      *rand.Rand
	agenda.Scheduler
	events          int
	lastEpoch       uint64 // of the session modules; each gateway process gets a new one
	log             audit.Log
	databases       []*database
	groups          []*replicaGroup
	gateways        []*simGateway
	clients         *clientPool
	isolatedZones   map[int]bool    // zones
	gatewayFaults   map[*Fault]bool // active faults between gateways
	listUnavailable bool
	incidents       []Incident
	logLines        []string // log lines, in order
	onProgress      func(Progress)
	divisions       map[string]*subset.Division // of members among gateways, keyed by the observed member list
}

// Incident is a scheduled fault, for reports.
type Incident struct {
	At, For int64
	Text    string
}

// Progress reports how far a run has come.
type Progress struct {
	At, Length int64
	Requested  int
	Served     int
}

// networkDelay draws the time that a message takes between two zones.
func (w *simulation) networkDelay(from, to int) int64 {
	mean := w.scenario.Network.IntraZoneLatency
	if from != to {
		mean = w.scenario.Network.InterZoneLatency
	}
	return int64(float64(mean) * (0.5 + w.rng.ExpFloat64()/2))
}

// send schedules a delivery, unless the message is lost or crosses the border of an isolated zone.
func (w *simulation) send(from, to int, do func()) {
	took := w.networkDelay(from, to)
	if from != to && (w.isolatedZones[from] || w.isolatedZones[to]) || w.scenario.Network.LossRatio > 0 && w.rng.Float64() < w.scenario.Network.LossRatio {
		return
	}
	w.After(took, do)
}

// lostBetween reports whether a message between two gateways is lost to a fault between them.
func (w *simulation) lostBetween(from, to int) bool {
	lost, pass := false, 1.0
	for f := range w.gatewayFaults {
		lost = lost || f.isolates(from, to, w.scenario.Gateways)
		if f.Kind == "rough" {
			pass *= 1 - f.Factor
		}
	}
	return lost || pass < 1 && w.rng.Float64() >= pass
}

func (w *simulation) recordEvent(n audit.Event) {
	n.At = w.Now
	w.log.Events = append(w.log.Events, n)
}

func (w *simulation) logf(format string, a ...any) {
	w.logLines = append(w.logLines, fmt.Sprintf("%8.1f ms  ", float64(w.Now)/1e6)+fmt.Sprintf(format, a...))
}

// startTime is the initial clock value. It isn't 0 because positions are times and position 0 means none.
const startTime = int64(60e9)

// newSimulation builds the simulation of a scenario.
func newSimulation(s *Scenario, watch func(Progress)) (*simulation, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	w := &simulation{scenario: s, rng: rand.New(rand.NewPCG(s.Seed, 11)), Scheduler: agenda.Scheduler{Now: startTime}, isolatedZones: map[int]bool{}, gatewayFaults: map[*Fault]bool{}, onProgress: watch, divisions: map[string]*subset.Division{}}
	for i, p := range s.Groups {
		w.groups = append(w.groups, newReplicaGroup(w, i, p))
	}
	for i := range s.Gateways {
		w.gateways = append(w.gateways, &simGateway{w: w, index: i, zone: i % len(s.Zones)})
	}
	for _, n := range w.gateways {
		if err := n.start(); err != nil {
			return nil, err
		}
	}
	w.clients = newClientPool(w)
	for _, f := range s.Faults {
		w.scheduleFault(f)
	}
	for _, r := range s.Random {
		w.scheduleRandomFaults(r)
	}
	if watch != nil {
		w.reportProgress()
	}
	return w, nil
}

func (w *simulation) reportProgress() {
	w.onProgress(Progress{At: w.Now - startTime, Length: w.scenario.Length, Requested: len(w.log.Attempts), Served: w.clients.served})
	w.After(1e9, w.reportProgress)
}

// run executes events to the scenario's end, and beyond it until all open requests have been answered.
func (w *simulation) run() {
	end := startTime + w.scenario.Length
	maxWait := int64(0)
	for _, t := range w.scenario.Types {
		maxWait = max(maxWait, t.MaxWait)
	}
	w.After(w.scenario.Length, func() { w.clients.closed = true })
	for w.Step(end + maxWait + int64(1e9)) {
		w.events++
	}
}

func (w *simulation) scheduleRandomFaults(r RandomFaults) {
	w.After(int64(w.rng.ExpFloat64()*float64(r.MeanInterval)), func() {
		if w.Now-startTime+r.Duration < w.scenario.Length {
			d := w.databases[w.rng.IntN(len(w.databases))]
			f := Fault{Kind: r.Kinds[w.rng.IntN(len(r.Kinds))], At: w.Now - startTime, Duration: r.Duration, Member: d.name, Factor: r.Factor, Lag: r.Lag,
				Gateway: w.rng.IntN(len(w.gateways)), Zone: w.scenario.Zones[w.rng.IntN(len(w.scenario.Zones))]}
			w.scheduleFault(f)
		}
		w.scheduleRandomFaults(r)
	})
}

// String describes a fault for reports.
func (f Fault) String() string {
	text := f.Kind
	for _, need := range FaultKinds[f.Kind] {
		switch need {
		case "member":
			text += " " + f.Member
		case "gateway":
			text += fmt.Sprint(" gateway ", f.Gateway)
		case "zone":
			text += " zone " + f.Zone
		case "factor":
			text += fmt.Sprintf(" %g", f.Factor)
		case "lag":
			text += " " + time.Duration(f.Lag).String()
		}
	}
	return text
}

// scheduleFault schedules the start and the end of a fault.
func (w *simulation) scheduleFault(f Fault) {
	var d *database
	if slices.Contains(FaultKinds[f.Kind], "member") {
		g, m, _ := w.scenario.findMember(f.Member) // Validate has checked the name
		d = w.groups[g].members[m]
	}
	w.incidents = append(w.incidents, Incident{f.At, f.Duration, f.String()})
	from, to := f.At+startTime-w.Now, f.At+f.Duration+startTime-w.Now
	schedule := func(on, off func()) {
		w.After(from, func() { w.logf("%s", f); on() })
		if f.Duration > 0 {
			w.After(to, off)
		}
	}
	switch f.Kind {
	case "crash":
		schedule(func() { d.crash(f.Duration) }, func() {})
	case "pause":
		schedule(func() {
			d.paused = true
			if run := d.incarnation; d.primary { // a hung primary is replaced like a crashed one
				w.After(d.group.plan.DetectionTime, func() {
					if d.paused && d.incarnation == run && d.primary {
						d.appliedPosition()
						d.primary, d.replaced = false, true
						d.group.elect()
					}
				})
			}
		}, func() {
			if !d.paused {
				return
			}
			if d.replaced { // it can't resume, as the new primary has committed since: restart it
				d.replaced = false
				d.crash(d.group.plan.RestartTime)
				return
			}
			d.paused = false
			held := d.pausedQueries
			d.pausedQueries = nil
			for _, q := range held {
				d.admit(q)
			}
		})
	case "slow":
		schedule(func() { d.slowdown = f.Factor }, func() { d.slowdown = 1 })
	case "lag":
		schedule(func() { d.appliedPosition(); d.extraLag = f.Lag }, func() { d.extraLag = 0 })
	case "drain":
		schedule(func() { d.drained = true; w.publishList() }, func() { d.drained = false; w.publishList() })
	case "errors":
		schedule(func() { d.errorRatio = f.Factor }, func() { d.errorRatio = 0 })
	case "answers_lost":
		schedule(func() { d.responseLossRatio = f.Factor }, func() { d.responseLossRatio = 0 })
	case "move":
		schedule(func() { d.group.handOver(d) }, func() {})
	case "cut":
		z := slices.Index(w.scenario.Zones, f.Zone)
		schedule(func() { w.isolatedZones[z] = true }, func() { delete(w.isolatedZones, z) })
	case "apart", "halves", "rough":
		schedule(func() { w.gatewayFaults[&f] = true }, func() { delete(w.gatewayFaults, &f) })
	case "list":
		schedule(func() {
			w.listUnavailable = true
			for _, n := range w.gateways {
				n.listFailed()
			}
		}, func() { w.listUnavailable = false })
	case "kill":
		schedule(func() { w.gateways[f.Gateway].kill() }, func() { _ = w.gateways[f.Gateway].start() }) // no error: the same settings loaded before
	}
}

// publishList sends the member list to the subscribed gateways.
func (w *simulation) publishList() {
	if w.listUnavailable {
		return
	}
	for _, n := range w.gateways {
		if n.subscribed {
			n.listChanged()
		}
	}
}

// writeTrace writes the whole log in an order that is the same for the same seed.
func (w *simulation) writeTrace(out io.Writer) {
	for _, x := range w.log.Attempts {
		fmt.Fprintln(out, "ask", x)
	}
	for _, x := range w.log.Responses {
		fmt.Fprintln(out, "answer", x)
	}
	for _, x := range w.log.Submissions {
		fmt.Fprintln(out, "work", x)
	}
	for _, x := range w.log.Events {
		fmt.Fprintln(out, "notice", x)
	}
	for _, x := range w.logLines {
		fmt.Fprintln(out, x)
	}
}

// traceHash is a hash of the trace.
func (w *simulation) traceHash() uint64 {
	h := fnv.New64a()
	w.writeTrace(h)
	return h.Sum64()
}

// clientPool generates open-loop load: requests are sent when due, whether or not earlier ones were answered.
type clientPool struct {
	w        *simulation
	lastID   uint64
	lastKey  uint64
	sessions []clientSession
	closed   bool
	served   int
	shareSum float64 // of the txn types' shares
}

// clientSession is a session as its client sees it.
type clientSession struct {
	lastSent  uint64 // latest version that it has sent
	confirmed uint64 // latest version whose commit was confirmed to it
	position  int64  // position of the confirmed version, as its client carries it
	writing   bool
}

// clientRequest is a client's request, sent in one or several attempts.
type clientRequest struct {
	firstID  uint64
	txnType  int
	session  int
	key      uint64
	version  uint64
	dueAt    int64
	attempts int
}

func newClientPool(w *simulation) *clientPool {
	p := &clientPool{w: w, sessions: make([]clientSession, w.scenario.Traffic.Sessions)}
	for _, t := range w.scenario.Types {
		p.shareSum += t.Weight
	}
	p.scheduleNext()
	return p
}

// rate is the current rate of first attempts per second.
func (p *clientPool) rate() float64 { return p.w.scenario.Traffic.rateAt(p.w.Now - startTime) }

func (t *TrafficConfig) rateAt(at int64) float64 {
	rate := t.Rate
	if t.WavePeriod > 0 {
		rate *= 1 + t.WaveAmplitude*math.Sin(2*math.Pi*float64(at)/float64(t.WavePeriod))
	}
	for _, j := range t.Bursts {
		if at >= j.At && at < j.At+j.Duration {
			rate *= j.RateFactor
		}
	}
	return rate
}

func (p *clientPool) scheduleNext() {
	p.w.After(int64(p.w.rng.ExpFloat64()/max(0.001, p.rate())*1e9), func() {
		if p.closed {
			return
		}
		p.sendNext()
		p.scheduleNext()
	})
}

func (p *clientPool) sendNext() {
	w := p.w
	x := w.rng.Float64() * p.shareSum
	kind := 0
	for kind < len(w.scenario.Types)-1 && x >= w.scenario.Types[kind].Weight {
		x -= w.scenario.Types[kind].Weight
		kind++
	}
	t := &w.scenario.Types[kind]
	session := w.rng.IntN(len(p.sessions))
	if t.Consistency == "mutate" { // a session has one write in flight at a time, so its versions are in order
		for range 20 {
			if !p.sessions[session].writing {
				break
			}
			session = w.rng.IntN(len(p.sessions))
		}
	}
	request := &clientRequest{txnType: kind, session: session, dueAt: w.Now}
	if t.Consistency == "mutate" {
		s := &p.sessions[session]
		s.writing = true
		s.lastSent++
		request.version = s.lastSent
		if t.Effect == "by_key" {
			p.lastKey++
			request.key = p.lastKey
		}
	}
	if t.Consistency != "mutate" && w.scenario.Traffic.PipelinedFraction > 0 && w.rng.Float64() < w.scenario.Traffic.PipelinedFraction/pipelineDepth {
		n, first := p.newAttempt(request)
		last := first
		for range pipelineDepth - 1 {
			one := *request
			one.firstID, one.attempts = 0, 0
			last.next = p.newAttemptAt(n, &one)
			last = last.next
		}
		w.After(w.networkDelay(n.zone, n.zone), func() { n.receive(first) })
		return
	}
	p.send(request)
}

// send sends an attempt to a gateway.
func (p *clientPool) send(x *clientRequest) {
	n, a := p.newAttempt(x)
	p.w.After(p.w.networkDelay(n.zone, n.zone), func() { n.receive(a) })
}

// newAttempt chooses a gateway for an attempt and records the attempt.
func (p *clientPool) newAttempt(x *clientRequest) (*simGateway, *txn) {
	w := p.w
	no := x.session % len(w.gateways)
	if w.scenario.Traffic.RoamingFraction > 0 && w.rng.Float64() < w.scenario.Traffic.RoamingFraction {
		no = w.rng.IntN(len(w.gateways))
	}
	if maxGateways := w.scenario.TenantGateways[w.scenario.Types[x.txnType].Tenant]; maxGateways > 0 {
		no %= maxGateways
	}
	for i := 0; i < len(w.gateways) && w.gateways[no].knownDown(); i++ { // the load balancer has detected that it is down
		no = (no + 1) % len(w.gateways)
	}
	return w.gateways[no], p.newAttemptAt(w.gateways[no], x)
}

// newAttemptAt records an attempt at a gateway.
func (p *clientPool) newAttemptAt(n *simGateway, x *clientRequest) *txn {
	w := p.w
	t := &w.scenario.Types[x.txnType]
	s := &p.sessions[x.session]
	p.lastID++
	x.attempts++
	id := p.lastID
	if x.firstID == 0 {
		x.firstID = id
	}
	left := x.dueAt + t.MaxWait - w.Now
	w.log.Attempts = append(w.log.Attempts, audit.Attempt{ID: id, FirstID: x.firstID, Session: uint64(x.session) + 1, Type: x.txnType, Key: x.key, Version: x.version,
		MinVersion: s.confirmed, DueAt: x.dueAt, SentAt: w.Now, Deadline: w.Now + left, Gateway: n.index})
	a := &txn{id: id, txnType: x.txnType, session: uint64(x.session) + 1, key: x.key, version: x.version, budget: left}
	if t.Consistency == "causal" && s.position > 0 && w.scenario.Sessions == Brought {
		a.floor = s.position
	}
	a.respond = func(k audit.Outcome, version uint64, position int64, again int64) {
		p.handleResponse(x, id, k, version, position, again)
	}
	return a
}

// handleResponse processes a response: repeatable and rejected requests are retried while time remains.
func (p *clientPool) handleResponse(x *clientRequest, id uint64, outcome audit.Outcome, version uint64, position, retryAfter int64) {
	w := p.w
	w.log.Responses = append(w.log.Responses, audit.Response{ID: id, At: w.Now, Outcome: outcome, Version: version})
	t := &w.scenario.Types[x.txnType]
	s := &p.sessions[x.session]
	if outcome == audit.Served {
		p.served++
		if t.Consistency == "mutate" {
			s.writing = false
			s.confirmed = max(s.confirmed, x.version)
			s.position = max(s.position, position)
			if kind := w.scenario.followUpType(); kind >= 0 {
				w.After(int64(w.rng.ExpFloat64()*float64(w.scenario.Traffic.ThinkTime)), func() {
					if !p.closed {
						p.send(&clientRequest{txnType: kind, session: x.session, dueAt: w.Now})
					}
				})
			}
		}
		return
	}
	repeatable := t.Effect == "repeatable" || outcome == audit.Declined
	backoff := max(retryAfter, int64(20e6))
	if w.scenario.Traffic.Retry && repeatable && x.attempts < 5 && w.Now+backoff < x.dueAt+t.MaxWait-int64(50e6) {
		w.After(backoff, func() { p.send(x) })
		return
	}
	s.writing = false
}
