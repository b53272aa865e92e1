package gateway

import (
	"sync/atomic"
	"testing"
	"time"
)

// TestShutdownEndsBeforeKill guards against a gateway that keeps accepting requests until the platform kills it. It must end
// before the platform may kill it, however long its clients keep their connections open.
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
	g.hold(func() { // the shutdown has begun
		for !g.shuttingDown {
			g.beginShutdown()
		}
	})
	// The greatest hard limit of a class is 10 s here; the platform waits for at most 3 s of it.
	clockAdvance.Store(int64(acceptPeriod + maxKillDelay - 10_000_000))
	g.hold(g.onTimer)
	if got := client.answer(); got != "40000" {
		t.Errorf("the open request: %s", got)
	}
	select {
	case err := <-ended:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(time.Second):
		t.Error("the gateway still runs when it may be killed")
	}
}
