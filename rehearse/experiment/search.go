package experiment

import (
	"math/rand/v2"
	"slices"

	"magpieglade/rehearse"
)

// SearchResult holds the scenario with the greatest loss that a search found, and a smaller one that still shows it.
type SearchResult struct {
	Scenario    *rehearse.Scenario
	Loss        float64 // of Scenario
	Shrunk      *rehearse.Scenario
	ShrunkLoss  float64 // loss of Shrunk
	Evaluations int
}

// minRemainingLossFraction is the fraction of the loss that a shrunk scenario must still show.
const minRemainingLossFraction = 0.8

// Search simulates random faults on a scenario's fleet and finds those with which a policy loses the most service, compared
// with another policy or, if against is empty, with the same scenario without faults. It then shrinks that scenario: it
// removes faults and shortens times while the loss remains.
func Search(s *rehearse.Scenario, policy, against string, candidates int, seed uint64, progress func(done, all int)) (*SearchResult, error) {
	rng := rand.New(rand.NewPCG(seed, 22))
	result := &SearchResult{}
	loss := func(scenario *rehearse.Scenario) (float64, error) {
		result.Evaluations++
		a := *scenario
		a.Policy = policy
		report, err := rehearse.Simulate(&a, nil)
		if err != nil {
			return 0, err
		}
		b := *scenario
		if against != "" {
			b.Policy = against
		} else {
			b.Policy, b.Faults = policy, nil
		}
		baseline, err := rehearse.Simulate(&b, nil)
		if err != nil {
			return 0, err
		}
		return baseline.Service.Overall - report.Service.Overall + float64(len(report.Violations)), nil // a violation outweighs any loss of service
	}
	for i := range candidates {
		scenario := randomScenario(s, rng)
		x, err := loss(scenario)
		if err != nil {
			return nil, err
		}
		if result.Scenario == nil || x > result.Loss {
			result.Scenario, result.Loss = scenario, x
		}
		if progress != nil {
			progress(i+1, candidates)
		}
	}
	result.Shrunk, result.ShrunkLoss = result.Scenario, result.Loss
	keepIfLossRemains := func(scenario *rehearse.Scenario) (bool, error) {
		x, err := loss(scenario)
		if err == nil && x >= minRemainingLossFraction*result.Loss && x > 0 {
			result.Shrunk, result.ShrunkLoss = scenario, x
			return true, nil
		}
		return false, err
	}
	for changed := true; changed; {
		changed = false
		for i := 0; i < len(result.Shrunk.Faults) && len(result.Shrunk.Faults) > 1; i++ {
			scenario := *result.Shrunk
			scenario.Faults = slices.Delete(slices.Clone(scenario.Faults), i, i+1)
			ok, err := keepIfLossRemains(&scenario)
			if err != nil {
				return nil, err
			}
			changed = changed || ok
		}
		for _, change := range []func(*rehearse.Scenario) bool{halveFaults, moveEarlier, trimEnd} {
			scenario := *result.Shrunk
			scenario.Faults = slices.Clone(scenario.Faults)
			if !change(&scenario) {
				continue
			}
			ok, err := keepIfLossRemains(&scenario)
			if err != nil {
				return nil, err
			}
			changed = changed || ok
		}
	}
	return result, nil
}

// randomScenario returns a copy of the scenario with one to five random faults.
func randomScenario(s *rehearse.Scenario, rng *rand.Rand) *rehearse.Scenario {
	scenario := *s
	scenario.Seed, scenario.Faults, scenario.Random = rng.Uint64N(1<<53), nil, nil
	var kinds []string
	for k := range rehearse.FaultKinds {
		kinds = append(kinds, k)
	}
	slices.Sort(kinds)
	var members []string
	for g := range s.Groups {
		for m := range s.Groups[g].Members {
			members = append(members, memberName(g, m))
		}
	}
	for range 1 + rng.IntN(5) {
		f := rehearse.Fault{Kind: kinds[rng.IntN(len(kinds))], At: rng.Int64N(s.Length * 2 / 3), Member: members[rng.IntN(len(members))],
			Gateway: rng.IntN(s.Gateways), Zone: s.Zones[rng.IntN(len(s.Zones))], Lag: 1e8 + rng.Int64N(5e9)}
		f.Duration = 5e8 + rng.Int64N(s.Length/3)
		switch f.Kind {
		case "slow":
			f.Factor = 2 + 18*rng.Float64()
		default:
			f.Factor = 0.05 + 0.6*rng.Float64()
		}
		scenario.Faults = append(scenario.Faults, f)
	}
	slices.SortFunc(scenario.Faults, func(a, b rehearse.Fault) int { return int(a.At - b.At) })
	return &scenario
}

// halveFaults halves the duration of every fault, and reports whether the result is usable.
func halveFaults(s *rehearse.Scenario) bool {
	for i := range s.Faults {
		if s.Faults[i].Duration < 2e8 {
			return false
		}
		s.Faults[i].Duration /= 2
	}
	return len(s.Faults) > 0
}

// moveEarlier shifts all faults so that the first starts at 2 s, and reports whether the result is usable.
func moveEarlier(s *rehearse.Scenario) bool {
	shift := s.Faults[0].At - 2e9
	if shift < 1e9 {
		return false
	}
	for i := range s.Faults {
		s.Faults[i].At -= shift
	}
	s.Length -= shift
	return s.Length >= 5e9
}

// trimEnd ends the scenario 4 s after the last fault, and reports whether that makes it shorter by more than 1 s.
func trimEnd(s *rehearse.Scenario) bool {
	end := int64(0)
	for _, f := range s.Faults {
		end = max(end, f.At+f.Duration+4e9)
	}
	if end >= s.Length-1e9 {
		return false
	}
	s.Length = end
	return true
}
