package gateway

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"magpieglade/agreement"
	"magpieglade/fleet"
	"magpieglade/rollout"
	"magpieglade/routes"
)

// SubjectRoutes is the agreement subject that holds the operator's routes, tenants and limits, and the members that the
// operator excludes or drains.
const SubjectRoutes = "routes"

// proposalTimeout covers several elections and is shorter than the control socket's own timeout.
const proposalTimeout = 9 * time.Second

// surveyPollInterval is how often FleetStatus checks whether a survey has finished.
const surveyPollInterval = 5 * time.Millisecond

// fleetAgreement connects the gateway to the fleet's agreement and implements fleet.Host. Only the event loop uses it.
type fleetAgreement struct {
	g              *Gateway
	fleet          *fleet.Fleet
	hasManifest    bool      // a manifest was adopted since the start
	reportedEnded  bool      // after its removal it has proposed ProcessEnded
	loggedVersions [2]uint64 // the last logged versions: in force and next
	leaseExpired   bool      // the last logged state
	onOutcome      map[uint64]func(agreement.Outcome)
	prepared       *preparedManifest
	generations    map[agreement.Digest]*generation // by digest of their text: the one in force and the next
	previous       *generation                      // was in force before the current one
}

// preparedManifest is a manifest whose texts are compiled and which is not yet in force on this gateway.
type preparedManifest struct {
	revision      uint64
	inForce, next *generation
	staged        bool
}

// openFleetAgreement opens the agreement's folder and joins the fleet.
func openFleetAgreement(g *Gateway, seed uint64) (*fleetAgreement, error) {
	a := &fleetAgreement{g: g, onOutcome: map[uint64]func(agreement.Outcome){}, generations: map[agreement.Digest]*generation{}}
	var err error
	a.fleet, err = fleet.Open(g.config.Agreement, a, g.peerLink, seed)
	return a, err
}

// Post runs f on the event loop.
func (a *fleetAgreement) Post(f func()) { a.g.post(f) }

// Now returns the gateway's monotonic time.
func (a *fleetAgreement) Now() int64 { return int64(a.g.clock.now()) }

// WakeAfter schedules a wake-up of the event loop.
func (a *fleetAgreement) WakeAfter(delay int64) {
	a.g.deadlines.Add(a.Now()+delay, timerEvent{kind: timerWake})
}

// Logger returns the gateway's logger.
func (a *fleetAgreement) Logger() *slog.Logger { return a.g.log }

// Outcome passes the result of a proposal to the callback that waits for it.
func (a *fleetAgreement) Outcome(no uint64, o agreement.Outcome) {
	if f := a.onOutcome[no]; f != nil {
		delete(a.onOutcome, no)
		f(o)
	}
}

// Prepare compiles the new texts of a manifest outside the event loop.
func (a *fleetAgreement) Prepare(manifest *agreement.Manifest) {
	prepared := &preparedManifest{revision: manifest.Revision}
	type compileTask struct {
		v    *agreement.Version
		text []byte
		to   **generation
	}
	var tasks []compileTask
	for _, s := range manifest.Subjects {
		if s.Name != SubjectRoutes {
			continue
		}
		for _, x := range []struct {
			v  *agreement.Version
			to **generation
		}{{s.InForce, &prepared.inForce}, {s.Next, &prepared.next}} {
			if x.v == nil {
				continue
			}
			if s.Step > 0 { // during a canary rollout only one of the two applies to this gateway
				if inCanary := s.InCanary(a.fleet.Self()); inCanary != (x.v == s.Next) {
					continue
				}
				x.to = &prepared.inForce
			}
			if known := a.generations[x.v.Digest]; known != nil {
				*x.to = known
				continue
			}
			tasks = append(tasks, compileTask{x.v, a.fleet.Text(x.v.Digest), x.to})
		}
	}
	if len(tasks) == 0 {
		a.prepared = prepared
		return
	}
	environment := a.g.generations.environment()
	go func() {
		compiled := map[agreement.Digest]*generation{}
		var err error
		for _, t := range tasks {
			var d *routes.Document
			if d, err = a.g.config.Parse(t.text); err != nil {
				break
			}
			var x *generation
			var findings []routes.Finding
			if x, findings, err = compileChange(Change{Document: d, Digest: digestOf(t.v.Digest), Text: t.text}, environment); err != nil {
				err = fmt.Errorf("%w: %v", err, findings)
				break
			}
			x.fleetVersion, x.watchDuration = t.v.No, t.v.WatchDuration
			compiled[t.v.Digest] = x
			*t.to = x
		}
		a.g.post(func() {
			if err != nil { // the gateway keeps its current version; once its lease has expired it rejects what needs an agreement
				a.g.log.Error("a version of the fleet can't be taken by this gateway", "why", err)
				return
			}
			if !a.fleet.IsPending(prepared.revision) { // a newer manifest arrived in the meantime
				return
			}
			for d, x := range compiled {
				a.generations[d] = x
			}
			a.prepared = prepared
		})
	}()
}

