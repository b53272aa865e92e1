package agreement

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/anishathalye/porcupine"

	"magpieglade/internal/agenda"
)

// simulation runs a fleet on a virtual clock: processes whose clocks run at different rates, disks, and a network
// that loses, delays and duplicates messages. It checks continually that no two gateways act on contradictory
// versions.
type simulation struct {
	t   testing.TB
	rng *rand.Rand
	agenda.Scheduler
	nodes            []*process
	byID             map[ID]*process
	blocked          func(from, to *process) bool
	loss             float64
	lastID           ID
	states           map[uint64]string // by log index, as the first voter had it
	agreedAt         map[string]int64  // when a version was first applied, by subject and number
	contradicts      map[string]bool   // versions that contradict their predecessors
	ops              []porcupine.Operation
	transcript       []string // events, for transcripts
	trace            bool
	leases           map[string]bool // gateways that hold a lease, as last recorded
	canaryFraction   float64         // canary fraction of the next version that is proposed
	listedByRevision map[uint64]map[ID]bool
	knownChecks      int   // checks of a gateway that takes itself for known to all
	maxDivergence    int64 // longest time that a former version was acted on after a contradictory one was agreed on
	sent             int
	bytes            int
}

// process is a gateway with its clock and disk in a simulation.
type process struct {
	w             *simulation
	name          string
	id            ID
	a             *Agreement
	clockRate     float64
	clockOffset   int64 // of its clock, different at each start
	disk          [][]byte
	epoch         uint64
	down          bool
	paused        bool
	queued        []func() // input received while paused
	wakeSeq       int
	onOutcome     map[uint64]func(Outcome)
	canaryVersion uint64 // version that it tries
	maxDiskDelay  int64  // upper bound, in addition to a few ms
	diskFullUntil int64  // its disk stores nothing before
	leaving       bool   // it was removed and has not joined again
	mayHaveActed  bool   // since its start it might act on a list that has it
	joining       bool   // repeats its request to join at each start until it is listed
}

const second = int64(1e9)

func newSimulation(t testing.TB, seed uint64, gateways int) *simulation {
	w := &simulation{t: t, rng: rand.New(rand.NewPCG(seed, 1)), byID: map[ID]*process{}, states: map[uint64]string{}, agreedAt: map[string]int64{},
		contradicts: map[string]bool{}, listedByRevision: map[uint64]map[ID]bool{}, blocked: func(_, _ *process) bool { return false }, Scheduler: agenda.Scheduler{Now: second}}
	for i := range gateways {
		p := &process{w: w, name: fmt.Sprintf("g%d", i+1), clockRate: 1 + (w.rng.Float64()-0.5)*0.02}
		w.nodes = append(w.nodes, p)
		p.start(true)
	}
	w.After(0, w.checkActing)
	return w
}

// run advances the clock.
func (w *simulation) run(duration int64) { w.Run(w.Now + duration) }

// until advances the clock until a condition holds.
func (w *simulation) until(limit int64, f func() bool) bool {
	for end := w.Now + limit; w.Now < end; w.run(second / 100) {
		if f() {
			return true
		}
	}
	return f()
}

func (w *simulation) record(format string, args ...any) {
	if w.trace {
		w.transcript = append(w.transcript, fmt.Sprintf("%7.3f  ", float64(w.Now-second)/1e9)+fmt.Sprintf(format, args...))
	}
}

// start starts the process; a fresh one has an empty disk and a new ID.
func (p *process) start(fresh bool) {
	w := p.w
	if fresh {
		delete(w.byID, p.id)
		w.lastID++
		p.id, p.disk = w.lastID*10+7, nil
		w.byID[p.id] = p
	}
	p.epoch++
	p.canaryVersion = 0
	p.clockOffset = int64(w.rng.Float64() * 1000e9)
	t := DefaultConfig()
	t.Self, t.Epoch, t.Seed = p.id, p.epoch<<32, uint64(w.rng.Uint32())
	for _, o := range w.nodes[:min(3, len(w.nodes))] {
		if o != p {
			t.Seeds = append(t.Seeds, o.id)
		}
	}
	a, err := New(t, p.disk)
	if err != nil {
		w.t.Fatal(err)
	}
	p.a, p.down, p.paused, p.queued, p.mayHaveActed = a, false, false, nil, false
	p.onOutcome = map[uint64]func(Outcome){}
	p.step(func() {})
	if p.joining {
		p.leaving = false
		p.join(nil)
	}
}

