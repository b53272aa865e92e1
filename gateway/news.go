package gateway

import (
	"magpieglade/decide"
	"magpieglade/internal/peerwire"
	"magpieglade/session"
)

// Positions of members go between gateways beside what sessions need. A member is named by the list's name for it,
// which is the same everywhere, as its address may not be; its entry's group guards against two with one mark.
const (
	replicaPosition = 1
	primaryPosition = 2
)

// tellNews tells all other gateways what the module has learned of members. Who the list no longer names has no name.
func (g *Gateway) sendUpdates(updates []decide.MemberUpdate) {
	var entries []peerwire.Entry
	for _, update := range updates {
		for _, h := range g.discovery.list.hosts {
			if h.server != update.Server {
				continue
			}
			e := peerwire.Entry{Kind: replicaPosition, Group: uint16(h.entry.Block), Key: h.key, Position: int64(g.position(update.Position))}
			if update.Primary {
				e.Kind = primaryPosition
			}
			entries = append(entries, e)
			break
		}
	}
	g.sessions.SendPositions(entries)
}

// heardNews has the module told, in the next turn, what another gateway learned. Where clocks may differ a word on a
// role cannot be told from a later one and is left out; a position holds whenever it was.
// ReceivePositions is for fleet.SessionHost.
func (x sessionTxns) ReceivePositions(entries []peerwire.Entry) { x.g.receiveUpdates(entries) }

func (g *Gateway) receiveUpdates(entries []peerwire.Entry) {
	if !g.config.Sessions.SharePositions {
		return
	}
	for _, e := range entries {
		for _, h := range g.discovery.list.hosts {
			if h.key != e.Key || h.entry.Block != int(e.Group) {
				continue
			}
			in := input{kind: inMemberUpdate, server: h.server, position: g.onClock(session.Position(e.Position))}
			if e.Kind == primaryPosition && g.config.ClockError == 0 {
				in.role = decide.RolePrimary
			}
			g.inputs = append(g.inputs, in)
			break
		}
	}
}
