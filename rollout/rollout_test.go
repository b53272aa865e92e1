package rollout

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

func init() { _ = flag.Set("rapid.seed", "1") }

// scenario drives one Rollout with traffic.
type scenario struct {
	r       *Rollout
	now     int64
	rng     *rand.Rand
	rate    float64 // txns per slot
	health  float64
	drift   float64 // accumulated noise, correlated between slots
	noise   float64
	inForce Generation
	kept    Generation
	saved   State
	logged  []string
	verbose bool
}

func newScenario(seed uint64) *scenario {
	return &scenario{r: New(State{}), now: 1e9, rng: rand.New(rand.NewPCG(seed, 3)), rate: 200, health: 0.95}
}

func (d *scenario) process() {
	for {
		x, ok := d.r.Next()
		if !ok {
			return
		}
		switch x.Kind {
		case Apply, Undo:
			d.inForce = x.Generation
		case Keep:
			d.kept = x.Generation
		case Save:
			d.saved = d.r.State()
		case Log:
			d.logged = append(d.logged, x.Text)
			if d.verbose {
				fmt.Println(x.Text)
			}
		}
	}
}

// run plays a number of slots, each txn on one of three routes; bad is subtracted from the health of route 1.
func (d *scenario) run(slots int, bad float64) {
	for range slots {
		d.drift = 0.7*d.drift + d.noise*d.rng.NormFloat64()
		for range int(d.rate * (0.8 + 0.4*d.rng.Float64())) {
			route := int32(d.rng.IntN(3))
			h := d.health + d.drift
			if route == 1 {
				h -= bad
			}
			served := 0.0
			if d.rng.Float64() < h {
				served = 1
			}
			d.r.RecordTxn(route, 1, served)
		}
		d.now += slotDuration
		d.r.Clock(d.now)
		d.process()
	}
}

func (d *scenario) propose(g Generation) error {
	d.r.Clock(d.now)
	err := d.r.Propose(Change{Generation: g, Digest: uint64(g) * 31, WatchDuration: 30e9})
	d.process()
	return err
}

func Example_keptAndUndone() {
	d := newScenario(1)
	d.verbose = true
	d.run(40, 0)
	fmt.Println(d.propose(1))
	d.run(60, 0)
	fmt.Println(d.propose(2))
	d.run(20, 0.5)
	fmt.Println(d.inForce, d.kept, d.propose(2))
	// Output:
	// generation 1: applied, watched for 30000 ms, health 0.946, spread 0.020
	// <nil>
	// generation 1: kept, its watch is over, health 0.947 after, 0.946 before
	// generation 2: applied, watched for 30000 ms, health 0.946, spread 0.020
	// <nil>
	// generation 2: undone after 1500 ms, health worsened; 1 is in force again: all served 0.803 of its worth, 0.946 before, spread 0.020
	// 1 1 generation 2 is not applied: it was undone before; apply it with --again
}

// The process ends while a change is watched: the last kept one is in force, and the change is not applied again
// automatically.
func Example_crash() {
	d := newScenario(1)
	d.run(40, 0)
	_ = d.propose(1)
	d.run(70, 0)
	_ = d.propose(2)
	d.run(3, 0)
	again := &scenario{r: New(d.saved), now: d.now, rng: d.rng, rate: 200, health: 0.95, verbose: true}
	again.process()
	fmt.Println(again.propose(2))
	fmt.Printf("%+v\n", again.r.State())
	// Output:
	// generation 2: undone, the gateway ended while it was watched; 1 is in force
	// generation 2 is not applied: it was undone before; apply it with --again
	// {Kept:1 Watching:0 Digest:0 Crashes:1 Undone:[62]}
}

// Operator requests: a newer change waits while one is watched and replaces a staged one, and each can be kept or
// undone.
func Example_byHand() {
	d := newScenario(1)
	fmt.Println(d.r.KeepNow(), d.r.UndoNow())
	d.run(40, 0)
	_ = d.propose(1)
	_ = d.propose(2)
	_ = d.propose(3)
	fmt.Println(d.inForce, d.r.Status().Staged, d.r.Status().Stage)
	fmt.Println(d.r.KeepNow())
	d.process()
	fmt.Println(d.inForce, d.kept)
	fmt.Println(d.r.UndoNow())
	d.process()
	fmt.Println(d.inForce, d.kept)
	for _, e := range d.r.Status().Finished {
		fmt.Println(e.Generation, e.Kept, e.Why)
	}
	// Output:
	// no change is watched no change is watched or staged
	// 1 3 watched
	// <nil>
	// 3 1
	// <nil>
	// 1 1
	// 2 false a newer one took its place
	// 1 true by hand
	// 3 false by hand
}