func (p *process) clock() int64 { return int64(float64(p.w.Now)*p.clockRate) + p.clockOffset }

// step gives the process an input and carries out its decisions.
func (p *process) step(f func()) {
	if p.down {
		return
	}
	if p.paused {
		p.queued = append(p.queued, f)
		return
	}
	w, epoch := p.w, p.epoch
	p.a.Clock(p.clock())
	f()
	for d, ok := p.a.Next(); ok; d, ok = p.a.Next() {
		switch d.Kind {
		case Send:
			w.deliver(p, d.Message)
		case Save:
			records, whole := d.Records, d.ReplaceAll
			var written func()
			written = func() {
				switch {
				case p.epoch != epoch || p.down:
					return
				case w.Now < p.diskFullUntil:
					w.After(second/10, written)
					return
				}
				if whole && w.rng.IntN(2) == 0 { // else it crashed before the former records were removed
					p.disk = nil
				}
				p.disk = append(p.disk, records...)
				p.step(p.a.Saved)
			}
			w.After(int64(w.rng.Float64()*(3e6+float64(p.maxDiskDelay))), written)
		case Answer:
			if f := p.onOutcome[d.ProposalNo]; f != nil {
				f(d.Result)
			}
		case Prepare:
			stamp := p.a.Pending().Revision
			w.After(int64(w.rng.Float64()*5e6), func() {
				if p.epoch != epoch || p.down {
					return
				}
				p.step(func() {
					before := p.a.Manifest().Revision
					if p.a.Adopt(stamp); p.a.Manifest().Revision > before {
						w.record("%s holds %s", p.name, describeManifest(p.a.Manifest()))
					}
					p.reportCanary(epoch)
				})
			})
		case Log:
			w.record("%s %s", p.name, d.Text)
		case Wake:
			p.wakeSeq++
			no := p.wakeSeq
			w.After(int64(float64(d.After)/p.clockRate)+1000, func() { // never early, whatever rounding does
				if p.epoch == epoch && p.wakeSeq == no {
					p.step(func() {})
				}
			})
		}
	}
	w.checkState(p)
}

// reportCanary reports a version that the process tries as healthy after a while.
func (p *process) reportCanary(epoch uint64) {
	for _, s := range p.a.Manifest().Subjects {
		if s.InCanary(p.id) && p.canaryVersion != s.Next.No {
			no := s.Next.No
			p.canaryVersion = no
			p.w.record("%s tries version %d of %s", p.name, no, s.Name)
			p.w.After(int64(p.w.rng.Float64()*1e9), func() {
				if p.epoch == epoch && !p.down {
					p.step(func() { p.a.ReportHealthy(no) })
				}
			})
		}
	}
}

func describeManifest(m *Manifest) string {
	var all []string
	for _, s := range m.Subjects {
		text := s.Name
		if s.InForce != nil {
			text += fmt.Sprintf(" %d", s.InForce.No)
		}
		if s.Next != nil {
			text += fmt.Sprintf(", next %d", s.Next.No)
		}
		all = append(all, text)
	}
	votes := 0
	for _, g := range m.Gateways {
		if g.Vote {
			votes++
		}
	}
	return strings.Join(append(all, fmt.Sprintf("%d gateways, %d voters", len(m.Gateways), votes)), "; ")
}

