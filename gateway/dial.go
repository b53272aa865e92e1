package gateway

import (
	"errors"
	"syscall"
	"time"

	"magpieglade/decide"
	"magpieglade/internal/neterr"
)

// dial connects to an address off the loop and hands the connection, or what went wrong, to the loop. It has
// two descriptors until then, its own and the loop's, and one afterwards, until OnClose; without them it does
// nothing. Whoever gives it up before it has ended finds it closed by whom it would have been opened for.
func (g *Gateway) dial(address string, patience decide.Nanos, o *owner) bool {
	others := 0
	if o.kind == ownerMember { // members never take what the calls to discovery need
		others = 2 * len(g.discovery.calls)
	}
	if !g.budget.take(2, others) {
		return false
	}
	o.counted = true
	go func() {
		if err := g.connect(address, time.Duration(patience), o); err != nil {
			g.post(func() { g.dialFailed(o, err) })
		}
	}()
	return true
}

// connect dials until the loop has the connection or the patience is over. An error of this machine says nothing of the
// other side, so that it is tried again.
func (g *Gateway) connect(address string, patience time.Duration, o *owner) error {
	deadline := time.Now().Add(patience)
	var pause neterr.Backoff
	for {
		c, err := g.network.Dial(address, max(time.Until(deadline), time.Millisecond))
		if err == nil {
			err = g.enroll(c, o)
		}
		if err == nil || !neterr.IsLocal(err) {
			return err
		}
		wait := pause.Next()
		if time.Until(deadline) <= wait {
			return err
		}
		g.post(func() { g.dialDelayed(o, err) })
		time.Sleep(wait)
	}
}

// dialDelayed notes an error of this machine behind which a dial is tried again.
func (g *Gateway) dialDelayed(o *owner, err error) {
	g.outcomes.dialErrors[neterr.Label(err)]++
	if !g.dialsFail {
		g.dialsFail = true
		g.log.Warn("connecting fails for lack of something of this machine, trying again", "why", err)
	}
	if m := g.members.conns.Get(o.ref); m != nil && o.kind == ownerMember {
		m.localDialError = true
	}
}

// dialFailed ends a dial. One that was accepted and then reset is no refusal: a process runs there.
func (g *Gateway) dialFailed(o *owner, err error) {
	if neterr.IsLocal(err) {
		g.dialDelayed(o, err)
	} else {
		g.outcomes.dialErrors[neterr.Label(err)]++
	}
	g.budget.give(2)
	if o.kind == ownerMember {
		if m := g.members.conns.Get(o.ref); m != nil && neterr.IsRemote(err) {
			m.localDialError = false
			if errors.Is(err, syscall.ECONNRESET) {
				m.phase = starting
			}
		}
		g.members.memberClosed(o.ref, false)
	} else {
		g.discovery.discoveryClosed(o, nil, false)
	}
}
