// Package hclfile takes files in HCL apart and gathers what is wrong with them, so that all of it is told at once, each with
// file, line and column.
package hclfile

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/gohcl"
	"github.com/hashicorp/hcl/v2/hclsyntax"
)

// File is a file that is being read.
type File struct {
	Labels map[string]string // blocks that have a label, with what it is
	diags  hcl.Diagnostics
}

// Part is what a block holds, or the file itself.
type Part struct {
	File   *File
	At     hcl.Range
	Attrs  hcl.Attributes
	Blocks hcl.Blocks
}

// Body is a text's, or what is wrong with its form.
func Body(text []byte, path string) (hcl.Body, error) {
	parsed, diags := hclsyntax.ParseConfig(text, path, hcl.InitialPos)
	if diags.HasErrors() {
		return nil, Problems(diags)
	}
	return parsed.Body, nil
}

// Err is all that was found wrong, nil for nothing.
func (f *File) Err() error {
	if !f.diags.HasErrors() {
		return nil
	}
	return Problems(f.diags)
}

// Wrong notes something that is wrong, and the way out.
func (f *File) Wrong(at hcl.Range, what, way string) {
	f.diags = append(f.diags, &hcl.Diagnostic{Severity: hcl.DiagError, Summary: what, Detail: way, Subject: &at})
}

// Part takes a body of these attributes, in one text with blanks between them, and blocks.
func (f *File) Part(body hcl.Body, at hcl.Range, attrs string, blocks ...string) *Part {
	var schema hcl.BodySchema
	for _, name := range strings.Fields(attrs) {
		schema.Attributes = append(schema.Attributes, hcl.AttributeSchema{Name: name})
	}
	for _, name := range blocks {
		b := hcl.BlockHeaderSchema{Type: name}
		if label := f.Labels[name]; label != "" {
			b.LabelNames = []string{label}
		}
		schema.Blocks = append(schema.Blocks, b)
	}
	c, diags := body.Content(&schema)
	f.diags = append(f.diags, diags...)
	return &Part{f, at, c.Attributes, c.Blocks}
}

// Decode is an attribute's value in a variable of Go's; false where it has none, or another kind of value.
func (p *Part) Decode(name string, to any) bool {
	a := p.Attrs[name]
	if a == nil {
		return false
	}
	diags := gohcl.DecodeExpression(a.Expr, nil, to)
	p.File.diags = append(p.File.diags, diags...)
	return !diags.HasErrors()
}

// RangeOf is where an attribute's value stands, or else the block.
func (p *Part) RangeOf(name string) hcl.Range {
	if a := p.Attrs[name]; a != nil {
		return a.Expr.Range()
	}
	return p.At
}

// OneOf takes one of some words.
func (p *Part) OneOf(name string, to *string, values ...string) {
	var text string
	if !p.Decode(name, &text) {
		return
	}
	if !slices.Contains(values, text) {
		p.File.Wrong(p.RangeOf(name), fmt.Sprintf("%s has the unknown value %q", name, text), "It is one of "+strings.Join(values, ", ")+".")
		return
	}
	*to = text
}

// Span takes a span of at least so much, as in "20ms", in nanoseconds.
func (p *Part) Span(name string, to *int64, least time.Duration) {
	var text string
	if !p.Decode(name, &text) {
		return
	}
	d, err := time.ParseDuration(text)
	if err != nil || d < least {
		p.File.Wrong(p.RangeOf(name), fmt.Sprintf("%s is no span of at least %v", name, least), `Write it as "20ms" or "10s".`)
		return
	}
	*to = int64(d)
}

// Whole takes a whole number within bounds.
func (p *Part) Whole(name string, to *int, least, most int) {
	if n := 0; p.Decode(name, &n) {
		if n < least || n > most {
			p.File.Wrong(p.RangeOf(name), name+" is out of range", fmt.Sprintf("It is from %d to %d.", least, most))
			return
		}
		*to = n
	}
}

// Number takes a number within bounds.
func (p *Part) Number(name string, to *float64, least, most float64) {
	if x := 0.0; p.Decode(name, &x) {
		if x < least || x > most {
			p.File.Wrong(p.RangeOf(name), name+" is out of range", fmt.Sprintf("It is from %v to %v.", least, most))
			return
		}
		*to = x
	}
}

// Words takes a list of texts.
func (p *Part) Words(name string) (all []string) {
	p.Decode(name, &all)
	return all
}

// Needs tells of attributes that are lacking.
func (p *Part) Needs(names ...string) {
	for _, n := range names {
		if p.Attrs[n] == nil {
			p.File.Wrong(p.At, n+" is lacking", "Say it.")
		}
	}
}

// Problems words all that is wrong, a line for each.
func Problems(diags hcl.Diagnostics) error {
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