func (w *simulation) deliver(from *process, m Message) {
	to := w.byID[m.To]
	w.sent++
	w.bytes += 60 + len(m.Data)
	if to == nil || w.blocked(from, to) || w.rng.Float64() < w.loss {
		return
	}
	n := 1
	if w.rng.Float64() < w.loss/4 {
		n = 2
	}
	for range n {
		delay := int64(200e3 + w.rng.Float64()*3e6)
		if w.rng.Float64() < w.loss/4 {
			delay += int64(w.rng.Float64() * 2e9)
		}
		w.After(delay, func() {
			if w.byID[m.To] == to && !to.down && !w.blocked(from, to) {
				to.step(func() { to.a.Receive(m) })
			}
		})
	}
}

// kill ends a process; what it was saving may or may not be on its disk.
func (p *process) kill() {
	p.down, p.epoch = true, p.epoch+1
	p.w.record("%s is killed", p.name)
}

func (p *process) pause(on bool) {
	p.paused = on
	if !on {
		held := p.queued
		p.queued = nil
		for _, f := range held {
			p.step(f)
		}
	}
}

// checkState verifies that all voters that applied the same prefix of the log have the same state.
func (w *simulation) checkState(p *process) {
	v := p.a.voter
	if v == nil || v.state.Revision == 0 {
		return
	}
	for i := range v.state.Subjects {
		s := &v.state.Subjects[i]
		for _, x := range s.Versions {
			key := fmt.Sprint(s.Name, x.No)
			if w.agreedAt[key] == 0 {
				w.agreedAt[key] = w.Now
				w.contradicts[key] = len(x.Conflicts) > 0
				w.record("agreed on: version %d of %s by %s, contradicting %v", x.No, x.Subject, x.Author, len(x.Conflicts) > 0)
			}
		}
	}
	checkEvery := 20
	if len(w.nodes) > 20 { // encoding a large list takes longer than everything else
		checkEvery = 20_000
	}
	if w.rng.IntN(checkEvery) > 0 {
		return
	}
	text := string(v.state.encode())
	if before, ok := w.states[v.applied]; !ok {
		w.states[v.applied] = text
	} else if before != text {
		w.t.Fatalf("%s: states differ at log index %d:\n%s\n%s", p.name, v.applied, before, text)
	}
}

// checkActing checks which versions gateways act on at this moment.
func (w *simulation) checkActing() {
	w.After(10e6, w.checkActing)
	for _, p := range w.nodes {
		has := !p.down && !p.paused && p.clock() < p.a.LeaseUntil()
		if w.trace && !p.down && !p.paused && w.leases[p.name] == has { // leases records the gateways without one, as all start with one
			if w.leases[p.name] = !has; has {
				w.record("%s has a lease again", p.name)
			} else {
				w.record("the lease of %s has expired", p.name)
			}
		}
	}
	w.checkKnownToAll()
	type acting struct {
		p *process
		s SubjectStatus
	}
	actingBySubject := map[string][]acting{}
	for _, p := range w.nodes {
		if p.down || p.paused || p.clock() >= p.a.LeaseUntil() {
			continue
		}
		for _, s := range p.a.Manifest().Subjects {
			if s.InCanary(p.id) {
				s.InForce, s.Next = s.Next, nil
			} else if s.Step > 0 {
				s.Next = nil
			}
			actingBySubject[s.Name] = append(actingBySubject[s.Name], acting{p, s})
		}
	}
	for name, all := range actingBySubject {
		active := map[uint64]bool{}
		lowestAlone := uint64(1 << 62) // lowest version that a gateway acts on alone
		inForce := uint64(0)           // highest version in force at any gateway
		for _, x := range all {
			if x.s.InForce != nil {
				active[x.s.InForce.No], inForce = true, max(inForce, x.s.InForce.No)
			}
			if x.s.Next != nil {
				active[x.s.Next.No] = true
			} else if x.s.InForce != nil {
				lowestAlone = min(lowestAlone, x.s.InForce.No)
			}
		}
		if len(active) > 2 {
			w.t.Fatalf("at %d: versions %v of %s are active", w.Now, active, name)
		}
		for no := lowestAlone + 1; no <= inForce; no++ {
			if w.contradicts[fmt.Sprint(name, no)] {
				w.t.Fatalf("at %d: version %d of %s is in force and %d is acted on", w.Now, no, name, lowestAlone)
			}
		}
		for no := lowestAlone + 1; w.agreedAt[fmt.Sprint(name, no)] > 0; no++ {
			if w.contradicts[fmt.Sprint(name, no)] {
				d := w.Now - w.agreedAt[fmt.Sprint(name, no)]
				if w.maxDivergence = max(w.maxDivergence, d); d > defaultMaxDivergence {
					w.t.Fatalf("at %d: version %d of %s is acted on %d ms after %d was agreed on", w.Now, lowestAlone, name, d/1e6, no)
				}
			}
		}
	}
}

