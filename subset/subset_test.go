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

// crowd is gateways of one group, on a virtual clock.
type crowd struct {
	t        testing.TB
	now      int64
	gateways []Gateway
	members  []Member
	all      map[uint64]*Subset
	has      map[uint64]map[uint64]bool
	adds     map[int64]int // by tenth of a second
	drops    map[int64]int
	out      []string // what moved, for a transcript
	names    map[uint64]string
}

func newCrowd(t testing.TB, n, m int) *crowd {
	rng := rand.New(rand.NewPCG(8, 9))
	c := &crowd{t: t, now: second, all: map[uint64]*Subset{}, has: map[uint64]map[uint64]bool{}}
	c.gateways, c.members = fleetOf(n, m, 3, rng)
	c.members[0].Primary = true
	for _, g := range c.gateways {
		c.join(g)
	}
	c.lists()
	c.run(5 * second)
	return c
}

func (c *crowd) join(g Gateway) {
	s, err := New(DefaultConfig(), g, 1)
	if err != nil {
		c.t.Fatal(err)
	}
	c.all[g.ID], c.has[g.ID] = s, map[uint64]bool{}
}

// lists has all hear of the lists as they are.
func (c *crowd) lists() {
	c.adds, c.drops = map[int64]int{}, map[int64]int{}
	d := Divide(DefaultConfig(), c.gateways, c.members)
	for _, g := range c.gateways {
		c.all[g.ID].Clock(c.now)
		c.all[g.ID].SetDivision(d.For(g.ID))
	}
}

func (c *crowd) run(span int64) {
	for end := c.now + span; c.now < end; c.now += step {
		for _, g := range c.gateways {
			s := c.all[g.ID]
			s.Clock(c.now)
			for d, ok := s.Next(); ok; d, ok = s.Next() {
				switch d.Kind {
				case Add:
					c.say("%s connects to %s", g.ID, d.Key)
					if c.has[g.ID][d.Key] {
						c.t.Fatal("added twice")
					}
					c.has[g.ID][d.Key] = true
					c.adds[c.now*10/second]++
				case Drop:
					c.say("%s leaves %s", g.ID, d.Key)
					if !c.has[g.ID][d.Key] {
						c.t.Fatal("dropped what it has not")
					}
					delete(c.has[g.ID], d.Key)
					c.drops[c.now*10/second]++
				}
			}
		}
	}
}

func (c *crowd) sizes() (least, most int) {
	least = 1 << 30
	for _, g := range c.gateways {
		n := len(c.has[g.ID])
		least, most = min(least, n), max(most, n)
	}
	return least, most
}

// A tenth of the members is replaced at once. No gateway is ever without its number of members that are well, none has more
// than twice as many, and the connections that move come over two seconds, not all at once.
func TestMovesAreSpread(t *testing.T) {
	c := newCrowd(t, 300, 60)
	terms := DefaultConfig()
	size := terms.Size(300, 60)
	least, most := c.sizes()
	if least < size || most > size+1 {
		t.Fatal("to begin with: ", least, most, size)
	}
	was := c.members
	c.members = append([]Member{}, c.members[:54]...)
	rng := rand.New(rand.NewPCG(1, 1))
	for range 6 {
		c.members = append(c.members, Member{Key: rng.Uint64(), Zone: "z1", Weight: 1})
	}
	c.lists()
	for range 250 {
		c.run(step)
		l, m := c.sizes()
		if l < terms.MinMembers || m > 2*size+1 {
			t.Fatal("on the way: ", l, m, size)
		}
	}
	all, crest := 0, 0
	for _, n := range c.adds {
		all, crest = all+n, max(crest, n)
	}
	t.Logf("%d connections came, %d of them in one tenth of a second; %d went of %d members that are gone", all, crest, len(was)-54, len(was))
	if least, most = c.sizes(); least < size || most > size+1 || crest > all/5 {
		t.Fatal(least, most, crest, all)
	}
}

