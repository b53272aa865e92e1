package operator

import (
	"time"

	"github.com/hashicorp/hcl/v2"

	"magpieglade/fleet"
	"magpieglade/subset"
	"magpieglade/turns"
)

// decodeCoordination decodes the block coordination: what this gateway decides in coordination with the others.
func (r *reader) decodeCoordination(b *hcl.Block) *fleet.CoordinationConfig {
	in := r.decodeBlock(b, []string{"subset", "connections", "away", "signals", "turns", "wait"})
	r.coordinationRange = b.DefRange
	p := &fleet.CoordinationConfig{Signals: true, Wait: turns.DefaultWait}
	t := subset.DefaultConfig()
	in.Int("subset", &t.MinMembers, 0, 1000)
	in.Int("connections", &t.Connections, 1, 10000)
	in.Int("away", &t.MinOtherZone, 0, 999)
	in.Decode("signals", &p.Signals)
	p.Turns = p.Signals
	in.Decode("turns", &p.Turns)
	in.Duration("wait", &p.Wait, time.Millisecond)
	if in.Attrs["subset"] != nil && t.MinMembers > 0 {
		if p.Subset = &t; t.Validate() != nil {
			r.AddError(in.RangeOf("subset"), t.Validate().Error(), "Use at least two members of each group and more than away; 0 uses all of them.")
			p.Subset = nil
		}
	} else if in.Attrs["connections"] != nil || in.Attrs["away"] != nil {
		r.AddError(b.DefRange, "connections and away require subset", "Set subset = 4.")
	}
	if p.Turns && !p.Signals {
		r.AddError(in.RangeOf("turns"), "turns requires signals", "Signals carry the messages of turns: signals = true.")
	}
	return p
}