// checkKnownToAll verifies that a gateway that takes itself for known to all, with or without a lease, is known to
// every gateway that may act, as listed or departed. Sessions depend on it: docs/sessions.md.
func (w *simulation) checkKnownToAll() {
	for i, p := range w.nodes {
		if len(w.nodes) > 20 && int(w.Now/10e6)%len(w.nodes) != i { // check the gateways in turn
			continue
		}
		g := p.entry(p.a.Manifest())
		p.mayHaveActed = p.mayHaveActed || g != nil && !p.down && !p.paused && p.clock() < p.a.LeaseUntil()
		// It may have been removed long ago from a list that it could not act on since its start: session.AcceptsSessionWrites.
		if p.down || g == nil || !g.KnownToAll || !p.mayHaveActed {
			continue
		}
		for _, q := range w.nodes {
			if q.down || q.paused || q.clock() >= q.a.LeaseUntil() {
				continue
			}
			m := q.a.Manifest()
			if !w.listed(m)[p.id] && !slices.ContainsFunc(m.Departed, func(x Gateway) bool { return x.ID == p.id }) {
				w.t.Fatalf("at %d: %s takes itself for known to all, but %s does not know it", w.Now, p.name, q.name)
			}
		}
		w.knownChecks++
	}
}

// listed returns the gateways of a list, computed once per list.
func (w *simulation) listed(m *Manifest) map[ID]bool {
	if w.listedByRevision[m.Revision] == nil {
		if len(w.listedByRevision) > 64 {
			clear(w.listedByRevision)
		}
		w.listedByRevision[m.Revision] = map[ID]bool{}
		for i := range m.Gateways {
			w.listedByRevision[m.Revision][m.Gateways[i].ID] = true
		}
	}
	return w.listedByRevision[m.Revision]
}

// entry returns the process's entry in a manifest.
func (p *process) entry(m *Manifest) *Gateway {
	return (&State{Gateways: m.Gateways}).Gateway(p.id)
}

var defaultMaxDivergence = func() int64 { t := DefaultConfig(); return t.MaxDivergence() }()

// propose has a gateway propose a change.
func (p *process) propose(proposal Proposal, text string, timeout int64, f func(Outcome)) {
	p.step(func() {
		no, err := p.a.Propose(proposal, []byte(text), timeout)
		if err != nil {
			f(Outcome{Reason: err.Error()})
			return
		}
		p.onOutcome[no] = f
	})
}

// proposeVersion proposes a version and records the operation for the linearizability check.
func (p *process) proposeVersion(subject string, predecessor uint64, text string, conflicts []string, f func(Outcome)) {
	w, calledAt := p.w, p.w.Now
	w.record("%s proposes a version of %s after %d", p.name, subject, predecessor)
	done := false
	n := len(w.ops)
	w.ops = append(w.ops, porcupine.Operation{ClientId: n, Input: predecessor, Call: calledAt, Output: Outcome{Retry: true}, Return: 1 << 60})
	v := Version{Subject: subject, Predecessor: predecessor, Author: p.name, Conflicts: conflicts, CanaryFraction: w.canaryFraction}
	p.propose(Proposal{Version: &v}, text, 8*second, func(o Outcome) {
		if done {
			w.t.Fatal("two outcomes")
		}
		done = true
		w.record("outcome for %s: %+v", p.name, o)
		if !o.Retry { // else it may have been done or not, now or later
			w.ops[n].Output, w.ops[n].Return = o, w.Now
		}
		if f != nil {
			f(o)
		}
	})
}

