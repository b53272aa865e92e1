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

// decayingSum is an exponentially decaying sum, brought up to date when it is read or added to.
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

// decayingMean is an exponentially weighted mean.
type decayingMean struct{ sum, count decayingSum }

func (a *decayingMean) add(now, decay Nanos, x float64) {
	a.sum.add(now, decay, x)
	a.count.add(now, decay, 1)
}

// valueWithPrior is the mean, combined with a prior that weighs as much as that many samples.
func (a *decayingMean) valueWithPrior(now, decay Nanos, prior, weight float64) float64 {
	return (a.sum.value(now, decay) + prior*weight) / (a.count.value(now, decay) + weight)
}

// member is this gateway's state for one database server.
type member struct {
	id                           Server
	zone, kind                   int
	group                        *group
	ready, drained, excluded     bool // excluded: it drains or was removed
	removed                      bool // by the list
	startedAt                    Nanos
	position, lastLag            Nanos  // proven position; lag when last known
	lagSeenAt, positionSeenAt    Nanos  // when the lag and the position were learned
	sharedPosition               Nanos  // position that all gateways know
	updatePending                bool   // in Gateway.pendingUpdates
	unprovenAt, queriedAt        Nanos  // when a read last skipped it for lack of proof; when it was last queried
	sourceNo                     uint64 // when PositionSource returned it last, as a number of its group; 0 for never
	role                         Role
	roleAt                       Nanos   // when an answer last reported the role
	roleRelayed                  bool    // another gateway reported the role, not the member itself
	deniedAt                     Nanos   // when an answer or a report last told that it is a replica
	primaryPosition              Nanos   // highest position that the member itself told this gateway together with being the primary
	roleUnreadAt                 Nanos   // when a submission last ended whose answer may have reported another role; 0 if an answer came since
	addedAt                      Nanos   // when a list after the first one named it
	listedPrimary                bool    // the list names it as primary
	inFlight                     int     // submissions in flight from this gateway
	busy                         bool    // in Gateway.busyMembers
	needsPosition                bool    // in Gateway.needingPosition
	inFlightRate, weightedSentAt float64 // sums over submissions in flight of rate and of rate * sentAt
	limit                        float64
	newestServed                 [2]Nanos     // send time of the latest read, and of the latest write, that it served
	latency, slowdown, lateness  decayingMean // latency of answers: absolute; relative to the service time; relative to the SLA time
	errorRate                    decayingMean // fraction of errors among its answers
	sentWork                     decayingSum  // service time of what was sent to it
	brokenConnections            int          // since its last answer
	refusedConnections           int          // since its last answer
	checkSentAt                  Nanos        // when a probe was sent to find the cause; 0 once it ended
	failingSince, restUntil      Nanos        // first refusal or lost connection; when it may be tried again
	listedStart                  Nanos        // its start time, by the list
	coldCredit                   float64      // service time that may still be sent to a cold member
	coldCreditAt                 Nanos
	silentSince, limitChangedAt  Nanos
	unansweredWork               float64 // waits, in service times, of submissions that ended without an answer since its last answer
	suspect, unreachable         bool    // unreachable: no connection, or a broken one, since its last answer
	nextTrialAt, trialInterval   Nanos
}

// group is a primary, its replicas and the txns queued for them.
type group struct {
	id            int
	members       []*member
	queues        [][]*txn // for each txn type: those in time, those that need no proof, the late ones
	queued        int      // entries in queues, including ended txns that are not pruned yet
	primarySearch *txn     // the write that is trying members in turn to find the primary
	loggedPrimary *member  // as last logged
	answeredAt    Nanos
	writes        map[uint64]*sessionWrites // by session, if they are to be remembered here
	forgotten     Nanos                     // highest position of a write that was deleted from writes
	positionLead  Nanos                     // the furthest that a position was ahead of the clock so estimated
	steppedBackAt Nanos                     // when a position last showed that the clock of its servers was stepped back, 0 for never
	clockLead     Nanos                     // how far the clock of its servers is ahead of this gateway's, as estimated
	nextSeekAt    Nanos                     // no search for the primary by probes before
	seekPause     Nanos                     // mean time between such searches, 0 since a primary has been known
	lastSourceNo  uint64                    // of the latest member that PositionSource returned as no primary was known
}

