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
type Network struct {
	mu             sync.Mutex
	rng            *rand.Rand
	endpoints      []*endpoint
	blocked        map[[2]int]bool
	lossRatio      float64
	maxDelay       time.Duration
	duplicateRatio float64
}

// port is one gateway's place on it.
type endpoint struct {
	conn    *net.UDPConn
	gateway netip.AddrPort // where the gateway listens
}

// NewWire makes a wire; seed is of what is lost.
func NewNetwork(seed uint64) *Network {
	return &Network{rng: rand.New(rand.NewPCG(seed, 2)), blocked: map[[2]int]bool{}}
}

// Join gives a gateway that listens at an address of its own one on the wire, the next place.
func (w *Network) Join(own string) (address string) {
	at := netip.MustParseAddrPort(own)
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 5)})
	if err != nil {
		panic(err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	to := len(w.endpoints)
	w.endpoints = append(w.endpoints, &endpoint{conn, at})
	go w.forward(to, conn)
	return conn.LocalAddr().String()
}

// carry passes on what comes for a gateway.
func (w *Network) forward(to int, conn *net.UDPConn) {
	buf := make([]byte, 1<<16)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		w.mu.Lock()
		by := -1
		for i, p := range w.endpoints {
			if p.gateway == from {
				by = i
			}
		}
		lost := by < 0 || w.blocked[[2]int{by, to}] || w.rng.Float64() < w.lossRatio
		times, delay := 1, time.Duration(w.rng.Float64()*float64(w.maxDelay))
		if w.rng.Float64() < w.duplicateRatio {
			times = 2
		}
		if lost {
			w.mu.Unlock()
			continue
		}
		out, at := w.endpoints[by].conn, net.UDPAddrFromAddrPort(w.endpoints[to].gateway)
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
func (w *Network) Block(from, to int, on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.blocked[[2]int{from, to}] = on
}

// Part cuts a gateway off from all others and them from it, or joins them again.
func (w *Network) Isolate(gateway int, on bool) {
	for i := range w.endpoints {
		w.Block(i, gateway, on)
		w.Block(gateway, i, on)
	}
}

// Halves cuts two groups from each other: those up to a place, and the others.
func (w *Network) Partition(upTo int, on bool) {
	for i := range w.endpoints {
		for k := range w.endpoints {
			if i < upTo != (k < upTo) {
				w.Block(i, k, on)
			}
		}
	}
}

// Rough has a share of datagrams lost, some come twice, and all late by up to a span.
func (w *Network) SetFaults(loss, twice float64, late time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lossRatio, w.duplicateRatio, w.maxDelay = loss, twice, late
}

// Close ends it.
func (w *Network) Close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range w.endpoints {
		_ = p.conn.Close()
	}
}