// register models the latest version of one subject as a compare-and-set register.
var register = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		last, after, o := state.(uint64), input.(uint64), output.(Outcome)
		switch {
		case o.Retry: // unknown outcome: done or not, which the two results of an open call cover
			if last == after {
				return true, last + 1
			}
			return true, last
		case o.Done:
			return last == after && o.Version == after+1, o.Version
		}
		return last != after, last
	},
}

func (w *simulation) linearizable() {
	if r := porcupine.CheckOperations(register, w.ops); !r {
		w.t.Fatalf("the outcomes are not linearizable: %+v", w.ops)
	}
}

// bootstrap starts a fleet at the first gateway, has all others join, and makes the first ones voters.
func (w *simulation) bootstrap(voters int) {
	first := w.nodes[0]
	first.step(func() {
		if err := first.a.Bootstrap(Gateway{Name: first.name, Address: first.name}); err != nil {
			w.t.Fatal(err)
		}
	})
	joined := 1
	for _, p := range w.nodes[1:] {
		p.join(func() { joined++ })
	}
	if !w.until(60*second, func() bool { return joined == len(w.nodes) }) {
		w.t.Fatal("not all have joined: ", joined)
	}
	for _, p := range w.nodes[1:voters] {
		first.propose(Proposal{VoterChange: &VoterChange{p.id, true}}, "", 20*second, func(o Outcome) {
			if !o.Done {
				w.t.Fatal(o)
			}
		})
	}
	if !w.until(60*second, func() bool { return len(first.a.voter.conf.Voters) == voters && w.countLeased() == len(w.nodes) }) {
		w.t.Fatal("the fleet does not reach its number of voters: ", first.a.voter.conf, w.countLeased())
	}
}

func (p *process) join(f func()) {
	p.joining = true
	p.propose(Proposal{Join: &Gateway{ID: p.id, Name: p.name, Address: p.name}}, "", 60*second, func(o Outcome) {
		if p.joining = !o.Done; o.Done && f != nil {
			f()
		}
	})
}

func (w *simulation) countLeased() (n int) {
	for _, p := range w.nodes {
		if !p.down && p.clock() < p.a.LeaseUntil() {
			n++
		}
	}
	return n
}

// countInForce counts the gateways that act on a version.
func (w *simulation) countInForce(subject string, no uint64) (n int) {
	for _, p := range w.nodes {
		for _, s := range p.a.Manifest().Subjects {
			if s.Name == subject && s.InForce != nil && s.InForce.No == no && s.Next == nil && p.clock() < p.a.LeaseUntil() && !p.down {
				n++
			}
		}
	}
	return n
}

func (w *simulation) leader() *process {
	for _, p := range w.nodes {
		if v := p.a.voter; v != nil && !p.down && !p.paused && v.isLeading() && v.leaderUntil() > p.clock() {
			return p
		}
	}
	return nil
}

func TestChangesWithoutFaults(t *testing.T) {
	w := newSimulation(t, 1, 5)
	w.bootstrap(3)
	for no, conflicts := range [][]string{{"a bound"}, nil, {"a drain"}} {
		startedAt := w.Now
		var got Outcome
		w.nodes[no].proposeVersion("routes", uint64(no), fmt.Sprint("text ", no), conflicts, func(o Outcome) { got = o })
		if !w.until(5*second, func() bool { return w.countInForce("routes", uint64(no+1)) == 5 }) {
			t.Fatal("the version does not come in force", got, describeManifest(w.nodes[0].a.Manifest()))
		}
		t.Logf("in force at all gateways after %d ms", (w.Now-startedAt)/1e6)
		w.run(second)
		if !got.Done || got.Version != uint64(no+1) {
			t.Fatal(got)
		}
	}
	w.linearizable()
}

