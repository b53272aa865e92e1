package decide

import (
	"container/heap"
	"fmt"
	"math"
	"strings"
	"testing"
)

// coldFleet simulates many gateways and one group on a virtual clock. Its members serve in order of arrival
// on a few cores; one of them starts cold. The number of txns that all gateways together send it within the
// rule's window must not exceed what a cold member can handle.
type coldFleet struct {
	now        Nanos
	work       float64 // service time of a txn on a warm core
	endsAt     Nanos   // end of the simulation, when the member is warm
	gateways   []*Gateway
	wakes      []Nanos // of each gateway; 0 for none
	members    map[Server]*coldServer
	events     coldEvents
	eventCount int
	rng        pcg
	receivedAt []Nanos // times at which the cold member got a txn
	started    Nanos
}

type coldServer struct {
	coreFreeAt []Nanos // when each core becomes free
	cold       bool
	silent     bool
}

type coldEvent struct {
	at    Nanos
	order int
	run   func()
}

type coldEvents []coldEvent

func (e coldEvents) Len() int { return len(e) }
func (e coldEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e coldEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *coldEvents) Push(x any)   { *e = append(*e, x.(coldEvent)) }
func (e *coldEvents) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

const (
	coldCores       = 4
	coldDuration    = 10000 * ms
	coldMinCapacity = 0.2
)

func (f *coldFleet) after(delay Nanos, run func()) {
	f.eventCount++
	heap.Push(&f.events, coldEvent{f.now + delay, f.eventCount, run})
}

// capacity is the fraction of full capacity that the cold member has.
func (f *coldFleet) capacity(at Nanos) float64 {
	return min(1, coldMinCapacity+(1-coldMinCapacity)*float64(at-f.started)/float64(coldDuration))
}

// maxSubmissions is the number of txns that the cold member can handle in the window that ends at the given
// time, by the operators' formula.
func (f *coldFleet) maxSubmissions(at Nanos) float64 {
	n := 2 * f.capacity(at) * coldCores * float64(1000*ms) / f.work
	return n + 2*math.Sqrt(n) + 2
}

func (f *coldFleet) runRound(i int) {
	g := f.gateways[i]
	g.BeginRound(f.now)
	for d, ok := g.Next(); ok; d, ok = g.Next() {
		switch d.Kind {
		case Submit:
			f.submit(i, d.Txn, d.Server)
		case Wake:
			f.after(d.Delay, func() { f.runRound(i) })
		}
	}
}

func (f *coldFleet) submit(i int, id uint64, to Server) {
	g, s := f.gateways[i], f.members[to]
	t := g.txns[id]
	attempt, at := len(t.submissions)-1, f.now
	work := f.work
	if s.cold {
		f.receivedAt = append(f.receivedAt, f.now)
		work /= f.capacity(f.now)
	}
	if s.silent {
		f.after(t.expiry-f.now, func() {
			g.BeginRound(f.now)
			g.SubmissionEnded(id, attempt, to, TimedOut, f.now-at, RoleUnknown, 0, false, nil)
			f.runRound(i)
		})
		return
	}
	core := 0
	for k, free := range s.coreFreeAt {
		if free < s.coreFreeAt[core] {
			core = k
		}
	}
	s.coreFreeAt[core] = max(f.now, s.coreFreeAt[core]) + Nanos(work)
	f.after(s.coreFreeAt[core]-f.now, func() {
		g.BeginRound(f.now)
		role := RoleReplica
		if to == (Server{'a'}) {
			role = RolePrimary
		}
		position := f.now
		if s.cold { // it has proven nothing yet
			position = 0
		}
		g.SubmissionEnded(id, attempt, to, Committed, f.now-at, role, position, true, nil)
		f.runRound(i)
	})
}

