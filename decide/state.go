package decide

import (
	"bytes"
	"fmt"
	"maps"
	"math"
	"slices"
)

// pcg is the permuted congruential generator PCG-XSH-RR 64/32 (O'Neill 2014).
type pcg struct{ state uint64 }

func newPCG(seed uint64) pcg {
	p := pcg{seed + 1442695040888963407}
	p.next()
	return p
}

func (p *pcg) next() uint32 {
	old := p.state
	p.state = old*6364136223846793005 + 1442695040888963407
	x := uint32(((old >> 18) ^ old) >> 27)
	r := uint32(old >> 59)
	return x>>r | x<<(-r&31)
}

// unit returns a number in [0, 1).
func (p *pcg) unit() float64 { return float64(p.next()) / (1 << 32) }

// decaying is a sum whose parts fade with time; it is brought up to date when read or added to.
type decayingSum struct {
	total     float64
	updatedAt Nanos
}

func (d *decayingSum) value(now, decay Nanos) float64 {
	if now > d.updatedAt {
		d.total *= math.Exp(-float64(now-d.updatedAt) / float64(decay))
		d.updatedAt = now
	}
	return d.total
}

func (d *decayingSum) add(now, decay Nanos, x float64) { d.total = d.value(now, decay) + x }

// mean is a mean over time.
type decayingMean struct{ sum, count decayingSum }

func (a *decayingMean) add(now, decay Nanos, x float64) {
	a.sum.add(now, decay, x)
	a.count.add(now, decay, 1)
}

// lean is the mean, leaning on a guess that weighs as much as some values.
func (a *decayingMean) valueWithPrior(now, decay Nanos, prior, weight float64) float64 {
	return (a.sum.value(now, decay) + prior*weight) / (a.count.value(now, decay) + weight)
}

// member is what this gateway knows of one database server.
type member struct {
	id                           Server
	zone, kind                   int
	group                        *group
	ready, drained, excluded     bool // barred: told that it drains or is gone
	removed                      bool // as the list says
	startedAt                    Nanos
	position, lastLag            Nanos // proven position; how far behind it was when last heard of
	lagSeenAt, positionSeenAt    Nanos // when the lag and the position were told
	sharedPosition               Nanos // position that all gateways were told
	updatePending                bool  // in the gateway's list of those to tell of
	unprovenAt, queriedAt        Nanos // when a read last passed it over for want of proof; when it was last asked
	role                         Role
	roleAt                       Nanos   // when an answer told the role last
	listedPrimary                bool    // the list says that it is the primary
	inFlight                     int     // submissions in flight from here
	busy                         bool    // in the gateway's list of those with something in flight
	needsPosition                bool    // in the gateway's list of those that were passed over
	inFlightRate, weightedSentAt float64 // sums over them of one, and of when they were sent, by their service times
	limit                        float64
	newestServed                 [2]Nanos     // when the latest of the reads, and of the writes, that it served were sent
	latency, slowdown, lateness  decayingMean // latency of answers: as it is; in service times; in SLA times
	errorRate                    decayingMean // share of errors among its answers
	sentWork                     decayingSum  // service time sent
	brokenConnections            int          // of connections, since its last answer
	refusedConnections           int          // of connections, since its last answer
	checkSentAt                  Nanos        // when a probe went out to tell why; 0 once it is back
	failingSince, restUntil      Nanos        // the first of them, or of lost connections; when it may be tried again
	listedStart                  Nanos        // its start, as the list tells it
	coldCredit                   float64      // service time that a cold member may still be sent
	coldCreditAt                 Nanos
	silentSince, limitChangedAt  Nanos
	unansweredWork               float64 // waits, in service times, of submissions that ended without an answer since then
	suspect, unreachable         bool    // unreached: no connection, or a broken one, since its last answer
	nextTrialAt, trialInterval   Nanos
}

