// Package decide routes txns over groups of a primary and its replicas.
//
// Call New once with the settings. In each round, call BeginRound with the current time, then any of AddTxn,
// SubmissionEnded, ProbeEnded, ClientGone, UpdateMember followed by EndMemberList, and MemberListFailed,
// which only update state; then call Next until it reports that no decision is left. A Wake decision asks
// for another round. interface.go holds the types of this interface, site.go the settings that are read,
// state.go the state and helpers, roles.go what members told of themselves, freshness.go what a read must see, and
// told.go the exchange with other gateways.
//
// docs/design.md describes which parts of the design are implemented.
package decide

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

// Tuning constants. Times are in nanoseconds; fractions and factors have no unit.
const (
	ms = Millisecond

	// Consistency: waiting for and proving positions.
	tokenWait               = 150 * ms        // step 4: how long a tokened read waits for a position (MAX_WAIT_MS in the original post)
	stalenessMargin         = 0.02            // fraction of a staleness bound kept in reserve: small, as proven positions already err on the safe side
	positionProbeInterval   = 200 * ms        // min interval between position probes of a replica: the pause of a session
	positionProbeLagDivisor = 8               // or its lag divided by this, which it cannot make up sooner
	maxReportDelay          = 300 * ms        // a report may be this old: only what it lacks beyond this is lag
	answerPrecedence        = 1000 * ms       // the role in an answer outweighs that in a report for this long
	denialRetention         = 600 * 1000 * ms // a server that comes back to the list after longer is taken for another one

	// Member list: backoff of list requests.
	initialBackoff      = 250 * ms  // first retry of list requests and of trials of suspects, doubled each time
	maxSubscribeBackoff = 1250 * ms // max backoff of list requests before +/- 50% jitter: docs/design.md has the calculation
	maxSeekPause        = 5000 * ms // between searches for an unknown primary: all gateways of a fleet may search
	pushedListBackoff   = 100 * ms  // where lists are pushed: a retry must come well within the grace for drains
	pushedListAge       = 6000 * ms // after which a change of a pushed list counts as known, whatever has failed

	// Rounds.
	queueCheckInterval    = 5 * ms   // interval of reviews of open txns: short against any SLA time
	inFlightCheckInterval = 20 * ms  // the same while all of them are in flight: short against any answer
	reorderInterval       = 100 * ms // queues are sorted again after this: their values change with means over seconds
	scanDepth             = 64       // queued txns examined per queue and round: bounds the work under overload

	// Decay times of moving averages.
	latencyDecay    = 2000 * ms // of a member's latency: long against an answer, short against an outage
	classDecay      = 5000 * ms // of a txn type's service time: steadier than any single member
	peerPriorWeight = 2.0       // answers of a member that weigh as much as those of all its peers together

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

	// In-flight limits.
	initialLimit          = 8.0  // first in-flight limit of a member: the work of a few cores
	smallSample           = 5.0  // recent answers below which this gateway contributes little of a member's load
	minLimit              = 0.2  // min limit, and its step below one: one from each of hundreds of gateways is too much
	limitDecrease         = 0.8  // factor of a limit when answers are too late
	lateFraction          = 0.25 // fraction of the way from uncrowded latency to SLA time at which a mean cuts the limit
	laggingLateFraction   = 0.1  // the same for a replica that lags by more than tokenWait
	initialBaseLateness   = 0.3  // uncrowded latency as a fraction of the SLA time, before it is known
	maxBaseLateness       = 0.35 // so that a gateway that starts under overload does not take that for its base
	minBaseSamples        = 50   // recent answers that a mean needs to count
	baseIncrease          = 1e-4 // fraction of the difference by which the base rises with each answer
	unseenPrimaryLateness = 0.85 // latency assumed for a primary without answers, as a fraction of the one that cuts limits
	primaryReadFactor     = 2.0  // reads avoid primaries at random from half of the latency that cuts limits

	// Final answers.
	departureThreshold    = 0.05 // fraction of a type's clients leaving early above which their wait replaces the SLA time
	minServiceTimesLeft   = 1.2  // mean service times that must be left for a txn to be worth sending
	unsentHoldCost        = 0.3  // cost, as a fraction of its value, of holding a txn that was never sent beyond half its time
	newestFirstDivisor    = 4    // the SLA time divided by this: a queue whose oldest waited longer serves the newest first
	maxErrors             = 2    // errors after which a txn counts as worthless: two by chance are rare
	sheddingLogThreshold  = 10.0 // unserved txns of the last seconds that are worth a log line
	maxUsualVotes         = 1000 // max attempts with another budget until that becomes the usual one
	usualToleranceDivisor = 50   // the client's limit divided by this: tolerance around the usual budget

	// Member selection.
	remoteZonePenalty    = 1.15      // a member in another zone must be less loaded by this factor to be preferred
	errorPenalty         = 20.0      // one that answers only errors must be less loaded by this factor to be preferred
	longReadWaits        = 2.0       // in units of tokenWait: reads that take longer hold up their replica
	lagEquivalence       = 1000 * ms // replicas that lag less than this count as equal
	longReadDivisor      = 3         // 1/3 of a group serves such reads, which wait for it for up to 1/3 of their target latency
	primarySearchDivisor = 20        // a write without a primary waits 1/20 of its time between rounds of refusals

	// Position updates to other gateways.
	updateInterval         = 100 * ms // a position is sent when it is this far ahead of what all gateways know
	updateStalenessDivisor = 3        // or ahead by 1/3 of a staleness bound, so that it still proves the bound on arrival
	updatesPerTxn          = 15.0     // messages that all gateways together may receive per txn

	// Cold members.
	coldBudgetFraction = 0.7 // of the multiple at which a cold member is overloaded: the fraction to plan for
	coldBudgetWindows  = 2.0 // overload windows for which the credit for one txn to a cold member may accrue; 4 reach its capacity
)

