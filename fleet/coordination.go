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
const kindOfSignals = 65

// CoordinationPlan is what the operator says of choices that many gateways make together.
type CoordinationPlan struct {
	Subset  *subset.Config // nil: each gateway has every member
	Signals bool
	Turns   bool  // needs Signals, by which words go
	Wait    int64 // see turns.Config
}

// Check names what is wrong with it.
func (p *CoordinationPlan) Check() error {
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
	Beside(work func() (then func()))         // run work beside the loop, then what it gives on it
	WakeAfter(span int64)                     //
	Now() int64                               //
	Have(key uint64, on bool)                 // the decisions are to know of a member, or to forget it
	Learned(x signals.Item, ill bool)         // another gateway's word; ill: enough find its member ill
	Go(key uint64)                            // do what was asked for by Ask, then call Did
	Logger() *slog.Logger                     //
	Observe(key uint64) (s Observed, ok bool) // of a member that the decisions know of
	// Sees gives a group back, whether its primary is known, how many replicas the decisions know of and how many lack proof.
	Sees(group int) (no int, primary bool, replicas, lacking int)
}

// Observed is what this gateway itself knows of a member, as far as others may want it.
type Observed struct {
	Suspect  bool
	Latency  int64 // microseconds, 0 for none
	InFlight int64
	Primary  int64 // its position, Unix nanoseconds, where it is its group's primary, else 0
}

// Spans. Ours: signals and subsets need no more than what a person takes for at once, a rate is told when it has settled.
const (
	lookSpan    = int64(100e6) // between looks at the members
	trafficSpan = int64(5e9)   // between words on this gateway's traffic
	spreadSpan  = int64(500e6) // over which calls come that all may make
	inline      = 20_000       // pairs of gateways and members up to which a division is worked out on the loop
)

// ListKey stands for the list service among turns.
const ListKey = uint64(0)

// Coordination hosts what gateways choose together without agreeing on it. It belongs to the loop.
type Coordination struct {
	f       *Fleet
	plan    *CoordinationPlan
	host    CoordinationHost
	Signals *signals.Signals // nil where gateways tell each other nothing
	Turns   *turns.Turns     // nil where each goes for itself
	Subset  *subset.Subset   // nil where each has every member

	rng      *rand.Rand
	self     uint32
	places   map[uint32]agreement.ID
	names    map[uint32]string
	numbers  []uint32 // of all, in order
	gateways []subset.Gateway
	members  []subset.Member
	holders  map[uint64][]uint32 // who has a member, by their numbers
	stamp    uint64              // of the list that is known
	wide     map[int]bool        // groups whose subset is wider than it is to be
	changed  bool                // a list has changed since the last division
	dividing bool
	lookAt   int64
	txns     int64 // since tellAt
	tellAt   int64
	out      []byte
}

// NewCoordination prepares it.
func NewCoordination(f *Fleet, p *CoordinationPlan, h CoordinationHost, seed uint64) (*Coordination, error) {
	c := &Coordination{f: f, plan: p, host: h, places: map[uint32]agreement.ID{}, names: map[uint32]string{}, holders: map[uint64][]uint32{}, wide: map[int]bool{},
		rng: rand.New(rand.NewPCG(seed, uint64(f.me.ID)))}
	var err error
	if p.Signals {
		if c.Signals, err = signals.New(0, f.me.Epoch, seed); err != nil {
			return nil, err
		}
	}
	if p.Turns {
		if c.Turns, err = turns.New(turns.Config{Wait: p.Wait}); err != nil {
			return nil, err
		}
	}
	if p.Subset != nil {
		if c.Subset, err = subset.New(*p.Subset, subset.Gateway{ID: uint64(f.me.ID), Zone: f.plan.Zone}, seed); err != nil {
			return nil, err
		}
	}
	f.coordination = c
	return c, nil
}