// simulateCold runs a number of gateways against a member that starts cold, with an event in the middle. It
// returns the highest ratio of what the cold member got to what it can handle, and the fraction of its mean
// capacity that was used.
func simulateCold(seed uint64, gateways int, work Nanos, load float64, event string) (worst, used float64) {
	f := &coldFleet{work: float64(work), now: 10000 * ms, endsAt: (10000+6000)*ms + coldDuration,
		rng: newPCG(seed), members: map[Server]*coldServer{}}
	settingsText := strings.NewReplacer(`"whenBehind":"await"`, `"whenBehind":"none"`, `"tickMs":5`, `"tickMs":1`,
		`"fleetSize":2`, fmt.Sprintf(`"fleetSize":%d`, gateways)).Replace(traceSettings)
	for _, m := range "abcd" {
		f.members[Server{byte(m)}] = &coldServer{coreFreeAt: make([]Nanos, coldCores)}
	}
	sendList := func(g *Gateway, start Nanos) {
		for _, m := range "abcd" {
			at := Nanos(0)
			if m == 'c' {
				at = start
			}
			g.UpdateMember(Server{byte(m)}, 0, m == 'a', Ready, 0, 1, 0, at)
		}
		g.EndMemberList(FullList)
	}
	for i := range gateways {
		g, err := New(seed<<20+uint64(i), []byte(settingsText))
		if err != nil {
			panic(err)
		}
		g.BeginRound(f.now)
		for _, m := range "abd" {
			g.UpdateMember(Server{byte(m)}, 0, m == 'a', Ready, 0, 1, 0, 0)
		}
		g.EndMemberList(FullList)
		f.gateways = append(f.gateways, g)
	}
	rate := load * 3 * coldCores / f.work
	burst := 1.0
	class := 2
	if event == "proof" {
		class = 0
	}
	id := uint64(0)
	var arrive func()
	arrive = func() {
		id++
		i := int(f.rng.unit() * float64(gateways))
		f.gateways[i].BeginRound(f.now)
		age := Nanos(50 * ms)
		if since := f.started + 1000*ms; f.started > 0 && f.now > since+age {
			age = f.now - since // all reads need a position that the cold member has reached, but no gateway knows that it has
		}
		if err := f.gateways[i].AddTxn(id, class, 0, id, 1000*ms, 0, 0, age); err != nil {
			panic(err)
		}
		f.runRound(i)
		f.after(Nanos(-math.Log(1-f.rng.unit())/(rate*burst)), arrive)
	}
	f.after(0, arrive)
	f.after(6000*ms, func() {
		f.started = f.now
		f.members[Server{'c'}].cold = true
		for i, g := range f.gateways {
			f.after(Nanos(f.rng.unit()*float64(300*ms)), func() {
				g.BeginRound(f.now)
				sendList(g, f.started)
				f.runRound(i)
			})
		}
	})
	f.after(9000*ms, func() {
		switch event {
		case "burst":
			burst = 1.5
		case "silent":
			f.members[Server{'b'}].silent, f.members[Server{'d'}].silent = true, true
		case "proof": // all gateways learn at once that it has caught up
			for i, g := range f.gateways {
				g.BeginRound(f.now)
				g.ReceiveUpdate(MemberUpdate{Server{'c'}, f.now, false})
				f.runRound(i)
			}
		}
	})
	for len(f.events) > 0 && f.now < f.endsAt {
		e := heap.Pop(&f.events).(coldEvent)
		f.now = e.at
		e.run()
	}
	from := 0
	for i, at := range f.receivedAt {
		for f.receivedAt[from] <= at-1000*ms {
			from++
		}
		worst = max(worst, float64(i-from+1)/f.maxSubmissions(at))
	}
	total := 0.0
	for at := f.started; at < f.now; at += ms {
		total += 2 * f.capacity(at) * coldCores / f.work * float64(ms)
	}
	return worst, float64(len(f.receivedAt)) / total
}

// All gateways together send a cold member no more than it can handle: for any number of gateways, during a
// burst, when others fall silent, and when all learn at once that it may serve what none of them could send
// it before.
func TestColdMemberBeforeManyGateways(t *testing.T) {
	for _, work := range []Nanos{20 * ms, 100 * ms} { // short and long against the SLA time
		for _, gateways := range []int{2, 5, 20, 30, 300} {
			for _, event := range []string{"none", "burst", "silent", "proof"} {
				worst, used := 0.0, 0.0
				for seed := range uint64(2) {
					w, u := simulateCold(seed+1, gateways, work, 0.75, event)
					worst, used = max(worst, w), used+u/2
				}
				t.Logf("%3d ms, %3d gateways, %-6s: max %.2f of its capacity, %.2f used on average", work/ms, gateways, event, worst, used)
				if worst > 1 {
					t.Errorf("%d ms, %d gateways, %s: the cold member got %.2f of its capacity", work/ms, gateways, event, worst)
				}
			}
		}
	}
}
