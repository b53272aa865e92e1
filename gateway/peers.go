package gateway

import (
	"log/slog"

	"golang.org/x/sys/unix"

	"magpieglade/fleet"
	"magpieglade/internal/peerwire"
)

// peers words what sessions tell other gateways, by their places in the list, and sends it.
type peers struct {
	link         *fleet.Datagrams
	wire         *peerwire.Wire
	to           []unix.SockaddrInet4
	out          []byte
	log          *slog.Logger
	causes, next map[error]int // of what was refused; at which count it is logged
	lost         uint64        // that could not be sent at once
}

func newPeers(p *SessionPlan, run uint32, link *fleet.Datagrams, log *slog.Logger) (*peers, error) {
	wire, err := peerwire.New(p.Terms.Self, p.fleet(), run, p.keys())
	if err != nil {
		return nil, err
	}
	ps := &peers{link: link, wire: wire, log: log, causes: map[error]int{}, next: map[error]int{}}
	for _, g := range p.Gateways {
		ps.to = append(ps.to, unix.SockaddrInet4{Port: int(g.Port()), Addr: g.Addr().As4()})
	}
	return ps, nil
}

// refused logs what was refused, by cause: the first, the tenth, the hundredth and so on.
func (p *peers) refused(cause error) {
	p.causes[cause]++
	if n := p.causes[cause]; n == p.next[cause] || n == 1 {
		p.next[cause] = n * 10
		p.log.Warn("message between gateways refused", "why", cause, "so_many", n, "read", p.wire.Counts.Read)
	}
}

// send writes a message to a gateway, without waiting.
func (p *peers) send(to int, m *peerwire.Message) {
	var err error
	if p.out, err = p.wire.Append(p.out[:0], m); err != nil || to < 0 || to >= len(p.to) || !p.link.Send(p.out, &p.to[to]) {
		p.lost++
	}
}
