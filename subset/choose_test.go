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

// algorithm assigns members to gateways. All but Assign are alternatives for comparison.
type algorithm struct {
	name   string
	assign func(t Config, gateways []Gateway, members []Member) [][]int
}

// rounds is deterministic subsetting (Site Reliability Engineering, chapter 20): members are shuffled
// for each round of gateways and cut into subsets.
func rounds(config Config, gateways []Gateway, members []Member) [][]int {
	size := config.Size(len(gateways), len(members))
	subsets := len(members) / size
	assigned := make([][]int, len(gateways))
	for i := range gateways {
		rng := rand.New(rand.NewPCG(uint64(i/subsets), 7))
		order := rng.Perm(len(members))
		assigned[i] = order[i%subsets*size:][:size]
	}
	return assigned
}

// ring is a deterministic aperture: gateways are placed on a ring in the order of their IDs, and each
// has the arc of members that follows its position.
func ring(config Config, gateways []Gateway, members []Member) [][]int {
	size := config.Size(len(gateways), len(members))
	order := make([]int, len(gateways))
	for i := range order {
		order[i] = i
	}
	sort.Slice(order, func(x, y int) bool { return gateways[order[x]].ID < gateways[order[y]].ID })
	assigned := make([][]int, len(gateways))
	for place, g := range order {
		first := place * len(members) / len(gateways)
		for i := range size {
			assigned[g] = append(assigned[g], (first+i)%len(members))
		}
	}
	return assigned
}

// rendezvous is rendezvous hashing without load bounds.
func rendezvous(config Config, gateways []Gateway, members []Member) [][]int {
	assigned := make([][]int, len(gateways))
	for i := range gateways {
		assigned[i] = preference(gateways[i].ID, members)[:config.Size(len(gateways), len(members))]
	}
	return assigned
}

var algorithms = []algorithm{{"assign", Assign}, {"rounds", rounds}, {"ring", ring}, {"rendezvous", rendezvous}}

func randomFleet(n, m, zones int, rng *rand.Rand) (gateways []Gateway, members []Member) {
	for range n {
		gateways = append(gateways, Gateway{rng.Uint64(), fmt.Sprint("z", rng.IntN(zones))})
	}
	for range m {
		members = append(members, Member{Key: rng.Uint64(), Zone: fmt.Sprint("z", rng.IntN(zones)), Weight: 1})
	}
	return gateways, members
}

// loads returns the relative load of each member, 1 being even, and its number of connections. Each
// gateway has the same load and spreads it over its members by weight.
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

// jain returns Jain's fairness index.
func jain(x []float64) float64 {
	sum, squares := 0.0, 0.0
	for _, v := range x {
		sum, squares = sum+v, squares+v*v
	}
	return sum * sum / squares / float64(len(x))
}

