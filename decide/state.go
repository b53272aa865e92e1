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
type decaying struct {
	sum float64
	at  Nanos
}

func (d *decaying) read(now, fade Nanos) float64 {
	if now > d.at {
		d.sum *= math.Exp(-float64(now-d.at) / float64(fade))
		d.at = now
	}
	return d.sum
}

func (d *decaying) add(now, fade Nanos, x float64) { d.sum = d.read(now, fade) + x }

// mean is a mean over time.
type mean struct{ sum, n decaying }

func (a *mean) add(now, fade Nanos, x float64) {
	a.sum.add(now, fade, x)
	a.n.add(now, fade, 1)
}

// lean is the mean, leaning on a guess that weighs as much as some values.
func (a *mean) lean(now, fade Nanos, guess, weight float64) float64 {
	return (a.sum.read(now, fade) + guess*weight) / (a.n.read(now, fade) + weight)
}

// member is what this gateway knows of one database server.
type member struct {
	id                     Server
	zone, kind             int
	group                  *group
	ready, drained, barred bool // barred: told that it drains or is gone
	gone                   bool // as the list says
	startedAt              Nanos
	position, lag          Nanos // proven position; how far behind it was when last heard of
	lagAt, heardAt         Nanos // when the lag and the position were told
	shared                 Nanos // position that all gateways were told
	telling                bool  // in the gateway's list of those to tell of
	lackAt, askedAt        Nanos // when a read last passed it over for want of proof; when it was last asked
	role                   Role
	roleAt                 Nanos   // when an answer told the role last
	named                  bool    // the list says that it is the primary
	out                    int     // submissions in flight from here
	busy                   bool    // in the gateway's list of those with something in flight
	lacking                bool    // in the gateway's list of those that were passed over
	flight, sentSum        float64 // sums over them of one, and of when they were sent, by their service times
	limit                  float64
	newest                 [2]Nanos // when the latest of the reads, and of the writes, that it served were sent
	elapsed, slow, late    mean     // latency of answers: as it is; in service times; in SLA times
	failing                mean     // share of errors among its answers
	carried                decaying // service time sent
	breaks                 int      // of connections, since its last answer
	refusals               int      // of connections, since its last answer
	checkedAt              Nanos    // when a probe went out to tell why; 0 once it is back
	lostAt, restTo         Nanos    // the first of them, or of lost connections; when it may be tried again
	listedAt               Nanos    // its start, as the list tells it
	credit                 float64  // service time that a cold member may still be sent
	creditAt               Nanos
	quietSince, grownAt    Nanos
	unanswered             float64 // waits, in service times, of submissions that ended without an answer since then
	suspect, unreached     bool    // unreached: no connection, or a broken one, since its last answer
	trialAt, trial         Nanos
}

// group is one primary, its replicas and the txns that wait for them.
type group struct {
	id         int
	members    []*member
	waiting    [][]*txn // by row: for each txn type those in time, those that need no proof, the late
	queued     int      // entries in those rows, those of ended txns that are not pruned yet too
	scout      *txn     // the write that is trying members in turn
	primary    *member  // as last logged
	answeredAt Nanos
	tokens     map[uint64]Nanos // last commits of sessions, where they are kept here
}

// submission is one try of a txn at a member.
type submission struct {
	to        *member
	at        Nanos
	rate      float64 // one by the service time that was expected of it
	over      bool
	cancelled bool
	astray    bool // its answer is not to be expected: it no longer counts as in flight
}

