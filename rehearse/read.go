package rehearse

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/gohcl"
	"github.com/hashicorp/hcl/v2/hclsyntax"

	"magpieglade/rehearse/audit"
)

// file reads one scenario file and gathers what is wrong, so that all of it is told at once.
type file struct{ diags hcl.Diagnostics }

// part is a block's content.
type part struct {
	f      *file
	at     hcl.Range
	attrs  hcl.Attributes
	blocks hcl.Blocks
}

func (f *file) wrong(at hcl.Range, what, way string) {
	f.diags = append(f.diags, &hcl.Diagnostic{Severity: hcl.DiagError, Summary: what, Detail: way, Subject: &at})
}

func (f *file) part(body hcl.Body, at hcl.Range, attrs string, blocks ...string) *part {
	var schema hcl.BodySchema
	for _, name := range strings.Fields(attrs) {
		schema.Attributes = append(schema.Attributes, hcl.AttributeSchema{Name: name})
	}
	for _, name := range blocks {
		b := hcl.BlockHeaderSchema{Type: name}
		if name == "type" || name == "fault" {
			b.LabelNames = []string{"name"}
		}
		schema.Blocks = append(schema.Blocks, b)
	}
	c, diags := body.Content(&schema)
	f.diags = append(f.diags, diags...)
	return &part{f, at, c.Attributes, c.Blocks}
}

func value[T any](p *part, name string, to *T) bool {
	a := p.attrs[name]
	if a == nil {
		return false
	}
	diags := gohcl.DecodeExpression(a.Expr, nil, to)
	p.f.diags = append(p.f.diags, diags...)
	return !diags.HasErrors()
}

func (p *part) span(name string, to *int64, least time.Duration) {
	var text string
	if !value(p, name, &text) {
		return
	}
	d, err := time.ParseDuration(text)
	if err != nil || d < least {
		p.f.wrong(p.attrs[name].Expr.Range(), fmt.Sprintf("%s is no span of at least %v", name, least), `Write it as "20ms" or "10s".`)
		return
	}
	*to = int64(d)
}

func (p *part) number(name string, to *float64, least, most float64) {
	if x := 0.0; value(p, name, &x) {
		if x < least || x > most {
			p.f.wrong(p.attrs[name].Expr.Range(), name+" is out of range", fmt.Sprintf("It is from %v to %v.", least, most))
			return
		}
		*to = x
	}
}

func (p *part) whole(name string, to *int, least, most int) {
	if n := 0; value(p, name, &n) {
		if n < least || n > most {
			p.f.wrong(p.attrs[name].Expr.Range(), name+" is out of range", fmt.Sprintf("It is from %d to %d.", least, most))
			return
		}
		*to = n
	}
}

func (p *part) oneOf(name string, to *string, all ...string) {
	var text string
	if !value(p, name, &text) {
		return
	}
	if !slices.Contains(all, text) {
		p.f.wrong(p.attrs[name].Expr.Range(), fmt.Sprintf("%s has the unknown value %q", name, text), "It is one of "+strings.Join(all, ", ")+".")
		return
	}
	*to = text
}

