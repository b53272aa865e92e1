// Package session decides which log position a session's read must see, however many gateways the session's
// writes went through and whichever of them have died since.
//
// The statement that it keeps: for every session read that arrives here, each write of that session that any
// gateway had answered as committed before the read was sent lies at or below the floor that the read is given.
// docs/sessions.md has the argument, by the lemmas that the tests name.
//
// How it is called, as the module in decide: New once; then, for each round, Clock with the time, then any inputs,
// which only update what is known; then Next until it says there is no more. It does no input or output, reads no
// clock and starts no goroutine; the same inputs give the same decisions.
//
// marks.go has what is known of sessions, peers.go what is known of other gateways, fences.go the reads that wait and
// the questions that they wait for, repeats.go keyed writes that were sent before.
package session

import (
	"fmt"
	"math/rand/v2"
)

// Position is a place in a group's log as the group tells it, in nanoseconds of its primary's Unix time; 0 is none.
type Position int64

// DecisionKind is what a decision asks of the host.
type DecisionKind uint8

const (
	Serve          DecisionKind = iota // Read goes to the routing, to see at least Floor; 0 is nothing to wait for
	Refuse                             // Read is refused, nothing of it was sent; come back After
	Fence                              // ask the primary of Group for its position, as question No
	RequestEntries                     // Peer what it noted after Page.Last of Page.Epoch, as question No
	SendEntries                        // Peer a page of what was noted here, as the answer to No, 0 for none
	Wake                               // a round After this span
	Log                                // Text
)

// Decision is one thing for the host to do; which fields count depends on Kind.
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

// Page is a stretch of what a gateway noted, in the order of its numbers.
type Page struct {
	Epoch   uint64 // of the gateway's notes, which are numbered from 1 within it
	Last    uint64 // the highest number when the page was made
	First   uint64 // number of the first entry
	Entries []Entry
}

// What an entry notes.
const (
	CommitEntry     EntryKind = iota // a session's write was answered as committed
	KeyedWriteEntry                  // a keyed write was sent to a member
)

// EntryKind is what an entry notes.
type EntryKind uint8

// Entry is one thing that a gateway noted.
type Entry struct {
	Kind     EntryKind
	Group    int
	Key      uint64   // the session, or the key
	Position Position // of the commit; 0 for Sent
	Age      int64    // nanoseconds since it was noted, on the clock of its gateway
}

// FloorSource is how reads get their floors, a baseline where it is not Covered.
type FloorSource string

const (
	SourceEntries FloorSource = "covered" // what gateways noted, or the primary's position
	SourcePrimary FloorSource = "fenced"  // the primary's position for every read
	SourceLocal   FloorSource = "own"     // what this gateway noted alone: unsound, for comparison
)

// Config are what the operator says of sessions.
type Config struct {
	Self, FleetSize   int         // this gateway's place among all gateways, and how many there are
	DynamicMembership bool        // both are told by Listed, and change
	Source            FloorSource // Covered if empty
	PeerTimeout       int64       // how long a question to all gateways may take before the primary is asked instead
	FenceTimeout      int64       // how long a fence may take before it is asked for again
	WatermarkExpiry   int64       // how long a mark is kept before the floor of its group takes its place
	KeyedWriteExpiry  int64       // how long a keyed write is kept; repeats after it are not known
	MaxWatermarks     int         // marks, and keyed writes, that are kept at the most
	MessagesPerTxn    float64     // messages between gateways for each txn, both ways counted
	KeepaliveInterval int64       // how often each peer is asked at least
	RetryAfter        int64       // what refused clients are told
}

// DefaultConfig are the terms where the operator says nothing. Sources: ours, by the measurements in docs/results.md.
func DefaultConfig() Config {
	return Config{FleetSize: 1, Source: SourceEntries, PeerTimeout: 10e6, FenceTimeout: 50e6, WatermarkExpiry: 10e9, KeyedWriteExpiry: 60e9, MaxWatermarks: 100_000,
		MessagesPerTxn: 4, KeepaliveInterval: 250e6, RetryAfter: 200e6}
}

// Validate names the first term that is out of range.
func (t *Config) Validate() error {
	wrong := func(name string) error { return fmt.Errorf("sessions: %s is out of range", name) }
	switch {
	case t.FleetSize < 1 || t.FleetSize > 4096:
		return wrong("fleet")
	case t.Self < 0 || t.Self >= t.FleetSize:
		return wrong("self")
	case t.Source != SourceEntries && t.Source != SourcePrimary && t.Source != SourceLocal:
		return wrong("source")
	case t.PeerTimeout <= 0:
		return wrong("peer_wait")
	case t.FenceTimeout <= 0:
		return wrong("fence_wait")
	case t.WatermarkExpiry < settle:
		return wrong("span")
	case t.KeyedWriteExpiry <= 0:
		return wrong("key_span")
	case t.MaxWatermarks < 1:
		return wrong("most_marks")
	case t.MessagesPerTxn < 0:
		return wrong("messages_per_txn")
	case t.KeepaliveInterval <= 0:
		return wrong("keepalive")
	}
	return nil
}

