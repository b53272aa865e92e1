package fleet

import (
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"magpieglade/internal/neterr"
)

// mostWaiting is how many datagrams wait for the loop at the most, and mostDatagram how long each may be.
const (
	maxQueuedDatagrams = 4096
	maxDatagramSize    = 1401
)

// Datagrams is the address at which other gateways reach this one. One goroutine reads and leaves what came for the
// loop; a datagram that can't be taken or sent at once is lost, as on any network.
type Datagrams struct {
	conn *net.UDPConn
	raw  interface {
		Write(func(uintptr) bool) error
	}
	readFailures atomic.Uint64 // reads
	mu           sync.Mutex
	received     []Datagram
	freeBuffers  [][]byte
	dropped      uint64 // that came while too many waited
}

// Datagram is one, and where it came from.
type Datagram struct {
	Data []byte
	From netip.AddrPort
}

// Listen takes an address, before anybody is served: a former run that still holds it would else answer for this one.
func Listen(address netip.AddrPort) (*Datagrams, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return &Datagrams{conn: conn, raw: raw}, nil
}

// Receive reads until the address is given back, whatever single reads come to. arrived is called when the first of what waits has come.
func (d *Datagrams) Receive(onReceive func()) {
	buf := make([]byte, maxDatagramSize)
	var backoff neterr.Backoff
	for {
		n, from, err := d.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			d.readFailures.Add(1)
			time.Sleep(backoff.Next())
			continue
		}
		backoff.Reset()
		d.mu.Lock()
		first := len(d.received) == 0
		if len(d.received) < maxQueuedDatagrams {
			var text []byte
			if k := len(d.freeBuffers); k > 0 {
				text, d.freeBuffers = d.freeBuffers[k-1], d.freeBuffers[:k-1]
			}
			d.received = append(d.received, Datagram{append(text[:0], buf[:n]...), from})
		} else {
			d.dropped++
		}
		d.mu.Unlock()
		if first {
			onReceive()
		}
	}
}

// Take hands out what came; none of it may be kept.
func (d *Datagrams) Consume(f func(Datagram)) {
	d.mu.Lock()
	received := d.received
	d.received = nil
	d.mu.Unlock()
	for _, x := range received {
		f(x)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, x := range received {
		if len(d.freeBuffers) < maxQueuedDatagrams/4 {
			d.freeBuffers = append(d.freeBuffers, x.Data)
		}
	}
}

// Send writes one without waiting; false is that it is lost already.
func (d *Datagrams) Send(data []byte, to *unix.SockaddrInet4) bool {
	var err error
	sent := d.raw.Write(func(fd uintptr) bool {
		err = unix.Sendto(int(fd), data, unix.MSG_DONTWAIT|unix.MSG_NOSIGNAL, to)
		return true
	})
	return err == nil && sent == nil
}

// Close gives the address back.
func (d *Datagrams) Close() { _ = d.conn.Close() }
