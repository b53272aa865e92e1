package rehearse

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"

	"magpieglade/internal/hclfile"
	"magpieglade/rehearse/audit"
	"magpieglade/subset"
)

// parser reads one scenario file and collects its errors.
type parser struct{ hclfile.File }

// Read parses the scenario file at path.
func Read(path string) (*Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(text, path)
}

// Parse parses a scenario; errors carry the file position.
func Parse(text []byte, path string) (*Scenario, error) {
	body, err := hclfile.Parse(text, path)
	if err != nil {
		return nil, err
	}
	p := &parser{hclfile.File{Labels: map[string]string{"type": "name", "fault": "name"}}}
	content := p.Content(body, hcl.Range{Filename: path, Start: hcl.InitialPos, End: hcl.InitialPos}, "about length seed gateways subset connections signals zones sessions policy",
		"group", "network", "type", "traffic", "fault", "random", "expect")
	s := &Scenario{Name: strings.TrimSuffix(path[strings.LastIndex(path, "/")+1:], ".hcl"), Length: 20e9, Seed: 1, Gateways: 3, Zones: []string{"a", "b"},
		Network: NetworkConfig{IntraZoneLatency: 200e3, InterZoneLatency: 1e6}, Policy: PolicyDecide,
		Traffic: TrafficConfig{Rate: 400, Sessions: 400, RoamingFraction: 0.2, Retry: true}, Expect: Expectation{-1, -1, -1, true}}
	content.Decode("about", &s.Description)
	content.Duration("length", &s.Length, time.Second)
	seed := 1
	content.Int("seed", &seed, 0, 1<<53)
	s.Seed = uint64(seed)
	content.Int("gateways", &s.Gateways, 1, 5000)
	s.SubsetConnections = subset.DefaultConfig().Connections
	if content.Int("subset", &s.SubsetSize, 0, 1000); s.SubsetSize == 1 {
		p.AddError(content.RangeOf("subset"), "a subset must have at least two members", "Use 0 for all members.")
	}
	content.Decode("signals", &s.Signals)
	content.Int("connections", &s.SubsetConnections, 1, 10000)
	if content.Decode("zones", &s.Zones) && len(s.Zones) == 0 {
		p.AddError(content.Attrs["zones"].Expr.Range(), "zones is empty", "Name at least one zone.")
	}
	content.OneOf("policy", &s.Policy, Policies...)
	if s.Sessions = Brought; s.Gateways <= maxCoveredGateways {
		s.Sessions = "covered"
	}
	content.OneOf("sessions", &s.Sessions, SessionSources...)
	seen := map[string]bool{}
	for _, b := range content.Blocks {
		if (b.Type == "network" || b.Type == "traffic" || b.Type == "expect") && seen[b.Type] {
			p.AddError(b.DefRange, "a second block of "+b.Type, "Only one is allowed.")
			continue
		}
		seen[b.Type] = true
		switch b.Type {
		case "group":
			p.parseGroup(b, s)
		case "network":
			block := p.Content(b.Body, b.DefRange, "near far loss")
			block.Duration("near", &s.Network.IntraZoneLatency, time.Microsecond)
			block.Duration("far", &s.Network.InterZoneLatency, time.Microsecond)
			block.Float("loss", &s.Network.LossRatio, 0, 0.5)
		case "type":
			p.parseType(b, s)
		case "traffic":
			p.parseTraffic(b, s)
		case "random":
			p.parseRandom(b, s)
		case "expect":
			block := p.Content(b.Body, b.DefRange, "service worst10 worst_type rules")
			block.Float("service", &s.Expect.Service, 0, 1)
			block.Float("worst10", &s.Expect.Worst10, 0, 1)
			block.Float("worst_type", &s.Expect.WorstType, 0, 1)
			block.Decode("rules", &s.Expect.NoViolations)
		}
	}
	if len(s.Groups) == 0 {
		s.Groups = []GroupConfig{DefaultGroup()}
	}
	if len(s.Types) == 0 {
		s.Types = DefaultTypes()
	}
	for _, b := range content.Blocks { // after the loop above, as faults refer to zones, groups and gateways
		if b.Type == "fault" {
			p.parseFault(b, s)
		}
	}
	if err := p.Err(); err != nil {
		return nil, err
	}
	return s, s.Validate()
}

