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

// generations holds the configurations that txns run under: the one in force, and older ones until their last txn has
// ended. Only the event loop uses it.
type generations struct {
	g       *Gateway
	module  *rollout.Rollout
	lastNo  rollout.Generation
	inForce *generation
	pending *generation                        // agreed on by the fleet but not yet in force: the restrictions of both apply; nil if there is none
	saving  bool                               // the module's decisions wait until its state is on disk
	byNo    map[rollout.Generation]*generation // in force, kept, staged, or with txns in flight
}

// generation is one configuration. A txn keeps the one that was in force when it arrived.
type generation struct {
	no             rollout.Generation
	document       *routes.Document
	text           []byte
	digest         uint64
	table          *routes.Table // nil for generation 0: the platform's settings apply
	shares         *routes.Shares
	retryBudgets   *routes.RetryBudgets
	openTxns       int
	fleetVersion   uint64          // assigned by the fleet, 0 for none
	watchDuration  int64           // of the fleet's version, in nanoseconds
	fleetLimits    []*fleetLimits  // by tenant; nil for a tenant whose limits are per gateway
	blockedMembers map[string]bool // members that it excludes or drains
}

func newGenerations(g *Gateway) *generations {
	zero := &generation{}
	return &generations{g: g, module: rollout.New(rollout.State{}), inForce: zero,
		byNo: map[rollout.Generation]*generation{0: zero}}
}

// applyStartConfig applies the change of the operator's file at the start. If it is invalid, the platform's settings apply.
func (gs *generations) applyStartConfig(c *Change) {
	if gs.g.agreement != nil {
		if c != nil {
			gs.g.log.Info("routes and limits are what the fleet agrees on: those of the operator's file wait for config apply")
		}
		return
	}
	watchDuration, keptDigest := int64(0), uint64(0)
	if gs.g.config.Changes != nil {
		if keptDigest = gs.restoreKept(); keptDigest != 0 && c != nil {
			watchDuration = c.WatchDuration // not the first change, so it is watched like any other
		}
	}
	if c == nil || keptDigest != 0 && c.Digest == keptDigest {
		return
	}
	gs.module.Clock(int64(gs.g.clock.now()))
	first := *c
	first.WatchDuration = watchDuration
	x, findings, err := compileChange(first, gs.environment())
	if err == nil {
		_, err = gs.stage(x, first)
	}
	for _, f := range findings {
		gs.g.log.Warn("operator's file", "finding", f.Error())
	}
	if err != nil {
		gs.g.log.Error("routes and limits are not applied, the platform's settings apply", "why", err)
	}
}

// Change is a new configuration of routes, tenants, and members that the operator excludes or drains.
type Change struct {
	Document       *routes.Document // nil restores the platform's settings
	Digest         uint64           // equal for equal texts
	Text           []byte           // source of Document, stored by Config.Changes
	WatchDuration  int64            // nanoseconds during which worse health undoes it; 0 keeps it at once
	Reapply        bool             // accept it although it was undone before
	LocalOnly      bool             // for this gateway only; rejected where the fleet agrees on changes
	Author, Reason string           // recorded in the version where the fleet agrees on changes
}

// Apply checks a change and stages it. It is then applied, watched, and kept or undone; Status shows the progress.
// Findings that are warnings do not reject it. Apply is safe for concurrent use and waits until Run has started.
func (g *Gateway) Apply(ctx context.Context, c Change) (no rollout.Generation, findings []routes.Finding, err error) {
	var environment *routes.Environment
	if err = g.inLoop(ctx, func() error { environment = g.generations.environment(); return nil }); err != nil {
		return 0, nil, err
	}
	x, findings, err := compileChange(c, environment) // outside the event loop: compiling a large document takes long
	if err != nil {
		return 0, findings, err
	}
	if g.agreement == nil && c.Document.RequiredFormat() > 1 {
		return 0, findings, errors.New("a tenant's bounds are of the fleet (fleet = true), and this gateway agrees on nothing with others: its operator's file has no block agreement")
	}
	if g.agreement != nil {
		if c.LocalOnly {
			return 0, findings, errors.New("the gateways of a fleet act on one version: nothing is applied at one alone")
		}
		o, err := g.proposeAndWait(ctx, func() (agreement.Proposal, []byte, error) { return g.agreement.versionProposal(c) })
		return rollout.Generation(o.Version), findings, err
	}
	err = g.inLoop(ctx, func() error {
		no, err = g.generations.stage(x, c)
		return err
	})
	return no, findings, err
}

