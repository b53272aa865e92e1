package decide

import (
	"cmp"
	"slices"
)

// This file chooses the member for a txn.

// Times are in nanoseconds; fractions and factors have no unit.
const (
	// Member selection.
	remoteZonePenalty    = 1.15      // a member in another zone must be less loaded by this factor to be preferred
	errorPenalty         = 20.0      // one that answers only errors must be less loaded by this factor to be preferred
	longReadWaits        = 2.0       // in units of tokenWait: reads that take longer hold up their replica
	lagEquivalence       = 1000 * ms // replicas that lag less than this count as equal
	longReadDivisor      = 3         // 1/3 of a group serves such reads, which wait for it for up to 1/3 of their target latency
	primarySearchDivisor = 20        // a write without a primary waits 1/20 of its time between rounds of refusals
)

// primaryOf is the member that last reported itself primary, or, before any has, the one that the list
// names.
func (g *Gateway) primaryOf(grp *group) *member {
	var listed *member
	for _, m := range grp.members {
		switch {
		case m.excluded:
		case m.role == RolePrimary:
			return m
		case m.listedPrimary && m.role != RoleReplica:
			listed = m
		}
	}
	return listed
}

// PositionSource is the member to ask for the position of a group's log: its primary, or, while no
// responsive primary is known, the one of its members that was returned longest ago. Excluded members are not asked.
func (g *Gateway) PositionSource(groupID int) (server Server, isPrimary, ok bool) {
	i := slices.IndexFunc(g.groups, func(grp *group) bool { return grp.id == groupID })
	if i < 0 {
		return Server{}, false, false
	}
	grp := g.groups[i]
	if p := g.primaryOf(grp); p != nil && !p.suspect {
		return p.id, true, true
	}
	var source *member
	for _, m := range grp.members {
		if !m.excluded && g.withinColdBudget(m) && (source == nil || m.sourceNo < source.sourceNo) {
			source = m
		}
	}
	if source == nil {
		return Server{}, false, false
	}
	grp.lastSourceNo++
	source.sourceNo = grp.lastSourceNo
	return source.id, false, true
}

// chooseMember chooses a member for a txn by the numbered steps of the design, or nil while the txn must wait.
func (g *Gateway) chooseMember(t *txn) *member {
	consistency := g.consistencyOf(t)
	p := g.primaryOf(t.group)
	if consistency == "mutate" || consistency == "strong" {
		return g.choosePrimary(t, p, consistency == "mutate")
	}
	p = g.freshPrimary(t.group)
	required := g.requiredPosition(t, g.now)
	checked := g.checksReads()
	// A suspect primary gets trials too: without them no gateway would notice that it answers again.
	if p != nil && p.suspect && (checked || p.role == RolePrimary) && g.hasCapacity(p, t) {
		return p
	}
	if g.delaysReplication(t.class) {
		// Step 7 for reads that delay replication for long: few replicas serve them so that the others stay
		// current.
		if m := g.leastLoaded(t, func(m *member) bool { return m != p && !g.isCold(m) && g.servesLongReads(m, p) }); m != nil {
			return m
		} else if g.now < t.arrivedAt+g.targetLatency(t.class)/longReadDivisor {
			return nil
		}
	}
	// Steps 2, 3, 6 and 7: a replica, if the read needs no proof or the replica is known to have reached the
	// required position.
	if m := g.leastLoaded(t, func(m *member) bool { return m != p && m.position >= required }); m != nil {
		return m
	}
	if required <= 0 {
		return g.primaryForRead(t, p)
	}
	if checked && !t.waitOver {
		// Step 4 on servers that check positions: the server waits for the position, if a replica can reach
		// it within that time.
		m := g.leastLoaded(t, func(m *member) bool {
			return m != p && t.group.groupTime(g.now)-g.estimatedLag(m)+g.settings.Replication.ReplicaWait >= required
		})
		if m != nil {
			return m
		}
	}
	g.markUnproven(t.group, p, required)
	if !checked && consistency == "causal" && !t.waitOver {
		// Step 4 on servers that do not check: wait until the position of some replica is known.
		if g.now < min(t.arrivedAt+tokenWait, t.slaDeadline-Nanos(2*g.expectedServiceTime(t.class))) {
			return nil
		}
		t.waitOver = true
	}
	// Step 5, and step 6 otherwise: the primary. On servers that check, an unconfirmed primary is enough.
	if m := g.primaryForRead(t, p); m != nil || p != nil && !p.suspect && (p.role == RolePrimary || p.listedPrimary || checked) {
		return m
	}
	if checked && g.now >= t.pausedUntil { // without a primary, replicas that check are retried after a pause
		t.waitOver = false
	}
	return nil
}