// Members takes the list of members as this gateway has it.
func (c *Coordination) Members(all []subset.Member) {
	c.members, c.changed = slices.Clone(all), true
	if c.Signals != nil {
		var keys []uint64
		for _, m := range all {
			keys = append(keys, m.Key)
		}
		c.Signals.SetMembers(keys)
	}
	c.divide()
}

// list takes the list of gateways, if it has changed.
func (c *Coordination) list() {
	held := c.f.Held()
	if held.Revision == c.stamp {
		return
	}
	c.stamp = held.Revision
	clear(c.places)
	clear(c.names)
	c.gateways, c.numbers = c.gateways[:0:0], nil
	var others []uint32
	self, in := c.self, false
	for _, g := range held.Gateways {
		no := uint32(g.Number)
		c.places[no], c.names[no] = g.ID, g.Name
		c.numbers = append(c.numbers, no)
		c.gateways = append(c.gateways, subset.Gateway{ID: uint64(g.ID), Zone: g.Zone})
		if g.ID == c.f.me.ID {
			self, in = no, true
		} else {
			others = append(others, no)
		}
	}
	if !in {
		others = nil // its words would be nobody's
	}
	slices.Sort(c.numbers)
	c.self, c.changed = self, true
	if c.Signals != nil {
		c.Signals.SetFleet(self, others)
	}
	if c.Turns != nil {
		c.Turns.SetSelf(self)
	}
}

// divide works out who has which member, once a list has changed: a large one beside the loop.
func (c *Coordination) divide() {
	if c.Subset == nil || !c.changed || c.dividing {
		return
	}
	c.changed = false
	terms, self, gateways, members := *c.plan.Subset, uint64(c.f.me.ID), c.gateways, c.members
	if len(gateways)*len(members) <= inline {
		c.divided(subset.Divide(terms, gateways, members).For(self))
		return
	}
	c.dividing = true
	c.host.Beside(func() func() {
		all := subset.Divide(terms, gateways, members).For(self)
		return func() {
			c.dividing = false
			c.divided(all)
			c.divide()
		}
	})
}

func (c *Coordination) divided(all []subset.GroupDivision) {
	clear(c.holders)
	numbers := map[uint64]uint32{}
	for no, id := range c.places {
		numbers[uint64(id)] = no
	}
	for _, d := range all {
		for i, m := range d.Members {
			for _, id := range d.Holders[i] {
				c.holders[m.Key] = append(c.holders[m.Key], numbers[id])
			}
		}
	}
	c.Subset.Clock(c.host.Now())
	c.Subset.SetDivision(all)
	c.subsets()
}

// Chance is a time by chance by which calls that all may make now are spread.
func (c *Coordination) Chance() int64 { return int64(c.rng.Float64() * float64(spreadSpan)) }

// Has tells whether the decisions are to know of a member.
func (c *Coordination) Has(key uint64) bool { return c.Subset == nil || c.Subset.Has(key) }

// Txn counts one that came.
func (c *Coordination) Txn() {
	c.txns++
	if c.Signals != nil {
		c.Signals.AddTxn()
	}
}

// Saw has the others told of what this gateway learned.
func (c *Coordination) Saw(kind signals.Kind, key uint64, value int64) {
	if c.Signals != nil {
		c.Signals.Clock(c.host.Now())
		c.Signals.Observe(kind, key, value)
	}
}

// Ask has this gateway, or another one, do what a key stands for. fresh tells that it was done a moment ago; Known gives
// what it came to.
func (c *Coordination) Ask(key uint64) (fresh bool) {
	var among []turns.Candidate
	all := c.holders[key]
	if len(all) == 0 || !slices.Contains(all, c.self) {
		all = c.numbers
	}
	for _, no := range all {
		weight := 1.0
		if no == c.self {
			weight += float64(c.txns)
		} else {
			weight += float64(c.Signals.Traffic(no))
		}
		among = append(among, turns.Candidate{ID: no, Weight: weight})
	}
	c.Turns.Clock(c.host.Now())
	return c.Turns.Request(key, among)
}

