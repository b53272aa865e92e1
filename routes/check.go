package routes

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

// Finding is one thing that is wrong with a document, or that its author should know.
type Finding struct {
	At      Place
	Warning bool
	What    string
	Way     string // out of it
}

// Error words a finding.
func (f Finding) Error() string {
	kind := ""
	if f.Warning {
		kind = "warning: "
	}
	return fmt.Sprintf("%s: %s%s: %s", f.At, kind, f.What, f.Way)
}

// mostTuples bounds what the conditions of one route may multiply to.
const mostTuples = 10_000

// mostZones is how many zones a set of them holds.
const mostZones = 64

// checker gathers findings.
type checker struct {
	d        *Document
	w        *World
	findings []Finding
}

func (c *checker) wrong(at Place, way, format string, a ...any) {
	c.findings = append(c.findings, Finding{At: at, What: fmt.Sprintf(format, a...), Way: way})
}

func (c *checker) warn(at Place, way, format string, a ...any) {
	c.findings = append(c.findings, Finding{At: at, Warning: true, What: fmt.Sprintf(format, a...), Way: way})
}

// Compile checks a document and makes a table of it; the table is nil where a finding is no warning.
func Compile(d *Document, w *World) (*Table, []Finding) {
	c := &checker{d: d, w: w}
	c.tenants()
	c.routes()
	c.members()
	failed := func() bool {
		return slices.ContainsFunc(c.findings, func(f Finding) bool { return !f.Warning })
	}
	if failed() {
		return nil, c.findings
	}
	t := c.build()
	c.reach(t)
	slices.SortStableFunc(c.findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.At.File, b.At.File), a.At.Line-b.At.Line, a.At.Column-b.At.Column)
	})
	if failed() {
		return nil, c.findings
	}
	return t, c.findings
}

func (c *checker) tenants() {
	seen := map[string]bool{}
	shared := 0.0
	for i := range c.d.Tenants {
		t := &c.d.Tenants[i]
		bad := func(x float64) bool { return math.IsNaN(x) || math.IsInf(x, 0) || x < 0 }
		switch {
		case t.Name == "":
			c.wrong(t.At, "Give it one.", "a tenant has no name")
		case seen[t.Name]:
			c.wrong(t.At, "Each stands once.", "tenant %q stands twice", t.Name)
		case bad(t.Weight):
			c.wrong(t.At, "It is 0 or more; 0 has no share of its own and lives on what others lend.", "tenant %q: weight is out of range", t.Name)
		case t.InFlight < 0 || t.Bytes < 0 || t.Clients < 0:
			c.wrong(t.At, "0 is no bound.", "tenant %q: a limit is below 0", t.Name)
		case bad(t.Rate) || bad(t.Burst):
			c.wrong(t.At, "0 is no bound.", "tenant %q: rate or burst is out of range", t.Name)
		case t.Rate > 0 && t.Burst < 1:
			c.wrong(t.At, "With a burst under 1 no txn ever passes.", "tenant %q: burst is below 1", t.Name)
		case t.Clients > c.w.Descriptors && c.w.Descriptors > 0:
			c.wrong(t.At, fmt.Sprintf("Clients may have %d in all.", c.w.Descriptors), "tenant %q: more clients than the descriptors allow", t.Name)
		}
		seen[t.Name] = true
		shared += t.Weight
	}
	if c.d.InFlight < 0 {
		c.wrong(Place{}, "0 is no bound.", "in_flight is below 0")
	}
	if c.d.InFlight > 0 && len(c.d.Tenants) > 0 && shared == 0 {
		c.wrong(c.d.Tenants[0].At, "Give some tenant a weight.", "no tenant has a share of in_flight")
	}
	if n := len(c.d.Tenants); c.d.InFlight > 0 && c.d.InFlight < n {
		c.wrong(c.d.Tenants[0].At, "Raise in_flight.", "in_flight of %d leaves some of %d tenants without a txn", c.d.InFlight, n)
	}
	used := map[string]bool{}
	for i := range c.d.Routes {
		used[c.d.Routes[i].Tenant] = true
	}
	for i := range c.d.Tenants {
		if t := &c.d.Tenants[i]; !used[t.Name] {
			c.warn(t.At, "Name it in a route, or take it away.", "tenant %q has no route", t.Name)
		}
	}
}

