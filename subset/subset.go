// Package subset decides which members of a group each gateway connects to, so that the connections of
// a member are bounded however many gateways there are, load on members is even, and few connections
// move when a gateway or a member joins or leaves. The package does no I/O and reads no clock; its
// random numbers come from a seed.
//
// choose.go assigns members to all gateways, with the same result on each of them. subset.go follows
// that assignment over time on one gateway: it spreads changes over a window and adds members while
// some are suspect or stale.
//
// Usage: call New once. In each round call Clock with the time, then any of SetDivision, SetSuspect
// and Observe, which only update the known state, then Next until it reports that no decision is left.
// docs/fleet.md has the rationale.
package subset

import (
	"cmp"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
)

// Config holds the settings, the same on every gateway of a fleet.
type Config struct {
	MinMembers int `json:"Least"` // members of a group per gateway, without the primary
	// Gateways per member, at least, where the fleet is large enough: with fewer, one gateway more or less
	// makes the load uneven.
	Connections  int
	MinOtherZone int `json:"Away"` // minimum of a gateway's members in other zones than its own
}

// DefaultConfig returns the default settings. With 4 members, a round over a group of five tolerates two
// suspect members; with 20 gateways per member, one more or less changes its load by 5%.
func DefaultConfig() Config { return Config{MinMembers: 4, Connections: 20, MinOtherZone: 1} }

// Validate returns an error that names the first setting out of range.
func (c *Config) Validate() error {
	switch {
	case c.MinMembers < 2 || c.MinMembers > 1000:
		return errors.New("subset: from 2 to 1000 members of a group")
	case c.Connections < 1 || c.Connections > 10000:
		return errors.New("subset: connections must be from 1 to 10000")
	case c.MinOtherZone < 0 || c.MinOtherZone >= c.MinMembers:
		return errors.New("subset: away must not be negative and must be below the size of a subset")
	}
	return nil
}

// Gateway is a gateway in the list that the fleet agreed on.
type Gateway struct {
	ID   uint64
	Zone string
}

// Member is a database server. Key identifies it within its group and is the same on all gateways.
type Member struct {
	Key     uint64
	Group   int
	Zone    string
	Weight  float64 // capacity relative to other members of its group, above 0
	Primary bool    // every gateway connects to it in addition to its subset
}

// Durations are in nanoseconds.
const (
	// Changes of a subset.
	moveWindow  = int64(2e9)  // changes that are not urgent come at random times within it, as many gateways make them at once
	narrowDelay = int64(10e9) // a widened subset narrows after this long without need

	// Widening.
	widenInterval   = int64(200e6) // time between two widenings for one need: the first may suffice
	maxGrowthFactor = 2            // a subset grows to at most this many times its size, or to the whole group if the primary is unknown
	minHealthyRatio = 0.75         // a subset widens if a lower fraction of its members is healthy
	maxStaleRatio   = 0.5          // a subset widens if a higher fraction of its replicas is not proven fresh
	primaryTimeout  = int64(300e6) // a primary may be unknown for this long: elections and first responses take some tenths of a second
)

// DecisionKind says what the host has to do.
type DecisionKind uint8

// Kinds of decisions.
const (
	Add  DecisionKind = iota // start to use the member Key
	Drop                     // stop using the member Key: it gets no new work
	Wake                     // run another round After this many nanoseconds
)

// Decision is one action for the host.
type Decision struct {
	Kind  DecisionKind
	Key   uint64
	After int64
}

// Subset is the state of one gateway.
type Subset struct {
	config  Config
	self    Gateway
	rng     *rand.Rand
	now     int64
	groups  map[int]*group
	groupOf map[uint64]int // group of each member
	pending []Decision
	wakeAt  int64
}

type group struct {
	members       []Member // sorted by key
	target        []uint64 // assigned by the division
	preference    []uint64 // all members in this gateway's order of preference
	held          map[uint64]*heldMember
	suspect       map[uint64]bool
	need          Need
	widened       int   // number of members beyond the target
	nextWidenAt   int64 // earliest time of the next widening
	lastNeededAt  int64 // when extra members were last needed
	primaryLostAt int64 // since when the primary is unknown, 0 if it is known
}

