package operator

import (
	"fmt"
	"net/netip"
	"path/filepath"
	"runtime/debug"
	"time"

	"github.com/hashicorp/hcl/v2"

	"magpieglade/agreement"
	"magpieglade/fleet"
	"magpieglade/internal/peerwire"
	"magpieglade/routes"
)

// decodeAgreement decodes the block agreement: how this gateway agrees with the others on fleet-wide state.
func (r *reader) decodeAgreement(b *hcl.Block) *fleet.Config {
	in := r.decodeBlock(b, []string{"listen", "address", "ask", "folder", "zone", "lease", "clock_error", "turn", "share", "without_agreement"}, "key")
	p := &fleet.Config{Agreement: agreement.DefaultConfig()}
	in.decodeAddress("listen", &p.Listen)
	if !p.Listen.IsValid() && in.Attrs["listen"] == nil {
		r.AddError(b.DefRange, "listen is missing", "Set the address at which the other gateways reach this one: listen = \"10.0.0.4:7946\".")
	}
	p.Address = p.Listen
	in.decodeAddress("address", &p.Address)
	for _, text := range in.Strings("ask") {
		a, err := netip.ParseAddrPort(text)
		if err != nil || !a.Addr().Is4() || a.Port() == 0 {
			r.AddError(in.Attrs["ask"].Expr.Range(), fmt.Sprintf("%q is not an IPv4 address with a port", text), "Write it as 10.0.0.4:7946.")
			continue
		}
		p.Seeds = append(p.Seeds, a)
	}
	in.Decode("folder", &p.Folder)
	if p.Folder != "" && !filepath.IsAbs(p.Folder) {
		p.Folder = filepath.Join(r.folder, p.Folder)
	}
	if p.Folder == "" && len(p.Seeds) == 0 {
		r.AddError(b.DefRange, "neither folder, which voting requires, nor ask is set", "Set folder = \"/var/lib/magpieglade/agreement\", or ask = [\"10.0.0.4:7946\"].")
	}
	in.Decode("zone", &p.Zone)
	in.Duration("lease", &p.Agreement.Lease, 100*time.Millisecond)
	in.Duration("clock_error", &p.Agreement.ClockError, time.Millisecond)
	in.Duration("turn", &p.Agreement.EffectDelay, time.Millisecond)
	in.Float("share", &p.CanaryFraction, 0, 1)
	withoutAgreement := routes.Reject
	in.OneOf("without_agreement", &withoutAgreement, routes.Reject, routes.Serve)
	p.ServeWithoutAgreement = withoutAgreement == routes.Serve
	var keys []fleet.PeerKey
	for _, k := range in.Blocks {
		r.decodeKey(k, &keys)
	}
	if len(in.Blocks) == 0 {
		r.AddError(b.DefRange, "no key is given", "Gateways authenticate each other with a shared key: key \"1\" { file = \"...\" }.")
	}
	for _, k := range keys {
		p.Keys = append(p.Keys, peerwire.Key{ID: k.ID, Secret: k.Secret})
	}
	return p
}

// checkAgreementConflicts reports settings that the block agreement replaces or contradicts.
func (r *reader) checkAgreementConflicts(top *content, f *File) {
	if f.ChangesFolder != "" {
		r.AddError(top.RangeOf("changes"), "changes cannot be combined with agreement", "Remove changes: the log of the voters stores them.")
	}
	if s := f.Sessions; s != nil && len(s.Gateways) > 0 {
		r.AddError(r.gatewaysRange, "gateways cannot be combined with agreement", "Remove gateways: the fleet agrees on its list, and no gateway restarts when another joins.")
	}
	if s := f.Sessions; s != nil && s.Listen.IsValid() && f.Agreement.Listen.IsValid() && s.Listen != f.Agreement.Listen {
		r.AddError(top.Blocks[0].DefRange, fmt.Sprintf("sessions listens at %v but agreement at %v", s.Listen, f.Agreement.Listen), "Both must use the same address.")
	}
}

// Build identifies this build: the start of its commit hash, or the module version if there is none.
func Build() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return ""
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return s.Value[:min(12, len(s.Value))]
		}
	}
	return info.Main.Version
}
