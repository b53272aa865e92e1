package rehearse

import (
	"math/rand/v2"

	"magpieglade/subset"
)

// SubsetSize is a fleet whose subsets are measured.
type SubsetSize struct {
	Gateways, Members, Zones int
	Terms                    subset.Config
	Seed                     uint64
}

// SubsetResult is how even they are, and what moves. Loads are parts of the mean; moves are in subsets, of which one is the
// least for a gateway that joins or leaves, and in the member's connections for one that is gone.
type SubsetResult struct {
	SubsetSize
	Size               int // members of a gateway
	Least, Most        int // gateways of a member
	LeastLoad, Load    float64
	Jain               float64 // index of fairness of loads
	Near               float64 // part of connections within a zone
	Join, Leave, Gone  float64
	NextSize, NextSpan int // gateways at which the size of subsets changes next, and to which
}

// subsetTries is how often a join, a leave and a loss are tried.
const subsetTries = 6

// MeasureSubsets divides a fleet whose gateways and members are drawn by chance, and some that differ by one.
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
	r := SubsetResult{SubsetSize: s, Size: s.Terms.Size(s.Gateways, s.Members), Least: s.Gateways, LeastLoad: 1e9}
	before := subset.Assign(s.Terms, gateways, members)
	count, near, all := make([]int, s.Members), 0, 0
	for g, has := range before {
		for _, m := range has {
			count[m]++
			if all++; members[m].Zone == gateways[g].Zone {
				near++
			}
		}
	}
	sum, squares := 0.0, 0.0
	for _, n := range count {
		load := float64(n) * float64(s.Members) / float64(all)
		r.Least, r.Most = min(r.Least, n), max(r.Most, n)
		r.LeastLoad, r.Load = min(r.LeastLoad, load), max(r.Load, load)
		sum, squares = sum+load, squares+load*load
	}
	r.Jain, r.Near = sum*sum/squares/float64(s.Members), float64(near)/float64(all)
	moved := func(g []subset.Gateway, m []subset.Member) float64 {
		return float64(subset.MovedConnections(gateways, members, before, g, m, subset.Assign(s.Terms, g, m)))
	}
	for i := range subsetTries {
		if s.Gateways > subsetTries {
			r.Join += moved(append(append([]subset.Gateway{}, gateways...), subset.Gateway{ID: rng.Uint64(), Zone: zone()}), members) / subsetTries / float64(r.Size)
			r.Leave += moved(append(append([]subset.Gateway{}, gateways[:i]...), gateways[i+1:]...), members) / subsetTries / float64(r.Size)
		}
		if s.Members > subsetTries {
			r.Gone += moved(gateways, append(append([]subset.Member{}, members[:i]...), members[i+1:]...)) / subsetTries / float64(max(1, count[i]))
		}
	}
	for n := s.Gateways + 1; n < 4*s.Gateways+100; n++ {
		if size := s.Terms.Size(n, s.Members); size != r.Size {
			r.NextSpan, r.NextSize = n, size
			break
		}
	}
	return r
}