// digestOf shortens a digest to a non-zero number.
func digestOf(d agreement.Digest) (n uint64) {
	for _, b := range d[:8] {
		n = n<<8 | uint64(b)
	}
	return max(1, n)
}

// processDecisions puts a prepared manifest in force and processes the decisions of the agreement module.
func (a *fleetAgreement) processDecisions() {
	a.fleet.ProcessDecisions()
	gs := a.g.generations
	if p := a.prepared; p != nil && !a.fleet.IsPending(p.revision) {
		a.prepared = nil
	} else if p != nil {
		target := p.inForce
		if target == nil {
			target = gs.byNo[0]
		}
		if gs.inForce != target && !p.staged {
			p.staged = true
			if target.no != 0 && gs.byNo[target.no] == nil || target.no == 0 && p.inForce != nil {
				a.previous = gs.inForce
				_ = gs.module.KeepWithReason(rollout.ByFleet) // the fleet has moved on: end the watch of the former version
				if _, err := gs.stage(target, Change{Digest: target.digest, WatchDuration: target.watchDuration, Reapply: true}); err != nil {
					a.g.log.Error("a version of the fleet is not taken", "why", err)
				}
			}
			gs.processDecisions()
		}
		if gs.inForce == target {
			gs.setPending(p.next)
			a.prepared = nil
			if a.g.sessions != nil {
				a.g.sessions.SetMembership(a.fleet.Pending())
			}
			a.fleet.Adopt(p.revision)
			a.dropUnused(p)
			a.logVersions(p)
			a.fleet.ProcessDecisions()
		}
	}
	a.reportEnded()
	if leaseExpired := a.hasManifest && a.Now() >= a.fleet.LeaseUntil(); leaseExpired != a.leaseExpired {
		a.leaseExpired = leaseExpired
		a.g.log.Info("agreement", "careful", leaseExpired, "version", a.versionInForce())
	}
}

// reportEnded proposes ProcessEnded once this gateway was removed from the list and has no unanswered write of a session.
// Until then the other gateways query it for the writes that it recorded. Only a restart brings it back into the list.
func (a *fleetAgreement) reportEnded() {
	if a.reportedEnded || !a.fleet.Removed() {
		return
	}
	for _, ref := range a.g.txns.Refs() {
		if t := a.g.txns.Get(ref); t.writes && t.session != 0 && !t.answered {
			return
		}
	}
	no, err := a.fleet.Propose(agreement.Proposal{Leave: a.fleet.Self(), ProcessEnded: true}, nil, proposalTimeout)
	if err != nil {
		return
	}
	a.reportedEnded = true
	a.onOutcome[no] = func(o agreement.Outcome) { a.reportedEnded = o.Done || !o.Retry }
}

// logVersions logs the versions in force and next when they have changed.
func (a *fleetAgreement) logVersions(p *preparedManifest) {
	if !a.hasManifest {
		a.hasManifest = true
	}
	next := uint64(0)
	if p.next != nil {
		next = p.next.fleetVersion
	}
	if now := [2]uint64{a.versionInForce(), next}; now != a.loggedVersions {
		a.loggedVersions = now
		a.g.log.Info("version of the fleet", "in_force", now[0], "next", next)
	}
}

func (a *fleetAgreement) versionInForce() uint64 { return a.g.generations.inForce.fleetVersion }

// dropUnused removes the generations that are neither in force nor next.
func (a *fleetAgreement) dropUnused(p *preparedManifest) {
	for d, x := range a.generations {
		if x != p.inForce && x != p.next {
			delete(a.generations, d)
		}
	}
}

