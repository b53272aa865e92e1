package session

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// fleet is some gateways, one primary a group and a network that loses, doubles and reorders. It remembers every
// answered write, which the module must not need to.
type fleet struct {
	clock    int64
	skew     []int64 // of each gateway's clock
	gateways []*Sessions
	terms    Config
	epochs   uint64
	tops     map[int]Position       // each group's primary
	answered map[sessionOf]Position // highest position that any gateway answered
	owed     map[uint64]owed        // reads under way
	mail     []mail
	ids      uint64
	broken   string
	served   int
	refused  int
	kept     [][]Change // what a ledger of each gateway would hold
	lists    *lists     // nil where there is one for good
}

type owed struct {
	gateway int
	of      sessionOf
	floor   Position // what the session's answered writes had reached when the read was sent
}

// mail is a message on its way, or a fence and its answer.
type mail struct {
	from, to int
	place    int // the number of who sent it, at that time
	d        Decision
	answer   bool
	top      Position
}

func newFleet(n int, terms Config, skew []int64) *fleet {
	f := &fleet{clock: 1e12, skew: skew, tops: map[int]Position{}, answered: map[sessionOf]Position{},
		owed: map[uint64]owed{}, terms: terms, kept: make([][]Change, n)}
	f.terms.FleetSize = n
	for i := range n {
		f.gateways = append(f.gateways, nil)
		f.start(i)
	}
	return f
}

func (f *fleet) now(i int) int64 { return f.clock + f.skew[i] }

// start starts a gateway from nothing; what it had under way is gone with its clients' connections.
func (f *fleet) start(i int) {
	f.epochs++
	t := f.terms
	t.Self = i
	epoch := f.epochs<<8 | uint64(i)
	s, err := New(t, f.epochs, epoch)
	if err != nil {
		panic(err)
	}
	f.gateways[i], f.kept[i] = s, nil
	s.TrackChanges()
	f.kept[i] = []Change{{Kind: EpochStarted, Epoch: epoch}}
	for id, o := range f.owed {
		if o.gateway == i {
			delete(f.owed, id)
		}
	}
	f.mail = slices.DeleteFunc(f.mail, func(m mail) bool { return m.d.Kind == Fence && m.from == i })
	s.SetTime(f.now(i))
}

// restore starts a gateway from what a ledger that lacks nothing would hold: a dump, or an older one and the changes
// since.
func (f *fleet) restore(i int, dumped bool) {
	kept := append(f.kept[i], f.gateways[i].TakeChanges()...)
	if dumped {
		kept = f.gateways[i].Snapshot()
	}
	f.start(i)
	f.gateways[i].Restore(kept)
	f.kept[i] = kept
}

func (f *fleet) commit(i, grp int, session uint64) {
	f.tops[grp]++
	p := f.tops[grp] + 1000
	f.gateways[i].SetTime(f.now(i))
	f.gateways[i].RecordCommit(grp, session, p)
	of := sessionOf{grp, session}
	f.answered[of] = max(f.answered[of], p)
	f.pull(i)
}

func (f *fleet) read(i, grp int, session uint64) {
	f.ids++
	of := sessionOf{grp, session}
	f.owed[f.ids] = owed{i, of, f.answered[of]}
	f.gateways[i].SetTime(f.now(i))
	f.gateways[i].AddRead(f.ids, grp, session, 0, false, f.now(i)+1e9)
	f.pull(i)
}

func (f *fleet) pull(i int) {
	s := f.gateways[i]
	s.SetTime(f.now(i))
	for n := 0; ; n++ {
		d, ok := s.Next()
		f.kept[i] = append(f.kept[i], s.TakeChanges()...)
		if !ok {
			return
		}
		if n > 1000 {
			f.broken = "no end of decisions"
			return
		}
		switch d.Kind {
		case Serve:
			o, ok := f.owed[d.ReadID]
			if !ok {
				f.broken = fmt.Sprintf("read %d answered twice", d.ReadID)
			}
			if d.Floor < o.floor {
				f.broken = fmt.Sprintf("gateway %d serves %v from %d, %d was answered", i, o.of, d.Floor, o.floor)
			}
			delete(f.owed, d.ReadID)
			f.served++
		case Refuse:
			delete(f.owed, d.ReadID)
			f.refused++
		case Fence:
			f.mail = append(f.mail, mail{from: i, d: d})
		case RequestEntries, SendEntries:
			f.mail = append(f.mail, mail{from: i, to: d.Peer, place: f.placeOf(i), d: d})
		}
	}
}

// deliver takes one message out of the network, or leaves it there to come again.
func (f *fleet) deliver(at int, again bool) {
	m := f.mail[at]
	if !again {
		f.mail = slices.Delete(f.mail, at, at+1)
	}
	switch {
	case m.d.Kind == Fence && !m.answer: // the primary answers; its answer is on its way
		f.mail = append(f.mail, mail{from: m.from, d: m.d, answer: true, top: f.tops[m.d.Group] + 1000})
	case m.d.Kind == Fence:
		f.gateways[m.from].SetTime(f.now(m.from))
		f.gateways[m.from].FenceCompleted(m.d.Group, m.d.RequestID, m.top)
		f.pull(m.from)
	case m.d.Kind == RequestEntries:
		to := f.ownerOf(m.to)
		f.gateways[to].SetTime(f.now(to))
		f.gateways[to].HandleRequest(m.place, m.d.RequestID, m.d.Page.Epoch, m.d.Page.Last)
		f.pull(to)
	case m.d.Kind == SendEntries:
		to := f.ownerOf(m.to)
		f.gateways[to].SetTime(f.now(to))
		f.gateways[to].HandlePage(m.place, m.d.RequestID, m.d.Page)
		f.pull(to)
	}
}