// AddTxn accepts a txn. writeAge is the age of the session's last write, 0 for none or unknown.
func (g *Gateway) AddTxn(id uint64, class, _ int, session uint64, budget, estimatedWork Nanos, groupID int,
	writeAge Nanos) error {
	if class >= len(g.settings.Classes) {
		return fmt.Errorf("txn type %d is not in the settings", class)
	}
	c := &g.settings.Classes[class]
	t := &txn{id: id, class: class, group: g.groupOf(groupID), session: session,
		arrivedAt: g.now, firstArrival: g.now, budget: budget, expiry: g.now + budget, waiting: true}
	g.stats[class].arrivals.add(g.now, classDecay, 1)
	g.arrivals.add(g.now, classDecay, 1)
	t.slaDeadline = g.now + g.targetLatency(class) + Nanos(c.AimStretch*float64(estimatedWork))
	// First attempts of a type all have the usual budget. A different budget marks a client's retry, which
	// has what is left of the client's limit; the difference tells how much of the SLA time has passed.
	if usual := &g.stats[class].usualBudget; !usual.observe(budget, c.HardLimit/usualToleranceDivisor, maxUsualVotes) {
		t.firstArrival = min(g.now, t.expiry-c.HardLimit)
	}
	// A txn is also a retry if the session's last txn of this type was not served and began within the
	// client's limit.
	if at, ok := g.unserved[sessionClass{session, class}]; ok && session != 0 && g.now-at < c.HardLimit {
		t.firstArrival = min(t.firstArrival, at)
	}
	t.slaDeadline = max(g.now, t.slaDeadline-(g.now-t.firstArrival))
	switch g.settings.Replication.Consistency[class] {
	case "causal":
		if writeAge != 0 { // below 0 if the group's clock is ahead of this one
			t.token = max(1, g.now-writeAge) // 0 means none, so a write before the clock's zero counts as one at its start
		}
	case "strong":
		t.token = g.now
	}
	if t.firstArrival == g.now {
		g.demand.add(g.now, classDecay, g.expectedServiceTime(class)) // retries do not raise what members can serve
	}
	g.reviewAt = min(g.reviewAt, t.expiry-2*g.settings.Tick) // a txn with no time left is answered in this round
	g.txns[id], g.openTxns = t, append(g.openTxns, t)
	g.enqueue(t)
	return nil
}

// RequirePrimary has a new read served by its group's primary alone.
func (g *Gateway) RequirePrimary(id uint64) {
	if t := g.txns[id]; t != nil {
		t.primaryOnly, t.token = true, g.now
	}
}

// RequirePosition has a new read see a position of its group's log.
func (g *Gateway) RequirePosition(id uint64, position Nanos) {
	if t := g.txns[id]; t != nil {
		t.token = max(1, position) // 0 means none
	}
}

// RestrictReads keeps the reads of a new txn to some zones, given as a bit mask, while one of their members
// is healthy. It may also shorten the txn's target latency.
func (g *Gateway) RestrictReads(id uint64, zones uint64, targetLatency Nanos) {
	if t := g.txns[id]; t != nil {
		t.allowedZones, t.slaDeadline = zones, min(t.slaDeadline, max(g.now, t.firstArrival+targetLatency))
	}
}

