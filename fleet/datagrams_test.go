package fleet

import (
	"net/netip"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// TestDatagramsSurviveFailedRead guards against a gateway that never hears another one again once a read has failed.
func TestDatagramsSurviveFailedRead(t *testing.T) {
	d, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	received, stopped := make(chan struct{}, 10), make(chan struct{})
	if err := d.conn.SetReadDeadline(time.Unix(1, 0)); err != nil { // each read fails until it is taken back
		t.Fatal(err)
	}
	go func() {
		d.Receive(func() { received <- struct{}{} })
		close(stopped)
	}()
	for d.readFailures.Load() < 3 {
		select {
		case <-stopped:
			t.Fatal("it reads no more")
		default:
		}
	}
	if err := d.conn.SetReadDeadline(time.Time{}); err != nil {
		t.Fatal(err)
	}
	at := d.conn.LocalAddr().String()
	to := netip.MustParseAddrPort(at)
	if !d.Send([]byte("word"), &unix.SockaddrInet4{Port: int(to.Port()), Addr: to.Addr().As4()}) {
		t.Fatal("not sent")
	}
	select {
	case <-received:
	case <-time.After(20 * time.Second):
		t.Fatal("nothing came")
	}
	d.Close()
	<-stopped
}
