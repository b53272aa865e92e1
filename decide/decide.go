// Package decide routes txns over groups of a primary and its replicas.
//
// How it is called: New once with the settings; then, for each round, Clock with the time, then any of
// Arrived, Ended, Probed, Withdrawn, Listed with ListEnds, and ListFailed, which only update what is
// known; then Next until it says there is no more. A Wake decision asks for one more round. The types
// of that interface are in interface.go, what is read of the settings in site.go, its state and helpers
// in state.go. docs/design.md tells what is kept of the design and what not.
package decide

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

// Starting values, ours unless a source is named. Times are in nanoseconds, shares and factors have no unit.
const (
	ms = Millisecond

	tokenWait                = 150 * ms  // step 4: the wait of a tokened read (the post's MAX_WAIT_MS)
	stalenessMargin          = 0.02      // of a bound, kept in hand: proven positions err on the safe side already
	primarySearchFraction    = 20        // a write with no primary holds this part of its time between rounds of misses
	positionProbeInterval    = 200 * ms  // a replica is asked for its position this often at most: a session's pause
	positionProbeLagFraction = 8         // or once in this part of its lag, which it cannot make up sooner
	initialBackoff           = 250 * ms  // failed list calls and trials of suspects come again after this, doubled each time
	maxSubscribeBackoff      = 1250 * ms // list calls up to this, half as long again by chance: docs/design.md has the sum
	queueCheckInterval       = 5 * ms    // how often open txns are looked at: often against any SLA time
	inFlightCheckInterval    = 20 * ms   // the same while all of them are in flight: short against any answer
	reorderInterval          = 100 * ms  // rows are ranked anew after this: they change with means of seconds
	latencyDecay             = 2000 * ms // memory of a member's speed: long against an answer, short against a trouble
	classDecay               = 5000 * ms // memory of a txn type's service time: steadier than any one member
	silenceThreshold         = 12.0      // a suspect's work in flight has waited for this many mean latencies in all
	minSilence               = 4.0       // and its last answer was this many ago: both are rare by chance
	departureThreshold       = 0.05      // of a type's clients who leave early: above it their stay replaces the SLA time
	maxTrialInterval         = 500 * ms  // trials up to this, so that one that came back is not left idle for long
	maxWarmSilence           = 1000 * ms // a suspect that is back after longer starts again with a small limit
	initialLimit             = 8.0       // first limit on what is in flight to a member: a few cores' worth
	smallSample              = 5.0       // answers of late under which this gateway matters little to a member
	minLimit                 = 0.2       // least limit, and its step below one: one for each of hundreds is too much
	limitDecrease            = 0.8       // share left of a limit when answers come too late
	laggingLateFraction      = 0.1       // the same for a replica that is further behind than a tokened read waits
	lateFraction             = 0.25      // way from the uncrowded latency to the SLA time at which a mean cuts the limit
	initialBaseLateness      = 0.3       // uncrowded latency in SLA times, before it is known
	maxBaseLateness          = 0.35      // and at most: a gateway that starts in a jam must not take that for its base
	minBaseSamples           = 50        // answers lately that a mean needs to count
	baseIncrease             = 1e-4      // part of the difference by which the base rises with each answer
	unseenPrimaryLateness    = 0.85      // of the latency that cuts limits, for a primary nobody has heard of
	peerPriorWeight          = 2.0       // answers of a member itself that weigh as much as all of its peers together
	primaryReadFactor        = 2.0       // reads keep off primaries by chance from half of the latency that cuts limits
	minServiceTimesLeft      = 1.2       // mean service times that must be left for a txn to be worth sending
	unsentHoldCost           = 0.3       // cost, of its value, of answering a txn that was never sent after half its time
	lostResponseLatencies    = 6.0       // mean latencies after which an answer that was overtaken is astray: rare by chance
	retryServiceTimes        = 2.0       // service times after which a read on a suspect is taken elsewhere
	remoteZonePenalty        = 1.15      // a member elsewhere must be this much less loaded to be preferred
	errorPenalty             = 20.0      // one that answers errors alone must be this much less loaded to be preferred
	updateInterval           = 100 * ms  // news of a position are told when it is this much ahead of what all were told
	updateStalenessFraction  = 3         // or this part of a bound ahead, so that what is told still proves it on arrival
	longReadWaits            = 2.0       // waits of a tokened read that a read may take and not hold its replica up
	lagEquivalence           = 1000 * ms // replicas less behind than this are alike
	longReadFraction         = 3         // part of a group that takes such reads, and of their time that they wait for it
	updatesPerTxn            = 15.0      // messages that all gateways together may get for each txn
	maxReportDelay           = 300 * ms  // a report may be this old: what it lacks more than this is a lag
	answerPrecedence         = 1000 * ms // an answer's word on a role outweighs a report's for this long
	newestFirstFraction      = 4         // part of its SLA time that a row's oldest waits before newest are first
	scanDepth                = 64        // waiting txns of a row looked at in a round: bounds the work in a jam
	sheddingLogThreshold     = 10.0      // txns given up within the last seconds that are worth a line in the log
	refusalRest              = 100 * ms  // a member that refused a connection rests this long, give or take a half
	maxRefusals              = 4         // refusals with no answer between them that make it suspect, after a second
	maxBrokenConnections     = 5         // connections that broke, with no answer between them, that make a member suspect
	maxErrors                = 2         // errors after which a txn is taken for worthless: two by chance are rare
	scarcityThreshold        = 3.0       // refusals of late that make connections scarce: one that is down brings fewer
	coldBudgetFraction       = 0.7       // of the multiple at which a cold member falls over: what may be planned for
	coldBudgetWindows        = 2.0       // windows of the rule for which one may keep a txn for a cold member: 4 reach what it bears
	maxUsualVotes            = 1000      // tries of another time that make the usual one give way, at most
	usualToleranceDivisor    = 50        // a time for a try within this part of the client's limit of the usual one is usual
)

