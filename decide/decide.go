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

	waitSpan     = 150 * ms  // step 4: the wait of a tokened read (the post's MAX_WAIT_MS)
	boundMargin  = 0.02      // of a bound, kept in hand: proven positions err on the safe side already
	holdPart     = 20        // a write with no primary holds this part of its time between rounds of misses
	askSpan      = 200 * ms  // a replica is asked for its position this often at most: a session's pause
	askPart      = 8         // or once in this part of its lag, which it cannot make up sooner
	retryFirst   = 250 * ms  // failed list calls and trials of suspects come again after this, doubled each time
	askMost      = 1250 * ms // list calls up to this, half as long again by chance: docs/design.md has the sum
	pulse        = 5 * ms    // how often open txns are looked at: often against any SLA time
	idlePulse    = 20 * ms   // the same while all of them are in flight: short against any answer
	rankSpan     = 100 * ms  // rows are ranked anew after this: they change with means of seconds
	fadeLatency  = 2000 * ms // memory of a member's speed: long against an answer, short against a trouble
	fadeClass    = 5000 * ms // memory of a txn type's service time: steadier than any one member
	silentMeans  = 12.0      // a suspect's work in flight has waited for this many mean latencies in all
	silentLeast  = 4.0       // and its last answer was this many ago: both are rare by chance
	leaveShare   = 0.05      // of a type's clients who leave early: above it their stay replaces the SLA time
	trialLast    = 500 * ms  // trials up to this, so that one that came back is not left idle for long
	longestQuiet = 1000 * ms // a suspect that is back after longer starts again with a small limit
	limitStart   = 8.0       // first limit on what is in flight to a member: a few cores' worth
	fewAnswers   = 5.0       // answers of late under which this gateway matters little to a member
	leastLimit   = 0.2       // least limit, and its step below one: one for each of hundreds is too much
	limitCut     = 0.8       // share left of a limit when answers come too late
	lagPart      = 0.1       // the same for a replica that is further behind than a tokened read waits
	latePart     = 0.25      // way from the uncrowded latency to the SLA time at which a mean cuts the limit
	baseFirst    = 0.3       // uncrowded latency in SLA times, before it is known
	baseMost     = 0.35      // and at most: a gateway that starts in a jam must not take that for its base
	baseCount    = 50        // answers lately that a mean needs to count
	baseCreep    = 1e-4      // part of the difference by which the base rises with each answer
	unseenLate   = 0.85      // of the latency that cuts limits, for a primary nobody has heard of
	leanCount    = 2.0       // answers of a member itself that weigh as much as all of its peers together
	luckPart     = 2.0       // reads keep off primaries by chance from half of the latency that cuts limits
	hopeless     = 1.2       // mean service times that must be left for a txn to be worth sending
	heldValue    = 0.3       // cost, of its value, of answering a txn that was never sent after half its time
	strayMeans   = 6.0       // mean latencies after which an answer that was overtaken is astray: rare by chance
	rescueMeans  = 2.0       // service times after which a read on a suspect is taken elsewhere
	farPenalty   = 1.15      // a member elsewhere must be this much less loaded to be preferred
	errorPenalty = 20.0      // one that answers errors alone must be this much less loaded to be preferred
	shareSpan    = 100 * ms  // news of a position are told when it is this much ahead of what all were told
	sharePart    = 3         // or this part of a bound ahead, so that what is told still proves it on arrival
	holdMost     = 2.0       // waits of a tokened read that a read may take and not hold its replica up
	holdSame     = 1000 * ms // replicas less behind than this are alike
	holdersPart  = 3         // part of a group that takes such reads, and of their time that they wait for it
	toldPerTxn   = 15.0      // messages that all gateways together may get for each txn
	reportOld    = 300 * ms  // a report may be this old: what it lacks more than this is a lag
	reportAge    = 1000 * ms // an answer's word on a role outweighs a report's for this long
	jamPart      = 4         // part of its SLA time that a row's oldest waits before newest are first
	scanDepth    = 64        // waiting txns of a row looked at in a round: bounds the work in a jam
	shedOn       = 10.0      // txns given up within the last seconds that are worth a line in the log
	refusedRest  = 100 * ms  // a member that refused a connection rests this long, give or take a half
	refusedCount = 4         // refusals with no answer between them that make it suspect, after a second
	breaksMost   = 5         // connections that broke, with no answer between them, that make a member suspect
	errorsMost   = 2         // errors after which a txn is taken for worthless: two by chance are rare
	scarceCount  = 3.0       // refusals of late that make connections scarce: one that is down brings fewer
	coldPart     = 0.7       // of the multiple at which a cold member falls over: what may be planned for
	coldLapse    = 2.0       // windows of the rule for which one may keep a txn for a cold member: 4 reach what it bears
	usualMost    = 1000      // tries of another time that make the usual one give way, at most
	usualSteps   = 50        // a time for a try within this part of the client's limit of the usual one is usual
)

