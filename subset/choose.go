package subset

import (
	"cmp"
	"math"
	"slices"
)

// loadTolerance is the fraction by which a member's gateways may deviate from its share, in addition
// to rounding. Without it, one gateway that joins or leaves changes the members of others all along
// the list; docs/fleet.md has the figures.
const loadTolerance = 0.02

// nearlyAllRatio: members whose share exceeds this fraction of all gateways are assigned first.
const nearlyAllRatio = 0.7

// Size returns the number of members of a group per gateway.
func (c *Config) Size(gateways, members int) int {
	if gateways == 0 {
		return members
	}
	return min(members, max(c.MinMembers, (c.Connections*members+gateways-1)/gateways))
}

// score ranks a pair of gateway and member, lower first. It is the same on all gateways: an
// exponential variate whose rate is the member's weight (weighted rendezvous hashing), so that the
// lowest score falls on members in proportion to their weights.
func score(gateway uint64, m *Member) float64 {
	return -math.Log(unitHash(gateway*0x9e3779b97f4a7c15^m.Key)) / m.Weight
}

// unitHash maps a key to a number in (0, 1) with the MurmurHash3 finalizer.
func unitHash(x uint64) float64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return (float64(x>>11) + 0.5) / (1 << 53)
}

// preference returns the indexes of members, ordered by a gateway's scores.
func preference(gateway uint64, members []Member) []int {
	order := make([]int, len(members))
	scores := make([]float64, len(members))
	for i := range members {
		order[i], scores[i] = i, score(gateway, &members[i])
	}
	slices.SortFunc(order, func(x, y int) int { return cmp.Or(cmp.Compare(scores[x], scores[y]), x-y) })
	return order
}

// pair is a gateway and a member that may be assigned to each other.
type pair struct {
	score   float64
	gateway int32
	member  int32
}

// Assign divides the members of one group among gateways. It returns the indexes of the members of
// each gateway, in the order of the list. It goes through all pairs by score, lowest first, and
// assigns a pair while its gateway has too few members and its member is below its maximum load: first
// slightly below the member's share, with pairs of the same zone first, then slightly above it. A
// gateway that joins or leaves thus displaces only a few pairs with higher scores than its own.
//
// Where a gateway has most of the members, the same method chooses the ones it does not have.
func Assign(config Config, gateways []Gateway, members []Member) [][]int {
	if len(members) == 0 {
		return nil
	}
	order := make([]int, len(gateways))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(x, y int) int { return cmp.Compare(gateways[x].ID, gateways[y].ID) })
	sorted := make([]Gateway, len(gateways))
	for i, k := range order {
		sorted[i] = gateways[k]
	}
	assigned := make([][]int, len(gateways))
	for i, indexes := range assignSorted(config, sorted, members) {
		assigned[order[i]] = indexes
	}
	return assigned
}

func assignSorted(config Config, gateways []Gateway, members []Member) [][]int {
	size := config.Size(len(gateways), len(members))
	if size == len(members) {
		assigned := make([][]int, len(gateways))
		for i := range assigned {
			assigned[i] = preference(gateways[i].ID, members)
		}
		return assigned
	}
	a := &assignment{minOtherZone: config.MinOtherZone, size: size, gateways: gateways, members: members, assigned: make([][]int, len(gateways)), load: make([]int, len(members)),
		maxLoad: make([]int, len(members)), shares: memberShares(size*len(gateways), len(gateways), members)}
	a.multipleZones = slices.ContainsFunc(members, func(m Member) bool { return m.Zone != members[0].Zone })
	if 2*size <= len(members) {
		a.divide()
		return a.assigned
	}
	a.size, a.complement, a.members = len(members)-size, true, slices.Clone(members)
	for i, share := range a.shares {
		a.shares[i] = float64(len(gateways)) - share
		a.members[i].Weight = max(1e-9, a.shares[i])
		a.members[i].Key = ^members[i].Key
	}
	a.divide()
	for g, excluded := range a.assigned {
		a.assigned[g] = slices.DeleteFunc(preference(gateways[g].ID, members), func(m int) bool { return slices.Contains(excluded, m) })
	}
	return a.assigned
}

