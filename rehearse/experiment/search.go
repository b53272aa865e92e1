package experiment

import (
	"math/rand/v2"
	"slices"

	"magpieglade/rehearse"
)

// Found is the worst day of a search, and the shortest that still shows it.
type SearchResult struct {
	Scenario    *rehearse.Scenario
	Loss        float64 // of the day as it was found
	Shrunk      *rehearse.Scenario
	ShrunkLoss  float64 // its loss
	Evaluations int
}

// shrinkPart of a loss must be left in a shrunk day.
const minRemainingLossFraction = 0.8

// Search plays days with faults by chance on a scenario's fleet and finds the one on which a policy loses most: against
// another policy, or where that is empty against a day without a fault. Then it takes away what the loss does not need.
func Search(s *rehearse.Scenario, policy, against string, days int, seed uint64, progress func(done, all int)) (*SearchResult, error) {
	rng := rand.New(rand.NewPCG(seed, 22))
	result := &SearchResult{}
	loss := func(day *rehearse.Scenario) (float64, error) {
		result.Evaluations++
		a := *day
		a.Policy = policy
		got, err := rehearse.Simulate(&a, nil)
		if err != nil {
			return 0, err
		}
		b := *day
		if against != "" {
			b.Policy = against
		} else {
			b.Policy, b.Faults = policy, nil
		}
		baseline, err := rehearse.Simulate(&b, nil)
		if err != nil {
			return 0, err
		}
		return baseline.Service.Overall - got.Service.Overall + float64(len(got.Violations)), nil // a broken rule is worse than any loss
	}
	for i := range days {
		day := randomScenario(s, rng)
		x, err := loss(day)
		if err != nil {
			return nil, err
		}
		if result.Scenario == nil || x > result.Loss {
			result.Scenario, result.Loss = day, x
		}
		if progress != nil {
			progress(i+1, days)
		}
	}
	result.Shrunk, result.ShrunkLoss = result.Scenario, result.Loss
	keepIfLossRemains := func(day *rehearse.Scenario) (bool, error) {
		x, err := loss(day)
		if err == nil && x >= minRemainingLossFraction*result.Loss && x > 0 {
			result.Shrunk, result.ShrunkLoss = day, x
			return true, nil
		}
		return false, err
	}
	for again := true; again; {
		again = false
		for i := 0; i < len(result.Shrunk.Faults) && len(result.Shrunk.Faults) > 1; i++ {
			day := *result.Shrunk
			day.Faults = slices.Delete(slices.Clone(day.Faults), i, i+1)
			ok, err := keepIfLossRemains(&day)
			if err != nil {
				return nil, err
			}
			again = again || ok
		}
		for _, change := range []func(*rehearse.Scenario) bool{halveFaults, moveEarlier, trimEnd} {
			day := *result.Shrunk
			day.Faults = slices.Clone(day.Faults)
			if !change(&day) {
				continue
			}
			ok, err := keepIfLossRemains(&day)
			if err != nil {
				return nil, err
			}
			again = again || ok
		}
	}
	return result, nil
}

// chance is a day of one to five faults.
func randomScenario(s *rehearse.Scenario, rng *rand.Rand) *rehearse.Scenario {
	day := *s
	day.Seed, day.Faults, day.Random = rng.Uint64N(1<<53), nil, nil
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
		day.Faults = append(day.Faults, f)
	}
	slices.SortFunc(day.Faults, func(a, b rehearse.Fault) int { return int(a.At - b.At) })
	return &day
}

// half has every fault last half as long.
func halveFaults(s *rehearse.Scenario) bool {
	for i := range s.Faults {
		if s.Faults[i].Duration < 2e8 {
			return false
		}
		s.Faults[i].Duration /= 2
	}
	return len(s.Faults) > 0
}

// sooner brings the first fault to the second second, and the others with it.
func moveEarlier(s *rehearse.Scenario) bool {
	by := s.Faults[0].At - 2e9
	if by < 1e9 {
		return false
	}
	for i := range s.Faults {
		s.Faults[i].At -= by
	}
	s.Length -= by
	return s.Length >= 5e9
}

// shorter ends the day soon after the last fault.
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
