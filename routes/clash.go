package routes

import (
	"encoding/json"
	"fmt"
	"slices"
)

// Conflicts returns why two documents must not be in force at the same time at different gateways of a fleet: each
// difference in what a txn may do. No reasons means that they may, as where a read is only placed in another way. nil
// is no document.
func Conflicts(before, after *Document) (reasons []string) {
	a, b := before, after
	if a == nil {
		a = new(Document)
	}
	if b == nil {
		b = new(Document)
	}
	add := func(format string, x ...any) { reasons = append(reasons, fmt.Sprintf(format, x...)) }
	if a.MaxInFlight != b.MaxInFlight {
		add("a bound's sum: in_flight %d and %d", a.MaxInFlight, b.MaxInFlight)
	}
	for _, t := range a.Tenants {
		i := slices.IndexFunc(b.Tenants, func(x Tenant) bool { return x.Name == t.Name })
		if i < 0 {
			add("tenant %s is taken away", t.Name)
		} else if u := b.Tenants[i]; tenantLimits(t) != tenantLimits(u) {
			add("a bound's sum: tenant %s, %s and %s", t.Name, tenantLimits(t), tenantLimits(u))
		}
	}
	for _, t := range b.Tenants {
		if !slices.ContainsFunc(a.Tenants, func(x Tenant) bool { return x.Name == t.Name }) {
			add("tenant %s is new", t.Name)
		}
	}
	outcomesBefore, outcomesAfter := routeOutcomes(a.Routes), routeOutcomes(b.Routes)
	for i := range max(len(outcomesBefore), len(outcomesAfter)) {
		switch {
		case i >= len(outcomesBefore):
			add("route %s is new", b.Routes[i].Name)
		case i >= len(outcomesAfter):
			add("route %s is taken away", a.Routes[i].Name)
		case outcomesBefore[i] != outcomesAfter[i]:
			add("route %s: what it matches, or what its txns are run as, whose and where, is changed", b.Routes[i].Name)
		}
	}
	for _, x := range [...]struct {
		label         string
		before, after []Member
	}{{"an exclusion", a.Excluded, b.Excluded}, {"a drain", a.Drained, b.Drained}} {
		for _, m := range x.before {
			if !containsMember(x.after, m) {
				add("%s: of %s is ended", x.label, m.Name)
			}
		}
		for _, m := range x.after {
			if !containsMember(x.before, m) {
				add("%s: of %s", x.label, m.Name)
			}
		}
	}
	return reasons
}

func containsMember(all []Member, m Member) bool {
	return slices.ContainsFunc(all, func(x Member) bool { return x.Name == m.Name })
}

// tenantLimits describes the limits of a tenant that several gateways add up.
func tenantLimits(t Tenant) string {
	return fmt.Sprintf("weight %g in_flight %d bytes %d rate %g burst %g connections %d%s", t.Weight, t.MaxInFlight, t.MaxBytes, t.Rate, t.Burst, t.MaxConnections, map[bool]string{true: ", of the fleet"}[t.FleetWide])
}

// routeOutcomes encodes the fields of each route that decide the outcome of a txn. Target latencies, zones and retry
// budgets do not: they order and place what is served either way.
func routeOutcomes(all []Route) (texts []string) {
	for _, r := range all {
		r.At, r.TargetLatency, r.Zones, r.RetryRatio = SourceLocation{}, 0, nil, 0
		text, err := json.Marshal(r)
		if err != nil {
			panic(err) // a route has no field that JSON can't encode
		}
		texts = append(texts, string(text))
	}
	return texts
}

// SameOutcome reports whether a txn has the same outcome under two tables, apart from the limits, which each of them
// counts: a nil table is none.
func SameOutcome(a *Table, x Match, b *Table, y Match, group int) bool {
	if x.Type != y.Type || tenantOf(a, x) != tenantOf(b, y) {
		return false
	}
	return expiryOf(a, x) == expiryOf(b, y) && allowsGroup(a, x, group) == allowsGroup(b, y, group)
}

func tenantOf(t *Table, m Match) string {
	if t == nil || m.Tenant < 0 {
		return ""
	}
	return t.Tenants[m.Tenant].Name
}

func expiryOf(t *Table, m Match) int64 {
	if t == nil || m.Route < 0 {
		return 0
	}
	return t.Routes[m.Route].Expiry
}

func allowsGroup(t *Table, m Match, group int) bool { return t == nil || t.AllowsGroup(m.Route, group) }

// ServesWithoutAgreement reports whether a tenant's txns are served while a gateway can't renew the fleet's agreement;
// byDefault applies where the tenant has no setting.
func (t *Table) ServesWithoutAgreement(tenant int32, byDefault bool) bool {
	if t == nil || tenant < 0 || t.Tenants[tenant].WithoutAgreement == "" {
		return byDefault
	}
	return t.Tenants[tenant].WithoutAgreement == Serve
}

// Serve and Reject are the values of a tenant's setting without_agreement.
const (
	Serve  = "serve"
	Reject = "decline"
)
