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
const askPatience = 9 * time.Second

// surveyLook is how often it is looked whether a survey is over.
const surveyLook = 5 * time.Millisecond

// agreed is the gateway's part of what the fleet agrees on. It belongs to the loop.
type agreed struct {
	g         *Gateway
	f         *fleet.Fleet
	held      bool      // it has held something since its start
	saidEnded bool      // it was taken out, and has said that it answers no session's write
	logged    [2]uint64 // versions, as logged: in force and next
	careful   bool      // as logged
	waits     map[uint64]func(agreement.Outcome)
	prepared  *prepared
	known     map[agreement.Digest]*generation // by their texts, those that are alive
	former    *generation                      // that was in force before the one that is
}

// prepared is a manifest whose texts are compiled, and which is not yet in force here.
type prepared struct {
	stamp         uint64
	inForce, next *generation
	staged        bool
}

func openAgreed(g *Gateway, seed uint64) (*agreed, error) {
	a := &agreed{g: g, waits: map[uint64]func(agreement.Outcome){}, known: map[agreement.Digest]*generation{}}
	var err error
	a.f, err = fleet.Open(g.config.Agreement, a, g.peerLink, seed)
	return a, err
}

// Post, Now, WakeAfter and Logger are for fleet.Host.
func (a *agreed) Post(f func()) { a.g.post(f) }

// Now is the gateway's clock.
func (a *agreed) Now() int64 { return int64(a.g.clock.now()) }

// WakeAfter has a turn come.
func (a *agreed) WakeAfter(span int64) {
	a.g.deadlines.Add(a.Now()+span, timerEvent{kind: timerWake})
}

// Logger is the gateway's.
func (a *agreed) Logger() *slog.Logger { return a.g.log }

// Outcome tells whoever asked.
func (a *agreed) Outcome(no uint64, o agreement.Outcome) {
	if f := a.waits[no]; f != nil {
		delete(a.waits, no)
		f(o)
	}
}

