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

// kindOfSignals begins a sealed message that is the signals'.
const signalsMessageKind = 65

// CoordinationPlan is what the operator says of choices that many gateways make together.
type CoordinationConfig struct {
	Subset  *subset.Config // nil: each gateway has every member
	Signals bool
	Turns   bool  // needs Signals, by which words go
	Wait    int64 // see turns.Config
}

// Check names what is wrong with it.
func (p *CoordinationConfig) Validate() error {
	if p.Turns && !p.Signals {
		return errors.New("coordination: turns need signals")
	}
	if p.Subset != nil {
		if err := p.Subset.Validate(); err != nil {
			return err
		}
	}
	t := turns.Config{Wait: p.Wait}
	return t.Check()
}

// CoordinationHost is what it needs of the event loop.
type CoordinationHost interface {
	Beside(work func() (then func()))                  // run work beside the loop, then what it gives on it
	WakeAfter(span int64)                              //
	Now() int64                                        //
	Have(key uint64, on bool)                          // the decisions are to know of a member, or to forget it
	Learned(x signals.Item, ill bool)                  // another gateway's word; ill: enough find its member ill
	Go(key uint64)                                     // do what was asked for by Ask, then call Did
	Logger() *slog.Logger                              //
	Observe(key uint64) (s MemberObservation, ok bool) // of a member that the decisions know of
	// Sees gives a group back, whether its primary is known, how many replicas the decisions know of and how many lack proof.
	Sees(group int) (no int, primary bool, replicas, lacking int)
}

// Observed is what this gateway itself knows of a member, as far as others may want it.
type MemberObservation struct {
	Suspect         bool
	Latency         int64 // microseconds, 0 for none
	InFlight        int64
	PrimaryPosition int64 // its position, Unix nanoseconds, where it is its group's primary, else 0
}

// Spans. Ours: signals and subsets need no more than what a person takes for at once, a rate is told when it has settled.
const (
	observeInterval       = int64(100e6) // between looks at the members
	trafficReportInterval = int64(5e9)   // between words on this gateway's traffic
	maxStartDelay         = int64(500e6) // over which calls come that all may make
	maxInlinePairs        = 20_000       // pairs of gateways and members up to which a division is worked out on the loop
)

// ListKey stands for the list service among turns.
const ListKey = uint64(0)

// Coordination hosts what gateways choose together without agreeing on it. It belongs to the loop.
type Coordination struct {
	fleet   *Fleet
	config  *CoordinationConfig
	host    CoordinationHost
	Signals *signals.Signals // nil where gateways tell each other nothing
	Turns   *turns.Turns     // nil where each goes for itself
	Subset  *subset.Subset   // nil where each has every member

	rng               *rand.Rand
	self              uint32
	idByNumber        map[uint32]agreement.ID
	nameByNumber      map[uint32]string
	numbers           []uint32 // of all, in order
	gateways          []subset.Gateway
	members           []subset.Member
	holders           map[uint64][]uint32 // who has a member, by their numbers
	revision          uint64              // of the list that is known
	widened           map[int]bool        // groups whose subset is wider than it is to be
	listsChanged      bool                // a list has changed since the last division
	dividing          bool
	nextObserveAt     int64
	txnsSinceReport   int64 // since tellAt
	trafficReportedAt int64
	buffer            []byte
}

// NewCoordination prepares it.
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

// Members takes the list of members as this gateway has it.
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

// list takes the list of gateways, if it has changed.
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
		others = nil // its words would be nobody's
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

// divide works out who has which member, once a list has changed: a large one beside the loop.
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
	c.host.Beside(func() func() {
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

// Chance is a time by chance by which calls that all may make now are spread.
func (c *Coordination) StartDelay() int64 { return int64(c.rng.Float64() * float64(maxStartDelay)) }

// Has tells whether the decisions are to know of a member.
func (c *Coordination) Has(key uint64) bool { return c.Subset == nil || c.Subset.Has(key) }

// Txn counts one that came.
func (c *Coordination) AddTxn() {
	c.txnsSinceReport++
	if c.Signals != nil {
		c.Signals.AddTxn()
	}
}

// Saw has the others told of what this gateway learned.
func (c *Coordination) Report(kind signals.Kind, key uint64, value int64) {
	if c.Signals != nil {
		c.Signals.Clock(c.host.Now())
		c.Signals.Observe(kind, key, value)
	}
}

// Ask has this gateway, or another one, do what a key stands for. fresh tells that it was done a moment ago; Known gives
// what it came to.
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

// Did tells what came of what a key stands for, in the host's numbers below 2^32, and has the others told.
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

// Turn carries out what the modules decide until there is nothing left.
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

// look has the modules know what this gateway itself sees of its members.
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
		observed, ok := c.host.Observe(m.Key)
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
			need := c.Subset.Observe(c.host.Sees(no))
			if widened := c.Subset.Widened(no) > 0; widened != c.widened[no] {
				c.widened[no] = widened
				c.host.Logger().Info("coordination: subset of members", "group", no, "wider", widened, "no_primary_known", need == subset.NeedPrimary, "none_fresh", need == subset.NeedFresh)
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
			c.host.Have(d.Key, true)
		case subset.Drop:
			c.host.Have(d.Key, false)
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
			c.host.Go(d.Key)
		case turns.Wake:
			c.host.WakeAfter(d.After)
		}
	}
}

// tell carries messages out, and what others told.
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
	c.host.Learned(item, unhealthy)
}

// heard takes a message.
func (c *Coordination) receive(body []byte) error {
	items, err := decodeSignals(body)
	if err == nil && c.Signals != nil {
		c.updateGateways()
		c.Signals.Clock(c.host.Now())
		c.Signals.Receive(&signals.Message{Items: items})
	}
	return err
}

// signalItem is one on its way, big-endian.
type signalItem struct {
	Kind     uint8
	Member   uint64
	Origin   uint32
	Sequence uint64
	Age      uint32 // microseconds x 4
	Value    int64
}

const ageUnit = 4e3 // nanoseconds

var errMalformedSignals = errors.New("malformed message of the signals")

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

// MemberView is a member as the fleet's gateways have it.
type MemberView struct {
	Key          uint64
	Group        int
	Zone         string
	Primary      bool
	Assigned     bool                  `json:"Here"` // this gateway has it
	Holders      []string              // who has it by the division
	Summary      signals.MemberSummary `json:"Known"`
	Unhealthy    bool                  `json:"Ill"`      // taken for ill by what others say
	GatewayCount int                   `json:"Gateways"` // in the list
}

// CoordinationView is all of it.
type CoordinationView struct {
	Subsets      bool
	Self         string
	Size         map[int]int // by group, members of a gateway
	WidenedBy    map[int]int `json:"Wider"` // and by how many more this one has
	Members      []MemberView
	Turns        []turns.TurnStatus
	SentMessages uint64 `json:"Sent"` // messages of the signals
}

// View tells how it stands.
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

// MarkOf is by which name gateways know a member: its name in the list, which is the same at all, as its address may not be.
func MemberKey(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return h.Sum64()
}