// heldMember is a member that this gateway uses, or is about to add or drop.
type heldMember struct {
	added  bool
	addAt  int64 // when to add it
	dropAt int64 // when to drop it, 0 for never
}

// Need says why a subset needs more members.
type Need uint8

// Reasons to widen a subset.
const (
	NeedNothing Need = iota
	NeedFresh        // replicas fresh enough for reads of sessions
	NeedPrimary      // the primary is unknown, and any member may be it
)

// New returns a Subset without members.
func New(config Config, self Gateway, seed uint64) (*Subset, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	return &Subset{config: config, self: self, rng: rand.New(rand.NewPCG(seed, self.ID)), groups: map[int]*group{}, groupOf: map[uint64]int{}}, nil
}

// Clock begins a round. now is in nanoseconds of a monotonic clock.
func (s *Subset) Clock(now int64) { s.now = now }

// GroupDivision is the division of one group from the view of one gateway: its own members, its order
// of preference among all members, and the gateways of each member.
type GroupDivision struct {
	Group      int
	Members    []Member
	Own        []uint64
	Preference []uint64
	Holders    [][]uint64 // gateways of each member, by index in Members
}

// Division is the division of all groups. It is the same on all gateways.
type Division struct {
	config   Config
	gateways []Gateway
	groups   []GroupDivision // without Own and Preference
}

// Divide assigns the members of each group to gateways. It takes some tenths of a second in a fleet of
// thousands and reads only its arguments, so a host may run it outside its event loop.
func Divide(config Config, gateways []Gateway, members []Member) *Division {
	groups := map[int][]Member{}
	for _, m := range members {
		groups[m.Group] = append(groups[m.Group], m)
	}
	division := &Division{config: config, gateways: gateways}
	for _, groupNumber := range slices.Sorted(maps.Keys(groups)) {
		d := GroupDivision{Group: groupNumber, Members: groups[groupNumber], Holders: make([][]uint64, len(groups[groupNumber]))}
		slices.SortFunc(d.Members, func(x, y Member) int { return cmp.Compare(x.Key, y.Key) })
		// Every gateway has the primary. The replicas are divided on their own, so that reads are even on
		// them. When the primary moves, two members change roles.
		var divided []Member
		var indexes []int
		for i, m := range d.Members {
			if !m.Primary {
				divided, indexes = append(divided, m), append(indexes, i)
				continue
			}
			for _, g := range gateways {
				d.Holders[i] = append(d.Holders[i], g.ID)
			}
		}
		for g, assigned := range Assign(config, gateways, divided) {
			for _, k := range assigned {
				d.Holders[indexes[k]] = append(d.Holders[indexes[k]], gateways[g].ID)
			}
		}
		division.groups = append(division.groups, d)
	}
	return division
}

// For returns the division from the view of one gateway. A gateway that is not in the list yet gets
// the members it prefers most.
func (d *Division) For(self uint64) (groups []GroupDivision) {
	listed := slices.ContainsFunc(d.gateways, func(g Gateway) bool { return g.ID == self })
	for _, x := range d.groups {
		x.Own, x.Preference = nil, nil
		for _, i := range preference(self, x.Members) {
			m := &x.Members[i]
			if x.Preference = append(x.Preference, m.Key); !m.Primary && (listed && slices.Contains(x.Holders[i], self) || !listed && len(x.Own) < d.config.MinMembers) {
				x.Own = append(x.Own, m.Key)
			}
		}
		groups = append(groups, x)
	}
	return groups
}

