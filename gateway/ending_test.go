package gateway

import (
	"sync/atomic"
	"testing"
	"time"
)

// TestEndsBeforeThePlatformKills guards against a gateway that is killed over requests which it goes on taking: it has to be
// gone before the platform may kill it, however long its clients keep their connections.
func TestShutdownEndsBeforeKill(t *testing.T) {
	t.Parallel()
	var clockAdvance atomic.Int64
	d, m := newScript(t), newScript(t)
	began := time.Now()
	g, ended, stop := heldGatewayWith(t, func(c *Config) {
		c.Elapsed = func() time.Duration { return time.Since(began) + time.Duration(clockAdvance.Load()) }
	}, d, m.host("m", "active"))
	d.next(t).call(t)
	client := heldClient(t, g)
	client.ask("once", 60_000)
	upstream := m.next(t)
	defer upstream.Close()
	upstream.startup()
	upstream.ready()
	upstream.query()
	halfOpen := newEnd(dialled(t, g))
	_, _ = halfOpen.Write([]byte("\x00\x00"))
	stop()
	g.hold(func() { // it has begun to leave
		for !g.shuttingDown {
			g.beginShutdown()
		}
	})
	// The longest time of a class is 10 s here; the platform waits for 3 s of it at the most.
	clockAdvance.Store(int64(acceptPeriod + maxKillDelay - 10_000_000))
	g.hold(g.onTimer)
	if got := client.answer(); got != "40000" {
		t.Errorf("the request that was open: %s", got)
	}
	select {
	case err := <-ended:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(time.Second):
		t.Error("it is still there when it may be killed")
	}
}