func (p *part) needs(names ...string) {
	for _, n := range names {
		if p.attrs[n] == nil {
			p.f.wrong(p.at, n+" is lacking", "Say it.")
		}
	}
}

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
	parsed, diags := hclsyntax.ParseConfig(text, path, hcl.InitialPos)
	if diags.HasErrors() {
		return nil, Told(diags)
	}
	f := &file{}
	top := f.part(parsed.Body, hcl.Range{Filename: path, Start: hcl.InitialPos, End: hcl.InitialPos}, "about length seed gateways zones sessions policy",
		"group", "network", "type", "traffic", "fault", "random", "expect")
	s := &Scenario{Name: strings.TrimSuffix(path[strings.LastIndex(path, "/")+1:], ".hcl"), Length: 20e9, Seed: 1, Gateways: 3, Zones: []string{"a", "b"},
		Network: NetworkPlan{Near: 200e3, Far: 1e6}, Policy: ByModule,
		Traffic: TrafficPlan{Rate: 400, Sessions: 400, Roam: 0.2, Retry: true}, Expect: Expectation{-1, -1, -1, true}}
	value(top, "about", &s.About)
	top.span("length", &s.Length, time.Second)
	seed := 1
	top.whole("seed", &seed, 0, 1<<53)
	s.Seed = uint64(seed)
	top.whole("gateways", &s.Gateways, 1, 5000)
	if value(top, "zones", &s.Zones) && len(s.Zones) == 0 {
		f.wrong(top.attrs["zones"].Expr.Range(), "there are no zones", "Name one.")
	}
	top.oneOf("policy", &s.Policy, Policies...)
	if s.Sessions = Brought; s.Gateways <= usualCovered {
		s.Sessions = "covered"
	}
	top.oneOf("sessions", &s.Sessions, SessionSources...)
	seen := map[string]bool{}
	for _, b := range top.blocks {
		if (b.Type == "network" || b.Type == "traffic" || b.Type == "expect") && seen[b.Type] {
			f.wrong(b.DefRange, "a second block of "+b.Type, "There may be one.")
			continue
		}
		seen[b.Type] = true
		switch b.Type {
		case "group":
			f.group(b, s)
		case "network":
			p := f.part(b.Body, b.DefRange, "near far loss")
			p.span("near", &s.Network.Near, time.Microsecond)
			p.span("far", &s.Network.Far, time.Microsecond)
			p.number("loss", &s.Network.Loss, 0, 0.5)
		case "type":
			f.typed(b, s)
		case "traffic":
			f.traffic(b, s)
		case "random":
			f.random(b, s)
		case "expect":
			p := f.part(b.Body, b.DefRange, "service worst10 worst_type rules")
			p.number("service", &s.Expect.Service, 0, 1)
			p.number("worst10", &s.Expect.Worst10, 0, 1)
			p.number("worst_type", &s.Expect.WorstType, 0, 1)
			value(p, "rules", &s.Expect.Rules)
		}
	}
	if len(s.Groups) == 0 {
		s.Groups = []GroupPlan{DefaultGroup()}
	}
	if len(s.Types) == 0 {
		s.Types = DefaultTypes()
	}
	for _, b := range top.blocks { // they name what stands elsewhere
		if b.Type == "fault" {
			f.fault(b, s)
		}
	}
	if f.diags.HasErrors() {
		return nil, Told(f.diags)
	}
	return s, s.Check()
}

func (f *file) group(b *hcl.Block, s *Scenario) {
	p := f.part(b.Body, b.DefRange, "count members cores lag apply sync detect hand_over connections handshake thrash hold cold cold_from fall restart")
	g, count := DefaultGroup(), 1
	p.whole("count", &count, 1, 500)
	p.whole("members", &g.Members, 1, 100)
	p.whole("cores", &g.Cores, 1, 1000)
	p.whole("connections", &g.Connections, 1, 100_000)
	p.whole("thrash", &g.Thrash, 1, 100_000)
	p.span("lag", &g.Lag, 0)
	p.span("apply", &g.Apply, 0)
	p.span("detect", &g.Detect, time.Millisecond)
	p.span("hand_over", &g.HandOver, 0)
	p.span("handshake", &g.Handshake, 0)
	p.span("hold", &g.Hold, 0)
	p.span("cold", &g.Cold, time.Millisecond)
	p.span("restart", &g.Restart, time.Millisecond)
	p.number("cold_from", &g.ColdFrom, 0.01, 1)
	p.number("fall", &g.Fall, 1, 100)
	value(p, "sync", &g.Sync)
	if len(s.Groups) > 0 && (g.Cold != s.Groups[0].Cold || g.ColdFrom != s.Groups[0].ColdFrom || g.Fall != s.Groups[0].Fall || g.Hold != s.Groups[0].Hold) {
		f.wrong(b.DefRange, "groups differ in cold, cold_from, fall or hold", "Gateways know one of each for all.")
	}
	for range count {
		s.Groups = append(s.Groups, g)
	}
}

func (f *file) typed(b *hcl.Block, s *Scenario) {
	p := f.part(b.Body, b.DefRange, "effect need bound window any_group worth late_value aim limit cost spread share")
	t := TypePlan{Type: audit.Type{Name: b.Labels[0], Effect: "repeatable", Need: "eventual", Worth: 1, Aim: 300e6, Limit: 1e9}, Cost: 5e6, Spread: Exponential, Share: 1}
	if slices.ContainsFunc(s.Types, func(o TypePlan) bool { return o.Name == t.Name }) {
		f.wrong(b.LabelRanges[0], fmt.Sprintf("type %q stands twice", t.Name), "Each stands once.")
	}
	p.oneOf("effect", &t.Effect, "repeatable", "by_key", "once")
	p.oneOf("need", &t.Need, "eventual", "lag_bound", "causal", "mutate")
	p.span("bound", &t.Bound, time.Millisecond)
	p.span("window", &t.Window, time.Millisecond)
	p.span("aim", &t.Aim, time.Millisecond)
	p.span("limit", &t.Limit, time.Millisecond)
	p.span("cost", &t.Cost, time.Microsecond)
	p.number("worth", &t.Worth, 0.001, 1e6)
	p.number("late_value", &t.LateValue, 0, 1)
	p.number("share", &t.Share, 0, 1e6)
	p.oneOf("spread", &t.Spread, Fixed, Exponential, Lognormal)
	value(p, "any_group", &t.AnyGroup)
	if t.Need == "lag_bound" {
		p.needs("bound")
	}
	if t.Effect == "by_key" {
		p.needs("window")
	}
	if (t.Need == "mutate") != (t.Effect != "repeatable") {
		f.wrong(b.DefRange, fmt.Sprintf("type %q: what changes data is by_key or once, what reads is repeatable", t.Name), "Say need and effect that go together.")
	}
	if t.Limit < t.Aim {
		f.wrong(b.DefRange, fmt.Sprintf("type %q: the limit is under the aim", t.Name), "Raise it.")
	}
	s.Types = append(s.Types, t)
}

