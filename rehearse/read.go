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

// file reads one scenario file.
type file struct{ hclfile.File }

// Read reads a scenario's file.
func Read(path string) (*Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(text, path)
}

// Parse reads a scenario's text; each mistake comes with its place.
func Parse(text []byte, path string) (*Scenario, error) {
	body, err := hclfile.Parse(text, path)
	if err != nil {
		return nil, err
	}
	f := &file{hclfile.File{Labels: map[string]string{"type": "name", "fault": "name"}}}
	top := f.Content(body, hcl.Range{Filename: path, Start: hcl.InitialPos, End: hcl.InitialPos}, "about length seed gateways subset connections signals zones sessions policy",
		"group", "network", "type", "traffic", "fault", "random", "expect")
	s := &Scenario{Name: strings.TrimSuffix(path[strings.LastIndex(path, "/")+1:], ".hcl"), Length: 20e9, Seed: 1, Gateways: 3, Zones: []string{"a", "b"},
		Network: NetworkPlan{Near: 200e3, Far: 1e6}, Policy: ByModule,
		Traffic: TrafficPlan{Rate: 400, Sessions: 400, Roam: 0.2, Retry: true}, Expect: Expectation{-1, -1, -1, true}}
	top.Decode("about", &s.About)
	top.Duration("length", &s.Length, time.Second)
	seed := 1
	top.Int("seed", &seed, 0, 1<<53)
	s.Seed = uint64(seed)
	top.Int("gateways", &s.Gateways, 1, 5000)
	s.SubsetConnections = subset.DefaultConfig().Connections
	if top.Int("subset", &s.Subset, 0, 1000); s.Subset == 1 {
		f.AddError(top.RangeOf("subset"), "a subset has two members at the least", "0 is all of them.")
	}
	top.Decode("signals", &s.Signals)
	top.Int("connections", &s.SubsetConnections, 1, 10000)
	if top.Decode("zones", &s.Zones) && len(s.Zones) == 0 {
		f.AddError(top.Attrs["zones"].Expr.Range(), "there are no zones", "Name one.")
	}
	top.OneOf("policy", &s.Policy, Policies...)
	if s.Sessions = Brought; s.Gateways <= maxCoveredGateways {
		s.Sessions = "covered"
	}
	top.OneOf("sessions", &s.Sessions, SessionSources...)
	seen := map[string]bool{}
	for _, b := range top.Blocks {
		if (b.Type == "network" || b.Type == "traffic" || b.Type == "expect") && seen[b.Type] {
			f.AddError(b.DefRange, "a second block of "+b.Type, "There may be one.")
			continue
		}
		seen[b.Type] = true
		switch b.Type {
		case "group":
			f.group(b, s)
		case "network":
			p := f.Content(b.Body, b.DefRange, "near far loss")
			p.Duration("near", &s.Network.Near, time.Microsecond)
			p.Duration("far", &s.Network.Far, time.Microsecond)
			p.Float("loss", &s.Network.Loss, 0, 0.5)
		case "type":
			f.typed(b, s)
		case "traffic":
			f.traffic(b, s)
		case "random":
			f.random(b, s)
		case "expect":
			p := f.Content(b.Body, b.DefRange, "service worst10 worst_type rules")
			p.Float("service", &s.Expect.Service, 0, 1)
			p.Float("worst10", &s.Expect.Worst10, 0, 1)
			p.Float("worst_type", &s.Expect.WorstType, 0, 1)
			p.Decode("rules", &s.Expect.Rules)
		}
	}
	if len(s.Groups) == 0 {
		s.Groups = []GroupPlan{DefaultGroup()}
	}
	if len(s.Types) == 0 {
		s.Types = DefaultTypes()
	}
	for _, b := range top.Blocks { // they name what stands elsewhere
		if b.Type == "fault" {
			f.fault(b, s)
		}
	}
	if err := f.Err(); err != nil {
		return nil, err
	}
	return s, s.Check()
}

func (f *file) group(b *hcl.Block, s *Scenario) {
	p := f.Content(b.Body, b.DefRange, "count members cores lag apply sync detect hand_over connections handshake thrash hold cold cold_from fall restart")
	g, count := DefaultGroup(), 1
	p.Int("count", &count, 1, 500)
	p.Int("members", &g.Members, 1, 100)
	p.Int("cores", &g.Cores, 1, 1000)
	p.Int("connections", &g.Connections, 1, 100_000)
	p.Int("thrash", &g.Thrash, 1, 100_000)
	p.Duration("lag", &g.Lag, 0)
	p.Duration("apply", &g.Apply, 0)
	p.Duration("detect", &g.Detect, time.Millisecond)
	p.Duration("hand_over", &g.HandOver, 0)
	p.Duration("handshake", &g.Handshake, 0)
	p.Duration("hold", &g.Hold, 0)
	p.Duration("cold", &g.Cold, time.Millisecond)
	p.Duration("restart", &g.Restart, time.Millisecond)
	p.Float("cold_from", &g.ColdFrom, 0.01, 1)
	p.Float("fall", &g.Fall, 1, 100)
	p.Decode("sync", &g.Sync)
	if len(s.Groups) > 0 && (g.Cold != s.Groups[0].Cold || g.ColdFrom != s.Groups[0].ColdFrom || g.Fall != s.Groups[0].Fall || g.Hold != s.Groups[0].Hold) {
		f.AddError(b.DefRange, "groups differ in cold, cold_from, fall or hold", "Gateways know one of each for all.")
	}
	for range count {
		s.Groups = append(s.Groups, g)
	}
}