// assignment is the working state of one division.
type assignment struct {
	minOtherZone  int // minimum of a gateway's members in other zones
	size          int
	gateways      []Gateway
	members       []Member
	shares        []float64 // number of gateways, by member
	pairs         []pair    // by score
	assigned      [][]int
	load          []int
	maxLoad       []int
	multipleZones bool // members are in several zones
	complement    bool // the assigned members are those that a gateway does not have
}

func (a *assignment) divide() {
	a.collectPairs()
	// Each member's bound is rounded up at a different fleet size; otherwise all of them would change at
	// the same join.
	setMaxLoad := func(factor float64) {
		for i, share := range a.shares {
			a.maxLoad[i] = min(len(a.gateways), int(math.Floor(share*factor+unitHash(a.members[i].Key))))
		}
	}
	preferred := a.sameZone
	if a.complement { // a gateway goes without members of other zones, except for the minimum
		preferred = func(g, m int) bool { return !a.sameZone(g, m) && a.otherZoneCount(g) > a.minOtherZone }
	}
	setMaxLoad(1 - loadTolerance)
	a.assignPass(func(_, m int) bool { return a.shares[m] > nearlyAllRatio*float64(len(a.gateways)) }) // these members have few gateways to choose from
	if a.multipleZones && !a.complement {
		a.assignPass(func(g, m int) bool { return !a.sameZone(g, m) && a.otherZoneCount(g) < a.minOtherZone })
		a.assignPass(func(g, m int) bool {
			return a.sameZone(g, m) && len(a.assigned[g])-a.otherZoneCount(g) < a.size-a.minOtherZone
		})
	} else if a.multipleZones {
		a.assignPass(preferred)
	}
	a.assignPass(func(int, int) bool { return true })
	a.fillMembers()
	setMaxLoad(1 + loadTolerance)
	if a.multipleZones {
		a.assignPass(preferred)
	}
	a.assignPass(func(int, int) bool { return true })
	a.fillGateways()
	a.rebalance()
}

// memberShares returns how many gateways each member should have, by weight, at most all gateways.
func memberShares(connections, gateways int, members []Member) []float64 {
	result := make([]float64, len(members))
	full := make([]bool, len(members))
	for remaining := float64(connections); ; { // the excess of a member over all gateways goes to the others
		weight := 0.0
		for i := range members {
			if !full[i] {
				weight += members[i].Weight
			}
		}
		again := false
		for i := range members {
			if full[i] {
				continue
			}
			if result[i] = remaining * members[i].Weight / weight; result[i] > float64(gateways) {
				result[i], full[i], again = float64(gateways), true, true
			}
		}
		if !again {
			return result
		}
		remaining = float64(connections)
		for i := range members {
			if full[i] {
				remaining -= float64(gateways)
			}
		}
	}
}

// collectPairs collects the candidate pairs: for each gateway several times as many as it needs, with
// the lowest scores.
func (a *assignment) collectPairs() {
	weight := 0.0
	for i := range a.members {
		weight += a.members[i].Weight
	}
	maxScore := math.Inf(1)
	if candidates := 6 * a.size; candidates < len(a.members) {
		maxScore = float64(candidates) / weight // expected number of members below it is candidates
	}
	for g := range a.gateways {
		for m := range a.members {
			if s := score(a.gateways[g].ID, &a.members[m]); s < maxScore || a.gateways[g].Zone == a.members[m].Zone && s < 3*maxScore {
				a.pairs = append(a.pairs, pair{s, int32(g), int32(m)})
			}
		}
	}
	slices.SortFunc(a.pairs, func(x, y pair) int {
		return cmp.Or(cmp.Compare(x.score, y.score), cmp.Compare(x.gateway, y.gateway), cmp.Compare(x.member, y.member))
	})
}

func (a *assignment) sameZone(g, m int) bool { return a.gateways[g].Zone == a.members[m].Zone }

// otherZoneCount returns how many of a gateway's members are in other zones.
func (a *assignment) otherZoneCount(g int) (n int) {
	if a.complement {
		for m := range a.members {
			if !a.sameZone(g, m) {
				n++
			}
		}
	}
	for _, m := range a.assigned[g] {
		switch {
		case a.sameZone(g, m):
		case a.complement:
			n--
		default:
			n++
		}
	}
	return n
}

