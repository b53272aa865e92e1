package rehearse

import (
	"encoding/json"
	"fmt"
	"slices"

	"magpieglade/rehearse/audit"
	"magpieglade/routes"
)

// Scenario describes one run: the fleet, its traffic, the faults to inject and the expected results. Times are in
// nanoseconds.
type Scenario struct {
	Name, Description string
	Length            int64
	Seed              uint64
	Gateways          int
	SubsetSize        int             // members of each group that a gateway connects to, 0 for all; simulation only
	SubsetConnections int             // minimum number of gateways per member
	Signals           bool            // gateways share what they learn about members; simulation only
	MaxInFlight       int             // in-flight limit of each gateway over all tenants, 0 for none; simulation only
	Tenants           []routes.Tenant // tenants that the txn types belong to
	ReservedSlots     map[string]int  // in-flight slots that each gateway reserves, by tenant
	TenantGateways    map[string]int  // number of gateways that a tenant's clients use, counted from gateway 0
	Zones             []string
	Groups            []GroupConfig
	Network           NetworkConfig
	Types             []TypeConfig
	Traffic           TrafficConfig
	Faults            []Fault
	Random            []RandomFaults
	Expect            Expectation
	Sessions          string // where the minimum position of a session's read comes from: one of SessionSources
	Policy            string // read placement: one of Policies
}

// Read placement policies. The baselines use the same decision module, but change the consistency settings it is given so
// that it behaves like a simpler gateway.
const (
	PolicyDecide       = "decide"
	PolicyAllToPrimary = "all to primary"
	PolicyLeastLoaded  = "least loaded"
)

// Policies lists the valid values of Scenario.Policy.
var Policies = []string{PolicyDecide, PolicyAllToPrimary, PolicyLeastLoaded}

// SessionSources lists the valid values of Scenario.Sessions: positions are tracked by the gateways ("covered", "fenced",
// "own") or carried by the clients ("brought").
var SessionSources = []string{Brought, "covered", "fenced", "own"}

// GroupConfig describes a replication group, which has one primary and its replicas.
type GroupConfig struct {
	Members            int
	Cores              int
	ReplicationLag     int64 // delay of log shipping
	ApplyTime          int64 // per commit; commits are applied serially
	SyncReplication    bool  // a commit survives the loss of its primary
	DetectionTime      int64 // from the loss of a primary to its replacement
	SwitchoverTime     int64 // time without a primary during a planned switchover
	MaxConnections     int   // connection limit of a member
	HandshakeTime      int64
	ThrashingThreshold int     // concurrent queries at a member above which each further one slows all down
	ReplicaWait        int64   // how long a replica waits to reach a requested position
	WarmUp             int64   // how long a member is cold after its start
	ColdFraction       float64 // initial speed of a cold member, as a fraction of its warm speed
	OverloadFactor     float64 // load, as a multiple of its capacity, at which a cold member fails
	RestartTime        int64   // how long a member takes to restart after such a failure
}

// NetworkConfig describes the one-way latency and the loss of messages.
type NetworkConfig struct {
	IntraZoneLatency, InterZoneLatency int64 // means
	LossRatio                          float64
}

// TypeConfig describes a txn type: its service requirements and the load that it puts on databases.
type TypeConfig struct {
	audit.Type
	Cost         int64 // mean service time on one core of a warm member
	Distribution string
	Weight       float64 // relative frequency among all txns
	Tenant       string  // empty for none
}

// Distributions of service times.
const (
	Fixed       = "fixed"
	Exponential = "exponential"
	Lognormal   = "lognormal"
)

// TrafficConfig describes an open-loop load: clients send at scheduled times, whatever the responses.
type TrafficConfig struct {
	Rate              float64 // txns per second, without retries
	Sessions          int
	RoamingFraction   float64 // fraction of txns sent to a random gateway instead of the session's own
	WaveAmplitude     float64 // amplitude of a periodic variation, as a fraction of the rate
	WavePeriod        int64
	Bursts            []Burst
	Retry             bool
	ThinkTime         int64   // mean delay before a session reads its own write back, 0 for no such read
	PipelinedFraction float64 // fraction of reads sent three at a time on one connection, without waiting for responses
	BadClientRate     float64 // misbehaving clients per second; real processes only
}

// Burst multiplies the traffic rate for a limited time.
type Burst struct {
	At, Duration int64
	RateFactor   float64
}

// Fault is one injected fault.
type Fault struct {
	Kind         string
	At, Duration int64
	Member       string // "group.member", for example "0.1"
	Gateway      int
	Zone         string
	Group        int
	Factor       float64
	Lag          int64
}

// FaultKinds maps each kind of fault to the attributes that it requires besides its time.
var FaultKinds = map[string][]string{
	"crash":        {"member"},           // the member's process ends, and restarts cold after the duration
	"pause":        {"member"},           // the member accepts queries, but responds to none before the fault ends
	"slow":         {"member", "factor"}, // service times are multiplied by the factor
	"lag":          {"member", "lag"},    // the replication lag is this much longer in the simulation, and set to this value in real time
	"drain":        {"member"},           // the member list marks the member as leaving
	"errors":       {"member", "factor"}, // this fraction of its responses are errors
	"answers_lost": {"member", "factor"}, // this fraction of its connections break after the query has run, before the response
	"move":         {"member"},           // planned switchover to this member
	"cut":          {"zone"},             // the zone is partitioned from all others
	"list":         {},                   // the list service is unavailable
	"kill":         {"gateway"},          // the gateway's process ends, and restarts without state after the duration
	"apart":        {"gateway"},          // the gateway is partitioned from the other gateways, but not from its clients and databases
	"halves":       {},                   // the same, between the first half of the gateways and the others
	"rough":        {"factor"},           // this fraction of the messages between gateways is lost
}

