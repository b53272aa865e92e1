package decide

import "slices"

// This file decides which members are probed: for whether they run, and for their position and role.

// replicaToProbe is a replica whose position has not been known for long. Proof comes from the very reads
// that need it, so a gateway with one txn for a group in many seconds has no other source. Members in this
// zone come first; zones with a long delay are left alone, and so are cold members, for which refusing is
// work too.
func (g *Gateway) replicaToProbe(members []*member) *member {
	var best *member
	for _, m := range members {
		lastKnownAt, remote := max(m.positionSeenAt, m.queriedAt), m.zone != g.settings.Zone
		if m.excluded || m.isProvenPrimary() || m.listedPrimary && m.roleUnreadAt == 0 || m.suspect ||
			g.now-lastKnownAt < max(positionProbeInterval, m.lastLag/positionProbeLagDivisor) ||
			g.now < m.restUntil || remote && g.zoneDelay(m.zone) > queueCheckInterval || !g.withinColdBudget(m) {
			continue
		}
		if best == nil || !remote && best.zone != m.zone ||
			remote == (best.zone != g.settings.Zone) && lastKnownAt < max(best.positionSeenAt, best.queriedAt) {
			best = m
		}
	}
	if best != nil {
		best.queriedAt = g.now
	}
	return best
}

// probe checks whether members that refused connections are running, and asks members without proof for
// their position.
func (g *Gateway) probe() (Decision, bool) {
	if server, ok := pop(&g.pendingChecks); ok {
		return Decision{Kind: Probe, Server: server}, true
	}
	reported := g.settings.LoadReport.How != "none" && slices.Contains(g.settings.LoadReport.Fields, "x0")
	if !g.settings.Limits.Probes || !reported || len(g.needingPosition) == 0 {
		return Decision{}, false
	}
	g.needingPosition = slices.DeleteFunc(g.needingPosition, (*member).positionKnown)
	if m := g.replicaToProbe(g.needingPosition); m != nil {
		return Decision{Kind: Probe, Server: m.id}, true
	}
	return Decision{}, false
}