func (p *parser) parseGroup(b *hcl.Block, s *Scenario) {
	block := p.Content(b.Body, b.DefRange, "count members cores lag apply sync detect hand_over connections handshake thrash hold cold cold_from fall restart")
	g, count := DefaultGroup(), 1
	block.Int("count", &count, 1, 500)
	block.Int("members", &g.Members, 1, 100)
	block.Int("cores", &g.Cores, 1, 1000)
	block.Int("connections", &g.MaxConnections, 1, 100_000)
	block.Int("thrash", &g.ThrashingThreshold, 1, 100_000)
	block.Duration("lag", &g.ReplicationLag, 0)
	block.Duration("apply", &g.ApplyTime, 0)
	block.Duration("detect", &g.DetectionTime, time.Millisecond)
	block.Duration("hand_over", &g.SwitchoverTime, 0)
	block.Duration("handshake", &g.HandshakeTime, 0)
	block.Duration("hold", &g.ReplicaWait, 0)
	block.Duration("cold", &g.WarmUp, time.Millisecond)
	block.Duration("restart", &g.RestartTime, time.Millisecond)
	block.Float("cold_from", &g.ColdFraction, 0.01, 1)
	block.Float("fall", &g.OverloadFactor, 1, 100)
	block.Decode("sync", &g.SyncReplication)
	if len(s.Groups) > 0 && (g.WarmUp != s.Groups[0].WarmUp || g.ColdFraction != s.Groups[0].ColdFraction || g.OverloadFactor != s.Groups[0].OverloadFactor || g.ReplicaWait != s.Groups[0].ReplicaWait) {
		p.AddError(b.DefRange, "groups differ in cold, cold_from, fall or hold", "Gateways have one value of each for all groups.")
	}
	for range count {
		s.Groups = append(s.Groups, g)
	}
}

func (p *parser) parseType(b *hcl.Block, s *Scenario) {
	block := p.Content(b.Body, b.DefRange, "effect need bound window any_group worth late_value aim limit cost spread share")
	t := TypeConfig{Type: audit.Type{Name: b.Labels[0], Effect: "repeatable", Consistency: "eventual", Value: 1, TargetLatency: 300e6, MaxWait: 1e9}, Cost: 5e6, Distribution: Exponential, Weight: 1}
	if slices.ContainsFunc(s.Types, func(o TypeConfig) bool { return o.Name == t.Name }) {
		p.AddError(b.LabelRanges[0], fmt.Sprintf("duplicate type %q", t.Name), "Type names must be unique.")
	}
	block.OneOf("effect", &t.Effect, "repeatable", "by_key", "once")
	block.OneOf("need", &t.Consistency, "eventual", "lag_bound", "causal", "mutate")
	block.Duration("bound", &t.MaxAge, time.Millisecond)
	block.Duration("window", &t.DedupWindow, time.Millisecond)
	block.Duration("aim", &t.TargetLatency, time.Millisecond)
	block.Duration("limit", &t.MaxWait, time.Millisecond)
	block.Duration("cost", &t.Cost, time.Microsecond)
	block.Float("worth", &t.Value, 0.001, 1e6)
	block.Float("late_value", &t.LateValue, 0, 1)
	block.Float("share", &t.Weight, 0, 1e6)
	block.OneOf("spread", &t.Distribution, Fixed, Exponential, Lognormal)
	block.Decode("any_group", &t.AnyGroup)
	if t.Consistency == "lag_bound" {
		block.Require("bound")
	}
	if t.Effect == "by_key" {
		block.Require("window")
	}
	if (t.Consistency == "mutate") != (t.Effect != "repeatable") {
		p.AddError(b.DefRange, fmt.Sprintf("type %q: what changes data must have effect by_key or once, reads must be repeatable", t.Name), "Set need and effect to values that match.")
	}
	if t.MaxWait < t.TargetLatency {
		p.AddError(b.DefRange, fmt.Sprintf("type %q: limit is less than aim", t.Name), "Raise limit.")
	}
	s.Types = append(s.Types, t)
}

