package rehearse

import (
	"encoding/json"
	"fmt"
	"slices"

	"magpieglade/rehearse/audit"
	"magpieglade/routes"
)

// Scenario is a day to be played: a fleet, its traffic, what goes wrong, and what is expected of it. Times are nanoseconds.
type Scenario struct {
	Name, Description string
	Length            int64
	Seed              uint64
	Gateways          int
	SubsetSize        int             // members of a group that a gateway has, 0 for all; on the virtual clock
	SubsetConnections int             // gateways that a member has at the least
	Signals           bool            // gateways tell each other what they learn of members; on the virtual clock
	MaxInFlight       int             // txns of all tenants at each gateway, 0 for no bound; on the virtual clock
	Tenants           []routes.Tenant // whose txns they are
	ReservedSlots     map[string]int  // room that each gateway holds for tenants
	TenantGateways    map[string]int  // gateways that a tenant's clients come through, the first ones
	Zones             []string
	Groups            []GroupConfig
	Network           NetworkConfig
	Types             []TypeConfig
	Traffic           TrafficConfig
	Faults            []Fault
	Random            []RandomFaults
	Expect            Expectation
	Sessions          string // what a session's read must see: "covered", "fenced" or "own" by the gateways, or "brought" by clients
	Policy            string // how reads are placed: "decide", or a baseline
}

// Policies of a scenario: the module itself, or with what it is told changed so that it does as a simpler gateway would.
const (
	PolicyDecide       = "decide"
	PolicyAllToPrimary = "all to primary"
	PolicyLeastLoaded  = "least loaded"
)

// Policies are all of them.
var Policies = []string{PolicyDecide, PolicyAllToPrimary, PolicyLeastLoaded}

// SessionSources are what a session's read can go by.
var SessionSources = []string{Brought, "covered", "fenced", "own"}

// GroupPlan is a primary and its replicas.
type GroupConfig struct {
	Members            int
	Cores              int
	ReplicationLag     int64 // of shipping
	ApplyTime          int64 // of one commit, one after another
	SyncReplication    bool  // a commit outlives its primary
	DetectionTime      int64 // until a primary that is gone is replaced
	SwitchoverTime     int64 // without a primary when it is moved
	MaxConnections     int   // that a member takes
	HandshakeTime      int64
	ThrashingThreshold int     // queries at a member past which each makes all of them slower
	ReplicaWait        int64   // that a replica waits for a position
	WarmUp             int64   // that a member is cold after its start
	ColdFraction       float64 // of its speed at first
	OverloadFactor     float64 // multiple of what it can do at which a cold member falls over
	RestartTime        int64   // that this takes
}

// NetworkPlan has ways of one message.
type NetworkConfig struct {
	IntraZoneLatency, InterZoneLatency int64 // mean, within a zone and between two
	LossRatio                          float64
}

// TypePlan is a txn type: what the platform says of it, and what it asks of databases.
type TypeConfig struct {
	audit.Type
	Cost         int64 // mean service time on a warm core
	Distribution string
	Weight       float64 // of the txns
	Tenant       string  // whose they are, empty for nobody's
}

// Spreads of service times.
const (
	Fixed       = "fixed"
	Exponential = "exponential"
	Lognormal   = "lognormal"
)

// TrafficPlan is what clients send, in time whatever comes back.
type TrafficConfig struct {
	Rate              float64 // first tries a second
	Sessions          int
	RoamingFraction   float64 // share of txns at another gateway than the session's own
	WaveAmplitude     float64 // of a wave, as a share of the rate
	WavePeriod        int64
	Bursts            []Burst
	Retry             bool
	ThinkTime         int64   // mean time after which a session reads what it has written; 0 is that it does not by itself
	PipelinedFraction float64 // share of reads that come three at a time on one connection, none waiting for another's answer
	BadClientRate     float64 // bad clients a second, in real time
}

// Jump multiplies the rate for a while.
type Burst struct {
	At, Duration int64
	RateFactor   float64
}

// Fault is one thing that goes wrong.
type Fault struct {
	Kind         string
	At, Duration int64
	Member       string // by name: the group's number and the member's, as "0.1"
	Gateway      int
	Zone         string
	Group        int
	Factor       float64
	Lag          int64
}

