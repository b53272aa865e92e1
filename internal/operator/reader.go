package operator

import (
	"fmt"
	"net/netip"
	"strings"

	"github.com/hashicorp/hcl/v2"

	"magpieglade/internal/hclfile"
)

// reader decodes an operator's file.
type reader struct {
	hclfile.File
	folder            string
	positionsRange    hcl.Range // of positions set without other gateways, zero if there is none
	gatewaysRange     hcl.Range // of the list of gateways
	coordinationRange hcl.Range // of the block coordination
}

// content holds the decoded attributes and blocks of a block.
type content struct{ *hclfile.Content }

func newReader(folder string) *reader {
	return &reader{File: hclfile.File{Labels: map[string]string{"key": "number", "tenant": "name", "route": "name"}}, folder: folder}
}

// decodeBlock decodes a block that may have the given attributes and nested blocks.
func (r *reader) decodeBlock(b *hcl.Block, attrs []string, blocks ...string) *content {
	return &content{r.Content(b.Body, b.DefRange, strings.Join(attrs, " "), blocks...)}
}

// decodeAddress decodes an IPv4 address with a port.
func (c *content) decodeAddress(name string, to *netip.AddrPort) {
	var text string
	if !c.Decode(name, &text) {
		return
	}
	a, err := netip.ParseAddrPort(text)
	if err != nil || !a.Addr().Is4() || a.Port() == 0 {
		c.File.AddError(c.RangeOf(name), fmt.Sprintf("%s is not an IPv4 address with a port", name), "Write it as 10.0.0.4:7946.")
		return
	}
	*to = a
}