// Arrived takes a txn. age is that of its session's last write, 0 for none or not told.
func (g *Gateway) Arrived(id uint64, class, _ int, session uint64, budget, work Nanos, grp int,
	age Nanos) error {
	if class >= len(g.site.Classes) {
		return fmt.Errorf("txn type %d is not in the settings", class)
	}
	c := &g.site.Classes[class]
	t := &txn{id: id, class: class, group: g.groupOf(grp), session: session,
		arrived: g.now, first: g.now, budget: budget, expiry: g.now + budget, waiting: true}
	g.service[class].came.add(g.now, fadeClass, 1)
	g.arrivals.add(g.now, fadeClass, 1)
	t.aim = g.now + g.patience(class) + Nanos(c.AimStretch*float64(work))
	// First tries of a type all get the same time, the usual one. Another time marks a client's repeat, which
	// has what is left of its limit, less or more: that tells how much of the SLA time went by before.
	if usual := &g.service[class].usual; !usual.counts(budget, c.HardLimit/usualSteps, usualMost) {
		t.first = min(g.now, t.expiry-c.HardLimit)
	}
	// So is one of a session whose last txn of the type was not served and began within the client's limit.
	if at, ok := g.unserved[unserved{session, class}]; ok && session != 0 && g.now-at < c.HardLimit {
		t.first = min(t.first, at)
	}
	t.aim = max(g.now, t.aim-(g.now-t.first))
	switch g.site.Family.Consistency[class] {
	case "causal":
		if age != 0 { // below 0 where the session's group is ahead of this clock
			t.token = g.now - age
		} else if at := t.group.tokens[session]; at > t.group.passed() {
			t.token = at
		}
	case "strong":
		t.token = g.now
	}
	if t.first == g.now {
		g.demand.add(g.now, fadeClass, g.expected(class)) // repeats do not raise what members can do
	}
	g.reviewAt = min(g.reviewAt, t.expiry-2*g.site.Tick) // one with no time left is answered at once
	g.txns[id], g.open = t, append(g.open, t)
	g.queue(t)
	return nil
}

// Bind keeps the reads of a txn that has just come to some zones, a bit each, while one there is well.
func (g *Gateway) Bind(id uint64, zones uint64, aim Nanos) {
	if t := g.txns[id]; t != nil {
		t.zones, t.aim = zones, min(t.aim, max(g.now, t.first+aim))
	}
}

// Ended tells how a submission ended and what the member said of itself.
func (g *Gateway) Ended(id uint64, no int, server Server, r Result, elapsed Nanos, role Role, position Nanos,
	over bool, report []float64) {
	t := g.txns[id]
	if t == nil || no >= len(t.subs) || t.subs[no].over || t.subs[no].to.id != server {
		return
	}
	s, m := &t.subs[no], t.subs[no].to // which the list may have dropped since
	g.closed(t, s, r)
	g.heardNote(m, role, position)
	g.heardReport(m, report)
	if role == RolePrimary && g.site.Family.WhenBehind != "none" {
		m.reached(s.at) // a primary stands at the present
	}
	switch r {
	case Committed:
		g.answered(m)
		g.measured(m, t, elapsed)
		if !t.done {
			if g.now <= t.aim {
				g.service[t.class].intime.add(g.now, fadeClass, 1)
			}
			g.proven(t, s, m, position)
			delete(g.unserved, unserved{t.session, t.class})
		}
		t.done = true
	case Missed:
		g.answered(m)
		if floor := g.floorOf(t, s.at); floor > 0 && position == 0 {
			m.lag, m.lagAt = max(g.behind(m), g.now-floor+waitSpan), g.now
		}
		// A read that was turned away has had its wait on a replica: step 5. Turned away at once it has not.
		t.passed = g.site.Family.Hold > 0 || g.now >= t.arrived+waitSpan
		t.pauseTo = g.now + t.budget/holdPart
	case Full:
		g.cut(m)
		m.restTo = g.now + Nanos((0.5+g.rng.unit())*float64(refusedRest))
	case Unreachable:
		if elapsed < g.site.Limits.ConnectTimeout/2 {
			g.refused(m)
		} else if m.quietSince <= s.at { // who has answered since is there: this one handshake was lost
			g.lost(m, "no connection", true)
		}
	case Failed:
		// Worthless txns get a quick error anywhere: they are no demand and show nothing of what a member can do.
		m.carried.add(g.now, fadeClass, -g.expected(t.class))
		if t.errors++; t.errors == errorsMost {
			g.demand.add(g.now, fadeClass, -g.expected(t.class))
		}
	case Broken, Reset:
		g.broke(m)
	case TimedOut, Cancelled: // it took this long at least: what never answers must cut a limit too
		late := float64(g.now-s.at-g.detourTo(m.zone)) / float64(g.patience(t.class))
		if late > 1 && !g.overtaken(t, s) { // but not where the connection did, not the member
			m.late.add(g.now, fadeLatency, late)
			g.late.add(g.now, fadeClass, late)
			g.cut(m)
		}
	}
	if t.group.scout == t {
		t.group.scout = nil
	}
	t.done = t.done || over
	g.share(m)
	g.forget(t)
	if !t.done && !t.waiting && t.out == 0 {
		g.queue(t)
	}
}

// Probed tells what a probe found: a position and a role, where reports hold them, but nothing of health.
func (g *Gateway) Probed(server Server, r Result, _ Nanos, report []float64) {
	m := g.members[server]
	if m == nil {
		return
	}
	up := r == Committed
	g.heardReport(m, report)
	g.share(m)
	if m.refusals+m.breaks > 0 && m.checkedAt > 0 {
		switch m.checkedAt = 0; {
		case r == Moot: // it was never sent
		case up && m.refusals > 0:
			g.crowds.add(g.now, fadeClass, 1)
		case r == Broken || r == Reset:
			g.broke(m)
		case !up:
			g.lost(m, "refuses connections and probes", true)
		}
	}
}

// Listed tells one entry of the list; ListEnds follows the last.
func (g *Gateway) Listed(server Server, grp int, named bool, st Status, zone int, _ float64, kind int,
	start Nanos) {
	m, known := g.memberOf(server, grp)
	if !known {
		m.limit = limitStart
	}
	m.listedAt = start
	if start > m.startedAt {
		m.suspect = false
		g.starts(m, start)
	}
	m.zone, m.kind, m.named = zone, kind, named
	m.ready, m.gone = st == Ready, st == Gone
	m.drained = !m.ready && (m.drained || st == Draining)
	m.barred = g.bars(m)
	g.listed[server] = true
}

