package fleet

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"errors"
	"hash/fnv"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"

	"magpieglade/agreement"
	"magpieglade/signals"
	"magpieglade/subset"
	"magpieglade/turns"
)

// signalsMessageKind is the first byte of a sealed message that carries signals items.
const signalsMessageKind = 65

// CoordinationConfig is the operator's configuration of the decisions that gateways coordinate without an agreement.
type CoordinationConfig struct {
	Subset  *subset.Config // nil: every gateway connects to every member
	Signals bool
	Turns   bool  // requires Signals, which carries the completion reports
	Wait    int64 // see turns.Config
}

// Validate returns an error that describes the first invalid setting.
func (p *CoordinationConfig) Validate() error {
	if p.Turns && !p.Signals {
		return errors.New("coordination: turns require signals")
	}
	if p.Subset != nil {
		if err := p.Subset.Validate(); err != nil {
			return err
		}
	}
	t := turns.Config{Wait: p.Wait}
	return t.Check()
}

// CoordinationHost is the part of the event loop that Coordination calls.
type CoordinationHost interface {
	RunAsync(work func() (then func()))                      // runs work outside the loop, then the function it returns on the loop
	WakeAfter(delay int64)                                   //
	Now() int64                                              //
	SetMember(key uint64, enabled bool)                      // adds a member to those the decision module uses, or removes it
	ReceiveReport(item signals.Item, unhealthy bool)         // another gateway's report; unhealthy: enough gateways report the member unhealthy
	PerformTask(key uint64)                                  // performs the task requested with RequestTurn, then calls CompleteTurn
	Logger() *slog.Logger                                    //
	ObserveMember(key uint64) (s MemberObservation, ok bool) // ok is false unless the decision module uses the member
	// GroupState returns the group number, whether its primary is known, how many replicas the decision module uses, and how
	// many of them lack a proven position.
	GroupState(group int) (number int, primaryKnown bool, replicas, unproven int)
	SeekPrimary(group int) // looks for the primary of a group that has none known
}

// MemberObservation is what this gateway itself has observed of a member and may report to other gateways.
type MemberObservation struct {
	Suspect         bool
	Latency         int64 // microseconds, 0 for none
	InFlight        int64
	PrimaryPosition int64 // position in Unix nanoseconds that the member told this gateway together with being the primary, else 0
}

// Intervals in nanoseconds. Members are observed as often as a person perceives as immediate, which is enough for signals
// and subsets; the traffic rate is reported once it has settled.
const (
	observeInterval       = int64(100e6) // between observations of the members
	trafficReportInterval = int64(5e9)   // between reports of this gateway's traffic
	maxStartDelay         = int64(500e6) // spreads calls that all gateways may make at the same moment
	maxInlinePairs        = 20_000       // gateway-member pairs up to which a division is computed on the loop
)

// ListKey is the turn key of the list service.
const ListKey = uint64(0)

// Coordination hosts the modules by which gateways coordinate without an agreement: signals, turns and subsets. It must be
// used from the event loop only.
type Coordination struct {
	fleet   *Fleet
	config  *CoordinationConfig
	host    CoordinationHost
	Signals *signals.Signals // nil if gateways exchange no reports
	Turns   *turns.Turns     // nil if each gateway acts on its own
	Subset  *subset.Subset   // nil if each gateway connects to every member

	rng               *rand.Rand
	self              uint32
	idByNumber        map[uint32]agreement.ID
	nameByNumber      map[uint32]string
	numbers           []uint32 // of all gateways, sorted
	gateways          []subset.Gateway
	members           []subset.Member
	holders           map[uint64][]uint32 // member key to the numbers of the gateways it is assigned to
	revision          uint64              // of the last applied manifest
	widened           map[int]bool        // groups whose subset is wider than configured
	listsChanged      bool                // a list has changed since the last division
	dividing          bool
	nextObserveAt     int64
	txnsSinceReport   int64 // since trafficReportedAt
	trafficReportedAt int64
	buffer            []byte
}

// NewCoordination creates the configured modules and attaches them to f.
func NewCoordination(f *Fleet, p *CoordinationConfig, h CoordinationHost, seed uint64) (*Coordination, error) {
	c := &Coordination{fleet: f, config: p, host: h, idByNumber: map[uint32]agreement.ID{}, nameByNumber: map[uint32]string{}, holders: map[uint64][]uint32{}, widened: map[int]bool{},
		rng: rand.New(rand.NewPCG(seed, uint64(f.identity.ID)))}
	var err error
	if p.Signals {
		if c.Signals, err = signals.New(0, f.identity.Epoch, seed); err != nil {
			return nil, err
		}
	}
	if p.Turns {
		if c.Turns, err = turns.New(turns.Config{Wait: p.Wait}); err != nil {
			return nil, err
		}
	}
	if p.Subset != nil {
		if c.Subset, err = subset.New(*p.Subset, subset.Gateway{ID: uint64(f.identity.ID), Zone: f.config.Zone}, seed); err != nil {
			return nil, err
		}
	}
	f.coordination = c
	return c, nil
}

