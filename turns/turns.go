// Package turns decides which gateway of a fleet performs a task that needs only one: probing a member for
// all, or querying a list service that was down. The others wait for its completion notice for a configured
// time and take the task over, in batches of growing size, when none arrives. There is no consensus: two
// gateways may perform a task at once, as in the two halves of a partitioned fleet, but only a few of many do.
// The package does no I/O and has no clock or randomness of its own. docs/fleet.md explains the design.
//
// Call New once. Then, in each round, call Clock with the time, then any of Request, Complete and
// PeerCompleted, which only update state, then Next until it returns false.
package turns

import (
	"cmp"
	"errors"
	"maps"
	"math"
	"math/bits"
	"slices"
)

// Config holds the settings of a gateway's turns. Wait is the same at all gateways of a fleet.
type Config struct {
	Self uint32 // this gateway's number in the fleet
	Wait int64  // for the completion notice of the first gateway, and for that of each further batch, nanoseconds
}

// DefaultWait is the Wait used if none is configured: enough for a probe and a few messages.
const DefaultWait = int64(300e6)

// Check reports the first setting that is out of range.
func (c *Config) Check() error {
	if c.Wait < 1e6 {
		return errors.New("turns: wait must be at least 1ms")
	}
	return nil
}

// idleExpiry is how long a turn that nobody requests is remembered, in nanoseconds.
const idleExpiry = int64(60e9)

// maxTurns is the number of turns remembered.
const maxTurns = 4096

// Candidate is a gateway that may perform a task. Weight is its traffic relative to the others', above 0: a
// gateway with more traffic goes first more often.
type Candidate struct {
	ID     uint32
	Weight float64
}

// DecisionKind is the kind of an action for the host.
type DecisionKind uint8

// Actions for the host.
const (
	Perform DecisionKind = iota // perform the task of Key, notify all gateways, then call Complete
	Wake                        // run one more round in After nanoseconds
)

// Decision is one action for the host to perform.
type Decision struct {
	Kind  DecisionKind
	Key   uint64
	Round uint32
	Batch int // 0 if this gateway goes first, otherwise the number of the takeover batch that it belongs to
	After int64
}

// Turns is one gateway's state of all tasks.
type Turns struct {
	config Config
	now    int64
	turns  map[uint64]*turn
	wakeAt int64
}

type turn struct {
	round           uint32 // next round
	startAt         int64  // when this gateway performs the task unless a completion notice arrives first, 0 if not requested
	batch           int
	running         bool
	lastRequestedAt int64 // last local request or notice from a peer
	completedAt     int64 // last completion, here or at a peer
}

// New creates the state of a gateway.
func New(c Config) (*Turns, error) {
	if err := c.Check(); err != nil {
		return nil, err
	}
	return &Turns{config: c, turns: map[uint64]*turn{}}, nil
}

// Clock begins a round at a time in nanoseconds of a monotonic clock.
func (t *Turns) Clock(now int64) { t.now = now }

// SetSelf sets this gateway's number.
func (t *Turns) SetSelf(self uint32) { t.config.Self = self }

// Request schedules the task of a key at this gateway, unless another candidate completes it first. A task
// that is already scheduled or running is left as it is. recentlyDone is true if the task was completed less
// than Wait ago and need not be repeated.
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

// evictIdle drops turns that nobody requested recently. If too many remain, it drops all that are neither
// scheduled nor running.
func (t *Turns) evictIdle() {
	maps.DeleteFunc(t.turns, func(_ uint64, x *turn) bool {
		return x.startAt == 0 && !x.running && t.now-x.lastRequestedAt > idleExpiry
	})
	if len(t.turns) >= maxTurns {
		maps.DeleteFunc(t.turns, func(_ uint64, x *turn) bool { return x.startAt == 0 && !x.running })
	}
}

// rank returns this gateway's position among the candidates of a round, 0 being the first, by weighted
// rendezvous hashing: the order differs in each round, and twice the weight is first twice as often. Batches
// hold one, two, four and so on ranks.
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

// PeerCompleted records that another gateway performed the task of a key in a round. A task that is scheduled
// here is cancelled, one that is running goes on; awaited is true if there was either. A notice of an earlier
// round neither cancels nor counts.
func (t *Turns) PeerCompleted(key uint64, round uint32) (awaited bool) {
	x := t.getOrCreate(key)
	x.lastRequestedAt = t.now
	if round < x.round { // notice of an earlier round
		return false
	}
	awaited = x.startAt != 0 || x.running
	x.round, x.startAt, x.completedAt = round+1, 0, t.now
	return awaited
}

// Complete records that this gateway has performed the task.
func (t *Turns) Complete(key uint64, round uint32) {
	if x := t.turns[key]; x != nil {
		x.running, x.startAt, x.round, x.completedAt = false, 0, max(x.round, round+1), t.now
	}
}

// Next returns the next decision of this round, or false if there is none.
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

// TurnStatus is the state of one turn at this gateway.
type TurnStatus struct {
	Key     uint64
	Round   uint32 // next round
	Batch   int    `json:"Lot"` // number of the batch that this gateway belongs to
	After   int64  // nanoseconds until this gateway starts, below 0 if it is not scheduled
	Running bool   `json:"Going"`
}

// Status returns all known turns, by key.
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
