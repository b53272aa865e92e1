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
type coordinator struct {
	g             *Gateway
	coordination  *fleet.Coordination
	memberNames   map[uint64]string        // of members, by their keys
	probeResults  map[uint64]decide.Result // what the latest probe of a member came to, here or elsewhere
	listResult    decide.Result            // and the latest call to the list service
	deferredCalls []callKind               // calls that wait for a turn
	primaries     map[int]uint64           // of each group, as another gateway last told
}

func newCoordinator(g *Gateway) (x *coordinator, err error) {
	x = &coordinator{g: g, memberNames: map[uint64]string{}, probeResults: map[uint64]decide.Result{}, primaries: map[int]uint64{}}
	x.coordination, err = fleet.NewCoordination(g.agreed.f, g.config.Coordination, x, g.seed)
	return x, err
}

// RunAsync runs work beside the loop.
func (x *coordinator) RunAsync(work func() (then func())) {
	go func() {
		then := work()
		x.g.post(then)
	}()
}

// WakeAfter has a turn come, Now is the gateway's clock, Logger its log.
func (x *coordinator) WakeAfter(delay int64) { x.g.agreed.WakeAfter(delay) }

// Now is for fleet.CoordinationHost.
func (x *coordinator) Now() int64 { return int64(x.g.clock.now()) }

// Logger is for fleet.CoordinationHost.
func (x *coordinator) Logger() *slog.Logger { return x.g.log }

// hostOf is a member of the list by its key.
func (x *coordinator) hostByKey(key uint64) (h host, ok bool) {
	h, ok = x.g.discovery.list.hosts[x.memberNames[key]]
	return h, ok
}

// members has the modules know of the list: of those that may get something new, in the order of their names.
func (x *coordinator) updateMembers() {
	var members []subset.Member
	hosts := x.g.discovery.list.hosts
	clear(x.memberNames)
	for _, name := range slices.Sorted(maps.Keys(hosts)) {
		h := hosts[name]
		x.memberNames[h.mark] = name
		if x.g.generations.health(&h.entry) != "active" {
			continue
		}
		primary := h.entry.Mode == "read-write" || x.primaries[h.entry.Block] == h.mark
		if s, ok := x.g.module.Primary(h.entry.Block); ok && s == h.server {
			primary = true
		}
		members = append(members, subset.Member{Key: h.mark, Group: h.entry.Block, Zone: h.entry.Site, Weight: 1, Primary: primary})
	}
	x.coordination.SetMembers(members)
}

// SetMember tells the module of a member, or has it forget one: it gets nothing new, and what is out to it ends there.
func (x *coordinator) SetMember(key uint64, enabled bool) {
	member, ok := x.hostByKey(key)
	switch {
	case !ok:
		return // it left the list, and the module was told
	case enabled:
		x.g.discovery.tellHost(member.entry)
	default:
		zone := slices.Index(x.g.names.Zones, member.entry.Site)
		for _, s := range []decide.Status{decide.Draining, decide.Removed} {
			x.g.module.UpdateMember(member.server, member.entry.Block, false, s, zone, member.entry.Share, -1, 0)
		}
		x.g.members.closeIdle(member.server)
	}
	x.g.module.RefreshMembers()
}

// ObserveMember tells what this gateway itself sees of a member.
func (x *coordinator) ObserveMember(key uint64) (observation fleet.MemberObservation, ok bool) {
	h, ok := x.hostByKey(key)
	if !ok {
		return observation, false
	}
	s := x.g.module.StateOf(h.server)
	observation = fleet.MemberObservation{Suspect: s.Suspect, Latency: int64(s.Latency) / 1000, InFlight: int64(s.InFlight)}
	if s.Primary && s.Position > 0 {
		observation.PrimaryPosition = int64(x.g.sessionPosition(s.Position))
	}
	return observation, s.Known
}

// GroupState tells what the decisions know of a group.
func (x *coordinator) GroupState(group int) (number int, primaryKnown bool, replicas, unproven int) {
	_, primaryKnown = x.g.module.Primary(group)
	for _, h := range x.g.discovery.list.hosts {
		if s := x.g.module.StateOf(h.server); h.entry.Block == group && s.Known && !s.Primary {
			if replicas++; s.NeedsPosition {
				unproven++
			}
		}
	}
	return group, primaryKnown, replicas, unproven
}

