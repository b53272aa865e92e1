package signals

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"magpieglade/internal/agenda"
)

const second = int64(1e9)

// fleetSimulation runs a fleet on a virtual clock. Its gateways learn about members from one another and,
// where a test says so, by their own observations.
type fleetSimulation struct {
	agenda.Scheduler
	t         testing.TB
	rng       *rand.Rand
	nodes     []*node
	blocked   func(from, to int) bool
	lossRatio float64
	sent      int
	items     int
}

type node struct {
	w              *fleetSimulation
	id             uint32
	s              *Signals
	received       map[Item]int // how often each item was delivered as new
	wakeCount      int
	reportsHealthy bool // observes member 1 as healthy, and reports so when it receives the contrary
	down           bool
}

func newFleetSimulation(t testing.TB, n int, seed uint64) *fleetSimulation {
	w := &fleetSimulation{t: t, rng: rand.New(rand.NewPCG(seed, 4)), blocked: func(_, _ int) bool { return false }, Scheduler: agenda.Scheduler{Now: second}}
	for i := range n {
		w.nodes = append(w.nodes, &node{w: w, id: uint32(i)})
	}
	for _, x := range w.nodes {
		x.start()
	}
	return w
}

func (x *node) start() {
	w := x.w
	s, err := New(x.id, uint64(w.Now), uint64(w.rng.Uint32()))
	if err != nil {
		w.t.Fatal(err)
	}
	var others []uint32
	for _, o := range w.nodes {
		if o != x {
			others = append(others, o.id)
		}
	}
	x.s, x.received, x.down = s, map[Item]int{}, false
	s.Clock(w.Now)
	s.SetFleet(x.id, others)
	s.SetMembers([]uint64{1, 2, 3})
}

func (x *node) runRound(f func()) {
	if x.down {
		return
	}
	w := x.w
	x.s.Clock(w.Now)
	f()
	for d, ok := x.s.Next(); ok; d, ok = x.s.Next() {
		switch d.Kind {
		case Send:
			w.sent++
			w.items += len(d.Message.Items)
			to := w.nodes[d.Message.To]
			if w.blocked(int(x.id), int(to.id)) || w.rng.Float64() < w.lossRatio {
				continue
			}
			m := d.Message
			w.After(int64(200e3+w.rng.Float64()*3e6), func() { to.runRound(func() { to.s.Receive(&m) }) })
		case Deliver:
			same := d.Item
			same.Age = 0
			x.received[same]++
			if d.Item.Kind == Health && d.Item.Value == Unhealthy && x.reportsHealthy {
				x.s.Observe(Health, d.Item.Member, Healthy)
			}
		case Wake:
			x.wakeCount++
			no := x.wakeCount
			w.After(d.After, func() {
				if x.wakeCount == no {
					x.runRound(func() {})
				}
			})
		}
	}
}

func (w *fleetSimulation) run(span int64) { w.Run(w.Now + span) }

func (w *fleetSimulation) countNodes(f func(*node) bool) (n int) {
	for _, x := range w.nodes {
		if f(x) {
			n++
		}
	}
	return n
}

// An observation of one gateway must reach all within a second, for up to 2,000 gateways and with a tenth of
// the messages lost. No gateway may receive an item as new twice, and the messages per gateway must not grow
// with the fleet.
func TestReportsReachAllGateways(t *testing.T) {
	for _, n := range []int{5, 50, 300, 2000} {
		w := newFleetSimulation(t, n, 1)
		w.lossRatio = 0.1
		w.nodes[n/2].runRound(func() { w.nodes[n/2].s.Observe(Position, 1, 77) })
		half, all := int64(0), int64(0)
		for span := int64(0); span < 5*second && all == 0; span += second / 100 {
			w.run(second / 100)
			knows := w.countNodes(func(x *node) bool { return x.s.Summary(1).Position == 77 })
			if half == 0 && knows > n/2 {
				half = span
			}
			if knows >= n-1 {
				all = span
			}
		}
		w.run(3 * second)
		for _, x := range w.nodes {
			for item, times := range x.received {
				if times > 1 || item.Origin == x.id {
					t.Fatal("an own or known item was delivered as new: ", item, times)
				}
			}
		}
		t.Logf("%d gateways: half reached after %d ms, all after %d ms; %.1f messages per gateway", n, half/1e6, all/1e6, float64(w.sent)/float64(n))
		if all == 0 || all > second || float64(w.sent)/float64(n) > 20 {
			t.Fatal(n, all, w.sent)
		}
	}
}