// delaysReplication reports whether a read that any member may answer takes longer than reads of current
// data may wait. A replica may apply nothing while it runs such a read, and spread over a group such reads
// leave no replica current.
func (g *Gateway) delaysReplication(class int) bool {
	return g.settings.Replication.Consistency[class] == "eventual" &&
		min(g.expectedServiceTime(class), float64(g.settings.Classes[class].TargetLatency)/4) > longReadWaits*float64(tokenWait)
}

// servesLongReads reports whether a replica is one of the few that take such reads: those with the lowest
// position known to all gateways, so that gateways agree on them and no current replica is used up.
func (g *Gateway) servesLongReads(m, primary *member) bool {
	now := m.group.groupTime(g.now)
	positionOf := func(o *member) Nanos { return min(cmp.Or(o.position, now), now-lagEquivalence) } // 0 means unknown
	ahead, eligible, seen := 0, 0, false
	for _, o := range m.group.members {
		seen = seen || o == m
		if o.excluded || o.suspect || o != m && g.isCold(o) {
			continue
		}
		eligible++
		if o != m && o != primary && (positionOf(o) < positionOf(m) || !seen && positionOf(o) == positionOf(m)) {
			ahead++
		}
	}
	return ahead < max(1, eligible/longReadDivisor)
}

// primaryForRead is the primary for a read, as far as its writes leave capacity: nil while writes are queued
// here, and less often the nearer its latency comes to latenessLimit, so that reads give way before the writes
// of any gateway have to.
func (g *Gateway) primaryForRead(t *txn, p *member) *member {
	isPrimary := p != nil && (p.role == RolePrimary || p.listedPrimary || g.settings.Replication.WhenBehind != "none")
	if !isPrimary || p.suspect || !g.hasCapacity(p, t) || !g.inTime(t, p) || t.inFlight > 0 && t.sentTo(p, 0) {
		return nil
	}
	for queue, waiting := range t.group.queues {
		if len(waiting) > 0 && g.settings.Replication.Consistency[queue%len(g.settings.Classes)] == "mutate" {
			return nil
		}
	}
	// A gateway that sends this primary one txn in many seconds judges it by what it saw of all primaries. As
	// hundreds of gateways see the same, each lets through only a random fraction of its reads.
	prior := g.primaryLateness.valueWithPrior(g.now, classDecay, unseenPrimaryLateness*g.latenessLimit(p), 1)
	free := 1 - p.lateness.valueWithPrior(g.now, latencyDecay, prior, peerPriorWeight)/g.latenessLimit(p)
	if float64(p.inFlight) < p.limit*free && g.randomDraw(t) < primaryReadFactor*free {
		return p
	}
	return nil
}