// Did tells what came of what a key stands for, in the host's numbers below 2^32, and has the others told.
func (c *Coordination) Did(key uint64, result uint32) {
	now := c.host.Now()
	c.Turns.Clock(now)
	for _, t := range c.Turns.Status() {
		if t.Key == key && t.Running {
			c.Turns.Complete(key, t.Round)
			c.Saw(signals.Probe, key, int64(t.Round)<<32|int64(result))
		}
	}
}

// Turn carries out what the modules decide until there is nothing left.
func (c *Coordination) Turn() {
	now := c.host.Now()
	c.list()
	c.divide()
	if now >= c.lookAt {
		c.look(now)
	}
	c.subsets()
	c.takeTurns(now)
	c.tell(now)
}

// look has the modules know what this gateway itself sees of its members.
func (c *Coordination) look(now int64) {
	c.lookAt = now + lookSpan
	c.host.WakeAfter(lookSpan)
	if span := now - c.tellAt; span >= trafficSpan {
		if c.tellAt > 0 {
			c.Saw(signals.Traffic, 0, c.txns*1e9/span)
		}
		c.tellAt, c.txns = now, 0
	}
	groups := map[int]bool{}
	for _, m := range c.members {
		groups[m.Group] = true
		s, ok := c.host.Observe(m.Key)
		if ok && c.Signals != nil {
			c.Signals.Clock(now)
			if s.Suspect {
				c.Signals.Observe(signals.Health, m.Key, signals.Unhealthy)
			} else if s.Latency > 0 {
				c.Signals.Observe(signals.Health, m.Key, signals.Healthy)
			}
			if s.Primary > 0 {
				c.Signals.Observe(signals.Primary, m.Key, s.Primary)
			}
			if s.Latency > 0 {
				c.Signals.Observe(signals.Latency, m.Key, s.Latency)
				c.Signals.Observe(signals.Load, m.Key, s.InFlight)
			}
		}
		if c.Subset != nil {
			c.Subset.SetSuspect(m.Key, s.Suspect || c.Signals != nil && !ok && c.Signals.IsUnhealthy(m.Key))
		}
	}
	if c.Subset != nil {
		c.Subset.Clock(now)
		for _, no := range slices.Sorted(maps.Keys(groups)) {
			lacks := c.Subset.Observe(c.host.Sees(no))
			if wide := c.Subset.Widened(no) > 0; wide != c.wide[no] {
				c.wide[no] = wide
				c.host.Logger().Info("coordination: subset of members", "group", no, "wider", wide, "no_primary_known", lacks == subset.NeedPrimary, "none_fresh", lacks == subset.NeedFresh)
			}
		}
	}
}

