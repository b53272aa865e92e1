package gateway

import (
	"errors"
	"net"
	"time"

	"magpieglade/decide"
	"magpieglade/internal/neterr"
)

// acceptor accepts client connections and registers them with the event loop, one at a time. A failed accept ends neither
// the loop nor the acceptor: it retries with a backoff until the listener is closed.
type acceptor struct {
	listener   net.Listener
	enroll     func(conn net.Conn, waited time.Duration) error // waited is how long the connection may have waited, 0 if not at all
	onFailure  func(err error, first bool)
	onRecovery func(failures int, duration time.Duration)
}

// backlogTime is for how long after failures connections are accepted that had to wait.
const backlogTime = time.Second

// run accepts connections until the listener is closed.
func (a *acceptor) run() {
	var backoff neterr.Backoff
	failures, failingSince, recoveredAt := 0, time.Time{}, time.Time{}
	for {
		conn, err := a.listener.Accept()
		if err == nil {
			waited := time.Duration(0)
			if failures > 0 || !recoveredAt.IsZero() && time.Since(recoveredAt) < backlogTime {
				waited = time.Since(failingSince)
			}
			err = a.enroll(conn, waited)
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
			recoveredAt = time.Now()
			a.onRecovery(failures, recoveredAt.Sub(failingSince))
			failures = 0
			backoff.Reset()
		}
	}
}

// acceptClients accepts clients on the gateway's listener until it is closed.
func (g *Gateway) acceptClients() {
	a := acceptor{
		listener: g.listener,
		enroll: func(c net.Conn, waited time.Duration) error {
			o := &owner{kind: ownerClient}
			if waited > 0 {
				o.connectedAfter = g.clock.now() - decide.Nanos(waited)
			}
			return g.loop.Enroll(c, o)
		},
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