// A subset whose members are suspect widens by others, at once and then step by step, to twice its size at the most, and
// narrows again; one that knows no primary widens to the whole group.
func TestWidens(t *testing.T) {
	c := newCrowd(t, 100, 40)
	g := c.gateways[3]
	s := c.all[g.ID]
	size := len(c.has[g.ID])
	sick := 0
	for _, m := range c.members {
		if c.has[g.ID][m.Key] && sick < size/2 {
			s.SetSuspect(m.Key, true)
			sick++
		}
	}
	c.run(second / 50)
	if n := len(c.has[g.ID]); n <= size {
		t.Fatal("not at once", n, size)
	}
	c.run(3 * second)
	wide := len(c.has[g.ID])
	for _, m := range c.members {
		s.SetSuspect(m.Key, false)
	}
	c.run(15 * second)
	t.Logf("%d members, %d while %d of them were suspect, %d later", size, wide, sick, len(c.has[g.ID]))
	if wide > 2*size+1 || wide-sick < size*3/4 || len(c.has[g.ID]) != size {
		t.Fatal(size, wide, sick, len(c.has[g.ID]))
	}
	s.Observe(0, false, 9, 0)
	c.run(primaryTimeout + second/10)
	s.Observe(0, false, 9, 0)
	c.run(5 * second)
	if n := len(c.has[g.ID]); n != len(c.members) {
		t.Fatal("a primary may be anywhere", n)
	}
	s.Observe(0, true, 9, 0)
	c.run(15 * second)
	s.Observe(0, true, 9, 5)
	c.run(5 * second)
	if n := len(c.has[g.ID]); n <= size || n > 2*size+1 {
		t.Fatal("for fresh ones", n, size)
	}
}

// Fleets that grow and shrink by chance, with members that come, go and are suspect: each gateway comes to its division, and
// knows nothing of members that are gone.
func TestFollowsLists(t *testing.T) {
	for seed := range uint64(5) {
		rng := rand.New(rand.NewPCG(seed, 3))
		c := newCrowd(t, 5+rng.IntN(60), 3+rng.IntN(40))
		for range 12 {
			switch rng.IntN(4) {
			case 0:
				g := Gateway{rng.Uint64(), fmt.Sprint("z", rng.IntN(3))}
				c.gateways = append(c.gateways, g)
				c.join(g)
			case 1:
				i := rng.IntN(len(c.gateways))
				if len(c.gateways) > 1 {
					c.gateways = append(append([]Gateway{}, c.gateways[:i]...), c.gateways[i+1:]...)
				}
			case 2:
				c.members = append([]Member{}, append(c.members, Member{Key: rng.Uint64(), Zone: "z0", Weight: 1 + rng.Float64()})...)
			case 3:
				if i := rng.IntN(len(c.members)); i > 0 && len(c.members) > 2 {
					c.members = append(append([]Member{}, c.members[:i]...), c.members[i+1:]...)
				}
			}
			c.lists()
			c.run(int64(rng.Float64() * 3e9))
		}
		c.run(20 * second)
		for _, g := range c.gateways {
			want := Divide(DefaultConfig(), c.gateways, c.members).For(g.ID)[0].Own
			for _, key := range append(want, c.members[0].Key) {
				if !c.has[g.ID][key] || !c.all[g.ID].Has(key) {
					t.Fatal("seed ", seed, ": a member of its division is lacking")
				}
			}
			if n := len(c.has[g.ID]); n > len(want)+1 {
				t.Fatal("seed ", seed, ": ", n, " members, its division has ", len(want))
			}
		}
	}
}

func (c *crowd) say(format string, gateway, member uint64) {
	if c.names != nil {
		c.out = append(c.out, fmt.Sprintf("%6.2f  ", float64(c.now-second)/1e9)+fmt.Sprintf(format, c.names[gateway], c.names[member]))
	}
}

// shows writes who has what.
func (c *crowd) shows(what string) {
	c.out = append(c.out, what)
	for _, m := range c.members {
		var who []string
		for _, g := range c.gateways {
			if c.has[g.ID][m.Key] {
				who = append(who, c.names[g.ID])
			}
		}
		slices.Sort(who)
		c.out = append(c.out, fmt.Sprintf("  %s: %d  %s", c.names[m.Key], len(who), strings.Join(who, " ")))
	}
}

// A gateway that joins and a member that leaves, as a person reads it: -update writes it anew.
func TestTranscript(t *testing.T) {
	c := newCrowd(t, 30, 10)
	c.names = map[uint64]string{}
	for i, g := range c.gateways {
		c.names[g.ID] = fmt.Sprintf("g%02d", i)
	}
	for i, m := range c.members {
		c.names[m.Key] = fmt.Sprintf("m%d", i)
	}
	c.shows("thirty gateways, nine replicas, m0 is the primary")
	g := Gateway{12345, "z1"}
	c.names[g.ID] = "new"
	c.gateways = append(c.gateways, g)
	c.join(g)
	c.out = append(c.out, "another gateway joins")
	c.lists()
	c.run(6 * second)
	c.members = append([]Member{}, c.members[:9]...)
	c.out = append(c.out, "m9 leaves the list")
	c.lists()
	c.run(6 * second)
	c.shows("at the end")
	goldie.New(t, goldie.WithNameSuffix(".txt")).Assert(t, "join-and-leave", []byte(strings.Join(c.out, "\n")+"\n"))
}
