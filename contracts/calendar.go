package contracts

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

// Fleet is the number of members by group and zone. Primaries serve writes, the others serve reads.
type Fleet map[int]map[string]int

// accessKind separates a group's read capacity from its write capacity.
type accessKind int

const (
	reads accessKind = iota
	writes
	accessKinds
)

func (k accessKind) String() string { return [...]string{"reads", "writes"}[k] }

// lossLevels are ordered from the weakest guarantee to the strongest.
var lossLevels = []string{NoLoss, MemberLoss, ZoneLoss}

// Capacity returns what can be sold of a group under a tolerated loss, per second: the capacity of the members
// that remain after the loss, less the floor for traffic without a contract. One member, the primary, serves
// the writes; the others serve reads.
func (b *Book) Capacity(fleet Fleet, group int, loss string) (all [accessKinds]float64) {
	i := slices.IndexFunc(b.Sizes, func(s MemberSize) bool { return s.Group == group })
	if i < 0 {
		return all // no configured size
	}
	members, largest := 0, 0
	for _, n := range fleet[group] {
		members, largest = members+n, max(largest, n)
	}
	switch loss {
	case MemberLoss:
		members--
	case ZoneLoss:
		members -= largest
	}
	if members > 0 { // if the primary is lost, another member is elected
		all[writes] = b.Sizes[i].Writes * (1 - b.Floor)
		all[reads] = b.Sizes[i].Reads * float64(members-1) * (1 - b.Floor)
	}
	return all
}

// replicas returns how many replicas of a group remain after a loss, and in how many zones.
func (f Fleet) replicas(group int, loss string) (n, zones int) {
	largest := 0
	for _, k := range f[group] {
		if n += k; k > 0 {
			zones++
		}
		largest = max(largest, k)
	}
	switch loss {
	case MemberLoss:
		n--
	case ZoneLoss:
		n, zones = n-largest, zones-1
	}
	return max(0, n-1), zones // one is the primary
}

// Calendar holds the reserved capacity over time.
type Calendar struct {
	book   *Book
	fleet  Fleet
	now    int64
	groups []int
	steps  map[reservationKey][]capacityStep
}

// reservationKey identifies the capacity of a group reserved by contracts that tolerate a loss or a larger
// one.
type reservationKey struct {
	group int
	kind  accessKind
	loss  string
}

// capacityStep is the reserved capacity from a time on.
type capacityStep struct {
	from     int64
	reserved float64
}

// planningHorizon limits how far ahead capacity is planned.
const planningHorizon = int64(400 * 24 * time.Hour)

// NewCalendar computes the reservations of the booked contracts from a time on, excluding one contract.
func NewCalendar(b *Book, fleet Fleet, now int64, excludedNo uint64) *Calendar {
	c := &Calendar{book: b, fleet: fleet, now: now, groups: slices.Sorted(maps.Keys(fleet)), steps: map[reservationKey][]capacityStep{}}
	for _, x := range b.BookedContracts() {
		t := &x.Latest().Terms
		if x.No == excludedNo {
			continue
		}
		for _, h := range t.ReservedWindows(now, now+planningHorizon) {
			for _, g := range c.groups {
				if t.covers(g) {
					c.reserve(g, t, h)
				}
			}
		}
	}
	for key, all := range c.steps { // turn changes into running sums
		slices.SortFunc(all, func(x, y capacityStep) int { return cmp.Compare(x.from, y.from) })
		sums, sum := all[:0], 0.0
		for i, s := range all {
			if sum += s.reserved; i+1 == len(all) || all[i+1].from != s.from {
				sums = append(sums, capacityStep{s.from, sum})
			}
		}
		c.steps[key] = sums
	}
	return c
}

func (c *Calendar) reserve(group int, t *Terms, h ReservedWindow) {
	for k, n := range [accessKinds]float64{t.Reads, t.Writes} {
		for _, loss := range lossLevels[:slices.Index(lossLevels, t.ToleratedLoss)+1] { // a contract that tolerates a loss also reserves capacity at every smaller loss
			key := reservationKey{group, accessKind(k), loss}
			c.steps[key] = append(c.steps[key], capacityStep{h.From, n}, capacityStep{h.To, -n})
		}
	}
}