// group is one primary, its replicas and the txns that wait for them.
type group struct {
	id            int
	members       []*member
	queues        [][]*txn // by row: for each txn type those in time, those that need no proof, the late
	queued        int      // entries in those rows, those of ended txns that are not pruned yet too
	primarySearch *txn     // the write that is trying members in turn
	loggedPrimary *member  // as last logged
	answeredAt    Nanos
	tokens        map[uint64]Nanos // last commits of sessions, where they are kept here
}

// submission is one try of a txn at a member.
type submission struct {
	member       *member
	sentAt       Nanos
	rate         float64 // one by the service time that was expected of it
	ended        bool
	cancelled    bool
	responseLost bool // its answer is not to be expected: it no longer counts as in flight
}

// txn is one request of a client, kept until it is answered and its submissions are over.
type txn struct {
	id                                     uint64
	class                                  int
	group                                  *group
	session                                uint64
	token                                  Nanos // position that a read must see; 0 is none
	arrivedAt, slaDeadline, expiry, budget Nanos
	firstArrival                           Nanos // arrival of the client's first try, as far as can be told
	submissions                            []submission
	inFlight, errorCount                   int
	waiting, done                          bool
	firstRunAt                             Nanos   // sending of the first submission that may have run
	waitOver                               bool    // step 5: the wait is over, only the primary will do
	randomDraw                             float64 // see luck
	pausedUntil                            Nanos
	allowedZones                           uint64 // that its reads are kept to, a bit each; 0 is none
}

// Primary is a group's, as far as it is known.
func (g *Gateway) Primary(group int) (Server, bool) {
	for _, grp := range g.groups {
		if grp.id == group {
			if p := g.primaryOf(grp); p != nil {
				return p.id, true
			}
		}
	}
	return Server{}, false
}

// binds tells whether a member is of the zones that a txn is kept to.
func (t *txn) allowsZoneOf(m *member) bool { return t.allowedZones>>m.zone&1 == 1 }

// service is what is measured of a txn type: latency and count of what was committed, how many came, and how
// many left early after what stay.
type classStats struct {
	serviceTime                                  decayingMean
	arrivals, departures, departureWaits, onTime decayingSum
	longerAnswers                                decayingSum // answers after more than the mean stay of those who left
	usualBudget                                  mode
	demandAbove, demand                          float64 // of the demand: what is worth more, and its own
}

// mode follows the most frequent value of a series, up to a tolerance, as long as it makes up a third of it.
type mode struct {
	value Nanos
	votes int
}

// counts takes a value and tells whether it is the most frequent one.
func (m *mode) observe(x, tolerance Nanos, maxVotes int) bool {
	if m.value-tolerance <= x && x <= m.value+tolerance {
		m.votes = min(m.votes+2, maxVotes)
		return true
	}
	m.votes--
	if m.votes >= 0 {
		return false
	}
	m.value, m.votes = x, 2
	return true
}

// unserved is a session and a txn type.
type sessionClass struct {
	session uint64
	class   int
}

// Gateway is one instance of the module.
type Gateway struct {
	settings           *settings
	now                Nanos
	startedAt          Nanos // this instance's first round
	rng                pcg
	members            map[Server]*member
	zoneLatencies      []zoneLatency // by zone
	servingMembers     int           // members that are not barred
	refusedConnections decayingSum   // of connections
	busyMembers        decayingSum   // members that refused and answered within a moment
	connectionsScarce  bool
	idleToClose        []Server
	pendingChecks      []Server // members that refused, to be probed
	arrivals           decayingSum
	demand             decayingSum // service time of the first tries that came
	busyList           []*member   // with something in flight, or a moment ago
	pendingUpdates     []*member   // to be told of
	needingPosition    []*member   // passed over for want of proof and not asked since
	groups             []*group
	txns               map[uint64]*txn
	openTxns           []*txn
	stats              []classStats // by txn type
	queueOrder         []int        // rows of waiting txns, most value for service time first
	baseLateness       float64      // latency in SLA times when nothing is crowded
	lateness           decayingMean // of all answers, as for a member
	errorRate          decayingMean // share of errors among all answers
	primaryLateness    decayingMean // late, of answers of primaries
	listedMembers      map[Server]bool
	unserved           map[sessionClass]Nanos // when the session's first try of its last txn came, if that was not served
	logLines           []string
	stage              int
	cursor             int
	reviewAt           Nanos
	wakeAt             Nanos
	subscribed         bool
	subscribeAt        Nanos
	subscribeBackoff   Nanos
	expiredAt          Nanos
	reorderAt          Nanos
	queued             int
	shedding           bool
	totalDemand        float64     // service time that came of late
	worstClass         int         // the class served worst of late
	arrivedWorth       float64     // worth that came of late
	abandoned          decayingSum // txns given up unserved
}

