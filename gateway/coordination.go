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

// coordinator carries out the decisions of fleet.Coordination: the choices that this gateway makes together with others.
// It implements fleet.CoordinationHost.
type coordinator struct {
	g             *Gateway
	coordination  *fleet.Coordination
	memberNames   map[uint64]string        // by member key
	probeResults  map[uint64]decide.Result // of each member's latest probe, by this gateway or another
	listResult    decide.Result            // of the latest call to the list service, by this gateway or another
	deferredCalls []callKind               // calls to the list service that wait for this gateway's turn
	primaries     signals.Primaries        // as other gateways reported
}

func newCoordinator(g *Gateway) (x *coordinator, err error) {
	x = &coordinator{g: g, memberNames: map[uint64]string{}, probeResults: map[uint64]decide.Result{}}
	x.coordination, err = fleet.NewCoordination(g.agreement.fleet, g.config.Coordination, x, g.seed)
	return x, err
}

// RunAsync runs work outside the event loop, then the function that it returns on the loop.
func (x *coordinator) RunAsync(work func() (then func())) {
	go func() {
		then := work()
		x.g.post(then)
	}()
}

// WakeAfter wakes the event loop after a delay in nanoseconds.
func (x *coordinator) WakeAfter(delay int64) { x.g.agreement.WakeAfter(delay) }

// Now returns the time of the gateway's clock in nanoseconds.
func (x *coordinator) Now() int64 { return int64(x.g.clock.now()) }

// Logger returns the gateway's logger.
func (x *coordinator) Logger() *slog.Logger { return x.g.log }

// hostByKey returns the list entry of the member with this key.
func (x *coordinator) hostByKey(key uint64) (h host, ok bool) {
	h, ok = x.g.discovery.list.hosts[x.memberNames[key]]
	return h, ok
}

// updateMembers passes the active members of the list to the coordination, ordered by name.
func (x *coordinator) updateMembers() {
	var members []subset.Member
	hosts := x.g.discovery.list.hosts
	clear(x.memberNames)
	for _, name := range slices.Sorted(maps.Keys(hosts)) {
		h := hosts[name]
		x.memberNames[h.key] = name
		if x.g.generations.memberHealth(&h.entry) != "active" {
			continue
		}
		primary := h.entry.Mode == "read-write" || x.primaries.Is(h.entry.Block, h.key)
		if s, ok := x.g.module.Primary(h.entry.Block); ok && s == h.server {
			primary = true
		}
		members = append(members, subset.Member{Key: h.key, Group: h.entry.Block, Zone: h.entry.Site, Weight: 1, Primary: primary})
	}
	x.coordination.SetMembers(members)
}

// SetMember adds a member to the decision module or removes it. A removed member gets no new submissions; those in flight to
// it are completed.
func (x *coordinator) SetMember(key uint64, enabled bool) {
	member, ok := x.hostByKey(key)
	switch {
	case !ok:
		return // it left the list, which the module has been told
	case enabled:
		x.g.discovery.applyHost(member.entry)
	default:
		zone := slices.Index(x.g.names.Zones, member.entry.Site)
		for _, s := range []decide.Status{decide.Draining, decide.Removed} {
			x.g.module.UpdateMember(member.server, member.entry.Block, false, s, zone, member.entry.Share, -1, 0)
		}
		x.g.members.closeIdle(member.server)
	}
	x.g.module.RefreshMembers()
}

// ObserveMember returns what this gateway itself has observed of a member.
func (x *coordinator) ObserveMember(key uint64) (observation fleet.MemberObservation, ok bool) {
	h, ok := x.hostByKey(key)
	if !ok {
		return observation, false
	}
	s := x.g.module.StateOf(h.server)
	observation = fleet.MemberObservation{Suspect: s.Suspect, Latency: int64(s.Latency) / 1000, InFlight: int64(s.InFlight)}
	if s.PrimaryPosition > 0 {
		observation.PrimaryPosition = int64(x.g.sessionPosition(s.PrimaryPosition))
	}
	return observation, s.Known
}

