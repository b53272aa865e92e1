package routes

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

// Finding is an error or a warning about a document.
type Finding struct {
	At      SourceLocation
	Warning bool
	Problem string
	Remedy  string
}

// Error returns the location, the problem and its remedy.
func (f Finding) Error() string {
	prefix := ""
	if f.Warning {
		prefix = "warning: "
	}
	return fmt.Sprintf("%s: %s%s: %s", f.At, prefix, f.Problem, f.Remedy)
}

// maxCombinations limits the product of the conditions of one route.
const maxCombinations = 10_000

// maxZones is how many zones fit into the bit set Match.Zones.
const maxZones = 64

// checker collects the findings of a document.
type checker struct {
	document    *Document
	environment *Environment
	findings    []Finding
}

func (c *checker) reportError(at SourceLocation, remedy, format string, a ...any) {
	c.findings = append(c.findings, Finding{At: at, Problem: fmt.Sprintf(format, a...), Remedy: remedy})
}

func (c *checker) reportWarning(at SourceLocation, remedy, format string, a ...any) {
	c.findings = append(c.findings, Finding{At: at, Warning: true, Problem: fmt.Sprintf(format, a...), Remedy: remedy})
}

// Compile checks a document and builds its table; the table is nil if any finding is an error.
func Compile(d *Document, e *Environment) (*Table, []Finding) {
	c := &checker{document: d, environment: e}
	c.checkTenants()
	c.checkRoutes()
	c.checkMembers()
	failed := func() bool {
		return slices.ContainsFunc(c.findings, func(f Finding) bool { return !f.Warning })
	}
	if failed() {
		return nil, c.findings
	}
	t := c.buildTable()
	c.checkReachability(t)
	slices.SortStableFunc(c.findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.At.File, b.At.File), a.At.Line-b.At.Line, a.At.Column-b.At.Column)
	})
	if failed() {
		return nil, c.findings
	}
	return t, c.findings
}

func (c *checker) checkTenants() {
	seen := map[string]bool{}
	totalWeight := 0.0
	for i := range c.document.Tenants {
		t := &c.document.Tenants[i]
		invalid := func(x float64) bool { return math.IsNaN(x) || math.IsInf(x, 0) || x < 0 }
		switch {
		case t.Name == "":
			c.reportError(t.At, "Add a name.", "a tenant has no name")
		case seen[t.Name]:
			c.reportError(t.At, "Remove one of them.", "duplicate tenant %q", t.Name)
		case invalid(t.Weight):
			c.reportError(t.At, "It must be 0 or more; a tenant with 0 has no share of its own and only borrows.", "tenant %q: weight is out of range", t.Name)
		case t.MaxInFlight < 0 || t.MaxBytes < 0 || t.MaxConnections < 0:
			c.reportError(t.At, "0 is no limit.", "tenant %q: a limit is below 0", t.Name)
		case invalid(t.Rate) || invalid(t.Burst):
			c.reportError(t.At, "0 is no limit.", "tenant %q: rate or burst is out of range", t.Name)
		case t.Rate > 0 && t.Burst < 1:
			c.reportError(t.At, "With a burst below 1 no txn is ever allowed.", "tenant %q: burst is below 1", t.Name)
		case t.MaxConnections > c.environment.ClientDescriptors && c.environment.ClientDescriptors > 0:
			c.reportError(t.At, fmt.Sprintf("Clients may have %d in total.", c.environment.ClientDescriptors), "tenant %q: more connections than available file descriptors", t.Name)
		}
		seen[t.Name] = true
		totalWeight += t.Weight
	}
	if c.document.MaxInFlight < 0 {
		c.reportError(SourceLocation{}, "0 is no limit.", "in_flight is below 0")
	}
	if c.document.MaxInFlight > 0 && len(c.document.Tenants) > 0 && totalWeight == 0 {
		c.reportError(c.document.Tenants[0].At, "Give at least one tenant a weight above 0.", "no tenant has a share of in_flight")
	}
	if n := len(c.document.Tenants); c.document.MaxInFlight > 0 && c.document.MaxInFlight < n {
		c.reportError(c.document.Tenants[0].At, "Raise in_flight.", "in_flight of %d is not enough for one txn of each of %d tenants", c.document.MaxInFlight, n)
	}
	used := map[string]bool{}
	for i := range c.document.Routes {
		used[c.document.Routes[i].Tenant] = true
	}
	for i := range c.document.Tenants {
		if t := &c.document.Tenants[i]; !used[t.Name] {
			c.reportWarning(t.At, "Name it in a route, or remove it.", "tenant %q has no route", t.Name)
		}
	}
}

