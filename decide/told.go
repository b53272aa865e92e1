package decide

// This file holds the optional exchange with a host that communicates with other gateways, in addition to
// the member list and answers. Positions and primaries are what members told the other gateways, and count like
// words of theirs that are as old; the rest is a hint. What a member told this gateway takes precedence.

// Times are in nanoseconds.
const (
	// Position updates to other gateways.
	updateInterval         = 100 * ms // a position is sent when it is this far ahead of what all gateways know
	updateStalenessDivisor = 3        // or ahead by 1/3 of a staleness bound, so that it still proves the bound on arrival
	updatesPerTxn          = 15.0     // messages that all gateways together may receive per txn
)

// MemberState is what this gateway itself has observed of a member.
type MemberState struct {
	Known, Suspect, Cold bool
	Primary              bool
	Responses            float64 // recent
	Latency              Nanos   // recent mean, 0 for none
	InFlight             int
	NeedsPosition        bool  // reads skipped it for lack of proof, and its position has not been learned since
	Position             Nanos // highest that is proven, whoever told it
	PrimaryPosition      Nanos // highest that a proven primary told this gateway itself, together with its role; 0 for none
}

// StateOf returns the state of a member.
func (g *Gateway) StateOf(server Server) (s MemberState) {
	m := g.members[server]
	if m == nil {
		return s
	}
	s = MemberState{Known: true, Suspect: m.suspect, Cold: g.isCold(m), Primary: g.primaryOf(m.group) == m,
		Responses: m.latency.count.value(g.now, latencyDecay), InFlight: m.inFlight,
		NeedsPosition: m.unprovenAt > 0 && m.positionSeenAt < m.unprovenAt && g.now-m.unprovenAt < latencyDecay,
		Position:      m.position, PrimaryPosition: m.toldPrimaryPosition()}
	if s.Responses > 0 {
		s.Latency = Nanos(m.latency.valueWithPrior(g.now, latencyDecay, 0, 0))
	}
	return s
}

// ReceiveUpdate applies another gateway's update. It may be late: what it proves still holds, and of two
// members that were primary the later one counts. What the member told this gateway counts unless the update is
// surely later: a position may lie ahead of its time.
func (g *Gateway) ReceiveUpdate(update MemberUpdate) {
	m := g.members[update.Server]
	if m == nil || update.Position > m.group.groupTime(g.now) || m.group.recentlySteppedBack(g.now) {
		return
	}
	toldAt := update.Position - m.group.clockLead // if it is a primary's
	m.sharedPosition = max(m.sharedPosition, update.Position)
	m.advancePosition(update.Position)
	m.lastLag, m.lagSeenAt, m.positionSeenAt = max(min(g.estimatedLag(m), g.now-toldAt), g.now-toldAt-maxReportDelay), g.now, g.now
	if !update.Primary || toldAt-m.group.positionLead-g.settings.Replication.ClockError <= max(m.roleAt, m.deniedAt, m.roleUnreadAt) {
		return
	}
	if p := g.primaryOf(m.group); p == nil || toldAt > p.roleAt && update.Position > p.primaryPosition {
		g.recordRole(m, RolePrimary, toldAt, m.role != RolePrimary || m.roleRelayed)
	}
}

// sendUpdates returns all pending updates as one message per round.
func (g *Gateway) sendUpdates() (Decision, bool) {
	if len(g.pendingUpdates) == 0 {
		return Decision{}, false
	}
	d := Decision{Kind: SendUpdates}
	for _, m := range g.pendingUpdates {
		d.Updates = append(d.Updates, MemberUpdate{m.id, m.position, m.position == m.toldPrimaryPosition()})
		m.updatePending, m.sharedPosition = false, m.position
	}
	g.pendingUpdates = g.pendingUpdates[:0]
	return d, true
}

// ReportUnhealthy records that several other gateways find a member silent. If this gateway has nothing in
// flight to it and no recent answer from it, the member gets a trial before more traffic: otherwise each
// gateway would lose a txn to learn what the others know. If those gateways share a network fault, this may
// be wrong, but the trial soon shows that the member answers.
func (g *Gateway) ReportUnhealthy(server Server) {
	if m := g.members[server]; m != nil && !m.suspect && !m.excluded && m.inFlight == 0 &&
		m.latency.count.value(g.now, latencyDecay) < 1 {
		g.markSuspect(m, "other gateways find it silent", false)
	}
}

// ReportHealthy records that another gateway got an answer from a member that is suspect here. It may be
// tried at once, with jitter of up to the initial backoff, as all gateways learn of it together.
func (g *Gateway) ReportHealthy(server Server) {
	if m := g.members[server]; m != nil && m.suspect {
		m.nextTrialAt = min(m.nextTrialAt, g.now+Nanos(g.rng.unit()*float64(initialBackoff)))
	}
}

// RefreshMembers completes entries that the host passes between list updates because it changed which
// members it shows to the module; the list itself has not changed.
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

// SeekPrimary has the members of a group probed for their role while no primary is known, less and less often. Reads that any
// member may answer do not find it, as they keep to the same quick members, and what other gateways were told of it
// by another one they do not pass on.
func (g *Gateway) SeekPrimary(groupID int) {
	for _, grp := range g.groups {
		if grp.id != groupID || g.primaryOf(grp) != nil || g.now < grp.nextSeekAt {
			continue
		}
		grp.seekPause = min(max(initialBackoff, 2*grp.seekPause), maxSeekPause)
		grp.nextSeekAt = g.now + Nanos((0.5+g.rng.unit())*float64(grp.seekPause))
		g.markUnproven(grp, nil, grp.groupTime(g.now)+1)
	}
}

// queueUpdate queues a member's position for the other gateways, unless they know nearly as much. All
// gateways need proof about the same members, and each one alone contacts a given member only once in many
// seconds.
func (g *Gateway) queueUpdate(m *member) {
	interval := Nanos(updateInterval)
	for i, consistency := range g.settings.Replication.Consistency {
		if consistency == "lag_bound" {
			interval = min(interval, g.settings.Replication.MaxStaleness[i]/updateStalenessDivisor)
		}
	}
	// The number of updates grows with members and gateways, but the message budget grows with txns: a
	// larger fleet sends updates less often.
	rate := g.arrivals.rate(g.now, g.startedAt, classDecay) * updatesPerTxn / float64(max(1, len(g.members)))
	interval = max(interval, Nanos(1/max(rate, 1e-12)))
	if g.settings.Limits.Peers && !m.updatePending && m.position-m.sharedPosition > interval {
		m.updatePending, g.pendingUpdates = true, append(g.pendingUpdates, m)
	}
}