// New reads the settings and returns an instance that knows nothing else.
func New(seed uint64, settings []byte) (*Gateway, error) {
	s, err := parseSettings(settings)
	if err != nil {
		return nil, err
	}
	g := &Gateway{settings: s, rng: newPCG(seed), baseLateness: initialBaseLateness, subscribeBackoff: initialBackoff,
		members: map[Server]*member{}, txns: map[uint64]*txn{}, listedMembers: map[Server]bool{},
		unserved: map[sessionClass]Nanos{},
		stats:    make([]classStats, len(s.Classes))}
	for i := range 3 * len(s.Classes) {
		g.queueOrder = append(g.queueOrder, i)
	}
	return g, nil
}

func (g *Gateway) groupOf(id int) *group {
	for _, grp := range g.groups {
		if grp.id == id {
			return grp
		}
	}
	grp := &group{id: id, queues: make([][]*txn, 3*len(g.settings.Classes)), tokens: map[uint64]Nanos{}}
	g.groups = append(g.groups, grp)
	slices.SortFunc(g.groups, func(a, b *group) int { return a.id - b.id })
	return grp
}

func (g *Gateway) log(format string, a ...any) {
	g.logLines = append(g.logLines, fmt.Sprintf(format, a...))
}

// line hands out what was logged.
func (g *Gateway) nextLogLine() (Decision, bool) {
	if len(g.logLines) == 0 {
		return Decision{}, false
	}
	text := g.logLines[0]
	g.logLines = g.logLines[1:]
	return Decision{Kind: Log, Text: text}, true
}

// hangUp hands out the members whose idle connections are to be closed.
func (g *Gateway) closeIdle() (Decision, bool) {
	server, ok := pop(&g.idleToClose)
	return Decision{Kind: CloseIdle, Server: server}, ok
}

// way keeps the quickest answer from a zone, of this span and of the one before.
type zoneLatency struct{ current, previous, rotatedAt Nanos }

func (w *zoneLatency) add(now, window, elapsed Nanos) {
	w.minimum(now, window)
	if w.current == 0 || elapsed < w.current {
		w.current = elapsed
	}
}

// least is the quickest answer of late, 0 if there was none.
func (w *zoneLatency) minimum(now, window Nanos) Nanos {
	if now-w.rotatedAt >= window {
		if w.previous = w.current; now-w.rotatedAt >= 2*window {
			w.previous = 0
		}
		w.current, w.rotatedAt = 0, now
	}
	if w.current == 0 || w.previous > 0 && w.previous < w.current {
		return w.previous
	}
	return w.current
}

func (g *Gateway) zoneLatencyOf(zone int) *zoneLatency {
	for zone >= len(g.zoneLatencies) {
		g.zoneLatencies = append(g.zoneLatencies, zoneLatency{})
	}
	return &g.zoneLatencies[zone]
}

// tried tells whether the txn was sent to a member at or after a time.
func (t *txn) sentTo(m *member, since Nanos) bool {
	return slices.ContainsFunc(t.submissions, func(s submission) bool { return s.member == m && s.sentAt >= since })
}

// mayHaveRun is when the first submission was sent that ran or may run yet; 0 is none.
func (t *txn) firstPossibleRun() Nanos {
	ran := t.firstRunAt
	for i := range t.submissions {
		if s := &t.submissions[i]; !s.ended && (ran == 0 || s.sentAt < ran) {
			ran = s.sentAt
		}
	}
	return ran
}