// Faults are the kinds, with what each needs.
var FaultKinds = map[string][]string{
	"crash":        {"member"},           // its process ends, and starts cold after the span
	"pause":        {"member"},           // it takes all and answers nothing
	"slow":         {"member", "factor"}, // each query takes this many times as long
	"lag":          {"member", "lag"},    // it applies this much later
	"drain":        {"member"},           // the list says so
	"errors":       {"member", "factor"}, // this share of its answers are errors
	"answers_lost": {"member", "factor"}, // this share of its connections break after the work is done
	"move":         {"member"},           // it is made the primary of its group
	"cut":          {"zone"},             // nothing passes between it and others
	"list":         {},                   // the list service is out of reach
	"kill":         {"gateway"},          // its process ends, and starts from nothing after the span
	"apart":        {"gateway"},          // nothing passes between it and the other gateways; its clients and databases stay
	"halves":       {},                   // the same between the first half of the gateways and the others
	"rough":        {"factor"},           // this share of what gateways tell one another is lost
}

// parts tells whether a fault keeps all messages of one gateway from another.
func (f *Fault) isolates(from, to, gateways int) bool {
	switch f.Kind {
	case "apart":
		return (from == f.Gateway) != (to == f.Gateway)
	case "halves":
		return (from < gateways/2) != (to < gateways/2)
	}
	return false
}

// between tells whether a fault is one between gateways.
func (f *Fault) isBetweenGateways() bool {
	return f.Kind == "apart" || f.Kind == "halves" || f.Kind == "rough"
}

// RandomFaults come by chance.
type RandomFaults struct {
	MeanInterval, Duration int64
	Kinds                  []string
	Factor                 float64
	Lag                    int64
}

// Expectation is what a day must show; below 0 is nothing.
type Expectation struct {
	Service, Worst10, WorstType float64
	NoViolations                bool
}

// DefaultGroup is what a group has that a file does not say.
func DefaultGroup() GroupConfig {
	return GroupConfig{Members: 3, Cores: 4, ReplicationLag: 20e6, ApplyTime: 100e3, SyncReplication: true, DetectionTime: 2e9, SwitchoverTime: 300e6, MaxConnections: 200,
		HandshakeTime: 1e6, ThrashingThreshold: 64, ReplicaWait: 20e6, WarmUp: 10e9, ColdFraction: 0.25, OverloadFactor: 2, RestartTime: 5e9}
}

// DefaultTypes are a portal's.
func DefaultTypes() []TypeConfig {
	return []TypeConfig{
		{Type: audit.Type{Name: "search", Effect: "repeatable", Consistency: "eventual", Value: 1, TargetLatency: 300e6, MaxWait: 1e9}, Cost: 6e6, Distribution: Exponential, Weight: 0.4},
		{Type: audit.Type{Name: "my-page", Effect: "repeatable", Consistency: "causal", Value: 2, TargetLatency: 300e6, MaxWait: 1e9}, Cost: 4e6, Distribution: Exponential, Weight: 0.35},
		{Type: audit.Type{Name: "overview", Effect: "repeatable", Consistency: "lag_bound", MaxAge: 500e6, Value: 1, TargetLatency: 300e6, MaxWait: 1e9}, Cost: 5e6, Distribution: Exponential, Weight: 0.1},
		{Type: audit.Type{Name: "record", Effect: "by_key", Consistency: "mutate", DedupWindow: 2e9, Value: 4, LateValue: 0.3, TargetLatency: 500e6, MaxWait: 2e9}, Cost: 3e6, Distribution: Exponential, Weight: 0.14},
		{Type: audit.Type{Name: "pay", Effect: "once", Consistency: "mutate", Value: 6, LateValue: 0.3, TargetLatency: 500e6, MaxWait: 2e9}, Cost: 3e6, Distribution: Exponential, Weight: 0.01},
	}
}

// Check names what is wrong that a reader of files can't see.
func (s *Scenario) Validate() error {
	switch {
	case s.Length <= 0 || s.Gateways < 1 || len(s.Groups) == 0 || len(s.Types) == 0 || len(s.Zones) == 0:
		return fmt.Errorf("a scenario needs a length, gateways, zones, groups and txn types")
	case s.Traffic.Rate <= 0 || s.Traffic.Sessions < 1:
		return fmt.Errorf("traffic needs a rate and sessions")
	case !slices.Contains(SessionSources, s.Sessions):
		return fmt.Errorf("unknown source of sessions %q", s.Sessions)
	case !slices.Contains(Policies, s.Policy):
		return fmt.Errorf("unknown policy %q", s.Policy)
	}
	for i, f := range s.Faults {
		if _, ok := FaultKinds[f.Kind]; !ok {
			return fmt.Errorf("fault %d: unknown kind %q", i+1, f.Kind)
		}
		if needs := FaultKinds[f.Kind]; slices.Contains(needs, "member") {
			if _, _, err := s.findMember(f.Member); err != nil {
				return fmt.Errorf("fault %d: %w", i+1, err)
			}
		} else if slices.Contains(needs, "gateway") && (f.Gateway < 0 || f.Gateway >= s.Gateways) {
			return fmt.Errorf("fault %d: no gateway %d", i+1, f.Gateway)
		} else if slices.Contains(needs, "zone") && !slices.Contains(s.Zones, f.Zone) {
			return fmt.Errorf("fault %d: no zone %q", i+1, f.Zone)
		}
	}
	return nil
}