// ListEnds closes an announcement: members that a whole list lacks are gone.
func (g *Gateway) ListEnds(scope Scope) {
	g.serving = 0
	for _, m := range g.members {
		if scope != Delta && !g.listed[m.id] {
			m.ready, m.named, m.gone = false, false, true
			m.barred = g.bars(m)
		}
		if !m.barred {
			g.serving++
		} else if m.gone {
			g.drop(m)
		}
	}
	clear(g.listed)
	for _, grp := range g.groups {
		g.notePrimary(grp)
	}
	if scope == CachedList {
		// All gateways may have started together: the first call is spread.
		g.follows, g.askAt = false, g.now+Nanos(g.rng.unit()*float64(retryFirst))
		return
	}
	if !g.follows && g.site.MembershipMode == "ask" {
		g.log("list followed, %d members", g.serving)
	}
	g.follows, g.askSpan = true, retryFirst
}

// ListFailed tells that a call for the list failed or that the subscription broke.
func (g *Gateway) ListFailed() {
	if g.follows {
		g.log("list lost")
	}
	// Calls that failed are made again well within the time after which the rules deem an instance told: a call that
	// is given up, this pause and the call that brings the news together take under six seconds.
	g.follows, g.askAt = false, g.now+Nanos((0.5+g.rng.unit())*float64(g.askSpan))
	g.askSpan = min(g.askSpan*2, g.site.Rules.AskWithin/4, askMost)
}

// bars: a member may get nothing new. Where the list is no proof of what runs, only a seen drain bars.
func (g *Gateway) bars(m *member) bool {
	return !m.ready && (m.drained || !g.site.Rules.SoftRemoval)
}

// share has the others told what was learned of a member, where they were not told nearly as much. All need
// proof of the same members, and each alone meets one of them in many seconds.
func (g *Gateway) share(m *member) {
	span := Nanos(shareSpan)
	for i, need := range g.site.Family.Consistency {
		if need == "lag_bound" {
			span = min(span, g.site.Family.Bound[i]/sharePart)
		}
	}
	// What all tell grows with members and gateways, what they may spend with txns: the more, the seldomer.
	rate := g.arrivals.perSpan(g.now, g.startedAt, fadeClass) * toldPerTxn / float64(max(1, len(g.members)))
	span = max(span, Nanos(1/max(rate, 1e-12)))
	if g.site.Limits.Peers && !m.telling && m.position-m.shared > span {
		m.telling, g.news = true, append(g.news, m)
	}
}

// proven takes what a committed txn shows: a write its commit, a checked read its token or bound.
func (g *Gateway) proven(t *txn, s *submission, m *member, position Nanos) {
	switch g.site.Family.Consistency[t.class] {
	case "mutate":
		if position > 0 && t.session != 0 && g.site.Family.WriteMarks == "kept" {
			t.group.tokens[t.session] = max(t.group.tokens[t.session], g.site.Family.Zero+position)
		}
	case "lag_bound":
		if g.site.Family.WhenBehind != "none" {
			m.reached(s.at - g.site.Family.Bound[t.class])
		}
	case "causal", "strong":
		if g.site.Family.WhenBehind != "none" && t.token > 0 {
			m.reached(t.token)
			m.lag, m.lagAt = min(g.behind(m), g.now-t.token), g.now
		}
	}
}

// answered notes a sign of life: any answer clears suspicion, whatever raised it.
func (g *Gateway) answered(m *member) {
	m.quietSince, m.group.answeredAt = g.now, g.now
	// Back within less than any restart takes: a crowd at its door or a fault of the way, not a new process.
	soon := g.now-m.lostAt < longestQuiet
	if m.refusals > 0 && soon {
		g.crowds.add(g.now, fadeClass, 1)
	}
	crowd := g.crowds.read(g.now, fadeClass) >= 1
	if m.suspect && (soon || crowd) {
		m.startedAt = m.listedAt
	} else if m.refusals > 0 && !soon && !crowd && !m.suspect {
		g.starts(m, g.now)
	}
	if m.suspect && !soon {
		g.log("member %v answers again after %d ms, cold: %v", m.id, (g.now-m.lostAt)/ms, m.startedAt > m.listedAt)
	}
	m.suspect, m.trial, m.unreached, m.refusals, m.breaks, m.unanswered = false, 0, false, 0, 0, 0
	if g.scarce() {
		g.hangUps = append(g.hangUps, m.id)
	}
}

// refused takes a connection that was turned down at once: the process is down or takes no more connections,
// and a probe, which needs none, tells which.
func (g *Gateway) refused(m *member) {
	g.refusals.add(g.now, fadeClass, 1)
	if m.refusals++; m.refusals == 1 && !m.suspect {
		m.lostAt = g.now
	}
	m.restTo = g.now + Nanos((0.5+g.rng.unit())*float64(refusedRest))
	crowd := g.crowds.read(g.now, fadeClass) >= 1
	if !crowd {
		g.check(m)
	}
	if m.suspect && !crowd || m.refusals >= refusedCount && g.now-m.lostAt > longestQuiet {
		g.lost(m, "connections refused", false)
	}
}

// broke takes a connection that broke. One by one they break, and answers come spoilt, under members that are
// well: a probe tells, and several with no answer between them.
func (g *Gateway) broke(m *member) {
	if m.breaks++; !g.check(m) || m.breaks >= breaksMost {
		g.lost(m, "connections broken", true)
	}
}

// check has a member in doubt probed, where that is allowed.
func (g *Gateway) check(m *member) (allowed bool) {
	if g.site.Limits.Probes && g.now-m.checkedAt > longestQuiet {
		m.checkedAt, g.checks = g.now, append(g.checks, m.id)
	}
	return g.site.Limits.Probes
}

// lost takes a member out of the ordinary choice until it answers. It may come back cold, and the list tells
// that seconds late, if at all: what all gateways held back must not meet it at once.
func (g *Gateway) lost(m *member, why string, unreached bool) {
	m.unreached = m.unreached || unreached
	if !m.suspect {
		if m.refusals == 0 {
			m.lostAt = g.now
		}
		m.suspect, m.trial, m.trialAt = true, retryFirst, g.now+retryFirst
		g.starts(m, g.now)
		g.log("member %v suspect: %s, %d in flight, quiet for %d ms", m.id, why, m.out, (g.now-m.quietSince)/ms)
	}
	m.startedAt = g.now
}

