package rehearse

import (
	"errors"
	"fmt"
	"math"

	"magpieglade/contracts"
	"magpieglade/rehearse/audit"
	"magpieglade/routes"
)

// ContractRehearsal simulates a contract's window before the contract is sold: its load, a flood by others, and the tolerated loss.
type ContractRehearsal struct {
	Terms          contracts.Terms
	MemberSizes    []contracts.MemberSize
	Members        int // of each group
	Zones          []string
	Gateways       int
	InFlight       int     // in-flight limit of each gateway over all tenants, as in the settings
	FloodFactor    float64 // others' reads, as a multiple of all members' capacity
	TenantGateways int     // number of gateways, from the first, that the tenant's clients use; 0 is all
	Duration       int64
	Seed           uint64
}

// ContractResult is the result of a rehearsal.
type ContractResult struct {
	InTimeFraction       float64 `json:"Kept"`   // fraction of the contract's txns served in time
	OthersInTimeFraction float64 `json:"Others"` // fraction of the others' txns served in time
	Requested            int     `json:"Asked"`
	Violations           int     `json:"Broken"` // rules
	Alone                bool
	PromiseMet           bool `json:"Promise"` // the promised fraction was served in time, with no violation
}

// Names of the txn types of a rehearsal.
const (
	contractRead  = "contract-read"
	contractWrite = "contract-write"
	otherRead     = "other-read"
)

// othersWeight is the weight of all other tenants for the run without held slots: the tenant, of weight 1, is one among twenty.
const othersWeight = 19

// Sizes of members are txns per second and don't state their parallelism: it is memberCores, from which mean costs follow.
const (
	memberCores          = 4
	defaultTargetLatency = int64(300e6)
)

// Scenario builds the scenario for a multiple of the contract's size, with or without held slots.
func (e *ContractRehearsal) Scenario(multiple float64, holdSlots bool) (*Scenario, error) {
	if len(e.MemberSizes) == 0 {
		return nil, errors.New("no member sizes are given: add a block capacity")
	}
	t, size := &e.Terms, e.MemberSizes[0]
	for _, x := range e.MemberSizes {
		if len(t.Groups) > 0 && x.Group == t.Groups[0] {
			size = x
		}
	}
	if size.Reads <= 0 {
		return nil, fmt.Errorf("group %d: the read capacity of a member must be positive", size.Group)
	}
	groups := max(1, len(t.Groups))
	g := DefaultGroup()
	g.Members, g.Cores, g.MaxConnections = e.Members, memberCores, 10_000
	cost := func(rate float64) int64 { return int64(float64(memberCores) / rate * 1e9) }
	aim := defaultTargetLatency
	if t.TargetLatency > 0 {
		aim = t.TargetLatency
	}
	reads, writes := t.Reads*multiple*float64(groups), t.Writes*multiple*float64(groups)
	others := e.FloodFactor * size.Reads * float64(e.Members-1) * float64(groups)
	all := reads + writes + others
	s := &Scenario{Name: "event", Length: e.Duration, Seed: e.Seed, Gateways: e.Gateways, Zones: e.Zones, Network: NetworkConfig{IntraZoneLatency: 200e3, InterZoneLatency: 1e6}, Policy: PolicyDecide,
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
	add(contractRead, "repeatable", "eventual", t.Tenant, reads, size.Reads)
	add(contractWrite, "by_key", "mutate", t.Tenant, writes, size.Writes)
	add(otherRead, "repeatable", "eventual", "others", others, size.Reads)
	if holdSlots {
		s.ReservedSlots = map[string]int{t.Tenant: t.InFlight}
	}
	if e.TenantGateways > 0 {
		s.TenantGateways = map[string]int{t.Tenant: e.TenantGateways}
	}
	switch at := e.Duration / 3; t.ToleratedLoss {
	case contracts.MemberLoss:
		for i := range s.Groups {
			s.Faults = append(s.Faults, Fault{Kind: "crash", At: at, Duration: e.Duration / 3, Member: fmt.Sprintf("%d.1", i), Factor: 1})
		}
	case contracts.ZoneLoss:
		s.Faults = append(s.Faults, Fault{Kind: "cut", At: at, Duration: e.Duration / 3, Zone: e.Zones[len(e.Zones)-1], Factor: 1})
	}
	return s, s.Validate()
}

// Run simulates the contract at a multiple of its size, with or without held slots.
func (e *ContractRehearsal) Run(multiple float64, holdSlots bool) (r ContractResult, err error) {
	s, err := e.Scenario(multiple, holdSlots)
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
			r.OthersInTimeFraction = x.Service
			continue
		}
		r.Requested += x.Requested
		sum += x.Service * float64(x.Requested)
	}
	if r.InTimeFraction = 1; r.Requested > 0 {
		r.InTimeFraction = sum / float64(r.Requested)
	}
	r.Violations = len(day.Violations)
	r.PromiseMet = r.InTimeFraction >= e.Terms.PromisedFraction && r.Violations == 0
	return r, nil
}

// MaxSize is the largest multiple of the contract's size whose promise is met, in eighths up to 4; 0 if not even an eighth is.
func (e *ContractRehearsal) MaxSize() (float64, error) {
	low, high := 0, 33 // eighths
	for high-low > 1 {
		mid := (low + high) / 2
		r, err := e.Run(float64(mid)/8, true)
		if err != nil {
			return 0, err
		}
		if r.PromiseMet {
			low = mid
		} else {
			high = mid
		}
	}
	return math.Floor(float64(low)) / 8, nil
}
