package turns

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"magpieglade/internal/agenda"
)

const second = int64(1e9)

// fleetSimulation runs a fleet on a virtual clock, whose gateways all request the same task at about the same
// time.
type fleetSimulation struct {
	agenda.Scheduler
	t            testing.TB
	rng          *rand.Rand
	gateways     []*Turns
	candidates   []Candidate
	wakeCounts   []int
	blocked      func(from, to int) bool
	down         map[int]bool
	maxDelay     int64 // max delay of completion notices
	taskDuration int64
	startedBy    []int // gateways, in order
	batches      []int
	transcript   []string
}

func newFleetSimulation(t testing.TB, n int, seed uint64) *fleetSimulation {
	w := &fleetSimulation{t: t, rng: rand.New(rand.NewPCG(seed, 2)), blocked: func(_, _ int) bool { return false }, down: map[int]bool{}, maxDelay: 100e6, taskDuration: 20e6,
		Scheduler: agenda.Scheduler{Now: second}}
	for i := range n {
		x, err := New(Config{Self: uint32(i), Wait: DefaultWait})
		if err != nil {
			t.Fatal(err)
		}
		w.gateways, w.wakeCounts = append(w.gateways, x), append(w.wakeCounts, 0)
		w.candidates = append(w.candidates, Candidate{uint32(i), 1})
	}
	return w
}

func (w *fleetSimulation) logf(format string, x ...any) {
	w.transcript = append(w.transcript, fmt.Sprintf("%6.3f  ", float64(w.Now-second)/1e9)+fmt.Sprintf(format, x...))
}

func (w *fleetSimulation) runRound(i int, f func(*Turns)) {
	if w.down[i] {
		return
	}
	x := w.gateways[i]
	x.Clock(w.Now)
	f(x)
	for d, ok := x.Next(); ok; d, ok = x.Next() {
		switch d.Kind {
		case Perform:
			w.startedBy, w.batches = append(w.startedBy, i), append(w.batches, d.Batch)
			w.logf("g%d starts, round %d, batch %d", i, d.Round, d.Batch)
			w.After(w.taskDuration, func() {
				w.runRound(i, func(x *Turns) {
					x.Complete(d.Key, d.Round)
					w.logf("g%d completed, notifies the others", i)
				})
				for o := range w.gateways {
					if o != i && !w.down[i] && !w.blocked(i, o) {
						w.After(int64(w.rng.Float64()*float64(w.maxDelay)), func() {
							w.runRound(o, func(x *Turns) {
								if x.PeerCompleted(d.Key, d.Round) && len(w.gateways) < 10 {
									w.logf("g%d cancels", o)
								}
							})
						})
					}
				}
			})
		case Wake:
			w.wakeCounts[i]++
			no := w.wakeCounts[i]
			w.After(d.After, func() {
				if w.wakeCounts[i] == no {
					w.runRound(i, func(*Turns) {})
				}
			})
		}
	}
}

// requestAll makes all gateways request a key within a tenth of a second.
func (w *fleetSimulation) requestAll(key uint64) {
	for i := range w.gateways {
		w.After(int64(w.rng.Float64()*100e6), func() { w.runRound(i, func(x *Turns) { x.Request(key, w.candidates) }) })
	}
}

func (w *fleetSimulation) run(span int64) { w.Run(w.Now + span) }

// Of all gateways that request a task, usually one performs it, whatever the fleet size. Over many rounds all
// take it equally often, and one with three times the weight about three times as often.
func TestOneGatewayRuns(t *testing.T) {
	for _, n := range []int{3, 30, 300} {
		w := newFleetSimulation(t, n, 1)
		w.candidates[1].Weight = 3
		const rounds = 400
		for range rounds {
			w.requestAll(7)
			w.run(2 * second)
		}
		times := make([]int, n)
		for _, i := range w.startedBy {
			times[i]++
		}
		mean := float64(rounds) / float64(n+2)
		t.Logf("%d gateways: %d runs in %d rounds, the one with three times the weight %.1f times as often as the mean", n, len(w.startedBy), rounds, float64(times[1])/mean)
		if len(w.startedBy) > rounds*11/10 || len(w.startedBy) < rounds {
			t.Fatal(n, len(w.startedBy))
		}
		if n == 3 && (times[0] < rounds/8 || times[2] < rounds/8 || float64(times[1]) < 2*float64(times[0])) {
			t.Fatal(times)
		}
	}
}

// If the first gateway has died, the others take over in batches, and only a few perform the task. In a
// partitioned fleet, each half performs it.
func TestTakeover(t *testing.T) {
	for seed := range uint64(100) {
		for _, n := range []int{5, 100} {
			w := newFleetSimulation(t, n, seed)
			for i := range w.gateways { // a third is down, unnoticed by the others
				w.down[i] = w.rng.IntN(3) == 0
			}
			w.requestAll(uint64(seed))
			w.run(5 * second)
			alive := 0
			for i := range w.gateways {
				if !w.down[i] {
					alive++
				}
			}
			if alive > 0 && (len(w.startedBy) == 0 || len(w.startedBy) > 10) {
				t.Fatal("seed ", seed, ": started ", len(w.startedBy), " of ", n)
			}
			w = newFleetSimulation(t, n, seed)
			w.blocked = func(from, to int) bool { return (from < n/2) != (to < n/2) }
			w.requestAll(uint64(seed))
			w.run(5 * second)
			halves := [2]int{}
			for _, i := range w.startedBy {
				if i < n/2 {
					halves[0]++
				} else {
					halves[1]++
				}
			}
			if halves[0] == 0 || halves[1] == 0 || len(w.startedBy) > 12 {
				t.Fatal("seed ", seed, ": halves ", halves)
			}
		}
	}
}

// Idle turns must not accumulate.
func TestIdleTurnsAreEvicted(t *testing.T) {
	x, _ := New(Config{Self: 1, Wait: DefaultWait})
	for key := range uint64(5 * maxTurns) {
		x.Clock(int64(key) * 1e6)
		x.PeerCompleted(key, 0)
		if len(x.turns) > maxTurns {
			t.Fatal(len(x.turns))
		}
	}
}

// Golden transcript of takeovers; -update rewrites it.
func TestTranscript(t *testing.T) {
	w := newFleetSimulation(t, 5, 3)
	w.logf("all five request the task")
	w.requestAll(9)
	w.run(2 * second)
	first := w.startedBy[0]
	w.logf("second request; g%d is first", w.nextFirst(9))
	w.down[w.nextFirst(9)] = true
	w.logf("it is down")
	w.requestAll(9)
	w.run(2 * second)
	w.logf("partition: g0, g1 and g2, g3, g4")
	w.blocked = func(from, to int) bool { return (from < 2) != (to < 2) }
	w.requestAll(9)
	w.run(3 * second)
	_ = first
	goldie.New(t, goldie.WithNameSuffix(".txt")).Assert(t, "taken-over", []byte(strings.Join(w.transcript, "\n")+"\n"))
}

// nextFirst returns the gateway that goes first in a key's next round.
func (w *fleetSimulation) nextFirst(key uint64) int {
	for i, x := range w.gateways {
		if !w.down[i] && x.rank(key, x.getOrCreate(key).round, w.candidates) == 0 {
			return i
		}
	}
	return 0
}
