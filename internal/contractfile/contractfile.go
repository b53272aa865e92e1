// Package contractfile reads files of contracts and of what members can do, in HCL. Each mistake is told with file, line and
// column.
package contractfile

import (
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/shopspring/decimal"

	"magpieglade/contracts"
	"magpieglade/internal/hclfile"
)

// File is what one says.
type File struct {
	Contracts []contracts.Terms
	Sizes     []contracts.MemberSize
	Floor     *float64 // nil where it says nothing of it
}

// Read reads a file.
func Read(path string) (*File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(text, path)
}

// Parse reads a text.
func Parse(text []byte, path string) (*File, error) {
	body, err := hclfile.Parse(text, path)
	if err != nil {
		return nil, err
	}
	r := &hclfile.File{Labels: map[string]string{"contract": "name", "group": "number"}}
	f := new(File)
	top := r.Content(body, hcl.Range{Filename: path, Start: hcl.InitialPos, End: hcl.InitialPos}, "", "contract", "capacity")
	for _, b := range top.Blocks {
		if b.Type == "contract" {
			f.contract(r, b)
		} else {
			f.capacity(r, b)
		}
	}
	return f, r.Err()
}

func (f *File) contract(r *hclfile.File, b *hcl.Block) {
	p := r.Content(b.Body, b.DefRange, "tenant types groups reads writes in_flight fan_out fan_zones ramp cool aim promised beyond ceiling loss rank price credit", "window")
	t := contracts.Terms{Name: b.Labels[0], RampDuration: int64(5 * time.Minute), CooldownDuration: int64(time.Minute), PromisedFraction: 0.99, ExcessPolicy: contracts.BestEffort, ToleratedLoss: contracts.MemberLoss}
	p.Require("tenant", "in_flight")
	p.Decode("tenant", &t.Tenant)
	t.Types = p.Strings("types")
	p.Decode("groups", &t.Groups)
	p.Float("reads", &t.Reads, 0, 1e9)
	p.Float("writes", &t.Writes, 0, 1e9)
	p.Int("in_flight", &t.InFlight, 1, 1_000_000)
	p.Int("fan_out", &t.MinReplicas, 0, 1000)
	p.Int("fan_zones", &t.MinZones, 0, 1000)
	p.Duration("ramp", &t.RampDuration, 0)
	p.Duration("cool", &t.CooldownDuration, 0)
	p.Duration("aim", &t.TargetLatency, time.Millisecond)
	p.Float("promised", &t.PromisedFraction, 0, 1)
	p.OneOf("beyond", &t.ExcessPolicy, contracts.RejectExcess, contracts.BestEffort, contracts.PaidExcess)
	p.Float("ceiling", &t.MaxExcessFactor, 1, 1e6)
	p.OneOf("loss", &t.ToleratedLoss, contracts.NoLoss, contracts.MemberLoss, contracts.ZoneLoss)
	p.Int("rank", &t.Priority, -1000, 1000)
	amount(p, "price", &t.Price)
	amount(p, "credit", &t.Credit)
	for _, w := range p.Blocks {
		in := r.Content(w.Body, w.DefRange, "zone start length every until except")
		in.Require("zone", "start", "length")
		x := contracts.Window{}
		in.Decode("zone", &x.Zone)
		in.Decode("start", &x.Start)
		in.Duration("length", &x.Length, time.Minute)
		in.OneOf("every", &x.Every, "day", "week")
		in.Decode("until", &x.Until)
		x.Except = in.Strings("except")
		if in.Attrs["zone"] != nil && in.Attrs["start"] != nil && in.Attrs["length"] != nil && x.Length > 0 {
			if err := x.Check(); err != nil {
				r.AddError(w.DefRange, "the window can't be", err.Error()+".")
			}
		}
		t.Windows = append(t.Windows, x)
	}
	if r.Err() == nil {
		if err := t.Check(); err != nil {
			r.AddError(b.DefRange, "the contract can't be", err.Error()+".")
		}
	}
	f.Contracts = append(f.Contracts, t)
}

func amount(p *hclfile.Content, name string, to *decimal.Decimal) {
	text := ""
	if !p.Decode(name, &text) {
		return
	}
	d, err := decimal.NewFromString(text)
	if err != nil {
		p.File.AddError(p.RangeOf(name), name+" is no amount", `Write it as "120.50".`)
	}
	*to = d
}

func (f *File) capacity(r *hclfile.File, b *hcl.Block) {
	p := r.Content(b.Body, b.DefRange, "floor", "group")
	floor := 0.0
	if p.Decode("floor", &floor) {
		if floor < 0 || floor >= 1 {
			r.AddError(p.RangeOf("floor"), "floor is out of range", "It is a share from 0 to below 1.")
		}
		f.Floor = &floor
	}
	for _, g := range p.Blocks {
		in := r.Content(g.Body, g.DefRange, "reads writes")
		in.Require("reads", "writes")
		no, err := strconv.Atoi(strings.TrimSpace(g.Labels[0]))
		if err != nil || no < 0 {
			r.AddError(g.LabelRanges[0], "a group is a number", `As in group "0".`)
		}
		s := contracts.MemberSize{Group: no}
		in.Float("reads", &s.Reads, 0, 1e9)
		in.Float("writes", &s.Writes, 0, 1e9)
		f.Sizes = append(f.Sizes, s)
	}
}
