package quota

import "testing"

// allocatorOfOneLimit returns an allocator of one limit of 100 txns after its quiet period, and a function that sends it a
// request.
func allocatorOfOneLimit(t *testing.T, kind LimitKind) (q *Quota, now *int64, request func(holder ID, incarnation uint64, item Item) *Item) {
	limit := Limit{Key: KeyOf("x"), Name: "x", Kind: kind, Amount: 100 * UnitsPerTxn, Burst: 40 * UnitsPerTxn}
	config := testConfig
	config.Self, config.Incarnation = 1, 1<<40
	q, err := New(config)
	if err != nil {
		t.Fatal(err)
	}
	now = new(int64)
	*now = second
	q.Clock(*now, 1<<62)
	if err := q.SetLimits([]Limit{limit}); err != nil {
		t.Fatal(err)
	}
	q.SetAssignment(Assignment{Version: 1, Allocators: AssignAllocators(nil, []ID{1})})
	*now += 5 * second
	return q, now, func(holder ID, incarnation uint64, item Item) *Item {
		*now += 1e6
		item.Key = limit.Key
		q.Clock(*now, 1<<62)
		q.Receive(&Message{Kind: AllocationRequest, From: holder, To: 1, Shard: shardOf(limit.Key), AssignmentVersion: 1, Incarnation: incarnation, RequestTime: *now, Items: []Item{item}})
		for d, ok := q.Next(); ok; d, ok = q.Next() {
			if d.Kind == Send && d.Message.Kind == AllocationResponse {
				return &d.Message.Items[0]
			}
		}
		return nil
	}
}

// A holder that requests again just after its grant expired gets a new grant that the allocator
// records. Earlier the response came from the grant that the same request had removed, so that others
// were granted the same units.
func TestRequestAfterGrantExpired(t *testing.T) {
	_, now, request := allocatorOfOneLimit(t, Concurrency)
	first := request(2, 1, Item{Demand: 200 * UnitsPerTxn})
	*now += testConfig.LeaseDuration + testConfig.ClockError + testConfig.MaxEffectDelay + testConfig.MaxTxnDuration
	again := request(2, 1, Item{Sequence: first.Sequence, Demand: 200 * UnitsPerTxn})
	other := request(3, 1, Item{Demand: 200 * UnitsPerTxn})
	if again.Amount == 0 || again.Amount+other.Amount > 100*UnitsPerTxn {
		t.Fatalf("%d and %d of 100 txns are granted", again.Amount/UnitsPerTxn, other.Amount/UnitsPerTxn)
	}
}

// A grant after a time without one has a higher sequence number than any before. Otherwise its holder
// took it for a delayed one, and never held an allocation again.
func TestGrantSequenceNeverRestarts(t *testing.T) {
	_, now, request := allocatorOfOneLimit(t, Concurrency)
	last := uint64(0)
	for range 3 {
		for range 3 {
			x := request(2, 1, Item{Sequence: last, Demand: 5})
			if x.Sequence <= last {
				t.Fatalf("sequence number %d after %d", x.Sequence, last)
			}
			last = x.Sequence
		}
		*now += 10 * second
	}
}

// The work of a killed holder goes on at members: its allocation is not granted again before that has
// ended. The allocation of a rate is granted again at once, as nothing spends it.
func TestAllocationOfKilledHolder(t *testing.T) {
	for kind, minAmount := range map[LimitKind]int64{Concurrency: 0, Rate: 70 * UnitsPerTxn} {
		_, _, request := allocatorOfOneLimit(t, kind)
		first := request(2, 1, Item{Demand: 100 * UnitsPerTxn})
		request(2, 1, Item{Sequence: first.Sequence, Amount: first.Amount, Used: first.Amount, Demand: 100 * UnitsPerTxn})
		x := request(2, 2, Item{Demand: 70 * UnitsPerTxn})
		if x.Amount < minAmount || kind == Concurrency && x.Amount > 0 {
			t.Errorf("kind %d: %d units after a restart, %d were held before", kind, x.Amount, first.Amount)
		}
	}
}

// A holder that was paused until its grant had expired and gone to others reports work that has ended by
// then. It gets nothing for that before others return units (seed 1367).
func TestWorkOfExpiredHolder(t *testing.T) {
	_, now, request := allocatorOfOneLimit(t, Concurrency)
	first := request(2, 1, Item{Demand: 30})
	*now += 10 * second
	request(3, 1, Item{Demand: 200 * UnitsPerTxn})
	x := request(2, 1, Item{Sequence: first.Sequence, Amount: 30, Used: 30, Demand: 30})
	if x.Amount > 0 {
		t.Fatalf("%d units are granted although another holder has the whole limit", x.Amount)
	}
}

