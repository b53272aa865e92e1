package rehearse

import (
	"fmt"

	"magpieglade/decide"
	"magpieglade/signals"
	"magpieglade/subset"
)

// subsetHost hosts the subset and signals modules of a gateway: they select the members that its decision module knows, and
// exchange observations of them with other gateways.
type subsetHost struct {
	gateway   *simGateway
	module    *subset.Subset    // nil for all members
	signals   *signals.Signals  // nil where gateways exchange no signals
	primaries signals.Primaries // as other gateways reported
}

// observeInterval is the time between checks for suspect members and missing positions.
const observeInterval = int64(100e6)

// subsetConfig is the configuration of a scenario's subsets.
func (s *Scenario) subsetConfig() subset.Config {
	t := subset.DefaultConfig()
	t.MinMembers, t.Connections, t.MinOtherZone = s.SubsetSize, s.SubsetConnections, min(t.MinOtherZone, s.SubsetSize-1)
	return t
}

func newSubsetHost(n *simGateway) (*subsetHost, error) {
	s := n.w.scenario
	if s.SubsetSize == 0 && !s.Signals {
		return nil, nil
	}
	x := &subsetHost{gateway: n}
	var err error
	if s.SubsetSize > 0 {
		if x.module, err = subset.New(s.subsetConfig(), n.w.gatewayOf(n.index), s.Seed); err != nil {
			return nil, err
		}
	}
	if s.Signals {
		if x.signals, err = signals.New(uint32(n.index), uint64(n.w.Now), s.Seed); err != nil {
			return nil, err
		}
		var others []uint32
		for i := range s.Gateways {
			if i != n.index {
				others = append(others, uint32(i))
			}
		}
		x.signals.SetFleet(uint32(n.index), others)
		var keys []uint64
		for _, d := range n.w.databases {
			keys = append(keys, n.w.keyOf(d))
		}
		x.signals.SetMembers(keys)
	}
	run := n.incarnation
	var look func()
	look = func() {
		if n.incarnation == run && n.up {
			x.observe()
			n.w.After(observeInterval, look)
		}
	}
	n.w.After(observeInterval+int64(n.w.rng.Float64()*float64(observeInterval)), look)
	return x, err
}

// has reports whether the decision module is to know a member.
func (x *subsetHost) has(d *database) bool {
	return x.module == nil || x.module.Has(x.gateway.w.keyOf(d))
}

// exchangeSignals sends pending messages and applies what other gateways reported.
func (x *subsetHost) exchangeSignals() {
	if x.signals == nil {
		return
	}
	w, n, run := x.gateway.w, x.gateway, x.gateway.incarnation
	x.signals.Clock(w.Now)
	for d, ok := x.signals.Next(); ok; d, ok = x.signals.Next() {
		switch d.Kind {
		case signals.Send:
			to, m := w.gateways[d.Message.To], d.Message
			if w.lostBetween(n.index, to.index) {
				continue
			}
			there := to.incarnation
			w.After(w.networkDelay(n.zone, to.zone), func() {
				if to.up && to.incarnation == there && to.subset != nil {
					to.subset.signals.Clock(w.Now)
					to.subset.signals.Receive(&m)
					to.subset.exchangeSignals()
				}
			})
		case signals.Deliver:
			x.applySignal(d.Item)
		case signals.Wake:
			w.After(d.After, func() {
				if n.incarnation == run && n.up {
					x.exchangeSignals()
				}
			})
		}
	}
}

func (x *subsetHost) applySignal(i signals.Item) {
	for _, d := range x.gateway.w.databases {
		if x.gateway.w.keyOf(d) != i.Member {
			continue
		}
		switch i.Kind {
		case signals.Primary:
			if x.primaries.Receive(d.group.index, i.Member, i.Value, x.gateway.w.Now) && x.module != nil {
				x.updateDivision()
			}
			x.gateway.step(func() {
				x.gateway.module.ReceiveUpdate(decide.MemberUpdate{Server: serverOf(d), Position: decide.Nanos(i.Value), Primary: true})
			})
		case signals.Health:
			x.gateway.step(func() {
				if i.Value == signals.Healthy {
					x.gateway.module.ReportHealthy(serverOf(d))
				} else if x.signals.IsUnhealthy(i.Member) {
					x.gateway.module.ReportUnhealthy(serverOf(d))
				}
			})
		}
	}
}

func (w *simulation) gatewayOf(no int) subset.Gateway {
	return subset.Gateway{ID: uint64(no)*0x9e3779b97f4a7c15 + 1, Zone: w.scenario.Zones[no%len(w.scenario.Zones)]}
}

