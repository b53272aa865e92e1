package quota

import "testing"

// keeperOf is a keeper of one bound of a hundred that is past its quiet, and a way to ask it.
func keeperOf(t *testing.T, kind LimitKind) (q *Quota, now *int64, ask func(holder ID, run uint64, x Item) *Item) {
	b := Limit{Key: KeyOf("x"), Name: "x", Kind: kind, Amount: 100 * UnitsPerTxn, Burst: 40 * UnitsPerTxn}
	tt := terms
	tt.Self, tt.Incarnation = 1, 1<<40
	q, err := New(tt)
	if err != nil {
		t.Fatal(err)
	}
	now = new(int64)
	*now = second
	q.Clock(*now, 1<<62)
	if err := q.SetLimits([]Limit{b}); err != nil {
		t.Fatal(err)
	}
	q.SetAssignment(Assignment{Version: 1, Allocators: AssignAllocators(nil, []ID{1})})
	*now += 5 * second
	return q, now, func(holder ID, run uint64, x Item) *Item {
		*now += 1e6
		x.Key = b.Key
		q.Clock(*now, 1<<62)
		q.Receive(&Message{Kind: AllocationRequest, From: holder, To: 1, Shard: shardOf(b.Key), AssignmentVersion: 1, Incarnation: run, RequestTime: *now, Items: []Item{x}})
		for d, ok := q.Next(); ok; d, ok = q.Next() {
			if d.Kind == Send && d.Message.Kind == AllocationResponse {
				return &d.Message.Items[0]
			}
		}
		return nil
	}
}

// One that asks again just past the time of its loan is lent to anew, on the book: it was answered from what had been
// forgotten in the same breath, so that others were lent the same units.
func TestAskedAgainPastItsTime(t *testing.T) {
	_, now, ask := keeperOf(t, Concurrency)
	first := ask(2, 1, Item{Demand: 200 * UnitsPerTxn})
	*now += terms.LeaseDuration + terms.ClockError + terms.MaxEffectDelay + terms.MaxTxnDuration
	again := ask(2, 1, Item{Sequence: first.Sequence, Demand: 200 * UnitsPerTxn})
	other := ask(3, 1, Item{Demand: 200 * UnitsPerTxn})
	if again.Amount == 0 || again.Amount+other.Amount > 100*UnitsPerTxn {
		t.Fatalf("%d and %d of 100 txns are lent", again.Amount/UnitsPerTxn, other.Amount/UnitsPerTxn)
	}
}

// A loan after a while without one has a later number than any before: its holder took it for a late one, and held nothing
// for good.
func TestLoansAreNumberedOn(t *testing.T) {
	_, now, ask := keeperOf(t, Concurrency)
	last := uint64(0)
	for range 3 {
		for range 3 {
			x := ask(2, 1, Item{Sequence: last, Demand: 5})
			if x.Sequence <= last {
				t.Fatalf("loan %d after %d", x.Sequence, last)
			}
			last = x.Sequence
		}
		*now += 10 * second
	}
}

// What a killed holder had begun goes on at members: its part is not given out again before that is over. Of a rate it is at
// once, as nobody spends it.
func TestPartOfAKilledHolder(t *testing.T) {
	for kind, at := range map[LimitKind]int64{Concurrency: 0, Rate: 70 * UnitsPerTxn} {
		_, _, ask := keeperOf(t, kind)
		first := ask(2, 1, Item{Demand: 100 * UnitsPerTxn})
		ask(2, 1, Item{Sequence: first.Sequence, Amount: first.Amount, Used: first.Amount, Demand: 100 * UnitsPerTxn})
		x := ask(2, 2, Item{Demand: 70 * UnitsPerTxn})
		if x.Amount < at || kind == Concurrency && x.Amount > 0 {
			t.Errorf("kind %d: %d units after a restart, %d were held before", kind, x.Amount, first.Amount)
		}
	}
}

// One that stood still until its loan had been given to others tells of work that is over by then: it gets nothing for that
// before others have given something back (seed 1367).
func TestWorkOfALapsedHolder(t *testing.T) {
	_, now, ask := keeperOf(t, Concurrency)
	first := ask(2, 1, Item{Demand: 30})
	*now += 10 * second
	ask(3, 1, Item{Demand: 200 * UnitsPerTxn})
	x := ask(2, 1, Item{Sequence: first.Sequence, Amount: 30, Used: 30, Demand: 30})
	if x.Amount > 0 {
		t.Fatalf("%d are lent of a bound that another one holds whole", x.Amount)
	}
}

