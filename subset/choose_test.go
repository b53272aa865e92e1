package subset

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"testing"

	"pgregory.net/rapid"
)

// way is one to divide gateways over members; the others are what was weighed.
type way struct {
	name   string
	choose func(t Config, gateways []Gateway, members []Member) [][]int
}

// rounds is deterministic subsetting (Site Reliability Engineering, chapter 20): members are shuffled anew for each round
// of gateways, and cut into subsets.
func rounds(t Config, gateways []Gateway, members []Member) [][]int {
	size := t.Size(len(gateways), len(members))
	subsets := len(members) / size
	out := make([][]int, len(gateways))
	for i := range gateways {
		rng := rand.New(rand.NewPCG(uint64(i/subsets), 7))
		order := rng.Perm(len(members))
		out[i] = order[i%subsets*size:][:size]
	}
	return out
}

// ring is a deterministic aperture: gateways stand on a ring in the order of their IDs, and each has the arc of members
// behind its place.
func ring(t Config, gateways []Gateway, members []Member) [][]int {
	size := t.Size(len(gateways), len(members))
	order := make([]int, len(gateways))
	for i := range order {
		order[i] = i
	}
	sort.Slice(order, func(x, y int) bool { return gateways[order[x]].ID < gateways[order[y]].ID })
	out := make([][]int, len(gateways))
	for place, g := range order {
		first := place * len(members) / len(gateways)
		for i := range size {
			out[g] = append(out[g], (first+i)%len(members))
		}
	}
	return out
}

// hashed is rendezvous hashing without bounds.
func hashed(t Config, gateways []Gateway, members []Member) [][]int {
	out := make([][]int, len(gateways))
	for i := range gateways {
		out[i] = preference(gateways[i].ID, members)[:t.Size(len(gateways), len(members))]
	}
	return out
}

var ways = []way{{"taken", Assign}, {"rounds", rounds}, {"ring", ring}, {"hashed", hashed}}

func fleetOf(n, m, zones int, rng *rand.Rand) (gateways []Gateway, members []Member) {
	for range n {
		gateways = append(gateways, Gateway{rng.Uint64(), fmt.Sprint("z", rng.IntN(zones))})
	}
	for range m {
		members = append(members, Member{Key: rng.Uint64(), Zone: fmt.Sprint("z", rng.IntN(zones)), Weight: 1})
	}
	return gateways, members
}

// loads are the members' loads, 1 being even, where each gateway has the same work and shares it out by its members' weights.
func loads(chosen [][]int, members []Member) (all []float64, connections []int) {
	all, connections = make([]float64, len(members)), make([]int, len(members))
	weight := 0.0
	for i := range members {
		weight += members[i].Weight
	}
	for _, has := range chosen {
		sum := 0.0
		for _, m := range has {
			sum += members[m].Weight
		}
		for _, m := range has {
			all[m] += members[m].Weight / sum
			connections[m]++
		}
	}
	for i := range all {
		all[i] *= weight / members[i].Weight / float64(len(chosen))
	}
	return all, connections
}

func moved(before, after [][]int, gatewaysBefore, gatewaysAfter []Gateway, membersBefore, membersAfter []Member) int {
	return MovedConnections(gatewaysBefore, membersBefore, before, gatewaysAfter, membersAfter, after)
}

// jain is Jain's index of fairness.
func jain(x []float64) float64 {
	sum, squares := 0.0, 0.0
	for _, v := range x {
		sum, squares = sum+v, squares+v*v
	}
	return sum * sum / squares / float64(len(x))
}

// Evenness and moves of what was weighed, by size. Run by hand: -bench Ways -benchtime 1x.
func BenchmarkWays(b *testing.B) {
	for _, n := range []int{10, 100, 300, 1000, 2000} {
		for _, m := range []int{12, 120, 1000} {
			for _, w := range ways {
				b.Run(fmt.Sprintf("%d gateways, %d members, %s", n, m, w.name), func(b *testing.B) {
					for range b.N {
						rng := rand.New(rand.NewPCG(1, 2))
						gateways, members := fleetOf(n, m, 1, rng)
						t := DefaultConfig()
						before := w.choose(t, gateways, members)
						load, connections := loads(before, members)
						b.ReportMetric(slices.Max(load), "most-load")
						b.ReportMetric(slices.Min(load), "least-load")
						b.ReportMetric(jain(load), "jain")
						b.ReportMetric(float64(slices.Max(connections)), "connections")
						size := t.Size(n, m)
						const times = 10
						join, leave, gone := 0, 0, 0
						for range times {
							more := append(slices.Clone(gateways), Gateway{rng.Uint64(), "z0"})
							join += moved(before, w.choose(t, more, members), gateways, more, members, members)
							less := slices.Delete(slices.Clone(gateways), 3, 4)
							leave += moved(before, w.choose(t, less, members), gateways, less, members, members)
							fewer := slices.Delete(slices.Clone(members), 3, 4)
							gone += moved(before, w.choose(t, gateways, fewer), gateways, gateways, members, fewer)
						}
						b.ReportMetric(float64(join)/times/float64(size), "moved/join/size")
						b.ReportMetric(float64(leave)/times/float64(size), "moved/leave/size")
						b.ReportMetric(float64(gone)/times/max(1, float64(connections[3])), "moved/gone/its")
					}
				})
			}
		}
	}
}

