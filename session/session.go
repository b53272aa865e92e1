// Package session decides which log position a session's read must see, whichever gateways the session's writes went
// through and whichever of them have failed since.
//
// Invariant: for every session read that arrives here, each write of that session that any gateway had answered as
// committed before the read was sent lies at or below the floor that the read is given. docs/sessions.md has the
// proof; its lemmas are the ones that the tests name.
//
// The module is called like the one in decide: New once; then, for each round, SetTime with the time, then any inputs,
// which only update the state; then Next until it reports no further decision. It does no input or output, reads no
// clock and starts no goroutine; the same inputs give the same decisions.
//
// marks.go holds the watermarks of sessions, peers.go the state of other gateways, fences.go the waiting reads and the
// requests that they wait for, repeats.go the keyed writes that were sent before.
package session

import (
	"fmt"
	"math/rand/v2"
)

// Position is a position in a group's log as the group reports it, in nanoseconds of its primary's Unix time; 0 is none.
type Position int64

// DecisionKind is the action that a decision asks of the host.
type DecisionKind uint8

const (
	Serve          DecisionKind = iota // route ReadID, which must see at least Floor; 0 is nothing to wait for
	Refuse                             // refuse ReadID, of which nothing was sent; the client may retry after Delay
	Fence                              // ask the primary of Group for its position by routing ReadID there, as request RequestID; Floor bounds the position that its client sent
	RequestEntries                     // ask Peer for its entries after Page.Last of Page.Epoch, as request RequestID
	SendEntries                        // send Peer a page of this gateway's entries in response to RequestID, 0 for none
	Wake                               // run a round after Delay
	Log                                // log Text
)

// Decision is one action for the host; Kind determines which fields are used.
type Decision struct {
	Kind      DecisionKind
	ReadID    uint64
	Group     int
	Peer      int
	RequestID uint64
	Floor     Position
	Delay     int64 // nanoseconds
	Page      Page
	Text      string
}

// Page is a part of a gateway's entry log, in the order of its sequence numbers.
type Page struct {
	Epoch   uint64 // of the entry log, which is numbered from 1 within it
	Last    uint64 // the highest sequence number when the page was made
	First   uint64 // sequence number of the first entry
	Entries []Entry
}

// Kinds of entries.
const (
	CommitEntry     EntryKind = iota // a session's write was answered as committed
	KeyedWriteEntry                  // a keyed write was sent to a member
)

// EntryKind is the event that an entry records.
type EntryKind uint8

// Entry is one event in a gateway's entry log.
type Entry struct {
	Kind     EntryKind
	Group    int
	Key      uint64   // the session, or the key
	Position Position // of the commit; 0 for KeyedWriteEntry
	Age      int64    // nanoseconds since it was recorded, on the clock of its gateway
}

// FloorSource selects how reads get their floors. All but SourceEntries are baselines for comparison.
type FloorSource string

const (
	SourceEntries FloorSource = "covered" // the entries of all gateways, or the primary's position
	SourcePrimary FloorSource = "fenced"  // the primary's position for every read
	SourceLocal   FloorSource = "own"     // this gateway's entries alone: unsound, for comparison
)

// Config holds the operator's settings for sessions.
type Config struct {
	Self, FleetSize   int         // this gateway's index among all gateways, and their number
	DynamicMembership bool        // both of these come from SetMembership, and change
	Source            FloorSource // SourceEntries if empty
	PeerTimeout       int64       // how long a query to all gateways may take before the primary is asked instead
	FenceTimeout      int64       // how long a fence may take before it is requested again
	WatermarkExpiry   int64       // how long a watermark is kept before the floor of its group replaces it
	KeyedWriteExpiry  int64       // how long a keyed write is kept; later repeats are not recognized
	MaxWatermarks     int         // limit on the watermarks, and on the keyed writes, that are kept
	MessagesPerTxn    float64     // messages between gateways for each txn, both directions counted
	KeepaliveInterval int64       // interval between requests to each peer; longer in large fleets, see keepaliveInterval
	RetryAfter        int64       // delay that is reported to refused clients
}