// scarce: so many are refused that idle connections are better closed, for other gateways to open theirs.
func (g *Gateway) scarce() bool { return g.noteScarce(g.refusals.read(g.now, fadeClass), scarceCount) }

// measured takes a committed submission's latency and moves the member's limit: one up, or down by a share.
func (g *Gateway) measured(m *member, t *txn, elapsed Nanos) {
	g.wayOf(m.zone).add(g.now, fadeLatency, elapsed)
	x := float64(max(0, elapsed-g.detourTo(m.zone)))
	late := x / float64(g.patience(t.class))
	m.elapsed.add(g.now, fadeLatency, float64(elapsed))
	m.slow.add(g.now, fadeLatency, x/g.expected(t.class))
	m.late.add(g.now, fadeLatency, late)
	if m.role == RolePrimary {
		g.primaries.add(g.now, fadeClass, late)
	}
	if s := &g.service[t.class]; x*s.left.read(g.now, fadeClass) > s.stay.read(g.now, fadeClass) {
		s.outlasted.add(g.now, fadeClass, 1)
	}
	g.learnBase(late)
	g.service[t.class].took.add(g.now, fadeClass, x)
	if g.now-m.grownAt < Nanos(g.meanLatency(m)) {
		return
	}
	switch {
	case m.late.lean(g.now, fadeLatency, g.late.lean(g.now, fadeClass, 0, 0), leanCount) > g.lateLimit(m):
		g.cut(m)
	case float64(m.out+2) > m.limit: // it grows by one, below one in steps
		m.limit, m.grownAt = m.limit+max(leastLimit, math.Floor(min(1, m.limit))), g.now
	}
}

// cut takes a share off a limit, to below one where this gateway matters little to the member. Writes have no
// other to go to: a primary takes one at a time at least.
func (g *Gateway) cut(m *member) {
	least := 1.0
	if m.role != RolePrimary && m.late.n.sum < fewAnswers {
		least = leastLimit
	}
	m.limit, m.grownAt = max(least, min(m.limit, float64(m.out+1))*limitCut), g.now
}

// inTime tells whether the way to a member leaves time to earn something. What can earn nothing any more, or
// is taken for a client's repeat of such, must not be held to its end either: it goes where none is crowded.
func (g *Gateway) inTime(t *txn, m *member) bool {
	late := m.late.lean(g.now, fadeLatency, g.late.lean(g.now, fadeClass, g.base, 1), leanCount)
	idle := m.out == 0 && !g.sparing && late < (g.base+g.lateLimit(m))/2
	return t.aim <= g.now && idle || g.site.Classes[t.class].LateValue > 0 || g.now+g.detourTo(m.zone) < t.aim
}

// lateLimit is the mean latency, in SLA times, that cuts a limit: part of the way from uncrowded to too late.
func (g *Gateway) lateLimit(m *member) float64 {
	part := latePart
	if m.role == RoleReplica && g.behind(m) > waitSpan {
		part = lagPart // crowding slows a replica's apply: one that falls behind is relieved sooner
	}
	return g.base + (1-g.base)*part
}

// patience is a type's SLA time, or where a good share of clients leave sooner, how long those stayed: unless
// as many stay longer, or it is less than an answer takes. Then it is not for waiting that they leave.
func (g *Gateway) patience(class int) Nanos {
	s, aim := &g.service[class], g.site.Classes[class].Aim
	left, outlasted := s.left.read(g.now, fadeClass), s.outlasted.read(g.now, fadeClass)
	stay := s.stay.read(g.now, fadeClass) / max(1, left)
	if left < max(1, leaveShare*s.came.read(g.now, fadeClass), outlasted) || stay < hopeless*g.expected(class) {
		return aim
	}
	return min(aim, Nanos(stay))
}

// expected is a txn type's service time of late, a quarter of its SLA time before any is known.
func (g *Gateway) expected(class int) float64 {
	return g.service[class].took.lean(g.now, fadeClass, float64(g.site.Classes[class].Aim)/4, 1)
}

// meanLatency is a tick at least: a host that stood still for a moment must not find quick members silent.
func (g *Gateway) meanLatency(m *member) float64 {
	guess := g.expected(0) + float64(g.detourTo(m.zone))
	return max(float64(g.site.Tick), m.elapsed.lean(g.now, fadeLatency, guess, 1))
}

// queue puts a txn into its row. Reads that any replica can serve do not wait behind those that need proof.
func (g *Gateway) queue(t *txn) {
	row := t.class
	switch {
	case t.aim <= g.now:
		row += 2 * len(g.site.Classes)
	case t.token == 0 && g.site.Family.Consistency[t.class] == "causal":
		row += len(g.site.Classes)
	}
	t.waiting = true
	t.group.queued++
	g.queued++
	t.group.waiting[row] = append(t.group.waiting[row], t)
}

// steps are what a round looks at, in this order.
var steps = [...]func(*Gateway) (Decision, bool){
	(*Gateway).ask, (*Gateway).review, (*Gateway).hangUp, (*Gateway).dispatch, (*Gateway).probe,
	(*Gateway).tell, (*Gateway).line, (*Gateway).wake,
}

// ask follows the list; a call that got no word at all is made again too.
func (g *Gateway) ask() (Decision, bool) {
	if g.site.MembershipMode != "ask" || g.follows || g.now < g.askAt {
		return Decision{}, false
	}
	g.askAt = g.now + g.site.Rules.AskWithin/2
	return Decision{Kind: Follow}, true
}