func (f *file) typed(b *hcl.Block, s *Scenario) {
	p := f.Content(b.Body, b.DefRange, "effect need bound window any_group worth late_value aim limit cost spread share")
	t := TypePlan{Type: audit.Type{Name: b.Labels[0], Effect: "repeatable", Consistency: "eventual", Value: 1, TargetLatency: 300e6, MaxWait: 1e9}, Cost: 5e6, Spread: Exponential, Share: 1}
	if slices.ContainsFunc(s.Types, func(o TypePlan) bool { return o.Name == t.Name }) {
		f.AddError(b.LabelRanges[0], fmt.Sprintf("type %q stands twice", t.Name), "Each stands once.")
	}
	p.OneOf("effect", &t.Effect, "repeatable", "by_key", "once")
	p.OneOf("need", &t.Consistency, "eventual", "lag_bound", "causal", "mutate")
	p.Duration("bound", &t.MaxAge, time.Millisecond)
	p.Duration("window", &t.DedupWindow, time.Millisecond)
	p.Duration("aim", &t.TargetLatency, time.Millisecond)
	p.Duration("limit", &t.MaxWait, time.Millisecond)
	p.Duration("cost", &t.Cost, time.Microsecond)
	p.Float("worth", &t.Value, 0.001, 1e6)
	p.Float("late_value", &t.LateValue, 0, 1)
	p.Float("share", &t.Share, 0, 1e6)
	p.OneOf("spread", &t.Spread, Fixed, Exponential, Lognormal)
	p.Decode("any_group", &t.AnyGroup)
	if t.Consistency == "lag_bound" {
		p.Require("bound")
	}
	if t.Effect == "by_key" {
		p.Require("window")
	}
	if (t.Consistency == "mutate") != (t.Effect != "repeatable") {
		f.AddError(b.DefRange, fmt.Sprintf("type %q: what changes data is by_key or once, what reads is repeatable", t.Name), "Say need and effect that go together.")
	}
	if t.MaxWait < t.TargetLatency {
		f.AddError(b.DefRange, fmt.Sprintf("type %q: the limit is under the aim", t.Name), "Raise it.")
	}
	s.Types = append(s.Types, t)
}

func (f *file) traffic(b *hcl.Block, s *Scenario) {
	p := f.Content(b.Body, b.DefRange, "rate sessions roam swing period retry think piped rude", "jump")
	t := &s.Traffic
	p.Float("rate", &t.Rate, 0.1, 1e6)
	p.Int("sessions", &t.Sessions, 1, 10_000_000)
	p.Float("roam", &t.Roam, 0, 1)
	p.Float("swing", &t.Swing, 0, 1)
	p.Duration("period", &t.Period, 10*time.Millisecond)
	p.Decode("retry", &t.Retry)
	p.Duration("think", &t.Think, time.Millisecond)
	p.Float("piped", &t.Piped, 0, 1)
	p.Float("rude", &t.Rude, 0, 10_000)
	for _, b := range p.Blocks {
		in := f.Content(b.Body, b.DefRange, "at for times")
		j := Jump{Times: 2}
		in.Require("at", "for")
		in.Duration("at", &j.At, 0)
		in.Duration("for", &j.For, time.Millisecond)
		in.Float("times", &j.Times, 0, 1000)
		t.Jumps = append(t.Jumps, j)
	}
}

func kinds() (all []string) {
	for k := range Faults {
		all = append(all, k)
	}
	slices.Sort(all)
	return all
}

func (f *file) fault(b *hcl.Block, s *Scenario) {
	p := f.Content(b.Body, b.DefRange, "at for member gateway zone factor lag")
	x := Fault{Kind: b.Labels[0], Factor: 1}
	needs, ok := Faults[x.Kind]
	if !ok {
		f.AddError(b.LabelRanges[0], fmt.Sprintf("unknown fault %q", x.Kind), "It is one of "+strings.Join(kinds(), ", ")+".")
		return
	}
	p.Require(append([]string{"at"}, needs...)...)
	if x.Kind != "move" {
		p.Require("for")
	}
	p.Duration("at", &x.At, 0)
	p.Duration("for", &x.For, time.Millisecond)
	p.Duration("lag", &x.Lag, 0)
	p.Int("gateway", &x.Gateway, 0, s.Gateways-1)
	p.Float("factor", &x.Factor, 0, 1000)
	p.OneOf("zone", &x.Zone, s.Zones...)
	if p.Decode("member", &x.Member) {
		if _, _, err := s.memberNamed(x.Member); err != nil {
			f.AddError(p.Attrs["member"].Expr.Range(), err.Error(), "Groups and members count from 0; 0.0 is the first primary.")
		}
	}
	s.Faults = append(s.Faults, x)
}

func (f *file) random(b *hcl.Block, s *Scenario) {
	p := f.Content(b.Body, b.DefRange, "every for kinds factor lag")
	r := RandomFaults{Every: 5e9, For: 2e9, Kinds: []string{"crash", "pause", "slow", "lag"}, Factor: 5, Lag: 1e9}
	p.Duration("every", &r.Every, 10*time.Millisecond)
	p.Duration("for", &r.For, time.Millisecond)
	p.Duration("lag", &r.Lag, 0)
	p.Float("factor", &r.Factor, 0, 1000)
	if p.Decode("kinds", &r.Kinds) {
		for _, k := range r.Kinds {
			if _, ok := Faults[k]; !ok {
				f.AddError(p.Attrs["kinds"].Expr.Range(), fmt.Sprintf("unknown fault %q", k), "It is one of "+strings.Join(kinds(), ", ")+".")
			}
		}
		if len(r.Kinds) == 0 {
			f.AddError(p.Attrs["kinds"].Expr.Range(), "there are no kinds", "Name one.")
		}
	}
	s.Random = append(s.Random, r)
}
