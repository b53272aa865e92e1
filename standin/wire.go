package standin

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Network is the network between gateways. Each gateway is reached at an address of the network, which
// forwards datagrams to the gateway's own address or, by sender and receiver, drops, delays or duplicates
// them. Datagrams are sent from the sender's address on the network, so that replies take the same way.
type Network struct {
	mu             sync.Mutex
	rng            *rand.Rand
	endpoints      []*endpoint
	blocked        map[[2]int]bool
	lossRatio      float64
	maxDelay       time.Duration
	duplicateRatio float64
}

// endpoint is one gateway's connection to the network.
type endpoint struct {
	conn    *net.UDPConn
	gateway netip.AddrPort // where the gateway listens
}

// NewNetwork creates a network; seed determines the random faults.
func NewNetwork(seed uint64) *Network {
	return &Network{rng: rand.New(rand.NewPCG(seed, 2)), blocked: map[[2]int]bool{}}
}

// Join connects a gateway, given its own listening address, and returns its address on the network.
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

// forward forwards the datagrams for a gateway.
func (w *Network) forward(to int, conn *net.UDPConn) {
	buf := make([]byte, 1<<16)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		w.mu.Lock()
		sender := -1
		for i, p := range w.endpoints {
			if p.gateway == from {
				sender = i
			}
		}
		lost := sender < 0 || w.blocked[[2]int{sender, to}] || w.rng.Float64() < w.lossRatio
		copies, delay := 1, time.Duration(w.rng.Float64()*float64(w.maxDelay))
		if w.rng.Float64() < w.duplicateRatio {
			copies = 2
		}
		if lost {
			w.mu.Unlock()
			continue
		}
		out, at := w.endpoints[sender].conn, net.UDPAddrFromAddrPort(w.endpoints[to].gateway)
		w.mu.Unlock()
		payload := append([]byte(nil), buf[:n]...)
		deliver := func() {
			for range copies {
				_, _ = out.WriteToUDP(payload, at)
			}
		}
		if delay > 0 {
			time.AfterFunc(delay, deliver)
		} else {
			deliver()
		}
	}
}

// Block drops all datagrams from one gateway to another, or stops doing so.
func (w *Network) Block(from, to int, on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.blocked[[2]int{from, to}] = on
}

// Isolate blocks a gateway and all others from each other, or stops doing so.
func (w *Network) Isolate(gateway int, on bool) {
	for i := range w.endpoints {
		w.Block(i, gateway, on)
		w.Block(gateway, i, on)
	}
}

// Partition blocks the gateways below an index and the others from each other, or stops doing so.
func (w *Network) Partition(upTo int, on bool) {
	for i := range w.endpoints {
		for k := range w.endpoints {
			if i < upTo != (k < upTo) {
				w.Block(i, k, on)
			}
		}
	}
}

// SetFaults makes the network drop and duplicate fractions of the datagrams, and delay each by up to a
// duration.
func (w *Network) SetFaults(lossRatio, duplicateRatio float64, maxDelay time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lossRatio, w.duplicateRatio, w.maxDelay = lossRatio, duplicateRatio, maxDelay
}

// Close closes the network.
func (w *Network) Close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range w.endpoints {
		_ = p.conn.Close()
	}
}