// AddTxn takes a txn. age is that of its session's last write, 0 for none or not told.
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
	// First tries of a type all get the same time, the usual one. Another time marks a client's repeat, which
	// has what is left of its limit, less or more: that tells how much of the SLA time went by before.
	if usual := &g.stats[class].usualBudget; !usual.observe(budget, c.HardLimit/usualToleranceDivisor, maxUsualVotes) {
		t.firstArrival = min(g.now, t.expiry-c.HardLimit)
	}
	// So is one of a session whose last txn of the type was not served and began within the client's limit.
	if at, ok := g.unserved[sessionClass{session, class}]; ok && session != 0 && g.now-at < c.HardLimit {
		t.firstArrival = min(t.firstArrival, at)
	}
	t.slaDeadline = max(g.now, t.slaDeadline-(g.now-t.firstArrival))
	switch g.settings.Replication.Consistency[class] {
	case "causal":
		if writeAge != 0 { // below 0 where the session's group is ahead of this clock
			t.token = g.now - writeAge
		} else if at := t.group.tokens[session]; at > t.group.minReplicaPosition() {
			t.token = at
		}
	case "strong":
		t.token = g.now
	}
	if t.firstArrival == g.now {
		g.demand.add(g.now, classDecay, g.expectedServiceTime(class)) // repeats do not raise what members can do
	}
	g.reviewAt = min(g.reviewAt, t.expiry-2*g.settings.Tick) // one with no time left is answered at once
	g.txns[id], g.openTxns = t, append(g.openTxns, t)
	g.enqueue(t)
	return nil
}

// RestrictReads keeps the reads of a txn that has just come to some zones, a bit each, while one there is well.
func (g *Gateway) RestrictReads(id uint64, zones uint64, targetLatency Nanos) {
	if t := g.txns[id]; t != nil {
		t.allowedZones, t.slaDeadline = zones, min(t.slaDeadline, max(g.now, t.firstArrival+targetLatency))
	}
}

