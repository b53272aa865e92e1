package rehearse

import (
	"time"

	"github.com/hashicorp/hcl/v2/hclwrite"
	"github.com/zclconf/go-cty/cty"
)

// HCL encodes the scenario as a file from which Parse returns an equal scenario.
func (s *Scenario) HCL() []byte {
	f := hclwrite.NewEmptyFile()
	top := f.Body()
	setString := func(b *hclwrite.Body, name, value string) { b.SetAttributeValue(name, cty.StringVal(value)) }
	setDuration := func(b *hclwrite.Body, name string, ns int64) { setString(b, name, time.Duration(ns).String()) }
	setFloat := func(b *hclwrite.Body, name string, x float64) { b.SetAttributeValue(name, cty.NumberFloatVal(x)) }
	setInt := func(b *hclwrite.Body, name string, n int) { b.SetAttributeValue(name, cty.NumberIntVal(int64(n))) }
	setStrings := func(b *hclwrite.Body, name string, all []string) {
		var values []cty.Value
		for _, x := range all {
			values = append(values, cty.StringVal(x))
		}
		b.SetAttributeValue(name, cty.ListVal(values))
	}
	appendBlock := func(in *hclwrite.Body, kind string, labels ...string) *hclwrite.Body {
		return in.AppendNewBlock(kind, labels).Body()
	}
	setString(top, "about", s.Description)
	setDuration(top, "length", s.Length)
	top.SetAttributeValue("seed", cty.NumberUIntVal(s.Seed))
	setInt(top, "gateways", s.Gateways)
	setStrings(top, "zones", s.Zones)
	setString(top, "sessions", s.Sessions)
	setString(top, "policy", s.Policy)
	for _, g := range s.Groups {
		b := appendBlock(top, "group")
		setInt(b, "members", g.Members)
		setInt(b, "cores", g.Cores)
		setInt(b, "connections", g.MaxConnections)
		setInt(b, "thrash", g.ThrashingThreshold)
		setDuration(b, "lag", g.ReplicationLag)
		setDuration(b, "apply", g.ApplyTime)
		setDuration(b, "detect", g.DetectionTime)
		setDuration(b, "hand_over", g.SwitchoverTime)
		setDuration(b, "handshake", g.HandshakeTime)
		setDuration(b, "hold", g.ReplicaWait)
		setDuration(b, "cold", g.WarmUp)
		setDuration(b, "restart", g.RestartTime)
		setFloat(b, "cold_from", g.ColdFraction)
		setFloat(b, "fall", g.OverloadFactor)
		b.SetAttributeValue("sync", cty.BoolVal(g.SyncReplication))
	}
	b := appendBlock(top, "network")
	setDuration(b, "near", s.Network.IntraZoneLatency)
	setDuration(b, "far", s.Network.InterZoneLatency)
	setFloat(b, "loss", s.Network.LossRatio)
	for _, t := range s.Types {
		b := appendBlock(top, "type", t.Name)
		setString(b, "effect", t.Effect)
		setString(b, "need", t.Consistency)
		if t.MaxAge > 0 {
			setDuration(b, "bound", t.MaxAge)
		}
		if t.DedupWindow > 0 {
			setDuration(b, "window", t.DedupWindow)
		}
		b.SetAttributeValue("any_group", cty.BoolVal(t.AnyGroup))
		setFloat(b, "worth", t.Value)
		setFloat(b, "late_value", t.LateValue)
		setDuration(b, "aim", t.TargetLatency)
		setDuration(b, "limit", t.MaxWait)
		setDuration(b, "cost", t.Cost)
		setString(b, "spread", t.Distribution)
		setFloat(b, "share", t.Weight)
	}
	b = appendBlock(top, "traffic")
	setFloat(b, "rate", s.Traffic.Rate)
	setInt(b, "sessions", s.Traffic.Sessions)
	setFloat(b, "roam", s.Traffic.RoamingFraction)
	setFloat(b, "swing", s.Traffic.WaveAmplitude)
	if s.Traffic.WavePeriod > 0 {
		setDuration(b, "period", s.Traffic.WavePeriod)
	}
	b.SetAttributeValue("retry", cty.BoolVal(s.Traffic.Retry))
	if s.Traffic.ThinkTime > 0 {
		setDuration(b, "think", s.Traffic.ThinkTime)
	}
	setFloat(b, "piped", s.Traffic.PipelinedFraction)
	setFloat(b, "rude", s.Traffic.BadClientRate)
	for _, j := range s.Traffic.Bursts {
		in := appendBlock(b, "jump")
		setDuration(in, "at", j.At)
		setDuration(in, "for", j.Duration)
		setFloat(in, "times", j.RateFactor)
	}
	for _, x := range s.Faults {
		b := appendBlock(top, "fault", x.Kind)
		setDuration(b, "at", x.At)
		if x.Duration > 0 {
			setDuration(b, "for", x.Duration)
		}
		for _, need := range FaultKinds[x.Kind] {
			switch need {
			case "member":
				setString(b, need, x.Member)
			case "zone":
				setString(b, need, x.Zone)
			case "gateway":
				setInt(b, need, x.Gateway)
			case "factor":
				setFloat(b, need, x.Factor)
			case "lag":
				setDuration(b, need, x.Lag)
			}
		}
	}
	for _, r := range s.Random {
		b := appendBlock(top, "random")
		setDuration(b, "every", r.MeanInterval)
		setDuration(b, "for", r.Duration)
		setStrings(b, "kinds", r.Kinds)
		setFloat(b, "factor", r.Factor)
		setDuration(b, "lag", r.Lag)
	}
	b = appendBlock(top, "expect")
	for _, x := range []struct {
		name string
		x    float64
	}{{"service", s.Expect.Service}, {"worst10", s.Expect.Worst10}, {"worst_type", s.Expect.WorstType}} {
		if x.x >= 0 {
			setFloat(b, x.name, x.x)
		}
	}
	b.SetAttributeValue("rules", cty.BoolVal(s.Expect.NoViolations))
	return f.Bytes()
}