// followUp is the txn type by which a session reads what it has written, below 0 for none.
func (s *Scenario) followUpType() int {
	if s.Traffic.ThinkTime <= 0 {
		return -1
	}
	return slices.IndexFunc(s.Types, func(t TypeConfig) bool { return t.Consistency == "causal" })
}

// memberNamed finds a member by its name.
func (s *Scenario) findMember(name string) (group, member int, err error) {
	if n, e := fmt.Sscanf(name, "%d.%d", &group, &member); n != 2 || e != nil || fmt.Sprintf("%d.%d", group, member) != name {
		return 0, 0, fmt.Errorf("%q is no member: write 0.1 for the first replica of the first group", name)
	}
	if group < 0 || group >= len(s.Groups) || member < 0 || member >= s.Groups[group].Members {
		return 0, 0, fmt.Errorf("there is no member %s", name)
	}
	return group, member, nil
}

// terms are what the auditor holds a run against; slack is for messages under way.
func (s *Scenario) auditConfig(slack int64) audit.Config {
	config := audit.Config{DrainGrace: 250e6, Slack: slack, OverloadWindow: 1e9}
	for _, x := range s.Types {
		config.Types = append(config.Types, x.Type)
	}
	g := s.Groups[0]
	config.WarmUp, config.ColdFraction, config.OverloadFactor = g.WarmUp, g.ColdFraction, g.OverloadFactor
	return config
}

// settings are what a gateway's module is told of the platform, for one zone.
func (s *Scenario) gatewaySettings(zone int) ([]byte, error) {
	type m = map[string]any
	millis := func(ns int64) float64 { return float64(ns) / 1e6 }
	var classes []m
	var needs []string
	var bounds []float64
	for _, t := range s.Types {
		c := m{"name": t.Name, "effect": t.Effect, "promiseMs": millis(t.TargetLatency), "hardLimitMs": millis(t.MaxWait), "worth": t.Value,
			"lateValue": t.LateValue}
		if t.Effect == "by_key" {
			c["group"], c["windowMs"] = "cell", millis(t.DedupWindow)
			if t.AnyGroup {
				c["group"] = "all"
			}
		}
		classes = append(classes, c)
		consistency, maxAge := t.Consistency, millis(t.MaxAge)
		if consistency != "mutate" {
			switch s.Policy {
			case PolicyAllToPrimary:
				consistency = "strong"
			case PolicyLeastLoaded:
				consistency, maxAge = "eventual", 0
			}
		}
		needs, bounds = append(needs, consistency), append(bounds, maxAge)
	}
	g := s.Groups[0]
	return json.Marshal(m{
		"classes": classes,
		"familyInfo": m{"consistency": needs, "oldestDataMs": bounds, "whenBehind": "await", "writeMarks": "brought",
			"roleInList": "none", "countedFromMs": 0, "waitMs": millis(g.ReplicaWait), "answersStamped": true},
		"fleetSize": s.Gateways, "locality": zone, "membershipMode": "ask", "parties": []int{}, "tickMs": 5,
		"limits": m{"cancelling": true, "maxAttempts": 8, "mayDuplicate": false, "probes": true, "retryAfter": true,
			"connectTimeoutMs": millis(connectTimeout), "keepaliveMs": 15000, "maxRetryAfterMs": 1000},
		"loadReport": m{"how": "answers", "fields": []string{"x0", "x1", "util"}},
		"rules": m{"askWithinMs": 10000, "coldFrom": g.ColdFraction, "coldMs": millis(g.WarmUp), "drainGraceMs": 250,
			"fallMultiple": g.OverloadFactor, "overloadForMs": 1000},
		"machineTypes": []string{"m"}, "zones": s.Zones})
}

const connectTimeout = int64(250e6)