// Load on members is within 5% of even, beside rounding, whatever the sizes, weights and zones; each gateway has its number
// of members, no member twice, and some in other zones; the order of lists changes nothing.
func TestEven(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		n, m, zones := rapid.IntRange(1, 300).Draw(r, "gateways"), rapid.IntRange(1, 120).Draw(r, "members"), rapid.IntRange(1, 4).Draw(r, "zones")
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(r, "seed"), 1))
		gateways, members := fleetOf(n, m, zones, rng)
		if rapid.Bool().Draw(r, "weights") {
			for i := range members {
				members[i].Weight = 1 + rng.Float64()
			}
		}
		terms := DefaultConfig()
		chosen := Assign(terms, gateways, members)
		size := terms.Size(n, m)
		share := memberShares(size*n, n, members)
		_, connections := loads(chosen, members)
		for i, c := range connections {
			if float64(c) > math.Ceil(share[i]*1.05) || float64(c) < math.Floor(share[i]*0.95) {
				r.Fatalf("%d of %d gateways have member %d, %.1f are its share (%d each)", c, n, i, share[i], size)
			}
		}
		for i, has := range chosen {
			if len(has) != size {
				r.Fatalf("gateway %d has %d of %d", i, len(has), size)
			}
			x := slices.Clone(has)
			slices.Sort(x)
			if len(slices.Compact(x)) != size {
				r.Fatalf("gateway %d has one twice: %v", i, has)
			}
		}
		order := rng.Perm(n)
		other := make([]Gateway, n)
		for i, k := range order {
			other[i] = gateways[k]
		}
		again := Assign(terms, other, members)
		for i, k := range order {
			x, y := slices.Clone(again[i]), slices.Clone(chosen[k])
			slices.Sort(x)
			slices.Sort(y)
			if !slices.Equal(x, y) {
				r.Fatalf("the order of the list matters: %v, %v", x, y)
			}
		}
	})
}

// Most of a gateway's members are of its zone where there are enough, and some are not.
func TestZones(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	gateways, members := fleetOf(300, 120, 3, rng)
	for i := range gateways {
		gateways[i].Zone = fmt.Sprint("z", i%3)
	}
	for i := range members {
		members[i].Zone = fmt.Sprint("z", i%3)
	}
	terms := DefaultConfig()
	near, all, alone := 0, 0, 0
	for g, has := range Assign(terms, gateways, members) {
		away := 0
		for _, m := range has {
			if all++; members[m].Zone == gateways[g].Zone {
				near++
			} else {
				away++
			}
		}
		if away < terms.MinOtherZone {
			alone++
		}
	}
	t.Logf("%.3f of connections are within a zone; %d of 300 gateways have none beyond theirs", float64(near)/float64(all), alone)
	if float64(near)/float64(all) < 0.8 || alone > 0 {
		t.Fatal(near, all, alone)
	}
}

// Few connections move when a gateway comes or goes, or a member: a few times the least possible, whichever it is.
func TestFewMove(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 6))
	for _, size := range [][2]int{{100, 12}, {300, 120}, {1000, 120}} {
		gateways, members := fleetOf(size[0], size[1], 3, rng)
		terms := DefaultConfig()
		before := Assign(terms, gateways, members)
		_, connections := loads(before, members)
		joins, leaves, gone, least, leastLeave, its := 0, 0, 0, 0, 0, 0
		for i := range 12 {
			more := append(slices.Clone(gateways), Gateway{rng.Uint64(), "z1"})
			joins += moved(before, Assign(terms, more, members), gateways, more, members, members)
			less := slices.Delete(slices.Clone(gateways), i, i+1)
			if d := terms.Size(len(less), size[1]) - terms.Size(size[0], size[1]); d > 0 {
				leastLeave += d * len(less) // all have so many more now
			}
			leaves += moved(before, Assign(terms, less, members), gateways, less, members, members)
			fewer := slices.Delete(slices.Clone(members), i, i+1)
			gone += moved(before, Assign(terms, gateways, fewer), gateways, gateways, members, fewer)
			least += terms.Size(size[0], size[1])
			leastLeave += terms.Size(size[0], size[1])
			its += connections[i]
		}
		t.Logf("%v: moved a join %.1f, a leave %.1f of the least; a member gone %.1f of its connections", size, float64(joins)/float64(least), float64(leaves)/float64(leastLeave), float64(gone)/float64(its))
		if joins > 5*least || leaves > 5*leastLeave || gone > 5*its {
			t.Fatal(size, joins, leaves, least, gone, its)
		}
	}
}
