package rehearse

import (
	"slices"

	"magpieglade/decide"
	"magpieglade/rehearse/audit"
	"magpieglade/routes"
	"magpieglade/session"
)

// node is a gateway: the module, and a host for it that has connections in the place of sockets.
type node struct {
	w        *world
	no       int
	zone     int
	run      int
	up       bool
	downAt   int64
	module   *decide.Gateway
	sessions *sessionHost   // nil where clients bring their positions
	shares   *routes.Shares // of tenants, nil where nothing is bounded
	some     *some          // nil where the gateway has every member
	open     map[uint64]*asked
	links    []link // by member
	follows  bool
	wakeAt   int64
	drained  []bool // by member, as it was last told
	busy     bool   // decisions are being carried out
}

// link is its connections to a member.
type link struct {
	idle int
	run  int // of the member's process that they lead to
}

// asked is a txn at a gateway.
type asked struct {
	id, session, key, version uint64
	kind                      int
	floor                     int64
	budget, came              int64
	headAt                    int64 // when the first of those came that it was sent with
	subs                      []*submission
	out                       int
	done                      bool
	next                      *asked // that was sent ahead behind it, on the same connection
	answer                    func(k audit.Outcome, version uint64, position, again int64)
}

type submission struct {
	to   *database
	at   int64
	over bool
	open bool // its query is at the member, on a connection
	run  int
}

func serverOf(d *database) decide.Server { return decide.Server{byte(d.no), byte(d.no >> 8), 1} }

func (w *world) baseOf(s decide.Server) *database { return w.bases[int(s[0])|int(s[1])<<8] }

// start begins a process, with the list as it was last held.
func (n *node) start() error {
	text, err := n.w.s.gatewaySettings(n.zone)
	if err != nil {
		return err
	}
	n.run++
	if n.module, err = decide.New(n.w.s.Seed+uint64(n.no)*1000+uint64(n.run), text); err != nil {
		return err
	}
	n.up, n.follows, n.wakeAt = true, false, 0
	if n.run > 1 {
		n.w.notice(audit.Event{Kind: audit.GatewayUp, Gateway: n.no})
	}
	n.open, n.links = map[uint64]*asked{}, make([]link, len(n.w.bases))
	if n.drained == nil { // what a former process was told is taken back by the list that this one begins with
		n.drained = make([]bool, len(n.w.bases))
	}
	if n.sessions, err = newSessionHost(n); err != nil {
		return err
	}
	n.share()
	if n.some, err = newSome(n); err != nil {
		return err
	}
	n.tell(func() { n.list(decide.CachedList) })
	if n.some != nil {
		n.some.list()
	}
	if n.sessions != nil {
		n.sessions.tell(func() {})
	}
	return nil
}

// share begins the shares of tenants, where the scenario has them.
func (n *node) share() {
	s := n.w.s
	if s.MaxInFlight == 0 {
		return
	}
	n.shares = routes.NewShares(&routes.Table{MaxInFlight: s.MaxInFlight, Tenants: s.Tenants}, n.w.Now)
	held := map[int32]int{}
	for i := range s.Tenants {
		if k := s.ReservedSlots[s.Tenants[i].Name]; k > 0 {
			held[int32(i)] = k
		}
	}
	n.shares.HoldSlots(held)
}

// tenantOf is whose a txn type's are, below 0 for nobody's.
func (w *world) tenantOf(kind int) int32 {
	return int32(slices.IndexFunc(w.s.Tenants, func(t routes.Tenant) bool { return t.Name == w.s.Types[kind].Tenant }))
}

// kill ends it without a word.
func (n *node) kill() {
	if !n.up {
		return
	}
	n.up, n.downAt = false, n.w.Now
	n.run++
	n.w.notice(audit.Event{Kind: audit.GatewayKilled, Gateway: n.no})
	var ids []uint64
	for id := range n.open {
		ids = append(ids, id)
	}
	sortIDs(ids)
	for _, id := range ids {
		if t := n.open[id]; !t.done {
			t.done = true
			for one := t; one != nil; one = one.next {
				n.w.After(n.w.way(n.zone, n.zone), func() { one.answer(audit.Disconnected, 0, 0, 0) })
			}
		}
	}
	for i := range n.links {
		if d := n.w.bases[i]; n.links[i].run == d.run {
			d.conns -= n.links[i].idle
		}
	}
}

