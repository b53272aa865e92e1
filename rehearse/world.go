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

// Results of submissions, as the module words them.
const (
	committed   = int(decide.Committed)
	failed      = int(decide.Failed)
	full        = int(decide.AtCapacity)
	timedOut    = int(decide.TimedOut)
	unreachable = int(decide.Unreachable)
	broken      = int(decide.Broken)
	cancelled   = int(decide.Cancelled)
	moot        = int(decide.NotSent)
	missed      = int(decide.NotEligible)
)

// world is a simulated day under way: one virtual clock, one agenda, one source of chance.
type world struct {
	s   *Scenario
	rng *rand.Rand
	agenda.Scheduler
	events    int
	epochs    uint64 // of sessions' notes, another for each process
	log       audit.Log
	bases     []*database
	groups    []*cluster
	nodes     []*node
	clients   *people
	cut       map[int]bool    // zones
	parted    map[*Fault]bool // faults between gateways that last
	noList    bool
	marks     []Mark
	lines     []string // what was said, in order
	watch     func(Progress)
	divisions map[string]*subset.Division // of members among gateways, by what was seen
}

// Mark is a time in a day at which something went wrong, for reports.
type Mark struct {
	At, For int64
	Text    string
}

// Progress is how far a day is.
type Progress struct {
	At, Length int64
	Asked      int
	Served     int
}

// way is how long a message takes between two zones.
func (w *world) way(from, to int) int64 {
	mean := w.s.Network.IntraZoneLatency
	if from != to {
		mean = w.s.Network.InterZoneLatency
	}
	return int64(float64(mean) * (0.5 + w.rng.ExpFloat64()/2))
}

// send has something arrive elsewhere; what crosses the border of a zone that is cut off, or is lost, does not.
func (w *world) send(from, to int, do func()) {
	took := w.way(from, to)
	if from != to && (w.cut[from] || w.cut[to]) || w.s.Network.LossRatio > 0 && w.rng.Float64() < w.s.Network.LossRatio {
		return
	}
	w.After(took, do)
}

// parts tells whether a message between two gateways is lost to a fault between them.
func (w *world) parts(from, to int) bool {
	lost, pass := false, 1.0
	for f := range w.parted {
		lost = lost || f.isolates(from, to, w.s.Gateways)
		if f.Kind == "rough" {
			pass *= 1 - f.Factor
		}
	}
	return lost || pass < 1 && w.rng.Float64() >= pass
}

func (w *world) notice(n audit.Event) {
	n.At = w.Now
	w.log.Events = append(w.log.Events, n)
}

func (w *world) said(format string, a ...any) {
	w.lines = append(w.lines, fmt.Sprintf("%8.1f ms  ", float64(w.Now)/1e6)+fmt.Sprintf(format, a...))
}

// begin is where a day's clock starts: positions are times, and 0 is none.
const begin = int64(60e9)

// newWorld builds a scenario.
func newWorld(s *Scenario, watch func(Progress)) (*world, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	w := &world{s: s, rng: rand.New(rand.NewPCG(s.Seed, 11)), Scheduler: agenda.Scheduler{Now: begin}, cut: map[int]bool{}, parted: map[*Fault]bool{}, watch: watch, divisions: map[string]*subset.Division{}}
	for i, p := range s.Groups {
		w.groups = append(w.groups, newCluster(w, i, p))
	}
	for i := range s.Gateways {
		w.nodes = append(w.nodes, &node{w: w, no: i, zone: i % len(s.Zones)})
	}
	for _, n := range w.nodes {
		if err := n.start(); err != nil {
			return nil, err
		}
	}
	w.clients = newPeople(w)
	for _, f := range s.Faults {
		w.plan(f)
	}
	for _, r := range s.Random {
		w.planRandom(r)
	}
	if watch != nil {
		w.tick()
	}
	return w, nil
}

func (w *world) tick() {
	w.watch(Progress{At: w.Now - begin, Length: w.s.Length, Asked: len(w.log.Attempts), Served: w.clients.served})
	w.After(1e9, w.tick)
}

// play runs the agenda to the day's end, and on until what is open then has been answered.
func (w *world) play() {
	end := begin + w.s.Length
	longest := int64(0)
	for _, t := range w.s.Types {
		longest = max(longest, t.MaxWait)
	}
	w.After(w.s.Length, func() { w.clients.closed = true })
	for w.Step(end + longest + int64(1e9)) {
		w.events++
	}
}