// SubmissionEnded records the result of a submission and what the member reported about itself.
func (g *Gateway) SubmissionEnded(id uint64, attempt int, server Server, r Result, elapsed Nanos, role Role, position Nanos,
	final bool, report []float64) {
	t := g.txns[id]
	if t == nil || attempt >= len(t.submissions) || t.submissions[attempt].ended || t.submissions[attempt].member.id != server {
		return
	}
	s, m := &t.submissions[attempt], t.submissions[attempt].member // the list may have removed the member since
	g.submissionClosed(t, s, r)
	g.writeEnded(t, r, position)
	if unread(r) {
		m.roleUnreadAt = g.now
	}
	placed := Nanos(0)
	if position > 0 {
		placed = g.placePosition(t.group, role == RolePrimary, g.settings.Replication.PositionEpoch+position, s.sentAt)
	}
	role = g.answeredRole(s, r, role, placed)
	g.recordAnswer(m, role, g.provenPosition(t, r, placed))
	g.recordReport(m, report, role)
	if role == RolePrimary && g.settings.Replication.WhenBehind != "none" {
		m.advancePosition(s.sentAt) // a primary's position is the present
		m.claimedAt(s.sentAt)
	}
	switch r {
	case Committed:
		g.markResponsive(m)
		g.recordLatency(m, t, elapsed)
		if !t.done {
			if g.now <= t.slaDeadline {
				g.stats[t.class].onTime.add(g.now, classDecay, 1)
			}
			g.learnPosition(t, s, m)
			delete(g.unserved, sessionClass{t.session, t.class})
		}
		t.done = true
	case NotEligible:
		g.markResponsive(m)
		if required := g.requiredPosition(t, s.sentAt); required > 0 && position == 0 {
			m.lastLag, m.lagSeenAt = max(g.estimatedLag(m), t.group.groupTime(g.now)-required+tokenWait), g.now
		}
		// On servers that wait for a position before they refuse, a refused read has had its wait (step 5).
		// After an immediate refusal it has not.
		t.waitOver = g.settings.Replication.ReplicaWait > 0 || g.now >= t.arrivedAt+tokenWait
		t.pausedUntil = g.now + t.budget/primarySearchDivisor
	case AtCapacity:
		g.reduceLimit(m)
		m.restUntil = g.now + Nanos((0.5+g.rng.unit())*float64(refusalRest))
	case Unreachable:
		if elapsed < g.settings.Limits.ConnectTimeout/2 {
			g.connectionRefused(m)
		} else if m.silentSince <= s.sentAt { // an answer since then shows that only this handshake was lost
			g.markSuspect(m, "no connection", true)
		}
	case Failed:
		// A worthless txn fails quickly on any member: it is not demand and does not show what a member can
		// serve.
		m.sentWork.add(g.now, classDecay, -g.expectedServiceTime(t.class))
		if t.errorCount++; t.errorCount == maxErrors {
			g.demand.add(g.now, classDecay, -g.expectedServiceTime(t.class))
		}
	case Broken, ResetBeforeSend:
		g.connectionBroken(m)
	case TimedOut, Cancelled: // the latency is at least this long: a member that never answers must have its limit cut too
		lateness := float64(g.now-s.sentAt-g.zoneDelay(m.zone)) / float64(g.targetLatency(t.class))
		if lateness > 1 && !g.overtaken(t, s) { // but not if the connection was at fault, not the member
			m.lateness.add(g.now, latencyDecay, lateness)
			g.lateness.add(g.now, classDecay, lateness)
			g.reduceLimit(m)
		}
	}
	if t.group.primarySearch == t {
		t.group.primarySearch = nil
	}
	t.done = t.done || final
	g.queueUpdate(m)
	g.removeIfDone(t)
	if !t.done && !t.waiting && t.inFlight == 0 {
		g.enqueue(t)
	}
}

// ProbeEnded records the result of a probe: position and role, where reports carry them, but not health.
func (g *Gateway) ProbeEnded(server Server, r Result, elapsed Nanos, report []float64) {
	m := g.members[server]
	if m == nil || g.now-elapsed < m.addedAt { // it was sent to another server at this address
		return
	}
	running := r == Committed
	g.recordReport(m, report, RoleUnknown)
	g.queueUpdate(m)
	if m.refusedConnections+m.brokenConnections > 0 && m.checkSentAt > 0 {
		switch m.checkSentAt = 0; {
		case r == NotSent: // the probe was never sent
		case running && m.refusedConnections > 0:
			g.refusalRecoveries.add(g.now, classDecay, 1)
		case r == Broken || r == ResetBeforeSend:
			g.connectionBroken(m)
		case !running:
			g.markSuspect(m, "refuses connections and probes", true)
		}
	}
}

// UpdateMember applies one entry of the member list; EndMemberList follows the last.
func (g *Gateway) UpdateMember(server Server, groupID int, isPrimary bool, status Status, zone int, _ float64, kind int,
	start Nanos) {
	m, known := g.memberOf(server, groupID)
	if !known {
		m.limit = initialLimit
	}
	m.listedStart = start
	if start > m.startedAt {
		m.suspect = false
		g.markStarted(m, start)
	}
	m.zone, m.kind, m.listedPrimary = zone, kind, isPrimary
	m.ready, m.removed = status == Ready, status == Removed
	m.drained = !m.ready && (m.drained || status == Draining)
	m.excluded = g.isExcluded(m)
	g.listedMembers[server] = true
}