var seeds = flag.Int("seeds", 150, "number of runs with random faults")

// Random faults while operators propose changes at any gateway: crashes, pauses, one-way and symmetric partitions,
// lost disks and lost messages. Checks that there is one history, that no two gateways act on contradictory
// versions, that none acts on a former version for longer than the maximum divergence, and that a change comes in
// force once all can communicate again.
func TestRandomFaults(t *testing.T) {
	maxDivergence, done, asked, checks := int64(0), 0, 0, 0
	for seed := range uint64(*seeds) {
		w := faults(t, seed, 5, 3+2*int(seed%2), 30*second)
		maxDivergence = max(maxDivergence, w.maxDivergence)
		checks += w.knownChecks
		for _, o := range w.ops {
			if asked++; o.Output.(Outcome).Done {
				done++
			}
		}
	}
	t.Logf("a former version was acted on for at most %d ms, limit %d ms; %d of %d changes were agreed on; %d checks of gateways known to all", maxDivergence/1e6, defaultMaxDivergence/1e6, done, asked, checks)
	if checks < *seeds*100 {
		t.Fatal("too few checks of gateways known to all: ", checks)
	}
}

func faults(t testing.TB, seed uint64, gateways, voters int, duration int64) *simulation {
	w := newSimulation(t, seed, gateways)
	defer func() {
		if t.Failed() {
			t.Logf("seed %d", seed)
		}
	}()
	w.bootstrap(voters)
	any := func() *process { return w.nodes[w.rng.IntN(len(w.nodes))] }
	wiped, no := false, 0
	for end := w.Now + duration; w.Now < end; w.run(int64(w.rng.Float64() * 1.5e9)) {
		p, d := any(), int64(w.rng.Float64()*6e9)
		switch w.rng.IntN(12) {
		case 0:
			if !p.down {
				p.kill()
				w.After(d, func() { p.start(false) })
			}
		case 1:
			if !p.down && !p.paused {
				w.record("%s is paused for %d ms", p.name, d/1e6)
				p.pause(true)
				w.After(d, func() { p.pause(false) })
			}
		case 2:
			w.record("%s receives nothing for %d ms", p.name, d/1e6)
			w.partition(d, func(_, to *process) bool { return to == p })
		case 3:
			w.record("nothing from %s arrives for %d ms", p.name, d/1e6)
			w.partition(d, func(from, _ *process) bool { return from == p })
		case 4:
			half := map[*process]bool{}
			for _, x := range w.nodes {
				half[x] = w.rng.IntN(2) == 0
			}
			w.record("partitioned into two halves for %d ms", d/1e6)
			w.partition(d, func(from, to *process) bool { return half[from] != half[to] })
		case 5:
			w.loss = w.rng.Float64() * 0.3
			w.After(d, func() { w.loss = 0 })
		case 6:
			if !wiped && !p.down && seed%3 == 0 {
				wiped = true
				w.record("%s has lost its disk", p.name)
				p.kill()
				p.start(true)
				p.join(nil)
			}
		case 7: // removed, usually wrongly: it serves until it notices, reports that it has ended, and joins again
			q := any()
			if q.down || q.paused || p.a.voter != nil || p.leaving || p.entry(q.a.Manifest()) == nil {
				break
			}
			w.record("%s is removed from the list", p.name)
			p.leaving = true // until it has joined again: a gateway that joins does not report that it has ended
			q.propose(Proposal{Leave: p.id}, "", 5*second, func(Outcome) {})
			var back func()
			back = func() {
				switch {
				case !p.leaving:
					return
				case p.down || p.paused || p.a.Manifest().Revision == 0 || p.entry(p.a.Manifest()) != nil:
					w.After(second, back)
					return
				}
				p.propose(Proposal{Leave: p.id, ProcessEnded: true}, "", 5*second, func(Outcome) {})
				w.After(second, func() {
					if p.leaving && !p.down {
						p.leaving = false
						p.join(nil)
					}
				})
			}
			w.After(d, back)
		case 8:
			w.record("the disk of %s stores nothing for %d ms", p.name, d/1e6)
			p.diskFullUntil = w.Now + d
		case 9:
			p.maxDiskDelay = int64(w.rng.Float64() * 1e9)
			w.After(d, func() { p.maxDiskDelay = 0 })
		default:
			if p.down || p.paused {
				break
			}
			predecessor := uint64(0)
			for _, s := range p.a.Manifest().Subjects {
				if s.InForce != nil {
					predecessor = s.InForce.No
				}
				if predecessor = s.LastVersion; s.Step > 0 && w.rng.IntN(4) == 0 {
					p.propose(Proposal{Abort: &Abort{s.Name, s.Next.No, "health"}}, "", 5*second, func(Outcome) {})
				}
			}
			var conflicts []string
			w.canaryFraction = 0
			switch w.rng.IntN(3) {
			case 0:
				conflicts = []string{"a bound"}
			case 1:
				w.canaryFraction = 0.4
			}
			no++
			p.proposeVersion("routes", predecessor, strings.Repeat(fmt.Sprint("text ", no, " "), 1+w.rng.IntN(300)), conflicts, nil)
		}
	}
	w.blocked, w.loss = func(_, _ *process) bool { return false }, 0
	w.run(7 * second) // paused processes resume, killed ones have started
	last := func() (no uint64) {
		for _, p := range w.nodes {
			if b := p.a.State(); b != nil && b.Subject("routes") != nil {
				s := b.Subject("routes")
				no = max(no, s.Versions[len(s.Versions)-1].No)
			}
		}
		return no
	}
	ok := false
	w.canaryFraction = 0
	w.run(4 * second) // versions that are being tried come in force
	for _, p := range w.nodes {
		if p.leaving = false; w.leader() != nil && p.entry(&Manifest{Gateways: w.leader().a.State().Gateways}) == nil {
			p.join(nil)
			w.run(2 * second)
		}
	}
	for try := 0; try < 4 && !ok; try++ { // an earlier proposal may be applied late
		was := last()
		any().proposeVersion("routes", was, fmt.Sprint("the last ", try), []string{"a bound"}, func(o Outcome) { ok = ok || o.Done })
		ok = w.until(10*second, func() bool { return w.countInForce("routes", was+1) == len(w.nodes) }) && ok
	}
	if !ok {
		t.Fatalf("seed %d: no change comes in force: %d of %d gateways may act, leader %v", seed, w.countLeased(), len(w.nodes), w.leader() != nil)
	}
	w.linearizable()
	return w
}

