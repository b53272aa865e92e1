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
	gateway *simGateway
	module  *session.Sessions
	busy    bool
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
		h.fence(d)
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

// fence routes the read of a fence to its group's primary, or queries a member that may be the primary.
func (h *sessionHost) fence(d *session.Decision) {
	n, run := h.gateway, h.gateway.incarnation
	server, isPrimary, ok := n.module.PositionSource(d.Group)
	t := n.open[d.ReadID]
	if !ok || t == nil {
		h.module.FenceFailed(d.Group, d.RequestID)
		return
	}
	if isPrimary {
		h.module.ReadRouted(d.ReadID)
		t.fenceRequest = d.RequestID
		n.route(t)
		return
	}
	ended := false
	end := func(report []float64) {
		if ended || !n.up || n.incarnation != run {
			return
		}
		ended = true
		h.step(func() {
			if len(report) > 1 { // it may be older than the query: it bounds no read
				h.module.RecordMemberPosition(d.Group, session.Position(report[0]*1e9))
			}
			h.module.FenceFailed(d.Group, d.RequestID)
		})
	}
	n.w.After(session.DefaultConfig().FenceTimeout, func() { end(nil) })
	n.sendProbe(n.w.databaseFor(server), func(_ decide.Result, report []float64) { end(report) })
}

// fenceEnded reports to the session module how the read of a fence ended: position is that of the primary that answered
// it, 0 if none did.
func (h *sessionHost) fenceEnded(t *txn, position int64) {
	request := t.fenceRequest
	t.fenceRequest = 0
	h.step(func() {
		if position > 0 {
			h.module.FenceCompleted(h.gateway.groupOf(t), request, session.Position(position))
		} else {
			h.module.FenceFailed(h.gateway.groupOf(t), request)
		}
	})
}