// SetDivision takes a new division, after a change of gateways or members. A member that is no longer
// assigned is dropped only after its replacements were added, and each change comes at a random time
// within moveWindow.
func (s *Subset) SetDivision(groups []GroupDivision) {
	clear(s.groupOf)
	seen := map[int]bool{}
	for _, d := range groups {
		seen[d.Group] = true
		g := s.groups[d.Group]
		if g == nil {
			g = &group{held: map[uint64]*heldMember{}, suspect: map[uint64]bool{}, lastNeededAt: s.now}
			s.groups[d.Group] = g
		}
		g.members, g.target, g.preference = d.Members, d.Own, d.Preference
		for _, m := range d.Members {
			s.groupOf[m.Key] = d.Group
		}
		for key := range g.held {
			if s.groupOf[key] != d.Group || !slices.ContainsFunc(d.Members, func(m Member) bool { return m.Key == key }) {
				s.forget(g, key)
			}
		}
		maps.DeleteFunc(g.suspect, func(key uint64, _ bool) bool { return !slices.Contains(d.Preference, key) })
		s.schedule(g)
	}
	for groupNumber, g := range s.groups {
		if !seen[groupNumber] {
			for key := range g.held {
				s.forget(g, key)
			}
			delete(s.groups, groupNumber)
		}
	}
}

// forget drops a member that left its group at once.
func (s *Subset) forget(g *group, key uint64) {
	if g.held[key].added {
		s.pending = append(s.pending, Decision{Kind: Drop, Key: key})
	}
	delete(g.held, key)
}

// desired returns the members that the subset should have: the target, the primary, and the extra ones
// by preference.
func (g *group) desired() []uint64 {
	desired := slices.Clone(g.target)
	for _, m := range g.members {
		if m.Primary && !slices.Contains(desired, m.Key) {
			desired = append(desired, m.Key)
		}
	}
	extra := g.widened
	for _, key := range g.preference {
		if extra > 0 && !slices.Contains(desired, key) && !g.suspect[key] {
			desired = append(desired, key)
			extra--
		}
	}
	return desired
}