// partition blocks some connections for a time, in addition to those already blocked.
func (w *simulation) partition(d int64, f func(from, to *process) bool) {
	healed, previous := false, w.blocked
	w.blocked = func(from, to *process) bool { return !healed && f(from, to) || previous(from, to) }
	w.After(d, func() { healed = true })
}

// Many gateways that join at once, as after a mass restart, are listed together: no gateway loses its lease, and the
// cost grows linearly with the number of gateways, not quadratically.
func TestManyJoinAtOnce(t *testing.T) {
	w := newSimulation(t, 5, 400)
	all := w.nodes
	w.nodes = all[:40]
	w.bootstrap(3)
	w.run(2 * second)
	w.nodes = all
	startedAt, sent, joined, withoutLease := w.Now, w.sent, 0, 0
	for _, p := range all[40:] {
		p.join(func() { joined++ })
	}
	knownToAll := func() (n int) {
		for _, g := range w.leader().a.State().Gateways {
			if g.KnownToAll {
				n++
			}
		}
		return n
	}
	done := w.until(10*second, func() bool {
		for _, p := range all[:40] {
			if p.clock() >= p.a.LeaseUntil() {
				withoutLease++
			}
		}
		return joined == 360 && w.countLeased() == 400 && knownToAll() == 400
	})
	t.Logf("360 have joined 40 in %d ms, with %d messages each", (w.Now-startedAt)/1e6, (w.sent-sent)/360)
	if !done || withoutLease > 0 || (w.sent-sent)/360 > 300 {
		t.Fatal(done, joined, w.countLeased(), knownToAll(), withoutLease, "samples of a gateway without a lease")
	}
}