// External events are not attributed to a change: a member's crash and a jump of traffic cause no undo, though they
// cost as much as a bad change. A change that could not be measured at all is undone.
func Example_disturbed() {
	for _, c := range []string{"crash", "jump", "always"} {
		d := newScenario(2)
		d.run(40, 0)
		_ = d.propose(1)
		d.run(10, 0)
		switch c {
		case "crash":
			for range 6 {
				d.r.ReportDisturbance()
				d.run(1, 0.6)
			}
			d.run(80, 0)
		case "jump":
			d.rate *= 2
			d.run(6, 0.6)
			d.rate /= 2
			d.run(80, 0)
		case "always":
			for range 200 {
				d.r.ReportDisturbance()
				d.run(1, 0)
			}
		}
		fmt.Println(c, d.kept, d.logged[len(d.logged)-1])
	}
	// Output:
	// crash 1 generation 1: kept, its watch is over, health 0.950 after, 0.947 before
	// jump 1 generation 1: kept, its watch is over, health 0.949 after, 0.947 before
	// always 0 generation 1: undone after 90000 ms, its watch went by without a quiet moment to judge it by; 0 is in force again
}

// Clients retry a change whose txns fail at once: that must not be taken for an external jump of traffic.
func Example_retryStorm() {
	d := newScenario(3)
	d.run(40, 0)
	_ = d.propose(1)
	d.rate *= 5
	d.health = 0.05
	d.run(10, 0)
	fmt.Println(d.inForce, d.logged[len(d.logged)-1])
	// Output:
	// 0 generation 1: undone after 1500 ms, health worsened; 0 is in force again: all served 0.046 of its worth, 0.951 before, spread 0.016
}

// Noise alone undoes at most 2 of 200 changes, even if it is correlated between slots; a real drop is undone, the
// deeper the sooner.
func TestFalseUndosAndTimeToUndo(t *testing.T) {
	for _, noise := range []float64{0, 0.01, 0.03} {
		falseUndos := 0
		for seed := range uint64(200) {
			d := newScenario(seed)
			d.noise = noise
			d.run(60, 0)
			_ = d.propose(1)
			d.run(70, 0)
			if d.kept != 1 {
				falseUndos++
			}
		}
		t.Logf("noise %.2f: %d of 200 undone without a cause", noise, falseUndos)
		if falseUndos > 2 {
			t.Errorf("noise %.2f: %d of 200 undone without a cause", noise, falseUndos)
		}
	}
	for _, c := range []struct {
		drop float64
		most int64
	}{{0.15, 30e9}, {0.3, 5e9}, {0.9, 2e9}} {
		worst, missed := int64(0), 0
		for seed := range uint64(50) {
			d := newScenario(seed)
			d.noise = 0.01
			d.run(60, 0)
			_ = d.propose(1)
			startedAt := d.now
			for d.inForce == 1 && d.kept != 1 {
				d.run(1, c.drop)
			}
			if d.kept == 1 {
				missed++
			}
			worst = max(worst, d.now-startedAt)
		}
		t.Logf("a third of the txns lose %.2f: undone within %d ms, %d of 50 missed", c.drop, worst/1e6, missed)
		if missed > 0 || worst > c.most {
			t.Errorf("a third of the txns lose %.2f: %d ms, %d missed", c.drop, worst/1e6, missed)
		}
	}
}

