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

// agreement takes how this gateway agrees with the others on what holds for all.
func (r *reader) decodeAgreement(b *hcl.Block) *fleet.Config {
	in := r.decodeBlock(b, []string{"listen", "address", "ask", "folder", "zone", "lease", "clock_error", "turn", "share", "without_agreement"}, "key")
	p := &fleet.Config{Agreement: agreement.DefaultConfig()}
	in.decodeAddress("listen", &p.Listen)
	if !p.Listen.IsValid() && in.Attrs["listen"] == nil {
		r.AddError(b.DefRange, "listen is lacking", "Say at which address the others reach this gateway: listen = \"10.0.0.4:7946\".")
	}
	p.Address = p.Listen
	in.decodeAddress("address", &p.Address)
	for _, text := range in.Strings("ask") {
		a, err := netip.ParseAddrPort(text)
		if err != nil || !a.Addr().Is4() || a.Port() == 0 {
			r.AddError(in.Attrs["ask"].Expr.Range(), fmt.Sprintf("%q is no IPv4 address with a port", text), "Write it as 10.0.0.4:7946.")
			continue
		}
		p.Seeds = append(p.Seeds, a)
	}
	in.Decode("folder", &p.Folder)
	if p.Folder != "" && !filepath.IsAbs(p.Folder) {
		p.Folder = filepath.Join(r.folder, p.Folder)
	}
	if p.Folder == "" && len(p.Seeds) == 0 {
		r.AddError(b.DefRange, "there is neither a folder, to vote, nor anybody to ask", "Give folder = \"/var/lib/magpieglade/agreement\", or ask = [\"10.0.0.4:7946\"].")
	}
	in.Decode("zone", &p.Zone)
	in.Duration("lease", &p.Agreement.Lease, 100*time.Millisecond)
	in.Duration("clock_error", &p.Agreement.ClockError, time.Millisecond)
	in.Duration("turn", &p.Agreement.EffectDelay, time.Millisecond)
	in.Float("share", &p.CanaryFraction, 0, 1)
	without := routes.Reject
	in.OneOf("without_agreement", &without, routes.Reject, routes.Serve)
	p.ServeWithoutAgreement = without == routes.Serve
	var keys []fleet.PeerKey
	for _, k := range in.Blocks {
		r.decodeKey(k, &keys)
	}
	if len(in.Blocks) == 0 {
		r.AddError(b.DefRange, "a key is lacking", "Gateways believe one another by a key that they share: key \"1\" { file = \"...\" }.")
	}
	for _, k := range keys {
		p.Keys = append(p.Keys, peerwire.Key{ID: k.ID, Secret: k.Secret})
	}
	return p
}

// besides names what of a file the agreement takes the place of.
func (r *reader) checkAgreementConflicts(top *content, f *File) {
	if f.ChangesFolder != "" {
		r.AddError(top.RangeOf("changes"), "changes outlive the process by the agreement", "Take changes away: the log of those that vote keeps them.")
	}
	if s := f.Sessions; s != nil && len(s.Gateways) > 0 {
		r.AddError(r.gatewaysRange, "the fleet agrees on its list of gateways", "Take gateways away: who joins is asked by all, and nobody restarts for it.")
	}
	if s := f.Sessions; s != nil && s.Listen.IsValid() && f.Agreement.Listen.IsValid() && s.Listen != f.Agreement.Listen {
		r.AddError(top.Blocks[0].DefRange, fmt.Sprintf("sessions listen at %v and the agreement at %v", s.Listen, f.Agreement.Listen), "Both use one address.")
	}
}

// Build names this build.
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