// memberOf is a server's entry in a group, made or moved there where needed, and whether it was known before.
func (g *Gateway) memberOf(server Server, grp int) (*member, bool) {
	m, known := g.members[server]
	if known && m.removed && m.excluded { // another machine may have its address now
		g.removeMember(m)
		known = false
	}
	if !known {
		m = &member{id: server}
		g.members[server] = m
	}
	if m.group == nil || m.group.id != grp {
		if m.group != nil {
			m.group.members = slices.DeleteFunc(m.group.members, func(x *member) bool { return x == m })
		}
		m.group = g.groupOf(grp)
		m.group.members = append(m.group.members, m)
		slices.SortFunc(m.group.members, func(a, b *member) int { return bytes.Compare(a.id[:], b.id[:]) })
	}
	return m, known
}

// drop forgets a member that is gone for good: who has its address later is another. What is out to it still
// ends there.
func (g *Gateway) removeMember(m *member) {
	is := func(x *member) bool { return x == m }
	delete(g.members, m.id)
	m.group.members = slices.DeleteFunc(m.group.members, is)
	g.needingPosition = slices.DeleteFunc(g.needingPosition, is)
	g.pendingUpdates = slices.DeleteFunc(g.pendingUpdates, is)
}

// opened and closed keep count of what is in flight.
func (g *Gateway) submissionStarted(t *txn, m *member) {
	if !m.busy {
		m.busy, g.busyList = true, append(g.busyList, m)
	}
	if m.inFlight == 0 {
		m.silentSince = g.now
	}
	rate := 1 / max(float64(g.settings.Tick), g.expectedServiceTime(t.class)+float64(g.zoneDelay(m.zone)))
	t.submissions = append(t.submissions, submission{member: m, sentAt: g.now, rate: rate})
	t.waiting = false
	t.inFlight++
	m.inFlight++
	m.inFlightRate += rate
	m.weightedSentAt += float64(g.now) * rate
	m.coldCredit -= g.expectedServiceTime(t.class)
	m.sentWork.add(g.now, classDecay, g.expectedServiceTime(t.class))
}

func (g *Gateway) submissionClosed(t *txn, s *submission, r Result) {
	s.ended = true
	t.inFlight--
	if !s.responseLost {
		s.removeInFlight()
	}
	if r == Committed {
		s.member.newestServed[g.workKind(t)] = max(s.member.newestServed[g.workKind(t)], s.sentAt)
	}
	if r == NotSent || r == Unreachable || r == ResetBeforeSend { // what never came did not cost it anything
		s.member.coldCredit += g.expectedServiceTime(t.class)
		s.member.sentWork.add(g.now, classDecay, -g.expectedServiceTime(t.class))
	}
	ran := r == Failed || r == TimedOut || r == Broken || r == Cancelled
	if ran && (t.firstRunAt == 0 || s.sentAt < t.firstRunAt) {
		t.firstRunAt = s.sentAt
	}
	if r == Committed || r == Failed {
		x := 0.0
		if r == Failed {
			x = 1
		}
		s.member.errorRate.add(g.now, latencyDecay, x)
		g.errorRate.add(g.now, latencyDecay, x)
	}
	if (r == Cancelled || r == TimedOut) && !s.responseLost {
		s.member.unansweredWork += float64(g.now-max(s.sentAt, s.member.silentSince)) * s.rate
	}
}

// leaves takes a submission out of what is in flight to its member.
func (s *submission) removeInFlight() {
	s.member.inFlight--
	s.member.inFlightRate -= s.rate
	if s.member.weightedSentAt -= float64(s.sentAt) * s.rate; s.member.inFlight == 0 {
		s.member.inFlightRate, s.member.weightedSentAt = 0, 0 // what rounding left
	}
}

// strays notes that no answer is to be expected, though the member is well.
func (s *submission) markResponseLost() {
	s.responseLost = true
	s.removeInFlight()
}

// detourTo is how much longer the way to a zone takes than the way within this one, by the quickest answers
// of late, which crowded members hardly change. It is no member's fault and cuts no limit.
func (g *Gateway) zoneDelay(zone int) Nanos {
	here, there := g.zoneLatencyOf(g.settings.Zone).minimum(g.now, latencyDecay), g.zoneLatencyOf(zone).minimum(g.now, latencyDecay)
	if here == 0 || there <= here {
		return 0
	}
	return there - here
}