// SetMembers sets the list of members known to this gateway.
func (c *Coordination) SetMembers(members []subset.Member) {
	c.members, c.listsChanged = slices.Clone(members), true
	if c.Signals != nil {
		var keys []uint64
		for _, m := range members {
			keys = append(keys, m.Key)
		}
		c.Signals.SetMembers(keys)
	}
	c.divide()
}

// updateGateways applies the agreed list of gateways if it has changed.
func (c *Coordination) updateGateways() {
	manifest := c.fleet.Manifest()
	if manifest.Revision == c.revision {
		return
	}
	c.revision = manifest.Revision
	clear(c.idByNumber)
	clear(c.nameByNumber)
	c.gateways, c.numbers = c.gateways[:0:0], nil
	var others []uint32
	self, listed := c.self, false
	for _, g := range manifest.Gateways {
		no := uint32(g.Number)
		c.idByNumber[no], c.nameByNumber[no] = g.ID, g.Name
		c.numbers = append(c.numbers, no)
		c.gateways = append(c.gateways, subset.Gateway{ID: uint64(g.ID), Zone: g.Zone})
		if g.ID == c.fleet.identity.ID {
			self, listed = no, true
		} else {
			others = append(others, no)
		}
	}
	if !listed {
		others = nil // its reports would have no origin in the list
	}
	slices.Sort(c.numbers)
	c.self, c.listsChanged = self, true
	if c.Signals != nil {
		c.Signals.SetFleet(self, others)
	}
	if c.Turns != nil {
		c.Turns.SetSelf(self)
	}
}

// divide assigns members to gateways once a list has changed. Large divisions are computed outside the loop.
func (c *Coordination) divide() {
	if c.Subset == nil || !c.listsChanged || c.dividing {
		return
	}
	c.listsChanged = false
	config, self, gateways, members := *c.config.Subset, uint64(c.fleet.identity.ID), c.gateways, c.members
	if len(gateways)*len(members) <= maxInlinePairs {
		c.applyDivision(subset.Divide(config, gateways, members).For(self))
		return
	}
	c.dividing = true
	c.host.RunAsync(func() func() {
		divisions := subset.Divide(config, gateways, members).For(self)
		return func() {
			c.dividing = false
			c.applyDivision(divisions)
			c.divide()
		}
	})
}

func (c *Coordination) applyDivision(divisions []subset.GroupDivision) {
	clear(c.holders)
	numbers := map[uint64]uint32{}
	for no, id := range c.idByNumber {
		numbers[uint64(id)] = no
	}
	for _, d := range divisions {
		for i, m := range d.Members {
			for _, id := range d.Holders[i] {
				c.holders[m.Key] = append(c.holders[m.Key], numbers[id])
			}
		}
	}
	c.Subset.Clock(c.host.Now())
	c.Subset.SetDivision(divisions)
	c.applySubset()
}

// StartDelay returns a random delay that spreads calls which all gateways may make at the same moment.
func (c *Coordination) StartDelay() int64 { return int64(c.rng.Float64() * float64(maxStartDelay)) }

// Has reports whether the decision module uses a member.
func (c *Coordination) Has(key uint64) bool { return c.Subset == nil || c.Subset.Has(key) }

// AddTxn counts an arrived txn.
func (c *Coordination) AddTxn() {
	c.txnsSinceReport++
	if c.Signals != nil {
		c.Signals.AddTxn()
	}
}

// Report sends an observation of this gateway to the others.
func (c *Coordination) Report(kind signals.Kind, key uint64, value int64) {
	if c.Signals != nil {
		c.Signals.Clock(c.host.Now())
		c.Signals.Observe(kind, key, value)
	}
}

// RequestTurn has this gateway or another one perform the task of a key. fresh reports that it was performed a moment ago;
// signals.MemberSummary then holds the result.
func (c *Coordination) RequestTurn(key uint64) (fresh bool) {
	var candidates []turns.Candidate
	numbers := c.holders[key]
	if len(numbers) == 0 || !slices.Contains(numbers, c.self) {
		numbers = c.numbers
	}
	for _, no := range numbers {
		weight := 1.0
		if no == c.self {
			weight += float64(c.txnsSinceReport)
		} else {
			weight += float64(c.Signals.Traffic(no))
		}
		candidates = append(candidates, turns.Candidate{ID: no, Weight: weight})
	}
	c.Turns.Clock(c.host.Now())
	return c.Turns.Request(key, candidates)
}