func (c *checker) findType(name string) *Type {
	for i := range c.environment.Types {
		if c.environment.Types[i].Name == name {
			return &c.environment.Types[i]
		}
	}
	return nil
}

func (c *checker) checkRoutes() {
	seen := map[string]bool{}
	for i := range c.document.Routes {
		r := &c.document.Routes[i]
		if r.Name == "" {
			c.reportError(r.At, "Add a name.", "a route has no name")
		}
		if seen[r.Name] {
			c.reportError(r.At, "Remove one of them.", "duplicate route %q", r.Name)
		}
		seen[r.Name] = true
		for _, name := range r.Types {
			if c.findType(name) == nil {
				c.reportError(r.At, "The platform's settings name the txn types.", "route %q: unknown txn type %q", r.Name, name)
			}
		}
		c.checkRunAs(r)
		if r.Tenant != "" && !slices.ContainsFunc(c.document.Tenants, func(t Tenant) bool { return t.Name == r.Tenant }) {
			c.reportError(r.At, "Add a tenant block for it.", "route %q: unknown tenant %q", r.Name, r.Tenant)
		}
		for _, z := range r.Zones {
			switch n := slices.Index(c.environment.Zones, z); {
			case n >= maxZones:
				c.reportError(r.At, "Only these zones can be named.", "route %q: zone %q is not among the first %d of the platform's settings", r.Name, z, maxZones)
			case n < 0:
				c.reportError(r.At, "The platform's settings name the zones.", "route %q: unknown zone %q", r.Name, z)
			}
		}
		if r.TargetLatency < 0 || r.Expiry < 0 || r.TargetLatency > 0 && r.Expiry > 0 && r.Expiry < r.TargetLatency {
			c.reportError(r.At, "Neither may be below 0, and the aim must not exceed the expiry.", "route %q: aim or expiry is out of range", r.Name)
		}
		for _, name := range r.Types {
			if t := c.findType(name); t != nil && r.TargetLatency > t.TargetLatency && t.TargetLatency > 0 {
				c.reportWarning(r.At, "A route can only shorten it.", "route %q: the aim is longer than that of %q, which still applies", r.Name, name)
			}
		}
		if math.IsNaN(r.RetryRatio) || r.RetryRatio > 10 {
			c.reportError(r.At, "It is a fraction of first submissions: 0.1 is one in ten.", "route %q: retries is out of range", r.Name)
		}
		for _, n := range r.Networks {
			if !n.IsValid() || !n.Addr().Is4() || n.Masked() != n {
				c.reportError(r.At, "Write it as 10.0.0.0/8, with no bits set after the prefix.", "route %q: %v is not an IPv4 network", r.Name, n)
			}
		}
		if n := combinationCount(r); n > maxCombinations {
			c.reportError(r.At, fmt.Sprintf("Split it; the limit is %d.", maxCombinations), "route %q: its conditions have %d combinations", r.Name, n)
		}
	}
}

// checkRunAs checks that a change of txn type is safe: a write stays a write and a read a read, no txn is retried in
// more cases than its own type allows, and no read gets weaker consistency than it needs.
func (c *checker) checkRunAs(r *Route) {
	if r.RunAs == "" {
		return
	}
	target := c.findType(r.RunAs)
	if target == nil {
		c.reportError(r.At, "The platform's settings name the txn types.", "route %q: unknown txn type %q to run as", r.Name, r.RunAs)
		return
	}
	from := r.Types
	if len(from) == 0 {
		for i := range c.environment.Types {
			from = append(from, c.environment.Types[i].Name)
		}
	}
	for _, name := range from {
		t := c.findType(name)
		switch {
		case t == nil || t == target:
		case (t.Need == "mutate") != (target.Need == "mutate"):
			c.reportError(r.At, "A write can only run as a write, a read only as a read.", "route %q: %q can't run as %q", r.Name, name, r.RunAs)
		case t.Effect != "repeatable" && (target.Effect == "repeatable" || target.Effect == "by_key" && (t.Effect == "once" || target.Window > t.Window)):
			c.reportError(r.At, "It could take effect twice.", "route %q: %q is safe to retry in fewer cases than %q", r.Name, name, r.RunAs)
		case consistencyRank(target.Need) < consistencyRank(t.Need):
			c.reportError(r.At, "Its reads could be stale.", "route %q: %q needs stronger consistency than %q", r.Name, name, r.RunAs)
		}
	}
}

