package decide

// What a host that speaks with other gateways tells the module beside the list and answers, and asks of it. Hints: a member's
// own answers go before them, and no rule rests on them.

// MemberState is what this gateway knows of a member by itself.
type MemberState struct {
	Known, Suspect, Cold bool
	Primary              bool
	Responses            float64 // of late
	Latency              Nanos   // mean of late, 0 for none
	InFlight             int
	NeedsPosition        bool // reads passed it over for want of proof, and it was not heard of since
	Position             Nanos
}

// StateOf tells of a member.
func (g *Gateway) StateOf(server Server) (s MemberState) {
	m := g.members[server]
	if m == nil {
		return s
	}
	s = MemberState{Known: true, Suspect: m.suspect, Cold: g.isCold(m), Primary: g.primaryOf(m.group) == m, Responses: m.latency.count.value(g.now, latencyDecay), InFlight: m.inFlight,
		NeedsPosition: m.unprovenAt > 0 && m.positionSeenAt < m.unprovenAt && g.now-m.unprovenAt < latencyDecay, Position: m.position}
	if s.Responses > 0 {
		s.Latency = Nanos(m.latency.valueWithPrior(g.now, latencyDecay, 0, 0))
	}
	return s
}

// ReportUnhealthy tells that several other gateways find a member silent. One that this gateway has nothing in flight to, nor heard
// of of late, gets a trial before it gets more: else each gateway would lose a txn to find out what the others know. It may
// harm where those others share a fault of the way: then the trial, a moment later, shows that the member answers.
func (g *Gateway) ReportUnhealthy(server Server) {
	if m := g.members[server]; m != nil && !m.suspect && !m.excluded && m.inFlight == 0 && m.latency.count.value(g.now, latencyDecay) < 1 {
		g.markSuspect(m, "other gateways find it silent", false)
	}
}

// ReportHealthy tells that another gateway had an answer of a member that is suspect here: it may be tried at once, give or take
// a part of the first wait, as all hear of it together.
func (g *Gateway) ReportHealthy(server Server) {
	if m := g.members[server]; m != nil && m.suspect {
		m.nextTrialAt = min(m.nextTrialAt, g.now+Nanos(g.rng.unit()*float64(initialBackoff)))
	}
}

// RefreshMembers follows entries that the host told between announcements, as it tells the module of other members than before;
// the list itself has not changed.
func (g *Gateway) RefreshMembers() {
	g.servingMembers = 0
	for _, m := range g.members {
		if !m.excluded {
			g.servingMembers++
		} else if m.removed {
			g.removeMember(m)
		}
	}
	clear(g.listedMembers)
	for _, grp := range g.groups {
		g.logPrimaryChange(grp)
	}
}
