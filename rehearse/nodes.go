package rehearse

import (
	"slices"

	"magpieglade/decide"
	"magpieglade/rehearse/audit"
	"magpieglade/routes"
	"magpieglade/session"
)

// simGateway is a gateway: the decision module and a host that models connections instead of opening sockets.
type simGateway struct {
	w           *simulation
	index       int
	zone        int
	incarnation int
	up          bool
	downAt      int64
	module      *decide.Gateway
	sessions    *sessionHost   // nil where clients carry their positions
	shares      *routes.Shares // of tenants, nil without an in-flight limit
	subset      *subsetHost    // nil where the gateway has every member
	open        map[uint64]*txn
	links       []link // by member
	subscribed  bool
	wakeAt      int64
	drained     []bool // by member, as the last list had it
	busy        bool   // decisions are being executed
}

// link holds a gateway's connections to a member.
type link struct {
	idle        int
	incarnation int // of the member's process that the connections belong to
}

// txn is a txn at a gateway.
type txn struct {
	id, session, key, version uint64
	txnType                   int
	floor                     int64
	fenceRequest              uint64 // fence that a primary's answer to it completes, 0 for none
	budget, arrivedAt         int64
	batchArrivedAt            int64 // arrival of the first txn of its pipelined batch
	submissions               []*submission
	inFlight                  int
	done                      bool
	next                      *txn // the next pipelined txn on the same connection
	respond                   func(k audit.Outcome, version uint64, position, again int64)
}

type submission struct {
	target      *database
	sentAt      int64
	ended       bool
	connected   bool // its query has a connection to the member
	incarnation int
}

func serverOf(d *database) decide.Server { return decide.Server{byte(d.index), byte(d.index >> 8), 1} }

func (w *simulation) databaseFor(s decide.Server) *database {
	return w.databases[int(s[0])|int(s[1])<<8]
}

// start starts a gateway process with the cached member list.
func (n *simGateway) start() error {
	text, err := n.w.scenario.gatewaySettings(n.zone)
	if err != nil {
		return err
	}
	n.incarnation++
	if n.module, err = decide.New(n.w.scenario.Seed+uint64(n.index)*1000+uint64(n.incarnation), text); err != nil {
		return err
	}
	n.up, n.subscribed, n.wakeAt = true, false, 0
	if n.incarnation > 1 {
		n.w.recordEvent(audit.Event{Kind: audit.GatewayUp, Gateway: n.index})
	}
	n.open, n.links = map[uint64]*txn{}, make([]link, len(n.w.databases))
	if n.drained == nil { // kept over restarts: the initial list corrects what an earlier process learned
		n.drained = make([]bool, len(n.w.databases))
	}
	if n.sessions, err = newSessionHost(n); err != nil {
		return err
	}
	n.initShares()
	if n.subset, err = newSubsetHost(n); err != nil {
		return err
	}
	n.step(func() { n.updateList(decide.CachedList) })
	if n.subset != nil {
		n.subset.updateDivision()
	}
	if n.sessions != nil {
		n.sessions.step(func() {})
	}
	return nil
}