// away tells that the front has seen that it is down.
func (n *node) away() bool { return !n.up && n.w.Now-n.downAt > 100e6 }

// tell gives the module inputs, and carries out what it decides.
func (n *node) tell(input func()) {
	n.module.BeginRound(decide.Nanos(n.w.Now))
	input()
	if n.busy {
		return
	}
	n.busy = true
	run := n.run
	for n.run == run {
		d, ok := n.module.Next()
		if !ok {
			break
		}
		n.carryOut(&d)
	}
	n.busy = false
}

// list tells the whole list.
func (n *node) list(scope decide.Scope) {
	for _, d := range n.w.bases {
		if d.drained != n.drained[d.no] {
			kind := audit.Restored
			if n.drained[d.no] = d.drained; d.drained {
				kind = audit.DrainStarted
			}
			n.w.notice(audit.Event{Kind: kind, Member: d.no, Gateway: n.no})
		}
		if n.some != nil && !n.some.has(d) {
			continue
		}
		n.listed(d)
	}
	n.module.EndMemberList(scope)
	if n.some != nil && scope != decide.CachedList {
		run := n.run
		n.w.After(0, func() {
			if n.run == run && n.up {
				n.some.list()
			}
		})
	}
}

// listed tells of one member as it is.
func (n *node) listed(d *database) {
	st := decide.Ready
	if d.gone {
		st = decide.Removed
	} else if d.drained {
		st = decide.Draining
	}
	n.module.UpdateMember(serverOf(d), d.of.no, false, st, d.zone, 1, 0, decide.Nanos(d.born))
}

// told has the list reach it.
func (n *node) told() {
	run := n.run
	n.w.After(n.w.way(0, n.zone), func() {
		if n.run == run && n.up && n.follows && !n.w.noList {
			n.tell(func() { n.list(decide.FullList) })
		}
	})
}

func (n *node) listLost() {
	if n.up && n.follows {
		n.follows = false
		n.tell(n.module.MemberListFailed)
	}
}

func (n *node) carryOut(d *decide.Decision) {
	w, run := n.w, n.run
	switch d.Kind {
	case decide.Submit:
		n.submit(n.open[d.Txn], w.baseOf(d.Server), int64(d.Expiry))
	case decide.Reject:
		n.answer(n.open[d.Txn], audit.Declined, 0, 0, int64(d.Delay))
	case decide.RollBack:
		n.answer(n.open[d.Txn], audit.RolledBack, 0, 0, 0)
	case decide.Cancel:
		if t := n.open[d.Txn]; t != nil && int(d.Attempt) < len(t.subs) {
			n.ended(t, int(d.Attempt), reply{result: cancelled})
		}
	case decide.Probe:
		n.probe(w.baseOf(d.Server))
	case decide.CloseIdle:
		b := w.baseOf(d.Server)
		if l := &n.links[b.no]; l.run == b.run {
			b.conns -= l.idle
			l.idle = 0
		}
	case decide.SubscribeList, decide.FetchList:
		follow := d.Kind == decide.SubscribeList
		w.After(2*w.way(0, n.zone), func() {
			if n.run != run || !n.up {
				return
			}
			if w.noList {
				n.tell(n.module.MemberListFailed)
				return
			}
			n.follows = n.follows || follow
			n.tell(func() { n.list(decide.FullList) })
		})
	case decide.Wake:
		w.After(int64(d.Delay), func() {
			if n.run == run && n.up {
				n.tell(func() {})
			}
		})
	case decide.Log:
		w.said("gateway %d: %s", n.no, d.Text)
	}
}