// CompleteTurn records the result of a key's task, a number below 2^32 whose meaning the host defines, and reports it to
// the other gateways.
func (c *Coordination) CompleteTurn(key uint64, result uint32) {
	now := c.host.Now()
	c.Turns.Clock(now)
	for _, t := range c.Turns.Status() {
		if t.Key == key && t.Running {
			c.Turns.Complete(key, t.Round)
			c.Report(signals.Probe, key, int64(t.Round)<<32|int64(result))
		}
	}
}

// ProcessDecisions carries out the decisions of the modules until none is left.
func (c *Coordination) ProcessDecisions() {
	now := c.host.Now()
	c.updateGateways()
	c.divide()
	if now >= c.nextObserveAt {
		c.observeMembers(now)
	}
	c.applySubset()
	c.processTurns(now)
	c.processSignals(now)
}

// observeMembers passes this gateway's observations of its members to the modules.
func (c *Coordination) observeMembers(now int64) {
	c.nextObserveAt = now + observeInterval
	c.host.WakeAfter(observeInterval)
	if elapsed := now - c.trafficReportedAt; elapsed >= trafficReportInterval {
		if c.trafficReportedAt > 0 {
			c.Report(signals.Traffic, 0, c.txnsSinceReport*1e9/elapsed)
		}
		c.trafficReportedAt, c.txnsSinceReport = now, 0
	}
	groups := map[int]bool{}
	for _, m := range c.members {
		groups[m.Group] = true
		observed, ok := c.host.ObserveMember(m.Key)
		if ok && c.Signals != nil {
			c.Signals.Clock(now)
			if observed.Suspect {
				c.Signals.Observe(signals.Health, m.Key, signals.Unhealthy)
			} else if observed.Latency > 0 {
				c.Signals.Observe(signals.Health, m.Key, signals.Healthy)
			}
			if observed.PrimaryPosition > 0 {
				c.Signals.Observe(signals.Primary, m.Key, observed.PrimaryPosition)
			}
			if observed.Latency > 0 {
				c.Signals.Observe(signals.Latency, m.Key, observed.Latency)
				c.Signals.Observe(signals.Load, m.Key, observed.InFlight)
			}
		}
		if c.Subset != nil {
			c.Subset.SetSuspect(m.Key, observed.Suspect || c.Signals != nil && !ok && c.Signals.IsUnhealthy(m.Key))
		}
	}
	if c.Subset != nil {
		c.Subset.Clock(now)
		for _, no := range slices.Sorted(maps.Keys(groups)) {
			need := c.Subset.Observe(c.host.GroupState(no))
			if need == subset.NeedPrimary {
				c.host.SeekPrimary(no)
			}
			if widened := c.Subset.Widened(no) > 0; widened != c.widened[no] {
				c.widened[no] = widened
				c.host.Logger().Info("coordination: subset width changed", "group", no, "wider", widened, "no_primary_known", need == subset.NeedPrimary, "none_fresh", need == subset.NeedFresh)
			}
		}
	}
}

func (c *Coordination) applySubset() {
	if c.Subset == nil {
		return
	}
	c.Subset.Clock(c.host.Now())
	for d, ok := c.Subset.Next(); ok; d, ok = c.Subset.Next() {
		switch d.Kind {
		case subset.Add:
			c.host.SetMember(d.Key, true)
		case subset.Drop:
			c.host.SetMember(d.Key, false)
		case subset.Wake:
			c.host.WakeAfter(d.After)
		}
	}
}

func (c *Coordination) processTurns(now int64) {
	if c.Turns == nil {
		return
	}
	c.Turns.Clock(now)
	for d, ok := c.Turns.Next(); ok; d, ok = c.Turns.Next() {
		switch d.Kind {
		case turns.Perform:
			c.host.PerformTask(d.Key)
		case turns.Wake:
			c.host.WakeAfter(d.After)
		}
	}
}

// processSignals sends outgoing messages and delivers reports of other gateways.
func (c *Coordination) processSignals(now int64) {
	if c.Signals == nil {
		return
	}
	c.Signals.Clock(now)
	for d, ok := c.Signals.Next(); ok; d, ok = c.Signals.Next() {
		switch d.Kind {
		case signals.Send:
			if to, known := c.fleet.addresses[c.idByNumber[d.Message.To]]; known {
				c.fleet.sendSealed(appendSignals(c.buffer[:0], d.Message.Items), to)
			}
		case signals.Deliver:
			c.deliver(d.Item)
		case signals.Wake:
			c.host.WakeAfter(d.After)
		}
	}
}

func (c *Coordination) deliver(item signals.Item) {
	unhealthy := item.Kind == signals.Health && c.Signals.IsUnhealthy(item.Member)
	if item.Kind == signals.Probe {
		if c.Turns == nil {
			return
		}
		c.Turns.Clock(c.host.Now())
		if !c.Turns.PeerCompleted(item.Member, uint32(item.Value>>32)) {
			return
		}
	}
	c.host.ReceiveReport(item, unhealthy)
}