// assignPass assigns all pairs that are allowed and within the bounds.
func (a *assignment) assignPass(allowed func(g, m int) bool) {
	for _, p := range a.pairs {
		if g, m := int(p.gateway), int(p.member); len(a.assigned[g]) < a.size && a.load[m] < a.maxLoad[m] && !slices.Contains(a.assigned[g], m) && allowed(g, m) {
			a.assign(g, m)
		}
	}
}

func (a *assignment) assign(g, m int) {
	a.assigned[g] = append(a.assigned[g], m)
	a.load[m]++
}

// fillMembers gives members with too few gateways some that have room, where the candidate pairs left
// them out.
func (a *assignment) fillMembers() {
	for m := range a.members {
		if a.load[m] >= a.maxLoad[m] {
			continue
		}
		var free []pair
		for g := range a.gateways {
			if len(a.assigned[g]) < a.size && !slices.Contains(a.assigned[g], m) {
				free = append(free, pair{score(a.gateways[g].ID, &a.members[m]), int32(g), int32(m)})
			}
		}
		slices.SortFunc(free, func(x, y pair) int { return cmp.Or(cmp.Compare(x.score, y.score), cmp.Compare(x.gateway, y.gateway)) })
		for _, p := range free[:min(len(free), a.maxLoad[m]-a.load[m])] {
			a.assign(int(p.gateway), m)
		}
	}
}

// fillGateways gives gateways with too few members a member with room, or swaps with another gateway
// that can take one with room instead; failing that it takes the least loaded member.
func (a *assignment) fillGateways() {
	for g := range a.gateways {
		for len(a.assigned[g]) < a.size {
			if !a.assignOrSwap(g) {
				best, lowest := -1, 0.0
				for m := range a.members {
					if slices.Contains(a.assigned[g], m) {
						continue
					}
					if x := float64(a.load[m]+1) / a.shares[m]; best < 0 || x < lowest {
						best, lowest = m, x
					}
				}
				a.assign(g, best)
			}
		}
	}
}

func (a *assignment) assignOrSwap(g int) bool {
	for free := range a.members {
		if a.load[free] >= a.maxLoad[free] {
			continue
		}
		if !slices.Contains(a.assigned[g], free) {
			a.assign(g, free)
			return true
		}
		for other, assigned := range a.assigned {
			if other == g || slices.Contains(assigned, free) {
				continue
			}
			for i, m := range assigned {
				if !slices.Contains(a.assigned[g], m) {
					assigned[i] = free
					a.load[free]++
					a.assigned[g] = append(a.assigned[g], m)
					return true
				}
			}
		}
	}
	return false
}

// rebalance moves gateways from members above their share to members that still have too few.
func (a *assignment) rebalance() {
	for m, share := range a.shares {
		for minLoad := int(math.Floor(share * (1 - loadTolerance))); a.load[m] < minLoad; {
			gateway, index, maxExcess := -1, 0, 0.0
			for g, assigned := range a.assigned {
				if slices.Contains(assigned, m) {
					continue
				}
				for i, other := range assigned {
					if x := float64(a.load[other]) - a.shares[other]; x > maxExcess {
						gateway, index, maxExcess = g, i, x
					}
				}
			}
			if gateway < 0 {
				break
			}
			a.load[a.assigned[gateway][index]]--
			a.assigned[gateway][index] = m
			a.load[m]++
		}
	}
}

// MovedConnections counts the connections that gateways present in both lists have only in the second
// division.
func MovedConnections(gatewaysBefore []Gateway, membersBefore []Member, before [][]int, gatewaysAfter []Gateway, membersAfter []Member, after [][]int) (n int) {
	connected := map[uint64]map[uint64]bool{}
	for i, assigned := range before {
		connected[gatewaysBefore[i].ID] = map[uint64]bool{}
		for _, m := range assigned {
			connected[gatewaysBefore[i].ID][membersBefore[m].Key] = true
		}
	}
	for i, assigned := range after {
		if previous := connected[gatewaysAfter[i].ID]; previous != nil {
			for _, m := range assigned {
				if !previous[membersAfter[m].Key] {
					n++
				}
			}
		}
	}
	return n
}
