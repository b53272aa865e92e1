package session

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// fleet simulates some gateways, one primary for each group and a network that loses, duplicates and reorders. It
// records every answered write, which the module must not need to.
type fleet struct {
	clock            int64
	skew             []int64 // of each gateway's clock
	gateways         []*Sessions
	config           Config
	lastEpoch        uint64
	primaryPositions map[int]Position        // of each group
	answered         map[sessionKey]Position // highest position that any gateway answered
	pendingReads     map[uint64]pendingRead  // reads in flight
	messages         []message
	lastID           uint64
	failure          string
	served           int
	refused          int
	recordedChanges  [][]Change         // what each gateway's ledger would hold
	memberships      *membershipHistory // nil where the list is fixed
}

type pendingRead struct {
	gateway int
	key     sessionKey
	floor   Position // what the session's answered writes had reached when the read was sent
}

// message is a message in flight, or a fence and its response.
type message struct {
	from, to        int
	sender          int // the sender's number at that time
	decision        Decision
	isResponse      bool
	primaryPosition Position
}

func newFleet(n int, config Config, skew []int64) *fleet {
	f := &fleet{clock: 1e12, skew: skew, primaryPositions: map[int]Position{}, answered: map[sessionKey]Position{},
		pendingReads: map[uint64]pendingRead{}, config: config, recordedChanges: make([][]Change, n)}
	f.config.FleetSize = n
	for i := range n {
		f.gateways = append(f.gateways, nil)
		f.start(i)
	}
	return f
}

func (f *fleet) now(i int) int64 { return f.clock + f.skew[i] }

// start starts a gateway without state; its reads in flight are gone with its clients' connections.
func (f *fleet) start(i int) {
	f.lastEpoch++
	config := f.config
	config.Self = i
	epoch := f.lastEpoch<<8 | uint64(i)
	s, err := New(config, f.lastEpoch, epoch)
	if err != nil {
		panic(err)
	}
	f.gateways[i], f.recordedChanges[i] = s, nil
	s.TrackChanges()
	f.recordedChanges[i] = []Change{{Kind: EpochStarted, Epoch: epoch}}
	for id, o := range f.pendingReads {
		if o.gateway == i {
			delete(f.pendingReads, id)
		}
	}
	f.messages = slices.DeleteFunc(f.messages, func(m message) bool { return m.decision.Kind == Fence && m.from == i })
	s.SetTime(f.now(i))
}

// restore starts a gateway from what a complete ledger would hold: a snapshot, or an older one and the changes since.
func (f *fleet) restore(i int, dumped bool) {
	recorded := append(f.recordedChanges[i], f.gateways[i].TakeChanges()...)
	if dumped {
		recorded = f.gateways[i].Snapshot()
	}
	f.start(i)
	f.gateways[i].Restore(recorded)
	f.recordedChanges[i] = recorded
}

func (f *fleet) commit(i, groupID int, session uint64) {
	f.primaryPositions[groupID]++
	p := f.primaryPositions[groupID] + 1000
	f.gateways[i].SetTime(f.now(i))
	f.gateways[i].RecordCommit(groupID, session, p)
	key := sessionKey{groupID, session}
	f.answered[key] = max(f.answered[key], p)
	f.processDecisions(i)
}

func (f *fleet) read(i, groupID int, session uint64) {
	f.lastID++
	key := sessionKey{groupID, session}
	f.pendingReads[f.lastID] = pendingRead{i, key, f.answered[key]}
	f.gateways[i].SetTime(f.now(i))
	f.gateways[i].AddRead(f.lastID, groupID, session, 0, false, f.now(i)+1e9)
	f.processDecisions(i)
}