func (w *simulation) keyOf(d *database) uint64 { return uint64(d.index)*0xbf58476d1ce4e5b9 + 7 }

// divisionFor caches divisions, so that gateways that see the same members share one.
func (w *simulation) divisionFor(members []subset.Member) *subset.Division {
	name := fmt.Sprint(members)
	if w.divisions[name] == nil {
		if len(w.divisions) > 256 {
			clear(w.divisions)
		}
		var gateways []subset.Gateway
		for _, n := range w.gateways {
			gateways = append(gateways, w.gatewayOf(n.index))
		}
		w.divisions[name] = subset.Divide(w.scenario.subsetConfig(), gateways, members)
	}
	return w.divisions[name]
}

// updateDivision recomputes the subset from the current member list.
func (x *subsetHost) updateDivision() {
	if x.module == nil {
		return
	}
	var members []subset.Member
	for _, d := range x.gateway.w.databases {
		if d.delisted || x.gateway.drained[d.index] {
			continue
		}
		p, ok := x.gateway.module.Primary(d.group.index)
		members = append(members, subset.Member{Key: x.gateway.w.keyOf(d), Group: d.group.index, Zone: x.gateway.w.scenario.Zones[d.zone], Weight: 1, Primary: ok && p == serverOf(d) || x.primaries.Is(d.group.index, x.gateway.w.keyOf(d))})
	}
	x.module.Clock(x.gateway.w.Now)
	x.module.SetDivision(x.gateway.w.divisionFor(members).For(x.gateway.w.gatewayOf(x.gateway.index).ID))
	x.executePending()
}

func (x *subsetHost) executePending() {
	if x.module == nil {
		return
	}
	w, n := x.gateway.w, x.gateway
	x.module.Clock(w.Now)
	for d, ok := x.module.Next(); ok; d, ok = x.module.Next() {
		if d.Kind == subset.Wake {
			run := n.incarnation
			w.After(d.After, func() {
				if n.incarnation == run && n.up {
					x.executePending()
				}
			})
			continue
		}
		for _, b := range w.databases {
			if w.keyOf(b) != d.Key {
				continue
			}
			n.step(func() {
				if d.Kind == subset.Add {
					n.updateMember(b)
				} else {
					for _, st := range []decide.Status{decide.Draining, decide.Removed} {
						n.module.UpdateMember(serverOf(b), b.group.index, false, st, b.zone, 1, 0, decide.Nanos(b.startedAt))
					}
					if l := &n.links[b.index]; l.incarnation == b.incarnation {
						b.connections -= l.idle
						l.idle = 0
					}
				}
				n.module.RefreshMembers()
			})
		}
	}
}

// observe passes this gateway's observations of members to the modules.
func (x *subsetHost) observe() {
	w := x.gateway.w
	moved := false
	known := make([]bool, len(w.groups))
	for i, g := range w.groups {
		var p decide.Server
		if p, known[i] = x.gateway.module.Primary(g.index); known[i] {
			moved = moved || !x.has(w.databaseFor(p))
		}
	}
	replicas, needPosition := make([]int, len(w.groups)), make([]int, len(w.groups))
	for _, d := range w.databases {
		s := x.gateway.module.StateOf(serverOf(d))
		if s.Known && !s.Primary {
			if replicas[d.group.index]++; s.NeedsPosition {
				needPosition[d.group.index]++
			}
		}
		if x.module != nil {
			x.module.SetSuspect(w.keyOf(d), s.Suspect)
		}
		if x.signals == nil || !s.Known {
			continue
		}
		x.signals.Clock(w.Now)
		if s.PrimaryPosition > 0 {
			x.signals.Observe(signals.Primary, w.keyOf(d), int64(s.PrimaryPosition))
		}
		if s.Suspect {
			x.signals.Observe(signals.Health, w.keyOf(d), signals.Unhealthy)
		} else if s.Latency > 0 {
			x.signals.Observe(signals.Health, w.keyOf(d), signals.Healthy)
		}
	}
	x.exchangeSignals()
	if x.module == nil {
		return
	}
	x.module.Clock(w.Now)
	for no := range w.groups {
		if x.module.Observe(no, known[no], replicas[no], needPosition[no]) == subset.NeedPrimary {
			x.gateway.module.SeekPrimary(w.groups[no].index)
		}
	}
	if moved {
		x.updateDivision()
		return
	}
	x.executePending()
}
