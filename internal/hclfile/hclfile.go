// Package hclfile decodes HCL files and collects all errors, so that they are reported together, each with file, line and
// column.
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

// File is a file that is being decoded.
type File struct {
	Labels map[string]string // label name by type of block, for blocks that have a label
	diags  hcl.Diagnostics
}

// Content holds the attributes and nested blocks of a block, or of the file itself.
type Content struct {
	File   *File
	Range  hcl.Range
	Attrs  hcl.Attributes
	Blocks hcl.Blocks
}

// Parse parses a text and returns its body, or all syntax errors.
func Parse(text []byte, path string) (hcl.Body, error) {
	parsed, diags := hclsyntax.ParseConfig(text, path, hcl.InitialPos)
	if diags.HasErrors() {
		return nil, JoinErrors(diags)
	}
	return parsed.Body, nil
}

// Err returns all errors found so far, nil if there are none.
func (f *File) Err() error {
	if !f.diags.HasErrors() {
		return nil
	}
	return JoinErrors(f.diags)
}

// AddError records an error and how to correct it.
func (f *File) AddError(at hcl.Range, summary, remedy string) {
	f.diags = append(f.diags, &hcl.Diagnostic{Severity: hcl.DiagError, Summary: summary, Detail: remedy, Subject: &at})
}

// Content decodes a body that may have the given attributes (names separated by spaces) and blocks.
func (f *File) Content(body hcl.Body, at hcl.Range, attrs string, blocks ...string) *Content {
	var schema hcl.BodySchema
	for _, name := range strings.Fields(attrs) {
		schema.Attributes = append(schema.Attributes, hcl.AttributeSchema{Name: name})
	}
	for _, name := range blocks {
		header := hcl.BlockHeaderSchema{Type: name}
		if label := f.Labels[name]; label != "" {
			header.LabelNames = []string{label}
		}
		schema.Blocks = append(schema.Blocks, header)
	}
	c, diags := body.Content(&schema)
	f.diags = append(f.diags, diags...)
	return &Content{f, at, c.Attributes, c.Blocks}
}

// Decode decodes an attribute's value into a Go variable. It returns false if the attribute is absent or its value has
// another type.
func (c *Content) Decode(name string, to any) bool {
	a := c.Attrs[name]
	if a == nil {
		return false
	}
	diags := gohcl.DecodeExpression(a.Expr, nil, to)
	c.File.diags = append(c.File.diags, diags...)
	return !diags.HasErrors()
}

// RangeOf returns the source range of an attribute's value, or that of the block if the attribute is absent.
func (c *Content) RangeOf(name string) hcl.Range {
	if a := c.Attrs[name]; a != nil {
		return a.Expr.Range()
	}
	return c.Range
}

// OneOf decodes a string that must be one of the given values.
func (c *Content) OneOf(name string, to *string, values ...string) {
	var text string
	if !c.Decode(name, &text) {
		return
	}
	if !slices.Contains(values, text) {
		c.File.AddError(c.RangeOf(name), fmt.Sprintf("%s has the unknown value %q", name, text), "It is one of "+strings.Join(values, ", ")+".")
		return
	}
	*to = text
}

// Duration decodes a duration such as "20ms" of at least the minimum, in nanoseconds.
func (c *Content) Duration(name string, to *int64, minimum time.Duration) {
	var text string
	if !c.Decode(name, &text) {
		return
	}
	d, err := time.ParseDuration(text)
	if err != nil || d < minimum {
		c.File.AddError(c.RangeOf(name), fmt.Sprintf("%s is no span of at least %v", name, minimum), `Write it as "20ms" or "10s".`)
		return
	}
	*to = int64(d)
}

// Int decodes an integer between minimum and maximum, inclusive.
func (c *Content) Int(name string, to *int, minimum, maximum int) {
	if n := 0; c.Decode(name, &n) {
		if n < minimum || n > maximum {
			c.File.AddError(c.RangeOf(name), name+" is out of range", fmt.Sprintf("It is from %d to %d.", minimum, maximum))
			return
		}
		*to = n
	}
}

// Float decodes a number between minimum and maximum, inclusive.
func (c *Content) Float(name string, to *float64, minimum, maximum float64) {
	if x := 0.0; c.Decode(name, &x) {
		if x < minimum || x > maximum {
			c.File.AddError(c.RangeOf(name), name+" is out of range", fmt.Sprintf("It is from %v to %v.", minimum, maximum))
			return
		}
		*to = x
	}
}

// Strings decodes a list of strings.
func (c *Content) Strings(name string) (all []string) {
	c.Decode(name, &all)
	return all
}

// Require records an error for each of the given attributes that is absent.
func (c *Content) Require(names ...string) {
	for _, name := range names {
		if c.Attrs[name] == nil {
			c.File.AddError(c.Range, name+" is lacking", "Say it.")
		}
	}
}

// JoinErrors formats the errors among the diagnostics, one per line.
func JoinErrors(diags hcl.Diagnostics) error {
	var all []error
	for _, d := range diags {
		if d.Severity != hcl.DiagError {
			continue
		}
		position := "?"
		if d.Subject != nil {
			position = fmt.Sprintf("%s:%d:%d", d.Subject.Filename, d.Subject.Start.Line, d.Subject.Start.Column)
		}
		all = append(all, fmt.Errorf("%s: %s: %s", position, strings.TrimSuffix(d.Summary, "."), d.Detail))
	}
	return errors.Join(all...)
}