// checkLease decides whether a txn may be decided by the version in force. Unless its tenant is served without an
// agreement, a pending version must have the same outcome for the txn, and if either version has a route for it, the lease
// must be valid. checkLease reads the clock itself, so that a gateway that was suspended notices an expired lease on its
// first decision.
func (a *fleetAgreement) checkLease(t *txn, request *routes.Txn, group int) (routes.RejectReason, int64) {
	maxDivergence := a.fleet.Config().Agreement.MaxDivergence()
	gs := a.g.generations
	servesByDefault := a.fleet.Config().ServeWithoutAgreement
	if !a.hasManifest {
		if servesByDefault {
			return routes.Allowed, 0
		}
		a.g.counts.unagreed++
		return routes.AgreementUnavailable, maxDivergence
	}
	sameOutcome, routed := true, t.route.Route >= 0
	if next := gs.pending; next != nil {
		nextMatch := routes.Match{Route: -1, Type: int32(request.Type), Tenant: -1}
		if next.table != nil {
			nextMatch = next.table.Lookup(request)
		}
		sameOutcome, routed = routes.SameOutcome(gs.inForce.table, t.route, next.table, nextMatch, group), routed || nextMatch.Route >= 0
		t.nextTenant = nextMatch.Tenant
	}
	if sameOutcome && (!routed || a.Now() < a.fleet.LeaseUntil()) || gs.inForce.table.ServesWithoutAgreement(t.route.Tenant, servesByDefault) {
		return routes.Allowed, 0
	}
	a.g.counts.unagreed++
	return routes.AgreementUnavailable, maxDivergence
}

// Stats holds a gateway's counters and its status in the fleet; Fleet is nil without an agreement.
type Stats struct {
	Accepted, Rejected, RolledBack, Withdrawn, NoAgreement int // txns since the start
	Outcomes                                               Outcomes
	Fleet                                                  *fleet.Status
}

// Stats returns a snapshot of the counters.
func (g *Gateway) Stats(ctx context.Context) (*Stats, error) {
	var stats Stats
	err := g.inLoop(ctx, func() error {
		c := &g.counts
		stats = Stats{Accepted: c.taken, Rejected: c.declined, RolledBack: c.rolledBack, Withdrawn: c.withdrawn, NoAgreement: c.unagreed, Outcomes: g.outcomes.snapshot()}
		if g.agreement != nil {
			s := g.agreement.fleet.Status()
			stats.Fleet = &s
		}
		return nil
	})
	return &stats, err
}

// ready reports whether clients may connect: once the agreed version is known, or the startup wait has passed.
func (a *fleetAgreement) ready() bool {
	known := a.hasManifest && (a.g.sessions == nil || a.g.sessions.Module.AcceptsSessionWrites())
	return known || a.fleet.Config().ServeWithoutAgreement || a.g.clock.elapsed() > time.Duration(a.fleet.Config().Agreement.StartupWait())
}

// proposeAndWait submits a proposal to the fleet and waits for its outcome.
func (g *Gateway) proposeAndWait(ctx context.Context, f func() (agreement.Proposal, []byte, error)) (o agreement.Outcome, err error) {
	done := make(chan agreement.Outcome, 1)
	err = g.inLoop(ctx, func() error {
		if g.agreement == nil {
			return errors.New("this gateway agrees on nothing with others: its operator's file has no block agreement")
		}
		proposal, text, err := f()
		if err != nil {
			return err
		}
		no, err := g.agreement.fleet.Propose(proposal, text, proposalTimeout)
		if err == nil {
			g.agreement.onOutcome[no] = func(o agreement.Outcome) { done <- o }
		}
		return err
	})
	if err != nil {
		return o, err
	}
	select {
	case o = <-done:
	case <-ctx.Done():
		return o, ctx.Err()
	}
	if !o.Done {
		return o, errors.New(o.Reason)
	}
	return o, nil
}

// versionProposal makes a change the version that follows the last one known here.
func (a *fleetAgreement) versionProposal(c Change) (agreement.Proposal, []byte, error) {
	version := agreement.Version{Subject: SubjectRoutes, Author: c.Author, ProposedAt: time.Now().UnixNano(), Reason: c.Reason, FormatVersion: c.Document.RequiredFormat(), WatchDuration: c.WatchDuration}
	var previous *routes.Document
	for _, s := range a.fleet.Manifest().Subjects {
		if s.Name != SubjectRoutes {
			continue
		}
		version.Predecessor = s.LastVersion
		for _, x := range []*agreement.Version{s.InForce, s.Next} {
			if x != nil {
				if g := a.generations[x.Digest]; g != nil {
					previous = g.document
				}
			}
		}
	}
	if !a.hasManifest {
		return agreement.Proposal{}, nil, errors.New("this gateway does not hold what the fleet agreed on yet")
	}
	if version.Conflicts = routes.Conflicts(previous, c.Document); len(version.Conflicts) == 0 {
		version.CanaryFraction = a.fleet.Config().CanaryFraction
	}
	return agreement.Proposal{Version: &version}, c.Text, nil
}

// inCanary reports whether this gateway runs a version as part of its canary rollout.
func (a *fleetAgreement) inCanary(x *generation) bool {
	for _, s := range a.fleet.Manifest().Subjects {
		if s.Name == SubjectRoutes && s.InCanary(a.fleet.Self()) && s.Next.No == x.fleetVersion {
			return true
		}
	}
	return false
}

