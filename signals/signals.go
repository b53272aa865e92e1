// Package signals disseminates what each gateway of a fleet observes about members to all gateways by gossip,
// and summarizes the reports received about a member: how many gateways sent them and how old they are.
// Reports of positions and primaries hold what a member told their origin, and reads rely on them; all others are hints.
// A gateway's own observations take precedence.
// The package does no I/O and has no clock or randomness of its own.
//
// Call New once. Then, in each round, call Clock with the time, then any of SetFleet, SetMembers, Observe and
// Receive, which only update state, then Next until it returns false. Summary returns what is known of a
// member at any time. docs/fleet.md explains the design.
package signals

import (
	"cmp"
	"errors"
	"maps"
	"math/bits"
	"math/rand/v2"
	"slices"
)

// Kind is the type of an observation.
type Kind uint8

// Observation kinds. For each kind, the latest report of each origin counts.
const (
	Position Kind = iota + 1 // a log position that the member is proven to have reached
	Primary                  // the same, and the member told it together with being the primary
	Health                   // Healthy or Unhealthy
	Latency                  // response latency, microseconds
	Load                     // txns that the origin has in flight to the member
	Probe                    // result of a probe, encoded by the host, with the turn's round in the upper half
	Traffic                  // txns per second at the origin; Member is 0
	kindCount
)

// Values of Health reports.
const (
	Healthy   = 0
	Unhealthy = 1
)

// Item is one observation of a member by one gateway, its origin.
type Item struct {
	Kind     Kind
	Member   uint64
	Origin   uint32 // the origin's number in the fleet, never reused by another gateway
	Sequence uint64 // increases with each report of the origin, also across restarts
	Age      int64  // nanoseconds between the observation and the sending of the message
	Value    int64
}

// Message carries items from one gateway to another. The transport authenticates the sender, not the origins
// of the items.
type Message struct {
	To    uint32
	Items []Item
}

// Timing, limits and thresholds. Durations are in nanoseconds.
const (
	// Report age.
	ReportTimeToLive = int64(10e9)          // older reports are ignored
	refreshInterval  = ReportTimeToLive / 3 // resend interval of unchanged positions, loads, latencies and unhealthy reports

	// Sending and forwarding.
	sendInterval       = int64(100e6) // between batches of one gateway, each to fanout others
	fanout             = 3
	MaxItemsPerMessage = 6
	extraForwards      = 2 // an item is forwarded this many times more than the fleet size has doublings

	// Message budget.
	maxSendBudget   = 50.0 // messages, also the initial budget
	budgetPerTxn    = 0.5  // messages that each txn adds to budgetPerSecond: an idle fleet sends little
	budgetPerSecond = 20.0 // messages

	// Memory.
	maxReportsPerTopic = 16   // reports kept of one kind about one member, the latest
	maxQueuedItems     = 1024 // items queued for forwarding, the latest

	// Health and significance of reports.
	MinUnhealthyReports = 3   // gateways that must report a member unhealthy before others treat it as unhealthy
	sufficientReports   = 6   // further equal reports about a member add no information
	expectedRebuttals   = 4.0 // expected number of gateways with a healthy view that contradict an unhealthy report
	unhealthyFraction   = 0.5 // of the health reports, to be exceeded: a member that half of the gateways reach is not unhealthy
	changeDivisor       = 4   // a latency or load is resent early once it has changed by more than 1/changeDivisor
)

// DecisionKind is the kind of an action for the host.
type DecisionKind uint8

// Actions for the host.
const (
	Send    DecisionKind = iota // send Message
	Deliver                     // Item is a new report of another gateway
	Wake                        // run one more round in After nanoseconds
)

// Decision is one action for the host to perform.
type Decision struct {
	Kind    DecisionKind
	Message Message
	Item    Item
	After   int64
}

