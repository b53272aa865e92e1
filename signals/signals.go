// Package signals spreads what one gateway of a fleet learned of a member to all of them, and tells how much of what was
// heard there is to it: from how many gateways, how old. All of it is hints. No rule rests on them, and what a gateway has
// seen itself goes before. It runs without input or output, clock or chance of its own.
//
// How it is called: New once; then, for each round, Clock with the time, then any of Fleet, Members, Saw and Heard, which
// only update what is known; then Next until it says there is no more. Of tells at any time what is known of a member.
// docs/fleet.md has the argument.
package signals

import (
	"cmp"
	"errors"
	"maps"
	"math/bits"
	"math/rand/v2"
	"slices"
)

// Kind is what an item tells of its member.
type Kind uint8

// Kinds. Of each the latest word of each origin counts.
const (
	Position Kind = iota + 1 // a log position that it was proven to have reached
	Primary                  // and that it was primary then
	Health                   // Well or Ill
	Latency                  // of its answers, microseconds
	Load                     // txns in flight to it from the origin
	Probe                    // what a probe of it came to, in the host's numbers, with the turn's round in the upper half
	Traffic                  // txns a second of the origin; Member is 0
	kindCount
)

// Verdicts.
const (
	Healthy   = 0
	Unhealthy = 1
)

// Item is one thing that a gateway, its origin, learned of a member.
type Item struct {
	Kind     Kind
	Member   uint64
	Origin   uint32 // the origin's number in the fleet, which no other gateway has or had
	Sequence uint64 // a later word of the origin has a larger one, also after it started again
	Age      int64  // nanoseconds since it was learned, at sending
	Value    int64
}

// Message is a handful of items from one gateway to another. Whoever carries it vouches for its sender, not for the origins.
type Message struct {
	To    uint32
	Items []Item
}

// Spans, sizes and shares. Sources: ours, by the measurements in docs/results.md.
const (
	ReportTimeToLive    = int64(10e9)          // after which a word counts for nothing
	refreshInterval     = ReportTimeToLive / 3 // an illness that lasts, and a load, are told again so often
	sendInterval        = int64(100e6)         // between messages of one gateway, each to fanout others
	fanout              = 3
	MaxItemsPerMessage  = 6    // in a message
	maxReportsPerTopic  = 16   // of one kind about one member that are kept, the latest
	maxQueuedItems      = 1024 // items on their way through this gateway, the latest
	extraForwards       = 2    // an item is passed on so often more than the fleet has doublings
	maxSendBudget       = 50.0 // messages that may be sent before the first txn
	budgetPerTxn        = 0.5  // messages that a txn pays for, beside floor a second: a fleet at rest talks little
	budgetPerSecond     = 20.0
	MinUnhealthyReports = 3   // gateways that must find a member ill, for others to take it for ill
	sufficientReports   = 6   // that say one thing of a member: more say nothing new
	expectedRebuttals   = 4.0 // gateways, about, that answer each word of an illness, of those that find the member well
	unhealthyFraction   = 0.5 // and their part of those that spoke of it of late: one that half can reach is not ill
	changeDivisor       = 4   // a latency or a load is told again once it has changed by this part of it
)

// DecisionKind is what the host is to do.
type DecisionKind uint8

// What it is to do.
const (
	Send    DecisionKind = iota // Message
	Deliver                     // Item is news to this gateway, of another one
	Wake                        // one more round After so many nanoseconds
)

// Decision is one thing for the host to do.
type Decision struct {
	Kind    DecisionKind
	Message Message
	Item    Item
	After   int64
}

// Signals is one gateway's part.
type Signals struct {
	self            uint32
	rng             *rand.Rand
	now             int64
	sequence        uint64
	others          []uint32
	members         map[uint64]bool
	reports         map[topic]map[uint32]report
	ownReports      map[topic]report // as last told
	relayQueue      []queuedItem
	sendAt          int64
	sendBudget      float64 // messages that may be sent
	budgetUpdatedAt int64
	pending         []Decision
	wakeAt          int64
	Sent            uint64 // messages, for who counts
	staleItems      uint64 // items that were no news
}

type topic struct {
	kind   Kind
	member uint64
}

type report struct {
	sequence  uint64
	learnedAt int64 // by this gateway's clock, when it was learned at its origin or later
	value     int64
}

// rumor is an item that is passed on so many times more.
type queuedItem struct {
	item         Item
	learnedAt    int64
	forwardsLeft int
}

// New makes the part of a gateway. no is larger than any that a former run of it has used: nanoseconds of Unix time will do.
func New(self uint32, sequence, seed uint64) (*Signals, error) {
	if sequence == 0 {
		return nil, errors.New("signals: numbers begin above 0")
	}
	return &Signals{self: self, sequence: sequence, rng: rand.New(rand.NewPCG(seed, uint64(self))), members: map[uint64]bool{}, reports: map[topic]map[uint32]report{},
		ownReports: map[topic]report{}, sendBudget: maxSendBudget}, nil
}

// Clock begins a round. Times are nanoseconds of a clock that never goes back.
func (s *Signals) Clock(now int64) {
	if s.budgetUpdatedAt > 0 {
		s.addBudget(budgetPerSecond * float64(now-s.budgetUpdatedAt) / 1e9)
	}
	s.now, s.budgetUpdatedAt = now, now
}

