package rehearse

import (
	"testing"

	"github.com/shopspring/decimal"

	"magpieglade/contracts"
)

// An event with a flood by others of twice what members do and a member lost is kept with room held, and is not without; where
// gateways let more in than members can work on, room at gateways alone does not keep it, and a rehearsal says so.
func TestEvent(t *testing.T) {
	for _, loss := range []string{contracts.NoLoss, contracts.MemberLoss} {
		e := &Event{Terms: contracts.Terms{Name: "final", Tenant: "tv", Reads: 400, Writes: 40, InFlight: 20, PromisedFraction: 0.95, ExcessPolicy: contracts.BestEffort, ToleratedLoss: loss,
			Windows: []contracts.Window{{Zone: "UTC", Start: "2027-06-14 20:00", Length: 3600e9}}, Price: decimal.Zero}, Sizes: []contracts.MemberSize{{Group: 0, Reads: 400, Writes: 150}},
			Members: 4, Zones: []string{"a", "b"}, Gateways: 5, InFlight: 20, Flood: 2, Length: 12e9, Seed: 1}
		held, err := e.Play(1, true)
		if err != nil {
			t.Fatal(err)
		}
		without, err := e.Play(1, false)
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("loss of %s: %.3f in time with room held, %.3f without; others %.3f and %.3f", loss, held.Kept, without.Kept, held.Others, without.Others)
		if !held.Promise || without.Kept > 0.5 || without.Broken > 0 {
			t.Fatalf("%+v %+v", held, without)
		}
		e.InFlight = 80
		if crowded, err := e.Play(1, true); err != nil || crowded.Promise {
			t.Fatalf("gateways let in four times as much: %+v %v", crowded, err)
		}
	}
}