// settle delivers all there is and lets time pass until no read waits.
func (f *fleet) settle() {
	for range 2000 {
		for len(f.mail) > 0 && f.broken == "" {
			f.deliver(0, false)
		}
		if len(f.owed) == 0 {
			return
		}
		f.clock += 5e6
		for i := range f.gateways {
			f.pull(i)
		}
	}
	f.broken = fmt.Sprintf("%d reads wait for ever", len(f.owed))
}

// play draws a history.
func play(t *rapid.T, terms Config) *fleet {
	n := rapid.IntRange(1, 3).Draw(t, "gateways")
	f := newFleet(n, terms, rapid.SliceOfN(rapid.Int64Range(-5e9, 5e9), n, n).Draw(t, "skew"))
	gateway, group := rapid.IntRange(0, n-1), rapid.IntRange(0, 1)
	session := rapid.Uint64Range(1, 4)
	for steps := rapid.IntRange(1, 150).Draw(t, "steps"); steps > 0 && f.broken == ""; steps-- {
		switch kind := rapid.IntRange(0, 19).Draw(t, "kind"); {
		case kind == 0: // more than a page holds, for the last gateway of many to hear of
			i, grp := gateway.Draw(t, "gateway"), group.Draw(t, "group")
			for k := range rapid.IntRange(2, 30).Draw(t, "burst") {
				f.commit(i, grp, uint64(1+k%4))
			}
		case kind < 5:
			f.commit(gateway.Draw(t, "gateway"), group.Draw(t, "group"), session.Draw(t, "session"))
		case kind < 9:
			f.read(gateway.Draw(t, "gateway"), group.Draw(t, "group"), session.Draw(t, "session"))
		case kind < 15 && len(f.mail) > 0:
			f.deliver(rapid.IntRange(0, len(f.mail)-1).Draw(t, "mail"), rapid.IntRange(0, 7).Draw(t, "again") == 0)
		case kind == 15 && len(f.mail) > 0:
			at := rapid.IntRange(0, len(f.mail)-1).Draw(t, "lost")
			f.mail = slices.Delete(f.mail, at, at+1)
		case kind == 16:
			f.start(gateway.Draw(t, "killed"))
		case kind == 17: // a restart that has all it noted, or one from an older state, which must not be restored
			i := gateway.Draw(t, "restarted")
			f.restore(i, rapid.Bool().Draw(t, "dumped"))
		case kind == 18: // all that is on its way comes, in order
			for len(f.mail) > 0 && f.broken == "" {
				f.deliver(0, false)
			}
		default:
			f.clock += rapid.SampledFrom([]int64{1e6, 11e6, 300e6, 2e9}).Draw(t, "time")
			for i := range f.gateways {
				f.pull(i)
			}
		}
	}
	if f.broken == "" {
		f.settle()
	}
	return f
}

func smallTerms() Config {
	t := DefaultConfig()
	t.WatermarkExpiry, t.MaxWatermarks, t.MessagesPerTxn = 1e9, 3, 20
	return t
}

// The statement: whatever is lost, late, doubled or reordered, whichever gateways die or restart, whatever was
// forgotten, with clocks that are seconds apart, a read's floor is at or above all that its session was answered.
func TestFloorCoversAllThatWasAnswered(t *testing.T) {
	for _, source := range []FloorSource{SourceEntries, SourcePrimary} {
		t.Run(string(source), rapid.MakeCheck(func(t *rapid.T) {
			terms := smallTerms()
			terms.Source = source
			if f := play(t, terms); f.broken != "" {
				t.Fatal(f.broken)
			}
		}))
	}
}

// The check can fail: a gateway that knows its own writes alone serves stale floors under the same histories.
func TestOwnMarksAloneAreStale(t *testing.T) {
	terms := smallTerms()
	terms.Source = SourceLocal
	rng, stale := rand.New(rand.NewPCG(1, 2)), 0
	for range 100 {
		f := newFleet(2, terms, []int64{0, 0})
		for range 30 {
			f.commit(rng.IntN(2), 0, 1)
			f.read(rng.IntN(2), 0, 1)
		}
		if f.broken != "" {
			stale++
		}
	}
	if stale < 90 {
		t.Fatalf("%d of 100", stale)
	}
}

// In the usual case rounds serve: no fence but the first of each group, and the floor is the session's own mark.
func TestUsualCaseNeedsNoFence(t *testing.T) {
	f := newFleet(3, DefaultConfig(), []int64{0, 3e9, -2e9})
	f.settle()
	for i := range 3 {
		f.read(i, 0, 9)
		f.settle()
	}
	before := f.gateways[1].Stats()
	for range 20 {
		f.clock += 30e6
		f.commit(0, 0, 1)
		f.read(1, 0, 1)
		f.settle()
	}
	c := f.gateways[1].Stats()
	if f.broken != "" || c.FenceRequests != before.FenceRequests || c.Covered-before.Covered != 20 {
		t.Fatalf("%q %+v", f.broken, c)
	}
}

// A message budget is kept, whatever the load: what is sent for each txn, both ways, is at most what is earned, and
// a little for each second.
func TestBudgetOfMessages(t *testing.T) {
	for _, n := range []int{2, 5, 40} {
		terms := DefaultConfig()
		terms.MessagesPerTxn = 1
		f := newFleet(n, terms, make([]int64, n))
		f.settle()
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
			f.settle()
		}
		after = count()
		allowed := 2*txns + n*int(float64(f.clock-began)/1e9*idleRate) + n*(2*n+64)
		if f.broken != "" || int(after-before) > allowed {
			t.Fatalf("%d gateways: %d messages, %d allowed, %q", n, after-before, allowed, f.broken)
		}
	}
}