// EndMemberList completes a list update: members missing from a full list count as removed.
func (g *Gateway) EndMemberList(scope Scope) {
	g.servingMembers = 0
	for _, m := range g.members {
		if scope != Delta && !g.listedMembers[m.id] {
			m.ready, m.listedPrimary, m.removed = false, false, true
			m.excluded = g.isExcluded(m)
		}
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
	if scope == CachedList {
		// All gateways may have started at once: jitter spreads the first calls, unless what is pushed counts as known from
		// the start.
		g.subscribed, g.subscribeAt = false, g.now+Nanos(g.rng.unit()*float64(initialBackoff))
		if g.settings.MembershipMode == "push" {
			g.subscribeAt = g.now
		}
		return
	}
	if !g.subscribed && g.settings.requestsList() {
		g.log("list followed, %d members", g.servingMembers)
	}
	g.subscribed, g.subscribeBackoff = true, g.settings.firstSubscribeBackoff()
}

// MemberListFailed records that a list request failed or that the subscription broke.
func (g *Gateway) MemberListFailed() {
	if g.subscribed {
		g.log("list lost")
	}
	// Retries come well within the time after which the rules assume that an instance knows a change: a
	// request that times out, this backoff and the request that succeeds take under six seconds.
	g.subscribed, g.subscribeAt = false, g.now+Nanos((0.5+g.rng.unit())*float64(g.subscribeBackoff))
	g.subscribeBackoff = min(g.subscribeBackoff*2, g.settings.maxSubscribeBackoff())
}

// isExcluded reports whether a member must get no new txns. If the list does not prove what is running, only
// an observed drain excludes a member.
func (g *Gateway) isExcluded(m *member) bool {
	return !m.ready && (m.drained || !g.settings.Rules.SoftRemoval)
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

// recordLatency records the latency of a committed submission and adapts the member's limit: additive
// increase, multiplicative decrease.
func (g *Gateway) recordLatency(m *member, t *txn, elapsed Nanos) {
	g.zoneLatencyOf(m.zone).add(g.now, latencyDecay, elapsed)
	latency := float64(max(0, elapsed-g.zoneDelay(m.zone)))
	lateness := latency / float64(g.targetLatency(t.class))
	m.latency.add(g.now, latencyDecay, float64(elapsed))
	m.slowdown.add(g.now, latencyDecay, latency/g.expectedServiceTime(t.class))
	m.lateness.add(g.now, latencyDecay, lateness)
	if m.role == RolePrimary {
		g.primaryLateness.add(g.now, classDecay, lateness)
	}
	if s := &g.stats[t.class]; latency*s.departures.value(g.now, classDecay) > s.departureWaits.value(g.now, classDecay) {
		s.longerAnswers.add(g.now, classDecay, 1)
	}
	g.updateBaseLateness(lateness)
	g.stats[t.class].serviceTime.add(g.now, classDecay, latency)
	if g.now-m.limitChangedAt < Nanos(g.meanLatency(m)) {
		return
	}
	switch {
	case m.lateness.valueWithPrior(g.now, latencyDecay,
		g.lateness.valueWithPrior(g.now, classDecay, 0, 0), peerPriorWeight) > g.latenessLimit(m):
		g.reduceLimit(m)
	case float64(m.inFlight+2) > m.limit: // increase by one; below one in steps of minLimit
		m.limit, m.limitChangedAt = m.limit+max(minLimit, math.Floor(min(1, m.limit))), g.now
	}
}

// reduceLimit cuts a member's limit by a fraction. It may fall below one if this gateway contributes little
// of the member's load. Writes have no alternative member: a primary's limit is at least one.
func (g *Gateway) reduceLimit(m *member) {
	minimum := 1.0
	if m.role != RolePrimary && m.lateness.count.total < smallSample {
		minimum = minLimit
	}
	m.limit, m.limitChangedAt = max(minimum, min(m.limit, float64(m.inFlight+1))*limitDecrease), g.now
}

// inTime reports whether a txn can reach a member while an answer still has value: before its SLA time is
// over, or at any time if its type has a LateValue. A txn that can no longer earn anything, or is taken for a
// client's retry of one, must not be held until its expiry either: it goes to an idle member that is not
// crowded.
func (g *Gateway) inTime(t *txn, m *member) bool {
	lateness := m.lateness.valueWithPrior(g.now, latencyDecay,
		g.lateness.valueWithPrior(g.now, classDecay, g.baseLateness, 1), peerPriorWeight)
	idle := m.inFlight == 0 && !g.connectionsScarce && lateness < (g.baseLateness+g.latenessLimit(m))/2
	return t.slaDeadline <= g.now && idle || g.settings.Classes[t.class].LateValue > 0 || g.now+g.zoneDelay(m.zone) < t.slaDeadline
}

// latenessLimit is the mean latency, as a fraction of the SLA time, above which a limit is cut: part of the
// way from the uncrowded latency to the full SLA time.
func (g *Gateway) latenessLimit(m *member) float64 {
	fraction := lateFraction
	if m.role == RoleReplica && g.estimatedLag(m) > tokenWait {
		fraction = laggingLateFraction // crowding slows replication: a lagging replica is relieved sooner
	}
	return g.baseLateness + (1-g.baseLateness)*fraction
}

// targetLatency is a type's SLA time, or, if a significant fraction of clients leave sooner, how long those
// waited. It stays the SLA time if as many clients wait longer, or if those who leave wait less than an
// answer takes: then the waiting is not the reason why they leave.
func (g *Gateway) targetLatency(class int) Nanos {
	s, slaTime := &g.stats[class], g.settings.Classes[class].TargetLatency
	departures, longerAnswers := s.departures.value(g.now, classDecay), s.longerAnswers.value(g.now, classDecay)
	meanWait := s.departureWaits.value(g.now, classDecay) / max(1, departures)
	if departures < max(1, departureThreshold*s.arrivals.value(g.now, classDecay), longerAnswers) ||
		meanWait < minServiceTimesLeft*g.expectedServiceTime(class) {
		return slaTime
	}
	return min(slaTime, Nanos(meanWait))
}

// expectedServiceTime is the recent mean service time of a txn type, or a quarter of its SLA time before any
// is known.
func (g *Gateway) expectedServiceTime(class int) float64 {
	return g.stats[class].serviceTime.valueWithPrior(g.now, classDecay, float64(g.settings.Classes[class].TargetLatency)/4, 1)
}

// meanLatency is at least one tick: a host that paused for a moment must not consider fast members silent.
func (g *Gateway) meanLatency(m *member) float64 {
	prior := g.expectedServiceTime(0) + float64(g.zoneDelay(m.zone))
	return max(float64(g.settings.Tick), m.latency.valueWithPrior(g.now, latencyDecay, prior, 1))
}

// enqueue puts a txn into its queue. Reads that any replica can serve do not wait behind those that need a
// proven position.
func (g *Gateway) enqueue(t *txn) {
	queue := t.class
	switch {
	case t.slaDeadline <= g.now:
		queue += 2 * len(g.settings.Classes)
	case g.consistencyOf(t) == "causal" && g.requiredPosition(t, g.now) == 0:
		queue += len(g.settings.Classes)
	}
	t.waiting = true
	t.group.queued++
	g.queued++
	t.group.queues[queue] = append(t.group.queues[queue], t)
}

// roundSteps are the steps of a round, in order.
var roundSteps = [...]func(*Gateway) (Decision, bool){
	(*Gateway).subscribe, (*Gateway).review, (*Gateway).closeIdle, (*Gateway).dispatch, (*Gateway).probe,
	(*Gateway).sendUpdates, (*Gateway).nextLogLine, (*Gateway).scheduleWake,
}

// subscribe subscribes to the member list and repeats a request that got no response.
func (g *Gateway) subscribe() (Decision, bool) {
	if !g.settings.requestsList() || g.subscribed || g.now < g.subscribeAt {
		return Decision{}, false
	}
	g.subscribeAt = g.now + g.settings.maxListAge()/2
	return Decision{Kind: SubscribeList}, true
}

// scheduleWake requests the next round while txns are open or the list is not subscribed.
func (g *Gateway) scheduleWake() (Decision, bool) {
	interval := inFlightCheckInterval // nothing is queued: only silent members remain to be detected
	if g.queued > 0 {
		interval = queueCheckInterval
	}
	next := g.now + max(interval, g.settings.Tick)
	// A later wake that is already scheduled is not enough for a txn that has arrived since and has little
	// time left.
	idle := len(g.openTxns) == 0 && (g.subscribed || !g.settings.requestsList())
	if idle || g.wakeAt > g.now && g.wakeAt <= next {
		return Decision{}, false
	}
	g.wakeAt = next
	return Decision{Kind: Wake, Delay: next - g.now}, true
}

// review checks members for silence, then each open txn for what its remaining time allows.
func (g *Gateway) review() (Decision, bool) {
	if g.cursor == 0 {
		if g.now < g.reviewAt {
			return Decision{}, false
		}
		g.busyMembers = slices.DeleteFunc(g.busyMembers, func(m *member) bool { m.busy = m.inFlight > 0; return !m.busy })
		for _, m := range g.busyMembers {
			silentMembers, totalScore := 0, 0.0
			for _, o := range m.group.members {
				if score := g.silenceScore(o); score > 1 {
					silentMembers, totalScore = silentMembers+1, totalScore+score
				}
			}
			requiredSilence := Nanos(minSilence * g.meanLatency(m))
			if !m.suspect && g.now-m.silentSince > requiredSilence && g.silenceScore(m) > silenceThreshold {
				g.markSuspect(m, "silent", false)
			}
			// A whole group that is silent, as after a restart of all its members, is detected sooner than a
			// single member.
			if 2*silentMembers > len(m.group.members) && totalScore > silenceThreshold && g.now-m.group.answeredAt > requiredSilence {
				for _, o := range m.group.members {
					g.markSuspect(o, "silent with its group", false)
				}
			}
		}
		g.logShedding(g.abandoned.value(g.now, latencyDecay), sheddingLogThreshold)
		g.expireState(classDecay)
		g.openTxns = slices.DeleteFunc(g.openTxns, func(t *txn) bool { return t.done && t.inFlight == 0 })
	}
	for g.cursor < len(g.openTxns) {
		t := g.openTxns[g.cursor]
		if d, ok := g.reviewTxn(t); ok {
			return d, true
		}
		g.cursor++
	}
	g.reviewAt = g.now + queueCheckInterval
	return Decision{}, false
}

// reviewTxn cancels submissions whose client already has its answer, and answers at once a txn that can no
// longer be served in time.
func (g *Gateway) reviewTxn(t *txn) (Decision, bool) {
	c := &g.settings.Classes[t.class]
	for i := range t.submissions {
		s := &t.submissions[i]
		if s.ended {
			continue
		}
		// A silent connection to a healthy member must use up neither the member's limit nor the txn's time.
		// If one txn takes many times as long as others of its type, this misjudges it and it is sent twice.
		waits := float64(g.now-s.sentAt) * s.rate / s.member.slowdown.valueWithPrior(g.now, latencyDecay, 1, 1)
		if !s.responseLost && g.overtaken(t, s) && waits > lostResponseLatencies {
			s.markResponseLost()
		}
		if t.done && !s.cancelled && g.settings.Limits.Cancelling && c.Effect == "repeatable" {
			return t.cancelSubmission(i), true
		}
	}
	if t.done {
		return Decision{}, false
	}
	// If everything is slow, a txn is still tried with half of its SLA time left: otherwise nothing would
	// show that the slowness is over.
	minTime := min(Nanos(minServiceTimesLeft*g.expectedServiceTime(t.class)), c.TargetLatency/2)
	latest := t.expiry - 2*g.settings.Tick
	if t.inFlight == 0 && c.LateValue == 0 && t.slaDeadline > t.arrivedAt {
		latest = min(latest, t.slaDeadline-minTime)
	} else if t.inFlight == 0 {
		latest = min(latest, t.expiry-minTime)
	}
	if len(t.submissions) == 0 && c.LateValue < unsentHoldCost { // holding it longer costs more than it can still earn
		latest = min(latest, t.arrivedAt+t.budget/2-2*g.settings.Tick)
	}
	if g.now >= latest || (t.inFlight == 0 && !g.maySubmit(t)) {
		return g.abandon(t), true
	}
	if t.inFlight == 1 && !t.waiting {
		i := slices.IndexFunc(t.submissions, func(s submission) bool { return !s.ended })
		if s := &t.submissions[i]; !s.cancelled && g.needsRetry(t, s) {
			if g.settings.Limits.MayDuplicate {
				g.enqueue(t)
			} else if g.settings.Limits.Cancelling {
				return t.cancelSubmission(i), true
			}
		}
	}
	return Decision{}, false
}

// needsRetry reports whether a txn in flight is submitted again because its member is suspect or its
// response lost.
func (g *Gateway) needsRetry(t *txn, s *submission) bool {
	switch effect := g.settings.Classes[t.class].Effect; {
	case len(t.submissions) >= g.settings.Limits.MaxAttempts:
	case effect == "repeatable":
		return s.responseLost || s.member.suspect && float64(g.now-s.sentAt) > retryServiceTimes*g.expectedServiceTime(t.class)
	case effect == "by_key":
		// Only a healthy primary can do better, and only while the group remembers the first submission (the
		// deduplication window).
		p := g.primaryOf(t.group)
		return p != nil && !p.suspect && (s.member.suspect && p != s.member || s.responseLost) &&
			g.now < t.submissions[0].sentAt+g.settings.Classes[t.class].DedupWindow
	}
	return false
}

// maySubmit reports whether a txn may be submitted again without the risk of a second effect.
func (g *Gateway) maySubmit(t *txn) bool {
	c := &g.settings.Classes[t.class]
	if len(t.submissions) >= g.settings.Limits.MaxAttempts || t.errorCount >= min(maxErrors, max(1, g.servingMembers)) ||
		t.inFlight > 0 && !g.settings.Limits.MayDuplicate {
		return false
	}
	ran := t.firstPossibleRun()
	switch c.Effect {
	case "repeatable":
		return true
	case "by_key":
		return ran == 0 || g.now < ran+c.DedupWindow
	}
	return ran == 0
}

// abandon gives a txn its final answer: rejected if a retry is safe, otherwise rolled back.
func (g *Gateway) abandon(t *txn) Decision {
	t.done, t.waiting = true, false
	g.unserved[sessionClass{t.session, t.class}] = t.firstArrival
	g.abandoned.add(g.now, latencyDecay, 1)
	g.removeIfDone(t)
	c := &g.settings.Classes[t.class]
	retrySafe := c.Effect == "repeatable" || c.Effect == "by_key" && c.Group == "all"
	if retrySafe || t.firstRunAt == 0 && t.inFlight == 0 {
		// The client should retry after about the time in which the queue clears.
		d := Decision{Kind: Reject, Txn: t.id}
		if g.settings.Limits.RetryAfter {
			d.Delay = min(c.TargetLatency, g.settings.Limits.MaxRetryAfter)
		}
		return d
	}
	return Decision{Kind: RollBack, Txn: t.id}
}

// queueValue is the value earned per unit of service time in a queue.
func (g *Gateway) queueValue(queue int) float64 {
	n := len(g.settings.Classes)
	class := queue % n
	c, s := &g.settings.Classes[class], &g.stats[class]
	value := c.Worth
	if class == g.worstClass { // the worst-served type also counts by its weight in the objective
		value += g.settings.ObjectiveMix.WorstClass * g.arrivedWorth / max(1, s.arrivals.value(g.now, classDecay))
	}
	if queue >= 2*n {
		value *= c.LateValue
	}
	return value / g.expectedServiceTime(class)
}

// reorderQueues sorts the queues by value.
func (g *Gateway) reorderQueues() {
	g.arrivedWorth = 0
	lowest := 2.0
	for class := range g.stats {
		s := &g.stats[class]
		arrivals := s.arrivals.value(g.now, classDecay)
		g.arrivedWorth += g.settings.Classes[class].Worth * arrivals
		if onTimeFraction := (s.onTime.value(g.now, classDecay) + 1) / (arrivals + 1); onTimeFraction < lowest {
			lowest, g.worstClass = onTimeFraction, class
		}
	}
	slices.SortStableFunc(g.queueOrder, func(a, b int) int { return cmp.Compare(g.queueValue(b), g.queueValue(a)) })
	g.totalDemand = 0
	for _, queue := range g.queueOrder {
		if queue < len(g.stats) {
			s := &g.stats[queue]
			s.demandAbove, s.demand = g.totalDemand, s.arrivals.value(g.now, classDecay)*g.expectedServiceTime(queue)
			g.totalDemand += s.demand
		}
	}
}

// demandRank is the fraction of demand that is worth more than a txn, with ties broken at random: a member
// with a limit below 1 gets only txns whose rank is below the limit.
func (g *Gateway) demandRank(t *txn) float64 {
	s := &g.stats[t.class]
	return (s.demandAbove + g.randomDraw(t)*s.demand) / max(1, g.totalDemand)
}

// dispatch submits queued txns group by group, highest value per service time first.
func (g *Gateway) dispatch() (Decision, bool) {
	if g.queued > 0 && g.now >= g.reorderAt {
		g.reorderAt = g.now + reorderInterval
		g.reorderQueues()
	}
	for g.queued > 0 && g.cursor < len(g.groups)*len(g.queueOrder) {
		grp, queue := g.groups[g.cursor/len(g.queueOrder)], g.queueOrder[g.cursor%len(g.queueOrder)]
		if grp.queued == 0 {
			g.cursor += len(g.queueOrder)
			continue
		}
		g.prune(grp, queue)
		// Newest first once the oldest has waited for a good part of its SLA time: under overload the oldest
		// are shed in any case, and first in, first out would serve every txn late.
		waiting := grp.queues[queue]
		newestFirst := len(waiting) > 0 && g.now-waiting[0].arrivedAt > g.targetLatency(waiting[0].class)/newestFirstDivisor
		for i := range min(len(waiting), scanDepth) {
			t := waiting[i]
			if newestFirst {
				t = waiting[len(waiting)-1-i]
			}
			if !g.maySubmit(t) {
				continue
			}
			if m := g.chooseMember(t); m != nil {
				return g.submit(t, m), true
			}
		}
		g.cursor++
	}
	return Decision{}, false
}

// submit sends a txn to a member; for a suspect this is a trial, which doubles the interval until the next.
func (g *Gateway) submit(t *txn, m *member) Decision {
	if m.suspect {
		m.trialInterval = min(m.trialInterval*2, maxTrialInterval)
		m.nextTrialAt = g.now + m.trialInterval
	}
	d := Decision{Kind: Submit, Txn: t.id, Server: m.id, Expiry: t.expiry, Proof: g.proofOf(t, m)}
	if c := &g.settings.Classes[t.class]; c.Effect == "by_key" && t.firstPossibleRun() > 0 {
		d.SendBefore = t.firstPossibleRun() + c.DedupWindow // establishing a connection may take long
	}
	g.submissionStarted(t, m)
	g.writeStarted(t)
	return d
}

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

// trialOverdue reports whether a suspect has had no trial for long, as under light load the same other member is always the
// least loaded one. Such trials stay a small part of this gateway's txns: each may be late.
func (g *Gateway) trialOverdue(m *member) bool {
	rate := g.arrivals.rate(g.now, g.startedAt, classDecay)
	return g.now-m.nextTrialAt > maxTrialInterval+Nanos(txnsPerOverdueTrial/max(rate, 1e-12))
}

// hasCapacity reports whether a member may take one more submission: by its limit, a suspect's trials or a
// cold member's budget.
func (g *Gateway) hasCapacity(m *member, t *txn) bool {
	if m.excluded || g.now < m.restUntil || m.refusedConnections > 0 && m.inFlight > 0 {
		return false
	}
	if m.suspect && !m.unreachable && !g.anyHealthy() {
		// With every member suspect, the fault is more likely in this gateway or the network, and none is
		// avoided; a member known to be cold still is.
		knownCold := m.listedStart > 0 && g.now-m.listedStart < g.settings.Rules.ColdDuration
		return float64(m.inFlight) < m.limit && (!knownCold || g.withinColdBudget(m))
	}
	if m.suspect {
		safe := m.unreachable || g.settings.Classes[t.class].Effect == "repeatable"
		return g.now >= m.nextTrialAt && safe && t.inFlight == 0 && g.now >= t.pausedUntil && g.withinColdBudget(m)
	}
	if m.limit < 1 {
		return m.inFlight == 0 && g.demandRank(t) < m.limit && g.withinColdBudget(m)
	}
	return float64(m.inFlight) < m.limit && g.withinColdBudget(m)
}

// withinColdBudget keeps a cold member from being overloaded. Its budget is the fraction of the mean demand
// on a member that its age guarantees it can serve. Means add up, so the budgets of all gateways together
// are that fraction of all demand, however uneven the gateways are, and no warm peer is needed. Each budget
// starts at a random point below zero: otherwise hundreds of gateways would send their first txn at once.
func (g *Gateway) withinColdBudget(m *member) bool {
	if !g.isCold(m) {
		return true
	}
	r, age := &g.settings.Rules, g.now-m.startedAt
	capacity := r.ColdFrom + (1-r.ColdFrom)*max(0, float64(age)/float64(r.ColdDuration))
	rate := g.demand.rate(g.now, g.startedAt, classDecay) / float64(max(1, g.servingMembers))
	rate *= capacity * coldBudgetFraction * r.FallMultiple
	if m.lateness.valueWithPrior(g.now, latencyDecay, 0, 0) < g.latenessLimit(m)/2 {
		// It answers as fast as if uncrowded, so it can serve its current load. That may grow by part of
		// what the rule's multiple leaves, however small the mean demand is.
		rate = max(rate, m.sentWork.rate(g.now, max(g.startedAt, m.startedAt), classDecay)*(1+r.FallMultiple)/2)
	}
	maxCredit, startListed, work := rate*float64(r.OverloadWindow)/2, m.startedAt == m.listedStart, g.expectedServiceTime(0)
	if startListed {
		maxCredit = max(maxCredit, min(work, rate*coldBudgetWindows*float64(r.OverloadWindow)))
	}
	m.coldCredit, m.coldCreditAt = m.coldCredit+rate*float64(g.now-m.coldCreditAt), g.now
	if excess := m.coldCredit - maxCredit; excess > 0 {
		m.coldCredit = maxCredit
		if startListed {
			// All gateways know of its start. Unused credit expires and accrues anew: otherwise each of
			// hundreds of gateways would come to hold some and spend it in the same moment.
			m.coldCredit += math.Mod(excess, work) - work
		}
	}
	return m.coldCredit >= 0
}

// markStarted marks a member as cold: measurements of its previous run do not apply to this one.
func (g *Gateway) markStarted(m *member, at Nanos) {
	m.startedAt, m.limit = at, 1
	m.coldCredit, m.coldCreditAt = -g.rng.unit()*g.expectedServiceTime(0), g.now
	m.latency, m.slowdown, m.lateness, m.sentWork = decayingMean{}, decayingMean{}, decayingMean{}, decayingSum{}
}
