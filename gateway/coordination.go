package gateway

import (
	"context"
	"log/slog"
	"maps"
	"slices"

	"magpieglade/decide"
	"magpieglade/fleet"
	"magpieglade/session"
	"magpieglade/signals"
	"magpieglade/subset"
)

// coordinated is what this gateway chooses together with others: fleet.Coordination decides, here it is carried out.
type coordinated struct {
	g       *Gateway
	c       *fleet.Coordination
	names   map[uint64]string        // of members, by their keys
	probes  map[uint64]decide.Result // what the latest probe of a member came to, here or elsewhere
	list    decide.Result            // and the latest call to the list service
	waiting []callKind               // calls that wait for a turn
	primary map[int]uint64           // of each group, as another gateway last told
}

func newCoordinated(g *Gateway) (x *coordinated, err error) {
	x = &coordinated{g: g, names: map[uint64]string{}, probes: map[uint64]decide.Result{}, primary: map[int]uint64{}}
	x.c, err = fleet.NewCoordination(g.agreed.fleet, g.config.Coordination, x, g.seed)
	return x, err
}

// RunAsync runs work beside the loop.
func (x *coordinated) RunAsync(work func() (then func())) {
	go func() {
		then := work()
		x.g.post(then)
	}()
}

// WakeAfter has a turn come, Now is the gateway's clock, Logger its log.
func (x *coordinated) WakeAfter(span int64) { x.g.agreed.WakeAfter(span) }

// Now is for fleet.CoordinationHost.
func (x *coordinated) Now() int64 { return int64(x.g.clock.now()) }

// Logger is for fleet.CoordinationHost.
func (x *coordinated) Logger() *slog.Logger { return x.g.log }

// hostOf is a member of the list by its key.
func (x *coordinated) hostOf(key uint64) (h host, ok bool) {
	h, ok = x.g.discovery.list.hosts[x.names[key]]
	return h, ok
}

// members has the modules know of the list: of those that may get something new, in the order of their names.
func (x *coordinated) members() {
	var all []subset.Member
	hosts := x.g.discovery.list.hosts
	clear(x.names)
	for _, name := range slices.Sorted(maps.Keys(hosts)) {
		h := hosts[name]
		x.names[h.mark] = name
		if x.g.generations.memberHealth(&h.entry) != "active" {
			continue
		}
		primary := h.entry.Mode == "read-write" || x.primary[h.entry.Block] == h.mark
		if s, ok := x.g.module.Primary(h.entry.Block); ok && s == h.server {
			primary = true
		}
		all = append(all, subset.Member{Key: h.mark, Group: h.entry.Block, Zone: h.entry.Site, Weight: 1, Primary: primary})
	}
	x.c.SetMembers(all)
}

// SetMember tells the module of a member, or has it forget one: it gets nothing new, and what is out to it ends there.
func (x *coordinated) SetMember(key uint64, on bool) {
	h, ok := x.hostOf(key)
	switch {
	case !ok:
		return // it left the list, and the module was told
	case on:
		x.g.discovery.tellHost(h.entry)
	default:
		zone := slices.Index(x.g.names.Zones, h.entry.Site)
		for _, s := range []decide.Status{decide.Draining, decide.Removed} {
			x.g.module.UpdateMember(h.server, h.entry.Block, false, s, zone, h.entry.Share, -1, 0)
		}
		x.g.members.closeIdle(h.server)
	}
	x.g.module.RefreshMembers()
}

// ObserveMember tells what this gateway itself sees of a member.
func (x *coordinated) ObserveMember(key uint64) (o fleet.MemberObservation, ok bool) {
	h, ok := x.hostOf(key)
	if !ok {
		return o, false
	}
	s := x.g.module.StateOf(h.server)
	o = fleet.MemberObservation{Suspect: s.Suspect, Latency: int64(s.Latency) / 1000, InFlight: int64(s.InFlight)}
	if s.Primary && s.Position > 0 {
		o.PrimaryPosition = int64(x.g.position(s.Position))
	}
	return o, s.Known
}

// GroupState tells what the decisions know of a group.
func (x *coordinated) GroupState(group int) (no int, primary bool, replicas, lacking int) {
	_, primary = x.g.module.Primary(group)
	for _, h := range x.g.discovery.list.hosts {
		if s := x.g.module.StateOf(h.server); h.entry.Block == group && s.Known && !s.Primary {
			if replicas++; s.NeedsPosition {
				lacking++
			}
		}
	}
	return group, primary, replicas, lacking
}