// Spans and sizes that operators do not set.
const (
	settle     = 1e9  // a mark that its primary has not reached this long after it was told is out of reach
	pageSize   = 8    // entries of one message of 256 bytes
	roundTxns  = 16   // txns whose messages a question to all may cost at the most; fleets too large for it are fenced
	roundTries = 3    // times that a question to all is put to who has not answered
	catchUp    = 4    // pages that answer one question; who lacks more is fenced instead
	ringSize   = 4096 // entries that are kept to be told again
	pushAfter  = 2e6  // an entry is told unasked after this span, or once a page is full
	refusePart = 8    // part of its time that a read keeps for the way to a member
	leastLeft  = 20e6 // and at least this much
	idleRate   = 50.0 // messages a second that are earned without any txn, for peers that fell silent
	questions  = 4    // fences of a group under way whose answers still count
	oftenest   = 5e6  // a fence that failed is asked for again after this span
	leastWake  = 1e5  // between rounds that nothing else brings about
	slowWake   = 20e6 // the same for what waits for messages to be earned
	marginSent = 50e6 // kept of a window, for what a message took on its way unseen

	outOfOrder = 1 << 62 // as the first number of a page: its entries are some of those that were noted, not a stretch
)

// Sessions is one instance of the module.
type Sessions struct {
	terms Config
	now   int64
	epoch uint64
	rng   *rand.Rand
	nonce uint64

	marks  marks
	groups []*group // by number
	byID   map[int]*group
	reads  map[uint64]*read
	order  uint64 // of reads by arrival
	loss   uint64 // how often something that gateways noted was lost to this one

	peers  []peer      // by number; those of others are used
	others []int       // numbers of all other gateways, in order
	list   *Membership // that was agreed on
	until  int64       // when it may be acted on
	acted  bool        // it might be, once since the start
	ended  uint64
	notes  notes
	round  round

	keys   keys
	credit float64 // messages that may be sent
	earned int64   // when the last of it was earned by time

	keeps   bool
	changes []Change

	out   []Decision
	lines []string
	wake  int64
	stats Stats
}

// Stats count what was decided, for metrics.
type Stats struct {
	Reads, Trusted, Covered, Fenced, Refused uint64 // reads, and how their floors came about
	WaitTime                                 int64  // nanoseconds that reads waited, in all
	EntryRequests, PagesSent, FenceRequests  uint64 // messages and questions sent
	Watermarks                               int    // marks held
	EntryLosses                              uint64 // breaks in what other gateways noted
}

// New returns an instance that knows nothing. The epoch is to be another at each start, unless Restore brings the
// notes of the last run.
func New(t Config, seed, epoch uint64) (*Sessions, error) {
	if t.Source == "" {
		t.Source = SourceEntries
	}
	if err := t.Validate(); err != nil {
		return nil, err
	}
	s := &Sessions{terms: t, epoch: epoch, rng: rand.New(rand.NewPCG(seed, epoch)), byID: map[int]*group{},
		reads: map[uint64]*read{}, peers: make([]peer, t.FleetSize), loss: 1}
	s.nonce = s.rng.Uint64() >> 1 // it only rises
	for i := range t.FleetSize {
		if i != t.Self && !t.DynamicMembership {
			s.others = append(s.others, i)
		}
	}
	s.marks.init()
	s.keys.init()
	s.credit = s.mostCredit()
	return s, nil
}

// asksAll tells whether a question to all gateways is within what their txns allow. Where it never is, marks are not
// told to one another either: a fence covers every read.
func (s *Sessions) asksAll() bool {
	return s.terms.Source == SourceEntries && len(s.others) > 0 && float64(2*len(s.others)) <= roundTxns*s.terms.MessagesPerTxn
}

// SetTime begins a round.
func (s *Sessions) SetTime(now int64) {
	if s.earned == 0 {
		s.earned = now
	}
	s.now = now
	s.earn(float64(now-s.earned) / 1e9 * idleRate)
	s.earned = now
}

func (s *Sessions) mostCredit() float64 { return float64(2*s.size() + 64) }

func (s *Sessions) earn(messages float64) { s.credit = min(s.mostCredit(), s.credit+messages) }

// Next gives one decision of this round, or says that there is none left.
func (s *Sessions) Next() (Decision, bool) {
	if len(s.out) == 0 {
		s.decideReads()
		s.push()
		s.keepAlive()
		s.forgetOld()
	}
	if len(s.lines) > 0 {
		text := s.lines[0]
		s.lines = s.lines[1:]
		return Decision{Kind: Log, Text: text}, true
	}
	if len(s.out) > 0 {
		d := s.out[0]
		if s.out = s.out[1:]; len(s.out) == 0 {
			s.out = nil
		}
		return d, true
	}
	if at := s.due(); at > 0 && (s.wake <= s.now || at < s.wake) {
		s.wake = at
		return Decision{Kind: Wake, Delay: max(leastWake, at-s.now)}, true
	}
	return Decision{}, false
}

func (s *Sessions) log(format string, a ...any) {
	s.lines = append(s.lines, fmt.Sprintf(format, a...))
}

// Stats gives what was decided so far.
func (s *Sessions) Stats() Stats {
	c := s.stats
	c.Watermarks = len(s.marks.held)
	return c
}