func (w *world) planRandom(r RandomFaults) {
	w.After(int64(w.rng.ExpFloat64()*float64(r.MeanInterval)), func() {
		if w.Now-begin+r.Duration < w.s.Length {
			d := w.bases[w.rng.IntN(len(w.bases))]
			f := Fault{Kind: r.Kinds[w.rng.IntN(len(r.Kinds))], At: w.Now - begin, Duration: r.Duration, Member: d.name, Factor: r.Factor, Lag: r.Lag,
				Gateway: w.rng.IntN(len(w.nodes)), Zone: w.s.Zones[w.rng.IntN(len(w.s.Zones))]}
			w.plan(f)
		}
		w.planRandom(r)
	})
}

// String words a fault for reports.
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

// plan has a fault come and go.
func (w *world) plan(f Fault) {
	var d *database
	if slices.Contains(FaultKinds[f.Kind], "member") {
		g, m, _ := w.s.findMember(f.Member) // it was checked
		d = w.groups[g].members[m]
	}
	w.marks = append(w.marks, Mark{f.At, f.Duration, f.String()})
	from, to := f.At+begin-w.Now, f.At+f.Duration+begin-w.Now
	both := func(on, off func()) {
		w.After(from, func() { w.said("%s", f); on() })
		if f.Duration > 0 {
			w.After(to, off)
		}
	}
	switch f.Kind {
	case "crash":
		both(func() { d.crash(f.Duration) }, func() {})
	case "pause":
		both(func() {
			d.paused = true
			if run := d.run; d.primary { // one that hangs is replaced as one that is gone
				w.After(d.of.plan.DetectionTime, func() {
					if d.paused && d.run == run && d.primary {
						d.reaches()
						d.primary, d.replaced = false, true
						d.of.elect()
					}
				})
			}
		}, func() {
			if !d.paused {
				return
			}
			if d.replaced { // it can't go on where it stood: others have written since
				d.replaced = false
				d.crash(d.of.plan.RestartTime)
				return
			}
			d.paused = false
			held := d.held
			d.held = nil
			for _, q := range held {
				d.admit(q)
			}
		})
	case "slow":
		both(func() { d.slow = f.Factor }, func() { d.slow = 1 })
	case "lag":
		both(func() { d.reaches(); d.late = f.Lag }, func() { d.late = 0 })
	case "drain":
		both(func() { d.drained = true; w.relist() }, func() { d.drained = false; w.relist() })
	case "errors":
		both(func() { d.errors = f.Factor }, func() { d.errors = 0 })
	case "answers_lost":
		both(func() { d.lost = f.Factor }, func() { d.lost = 0 })
	case "move":
		both(func() { d.of.move(d) }, func() {})
	case "cut":
		z := slices.Index(w.s.Zones, f.Zone)
		both(func() { w.cut[z] = true }, func() { delete(w.cut, z) })
	case "apart", "halves", "rough":
		both(func() { w.parted[&f] = true }, func() { delete(w.parted, &f) })
	case "list":
		both(func() {
			w.noList = true
			for _, n := range w.nodes {
				n.listLost()
			}
		}, func() { w.noList = false })
	case "kill":
		both(func() { w.nodes[f.Gateway].kill() }, func() { _ = w.nodes[f.Gateway].start() }) // it started before
	}
}

// relist has the list service tell those that follow it.
func (w *world) relist() {
	if w.noList {
		return
	}
	for _, n := range w.nodes {
		if n.follows {
			n.told()
		}
	}
}

// trace writes all that was seen, in an order that is the same for the same seed.
func (w *world) trace(out io.Writer) {
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
	for _, x := range w.lines {
		fmt.Fprintln(out, x)
	}
}

// mark is a number that is the same for the same trace.
func (w *world) mark() uint64 {
	h := fnv.New64a()
	w.trace(h)
	return h.Sum64()
}

// people are the clients: they send when it is due, whatever has come back.
type people struct {
	w        *world
	ids      uint64
	keys     uint64
	sessions []person
	closed   bool
	served   int
	sum      float64 // of the types' shares
}

// person is a session.
type person struct {
	written uint64 // the latest version that it has sent
	told    uint64 // the latest that it was told
	at      int64  // position of that, as its client carries it
	writing bool
}

// wish is what a client wants, in one try or several.
type wish struct {
	first   uint64
	kind    int
	session int
	key     uint64
	version uint64
	due     int64
	tries   int
}

func newPeople(w *world) *people {
	p := &people{w: w, sessions: make([]person, w.s.Traffic.Sessions)}
	for _, t := range w.s.Types {
		p.sum += t.Weight
	}
	p.next()
	return p
}

// rate is how many first tries a second are due now.
func (p *people) rate() float64 { return p.w.s.Traffic.rateAt(p.w.Now - begin) }

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

func (p *people) next() {
	p.w.After(int64(p.w.rng.ExpFloat64()/max(0.001, p.rate())*1e9), func() {
		if p.closed {
			return
		}
		p.want()
		p.next()
	})
}

