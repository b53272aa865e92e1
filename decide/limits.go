package decide

import "math"

// This file bounds what members get: limits of submissions in flight by latency, and the budgets of cold members.

// Times are in nanoseconds; fractions and factors have no unit.
const (
	// Decay times of moving averages.
	latencyDecay    = 2000 * ms // of a member's latency: long against an answer, short against an outage
	classDecay      = 5000 * ms // of a txn type's service time: steadier than any single member
	peerPriorWeight = 2.0       // answers of a member that weigh as much as those of all its peers together

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

	// Cold members.
	coldBudgetFraction = 0.7 // of the multiple at which a cold member is overloaded: the fraction to plan for
	coldBudgetWindows  = 2.0 // overload windows for which the credit for one txn to a cold member may accrue; 4 reach its capacity
)

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