func (c *Coordination) subsets() {
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

func (c *Coordination) takeTurns(now int64) {
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
func (c *Coordination) tell(now int64) {
	if c.Signals == nil {
		return
	}
	c.Signals.Clock(now)
	for d, ok := c.Signals.Next(); ok; d, ok = c.Signals.Next() {
		switch d.Kind {
		case signals.Send:
			if to, known := c.f.known[c.places[d.Message.To]]; known {
				c.f.sendSealed(appendSignals(c.out[:0], d.Message.Items), to)
			}
		case signals.Deliver:
			c.learn(d.Item)
		case signals.Wake:
			c.host.WakeAfter(d.After)
		}
	}
}

func (c *Coordination) learn(x signals.Item) {
	ill := x.Kind == signals.Health && c.Signals.IsUnhealthy(x.Member)
	if x.Kind == signals.Probe {
		if c.Turns == nil {
			return
		}
		c.Turns.Clock(c.host.Now())
		if !c.Turns.PeerCompleted(x.Member, uint32(x.Value>>32)) {
			return
		}
	}
	c.host.Learned(x, ill)
}

// heard takes a message.
func (c *Coordination) heard(body []byte) error {
	items, err := readSignals(body)
	if err == nil && c.Signals != nil {
		c.list()
		c.Signals.Clock(c.host.Now())
		c.Signals.Receive(&signals.Message{Items: items})
	}
	return err
}

// signalItem is one on its way, big-endian.
type signalItem struct {
	Kind   uint8
	Member uint64
	Origin uint32
	No     uint64
	Age    uint32 // microseconds x 4
	Value  int64
}

const ageUnit = 4e3 // nanoseconds

var errSignals = errors.New("malformed message of the signals")

func appendSignals(dst []byte, items []signals.Item) []byte {
	dst = append(dst, kindOfSignals)
	for _, x := range items {
		dst, _ = binary.Append(dst, binary.BigEndian, &signalItem{uint8(x.Kind), x.Member, x.Origin, x.Sequence, uint32(min(x.Age/ageUnit, 1<<32-1)), x.Value})
	}
	return dst
}

func readSignals(text []byte) ([]signals.Item, error) {
	size := binary.Size(signalItem{})
	if len(text) < 1 || (len(text)-1)%size != 0 || len(text) > 1+signals.MaxItemsPerMessage*size {
		return nil, errSignals
	}
	all := make([]signalItem, (len(text)-1)/size)
	if binary.Read(bytes.NewReader(text[1:]), binary.BigEndian, all) != nil {
		return nil, errSignals
	}
	var items []signals.Item
	for _, x := range all {
		items = append(items, signals.Item{Kind: signals.Kind(x.Kind), Member: x.Member, Origin: x.Origin, Sequence: x.No, Age: int64(x.Age) * ageUnit, Value: x.Value})
	}
	return items, nil
}

// MemberView is a member as the fleet's gateways have it.
type MemberView struct {
	Key      uint64
	Group    int
	Zone     string
	Primary  bool
	Here     bool     // this gateway has it
	Holders  []string // who has it by the division
	Known    signals.MemberSummary
	Ill      bool // taken for ill by what others say
	Gateways int  // in the list
}

// CoordinationView is all of it.
type CoordinationView struct {
	Subsets bool
	Self    string
	Size    map[int]int // by group, members of a gateway
	Wider   map[int]int // and by how many more this one has
	Members []MemberView
	Turns   []turns.TurnStatus
	Sent    uint64 // messages of the signals
}

// View tells how it stands.
func (c *Coordination) View() CoordinationView {
	v := CoordinationView{Subsets: c.Subset != nil, Self: c.f.plan.Name, Size: map[int]int{}, Wider: map[int]int{}}
	groups := map[int]int{}
	for _, m := range c.members {
		groups[m.Group]++
		x := MemberView{Key: m.Key, Group: m.Group, Zone: m.Zone, Primary: m.Primary, Here: c.Has(m.Key), Gateways: len(c.gateways)}
		for _, no := range c.holders[m.Key] {
			x.Holders = append(x.Holders, c.names[no])
		}
		slices.Sort(x.Holders)
		if c.Signals != nil {
			c.Signals.Clock(c.host.Now())
			x.Known, x.Ill = c.Signals.Summary(m.Key), c.Signals.IsUnhealthy(m.Key)
		}
		v.Members = append(v.Members, x)
	}
	slices.SortFunc(v.Members, func(x, y MemberView) int { return cmp.Or(cmp.Compare(x.Group, y.Group), cmp.Compare(x.Key, y.Key)) })
	for _, no := range slices.Sorted(maps.Keys(groups)) {
		v.Size[no] = groups[no]
		if c.Subset != nil {
			v.Size[no], v.Wider[no] = c.plan.Subset.Size(len(c.gateways), groups[no]), c.Subset.Widened(no)
		}
	}
	if c.Turns != nil {
		c.Turns.Clock(c.host.Now())
		v.Turns = c.Turns.Status()
	}
	if c.Signals != nil {
		v.Sent = c.Signals.Sent
	}
	return v
}

// MarkOf is by which name gateways know a member: its name in the list, which is the same at all, as its address may not be.
func MarkOf(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return h.Sum64()
}
