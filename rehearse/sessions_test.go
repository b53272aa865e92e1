package rehearse

import (
	"testing"
	"time"
)

// The session module allows no stale read, whatever messages are lost and gateways killed; baselines that know less
// do, which shows that the check can fail. The same configuration gives the same results.
func TestNoStaleSessionReads(t *testing.T) {
	for _, c := range []struct {
		change func(*SessionConfig)
		stale  bool
	}{
		{func(*SessionConfig) {}, false},
		{func(d *SessionConfig) { d.Gateways, d.Rate, d.Sessions = 100, 10, 10 }, false},
		{func(d *SessionConfig) { d.Loss = 0.1 }, false},
		{func(d *SessionConfig) { d.Loss = 1 }, false},
		{func(d *SessionConfig) { d.KillInterval, d.Lag = 300*time.Millisecond, 500*time.Millisecond }, false},
		{func(d *SessionConfig) { d.KillInterval, d.Loss, d.Roam = 100*time.Millisecond, 0.3, 1 }, false},
		{func(d *SessionConfig) { d.Policy = Fenced }, false},
		{func(d *SessionConfig) { d.Policy = Primary }, false},
		{func(d *SessionConfig) { d.Policy, d.Lag = Own, time.Second }, true},
		{func(d *SessionConfig) { d.Policy, d.Lag = Sticky, time.Second }, true},
	} {
		d := DefaultSessionConfig()
		d.Duration = 3 * time.Second
		c.change(&d)
		r, err := SimulateSessions(d)
		if err != nil || (r.Stale > 0) != c.stale || r.Reads < 1000 {
			t.Errorf("%+v: %v", r, err)
		}
		again, _ := SimulateSessions(d)
		if r.ModuleTimePerTxn, again.ModuleTimePerTxn = 0, 0; r != again {
			t.Errorf("results differ between runs: %+v %+v", r, again)
		}
	}
	if _, err := SimulateSessions(SessionConfig{}); err == nil {
		t.Error("an empty configuration is accepted")
	}
}

// The cost of coverage per gateway doesn't grow with the fleet: the limit of messages per txn holds.
func TestSessionCostByFleet(t *testing.T) {
	for _, n := range []int{2, 10, 50} {
		d := DefaultSessionConfig()
		d.Gateways, d.Duration = n, 3*time.Second
		r, err := SimulateSessions(d)
		if err != nil || r.Stale > 0 || r.MessagesPerTxn > 5 {
			t.Errorf("%d gateways: %+v %v", n, r, err)
		}
	}
}