// submission is one attempt of a txn at a member.
type submission struct {
	member       *member
	sentAt       Nanos
	rate         float64 // 1 / expected service time
	ended        bool
	cancelled    bool
	required     Nanos // position that a read had to see when it was sent
	responseLost bool  // no answer is expected any more: it does not count as in flight
}

// txn is a client request, kept until it is answered and all its submissions have ended.
type txn struct {
	id                                     uint64
	class                                  int
	group                                  *group
	session                                uint64
	token                                  Nanos // position that a read must see; 0 for none
	arrivedAt, slaDeadline, expiry, budget Nanos
	firstArrival                           Nanos // estimated arrival of the client's first attempt
	submissions                            []submission
	inFlight, errorCount                   int
	waiting, done                          bool
	firstRunAt                             Nanos   // send time of the first submission that may have run
	primaryOnly                            bool    // its read is served by the primary alone, see Gateway.RequirePrimary
	waitOver                               bool    // step 5: the wait is over, only the primary may serve it
	randomDraw                             float64 // see Gateway.randomDraw
	pausedUntil                            Nanos
	allowedZones                           uint64 // bit mask of the zones that its reads are kept to; 0 for any
}

// Primary is the primary of a group, if it is known.
func (g *Gateway) Primary(groupID int) (Server, bool) {
	for _, grp := range g.groups {
		if grp.id == groupID {
			if p := g.primaryOf(grp); p != nil {
				return p.id, true
			}
		}
	}
	return Server{}, false
}

// allowsZoneOf reports whether a member is in one of the txn's zones.
func (t *txn) allowsZoneOf(m *member) bool { return t.allowedZones>>m.zone&1 == 1 }

// classStats holds the measurements of a txn type: service time and count of committed txns, arrivals, and
// the clients that left early with how long they had waited.
type classStats struct {
	serviceTime                                  decayingMean
	arrivals, departures, departureWaits, onTime decayingSum
	longerAnswers                                decayingSum // answers later than the mean wait of clients that left
	usualBudget                                  mode
	demandAbove, demand                          float64 // demand of higher-valued types, and its own
}

// mode tracks the most frequent value of a series, within a tolerance, as long as it makes up a third of the
// series.
type mode struct {
	value Nanos
	votes int
}

// observe adds a value and reports whether it is the most frequent one.
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

// sessionClass identifies a session's txns of one type.
type sessionClass struct {
	session uint64
	class   int
}

// Gateway is one instance of the decision module. It is not safe for concurrent use.
type Gateway struct {
	settings           *settings
	now                Nanos
	startedAt          Nanos // time of the first round
	rng                pcg
	members            map[Server]*member
	zoneLatencies      []zoneLatency // by zone
	servingMembers     int           // number of members that are not excluded
	refusedConnections decayingSum   // recent refusals
	refusalRecoveries  decayingSum   // members that refused connections and answered shortly after
	connectionsScarce  bool
	idleToClose        []Server
	pendingChecks      []Server // members to probe after refused or broken connections
	arrivals           decayingSum
	demand             decayingSum // service time of first attempts
	busyMembers        []*member   // with submissions in flight now or recently
	pendingUpdates     []*member   // members whose position is to be sent to other gateways
	needingPosition    []*member   // members skipped for lack of proof and not queried since
	groups             []*group
	clockLead          Nanos // of groups of which no position is known
	txns               map[uint64]*txn
	openTxns           []*txn
	stats              []classStats // by txn type
	queueOrder         []int        // queue indexes, highest value per service time first
	baseLateness       float64      // latency as a fraction of the SLA time when nothing is crowded
	lateness           decayingMean // of all answers, see member.lateness
	errorRate          decayingMean // fraction of errors among all answers
	primaryLateness    decayingMean // lateness of the answers of primaries
	listedMembers      map[Server]bool
	denials            map[Server]denial      // of removed members that last told that they are replicas
	unserved           map[sessionClass]Nanos // arrival of the first attempt of a session's last txn, if that was not served
	logLines           []string
	stage              int
	cursor             int
	reviewAt           Nanos
	wakeAt             Nanos
	subscribed         bool
	subscribeAt        Nanos
	subscribeBackoff   Nanos
	lastExpiryAt       Nanos
	reorderAt          Nanos
	queued             int
	shedding           bool
	totalDemand        float64     // service time that arrived recently
	worstClass         int         // the txn type with the lowest recent fraction served in time
	arrivedWorth       float64     // worth of recent arrivals
	abandoned          decayingSum // txns answered unserved
}