// DefaultConfig returns the settings that apply where the operator sets nothing. docs/results.md has the measurements
// that they follow from.
func DefaultConfig() Config {
	return Config{FleetSize: 1, Source: SourceEntries, PeerTimeout: 10e6, FenceTimeout: 50e6, WatermarkExpiry: 10e9,
		KeyedWriteExpiry: 60e9, MaxWatermarks: 100_000, MessagesPerTxn: 4, KeepaliveInterval: 250e6, RetryAfter: 200e6}
}

// Validate returns an error that names the first setting out of range.
func (c *Config) Validate() error {
	outOfRange := func(name string) error { return fmt.Errorf("sessions: %s is out of range", name) }
	switch {
	case c.FleetSize < 1 || c.FleetSize > 4096:
		return outOfRange("fleet")
	case c.Self < 0 || c.Self >= c.FleetSize:
		return outOfRange("self")
	case c.Source != SourceEntries && c.Source != SourcePrimary && c.Source != SourceLocal:
		return outOfRange("source")
	case c.PeerTimeout <= 0:
		return outOfRange("peer_wait")
	case c.FenceTimeout <= 0:
		return outOfRange("fence_wait")
	case c.WatermarkExpiry < positionSettleTime:
		return outOfRange("span")
	case c.KeyedWriteExpiry <= 0:
		return outOfRange("key_span")
	case c.MaxWatermarks < 1:
		return outOfRange("most_marks")
	case c.MessagesPerTxn < 0:
		return outOfRange("messages_per_txn")
	case c.KeepaliveInterval <= 0:
		return outOfRange("keepalive")
	}
	return nil
}

// Durations and sizes that operators do not set. Durations are in nanoseconds.
const (
	// Positions and floors.
	positionSettleTime = 1e9 // a position that its primary has not reached this long after it was reported is out of reach

	// Entry log and its pages.
	maxPageEntries     = 8    // fit into one message of 256 bytes
	maxCatchUpPages    = 4    // pages that answer one request; a peer that misses more is fenced instead
	maxRetainedEntries = 4096 // entries that can be sent again
	pushDelay          = 2e6  // an entry is sent unrequested after this delay, or once a page is full

	// Peer queries and the message budget.
	maxQueryCostTxns      = 16   // txns whose messages one query may cost; fleets too large for it are fenced
	maxQueryAttempts      = 3    // times that a query is sent to a peer that has not responded
	idleMessagesPerSecond = 50.0 // earned without any txn, so that unresponsive peers can be asked
	minKeepaliveWakeDelay = 20e6 // between rounds that wait for the message budget alone
	minWakeDelay          = 1e5  // between rounds that no input causes

	// Reads and fences.
	deadlineReserveDivisor = 8    // a read's time divided by this is reserved for the way to a member
	minDeadlineReserve     = 20e6 // and at least this long
	maxPendingFences       = 64   // fences of a group in flight
	fenceDurations         = 2    // times as long as the last one a fence may take before the next is asked
	maxFenceTimeouts       = 8    // and at most so many times FenceTimeout
	fenceRetryInterval     = 5e6  // a fence that failed is requested again after this

	// Keyed writes.
	keyedWriteMargin = 50e6 // reserved of a window for the unknown transit time of a message

	nonContiguousPage = 1 << 62 // as Page.First: the entries are a selection, not a contiguous part of the log
)

// Sessions is one instance of the module.
type Sessions struct {
	config        Config
	now           int64
	epoch         uint64
	rng           *rand.Rand
	lastRequestID uint64

	watermarks  watermarks
	groups      []*group // by number
	groupsByID  map[int]*group
	reads       map[uint64]*read
	lastArrival uint64 // arrival number of the latest read
	lossCount   uint64 // how often entries were lost to this gateway: gaps, ended gateways, commits without a position

	peers         []peer // by number; only those in otherGateways are used
	otherGateways []int  // numbers of all other gateways, in order
	membership    *Membership
	leaseExpiry   int64 // until then the membership may be acted on
	hadLease      bool  // it was valid at some time since the start
	endedVersion  uint64
	entryLog      entryLog
	query         peerQuery

	keyedWrites     keyedWrites
	messageBudget   float64 // messages that may be sent
	budgetUpdatedAt int64   // when the budget was last increased by elapsed time

	tracksChanges bool
	changes       []Change

	decisions []Decision
	logLines  []string
	nextWake  int64
	stats     Stats
}

