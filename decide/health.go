package decide

// This file judges whether members answer: who is suspect, and when a suspect is tried again.

// Times are in nanoseconds; fractions and factors have no unit.
const (
	// Suspicion and trials.
	silenceThreshold      = 12.0      // a member is suspect once its work in flight has waited for this many mean latencies in total
	minSilence            = 4.0       // and its last answer was this many mean latencies ago: both are rare by chance
	maxTrialInterval      = 500 * ms  // so that a member that has recovered is not left idle for long
	txnsPerOverdueTrial   = 500.0     // txns of this gateway for each trial of a suspect that would get none by its load
	maxWarmSilence        = 1000 * ms // a suspect that is back after longer starts again with a small limit
	refusalRest           = 100 * ms  // a member that refused a connection gets none for this long, +/- 50% jitter
	maxRefusals           = 4         // refusals without an answer in between that make it suspect, after a second
	maxBrokenConnections  = 5         // broken connections without an answer in between that make a member suspect
	scarcityThreshold     = 3.0       // recent refusals that make connections scarce: one member that is down causes fewer
	lostResponseLatencies = 6.0       // mean latencies after which an overtaken answer counts as lost: rare by chance
	retryServiceTimes     = 2.0       // service times after which a read on a suspect is retried elsewhere
)

// markResponsive records an answer: any answer clears suspicion, whatever its cause.
func (g *Gateway) markResponsive(m *member) {
	m.silentSince, m.group.answeredAt = g.now, g.now
	// A member that is back sooner than any restart takes was overloaded with connections or unreachable
	// over the network; it is not a new process.
	backSoon := g.now-m.failingSince < maxWarmSilence
	if m.refusedConnections > 0 && backSoon {
		g.refusalRecoveries.add(g.now, classDecay, 1)
	}
	overloaded := g.refusalRecoveries.value(g.now, classDecay) >= 1
	if m.suspect && (backSoon || overloaded) {
		m.startedAt = m.listedStart
	} else if m.refusedConnections > 0 && !backSoon && !overloaded && !m.suspect {
		g.markStarted(m, g.now)
	}
	if m.suspect && !backSoon {
		g.log("member %v answers again after %d ms, cold: %v", m.id, (g.now-m.failingSince)/ms, m.startedAt > m.listedStart)
	}
	m.suspect, m.trialInterval, m.unreachable, m.refusedConnections, m.brokenConnections, m.unansweredWork = false, 0, false, 0, 0, 0
	if g.updateScarcity() {
		g.idleToClose = append(g.idleToClose, m.id)
	}
}

// connectionRefused handles a connection that was refused immediately: the process is down, or accepts no
// more connections. A probe, which needs no connection, distinguishes the two.
func (g *Gateway) connectionRefused(m *member) {
	g.refusedConnections.add(g.now, classDecay, 1)
	if m.refusedConnections++; m.refusedConnections == 1 && !m.suspect {
		m.failingSince = g.now
	}
	m.restUntil = g.now + Nanos((0.5+g.rng.unit())*float64(refusalRest))
	overloaded := g.refusalRecoveries.value(g.now, classDecay) >= 1
	if !overloaded {
		g.checkByProbe(m)
	}
	if m.suspect && !overloaded || m.refusedConnections >= maxRefusals && g.now-m.failingSince > maxWarmSilence {
		g.markSuspect(m, "connections refused", false)
	}
}

// connectionBroken handles a broken connection. Single connections break, and corrupt answers arrive, on
// healthy members too: only a failed probe, or several breaks without an answer between them, make a member
// suspect. Where probes are not allowed, one break is enough.
func (g *Gateway) connectionBroken(m *member) {
	if m.brokenConnections++; !g.checkByProbe(m) || m.brokenConnections >= maxBrokenConnections {
		g.markSuspect(m, "connections broken", true)
	}
}

// checkByProbe probes a doubtful member, if probes are allowed.
func (g *Gateway) checkByProbe(m *member) (allowed bool) {
	if g.settings.Limits.Probes && g.now-m.checkSentAt > maxWarmSilence {
		m.checkSentAt, g.pendingChecks = g.now, append(g.pendingChecks, m.id)
	}
	return g.settings.Limits.Probes
}

// markSuspect takes a member out of regular selection until it answers. It may return cold, which the list
// reports seconds late, if at all: the work that all gateways held back must not reach it at once.
func (g *Gateway) markSuspect(m *member, reason string, unreachable bool) {
	m.unreachable = m.unreachable || unreachable
	if !m.suspect {
		if m.refusedConnections == 0 {
			m.failingSince = g.now
		}
		m.suspect, m.trialInterval, m.nextTrialAt = true, initialBackoff, g.now+initialBackoff
		g.markStarted(m, g.now)
		g.log("member %v suspect: %s, %d in flight, quiet for %d ms", m.id, reason, m.inFlight, (g.now-m.silentSince)/ms)
	}
	m.startedAt = g.now
}

// updateScarcity reports whether so many connections are refused that idle ones should be closed, so that
// other gateways can open theirs.
func (g *Gateway) updateScarcity() bool {
	return g.logScarcity(g.refusedConnections.value(g.now, classDecay), scarcityThreshold)
}

// trialOverdue reports whether a suspect has had no trial for long, as under light load the same other member is always the
// least loaded one. Such trials stay a small part of this gateway's txns: each may be late.
func (g *Gateway) trialOverdue(m *member) bool {
	rate := g.arrivals.rate(g.now, g.startedAt, classDecay)
	return g.now-m.nextTrialAt > maxTrialInterval+Nanos(txnsPerOverdueTrial/max(rate, 1e-12))
}