// initShares sets up the tenants' shares if the scenario limits txns in flight.
func (n *simGateway) initShares() {
	s := n.w.scenario
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

// tenantOf is the tenant of a txn type, negative if it has none.
func (w *simulation) tenantOf(kind int) int32 {
	return int32(slices.IndexFunc(w.scenario.Tenants, func(t routes.Tenant) bool { return t.Name == w.scenario.Types[kind].Tenant }))
}

// kill ends the process without a shutdown.
func (n *simGateway) kill() {
	if !n.up {
		return
	}
	n.up, n.downAt = false, n.w.Now
	n.incarnation++
	n.w.recordEvent(audit.Event{Kind: audit.GatewayKilled, Gateway: n.index})
	var ids []uint64
	for id := range n.open {
		ids = append(ids, id)
	}
	sortIDs(ids)
	for _, id := range ids {
		if t := n.open[id]; !t.done {
			t.done = true
			for one := t; one != nil; one = one.next {
				n.w.After(n.w.networkDelay(n.zone, n.zone), func() { one.respond(audit.Disconnected, 0, 0, 0) })
			}
		}
	}
	for i := range n.links {
		if d := n.w.databases[i]; n.links[i].incarnation == d.incarnation {
			d.connections -= n.links[i].idle
		}
	}
}

// knownDown reports whether the load balancer has detected that the gateway is down.
func (n *simGateway) knownDown() bool { return !n.up && n.w.Now-n.downAt > 100e6 }

// step passes inputs to the module and executes its decisions.
func (n *simGateway) step(input func()) {
	n.module.BeginRound(decide.Nanos(n.w.Now))
	input()
	if n.busy {
		return
	}
	n.busy = true
	run := n.incarnation
	for n.incarnation == run {
		d, ok := n.module.Next()
		if !ok {
			break
		}
		n.execute(&d)
	}
	n.busy = false
}

// updateList passes the whole member list to the module.
func (n *simGateway) updateList(scope decide.Scope) {
	for _, d := range n.w.databases {
		if d.drained != n.drained[d.index] {
			kind := audit.Restored
			if n.drained[d.index] = d.drained; d.drained {
				kind = audit.DrainStarted
			}
			n.w.recordEvent(audit.Event{Kind: kind, Member: d.index, Gateway: n.index})
		}
		if n.subset != nil && !n.subset.has(d) {
			continue
		}
		n.updateMember(d)
	}
	n.module.EndMemberList(scope)
	if n.subset != nil && scope != decide.CachedList {
		run := n.incarnation
		n.w.After(0, func() {
			if n.incarnation == run && n.up {
				n.subset.updateDivision()
			}
		})
	}
}

// updateMember passes one member's state to the module. Whether it drains is what the last list said: another one may be under way.
func (n *simGateway) updateMember(d *database) {
	st := decide.Ready
	if d.delisted {
		st = decide.Removed
	} else if n.drained[d.index] {
		st = decide.Draining
	}
	n.module.UpdateMember(serverOf(d), d.group.index, false, st, d.zone, 1, 0, decide.Nanos(d.startedAt))
}

// listChanged delivers the member list to the gateway after a network delay.
func (n *simGateway) listChanged() {
	run := n.incarnation
	n.w.After(n.w.networkDelay(0, n.zone), func() {
		if n.incarnation == run && n.up && n.subscribed && !n.w.listUnavailable {
			n.step(func() { n.updateList(decide.FullList) })
		}
	})
}

func (n *simGateway) listFailed() {
	if n.up && n.subscribed {
		n.subscribed = false
		n.step(n.module.MemberListFailed)
	}
}

func (n *simGateway) execute(d *decide.Decision) {
	w, run := n.w, n.incarnation
	switch d.Kind {
	case decide.Submit:
		n.submit(n.open[d.Txn], w.databaseFor(d.Server), int64(d.Expiry))
	case decide.Reject:
		n.respond(n.open[d.Txn], audit.Declined, 0, 0, int64(d.Delay))
	case decide.RollBack:
		n.respond(n.open[d.Txn], audit.RolledBack, 0, 0, 0)
	case decide.Cancel:
		if t := n.open[d.Txn]; t != nil && int(d.Attempt) < len(t.submissions) {
			n.endSubmission(t, int(d.Attempt), reply{result: cancelled})
		}
	case decide.Probe:
		n.probe(w.databaseFor(d.Server))
	case decide.CloseIdle:
		b := w.databaseFor(d.Server)
		if l := &n.links[b.index]; l.incarnation == b.incarnation {
			b.connections -= l.idle
			l.idle = 0
		}
	case decide.SubscribeList, decide.FetchList:
		follow := d.Kind == decide.SubscribeList
		w.After(2*w.networkDelay(0, n.zone), func() {
			if n.incarnation != run || !n.up {
				return
			}
			if w.listUnavailable {
				n.step(n.module.MemberListFailed)
				return
			}
			n.subscribed = n.subscribed || follow
			n.step(func() { n.updateList(decide.FullList) })
		})
	case decide.Wake:
		w.After(int64(d.Delay), func() {
			if n.incarnation == run && n.up {
				n.step(func() {})
			}
		})
	case decide.Log:
		w.logf("gateway %d: %s", n.index, d.Text)
	}
}

// receive accepts a client's txn.
func (n *simGateway) receive(t *txn) {
	if !n.up {
		for ; t != nil; t = t.next {
			t.respond(audit.Disconnected, 0, 0, 0)
		}
		return
	}
	if n.shares != nil {
		tenant := n.w.tenantOf(t.txnType)
		if why, after := n.shares.CanBegin(tenant, 1, n.w.Now); why != routes.Allowed {
			run := n.incarnation
			n.w.After(n.w.networkDelay(n.zone, n.zone), func() {
				if n.incarnation == run {
					t.respond(audit.Declined, 0, 0, after)
				} else {
					t.respond(audit.Disconnected, 0, 0, 0)
				}
			})
			return
		}
		n.shares.Begin(tenant, 1, n.w.Now)
	}
	n.open[t.id], t.arrivedAt = t, n.w.Now
	if t.batchArrivedAt == 0 {
		t.batchArrivedAt = n.w.Now
	}
	kind := &n.w.scenario.Types[t.txnType]
	if n.sessions != nil && kind.Effect == "by_key" {
		until, ok := n.sessions.module.RetryDeadline(n.groupOf(t), t.key, kind.DedupWindow)
		if !ok {
			n.respond(t, audit.RolledBack, 0, 0, 0)
			return
		}
		if until > 0 {
			t.budget = min(t.budget, until-n.w.Now)
		}
	}
	if n.sessions != nil && kind.Consistency == "causal" {
		n.sessions.step(func() { n.sessions.module.AddRead(t.id, n.groupOf(t), t.session, 0, false, n.w.Now+t.budget) })
		return
	}
	n.route(t)
}

// route passes a txn to the module for placement.
func (n *simGateway) route(t *txn) {
	age := decide.Nanos(0)
	if t.floor > 0 {
		if age = decide.Nanos(n.w.Now - t.floor); age == 0 {
			age = -1
		}
	}
	n.step(func() {
		if err := n.module.AddTxn(t.id, t.txnType, 0, t.session, decide.Nanos(max(1, t.arrivedAt+t.budget-n.w.Now)), 0, n.groupOf(t), age); err != nil {
			panic(err) // unknown type: impossible, the settings are generated from the scenario
		}
		if t.fenceRequest != 0 {
			n.module.RequirePrimary(t.id)
		}
	})
}

// groupOf is the group that holds a session's data.
func (n *simGateway) groupOf(t *txn) int { return int(t.session) % len(n.w.groups) }

func (n *simGateway) respond(t *txn, k audit.Outcome, version uint64, position, again int64) {
	if t == nil || t.done {
		return
	}
	t.done = true
	if t.fenceRequest != 0 {
		n.sessions.fenceEnded(t, 0)
	}
	run := n.incarnation
	n.w.After(n.w.networkDelay(n.zone, n.zone), func() {
		if n.incarnation == run {
			t.respond(k, version, position, again)
		} else {
			t.respond(audit.Disconnected, 0, 0, 0)
		}
	})
	n.release(t)
	if next := t.next; next != nil { // its time budget ran while it waited
		t.next = nil
		next.budget = max(1, next.budget-(n.w.Now-t.batchArrivedAt))
		next.batchArrivedAt = t.batchArrivedAt
		n.receive(next)
	}
}

func (n *simGateway) release(t *txn) {
	if t.done && t.inFlight == 0 && n.open[t.id] == t {
		delete(n.open, t.id)
		if n.shares != nil {
			n.shares.End(n.w.tenantOf(t.txnType), 1)
		}
	}
}

// submit sends a txn to a member, on an idle connection or a new one.
func (n *simGateway) submit(t *txn, d *database, until int64) {
	w, run, no := n.w, n.incarnation, len(t.submissions)
	s := &submission{target: d, sentAt: w.Now}
	t.submissions = append(t.submissions, s)
	t.inFlight++
	if n.sessions != nil && t.key != 0 && !t.done {
		n.sessions.step(func() { n.sessions.module.RecordKeyedWrite(n.groupOf(t), t.key) })
	}
	if t.done {
		w.After(0, func() { n.endSubmission(t, no, reply{result: notSent}) })
		return
	}
	l := &n.links[d.index]
	if l.incarnation != d.incarnation {
		*l = link{incarnation: d.incarnation}
	}
	if l.idle > 0 && d.up {
		l.idle--
		s.connected, s.incarnation = true, d.incarnation
		n.sendQuery(t, no, s)
	} else {
		n.connect(t, no, s, until)
	}
	w.After(until-w.Now, func() {
		if n.incarnation == run {
			n.endSubmission(t, no, reply{result: timedOut})
		}
	})
}

// connect opens a connection and then sends the query.
func (n *simGateway) connect(t *txn, no int, s *submission, until int64) {
	w, run, d := n.w, n.incarnation, s.target
	connected := false
	sendBack := func(do func()) {
		w.send(d.zone, n.zone, func() {
			if n.incarnation == run && !s.ended {
				connected = true
				do()
			}
		})
	}
	w.After(connectTimeout, func() {
		if n.incarnation == run && !connected && !s.ended {
			n.endSubmission(t, no, reply{result: unreachable})
		}
	})
	w.send(n.zone, d.zone, func() {
		switch {
		case !d.up:
			sendBack(func() { n.endSubmission(t, no, reply{result: unreachable}) })
		case d.connections >= d.group.plan.MaxConnections:
			sendBack(func() { n.endSubmission(t, no, reply{result: atCapacity}) })
		default:
			d.connections++
			s.connected, s.incarnation = true, d.incarnation
			w.After(d.group.plan.HandshakeTime, func() {
				if s.ended { // abandoned meanwhile: endSubmission released the connection
					return
				}
				sendBack(func() {
					if d.incarnation != s.incarnation {
						n.endSubmission(t, no, reply{result: int(decide.ResetBeforeSend)})
						return
					}
					n.sendQuery(t, no, s)
				})
			})
		}
	})
}

// sendQuery sends a txn's statement over a connection.
func (n *simGateway) sendQuery(t *txn, no int, s *submission) {
	w, run, d := n.w, n.incarnation, s.target
	kind := &w.scenario.Types[t.txnType]
	q := &query{gateway: n, incarnation: run, t: t, id: t.id, key: t.key, session: t.session, version: t.version, txnType: t.txnType, floor: t.floor}
	if kind.Consistency == "lag_bound" {
		q.floor = w.Now - kind.MaxAge
	}
	if w.scenario.Policy == PolicyLeastLoaded {
		q.floor = 0
	}
	q.cost = w.drawServiceTime(kind)
	q.baseCost = q.cost
	q.respond = func(r reply) {
		if n.incarnation == run {
			n.endSubmission(t, no, r)
		}
	}
	w.send(n.zone, d.zone, func() {
		if d.up && d.incarnation == s.incarnation {
			d.receive(q)
		} else {
			d.sendResponse(q, reply{result: broken})
		}
	})
}

// endSubmission reports the result of a submission to the module, once.
func (n *simGateway) endSubmission(t *txn, no int, r reply) {
	s := t.submissions[no]
	if s.ended {
		return
	}
	s.ended = true
	t.inFlight--
	d := s.target
	if s.connected && d.incarnation == s.incarnation {
		if r.result == committed || r.result == failed || r.result == notEligible {
			n.links[d.index].idle++
		} else {
			d.connections--
		}
	}
	if r.result == committed && t.fenceRequest != 0 {
		if r.primary {
			n.sessions.fenceEnded(t, r.position)
		} else {
			r.result = notEligible // what a replica read may be too old
		}
	}
	role := decide.RoleUnknown
	if r.result == committed || r.result == notEligible || r.result == failed {
		role = decide.RoleReplica
		if r.primary {
			role = decide.RolePrimary
		}
	}
	if r.result == committed && !t.done && n.sessions != nil && n.w.scenario.Types[t.txnType].Consistency == "mutate" {
		n.sessions.step(func() { n.sessions.module.RecordCommit(n.groupOf(t), t.session, session.Position(r.position)) })
	}
	if r.result == committed {
		n.respond(t, audit.Served, r.version, r.position, 0)
	}
	var report []float64
	if r.position > 0 {
		x1 := 0.0
		if r.primary {
			x1 = 1
		}
		report = []float64{float64(r.position) / 1e9, x1, 0}
	}
	n.step(func() {
		n.module.SubmissionEnded(t.id, no, serverOf(d), decide.Result(r.result), decide.Nanos(n.w.Now-s.sentAt), role, decide.Nanos(r.position), t.done, report)
	})
	n.release(t)
}

// probe requests a member's report for the module.
func (n *simGateway) probe(d *database) {
	w, run, at := n.w, n.incarnation, n.w.Now
	over := false
	end := func(r decide.Result, report []float64) {
		if over || n.incarnation != run {
			return
		}
		over = true
		n.step(func() { n.module.ProbeEnded(serverOf(d), r, decide.Nanos(w.Now-at), report) })
	}
	w.After(connectTimeout, func() { end(decide.TimedOut, nil) })
	n.sendProbe(d, end)
}

// sendProbe sends a probe; a paused member never responds.
func (n *simGateway) sendProbe(d *database, end func(decide.Result, []float64)) {
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
		report := []float64{float64(d.appliedPosition()) / 1e9, x1, float64(d.running) / float64(d.group.plan.Cores)}
		w.send(d.zone, n.zone, func() { end(decide.Committed, report) })
	})
}

// memberDied drops the connections to an ended process; submissions on them end as broken.
func (n *simGateway) memberDied(d *database) {
	if !n.up {
		return
	}
	n.links[d.index] = link{incarnation: d.incarnation}
	var ids []uint64
	for id, t := range n.open {
		for _, s := range t.submissions {
			if !s.ended && s.target == d && s.connected {
				ids = append(ids, id)
				break
			}
		}
	}
	sortIDs(ids)
	for _, id := range ids {
		t, run := n.open[id], n.incarnation
		for no, s := range t.submissions {
			if !s.ended && s.target == d && s.connected {
				n.w.send(d.zone, n.zone, func() {
					if n.incarnation == run {
						n.endSubmission(t, no, reply{result: broken})
					}
				})
			}
		}
	}
}
