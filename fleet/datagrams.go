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

const (
	maxQueuedDatagrams = 4096 // waiting for the event loop
	maxDatagramSize    = 1401 // bytes
)

// Datagrams is the UDP socket on which this gateway exchanges datagrams with others. One goroutine reads and queues them
// for the event loop; a datagram that cannot be queued or sent immediately is dropped, as on any network.
type Datagrams struct {
	conn *net.UDPConn
	raw  interface {
		Write(func(uintptr) bool) error
	}
	readFailures atomic.Uint64
	mu           sync.Mutex
	received     []Datagram
	freeBuffers  [][]byte
	dropped      uint64 // received while the queue was full
}

// Datagram is a received datagram and its source address.
type Datagram struct {
	Data []byte
	From netip.AddrPort
}

// Listen binds an address. It must be called before clients are served: an earlier run that still holds the address would
// otherwise answer in place of this one.
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

// Receive reads datagrams until Close, and continues after failed reads. onReceive is called when a datagram enters the
// empty queue.
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
			var buffer []byte
			if k := len(d.freeBuffers); k > 0 {
				buffer, d.freeBuffers = d.freeBuffers[k-1], d.freeBuffers[:k-1]
			}
			d.received = append(d.received, Datagram{append(buffer[:0], buf[:n]...), from})
		} else {
			d.dropped++
		}
		d.mu.Unlock()
		if first {
			onReceive()
		}
	}
}

// Consume calls f for each queued datagram. f must not retain its data, which is reused.
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

// Send sends a datagram without blocking. It reports false if the datagram was dropped.
func (d *Datagrams) Send(data []byte, to *unix.SockaddrInet4) bool {
	var err error
	sent := d.raw.Write(func(fd uintptr) bool {
		err = unix.Sendto(int(fd), data, unix.MSG_DONTWAIT|unix.MSG_NOSIGNAL, to)
		return true
	})
	return err == nil && sent == nil
}

// Close closes the socket.
func (d *Datagrams) Close() { _ = d.conn.Close() }
