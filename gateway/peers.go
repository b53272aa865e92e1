package gateway

import (
	"log/slog"
	"net"
	"sync"

	"golang.org/x/sys/unix"

	"magpieglade/internal/peerwire"
)

// peers carries datagrams between gateways. One goroutine reads and leaves what came for the loop, which reads,
// authenticates and writes; a datagram that can't be taken or sent at once is lost, as on any network.
type peers struct {
	conn         *net.UDPConn
	raw          rawConn
	wire         *peerwire.Wire
	to           []unix.SockaddrInet4
	out          []byte
	log          *slog.Logger
	causes, next map[error]int // of what was refused; at which count it is logged
	lost         uint64        // that could not be sent at once
	mu           sync.Mutex
	came         [][]byte
	spare        [][]byte
	over         uint64 // that came while too many waited for the loop
}

type rawConn interface {
	Write(func(fd uintptr) bool) error
}

// mostWaiting is how many datagrams wait for the loop at the most.
const mostWaiting = 1024

// listenPeers takes the address at which other gateways reach this one, before it serves anybody: a former run that
// still holds it would else answer for this one.
func listenPeers(p *SessionPlan, run uint32, log *slog.Logger) (*peers, error) {
	wire, err := peerwire.New(p.Terms.Self, p.fleet(), run, p.keys())
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(p.Listen))
	if err != nil {
		return nil, err
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	ps := &peers{conn: conn, raw: raw, wire: wire, log: log, causes: map[error]int{}, next: map[error]int{}}
	for _, g := range p.Gateways {
		ps.to = append(ps.to, unix.SockaddrInet4{Port: int(g.Port()), Addr: g.Addr().As4()})
	}
	return ps, nil
}

// receive reads until the socket is closed. arrived is called when the first of what waits has come.
func (p *peers) receive(arrived func()) {
	buf := make([]byte, peerwire.MostMessage+1)
	for {
		n, _, err := p.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		p.mu.Lock()
		first := len(p.came) == 0
		if len(p.came) < mostWaiting {
			var text []byte
			if k := len(p.spare); k > 0 {
				text, p.spare = p.spare[k-1], p.spare[:k-1]
			}
			p.came = append(p.came, append(text[:0], buf[:n]...))
		} else {
			p.over++
		}
		p.mu.Unlock()
		if first {
			arrived()
		}
	}
}

// take hands out what came, each message read and authenticated.
func (p *peers) take(f func(peerwire.Message)) {
	p.mu.Lock()
	came := p.came
	p.came = nil
	p.mu.Unlock()
	for _, text := range came {
		m, err := p.wire.Read(text)
		if err != nil {
			p.refused(err)
			continue
		}
		f(m)
	}
	p.mu.Lock()
	p.spare = append(p.spare, came[:min(len(came), mostWaiting-len(p.spare))]...)
	p.mu.Unlock()
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
	if p.out, err = p.wire.Append(p.out[:0], m); err != nil || to < 0 || to >= len(p.to) {
		p.lost++
		return
	}
	sent := p.raw.Write(func(fd uintptr) bool {
		err = unix.Sendto(int(fd), p.out, unix.MSG_DONTWAIT|unix.MSG_NOSIGNAL, &p.to[to])
		return true
	})
	if err != nil || sent != nil {
		p.lost++
	}
}

func (p *peers) close() { _ = p.conn.Close() }