// arrived takes a client's txn.
func (n *node) arrived(t *asked) {
	if !n.up {
		for ; t != nil; t = t.next {
			t.answer(audit.Disconnected, 0, 0, 0)
		}
		return
	}
	if n.shares != nil {
		tenant := n.w.tenantOf(t.kind)
		if why, after := n.shares.CanBegin(tenant, 1, n.w.Now); why != routes.Allowed {
			run := n.run
			n.w.After(n.w.way(n.zone, n.zone), func() {
				if n.run == run {
					t.answer(audit.Declined, 0, 0, after)
				} else {
					t.answer(audit.Disconnected, 0, 0, 0)
				}
			})
			return
		}
		n.shares.Begin(tenant, 1, n.w.Now)
	}
	n.open[t.id], t.came = t, n.w.Now
	if t.headAt == 0 {
		t.headAt = n.w.Now
	}
	kind := &n.w.s.Types[t.kind]
	if n.sessions != nil && kind.Effect == "by_key" {
		until, ok := n.sessions.module.RetryDeadline(n.groupOf(t), t.key, kind.DedupWindow)
		if !ok {
			n.answer(t, audit.RolledBack, 0, 0, 0)
			return
		}
		if until > 0 {
			t.budget = min(t.budget, until-n.w.Now)
		}
	}
	if n.sessions != nil && kind.Consistency == "causal" {
		n.sessions.tell(func() { n.sessions.module.AddRead(t.id, n.groupOf(t), t.session, 0, false, n.w.Now+t.budget) })
		return
	}
	n.route(t)
}

// route has the module place a txn.
func (n *node) route(t *asked) {
	age := decide.Nanos(0)
	if t.floor > 0 {
		if age = decide.Nanos(n.w.Now - t.floor); age == 0 {
			age = -1
		}
	}
	n.tell(func() {
		if err := n.module.AddTxn(t.id, t.kind, 0, t.session, decide.Nanos(max(1, t.came+t.budget-n.w.Now)), 0, n.groupOf(t), age); err != nil {
			panic(err) // a type that the settings lack: they are ours
		}
	})
}

// groupOf is where a session's data is.
func (n *node) groupOf(t *asked) int { return int(t.session) % len(n.w.groups) }

func (n *node) answer(t *asked, k audit.Outcome, version uint64, position, again int64) {
	if t == nil || t.done {
		return
	}
	t.done = true
	run := n.run
	n.w.After(n.w.way(n.zone, n.zone), func() {
		if n.run == run {
			t.answer(k, version, position, again)
		} else {
			t.answer(audit.Disconnected, 0, 0, 0)
		}
	})
	n.settled(t)
	if next := t.next; next != nil { // its time has run meanwhile
		t.next = nil
		next.budget = max(1, next.budget-(n.w.Now-t.headAt))
		next.headAt = t.headAt
		n.arrived(next)
	}
}

func (n *node) settled(t *asked) {
	if t.done && t.out == 0 && n.open[t.id] == t {
		delete(n.open, t.id)
		if n.shares != nil {
			n.shares.End(n.w.tenantOf(t.kind), 1)
		}
	}
}

// submit sends a txn to a member, on an idle connection or a new one.
func (n *node) submit(t *asked, d *database, until int64) {
	w, run, no := n.w, n.run, len(t.subs)
	s := &submission{to: d, at: w.Now}
	t.subs = append(t.subs, s)
	t.out++
	if n.sessions != nil && t.key != 0 && !t.done {
		n.sessions.tell(func() { n.sessions.module.RecordKeyedWrite(n.groupOf(t), t.key) })
	}
	if t.done {
		w.After(0, func() { n.ended(t, no, reply{result: moot}) })
		return
	}
	l := &n.links[d.no]
	if l.run != d.run {
		*l = link{run: d.run}
	}
	if l.idle > 0 && d.up {
		l.idle--
		s.open, s.run = true, d.run
		n.query(t, no, s)
	} else {
		n.connect(t, no, s, until)
	}
	w.After(until-w.Now, func() {
		if n.run == run {
			n.ended(t, no, reply{result: timedOut})
		}
	})
}

// connect makes a connection first.
func (n *node) connect(t *asked, no int, s *submission, until int64) {
	w, run, d := n.w, n.run, s.to
	reached := false
	back := func(do func()) {
		w.send(d.zone, n.zone, func() {
			if n.run == run && !s.over {
				reached = true
				do()
			}
		})
	}
	w.After(connectTimeout, func() {
		if n.run == run && !reached && !s.over {
			n.ended(t, no, reply{result: unreachable})
		}
	})
	w.send(n.zone, d.zone, func() {
		switch {
		case !d.up:
			back(func() { n.ended(t, no, reply{result: unreachable}) })
		case d.conns >= d.of.plan.MaxConnections:
			back(func() { n.ended(t, no, reply{result: full}) })
		default:
			d.conns++
			s.open, s.run = true, d.run
			w.After(d.of.plan.HandshakeTime, func() {
				if s.over { // given up meanwhile: ended() took the connection back
					return
				}
				back(func() {
					if d.run != s.run {
						n.ended(t, no, reply{result: int(decide.ResetBeforeSend)})
						return
					}
					n.query(t, no, s)
				})
			})
		}
	})
}

