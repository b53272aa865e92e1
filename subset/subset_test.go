package subset

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
)

const (
	second = int64(1e9)
	step   = second / 50
)

// fleet simulates the gateways of one group on a virtual clock.
type fleet struct {
	t          testing.TB
	now        int64
	gateways   []Gateway
	members    []Member
	subsets    map[uint64]*Subset
	held       map[uint64]map[uint64]bool
	adds       map[int64]int // by tenths of a second
	drops      map[int64]int
	transcript []string // what moved
	names      map[uint64]string
}

func newFleet(t testing.TB, n, m int) *fleet {
	rng := rand.New(rand.NewPCG(8, 9))
	f := &fleet{t: t, now: second, subsets: map[uint64]*Subset{}, held: map[uint64]map[uint64]bool{}}
	f.gateways, f.members = randomFleet(n, m, 3, rng)
	f.members[0].Primary = true
	for _, g := range f.gateways {
		f.join(g)
	}
	f.applyDivision()
	f.run(5 * second)
	return f
}

func (f *fleet) join(g Gateway) {
	s, err := New(DefaultConfig(), g, 1)
	if err != nil {
		f.t.Fatal(err)
	}
	f.subsets[g.ID], f.held[g.ID] = s, map[uint64]bool{}
}

// applyDivision passes the current division to all gateways.
func (f *fleet) applyDivision() {
	f.adds, f.drops = map[int64]int{}, map[int64]int{}
	d := Divide(DefaultConfig(), f.gateways, f.members)
	for _, g := range f.gateways {
		f.subsets[g.ID].Clock(f.now)
		f.subsets[g.ID].SetDivision(d.For(g.ID))
	}
}

func (f *fleet) run(duration int64) {
	for end := f.now + duration; f.now < end; f.now += step {
		for _, g := range f.gateways {
			s := f.subsets[g.ID]
			s.Clock(f.now)
			for d, ok := s.Next(); ok; d, ok = s.Next() {
				switch d.Kind {
				case Add:
					f.record("%s connects to %s", g.ID, d.Key)
					if f.held[g.ID][d.Key] {
						f.t.Fatal("added twice")
					}
					f.held[g.ID][d.Key] = true
					f.adds[f.now*10/second]++
				case Drop:
					f.record("%s leaves %s", g.ID, d.Key)
					if !f.held[g.ID][d.Key] {
						f.t.Fatal("dropped a member that was not added")
					}
					delete(f.held[g.ID], d.Key)
					f.drops[f.now*10/second]++
				}
			}
		}
	}
}

func (f *fleet) subsetSizes() (smallest, largest int) {
	smallest = 1 << 30
	for _, g := range f.gateways {
		n := len(f.held[g.ID])
		smallest, largest = min(smallest, n), max(largest, n)
	}
	return smallest, largest
}

// A tenth of the members is replaced at once. Every gateway always has its minimum number of members and
// at most about twice its subset, and the new connections are spread over two seconds.
func TestMovesAreSpread(t *testing.T) {
	f := newFleet(t, 300, 60)
	config := DefaultConfig()
	size := config.Size(300, 60)
	smallest, largest := f.subsetSizes()
	if smallest < size || largest > size+1 {
		t.Fatal("sizes at the start: ", smallest, largest, size)
	}
	membersBefore := f.members
	f.members = append([]Member{}, f.members[:54]...)
	rng := rand.New(rand.NewPCG(1, 1))
	for range 6 {
		f.members = append(f.members, Member{Key: rng.Uint64(), Zone: "z1", Weight: 1})
	}
	f.applyDivision()
	for range 250 {
		f.run(step)
		l, m := f.subsetSizes()
		if l < config.MinMembers || m > 2*size+1 {
			t.Fatal("sizes during the change: ", l, m, size)
		}
	}
	all, peak := 0, 0
	for _, n := range f.adds {
		all, peak = all+n, max(peak, n)
	}
	t.Logf("%d connections added, at most %d of them in a tenth of a second; %d of %d members replaced", all, peak, len(membersBefore)-54, len(membersBefore))
	if smallest, largest = f.subsetSizes(); smallest < size || largest > size+1 || peak > all/5 {
		t.Fatal(smallest, largest, peak, all)
	}
}

