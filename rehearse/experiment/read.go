package experiment

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsimple"

	"magpieglade/internal/hclfile"
	"magpieglade/rehearse"
)

// planFile is the schema of an experiment file.
type planFile struct {
	Scenarios []string `hcl:"scenarios"`
	Seeds     int      `hcl:"seeds"`
	Variants  []struct {
		Name    string    `hcl:"name,label"`
		Policy  string    `hcl:"policy,optional"`
		Program string    `hcl:"program,optional"`
		At      hcl.Range `hcl:",def_range"`
	} `hcl:"variant,block"`
	Parameters []struct {
		Name   string    `hcl:"name,label"`
		Values []float64 `hcl:"values"`
		At     hcl.Range `hcl:",def_range"`
	} `hcl:"parameter,block"`
}

func memberName(group, member int) string { return fmt.Sprintf("%d.%d", group, member) }

// Read parses an experiment file. Paths in it are relative to its folder.
func Read(path string) (*Plan, error) {
	body, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var t planFile
	if err := hclsimple.Decode(path, body, nil, &t); err != nil {
		var diags hcl.Diagnostics
		if errors.As(err, &diags) {
			return nil, hclfile.JoinErrors(diags)
		}
		return nil, err
	}
	folder := filepath.Dir(path)
	p := &Plan{Seeds: t.Seeds}
	if t.Seeds < 1 || len(t.Scenarios) == 0 || len(t.Variants) == 0 {
		return nil, fmt.Errorf("%s: an experiment needs scenarios, seeds and variants", path)
	}
	for _, name := range t.Scenarios {
		if strings.HasSuffix(name, ".hcl") && !filepath.IsAbs(name) {
			name = filepath.Join(folder, name)
		}
		s, err := rehearse.Find(name)
		if err != nil {
			return nil, err
		}
		p.Scenarios = append(p.Scenarios, s)
	}
	for _, v := range t.Variants {
		errorf := func(format string, a ...any) error {
			return fmt.Errorf("%s:%d:%d: variant %q: %s", path, v.At.Start.Line, v.At.Start.Column, v.Name, fmt.Sprintf(format, a...))
		}
		if v.Policy != "" && !slices.Contains(rehearse.Policies, v.Policy) {
			return nil, errorf("unknown policy %q: it is one of %s", v.Policy, strings.Join(rehearse.Policies, ", "))
		}
		if slices.ContainsFunc(p.Variants, func(o Variant) bool { return o.Name == v.Name }) {
			return nil, errorf("duplicate name")
		}
		if v.Program != "" && !filepath.IsAbs(v.Program) {
			v.Program = filepath.Join(folder, v.Program)
		}
		p.Variants = append(p.Variants, Variant{v.Name, v.Policy, v.Program})
	}
	for _, x := range t.Parameters {
		if ParameterSetters[x.Name] == nil || len(x.Values) == 0 {
			var all []string
			for k := range ParameterSetters {
				all = append(all, k)
			}
			slices.Sort(all)
			return nil, fmt.Errorf("%s:%d:%d: parameter %q is unknown or has no values: it is one of %s", path, x.At.Start.Line, x.At.Start.Column, x.Name, strings.Join(all, ", "))
		}
		p.Parameters = append(p.Parameters, Parameter{x.Name, x.Values})
	}
	return p, nil
}