// query sends a txn's statement over a connection.
func (n *node) query(t *asked, no int, s *submission) {
	w, run, d := n.w, n.run, s.to
	kind := &w.s.Types[t.kind]
	q := &query{gateway: n, run: run, t: t, id: t.id, key: t.key, session: t.session, version: t.version, kind: t.kind, floor: t.floor}
	if kind.Consistency == "lag_bound" {
		q.floor = w.Now - kind.MaxAge
	}
	if w.s.Policy == PolicyLeastLoaded {
		q.floor = 0
	}
	q.cost = w.draw(kind)
	q.first = q.cost
	q.reply = func(r reply) {
		if n.run == run {
			n.ended(t, no, r)
		}
	}
	w.send(n.zone, d.zone, func() {
		if d.up && d.run == s.run {
			d.take(q)
		} else {
			d.answers(q, reply{result: broken})
		}
	})
}

// ended tells the module how a submission ended, once.
func (n *node) ended(t *asked, no int, r reply) {
	s := t.subs[no]
	if s.over {
		return
	}
	s.over = true
	t.out--
	d := s.to
	if s.open && d.run == s.run {
		if r.result == committed || r.result == failed || r.result == missed {
			n.links[d.no].idle++
		} else {
			d.conns--
		}
	}
	role := decide.RoleUnknown
	if r.result == committed || r.result == missed || r.result == failed {
		role = decide.RoleReplica
		if r.primary {
			role = decide.RolePrimary
		}
	}
	if r.result == committed && !t.done && n.sessions != nil && n.w.s.Types[t.kind].Consistency == "mutate" {
		n.sessions.tell(func() { n.sessions.module.RecordCommit(n.groupOf(t), t.session, session.Position(r.position)) })
	}
	if r.result == committed {
		n.answer(t, audit.Served, r.version, r.position, 0)
	}
	var report []float64
	if r.position > 0 {
		x1 := 0.0
		if r.primary {
			x1 = 1
		}
		report = []float64{float64(r.position) / 1e9, x1, 0}
	}
	n.tell(func() {
		n.module.SubmissionEnded(t.id, no, serverOf(d), decide.Result(r.result), decide.Nanos(n.w.Now-s.at), role, decide.Nanos(r.position), t.done, report)
	})
	n.settled(t)
}

// probe asks a member for its report.
func (n *node) probe(d *database) {
	w, run, at := n.w, n.run, n.w.Now
	over := false
	end := func(r decide.Result, report []float64) {
		if over || n.run != run {
			return
		}
		over = true
		n.tell(func() { n.module.ProbeEnded(serverOf(d), r, decide.Nanos(w.Now-at), report) })
	}
	w.After(connectTimeout, func() { end(decide.TimedOut, nil) })
	n.ask(d, end)
}

// ask sends a probe; one that hangs never answers.
func (n *node) ask(d *database, end func(decide.Result, []float64)) {
	w := n.w
	w.send(n.zone, d.zone, func() {
		if !d.up {
			w.send(d.zone, n.zone, func() { end(decide.Unreachable, nil) })
			return
		}
		if d.paused {
			return
		}
		x1 := 0.0
		if d.primary {
			x1 = 1
		}
		report := []float64{float64(d.reaches()) / 1e9, x1, float64(d.running) / float64(d.of.plan.Cores)}
		w.send(d.zone, n.zone, func() { end(decide.Committed, report) })
	})
}

// memberEnded forgets connections to a process that ended; submissions on them break.
func (n *node) memberEnded(d *database) {
	if !n.up {
		return
	}
	n.links[d.no] = link{run: d.run}
	var ids []uint64
	for id, t := range n.open {
		for _, s := range t.subs {
			if !s.over && s.to == d && s.open {
				ids = append(ids, id)
				break
			}
		}
	}
	sortIDs(ids)
	for _, id := range ids {
		t, run := n.open[id], n.run
		for no, s := range t.subs {
			if !s.over && s.to == d && s.open {
				n.w.send(d.zone, n.zone, func() {
					if n.run == run {
						n.ended(t, no, reply{result: broken})
					}
				})
			}
		}
	}
}
