package fleet

import (
	"log/slog"
	"maps"
	"net/netip"
	"slices"

	"golang.org/x/sys/unix"

	"magpieglade/internal/peerwire"
)

// Peers words what sessions tell other gateways, by their numbers, and sends it. It belongs to the event loop.
type Peers struct {
	Wire         *peerwire.Codec
	link         *Datagrams
	to           map[int]*unix.SockaddrInet4
	numbers      []int // of the others, in order
	out          []byte
	log          *slog.Logger
	causes, next map[error]int // of what was refused; at which count it is logged
	lost         uint64        // that could not be sent at once
}

// NewPeers sends and reads by one wire. List tells whom it may send to.
func NewPeers(wire *peerwire.Codec, link *Datagrams, log *slog.Logger) *Peers {
	return &Peers{Wire: wire, link: link, log: log, causes: map[error]int{}, next: map[error]int{}}
}

// List is this gateway's number and the addresses of the others, by theirs.
func (p *Peers) List(self int, others map[int]netip.AddrPort) {
	p.Wire.SetSender(self)
	p.to = map[int]*unix.SockaddrInet4{}
	for n, a := range others {
		p.to[n] = &unix.SockaddrInet4{Port: int(a.Port()), Addr: a.Addr().As4()}
	}
	p.numbers = slices.Sorted(maps.Keys(others))
}

// Others are the numbers of the other gateways, in order.
func (p *Peers) Others() []int { return p.numbers }

// Read reads a message. Refused ones are logged by cause: the first, the tenth, the hundredth and so on.
func (p *Peers) Read(text []byte) (m peerwire.Message, ok bool) {
	m, cause := p.Wire.Read(text)
	if cause == nil {
		return m, true
	}
	p.causes[cause]++
	if n := p.causes[cause]; n == p.next[cause] || n == 1 {
		p.next[cause] = n * 10
		p.log.Warn("message between gateways refused", "why", cause, "so_many", n, "read", p.Wire.Counts.Read)
	}
	return m, false
}

// Send writes a message to a gateway, without waiting.
func (p *Peers) Send(to int, m *peerwire.Message) {
	at := p.to[to]
	var err error
	if p.out, err = p.Wire.Append(p.out[:0], m); err != nil || at == nil || !p.link.Send(p.out, at) {
		p.lost++
	}
}
