package gateway

import (
	"magpieglade/decide"
	"magpieglade/internal/peerwire"
	"magpieglade/session"
)

// Gateways exchange positions of members besides those that sessions need. A member is identified by the key of its name in
// the list, which is the same for all gateways, as its address may not be. The group guards against two members with one key.
const (
	replicaPosition = 1
	primaryPosition = 2
)

// sendUpdates sends to all other gateways what the module has learned about members. Members that are no longer in the list
// have no key and are left out.
func (g *Gateway) sendUpdates(updates []decide.MemberUpdate) {
	var entries []peerwire.Entry
	for _, update := range updates {
		for _, h := range g.discovery.list.hosts {
			if h.server != update.Server {
				continue
			}
			e := peerwire.Entry{Kind: replicaPosition, Group: uint16(h.entry.Block), Key: h.key, Position: int64(g.sessionPosition(update.Position))}
			if update.Primary {
				e.Kind = primaryPosition
			}
			entries = append(entries, e)
			break
		}
	}
	g.sessions.SendPositions(entries)
}

// ReceivePositions implements fleet.SessionHost.
func (x sessionHost) ReceivePositions(entries []peerwire.Entry) { x.g.receiveUpdates(entries) }

// receiveUpdates queues what another gateway learned as input for the module in the next turn. Where clocks may differ, an
// old report of a role cannot be distinguished from a later one, so the role is left out. A position remains valid.
func (g *Gateway) receiveUpdates(entries []peerwire.Entry) {
	if !g.config.Sessions.SharePositions {
		return
	}
	for _, e := range entries {
		for _, h := range g.discovery.list.hosts {
			if h.key != e.Key || h.entry.Block != int(e.Group) {
				continue
			}
			in := input{kind: inMemberUpdate, server: h.server, position: g.clockTime(session.Position(e.Position))}
			if e.Kind == primaryPosition && g.config.ClockError == 0 {
				in.role = decide.RolePrimary
			}
			g.inputs = append(g.inputs, in)
			break
		}
	}
}
