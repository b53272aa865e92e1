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
	d, m := newScriptedServer(t), newScriptedServer(t)
	began := time.Now()
	g, ended, stop := startTestGatewayWith(t, func(c *Config) {
		c.Elapsed = func() time.Duration { return time.Since(began) + time.Duration(clockAdvance.Load()) }
	}, d, m.listEntry("m", "active"))
	d.accept(t).readCall(t)
	client := connectClient(t, g)
	client.sendTxn("once", 60_000)
	upstream := m.accept(t)
	defer upstream.Close()
	upstream.readStartup()
	upstream.sendReady()
	upstream.readQuery()
	halfOpen := newTestConn(dialGateway(t, g))
	_, _ = halfOpen.Write([]byte("\x00\x00"))
	stop()
	g.runOnLoop(func() { // the shutdown has begun
		for !g.shuttingDown {
			g.beginShutdown()
		}
	})
	// The greatest hard limit of a class is 10 s here; the platform waits for at most 3 s of it.
	clockAdvance.Store(int64(acceptPeriod + maxKillDelay - 10_000_000))
	g.runOnLoop(g.onTimer)
	if got := client.readResponse(); got != "40000" {
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