// txn is one request of a client, kept until it is answered and its submissions are over.
type txn struct {
	id                           uint64
	class                        int
	group                        *group
	session                      uint64
	token                        Nanos // position that a read must see; 0 is none
	arrived, aim, expiry, budget Nanos
	first                        Nanos // arrival of the client's first try, as far as can be told
	subs                         []submission
	out, errors                  int
	waiting, done                bool
	ranAt                        Nanos   // sending of the first submission that may have run
	passed                       bool    // step 5: the wait is over, only the primary will do
	luck                         float64 // see luck
	pauseTo                      Nanos
	zones                        uint64 // that its reads are kept to, a bit each; 0 is none
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
func (t *txn) binds(m *member) bool { return t.zones>>m.zone&1 == 1 }

// service is what is measured of a txn type: latency and count of what was committed, how many came, and how
// many left early after what stay.
type service struct {
	took                     mean
	came, left, stay, intime decaying
	outlasted                decaying // answers after more than the mean stay of those who left
	usual                    mode
	above, share             float64 // of the demand: what is worth more, and its own
}

// mode follows the most frequent value of a series, up to a tolerance, as long as it makes up a third of it.
type mode struct {
	value Nanos
	votes int
}

// counts takes a value and tells whether it is the most frequent one.
func (m *mode) counts(x, tolerance Nanos, most int) bool {
	if m.value-tolerance <= x && x <= m.value+tolerance {
		m.votes = min(m.votes+2, most)
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
type unserved struct {
	session uint64
	class   int
}

// Gateway is one instance of the module.
type Gateway struct {
	site      *site
	now       Nanos
	startedAt Nanos // this instance's first round
	rng       pcg
	members   map[Server]*member
	ways      []way    // by zone
	serving   int      // members that are not barred
	refusals  decaying // of connections
	crowds    decaying // members that refused and answered within a moment
	sparing   bool
	hangUps   []Server
	checks    []Server // members that refused, to be probed
	arrivals  decaying
	demand    decaying  // service time of the first tries that came
	busy      []*member // with something in flight, or a moment ago
	news      []*member // to be told of
	lacking   []*member // passed over for want of proof and not asked since
	groups    []*group
	txns      map[uint64]*txn
	open      []*txn
	service   []service // by txn type
	ranking   []int     // rows of waiting txns, most value for service time first
	base      float64   // latency in SLA times when nothing is crowded
	late      mean      // of all answers, as for a member
	failing   mean      // share of errors among all answers
	primaries mean      // late, of answers of primaries
	listed    map[Server]bool
	unserved  map[unserved]Nanos // when the session's first try of its last txn came, if that was not served
	lines     []string
	stage     int
	cursor    int
	reviewAt  Nanos
	wakeAt    Nanos
	follows   bool
	askAt     Nanos
	askSpan   Nanos
	sweptAt   Nanos
	rankAt    Nanos
	queued    int
	shedding  bool
	wanted    float64  // service time that came of late
	poorest   int      // the class served worst of late
	asked     float64  // worth that came of late
	given     decaying // txns given up unserved
}

// New reads the settings and returns an instance that knows nothing else.
func New(seed uint64, settings []byte) (*Gateway, error) {
	s, err := readSite(settings)
	if err != nil {
		return nil, err
	}
	g := &Gateway{site: s, rng: newPCG(seed), base: baseFirst, askSpan: retryFirst,
		members: map[Server]*member{}, txns: map[uint64]*txn{}, listed: map[Server]bool{},
		unserved: map[unserved]Nanos{},
		service:  make([]service, len(s.Classes))}
	for i := range 3 * len(s.Classes) {
		g.ranking = append(g.ranking, i)
	}
	return g, nil
}

func (g *Gateway) groupOf(id int) *group {
	for _, grp := range g.groups {
		if grp.id == id {
			return grp
		}
	}
	grp := &group{id: id, waiting: make([][]*txn, 3*len(g.site.Classes)), tokens: map[uint64]Nanos{}}
	g.groups = append(g.groups, grp)
	slices.SortFunc(g.groups, func(a, b *group) int { return a.id - b.id })
	return grp
}

func (g *Gateway) log(format string, a ...any) { g.lines = append(g.lines, fmt.Sprintf(format, a...)) }

// line hands out what was logged.
func (g *Gateway) line() (Decision, bool) {
	if len(g.lines) == 0 {
		return Decision{}, false
	}
	text := g.lines[0]
	g.lines = g.lines[1:]
	return Decision{Kind: Log, Text: text}, true
}

// hangUp hands out the members whose idle connections are to be closed.
func (g *Gateway) hangUp() (Decision, bool) {
	server, ok := pop(&g.hangUps)
	return Decision{Kind: HangUp, Server: server}, ok
}

// way keeps the quickest answer from a zone, of this span and of the one before.
type way struct{ quickest, before, turnedAt Nanos }

func (w *way) add(now, span, elapsed Nanos) {
	w.least(now, span)
	if w.quickest == 0 || elapsed < w.quickest {
		w.quickest = elapsed
	}
}

// least is the quickest answer of late, 0 if there was none.
func (w *way) least(now, span Nanos) Nanos {
	if now-w.turnedAt >= span {
		if w.before = w.quickest; now-w.turnedAt >= 2*span {
			w.before = 0
		}
		w.quickest, w.turnedAt = 0, now
	}
	if w.quickest == 0 || w.before > 0 && w.before < w.quickest {
		return w.before
	}
	return w.quickest
}

func (g *Gateway) wayOf(zone int) *way {
	for zone >= len(g.ways) {
		g.ways = append(g.ways, way{})
	}
	return &g.ways[zone]
}

// tried tells whether the txn was sent to a member at or after a time.
func (t *txn) tried(m *member, since Nanos) bool {
	return slices.ContainsFunc(t.subs, func(s submission) bool { return s.to == m && s.at >= since })
}

// mayHaveRun is when the first submission was sent that ran or may run yet; 0 is none.
func (t *txn) mayHaveRun() Nanos {
	ran := t.ranAt
	for i := range t.subs {
		if s := &t.subs[i]; !s.over && (ran == 0 || s.at < ran) {
			ran = s.at
		}
	}
	return ran
}

// memberOf is a server's entry in a group, made or moved there where needed, and whether it was known before.
func (g *Gateway) memberOf(server Server, grp int) (*member, bool) {
	m, known := g.members[server]
	if known && m.gone && m.barred { // another machine may have its address now
		g.drop(m)
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
func (g *Gateway) drop(m *member) {
	is := func(x *member) bool { return x == m }
	delete(g.members, m.id)
	m.group.members = slices.DeleteFunc(m.group.members, is)
	g.lacking = slices.DeleteFunc(g.lacking, is)
	g.news = slices.DeleteFunc(g.news, is)
}

// opened and closed keep count of what is in flight.
func (g *Gateway) opened(t *txn, m *member) {
	if !m.busy {
		m.busy, g.busy = true, append(g.busy, m)
	}
	if m.out == 0 {
		m.quietSince = g.now
	}
	rate := 1 / max(float64(g.site.Tick), g.expected(t.class)+float64(g.detourTo(m.zone)))
	t.subs = append(t.subs, submission{to: m, at: g.now, rate: rate})
	t.waiting = false
	t.out++
	m.out++
	m.flight += rate
	m.sentSum += float64(g.now) * rate
	m.credit -= g.expected(t.class)
	m.carried.add(g.now, fadeClass, g.expected(t.class))
}

func (g *Gateway) closed(t *txn, s *submission, r Result) {
	s.over = true
	t.out--
	if !s.astray {
		s.leaves()
	}
	if r == Committed {
		s.to.newest[g.kindOf(t)] = max(s.to.newest[g.kindOf(t)], s.at)
	}
	if r == Moot || r == Unreachable || r == Reset { // what never came did not cost it anything
		s.to.credit += g.expected(t.class)
		s.to.carried.add(g.now, fadeClass, -g.expected(t.class))
	}
	ran := r == Failed || r == TimedOut || r == Broken || r == Cancelled
	if ran && (t.ranAt == 0 || s.at < t.ranAt) {
		t.ranAt = s.at
	}
	if r == Committed || r == Failed {
		x := 0.0
		if r == Failed {
			x = 1
		}
		s.to.failing.add(g.now, fadeLatency, x)
		g.failing.add(g.now, fadeLatency, x)
	}
	if (r == Cancelled || r == TimedOut) && !s.astray {
		s.to.unanswered += float64(g.now-max(s.at, s.to.quietSince)) * s.rate
	}
}

// leaves takes a submission out of what is in flight to its member.
func (s *submission) leaves() {
	s.to.out--
	s.to.flight -= s.rate
	if s.to.sentSum -= float64(s.at) * s.rate; s.to.out == 0 {
		s.to.flight, s.to.sentSum = 0, 0 // what rounding left
	}
}

// strays notes that no answer is to be expected, though the member is well.
func (s *submission) strays() {
	s.astray = true
	s.leaves()
}

// detourTo is how much longer the way to a zone takes than the way within this one, by the quickest answers
// of late, which crowded members hardly change. It is no member's fault and cuts no limit.
func (g *Gateway) detourTo(zone int) Nanos {
	here, there := g.wayOf(g.site.Zone).least(g.now, fadeLatency), g.wayOf(zone).least(g.now, fadeLatency)
	if here == 0 || there <= here {
		return 0
	}
	return there - here
}

// overtaken: its member has served one of its kind that was sent later. Then not the member is crowded or silent,
// but the way back from it. Writes may wait for a replica, reads for a position: neither tells of the other.
func (g *Gateway) overtaken(t *txn, s *submission) bool { return s.at < s.to.newest[g.kindOf(t)] }

// kindOf is 1 for what only a primary takes, which may wait for a replica, else 0.
func (g *Gateway) kindOf(t *txn) int {
	if g.site.Family.Consistency[t.class] == "mutate" {
		return 1
	}
	return 0
}

// forget drops a txn whose answer is given once its submissions are over.
func (g *Gateway) forget(t *txn) {
	if t.done && t.group.scout == t {
		t.group.scout = nil
	}
	if t.done && t.out == 0 {
		delete(g.txns, t.id)
	}
}

// reached raises a proven position; one that was proven holds for good, through changes of role as well.
func (m *member) reached(at Nanos) { m.position = max(m.position, at) }

// passed is the position that every replica is known to have reached: a token need not hold then (step 2).
func (grp *group) passed() Nanos {
	low := Nanos(1 << 62)
	for _, m := range grp.members {
		if !m.barred && m.role != RolePrimary {
			low = min(low, m.position)
		}
	}
	return low
}

// asPrimary names a group's primary for the log.
func (m *member) asPrimary() string {
	switch {
	case m == nil:
		return "no primary known"
	case m.role == RolePrimary:
		return fmt.Sprintf("primary %v, told by an answer or a report", m.id)
	}
	return fmt.Sprintf("primary %v, named by the list alone", m.id)
}

// cancel calls a submission off.
func (t *txn) cancel(no int) Decision {
	t.subs[no].cancelled = true
	return Decision{Kind: Cancel, Txn: t.id, No: uint16(no)}
}

// prune takes ended txns, and those that were sent, out of a row.
func (g *Gateway) prune(grp *group, row int) {
	before := len(grp.waiting[row])
	grp.waiting[row] = slices.DeleteFunc(grp.waiting[row], func(t *txn) bool { return t.done || !t.waiting })
	gone := before - len(grp.waiting[row])
	grp.queued -= gone
	g.queued -= gone
}

// lacks notes the replicas that a read found no proof of and went elsewhere or waits for.
func (g *Gateway) lacks(grp *group, primary *member, floor Nanos) {
	for _, m := range grp.members {
		if m == primary || m.position >= floor {
			continue
		}
		m.lackAt = g.now
		if !m.lacking {
			m.lacking = true
			g.lacking = append(g.lacking, m)
		}
	}
}

// told tells, and notes, that a member was heard of since a read last passed it over.
func (m *member) told() bool {
	m.lacking = m.heardAt < m.lackAt && m.askedAt < m.lackAt
	return !m.lacking
}

// Clock begins a round.
func (g *Gateway) Clock(now Nanos) {
	if g.startedAt == 0 {
		g.startedAt = now
	}
	g.now, g.stage, g.cursor = now, 0, 0
}

// Heard tells that part of an answer came: its member is not silent, though it may be slow.
func (g *Gateway) Heard(server Server) {
	if m := g.members[server]; m != nil {
		m.quietSince, m.group.answeredAt = g.now, g.now
	}
}

// Withdrawn tells that a txn's client is gone.
func (g *Gateway) Withdrawn(id uint64) {
	if t := g.txns[id]; t != nil {
		t.done = true
		g.unserved[unserved{t.session, t.class}] = t.first
		g.service[t.class].left.add(g.now, fadeClass, 1)
		g.service[t.class].stay.add(g.now, fadeClass, float64(g.now-t.arrived))
		g.forget(t)
	}
}

// EndsBy tells that a txn must have its answer by a time, as its host ends.
func (g *Gateway) EndsBy(id uint64, at Nanos) {
	if t := g.txns[id]; t != nil && !t.done {
		t.expiry = min(t.expiry, at)
		g.reviewAt = min(g.reviewAt, t.expiry-2*g.site.Tick)
	}
}

// Next gives one decision of this round, or says that there is none left.
func (g *Gateway) Next() (Decision, bool) {
	for ; g.stage < len(steps); g.stage, g.cursor = g.stage+1, 0 {
		if d, ok := steps[g.stage](g); ok {
			return d, true
		}
	}
	return Decision{}, false
}

// notePrimary logs a change of primary.
func (g *Gateway) notePrimary(grp *group) {
	if p := g.primaryOf(grp); p != grp.primary {
		grp.primary = p
		g.log("group %d: %s", grp.id, p.asPrimary())
	}
}

// perSpan is the rate of a sum that began at a time.
func (d *decaying) perSpan(now, began, fade Nanos) float64 {
	seen := -math.Expm1(-float64(max(now-began, Millisecond)) / float64(fade))
	return d.read(now, fade) / float64(fade) / seen
}

// sweep drops tokens that every replica has passed and sessions whose client's time is over.
func (g *Gateway) sweep(span Nanos) {
	if g.now-g.sweptAt <= span {
		return
	}
	g.sweptAt = g.now
	for _, grp := range g.groups {
		low := grp.passed()
		maps.DeleteFunc(grp.tokens, func(_ uint64, at Nanos) bool { return at <= low })
	}
	maps.DeleteFunc(g.unserved, func(k unserved, at Nanos) bool {
		return g.now-at > g.site.Classes[k.class].HardLimit
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
func (g *Gateway) learnBase(late float64) {
	g.late.add(g.now, fadeClass, late)
	if g.late.n.sum > baseCount {
		mean := min(baseMost, g.late.lean(g.now, fadeClass, 0, 0))
		g.base = min(mean, g.base+(mean-g.base)*baseCreep)
	}
}

// waits is how many of their service times a member's work has waited in all since its last answer, by how slow it
// is of late. What ended without one counts too: a gateway with a txn now and then has little else to go by.
func (g *Gateway) waits(m *member) float64 {
	if m.out == 0 && m.unanswered == 0 {
		return 0
	}
	// Work that was sent after the last answer has waited for less than the quiet lasts.
	waited := min(float64(g.now-m.quietSince)*m.flight, float64(g.now)*m.flight-m.sentSum) + m.unanswered
	// A service time is a tick at least: a host that stood still must not find quick members silent.
	return waited / max(m.slow.lean(g.now, fadeLatency, 1, 1), float64(g.site.Tick)*m.flight/float64(max(1, m.out)))
}

// luck is a txn's own chance, drawn once, so that looking at it again does not raise it.
func (g *Gateway) luck(t *txn) float64 {
	if t.luck == 0 {
		t.luck = g.rng.unit()
	}
	return t.luck
}

// noteShedding logs when many txns are given up unserved, and when none are any more.
func (g *Gateway) noteShedding(given, many float64) {
	if given > many && !g.shedding || given < 1 && g.shedding {
		g.shedding = !g.shedding
		g.log("giving up unserved txns: %v, %.0f of late", g.shedding, given)
	}
}

// noteScarce logs when connections become scarce, and when they no longer are.
func (g *Gateway) noteScarce(refused, many float64) bool {
	if scarce := refused > many; scarce != g.sparing {
		g.sparing = scarce
		g.log("connections scarce: %v, %.0f refused of late", scarce, refused)
	}
	return g.sparing
}

// anyWell tells whether there is a member that is not suspect.
func (g *Gateway) anyWell() bool {
	return slices.ContainsFunc(g.groups, func(grp *group) bool {
		return slices.ContainsFunc(grp.members, func(m *member) bool { return !m.barred && !m.suspect })
	})
}

// HeardOf takes another gateway's word. It may be late: what it proves still holds, and of two members that were
// primary the later one counts.
func (g *Gateway) HeardOf(n News) {
	m := g.members[n.Server]
	if m == nil || n.Position > g.now {
		return
	}
	m.shared = max(m.shared, n.Position)
	m.reached(n.Position)
	m.lag, m.lagAt, m.heardAt = max(min(g.behind(m), g.now-n.Position), g.now-n.Position-reportOld), g.now, g.now
	if p := g.primaryOf(m.group); n.Primary && n.Position > m.roleAt && (p == nil || n.Position > p.roleAt) {
		g.heardNote(m, RolePrimary, 0)
		m.roleAt = n.Position
	}
}

// tell hands out what is to be shared, in one message a round.
func (g *Gateway) tell() (Decision, bool) {
	if len(g.news) == 0 {
		return Decision{}, false
	}
	d := Decision{Kind: Tell}
	for _, m := range g.news {
		d.News = append(d.News, News{m.id, m.position, m.role == RolePrimary})
		m.telling, m.shared = false, m.position
	}
	g.news = g.news[:0]
	return d, true
}

// heardNote takes an answer's word on role and position.
func (g *Gateway) heardNote(m *member, role Role, position Nanos) {
	if role != RoleUnknown {
		m.role, m.roleAt = role, g.now
		for _, o := range m.group.members {
			// One primary at a time: the newest word wins, whichever way the other's answers are late.
			if role == RolePrimary && o != m && o.role == RolePrimary {
				o.role = RoleUnknown
			}
		}
		g.notePrimary(m.group)
	}
	if position > 0 {
		m.reached(g.site.Family.Zero + position)
		m.lag, m.lagAt, m.heardAt = g.now-(g.site.Family.Zero+position), g.now, g.now
	}
}

// heardReport takes a report's position, which holds though it is old, and its role where no answer is newer.
func (g *Gateway) heardReport(m *member, report []float64) {
	fields := g.site.LoadReport.Fields
	for i, field := range fields[:min(len(fields), len(report))] {
		switch field {
		case "x0":
			if report[i] > 0 {
				at := g.site.Family.Zero + Millis(report[i]*1000)
				m.reached(at)
				m.lag, m.lagAt, m.heardAt = max(min(g.behind(m), g.now-at), g.now-at-reportOld), g.now, g.now
			}
		case "x1":
			newer := g.now-m.roleAt > reportAge || m.role == RoleUnknown
			if newer && report[i] == 1 && m.role != RolePrimary {
				g.heardNote(m, RolePrimary, 0)
				m.roleAt = 0
			} else if newer && report[i] != 1 {
				m.role = RoleReplica
				g.notePrimary(m.group)
			}
		}
	}
}

// cold tells whether a member started so lately that it may not be warm.
func (g *Gateway) cold(m *member) bool {
	return m.startedAt > 0 && g.now-m.startedAt < g.site.Rules.Cold
}