// Keep keeps the watched change without waiting for the end of its watch.
func (g *Gateway) Keep(ctx context.Context) error {
	return g.inLoop(ctx, g.generations.module.KeepNow)
}

// Undo undoes the watched change, or drops the staged one.
func (g *Gateway) Undo(ctx context.Context) error {
	return g.inLoop(ctx, g.generations.module.UndoNow)
}

// Status returns the progress of changes.
func (g *Gateway) Status(ctx context.Context) (s rollout.Status, err error) {
	err = g.inLoop(ctx, func() error {
		s = g.generations.module.Status()
		s.Finished = slices.Clone(s.Finished)
		if now := g.generations.inForce.no; now != s.InForce { // the change waits until its state is saved
			s.Stage, s.Staged, s.InForce = rollout.Staged, s.InForce, now
		}
		return nil
	})
	return s, err
}

// InForce returns the number and text of the generation in force. The text is empty if the change came without one or
// if the platform's settings apply.
func (g *Gateway) InForce(ctx context.Context) (no rollout.Generation, text []byte, err error) {
	err = g.inLoop(ctx, func() error {
		no, text = g.generations.inForce.no, g.generations.inForce.text
		return nil
	})
	return no, text, err
}

// inLoop runs f on the event loop and waits for it.
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

// environment returns the types, zones and members that a document is checked against.
func (gs *generations) environment() *routes.Environment {
	g := gs.g
	environment := &routes.Environment{Zones: g.names.Zones, Groups: map[int][]routes.Host{}, ClientDescriptors: g.budget.total}
	for i := range g.names.Classes {
		c := &g.names.Classes[i]
		environment.Types = append(environment.Types, routes.Type{Name: c.Name, HardLimit: int64(decide.Millis(c.HardLimit)), TargetLatency: int64(decide.Millis(c.TargetLatencyMs)), Effect: c.Effect,
			Need: g.names.FamilyInfo.Consistency[i], Window: int64(decide.Millis(c.Window))})
	}
	for _, h := range g.discovery.list.hosts {
		primary, known := g.module.Primary(h.entry.Block)
		environment.Groups[h.entry.Block] = append(environment.Groups[h.entry.Block], routes.Host{Name: h.entry.Host, Zone: h.entry.Site,
			Draining: h.entry.Health != "active", Primary: known && primary == h.server})
	}
	return environment
}

// compileChange checks a change and compiles its document.
func compileChange(c Change, environment *routes.Environment) (compiled *generation, findings []routes.Finding, err error) {
	compiled = &generation{document: c.Document, text: c.Text, digest: c.Digest, blockedMembers: blockedBy(c.Document)}
	if c.Document != nil {
		if compiled.table, findings = routes.Compile(c.Document, environment); compiled.table == nil {
			return nil, findings, fmt.Errorf("the change is refused, the former configuration stays")
		}
	}
	return compiled, findings, nil
}

// stage gives a compiled change the next number and stages it.
func (gs *generations) stage(x *generation, c Change) (rollout.Generation, error) {
	x.no = gs.lastNo + 1
	change := rollout.Change{Generation: x.no, Digest: c.Digest, WatchDuration: c.WatchDuration, Reapply: c.Reapply}
	if err := gs.module.Propose(change); err != nil {
		return 0, err
	}
	gs.lastNo = x.no
	gs.byNo[x.no] = x
	return x.no, nil
}

// processDecisions carries out the module's decisions until none is left or one waits for the disk.
func (gs *generations) processDecisions() {
	gs.module.Clock(int64(gs.g.clock.now()))
	for !gs.saving {
		d, ok := gs.module.Next()
		if !ok {
			return
		}
		switch d.Kind {
		case rollout.Undo:
			if gs.g.agreement != nil { // all gateways undo it, or none does
				gs.g.agreement.proposeUndo(gs.inForce)
				continue
			}
			gs.activate(gs.byNo[d.Generation])
		case rollout.Apply:
			gs.activate(gs.byNo[d.Generation])
		case rollout.Save:
			gs.saveState()
		case rollout.Keep:
			if gs.g.agreement != nil {
				gs.g.agreement.reportHealthy(gs.byNo[d.Generation])
			}
			gs.dropUnused()
		case rollout.Wake:
			gs.g.deadlines.Add(int64(gs.g.clock.now())+d.After, timerEvent{kind: timerWake})
		case rollout.Log:
			gs.g.log.Info(d.Text)
		}
	}
}