func (g *Gateway) wake() (Decision, bool) {
	span := idlePulse // nothing waits: only silence is to be seen
	if g.queued > 0 {
		span = pulse
	}
	next := g.now + max(span, g.site.Tick)
	// A call that is due later than that does not do for a txn that came since, with little time of its own.
	idle := len(g.open) == 0 && (g.follows || g.site.MembershipMode != "ask")
	if idle || g.wakeAt > g.now && g.wakeAt <= next {
		return Decision{}, false
	}
	g.wakeAt = next
	return Decision{Kind: Wake, After: next - g.now}, true
}

// review looks at members for silence, then at each open txn for what its time still allows.
func (g *Gateway) review() (Decision, bool) {
	if g.cursor == 0 {
		if g.now < g.reviewAt {
			return Decision{}, false
		}
		g.busy = slices.DeleteFunc(g.busy, func(m *member) bool { m.busy = m.out > 0; return !m.busy })
		for _, m := range g.busy {
			silent, all := 0, 0.0
			for _, o := range m.group.members {
				if waits := g.waits(o); waits > 1 {
					silent, all = silent+1, all+waits
				}
			}
			least := Nanos(silentLeast * g.meanLatency(m))
			if !m.suspect && g.now-m.quietSince > least && g.waits(m) > silentMeans {
				g.lost(m, "silent", false)
			}
			// A group that is silent as a whole, as after a restart of all, shows sooner than any one of it.
			if 2*silent > len(m.group.members) && all > silentMeans && g.now-m.group.answeredAt > least {
				for _, o := range m.group.members {
					g.lost(o, "silent with its group", false)
				}
			}
		}
		g.noteShedding(g.given.read(g.now, fadeLatency), shedOn)
		g.sweep(fadeClass)
		g.open = slices.DeleteFunc(g.open, func(t *txn) bool { return t.done && t.out == 0 })
	}
	for g.cursor < len(g.open) {
		t := g.open[g.cursor]
		if d, ok := g.reviewTxn(t); ok {
			return d, true
		}
		g.cursor++
	}
	g.reviewAt = g.now + pulse
	return Decision{}, false
}

// reviewTxn calls off copies whose client has its answer, and answers at once what can no longer be in time.
func (g *Gateway) reviewTxn(t *txn) (Decision, bool) {
	c := &g.site.Classes[t.class]
	for i := range t.subs {
		s := &t.subs[i]
		if s.over {
			continue
		}
		// A connection that fell silent at a member that is well must take no part of its limit, nor a txn's
		// time. It harms where one txn takes many times as long as others of its kind: that is asked twice.
		waits := float64(g.now-s.at) * s.rate / s.to.slow.lean(g.now, fadeLatency, 1, 1)
		if !s.astray && g.overtaken(t, s) && waits > strayMeans {
			s.strays()
		}
		if t.done && !s.cancelled && g.site.Limits.Cancelling && c.Effect == "repeatable" {
			return t.cancel(i), true
		}
	}
	if t.done {
		return Decision{}, false
	}
	// Where all is slow a txn is still tried in half of its SLA time: else nothing could show that it is over.
	need := min(Nanos(hopeless*g.expected(t.class)), c.Aim/2)
	last := t.expiry - 2*g.site.Tick
	if t.out == 0 && c.LateValue == 0 && t.aim > t.arrived {
		last = min(last, t.aim-need)
	} else if t.out == 0 {
		last = min(last, t.expiry-need)
	}
	if len(t.subs) == 0 && c.LateValue < heldValue { // to hold it longer costs more than it can still earn
		last = min(last, t.arrived+t.budget/2-2*g.site.Tick)
	}
	if g.now >= last || (t.out == 0 && !g.maySubmit(t)) {
		return g.giveUp(t), true
	}
	if t.out == 1 && !t.waiting {
		i := slices.IndexFunc(t.subs, func(s submission) bool { return !s.over })
		if s := &t.subs[i]; !s.cancelled && g.rescues(t, s) {
			if g.site.Limits.MayDuplicate {
				g.queue(t)
			} else if g.site.Limits.Cancelling {
				return t.cancel(i), true
			}
		}
	}
	return Decision{}, false
}

// rescues tells whether a txn in flight is tried again, as its member is suspect or its answer astray.
func (g *Gateway) rescues(t *txn, s *submission) bool {
	switch effect := g.site.Classes[t.class].Effect; {
	case len(t.subs) >= g.site.Limits.MaxAttempts:
	case effect == "repeatable":
		return s.astray || s.to.suspect && float64(g.now-s.at) > rescueMeans*g.expected(t.class)
	case effect == "by_key":
		// Only a primary that is well can do better, and only while the group remembers the first submission.
		p := g.primaryOf(t.group)
		return p != nil && !p.suspect && (s.to.suspect && p != s.to || s.astray) &&
			g.now < t.subs[0].at+g.site.Classes[t.class].Window
	}
	return false
}

// maySubmit guards against a second effect.
func (g *Gateway) maySubmit(t *txn) bool {
	c := &g.site.Classes[t.class]
	if len(t.subs) >= g.site.Limits.MaxAttempts || t.errors >= min(errorsMost, max(1, g.serving)) ||
		t.out > 0 && !g.site.Limits.MayDuplicate {
		return false
	}
	ran := t.mayHaveRun()
	switch c.Effect {
	case "repeatable":
		return true
	case "by_key":
		return ran == 0 || g.now < ran+c.Window
	}
	return ran == 0
}

// giveUp answers a txn for good: declined where a retry can do no harm, else rolled back.
func (g *Gateway) giveUp(t *txn) Decision {
	t.done, t.waiting = true, false
	g.unserved[unserved{t.session, t.class}] = t.first
	g.given.add(g.now, fadeLatency, 1)
	g.forget(t)
	c := &g.site.Classes[t.class]
	again := c.Effect == "repeatable" || c.Effect == "by_key" && c.Group == "all"
	if again || t.ranAt == 0 && t.out == 0 {
		// It should come back after about as long as what waits here takes to clear.
		d := Decision{Kind: Decline, Txn: t.id}
		if g.site.Limits.RetryAfter {
			d.After = min(c.Aim, g.site.Limits.MaxRetryAfter)
		}
		return d
	}
	return Decision{Kind: RollBack, Txn: t.id}
}