func (p *people) want() {
	w := p.w
	x := w.rng.Float64() * p.sum
	kind := 0
	for kind < len(w.s.Types)-1 && x >= w.s.Types[kind].Weight {
		x -= w.s.Types[kind].Weight
		kind++
	}
	t := &w.s.Types[kind]
	who := w.rng.IntN(len(p.sessions))
	if t.Consistency == "mutate" { // a session writes one thing at a time: its versions are in order
		for range 20 {
			if !p.sessions[who].writing {
				break
			}
			who = w.rng.IntN(len(p.sessions))
		}
	}
	wish := &wish{kind: kind, session: who, due: w.Now}
	if t.Consistency == "mutate" {
		s := &p.sessions[who]
		s.writing = true
		s.written++
		wish.version = s.written
		if t.Effect == "by_key" {
			p.keys++
			wish.key = p.keys
		}
	}
	if t.Consistency != "mutate" && w.s.Traffic.PipelinedFraction > 0 && w.rng.Float64() < w.s.Traffic.PipelinedFraction/batch {
		n, first := p.ask(wish)
		last := first
		for range batch - 1 {
			one := *wish
			one.first, one.tries = 0, 0
			last.next = p.askAt(n, &one)
			last = last.next
		}
		w.After(w.way(n.zone, n.zone), func() { n.arrived(first) })
		return
	}
	p.try(wish)
}

// try sends a wish to a gateway.
func (p *people) try(x *wish) {
	n, a := p.ask(x)
	p.w.After(p.w.way(n.zone, n.zone), func() { n.arrived(a) })
}

// ask chooses a gateway for a try and notes it.
func (p *people) ask(x *wish) (*node, *asked) {
	w := p.w
	no := x.session % len(w.nodes)
	if w.s.Traffic.RoamingFraction > 0 && w.rng.Float64() < w.s.Traffic.RoamingFraction {
		no = w.rng.IntN(len(w.nodes))
	}
	if most := w.s.TenantGateways[w.s.Types[x.kind].Tenant]; most > 0 {
		no %= most
	}
	for i := 0; i < len(w.nodes) && w.nodes[no].away(); i++ { // the front has seen that it is gone
		no = (no + 1) % len(w.nodes)
	}
	return w.nodes[no], p.askAt(w.nodes[no], x)
}

// askAt notes a try at a gateway.
func (p *people) askAt(n *node, x *wish) *asked {
	w := p.w
	t := &w.s.Types[x.kind]
	s := &p.sessions[x.session]
	p.ids++
	x.tries++
	id := p.ids
	if x.first == 0 {
		x.first = id
	}
	left := x.due + t.MaxWait - w.Now
	w.log.Attempts = append(w.log.Attempts, audit.Attempt{ID: id, FirstID: x.first, Session: uint64(x.session) + 1, Type: x.kind, Key: x.key, Version: x.version,
		MinVersion: s.told, DueAt: x.due, SentAt: w.Now, Deadline: w.Now + left, Gateway: n.no})
	a := &asked{id: id, kind: x.kind, session: uint64(x.session) + 1, key: x.key, version: x.version, budget: left}
	if t.Consistency == "causal" && s.at > 0 && w.s.Sessions == Brought {
		a.floor = s.at
	}
	a.answer = func(k audit.Outcome, version uint64, position int64, again int64) {
		p.answered(x, id, k, version, position, again)
	}
	return a
}

// answered is what a client makes of an answer: some come again, while there is time.
func (p *people) answered(x *wish, id uint64, k audit.Outcome, version uint64, position, again int64) {
	w := p.w
	w.log.Responses = append(w.log.Responses, audit.Response{ID: id, At: w.Now, Outcome: k, Version: version})
	t := &w.s.Types[x.kind]
	s := &p.sessions[x.session]
	if k == audit.Served {
		p.served++
		if t.Consistency == "mutate" {
			s.writing = false
			s.told = max(s.told, x.version)
			s.at = max(s.at, position)
			if kind := w.s.followUpType(); kind >= 0 {
				w.After(int64(w.rng.ExpFloat64()*float64(w.s.Traffic.ThinkTime)), func() {
					if !p.closed {
						p.try(&wish{kind: kind, session: x.session, due: w.Now})
					}
				})
			}
		}
		return
	}
	repeatable := t.Effect == "repeatable" || k == audit.Declined
	pause := max(again, int64(20e6))
	if w.s.Traffic.Retry && repeatable && x.tries < 5 && w.Now+pause < x.due+t.MaxWait-int64(50e6) {
		w.After(pause, func() { p.try(x) })
		return
	}
	s.writing = false
}