// GroupState returns what the decision module knows of a group.
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

// SeekPrimary has the decision module look for the primary of a group.
func (x *coordinator) SeekPrimary(group int) { x.g.module.SeekPrimary(group) }

// ReceiveReport passes another gateway's report to the decision module as a hint.
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
		in := input{kind: inMemberUpdate, server: h.server, position: x.g.clockTime(session.Position(item.Value))}
		if item.Kind == signals.Primary && x.g.config.ClockError == 0 {
			in.role = decide.RolePrimary
			if x.primaries.Receive(h.entry.Block, h.key, item.Value, x.Now()) {
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

// reportUpdates reports to the other gateways the positions that the module has learned.
func (x *coordinator) reportUpdates(updates []decide.MemberUpdate) {
	for _, update := range updates {
		for _, h := range x.g.discovery.list.hosts {
			if h.server == update.Server {
				kind := signals.Position
				if update.Primary {
					kind = signals.Primary
				}
				x.coordination.Report(kind, h.key, int64(x.g.sessionPosition(update.Position)))
			}
		}
	}
}

// requestProbe has a member probed by this gateway, or by another one whose result then counts for this gateway too.
func (x *coordinator) requestProbe(server decide.Server) {
	for _, h := range x.g.discovery.list.hosts {
		if h.server != server || x.coordination.Turns == nil {
			continue
		}
		if x.coordination.RequestTurn(h.key) {
			x.g.inputs = append(x.g.inputs, input{kind: inProbed, server: server, result: x.probeResults[h.key]})
			return
		}
		x.coordination.ProcessDecisions()
		return
	}
	x.g.members.probe(server)
}

// probeEnded reports the result of a probe to the other gateways if it was made for all of them.
func (x *coordinator) probeEnded(server decide.Server, r decide.Result) {
	for _, h := range x.g.discovery.list.hosts {
		if h.server == server && x.coordination.Turns != nil {
			x.probeResults[h.key] = r
			x.coordination.CompleteTurn(h.key, uint32(r))
		}
	}
}

// PerformTask performs the task whose turn came to this gateway: a call to the list service or a probe of a member.
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

// deferCall reports whether a call to a list service that was unavailable is deferred: it then waits for this gateway's turn,
// or for the result of another gateway's call.
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

// listCallEnded reports the result of a call to the list service to the other gateways.
func (x *coordinator) listCallEnded(r decide.Result) {
	if x.coordination.Turns != nil {
		x.listResult = r
		x.coordination.CompleteTurn(fleet.ListKey, uint32(r))
	}
}

// receiveListResult handles the result of another gateway's call: if the list service is available again the deferred calls
// are made after a delay, else they fail.
func (x *coordinator) receiveListResult(r decide.Result) {
	x.listResult = r
	switch {
	case len(x.deferredCalls) == 0:
	case r == decide.Committed:
		x.g.deadlines.Add(x.Now()+x.coordination.StartDelay(), timerEvent{kind: timerList})
	default:
		x.deferredCalls = nil
		x.g.inputs = append(x.g.inputs, input{kind: inListFailed})
	}
}

// makeDeferredCalls makes the calls that were deferred.
func (x *coordinator) makeDeferredCalls() {
	for _, kind := range x.deferredCalls {
		if c := &x.g.discovery.calls[kind]; !c.awaitingResponse && !c.dialing {
			x.g.discovery.sendCall(c)
		}
	}
	x.deferredCalls = nil
}

// Coordination returns the state of the coordination, nil if it is not configured, and the names of the members by their keys.
func (g *Gateway) Coordination(ctx context.Context) (view *fleet.CoordinationView, names map[uint64]string, err error) {
	err = g.inLoop(ctx, func() error {
		if g.coordination == nil {
			return nil
		}
		state := g.coordination.coordination.View()
		view, names = &state, map[uint64]string{fleet.ListKey: "the list"}
		for name, h := range g.discovery.list.hosts {
			names[h.key] = name
		}
		return nil
	})
	return view, names, err
}