func (f *fleet) processDecisions(i int) {
	s := f.gateways[i]
	s.SetTime(f.now(i))
	for n := 0; ; n++ {
		d, ok := s.Next()
		f.recordedChanges[i] = append(f.recordedChanges[i], s.TakeChanges()...)
		if !ok {
			return
		}
		if n > 1000 {
			f.failure = "a round yields more than 1000 decisions"
			return
		}
		switch d.Kind {
		case Serve:
			o, ok := f.pendingReads[d.ReadID]
			if !ok {
				f.failure = fmt.Sprintf("read %d answered twice", d.ReadID)
			}
			if d.Floor < o.floor {
				f.failure = fmt.Sprintf("gateway %d serves %v from %d, %d was answered", i, o.key, d.Floor, o.floor)
			}
			delete(f.pendingReads, d.ReadID)
			f.served++
		case Refuse:
			delete(f.pendingReads, d.ReadID)
			f.refused++
		case Fence:
			f.messages = append(f.messages, message{from: i, decision: d})
		case RequestEntries, SendEntries:
			f.messages = append(f.messages, message{from: i, to: d.Peer, sender: f.numberOf(i), decision: d})
		}
	}
}

// deliver delivers one message, or a copy of it that leaves the message in the network.
func (f *fleet) deliver(at int, again bool) {
	m := f.messages[at]
	if !again {
		f.messages = slices.Delete(f.messages, at, at+1)
	}
	switch {
	case m.decision.Kind == Fence && !m.isResponse: // the primary responds; the response is now in flight
		f.messages = append(f.messages, message{from: m.from, decision: m.decision, isResponse: true, primaryPosition: f.primaryPositions[m.decision.Group] + 1000})
	case m.decision.Kind == Fence:
		f.gateways[m.from].SetTime(f.now(m.from))
		f.gateways[m.from].FenceCompleted(m.decision.Group, m.decision.RequestID, m.primaryPosition)
		f.processDecisions(m.from)
	case m.decision.Kind == RequestEntries:
		to := f.processOf(m.to)
		f.gateways[to].SetTime(f.now(to))
		f.gateways[to].HandleRequest(m.sender, m.decision.RequestID, m.decision.Page.Epoch, m.decision.Page.Last)
		f.processDecisions(to)
	case m.decision.Kind == SendEntries:
		to := f.processOf(m.to)
		f.gateways[to].SetTime(f.now(to))
		f.gateways[to].HandlePage(m.sender, m.decision.RequestID, m.decision.Page)
		f.processDecisions(to)
	}
}

// runUntilIdle delivers all messages and advances the time until no read waits.
func (f *fleet) runUntilIdle() {
	for range 2000 {
		for len(f.messages) > 0 && f.failure == "" {
			f.deliver(0, false)
		}
		if len(f.pendingReads) == 0 {
			return
		}
		f.clock += 5e6
		for i := range f.gateways {
			f.processDecisions(i)
		}
	}
	f.failure = fmt.Sprintf("%d reads still wait after 10 s", len(f.pendingReads))
}

// runRandomHistory draws a history of events and runs it.
func runRandomHistory(t *rapid.T, config Config) *fleet {
	n := rapid.IntRange(1, 3).Draw(t, "gateways")
	f := newFleet(n, config, rapid.SliceOfN(rapid.Int64Range(-5e9, 5e9), n, n).Draw(t, "skew"))
	gateway, group := rapid.IntRange(0, n-1), rapid.IntRange(0, 1)
	session := rapid.Uint64Range(1, 4)
	for steps := rapid.IntRange(1, 150).Draw(t, "steps"); steps > 0 && f.failure == ""; steps-- {
		switch kind := rapid.IntRange(0, 19).Draw(t, "kind"); {
		case kind == 0: // more entries than a page holds, so that peers need several
			i, groupID := gateway.Draw(t, "gateway"), group.Draw(t, "group")
			for k := range rapid.IntRange(2, 30).Draw(t, "burst") {
				f.commit(i, groupID, uint64(1+k%4))
			}
		case kind < 5:
			f.commit(gateway.Draw(t, "gateway"), group.Draw(t, "group"), session.Draw(t, "session"))
		case kind < 9:
			f.read(gateway.Draw(t, "gateway"), group.Draw(t, "group"), session.Draw(t, "session"))
		case kind < 15 && len(f.messages) > 0:
			f.deliver(rapid.IntRange(0, len(f.messages)-1).Draw(t, "mail"), rapid.IntRange(0, 7).Draw(t, "again") == 0)
		case kind == 15 && len(f.messages) > 0:
			at := rapid.IntRange(0, len(f.messages)-1).Draw(t, "lost")
			f.messages = slices.Delete(f.messages, at, at+1)
		case kind == 16:
			f.start(gateway.Draw(t, "killed"))
		case kind == 17: // a restart with a complete ledger; an older state must not be restored
			i := gateway.Draw(t, "restarted")
			f.restore(i, rapid.Bool().Draw(t, "dumped"))
		case kind == 18: // all messages in flight arrive, in order
			for len(f.messages) > 0 && f.failure == "" {
				f.deliver(0, false)
			}
		default:
			f.clock += rapid.SampledFrom([]int64{1e6, 11e6, 300e6, 2e9}).Draw(t, "time")
			for i := range f.gateways {
				f.processDecisions(i)
			}
		}
	}
	if f.failure == "" {
		f.runUntilIdle()
	}
	return f
}

