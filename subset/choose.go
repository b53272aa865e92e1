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
	c := &assignment{minOtherZone: config.MinOtherZone, size: size, gateways: gateways, members: members, assigned: make([][]int, len(gateways)), load: make([]int, len(members)),
		maxLoad: make([]int, len(members)), shares: memberShares(size*len(gateways), len(gateways), members)}
	c.multipleZones = slices.ContainsFunc(members, func(m Member) bool { return m.Zone != members[0].Zone })
	if 2*size <= len(members) {
		c.divide()
		return c.assigned
	}
	c.size, c.complement, c.members = len(members)-size, true, slices.Clone(members)
	for i, share := range c.shares {
		c.shares[i] = float64(len(gateways)) - share
		c.members[i].Weight = max(1e-9, c.shares[i])
		c.members[i].Key = ^members[i].Key
	}
	c.divide()
	for g, excluded := range c.assigned {
		c.assigned[g] = slices.DeleteFunc(preference(gateways[g].ID, members), func(m int) bool { return slices.Contains(excluded, m) })
	}
	return c.assigned
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

func (c *assignment) divide() {
	c.collectPairs()
	// Each member's bound is rounded up at a different fleet size; otherwise all of them would change at
	// the same join.
	setMaxLoad := func(factor float64) {
		for i, share := range c.shares {
			c.maxLoad[i] = min(len(c.gateways), int(math.Floor(share*factor+unitHash(c.members[i].Key))))
		}
	}
	preferred := c.sameZone
	if c.complement { // a gateway goes without members of other zones, except for the minimum
		preferred = func(g, m int) bool { return !c.sameZone(g, m) && c.otherZoneCount(g) > c.minOtherZone }
	}
	setMaxLoad(1 - loadTolerance)
	c.assignPass(func(_, m int) bool { return c.shares[m] > nearlyAllRatio*float64(len(c.gateways)) }) // these members have few gateways to choose from
	if c.multipleZones && !c.complement {
		c.assignPass(func(g, m int) bool { return !c.sameZone(g, m) && c.otherZoneCount(g) < c.minOtherZone })
		c.assignPass(func(g, m int) bool {
			return c.sameZone(g, m) && len(c.assigned[g])-c.otherZoneCount(g) < c.size-c.minOtherZone
		})
	} else if c.multipleZones {
		c.assignPass(preferred)
	}
	c.assignPass(func(int, int) bool { return true })
	c.fillMembers()
	setMaxLoad(1 + loadTolerance)
	if c.multipleZones {
		c.assignPass(preferred)
	}
	c.assignPass(func(int, int) bool { return true })
	c.fillGateways()
	c.rebalance()
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
func (c *assignment) collectPairs() {
	weight := 0.0
	for i := range c.members {
		weight += c.members[i].Weight
	}
	maxScore := math.Inf(1)
	if candidates := 6 * c.size; candidates < len(c.members) {
		maxScore = float64(candidates) / weight // expected number of members below it is candidates
	}
	for g := range c.gateways {
		for m := range c.members {
			if s := score(c.gateways[g].ID, &c.members[m]); s < maxScore || c.gateways[g].Zone == c.members[m].Zone && s < 3*maxScore {
				c.pairs = append(c.pairs, pair{s, int32(g), int32(m)})
			}
		}
	}
	slices.SortFunc(c.pairs, func(x, y pair) int {
		return cmp.Or(cmp.Compare(x.score, y.score), cmp.Compare(x.gateway, y.gateway), cmp.Compare(x.member, y.member))
	})
}

func (c *assignment) sameZone(g, m int) bool { return c.gateways[g].Zone == c.members[m].Zone }

// otherZoneCount returns how many of a gateway's members are in other zones.
func (c *assignment) otherZoneCount(g int) (n int) {
	if c.complement {
		for m := range c.members {
			if !c.sameZone(g, m) {
				n++
			}
		}
	}
	for _, m := range c.assigned[g] {
		switch {
		case c.sameZone(g, m):
		case c.complement:
			n--
		default:
			n++
		}
	}
	return n
}

// assignPass assigns all pairs that are allowed and within the bounds.
func (c *assignment) assignPass(allowed func(g, m int) bool) {
	for _, p := range c.pairs {
		if g, m := int(p.gateway), int(p.member); len(c.assigned[g]) < c.size && c.load[m] < c.maxLoad[m] && !slices.Contains(c.assigned[g], m) && allowed(g, m) {
			c.assign(g, m)
		}
	}
}

func (c *assignment) assign(g, m int) {
	c.assigned[g] = append(c.assigned[g], m)
	c.load[m]++
}

// fillMembers gives members with too few gateways some that have room, where the candidate pairs left
// them out.
func (c *assignment) fillMembers() {
	for m := range c.members {
		if c.load[m] >= c.maxLoad[m] {
			continue
		}
		var free []pair
		for g := range c.gateways {
			if len(c.assigned[g]) < c.size && !slices.Contains(c.assigned[g], m) {
				free = append(free, pair{score(c.gateways[g].ID, &c.members[m]), int32(g), int32(m)})
			}
		}
		slices.SortFunc(free, func(x, y pair) int { return cmp.Or(cmp.Compare(x.score, y.score), cmp.Compare(x.gateway, y.gateway)) })
		for _, p := range free[:min(len(free), c.maxLoad[m]-c.load[m])] {
			c.assign(int(p.gateway), m)
		}
	}
}

// fillGateways gives gateways with too few members a member with room, or swaps with another gateway
// that can take one with room instead; failing that it takes the least loaded member.
func (c *assignment) fillGateways() {
	for g := range c.gateways {
		for len(c.assigned[g]) < c.size {
			if !c.assignOrSwap(g) {
				best, lowest := -1, 0.0
				for m := range c.members {
					if slices.Contains(c.assigned[g], m) {
						continue
					}
					if x := float64(c.load[m]+1) / c.shares[m]; best < 0 || x < lowest {
						best, lowest = m, x
					}
				}
				c.assign(g, best)
			}
		}
	}
}

func (c *assignment) assignOrSwap(g int) bool {
	for free := range c.members {
		if c.load[free] >= c.maxLoad[free] {
			continue
		}
		if !slices.Contains(c.assigned[g], free) {
			c.assign(g, free)
			return true
		}
		for other, assigned := range c.assigned {
			if other == g || slices.Contains(assigned, free) {
				continue
			}
			for i, m := range assigned {
				if !slices.Contains(c.assigned[g], m) {
					assigned[i] = free
					c.load[free]++
					c.assigned[g] = append(c.assigned[g], m)
					return true
				}
			}
		}
	}
	return false
}

// rebalance moves gateways from members above their share to members that still have too few.
func (c *assignment) rebalance() {
	for m, share := range c.shares {
		for minLoad := int(math.Floor(share * (1 - loadTolerance))); c.load[m] < minLoad; {
			gateway, index, maxExcess := -1, 0, 0.0
			for g, assigned := range c.assigned {
				if slices.Contains(assigned, m) {
					continue
				}
				for i, other := range assigned {
					if x := float64(c.load[other]) - c.shares[other]; x > maxExcess {
						gateway, index, maxExcess = g, i, x
					}
				}
			}
			if gateway < 0 {
				break
			}
			c.load[c.assigned[gateway][index]]--
			c.assigned[gateway][index] = m
			c.load[m]++
		}
	}
}

// MovedConnections counts the connections that gateways present in both lists have only in the second
// division.
func MovedConnections(gateways []Gateway, members []Member, before [][]int, gatewaysAfter []Gateway, membersAfter []Member, after [][]int) (n int) {
	membersBefore := map[uint64]map[uint64]bool{}
	for i, assigned := range before {
		membersBefore[gateways[i].ID] = map[uint64]bool{}
		for _, m := range assigned {
			membersBefore[gateways[i].ID][members[m].Key] = true
		}
	}
	for i, assigned := range after {
		if previous := membersBefore[gatewaysAfter[i].ID]; previous != nil {
			for _, m := range assigned {
				if !previous[membersAfter[m].Key] {
					n++
				}
			}
		}
	}
	return n
}