// Stats counts decisions, for metrics.
type Stats struct {
	Reads, Trusted, Covered, Fenced, Refused uint64 // reads; those by a client's position, by entries and by fences
	WaitTime                                 int64  // nanoseconds that reads waited, in all
	EntryRequests, PagesSent, FenceRequests  uint64 // messages and requests sent
	Watermarks                               int    // watermarks held
	EntryLosses                              uint64 // gaps in the entries of other gateways, ended gateways, commits without a position
}

// New returns an instance without any state. The epoch must differ at each start, unless Restore brings back the
// entry log of the last run.
func New(c Config, seed, epoch uint64) (*Sessions, error) {
	if c.Source == "" {
		c.Source = SourceEntries
	}
	if err := c.Validate(); err != nil {
		return nil, err
	}
	s := &Sessions{config: c, epoch: epoch, rng: rand.New(rand.NewPCG(seed, epoch)), groupsByID: map[int]*group{},
		reads: map[uint64]*read{}, peers: make([]peer, c.FleetSize), lossCount: 1}
	s.lastRequestID = s.rng.Uint64() >> 1 // leaves room to increase
	for i := range c.FleetSize {
		if i != c.Self && !c.DynamicMembership {
			s.otherGateways = append(s.otherGateways, i)
		}
	}
	s.watermarks.init()
	s.keyedWrites.init()
	s.messageBudget = s.maxMessageBudget()
	return s, nil
}

// canQueryPeers reports whether a query to all gateways is within the message budget of their txns. In a fleet where
// it never is, commits are not sent between gateways either: a fence covers every read.
func (s *Sessions) canQueryPeers() bool {
	return s.config.Source == SourceEntries && len(s.otherGateways) > 0 &&
		float64(2*len(s.otherGateways)) <= maxQueryCostTxns*s.config.MessagesPerTxn
}

// SetTime begins a round.
func (s *Sessions) SetTime(now int64) {
	if s.budgetUpdatedAt == 0 {
		s.budgetUpdatedAt = now
	}
	s.now = now
	s.addMessageBudget(float64(now-s.budgetUpdatedAt) / 1e9 * idleMessagesPerSecond)
	s.budgetUpdatedAt = now
}

func (s *Sessions) maxMessageBudget() float64 { return float64(2*s.fleetSize() + 64) }

func (s *Sessions) addMessageBudget(messages float64) {
	s.messageBudget = min(s.maxMessageBudget(), s.messageBudget+messages)
}

// Next returns the next decision of this round, or false if there is none left.
func (s *Sessions) Next() (Decision, bool) {
	if len(s.decisions) == 0 {
		s.processReads()
		s.pushEntries()
		s.sendKeepalives()
		s.expireOld()
	}
	if len(s.logLines) > 0 {
		text := s.logLines[0]
		s.logLines = s.logLines[1:]
		return Decision{Kind: Log, Text: text}, true
	}
	if len(s.decisions) > 0 {
		d := s.decisions[0]
		if s.decisions = s.decisions[1:]; len(s.decisions) == 0 {
			s.decisions = nil
		}
		return d, true
	}
	if at := s.nextDeadline(); at > 0 && (s.nextWake <= s.now || at < s.nextWake) {
		s.nextWake = at
		return Decision{Kind: Wake, Delay: max(minWakeDelay, at-s.now)}, true
	}
	return Decision{}, false
}

func (s *Sessions) log(format string, a ...any) {
	s.logLines = append(s.logLines, fmt.Sprintf(format, a...))
}

// Stats returns the counts so far.
func (s *Sessions) Stats() Stats {
	stats := s.stats
	stats.Watermarks = len(s.watermarks.bySession)
	return stats
}