// For any order of events: the kept or the watched generation is in force; a restart finds the kept one; and no
// generation that was undone is in force again unless it was requested.
func TestRandomEventOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newScenario(uint64(rapid.IntRange(0, 99).Draw(t, "seed")))
		d.rate = 30
		next := Generation(0)
		undone := map[Generation]bool{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 6).Draw(t, "kind") {
			case 0:
				next++
				_ = d.propose(next)
			case 1:
				g := Generation(rapid.IntRange(1, int(max(1, next))).Draw(t, "old"))
				if g <= next && undone[g] && d.propose(g) == nil {
					t.Fatalf("%d was undone and is taken again", g)
				}
			case 2:
				_ = d.r.KeepNow()
			case 3:
				_ = d.r.UndoNow()
			case 4:
				d.run(rapid.IntRange(1, 80).Draw(t, "slots"), 0)
			case 5:
				d.run(rapid.IntRange(1, 10).Draw(t, "bad slots"), 0.9)
			case 6:
				d.r = New(d.saved)
				d.inForce = d.saved.Kept
			}
			d.process()
			s := d.r.Status()
			for _, e := range s.Finished {
				if !e.Kept && e.Why != Replaced {
					undone[e.Generation] = true
				}
			}
			if s.InForce != d.inForce || s.Stage != Watched && s.InForce != s.Kept || d.saved.Kept != s.Kept {
				t.Fatalf("%+v, in force %d, saved %+v", s, d.inForce, d.saved)
			}
			if s.Stage == Watched && d.saved.Watching != s.InForce {
				t.Fatalf("%d is in force, and a restart would not know: %+v", s.InForce, d.saved)
			}
		}
	})
}

// Correlated noise has a larger standard deviation than uncorrelated noise, and few slots a larger one than many.
func TestStdDevIsConservative(t *testing.T) {
	stdDev := func(slots int, correlation float64) float64 {
		rng := rand.New(rand.NewPCG(5, 5))
		var s series
		x := 0.0
		for range slots {
			x = correlation*x + 0.01*math.Sqrt(1-correlation*correlation)*rng.NormFloat64()
			s.learn(0.9 + x)
		}
		return s.stdDev()
	}
	few, many, lasting := stdDev(12, 0), stdDev(100, 0), stdDev(100, 0.7)
	if many < 0.009 || many > 0.014 || few < many || lasting < 1.5*many {
		t.Fatal(few, many, lasting)
	}
}

// A process that ends between any two decisions of a change starts with the last kept generation that was saved;
// what was watched then is not applied again automatically; and no change is in force that a restart would not know
// of.
func TestCrashBetweenDecisions(t *testing.T) {
	// Each script proposes 1, which is kept at once, then 2 with its outcome.
	scripts := map[string]func(r *Rollout){
		"kept by hand":   func(r *Rollout) { _ = r.KeepNow() },
		"undone by hand": func(r *Rollout) { _ = r.UndoNow() },
		"replaced":       func(r *Rollout) { _ = r.Propose(Change{Generation: 3, Digest: 3, WatchDuration: 1e9}) },
		"by the fleet":   func(r *Rollout) { _ = r.KeepWithReason(ByFleet) },
		"by its watch":   func(r *Rollout) { r.Clock(1e12) },
	}
	points := 0
	for name, script := range scripts {
		for stop := 0; ; stop++ {
			r, n := New(State{}), 0
			var saved State // on the disk
			var inForce Generation
			ended := false
			pull := func() {
				for !ended {
					d, ok := r.Next()
					if !ok {
						return
					}
					if ended = n == stop; ended { // before this decision is carried out
						return
					}
					n++
					switch d.Kind {
					case Save:
						saved = r.State()
					case Apply, Undo:
						inForce = d.Generation
					}
					if d.Kind == Apply && inForce != saved.Watching && inForce != 1 { // 1 has no watch
						t.Fatalf("%s: %d is in force, and a restart knows of %d and %d", name, inForce, saved.Kept, saved.Watching)
					}
				}
			}
			r.Clock(1e9)
			_ = r.Propose(Change{Generation: 1, Digest: 1})
			pull()
			_ = r.Propose(Change{Generation: 2, Digest: 2, WatchDuration: 1e9})
			pull()
			if !ended {
				script(r)
				pull()
			}
			again := New(saved)
			again.Clock(2e9)
			for d, ok := again.Next(); ok; d, ok = again.Next() {
				if d.Kind == Apply {
					t.Fatalf("%s, ended at %d: %d is applied again", name, stop, d.Generation)
				}
			}
			s := again.Status()
			if s.InForce != saved.Kept || s.Stage != Settled || saved.Watching != 0 && again.Propose(Change{Generation: 9, Digest: saved.Digest}) == nil {
				t.Fatalf("%s, ended at %d: %+v after %+v", name, stop, s, saved)
			}
			if points++; !ended {
				break
			}
		}
	}
	if points < 30 {
		t.Fatal(points)
	}
}
