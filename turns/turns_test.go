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
type world struct {
	agenda.Scheduler
	t     testing.TB
	rng   *rand.Rand
	all   []*Turns
	among []Candidate
	wake  []int
	cut   func(from, to int) bool
	dead  map[int]bool
	lag   int64 // of words, at the most
	takes int64 // to do it
	went  []int // who, in order
	lots  []int
	out   []string
}

func newWorld(t testing.TB, n int, seed uint64) *world {
	w := &world{t: t, rng: rand.New(rand.NewPCG(seed, 2)), cut: func(_, _ int) bool { return false }, dead: map[int]bool{}, lag: 100e6, takes: 20e6,
		Scheduler: agenda.Scheduler{Now: second}}
	for i := range n {
		x, err := New(Terms{Self: uint32(i), Wait: UsualWait})
		if err != nil {
			t.Fatal(err)
		}
		w.all, w.wake = append(w.all, x), append(w.wake, 0)
		w.among = append(w.among, Candidate{uint32(i), 1})
	}
	return w
}

func (w *world) say(format string, x ...any) {
	w.out = append(w.out, fmt.Sprintf("%6.3f  ", float64(w.Now-second)/1e9)+fmt.Sprintf(format, x...))
}

func (w *world) turn(i int, f func(*Turns)) {
	if w.dead[i] {
		return
	}
	x := w.all[i]
	x.Clock(w.Now)
	f(x)
	for d, ok := x.Next(); ok; d, ok = x.Next() {
		switch d.Kind {
		case Go:
			w.went, w.lots = append(w.went, i), append(w.lots, d.Lot)
			w.say("g%d goes, round %d, lot %d", i, d.Round, d.Lot)
			w.After(w.takes, func() {
				w.turn(i, func(x *Turns) {
					x.Did(d.Key, d.Round)
					w.say("g%d has done it, and tells", i)
				})
				for o := range w.all {
					if o != i && !w.dead[i] && !w.cut(i, o) {
						w.After(int64(w.rng.Float64()*float64(w.lag)), func() {
							w.turn(o, func(x *Turns) {
								if x.Word(d.Key, d.Round) && len(w.all) < 10 {
									w.say("g%d need not go", o)
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
					w.turn(i, func(*Turns) {})
				}
			})
		}
	}
}

// asks has all ask for a key within a tenth of a second.
func (w *world) asks(key uint64) {
	for i := range w.all {
		w.After(int64(w.rng.Float64()*100e6), func() { w.turn(i, func(x *Turns) { x.Ask(key, w.among) }) })
	}
}

func (w *world) run(span int64) { w.Run(w.Now + span) }

// Of all that would go one does, as a rule, however large the fleet; each goes as often as the others over many rounds, and
// one with thrice the weight about thrice as often.
func TestOneGoes(t *testing.T) {
	for _, n := range []int{3, 30, 300} {
		w := newWorld(t, n, 1)
		w.among[1].Weight = 3
		const rounds = 400
		for range rounds {
			w.asks(7)
			w.run(2 * second)
		}
		times := make([]int, n)
		for _, i := range w.went {
			times[i]++
		}
		mean := float64(rounds) / float64(n+2)
		t.Logf("%d gateways: %d went in %d rounds, the one with three times the weight %.1f times as often as the mean", n, len(w.went), rounds, float64(times[1])/mean)
		if len(w.went) > rounds*11/10 || len(w.went) < rounds {
			t.Fatal(n, len(w.went))
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
			w := newWorld(t, n, seed)
			for i := range w.all { // a third is dead, and nobody knows yet
				w.dead[i] = w.rng.IntN(3) == 0
			}
			w.asks(uint64(seed))
			w.run(5 * second)
			alive := 0
			for i := range w.all {
				if !w.dead[i] {
					alive++
				}
			}
			if alive > 0 && (len(w.went) == 0 || len(w.went) > 10) {
				t.Fatal("seed ", seed, ": went ", len(w.went), " of ", n)
			}
			w = newWorld(t, n, seed)
			w.cut = func(from, to int) bool { return (from < n/2) != (to < n/2) }
			w.asks(uint64(seed))
			w.run(5 * second)
			halves := [2]int{}
			for _, i := range w.went {
				if i < n/2 {
					halves[0]++
				} else {
					halves[1]++
				}
			}
			if halves[0] == 0 || halves[1] == 0 || len(w.went) > 12 {
				t.Fatal("seed ", seed, ": halves ", halves)
			}
		}
	}
}

// Nothing is kept of turns that nobody asks for any more.
func TestForgets(t *testing.T) {
	x, _ := New(Terms{Self: 1, Wait: UsualWait})
	for key := range uint64(5 * mostTurns) {
		x.Clock(int64(key) * 1e6)
		x.Word(key, 0)
		if len(x.all) > mostTurns {
			t.Fatal(len(x.all))
		}
	}
}

// A turn that is taken over, as a person reads it: -update writes it anew.
func TestTranscript(t *testing.T) {
	w := newWorld(t, 5, 3)
	w.say("all five ask")
	w.asks(9)
	w.run(2 * second)
	first := w.went[0]
	w.say("again; g%d is next in order", w.next(9))
	w.dead[w.next(9)] = true
	w.say("it has died")
	w.asks(9)
	w.run(2 * second)
	w.say("two halves: g0, g1 and g2, g3, g4")
	w.cut = func(from, to int) bool { return (from < 2) != (to < 2) }
	w.asks(9)
	w.run(3 * second)
	_ = first
	goldie.New(t, goldie.WithNameSuffix(".txt")).Assert(t, "taken-over", []byte(strings.Join(w.out, "\n")+"\n"))
}

// next is who goes first in a key's next round.
func (w *world) next(key uint64) int {
	for i, x := range w.all {
		if !w.dead[i] && x.place(key, x.of(key).round, w.among) == 0 {
			return i
		}
	}
	return 0
}
