package gateway

import (
	"errors"
	"net"
	"time"

	"magpieglade/internal/neterr"
)

// acceptor accepts client connections and registers them with the event loop, one at a time. A failed accept ends neither
// the loop nor the acceptor: it retries with a backoff until the listener is closed.
type acceptor struct {
	listener   net.Listener
	enroll     func(net.Conn) error
	onFailure  func(err error, first bool)
	onRecovery func(failures int, duration time.Duration)
}

// run accepts connections until the listener is closed.
func (a *acceptor) run() {
	var backoff neterr.Backoff
	failures, failingSince := 0, time.Time{}
	for {
		conn, err := a.listener.Accept()
		if err == nil {
			err = a.enroll(conn)
		}
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			if failures == 0 {
				failingSince = time.Now()
			}
			failures++
			a.onFailure(err, failures == 1)
			time.Sleep(backoff.Next())
		case failures > 0:
			a.onRecovery(failures, time.Since(failingSince))
			failures = 0
			backoff.Reset()
		}
	}
}

// acceptClients accepts clients on the gateway's listener until it is closed.
func (g *Gateway) acceptClients() {
	a := acceptor{
		listener: g.listener,
		enroll:   func(c net.Conn) error { return g.enroll(c, &owner{kind: ownerClient}) },
		onFailure: func(err error, first bool) {
			g.post(func() { g.outcomes.acceptErrors[neterr.Label(err)]++ })
			if first {
				g.log.Warn("accepting clients fails, trying again", "why", err)
			}
		},
		onRecovery: func(failures int, duration time.Duration) {
			g.log.Info("accepting clients again", "failures", failures, "span_ms", duration.Milliseconds())
		},
	}
	a.run()
}
