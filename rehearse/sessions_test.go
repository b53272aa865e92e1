package rehearse

import (
	"testing"
	"time"
)

// No day has a stale read with the session module, whatever is lost and whoever dies; the baselines that know less
// do, so the check can fail. The same day gives the same figures.
func TestSessionDays(t *testing.T) {
	for _, c := range []struct {
		change func(*SessionDay)
		stale  bool
	}{
		{func(*SessionDay) {}, false},
		{func(d *SessionDay) { d.Gateways, d.Rate, d.Sessions = 100, 10, 10 }, false},
		{func(d *SessionDay) { d.Loss = 0.1 }, false},
		{func(d *SessionDay) { d.Loss = 1 }, false},
		{func(d *SessionDay) { d.Kill, d.Lag = 300*time.Millisecond, 500*time.Millisecond }, false},
		{func(d *SessionDay) { d.Kill, d.Loss, d.Roam = 100*time.Millisecond, 0.3, 1 }, false},
		{func(d *SessionDay) { d.Policy = Fenced }, false},
		{func(d *SessionDay) { d.Policy = Primary }, false},
		{func(d *SessionDay) { d.Policy, d.Lag = Own, time.Second }, true},
		{func(d *SessionDay) { d.Policy, d.Lag = Sticky, time.Second }, true},
	} {
		d := DefaultSessionDay()
		d.Length = 3 * time.Second
		c.change(&d)
		r, err := PlaySessions(d)
		if err != nil || (r.Stale > 0) != c.stale || r.Reads < 1000 {
			t.Errorf("%+v: %v", r, err)
		}
		again, _ := PlaySessions(d)
		if r.Module, again.Module = 0, 0; r != again {
			t.Errorf("another day: %+v %+v", r, again)
		}
	}
	if _, err := PlaySessions(SessionDay{}); err == nil {
		t.Error("a day of nothing")
	}
}

// What coverage costs a gateway does not grow with the fleet: the budget of messages a txn holds.
func TestSessionCostByFleet(t *testing.T) {
	for _, n := range []int{2, 10, 50} {
		d := DefaultSessionDay()
		d.Gateways, d.Length = n, 3*time.Second
		r, err := PlaySessions(d)
		if err != nil || r.Stale > 0 || r.Messages > 5 {
			t.Errorf("%d gateways: %+v %v", n, r, err)
		}
	}
}
