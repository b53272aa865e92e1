package rehearse

import (
	"errors"
	"fmt"
	"math"

	"magpieglade/contracts"
	"magpieglade/rehearse/audit"
	"magpieglade/routes"
)

// Event is a contract's window, rehearsed before it is sold: its load, a flood by others, and the promised loss.
type Event struct {
	Terms    contracts.Terms
	Sizes    []contracts.MemberSize
	Members  int // of each group
	Zones    []string
	Gateways int
	InFlight int     // txns of all tenants at each gateway, as the settings have it
	Flood    float64 // others' reads, in times of what all members do
	Through  int     // gateways that the tenant's clients come through, the first ones; 0 is all
	Length   int64
	Seed     uint64
}

// EventResult is what came of it.
type EventResult struct {
	Kept    float64 // share of the contract's txns that were served in time
	Others  float64 // and of the others'
	Asked   int
	Broken  int // rules
	Alone   bool
	Promise bool // the promised share was kept, with no rule broken
}

// Names of an event's txn types.
const (
	eventRead  = "contract-read"
	eventWrite = "contract-write"
	otherRead  = "other-read"
)

// othersWeight is theirs against the tenant's one, for the day without a contract. Ours: a tenant among twenty.
const othersWeight = 19

// eventCores and the mean costs that they come to. Ours: members' sizes say what they do a second, not by how much at a time.
const (
	eventCores = 4
	eventAim   = int64(300e6)
)

// Scenario is the day of an event at so many times its size, with room held or not.
func (e *Event) Scenario(times float64, held bool) (*Scenario, error) {
	if len(e.Sizes) == 0 {
		return nil, errors.New("nothing is said of what members do: give a block capacity")
	}
	t, size := &e.Terms, e.Sizes[0]
	for _, x := range e.Sizes {
		if len(t.Groups) > 0 && x.Group == t.Groups[0] {
			size = x
		}
	}
	if size.Reads <= 0 {
		return nil, fmt.Errorf("a member of group %d does no reads", size.Group)
	}
	groups := max(1, len(t.Groups))
	g := DefaultGroup()
	g.Members, g.Cores, g.MaxConnections = e.Members, eventCores, 10_000
	cost := func(rate float64) int64 { return int64(float64(eventCores) / rate * 1e9) }
	aim := eventAim
	if t.TargetLatency > 0 {
		aim = t.TargetLatency
	}
	reads, writes := t.Reads*times*float64(groups), t.Writes*times*float64(groups)
	others := e.Flood * size.Reads * float64(e.Members-1) * float64(groups)
	all := reads + writes + others
	s := &Scenario{Name: "event", Length: e.Length, Seed: e.Seed, Gateways: e.Gateways, Zones: e.Zones, Network: NetworkConfig{IntraZoneLatency: 200e3, InterZoneLatency: 1e6}, Policy: PolicyDecide,
		Sessions: Brought, Traffic: TrafficConfig{Rate: all, Sessions: 4000}, Expect: Expectation{-1, -1, -1, false}, MaxInFlight: e.InFlight,
		Tenants: []routes.Tenant{{Name: t.Tenant, Weight: 1}, {Name: "others", Weight: othersWeight}}}
	for range groups {
		s.Groups = append(s.Groups, g)
	}
	add := func(name, effect, need, tenant string, rate float64, of float64) {
		if rate > 0 && of > 0 {
			s.Types = append(s.Types, TypeConfig{Type: audit.Type{Name: name, Effect: effect, Consistency: need, DedupWindow: 2e9, Value: 1, TargetLatency: aim, MaxWait: 4 * aim},
				Cost: cost(of), Distribution: Exponential, Weight: rate / all, Tenant: tenant})
		}
	}
	add(eventRead, "repeatable", "eventual", t.Tenant, reads, size.Reads)
	add(eventWrite, "by_key", "mutate", t.Tenant, writes, size.Writes)
	add(otherRead, "repeatable", "eventual", "others", others, size.Reads)
	if held {
		s.ReservedSlots = map[string]int{t.Tenant: t.InFlight}
	}
	if e.Through > 0 {
		s.TenantGateways = map[string]int{t.Tenant: e.Through}
	}
	switch at := e.Length / 3; t.ToleratedLoss {
	case contracts.MemberLoss:
		for i := range s.Groups {
			s.Faults = append(s.Faults, Fault{Kind: "crash", At: at, Duration: e.Length / 3, Member: fmt.Sprintf("%d.1", i), Factor: 1})
		}
	case contracts.ZoneLoss:
		s.Faults = append(s.Faults, Fault{Kind: "cut", At: at, Duration: e.Length / 3, Zone: e.Zones[len(e.Zones)-1], Factor: 1})
	}
	return s, s.Validate()
}

// Play plays it at so many times its size.
func (e *Event) Play(times float64, held bool) (r EventResult, err error) {
	s, err := e.Scenario(times, held)
	if err != nil {
		return r, err
	}
	day, err := Simulate(s, nil)
	if err != nil {
		return r, err
	}
	sum := 0.0
	for i := range day.Service.Types {
		x := &day.Service.Types[i]
		if x.Name == otherRead {
			r.Others = x.Service
			continue
		}
		r.Asked += x.Requested
		sum += x.Service * float64(x.Requested)
	}
	if r.Kept = 1; r.Asked > 0 {
		r.Kept = sum / float64(r.Asked)
	}
	r.Broken = len(day.Violations)
	r.Promise = r.Kept >= e.Terms.PromisedFraction && r.Broken == 0
	return r, nil
}

// Largest is how many times its size would be kept, to an eighth, up to four times; 0 if not even an eighth is.
func (e *Event) Largest() (float64, error) {
	low, high := 0, 33 // eighths
	for high-low > 1 {
		mid := (low + high) / 2
		r, err := e.Play(float64(mid)/8, true)
		if err != nil {
			return 0, err
		}
		if r.Promise {
			low = mid
		} else {
			high = mid
		}
	}
	return math.Floor(float64(low)) / 8, nil
}
