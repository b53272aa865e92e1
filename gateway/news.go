package gateway

import (
	"magpieglade/decide"
	"magpieglade/internal/peerwire"
	"magpieglade/session"
)

// Positions of members go between gateways beside what sessions need. A member is named by the list's name for it,
// which is the same everywhere, as its address may not be; its entry's group guards against two with one mark.
const (
	newsOfReplica = 1
	newsOfPrimary = 2
)

// tellNews tells all other gateways what the module has learned of members. Who the list no longer names has no name.
func (g *Gateway) tellNews(all []decide.MemberUpdate) {
	var entries []peerwire.Entry
	for _, n := range all {
		for _, h := range g.discovery.list.hosts {
			if h.server != n.Server {
				continue
			}
			e := peerwire.Entry{Kind: newsOfReplica, Group: uint16(h.entry.Block), Key: h.mark, Position: int64(g.sessionPosition(n.Position))}
			if n.Primary {
				e.Kind = newsOfPrimary
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
func (x sessionHost) ReceivePositions(entries []peerwire.Entry) { x.g.heardNews(entries) }

func (g *Gateway) heardNews(entries []peerwire.Entry) {
	if !g.config.Sessions.SharePositions {
		return
	}
	for _, e := range entries {
		for _, h := range g.discovery.list.hosts {
			if h.mark != e.Key || h.entry.Block != int(e.Group) {
				continue
			}
			in := input{kind: inNews, server: h.server, position: g.clockTime(session.Position(e.Position))}
			if e.Kind == newsOfPrimary && g.config.ClockError == 0 {
				in.role = decide.RolePrimary
			}
			g.inputs = append(g.inputs, in)
			break
		}
	}
}
