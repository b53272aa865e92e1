package gateway

import (
	"errors"
	"syscall"
	"time"

	"magpieglade/decide"
	"magpieglade/internal/neterr"
)

// dial connects to an address in a goroutine of its own and hands the connection or the error to the event loop. It holds
// two descriptors until then, its own and the loop's duplicate, and one afterwards, until OnClose. It returns false and does
// nothing if they are not available. If the dial is abandoned meanwhile, its owner closes the connection once it opens.
func (g *Gateway) dial(address string, timeout decide.Nanos, o *owner) bool {
	reserved := 0
	if o.kind == ownerMember { // members never use the descriptors that calls to discovery need
		reserved = 2 * len(g.discovery.calls)
	}
	if !g.budget.acquire(2, reserved) {
		return false
	}
	o.hasDescriptor = true
	go func() {
		if err := g.connect(address, time.Duration(timeout), o); err != nil {
			g.post(func() { g.dialFailed(o, err) })
		}
	}()
	return true
}

// connect dials until the loop has the connection or the timeout has passed. An error of the local machine says nothing
// about the remote side, so it is retried.
func (g *Gateway) connect(address string, timeout time.Duration, o *owner) error {
	deadline := time.Now().Add(timeout)
	var backoff neterr.Backoff
	for {
		c, err := g.network.Dial(address, max(time.Until(deadline), time.Millisecond))
		if err == nil {
			err = g.loop.Enroll(c, o)
		}
		if err == nil || !neterr.IsLocal(err) {
			return err
		}
		wait := backoff.Next()
		if time.Until(deadline) <= wait {
			return err
		}
		g.post(func() { g.localDialError(o, err) })
		time.Sleep(wait)
	}
}

// localDialError records a local error after which a dial is retried.
func (g *Gateway) localDialError(o *owner, err error) {
	g.outcomes.dialErrors[neterr.Label(err)]++
	if !g.dialsFailing {
		g.dialsFailing = true
		g.log.Warn("connecting fails with a local error, trying again", "why", err)
	}
	if m := g.members.conns.Get(o.ref); m != nil && o.kind == ownerMember {
		m.localDialError = true
	}
}

// dialFailed ends a dial. A connection that was accepted and then reset is not refused: a process is running there.
func (g *Gateway) dialFailed(o *owner, err error) {
	if neterr.IsLocal(err) {
		g.localDialError(o, err)
	} else {
		g.outcomes.dialErrors[neterr.Label(err)]++
	}
	g.budget.release(2)
	if o.kind == ownerMember {
		if m := g.members.conns.Get(o.ref); m != nil && neterr.IsRemote(err) {
			m.localDialError = false
			if errors.Is(err, syscall.ECONNRESET) {
				m.phase = starting
			}
		}
		g.members.memberClosed(o.ref, false)
	} else {
		g.discovery.connClosed(o, nil, false)
	}
}