// receive handles a signals message of another gateway.
func (c *Coordination) receive(body []byte) error {
	items, err := decodeSignals(body)
	if err == nil && c.Signals != nil {
		c.updateGateways()
		c.Signals.Clock(c.host.Now())
		c.Signals.Receive(&signals.Message{Items: items})
	}
	return err
}

// signalItem is the wire format of a signals.Item, big-endian.
type signalItem struct {
	Kind     uint8
	Member   uint64
	Origin   uint32
	Sequence uint64
	Age      uint32 // in units of ageUnit
	Value    int64
}

const ageUnit = 4e3 // nanoseconds per unit of signalItem.Age

var errMalformedSignals = errors.New("malformed signals message")

func appendSignals(dst []byte, items []signals.Item) []byte {
	dst = append(dst, signalsMessageKind)
	for _, x := range items {
		dst, _ = binary.Append(dst, binary.BigEndian, &signalItem{uint8(x.Kind), x.Member, x.Origin, x.Sequence, uint32(min(x.Age/ageUnit, 1<<32-1)), x.Value})
	}
	return dst
}

func decodeSignals(data []byte) ([]signals.Item, error) {
	size := binary.Size(signalItem{})
	if len(data) < 1 || (len(data)-1)%size != 0 || len(data) > 1+signals.MaxItemsPerMessage*size {
		return nil, errMalformedSignals
	}
	decoded := make([]signalItem, (len(data)-1)/size)
	if binary.Read(bytes.NewReader(data[1:]), binary.BigEndian, decoded) != nil {
		return nil, errMalformedSignals
	}
	var items []signals.Item
	for _, x := range decoded {
		items = append(items, signals.Item{Kind: signals.Kind(x.Kind), Member: x.Member, Origin: x.Origin, Sequence: x.Sequence, Age: int64(x.Age) * ageUnit, Value: x.Value})
	}
	return items, nil
}

// MemberView describes a member and the gateways that use it.
type MemberView struct {
	Key          uint64
	Group        int
	Zone         string
	Primary      bool
	Assigned     bool                  `json:"Here"` // this gateway uses it
	Holders      []string              // names of the gateways it is assigned to
	Summary      signals.MemberSummary `json:"Known"`
	Unhealthy    bool                  `json:"Ill"`      // according to the reports of other gateways
	GatewayCount int                   `json:"Gateways"` // gateways in the list
}

// CoordinationView is a snapshot of the coordination state.
type CoordinationView struct {
	Subsets      bool
	Self         string
	Size         map[int]int // by group, configured size of a gateway's subset
	WidenedBy    map[int]int `json:"Wider"` // by group, by how many members this gateway's subset exceeds Size
	Members      []MemberView
	Turns        []turns.TurnStatus
	SentMessages uint64 `json:"Sent"` // signals messages sent
}

// View returns the current state.
func (c *Coordination) View() CoordinationView {
	v := CoordinationView{Subsets: c.Subset != nil, Self: c.fleet.config.Name, Size: map[int]int{}, WidenedBy: map[int]int{}}
	groups := map[int]int{}
	for _, m := range c.members {
		groups[m.Group]++
		x := MemberView{Key: m.Key, Group: m.Group, Zone: m.Zone, Primary: m.Primary, Assigned: c.Has(m.Key), GatewayCount: len(c.gateways)}
		for _, no := range c.holders[m.Key] {
			x.Holders = append(x.Holders, c.nameByNumber[no])
		}
		slices.Sort(x.Holders)
		if c.Signals != nil {
			c.Signals.Clock(c.host.Now())
			x.Summary, x.Unhealthy = c.Signals.Summary(m.Key), c.Signals.IsUnhealthy(m.Key)
		}
		v.Members = append(v.Members, x)
	}
	slices.SortFunc(v.Members, func(x, y MemberView) int { return cmp.Or(cmp.Compare(x.Group, y.Group), cmp.Compare(x.Key, y.Key)) })
	for _, no := range slices.Sorted(maps.Keys(groups)) {
		v.Size[no] = groups[no]
		if c.Subset != nil {
			v.Size[no], v.WidenedBy[no] = c.config.Subset.Size(len(c.gateways), groups[no]), c.Subset.Widened(no)
		}
	}
	if c.Turns != nil {
		c.Turns.Clock(c.host.Now())
		v.Turns = c.Turns.Status()
	}
	if c.Signals != nil {
		v.SentMessages = c.Signals.Sent
	}
	return v
}

// MemberKey identifies a member in messages between gateways by its name in the list, which is the same at every gateway;
// its address may differ.
func MemberKey(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return h.Sum64()
}
