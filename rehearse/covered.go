package rehearse

import (
	"magpieglade/decide"
	"magpieglade/rehearse/audit"
	"magpieglade/session"
)

// Sources of the position that a session's read must see.
const (
	Brought            = "brought" // the position that its client carries
	maxCoveredGateways = 20        // largest fleet that uses the covered source by default
)

// sessionHost hosts the session module of a gateway.
type sessionHost struct {
	gateway     *simGateway
	module      *session.Sessions
	fenceSource int
	busy        bool
}

// newSessionHost returns nil where clients carry their positions.
func newSessionHost(n *simGateway) (*sessionHost, error) {
	w := n.w
	if w.scenario.Sessions == Brought || w.scenario.Policy != PolicyDecide {
		return nil, nil
	}
	t := session.DefaultConfig()
	t.Self, t.FleetSize, t.Source = n.index, len(w.gateways), session.FloorSource(w.scenario.Sessions)
	w.lastEpoch++
	m, err := session.New(t, w.scenario.Seed+uint64(n.index), w.lastEpoch)
	if err != nil {
		return nil, err
	}
	h := &sessionHost{gateway: n, module: m}
	m.SetTime(w.Now)
	return h, nil
}

// step passes an input to the module and executes its decisions.
func (h *sessionHost) step(input func()) {
	h.module.SetTime(h.gateway.w.Now)
	input()
	if h.busy {
		return
	}
	h.busy = true
	run := h.gateway.incarnation
	for h.gateway.incarnation == run {
		d, ok := h.module.Next()
		if !ok {
			break
		}
		h.execute(&d)
	}
	h.busy = false
}

func (h *sessionHost) execute(d *session.Decision) {
	n, w, run := h.gateway, h.gateway.w, h.gateway.incarnation
	alive := func(n *simGateway, run int) bool { return n.up && n.incarnation == run }
	switch d.Kind {
	case session.Serve:
		if t := n.open[d.ReadID]; t != nil {
			t.floor = int64(d.Floor)
			n.route(t)
		}
	case session.Refuse:
		n.respond(n.open[d.ReadID], audit.Declined, 0, 0, d.Delay)
	case session.Fence:
		server, ok := n.module.PositionSource(d.Group, h.fenceSource)
		if !ok {
			h.module.FenceFailed(d.Group, d.RequestID)
			return
		}
		ended := false
		group, no := d.Group, d.RequestID
		end := func(report []float64) {
			if ended || !alive(n, run) {
				return
			}
			ended = true
			h.step(func() {
				if len(report) > 1 && report[1] == 1 {
					h.module.FenceCompleted(group, no, session.Position(report[0]*1e9))
					return
				}
				h.fenceSource++
				if len(report) > 1 {
					h.module.RecordMemberPosition(group, session.Position(report[0]*1e9))
				}
				h.module.FenceFailed(group, no)
			})
		}
		w.After(session.DefaultConfig().FenceTimeout, func() { end(nil) })
		n.sendProbe(w.databaseFor(server), func(_ decide.Result, report []float64) { end(report) })
	case session.RequestEntries, session.SendEntries:
		to, page, no, isRequest := w.gateways[d.Peer], d.Page, d.RequestID, d.Kind == session.RequestEntries
		if w.lostBetween(n.index, to.index) {
			return
		}
		w.send(n.zone, to.zone, func() {
			if !to.up || to.sessions == nil {
				return
			}
			to.sessions.step(func() {
				if isRequest {
					to.sessions.module.HandleRequest(n.index, no, page.Epoch, page.Last)
				} else {
					to.sessions.module.HandlePage(n.index, no, page)
				}
			})
		})
	case session.Wake:
		w.After(max(1, d.Delay), func() {
			if alive(n, run) {
				h.step(func() {})
			}
		})
	case session.Log:
		w.logf("gateway %d: %s", n.index, d.Text)
	}
}