// ReceiveReport takes another gateway's word as a hint for the module.
func (x *coordinator) ReceiveReport(item signals.Item, unhealthy bool) {
	if item.Member == fleet.ListKey {
		if item.Kind == signals.Probe {
			x.receiveListResult(decide.Result(uint32(item.Value)))
		}
		return
	}
	h, ok := x.hostByKey(item.Member)
	if !ok {
		return
	}
	switch item.Kind {
	case signals.Primary, signals.Position:
		in := input{kind: inNews, server: h.server, position: x.g.clockTime(session.Position(item.Value))}
		if item.Kind == signals.Primary && x.g.config.ClockError == 0 {
			in.role = decide.RolePrimary
			if x.primaries[h.entry.Block] != h.mark {
				x.primaries[h.entry.Block] = h.mark
				x.updateMembers()
			}
		}
		x.g.inputs = append(x.g.inputs, in)
	case signals.Health:
		if unhealthy {
			x.g.module.ReportUnhealthy(h.server)
		} else if item.Value == signals.Healthy {
			x.g.module.ReportHealthy(h.server)
		}
	case signals.Probe:
		x.probeResults[item.Member] = decide.Result(uint32(item.Value))
		x.g.inputs = append(x.g.inputs, input{kind: inProbed, server: h.server, result: x.probeResults[item.Member]})
	}
}

// told has the others told what the module has learned of positions.
func (x *coordinator) reportUpdates(updates []decide.MemberUpdate) {
	for _, n := range updates {
		for _, h := range x.g.discovery.list.hosts {
			if h.server == n.Server {
				kind := signals.Position
				if n.Primary {
					kind = signals.Primary
				}
				x.coordination.Report(kind, h.mark, int64(x.g.sessionPosition(n.Position)))
			}
		}
	}
}

// probe has a member probed by this gateway, or by another one whose word counts for this one too.
func (x *coordinator) requestProbe(server decide.Server) {
	for _, h := range x.g.discovery.list.hosts {
		if h.server != server || x.coordination.Turns == nil {
			continue
		}
		if x.coordination.RequestTurn(h.mark) {
			x.g.inputs = append(x.g.inputs, input{kind: inProbed, server: server, result: x.probeResults[h.mark]})
			return
		}
		x.coordination.ProcessDecisions()
		return
	}
	x.g.members.probe(server)
}

// probed tells the others what a probe came to, if it was done for all.
func (x *coordinator) probeEnded(server decide.Server, r decide.Result) {
	for _, h := range x.g.discovery.list.hosts {
		if h.server == server && x.coordination.Turns != nil {
			x.probeResults[h.mark] = r
			x.coordination.CompleteTurn(h.mark, uint32(r))
		}
	}
}

// PerformTask does what this gateway's turn is for.
func (x *coordinator) PerformTask(key uint64) {
	if key == fleet.ListKey {
		x.makeDeferredCalls()
		return
	}
	if h, ok := x.hostByKey(key); ok {
		x.g.members.probe(h.server)
		return
	}
	x.coordination.CompleteTurn(key, uint32(decide.NotSent))
}

// holds tells whether a call to a list service that was down waits for another gateway's.
func (x *coordinator) deferCall(kind callKind, failing bool) bool {
	if x.coordination.Turns == nil || !failing {
		return false
	}
	if !slices.Contains(x.deferredCalls, kind) {
		x.deferredCalls = append(x.deferredCalls, kind)
	}
	if x.coordination.RequestTurn(fleet.ListKey) {
		x.receiveListResult(x.listResult)
	} else {
		x.coordination.ProcessDecisions()
	}
	return true
}

// called tells the others what a call came to.
func (x *coordinator) listCallEnded(r decide.Result) {
	if x.coordination.Turns != nil {
		x.listResult = r
		x.coordination.CompleteTurn(fleet.ListKey, uint32(r))
	}
}

// listed takes what another gateway's call came to: the service is up again, so that all may call, or it is not.
func (x *coordinator) receiveListResult(r decide.Result) {
	x.listResult = r
	switch {
	case len(x.deferredCalls) == 0:
	case r == decide.Committed:
		x.g.deadlines.Add(x.Now()+x.coordination.StartDelay(), due{kind: dueList})
	default:
		x.deferredCalls = nil
		x.g.inputs = append(x.g.inputs, input{kind: inListFailed})
	}
}

// asks makes the calls that wait.
func (x *coordinator) makeDeferredCalls() {
	for _, kind := range x.deferredCalls {
		if c := &x.g.discovery.calls[kind]; !c.asked && !c.dialled {
			x.g.discovery.ask(c)
		}
	}
	x.deferredCalls = nil
}

// Coordination tells of what is chosen together; nil where nothing is. Names are those of members, by their keys.
func (g *Gateway) Coordination(ctx context.Context) (v *fleet.CoordinationView, names map[uint64]string, err error) {
	err = g.inLoop(ctx, func() error {
		if g.coordinated == nil {
			return nil
		}
		x := g.coordinated.coordination.View()
		v, names = &x, map[uint64]string{fleet.ListKey: "the list"}
		for name, h := range g.discovery.list.hosts {
			names[h.mark] = name
		}
		return nil
	})
	return v, names, err
}
