// Package turns decides which gateway of a fleet goes first where one is enough: to probe a member for all, to ask a list
// service that was down. The others wait for its word for a stated time and take the turn over, ever more of them, when it is
// silent. Nothing is agreed on: two may go at once, as they do in two halves of a fleet that is cut, but few of many do.
// It runs without input or output, clock or chance of its own. docs/fleet.md has the argument.
//
// How it is called: New once; then, for each round, Clock with the time, then any of Ask, Did and Word, which only update
// what is known; then Next until it says there is no more.
package turns

import (
	"cmp"
	"errors"
	"maps"
	"math"
	"math/bits"
	"slices"
)

// Config are what all gateways of a fleet have alike.
type Config struct {
	Self uint32 // this gateway's number in the fleet
	Wait int64  // for the word of who goes first, and for that of each further lot, nanoseconds
}

// DefaultWait is Wait for who does not say: a probe and some messages fit in.
const DefaultWait = int64(300e6)

// Check names the first term that is out of range.
func (t *Config) Check() error {
	if t.Wait < 1e6 {
		return errors.New("turns: wait is shorter than 1ms")
	}
	return nil
}

// idleExpiry is how long a turn that nobody asks for is remembered. Ours.
const idleExpiry = int64(60e9)

// maxTurns are remembered.
const maxTurns = 4096

// Candidate is a gateway that may go, and its traffic against others', above 0: who has more of it goes more often.
type Candidate struct {
	ID     uint32
	Weight float64
}

// DecisionKind is what the host is to do.
type DecisionKind uint8

// What it is to do.
const (
	Perform DecisionKind = iota // do what Key stands for, tell all, then call Did
	Wake                        // one more round After so many nanoseconds
)

// Decision is one thing for the host to do.
type Decision struct {
	Kind  DecisionKind
	Key   uint64
	Round uint32
	Batch int // 0 where it goes first, else in the how manieth lot that takes the turn over
	After int64
}

// Turns is one gateway's part.
type Turns struct {
	config Config
	now    int64
	turns  map[uint64]*turn
	wakeAt int64
}

type turn struct {
	round           uint32 // that comes next
	startAt         int64  // when this gateway goes, if nobody's word comes, 0 for not asked
	batch           int
	running         bool
	lastRequestedAt int64 // when it was last asked for or told of
	completedAt     int64 // when it was last done, here or as another's word came
}

// New makes the part of a gateway.
func New(t Config) (*Turns, error) {
	if err := t.Check(); err != nil {
		return nil, err
	}
	return &Turns{config: t, turns: map[uint64]*turn{}}, nil
}

// Clock begins a round. Times are nanoseconds of a clock that never goes back.
func (t *Turns) Clock(now int64) { t.now = now }

// SetSelf tells this gateway's number.
func (t *Turns) SetSelf(self uint32) { t.config.Self = self }

// Request says that this gateway would do what a key stands for, if none of the others among does. One that it asked for already,
// or is about to do, goes on; fresh tells that it was done a moment ago, and need not be again.
func (t *Turns) Request(key uint64, candidates []Candidate) (recentlyDone bool) {
	x := t.getOrCreate(key)
	if x.lastRequestedAt = t.now; x.startAt != 0 || x.running {
		return false
	}
	if x.completedAt != 0 && t.now-x.completedAt < t.config.Wait {
		return true
	}
	x.batch = bits.Len(uint(t.rank(key, x.round, candidates)+1)) - 1
	x.startAt = t.now + int64(x.batch)*t.config.Wait
	return false
}

func (t *Turns) getOrCreate(key uint64) *turn {
	x := t.turns[key]
	if x == nil {
		if len(t.turns) >= maxTurns {
			t.evictIdle()
		}
		x = &turn{}
		t.turns[key] = x
	}
	return x
}