// Prepare compiles what is new of a manifest beside the loop.
func (a *agreed) Prepare(m *agreement.Manifest) {
	p := &prepared{stamp: m.Revision}
	type todo struct {
		v    *agreement.Version
		text []byte
		to   **generation
	}
	var all []todo
	for _, s := range m.Subjects {
		if s.Name != SubjectRoutes {
			continue
		}
		for _, x := range []struct {
			v  *agreement.Version
			to **generation
		}{{s.InForce, &p.inForce}, {s.Next, &p.next}} {
			if x.v == nil {
				continue
			}
			if s.Step > 0 { // of a version that is tried by steps one of both holds here, not both
				if tries := s.InCanary(a.f.Self()); tries != (x.v == s.Next) {
					continue
				}
				x.to = &p.inForce
			}
			if known := a.known[x.v.Digest]; known != nil {
				*x.to = known
				continue
			}
			all = append(all, todo{x.v, a.f.Text(x.v.Digest), x.to})
		}
	}
	if len(all) == 0 {
		a.prepared = p
		return
	}
	w := a.g.generations.world()
	go func() {
		made := map[agreement.Digest]*generation{}
		var err error
		for _, t := range all {
			var d *routes.Document
			if d, err = a.g.config.Parse(t.text); err != nil {
				break
			}
			var x *generation
			var findings []routes.Finding
			if x, findings, err = compiled(Change{Document: d, Digest: digestOf(t.v.Digest), Text: t.text}, w); err != nil {
				err = fmt.Errorf("%w: %v", err, findings)
				break
			}
			x.version, x.watch = t.v.No, t.v.WatchDuration
			made[t.v.Digest] = x
			*t.to = x
		}
		a.g.post(func() {
			if err != nil { // it stays with what it holds, and is careful once its lease has run out
				a.g.log.Error("a version of the fleet can't be taken by this gateway", "why", err)
				return
			}
			if !a.f.IsPending(p.stamp) { // it took longer than what came after it
				return
			}
			for d, x := range made {
				a.known[d] = x
			}
			a.prepared = p
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
func (a *agreed) carryOut() {
	a.f.ProcessDecisions()
	gs := a.g.generations
	if p := a.prepared; p != nil && !a.f.IsPending(p.stamp) {
		a.prepared = nil
	} else if p != nil {
		want := p.inForce
		if want == nil {
			want = gs.all[0]
		}
		if gs.inForce != want && !p.staged {
			p.staged = true
			if want.no != 0 && gs.all[want.no] == nil || want.no == 0 && p.inForce != nil {
				a.former = gs.inForce
				_ = gs.module.KeepWithReason(rollout.ByFleet) // what is still watched is over: the fleet has gone on
				if _, err := gs.propose(want, Change{Digest: want.digest, Watch: want.watch, Again: true}); err != nil {
					a.g.log.Error("a version of the fleet is not taken", "why", err)
				}
			}
			gs.carryOut()
		}
		if gs.inForce == want {
			gs.tell(p.next)
			a.prepared = nil
			if a.g.sessions != nil {
				a.g.sessions.SetMembership(a.f.Pending())
			}
			a.f.Adopt(p.stamp)
			a.forget(p)
			a.log(p)
			a.f.ProcessDecisions()
		}
	}
	a.ends()
	if careful := a.held && a.Now() >= a.f.LeaseUntil(); careful != a.careful {
		a.careful = careful
		a.g.log.Info("agreement", "careful", careful, "version", a.version())
	}
}

// ends says, once it was taken out of the list and answers no session's write any more, that it has ended to the others:
// until then they ask it what it noted. It comes back into the list by a start alone.
func (a *agreed) ends() {
	if a.saidEnded || !a.f.Removed() {
		return
	}
	for _, ref := range a.g.txns.Refs() {
		if t := a.g.txns.Get(ref); t.writes && t.session != 0 && !t.answered {
			return
		}
	}
	no, err := a.f.Propose(agreement.Proposal{Leave: a.f.Self(), ProcessEnded: true}, nil, askPatience)
	if err != nil {
		return
	}
	a.saidEnded = true
	a.waits[no] = func(o agreement.Outcome) { a.saidEnded = o.Done || !o.Retry }
}

func (a *agreed) log(p *prepared) {
	if !a.held {
		a.held = true
	}
	next := uint64(0)
	if p.next != nil {
		next = p.next.version
	}
	if now := [2]uint64{a.version(), next}; now != a.logged {
		a.logged = now
		a.g.log.Info("version of the fleet", "in_force", now[0], "next", next)
	}
}

func (a *agreed) version() uint64 { return a.g.generations.inForce.version }

// forget drops what is no longer alive.
func (a *agreed) forget(p *prepared) {
	for d, x := range a.known {
		if x != p.inForce && x != p.next {
			delete(a.known, d)
		}
	}
}

// may tells whether a txn may be decided by the version in force: whether this gateway may act on it, and, where another
// one is on its way, whether both come to the same. It looks at the clock itself: a gateway that stood still is careful
// from its first decision on.
func (a *agreed) may(t *txn, x *routes.Txn, group int) (routes.RejectReason, int64) {
	stated := a.f.Config().Agreement.MaxDivergence()
	gs := a.g.generations
	usual := a.f.Config().ServeWithoutAgreement
	if !a.held {
		if usual {
			return routes.Allowed, 0
		}
		a.g.counts.unagreed++
		return routes.AgreementUnavailable, stated
	}
	alike, ruled := true, t.route.Route >= 0
	if n := gs.told; n != nil {
		y := routes.Match{Route: -1, Type: int32(x.Type), Tenant: -1}
		if n.table != nil {
			y = n.table.Lookup(x)
		}
		alike, ruled = routes.SameOutcome(gs.inForce.table, t.route, n.table, y, group), ruled || y.Route >= 0
		t.nextTenant = y.Tenant
	}
	if alike && (!ruled || a.Now() < a.f.LeaseUntil()) || gs.inForce.table.ServesWithoutAgreement(t.route.Tenant, usual) {
		return routes.Allowed, 0
	}
	a.g.counts.unagreed++
	return routes.AgreementUnavailable, stated
}

// Figures are what a gateway counts, and how it stands to its fleet, nil where it agrees on nothing.
type Figures struct {
	Taken, Declined, RolledBack, Withdrawn, Unagreed int // txns of its whole life
	Outcomes                                         Outcomes
	Fleet                                            *fleet.Status
}

// Figures tells them.
func (g *Gateway) Figures(ctx context.Context) (*Figures, error) {
	var f Figures
	err := g.inLoop(ctx, func() error {
		c := &g.counts
		f = Figures{Taken: c.taken, Declined: c.declined, RolledBack: c.rolledBack, Withdrawn: c.withdrawn, Unagreed: c.unagreed, Outcomes: g.outcomes.snapshot()}
		if g.agreement != nil {
			s := g.agreement.f.Status()
			f.Fleet = &s
		}
		return nil
	})
	return &f, err
}

// ready tells whether clients may come: not before it knows what holds, or has asked for it long enough.
func (a *agreed) ready() bool {
	known := a.held && (a.g.sessions == nil || a.g.sessions.Module.AcceptsSessionWrites())
	return known || a.f.Config().ServeWithoutAgreement || a.g.clock.elapsed() > time.Duration(a.f.Config().Agreement.StartupWait())
}

// ask has the fleet agree on something and waits for what becomes of it.
func (g *Gateway) ask(ctx context.Context, f func() (agreement.Proposal, []byte, error)) (o agreement.Outcome, err error) {
	done := make(chan agreement.Outcome, 1)
	err = g.inLoop(ctx, func() error {
		if g.agreement == nil {
			return errors.New("this gateway agrees on nothing with others: its operator's file has no block agreement")
		}
		w, text, err := f()
		if err != nil {
			return err
		}
		no, err := g.agreement.f.Propose(w, text, askPatience)
		if err == nil {
			g.agreement.waits[no] = func(o agreement.Outcome) { done <- o }
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
func (a *agreed) propose(c Change) (agreement.Proposal, []byte, error) {
	v := agreement.Version{Subject: SubjectRoutes, Author: c.Who, ProposedAt: time.Now().UnixNano(), Reason: c.Why, FormatVersion: c.Document.RequiredFormat(), WatchDuration: c.Watch}
	var before *routes.Document
	for _, s := range a.f.Manifest().Subjects {
		if s.Name != SubjectRoutes {
			continue
		}
		v.Predecessor = s.LastVersion
		for _, x := range []*agreement.Version{s.InForce, s.Next} {
			if x != nil {
				if g := a.known[x.Digest]; g != nil {
					before = g.document
				}
			}
		}
	}
	if !a.held {
		return agreement.Proposal{}, nil, errors.New("this gateway does not hold what the fleet agreed on yet")
	}
	if v.Conflicts = routes.Conflicts(before, c.Document); len(v.Conflicts) == 0 {
		v.CanaryFraction = a.f.Config().CanaryFraction
	}
	return agreement.Proposal{Version: &v}, c.Text, nil
}

// tries tells whether a version is tried here by steps.
func (a *agreed) tries(x *generation) bool {
	for _, s := range a.f.Manifest().Subjects {
		if s.Name == SubjectRoutes && s.InCanary(a.f.Self()) && s.Next.No == x.version {
			return true
		}
	}
	return false
}

// kept tells that the watch of a version is over, and that it is well.
func (a *agreed) kept(x *generation) {
	if x != nil && x.version != 0 {
		a.f.ReportHealthy(x.version)
	}
}

// nothing is the text of all as the platform says.
const nothing = "# all is as the platform says\n"

// undo has the fleet agree on what was in force before a version, as this gateway's health speaks against that one, or an
// operator does. Until it is agreed the version stays: two gateways act on one.
func (a *agreed) undo(x *generation) {
	text, before := []byte(nothing), (*routes.Document)(nil)
	if a.former != nil && a.former.text != nil {
		text, before = a.former.text, a.former.document
	}
	why := "watched"
	if all := a.g.generations.module.Status().Finished; len(all) > 0 {
		why = string(all[len(all)-1].Why) + all[len(all)-1].Text
	}
	wish := agreement.Proposal{Abort: &agreement.Abort{Subject: SubjectRoutes, No: x.version, Reason: "gateway " + a.g.config.Name + ": " + why}}
	v := agreement.Version{Subject: SubjectRoutes, Predecessor: x.version, Reverts: x.version, Author: "gateway " + a.g.config.Name,
		ProposedAt: time.Now().UnixNano(), Reason: why, FormatVersion: before.RequiredFormat(), Conflicts: routes.Conflicts(x.document, before)}
	if !a.tries(x) {
		wish = agreement.Proposal{Version: &v}
	} else {
		text = nil
	}
	no, err := a.f.Propose(wish, text, askPatience)
	if err != nil {
		a.g.log.Error("a version is not undone", "version", x.version, "why", err)
		return
	}
	a.waits[no] = func(o agreement.Outcome) {
		a.g.log.Info("undo of a version", "version", x.version, "agreed", o.Done, "why", o.Reason)
	}
}

// FoundFleet begins a fleet with this gateway as its one voter.
func (g *Gateway) FoundFleet(ctx context.Context) error {
	return g.inLoop(ctx, func() error {
		if g.agreement == nil {
			return errors.New("its operator's file has no block agreement")
		}
		return g.agreement.f.Bootstrap()
	})
}

// AskFleet has the fleet take a gateway out of its list, or let one vote or no longer.
func (g *Gateway) AskFleet(ctx context.Context, w agreement.Proposal) error {
	_, err := g.ask(ctx, func() (agreement.Proposal, []byte, error) { return w, nil, nil })
	return err
}

// Fleet tells how this gateway stands to the fleet, nil where it agrees on nothing; with all also what voters know of the
// other gateways, which takes some ways there and back.
func (g *Gateway) Fleet(ctx context.Context, all bool) (s *fleet.Status, err error) {
	err = g.inLoop(ctx, func() error {
		if g.agreement != nil {
			x := g.agreement.f.Status()
			s = &x
			if all {
				g.agreement.f.Survey()
			}
		}
		return nil
	})
	for over := !all || s == nil; !over && err == nil; {
		time.Sleep(surveyLook)
		err = g.inLoop(ctx, func() error {
			s.Leases, over = g.agreement.f.SurveyResult()
			return nil
		})
	}
	return s, err
}

// Restore has the fleet agree on the text of a former version again.
func (g *Gateway) Restore(ctx context.Context, no uint64, who string) (rollout.Generation, error) {
	var text []byte
	err := g.inLoop(ctx, func() error {
		if g.agreement == nil {
			return errors.New("this gateway agrees on nothing with others")
		}
		for _, s := range g.agreement.f.Status().History {
			if v := s.Version(no); s.Name == SubjectRoutes && v != nil {
				text = g.agreement.f.Text(v.Digest)
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
	n, _, err := g.Apply(ctx, Change{Document: d, Text: text, Who: who, Why: fmt.Sprintf("version %d again", no)})
	return n, err
}
