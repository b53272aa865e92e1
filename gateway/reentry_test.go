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
	for end := time.Now().Add(testTimeout); time.Now().Before(end); {
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
	d, m := newScriptedServer(t), newScriptedServer(t)
	began := time.Now()
	g, ended, stop := startTestGatewayWith(t, func(c *Config) {
		c.Elapsed = func() time.Duration {
			if f := expired.Load(); f != nil && (*f)() {
				return time.Since(began) + time.Minute
			}
			return time.Since(began)
		}
	}, d, m.listEntry("m", "active"))
	d.accept(t).readCall(t)
	c := connectClient(t, g)
	c.sendTxn("any", 9000)
	up := m.accept(t)
	up.readStartup()
	up.sendReady()
	up.readQuery()
	g.runOnLoop(func() {
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
		up.sendRow("m", "read-only")
		awaitUnread(t, g.members.conns.Get(g.txns.Get(request).submissions[0]).conn.Fd())
		_ = c.SetLinger(0)
		_ = c.Close()
		for _, ref := range g.clients.conns.Refs() {
			awaitReset(t, g.clients.conns.Get(ref).conn.Fd())
		}
	})
	other := connectClient(t, g)
	other.sendTxn("any", 9000)
	served := m.serve("m", "read-only")
	go func() { // on the connection that served the first query, if it was kept
		if _, ok := up.readQuery(); ok {
			served.Add(1)
			up.sendRow("m", "read-only")
		}
	}()
	if got := other.readResponse(); got != "served by m" {
		t.Error(got)
	}
	stop()
	<-ended
}