// evictIdle forgets turns that nobody asked for of late; if there are too many all the same, those whose word is awaited stay.
func (t *Turns) evictIdle() {
	maps.DeleteFunc(t.turns, func(_ uint64, x *turn) bool {
		return x.startAt == 0 && !x.running && t.now-x.lastRequestedAt > idleExpiry
	})
	if len(t.turns) >= maxTurns {
		maps.DeleteFunc(t.turns, func(_ uint64, x *turn) bool { return x.startAt == 0 && !x.running })
	}
}

// rank is this gateway's among the candidates for a round, by weighted rendezvous hashing: another order each round, in
// which who has twice the weight is twice as often first. 0 is the first; lots are of one, two, four and so on.
func (t *Turns) rank(key uint64, round uint32, candidates []Candidate) (rank int) {
	score := func(c Candidate) float64 {
		x := key ^ uint64(round)*0x9e3779b97f4a7c15 ^ uint64(c.ID)<<32
		x ^= x >> 33 // MurmurHash3's finalizer
		x *= 0xff51afd7ed558ccd
		x ^= x >> 33
		x *= 0xc4ceb9fe1a85ec53
		x ^= x >> 33
		return -math.Log((float64(x>>11)+0.5)/(1<<53)) / max(1e-9, c.Weight)
	}
	i := slices.IndexFunc(candidates, func(c Candidate) bool { return c.ID == t.config.Self })
	if i < 0 {
		return len(candidates)
	}
	mine := score(candidates[i])
	for _, c := range candidates {
		if s := score(c); s < mine || s == mine && c.ID < t.config.Self {
			rank++
		}
	}
	return rank
}

// PeerCompleted takes another gateway's that it did what a key stands for in a round. One that this gateway waits for is so over; it
// is told whether it was.
func (t *Turns) PeerCompleted(key uint64, round uint32) (awaited bool) {
	x := t.getOrCreate(key)
	x.lastRequestedAt = t.now
	if round < x.round { // of one before
		return false
	}
	awaited = x.startAt != 0 || x.running
	x.round, x.startAt, x.completedAt = round+1, 0, t.now
	return awaited
}

// Complete tells that this gateway has done it.
func (t *Turns) Complete(key uint64, round uint32) {
	if x := t.turns[key]; x != nil {
		x.running, x.startAt, x.round, x.completedAt = false, 0, max(x.round, round+1), t.now
	}
}

// Next gives one decision of this round, or says that there is none left.
func (t *Turns) Next() (Decision, bool) {
	first := int64(0)
	for _, key := range slices.SortedFunc(maps.Keys(t.turns), func(x, y uint64) int { return cmp.Compare(x, y) }) {
		x := t.turns[key]
		if x.startAt == 0 {
			continue
		}
		if t.now >= x.startAt {
			x.startAt, x.running = 0, true
			return Decision{Kind: Perform, Key: key, Round: x.round, Batch: x.batch}, true
		}
		if first == 0 || x.startAt < first {
			first = x.startAt
		}
	}
	if first > 0 && (t.wakeAt <= t.now || first < t.wakeAt) {
		t.wakeAt = first
		return Decision{Kind: Wake, After: max(first-t.now, 1e6)}, true
	}
	return Decision{}, false
}

// TurnStatus is how a turn stands at this gateway.
type TurnStatus struct {
	Key     uint64
	Round   uint32 // that comes next
	Batch   int    `json:"Lot"` // in which it goes
	After   int64  // nanoseconds until then, below 0 where it waits for nothing
	Running bool   `json:"Going"`
}

// Status are the turns that it knows of, by key.
func (t *Turns) Status() (all []TurnStatus) {
	for _, key := range slices.Sorted(maps.Keys(t.turns)) {
		x := t.turns[key]
		s := TurnStatus{Key: key, Round: x.round, Batch: x.batch, Running: x.running, After: -1}
		if x.startAt != 0 {
			s.After = max(0, x.startAt-t.now)
		}
		all = append(all, s)
	}
	return all
}