// A subset with suspect members widens at once and then step by step, to at most twice its size, and
// narrows again. While the primary is unknown it widens to the whole group.
func TestWidening(t *testing.T) {
	f := newFleet(t, 100, 40)
	g := f.gateways[3]
	s := f.subsets[g.ID]
	size := len(f.held[g.ID])
	suspects := 0
	for _, m := range f.members {
		if f.held[g.ID][m.Key] && suspects < size/2 {
			s.SetSuspect(m.Key, true)
			suspects++
		}
	}
	f.run(second / 50)
	if n := len(f.held[g.ID]); n <= size {
		t.Fatal("not widened at once", n, size)
	}
	f.run(3 * second)
	widened := len(f.held[g.ID])
	for _, m := range f.members {
		s.SetSuspect(m.Key, false)
	}
	f.run(15 * second)
	t.Logf("%d members, %d while %d of them were suspect, %d later", size, widened, suspects, len(f.held[g.ID]))
	if widened > 2*size+1 || widened-suspects < size*3/4 || len(f.held[g.ID]) != size {
		t.Fatal(size, widened, suspects, len(f.held[g.ID]))
	}
	s.Observe(0, false, 9, 0)
	f.run(primaryTimeout + second/10)
	s.Observe(0, false, 9, 0)
	f.run(5 * second)
	if n := len(f.held[g.ID]); n != len(f.members) {
		t.Fatal("not widened to the whole group while the primary is unknown", n)
	}
	s.Observe(0, true, 9, 0)
	f.run(15 * second)
	s.Observe(0, true, 9, 5)
	f.run(5 * second)
	if n := len(f.held[g.ID]); n <= size || n > 2*size+1 {
		t.Fatal("wrong size while replicas are stale", n, size)
	}
}

// Gateways and members join and leave at random. Each gateway converges to its division and forgets
// members that have left.
func TestFollowsDivision(t *testing.T) {
	for seed := range uint64(5) {
		rng := rand.New(rand.NewPCG(seed, 3))
		f := newFleet(t, 5+rng.IntN(60), 3+rng.IntN(40))
		for range 12 {
			switch rng.IntN(4) {
			case 0:
				g := Gateway{rng.Uint64(), fmt.Sprint("z", rng.IntN(3))}
				f.gateways = append(f.gateways, g)
				f.join(g)
			case 1:
				i := rng.IntN(len(f.gateways))
				if len(f.gateways) > 1 {
					f.gateways = append(append([]Gateway{}, f.gateways[:i]...), f.gateways[i+1:]...)
				}
			case 2:
				f.members = append([]Member{}, append(f.members, Member{Key: rng.Uint64(), Zone: "z0", Weight: 1 + rng.Float64()})...)
			case 3:
				if i := rng.IntN(len(f.members)); i > 0 && len(f.members) > 2 {
					f.members = append(append([]Member{}, f.members[:i]...), f.members[i+1:]...)
				}
			}
			f.applyDivision()
			f.run(int64(rng.Float64() * 3e9))
		}
		f.run(20 * second)
		for _, g := range f.gateways {
			want := Divide(DefaultConfig(), f.gateways, f.members).For(g.ID)[0].Own
			for _, key := range append(want, f.members[0].Key) {
				if !f.held[g.ID][key] || !f.subsets[g.ID].Has(key) {
					t.Fatal("seed ", seed, ": a member of its division is missing")
				}
			}
			if n := len(f.held[g.ID]); n > len(want)+1 {
				t.Fatal("seed ", seed, ": ", n, " members, its division has ", len(want))
			}
		}
	}
}

func (f *fleet) record(format string, gateway, member uint64) {
	if f.names != nil {
		f.transcript = append(f.transcript, fmt.Sprintf("%6.2f  ", float64(f.now-second)/1e9)+fmt.Sprintf(format, f.names[gateway], f.names[member]))
	}
}

// recordState appends the gateways of each member to the transcript.
func (f *fleet) recordState(title string) {
	f.transcript = append(f.transcript, title)
	for _, m := range f.members {
		var holders []string
		for _, g := range f.gateways {
			if f.held[g.ID][m.Key] {
				holders = append(holders, f.names[g.ID])
			}
		}
		slices.Sort(holders)
		f.transcript = append(f.transcript, fmt.Sprintf("  %s: %d  %s", f.names[m.Key], len(holders), strings.Join(holders, " ")))
	}
}

// The golden file shows a gateway that joins and a member that leaves; it is reviewed by hand. -update
// regenerates it.
func TestTranscript(t *testing.T) {
	f := newFleet(t, 30, 10)
	f.names = map[uint64]string{}
	for i, g := range f.gateways {
		f.names[g.ID] = fmt.Sprintf("g%02d", i)
	}
	for i, m := range f.members {
		f.names[m.Key] = fmt.Sprintf("m%d", i)
	}
	f.recordState("thirty gateways, nine replicas, m0 is the primary")
	g := Gateway{12345, "z1"}
	f.names[g.ID] = "new"
	f.gateways = append(f.gateways, g)
	f.join(g)
	f.transcript = append(f.transcript, "another gateway joins")
	f.applyDivision()
	f.run(6 * second)
	f.members = append([]Member{}, f.members[:9]...)
	f.transcript = append(f.transcript, "m9 leaves the list")
	f.applyDivision()
	f.run(6 * second)
	f.recordState("at the end")
	goldie.New(t, goldie.WithNameSuffix(".txt")).Assert(t, "join-and-leave", []byte(strings.Join(f.transcript, "\n")+"\n"))
}