// peakReserved returns the highest reservation within a time range, and when it begins.
func (c *Calendar) peakReserved(key reservationKey, from, to int64) (reserved float64, at int64) {
	all := c.steps[key]
	i, _ := slices.BinarySearchFunc(all, from, func(s capacityStep, at int64) int { return cmp.Compare(s.from, at+1) })
	at = from
	if i > 0 {
		reserved = all[i-1].reserved
	}
	for ; i < len(all) && all[i].from < to; i++ {
		if all[i].reserved > reserved {
			reserved, at = all[i].reserved, all[i].from
		}
	}
	return reserved, at
}

// Free returns what can still be sold of a group throughout a time range, per second, to a contract that
// tolerates a loss.
func (c *Calendar) Free(group int, loss string, from, to int64) (free [2]float64) {
	free = [2]float64{math.Inf(1), math.Inf(1)}
	for _, l := range lossLevels[:slices.Index(lossLevels, loss)+1] {
		capacity := c.book.Capacity(c.fleet, group, l)
		for k := range accessKinds {
			reserved, _ := c.peakReserved(reservationKey{group, k, l}, from, to)
			free[k] = max(0, min(free[k], capacity[k]-reserved))
		}
	}
	return free
}

// ShortfallError explains why a contract does not fit, and which alternatives would.
type ShortfallError struct {
	Name          string
	Shortfalls    []string // what, when and where
	FittingReads  float64  // would fit in all of the contract's windows
	FittingWrites float64
	EarlierStart  int64 // the nearest start at which the whole contract fits, Unix nanoseconds, 0 for none within a week
	LaterStart    int64
}

// Error describes the shortfall and the alternatives.
func (l *ShortfallError) Error() string {
	text := fmt.Sprintf("contract %q does not fit: %s", l.Name, joinReasons(l.Shortfalls))
	if l.FittingReads > 0 || l.FittingWrites > 0 {
		text += fmt.Sprintf("; %.0f reads and %.0f writes a second would fit", l.FittingReads, l.FittingWrites)
	}
	switch {
	case l.EarlierStart > 0 && l.LaterStart > 0:
		text += fmt.Sprintf("; all of it would from %s or %s", formatTime(l.EarlierStart), formatTime(l.LaterStart))
	case l.EarlierStart+l.LaterStart > 0:
		text += "; all of it would from " + formatTime(max(l.EarlierStart, l.LaterStart))
	}
	return text
}

// Limits of a ShortfallError: the search for alternative times and the reasons listed.
const (
	shiftStep     = int64(30 * time.Minute)
	maxShift      = int64(7 * 24 * time.Hour)
	maxShortfalls = 4
)

// CheckFit returns nil if a contract fits beside the booked ones, otherwise an error, which is a
// *ShortfallError where capacity or replicas are missing.
func (c *Calendar) CheckFit(t *Terms) error {
	windows := t.ReservedWindows(c.now, c.now+planningHorizon)
	if len(windows) == 0 {
		return fmt.Errorf("contract %q: all of its windows are over, or more than 400 days ahead", t.Name)
	}
	shortfall := &ShortfallError{Name: t.Name, FittingReads: math.Inf(1), FittingWrites: math.Inf(1)}
	covered := false
	for _, g := range c.groups {
		if !t.covers(g) {
			continue
		}
		covered = true
		if n, zones := c.fleet.replicas(g, t.ToleratedLoss); n < t.MinReplicas || zones < t.MinZones {
			shortfall.Shortfalls = append(shortfall.Shortfalls, fmt.Sprintf("group %d has %d replicas in %d zones with a loss of %s, %d in %d are wanted", g, n, zones, t.ToleratedLoss, t.MinReplicas, t.MinZones))
		}
		for _, h := range windows {
			free := c.Free(g, t.ToleratedLoss, h.From, h.To)
			shortfall.FittingReads, shortfall.FittingWrites = min(shortfall.FittingReads, free[reads]), min(shortfall.FittingWrites, free[writes])
			for k, want := range [accessKinds]float64{t.Reads, t.Writes} {
				if short := want - free[k]; short > 1e-9 && len(shortfall.Shortfalls) < maxShortfalls {
					shortfall.Shortfalls = append(shortfall.Shortfalls, fmt.Sprintf("group %d lacks %.0f %v a second at %s with a loss of %s", g, math.Ceil(short), accessKind(k), formatTime(h.Start), t.ToleratedLoss))
				}
			}
		}
	}
	for _, g := range t.Groups {
		if !slices.Contains(c.groups, g) {
			return fmt.Errorf("contract %q: there is no group %d", t.Name, g)
		}
	}
	if !covered {
		return fmt.Errorf("contract %q: there are no groups", t.Name)
	}
	if len(shortfall.Shortfalls) == 0 {
		return nil
	}
	shortfall.FittingReads, shortfall.FittingWrites = min(shortfall.FittingReads, t.Reads), min(shortfall.FittingWrites, t.Writes)
	for by := shiftStep; by <= maxShift && (shortfall.EarlierStart == 0 || shortfall.LaterStart == 0); by += shiftStep {
		if shortfall.EarlierStart == 0 && windows[0].From-by > c.now && c.fitsShifted(t, windows, -by) {
			shortfall.EarlierStart = windows[0].Start - by
		}
		if shortfall.LaterStart == 0 && c.fitsShifted(t, windows, by) {
			shortfall.LaterStart = windows[0].Start + by
		}
	}
	return shortfall
}

