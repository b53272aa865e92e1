package gateway

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"

	"magpieglade/internal/peerwire"
	"magpieglade/rollout"
	"magpieglade/routes"
)

// SpreadPlan says how a change that is applied at one gateway goes to the others. It needs the list of gateways in
// SessionPlan.
type SpreadPlan struct {
	Share   float64                                     // of the others that get it before all do
	GoOn    bool                                        // without gateways that can't be reached; else they hold it back
	Silence int64                                       // nanoseconds after which one is out of reach
	Parse   func(text []byte) (*routes.Document, error) // of a change's text
}

func (p *SpreadPlan) check(s *SessionPlan) error {
	switch {
	case s == nil || len(s.Gateways) < 2:
		return errors.New("spread: changes need other gateways to go to (sessions.peers.gateways)")
	case p.Share <= 0 || p.Share > 1:
		return errors.New("spread: share is lacking or out of range")
	case p.Silence <= 0:
		return errors.New("spread: silence is lacking or out of range")
	case p.Parse == nil:
		return errors.New("spread: there is no parser of changes")
	}
	return nil
}

// spread is the host of the module that spreads changes. It belongs to the loop.
type spread struct {
	g       *Gateway
	plan    *SpreadPlan
	module  *rollout.Fleet
	taken   uint64 // the change of another gateway that was proposed here
	ours    uint64 // the one that is spread from here, until all have heard its end
	unsaved bool   // that they have
}

func newSpread(g *Gateway, p *SpreadPlan, s *SessionPlan) *spread {
	return &spread{g: g, plan: p, module: rollout.NewFleet(rollout.FleetTerms{Self: s.Terms.Self, Fleet: s.Terms.Fleet,
		Epoch: g.clock.began.UnixNano(), Share: p.Share, GoOn: p.GoOn, Silence: p.Silence})}
}

// lead has a change go to all gateways, once it is well here.
func (s *spread) lead(c rollout.Change, text []byte) error {
	s.module.Clock(int64(s.g.clock.now()))
	if err := s.module.Lead(c, text); err != nil {
		return err
	}
	s.ours, s.taken = c.Digest, 0
	return nil
}

// resume goes on to tell what a former run of this gateway led and kept.
func (s *spread) resume(digest uint64, text []byte) {
	s.module.Clock(int64(s.g.clock.now()))
	if err := s.module.Resume(digest, text); err != nil {
		s.g.log.Error("the kept change is not told to the other gateways", "why", err)
		return
	}
	s.ours = digest
	s.g.log.Info("the kept change is told to the other gateways")
}

// heard tells the module what another gateway said.
func (s *spread) heard(m *peerwire.Message) {
	s.module.Clock(int64(s.g.clock.now()))
	switch m.Type {
	case peerwire.Offer:
		kept := s.g.generations.inForce
		o := rollout.Offer{Round: m.No, Digest: m.Epoch, Watch: int64(m.Last), Size: int(uint32(m.First)),
			Want: rollout.Want(m.First >> 32), Again: m.First>>40&1 == 1}
		if len(m.Text) == 8 {
			o.Sum = binary.BigEndian.Uint64(m.Text)
		}
		here := kept.digest == o.Digest && s.g.generations.module.Status().Kept == kept.no
		s.module.Offered(m.From, o, here)
	case peerwire.Fetch:
		s.module.Fetched(m.From, m.No, int(m.First))
	case peerwire.Page:
		s.module.Page(m.From, m.No, int(m.First), m.Text)
	case peerwire.Report:
		s.module.Reported(m.From, m.No, rollout.Standing(m.First), string(m.Text))
	}
}

// stands tells the module how the rollout here stands to the change that is under way. What is not yet saved is not so.
func (s *spread) stands() {
	d := s.module.Busy()
	if d == 0 || s.g.generations.saving || d != s.ours && d != s.taken {
		return
	}
	standing, why := s.g.generations.module.Stands(d)
	s.module.Stands(d, standing, why)
}

