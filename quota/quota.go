// Package quota divides fleet-wide limits among gateways so that their sum is never exceeded: a
// tenant's transaction rate, its transactions and bytes in flight, and its connections. Limits are
// spread over shards by key, and the fleet agrees on one gateway as the allocator of each shard
// (package agreement). The allocator grants allocations for a lease. A holder spends no more than its
// allocation, even while it is cut off from the rest, and nothing after its lease has expired.
// docs/fleet.md has the safety argument.
//
// Usage: call New once. In each round call Clock with the time, then any of the methods that update
// the known state, then Next until it reports that no decision is left. CanBegin, Begin and End are
// called for each transaction and change only this gateway's allocation. The package does no I/O,
// reads no clock and draws no random numbers.
//
// quota.go has the public interface, holder.go the allocations that this gateway holds and spends,
// keeper.go the allocator, and offices.go the assignment of shards to allocators.
package quota

import (
	"errors"
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"strings"

	"magpieglade/agreement"
)

// ID identifies a gateway, as in package agreement.
type ID = agreement.ID

// Config holds the settings of the quota. All are the same on every gateway of a fleet, except Self
// and Incarnation. Times are in nanoseconds.
type Config struct {
	Self ID
	// Incarnation increases at each start by more than the number of grants that the previous one made;
	// nanoseconds of Unix time will do.
	Incarnation    uint64
	LeaseDuration  int64 // of an allocation, counted from when it was requested
	ClockError     int64 // maximum difference between two clocks over one lease
	MaxEffectDelay int64 // maximum time from a decision to its effect
	MaxTxnDuration int64 // maximum duration of any transaction type: work may go on for this long after it began
}

// Validate returns an error that names the first setting out of range.
func (c *Config) Validate() error {
	switch {
	case c.Self == 0:
		return errors.New("quota: self is not set")
	case c.LeaseDuration < 200e6:
		return errors.New("quota: lease must be at least 200ms")
	case c.ClockError <= 0 || c.MaxEffectDelay <= 0 || c.MaxTxnDuration < 0:
		return errors.New("quota: clock_error and turn must be positive, and the maximum txn duration must not be negative")
	}
	return nil
}

// LimitKind says what a limit counts.
type LimitKind uint8

// Rate limits units per second, with a burst that may come at once. Concurrency limits units held at
// the same time.
const (
	Rate LimitKind = iota
	Concurrency
)

// UnitsPerTxn is the number of rate units in one transaction: allocations of a rate are finer than
// transactions.
const UnitsPerTxn = 1000

// Limit is a fleet-wide limit. Amount and Burst of a rate are in units of 1/UnitsPerTxn of a
// transaction.
type Limit struct {
	Key    uint64 // KeyOf(Name)
	Name   string
	Kind   LimitKind
	Amount int64
	Burst  int64
}

// KeyOf returns the key of a limit by its name. It is never 0.
func KeyOf(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return max(1, h.Sum64())
}

// Shards is the number of shards: enough to spread the load of allocators, few enough to list the
// allocator of each on one line.
const Shards = 8

// shardOf returns the shard of a limit.
func shardOf(key uint64) int { return int(key % Shards) }

// Durations are in nanoseconds.
const (
	// Requests of a holder.
	renewalsPerLease   = 8            // requests to renew an allocation within one lease
	emptyRetryInterval = 20e6         // minimum time between requests after a refusal while no allocation is held
	retryInterval      = int64(100e6) // the same while an allocation is held
	idleTimeout        = 2000e6       // after this long without demand a holder returns its allocation and stops requesting
	maxItems           = 16           // limits in one message
	minWakeDelay       = 1e6          // minimum time until a round that only a wake-up causes
	// An allocator is unresponsive after this many requests without a response, over half a lease at least.
	maxUnanswered = 5

	// Demand and rates.
	demandWindow      = 200e6  // window in which demand is measured
	longDemandWindow  = 1500e6 // second window for the demand of a rate
	headroomDivisor   = 16     // 1/16 of the demand is granted in addition to it
	clockDriftDivisor = 64     // rates are spent 1/64 slower, as clocks may drift apart by that much

	// Work of an allocator.
	sweepInterval = int64(20e6) // time between removals of expired grants, and between computations of shares of many holders
	// Shares of a limit with at most this many holders are computed for each request.
	maxHoldersUncached = 64
)

// MaxFirstWait is how long a transaction may be held, in nanoseconds, while a first allocation is
// requested.
const MaxFirstWait = int64(25e6)

// MessageKind distinguishes messages between gateways.
type MessageKind uint8

// A holder sends an AllocationRequest to an allocator, which replies with an AllocationResponse.
const (
	AllocationRequest MessageKind = iota + 1
	AllocationResponse
)

// Message is sent from one gateway to another. The transport authenticates From. A message may be
// lost, delayed or delivered twice.
type Message struct {
	Kind              MessageKind
	From, To          ID
	Shard             int
	AssignmentVersion uint64 // version of the assignment that the sender acts on
	Incarnation       uint64 // of the requester
	RequestTime       int64  // time of the request by the requester's clock; the response echoes it
	Items             []Item
}

