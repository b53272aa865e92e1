package operator

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"
)

// reader takes blocks apart and gathers what is wrong, so that all of it is told at once.
type reader struct {
	folder string
	diags  hcl.Diagnostics
}

// content is what a block holds.
type content struct {
	r      *reader
	attrs  hcl.Attributes
	blocks hcl.Blocks
}

func (r *reader) wrong(at hcl.Range, summary, detail string) {
	r.diags = append(r.diags, &hcl.Diagnostic{Severity: hcl.DiagError, Summary: summary, Detail: detail, Subject: &at})
}

// block takes a body of these attributes and blocks; blocks key, tenant and route have a label.
func (r *reader) block(body hcl.Body, attrs []string, blocks ...string) *content {
	var schema hcl.BodySchema
	for _, name := range attrs {
		schema.Attributes = append(schema.Attributes, hcl.AttributeSchema{Name: name})
	}
	for _, name := range blocks {
		b := hcl.BlockHeaderSchema{Type: name}
		switch name {
		case "key":
			b.LabelNames = []string{"number"}
		case "tenant", "route":
			b.LabelNames = []string{"name"}
		}
		schema.Blocks = append(schema.Blocks, b)
	}
	c, diags := body.Content(&schema)
	r.diags = append(r.diags, diags...)
	return &content{r, c.Attributes, c.Blocks}
}

// rangeOf is where an attribute's value stands, or else another place.
func (c *content) rangeOf(name string, other hcl.Range) hcl.Range {
	if a := c.attrs[name]; a != nil {
		return a.Expr.Range()
	}
	return other
}

func (c *content) text(name string, to *string) bool {
	a := c.attrs[name]
	return a != nil && c.r.decode(a, to)
}

func (c *content) oneOf(name string, to *string, values ...string) {
	var text string
	if !c.text(name, &text) {
		return
	}
	if !slices.Contains(values, text) {
		c.r.wrong(c.attrs[name].Expr.Range(), fmt.Sprintf("%s has the unknown value %q", name, text),
			"It is one of "+strings.Join(values, ", ")+".")
		return
	}
	*to = text
}

// duration takes a span of at least so much, as in "20ms", in nanoseconds.
func (c *content) duration(name string, to *int64, least time.Duration) {
	var text string
	if !c.text(name, &text) {
		return
	}
	d, err := time.ParseDuration(text)
	if err != nil || d < least {
		c.r.wrong(c.attrs[name].Expr.Range(), fmt.Sprintf("%s is no span of at least %v", name, least), `Write it as "20ms" or "10s".`)
		return
	}
	*to = int64(d)
}

func (c *content) whole(name string, to *int, least, most int) {
	a := c.attrs[name]
	if a == nil {
		return
	}
	var n int
	if c.r.decode(a, &n) {
		if n < least || n > most {
			c.r.wrong(a.Expr.Range(), name+" is out of range", fmt.Sprintf("It is from %d to %d.", least, most))
			return
		}
		*to = n
	}
}

func (c *content) number(name string, to *float64, least, most float64) {
	a := c.attrs[name]
	if a == nil {
		return
	}
	var x float64
	if c.r.decode(a, &x) {
		if x < least || x > most {
			c.r.wrong(a.Expr.Range(), name+" is out of range", fmt.Sprintf("It is from %v to %v.", least, most))
			return
		}
		*to = x
	}
}

func (c *content) address(name string, to *netip.AddrPort) {
	var text string
	if !c.text(name, &text) {
		return
	}
	a, err := netip.ParseAddrPort(text)
	if err != nil || !a.Addr().Is4() || a.Port() == 0 {
		c.r.wrong(c.attrs[name].Expr.Range(), name+" is no IPv4 address with a port", "Write it as 10.0.0.4:7946.")
		return
	}
	*to = a
}

func (c *content) truth(name string, to *bool) {
	if a := c.attrs[name]; a != nil {
		c.r.decode(a, to)
	}
}