// overtaken: its member has served one of its kind that was sent later. Then not the member is crowded or silent,
// but the way back from it. Writes may wait for a replica, reads for a position: neither tells of the other.
func (g *Gateway) overtaken(t *txn, s *submission) bool {
	return s.sentAt < s.member.newestServed[g.workKind(t)]
}

// kindOf is 1 for what only a primary takes, which may wait for a replica, else 0.
func (g *Gateway) workKind(t *txn) int {
	if g.settings.Replication.Consistency[t.class] == "mutate" {
		return 1
	}
	return 0
}

// forget drops a txn whose answer is given once its submissions are over.
func (g *Gateway) removeIfDone(t *txn) {
	if t.done && t.group.primarySearch == t {
		t.group.primarySearch = nil
	}
	if t.done && t.inFlight == 0 {
		delete(g.txns, t.id)
	}
}

// reached raises a proven position; one that was proven holds for good, through changes of role as well.
func (m *member) advancePosition(at Nanos) { m.position = max(m.position, at) }

// passed is the position that every replica is known to have reached: a token need not hold then (step 2).
func (grp *group) minReplicaPosition() Nanos {
	low := Nanos(1 << 62)
	for _, m := range grp.members {
		if !m.excluded && m.role != RolePrimary {
			low = min(low, m.position)
		}
	}
	return low
}

// asPrimary names a group's primary for the log.
func (m *member) describePrimary() string {
	switch {
	case m == nil:
		return "no primary known"
	case m.role == RolePrimary:
		return fmt.Sprintf("primary %v, told by an answer or a report", m.id)
	}
	return fmt.Sprintf("primary %v, named by the list alone", m.id)
}

// cancel calls a submission off.
func (t *txn) cancelSubmission(no int) Decision {
	t.submissions[no].cancelled = true
	return Decision{Kind: Cancel, Txn: t.id, Attempt: uint16(no)}
}

// prune takes ended txns, and those that were sent, out of a row.
func (g *Gateway) prune(grp *group, row int) {
	before := len(grp.queues[row])
	grp.queues[row] = slices.DeleteFunc(grp.queues[row], func(t *txn) bool { return t.done || !t.waiting })
	gone := before - len(grp.queues[row])
	grp.queued -= gone
	g.queued -= gone
}

// lacks notes the replicas that a read found no proof of and went elsewhere or waits for.
func (g *Gateway) markUnproven(grp *group, primary *member, required Nanos) {
	for _, m := range grp.members {
		if m == primary || m.position >= required {
			continue
		}
		m.unprovenAt = g.now
		if !m.needsPosition {
			m.needsPosition = true
			g.needingPosition = append(g.needingPosition, m)
		}
	}
}

// told tells, and notes, that a member was heard of since a read last passed it over.
func (m *member) positionKnown() bool {
	m.needsPosition = m.positionSeenAt < m.unprovenAt && m.queriedAt < m.unprovenAt
	return !m.needsPosition
}

// BeginRound begins a round.
func (g *Gateway) BeginRound(now Nanos) {
	if g.startedAt == 0 {
		g.startedAt = now
	}
	g.now, g.stage, g.cursor = now, 0, 0
}

// ResponseProgress tells that part of an answer came: its member is not silent, though it may be slow.
func (g *Gateway) ResponseProgress(server Server) {
	if m := g.members[server]; m != nil {
		m.silentSince, m.group.answeredAt = g.now, g.now
	}
}

// ClientGone tells that a txn's client is gone.
func (g *Gateway) ClientGone(id uint64) {
	if t := g.txns[id]; t != nil {
		t.done = true
		g.unserved[sessionClass{t.session, t.class}] = t.firstArrival
		g.stats[t.class].departures.add(g.now, classDecay, 1)
		g.stats[t.class].departureWaits.add(g.now, classDecay, float64(g.now-t.arrivedAt))
		g.removeIfDone(t)
	}
}

