package gateway

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"

	"magpieglade/agreement"
	"magpieglade/decide"
	"magpieglade/internal/httpwire"
	"magpieglade/rollout"
	"magpieglade/routes"
)

// generations are the configurations that txns run under: the one in force, and older ones until their last txn has
// ended. They belong to the loop.
type generations struct {
	g       *Gateway
	module  *rollout.Rollout
	next    rollout.Generation
	inForce *generation
	told    *generation                        // one that the fleet agreed on and that is not in force: both bind; nil is none
	saving  bool                               // the module's decisions wait until what it said is on the disk
	all     map[rollout.Generation]*generation // in force, kept, staged, or with txns under way
}

// generation is one configuration. A txn is bound to the one that it arrived under, for good.
type generation struct {
	no       rollout.Generation
	document *routes.Document
	text     []byte
	digest   uint64
	table    *routes.Table // nil for generation 0: all is as the platform says
	shares   *routes.Shares
	retries  *routes.RetryBudgets
	txns     int
	version  uint64          // that the fleet gave it, 0 for none
	watch    int64           // for which that one is watched
	fleet    []*fleetLimits  // by tenant; nil for one whose bounds are each gateway's own
	barred   map[string]bool // members that it excludes or drains
}

func newGenerations(g *Gateway) *generations {
	zero := &generation{}
	return &generations{g: g, module: rollout.New(rollout.State{}), inForce: zero,
		all: map[rollout.Generation]*generation{0: zero}}
}

// start applies what the operator's file says at the start. What is wrong with it leaves all as the platform says.
func (gs *generations) start(c *Change) {
	if gs.g.agreement != nil {
		if c != nil {
			gs.g.log.Info("routes and limits are what the fleet agrees on: those of the operator's file wait for config apply")
		}
		return
	}
	watch, before := int64(0), uint64(0)
	if gs.g.config.Changes != nil {
		if before = gs.recall(); before != 0 && c != nil {
			watch = c.Watch // it is not the first: it is watched like any
		}
	}
	if c == nil || before != 0 && c.Digest == before {
		return
	}
	gs.module.Clock(int64(gs.g.clock.now()))
	first := *c
	first.Watch = watch
	x, findings, err := compiled(first, gs.world())
	if err == nil {
		_, err = gs.propose(x, first)
	}
	for _, f := range findings {
		gs.g.log.Warn("operator's file", "finding", f.Error())
	}
	if err != nil {
		gs.g.log.Error("routes and limits are not applied, all is as the platform says", "why", err)
	}
}

// Change is a new configuration of routes, tenants and members by hand.
type Change struct {
	Document *routes.Document // nil is all as the platform says
	Digest   uint64           // the same for the same text
	Text     []byte           // that says the same, for Config.Changes
	Watch    int64            // nanoseconds in which it is undone if health worsens; 0 keeps it at once
	Again    bool             // also if it was undone before
	Alone    bool             // for this gateway, which is refused where the fleet agrees on changes
	Who, Why string           // where the fleet agrees on changes: who wants it and what for
}

// Apply checks a change and stages it; it is applied, watched, and kept or undone by what Status tells later. Findings
// that are warnings do not refuse it. It may be called at any time from any goroutine, and waits until Run has begun.
func (g *Gateway) Apply(ctx context.Context, c Change) (no rollout.Generation, findings []routes.Finding, err error) {
	var w *routes.Environment
	if err = g.inLoop(ctx, func() error { w = g.generations.world(); return nil }); err != nil {
		return 0, nil, err
	}
	x, findings, err := compiled(c, w) // beside the loop: a large document takes long
	if err != nil {
		return 0, findings, err
	}
	if g.agreement == nil && c.Document.RequiredFormat() > 1 {
		return 0, findings, errors.New("a tenant's bounds are of the fleet (fleet = true), and this gateway agrees on nothing with others: its operator's file has no block agreement")
	}
	if g.agreement != nil {
		if c.Alone {
			return 0, findings, errors.New("the gateways of a fleet act on one version: nothing is applied at one alone")
		}
		o, err := g.ask(ctx, func() (agreement.Proposal, []byte, error) { return g.agreement.propose(c) })
		return rollout.Generation(o.Version), findings, err
	}
	err = g.inLoop(ctx, func() error {
		no, err = g.generations.propose(x, c)
		return err
	})
	return no, findings, err
}