// fitsShifted returns whether windows would fit if they were moved by an offset.
func (c *Calendar) fitsShifted(t *Terms, windows []ReservedWindow, by int64) bool {
	for _, g := range c.groups {
		if !t.covers(g) {
			continue
		}
		if n, zones := c.fleet.replicas(g, t.ToleratedLoss); n < t.MinReplicas || zones < t.MinZones {
			return false
		}
		for _, h := range windows {
			if free := c.Free(g, t.ToleratedLoss, h.From+by, h.To+by); t.Reads > free[reads]+1e-9 || t.Writes > free[writes]+1e-9 {
				return false
			}
		}
	}
	return true
}

// overbooked returns whether more is booked than the capacity at any time, or a contract covers a missing
// group or needs more replicas or zones than exist.
func (c *Calendar) overbooked() bool {
	for key, all := range c.steps {
		capacity := c.book.Capacity(c.fleet, key.group, key.loss)[key.kind]
		if slices.ContainsFunc(all, func(s capacityStep) bool { return s.reserved > capacity+1e-9 }) {
			return true
		}
	}
	for _, x := range c.book.BookedContracts() {
		t := &x.Latest().Terms
		for _, g := range c.groups {
			if n, zones := c.fleet.replicas(g, t.ToleratedLoss); t.covers(g) && (n < t.MinReplicas || zones < t.MinZones) {
				return true
			}
		}
		if slices.ContainsFunc(t.Groups, func(g int) bool { return !slices.Contains(c.groups, g) }) || len(c.groups) == 0 {
			return true
		}
	}
	return false
}

// UnmetContract is a booked contract that the current fleet cannot satisfy.
type UnmetContract struct {
	No     uint64
	Name   string
	Reason string
	Start  int64 // of its first window
}

// UnmetContracts returns the booked contracts that the current fleet cannot satisfy: those of the lowest
// priority are given up until the others fit. The book is not changed.
func (b *Book) UnmetContracts(fleet Fleet, now int64) (all []UnmetContract) {
	if c := NewCalendar(b, fleet, now, 0); !c.overbooked() { // the usual case; otherwise each contract is checked beside those of higher priority, which takes longer
		return nil
	}
	satisfied := &Book{Sizes: b.Sizes, Floor: b.Floor}
	for _, c := range b.BookedContracts() {
		t := &c.Latest().Terms
		windows := t.ReservedWindows(now, now+planningHorizon)
		if len(windows) == 0 {
			continue
		}
		if err := NewCalendar(satisfied, fleet, now, 0).CheckFit(t); err != nil {
			all = append(all, UnmetContract{c.No, t.Name, err.Error(), windows[0].Start})
			continue
		}
		satisfied.Contracts = append(satisfied.Contracts, *c)
	}
	return all
}

// HourlyCapacity is what is booked and free of a group over an hour, per second, for contracts that tolerate
// the loss of a member.
type HourlyCapacity struct {
	At       int64
	Group    int
	Capacity [2]float64 `json:"Can"`
	Booked   [2]float64
	Free     [2]float64
}

// HourlyCapacities returns n hours from a time on, by time and group.
func (c *Calendar) HourlyCapacities(from int64, hours int) (all []HourlyCapacity) {
	from -= from % int64(time.Hour)
	for i := range hours {
		at := from + int64(i)*int64(time.Hour)
		for _, g := range c.groups {
			h := HourlyCapacity{At: at, Group: g, Capacity: c.book.Capacity(c.fleet, g, MemberLoss), Free: c.Free(g, MemberLoss, at, at+int64(time.Hour))}
			for k := range accessKinds {
				h.Booked[k], _ = c.peakReserved(reservationKey{g, k, NoLoss}, at, at+int64(time.Hour))
			}
			all = append(all, h)
		}
	}
	return all
}
