package gateway

import (
	"testing"
	"time"
)

// awaitOutcome waits until a counter of the outcomes has the wanted value.
func awaitOutcome(t *testing.T, g *Gateway, count func(*Outcomes) uint64, want uint64) {
	t.Helper()
	for end := time.Now().Add(testTimeout); ; {
		var got uint64
		g.runOnLoop(func() {
			o := g.outcomes.snapshot()
			got = count(&o)
		})
		if got == want {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("counted %d, want %d; all: %+v", got, want, g.outcomes.snapshot())
		}
	}
}

// TestOutcomesAreCountedByCause checks that each close of a client connection and each end of an attempt is counted under
// its cause.
func TestOutcomesAreCountedByCause(t *testing.T) {
	t.Parallel()
	d, m := newScriptedServer(t), newScriptedServer(t)
	g, ended, stop := startTestGateway(t, d, m.listEntry("m", "active"))
	disconnects, terminates, violatesProtocol := connectClient(t, g), connectClient(t, g), connectClient(t, g)
	disconnects.sendTxn("any", 9000)
	up := m.accept(t)
	defer up.Close()
	up.readStartup()
	up.sendReady()
	up.readQuery()
	_ = disconnects.Close()
	awaitOutcome(t, g, func(o *Outcomes) uint64 { return o.Unanswered[string(closedByClient)] }, 1)
	awaitOutcome(t, g, func(o *Outcomes) uint64 { return o.Attempts["cancelled"] }, 1)
	_, _ = terminates.Write([]byte("X\x00\x00\x00\x04"))
	awaitOutcome(t, g, func(o *Outcomes) uint64 { return o.ClientsClosed[string(closedTerminated)] }, 1)
	_, _ = violatesProtocol.Write([]byte("?\x00\x00\x00\x04"))
	violatesProtocol.readResponse()
	_ = violatesProtocol.Close()
	awaitOutcome(t, g, func(o *Outcomes) uint64 { return o.ClientsClosed["refused 08P01"] }, 1)
	stop()
	<-ended
}