// LimitExpiry tells that a txn must have its answer by a time, as its host ends.
func (g *Gateway) LimitExpiry(id uint64, at Nanos) {
	if t := g.txns[id]; t != nil && !t.done {
		t.expiry = min(t.expiry, at)
		g.reviewAt = min(g.reviewAt, t.expiry-2*g.settings.Tick)
	}
}

// Next gives one decision of this round, or says that there is none left.
func (g *Gateway) Next() (Decision, bool) {
	for ; g.stage < len(roundSteps); g.stage, g.cursor = g.stage+1, 0 {
		if d, ok := roundSteps[g.stage](g); ok {
			return d, true
		}
	}
	return Decision{}, false
}

// notePrimary logs a change of primary.
func (g *Gateway) logPrimaryChange(grp *group) {
	if p := g.primaryOf(grp); p != grp.loggedPrimary {
		grp.loggedPrimary = p
		g.log("group %d: %s", grp.id, p.describePrimary())
	}
}

// perSpan is the rate of a sum that began at a time.
func (d *decayingSum) rate(now, since, decay Nanos) float64 {
	observedFraction := -math.Expm1(-float64(max(now-since, Millisecond)) / float64(decay))
	return d.value(now, decay) / float64(decay) / observedFraction
}

// sweep drops tokens that every replica has passed and sessions whose client's time is over.
func (g *Gateway) expireState(interval Nanos) {
	if g.now-g.expiredAt <= interval {
		return
	}
	g.expiredAt = g.now
	for _, grp := range g.groups {
		low := grp.minReplicaPosition()
		maps.DeleteFunc(grp.tokens, func(_ uint64, at Nanos) bool { return at <= low })
	}
	maps.DeleteFunc(g.unserved, func(k sessionClass, at Nanos) bool {
		return g.now-at > g.settings.Classes[k.class].HardLimit
	})
}

// pop takes the first of a list.
func pop(list *[]Server) (first Server, ok bool) {
	if len(*list) > 0 {
		first, *list = (*list)[0], (*list)[1:]
		return first, true
	}
	return first, false
}

// learnBase follows the latency, in SLA times, when nothing is crowded: the lowest mean seen, which creeps up
// with each answer so that one lucky moment does not last.
func (g *Gateway) updateBaseLateness(late float64) {
	g.lateness.add(g.now, classDecay, late)
	if g.lateness.count.total > minBaseSamples {
		mean := min(maxBaseLateness, g.lateness.valueWithPrior(g.now, classDecay, 0, 0))
		g.baseLateness = min(mean, g.baseLateness+(mean-g.baseLateness)*baseIncrease)
	}
}

// waits is how many of their service times a member's work has waited in all since its last answer, by how slow it
// is of late. What ended without one counts too: a gateway with a txn now and then has little else to go by.
func (g *Gateway) silenceScore(m *member) float64 {
	if m.inFlight == 0 && m.unansweredWork == 0 {
		return 0
	}
	// Work that was sent after the last answer has waited for less than the quiet lasts.
	waited := min(float64(g.now-m.silentSince)*m.inFlightRate, float64(g.now)*m.inFlightRate-m.weightedSentAt) + m.unansweredWork
	// A service time is a tick at least: a host that stood still must not find quick members silent.
	return waited / max(m.slowdown.valueWithPrior(g.now, latencyDecay, 1, 1), float64(g.settings.Tick)*m.inFlightRate/float64(max(1, m.inFlight)))
}

// luck is a txn's own chance, drawn once, so that looking at it again does not raise it.
func (g *Gateway) randomDraw(t *txn) float64 {
	if t.randomDraw == 0 {
		t.randomDraw = g.rng.unit()
	}
	return t.randomDraw
}

// noteShedding logs when many txns are given up unserved, and when none are any more.
func (g *Gateway) logShedding(given, threshold float64) {
	if given > threshold && !g.shedding || given < 1 && g.shedding {
		g.shedding = !g.shedding
		g.log("giving up unserved txns: %v, %.0f of late", g.shedding, given)
	}
}