// carryOut does what the module decides until there is nothing left.
func (s *spread) carryOut() {
	s.module.Clock(int64(s.g.clock.now()))
	s.stands()
	for d, ok := s.module.Next(); ok; d, ok = s.module.Next() {
		r := s.g.generations.module
		switch d.Kind {
		case rollout.SendOffer:
			first := uint64(uint32(d.Offer.Size)) | uint64(d.Offer.Want)<<32
			if d.Offer.Again {
				first |= 1 << 40
			}
			s.send(d.To, peerwire.Message{Type: peerwire.Offer, No: d.Offer.Round, Epoch: d.Offer.Digest, Last: uint64(d.Offer.Watch),
				First: first, Text: binary.BigEndian.AppendUint64(nil, d.Offer.Sum)})
		case rollout.SendFetch:
			s.send(d.To, peerwire.Message{Type: peerwire.Fetch, No: d.Round, First: uint64(d.Offset)})
		case rollout.SendPage:
			s.send(d.To, peerwire.Message{Type: peerwire.Page, No: d.Round, First: uint64(d.Offset), Text: d.Text})
		case rollout.SendReport:
			s.send(d.To, peerwire.Message{Type: peerwire.Report, No: d.Round, First: uint64(d.Standing), Text: []byte(d.Words)})
		case rollout.Take:
			s.take(d)
		case rollout.KeepHeld:
			if standing, _ := r.Stands(d.Digest); standing == rollout.Trying || standing == rollout.Well {
				_ = r.KeepBy(rollout.ByFleet)
			}
		case rollout.UndoHeld:
			_ = r.UndoBy(rollout.ByFleet, d.Digest, words(d.Words)) // one that has ended by itself is as wished
		case rollout.Told:
			s.ours, s.unsaved = 0, true
		case rollout.FleetWake:
			s.g.deadlines.Add(int64(s.g.clock.now())+d.After, due{kind: dueWake})
		case rollout.FleetLog:
			s.g.log.Info(d.Words)
		}
	}
	if s.unsaved && !s.g.generations.saving {
		s.unsaved = false
		s.g.generations.save()
	}
}

func words(text string) string {
	if text == "" {
		return ""
	}
	return ": " + text
}

func (s *spread) send(to int, m peerwire.Message) { s.g.sessions.peers.send(to, &m) }

// take checks a change of another gateway beside the loop, as one that is asked for here, and proposes it.
func (s *spread) take(d rollout.FleetDecision) {
	s.taken = 0
	w := s.g.generations.world()
	c := Change{Digest: d.Digest, Text: d.Text, Watch: d.Offer.Watch, Again: d.Offer.Again}
	go func() {
		var x *generation
		var findings []routes.Finding
		document, err := s.plan.Parse(c.Text)
		if c.Document = document; err == nil {
			x, findings, err = compiled(c, w)
		}
		s.g.post(func() { s.took(x, c, findings, err) })
	}()
}

func (s *spread) took(x *generation, c Change, findings []routes.Finding, err error) {
	s.module.Clock(int64(s.g.clock.now()))
	for _, f := range findings {
		s.g.log.Warn("change of another gateway", "finding", f.Error())
	}
	if err == nil && s.module.Busy() != c.Digest {
		return // it was undone meanwhile
	}
	if err == nil {
		s.g.generations.module.Clock(int64(s.g.clock.now()))
		_, err = s.g.generations.propose(x, c, true)
	}
	if err != nil {
		if len(findings) > 0 {
			err = fmt.Errorf("%s", findings[0].Error())
		}
		s.module.Refuse(c.Digest, err.Error())
		return
	}
	s.taken = c.Digest
}

// Spread is how the change stands that goes to all gateways, or the last one that did.
type Spread struct {
	rollout.FleetStatus
	Gateways []string
}

// Spread tells it; nil where there was none.
func (g *Gateway) Spread(ctx context.Context) (all *Spread, err error) {
	err = g.inLoop(ctx, func() error {
		if g.spread == nil {
			return nil
		}
		if st, ok := g.spread.module.Status(); ok {
			all = &Spread{FleetStatus: st}
			for _, x := range g.sessions.plan.Gateways {
				all.Gateways = append(all.Gateways, x.String())
			}
		}
		return nil
	})
	return all, err
}
