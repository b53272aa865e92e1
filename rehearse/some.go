package rehearse

import (
	"fmt"

	"magpieglade/decide"
	"magpieglade/signals"
	"magpieglade/subset"
)

// some is what a node chooses together with others, where the scenario has it: which members its module knows of, and what
// it hears of them.
type some struct {
	n       *node
	module  *subset.Subset   // nil for all members
	signals *signals.Signals // nil where gateways tell each other nothing
	primary map[int]int      // of each group, as another gateway last told
}

// lookSpan is between looks at what is suspect, and what lacks.
const lookSpan = int64(100e6)

// subsets are the terms of a scenario's subsets.
func (s *Scenario) subsets() subset.Config {
	t := subset.DefaultConfig()
	t.MinMembers, t.Connections, t.MinOtherZone = s.SubsetSize, s.SubsetConnections, min(t.MinOtherZone, s.SubsetSize-1)
	return t
}

func newSome(n *node) (*some, error) {
	s := n.w.s
	if s.SubsetSize == 0 && !s.Signals {
		return nil, nil
	}
	x := &some{n: n, primary: map[int]int{}}
	var err error
	if s.SubsetSize > 0 {
		if x.module, err = subset.New(s.subsets(), n.w.gatewayOf(n.no), s.Seed); err != nil {
			return nil, err
		}
	}
	if s.Signals {
		if x.signals, err = signals.New(uint32(n.no), uint64(n.w.Now), s.Seed); err != nil {
			return nil, err
		}
		var others []uint32
		for i := range s.Gateways {
			if i != n.no {
				others = append(others, uint32(i))
			}
		}
		x.signals.SetFleet(uint32(n.no), others)
		var keys []uint64
		for _, d := range n.w.bases {
			keys = append(keys, n.w.keyOf(d))
		}
		x.signals.SetMembers(keys)
	}
	run := n.run
	var look func()
	look = func() {
		if n.run == run && n.up {
			x.look()
			n.w.After(lookSpan, look)
		}
	}
	n.w.After(lookSpan+int64(n.w.rng.Float64()*float64(lookSpan)), look)
	return x, err
}

// has tells whether the module is to know of a member.
func (x *some) has(d *database) bool { return x.module == nil || x.module.Has(x.n.w.keyOf(d)) }

// tells carries messages, and what others told.
func (x *some) tells() {
	if x.signals == nil {
		return
	}
	w, n, run := x.n.w, x.n, x.n.run
	x.signals.Clock(w.Now)
	for d, ok := x.signals.Next(); ok; d, ok = x.signals.Next() {
		switch d.Kind {
		case signals.Send:
			to, m := w.nodes[d.Message.To], d.Message
			if w.parts(n.no, to.no) {
				continue
			}
			there := to.run
			w.After(w.way(n.zone, to.zone), func() {
				if to.up && to.run == there && to.some != nil {
					to.some.signals.Clock(w.Now)
					to.some.signals.Receive(&m)
					to.some.tells()
				}
			})
		case signals.Deliver:
			x.learn(d.Item)
		case signals.Wake:
			w.After(d.After, func() {
				if n.run == run && n.up {
					x.tells()
				}
			})
		}
	}
}

func (x *some) learn(i signals.Item) {
	for _, d := range x.n.w.bases {
		if x.n.w.keyOf(d) != i.Member {
			continue
		}
		switch i.Kind {
		case signals.Primary:
			if x.primary[d.of.no] != d.no+1 && x.module != nil {
				x.primary[d.of.no] = d.no + 1
				x.list()
			}
			x.n.tell(func() {
				x.n.module.ReceiveUpdate(decide.MemberUpdate{Server: serverOf(d), Position: decide.Nanos(i.Value), Primary: true})
			})
		case signals.Health:
			x.n.tell(func() {
				if i.Value == signals.Healthy {
					x.n.module.ReportHealthy(serverOf(d))
				} else if x.signals.IsUnhealthy(i.Member) {
					x.n.module.ReportUnhealthy(serverOf(d))
				}
			})
		}
	}
}

