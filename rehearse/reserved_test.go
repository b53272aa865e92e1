package rehearse

import (
	"testing"

	"github.com/shopspring/decimal"

	"magpieglade/contracts"
)

// A contract under a flood of twice the members' capacity, with a member lost, is met with held slots and not without them. Where
// gateways admit more than members can process, held slots at gateways don't suffice, and the rehearsal reports it.
func TestReservationUnderFlood(t *testing.T) {
	for _, loss := range []string{contracts.NoLoss, contracts.MemberLoss} {
		e := &ContractRehearsal{Terms: contracts.Terms{Name: "final", Tenant: "tv", Reads: 400, Writes: 40, InFlight: 20, PromisedFraction: 0.95, ExcessPolicy: contracts.BestEffort, ToleratedLoss: loss,
			Windows: []contracts.Window{{Zone: "UTC", Start: "2027-06-14 20:00", Length: 3600e9}}, Price: decimal.Zero}, MemberSizes: []contracts.MemberSize{{Group: 0, Reads: 400, Writes: 150}},
			Members: 4, Zones: []string{"a", "b"}, Gateways: 5, InFlight: 20, FloodFactor: 2, Duration: 12e9, Seed: 1}
		held, err := e.Run(1, true)
		if err != nil {
			t.Fatal(err)
		}
		without, err := e.Run(1, false)
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("loss of %s: %.3f in time with room held, %.3f without; others %.3f and %.3f", loss, held.InTimeFraction, without.InTimeFraction, held.OthersInTimeFraction, without.OthersInTimeFraction)
		if !held.PromiseMet || without.InTimeFraction > 0.5 || without.Violations > 0 {
			t.Fatalf("%+v %+v", held, without)
		}
		e.InFlight = 80
		if crowded, err := e.Run(1, true); err != nil || crowded.PromiseMet {
			t.Fatalf("gateways admit four times as much: %+v %v", crowded, err)
		}
	}
}
