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
type SessionConfig struct {
	Session  session.Config // Self and Fleet are set by Gateways, or where the fleet agrees on its list by that
	Tokens   TokenUse
	Listen   netip.AddrPort   // for other gateways; not valid where there are none
	Gateways []netip.AddrPort // of the whole fleet, this one among them, in the same order everywhere
	Keys     []PeerKey        // the first signs, all are valid
	// Positions has gateways tell each other the positions of members, beside what sessions need. The decision module
	// shares them as limits.peers of the settings has it do.
	SharePositions bool
	Ledger         LedgerConfig
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
type LedgerConfig struct {
	Folder       string
	BeforeAnswer Durability
	MaxWait      int64             // nanoseconds that an answer waits for the disk; past it the ledger is no longer complete
	FileSystem   ledger.FileSystem // nil is the system's
}

// Durability is how far a mark has come when its write is answered.
type Durability string

const (
	DurableNone    Durability = "none"    // nowhere: after a crash each group is fenced once
	DurableProcess Durability = "process" // with the kernel: a restart goes on from there; after a loss of power each group is fenced once
)

// Check names the first value that is lacking or wrong, and completes the terms. reports tells whether members answer probes
// with their position.
func (p *SessionConfig) Validate(probesReportPosition bool) error {
	errorf := func(format string, a ...any) error { return fmt.Errorf("sessions: "+format, a...) }
	if p.Tokens == "" {
		p.Tokens = TokensHints
	}
	switch p.Tokens {
	case TokensHints, TokensComplete, TokensSigned:
	default:
		return errorf("tokens has the unknown value %q", p.Tokens)
	}
	if p.Session.DynamicMembership && len(p.Gateways) > 0 {
		return errorf("the fleet agrees on its list of gateways")
	}
	p.Session.FleetSize, p.Session.Self = max(1, len(p.Gateways)), 0
	if len(p.Gateways) > 1 {
		if p.Session.Self = slices.Index(p.Gateways, p.Listen); p.Session.Self < 0 {
			return errorf("gateways does not name %v, where this one listens for them", p.Listen)
		}
		for i, g := range p.Gateways {
			if !g.IsValid() || !g.Addr().Is4() || g.Port() == 0 || slices.Contains(p.Gateways[:i], g) {
				return errorf("gateways has %v twice, or it is no IPv4 address with a port", g)
			}
		}
	}
	if p.SharePositions && p.Standalone() {
		return errorf("positions need other gateways to be told to")
	}
	if !p.Standalone() || p.Tokens == TokensSigned {
		if err := p.keys().Check(); err != nil {
			return errorf("%w", err)
		}
	}
	switch p.Ledger.BeforeAnswer {
	case "", DurableNone, DurableProcess:
	default:
		return errorf("before_answer has the unknown value %q", p.Ledger.BeforeAnswer)
	}
	if !probesReportPosition {
		return errors.New("sessions: members must answer probes with their position (settings: limits.probes, loadReport)")
	}
	return p.Session.Validate()
}

// Alone tells that there are no other gateways.
func (p *SessionConfig) Standalone() bool { return len(p.Gateways) < 2 && !p.Session.DynamicMembership }

// others are the addresses of the other gateways, by their places in the list.
func (p *SessionConfig) peerAddresses() map[int]netip.AddrPort {
	all := map[int]netip.AddrPort{}
	for i, a := range p.Gateways {
		if i != p.Session.Self {
			all[i] = a
		}
	}
	return all
}

func (p *SessionConfig) keys() (keys peerwire.Keys) {
	for _, k := range p.Keys {
		keys = append(keys, peerwire.Key{ID: k.ID, Secret: k.Secret})
	}
	return keys
}

// fleet is a mark of the list of gateways.
func (p *SessionConfig) fleetHash() uint32 {
	var all []string
	for _, g := range p.Gateways {
		all = append(all, g.String())
	}
	return peerwire.FleetHash(all)
}