// Signals is one gateway's state of the gossip protocol.
type Signals struct {
	self            uint32
	rng             *rand.Rand
	now             int64
	sequence        uint64
	others          []uint32
	members         map[uint64]bool
	reports         map[topic]map[uint32]report
	ownReports      map[topic]report // as last sent
	relayQueue      []queuedItem
	sendAt          int64
	sendBudget      float64 // messages that may be sent now
	budgetUpdatedAt int64
	pending         []Decision
	wakeAt          int64
	Sent            uint64 // messages sent, for statistics
	staleItems      uint64 // received items that were already known or outdated
}

type topic struct {
	kind   Kind
	member uint64
}

type report struct {
	sequence  uint64
	learnedAt int64 // by this gateway's clock; the observation at the origin is not later
	value     int64
}

// queuedItem is an item waiting to be forwarded forwardsLeft more times.
type queuedItem struct {
	item         Item
	learnedAt    int64
	forwardsLeft int
}

// New creates the state of a gateway. sequence must be larger than any that an earlier run of it used: Unix
// time in nanoseconds will do.
func New(self uint32, sequence, seed uint64) (*Signals, error) {
	if sequence == 0 {
		return nil, errors.New("signals: sequence must be above 0")
	}
	return &Signals{self: self, sequence: sequence, rng: rand.New(rand.NewPCG(seed, uint64(self))), members: map[uint64]bool{}, reports: map[topic]map[uint32]report{},
		ownReports: map[topic]report{}, sendBudget: maxSendBudget}, nil
}

// Clock begins a round at a time in nanoseconds of a monotonic clock.
func (s *Signals) Clock(now int64) {
	if s.budgetUpdatedAt > 0 {
		s.addBudget(budgetPerSecond * float64(now-s.budgetUpdatedAt) / 1e9)
	}
	s.now, s.budgetUpdatedAt = now, now
}

func (s *Signals) addBudget(messages float64) {
	s.sendBudget = min(s.sendBudget+messages, maxSendBudget)
}

// AddTxn adds the message budget of one arrived txn.
func (s *Signals) AddTxn() { s.addBudget(budgetPerTxn) }

// SetFleet sets this gateway's number and those of the others.
func (s *Signals) SetFleet(self uint32, others []uint32) {
	s.self, s.others = self, slices.Clone(others)
	slices.Sort(s.others)
	for _, all := range s.reports {
		maps.DeleteFunc(all, func(from uint32, _ report) bool { _, in := slices.BinarySearch(s.others, from); return !in })
	}
}

// SetMembers sets the known members; reports about any other member are dropped.
func (s *Signals) SetMembers(all []uint64) {
	s.members = map[uint64]bool{0: true}
	for _, m := range all {
		s.members[m] = true
	}
	maps.DeleteFunc(s.reports, func(a topic, _ map[uint32]report) bool { return !s.members[a.member] })
	maps.DeleteFunc(s.ownReports, func(a topic, _ report) bool { return !s.members[a.member] })
	s.relayQueue = slices.DeleteFunc(s.relayQueue, func(r queuedItem) bool { return !s.members[r.item.Member] })
}

// Observe records an observation of this gateway and queues it for sending if it is news: measurements when
// they have changed, an unhealthy state repeatedly while it lasts and too few others report it. A healthy
// state is reported by a gateway that reported the member unhealthy before, and by some of those that receive
// unhealthy reports about it: otherwise three gateways with a broken link would make the member unhealthy for
// the whole fleet.
func (s *Signals) Observe(kind Kind, member uint64, value int64) {
	a := topic{kind, member}
	previous, reported := s.ownReports[a]
	switch {
	case !s.members[member]:
		return
	case kind == Probe:
	case kind == Position || kind == Primary:
		// A gateway that just started has no reports, so unchanged values are resent, though only by some
		// gateways.
		if reported && (value < previous.value || value == previous.value && (s.now-previous.learnedAt < refreshInterval || s.countRecent(a) >= sufficientReports)) {
			return
		}
	case kind == Health:
		if !s.shouldReportHealth(a, value, previous, reported) {
			return
		}
	case reported && s.now-previous.learnedAt < refreshInterval:
		if d := value - previous.value; max(d, -d) <= max(value, previous.value)/changeDivisor || s.now-previous.learnedAt < refreshInterval/10 {
			return
		}
	}
	s.sequence++
	s.ownReports[a] = report{s.sequence, s.now, value}
	s.enqueue(Item{Kind: kind, Member: member, Origin: s.self, Sequence: s.sequence, Value: value}, s.now)
}

