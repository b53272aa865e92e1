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
	mostWaiting  = 4096
	mostDatagram = 1401
)

// Datagrams is the address at which other gateways reach this one. One goroutine reads and leaves what came for the
// loop; a datagram that can't be taken or sent at once is lost, as on any network.
type Datagrams struct {
	conn *net.UDPConn
	raw  interface {
		Write(func(uintptr) bool) error
	}
	failures atomic.Uint64 // reads
	mu       sync.Mutex
	came     []Datagram
	spare    [][]byte
	over     uint64 // that came while too many waited
}

// Datagram is one, and where it came from.
type Datagram struct {
	Text []byte
	From netip.AddrPort
}

// Listen takes an address, before anybody is served: a former run that still holds it would else answer for this one.
func Listen(at netip.AddrPort) (*Datagrams, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
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
func (d *Datagrams) Receive(arrived func()) {
	buf := make([]byte, mostDatagram)
	var pause neterr.Backoff
	for {
		n, from, err := d.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			d.failures.Add(1)
			time.Sleep(pause.Next())
			continue
		}
		pause.Reset()
		d.mu.Lock()
		first := len(d.came) == 0
		if len(d.came) < mostWaiting {
			var text []byte
			if k := len(d.spare); k > 0 {
				text, d.spare = d.spare[k-1], d.spare[:k-1]
			}
			d.came = append(d.came, Datagram{append(text[:0], buf[:n]...), from})
		} else {
			d.over++
		}
		d.mu.Unlock()
		if first {
			arrived()
		}
	}
}

// Take hands out what came; none of it may be kept.
func (d *Datagrams) Take(f func(Datagram)) {
	d.mu.Lock()
	came := d.came
	d.came = nil
	d.mu.Unlock()
	for _, x := range came {
		f(x)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, x := range came {
		if len(d.spare) < mostWaiting/4 {
			d.spare = append(d.spare, x.Text)
		}
	}
}

// Send writes one without waiting; false is that it is lost already.
func (d *Datagrams) Send(text []byte, to *unix.SockaddrInet4) bool {
	var err error
	sent := d.raw.Write(func(fd uintptr) bool {
		err = unix.Sendto(int(fd), text, unix.MSG_DONTWAIT|unix.MSG_NOSIGNAL, to)
		return true
	})
	return err == nil && sent == nil
}

// Close gives the address back.
func (d *Datagrams) Close() { _ = d.conn.Close() }
