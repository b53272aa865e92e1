package rehearse

import (
	"math/rand/v2"

	"magpieglade/subset"
)

// SubsetSize describes a fleet whose subsets are measured.
type SubsetSize struct {
	Gateways, Members, Zones int
	Config                   subset.Config `json:"Terms"`
	Seed                     uint64
}

// SubsetResult tells how even subsets are, and what moves. Loads are relative to the mean. Moves are in subsets when a gateway
// joins or leaves, where 1 is the minimum, and relative to the member's connections when a member is lost.
type SubsetResult struct {
	SubsetSize
	Size             int     // members of a gateway
	MinGateways      int     `json:"Least"` // gateways of a member
	MaxGateways      int     `json:"Most"`  // gateways of a member
	MinLoad          float64 `json:"LeastLoad"`
	MaxLoad          float64 `json:"Load"`
	Jain             float64 // Jain's fairness index of loads
	SameZoneFraction float64 `json:"Near"` // fraction of connections within a zone
	MovedOnJoin      float64 `json:"Join"`
	MovedOnLeave     float64 `json:"Leave"`
	MovedOnLoss      float64 `json:"Gone"`
	NextSize         int     // subset size after the next change, which NextSizeAt gateways cause
	NextSizeAt       int     `json:"NextSpan"`
}

// subsetTrials is the number of joins, leaves and losses over which moves are averaged.
const subsetTrials = 6

// MeasureSubsets divides a random fleet, and fleets that differ from it by one gateway or member.
func MeasureSubsets(s SubsetSize) SubsetResult {
	rng := rand.New(rand.NewPCG(s.Seed, 21))
	zone := func() string { return string(rune('a' + rng.IntN(s.Zones))) }
	gateways, members := make([]subset.Gateway, s.Gateways), make([]subset.Member, s.Members)
	for i := range gateways {
		gateways[i] = subset.Gateway{ID: rng.Uint64(), Zone: zone()}
	}
	for i := range members {
		members[i] = subset.Member{Key: rng.Uint64(), Zone: zone(), Weight: 1}
	}
	r := SubsetResult{SubsetSize: s, Size: s.Config.Size(s.Gateways, s.Members), MinGateways: s.Gateways, MinLoad: 1e9}
	before := subset.Assign(s.Config, gateways, members)
	count, sameZone, total := make([]int, s.Members), 0, 0
	for g, assigned := range before {
		for _, m := range assigned {
			count[m]++
			if total++; members[m].Zone == gateways[g].Zone {
				sameZone++
			}
		}
	}
	sum, squares := 0.0, 0.0
	for _, n := range count {
		load := float64(n) * float64(s.Members) / float64(total)
		r.MinGateways, r.MaxGateways = min(r.MinGateways, n), max(r.MaxGateways, n)
		r.MinLoad, r.MaxLoad = min(r.MinLoad, load), max(r.MaxLoad, load)
		sum, squares = sum+load, squares+load*load
	}
	r.Jain, r.SameZoneFraction = sum*sum/squares/float64(s.Members), float64(sameZone)/float64(total)
	moved := func(g []subset.Gateway, m []subset.Member) float64 {
		return float64(subset.MovedConnections(gateways, members, before, g, m, subset.Assign(s.Config, g, m)))
	}
	for i := range subsetTrials {
		if s.Gateways > subsetTrials {
			r.MovedOnJoin += moved(append(append([]subset.Gateway{}, gateways...), subset.Gateway{ID: rng.Uint64(), Zone: zone()}), members) / subsetTrials / float64(r.Size)
			r.MovedOnLeave += moved(append(append([]subset.Gateway{}, gateways[:i]...), gateways[i+1:]...), members) / subsetTrials / float64(r.Size)
		}
		if s.Members > subsetTrials {
			r.MovedOnLoss += moved(gateways, append(append([]subset.Member{}, members[:i]...), members[i+1:]...)) / subsetTrials / float64(max(1, count[i]))
		}
	}
	for n := s.Gateways + 1; n < 4*s.Gateways+100; n++ {
		if size := s.Config.Size(n, s.Members); size != r.Size {
			r.NextSizeAt, r.NextSize = n, size
			break
		}
	}
	return r
}
