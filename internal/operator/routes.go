package operator

import (
	"fmt"
	"hash/fnv"
	"net/netip"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"

	"magpieglade/routes"
)

// place is where a block stands.
func place(r hcl.Range) routes.Place {
	return routes.Place{File: r.Filename, Line: r.Start.Line, Column: r.Start.Column}
}

// document takes what of a file can be changed while a gateway runs; nil where it says nothing of that.
func (r *reader) document(top *content) *routes.Document {
	d := new(routes.Document)
	top.whole("in_flight", &d.InFlight, 1, 1_000_000)
	top.oneOf("log", &d.Log, "info", "warn", "error")
	d.Excluded = r.members(top, "exclude")
	d.Drained = r.members(top, "drain")
	for _, b := range top.blocks {
		switch b.Type {
		case "tenant":
			d.Tenants = append(d.Tenants, r.tenant(b))
		case "route":
			d.Routes = append(d.Routes, r.route(b))
		}
	}
	if d.InFlight == 0 && d.Log == "" && len(d.Excluded)+len(d.Drained)+len(d.Tenants)+len(d.Routes) == 0 {
		return nil
	}
	return d
}

func (r *reader) members(top *content, name string) (all []routes.Member) {
	for _, m := range top.words(name) {
		all = append(all, routes.Member{Name: m, At: place(top.attrs[name].Expr.Range())})
	}
	return all
}

func (r *reader) tenant(b *hcl.Block) routes.Tenant {
	in := r.block(b.Body, []string{"weight", "in_flight", "bytes", "rate", "burst", "connections"})
	t := routes.Tenant{Name: b.Labels[0], At: place(b.DefRange), Weight: 1}
	in.number("weight", &t.Weight, 0, 1e6)
	in.whole("in_flight", &t.InFlight, 1, 1_000_000)
	bytes := 0
	in.whole("bytes", &bytes, 1, 1<<40)
	t.Bytes = int64(bytes)
	in.whole("connections", &t.Clients, 1, 1_000_000)
	in.number("rate", &t.Rate, 0, 1e9)
	t.Burst = routes.UsualBurst(t.Rate)
	in.number("burst", &t.Burst, 1, 1e9)
	return t
}

func (r *reader) route(b *hcl.Block) routes.Route {
	in := r.block(b.Body, []string{"types", "users", "databases", "tables", "networks", "type", "tenant", "expiry", "retries", "aim", "zones", "groups"})
	t := routes.Route{Name: b.Labels[0], At: place(b.DefRange), Retries: -1}
	t.Types, t.Users, t.Databases, t.Tables = in.words("types"), in.words("users"), in.words("databases"), in.words("tables")
	for _, text := range in.words("networks") {
		n, err := netip.ParsePrefix(text)
		if err != nil {
			r.wrong(in.attrs["networks"].Expr.Range(), fmt.Sprintf("%q is no IPv4 network", text), "Write it as 10.0.0.0/8.")
			continue
		}
		t.Networks = append(t.Networks, n)
	}
	in.text("type", &t.Type)
	in.text("tenant", &t.Tenant)
	in.duration("expiry", &t.Expiry, 1e6)
	in.duration("aim", &t.Aim, 1e6)
	t.Zones = in.words("zones")
	if a := in.attrs["groups"]; a != nil {
		r.decode(a, &t.Groups)
	}
	in.number("retries", &t.Retries, 0, 10)
	return t
}

// words takes a list of texts.
func (c *content) words(name string) (all []string) {
	if a := c.attrs[name]; a != nil {
		c.r.decode(a, &all)
	}
	return all
}

// Document reads what of a file can be changed while a gateway runs. The rest of it is not looked at: keys and folders
// may be another gateway's, or of another folder than this process's.
func Document(text []byte, path string) (*routes.Document, error) {
	body, err := parseBody(text, path)
	if err != nil {
		return nil, err
	}
	r := new(reader)
	d := r.document(r.top(body))
	if r.diags.HasErrors() {
		return nil, problems(r.diags)
	}
	return d, nil
}

func digest(text []byte) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(text)
	return max(1, h.Sum64())
}

// parseBody is a file's body, or what is wrong with its form.
func parseBody(text []byte, path string) (hcl.Body, error) {
	parsed, diags := hclsyntax.ParseConfig(text, path, hcl.InitialPos)
	if diags.HasErrors() {
		return nil, problems(diags)
	}
	return parsed.Body, nil
}
