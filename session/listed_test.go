package session

import (
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// membershipHistory simulates the agreement on a changing list of gateways: the versions of the list, which of them each
// process holds, and which hold a lease. It guarantees what docs/agreement.md does and no more: a process with a lease
// may hold an old list, but a gateway is seated only once all with a lease hold a list that has it; a lease is granted
// on the latest list alone.
type membershipHistory struct {
	versions     []agreedMembership // the latest is last
	processes    map[int]int        // the process at the address of a gateway number
	numbers      []int              // the gateway number of each process; -1 until it joins
	heldList     []int              // index of the list that each process holds; -1 is none
	leased       []bool
	next         int
	skipsSeating bool // fault injection: gateways act as if they were seated
}

type agreedMembership struct {
	seated       map[int]bool // the gateways in the list, by number
	removed      []int
	endedVersion uint64
}

func (f *fleet) numberOf(i int) int {
	if f.memberships == nil {
		return i
	}
	return f.memberships.numbers[i]
}

func (f *fleet) processOf(number int) int {
	if f.memberships == nil {
		return number
	}
	return f.memberships.processes[number]
}

func newFleetWithMemberships(n int, config Config, skew []int64) *fleet {
	config.DynamicMembership = true
	f := newFleet(n, config, skew)
	f.memberships = &membershipHistory{versions: []agreedMembership{{seated: map[int]bool{}}}, processes: map[int]int{}, heldList: make([]int, n), leased: make([]bool, n), numbers: make([]int, n)}
	for i := range n {
		f.memberships.heldList[i], f.memberships.numbers[i] = -1, -1
	}
	return f
}

func (l *membershipHistory) latest() agreedMembership {
	x := l.versions[len(l.versions)-1]
	return agreedMembership{maps.Clone(x.seated), slices.Clone(x.removed), x.endedVersion}
}

// join adds a process as a new gateway; the gateway that it was before has ended, as its address is taken.
func (f *fleet) join(i int) {
	l, x := f.memberships, f.memberships.latest()
	if old := l.numbers[i]; old >= 0 {
		_, in := x.seated[old]
		if at := slices.Index(x.removed, old); at >= 0 {
			x.removed = slices.Delete(x.removed, at, at+1)
			x.endedVersion = uint64(len(l.versions))
		} else if in {
			delete(x.seated, old)
			x.endedVersion = uint64(len(l.versions))
		}
	}
	l.numbers[i] = l.next
	l.processes[l.next] = i
	x.seated[l.next] = false
	l.next++
	l.versions = append(l.versions, x)
}

// seat marks the gateways that are in the list of every process with a lease.
func (l *membershipHistory) seat() {
	x := l.latest()
	for number, seated := range x.seated {
		ok := !seated
		for i, leased := range l.leased {
			if leased {
				_, knows := l.versions[l.heldList[i]].seated[number]
				ok = ok && knows
			}
		}
		x.seated[number] = seated || ok
	}
	l.versions = append(l.versions, x)
}

func (l *membershipHistory) evict(number int) {
	x := l.latest()
	if _, in := x.seated[number]; in {
		delete(x.seated, number)
		x.removed = append(x.removed, number)
		l.versions = append(l.versions, x)
	}
}

// receiveList gives a process a later list, and a lease on it if it is the latest.
func (f *fleet) receiveList(i, which int) {
	l := f.memberships
	if which = min(which, len(l.versions)-1); which < max(0, l.heldList[i]) {
		return
	}
	l.heldList[i] = which
	x := l.versions[which]
	list := Membership{Self: -1, EndedVersion: x.endedVersion}
	for number, seated := range x.seated {
		if number == l.numbers[i] {
			list.Self, list.KnownToAll = number, seated || l.skipsSeating
		} else {
			list.Peers = append(list.Peers, number)
		}
	}
	for _, number := range x.removed {
		if number != l.numbers[i] {
			list.Peers = append(list.Peers, number)
		}
	}
	s := f.gateways[i]
	s.SetTime(f.now(i))
	s.SetMembership(list)
	if l.leased[i] = which == len(l.versions)-1 && list.Self >= 0; l.leased[i] {
		s.SetLeaseExpiry(1 << 62)
	} else {
		s.SetLeaseExpiry(0)
	}
	// A removed gateway reports that it has ended once it answers no more writes.
	if at := slices.Index(x.removed, l.numbers[i]); at >= 0 {
		if now := l.latest(); slices.Contains(now.removed, l.numbers[i]) {
			now.removed = slices.DeleteFunc(now.removed, func(p int) bool { return p == l.numbers[i] })
			now.endedVersion = uint64(len(l.versions))
			l.versions = append(l.versions, now)
		}
	}
	f.processDecisions(i)
}

func (f *fleet) expire(i int) {
	f.memberships.leased[i] = false
	f.gateways[i].SetTime(f.now(i))
	f.gateways[i].SetLeaseExpiry(0)
	f.processDecisions(i)
}

// runRandomMembershipHistory draws a history in which gateways also join, are seated, are removed, end and come back.
func runRandomMembershipHistory(t *rapid.T, config Config, skipsSeating bool) *fleet {
	n := rapid.IntRange(2, 4).Draw(t, "gateways")
	f := newFleetWithMemberships(n, config, rapid.SliceOfN(rapid.Int64Range(-5e9, 5e9), n, n).Draw(t, "skew"))
	f.memberships.skipsSeating = skipsSeating
	gateway, session := rapid.IntRange(0, n-1), rapid.Uint64Range(1, 3)
	for steps := rapid.IntRange(1, 150).Draw(t, "steps"); steps > 0 && f.failure == ""; steps-- {
		i := gateway.Draw(t, "gateway")
		switch kind := rapid.IntRange(0, 23).Draw(t, "kind"); {
		case kind < 5:
			if f.gateways[i].AcceptsSessionWrites() {
				f.commit(i, 0, session.Draw(t, "session"))
			}
		case kind < 9:
			f.read(i, 0, session.Draw(t, "session"))
		case kind < 12 && len(f.messages) > 0:
			f.deliver(rapid.IntRange(0, len(f.messages)-1).Draw(t, "mail"), rapid.IntRange(0, 7).Draw(t, "again") == 0)
		case kind == 12 && len(f.messages) > 0:
			at := rapid.IntRange(0, len(f.messages)-1).Draw(t, "lost")
			f.messages = slices.Delete(f.messages, at, at+1)
		case kind == 13: // killed; it comes back as a new gateway, or as itself from its ledger
			if again := rapid.Bool().Draw(t, "itself"); again && f.memberships.numbers[i] >= 0 {
				f.restore(i, rapid.Bool().Draw(t, "dumped"))
			} else {
				f.start(i)
				f.join(i)
			}
			f.memberships.heldList[i], f.memberships.leased[i] = -1, false
		case kind == 14:
			if f.memberships.numbers[i] < 0 {
				f.join(i)
			}
		case kind == 15:
			f.memberships.evict(f.memberships.numbers[i])
		case kind == 16:
			f.memberships.seat()
		case kind < 20:
			f.receiveList(i, f.memberships.heldList[i]+rapid.IntRange(0, 5).Draw(t, "ahead"))
		case kind == 20:
			f.expire(i)
		case kind == 21:
			for len(f.messages) > 0 && f.failure == "" {
				f.deliver(0, false)
			}
		case kind == 22: // all receive the latest list, as in a healthy fleet
			for k := range n {
				f.receiveList(k, 1<<30)
			}
		default:
			f.clock += rapid.SampledFrom([]int64{1e6, 11e6, 300e6, 2e9}).Draw(t, "time")
			for k := range f.gateways {
				f.processDecisions(k)
			}
		}
	}
	if f.failure == "" {
		f.runUntilIdle()
	}
	return f
}

// The package invariant while membership changes: with gateways that act on an old list, are cut off from all voters,
// were removed without knowing it, or came back as a new gateway.
func TestFloorCoversWhileMembershipChanges(t *testing.T) {
	for range 10 { // rapid draws a hundred more histories in each
		rapid.Check(t, checkRandomMembershipHistory)
	}
}

func checkRandomMembershipHistory(t *rapid.T) {
	if f := runRandomMembershipHistory(t, smallConfig(), false); f.failure != "" {
		t.Fatal(f.failure)
	}
}

// In a healthy fleet with dynamic membership peer queries serve all reads, as with a fixed list. Also shows that the
// check above can fail: a gateway that answers session writes before it is seated is not asked by those without it.
func TestDynamicMembershipNeedsNoFence(t *testing.T) {
	f := newFleetWithMemberships(4, DefaultConfig(), []int64{0, 0, 0, 0})
	for i := range 3 {
		f.join(i)
	}
	receiveList := func() {
		for i := range 3 {
			f.receiveList(i, 1<<30)
		}
	}
	receiveList()
	f.memberships.seat()
	receiveList()
	f.runUntilIdle()
	for i := range 3 {
		f.read(i, 0, 9)
		f.runUntilIdle()
	}
	before := f.gateways[1].Stats()
	for range 20 {
		f.clock += 30e6
		f.commit(0, 0, 1)
		f.read(1, 0, 1)
		f.runUntilIdle()
	}
	if c := f.gateways[1].Stats(); f.failure != "" || c.FenceRequests != before.FenceRequests || c.Covered-before.Covered != 20 {
		t.Fatalf("%q %+v", f.failure, c)
	}
	f.expire(1) // cut off from all voters: its reads are fenced, and served
	f.commit(0, 0, 1)
	f.read(1, 0, 1)
	f.runUntilIdle()
	if c := f.gateways[1].Stats(); f.failure != "" || c.FenceRequests != before.FenceRequests+1 {
		t.Fatalf("%q %+v", f.failure, c)
	}
	receiveList()
	f.memberships.skipsSeating = true
	f.join(3)
	f.receiveList(3, 1<<30)
	f.read(1, 0, 7)
	f.runUntilIdle()
	f.commit(3, 0, 7)
	f.read(1, 0, 7)
	f.runUntilIdle()
	if f.failure == "" {
		t.Fatal("a gateway that no other knows answered a write, and a read elsewhere saw it")
	}
}