// ReceiveReport takes another gateway's word as a hint for the module.
func (x *coordinated) ReceiveReport(i signals.Item, ill bool) {
	if i.Member == fleet.ListKey {
		if i.Kind == signals.Probe {
			x.listed(decide.Result(uint32(i.Value)))
		}
		return
	}
	h, ok := x.hostOf(i.Member)
	if !ok {
		return
	}
	switch i.Kind {
	case signals.Primary, signals.Position:
		in := input{kind: inNews, server: h.server, position: x.g.onClock(session.Position(i.Value))}
		if i.Kind == signals.Primary && x.g.config.ClockError == 0 {
			in.role = decide.RolePrimary
			if x.primary[h.entry.Block] != h.mark {
				x.primary[h.entry.Block] = h.mark
				x.members()
			}
		}
		x.g.inputs = append(x.g.inputs, in)
	case signals.Health:
		if ill {
			x.g.module.ReportUnhealthy(h.server)
		} else if i.Value == signals.Healthy {
			x.g.module.ReportHealthy(h.server)
		}
	case signals.Probe:
		x.probes[i.Member] = decide.Result(uint32(i.Value))
		x.g.inputs = append(x.g.inputs, input{kind: inProbed, server: h.server, result: x.probes[i.Member]})
	}
}

// told has the others told what the module has learned of positions.
func (x *coordinated) told(all []decide.MemberUpdate) {
	for _, n := range all {
		for _, h := range x.g.discovery.list.hosts {
			if h.server == n.Server {
				kind := signals.Position
				if n.Primary {
					kind = signals.Primary
				}
				x.c.Report(kind, h.mark, int64(x.g.position(n.Position)))
			}
		}
	}
}

// probe has a member probed by this gateway, or by another one whose word counts for this one too.
func (x *coordinated) probe(server decide.Server) {
	for _, h := range x.g.discovery.list.hosts {
		if h.server != server || x.c.Turns == nil {
			continue
		}
		if x.c.RequestTurn(h.mark) {
			x.g.inputs = append(x.g.inputs, input{kind: inProbed, server: server, result: x.probes[h.mark]})
			return
		}
		x.c.ProcessDecisions()
		return
	}
	x.g.members.probe(server)
}

// probed tells the others what a probe came to, if it was done for all.
func (x *coordinated) probed(server decide.Server, r decide.Result) {
	for _, h := range x.g.discovery.list.hosts {
		if h.server == server && x.c.Turns != nil {
			x.probes[h.mark] = r
			x.c.CompleteTurn(h.mark, uint32(r))
		}
	}
}

// PerformTask does what this gateway's turn is for.
func (x *coordinated) PerformTask(key uint64) {
	if key == fleet.ListKey {
		x.asks()
		return
	}
	if h, ok := x.hostOf(key); ok {
		x.g.members.probe(h.server)
		return
	}
	x.c.CompleteTurn(key, uint32(decide.NotSent))
}

// holds tells whether a call to a list service that was down waits for another gateway's.
func (x *coordinated) holds(kind callKind, failing bool) bool {
	if x.c.Turns == nil || !failing {
		return false
	}
	if !slices.Contains(x.waiting, kind) {
		x.waiting = append(x.waiting, kind)
	}
	if x.c.RequestTurn(fleet.ListKey) {
		x.listed(x.list)
	} else {
		x.c.ProcessDecisions()
	}
	return true
}

// called tells the others what a call came to.
func (x *coordinated) called(r decide.Result) {
	if x.c.Turns != nil {
		x.list = r
		x.c.CompleteTurn(fleet.ListKey, uint32(r))
	}
}

// listed takes what another gateway's call came to: the service is up again, so that all may call, or it is not.
func (x *coordinated) listed(r decide.Result) {
	x.list = r
	switch {
	case len(x.waiting) == 0:
	case r == decide.Committed:
		x.g.deadlines.Add(x.Now()+x.c.StartDelay(), due{kind: dueList})
	default:
		x.waiting = nil
		x.g.inputs = append(x.g.inputs, input{kind: inListFailed})
	}
}

// asks makes the calls that wait.
func (x *coordinated) asks() {
	for _, kind := range x.waiting {
		if c := &x.g.discovery.calls[kind]; !c.asked && !c.dialled {
			x.g.discovery.ask(c)
		}
	}
	x.waiting = nil
}

// Coordination tells of what is chosen together; nil where nothing is. Names are those of members, by their keys.
func (g *Gateway) Coordination(ctx context.Context) (v *fleet.CoordinationView, names map[uint64]string, err error) {
	err = g.inLoop(ctx, func() error {
		if g.coordinated == nil {
			return nil
		}
		x := g.coordinated.c.View()
		v, names = &x, map[uint64]string{fleet.ListKey: "the list"}
		for name, h := range g.discovery.list.hosts {
			names[h.mark] = name
		}
		return nil
	})
	return v, names, err
}