// noteScarce logs when connections become scarce, and when they no longer are.
func (g *Gateway) logScarcity(refused, threshold float64) bool {
	if scarce := refused > threshold; scarce != g.connectionsScarce {
		g.connectionsScarce = scarce
		g.log("connections scarce: %v, %.0f refused of late", scarce, refused)
	}
	return g.connectionsScarce
}

// anyWell tells whether there is a member that is not suspect.
func (g *Gateway) anyHealthy() bool {
	return slices.ContainsFunc(g.groups, func(grp *group) bool {
		return slices.ContainsFunc(grp.members, func(m *member) bool { return !m.excluded && !m.suspect })
	})
}

// ReceiveUpdate takes another gateway's word. It may be late: what it proves still holds, and of two members that were
// primary the later one counts.
func (g *Gateway) ReceiveUpdate(n MemberUpdate) {
	m := g.members[n.Server]
	if m == nil || n.Position > g.now {
		return
	}
	m.sharedPosition = max(m.sharedPosition, n.Position)
	m.advancePosition(n.Position)
	m.lastLag, m.lagSeenAt, m.positionSeenAt = max(min(g.estimatedLag(m), g.now-n.Position), g.now-n.Position-maxReportDelay), g.now, g.now
	if p := g.primaryOf(m.group); n.Primary && n.Position > m.roleAt && (p == nil || n.Position > p.roleAt) {
		g.recordAnswer(m, RolePrimary, 0)
		m.roleAt = n.Position
	}
}

// tell hands out what is to be shared, in one message a round.
func (g *Gateway) sendUpdates() (Decision, bool) {
	if len(g.pendingUpdates) == 0 {
		return Decision{}, false
	}
	d := Decision{Kind: SendUpdates}
	for _, m := range g.pendingUpdates {
		d.Updates = append(d.Updates, MemberUpdate{m.id, m.position, m.role == RolePrimary})
		m.updatePending, m.sharedPosition = false, m.position
	}
	g.pendingUpdates = g.pendingUpdates[:0]
	return d, true
}

// heardNote takes an answer's word on role and position.
func (g *Gateway) recordAnswer(m *member, role Role, position Nanos) {
	if role != RoleUnknown {
		m.role, m.roleAt = role, g.now
		for _, o := range m.group.members {
			// One primary at a time: the newest word wins, whichever way the other's answers are late.
			if role == RolePrimary && o != m && o.role == RolePrimary {
				o.role = RoleUnknown
			}
		}
		g.logPrimaryChange(m.group)
	}
	if position > 0 {
		m.advancePosition(g.settings.Replication.PositionEpoch + position)
		m.lastLag, m.lagSeenAt, m.positionSeenAt = g.now-(g.settings.Replication.PositionEpoch+position), g.now, g.now
	}
}

// heardReport takes a report's position, which holds though it is old, and its role where no answer is newer.
func (g *Gateway) recordReport(m *member, report []float64) {
	fields := g.settings.LoadReport.Fields
	for i, field := range fields[:min(len(fields), len(report))] {
		switch field {
		case "x0":
			if report[i] > 0 {
				at := g.settings.Replication.PositionEpoch + Millis(report[i]*1000)
				m.advancePosition(at)
				m.lastLag, m.lagSeenAt, m.positionSeenAt = max(min(g.estimatedLag(m), g.now-at), g.now-at-maxReportDelay), g.now, g.now
			}
		case "x1":
			newer := g.now-m.roleAt > answerPrecedence || m.role == RoleUnknown
			if newer && report[i] == 1 && m.role != RolePrimary {
				g.recordAnswer(m, RolePrimary, 0)
				m.roleAt = 0
			} else if newer && report[i] != 1 {
				m.role = RoleReplica
				g.logPrimaryChange(m.group)
			}
		}
	}
}

// cold tells whether a member started so lately that it may not be warm.
func (g *Gateway) isCold(m *member) bool {
	return m.startedAt > 0 && g.now-m.startedAt < g.settings.Rules.ColdDuration
}