func (c *checker) typeNamed(name string) *Type {
	for i := range c.w.Types {
		if c.w.Types[i].Name == name {
			return &c.w.Types[i]
		}
	}
	return nil
}

func (c *checker) routes() {
	seen := map[string]bool{}
	for i := range c.d.Routes {
		r := &c.d.Routes[i]
		if r.Name == "" {
			c.wrong(r.At, "Give it one.", "a route has no name")
		}
		if seen[r.Name] {
			c.wrong(r.At, "Each stands once.", "route %q stands twice", r.Name)
		}
		seen[r.Name] = true
		for _, name := range r.Types {
			if c.typeNamed(name) == nil {
				c.wrong(r.At, "The platform's settings name the txn types.", "route %q: unknown txn type %q", r.Name, name)
			}
		}
		c.runsAs(r)
		if r.Tenant != "" && !slices.ContainsFunc(c.d.Tenants, func(t Tenant) bool { return t.Name == r.Tenant }) {
			c.wrong(r.At, "Add a block for it.", "route %q: unknown tenant %q", r.Name, r.Tenant)
		}
		for _, z := range r.Zones {
			switch n := slices.Index(c.w.Zones, z); {
			case n >= mostZones:
				c.wrong(r.At, fmt.Sprintf("The first %d of the settings can be named.", mostZones), "route %q: zone %q is too far back", r.Name, z)
			case n < 0:
				c.wrong(r.At, "The platform's settings name the zones.", "route %q: unknown zone %q", r.Name, z)
			}
		}
		if r.Aim < 0 || r.Expiry < 0 || r.Aim > 0 && r.Expiry > 0 && r.Expiry < r.Aim {
			c.wrong(r.At, "The aim is at most the expiry, neither is below 0.", "route %q: aim or expiry is out of range", r.Name)
		}
		for _, name := range r.Types {
			if t := c.typeNamed(name); t != nil && r.Aim > t.Aim && t.Aim > 0 {
				c.warn(r.At, "A route can shorten it.", "route %q: the aim is longer than that of %q, which stays", r.Name, name)
			}
		}
		if math.IsNaN(r.Retries) || r.Retries > 10 {
			c.wrong(r.At, "It is a share of first submissions: 0.1 is one in ten.", "route %q: retries is out of range", r.Name)
		}
		for _, n := range r.Networks {
			if !n.IsValid() || !n.Addr().Is4() || n.Masked() != n {
				c.wrong(r.At, "Write it as 10.0.0.0/8, with no bits behind its length.", "route %q: %v is no IPv4 network", r.Name, n)
			}
		}
		if n := tuples(r); n > mostTuples {
			c.wrong(r.At, fmt.Sprintf("Split it; a route may come to %d.", mostTuples), "route %q: its conditions come to %d combinations", r.Name, n)
		}
	}
}

// runsAs checks that a change of txn type breaks no rule: what changes data stays what it is, and no read is taken for
// one that may be older.
func (c *checker) runsAs(r *Route) {
	if r.Type == "" {
		return
	}
	as := c.typeNamed(r.Type)
	if as == nil {
		c.wrong(r.At, "The platform's settings name the txn types.", "route %q: unknown txn type %q to run as", r.Name, r.Type)
		return
	}
	from := r.Types
	if len(from) == 0 {
		for i := range c.w.Types {
			from = append(from, c.w.Types[i].Name)
		}
	}
	for _, name := range from {
		t := c.typeNamed(name)
		switch {
		case t == nil || t == as:
		case (t.Need == "mutate") != (as.Need == "mutate"):
			c.wrong(r.At, "A write runs as a write, a read as a read.", "route %q: %q can't run as %q", r.Name, name, r.Type)
		case t.Effect != "repeatable" && (as.Effect == "repeatable" || as.Effect == "by_key" && (t.Effect == "once" || as.Window > t.Window)):
			c.wrong(r.At, "It could have its effect twice.", "route %q: %q may be sent again less often than %q", r.Name, name, r.Type)
		case strictness(as.Need) < strictness(t.Need):
			c.wrong(r.At, "Its reads could be stale.", "route %q: %q must see more than %q does", r.Name, name, r.Type)
		}
	}
}