// activate puts a generation in force for every txn that arrives from now on, in one step of the event loop. Txns in
// flight count against the shares of the tenant with the same name, whichever generation they started under.
func (gs *generations) activate(x *generation) {
	now := int64(gs.g.clock.now())
	blockedBefore := gs.blockedMembers()
	gs.inForce = x
	if x.table != nil {
		if x != gs.pending {
			x.shares = routes.NewShares(x.table, now)
		}
		x.retryBudgets = routes.NewRetryBudgets(x.table)
		for _, ref := range gs.g.txns.Refs() {
			if t := gs.g.txns.Get(ref); t.countedInFlight && x == gs.pending {
				t.shares, t.tenant, t.nextShares = t.nextShares, t.nextTenant, nil
			} else if t.countedInFlight {
				gs.carryOver(x, t)
			}
		}
	}
	if x == gs.pending {
		gs.pending = nil
	}
	gs.updateFleetLimits()
	gs.g.clients.recountConnections(x)
	gs.reportBlockChanges(blockedBefore)
	gs.dropUnused()
	gs.g.logLevel.Set(minLogLevel(x.document))
}

// setPending applies another generation's restrictions beside the one in force: what it takes away is taken at once, what
// it grants waits until it is in force. nil ends that.
func (gs *generations) setPending(x *generation) {
	if x == gs.pending {
		return
	}
	blockedBefore := gs.blockedMembers()
	gs.pending = x
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
	gs.reportBlockChanges(blockedBefore)
}

// tenantIn returns the index of a txn's tenant in another generation's table, by name; negative if there is none.
func (gs *generations) tenantIn(x *generation, t *txn) int32 {
	if t.generation.table == nil || t.route.Tenant < 0 {
		return -1
	}
	name := t.generation.table.Tenants[t.route.Tenant].Name
	return int32(slices.IndexFunc(x.table.Tenants, func(n routes.Tenant) bool { return n.Name == name }))
}

// carryOver counts a txn of another generation against the tenant with the same name, if there is one.
func (gs *generations) carryOver(x *generation, t *txn) {
	t.shares, t.tenant = x.shares, gs.tenantIn(x, t)
	x.shares.CarryOver(t.tenant, int64(t.querySize))
}

// blockedMembers returns the members that get no new work under the generation in force or the pending one.
func (gs *generations) blockedMembers() map[string]bool {
	if gs.pending == nil {
		return gs.inForce.blockedMembers
	}
	blocked := maps.Clone(gs.inForce.blockedMembers)
	if blocked == nil {
		blocked = map[string]bool{}
	}
	maps.Copy(blocked, gs.pending.blockedMembers)
	return blocked
}

// reportBlockChanges reports to the module the members that became blocked or unblocked. A drain in the member list takes
// precedence over any table.
func (gs *generations) reportBlockChanges(blockedBefore map[string]bool) {
	changed, blockedAfter := false, gs.blockedMembers()
	for _, h := range gs.g.discovery.list.hosts {
		if blockedBefore[h.entry.Host] != blockedAfter[h.entry.Host] {
			gs.g.discovery.applyHost(h.entry)
			changed = true
		}
	}
	if changed {
		gs.g.module.EndMemberList(decide.Delta)
	}
}

// memberHealth returns a host's health by the member list, or "leaving" if a generation blocks it.
func (gs *generations) memberHealth(e *httpwire.Host) string {
	if e.Health == "active" && (gs.inForce.blockedMembers[e.Host] || gs.pending != nil && gs.pending.blockedMembers[e.Host]) {
		return "leaving"
	}
	return e.Health
}

// dropUnused removes generations that nothing refers to any more.
func (gs *generations) dropUnused() {
	s := gs.module.Status()
	for no, x := range gs.byNo {
		if x.openTxns == 0 && x != gs.inForce && no != s.Kept && no != s.Staged && no != s.InForce {
			delete(gs.byNo, no)
		}
	}
}