// rowValue is what a unit of service time earns in a row.
func (g *Gateway) rowValue(row int) float64 {
	n := len(g.site.Classes)
	class := row % n
	c, s := &g.site.Classes[class], &g.service[class]
	value := c.Worth
	if class == g.poorest { // it counts by its weight in the objective as well
		value += g.site.ObjectiveMix.WorstClass * g.asked / max(1, s.came.read(g.now, fadeClass))
	}
	if row >= 2*n {
		value *= c.LateValue
	}
	return value / g.expected(class)
}

// rank orders the rows anew.
func (g *Gateway) rank() {
	g.asked = 0
	low := 2.0
	for class := range g.service {
		s := &g.service[class]
		came := s.came.read(g.now, fadeClass)
		g.asked += g.site.Classes[class].Worth * came
		if share := (s.intime.read(g.now, fadeClass) + 1) / (came + 1); share < low {
			low, g.poorest = share, class
		}
	}
	slices.SortStableFunc(g.ranking, func(a, b int) int { return cmp.Compare(g.rowValue(b), g.rowValue(a)) })
	g.wanted = 0
	for _, row := range g.ranking {
		if row < len(g.service) {
			s := &g.service[row]
			s.above, s.share = g.wanted, s.came.read(g.now, fadeClass)*g.expected(row)
			g.wanted += s.share
		}
	}
}

// rankOf is the share of demand worth more than a txn, ties by chance: it goes first below a limit of 1.
func (g *Gateway) rankOf(t *txn) float64 {
	s := &g.service[t.class]
	return (s.above + g.luck(t)*s.share) / max(1, g.wanted)
}

// dispatch sends waiting txns, group by group, those of most value for their service time first.
func (g *Gateway) dispatch() (Decision, bool) {
	if g.queued > 0 && g.now >= g.rankAt {
		g.rankAt = g.now + rankSpan
		g.rank()
	}
	for g.queued > 0 && g.cursor < len(g.groups)*len(g.ranking) {
		grp, row := g.groups[g.cursor/len(g.ranking)], g.ranking[g.cursor%len(g.ranking)]
		if grp.queued == 0 {
			g.cursor += len(g.ranking)
			continue
		}
		g.prune(grp, row)
		// Newest first once the oldest has waited for a good part of its SLA time: in a jam the old are shed
		// whatever is done, and first in, first out would serve everybody late.
		w := grp.waiting[row]
		newest := len(w) > 0 && g.now-w[0].arrived > g.patience(w[0].class)/jamPart
		for i := range min(len(w), scanDepth) {
			t := w[i]
			if newest {
				t = w[len(w)-1-i]
			}
			if !g.maySubmit(t) {
				continue
			}
			if m := g.place(t); m != nil {
				return g.submit(t, m), true
			}
		}
		g.cursor++
	}
	return Decision{}, false
}

func (g *Gateway) submit(t *txn, m *member) Decision {
	if m.suspect {
		m.trial = min(m.trial*2, trialLast)
		m.trialAt = g.now + m.trial
	}
	d := Decision{Kind: Submit, Txn: t.id, Server: m.id, Until: t.expiry}
	if c := &g.site.Classes[t.class]; c.Effect == "by_key" && t.mayHaveRun() > 0 {
		d.Before = t.mayHaveRun() + c.Window // a connection may take long to come up
	}
	g.opened(t, m)
	return d
}

// primaryOf is the member that an answer called primary last; before any has, the one that the list names.
func (g *Gateway) primaryOf(grp *group) *member {
	var named *member
	for _, m := range grp.members {
		switch {
		case m.barred:
		case m.role == RolePrimary:
			return m
		case m.named && m.role != RoleReplica:
			named = m
		}
	}
	return named
}

