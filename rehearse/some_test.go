package rehearse

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
)

var chosenSeeds = flag.Int("chosen", 25, "number of runs of gateways with subsets")

// Random runs of gateways with subsets of members that exchange signals, while members crash, hang, are
// slow, lag, drain, move and restart cold, and gateways are killed and partitioned: no rule is violated.
func TestSubsetsUnderRandomFaults(t *testing.T) {
	served, asked := 0.0, 0
	for seed := range uint64(*chosenSeeds) {
		rng := rand.New(rand.NewPCG(seed, 77))
		g := DefaultGroup()
		g.Members, g.WarmUp = 4+rng.IntN(6), 4e9
		s := &Scenario{Name: fmt.Sprint("chosen ", seed), Length: 15e9, Seed: seed, Gateways: 3 + rng.IntN(8), Zones: []string{"a", "b", "c"}, Groups: []GroupConfig{g, g},
			Network: NetworkConfig{IntraZoneLatency: 200e3, InterZoneLatency: 1e6}, Types: DefaultTypes(), Policy: PolicyDecide, Sessions: Brought, SubsetSize: 2 + rng.IntN(3), SubsetConnections: 1 + rng.IntN(4), Signals: seed%4 > 0,
			Traffic: TrafficConfig{Rate: 600, Sessions: 400, RoamingFraction: 0.2, Retry: true}, Expect: Expectation{-1, -1, -1, true},
			Random: []RandomFaults{{MeanInterval: 2e9, Duration: 2e9, Kinds: []string{"crash", "pause", "slow", "lag", "drain", "answers_lost"}, Factor: 0.3, Lag: 1e9},
				{MeanInterval: 5e9, Duration: 2e9, Kinds: []string{"kill", "apart", "halves", "list", "move"}, Factor: 0.3}}}
		r, err := Simulate(s, nil)
		if err != nil {
			t.Fatal(err)
		}
		if len(r.Violations) > 0 {
			t.Errorf("seed %d: %v", seed, r.Violations[:min(3, len(r.Violations))])
		}
		served, asked = served+r.Service.Overall, asked+r.Service.Requested
	}
	t.Logf("%d days, %d txns, service %.3f on average", *chosenSeeds, asked, served/float64(*chosenSeeds))
}
