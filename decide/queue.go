package decide

import (
	"cmp"
	"slices"
)

// This file holds the queues of waiting txns: their order, retries, and the final answers to those that are not served.

// Times are in nanoseconds; fractions and factors have no unit.
const (
	// Rounds.
	queueCheckInterval    = 5 * ms   // interval of reviews of open txns: short against any SLA time
	inFlightCheckInterval = 20 * ms  // the same while all of them are in flight: short against any answer
	reorderInterval       = 100 * ms // queues are sorted again after this: their values change with means over seconds
	scanDepth             = 64       // queued txns examined per queue and round: bounds the work under overload

	// Final answers.
	departureThreshold    = 0.05 // fraction of a type's clients leaving early above which their wait replaces the SLA time
	minServiceTimesLeft   = 1.2  // mean service times that must be left for a txn to be worth sending
	unsentHoldCost        = 0.3  // cost, as a fraction of its value, of holding a txn that was never sent beyond half its time
	newestFirstDivisor    = 4    // the SLA time divided by this: a queue whose oldest waited longer serves the newest first
	maxErrors             = 2    // errors after which a txn counts as worthless: two by chance are rare
	sheddingLogThreshold  = 10.0 // unserved txns of the last seconds that are worth a log line
	maxUsualVotes         = 1000 // max attempts with another budget until that becomes the usual one
	usualToleranceDivisor = 50   // the client's limit divided by this: tolerance around the usual budget
)

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
