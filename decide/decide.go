// Package decide routes txns over groups of a primary and its replicas.
//
// Call New once with the settings. In each round, call BeginRound with the current time, then any of AddTxn,
// SubmissionEnded, ProbeEnded, ClientGone, UpdateMember followed by EndMemberList, and MemberListFailed,
// which only update state; then call Next until it reports that no decision is left. A Wake decision asks
// for another round.
//
// This file takes what is told and follows the member list; queue.go holds the queues of txns and their final answers,
// choose.go the choice of a member, health.go suspects and their trials, limits.go how much members get, probes.go whom to
// probe, roles.go what members told of themselves, freshness.go what a read must see, groupclock.go the clocks of groups,
// told.go the exchange with other gateways, interface.go the types of the interface, site.go the settings that are read,
// and state.go the state and helpers.
//
// docs/design.md describes which parts of the design are implemented.
package decide

import "fmt"

// Times are in nanoseconds; fractions and factors have no unit.
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