func (p *parser) parseTraffic(b *hcl.Block, s *Scenario) {
	block := p.Content(b.Body, b.DefRange, "rate sessions roam swing period retry think piped rude", "jump")
	t := &s.Traffic
	block.Float("rate", &t.Rate, 0.1, 1e6)
	block.Int("sessions", &t.Sessions, 1, 10_000_000)
	block.Float("roam", &t.RoamingFraction, 0, 1)
	block.Float("swing", &t.WaveAmplitude, 0, 1)
	block.Duration("period", &t.WavePeriod, 10*time.Millisecond)
	block.Decode("retry", &t.Retry)
	block.Duration("think", &t.ThinkTime, time.Millisecond)
	block.Float("piped", &t.PipelinedFraction, 0, 1)
	block.Float("rude", &t.BadClientRate, 0, 10_000)
	for _, b := range block.Blocks {
		in := p.Content(b.Body, b.DefRange, "at for times")
		j := Burst{RateFactor: 2}
		in.Require("at", "for")
		in.Duration("at", &j.At, 0)
		in.Duration("for", &j.Duration, time.Millisecond)
		in.Float("times", &j.RateFactor, 0, 1000)
		t.Bursts = append(t.Bursts, j)
	}
}

func faultKindNames() (all []string) {
	for k := range FaultKinds {
		all = append(all, k)
	}
	slices.Sort(all)
	return all
}

func (p *parser) parseFault(b *hcl.Block, s *Scenario) {
	block := p.Content(b.Body, b.DefRange, "at for member gateway zone factor lag")
	x := Fault{Kind: b.Labels[0], Factor: 1}
	needs, ok := FaultKinds[x.Kind]
	if !ok {
		p.AddError(b.LabelRanges[0], fmt.Sprintf("unknown fault %q", x.Kind), "It is one of "+strings.Join(faultKindNames(), ", ")+".")
		return
	}
	block.Require(append([]string{"at"}, needs...)...)
	if x.Kind != "move" {
		block.Require("for")
	}
	block.Duration("at", &x.At, 0)
	block.Duration("for", &x.Duration, time.Millisecond)
	block.Duration("lag", &x.Lag, 0)
	block.Int("gateway", &x.Gateway, 0, s.Gateways-1)
	block.Float("factor", &x.Factor, 0, 1000)
	block.OneOf("zone", &x.Zone, s.Zones...)
	if block.Decode("member", &x.Member) {
		if _, _, err := s.findMember(x.Member); err != nil {
			p.AddError(block.Attrs["member"].Expr.Range(), err.Error(), "Groups and members are numbered from 0; 0.0 is the first primary.")
		}
	}
	s.Faults = append(s.Faults, x)
}

func (p *parser) parseRandom(b *hcl.Block, s *Scenario) {
	block := p.Content(b.Body, b.DefRange, "every for kinds factor lag")
	r := RandomFaults{MeanInterval: 5e9, Duration: 2e9, Kinds: []string{"crash", "pause", "slow", "lag"}, Factor: 5, Lag: 1e9}
	block.Duration("every", &r.MeanInterval, 10*time.Millisecond)
	block.Duration("for", &r.Duration, time.Millisecond)
	block.Duration("lag", &r.Lag, 0)
	block.Float("factor", &r.Factor, 0, 1000)
	if block.Decode("kinds", &r.Kinds) {
		for _, k := range r.Kinds {
			if _, ok := FaultKinds[k]; !ok {
				p.AddError(block.Attrs["kinds"].Expr.Range(), fmt.Sprintf("unknown fault %q", k), "It is one of "+strings.Join(faultKindNames(), ", ")+".")
			}
		}
		if len(r.Kinds) == 0 {
			p.AddError(block.Attrs["kinds"].Expr.Range(), "kinds is empty", "Name at least one kind.")
		}
	}
	s.Random = append(s.Random, r)
}