// A rollout by steps completes after a voter has left for good. The leader still holds a record of the last grant
// that it gave that voter, which must not block the steps.
func TestStepsEndAfterAVoterLeft(t *testing.T) {
	w := newSimulation(t, 3, 5)
	w.bootstrap(5)
	gone := w.nodes[4]
	if gone == w.leader() {
		gone = w.nodes[3]
	}
	w.canaryFraction = 0.4
	w.leader().proposeVersion("routes", 0, "first", nil, nil)
	w.until(5*second, func() bool { p := w.leader().a.voter.peers[gone.id]; return p != nil && p.healthyVersion == 1 })
	gone.kill()
	w.leader().propose(Proposal{Leave: gone.id, ProcessEnded: true}, "", 10*second, func(o Outcome) {
		if !o.Done {
			t.Error(o)
		}
	})
	w.run(4 * second)
	w.leader().proposeVersion("routes", 1, "by steps", nil, nil)
	if !w.until(20*second, func() bool { return w.countInForce("routes", 2) == 4 }) {
		t.Fatal("the rollout by steps does not complete")
	}
}

// A gateway that is removed while its proposal is under way, and sends it again, learns that it was done, not that
// another one was first.
func TestOutcomeKeptAfterRemoval(t *testing.T) {
	st := newState()
	for no, id := range []ID{7, 17} {
		st.apply(uint64(no+1), &entry{Proposal: &proposalRecord{id, 1, Proposal{Join: &Gateway{ID: id, Name: fmt.Sprint("g", id)}}}})
	}
	text := []byte("text")
	st.apply(3, &entry{Part: &textPart{DigestOf(text), len(text), 0, text}})
	record := proposalRecord{17, 2, Proposal{Version: &Version{Subject: "routes", Digest: DigestOf(text), Size: len(text)}}}
	st.apply(4, &entry{Proposal: &record})
	st.apply(5, &entry{Proposal: &proposalRecord{7, 2, Proposal{Leave: 17}}})
	st.apply(6, &entry{Proposal: &record})
	if o, done := st.outcome(17, 2); !done || !o.Done || o.Version != 1 {
		t.Fatal(o, done)
	}
}

// A leader whose disk is full steps down: within a few leases another one leads and a change comes in force, and the
// former leader takes part again once its disk has room.
func TestLeaderWithAFullDisk(t *testing.T) {
	w := newSimulation(t, 11, 5)
	w.bootstrap(3)
	w.run(3 * second)
	p := w.leader()
	p.diskFullUntil = 1 << 62
	p.proposeVersion("routes", 0, "stuck, or done by another", []string{"a bound"}, nil)
	w.run(4 * defaultMaxDivergence)
	now := w.leader()
	if now == nil || now == p {
		t.Fatal("no other gateway leads")
	}
	was := uint64(0)
	if s := now.a.State().Subject("routes"); s != nil {
		was = s.latest()
	}
	now.proposeVersion("routes", was, "goes on", []string{"a bound"}, nil)
	if !w.until(3*defaultMaxDivergence, func() bool { return w.countInForce("routes", was+1) >= 4 }) {
		t.Fatal("no change comes in force")
	}
	p.diskFullUntil = 0
	if !w.until(3*defaultMaxDivergence, func() bool { return w.countInForce("routes", was+1) == 5 }) {
		t.Fatal("the former leader does not recover once its disk has room")
	}
	w.linearizable()
}
