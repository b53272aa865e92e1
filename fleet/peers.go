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
	Codec               *peerwire.Codec
	datagrams           *Datagrams
	addresses           map[int]*unix.SockaddrInet4
	numbers             []int // of the others, in order
	buffer              []byte
	log                 *slog.Logger
	refusals, nextLogAt map[error]int // of what was refused; at which count it is logged
	dropped             uint64        // that could not be sent at once
}

// NewPeers sends and reads by one wire. List tells whom it may send to.
func NewPeers(codec *peerwire.Codec, link *Datagrams, log *slog.Logger) *Peers {
	return &Peers{Codec: codec, datagrams: link, log: log, refusals: map[error]int{}, nextLogAt: map[error]int{}}
}

// List is this gateway's number and the addresses of the others, by theirs.
func (p *Peers) SetPeers(self int, others map[int]netip.AddrPort) {
	p.Codec.SetSender(self)
	p.addresses = map[int]*unix.SockaddrInet4{}
	for n, a := range others {
		p.addresses[n] = &unix.SockaddrInet4{Port: int(a.Port()), Addr: a.Addr().As4()}
	}
	p.numbers = slices.Sorted(maps.Keys(others))
}

// Others are the numbers of the other gateways, in order.
func (p *Peers) Numbers() []int { return p.numbers }

// Read reads a message. Refused ones are logged by cause: the first, the tenth, the hundredth and so on.
func (p *Peers) Read(data []byte) (m peerwire.Message, ok bool) {
	m, cause := p.Codec.Read(data)
	if cause == nil {
		return m, true
	}
	p.refusals[cause]++
	if n := p.refusals[cause]; n == p.nextLogAt[cause] || n == 1 {
		p.nextLogAt[cause] = n * 10
		p.log.Warn("message between gateways refused", "why", cause, "so_many", n, "read", p.Codec.Counts.Read)
	}
	return m, false
}

// Send writes a message to a gateway, without waiting.
func (p *Peers) Send(to int, m *peerwire.Message) {
	address := p.addresses[to]
	var err error
	if p.buffer, err = p.Codec.Append(p.buffer[:0], m); err != nil || address == nil || !p.datagrams.Send(p.buffer, address) {
		p.dropped++
	}
}