// reportHealthy reports that the watch of a version ended and the version is healthy.
func (a *fleetAgreement) reportHealthy(x *generation) {
	if x != nil && x.fleetVersion != 0 {
		a.fleet.ReportHealthy(x.fleetVersion)
	}
}

// emptyDocument is the text of a document without rules, under which the platform's settings apply. It is
// sent to the fleet and stored.
const emptyDocument = "# all is as the platform says\n"

// proposeUndo proposes to revert a version, because the health of this gateway worsened under it or an operator asks for
// it. The version stays in force until that is agreed on, so that no two gateways act on different versions.
func (a *fleetAgreement) proposeUndo(x *generation) {
	text, previous := []byte(emptyDocument), (*routes.Document)(nil)
	if a.previous != nil && a.previous.text != nil {
		text, previous = a.previous.text, a.previous.document
	}
	reason := "watched"
	if finished := a.g.generations.module.Status().Finished; len(finished) > 0 {
		reason = string(finished[len(finished)-1].Why) + finished[len(finished)-1].Text
	}
	proposal := agreement.Proposal{Abort: &agreement.Abort{Subject: SubjectRoutes, No: x.fleetVersion, Reason: "gateway " + a.g.config.Name + ": " + reason}}
	version := agreement.Version{Subject: SubjectRoutes, Predecessor: x.fleetVersion, Reverts: x.fleetVersion, Author: "gateway " + a.g.config.Name,
		ProposedAt: time.Now().UnixNano(), Reason: reason, FormatVersion: previous.RequiredFormat(), Conflicts: routes.Conflicts(x.document, previous)}
	if !a.inCanary(x) {
		proposal = agreement.Proposal{Version: &version}
	} else {
		text = nil
	}
	no, err := a.fleet.Propose(proposal, text, proposalTimeout)
	if err != nil {
		a.g.log.Error("a version is not undone", "version", x.fleetVersion, "why", err)
		return
	}
	a.onOutcome[no] = func(o agreement.Outcome) {
		a.g.log.Info("undo of a version", "version", x.fleetVersion, "agreed", o.Done, "why", o.Reason)
	}
}

// BootstrapFleet starts a new fleet with this gateway as its only voter.
func (g *Gateway) BootstrapFleet(ctx context.Context) error {
	return g.inLoop(ctx, func() error {
		if g.agreement == nil {
			return errors.New("its operator's file has no block agreement")
		}
		return g.agreement.fleet.Bootstrap()
	})
}

// ProposeToFleet proposes to remove a gateway from the list, or to add or remove a voter.
func (g *Gateway) ProposeToFleet(ctx context.Context, proposal agreement.Proposal) error {
	_, err := g.proposeAndWait(ctx, func() (agreement.Proposal, []byte, error) { return proposal, nil, nil })
	return err
}

// FleetStatus returns this gateway's status in the fleet, nil without an agreement. With a survey it also returns what the
// voters know of the other gateways, which takes several round trips.
func (g *Gateway) FleetStatus(ctx context.Context, withSurvey bool) (status *fleet.Status, err error) {
	err = g.inLoop(ctx, func() error {
		if g.agreement != nil {
			x := g.agreement.fleet.Status()
			status = &x
			if withSurvey {
				g.agreement.fleet.Survey()
			}
		}
		return nil
	})
	for done := !withSurvey || status == nil; !done && err == nil; {
		time.Sleep(surveyPollInterval)
		err = g.inLoop(ctx, func() error {
			status.Leases, done = g.agreement.fleet.SurveyResult()
			return nil
		})
	}
	return status, err
}

// Restore proposes the text of a former version as a new version.
func (g *Gateway) Restore(ctx context.Context, no uint64, who string) (rollout.Generation, error) {
	var text []byte
	err := g.inLoop(ctx, func() error {
		if g.agreement == nil {
			return errors.New("this gateway agrees on nothing with others")
		}
		for _, s := range g.agreement.fleet.Status().History {
			if v := s.Version(no); s.Name == SubjectRoutes && v != nil {
				text = g.agreement.fleet.Text(v.Digest)
			}
		}
		if text == nil {
			return fmt.Errorf("version %d is not kept here; ask a gateway that votes, its history lists what is", no)
		}
		return nil
	})
	if err != nil {
		return 0, err
	}
	d, err := g.config.Parse(text)
	if err != nil {
		return 0, err
	}
	n, _, err := g.Apply(ctx, Change{Document: d, Text: text, Author: who, Reason: fmt.Sprintf("version %d again", no)})
	return n, err
}