// admit binds a txn to the generation in force. It returns why the txn is rejected, if it is, and when to retry.
func (gs *generations) admit(t *txn, request *routes.Txn) (reason routes.RejectReason, retryAfter int64) {
	t.generation = gs.inForce
	t.route = routes.Match{Route: -1, Type: int32(request.Type), Tenant: -1}
	if t.generation.table != nil {
		t.route = t.generation.table.Lookup(request)
	}
	if gs.g.agreement != nil {
		if reason, retryAfter = gs.g.agreement.checkLease(t, request, t.comment.Group); reason != routes.Allowed {
			return reason, retryAfter
		}
	}
	now := int64(gs.g.clock.now())
	if gs.pending != nil && gs.pending.table != nil {
		if reason, retryAfter = gs.pending.shares.CanBegin(t.nextTenant, int64(t.querySize), now); reason != routes.Allowed {
			return reason, retryAfter
		}
		t.nextShares = gs.pending.shares
	}
	if t.generation.table == nil {
		return routes.Allowed, 0
	}
	if !t.generation.table.AllowsGroup(t.route.Route, t.comment.Group) {
		return routes.WrongGroup, 0
	}
	if reason, retryAfter = t.generation.shares.CanBegin(t.route.Tenant, int64(t.querySize), now); reason != routes.Allowed {
		return reason, retryAfter
	}
	t.shares, t.tenant = t.generation.shares, t.route.Tenant
	return routes.Allowed, 0
}

// begin counts a txn that admit allowed.
func (gs *generations) begin(t *txn) {
	t.generation.openTxns++
	t.countedInFlight = true
	if t.shares != nil {
		t.shares.Begin(t.tenant, int64(t.querySize), int64(gs.g.clock.now()))
	}
	if t.nextShares != nil {
		t.nextShares.Begin(t.nextTenant, int64(t.querySize), int64(gs.g.clock.now()))
	}
	gs.acquireFleetLimits(t)
}

// end takes back what begin counted; further calls do nothing.
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
	if t.generation.openTxns--; t.generation.openTxns == 0 && t.generation != gs.inForce {
		gs.dropUnused()
	}
}

// restrictReads reports to the module the zones and target latency that a txn's route sets, after the txn has arrived.
func (gs *generations) restrictReads(t *txn) {
	if t.generation == nil || t.generation.table == nil || t.route.Route < 0 {
		return
	}
	if target := t.generation.table.Routes[t.route.Route].TargetLatency; t.route.Zones != 0 || target > 0 {
		gs.g.module.RestrictReads(t.id, t.route.Zones, cmp.Or(decide.Nanos(target), decide.Millis(gs.g.names.Classes[t.class].TargetLatencyMs)))
	}
}

// targetLatency returns a txn's target latency: its type's, or its route's if that is shorter.
func (gs *generations) targetLatency(t *txn) decide.Nanos {
	target := decide.Millis(gs.g.names.Classes[t.class].TargetLatencyMs)
	if t.generation != nil && t.generation.table != nil && t.route.Route >= 0 {
		if routeTarget := t.generation.table.Routes[t.route.Route].TargetLatency; routeTarget > 0 {
			target = min(target, decide.Nanos(routeTarget))
		}
	}
	return target
}

// recordOutcome records the end of a txn for the health of its route.
func (gs *generations) recordOutcome(t *txn, committed bool) {
	class := &gs.g.names.Classes[t.class]
	servedValue := 0.0
	if latency := gs.g.clock.now() - t.arrived; committed && latency <= gs.targetLatency(t) {
		servedValue = class.Value
	} else if committed {
		servedValue = class.Value * class.LateValue
	}
	route := int32(-1)
	if t.generation == gs.inForce {
		route = t.route.Route
	}
	gs.module.RecordTxn(route, class.Value, servedValue)
}

// allowAttempt reports whether a txn may be sent. Only retries of repeatable txns are limited, by the retry budget of
// their route.
func (gs *generations) allowAttempt(t *txn, attempt int) bool {
	if t.generation == nil || t.generation.table == nil || t.route.Route < 0 {
		return true
	}
	now := int64(gs.g.clock.now())
	if attempt == 0 {
		t.generation.retryBudgets.RecordFirst(t.route.Route, now)
		return true
	}
	return gs.g.names.Classes[t.class].Effect != "repeatable" || t.generation.retryBudgets.TryRetry(t.route.Route, now)
}
