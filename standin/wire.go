package standin

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Wire is the network between gateways. Each is reached at an address of the wire's, which passes datagrams on to the
// gateway's own, or does not: by sender and receiver they are lost, late, or come twice. What one sends comes from its
// address on the wire, so that answers take the same way.
type Wire struct {
	mu    sync.Mutex
	rng   *rand.Rand
	ports []*port
	cut   map[[2]int]bool
	loss  float64
	delay time.Duration
	twice float64
}

// port is one gateway's place on it.
type port struct {
	conn *net.UDPConn
	own  netip.AddrPort // where the gateway listens
}

// NewWire makes a wire; seed is of what is lost.
func NewWire(seed uint64) *Wire {
	return &Wire{rng: rand.New(rand.NewPCG(seed, 2)), cut: map[[2]int]bool{}}
}

// Join gives a gateway that listens at an address of its own one on the wire, the next place.
func (w *Wire) Join(own string) (address string) {
	at := netip.MustParseAddrPort(own)
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 5)})
	if err != nil {
		panic(err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	to := len(w.ports)
	w.ports = append(w.ports, &port{conn, at})
	go w.carry(to, conn)
	return conn.LocalAddr().String()
}

// carry passes on what comes for a gateway.
func (w *Wire) carry(to int, conn *net.UDPConn) {
	buf := make([]byte, 1<<16)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		w.mu.Lock()
		by := -1
		for i, p := range w.ports {
			if p.own == from {
				by = i
			}
		}
		lost := by < 0 || w.cut[[2]int{by, to}] || w.rng.Float64() < w.loss
		times, delay := 1, time.Duration(w.rng.Float64()*float64(w.delay))
		if w.rng.Float64() < w.twice {
			times = 2
		}
		if lost {
			w.mu.Unlock()
			continue
		}
		out, at := w.ports[by].conn, net.UDPAddrFromAddrPort(w.ports[to].own)
		w.mu.Unlock()
		text := append([]byte(nil), buf[:n]...)
		pass := func() {
			for range times {
				_, _ = out.WriteToUDP(text, at)
			}
		}
		if delay > 0 {
			time.AfterFunc(delay, pass)
		} else {
			pass()
		}
	}
}

// Cut has nothing of what one gateway sends reach another, or lets it through again.
func (w *Wire) Cut(from, to int, on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut[[2]int{from, to}] = on
}

// Part cuts a gateway off from all others and them from it, or joins them again.
func (w *Wire) Part(gateway int, on bool) {
	for i := range w.ports {
		w.Cut(i, gateway, on)
		w.Cut(gateway, i, on)
	}
}

// Halves cuts two groups from each other: those up to a place, and the others.
func (w *Wire) Halves(upTo int, on bool) {
	for i := range w.ports {
		for k := range w.ports {
			if i < upTo != (k < upTo) {
				w.Cut(i, k, on)
			}
		}
	}
}

// Rough has a share of datagrams lost, some come twice, and all late by up to a span.
func (w *Wire) Rough(loss, twice float64, late time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.loss, w.twice, w.delay = loss, twice, late
}

// Close ends it.
func (w *Wire) Close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range w.ports {
		_ = p.conn.Close()
	}
}