// countRecent counts the reports of one topic that are younger than refreshInterval.
func (s *Signals) countRecent(t topic) (n int) {
	for _, w := range s.reports[t] {
		if s.now-w.learnedAt < refreshInterval {
			n++
		}
	}
	return n
}

// shouldReportHealth decides whether a health observation is worth sending.
func (s *Signals) shouldReportHealth(a topic, value int64, previous report, reported bool) bool {
	if reported && previous.value == value && s.now-previous.learnedAt < refreshInterval {
		return false
	}
	k := s.Summary(a.member)
	if value == Unhealthy {
		return reported && previous.value == Unhealthy || k.UnhealthyReports < sufficientReports
	}
	if reported && previous.value == Unhealthy {
		return true
	}
	return k.UnhealthyReports > 0 && k.HealthReports-k.UnhealthyReports < sufficientReports && s.rng.Float64()*float64(len(s.others)) < expectedRebuttals
}

// enqueue queues an item for forwarding, replacing an older one of the same topic and origin.
func (s *Signals) enqueue(x Item, at int64) {
	if len(s.others) == 0 {
		return
	}
	s.relayQueue = slices.DeleteFunc(s.relayQueue, func(r queuedItem) bool {
		return r.item.Kind == x.Kind && r.item.Member == x.Member && r.item.Origin == x.Origin
	})
	if len(s.relayQueue) == maxQueuedItems {
		s.relayQueue = s.relayQueue[1:]
	}
	s.relayQueue = append(s.relayQueue, queuedItem{x, at, extraForwards + bits.Len(uint(len(s.others)))})
	if s.sendAt <= s.now {
		s.sendAt = s.now + int64(s.rng.Float64()*float64(sendInterval)/4) // batch items that are queued close together
	}
}

// Receive processes a message. Items that are expired, already known or this gateway's own are ignored,
// whoever forwarded them.
func (s *Signals) Receive(m *Message) {
	for _, x := range m.Items {
		if x.Kind == 0 || x.Kind >= kindCount || x.Origin == s.self || !s.members[x.Member] || x.Age < 0 || x.Age >= ReportTimeToLive {
			continue
		}
		if _, listed := slices.BinarySearch(s.others, x.Origin); !listed {
			continue
		}
		a := topic{x.Kind, x.Member}
		byOrigin := s.reports[a]
		if byOrigin == nil {
			byOrigin = map[uint32]report{}
			s.reports[a] = byOrigin
		}
		if byOrigin[x.Origin].sequence >= x.Sequence {
			s.staleItems++
			continue
		}
		at := s.now - x.Age
		if _, known := byOrigin[x.Origin]; !known && len(byOrigin) >= maxReportsPerTopic && !s.evictOlder(byOrigin, at) {
			continue
		}
		byOrigin[x.Origin] = report{x.Sequence, at, x.Value}
		s.enqueue(x, at)
		s.pending = append(s.pending, Decision{Kind: Deliver, Item: x})
	}
}

// evictOlder drops the oldest report if it is older than the given time, and returns whether it did.
func (s *Signals) evictOlder(byOrigin map[uint32]report, at int64) bool {
	oldest, oldestOrigin := at, uint32(0)
	for _, o := range slices.Sorted(maps.Keys(byOrigin)) {
		if byOrigin[o].learnedAt < oldest {
			oldest, oldestOrigin = byOrigin[o].learnedAt, o
		}
	}
	if oldest == at {
		return false
	}
	delete(byOrigin, oldestOrigin)
	return true
}