// One txn alone that is larger than a bound of bytes takes all of it, once nobody else holds any, and gives it back.
func TestOneAloneMayBeLarger(t *testing.T) {
	q, now, _ := keeperOf(t, Concurrency)
	key := KeyOf("x")
	units := q.ClampToLimit(key, 1<<40)
	q.Clock(*now, 1<<62)
	turn := func() {
		*now += 100e6
		q.Clock(*now, 1<<62)
		for _, ok := q.Next(); ok; _, ok = q.Next() {
		}
	}
	if ok, after, first := q.CanBegin(key, units); ok || !first || after <= 0 {
		t.Fatal(ok, after, first)
	}
	turn()
	if ok, _, _ := q.CanBegin(key, units); !ok {
		t.Fatal("it may not, alone")
	}
	q.Begin(key, units)
	if ok, _, _ := q.CanBegin(key, 1); ok {
		t.Fatal("another one may beside it")
	}
	q.End(key, units)
	turn()
	if ok, _, _ := q.CanBegin(key, 1); !ok {
		t.Fatal("it was not given back")
	}
}

// A smaller bound is held by all together once each holder has had its next answer and said that it keeps to it; nothing is
// lent meanwhile.
func TestSmallerBound(t *testing.T) {
	q, _, ask := keeperOf(t, Concurrency)
	loans := map[ID]*Item{}
	round := func() (sum int64) {
		for id := ID(2); id < 6; id++ {
			x := Item{Demand: 40 * UnitsPerTxn}
			if l := loans[id]; l != nil {
				x.Sequence, x.Amount = l.Sequence, l.Amount
			}
			loans[id] = ask(id, 1, x)
			sum += loans[id].Amount
		}
		return sum
	}
	round()
	round()
	if sum := round(); sum > 100*UnitsPerTxn || sum < 90*UnitsPerTxn {
		t.Fatalf("%d of 100 are held", sum/UnitsPerTxn)
	}
	if err := q.SetLimits([]Limit{{Key: KeyOf("x"), Name: "x", Kind: Concurrency, Amount: 30 * UnitsPerTxn}}); err != nil {
		t.Fatal(err)
	}
	round()
	if sum := round(); sum > 30*UnitsPerTxn {
		t.Fatalf("%d of 30 are held", sum/UnitsPerTxn)
	}
	if sum := round(); sum < 27*UnitsPerTxn || sum > 30*UnitsPerTxn {
		t.Fatalf("%d of 30 are held", sum/UnitsPerTxn)
	}
}

// A keeper that is silent here gives way only if most of those that vote have answered and none hears of it; the books of
// the others stay where they are, and who is not known of by all gets none.
func TestSuccessors(t *testing.T) {
	list := func(heard ...ID) (all []Candidate) {
		for _, id := range []ID{1, 2, 3, 4} {
			c := Candidate{ID: id, Admitted: id != 4}
			for _, h := range heard {
				c.Reachable = c.Reachable || h == id
			}
			all = append(all, c)
		}
		return all
	}
	first, ok := ReplaceAllocator(nil, 0, list(1, 2, 3, 4), true)
	if !ok || len(first) != Shards {
		t.Fatal(first, ok)
	}
	if next, ok := ReplaceAllocator(first, 1, list(1, 2, 3), true); ok {
		t.Fatal("it is heard of, and gives way: ", next)
	}
	if next, ok := ReplaceAllocator(first, 1, list(2, 3), false); ok {
		t.Fatal("by the word of few: ", next)
	}
	next, ok := ReplaceAllocator(first, 1, list(3), true)
	if !ok {
		t.Fatal("it does not give way")
	}
	for b := range next {
		switch {
		case next[b] == 1 || next[b] == 4 || next[b] == 0:
			t.Fatalf("book %d: %v after %v", b, next, first)
		case first[b] != 1 && next[b] != first[b]:
			t.Fatalf("book %d moved: %v after %v", b, next, first)
		}
	}
}

// Work that is under way while a bound is taken away and given back counts against it again, until it ends.
func TestBoundComesBack(t *testing.T) {
	q, now, _ := keeperOf(t, Concurrency)
	key, bound := KeyOf("x"), Limit{Key: KeyOf("x"), Name: "x", Kind: Concurrency, Amount: 10}
	for i, bounds := range [][]Limit{{bound}, nil, {bound}} {
		if err := q.SetLimits(bounds); err != nil {
			t.Fatal(err)
		}
		if i == 0 {
			q.Begin(key, 7)
		}
	}
	for range 3 {
		*now += 50e6
		q.Clock(*now, 1<<62)
		q.CanBegin(key, 10)
		for _, ok := q.Next(); ok; _, ok = q.Next() {
		}
	}
	if ok, _, _ := q.CanBegin(key, 4); ok {
		t.Fatal("11 of 10 may be under way")
	}
	if ok, _, _ := q.CanBegin(key, 3); !ok {
		t.Fatal("10 of 10 may not")
	}
	q.End(key, 7)
	if ok, _, _ := q.CanBegin(key, 10); !ok {
		t.Fatal("what has ended counts on")
	}
	if err := q.SetLimits(nil); err != nil || len(q.allocations) != 0 {
		t.Fatal("a part of nothing is kept", err)
	}
}