// New parses the settings and returns an instance without any other state.
func New(seed uint64, settings []byte) (*Gateway, error) {
	s, err := parseSettings(settings)
	if err != nil {
		return nil, err
	}
	g := &Gateway{settings: s, rng: newPCG(seed), baseLateness: initialBaseLateness, subscribeBackoff: s.firstSubscribeBackoff(),
		members: map[Server]*member{}, txns: map[uint64]*txn{}, listedMembers: map[Server]bool{},
		unserved: map[sessionClass]Nanos{}, denials: map[Server]denial{},
		stats: make([]classStats, len(s.Classes))}
	for i := range 3 * len(s.Classes) {
		g.queueOrder = append(g.queueOrder, i)
	}
	return g, nil
}

// groupOf returns a group, created if needed. Groups are kept in order of their ids.
func (g *Gateway) groupOf(id int) *group {
	for _, grp := range g.groups {
		if grp.id == id {
			return grp
		}
	}
	grp := &group{id: id, queues: make([][]*txn, 3*len(g.settings.Classes)), writes: map[uint64]*sessionWrites{}, clockLead: g.clockLead}
	g.groups = append(g.groups, grp)
	slices.SortFunc(g.groups, func(a, b *group) int { return a.id - b.id })
	return grp
}

func (g *Gateway) log(format string, a ...any) {
	g.logLines = append(g.logLines, fmt.Sprintf(format, a...))
}

// nextLogLine returns the next log line as a decision.
func (g *Gateway) nextLogLine() (Decision, bool) {
	if len(g.logLines) == 0 {
		return Decision{}, false
	}
	text := g.logLines[0]
	g.logLines = g.logLines[1:]
	return Decision{Kind: Log, Text: text}, true
}

// closeIdle returns the next member whose idle connections are to be closed.
func (g *Gateway) closeIdle() (Decision, bool) {
	server, ok := pop(&g.idleToClose)
	return Decision{Kind: CloseIdle, Server: server}, ok
}

// zoneLatency tracks the lowest latency of a zone in the current and the previous window.
type zoneLatency struct{ current, previous, rotatedAt Nanos }

func (w *zoneLatency) add(now, window, elapsed Nanos) {
	w.minimum(now, window)
	if w.current == 0 || elapsed < w.current {
		w.current = elapsed
	}
}

// minimum is the lowest recent latency, 0 if there was none.
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

// sentTo reports whether the txn was sent to a member at or after a time.
func (t *txn) sentTo(m *member, since Nanos) bool {
	return slices.ContainsFunc(t.submissions, func(s submission) bool { return s.member == m && s.sentAt >= since })
}

// firstPossibleRun is the send time of the first submission that ran or may still run; 0 for none.
func (t *txn) firstPossibleRun() Nanos {
	ran := t.firstRunAt
	for i := range t.submissions {
		if s := &t.submissions[i]; !s.ended && (ran == 0 || s.sentAt < ran) {
			ran = s.sentAt
		}
	}
	return ran
}

// memberOf returns a server's entry in a group, created or moved there if needed, and whether it was known
// before.
func (g *Gateway) memberOf(server Server, groupID int) (*member, bool) {
	m, known := g.members[server]
	if known && m.removed && m.excluded { // another machine may have its address now
		g.removeMember(m)
		known = false
	}
	if !known {
		m = g.newMember(server)
	}
	if m.group == nil || m.group.id != groupID {
		if m.group != nil {
			m.group.members = slices.DeleteFunc(m.group.members, func(x *member) bool { return x == m })
		}
		m.group = g.groupOf(groupID)
		m.group.members = append(m.group.members, m)
		slices.SortFunc(m.group.members, func(a, b *member) int { return bytes.Compare(a.id[:], b.id[:]) })
	}
	return m, known
}