func (w *world) gatewayOf(no int) subset.Gateway {
	return subset.Gateway{ID: uint64(no)*0x9e3779b97f4a7c15 + 1, Zone: w.s.Zones[no%len(w.s.Zones)]}
}

func (w *world) keyOf(d *database) uint64 { return uint64(d.no)*0xbf58476d1ce4e5b9 + 7 }

// divisionFor works a division out once for all that see the same.
func (w *world) divisionFor(members []subset.Member) *subset.Division {
	name := fmt.Sprint(members)
	if w.divisions[name] == nil {
		if len(w.divisions) > 256 {
			clear(w.divisions)
		}
		var gateways []subset.Gateway
		for _, n := range w.nodes {
			gateways = append(gateways, w.gatewayOf(n.no))
		}
		w.divisions[name] = subset.Divide(w.s.subsets(), gateways, members)
	}
	return w.divisions[name]
}

// list takes the list as it is.
func (x *some) list() {
	if x.module == nil {
		return
	}
	var members []subset.Member
	for _, d := range x.n.w.bases {
		if d.gone || d.drained {
			continue
		}
		p, ok := x.n.module.Primary(d.of.no)
		members = append(members, subset.Member{Key: x.n.w.keyOf(d), Group: d.of.no, Zone: x.n.w.s.Zones[d.zone], Weight: 1, Primary: ok && p == serverOf(d) || x.primary[d.of.no] == d.no+1})
	}
	x.module.Clock(x.n.w.Now)
	x.module.SetDivision(x.n.w.divisionFor(members).For(x.n.w.gatewayOf(x.n.no).ID))
	x.pull()
}

func (x *some) pull() {
	if x.module == nil {
		return
	}
	w, n := x.n.w, x.n
	x.module.Clock(w.Now)
	for d, ok := x.module.Next(); ok; d, ok = x.module.Next() {
		if d.Kind == subset.Wake {
			run := n.run
			w.After(d.After, func() {
				if n.run == run && n.up {
					x.pull()
				}
			})
			continue
		}
		for _, b := range w.bases {
			if w.keyOf(b) != d.Key {
				continue
			}
			n.tell(func() {
				if d.Kind == subset.Add {
					n.listed(b)
				} else {
					for _, st := range []decide.Status{decide.Draining, decide.Removed} {
						n.module.UpdateMember(serverOf(b), b.of.no, false, st, b.zone, 1, 0, decide.Nanos(b.born))
					}
					if l := &n.links[b.no]; l.run == b.run {
						b.conns -= l.idle
						l.idle = 0
					}
				}
				n.module.RefreshMembers()
			})
		}
	}
}

// look has the modules know what this gateway sees.
func (x *some) look() {
	w := x.n.w
	moved := false
	known := make([]bool, len(w.groups))
	for i, g := range w.groups {
		var p decide.Server
		if p, known[i] = x.n.module.Primary(g.no); known[i] {
			moved = moved || !x.has(w.baseOf(p))
		}
	}
	replicas, lacking := make([]int, len(w.groups)), make([]int, len(w.groups))
	for _, d := range w.bases {
		s := x.n.module.StateOf(serverOf(d))
		if s.Known && !s.Primary {
			if replicas[d.of.no]++; s.NeedsPosition {
				lacking[d.of.no]++
			}
		}
		if x.module != nil {
			x.module.SetSuspect(w.keyOf(d), s.Suspect)
		}
		if x.signals == nil || !s.Known {
			continue
		}
		x.signals.Clock(w.Now)
		if s.Primary && s.Position > 0 {
			x.signals.Observe(signals.Primary, w.keyOf(d), int64(s.Position))
		}
		if s.Suspect {
			x.signals.Observe(signals.Health, w.keyOf(d), signals.Unhealthy)
		} else if s.Latency > 0 {
			x.signals.Observe(signals.Health, w.keyOf(d), signals.Healthy)
		}
	}
	x.tells()
	if x.module == nil {
		return
	}
	x.module.Clock(w.Now)
	for no := range w.groups {
		x.module.Observe(no, known[no], replicas[no], lacking[no])
	}
	if moved {
		x.list()
		return
	}
	x.pull()
}