// choosePrimary is step 1. Without a responsive primary, one write at a time tries the members in turn.
func (g *Gateway) choosePrimary(t *txn, p *member, write bool) *member {
	if p != nil && !p.suspect {
		isPrimary := write || g.checksReads() || p.isProvenPrimary()
		if !isPrimary && p.roleUnreadAt > 0 {
			g.markUnproven(t.group, nil, t.group.groupTime(g.now)+1) // a probe proves the role
		}
		if isPrimary && g.hasCapacity(p, t) && !t.sentTo(p, g.now-queueCheckInterval) {
			return p
		}
		return nil
	}
	grp, pause := t.group, t.budget/primarySearchDivisor
	g.markUnproven(grp, p, grp.groupTime(g.now)+1) // a probe finds the role sooner than trying members in turn
	if s := grp.primarySearch; s != nil && s.inFlight > 0 && g.now-s.submissions[len(s.submissions)-1].sentAt > pause {
		grp.primarySearch = nil // a refusal is immediate: this one is running, or its member hangs
	}
	if (grp.primarySearch != nil && grp.primarySearch != t) || (!write && g.settings.Replication.WhenBehind == "none") ||
		2*len(t.submissions) >= g.settings.Limits.MaxAttempts {
		return nil
	}
	var best *member
	for _, m := range grp.members {
		// A member that has just reported itself a replica is not tried again, which is the pause after a
		// round; nor is one that was tried and has not answered, where a second write would be stuck with
		// the first.
		queried := g.now-m.queriedAt < pause || m.inFlight > 0 && m.silentSince <= m.queriedAt ||
			m.role == RoleReplica && g.now-m.roleAt < pause
		if m == p || m.excluded || m.suspect || queried || !g.withinColdBudget(m) {
			continue
		}
		if best == nil || (m.listedPrimary && !best.listedPrimary) ||
			(m.listedPrimary == best.listedPrimary && m.position > best.position) {
			best = m
		}
	}
	if best == nil && p != nil && p.suspect && !p.excluded && g.now > p.nextTrialAt+maxTrialInterval && g.withinColdBudget(p) {
		best = p // no read arrived that could have served as its trial
	}
	if best != nil {
		grp.primarySearch, best.queriedAt = t, g.now
	}
	return best
}

// estimatedLag estimates a member's lag: the last known lag less the time since, so that a lagging member is
// tried again. No read that a server does not check relies on it.
func (g *Gateway) estimatedLag(m *member) Nanos { return max(0, m.lastLag-(g.now-m.lagSeenAt)) }

// leastLoaded is the least loaded eligible member with capacity.
func (g *Gateway) leastLoaded(t *txn, eligible func(*member) bool) *member {
	var best *member
	var lowest float64
	zoneBound := t.allowedZones != 0 && slices.ContainsFunc(t.group.members, func(m *member) bool {
		return t.allowsZoneOf(m) && !m.excluded && !m.suspect
	})
	for _, m := range t.group.members {
		if zoneBound && !t.allowsZoneOf(m) || m.excluded || !eligible(m) || !g.hasCapacity(m, t) ||
			(t.inFlight+t.errorCount > 0 && t.sentTo(m, 0)) || !g.inTime(t, m) {
			continue
		}
		if m.suspect && g.trialOverdue(m) {
			return m
		}
		// The slowdown compares its latency with the service times of its txns on all members.
		cost := float64(m.inFlight+1) * m.slowdown.valueWithPrior(g.now, latencyDecay, 1, peerPriorWeight) * (1 + 0.01*g.rng.unit())
		if m.zone != g.settings.Zone {
			cost *= remoteZonePenalty + float64(g.zoneDelay(m.zone))/g.expectedServiceTime(t.class)
		}
		// A faulty member fails faster than others answer, so it would attract load: members are penalized
		// by how much their error rate exceeds that of all, and a txn that met an error is not sent there
		// again.
		meanErrorRate := g.errorRate.valueWithPrior(g.now, latencyDecay, 0, peerPriorWeight)
		excessErrors := m.errorRate.valueWithPrior(g.now, latencyDecay, 0, peerPriorWeight) - meanErrorRate
		cost *= 1 + errorPenalty*max(0, excessErrors)
		if best == nil || cost < lowest {
			best, lowest = m, cost
		}
	}
	return best
}