// newMember creates a server's entry. If the server was removed a while ago and had told that it is a replica, it still
// counts as one: a list that names it as the primary may be older than what it told.
func (g *Gateway) newMember(server Server) *member {
	m := &member{id: server}
	if g.now > g.startedAt {
		m.addedAt = g.now
	}
	if d, ok := g.denials[server]; ok {
		m.role, m.roleAt, m.deniedAt = RoleReplica, d.toldAt, d.toldAt
		delete(g.denials, server)
	}
	g.members[server] = m
	return m
}

// ForgetMember deletes a member whose address another server has now: nothing that was known of it holds for that one.
func (g *Gateway) ForgetMember(server Server) {
	if m := g.members[server]; m != nil {
		g.removeMember(m)
	}
	delete(g.denials, server)
}

// removeMember deletes a removed member: a later server with its address may be a different one, so nothing that was proven
// of it holds, but its denial does. Submissions in flight to the old entry still end there.
func (g *Gateway) removeMember(m *member) {
	isMember := func(x *member) bool { return x == m }
	delete(g.members, m.id)
	if m.role == RoleReplica {
		g.denials[m.id] = denial{m.deniedAt, g.now}
	}
	m.group.members = slices.DeleteFunc(m.group.members, isMember)
	g.needingPosition = slices.DeleteFunc(g.needingPosition, isMember)
	g.pendingUpdates = slices.DeleteFunc(g.pendingUpdates, isMember)
}

// submissionStarted and submissionClosed keep track of what is in flight.
func (g *Gateway) submissionStarted(t *txn, m *member) {
	if !m.busy {
		m.busy, g.busyMembers = true, append(g.busyMembers, m)
	}
	if m.inFlight == 0 {
		m.silentSince = g.now
	}
	rate := 1 / max(float64(g.settings.Tick), g.expectedServiceTime(t.class)+float64(g.zoneDelay(m.zone)))
	t.submissions = append(t.submissions, submission{member: m, sentAt: g.now, rate: rate, required: g.requiredPosition(t, g.now)})
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
	if r == NotSent || r == Unreachable || r == ResetBeforeSend { // what never reached the member cost it nothing
		s.member.coldCredit += g.expectedServiceTime(t.class)
		s.member.sentWork.add(g.now, classDecay, -g.expectedServiceTime(t.class))
	}
	if mayHaveRun(r) && (t.firstRunAt == 0 || s.sentAt < t.firstRunAt) {
		t.firstRunAt = s.sentAt
	}
	if r == Committed || r == Failed {
		failure := 0.0
		if r == Failed {
			failure = 1
		}
		s.member.errorRate.add(g.now, latencyDecay, failure)
		g.errorRate.add(g.now, latencyDecay, failure)
	}
	if (r == Cancelled || r == TimedOut) && !s.responseLost {
		s.member.unansweredWork += float64(g.now-max(s.sentAt, s.member.silentSince)) * s.rate
	}
}

// removeInFlight removes a submission from its member's in-flight counts.
func (s *submission) removeInFlight() {
	s.member.inFlight--
	s.member.inFlightRate -= s.rate
	if s.member.weightedSentAt -= float64(s.sentAt) * s.rate; s.member.inFlight == 0 {
		s.member.inFlightRate, s.member.weightedSentAt = 0, 0 // remove rounding errors
	}
}

// markResponseLost records that no answer is expected although the member is healthy.
func (s *submission) markResponseLost() {
	s.responseLost = true
	s.removeInFlight()
}

// zoneDelay is how much longer the network path to a zone takes than the path within this zone, by the
// lowest recent latencies, which crowded members hardly affect. It is not the members' fault and cuts no
// limit.
func (g *Gateway) zoneDelay(zone int) Nanos {
	here, there := g.zoneLatencyOf(g.settings.Zone).minimum(g.now, latencyDecay), g.zoneLatencyOf(zone).minimum(g.now, latencyDecay)
	if here == 0 || there <= here {
		return 0
	}
	return there - here
}

