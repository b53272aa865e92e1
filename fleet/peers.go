package fleet

import (
	"log/slog"
	"maps"
	"net/netip"
	"slices"

	"golang.org/x/sys/unix"

	"magpieglade/internal/peerwire"
)

// Peers encodes messages of sessions and exchanges them with other gateways, which it addresses by number. It must be used
// from the event loop only.
type Peers struct {
	Codec               *peerwire.Codec
	datagrams           *Datagrams
	addresses           map[int]*unix.SockaddrInet4
	numbers             []int // of the other gateways, sorted
	buffer              []byte
	log                 *slog.Logger
	refusals, nextLogAt map[error]int // by cause: number of rejected messages, and the count at which to log next
	dropped             uint64        // messages that could not be sent immediately
}

// NewPeers returns a Peers without addresses; SetPeers sets them.
func NewPeers(codec *peerwire.Codec, datagrams *Datagrams, log *slog.Logger) *Peers {
	return &Peers{Codec: codec, datagrams: datagrams, log: log, refusals: map[error]int{}, nextLogAt: map[error]int{}}
}

// SetPeers sets this gateway's number and the addresses of the others, keyed by their numbers.
func (p *Peers) SetPeers(self int, others map[int]netip.AddrPort) {
	p.Codec.SetSender(self)
	p.addresses = map[int]*unix.SockaddrInet4{}
	for n, a := range others {
		p.addresses[n] = &unix.SockaddrInet4{Port: int(a.Port()), Addr: a.Addr().As4()}
	}
	p.numbers = slices.Sorted(maps.Keys(others))
}

// Numbers returns the sorted numbers of the other gateways.
func (p *Peers) Numbers() []int { return p.numbers }

// Read decodes a message. Of the rejected messages of one cause the first, the tenth, the hundredth and so on are logged.
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

// Send sends a message to a gateway without blocking.
func (p *Peers) Send(to int, m *peerwire.Message) {
	address := p.addresses[to]
	var err error
	if p.buffer, err = p.Codec.Append(p.buffer[:0], m); err != nil || address == nil || !p.datagrams.Send(p.buffer, address) {
		p.dropped++
	}
}