// Load balance and moved connections of the algorithms, by size. Run with -bench Algorithms -benchtime
// 1x.
func BenchmarkAlgorithms(b *testing.B) {
	for _, n := range []int{10, 100, 300, 1000, 2000} {
		for _, m := range []int{12, 120, 1000} {
			for _, a := range algorithms {
				b.Run(fmt.Sprintf("%d gateways, %d members, %s", n, m, a.name), func(b *testing.B) {
					for range b.N {
						rng := rand.New(rand.NewPCG(1, 2))
						gateways, members := randomFleet(n, m, 1, rng)
						config := DefaultConfig()
						before := a.assign(config, gateways, members)
						load, connections := loads(before, members)
						b.ReportMetric(slices.Max(load), "max-load")
						b.ReportMetric(slices.Min(load), "min-load")
						b.ReportMetric(jain(load), "jain")
						b.ReportMetric(float64(slices.Max(connections)), "connections")
						size := config.Size(n, m)
						const times = 10
						join, leave, gone := 0, 0, 0
						for range times {
							more := append(slices.Clone(gateways), Gateway{rng.Uint64(), "z0"})
							join += moved(before, a.assign(config, more, members), gateways, more, members, members)
							less := slices.Delete(slices.Clone(gateways), 3, 4)
							leave += moved(before, a.assign(config, less, members), gateways, less, members, members)
							fewer := slices.Delete(slices.Clone(members), 3, 4)
							gone += moved(before, a.assign(config, gateways, fewer), gateways, gateways, members, fewer)
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

// For all sizes, weights and zones, the load on members is within 5% of even, apart from rounding. Each
// gateway has the right number of distinct members. The order of the list changes nothing.
func TestLoadIsEven(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		n, m, zones := rapid.IntRange(1, 300).Draw(r, "gateways"), rapid.IntRange(1, 120).Draw(r, "members"), rapid.IntRange(1, 4).Draw(r, "zones")
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(r, "seed"), 1))
		gateways, members := randomFleet(n, m, zones, rng)
		if rapid.Bool().Draw(r, "weights") {
			for i := range members {
				members[i].Weight = 1 + rng.Float64()
			}
		}
		config := DefaultConfig()
		chosen := Assign(config, gateways, members)
		size := config.Size(n, m)
		share := memberShares(size*n, n, members)
		_, connections := loads(chosen, members)
		for i, c := range connections {
			if float64(c) > math.Ceil(share[i]*1.05) || float64(c) < math.Floor(share[i]*0.95) {
				r.Fatalf("%d of %d gateways have member %d, its share is %.1f (%d members each)", c, n, i, share[i], size)
			}
		}
		for i, has := range chosen {
			if len(has) != size {
				r.Fatalf("gateway %d has %d of %d members", i, len(has), size)
			}
			x := slices.Clone(has)
			slices.Sort(x)
			if len(slices.Compact(x)) != size {
				r.Fatalf("gateway %d has a member twice: %v", i, has)
			}
		}
		order := rng.Perm(n)
		other := make([]Gateway, n)
		for i, k := range order {
			other[i] = gateways[k]
		}
		again := Assign(config, other, members)
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

// Most of a gateway's members are in its zone where there are enough, and some are in others.
func TestZoneAffinity(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	gateways, members := randomFleet(300, 120, 3, rng)
	for i := range gateways {
		gateways[i].Zone = fmt.Sprint("z", i%3)
	}
	for i := range members {
		members[i].Zone = fmt.Sprint("z", i%3)
	}
	config := DefaultConfig()
	sameZone, all, withoutOtherZone := 0, 0, 0
	for g, has := range Assign(config, gateways, members) {
		otherZone := 0
		for _, m := range has {
			if all++; members[m].Zone == gateways[g].Zone {
				sameZone++
			} else {
				otherZone++
			}
		}
		if otherZone < config.MinOtherZone {
			withoutOtherZone++
		}
	}
	t.Logf("%.3f of connections are within a zone; %d of 300 gateways have too few members in other zones", float64(sameZone)/float64(all), withoutOtherZone)
	if float64(sameZone)/float64(all) < 0.8 || withoutOtherZone > 0 {
		t.Fatal(sameZone, all, withoutOtherZone)
	}
}

// Few connections move when a gateway joins or leaves, or a member leaves: at most five times the
// minimum.
func TestFewConnectionsMove(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 6))
	for _, size := range [][2]int{{100, 12}, {300, 120}, {1000, 120}} {
		gateways, members := randomFleet(size[0], size[1], 3, rng)
		config := DefaultConfig()
		before := Assign(config, gateways, members)
		_, connections := loads(before, members)
		joins, leaves, gone, minJoins, minLeaves, connectionsOfGone := 0, 0, 0, 0, 0, 0
		for i := range 12 {
			more := append(slices.Clone(gateways), Gateway{rng.Uint64(), "z1"})
			joins += moved(before, Assign(config, more, members), gateways, more, members, members)
			less := slices.Delete(slices.Clone(gateways), i, i+1)
			if d := config.Size(len(less), size[1]) - config.Size(size[0], size[1]); d > 0 {
				minLeaves += d * len(less) // each gateway has this many more members now
			}
			leaves += moved(before, Assign(config, less, members), gateways, less, members, members)
			fewer := slices.Delete(slices.Clone(members), i, i+1)
			gone += moved(before, Assign(config, gateways, fewer), gateways, gateways, members, fewer)
			minJoins += config.Size(size[0], size[1])
			minLeaves += config.Size(size[0], size[1])
			connectionsOfGone += connections[i]
		}
		t.Logf("%v: moved per join %.1f, per leave %.1f of the minimum; per member that left %.1f of its connections", size, float64(joins)/float64(minJoins), float64(leaves)/float64(minLeaves), float64(gone)/float64(connectionsOfGone))
		if joins > 5*minJoins || leaves > 5*minLeaves || gone > 5*connectionsOfGone {
			t.Fatal(size, joins, leaves, minJoins, gone, connectionsOfGone)
		}
	}
}
