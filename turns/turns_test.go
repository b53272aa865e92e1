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

// world is a fleet whose gateways all want the same done at about the same time, on a virtual clock.
type fleetSimulation struct {
	agenda.Agenda
	t            testing.TB
	rng          *rand.Rand
	all          []*Turns
	candidates   []Candidate
	wake         []int
	blocked      func(from, to int) bool
	dead         map[int]bool
	maxDelay     int64 // of words, at the most
	taskDuration int64 // to do it
	startedBy    []int // who, in order
	batches      []int
	transcript   []string
}

func newFleetSimulation(t testing.TB, n int, seed uint64) *fleetSimulation {
	w := &fleetSimulation{t: t, rng: rand.New(rand.NewPCG(seed, 2)), blocked: func(_, _ int) bool { return false }, dead: map[int]bool{}, maxDelay: 100e6, taskDuration: 20e6,
		Agenda: agenda.Agenda{Now: second}}
	for i := range n {
		x, err := New(Config{Self: uint32(i), Wait: DefaultWait})
		if err != nil {
			t.Fatal(err)
		}
		w.all, w.wake = append(w.all, x), append(w.wake, 0)
		w.candidates = append(w.candidates, Candidate{uint32(i), 1})
	}
	return w
}

func (w *fleetSimulation) logf(format string, x ...any) {
	w.transcript = append(w.transcript, fmt.Sprintf("%6.3f  ", float64(w.Now-second)/1e9)+fmt.Sprintf(format, x...))
}

func (w *fleetSimulation) runRound(i int, f func(*Turns)) {
	if w.dead[i] {
		return
	}
	x := w.all[i]
	x.Clock(w.Now)
	f(x)
	for d, ok := x.Next(); ok; d, ok = x.Next() {
		switch d.Kind {
		case Perform:
			w.startedBy, w.batches = append(w.startedBy, i), append(w.batches, d.Batch)
			w.logf("g%d goes, round %d, lot %d", i, d.Round, d.Batch)
			w.After(w.taskDuration, func() {
				w.runRound(i, func(x *Turns) {
					x.Complete(d.Key, d.Round)
					w.logf("g%d has done it, and tells", i)
				})
				for o := range w.all {
					if o != i && !w.dead[i] && !w.blocked(i, o) {
						w.After(int64(w.rng.Float64()*float64(w.maxDelay)), func() {
							w.runRound(o, func(x *Turns) {
								if x.PeerCompleted(d.Key, d.Round) && len(w.all) < 10 {
									w.logf("g%d need not go", o)
								}
							})
						})
					}
				}
			})
		case Wake:
			w.wake[i]++
			no := w.wake[i]
			w.After(d.After, func() {
				if w.wake[i] == no {
					w.runRound(i, func(*Turns) {})
				}
			})
		}
	}
}

// asks has all ask for a key within a tenth of a second.
func (w *fleetSimulation) requestAll(key uint64) {
	for i := range w.all {
		w.After(int64(w.rng.Float64()*100e6), func() { w.runRound(i, func(x *Turns) { x.Request(key, w.candidates) }) })
	}
}

func (w *fleetSimulation) run(span int64) { w.Run(w.Now + span) }

// Of all that would go one does, as a rule, however large the fleet; each goes as often as the others over many rounds, and
// one with thrice the weight about thrice as often.
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
		t.Logf("%d gateways: %d went in %d rounds, the one with three times the weight %.1f times as often as the mean", n, len(w.startedBy), rounds, float64(times[1])/mean)
		if len(w.startedBy) > rounds*11/10 || len(w.startedBy) < rounds {
			t.Fatal(n, len(w.startedBy))
		}
		if n == 3 && (times[0] < rounds/8 || times[2] < rounds/8 || float64(times[1]) < 2*float64(times[0])) {
			t.Fatal(times)
		}
	}
}

// Whoever goes first dies: others take the turn over, lot by lot, and few go. In two halves each has somebody go.
func TestTakenOver(t *testing.T) {
	for seed := range uint64(100) {
		for _, n := range []int{5, 100} {
			w := newFleetSimulation(t, n, seed)
			for i := range w.all { // a third is dead, and nobody knows yet
				w.dead[i] = w.rng.IntN(3) == 0
			}
			w.requestAll(uint64(seed))
			w.run(5 * second)
			alive := 0
			for i := range w.all {
				if !w.dead[i] {
					alive++
				}
			}
			if alive > 0 && (len(w.startedBy) == 0 || len(w.startedBy) > 10) {
				t.Fatal("seed ", seed, ": went ", len(w.startedBy), " of ", n)
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

// Nothing is kept of turns that nobody asks for any more.
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

// A turn that is taken over, as a person reads it: -update writes it anew.
func TestTranscript(t *testing.T) {
	w := newFleetSimulation(t, 5, 3)
	w.logf("all five ask")
	w.requestAll(9)
	w.run(2 * second)
	first := w.startedBy[0]
	w.logf("again; g%d is next in order", w.nextFirst(9))
	w.dead[w.nextFirst(9)] = true
	w.logf("it has died")
	w.requestAll(9)
	w.run(2 * second)
	w.logf("two halves: g0, g1 and g2, g3, g4")
	w.blocked = func(from, to int) bool { return (from < 2) != (to < 2) }
	w.requestAll(9)
	w.run(3 * second)
	_ = first
	goldie.New(t, goldie.WithNameSuffix(".txt")).Assert(t, "taken-over", []byte(strings.Join(w.transcript, "\n")+"\n"))
}

// next is who goes first in a key's next round.
func (w *fleetSimulation) nextFirst(key uint64) int {
	for i, x := range w.all {
		if !w.dead[i] && x.rank(key, x.getOrCreate(key).round, w.candidates) == 0 {
			return i
		}
	}
	return 0
}
