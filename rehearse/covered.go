package rehearse

import (
	"magpieglade/decide"
	"magpieglade/rehearse/audit"
	"magpieglade/session"
)

// Sources of what a session's read must see.
const (
	Brought      = "brought" // by the position that its client carries
	usualCovered = 20        // gateways up to which it is what they told one another, where a scenario does not say
)

// sessionHost hosts the session module of a gateway.
type sessionHost struct {
	n      *node
	module *session.Sessions
	turns  int
	busy   bool
}

// newSessionHost makes one, or nil where clients bring their positions.
func newSessionHost(n *node) (*sessionHost, error) {
	w := n.w
	if w.s.Sessions == Brought || w.s.Policy != PolicyDecide {
		return nil, nil
	}
	t := session.DefaultConfig()
	t.Self, t.FleetSize, t.Source = n.no, len(w.nodes), session.FloorSource(w.s.Sessions)
	w.epochs++
	m, err := session.New(t, w.s.Seed+uint64(n.no), w.epochs)
	if err != nil {
		return nil, err
	}
	h := &sessionHost{n: n, module: m}
	m.SetTime(w.Now)
	return h, nil
}

// tell gives the module an input and carries out what it decides.
func (h *sessionHost) tell(input func()) {
	h.module.SetTime(h.n.w.Now)
	input()
	if h.busy {
		return
	}
	h.busy = true
	run := h.n.run
	for h.n.run == run {
		d, ok := h.module.Next()
		if !ok {
			break
		}
		h.carryOut(&d)
	}
	h.busy = false
}

func (h *sessionHost) carryOut(d *session.Decision) {
	n, w, run := h.n, h.n.w, h.n.run
	alive := func(n *node, run int) bool { return n.up && n.run == run }
	switch d.Kind {
	case session.Serve:
		if t := n.open[d.ReadID]; t != nil {
			t.floor = int64(d.Floor)
			n.route(t)
		}
	case session.Refuse:
		n.answer(n.open[d.ReadID], audit.Declined, 0, 0, d.Delay)
	case session.Fence:
		server, ok := n.module.PositionSource(d.Group, h.turns)
		if !ok {
			h.module.FenceFailed(d.Group, d.RequestID)
			return
		}
		over := false
		group, no := d.Group, d.RequestID
		end := func(report []float64) {
			if over || !alive(n, run) {
				return
			}
			over = true
			h.tell(func() {
				if len(report) > 1 && report[1] == 1 {
					h.module.FenceCompleted(group, no, session.Position(report[0]*1e9))
					return
				}
				h.turns++
				if len(report) > 1 {
					h.module.RecordMemberPosition(group, session.Position(report[0]*1e9))
				}
				h.module.FenceFailed(group, no)
			})
		}
		w.After(session.DefaultConfig().FenceTimeout, func() { end(nil) })
		n.ask(w.baseOf(server), func(_ decide.Result, report []float64) { end(report) })
	case session.RequestEntries, session.SendEntries:
		to, page, no, ask := w.nodes[d.Peer], d.Page, d.RequestID, d.Kind == session.RequestEntries
		if w.parts(n.no, to.no) {
			return
		}
		w.send(n.zone, to.zone, func() {
			if !to.up || to.sessions == nil {
				return
			}
			to.sessions.tell(func() {
				if ask {
					to.sessions.module.HandleRequest(n.no, no, page.Epoch, page.Last)
				} else {
					to.sessions.module.HandlePage(n.no, no, page)
				}
			})
		})
	case session.Wake:
		w.After(max(1, d.Delay), func() {
			if alive(n, run) {
				h.tell(func() {})
			}
		})
	case session.Log:
		w.said("gateway %d: %s", n.no, d.Text)
	}
}