func smallConfig() Config {
	c := DefaultConfig()
	c.WatermarkExpiry, c.MaxWatermarks, c.MessagesPerTxn = 1e9, 3, 20
	return c
}

// The package invariant: a read's floor covers all answered writes of its session, whichever messages are lost, late,
// duplicated or reordered, whichever gateways fail or restart, whatever has expired, with clocks seconds apart.
func TestFloorCoversAllAnsweredWrites(t *testing.T) {
	for _, source := range []FloorSource{SourceEntries, SourcePrimary} {
		t.Run(string(source), rapid.MakeCheck(func(t *rapid.T) {
			config := smallConfig()
			config.Source = source
			if f := runRandomHistory(t, config); f.failure != "" {
				t.Fatal(f.failure)
			}
		}))
	}
}

// Shows that the check can fail: a gateway that uses its own entries alone serves stale floors in such histories.
func TestLocalEntriesAloneAreStale(t *testing.T) {
	config := smallConfig()
	config.Source = SourceLocal
	rng, stale := rand.New(rand.NewPCG(1, 2)), 0
	for range 100 {
		f := newFleet(2, config, []int64{0, 0})
		for range 30 {
			f.commit(rng.IntN(2), 0, 1)
			f.read(rng.IntN(2), 0, 1)
		}
		if f.failure != "" {
			stale++
		}
	}
	if stale < 90 {
		t.Fatalf("%d of 100", stale)
	}
}

// Without failures peer queries serve all reads: no fence but the first of each group, and the floor is the session's
// own watermark.
func TestHealthyFleetNeedsNoFence(t *testing.T) {
	f := newFleet(3, DefaultConfig(), []int64{0, 3e9, -2e9})
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
	c := f.gateways[1].Stats()
	if f.failure != "" || c.FenceRequests != before.FenceRequests || c.Covered-before.Covered != 20 {
		t.Fatalf("%q %+v", f.failure, c)
	}
}

// The message budget holds under any load: the messages sent, both directions counted, are at most what the txns earn
// and a fixed rate for each second.
func TestMessageBudget(t *testing.T) {
	for _, n := range []int{2, 5, 40} {
		config := DefaultConfig()
		config.MessagesPerTxn = 1
		f := newFleet(n, config, make([]int64, n))
		f.runUntilIdle()
		var before, after uint64
		count := func() (sum uint64) {
			for _, g := range f.gateways {
				c := g.Stats()
				sum += c.EntryRequests + c.PagesSent
			}
			return sum
		}
		before = count()
		began := f.clock
		const txns = 2000
		for k := range txns {
			f.clock += 1e6
			f.commit(k%n, 0, uint64(1+k%7))
			f.read((k+1)%n, 0, uint64(1+k%7))
			f.runUntilIdle()
		}
		after = count()
		allowed := 2*txns + n*int(float64(f.clock-began)/1e9*idleMessagesPerSecond) + n*(2*n+64)
		if f.failure != "" || int(after-before) > allowed {
			t.Fatalf("%d gateways: %d messages, %d allowed, %q", n, after-before, allowed, f.failure)
		}
	}
}