// Next returns the next decision of this round, or false if there is none.
func (s *Signals) Next() (Decision, bool) {
	if len(s.pending) == 0 && s.now >= s.sendAt {
		s.sendBatch()
	}
	if len(s.pending) > 0 {
		d := s.pending[0]
		s.pending = s.pending[1:]
		return d, true
	}
	if at := max(s.sendAt, s.now+1e6); len(s.relayQueue) > 0 && (s.wakeAt <= s.now || at < s.wakeAt) {
		s.wakeAt = at
		return Decision{Kind: Wake, After: s.wakeAt - s.now}, true
	}
	return Decision{}, false
}

// sendBatch sends the least forwarded items to randomly chosen gateways.
func (s *Signals) sendBatch() {
	s.relayQueue = slices.DeleteFunc(s.relayQueue, func(r queuedItem) bool { return s.now-r.learnedAt >= ReportTimeToLive })
	if len(s.relayQueue) == 0 || len(s.others) == 0 {
		return
	}
	s.sendAt = s.now + sendInterval*3/4 + int64(s.rng.Float64()*float64(sendInterval)/2)
	slices.SortStableFunc(s.relayQueue, func(x, y queuedItem) int { return cmp.Compare(y.forwardsLeft, x.forwardsLeft) })
	n := min(MaxItemsPerMessage, len(s.relayQueue))
	var items []Item
	for i := range s.relayQueue[:n] {
		x := s.relayQueue[i].item
		x.Age = s.now - s.relayQueue[i].learnedAt
		items = append(items, x)
	}
	for range min(fanout, len(s.others)) {
		if s.sendBudget < 1 {
			return // the rest is sent once the budget allows
		}
		s.sendBudget--
		s.Sent++
		to := s.others[s.rng.IntN(len(s.others))]
		s.pending = append(s.pending, Decision{Kind: Send, Message: Message{to, items}})
		for i := range n {
			s.relayQueue[i].forwardsLeft--
		}
	}
	s.relayQueue = slices.DeleteFunc(s.relayQueue, func(r queuedItem) bool { return r.forwardsLeft <= 0 })
}

// MemberSummary aggregates what other gateways report about a member.
type MemberSummary struct {
	Position         int64
	UnhealthyReports int   `json:"Ill"`   // gateways that report it unhealthy
	HealthReports    int   `json:"Spoke"` // gateways with a recent health report of either value
	Latency          int64 // median of the reported latencies, microseconds, 0 if there are none
	Load             int64 // sum of the reported loads
	OldestAge        int64 `json:"Oldest"` // age of the oldest report that counts, nanoseconds
}

// Summary aggregates the unexpired reports of other gateways about a member.
func (s *Signals) Summary(member uint64) (k MemberSummary) {
	live := func(kind Kind, f func(report)) {
		for _, w := range s.reports[topic{kind, member}] {
			if s.now-w.learnedAt < ReportTimeToLive {
				k.OldestAge = max(k.OldestAge, s.now-w.learnedAt)
				f(w)
			}
		}
	}
	var latencies []int64
	live(Position, func(w report) { k.Position = max(k.Position, w.value) })
	live(Primary, func(w report) { k.Position = max(k.Position, w.value) })
	live(Health, func(w report) {
		if k.HealthReports++; w.value == Unhealthy {
			k.UnhealthyReports++
		}
	})
	live(Latency, func(w report) { latencies = append(latencies, w.value) })
	live(Load, func(w report) { k.Load += w.value })
	if slices.Sort(latencies); len(latencies) > 0 {
		k.Latency = latencies[len(latencies)/2]
	}
	return k
}

// IsUnhealthy returns whether enough gateways report a member unhealthy for others to act on it. In a small
// fleet all others must report it.
func (s *Signals) IsUnhealthy(member uint64) bool {
	k := s.Summary(member)
	return k.UnhealthyReports > 0 && k.UnhealthyReports >= min(MinUnhealthyReports, len(s.others)) && float64(k.UnhealthyReports) > unhealthyFraction*float64(k.HealthReports)
}

// Traffic returns the txns per second that a gateway last reported, 0 if there is no unexpired report.
func (s *Signals) Traffic(of uint32) int64 {
	if w := s.reports[topic{Traffic, 0}][of]; s.now-w.learnedAt < ReportTimeToLive {
		return w.value
	}
	return 0
}