func strictness(need string) int {
	return slices.Index([]string{"eventual", "lag_bound", "causal", "strong", "mutate"}, need)
}

func (c *checker) members() {
	barred := map[string]bool{}
	for _, list := range [...][]Member{c.d.Excluded, c.d.Drained} {
		for _, m := range list {
			known := false
			for _, hosts := range c.w.Groups {
				known = known || slices.ContainsFunc(hosts, func(h Host) bool { return h.Name == m.Name })
			}
			if !known {
				c.warn(m.At, "It may come later; else take it away.", "member %q is not listed", m.Name)
			}
			if barred[m.Name] {
				c.warn(m.At, "Once is enough.", "member %q stands twice", m.Name)
			}
			barred[m.Name] = true
		}
	}
	var groups []int
	for id := range c.w.Groups {
		groups = append(groups, id)
	}
	slices.Sort(groups)
	left := map[int]bool{}
	for _, id := range groups {
		left[id] = slices.ContainsFunc(c.w.Groups[id], func(h Host) bool { return !barred[h.Name] && !h.Draining })
		for _, h := range c.w.Groups[id] {
			if h.Primary && barred[h.Name] && left[id] {
				c.wrong(placeOf(c.d, h.Name), "Switch first.", "group %d is left without its primary %q: nothing can be written", id, h.Name)
			}
		}
		if !left[id] && len(c.w.Groups[id]) > 0 && len(barred) > 0 {
			c.wrong(firstPlace(c.d), "Leave it one, or take the group out of the list.", "group %d is left without a member", id)
		}
	}
	for i := range c.d.Routes {
		r := &c.d.Routes[i]
		if len(r.Groups) == 0 {
			continue
		}
		some := false
		for _, id := range r.Groups {
			if _, ok := c.w.Groups[id]; !ok && len(c.w.Groups) > 0 {
				c.warn(r.At, "It may come later.", "route %q: group %d is not listed", r.Name, id)
			}
			some = some || left[id]
		}
		if !some && len(c.w.Groups) > 0 {
			c.wrong(r.At, "Name a group that has some.", "route %q is left without members", r.Name)
		}
	}
}

// placeOf is where a member is named by hand.
func placeOf(d *Document, name string) Place {
	for _, m := range slices.Concat(d.Excluded, d.Drained) {
		if m.Name == name {
			return m.At
		}
	}
	return Place{}
}

func firstPlace(d *Document) Place {
	for _, list := range [...][]Member{d.Excluded, d.Drained} {
		if len(list) > 0 {
			return list[0].At
		}
	}
	return Place{}
}

// reach finds routes that never match, as earlier ones take all that they would, and those that are taken in part by
// one that says otherwise.
func (c *checker) reach(t *Table) {
	for i := range c.d.Routes {
		r := &c.d.Routes[i]
		all, by := 0, -1
		total := 0
		t.expand(r, func(mask uint8, bits int, k key) {
			total++
			if earlier := t.firstCovering(mask, bits, k, int32(i)); earlier >= 0 {
				all++
				by = int(earlier)
			}
		})
		switch {
		case total > 0 && all == total:
			c.wrong(r.At, "Put it before that one, or take it away.", "route %q never matches: %q takes all of it", r.Name, c.d.Routes[by].Name)
		case all > 0:
			c.warn(r.At, "The first counts.", "route %q: %d of its %d combinations are taken by earlier ones, as %q", r.Name, all, total, c.d.Routes[by].Name)
		}
	}
}

func tuples(r *Route) int {
	n := 1
	for _, m := range [...]int{len(r.Types), len(r.Users), len(r.Databases), len(r.Tables), len(r.Networks)} {
		n = min(n*max(1, m), mostTuples*100)
	}
	return n
}
