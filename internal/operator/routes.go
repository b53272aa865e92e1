package operator

import (
	"fmt"
	"hash/fnv"
	"net/netip"

	"github.com/hashicorp/hcl/v2"

	"magpieglade/internal/hclfile"
	"magpieglade/routes"
)

// sourceLocation converts an HCL range to the location of its start.
func sourceLocation(r hcl.Range) routes.SourceLocation {
	return routes.SourceLocation{File: r.Filename, Line: r.Start.Line, Column: r.Start.Column}
}

// decodeDocument decodes the settings that can change while a gateway runs. It returns nil if the file has none of them.
func (r *reader) decodeDocument(top *content) *routes.Document {
	d := new(routes.Document)
	top.Int("in_flight", &d.MaxInFlight, 1, 1_000_000)
	top.OneOf("log", &d.LogLevel, "info", "warn", "error")
	d.Excluded = r.decodeMembers(top, "exclude")
	d.Drained = r.decodeMembers(top, "drain")
	for _, b := range top.Blocks {
		switch b.Type {
		case "tenant":
			d.Tenants = append(d.Tenants, r.decodeTenant(b))
		case "route":
			d.Routes = append(d.Routes, r.decodeRoute(b))
		}
	}
	if d.MaxInFlight == 0 && d.LogLevel == "" && len(d.Excluded)+len(d.Drained)+len(d.Tenants)+len(d.Routes) == 0 {
		return nil
	}
	return d
}

// decodeMembers decodes a list of member names.
func (r *reader) decodeMembers(top *content, name string) (all []routes.Member) {
	for _, m := range top.Strings(name) {
		all = append(all, routes.Member{Name: m, At: sourceLocation(top.Attrs[name].Expr.Range())})
	}
	return all
}

// decodeTenant decodes a block tenant.
func (r *reader) decodeTenant(b *hcl.Block) routes.Tenant {
	in := r.decodeBlock(b, []string{"weight", "in_flight", "bytes", "rate", "burst", "connections", "fleet", "without_agreement"})
	t := routes.Tenant{Name: b.Labels[0], At: sourceLocation(b.DefRange), Weight: 1}
	in.Float("weight", &t.Weight, 0, 1e6)
	in.Int("in_flight", &t.MaxInFlight, 1, 1_000_000)
	bytes := 0
	in.Int("bytes", &bytes, 1, 1<<40)
	t.MaxBytes = int64(bytes)
	in.Int("connections", &t.MaxConnections, 1, 1_000_000)
	in.Float("rate", &t.Rate, 0, 1e9)
	t.Burst = routes.DefaultBurst(t.Rate)
	in.Float("burst", &t.Burst, 1, 1e9)
	in.Decode("fleet", &t.FleetWide)
	in.OneOf("without_agreement", &t.WithoutAgreement, routes.Reject, routes.Serve)
	return t
}

// decodeRoute decodes a block route.
func (r *reader) decodeRoute(b *hcl.Block) routes.Route {
	in := r.decodeBlock(b, []string{"types", "users", "databases", "tables", "networks", "type", "tenant", "expiry", "retries", "aim", "zones", "groups"})
	t := routes.Route{Name: b.Labels[0], At: sourceLocation(b.DefRange), RetryRatio: -1}
	t.Types, t.Users, t.Databases, t.Tables = in.Strings("types"), in.Strings("users"), in.Strings("databases"), in.Strings("tables")
	for _, text := range in.Strings("networks") {
		n, err := netip.ParsePrefix(text)
		if err != nil {
			r.AddError(in.Attrs["networks"].Expr.Range(), fmt.Sprintf("%q is not an IPv4 network", text), "Write it as 10.0.0.0/8.")
			continue
		}
		t.Networks = append(t.Networks, n)
	}
	in.Decode("type", &t.RunAs)
	in.Decode("tenant", &t.Tenant)
	in.Duration("expiry", &t.Expiry, 1e6)
	in.Duration("aim", &t.TargetLatency, 1e6)
	t.Zones = in.Strings("zones")
	if a := in.Attrs["groups"]; a != nil {
		in.Decode("groups", &t.Groups)
	}
	in.Float("retries", &t.RetryRatio, 0, 10)
	return t
}

// Document parses a file and returns the settings in it that can change while a gateway runs, nil if it has none. It ignores
// the rest: keys and folders may belong to another gateway or be relative to another folder than that of this process.
func Document(text []byte, path string) (*routes.Document, error) {
	body, err := hclfile.Parse(text, path)
	if err != nil {
		return nil, err
	}
	r := newReader("")
	d := r.decodeDocument(r.decodeTopLevel(body))
	if r.Err() != nil {
		return nil, r.Err()
	}
	return d, nil
}

// digest hashes the text of a file. The result is never 0, which stands for no digest.
func digest(text []byte) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(text)
	return max(1, h.Sum64())
}
