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

// SubjectRoutes is the subject of the operator's routes, tenants, limits and members by hand.
const SubjectRoutes = "routes"

// askPatience is how long a wish of an operator may take: some elections, within what the control socket waits.
const proposalTimeout = 9 * time.Second

// surveyLook is how often it is looked whether a survey is over.
const surveyPollInterval = 5 * time.Millisecond

// agreed is the gateway's part of what the fleet agrees on. It belongs to the loop.
type fleetAgreement struct {
	g              *Gateway
	fleet          *fleet.Fleet
	hasManifest    bool      // it has held something since its start
	reportedEnded  bool      // it was taken out, and has said that it answers no session's write
	loggedVersions [2]uint64 // versions, as logged: in force and next
	leaseExpired   bool      // as logged
	onOutcome      map[uint64]func(agreement.Outcome)
	prepared       *preparedManifest
	generations    map[agreement.Digest]*generation // by their texts, those that are alive
	previous       *generation                      // that was in force before the one that is
}

// prepared is a manifest whose texts are compiled, and which is not yet in force here.
type preparedManifest struct {
	revision      uint64
	inForce, next *generation
	staged        bool
}

func openFleetAgreement(g *Gateway, seed uint64) (*fleetAgreement, error) {
	a := &fleetAgreement{g: g, onOutcome: map[uint64]func(agreement.Outcome){}, generations: map[agreement.Digest]*generation{}}
	var err error
	a.fleet, err = fleet.Open(g.config.Agreement, a, g.link, seed)
	return a, err
}

// Post, Now, WakeAfter and Logger are for fleet.Host.
func (a *fleetAgreement) Post(f func()) { a.g.post(f) }

// Now is the gateway's clock.
func (a *fleetAgreement) Now() int64 { return int64(a.g.clock.now()) }

// WakeAfter has a turn come.
func (a *fleetAgreement) WakeAfter(delay int64) {
	a.g.deadlines.Add(a.Now()+delay, due{kind: dueWake})
}

// Logger is the gateway's.
func (a *fleetAgreement) Logger() *slog.Logger { return a.g.log }

// Outcome tells whoever asked.
func (a *fleetAgreement) Outcome(no uint64, o agreement.Outcome) {
	if f := a.onOutcome[no]; f != nil {
		delete(a.onOutcome, no)
		f(o)
	}
}

// Prepare compiles what is new of a manifest beside the loop.
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
			if s.Step > 0 { // of a version that is tried by steps one of both holds here, not both
				if tries := s.InCanary(a.fleet.Self()); tries != (x.v == s.Next) {
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
			if err != nil { // it stays with what it holds, and is careful once its lease has run out
				a.g.log.Error("a version of the fleet can't be taken by this gateway", "why", err)
				return
			}
			if !a.fleet.IsPending(prepared.revision) { // it took longer than what came after it
				return
			}
			for d, x := range compiled {
				a.generations[d] = x
			}
			a.prepared = prepared
		})
	}()
}

func digestOf(d agreement.Digest) (n uint64) {
	for _, b := range d[:8] {
		n = n<<8 | uint64(b)
	}
	return max(1, n)
}