// overtaken reports whether the member has served a later submission of the same kind. Then the connection
// or network path is at fault, and the member is neither crowded nor silent. Writes may wait for a replica
// and reads for a position, so neither says anything about the other.
func (g *Gateway) overtaken(t *txn, s *submission) bool {
	return s.sentAt < s.member.newestServed[g.workKind(t)]
}

// workKind is 1 for writes, which may wait for a replica, otherwise 0.
func (g *Gateway) workKind(t *txn) int {
	if g.settings.Replication.Consistency[t.class] == "mutate" {
		return 1
	}
	return 0
}

// removeIfDone deletes an answered txn once all its submissions have ended.
func (g *Gateway) removeIfDone(t *txn) {
	if t.done && t.group.primarySearch == t {
		t.group.primarySearch = nil
	}
	if t.done && t.inFlight == 0 {
		delete(g.txns, t.id)
	}
}

// describePrimary describes a group's primary for the log.
func (m *member) describePrimary() string {
	switch {
	case m == nil:
		return "no primary known"
	case m.role == RolePrimary && m.roleRelayed:
		return fmt.Sprintf("primary %v, told by another gateway", m.id)
	case m.role == RolePrimary:
		return fmt.Sprintf("primary %v, told by an answer or a report", m.id)
	}
	return fmt.Sprintf("primary %v, named by the list alone", m.id)
}

// cancelSubmission cancels a submission.
func (t *txn) cancelSubmission(attempt int) Decision {
	t.submissions[attempt].cancelled = true
	return Decision{Kind: Cancel, Txn: t.id, Attempt: uint16(attempt)}
}

// prune removes ended and submitted txns from a queue.
func (g *Gateway) prune(grp *group, queue int) {
	before := len(grp.queues[queue])
	grp.queues[queue] = slices.DeleteFunc(grp.queues[queue], func(t *txn) bool { return t.done || !t.waiting })
	pruned := before - len(grp.queues[queue])
	grp.queued -= pruned
	g.queued -= pruned
}

// markUnproven records the replicas whose position did not satisfy a read, which went elsewhere or waits.
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

// positionKnown reports whether a member was queried or its position learned since a read last skipped it,
// and updates needsPosition.
func (m *member) positionKnown() bool {
	m.needsPosition = m.positionSeenAt < m.unprovenAt && m.queriedAt < m.unprovenAt
	return !m.needsPosition
}

// BeginRound starts a round at the given time.
func (g *Gateway) BeginRound(now Nanos) {
	if g.startedAt == 0 {
		g.startedAt = now
	}
	g.now, g.stage, g.cursor = now, 0, 0
}

// ResponseProgress records that part of an answer arrived: the member is not silent, though it may be slow.
func (g *Gateway) ResponseProgress(server Server) {
	if m := g.members[server]; m != nil {
		m.silentSince, m.group.answeredAt = g.now, g.now
	}
}

// ClientGone records that a txn's client has disconnected or given up.
func (g *Gateway) ClientGone(id uint64) {
	if t := g.txns[id]; t != nil {
		t.done = true
		g.unserved[sessionClass{t.session, t.class}] = t.firstArrival
		g.stats[t.class].departures.add(g.now, classDecay, 1)
		g.stats[t.class].departureWaits.add(g.now, classDecay, float64(g.now-t.arrivedAt))
		g.removeIfDone(t)
	}
}

// LimitExpiry sets a time by which a txn must be answered, because its host shuts down.
func (g *Gateway) LimitExpiry(id uint64, at Nanos) {
	if t := g.txns[id]; t != nil && !t.done {
		t.expiry = min(t.expiry, at)
		g.reviewAt = min(g.reviewAt, t.expiry-2*g.settings.Tick)
	}
}

// Next returns the next decision of this round, or false if none is left.
func (g *Gateway) Next() (Decision, bool) {
	for ; g.stage < len(roundSteps); g.stage, g.cursor = g.stage+1, 0 {
		if d, ok := roundSteps[g.stage](g); ok {
			return d, true
		}
	}
	return Decision{}, false
}

// logPrimaryChange logs a change of a group's primary.
func (g *Gateway) logPrimaryChange(grp *group) {
	if p := g.primaryOf(grp); p != grp.loggedPrimary {
		grp.loggedPrimary = p
		g.log("group %d: %s", grp.id, p.describePrimary())
	}
}

