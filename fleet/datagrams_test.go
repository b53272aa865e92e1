package fleet

import (
	"net/netip"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// TestDatagramsSurviveFailedRead guards against a gateway that stops receiving datagrams for good after a failed read.
func TestDatagramsSurviveFailedRead(t *testing.T) {
	d, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	received, stopped := make(chan struct{}, 10), make(chan struct{})
	if err := d.conn.SetReadDeadline(time.Unix(1, 0)); err != nil { // each read fails until the deadline is cleared
		t.Fatal(err)
	}
	go func() {
		d.Receive(func() { received <- struct{}{} })
		close(stopped)
	}()
	for d.readFailures.Load() < 3 {
		select {
		case <-stopped:
			t.Fatal("Receive returned after a failed read")
		default:
		}
	}
	if err := d.conn.SetReadDeadline(time.Time{}); err != nil {
		t.Fatal(err)
	}
	address := d.conn.LocalAddr().String()
	to := netip.MustParseAddrPort(address)
	if !d.Send([]byte("word"), &unix.SockaddrInet4{Port: int(to.Port()), Addr: to.Addr().As4()}) {
		t.Fatal("datagram not sent")
	}
	select {
	case <-received:
	case <-time.After(20 * time.Second):
		t.Fatal("no datagram received")
	}
	d.Close()
	<-stopped
}