// isolates reports whether the fault blocks all messages from one gateway to another.
func (f *Fault) isolates(from, to, gateways int) bool {
	switch f.Kind {
	case "apart":
		return (from == f.Gateway) != (to == f.Gateway)
	case "halves":
		return (from < gateways/2) != (to < gateways/2)
	}
	return false
}

// isBetweenGateways reports whether the fault affects only the network between gateways.
func (f *Fault) isBetweenGateways() bool {
	return f.Kind == "apart" || f.Kind == "halves" || f.Kind == "rough"
}

// RandomFaults injects faults at random times, of random kinds and on random targets.
type RandomFaults struct {
	MeanInterval, Duration int64
	Kinds                  []string
	Factor                 float64
	Lag                    int64
}

// Expectation holds the minimum results of a run; a negative minimum is not checked.
type Expectation struct {
	Service, Worst10, WorstType float64
	NoViolations                bool
}

// DefaultGroup returns the defaults of a group block.
func DefaultGroup() GroupConfig {
	return GroupConfig{Members: 3, Cores: 4, ReplicationLag: 20e6, ApplyTime: 100e3, SyncReplication: true, DetectionTime: 2e9, SwitchoverTime: 300e6, MaxConnections: 200,
		HandshakeTime: 1e6, ThrashingThreshold: 64, ReplicaWait: 20e6, WarmUp: 10e9, ColdFraction: 0.25, OverloadFactor: 2, RestartTime: 5e9}
}

// DefaultTypes returns the txn types of a web portal, used when a file has none.
func DefaultTypes() []TypeConfig {
	return []TypeConfig{
		{Type: audit.Type{Name: "search", Effect: "repeatable", Consistency: "eventual", Value: 1, TargetLatency: 300e6, MaxWait: 1e9}, Cost: 6e6, Distribution: Exponential, Weight: 0.4},
		{Type: audit.Type{Name: "my-page", Effect: "repeatable", Consistency: "causal", Value: 2, TargetLatency: 300e6, MaxWait: 1e9}, Cost: 4e6, Distribution: Exponential, Weight: 0.35},
		{Type: audit.Type{Name: "overview", Effect: "repeatable", Consistency: "lag_bound", MaxAge: 500e6, Value: 1, TargetLatency: 300e6, MaxWait: 1e9}, Cost: 5e6, Distribution: Exponential, Weight: 0.1},
		{Type: audit.Type{Name: "record", Effect: "by_key", Consistency: "mutate", DedupWindow: 2e9, Value: 4, LateValue: 0.3, TargetLatency: 500e6, MaxWait: 2e9}, Cost: 3e6, Distribution: Exponential, Weight: 0.14},
		{Type: audit.Type{Name: "pay", Effect: "once", Consistency: "mutate", Value: 6, LateValue: 0.3, TargetLatency: 500e6, MaxWait: 2e9}, Cost: 3e6, Distribution: Exponential, Weight: 0.01},
	}
}

// Validate checks what the parser of scenario files doesn't check.
func (s *Scenario) Validate() error {
	switch {
	case s.Length <= 0 || s.Gateways < 1 || len(s.Groups) == 0 || len(s.Types) == 0 || len(s.Zones) == 0:
		return fmt.Errorf("a scenario needs a length, gateways, zones, groups and txn types")
	case s.Traffic.Rate <= 0 || s.Traffic.Sessions < 1:
		return fmt.Errorf("traffic needs a rate and sessions")
	case !slices.Contains(SessionSources, s.Sessions):
		return fmt.Errorf("unknown session source %q", s.Sessions)
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

// followUpType returns the index of the txn type with which a session reads its own writes, or -1 for none.
func (s *Scenario) followUpType() int {
	if s.Traffic.ThinkTime <= 0 {
		return -1
	}
	return slices.IndexFunc(s.Types, func(t TypeConfig) bool { return t.Consistency == "causal" })
}

// findMember resolves a member name of the form "group.member".
func (s *Scenario) findMember(name string) (group, member int, err error) {
	if n, e := fmt.Sscanf(name, "%d.%d", &group, &member); n != 2 || e != nil || fmt.Sprintf("%d.%d", group, member) != name {
		return 0, 0, fmt.Errorf("%q is not a member name: 0.1 is the first replica of the first group", name)
	}
	if group < 0 || group >= len(s.Groups) || member < 0 || member >= s.Groups[group].Members {
		return 0, 0, fmt.Errorf("there is no member %s", name)
	}
	return group, member, nil
}

// auditConfig returns the auditor's configuration; slack allows for messages in transit.
func (s *Scenario) auditConfig(slack int64) audit.Config {
	config := audit.Config{DrainGrace: 250e6, Slack: slack, OverloadWindow: 1e9}
	for _, x := range s.Types {
		config.Types = append(config.Types, x.Type)
	}
	g := s.Groups[0]
	config.WarmUp, config.ColdFraction, config.OverloadFactor = g.WarmUp, g.ColdFraction, g.OverloadFactor
	return config
}

// gatewaySettings returns the platform settings, as JSON, that the decision module of a gateway in the given zone receives.
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
