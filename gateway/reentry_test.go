package gateway

import (
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"magpieglade/internal/slots"
)

// awaitReset waits until the peer has reset a connection, without reading from it.
func awaitReset(t *testing.T, fd int) {
	t.Helper()
	for end := time.Now().Add(soonHeld); time.Now().Before(end); {
		state := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		if n, err := unix.Poll(state, 10); err == nil && n == 1 && state[0].Revents&(unix.POLLHUP|unix.POLLERR) != 0 {
			return
		}
	}
	t.Fatal("the reset did not come")
}

// TestAnswerToClientThatReset guards against decisions being carried out while a response is being written. The write finds
// that the client has reset its connection, and the request expires at that moment: the decision released the member
// connection from whose buffer the response was being read.
func TestAnswerToClientThatReset(t *testing.T) {
	t.Parallel()
	var expired atomic.Pointer[func() bool]
	d, m := newScript(t), newScript(t)
	began := time.Now()
	g, ended, stop := heldGatewayWith(t, func(c *Config) {
		c.Elapsed = func() time.Duration {
			if f := expired.Load(); f != nil && (*f)() {
				return time.Since(began) + time.Minute
			}
			return time.Since(began)
		}
	}, d, m.host("m", "active"))
	d.next(t).call(t)
	c := heldClient(t, g)
	c.ask("any", 9000)
	up := m.next(t)
	up.startup()
	up.ready()
	up.query()
	g.hold(func() {
		var request slots.Ref
		for _, ref := range g.txns.Refs() {
			request = ref
		}
		// The request expires at the moment it is answered.
		answered := func() bool {
			x := g.txns.Get(request)
			return x == nil || x.answered
		}
		expired.Store(&answered)
		up.row("m", "read-only")
		awaitUnread(t, g.members.conns.Get(g.txns.Get(request).submissions[0]).conn.Fd())
		_ = c.SetLinger(0)
		_ = c.Close()
		for _, ref := range g.clients.conns.Refs() {
			awaitReset(t, g.clients.conns.Get(ref).conn.Fd())
		}
	})
	other := heldClient(t, g)
	other.ask("any", 9000)
	served := m.serve("m", "read-only")
	go func() { // on the connection that served the first query, if it was kept
		if _, ok := up.query(); ok {
			served.Add(1)
			up.row("m", "read-only")
		}
	}()
	if got := other.answer(); got != "served by m" {
		t.Error(got)
	}
	stop()
	<-ended
}
