package rehearse

import (
	"time"

	"github.com/hashicorp/hcl/v2/hclwrite"
	"github.com/zclconf/go-cty/cty"
)

// HCL writes a scenario as a file that Parse reads as the same scenario.
func (s *Scenario) HCL() []byte {
	f := hclwrite.NewEmptyFile()
	top := f.Body()
	text := func(b *hclwrite.Body, name, value string) { b.SetAttributeValue(name, cty.StringVal(value)) }
	span := func(b *hclwrite.Body, name string, ns int64) { text(b, name, time.Duration(ns).String()) }
	number := func(b *hclwrite.Body, name string, x float64) { b.SetAttributeValue(name, cty.NumberFloatVal(x)) }
	whole := func(b *hclwrite.Body, name string, n int) { b.SetAttributeValue(name, cty.NumberIntVal(int64(n))) }
	list := func(b *hclwrite.Body, name string, all []string) {
		var values []cty.Value
		for _, x := range all {
			values = append(values, cty.StringVal(x))
		}
		b.SetAttributeValue(name, cty.ListVal(values))
	}
	block := func(in *hclwrite.Body, kind string, labels ...string) *hclwrite.Body {
		return in.AppendNewBlock(kind, labels).Body()
	}
	text(top, "about", s.Description)
	span(top, "length", s.Length)
	top.SetAttributeValue("seed", cty.NumberUIntVal(s.Seed))
	whole(top, "gateways", s.Gateways)
	list(top, "zones", s.Zones)
	text(top, "sessions", s.Sessions)
	text(top, "policy", s.Policy)
	for _, g := range s.Groups {
		b := block(top, "group")
		whole(b, "members", g.Members)
		whole(b, "cores", g.Cores)
		whole(b, "connections", g.MaxConnections)
		whole(b, "thrash", g.ThrashingThreshold)
		span(b, "lag", g.ReplicationLag)
		span(b, "apply", g.ApplyTime)
		span(b, "detect", g.DetectionTime)
		span(b, "hand_over", g.SwitchoverTime)
		span(b, "handshake", g.HandshakeTime)
		span(b, "hold", g.ReplicaWait)
		span(b, "cold", g.WarmUp)
		span(b, "restart", g.RestartTime)
		number(b, "cold_from", g.ColdFraction)
		number(b, "fall", g.OverloadFactor)
		b.SetAttributeValue("sync", cty.BoolVal(g.SyncReplication))
	}
	b := block(top, "network")
	span(b, "near", s.Network.IntraZoneLatency)
	span(b, "far", s.Network.InterZoneLatency)
	number(b, "loss", s.Network.LossRatio)
	for _, t := range s.Types {
		b := block(top, "type", t.Name)
		text(b, "effect", t.Effect)
		text(b, "need", t.Consistency)
		if t.MaxAge > 0 {
			span(b, "bound", t.MaxAge)
		}
		if t.DedupWindow > 0 {
			span(b, "window", t.DedupWindow)
		}
		b.SetAttributeValue("any_group", cty.BoolVal(t.AnyGroup))
		number(b, "worth", t.Value)
		number(b, "late_value", t.LateValue)
		span(b, "aim", t.TargetLatency)
		span(b, "limit", t.MaxWait)
		span(b, "cost", t.Cost)
		text(b, "spread", t.Distribution)
		number(b, "share", t.Weight)
	}
	b = block(top, "traffic")
	number(b, "rate", s.Traffic.Rate)
	whole(b, "sessions", s.Traffic.Sessions)
	number(b, "roam", s.Traffic.RoamingFraction)
	number(b, "swing", s.Traffic.WaveAmplitude)
	if s.Traffic.WavePeriod > 0 {
		span(b, "period", s.Traffic.WavePeriod)
	}
	b.SetAttributeValue("retry", cty.BoolVal(s.Traffic.Retry))
	if s.Traffic.ThinkTime > 0 {
		span(b, "think", s.Traffic.ThinkTime)
	}
	number(b, "piped", s.Traffic.PipelinedFraction)
	number(b, "rude", s.Traffic.BadClientRate)
	for _, j := range s.Traffic.Bursts {
		in := block(b, "jump")
		span(in, "at", j.At)
		span(in, "for", j.Duration)
		number(in, "times", j.RateFactor)
	}
	for _, x := range s.Faults {
		b := block(top, "fault", x.Kind)
		span(b, "at", x.At)
		if x.Duration > 0 {
			span(b, "for", x.Duration)
		}
		for _, need := range FaultKinds[x.Kind] {
			switch need {
			case "member":
				text(b, need, x.Member)
			case "zone":
				text(b, need, x.Zone)
			case "gateway":
				whole(b, need, x.Gateway)
			case "factor":
				number(b, need, x.Factor)
			case "lag":
				span(b, need, x.Lag)
			}
		}
	}
	for _, r := range s.Random {
		b := block(top, "random")
		span(b, "every", r.MeanInterval)
		span(b, "for", r.Duration)
		list(b, "kinds", r.Kinds)
		number(b, "factor", r.Factor)
		span(b, "lag", r.Lag)
	}
	b = block(top, "expect")
	for _, x := range []struct {
		name string
		x    float64
	}{{"service", s.Expect.Service}, {"worst10", s.Expect.Worst10}, {"worst_type", s.Expect.WorstType}} {
		if x.x >= 0 {
			number(b, x.name, x.x)
		}
	}
	b.SetAttributeValue("rules", cty.BoolVal(s.Expect.NoViolations))
	return f.Bytes()
}