// Keep keeps the watched change by hand; Undo undoes it, or drops the staged one.
func (g *Gateway) Keep(ctx context.Context) error {
	return g.inLoop(ctx, g.generations.module.KeepNow)
}

// Undo undoes the watched change by hand, or drops the staged one.
func (g *Gateway) Undo(ctx context.Context) error {
	return g.inLoop(ctx, g.generations.module.UndoNow)
}

// Status tells where changes stand.
func (g *Gateway) Status(ctx context.Context) (s rollout.Status, err error) {
	err = g.inLoop(ctx, func() error {
		s = g.generations.module.Status()
		s.Finished = slices.Clone(s.Finished)
		if now := g.generations.inForce.no; now != s.InForce { // it waits until it is saved
			s.Stage, s.Staged, s.InForce = rollout.Staged, s.InForce, now
		}
		return nil
	})
	return s, err
}

// InForce gives the text of the generation in force; none is of one that came without a text, or of all as the platform says.
func (g *Gateway) InForce(ctx context.Context) (no rollout.Generation, text []byte, err error) {
	err = g.inLoop(ctx, func() error {
		no, text = g.generations.inForce.no, g.generations.inForce.text
		return nil
	})
	return no, text, err
}

// inLoop runs something on the loop and waits for it.
func (g *Gateway) inLoop(ctx context.Context, f func() error) error {
	select {
	case <-g.started:
	case <-ctx.Done():
		return ctx.Err()
	}
	done := make(chan error, 1)
	g.post(func() {
		g.generations.module.Clock(int64(g.clock.now()))
		done <- f()
	})
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// world is what a document is checked against now.
func (gs *generations) world() *routes.Environment {
	g := gs.g
	w := &routes.Environment{Zones: g.names.Zones, Groups: map[int][]routes.Host{}, ClientDescriptors: g.budget.total}
	for i := range g.names.Classes {
		c := &g.names.Classes[i]
		w.Types = append(w.Types, routes.Type{Name: c.Name, HardLimit: int64(decide.Millis(c.HardLimit)), TargetLatency: int64(decide.Millis(c.PromiseMs)), Effect: c.Effect,
			Need: g.names.FamilyInfo.Consistency[i], Window: int64(decide.Millis(c.Window))})
	}
	for _, h := range g.discovery.list.hosts {
		primary, known := g.module.Primary(h.entry.Block)
		w.Groups[h.entry.Block] = append(w.Groups[h.entry.Block], routes.Host{Name: h.entry.Host, Zone: h.entry.Site,
			Draining: h.entry.Health != "active", Primary: known && primary == h.server})
	}
	return w
}

// compiled is a change that has passed the checks.
func compiled(c Change, w *routes.Environment) (x *generation, findings []routes.Finding, err error) {
	x = &generation{document: c.Document, text: c.Text, digest: c.Digest, barred: barredBy(c.Document)}
	if c.Document != nil {
		if x.table, findings = routes.Compile(c.Document, w); x.table == nil {
			return nil, findings, fmt.Errorf("the change is refused, the former configuration stays")
		}
	}
	return x, findings, nil
}

// propose stages a change.
func (gs *generations) propose(x *generation, c Change) (rollout.Generation, error) {
	x.no = gs.next + 1
	p := rollout.Change{Generation: x.no, Digest: c.Digest, WatchDuration: c.Watch, Reapply: c.Again}
	if err := gs.module.Propose(p); err != nil {
		return 0, err
	}
	gs.next = x.no
	gs.all[x.no] = x
	return x.no, nil
}

// carryOut does what the module decides until there is nothing left.
func (gs *generations) carryOut() {
	gs.module.Clock(int64(gs.g.clock.now()))
	for !gs.saving {
		d, ok := gs.module.Next()
		if !ok {
			return
		}
		switch d.Kind {
		case rollout.Undo:
			if gs.g.agreement != nil { // all undo it, or none
				gs.g.agreement.undo(gs.inForce)
				continue
			}
			gs.enter(gs.all[d.Generation])
		case rollout.Apply:
			gs.enter(gs.all[d.Generation])
		case rollout.Save:
			gs.save()
		case rollout.Keep:
			if gs.g.agreement != nil {
				gs.g.agreement.kept(gs.all[d.Generation])
			}
			gs.forget()
		case rollout.Wake:
			gs.g.deadlines.Add(int64(gs.g.clock.now())+d.After, timerEvent{kind: timerWake})
		case rollout.Log:
			gs.g.log.Info(d.Text)
		}
	}
}

// enter puts a generation in force, for all that arrives from now on, at this one point of the loop. What is under
// way counts against the shares of its tenants, by name, whatever generation began it.
func (gs *generations) enter(x *generation) {
	now := int64(gs.g.clock.now())
	before := gs.bars()
	gs.inForce = x
	if x.table != nil {
		if x != gs.told {
			x.shares = routes.NewShares(x.table, now)
		}
		x.retries = routes.NewRetryBudgets(x.table)
		for _, ref := range gs.g.txns.Refs() {
			if t := gs.g.txns.Get(ref); t.countedInFlight && x == gs.told {
				t.shares, t.tenant, t.nextShares = t.nextShares, t.nextTenant, nil
			} else if t.countedInFlight {
				gs.carry(x, t)
			}
		}
	}
	if x == gs.told {
		gs.told = nil
	}
	gs.updateFleetLimits()
	gs.g.clients.recount(x)
	gs.listed(before)
	gs.forget()
	gs.g.logLevel.Set(levelOf(x.document))
}

// tell has another generation bind beside the one in force: what it takes away is taken at once, what it gives waits
// until it is in force. nil ends that.
func (gs *generations) tell(x *generation) {
	if x == gs.told {
		return
	}
	before := gs.bars()
	gs.told = x
	if x != nil && x.table != nil {
		x.shares = routes.NewShares(x.table, int64(gs.g.clock.now()))
	}
	for _, ref := range gs.g.txns.Refs() {
		t := gs.g.txns.Get(ref)
		t.nextShares = nil
		if t.countedInFlight && x != nil && x.table != nil {
			t.nextShares, t.nextTenant = x.shares, gs.tenantIn(x, t)
			t.nextShares.CarryOver(t.nextTenant, int64(t.querySize))
		}
	}
	gs.updateFleetLimits()
	gs.listed(before)
}

// tenantIn is a txn's tenant in another table, by its name; below 0 is none.
func (gs *generations) tenantIn(x *generation, t *txn) int32 {
	if t.generation.table == nil || t.route.Tenant < 0 {
		return -1
	}
	name := t.generation.table.Tenants[t.route.Tenant].Name
	return int32(slices.IndexFunc(x.table.Tenants, func(n routes.Tenant) bool { return n.Name == name }))
}

// carry counts a txn of another generation against the tenant of its name, if there is one.
func (gs *generations) carry(x *generation, t *txn) {
	t.shares, t.tenant = x.shares, gs.tenantIn(x, t)
	x.shares.CarryOver(t.tenant, int64(t.querySize))
}

// bars are the members that get nothing new by what is in force, or by what comes next.
func (gs *generations) bars() map[string]bool {
	if gs.told == nil {
		return gs.inForce.barred
	}
	all := maps.Clone(gs.inForce.barred)
	if all == nil {
		all = map[string]bool{}
	}
	maps.Copy(all, gs.told.barred)
	return all
}

// listed tells the module of members whose bar has changed. A drain of the list's goes before any table.
func (gs *generations) listed(before map[string]bool) {
	told, after := false, gs.bars()
	for _, h := range gs.g.discovery.list.hosts {
		if before[h.entry.Host] != after[h.entry.Host] {
			gs.g.discovery.applyHost(h.entry)
			told = true
		}
	}
	if told {
		gs.g.module.EndMemberList(decide.Delta)
	}
}

// health is what the list says of a host, or the generation in force does.
func (gs *generations) health(e *httpwire.Host) string {
	if e.Health == "active" && (gs.inForce.barred[e.Host] || gs.told != nil && gs.told.barred[e.Host]) {
		return "leaving"
	}
	return e.Health
}

// forget drops generations that nothing needs any more.
func (gs *generations) forget() {
	s := gs.module.Status()
	for no, x := range gs.all {
		if x.txns == 0 && x != gs.inForce && no != s.Kept && no != s.Staged && no != s.InForce {
			delete(gs.all, no)
		}
	}
}

// arrive binds a txn to the generation in force. why is why it is refused, with when to come back.
func (gs *generations) arrive(t *txn, x *routes.Txn) (why routes.RejectReason, after int64) {
	t.generation = gs.inForce
	t.route = routes.Match{Route: -1, Type: int32(x.Type), Tenant: -1}
	if t.generation.table != nil {
		t.route = t.generation.table.Lookup(x)
	}
	if gs.g.agreement != nil {
		if why, after = gs.g.agreement.may(t, x, t.comment.Group); why != routes.Allowed {
			return why, after
		}
	}
	now := int64(gs.g.clock.now())
	if gs.told != nil && gs.told.table != nil {
		if why, after = gs.told.shares.CanBegin(t.nextTenant, int64(t.querySize), now); why != routes.Allowed {
			return why, after
		}
		t.nextShares = gs.told.shares
	}
	if t.generation.table == nil {
		return routes.Allowed, 0
	}
	if !t.generation.table.AllowsGroup(t.route.Route, t.comment.Group) {
		return routes.WrongGroup, 0
	}
	if why, after = t.generation.shares.CanBegin(t.route.Tenant, int64(t.querySize), now); why != routes.Allowed {
		return why, after
	}
	t.shares, t.tenant = t.generation.shares, t.route.Tenant
	return routes.Allowed, 0
}

// begin counts a txn that arrive allowed; end takes it back, once.
func (gs *generations) begin(t *txn) {
	t.generation.txns++
	t.countedInFlight = true
	if t.shares != nil {
		t.shares.Begin(t.tenant, int64(t.querySize), int64(gs.g.clock.now()))
	}
	if t.nextShares != nil {
		t.nextShares.Begin(t.nextTenant, int64(t.querySize), int64(gs.g.clock.now()))
	}
	gs.acquireFleetLimits(t)
}

func (gs *generations) end(t *txn) {
	if !t.countedInFlight {
		return
	}
	t.countedInFlight = false
	if t.shares != nil {
		t.shares.End(t.tenant, int64(t.querySize))
	}
	if t.nextShares != nil {
		t.nextShares.End(t.nextTenant, int64(t.querySize))
	}
	gs.releaseFleetLimits(t)
	if t.generation.txns--; t.generation.txns == 0 && t.generation != gs.inForce {
		gs.forget()
	}
}

// bind tells the module what a txn's route says of it, once it has arrived.
func (gs *generations) bind(t *txn) {
	if t.generation == nil || t.generation.table == nil || t.route.Route < 0 {
		return
	}
	if aim := t.generation.table.Routes[t.route.Route].TargetLatency; t.route.Zones != 0 || aim > 0 {
		gs.g.module.RestrictReads(t.id, t.route.Zones, cmp.Or(decide.Nanos(aim), decide.Millis(gs.g.names.Classes[t.class].PromiseMs)))
	}
}

// aimOf is a txn's SLA time: the txn type's, or its route's if that is shorter.
func (gs *generations) aimOf(t *txn) decide.Nanos {
	aim := decide.Millis(gs.g.names.Classes[t.class].PromiseMs)
	if t.generation != nil && t.generation.table != nil && t.route.Route >= 0 {
		if own := t.generation.table.Routes[t.route.Route].TargetLatency; own > 0 {
			aim = min(aim, decide.Nanos(own))
		}
	}
	return aim
}

// served tells of a txn's end for the health of its route.
func (gs *generations) served(t *txn, committed bool) {
	c := &gs.g.names.Classes[t.class]
	got := 0.0
	if took := gs.g.clock.now() - t.arrived; committed && took <= gs.aimOf(t) {
		got = c.Worth
	} else if committed {
		got = c.Worth * c.LateValue
	}
	route := int32(-1)
	if t.generation == gs.inForce {
		route = t.route.Route
	}
	gs.module.RecordTxn(route, c.Worth, got)
}

// mayRepeat tells whether a repeatable txn may be sent once more, by its route's budget.
func (gs *generations) mayRepeat(t *txn, no int) bool {
	if t.generation == nil || t.generation.table == nil || t.route.Route < 0 {
		return true
	}
	now := int64(gs.g.clock.now())
	if no == 0 {
		t.generation.retries.RecordFirst(t.route.Route, now)
		return true
	}
	return gs.g.names.Classes[t.class].Effect != "repeatable" || t.generation.retries.TryRetry(t.route.Route, now)
}
