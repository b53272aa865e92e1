package fleet

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"

	"magpieglade/internal/peerwire"
	"magpieglade/ledger"
	"magpieglade/session"
)

// SessionPlan is what the operator says of the guarantee of sessions. Without one a gateway covers what clients
// bring and, where the settings say `kept`, what it answered itself.
type SessionPlan struct {
	Terms    session.Config // Self and Fleet are set by Gateways, or where the fleet agrees on its list by that
	Tokens   TokenUse
	Listen   netip.AddrPort   // for other gateways; not valid where there are none
	Gateways []netip.AddrPort // of the whole fleet, this one among them, in the same order everywhere
	Keys     []PeerKey        // the first signs, all are valid
	// Positions has gateways tell each other the positions of members, beside what sessions need. The decision module
	// shares them as limits.peers of the settings has it do.
	Positions bool
	Ledger    LedgerPlan
}

// TokenUse is what the positions that clients bring are good for.
type TokenUse string

const (
	TokensHints    TokenUse = "hints"    // they may raise a floor, no more
	TokensComplete TokenUse = "complete" // they cover all that their session wrote
	TokensSigned   TokenUse = "signed"   // the same, if a gateway signed them; others are none
)

// PeerKey authenticates messages between gateways and tokens of clients.
type PeerKey struct {
	ID     uint8
	Secret []byte
}

// LedgerPlan says where marks are kept over a restart; without a folder nowhere.
type LedgerPlan struct {
	Folder       string
	BeforeAnswer Durability
	AtMost       int64       // nanoseconds that an answer waits for the disk; past it the ledger is no longer complete
	Disk         ledger.Disk // nil is the system's
}

// Durability is how far a mark has come when its write is answered.
type Durability string

const (
	DurableNone    Durability = "none"    // nowhere: after a crash each group is fenced once
	DurableProcess Durability = "process" // with the kernel: a restart goes on from there; after a loss of power each group is fenced once
)

// Check names the first value that is lacking or wrong, and completes the terms. reports tells whether members answer probes
// with their position.
func (p *SessionPlan) Check(reports bool) error {
	wrong := func(format string, a ...any) error { return fmt.Errorf("sessions: "+format, a...) }
	if p.Tokens == "" {
		p.Tokens = TokensHints
	}
	switch p.Tokens {
	case TokensHints, TokensComplete, TokensSigned:
	default:
		return wrong("tokens has the unknown value %q", p.Tokens)
	}
	if p.Terms.DynamicMembership && len(p.Gateways) > 0 {
		return wrong("the fleet agrees on its list of gateways")
	}
	p.Terms.FleetSize, p.Terms.Self = max(1, len(p.Gateways)), 0
	if len(p.Gateways) > 1 {
		if p.Terms.Self = slices.Index(p.Gateways, p.Listen); p.Terms.Self < 0 {
			return wrong("gateways does not name %v, where this one listens for them", p.Listen)
		}
		for i, g := range p.Gateways {
			if !g.IsValid() || !g.Addr().Is4() || g.Port() == 0 || slices.Contains(p.Gateways[:i], g) {
				return wrong("gateways has %v twice, or it is no IPv4 address with a port", g)
			}
		}
	}
	if p.Positions && p.Alone() {
		return wrong("positions need other gateways to be told to")
	}
	if !p.Alone() || p.Tokens == TokensSigned {
		if err := p.keys().Check(); err != nil {
			return wrong("%w", err)
		}
	}
	switch p.Ledger.BeforeAnswer {
	case "", DurableNone, DurableProcess:
	default:
		return wrong("before_answer has the unknown value %q", p.Ledger.BeforeAnswer)
	}
	if !reports {
		return errors.New("sessions: members must answer probes with their position (settings: limits.probes, loadReport)")
	}
	return p.Terms.Validate()
}

// Alone tells that there are no other gateways.
func (p *SessionPlan) Alone() bool { return len(p.Gateways) < 2 && !p.Terms.DynamicMembership }

// others are the addresses of the other gateways, by their places in the list.
func (p *SessionPlan) others() map[int]netip.AddrPort {
	all := map[int]netip.AddrPort{}
	for i, a := range p.Gateways {
		if i != p.Terms.Self {
			all[i] = a
		}
	}
	return all
}

func (p *SessionPlan) keys() (keys peerwire.Keys) {
	for _, k := range p.Keys {
		keys = append(keys, peerwire.Key{ID: k.ID, Secret: k.Secret})
	}
	return keys
}

// fleet is a mark of the list of gateways.
func (p *SessionPlan) fleet() uint32 {
	var all []string
	for _, g := range p.Gateways {
		all = append(all, g.String())
	}
	return peerwire.FleetHash(all)
}