func (f *file) traffic(b *hcl.Block, s *Scenario) {
	p := f.part(b.Body, b.DefRange, "rate sessions roam swing period retry think piped rude", "jump")
	t := &s.Traffic
	p.number("rate", &t.Rate, 0.1, 1e6)
	p.whole("sessions", &t.Sessions, 1, 10_000_000)
	p.number("roam", &t.Roam, 0, 1)
	p.number("swing", &t.Swing, 0, 1)
	p.span("period", &t.Period, 10*time.Millisecond)
	value(p, "retry", &t.Retry)
	p.span("think", &t.Think, time.Millisecond)
	p.number("piped", &t.Piped, 0, 1)
	p.number("rude", &t.Rude, 0, 10_000)
	for _, b := range p.blocks {
		in := f.part(b.Body, b.DefRange, "at for times")
		j := Jump{Times: 2}
		in.needs("at", "for")
		in.span("at", &j.At, 0)
		in.span("for", &j.For, time.Millisecond)
		in.number("times", &j.Times, 0, 1000)
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
	p := f.part(b.Body, b.DefRange, "at for member gateway zone factor lag")
	x := Fault{Kind: b.Labels[0], Factor: 1}
	needs, ok := Faults[x.Kind]
	if !ok {
		f.wrong(b.LabelRanges[0], fmt.Sprintf("unknown fault %q", x.Kind), "It is one of "+strings.Join(kinds(), ", ")+".")
		return
	}
	p.needs(append([]string{"at"}, needs...)...)
	if x.Kind != "move" {
		p.needs("for")
	}
	p.span("at", &x.At, 0)
	p.span("for", &x.For, time.Millisecond)
	p.span("lag", &x.Lag, 0)
	p.whole("gateway", &x.Gateway, 0, s.Gateways-1)
	p.number("factor", &x.Factor, 0, 1000)
	p.oneOf("zone", &x.Zone, s.Zones...)
	if value(p, "member", &x.Member) {
		if _, _, err := s.memberNamed(x.Member); err != nil {
			f.wrong(p.attrs["member"].Expr.Range(), err.Error(), "Groups and members count from 0; 0.0 is the first primary.")
		}
	}
	s.Faults = append(s.Faults, x)
}

func (f *file) random(b *hcl.Block, s *Scenario) {
	p := f.part(b.Body, b.DefRange, "every for kinds factor lag")
	r := RandomFaults{Every: 5e9, For: 2e9, Kinds: []string{"crash", "pause", "slow", "lag"}, Factor: 5, Lag: 1e9}
	p.span("every", &r.Every, 10*time.Millisecond)
	p.span("for", &r.For, time.Millisecond)
	p.span("lag", &r.Lag, 0)
	p.number("factor", &r.Factor, 0, 1000)
	if value(p, "kinds", &r.Kinds) {
		for _, k := range r.Kinds {
			if _, ok := Faults[k]; !ok {
				f.wrong(p.attrs["kinds"].Expr.Range(), fmt.Sprintf("unknown fault %q", k), "It is one of "+strings.Join(kinds(), ", ")+".")
			}
		}
		if len(r.Kinds) == 0 {
			f.wrong(p.attrs["kinds"].Expr.Range(), "there are no kinds", "Name one.")
		}
	}
	s.Random = append(s.Random, r)
}

// Told words all that is wrong with a file, a line for each, with its place.
func Told(diags hcl.Diagnostics) error {
	var all []error
	for _, d := range diags {
		if d.Severity != hcl.DiagError {
			continue
		}
		at := "?"
		if d.Subject != nil {
			at = fmt.Sprintf("%s:%d:%d", d.Subject.Filename, d.Subject.Start.Line, d.Subject.Start.Column)
		}
		all = append(all, fmt.Errorf("%s: %s: %s", at, strings.TrimSuffix(d.Summary, "."), d.Detail))
	}
	return errors.Join(all...)
}