func consistencyRank(need string) int {
	return slices.Index([]string{"eventual", "lag_bound", "causal", "strong", "mutate"}, need)
}

func (c *checker) checkMembers() {
	excluded := map[string]bool{}
	for _, list := range [...][]Member{c.document.Excluded, c.document.Drained} {
		for _, m := range list {
			known := false
			for _, hosts := range c.environment.Groups {
				known = known || slices.ContainsFunc(hosts, func(h Host) bool { return h.Name == m.Name })
			}
			if !known {
				c.reportWarning(m.At, "It may be added later; otherwise remove it here.", "member %q is not listed", m.Name)
			}
			if excluded[m.Name] {
				c.reportWarning(m.At, "Remove one of them.", "duplicate member %q", m.Name)
			}
			excluded[m.Name] = true
		}
	}
	var groups []int
	for id := range c.environment.Groups {
		groups = append(groups, id)
	}
	slices.Sort(groups)
	usable := map[int]bool{}
	for _, id := range groups {
		usable[id] = slices.ContainsFunc(c.environment.Groups[id], func(h Host) bool { return !excluded[h.Name] && !h.Draining })
		for _, h := range c.environment.Groups[id] {
			if h.Primary && excluded[h.Name] && usable[id] {
				c.reportError(memberLocation(c.document, h.Name), "Switch to another primary first.", "group %d is left without its primary %q: no writes are possible", id, h.Name)
			}
		}
		if !usable[id] && len(c.environment.Groups[id]) > 0 && len(excluded) > 0 {
			c.reportError(firstMemberLocation(c.document), "Keep at least one, or remove the group from the list.", "group %d is left without members", id)
		}
	}
	for i := range c.document.Routes {
		r := &c.document.Routes[i]
		if len(r.Groups) == 0 {
			continue
		}
		anyUsable := false
		for _, id := range r.Groups {
			if _, ok := c.environment.Groups[id]; !ok && len(c.environment.Groups) > 0 {
				c.reportWarning(r.At, "It may be added later.", "route %q: group %d is not listed", r.Name, id)
			}
			anyUsable = anyUsable || usable[id]
		}
		if !anyUsable && len(c.environment.Groups) > 0 {
			c.reportError(r.At, "Name a group that has members.", "route %q is left without members", r.Name)
		}
	}
}

// memberLocation is where the document excludes or drains a member.
func memberLocation(d *Document, name string) SourceLocation {
	for _, m := range slices.Concat(d.Excluded, d.Drained) {
		if m.Name == name {
			return m.At
		}
	}
	return SourceLocation{}
}

func firstMemberLocation(d *Document) SourceLocation {
	for _, list := range [...][]Member{d.Excluded, d.Drained} {
		if len(list) > 0 {
			return list[0].At
		}
	}
	return SourceLocation{}
}

// checkReachability finds routes that never match, as earlier ones match all of their txns, and those of which earlier
// routes match a part.
func (c *checker) checkReachability(t *Table) {
	for i := range c.document.Routes {
		r := &c.document.Routes[i]
		covered, coveredBy := 0, -1
		total := 0
		t.forEachCombination(r, func(mask uint8, prefixLength int, k conditionKey) {
			total++
			if earlier := t.firstCoveringRoute(mask, prefixLength, k, int32(i)); earlier >= 0 {
				covered++
				coveredBy = int(earlier)
			}
		})
		switch {
		case total > 0 && covered == total:
			c.reportError(r.At, "Move it before that route, or remove it.", "route %q never matches: %q matches all of its txns", r.Name, c.document.Routes[coveredBy].Name)
		case covered > 0:
			c.reportWarning(r.At, "The first match applies.", "route %q: %d of its %d combinations match earlier routes, such as %q", r.Name, covered, total, c.document.Routes[coveredBy].Name)
		}
	}
}

// combinationCount is the product of a route's conditions, capped to avoid overflow.
func combinationCount(r *Route) int {
	n := 1
	for _, m := range [...]int{len(r.Types), len(r.Users), len(r.Databases), len(r.Tables), len(r.Networks)} {
		n = min(n*max(1, m), maxCombinations*100)
	}
	return n
}