// schedule sets which members are added and dropped, and when.
func (s *Subset) schedule(g *group) {
	desired := g.desired()
	healthy := 0
	for key, h := range g.held {
		if h.added && !g.suspect[key] {
			healthy++
		}
	}
	lastAddAt := s.now
	for i, key := range desired {
		h := g.held[key]
		if h == nil {
			addAt := s.now
			// Members needed at once are not delayed: too few at startup, a primary, and those of a widening.
			if need := min(s.config.MinMembers, len(g.members)); healthy >= need && i < len(g.target) && !g.isPrimary(key) {
				addAt += s.randomDelay(moveWindow)
			}
			healthy++
			h = &heldMember{addAt: addAt}
			g.held[key] = h
		}
		h.dropAt = 0
		if !h.added {
			lastAddAt = max(lastAddAt, h.addAt)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(g.held)) {
		h := g.held[key]
		switch {
		case slices.Contains(desired, key) || h.dropAt != 0:
		case !h.added:
			delete(g.held, key)
		default:
			h.dropAt = lastAddAt + s.randomDelay(moveWindow)
		}
	}
}

func (g *group) isPrimary(key uint64) bool {
	return slices.ContainsFunc(g.members, func(m Member) bool { return m.Key == key && m.Primary })
}

// SetSuspect reports that one of this gateway's members is suspect, or no longer is.
func (s *Subset) SetSuspect(key uint64, suspect bool) {
	if g := s.groups[s.groupOf[key]]; g != nil && g.suspect[key] != suspect {
		if g.suspect[key] = suspect; !suspect {
			delete(g.suspect, key)
		}
	}
}

// Observe reports what this gateway knows of a group: whether its primary is known, how many replicas
// it has, and how many of those recent reads skipped because they were not proven fresh enough. It
// returns what the subset needs as a result.
func (s *Subset) Observe(groupNumber int, primaryKnown bool, replicas, stale int) Need {
	g := s.groups[groupNumber]
	if g == nil {
		return NeedNothing
	}
	if primaryKnown {
		g.primaryLostAt = 0
	} else if g.primaryLostAt == 0 {
		g.primaryLostAt = s.now
	}
	g.need = NeedNothing
	switch {
	case !primaryKnown && s.now-g.primaryLostAt > primaryTimeout:
		g.need = NeedPrimary
	case float64(stale) > maxStaleRatio*float64(replicas):
		g.need = NeedFresh
	}
	return g.need
}

// Has reports whether this gateway uses a member.
func (s *Subset) Has(key uint64) bool {
	g := s.groups[s.groupOf[key]]
	return g != nil && g.held[key] != nil && g.held[key].added
}

// needsWidening reports whether the subset should be wider than it is.
func (g *group) needsWidening() bool {
	healthy := 0
	for key, h := range g.held {
		if h.dropAt == 0 && !g.suspect[key] { // a member still to be added counts, as it is added at once where needed
			healthy++
		}
	}
	size := min(len(g.members), len(g.target))
	return g.need != NeedNothing || float64(healthy) < minHealthyRatio*float64(size)
}

// maxWidening returns the maximum number of extra members.
func (g *group) maxWidening() int {
	if g.need == NeedPrimary {
		return len(g.members)
	}
	return min(len(g.members), maxGrowthFactor*len(g.target)) - len(g.target)
}

// Next returns one decision of this round, or false if none is left.
func (s *Subset) Next() (Decision, bool) {
	if len(s.pending) == 0 {
		s.round()
	}
	if len(s.pending) > 0 {
		d := s.pending[0]
		s.pending = s.pending[1:]
		return d, true
	}
	if at := s.nextDeadline(); at > 0 && (s.wakeAt <= s.now || at < s.wakeAt) {
		s.wakeAt = at
		return Decision{Kind: Wake, After: max(at-s.now, 1e6)}, true
	}
	return Decision{}, false
}

func (s *Subset) round() {
	for _, groupNumber := range slices.Sorted(maps.Keys(s.groups)) {
		g := s.groups[groupNumber]
		switch need := g.needsWidening(); {
		case need && s.now >= g.nextWidenAt && g.widened < g.maxWidening():
			extra := max(1, len(g.target)/4)
			if g.need == NeedPrimary { // any member may be the primary: the number looked at doubles, so that a large group takes little longer
				extra = max(extra, len(g.target)+g.widened)
			}
			g.widened, g.nextWidenAt = g.widened+extra, s.now+widenInterval
			g.lastNeededAt = s.now
			s.schedule(g)
		case need:
			g.lastNeededAt = s.now
		case g.widened > 0 && s.now-g.lastNeededAt >= narrowDelay:
			g.widened, g.lastNeededAt = 0, s.now
			s.schedule(g)
		}
		for _, key := range slices.Sorted(maps.Keys(g.held)) {
			switch h := g.held[key]; {
			case !h.added && s.now >= h.addAt:
				h.added = true
				s.pending = append(s.pending, Decision{Kind: Add, Key: key})
			case h.added && h.dropAt != 0 && s.now >= h.dropAt:
				delete(g.held, key)
				s.pending = append(s.pending, Decision{Kind: Drop, Key: key})
			}
		}
	}
}

// nextDeadline returns when the next round is needed, 0 for never.
func (s *Subset) nextDeadline() (at int64) {
	consider := func(x int64) {
		if at == 0 || x < at {
			at = x
		}
	}
	for _, g := range s.groups {
		for _, h := range g.held {
			if !h.added {
				consider(h.addAt)
			} else if h.dropAt != 0 {
				consider(h.dropAt)
			}
		}
		if g.widened > 0 {
			consider(g.lastNeededAt + narrowDelay)
		}
		if g.needsWidening() && g.widened < g.maxWidening() {
			consider(g.nextWidenAt)
		}
	}
	return at
}

// randomDelay returns a uniformly random duration below limit.
func (s *Subset) randomDelay(limit int64) int64 { return int64(s.rng.Float64() * float64(limit)) }

// Widened returns the number of extra members in a group's subset.
func (s *Subset) Widened(groupNumber int) int {
	if g := s.groups[groupNumber]; g != nil {
		return g.widened
	}
	return 0
}