// A single txn larger than a limit of bytes takes all of it once no other holder has any, and returns
// it.
func TestTxnLargerThanLimit(t *testing.T) {
	q, now, _ := allocatorOfOneLimit(t, Concurrency)
	key := KeyOf("x")
	units := q.ClampToLimit(key, 1<<40)
	q.Clock(*now, 1<<62)
	nextRound := func() {
		*now += 100e6
		q.Clock(*now, 1<<62)
		for _, ok := q.Next(); ok; _, ok = q.Next() {
		}
	}
	if ok, retryAfter, unallocated := q.CanBegin(key, units); ok || !unallocated || retryAfter <= 0 {
		t.Fatal(ok, retryAfter, unallocated)
	}
	nextRound()
	if ok, _, _ := q.CanBegin(key, units); !ok {
		t.Fatal("a single txn above the limit may not begin")
	}
	q.Begin(key, units)
	if ok, _, _ := q.CanBegin(key, 1); ok {
		t.Fatal("another txn may begin at the same time")
	}
	q.End(key, units)
	nextRound()
	if ok, _, _ := q.CanBegin(key, 1); !ok {
		t.Fatal("the units were not returned")
	}
}

// All holders together are within a lowered limit once each has received its next response and confirmed
// it in a request; nothing is granted until then.
func TestLimitLowered(t *testing.T) {
	q, _, request := allocatorOfOneLimit(t, Concurrency)
	grants := map[ID]*Item{}
	round := func() (sum int64) {
		for id := ID(2); id < 6; id++ {
			x := Item{Demand: 40 * UnitsPerTxn}
			if g := grants[id]; g != nil {
				x.Sequence, x.Amount = g.Sequence, g.Amount
			}
			grants[id] = request(id, 1, x)
			sum += grants[id].Amount
		}
		return sum
	}
	round()
	round()
	if sum := round(); sum > 100*UnitsPerTxn || sum < 90*UnitsPerTxn {
		t.Fatalf("%d of 100 txns are allocated", sum/UnitsPerTxn)
	}
	if err := q.SetLimits([]Limit{{Key: KeyOf("x"), Name: "x", Kind: Concurrency, Amount: 30 * UnitsPerTxn}}); err != nil {
		t.Fatal(err)
	}
	round()
	if sum := round(); sum > 30*UnitsPerTxn {
		t.Fatalf("%d of 30 txns are allocated", sum/UnitsPerTxn)
	}
	if sum := round(); sum < 27*UnitsPerTxn || sum > 30*UnitsPerTxn {
		t.Fatalf("%d of 30 txns are allocated", sum/UnitsPerTxn)
	}
}

// An allocator that does not respond to one gateway is replaced only if a majority of voters has
// reported and none of them reaches it. Shards of the others stay, and a gateway that is not admitted
// gets none.
func TestReplaceAllocator(t *testing.T) {
	candidates := func(reachable ...ID) (all []Candidate) {
		for _, id := range []ID{1, 2, 3, 4} {
			c := Candidate{ID: id, Admitted: id != 4}
			for _, h := range reachable {
				c.Reachable = c.Reachable || h == id
			}
			all = append(all, c)
		}
		return all
	}
	first, ok := ReplaceAllocator(nil, 0, candidates(1, 2, 3, 4), true)
	if !ok || len(first) != Shards {
		t.Fatal(first, ok)
	}
	if next, ok := ReplaceAllocator(first, 1, candidates(1, 2, 3), true); ok {
		t.Fatal("a reachable allocator is replaced: ", next)
	}
	if next, ok := ReplaceAllocator(first, 1, candidates(2, 3), false); ok {
		t.Fatal("replaced without a majority: ", next)
	}
	next, ok := ReplaceAllocator(first, 1, candidates(3), true)
	if !ok {
		t.Fatal("an unreachable allocator is not replaced")
	}
	for shardIndex := range next {
		switch {
		case next[shardIndex] == 1 || next[shardIndex] == 4 || next[shardIndex] == 0:
			t.Fatalf("shard %d: %v after %v", shardIndex, next, first)
		case first[shardIndex] != 1 && next[shardIndex] != first[shardIndex]:
			t.Fatalf("shard %d moved: %v after %v", shardIndex, next, first)
		}
	}
}

// Work in progress while a limit is removed and restored counts against it again, until it ends.
func TestLimitRemovedAndRestored(t *testing.T) {
	q, now, _ := allocatorOfOneLimit(t, Concurrency)
	key, limit := KeyOf("x"), Limit{Key: KeyOf("x"), Name: "x", Kind: Concurrency, Amount: 10}
	for i, limits := range [][]Limit{{limit}, nil, {limit}} {
		if err := q.SetLimits(limits); err != nil {
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
		t.Fatal("11 of 10 units may be in use")
	}
	if ok, _, _ := q.CanBegin(key, 3); !ok {
		t.Fatal("10 of 10 units may not be in use")
	}
	q.End(key, 7)
	if ok, _, _ := q.CanBegin(key, 10); !ok {
		t.Fatal("ended work still counts")
	}
	if err := q.SetLimits(nil); err != nil || len(q.allocations) != 0 {
		t.Fatal("an allocation of a removed limit is kept", err)
	}
}