// SubmissionEnded tells how a submission ended and what the member said of itself.
func (g *Gateway) SubmissionEnded(id uint64, attempt int, server Server, r Result, elapsed Nanos, role Role, position Nanos,
	final bool, report []float64) {
	t := g.txns[id]
	if t == nil || attempt >= len(t.submissions) || t.submissions[attempt].ended || t.submissions[attempt].member.id != server {
		return
	}
	s, m := &t.submissions[attempt], t.submissions[attempt].member // which the list may have dropped since
	g.submissionClosed(t, s, r)
	g.recordAnswer(m, role, position)
	g.recordReport(m, report)
	if role == RolePrimary && g.settings.Replication.WhenBehind != "none" {
		m.advancePosition(s.sentAt) // a primary stands at the present
	}
	switch r {
	case Committed:
		g.markResponsive(m)
		g.recordLatency(m, t, elapsed)
		if !t.done {
			if g.now <= t.slaDeadline {
				g.stats[t.class].onTime.add(g.now, classDecay, 1)
			}
			g.learnPosition(t, s, m, position)
			delete(g.unserved, sessionClass{t.session, t.class})
		}
		t.done = true
	case NotEligible:
		g.markResponsive(m)
		if floor := g.requiredPosition(t, s.sentAt); floor > 0 && position == 0 {
			m.lastLag, m.lagSeenAt = max(g.estimatedLag(m), g.now-floor+tokenWait), g.now
		}
		// A read that was turned away has had its wait on a replica: step 5. Turned away at once it has not.
		t.waitOver = g.settings.Replication.ReplicaWait > 0 || g.now >= t.arrivedAt+tokenWait
		t.pausedUntil = g.now + t.budget/primarySearchFraction
	case AtCapacity:
		g.reduceLimit(m)
		m.restUntil = g.now + Nanos((0.5+g.rng.unit())*float64(refusalRest))
	case Unreachable:
		if elapsed < g.settings.Limits.ConnectTimeout/2 {
			g.connectionRefused(m)
		} else if m.silentSince <= s.sentAt { // who has answered since is there: this one handshake was lost
			g.markSuspect(m, "no connection", true)
		}
	case Failed:
		// Worthless txns get a quick error anywhere: they are no demand and show nothing of what a member can do.
		m.sentWork.add(g.now, classDecay, -g.expectedServiceTime(t.class))
		if t.errorCount++; t.errorCount == maxErrors {
			g.demand.add(g.now, classDecay, -g.expectedServiceTime(t.class))
		}
	case Broken, ResetBeforeSend:
		g.connectionBroken(m)
	case TimedOut, Cancelled: // it took this long at least: what never answers must cut a limit too
		late := float64(g.now-s.sentAt-g.zoneDelay(m.zone)) / float64(g.targetLatency(t.class))
		if late > 1 && !g.overtaken(t, s) { // but not where the connection did, not the member
			m.lateness.add(g.now, latencyDecay, late)
			g.lateness.add(g.now, classDecay, late)
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

// ProbeEnded tells what a probe found: a position and a role, where reports hold them, but nothing of health.
func (g *Gateway) ProbeEnded(server Server, r Result, _ Nanos, report []float64) {
	m := g.members[server]
	if m == nil {
		return
	}
	up := r == Committed
	g.recordReport(m, report)
	g.queueUpdate(m)
	if m.refusedConnections+m.brokenConnections > 0 && m.checkSentAt > 0 {
		switch m.checkSentAt = 0; {
		case r == NotSent: // it was never sent
		case up && m.refusedConnections > 0:
			g.busyMembers.add(g.now, classDecay, 1)
		case r == Broken || r == ResetBeforeSend:
			g.connectionBroken(m)
		case !up:
			g.markSuspect(m, "refuses connections and probes", true)
		}
	}
}

// UpdateMember tells one entry of the list; ListEnds follows the last.
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

// EndMemberList closes an announcement: members that a whole list lacks are gone.
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
		// All gateways may have started together: the first call is spread.
		g.subscribed, g.subscribeAt = false, g.now+Nanos(g.rng.unit()*float64(initialBackoff))
		return
	}
	if !g.subscribed && g.settings.MembershipMode == "ask" {
		g.log("list followed, %d members", g.servingMembers)
	}
	g.subscribed, g.subscribeBackoff = true, initialBackoff
}

// MemberListFailed tells that a call for the list failed or that the subscription broke.
func (g *Gateway) MemberListFailed() {
	if g.subscribed {
		g.log("list lost")
	}
	// Calls that failed are made again well within the time after which the rules deem an instance told: a call that
	// is given up, this pause and the call that brings the news together take under six seconds.
	g.subscribed, g.subscribeAt = false, g.now+Nanos((0.5+g.rng.unit())*float64(g.subscribeBackoff))
	g.subscribeBackoff = min(g.subscribeBackoff*2, g.settings.Rules.MaxListAge/4, maxSubscribeBackoff)
}

// bars: a member may get nothing new. Where the list is no proof of what runs, only a seen drain bars.
func (g *Gateway) isExcluded(m *member) bool {
	return !m.ready && (m.drained || !g.settings.Rules.SoftRemoval)
}

// share has the others told what was learned of a member, where they were not told nearly as much. All need
// proof of the same members, and each alone meets one of them in many seconds.
func (g *Gateway) queueUpdate(m *member) {
	interval := Nanos(updateInterval)
	for i, need := range g.settings.Replication.Consistency {
		if need == "lag_bound" {
			interval = min(interval, g.settings.Replication.MaxStaleness[i]/updateStalenessFraction)
		}
	}
	// What all tell grows with members and gateways, what they may spend with txns: the more, the seldomer.
	rate := g.arrivals.rate(g.now, g.startedAt, classDecay) * updatesPerTxn / float64(max(1, len(g.members)))
	interval = max(interval, Nanos(1/max(rate, 1e-12)))
	if g.settings.Limits.Peers && !m.updatePending && m.position-m.sharedPosition > interval {
		m.updatePending, g.pendingUpdates = true, append(g.pendingUpdates, m)
	}
}

// proven takes what a committed txn shows: a write its commit, a checked read its token or bound.
func (g *Gateway) learnPosition(t *txn, s *submission, m *member, position Nanos) {
	switch g.settings.Replication.Consistency[t.class] {
	case "mutate":
		if position > 0 && t.session != 0 && g.settings.Replication.WriteMarks == "kept" {
			t.group.tokens[t.session] = max(t.group.tokens[t.session], g.settings.Replication.PositionEpoch+position)
		}
	case "lag_bound":
		if g.settings.Replication.WhenBehind != "none" {
			m.advancePosition(s.sentAt - g.settings.Replication.MaxStaleness[t.class])
		}
	case "causal", "strong":
		if g.settings.Replication.WhenBehind != "none" && t.token > 0 {
			m.advancePosition(t.token)
			m.lastLag, m.lagSeenAt = min(g.estimatedLag(m), g.now-t.token), g.now
		}
	}
}

// answered notes a sign of life: any answer clears suspicion, whatever raised it.
func (g *Gateway) markResponsive(m *member) {
	m.silentSince, m.group.answeredAt = g.now, g.now
	// Back within less than any restart takes: a crowd at its door or a fault of the way, not a new process.
	soon := g.now-m.failingSince < maxWarmSilence
	if m.refusedConnections > 0 && soon {
		g.busyMembers.add(g.now, classDecay, 1)
	}
	crowd := g.busyMembers.value(g.now, classDecay) >= 1
	if m.suspect && (soon || crowd) {
		m.startedAt = m.listedStart
	} else if m.refusedConnections > 0 && !soon && !crowd && !m.suspect {
		g.markStarted(m, g.now)
	}
	if m.suspect && !soon {
		g.log("member %v answers again after %d ms, cold: %v", m.id, (g.now-m.failingSince)/ms, m.startedAt > m.listedStart)
	}
	m.suspect, m.trialInterval, m.unreachable, m.refusedConnections, m.brokenConnections, m.unansweredWork = false, 0, false, 0, 0, 0
	if g.updateScarcity() {
		g.idleToClose = append(g.idleToClose, m.id)
	}
}

// refused takes a connection that was turned down at once: the process is down or takes no more connections,
// and a probe, which needs none, tells which.
func (g *Gateway) connectionRefused(m *member) {
	g.refusedConnections.add(g.now, classDecay, 1)
	if m.refusedConnections++; m.refusedConnections == 1 && !m.suspect {
		m.failingSince = g.now
	}
	m.restUntil = g.now + Nanos((0.5+g.rng.unit())*float64(refusalRest))
	crowd := g.busyMembers.value(g.now, classDecay) >= 1
	if !crowd {
		g.checkByProbe(m)
	}
	if m.suspect && !crowd || m.refusedConnections >= maxRefusals && g.now-m.failingSince > maxWarmSilence {
		g.markSuspect(m, "connections refused", false)
	}
}

// broke takes a connection that broke. One by one they break, and answers come spoilt, under members that are
// well: a probe tells, and several with no answer between them.
func (g *Gateway) connectionBroken(m *member) {
	if m.brokenConnections++; !g.checkByProbe(m) || m.brokenConnections >= maxBrokenConnections {
		g.markSuspect(m, "connections broken", true)
	}
}

// check has a member in doubt probed, where that is allowed.
func (g *Gateway) checkByProbe(m *member) (allowed bool) {
	if g.settings.Limits.Probes && g.now-m.checkSentAt > maxWarmSilence {
		m.checkSentAt, g.pendingChecks = g.now, append(g.pendingChecks, m.id)
	}
	return g.settings.Limits.Probes
}

// lost takes a member out of the ordinary choice until it answers. It may come back cold, and the list tells
// that seconds late, if at all: what all gateways held back must not meet it at once.
func (g *Gateway) markSuspect(m *member, why string, unreached bool) {
	m.unreachable = m.unreachable || unreached
	if !m.suspect {
		if m.refusedConnections == 0 {
			m.failingSince = g.now
		}
		m.suspect, m.trialInterval, m.nextTrialAt = true, initialBackoff, g.now+initialBackoff
		g.markStarted(m, g.now)
		g.log("member %v suspect: %s, %d in flight, quiet for %d ms", m.id, why, m.inFlight, (g.now-m.silentSince)/ms)
	}
	m.startedAt = g.now
}

// scarce: so many are refused that idle connections are better closed, for other gateways to open theirs.
func (g *Gateway) updateScarcity() bool {
	return g.logScarcity(g.refusedConnections.value(g.now, classDecay), scarcityThreshold)
}

// measured takes a committed submission's latency and moves the member's limit: one up, or down by a share.
func (g *Gateway) recordLatency(m *member, t *txn, elapsed Nanos) {
	g.zoneLatencyOf(m.zone).add(g.now, latencyDecay, elapsed)
	x := float64(max(0, elapsed-g.zoneDelay(m.zone)))
	late := x / float64(g.targetLatency(t.class))
	m.latency.add(g.now, latencyDecay, float64(elapsed))
	m.slowdown.add(g.now, latencyDecay, x/g.expectedServiceTime(t.class))
	m.lateness.add(g.now, latencyDecay, late)
	if m.role == RolePrimary {
		g.primaryLateness.add(g.now, classDecay, late)
	}
	if s := &g.stats[t.class]; x*s.departures.value(g.now, classDecay) > s.departureWaits.value(g.now, classDecay) {
		s.longerAnswers.add(g.now, classDecay, 1)
	}
	g.updateBaseLateness(late)
	g.stats[t.class].serviceTime.add(g.now, classDecay, x)
	if g.now-m.limitChangedAt < Nanos(g.meanLatency(m)) {
		return
	}
	switch {
	case m.lateness.valueWithPrior(g.now, latencyDecay, g.lateness.valueWithPrior(g.now, classDecay, 0, 0), peerPriorWeight) > g.latenessLimit(m):
		g.reduceLimit(m)
	case float64(m.inFlight+2) > m.limit: // it grows by one, below one in steps
		m.limit, m.limitChangedAt = m.limit+max(minLimit, math.Floor(min(1, m.limit))), g.now
	}
}

// cut takes a share off a limit, to below one where this gateway matters little to the member. Writes have no
// other to go to: a primary takes one at a time at least.
func (g *Gateway) reduceLimit(m *member) {
	minimum := 1.0
	if m.role != RolePrimary && m.lateness.count.total < smallSample {
		minimum = minLimit
	}
	m.limit, m.limitChangedAt = max(minimum, min(m.limit, float64(m.inFlight+1))*limitDecrease), g.now
}

// inTime tells whether the way to a member leaves time to earn something. What can earn nothing any more, or
// is taken for a client's repeat of such, must not be held to its end either: it goes where none is crowded.
func (g *Gateway) inTime(t *txn, m *member) bool {
	late := m.lateness.valueWithPrior(g.now, latencyDecay, g.lateness.valueWithPrior(g.now, classDecay, g.baseLateness, 1), peerPriorWeight)
	idle := m.inFlight == 0 && !g.connectionsScarce && late < (g.baseLateness+g.latenessLimit(m))/2
	return t.slaDeadline <= g.now && idle || g.settings.Classes[t.class].LateValue > 0 || g.now+g.zoneDelay(m.zone) < t.slaDeadline
}

// lateLimit is the mean latency, in SLA times, that cuts a limit: part of the way from uncrowded to too late.
func (g *Gateway) latenessLimit(m *member) float64 {
	fraction := lateFraction
	if m.role == RoleReplica && g.estimatedLag(m) > tokenWait {
		fraction = laggingLateFraction // crowding slows a replica's apply: one that falls behind is relieved sooner
	}
	return g.baseLateness + (1-g.baseLateness)*fraction
}

// patience is a type's SLA time, or where a good share of clients leave sooner, how long those stayed: unless
// as many stay longer, or it is less than an answer takes. Then it is not for waiting that they leave.
func (g *Gateway) targetLatency(class int) Nanos {
	s, aim := &g.stats[class], g.settings.Classes[class].TargetLatency
	left, outlasted := s.departures.value(g.now, classDecay), s.longerAnswers.value(g.now, classDecay)
	stay := s.departureWaits.value(g.now, classDecay) / max(1, left)
	if left < max(1, departureThreshold*s.arrivals.value(g.now, classDecay), outlasted) || stay < minServiceTimesLeft*g.expectedServiceTime(class) {
		return aim
	}
	return min(aim, Nanos(stay))
}

// expected is a txn type's service time of late, a quarter of its SLA time before any is known.
func (g *Gateway) expectedServiceTime(class int) float64 {
	return g.stats[class].serviceTime.valueWithPrior(g.now, classDecay, float64(g.settings.Classes[class].TargetLatency)/4, 1)
}

// meanLatency is a tick at least: a host that stood still for a moment must not find quick members silent.
func (g *Gateway) meanLatency(m *member) float64 {
	guess := g.expectedServiceTime(0) + float64(g.zoneDelay(m.zone))
	return max(float64(g.settings.Tick), m.latency.valueWithPrior(g.now, latencyDecay, guess, 1))
}

// queue puts a txn into its row. Reads that any replica can serve do not wait behind those that need proof.
func (g *Gateway) enqueue(t *txn) {
	row := t.class
	switch {
	case t.slaDeadline <= g.now:
		row += 2 * len(g.settings.Classes)
	case t.token == 0 && g.settings.Replication.Consistency[t.class] == "causal":
		row += len(g.settings.Classes)
	}
	t.waiting = true
	t.group.queued++
	g.queued++
	t.group.queues[row] = append(t.group.queues[row], t)
}

// steps are what a round looks at, in this order.
var roundSteps = [...]func(*Gateway) (Decision, bool){
	(*Gateway).subscribe, (*Gateway).review, (*Gateway).closeIdle, (*Gateway).dispatch, (*Gateway).probe,
	(*Gateway).sendUpdates, (*Gateway).nextLogLine, (*Gateway).scheduleWake,
}

// ask follows the list; a call that got no word at all is made again too.
func (g *Gateway) subscribe() (Decision, bool) {
	if g.settings.MembershipMode != "ask" || g.subscribed || g.now < g.subscribeAt {
		return Decision{}, false
	}
	g.subscribeAt = g.now + g.settings.Rules.MaxListAge/2
	return Decision{Kind: SubscribeList}, true
}

func (g *Gateway) scheduleWake() (Decision, bool) {
	interval := inFlightCheckInterval // nothing waits: only silence is to be seen
	if g.queued > 0 {
		interval = queueCheckInterval
	}
	next := g.now + max(interval, g.settings.Tick)
	// A call that is due later than that does not do for a txn that came since, with little time of its own.
	idle := len(g.openTxns) == 0 && (g.subscribed || g.settings.MembershipMode != "ask")
	if idle || g.wakeAt > g.now && g.wakeAt <= next {
		return Decision{}, false
	}
	g.wakeAt = next
	return Decision{Kind: Wake, Delay: next - g.now}, true
}

// review looks at members for silence, then at each open txn for what its time still allows.
func (g *Gateway) review() (Decision, bool) {
	if g.cursor == 0 {
		if g.now < g.reviewAt {
			return Decision{}, false
		}
		g.busyList = slices.DeleteFunc(g.busyList, func(m *member) bool { m.busy = m.inFlight > 0; return !m.busy })
		for _, m := range g.busyList {
			silent, total := 0, 0.0
			for _, o := range m.group.members {
				if waits := g.silenceScore(o); waits > 1 {
					silent, total = silent+1, total+waits
				}
			}
			minSilence := Nanos(minSilence * g.meanLatency(m))
			if !m.suspect && g.now-m.silentSince > minSilence && g.silenceScore(m) > silenceThreshold {
				g.markSuspect(m, "silent", false)
			}
			// A group that is silent as a whole, as after a restart of all, shows sooner than any one of it.
			if 2*silent > len(m.group.members) && total > silenceThreshold && g.now-m.group.answeredAt > minSilence {
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

// reviewTxn calls off copies whose client has its answer, and answers at once what can no longer be in time.
func (g *Gateway) reviewTxn(t *txn) (Decision, bool) {
	c := &g.settings.Classes[t.class]
	for i := range t.submissions {
		s := &t.submissions[i]
		if s.ended {
			continue
		}
		// A connection that fell silent at a member that is well must take no part of its limit, nor a txn's
		// time. It harms where one txn takes many times as long as others of its kind: that is asked twice.
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
	// Where all is slow a txn is still tried in half of its SLA time: else nothing could show that it is over.
	need := min(Nanos(minServiceTimesLeft*g.expectedServiceTime(t.class)), c.TargetLatency/2)
	last := t.expiry - 2*g.settings.Tick
	if t.inFlight == 0 && c.LateValue == 0 && t.slaDeadline > t.arrivedAt {
		last = min(last, t.slaDeadline-need)
	} else if t.inFlight == 0 {
		last = min(last, t.expiry-need)
	}
	if len(t.submissions) == 0 && c.LateValue < unsentHoldCost { // to hold it longer costs more than it can still earn
		last = min(last, t.arrivedAt+t.budget/2-2*g.settings.Tick)
	}
	if g.now >= last || (t.inFlight == 0 && !g.maySubmit(t)) {
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

// rescues tells whether a txn in flight is tried again, as its member is suspect or its answer astray.
func (g *Gateway) needsRetry(t *txn, s *submission) bool {
	switch effect := g.settings.Classes[t.class].Effect; {
	case len(t.submissions) >= g.settings.Limits.MaxAttempts:
	case effect == "repeatable":
		return s.responseLost || s.member.suspect && float64(g.now-s.sentAt) > retryServiceTimes*g.expectedServiceTime(t.class)
	case effect == "by_key":
		// Only a primary that is well can do better, and only while the group remembers the first submission.
		p := g.primaryOf(t.group)
		return p != nil && !p.suspect && (s.member.suspect && p != s.member || s.responseLost) &&
			g.now < t.submissions[0].sentAt+g.settings.Classes[t.class].DedupWindow
	}
	return false
}

// maySubmit guards against a second effect.
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

// giveUp answers a txn for good: declined where a retry can do no harm, else rolled back.
func (g *Gateway) abandon(t *txn) Decision {
	t.done, t.waiting = true, false
	g.unserved[sessionClass{t.session, t.class}] = t.firstArrival
	g.abandoned.add(g.now, latencyDecay, 1)
	g.removeIfDone(t)
	c := &g.settings.Classes[t.class]
	again := c.Effect == "repeatable" || c.Effect == "by_key" && c.Group == "all"
	if again || t.firstRunAt == 0 && t.inFlight == 0 {
		// It should come back after about as long as what waits here takes to clear.
		d := Decision{Kind: Reject, Txn: t.id}
		if g.settings.Limits.RetryAfter {
			d.Delay = min(c.TargetLatency, g.settings.Limits.MaxRetryAfter)
		}
		return d
	}
	return Decision{Kind: RollBack, Txn: t.id}
}

// rowValue is what a unit of service time earns in a row.
func (g *Gateway) queueValue(queue int) float64 {
	n := len(g.settings.Classes)
	class := queue % n
	c, s := &g.settings.Classes[class], &g.stats[class]
	value := c.Worth
	if class == g.worstClass { // it counts by its weight in the objective as well
		value += g.settings.ObjectiveMix.WorstClass * g.arrivedWorth / max(1, s.arrivals.value(g.now, classDecay))
	}
	if queue >= 2*n {
		value *= c.LateValue
	}
	return value / g.expectedServiceTime(class)
}

// rank orders the rows anew.
func (g *Gateway) reorderQueues() {
	g.arrivedWorth = 0
	low := 2.0
	for class := range g.stats {
		s := &g.stats[class]
		came := s.arrivals.value(g.now, classDecay)
		g.arrivedWorth += g.settings.Classes[class].Worth * came
		if share := (s.onTime.value(g.now, classDecay) + 1) / (came + 1); share < low {
			low, g.worstClass = share, class
		}
	}
	slices.SortStableFunc(g.queueOrder, func(a, b int) int { return cmp.Compare(g.queueValue(b), g.queueValue(a)) })
	g.totalDemand = 0
	for _, row := range g.queueOrder {
		if row < len(g.stats) {
			s := &g.stats[row]
			s.demandAbove, s.demand = g.totalDemand, s.arrivals.value(g.now, classDecay)*g.expectedServiceTime(row)
			g.totalDemand += s.demand
		}
	}
}

// rankOf is the share of demand worth more than a txn, ties by chance: it goes first below a limit of 1.
func (g *Gateway) demandRank(t *txn) float64 {
	s := &g.stats[t.class]
	return (s.demandAbove + g.randomDraw(t)*s.demand) / max(1, g.totalDemand)
}

// dispatch sends waiting txns, group by group, those of most value for their service time first.
func (g *Gateway) dispatch() (Decision, bool) {
	if g.queued > 0 && g.now >= g.reorderAt {
		g.reorderAt = g.now + reorderInterval
		g.reorderQueues()
	}
	for g.queued > 0 && g.cursor < len(g.groups)*len(g.queueOrder) {
		grp, row := g.groups[g.cursor/len(g.queueOrder)], g.queueOrder[g.cursor%len(g.queueOrder)]
		if grp.queued == 0 {
			g.cursor += len(g.queueOrder)
			continue
		}
		g.prune(grp, row)
		// Newest first once the oldest has waited for a good part of its SLA time: in a jam the old are shed
		// whatever is done, and first in, first out would serve everybody late.
		w := grp.queues[row]
		newest := len(w) > 0 && g.now-w[0].arrivedAt > g.targetLatency(w[0].class)/newestFirstFraction
		for i := range min(len(w), scanDepth) {
			t := w[i]
			if newest {
				t = w[len(w)-1-i]
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

func (g *Gateway) submit(t *txn, m *member) Decision {
	if m.suspect {
		m.trialInterval = min(m.trialInterval*2, maxTrialInterval)
		m.nextTrialAt = g.now + m.trialInterval
	}
	d := Decision{Kind: Submit, Txn: t.id, Server: m.id, Expiry: t.expiry}
	if c := &g.settings.Classes[t.class]; c.Effect == "by_key" && t.firstPossibleRun() > 0 {
		d.SendBefore = t.firstPossibleRun() + c.DedupWindow // a connection may take long to come up
	}
	g.submissionStarted(t, m)
	return d
}

// primaryOf is the member that an answer called primary last; before any has, the one that the list names.
func (g *Gateway) primaryOf(grp *group) *member {
	var named *member
	for _, m := range grp.members {
		switch {
		case m.excluded:
		case m.role == RolePrimary:
			return m
		case m.listedPrimary && m.role != RoleReplica:
			named = m
		}
	}
	return named
}

// PositionSource is the member to ask where a group's log stands: its primary, or while none is known that answers,
// its members in turn, as with a write; none that may get nothing new.
func (g *Gateway) PositionSource(group, turn int) (Server, bool) {
	var open []*member
	for _, grp := range g.groups {
		if grp.id != group {
			continue
		}
		if p := g.primaryOf(grp); p != nil && !p.suspect {
			return p.id, true
		}
		for _, m := range grp.members {
			if !m.excluded && g.withinColdBudget(m) {
				open = append(open, m)
			}
		}
	}
	if len(open) == 0 {
		return Server{}, false
	}
	return open[turn%len(open)].id, true
}

// place chooses a member for a txn by the design's steps, or none while it must wait.
func (g *Gateway) chooseMember(t *txn) *member {
	need := g.settings.Replication.Consistency[t.class]
	p := g.primaryOf(t.group)
	if need == "mutate" || need == "strong" {
		return g.choosePrimary(t, p, need == "mutate")
	}
	required := g.requiredPosition(t, g.now)
	checked := g.settings.Replication.WhenBehind != "none"
	// A suspect primary gets its trials too: without them nobody would ever see that it answers again.
	if p != nil && p.suspect && (checked || p.role == RolePrimary) && g.hasCapacity(p, t) {
		return p
	}
	if g.delaysReplication(t.class) {
		// Step 7 where one read holds a replica's apply up for long: few replicas get them, the others keep up.
		if m := g.leastLoaded(t, func(m *member) bool { return m != p && !g.isCold(m) && g.servesLongReads(m, p) }); m != nil {
			return m
		} else if g.now < t.arrivedAt+g.targetLatency(t.class)/longReadFraction {
			return nil
		}
	}
	// Steps 2, 3, 6 and 7: a replica that needs no proof or is known to have reached the floor.
	if m := g.leastLoaded(t, func(m *member) bool { return m != p && m.position >= required }); m != nil {
		return m
	}
	if required <= 0 {
		return g.primaryForRead(t, p)
	}
	if checked && !t.waitOver {
		// Step 4 where replicas check: their hold is the wait, if one can make it within that.
		m := g.leastLoaded(t, func(m *member) bool {
			return m != p && g.now-g.estimatedLag(m)+g.settings.Replication.ReplicaWait >= required
		})
		if m != nil {
			return m
		}
	}
	g.markUnproven(t.group, p, required)
	if !checked && need == "causal" && !t.waitOver {
		// Step 4 where they do not: wait for word of some replica.
		if g.now < min(t.arrivedAt+tokenWait, t.slaDeadline-Nanos(2*g.expectedServiceTime(t.class))) {
			return nil
		}
		t.waitOver = true
	}
	// Step 5, and step 6's else: the primary; where replicas check, a guess will do.
	if m := g.primaryForRead(t, p); m != nil || p != nil && !p.suspect && (p.role == RolePrimary || p.listedPrimary || checked) {
		return m
	}
	if checked && g.now >= t.pausedUntil { // with no primary, replicas that check are tried again after a pause
		t.waitOver = false
	}
	return nil
}

// holdsUp tells whether a read that any member may answer takes longer than what is to be current may wait. A
// replica that holds one may apply nothing, and spread over a group such reads leave no replica current.
func (g *Gateway) delaysReplication(class int) bool {
	return g.settings.Replication.Consistency[class] == "eventual" &&
		min(g.expectedServiceTime(class), float64(g.settings.Classes[class].TargetLatency)/4) > longReadWaits*float64(tokenWait)
}

// holder tells whether a replica is among the few that take such reads: those furthest behind by what all
// gateways know, so that they agree on them and none that is current is spent.
func (g *Gateway) servesLongReads(m, primary *member) bool {
	positionOf := func(o *member) Nanos { return min(cmp.Or(o.position, g.now), g.now-lagEquivalence) } // 0 is unknown
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
	return ahead < max(1, eligible/longReadFraction)
}

// floorOf is the position that a read must see when it is sent at a time, 0 if it needs none.
func (g *Gateway) requiredPosition(t *txn, at Nanos) Nanos {
	if g.settings.Replication.Consistency[t.class] != "lag_bound" {
		return t.token
	}
	return at - Nanos((1-stalenessMargin)*float64(g.settings.Replication.MaxStaleness[t.class]))
}

// spare is the primary for a read, as far as its writes leave room: none while writes wait here, and less the
// nearer its latency comes to what cuts the limit, so that reads make way before anyone's writes have to.
func (g *Gateway) primaryForRead(t *txn, p *member) *member {
	isPrimary := p != nil && (p.role == RolePrimary || p.listedPrimary || g.settings.Replication.WhenBehind != "none")
	if !isPrimary || p.suspect || !g.hasCapacity(p, t) || !g.inTime(t, p) || t.inFlight > 0 && t.sentTo(p, 0) {
		return nil
	}
	for row, w := range t.group.queues {
		if len(w) > 0 && g.settings.Replication.Consistency[row%len(g.settings.Classes)] == "mutate" {
			return nil
		}
	}
	// A gateway that sends a primary one txn in many seconds judges it by what it saw of all primaries, and
	// as hundreds of gateways see the same, each lets through no more than a share of its reads, by chance.
	prior := g.primaryLateness.valueWithPrior(g.now, classDecay, unseenPrimaryLateness*g.latenessLimit(p), 1)
	free := 1 - p.lateness.valueWithPrior(g.now, latencyDecay, prior, peerPriorWeight)/g.latenessLimit(p)
	if float64(p.inFlight) < p.limit*free && g.randomDraw(t) < primaryReadFactor*free {
		return p
	}
	return nil
}

// placeOnPrimary is step 1; without a primary that answers, one write at a time tries the members in turn.
func (g *Gateway) choosePrimary(t *txn, p *member, write bool) *member {
	if p != nil && !p.suspect {
		isPrimary := write || p.role == RolePrimary || g.settings.Replication.WhenBehind != "none"
		if isPrimary && g.hasCapacity(p, t) && !t.sentTo(p, g.now-queueCheckInterval) {
			return p
		}
		return nil
	}
	grp, pause := t.group, t.budget/primarySearchFraction
	g.markUnproven(grp, p, g.now+1) // a probe tells a role sooner than members tried in turn
	if s := grp.primarySearch; s != nil && s.inFlight > 0 && g.now-s.submissions[len(s.submissions)-1].sentAt > pause {
		grp.primarySearch = nil // a miss comes at once: this one runs, or its member hangs
	}
	if (grp.primarySearch != nil && grp.primarySearch != t) || (!write && g.settings.Replication.WhenBehind == "none") ||
		2*len(t.submissions) >= g.settings.Limits.MaxAttempts {
		return nil
	}
	var best *member
	for _, m := range grp.members {
		// Who has just said that it is a replica is not asked again, which is the pause after a round, nor is
		// one that was asked and has not answered: a second write would be stuck there with the first.
		queried := g.now-m.queriedAt < pause || m.inFlight > 0 && m.silentSince <= m.queriedAt ||
			m.role == RoleReplica && g.now-m.roleAt < pause
		if m == p || m.excluded || m.suspect || queried || !g.withinColdBudget(m) {
			continue
		}
		if best == nil || (m.listedPrimary && !best.listedPrimary) || (m.listedPrimary == best.listedPrimary && m.position > best.position) {
			best = m
		}
	}
	if best == nil && p != nil && p.suspect && !p.excluded && g.now > p.nextTrialAt+maxTrialInterval && g.withinColdBudget(p) {
		best = p // no read came that could have been its trial
	}
	if best != nil {
		grp.primarySearch, best.queriedAt = t, g.now
	}
	return best
}

// behind guesses how far a member lags: as last heard, less the longer ago that was, so that a lag is tried
// again. No read that a server does not check relies on it.
func (g *Gateway) estimatedLag(m *member) Nanos { return max(0, m.lastLag-(g.now-m.lagSeenAt)) }

// silent is a replica that was not heard of for long, to be asked for its position: proof comes from the
// very reads that need it, and a gateway that has a txn for a group once in many seconds has none else. Near
// ones come first; a slow way or a cold member, for which what it turns away is work too, is left alone.
func (g *Gateway) replicaToProbe(members []*member) *member {
	var best *member
	for _, m := range members {
		last, remote := max(m.positionSeenAt, m.queriedAt), m.zone != g.settings.Zone
		if m.excluded || m.role == RolePrimary || m.listedPrimary || m.suspect || g.now-last < max(positionProbeInterval, m.lastLag/positionProbeLagFraction) ||
			g.now < m.restUntil || remote && g.zoneDelay(m.zone) > queueCheckInterval || !g.withinColdBudget(m) {
			continue
		}
		if best == nil || !remote && best.zone != m.zone ||
			remote == (best.zone != g.settings.Zone) && last < max(best.positionSeenAt, best.queriedAt) {
			best = m
		}
	}
	if best != nil {
		best.queriedAt = g.now
	}
	return best
}

// probe asks members that refused connections whether they run, and those without proof for their position.
func (g *Gateway) probe() (Decision, bool) {
	if server, ok := pop(&g.pendingChecks); ok {
		return Decision{Kind: Probe, Server: server}, true
	}
	shown := g.settings.LoadReport.How != "none" && slices.Contains(g.settings.LoadReport.Fields, "x0")
	if !g.settings.Limits.Probes || !shown || len(g.needingPosition) == 0 {
		return Decision{}, false
	}
	g.needingPosition = slices.DeleteFunc(g.needingPosition, (*member).positionKnown)
	if m := g.replicaToProbe(g.needingPosition); m != nil {
		return Decision{Kind: Probe, Server: m.id}, true
	}
	return Decision{}, false
}

// pick is the least loaded member with room among those that will do.
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
		// How slow it is compares its latency with what its txns took anywhere.
		cost := float64(m.inFlight+1) * m.slowdown.valueWithPrior(g.now, latencyDecay, 1, peerPriorWeight) * (1 + 0.01*g.rng.unit())
		if m.zone != g.settings.Zone {
			cost *= remoteZonePenalty + float64(g.zoneDelay(m.zone))/g.expectedServiceTime(t.class)
		}
		// Errors may be its member's own, which answers sooner than others for it: those come first by how many
		// more of them it brings than all do, and a txn that met one is not sent there again.
		all := g.errorRate.valueWithPrior(g.now, latencyDecay, 0, peerPriorWeight)
		errors := m.errorRate.valueWithPrior(g.now, latencyDecay, 0, peerPriorWeight) - all
		cost *= 1 + errorPenalty*max(0, errors)
		if best == nil || cost < lowest {
			best, lowest = m, cost
		}
	}
	return best
}

// room tells whether a member may take one more: its limit, a suspect's trials, a cold member's budget.
func (g *Gateway) hasCapacity(m *member, t *txn) bool {
	if m.excluded || g.now < m.restUntil || m.refusedConnections > 0 && m.inFlight > 0 {
		return false
	}
	if m.suspect && !m.unreachable && !g.anyHealthy() {
		// The fault is more likely here or on the way, and none is avoided; but who is known to be cold still is.
		known := m.listedStart > 0 && g.now-m.listedStart < g.settings.Rules.ColdDuration
		return float64(m.inFlight) < m.limit && (!known || g.withinColdBudget(m))
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

// warmEnough keeps a cold member from being pushed over. Its budget is the share that its age assures it can
// do of the mean demand on a member: means add up, so the budgets of all gateways together are that share of
// all demand, however uneven they are, with no warm peer needed. Each starts at a point drawn by chance below
// nothing: else hundreds would send their first at once.
func (g *Gateway) withinColdBudget(m *member) bool {
	if !g.isCold(m) {
		return true
	}
	r, age := &g.settings.Rules, g.now-m.startedAt
	share := r.ColdFrom + (1-r.ColdFrom)*max(0, float64(age)/float64(r.ColdDuration))
	rate := g.demand.rate(g.now, g.startedAt, classDecay) / float64(max(1, g.servingMembers))
	rate *= share * coldBudgetFraction * r.FallMultiple
	if m.lateness.valueWithPrior(g.now, latencyDecay, 0, 0) < g.latenessLimit(m)/2 {
		// It answers as quickly as if uncrowded, so what it gets now it can do: that may grow by a part of
		// what the rule's multiple leaves, however little the mean demand is.
		rate = max(rate, m.sentWork.rate(g.now, max(g.startedAt, m.startedAt), classDecay)*(1+r.FallMultiple)/2)
	}
	maxCredit, listed, work := rate*float64(r.OverloadWindow)/2, m.startedAt == m.listedStart, g.expectedServiceTime(0)
	if listed {
		maxCredit = max(maxCredit, min(work, rate*coldBudgetWindows*float64(r.OverloadWindow)))
	}
	m.coldCredit, m.coldCreditAt = m.coldCredit+rate*float64(g.now-m.coldCreditAt), g.now
	if excess := m.coldCredit - maxCredit; excess > 0 {
		m.coldCredit = maxCredit
		if listed {
			// All were told of it. What one does not use lapses, and comes anew: else each of hundreds comes to
			// hold one, and they send them in the same moment.
			m.coldCredit += math.Mod(excess, work) - work
		}
	}
	return m.coldCredit >= 0
}

// starts takes a member for cold: what was measured of its last run tells nothing of this one.
func (g *Gateway) markStarted(m *member, at Nanos) {
	m.startedAt, m.limit = at, 1
	m.coldCredit, m.coldCreditAt = -g.rng.unit()*g.expectedServiceTime(0), g.now
	m.latency, m.slowdown, m.lateness, m.sentWork = decayingMean{}, decayingMean{}, decayingMean{}, decayingSum{}
}