// A broken link must not exclude a member: one that only two gateways cannot reach, or three while all others
// can, stays healthy for the rest. A member that many cannot reach is unhealthy for all, with few messages,
// and healthy again once the reports expire.
func TestBrokenLinkDoesNotExcludeMember(t *testing.T) {
	for _, n := range []int{10, 100} {
		for _, c := range []struct {
			unhealthy, healthy int
			want               bool
		}{{1, 0, false}, {2, 0, false}, {3, n - 3, false}, {n / 2, 0, true}, {n, 0, true}} {
			w := newFleetSimulation(t, n, uint64(c.unhealthy))
			for i, x := range w.nodes {
				x.reportsHealthy = i >= c.unhealthy && i < c.unhealthy+c.healthy
			}
			for range 50 { // each keeps observing the member as unhealthy
				for _, x := range w.nodes[:c.unhealthy] {
					x.runRound(func() { x.s.Observe(Health, 1, Unhealthy) })
				}
				w.run(second / 10)
			}
			unhealthyAt := w.countNodes(func(x *node) bool { return x.id >= uint32(c.unhealthy) && x.s.IsUnhealthy(1) })
			t.Logf("%d of %d report it unhealthy and %d healthy: unhealthy for %d of the others, %d messages per gateway and second", c.unhealthy, n, c.healthy, unhealthyAt, w.sent/n/5)
			if c.want && unhealthyAt < n-c.unhealthy || !c.want && unhealthyAt > (n-c.unhealthy)/20 {
				t.Fatal(n, c, unhealthyAt)
			}
			if w.sent/n/5 > 30 {
				t.Fatal("messages: ", w.sent/n/5)
			}
			w.run(ReportTimeToLive + second)
			if x := w.countNodes(func(x *node) bool { x.s.Clock(w.Now); return x.s.IsUnhealthy(1) }); x > 0 {
				t.Fatal("still unhealthy after expiry, at gateways: ", x)
			}
		}
	}
}

// Gateways are randomly killed, partitioned and restarted while all report positions, health, latencies and
// loads. A report must never be replaced by an earlier one of the same origin, the tables must stay within
// their limits, and the messages sent within the budget.
func TestRandomizedReports(t *testing.T) {
	for seed := range uint64(60) {
		rng := rand.New(rand.NewPCG(seed, 5))
		n := 3 + rng.IntN(40)
		w := newFleetSimulation(t, n, seed)
		truth := map[string]uint64{}
		half := 0
		w.blocked = func(from, to int) bool { return half > 0 && (from < half) != (to < half) }
		for end := w.Now + 12*second; w.Now < end; w.run(int64(rng.Float64() * 2e8)) {
			x := w.nodes[rng.IntN(n)]
			switch rng.IntN(8) {
			case 0:
				w.lossRatio = rng.Float64() * 0.4
			case 1:
				half = rng.IntN(n)
			case 2:
				half = 0
			case 3:
				if x.down {
					x.start()
				} else {
					x.down = true
				}
			default:
				if !x.down {
					x.runRound(func() { x.s.Observe(Kind(1+rng.IntN(5)), uint64(1+rng.IntN(3)), rng.Int64N(2)*rng.Int64N(1000)) })
				}
			}
			for _, x := range w.nodes {
				if x.down {
					continue
				}
				for a, all := range x.s.reports {
					if len(all) > maxReportsPerTopic {
						t.Fatal("reports: ", len(all))
					}
					for o, word := range all {
						key := fmt.Sprint(seed, x.id, a, o, x.s.sequence>>20)
						if truth[key] > word.sequence {
							t.Fatal("seed ", seed, ": an older report replaced a newer one")
						}
						truth[key] = word.sequence
					}
				}
			}
		}
		if most := float64(n) * (12.5*budgetPerSecond + maxSendBudget) * 2; float64(w.sent) > most {
			t.Fatal("seed ", seed, ": ", w.sent, " messages sent, at most ", most, " allowed")
		}
	}
}