// carryOut puts what was prepared in force, and does what the module decides.
func (a *fleetAgreement) processDecisions() {
	a.fleet.ProcessDecisions()
	gs := a.g.generations
	if p := a.prepared; p != nil && !a.fleet.IsPending(p.revision) {
		a.prepared = nil
	} else if p != nil {
		want := p.inForce
		if want == nil {
			want = gs.byNo[0]
		}
		if gs.inForce != want && !p.staged {
			p.staged = true
			if want.no != 0 && gs.byNo[want.no] == nil || want.no == 0 && p.inForce != nil {
				a.previous = gs.inForce
				_ = gs.module.KeepWithReason(rollout.ByFleet) // what is still watched is over: the fleet has gone on
				if _, err := gs.stage(want, Change{Digest: want.digest, WatchDuration: want.watchDuration, Reapply: true}); err != nil {
					a.g.log.Error("a version of the fleet is not taken", "why", err)
				}
			}
			gs.processDecisions()
		}
		if gs.inForce == want {
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
	if careful := a.hasManifest && a.Now() >= a.fleet.LeaseUntil(); careful != a.leaseExpired {
		a.leaseExpired = careful
		a.g.log.Info("agreement", "careful", careful, "version", a.versionInForce())
	}
}

// ends says, once it was taken out of the list and answers no session's write any more, that it has ended to the others:
// until then they ask it what it noted. It comes back into the list by a start alone.
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

// forget drops what is no longer alive.
func (a *fleetAgreement) dropUnused(p *preparedManifest) {
	for d, x := range a.generations {
		if x != p.inForce && x != p.next {
			delete(a.generations, d)
		}
	}
}

// may tells whether a txn may be decided by the version in force: whether this gateway may act on it, and, where another
// one is on its way, whether both come to the same. It looks at the clock itself: a gateway that stood still is careful
// from its first decision on.
func (a *fleetAgreement) checkLease(t *txn, x *routes.Txn, group int) (routes.RejectReason, int64) {
	stated := a.fleet.Config().Agreement.MaxDivergence()
	gs := a.g.generations
	usual := a.fleet.Config().ServeWithoutAgreement
	if !a.hasManifest {
		if usual {
			return routes.Allowed, 0
		}
		a.g.counts.unagreed++
		return routes.AgreementUnavailable, stated
	}
	alike, ruled := true, t.route.Route >= 0
	if n := gs.pending; n != nil {
		y := routes.Match{Route: -1, Type: int32(x.Type), Tenant: -1}
		if n.table != nil {
			y = n.table.Lookup(x)
		}
		alike, ruled = routes.SameOutcome(gs.inForce.table, t.route, n.table, y, group), ruled || y.Route >= 0
		t.alsoTenant = y.Tenant
	}
	if alike && (!ruled || a.Now() < a.fleet.LeaseUntil()) || gs.inForce.table.ServesWithoutAgreement(t.route.Tenant, usual) {
		return routes.Allowed, 0
	}
	a.g.counts.unagreed++
	return routes.AgreementUnavailable, stated
}

// Figures are what a gateway counts, and how it stands to its fleet, nil where it agrees on nothing.
type Stats struct {
	Accepted, Rejected, RolledBack, Withdrawn, NoAgreement int // txns of its whole life
	Outcomes                                               Outcomes
	Fleet                                                  *fleet.Status
}

// Figures tells them.
func (g *Gateway) Stats(ctx context.Context) (*Stats, error) {
	var stats Stats
	err := g.inLoop(ctx, func() error {
		c := &g.counts
		stats = Stats{Accepted: c.taken, Rejected: c.declined, RolledBack: c.rolledBack, Withdrawn: c.withdrawn, NoAgreement: c.unagreed, Outcomes: g.outcomes.snapshot()}
		if g.agreed != nil {
			s := g.agreed.fleet.Status()
			stats.Fleet = &s
		}
		return nil
	})
	return &stats, err
}

// ready tells whether clients may come: not before it knows what holds, or has asked for it long enough.
func (a *fleetAgreement) ready() bool {
	known := a.hasManifest && (a.g.sessions == nil || a.g.sessions.Module.AcceptsSessionWrites())
	return known || a.fleet.Config().ServeWithoutAgreement || a.g.clock.passed() > time.Duration(a.fleet.Config().Agreement.StartupWait())
}

// ask has the fleet agree on something and waits for what becomes of it.
func (g *Gateway) proposeAndWait(ctx context.Context, f func() (agreement.Proposal, []byte, error)) (o agreement.Outcome, err error) {
	done := make(chan agreement.Outcome, 1)
	err = g.inLoop(ctx, func() error {
		if g.agreed == nil {
			return errors.New("this gateway agrees on nothing with others: its operator's file has no block agreement")
		}
		w, text, err := f()
		if err != nil {
			return err
		}
		no, err := g.agreed.fleet.Propose(w, text, proposalTimeout)
		if err == nil {
			g.agreed.onOutcome[no] = func(o agreement.Outcome) { done <- o }
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

// propose has the fleet agree on a change as the version that follows the one held here.
func (a *fleetAgreement) versionProposal(c Change) (agreement.Proposal, []byte, error) {
	v := agreement.Version{Subject: SubjectRoutes, Author: c.Author, ProposedAt: time.Now().UnixNano(), Reason: c.Reason, FormatVersion: c.Document.RequiredFormat(), WatchDuration: c.WatchDuration}
	var before *routes.Document
	for _, s := range a.fleet.Manifest().Subjects {
		if s.Name != SubjectRoutes {
			continue
		}
		v.Predecessor = s.LastVersion
		for _, x := range []*agreement.Version{s.InForce, s.Next} {
			if x != nil {
				if g := a.generations[x.Digest]; g != nil {
					before = g.document
				}
			}
		}
	}
	if !a.hasManifest {
		return agreement.Proposal{}, nil, errors.New("this gateway does not hold what the fleet agreed on yet")
	}
	if v.Conflicts = routes.Conflicts(before, c.Document); len(v.Conflicts) == 0 {
		v.CanaryFraction = a.fleet.Config().CanaryFraction
	}
	return agreement.Proposal{Version: &v}, c.Text, nil
}

// tries tells whether a version is tried here by steps.
func (a *fleetAgreement) inCanary(x *generation) bool {
	for _, s := range a.fleet.Manifest().Subjects {
		if s.Name == SubjectRoutes && s.InCanary(a.fleet.Self()) && s.Next.No == x.fleetVersion {
			return true
		}
	}
	return false
}

// kept tells that the watch of a version is over, and that it is well.
func (a *fleetAgreement) reportHealthy(x *generation) {
	if x != nil && x.fleetVersion != 0 {
		a.fleet.ReportHealthy(x.fleetVersion)
	}
}

// nothing is the text of all as the platform says.
const emptyDocument = "# all is as the platform says\n"

// undo has the fleet agree on what was in force before a version, as this gateway's health speaks against that one, or an
// operator does. Until it is agreed the version stays: two gateways act on one.
func (a *fleetAgreement) proposeUndo(x *generation) {
	text, before := []byte(emptyDocument), (*routes.Document)(nil)
	if a.previous != nil && a.previous.text != nil {
		text, before = a.previous.text, a.previous.document
	}
	why := "watched"
	if all := a.g.generations.module.Status().Finished; len(all) > 0 {
		why = string(all[len(all)-1].Why) + all[len(all)-1].Text
	}
	wish := agreement.Proposal{Abort: &agreement.Abort{Subject: SubjectRoutes, No: x.fleetVersion, Reason: "gateway " + a.g.config.Name + ": " + why}}
	v := agreement.Version{Subject: SubjectRoutes, Predecessor: x.fleetVersion, Reverts: x.fleetVersion, Author: "gateway " + a.g.config.Name,
		ProposedAt: time.Now().UnixNano(), Reason: why, FormatVersion: before.RequiredFormat(), Conflicts: routes.Conflicts(x.document, before)}
	if !a.inCanary(x) {
		wish = agreement.Proposal{Version: &v}
	} else {
		text = nil
	}
	no, err := a.fleet.Propose(wish, text, proposalTimeout)
	if err != nil {
		a.g.log.Error("a version is not undone", "version", x.fleetVersion, "why", err)
		return
	}
	a.onOutcome[no] = func(o agreement.Outcome) {
		a.g.log.Info("undo of a version", "version", x.fleetVersion, "agreed", o.Done, "why", o.Reason)
	}
}

// FoundFleet begins a fleet with this gateway as its one voter.
func (g *Gateway) BootstrapFleet(ctx context.Context) error {
	return g.inLoop(ctx, func() error {
		if g.agreed == nil {
			return errors.New("its operator's file has no block agreement")
		}
		return g.agreed.fleet.Bootstrap()
	})
}

// AskFleet has the fleet take a gateway out of its list, or let one vote or no longer.
func (g *Gateway) ProposeToFleet(ctx context.Context, w agreement.Proposal) error {
	_, err := g.proposeAndWait(ctx, func() (agreement.Proposal, []byte, error) { return w, nil, nil })
	return err
}

// Fleet tells how this gateway stands to the fleet, nil where it agrees on nothing; with all also what voters know of the
// other gateways, which takes some ways there and back.
func (g *Gateway) FleetStatus(ctx context.Context, withSurvey bool) (status *fleet.Status, err error) {
	err = g.inLoop(ctx, func() error {
		if g.agreed != nil {
			x := g.agreed.fleet.Status()
			status = &x
			if withSurvey {
				g.agreed.fleet.Survey()
			}
		}
		return nil
	})
	for done := !withSurvey || status == nil; !done && err == nil; {
		time.Sleep(surveyPollInterval)
		err = g.inLoop(ctx, func() error {
			status.Leases, done = g.agreed.fleet.SurveyResult()
			return nil
		})
	}
	return status, err
}

// Restore has the fleet agree on the text of a former version again.
func (g *Gateway) Restore(ctx context.Context, no uint64, who string) (rollout.Generation, error) {
	var text []byte
	err := g.inLoop(ctx, func() error {
		if g.agreed == nil {
			return errors.New("this gateway agrees on nothing with others")
		}
		for _, s := range g.agreed.fleet.Status().History {
			if v := s.Version(no); s.Name == SubjectRoutes && v != nil {
				text = g.agreed.fleet.Text(v.Digest)
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