// Standing is the member to ask where a group's log stands: its primary, or while none is known that answers,
// its members in turn, as with a write; none that may get nothing new.
func (g *Gateway) Standing(group, turn int) (Server, bool) {
	var open []*member
	for _, grp := range g.groups {
		if grp.id != group {
			continue
		}
		if p := g.primaryOf(grp); p != nil && !p.suspect {
			return p.id, true
		}
		for _, m := range grp.members {
			if !m.barred && g.warmEnough(m) {
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
func (g *Gateway) place(t *txn) *member {
	need := g.site.Family.Consistency[t.class]
	p := g.primaryOf(t.group)
	if need == "mutate" || need == "strong" {
		return g.placeOnPrimary(t, p, need == "mutate")
	}
	floor := g.floorOf(t, g.now)
	checked := g.site.Family.WhenBehind != "none"
	// A suspect primary gets its trials too: without them nobody would ever see that it answers again.
	if p != nil && p.suspect && (checked || p.role == RolePrimary) && g.room(p, t) {
		return p
	}
	if g.holdsUp(t.class) {
		// Step 7 where one read holds a replica's apply up for long: few replicas get them, the others keep up.
		if m := g.pick(t, func(m *member) bool { return m != p && !g.cold(m) && g.holder(m, p) }); m != nil {
			return m
		} else if g.now < t.arrived+g.patience(t.class)/holdersPart {
			return nil
		}
	}
	// Steps 2, 3, 6 and 7: a replica that needs no proof or is known to have reached the floor.
	if m := g.pick(t, func(m *member) bool { return m != p && m.position >= floor }); m != nil {
		return m
	}
	if floor <= 0 {
		return g.spare(t, p)
	}
	if checked && !t.passed {
		// Step 4 where replicas check: their hold is the wait, if one can make it within that.
		m := g.pick(t, func(m *member) bool { return m != p && g.now-g.behind(m)+g.site.Family.Hold >= floor })
		if m != nil {
			return m
		}
	}
	g.lacks(t.group, p, floor)
	if !checked && need == "causal" && !t.passed {
		// Step 4 where they do not: wait for word of some replica.
		if g.now < min(t.arrived+waitSpan, t.aim-Nanos(2*g.expected(t.class))) {
			return nil
		}
		t.passed = true
	}
	// Step 5, and step 6's else: the primary; where replicas check, a guess will do.
	if m := g.spare(t, p); m != nil || p != nil && !p.suspect && (p.role == RolePrimary || p.named || checked) {
		return m
	}
	if checked && g.now >= t.pauseTo { // with no primary, replicas that check are tried again after a pause
		t.passed = false
	}
	return nil
}

// holdsUp tells whether a read that any member may answer takes longer than what is to be current may wait. A
// replica that holds one may apply nothing, and spread over a group such reads leave no replica current.
func (g *Gateway) holdsUp(class int) bool {
	return g.site.Family.Consistency[class] == "eventual" &&
		min(g.expected(class), float64(g.site.Classes[class].Aim)/4) > holdMost*float64(waitSpan)
}

// holder tells whether a replica is among the few that take such reads: those furthest behind by what all
// gateways know, so that they agree on them and none that is current is spent.
func (g *Gateway) holder(m, primary *member) bool {
	stands := func(o *member) Nanos { return min(cmp.Or(o.position, g.now), g.now-holdSame) } // 0 is unknown
	before, all, passed := 0, 0, false
	for _, o := range m.group.members {
		passed = passed || o == m
		if o.barred || o.suspect || o != m && g.cold(o) {
			continue
		}
		all++
		if o != m && o != primary && (stands(o) < stands(m) || !passed && stands(o) == stands(m)) {
			before++
		}
	}
	return before < max(1, all/holdersPart)
}

// floorOf is the position that a read must see when it is sent at a time, 0 if it needs none.
func (g *Gateway) floorOf(t *txn, at Nanos) Nanos {
	if g.site.Family.Consistency[t.class] != "lag_bound" {
		return t.token
	}
	return at - Nanos((1-boundMargin)*float64(g.site.Family.Bound[t.class]))
}

// spare is the primary for a read, as far as its writes leave room: none while writes wait here, and less the
// nearer its latency comes to what cuts the limit, so that reads make way before anyone's writes have to.
func (g *Gateway) spare(t *txn, p *member) *member {
	sure := p != nil && (p.role == RolePrimary || p.named || g.site.Family.WhenBehind != "none")
	if !sure || p.suspect || !g.room(p, t) || !g.inTime(t, p) || t.out > 0 && t.tried(p, 0) {
		return nil
	}
	for row, w := range t.group.waiting {
		if len(w) > 0 && g.site.Family.Consistency[row%len(g.site.Classes)] == "mutate" {
			return nil
		}
	}
	// A gateway that sends a primary one txn in many seconds judges it by what it saw of all primaries, and
	// as hundreds of gateways see the same, each lets through no more than a share of its reads, by chance.
	all := g.primaries.lean(g.now, fadeClass, unseenLate*g.lateLimit(p), 1)
	free := 1 - p.late.lean(g.now, fadeLatency, all, leanCount)/g.lateLimit(p)
	if float64(p.out) < p.limit*free && g.luck(t) < luckPart*free {
		return p
	}
	return nil
}

// placeOnPrimary is step 1; without a primary that answers, one write at a time tries the members in turn.
func (g *Gateway) placeOnPrimary(t *txn, p *member, write bool) *member {
	if p != nil && !p.suspect {
		sure := write || p.role == RolePrimary || g.site.Family.WhenBehind != "none"
		if sure && g.room(p, t) && !t.tried(p, g.now-pulse) {
			return p
		}
		return nil
	}
	grp, hold := t.group, t.budget/holdPart
	g.lacks(grp, p, g.now+1) // a probe tells a role sooner than members tried in turn
	if s := grp.scout; s != nil && s.out > 0 && g.now-s.subs[len(s.subs)-1].at > hold {
		grp.scout = nil // a miss comes at once: this one runs, or its member hangs
	}
	if (grp.scout != nil && grp.scout != t) || (!write && g.site.Family.WhenBehind == "none") ||
		2*len(t.subs) >= g.site.Limits.MaxAttempts {
		return nil
	}
	var best *member
	for _, m := range grp.members {
		// Who has just said that it is a replica is not asked again, which is the pause after a round, nor is
		// one that was asked and has not answered: a second write would be stuck there with the first.
		asked := g.now-m.askedAt < hold || m.out > 0 && m.quietSince <= m.askedAt ||
			m.role == RoleReplica && g.now-m.roleAt < hold
		if m == p || m.barred || m.suspect || asked || !g.warmEnough(m) {
			continue
		}
		if best == nil || (m.named && !best.named) || (m.named == best.named && m.position > best.position) {
			best = m
		}
	}
	if best == nil && p != nil && p.suspect && !p.barred && g.now > p.trialAt+trialLast && g.warmEnough(p) {
		best = p // no read came that could have been its trial
	}
	if best != nil {
		grp.scout, best.askedAt = t, g.now
	}
	return best
}

// behind guesses how far a member lags: as last heard, less the longer ago that was, so that a lag is tried
// again. No read that a server does not check relies on it.
func (g *Gateway) behind(m *member) Nanos { return max(0, m.lag-(g.now-m.lagAt)) }

// silent is a replica that was not heard of for long, to be asked for its position: proof comes from the
// very reads that need it, and a gateway that has a txn for a group once in many seconds has none else. Near
// ones come first; a slow way or a cold member, for which what it turns away is work too, is left alone.
func (g *Gateway) silent(members []*member) *member {
	var best *member
	for _, m := range members {
		last, far := max(m.heardAt, m.askedAt), m.zone != g.site.Zone
		if m.barred || m.role == RolePrimary || m.named || m.suspect || g.now-last < max(askSpan, m.lag/askPart) ||
			g.now < m.restTo || far && g.detourTo(m.zone) > pulse || !g.warmEnough(m) {
			continue
		}
		if best == nil || !far && best.zone != m.zone ||
			far == (best.zone != g.site.Zone) && last < max(best.heardAt, best.askedAt) {
			best = m
		}
	}
	if best != nil {
		best.askedAt = g.now
	}
	return best
}

// probe asks members that refused connections whether they run, and those without proof for their position.
func (g *Gateway) probe() (Decision, bool) {
	if server, ok := pop(&g.checks); ok {
		return Decision{Kind: Probe, Server: server}, true
	}
	shown := g.site.LoadReport.How != "none" && slices.Contains(g.site.LoadReport.Fields, "x0")
	if !g.site.Limits.Probes || !shown || len(g.lacking) == 0 {
		return Decision{}, false
	}
	g.lacking = slices.DeleteFunc(g.lacking, (*member).told)
	if m := g.silent(g.lacking); m != nil {
		return Decision{Kind: Probe, Server: m.id}, true
	}
	return Decision{}, false
}

// pick is the least loaded member with room among those that will do.
func (g *Gateway) pick(t *txn, will func(*member) bool) *member {
	var best *member
	var low float64
	bound := t.zones != 0 && slices.ContainsFunc(t.group.members, func(m *member) bool {
		return t.binds(m) && !m.barred && !m.suspect
	})
	for _, m := range t.group.members {
		if bound && !t.binds(m) || m.barred || !will(m) || !g.room(m, t) ||
			(t.out+t.errors > 0 && t.tried(m, 0)) || !g.inTime(t, m) {
			continue
		}
		// How slow it is compares its latency with what its txns took anywhere.
		cost := float64(m.out+1) * m.slow.lean(g.now, fadeLatency, 1, leanCount) * (1 + 0.01*g.rng.unit())
		if m.zone != g.site.Zone {
			cost *= farPenalty + float64(g.detourTo(m.zone))/g.expected(t.class)
		}
		// Errors may be its member's own, which answers sooner than others for it: those come first by how many
		// more of them it brings than all do, and a txn that met one is not sent there again.
		all := g.failing.lean(g.now, fadeLatency, 0, leanCount)
		errors := m.failing.lean(g.now, fadeLatency, 0, leanCount) - all
		cost *= 1 + errorPenalty*max(0, errors)
		if best == nil || cost < low {
			best, low = m, cost
		}
	}
	return best
}

// room tells whether a member may take one more: its limit, a suspect's trials, a cold member's budget.
func (g *Gateway) room(m *member, t *txn) bool {
	if m.barred || g.now < m.restTo || m.refusals > 0 && m.out > 0 {
		return false
	}
	if m.suspect && !m.unreached && !g.anyWell() {
		// The fault is more likely here or on the way, and none is avoided; but who is known to be cold still is.
		known := m.listedAt > 0 && g.now-m.listedAt < g.site.Rules.Cold
		return float64(m.out) < m.limit && (!known || g.warmEnough(m))
	}
	if m.suspect {
		safe := m.unreached || g.site.Classes[t.class].Effect == "repeatable"
		return g.now >= m.trialAt && safe && t.out == 0 && g.now >= t.pauseTo && g.warmEnough(m)
	}
	if m.limit < 1 {
		return m.out == 0 && g.rankOf(t) < m.limit && g.warmEnough(m)
	}
	return float64(m.out) < m.limit && g.warmEnough(m)
}

// warmEnough keeps a cold member from being pushed over. Its budget is the share that its age assures it can
// do of the mean demand on a member: means add up, so the budgets of all gateways together are that share of
// all demand, however uneven they are, with no warm peer needed. Each starts at a point drawn by chance below
// nothing: else hundreds would send their first at once.
func (g *Gateway) warmEnough(m *member) bool {
	if !g.cold(m) {
		return true
	}
	r, age := &g.site.Rules, g.now-m.startedAt
	share := r.ColdFrom + (1-r.ColdFrom)*max(0, float64(age)/float64(r.Cold))
	rate := g.demand.perSpan(g.now, g.startedAt, fadeClass) / float64(max(1, g.serving))
	rate *= share * coldPart * r.FallMultiple
	if m.late.lean(g.now, fadeLatency, 0, 0) < g.lateLimit(m)/2 {
		// It answers as quickly as if uncrowded, so what it gets now it can do: that may grow by a part of
		// what the rule's multiple leaves, however little the mean demand is.
		rate = max(rate, m.carried.perSpan(g.now, max(g.startedAt, m.startedAt), fadeClass)*(1+r.FallMultiple)/2)
	}
	most, told, work := rate*float64(r.OverloadFor)/2, m.startedAt == m.listedAt, g.expected(0)
	if told {
		most = max(most, min(work, rate*coldLapse*float64(r.OverloadFor)))
	}
	m.credit, m.creditAt = m.credit+rate*float64(g.now-m.creditAt), g.now
	if over := m.credit - most; over > 0 {
		m.credit = most
		if told {
			// All were told of it. What one does not use lapses, and comes anew: else each of hundreds comes to
			// hold one, and they send them in the same moment.
			m.credit += math.Mod(over, work) - work
		}
	}
	return m.credit >= 0
}

// starts takes a member for cold: what was measured of its last run tells nothing of this one.
func (g *Gateway) starts(m *member, at Nanos) {
	m.startedAt, m.limit = at, 1
	m.credit, m.creditAt = -g.rng.unit()*g.expected(0), g.now
	m.elapsed, m.slow, m.late, m.carried = mean{}, mean{}, mean{}, decaying{}
}