func (s *Signals) addBudget(messages float64) {
	s.sendBudget = min(s.sendBudget+messages, maxSendBudget)
}

// Txn tells that a txn came: messages are paid for by txns.
func (s *Signals) AddTxn() { s.addBudget(budgetPerTxn) }

// Fleet tells this gateway's number and those of the others.
func (s *Signals) SetFleet(self uint32, others []uint32) {
	s.self, s.others = self, slices.Clone(others)
	slices.Sort(s.others)
	for _, all := range s.reports {
		maps.DeleteFunc(all, func(from uint32, _ report) bool { _, in := slices.BinarySearch(s.others, from); return !in })
	}
}

// Members tells which there are; of others nothing is kept.
func (s *Signals) SetMembers(all []uint64) {
	s.members = map[uint64]bool{0: true}
	for _, m := range all {
		s.members[m] = true
	}
	maps.DeleteFunc(s.reports, func(a topic, _ map[uint32]report) bool { return !s.members[a.member] })
	maps.DeleteFunc(s.ownReports, func(a topic, _ report) bool { return !s.members[a.member] })
	s.relayQueue = slices.DeleteFunc(s.relayQueue, func(r queuedItem) bool { return !s.members[r.item.Member] })
}

// Saw takes what this gateway learned itself. It is told if that is new enough: measures when they have changed, an illness
// again and again while it lasts and not enough others tell of it. That a member is well is told by who found it ill before,
// and by some of those that hear that it is ill: else three whose link is broken would have it ill for all.
func (s *Signals) Observe(kind Kind, member uint64, value int64) {
	a := topic{kind, member}
	previous, reported := s.ownReports[a]
	switch {
	case !s.members[member]:
		return
	case kind == Probe:
	case kind == Position || kind == Primary:
		// Who starts has heard nothing: what stays as it is is told again, by some.
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

// live counts the words of one kind about a member that are not too old.
func (s *Signals) countRecent(a topic) (n int) {
	for _, w := range s.reports[a] {
		if s.now-w.learnedAt < refreshInterval {
			n++
		}
	}
	return n
}

// speaks tells whether a verdict is worth telling.
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

// spread has an item passed on, in the place of an older one of its origin.
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
		s.sendAt = s.now + int64(s.rng.Float64()*float64(sendInterval)/4) // what comes together goes together
	}
}

// Heard takes a message. What is old, came already or is this gateway's own is no news, whoever passes it on.
func (s *Signals) Receive(m *Message) {
	for _, x := range m.Items {
		if x.Kind == 0 || x.Kind >= kindCount || x.Origin == s.self || !s.members[x.Member] || x.Age < 0 || x.Age >= ReportTimeToLive {
			continue
		}
		if _, listed := slices.BinarySearch(s.others, x.Origin); !listed {
			continue
		}
		a := topic{x.Kind, x.Member}
		all := s.reports[a]
		if all == nil {
			all = map[uint32]report{}
			s.reports[a] = all
		}
		if all[x.Origin].sequence >= x.Sequence {
			s.staleItems++
			continue
		}
		at := s.now - x.Age
		if _, known := all[x.Origin]; !known && len(all) >= maxReportsPerTopic && !s.evictOlder(all, at) {
			continue
		}
		all[x.Origin] = report{x.Sequence, at, x.Value}
		s.enqueue(x, at)
		s.pending = append(s.pending, Decision{Kind: Deliver, Item: x})
	}
}

// makesRoom forgets the oldest word, if that is older than a time.
func (s *Signals) evictOlder(all map[uint32]report, at int64) bool {
	oldest, from := at, uint32(0)
	for _, o := range slices.Sorted(maps.Keys(all)) {
		if all[o].learnedAt < oldest {
			oldest, from = all[o].learnedAt, o
		}
	}
	if oldest == at {
		return false
	}
	delete(all, from)
	return true
}

// Next gives one decision of this round, or says that there is none left.
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

// sends tells some others, by chance, the items that were passed on least.
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
			return // what is left goes once it is paid for
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

// Known is what others say of a member.
type MemberSummary struct {
	Position         int64
	UnhealthyReports int   `json:"Ill"`   // gateways that find it ill
	HealthReports    int   `json:"Spoke"` // gateways that said of late whether it is ill or well
	Latency          int64 // the median of what is told, microseconds, 0 for nothing
	Load             int64 // the sum of what is told
	OldestAge        int64 `json:"Oldest"` // age of the oldest word that counts, nanoseconds
}

// Of tells what is known of a member by others.
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

// TakenForIll tells whether enough gateways find a member ill for others to go by it. In a fleet of few all others must.
func (s *Signals) IsUnhealthy(member uint64) bool {
	k := s.Summary(member)
	return k.UnhealthyReports > 0 && k.UnhealthyReports >= min(MinUnhealthyReports, len(s.others)) && float64(k.UnhealthyReports) > unhealthyFraction*float64(k.HealthReports)
}

// Traffic is what a gateway told of its txns a second, 0 for nothing.
func (s *Signals) Traffic(of uint32) int64 {
	if w := s.reports[topic{Traffic, 0}][of]; s.now-w.learnedAt < ReportTimeToLive {
		return w.value
	}
	return 0
}
