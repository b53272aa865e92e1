package operator

import (
	"fmt"
	"net/netip"
	"strings"

	"github.com/hashicorp/hcl/v2"

	"magpieglade/internal/hclfile"
)

// reader takes an operator's file apart.
type reader struct {
	hclfile.File
	folder            string
	positionsRange    hcl.Range // where positions are asked for without a list of gateways, zero if not
	gatewaysRange     hcl.Range // of that list
	coordinationRange hcl.Range // the block coordination
}

// content is what a block holds.
type content struct{ *hclfile.Content }

func newReader(folder string) *reader {
	return &reader{File: hclfile.File{Labels: map[string]string{"key": "number", "tenant": "name", "route": "name"}}, folder: folder}
}

// block takes a body of these attributes and blocks.
func (r *reader) decodeBlock(b *hcl.Block, attrs []string, blocks ...string) *content {
	return &content{r.Content(b.Body, b.DefRange, strings.Join(attrs, " "), blocks...)}
}

// address takes an IPv4 address with a port.
func (c *content) decodeAddress(name string, to *netip.AddrPort) {
	var text string
	if !c.Decode(name, &text) {
		return
	}
	a, err := netip.ParseAddrPort(text)
	if err != nil || !a.Addr().Is4() || a.Port() == 0 {
		c.File.AddError(c.RangeOf(name), fmt.Sprintf("%s is no IPv4 address with a port", name), "Write it as 10.0.0.4:7946.")
		return
	}
	*to = a
}