// rate is the rate per nanosecond of a sum that started at a given time.
func (d *decayingSum) rate(now, since, decay Nanos) float64 {
	observedFraction := -math.Expm1(-float64(max(now-since, Millisecond)) / float64(decay))
	return d.value(now, decay) / float64(decay) / observedFraction
}

// expireState deletes writes that every replica has reached, denials of servers that are gone for long, and sessions whose
// client's limit is over.
func (g *Gateway) expireState(interval Nanos) {
	if g.now-g.lastExpiryAt <= interval {
		return
	}
	g.lastExpiryAt = g.now
	for _, grp := range g.groups {
		grp.forgetWrites()
	}
	maps.DeleteFunc(g.denials, func(_ Server, d denial) bool { return g.now-d.removedAt > denialRetention })
	maps.DeleteFunc(g.unserved, func(k sessionClass, at Nanos) bool {
		return g.now-at > g.settings.Classes[k.class].HardLimit
	})
}

// pop removes and returns the first element of a list.
func pop(list *[]Server) (first Server, ok bool) {
	if len(*list) > 0 {
		first, *list = (*list)[0], (*list)[1:]
		return first, true
	}
	return first, false
}

// updateBaseLateness tracks the latency, as a fraction of the SLA time, when nothing is crowded: the lowest
// mean seen. It rises slowly with each answer so that one low outlier does not last.
func (g *Gateway) updateBaseLateness(lateness float64) {
	g.lateness.add(g.now, classDecay, lateness)
	if g.lateness.count.total > minBaseSamples {
		mean := min(maxBaseLateness, g.lateness.valueWithPrior(g.now, classDecay, 0, 0))
		g.baseLateness = min(mean, g.baseLateness+(mean-g.baseLateness)*baseIncrease)
	}
}

// silenceScore is how many service times a member's work has waited in total since its last answer,
// corrected by its recent slowdown. Submissions that ended without an answer count too: a gateway with few
// txns has little other evidence.
func (g *Gateway) silenceScore(m *member) float64 {
	if m.inFlight == 0 && m.unansweredWork == 0 {
		return 0
	}
	// Work sent after the last answer has waited for less time than the member has been silent.
	waited := min(float64(g.now-m.silentSince)*m.inFlightRate, float64(g.now)*m.inFlightRate-m.weightedSentAt) + m.unansweredWork
	// A service time is at least one tick: a host that paused must not consider fast members silent.
	return waited / max(m.slowdown.valueWithPrior(g.now, latencyDecay, 1, 1),
		float64(g.settings.Tick)*m.inFlightRate/float64(max(1, m.inFlight)))
}

// randomDraw is a txn's random number, drawn once so that reviewing the txn again does not raise its chance.
func (g *Gateway) randomDraw(t *txn) float64 {
	if t.randomDraw == 0 {
		t.randomDraw = g.rng.unit()
	}
	return t.randomDraw
}

// logShedding logs when many txns are answered unserved, and when that ends.
func (g *Gateway) logShedding(abandoned, threshold float64) {
	if abandoned > threshold && !g.shedding || abandoned < 1 && g.shedding {
		g.shedding = !g.shedding
		g.log("giving up unserved txns: %v, %.0f of late", g.shedding, abandoned)
	}
}

// logScarcity logs when connections become scarce, and when that ends.
func (g *Gateway) logScarcity(refusals, threshold float64) bool {
	if scarce := refusals > threshold; scarce != g.connectionsScarce {
		g.connectionsScarce = scarce
		g.log("connections scarce: %v, %.0f refused of late", scarce, refusals)
	}
	return g.connectionsScarce
}

// anyHealthy reports whether any member is not suspect.
func (g *Gateway) anyHealthy() bool {
	return slices.ContainsFunc(g.groups, func(grp *group) bool {
		return slices.ContainsFunc(grp.members, func(m *member) bool { return !m.excluded && !m.suspect })
	})
}

// isCold reports whether a member started too recently to be warm.
func (g *Gateway) isCold(m *member) bool {
	return m.startedAt > 0 && g.now-m.startedAt < g.settings.Rules.ColdDuration
}
