package gateway

import (
	"errors"
	"syscall"
	"time"

	"magpieglade/decide"
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
		c, err := g.network.Dial(address, time.Duration(patience))
		if err == nil {
			err = g.enroll(c, o)
		}
		if err != nil {
			g.post(func() { g.dialFailed(o, err) })
		}
	}()
	return true
}

// dialFailed ends a dial. One that was accepted and then reset is no refusal: a process runs there.
func (g *Gateway) dialFailed(o *owner, err error) {
	g.outcomes.dialErrors[errorLabel(err)]++
	g.budget.give(2)
	if o.kind == ownerMember {
		if m := g.members.conns.Get(o.ref); m != nil && errors.Is(err, syscall.ECONNRESET) {
			m.phase = starting
		}
		g.members.memberClosed(o.ref, false)
	} else {
		g.discovery.discoveryClosed(o, nil, false)
	}
}
