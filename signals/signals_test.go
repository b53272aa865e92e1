package signals

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"magpieglade/internal/agenda"
)

const second = int64(1e9)

// world is a fleet on a virtual clock, whose gateways hear of members by one another and sometimes by themselves.
type world struct {
	agenda.Scheduler
	t     testing.TB
	rng   *rand.Rand
	nodes []*node
	cut   func(from, to int) bool
	loss  float64
	sent  int
	items int
}

type node struct {
	w       *world
	no      uint32
	s       *Signals
	learned map[Item]int // of its word, by content
	wake    int
	well    bool // it finds member 1 well itself, and says so when it hears otherwise
	down    bool
}

func newWorld(t testing.TB, n int, seed uint64) *world {
	w := &world{t: t, rng: rand.New(rand.NewPCG(seed, 4)), cut: func(_, _ int) bool { return false }, Scheduler: agenda.Scheduler{Now: second}}
	for i := range n {
		w.nodes = append(w.nodes, &node{w: w, no: uint32(i)})
	}
	for _, x := range w.nodes {
		x.start()
	}
	return w
}

func (x *node) start() {
	w := x.w
	s, err := New(x.no, uint64(w.Now), uint64(w.rng.Uint32()))
	if err != nil {
		w.t.Fatal(err)
	}
	var others []uint32
	for _, o := range w.nodes {
		if o != x {
			others = append(others, o.no)
		}
	}
	x.s, x.learned, x.down = s, map[Item]int{}, false
	s.Clock(w.Now)
	s.Fleet(x.no, others)
	s.Members([]uint64{1, 2, 3})
}

func (x *node) turn(f func()) {
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
			if w.cut(int(x.no), int(to.no)) || w.rng.Float64() < w.loss {
				continue
			}
			m := d.Message
			w.After(int64(200e3+w.rng.Float64()*3e6), func() { to.turn(func() { to.s.Heard(&m) }) })
		case Learn:
			same := d.Item
			same.Age = 0
			x.learned[same]++
			if d.Item.Kind == Verdict && d.Item.Value == Ill && x.well {
				x.s.Saw(Verdict, d.Item.Member, Well)
			}
		case Wake:
			x.wake++
			no := x.wake
			w.After(d.After, func() {
				if x.wake == no {
					x.turn(func() {})
				}
			})
		}
	}
}

func (w *world) run(span int64) { w.Run(w.Now + span) }

func (w *world) knowing(f func(*node) bool) (n int) {
	for _, x := range w.nodes {
		if f(x) {
			n++
		}
	}
	return n
}

// What one learned all know, within a second up to 2,000 gateways, though a tenth of the messages is lost; nobody learns one
// word twice, and messages a gateway do not grow with the fleet.
func TestAllHear(t *testing.T) {
	for _, n := range []int{5, 50, 300, 2000} {
		w := newWorld(t, n, 1)
		w.loss = 0.1
		w.nodes[n/2].turn(func() { w.nodes[n/2].s.Saw(Position, 1, 77) })
		half, all := int64(0), int64(0)
		for span := int64(0); span < 5*second && all == 0; span += second / 100 {
			w.run(second / 100)
			knows := w.knowing(func(x *node) bool { return x.s.Of(1).Position == 77 })
			if half == 0 && knows > n/2 {
				half = span
			}
			if knows >= n-1 {
				all = span
			}
		}
		w.run(3 * second)
		for _, x := range w.nodes {
			for item, times := range x.learned {
				if times > 1 || item.Origin == x.no {
					t.Fatal("an echo was learned as news: ", item, times)
				}
			}
		}
		t.Logf("%d gateways: half know after %d ms, all after %d; %.1f messages each", n, half/1e6, all/1e6, float64(w.sent)/float64(n))
		if all == 0 || all > second || float64(w.sent)/float64(n) > 20 {
			t.Fatal(n, all, w.sent)
		}
	}
}

// A member that two gateways alone can't reach is ill for nobody else, nor one that three can't while others can; one that
// nobody can reach is ill for all, with the words of a few; it is well again once some say so, or the words are old.
func TestBrokenLinkBarsNobody(t *testing.T) {
	for _, n := range []int{10, 100} {
		for _, c := range []struct {
			ill, well int
			want      bool
		}{{1, 0, false}, {2, 0, false}, {3, n - 3, false}, {n / 2, 0, true}, {n, 0, true}} {
			w := newWorld(t, n, uint64(c.ill))
			for i, x := range w.nodes {
				x.well = i >= c.ill && i < c.ill+c.well
			}
			for range 50 { // they find it so again and again
				for _, x := range w.nodes[:c.ill] {
					x.turn(func() { x.s.Saw(Verdict, 1, Ill) })
				}
				w.run(second / 10)
			}
			others := w.knowing(func(x *node) bool { return x.no >= uint32(c.ill) && x.s.TakenForIll(1) })
			t.Logf("%d of %d find it ill and %d well: %d of the others take it for ill, %d messages a gateway a second", c.ill, n, c.well, others, w.sent/n/5)
			if c.want && others < n-c.ill || !c.want && others > (n-c.ill)/20 {
				t.Fatal(n, c, others)
			}
			if w.sent/n/5 > 30 {
				t.Fatal("messages: ", w.sent/n/5)
			}
			w.run(Lifetime + second)
			if x := w.knowing(func(x *node) bool { x.s.Clock(w.Now); return x.s.TakenForIll(1) }); x > 0 {
				t.Fatal("ill for ever at ", x)
			}
		}
	}
}

// By chance gateways are killed, cut and come back while all tell of positions, verdicts and loads: a later word is never
// replaced by an earlier one of the same origin, tables stay within their bounds, and what is sent within what may be.
func TestNewsByChance(t *testing.T) {
	for seed := range uint64(60) {
		rng := rand.New(rand.NewPCG(seed, 5))
		n := 3 + rng.IntN(40)
		w := newWorld(t, n, seed)
		truth := map[string]uint64{}
		half := 0
		w.cut = func(from, to int) bool { return half > 0 && (from < half) != (to < half) }
		for end := w.Now + 12*second; w.Now < end; w.run(int64(rng.Float64() * 2e8)) {
			x := w.nodes[rng.IntN(n)]
			switch rng.IntN(8) {
			case 0:
				w.loss = rng.Float64() * 0.4
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
					x.turn(func() { x.s.Saw(Kind(1+rng.IntN(5)), uint64(1+rng.IntN(3)), rng.Int64N(2)*rng.Int64N(1000)) })
				}
			}
			for _, x := range w.nodes {
				if x.down {
					continue
				}
				for a, all := range x.s.words {
					if len(all) > mostWords {
						t.Fatal("words: ", len(all))
					}
					for o, word := range all {
						key := fmt.Sprint(seed, x.no, a, o, x.s.no>>20)
						if truth[key] > word.no {
							t.Fatal("seed ", seed, ": an older word took the place of a newer")
						}
						truth[key] = word.no
					}
				}
			}
		}
		if most := float64(n) * (12.5*floor + firstSpend) * 2; float64(w.sent) > most {
			t.Fatal("seed ", seed, ": ", w.sent, " messages, ", most, " may be")
		}
	}
}