// Item is one limit in a message. In a request, Amount is what the requester limits itself to and
// Sequence identifies the latest grant that it received. In a response, Amount is what is granted, and
// Sequence identifies this grant.
type Item struct {
	Key      uint64
	Sequence uint64
	Amount   int64
	Used     int64 // of a concurrency limit
	Demand   int64 // recent demand
	Burst    int64 // of a rate: maximum tokens that the holder may accumulate
	Tokens   int64 // of a rate: tokens that come with the grant
}

// DecisionKind says what the host has to do.
type DecisionKind uint8

// Kinds of decisions.
const (
	Send DecisionKind = iota // send Message
	// Allocator does not respond: have the fleet agree on another one for its shards, unless other
	// gateways reach it.
	Reassign
	Wake // run another round After this many nanoseconds
	Log  // log Text
)

// Decision is one action for the host.
type Decision struct {
	Kind      DecisionKind
	Message   Message
	Allocator ID
	After     int64
	Text      string
}

// Quota is the state of one gateway, both as a holder of allocations and as an allocator.
type Quota struct {
	config      Config
	now         int64
	leaseUntil  int64 // until when this gateway may act on what the fleet agreed on
	limits      map[uint64]*Limit
	keys        []uint64 // sorted
	allocations map[uint64]*allocation
	shards      [Shards]shard
	assignment  Assignment
	requests    [Shards]requestState
	responses   int // number of responses received
	pending     []Decision
	wakeAt      int64
}

// New returns a Quota that holds no allocation.
func New(config Config) (*Quota, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	return &Quota{config: config, limits: map[uint64]*Limit{}, allocations: map[uint64]*allocation{}}, nil
}

// Clock begins a round. leaseUntil is the time, by the same clock, until which this gateway may act on
// what the fleet agreed on.
func (q *Quota) Clock(now, leaseUntil int64) { q.now, q.leaseUntil = now, leaseUntil }

// SetLimits replaces all limits of the fleet. While one version of the limits replaces another, the
// caller passes the lower of both.
func (q *Quota) SetLimits(list []Limit) error {
	limits := map[uint64]*Limit{}
	for i := range list {
		limit := list[i]
		if other := limits[limit.Key]; other != nil && other.Name != limit.Name {
			return fmt.Errorf("quota: limits %q and %q have the same key", limit.Name, other.Name)
		}
		if limit.Amount <= 0 || limit.Kind == Rate && limit.Burst < UnitsPerTxn {
			return fmt.Errorf("quota: amount or burst of limit %q is out of range", limit.Name)
		}
		limits[limit.Key] = &limit
	}
	q.limits, q.keys = limits, slices.Sorted(maps.Keys(limits))
	for key, alloc := range q.allocations {
		switch limit := limits[key]; {
		case limit != nil:
			alloc.limit = limit
		case alloc.used == 0:
			delete(q.allocations, key)
		default: // work in progress counts again if the limit comes back
			alloc.amount, alloc.expiry, alloc.requested = 0, 0, false
		}
	}
	for i := range q.shards {
		maps.DeleteFunc(q.shards[i].limits, func(key uint64, _ *limitState) bool { return limits[key] == nil })
	}
	return nil
}

// Receive handles a message from another gateway.
func (q *Quota) Receive(m *Message) {
	if m.To != q.config.Self || m.Shard < 0 || m.Shard >= Shards {
		return
	}
	switch m.Kind {
	case AllocationRequest:
		q.handleRequest(m)
	case AllocationResponse:
		q.handleResponse(m)
	}
}

// Next returns one decision of this round, or false if none is left.
func (q *Quota) Next() (Decision, bool) {
	if len(q.pending) == 0 {
		q.sendRequests()
	}
	if len(q.pending) > 0 {
		d := q.pending[0]
		q.pending = q.pending[1:]
		return d, true
	}
	if at := q.nextDeadline(); at > 0 {
		if at = max(at, q.now+minWakeDelay); q.wakeAt <= q.now || at < q.wakeAt {
			q.wakeAt = at
			return Decision{Kind: Wake, After: at - q.now}, true
		}
	}
	return Decision{}, false
}

func (q *Quota) send(m Message) {
	m.From = q.config.Self
	if m.To == q.config.Self {
		q.Receive(&m)
		return
	}
	q.pending = append(q.pending, Decision{Kind: Send, Message: m})
}

func (q *Quota) log(format string, args ...any) {
	q.pending = append(q.pending, Decision{Kind: Log, Text: fmt.Sprintf(format, args...)})
}

// Limits returns all limits, sorted by name.
func (q *Quota) Limits() (limits []Limit) {
	for _, key := range q.keys {
		limits = append(limits, *q.limits[key])
	}
	slices.SortFunc(limits, func(x, y Limit) int { return strings.Compare(x.Name, y.Name) })
	return limits
}

// ResponseCount returns the number of responses received so far. While it is unchanged, nothing has
// changed for a transaction that waits for an allocation.
func (q *Quota) ResponseCount() int { return q.responses }

// Allocator returns the allocator of a limit, or 0 if there is none.
func (q *Quota) Allocator(key uint64) ID { return q.assignment.allocator(shardOf(key)) }
