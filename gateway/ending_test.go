package gateway

import (
	"sync/atomic"
	"testing"
	"time"
)

// TestEndsBeforeThePlatformKills guards against a gateway that is killed over requests which it goes on taking: it has to be
// gone before the platform may kill it, however long its clients keep their connections.
func TestEndsBeforeThePlatformKills(t *testing.T) {
	t.Parallel()
	var ahead atomic.Int64
	d, m := newScriptedServer(t), newScriptedServer(t)
	began := time.Now()
	g, ended, stop := startTestGatewayWith(t, func(c *Config) {
		c.Elapsed = func() time.Duration { return time.Since(began) + time.Duration(ahead.Load()) }
	}, d, m.listEntry("m", "active"))
	d.accept(t).readCall(t)
	open := connectClient(t, g)
	open.sendTxn("once", 60_000)
	up := m.accept(t)
	defer up.Close()
	up.readStartup()
	up.sendReady()
	up.readQuery()
	half := newTestConn(dialGateway(t, g))
	_, _ = half.Write([]byte("\x00\x00"))
	stop()
	g.runOnLoop(func() { // it has begun to leave
		for !g.leaving {
			g.leave()
		}
	})
	// The longest time of a class is 10 s here; the platform waits for 3 s of it at the most.
	ahead.Store(int64(lateComers + longestKill - 10_000_000))
	g.runOnLoop(g.onTimer)
	if got := open.readResponse(); got != "40000" {
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
