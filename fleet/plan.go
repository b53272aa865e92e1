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

// SessionConfig is the operator's configuration of session consistency. Without it a gateway guarantees only the positions
// that clients send and, if the settings say `kept`, its own answers.
type SessionConfig struct {
	Session  session.Config // Self and FleetSize are set from Gateways, or from the list that the fleet agrees on
	Tokens   TokenUse
	Listen   netip.AddrPort   // for messages of other gateways; invalid if there are none
	Gateways []netip.AddrPort // all gateways including this one, in the same order everywhere
	Keys     []PeerKey        // the first one signs, all verify
	// SharePositions has gateways exchange the positions of members in addition to what sessions need. The decision module
	// shares them according to limits.peers of the settings.
	SharePositions bool
	Ledger         LedgerConfig
}

// TokenUse is how far positions sent by clients are trusted.
type TokenUse string

const (
	TokensHints    TokenUse = "hints"    // they may only raise the minimum position of a read
	TokensComplete TokenUse = "complete" // they cover all writes of their session
	TokensSigned   TokenUse = "signed"   // the same if signed by a gateway; unsigned ones are ignored
)

// PeerKey authenticates messages between gateways, and client tokens.
type PeerKey struct {
	ID     uint8
	Secret []byte
}

// LedgerConfig configures the ledger that keeps session watermarks over a restart; without a folder there is none.
type LedgerConfig struct {
	Folder       string
	BeforeAnswer Durability
	MaxWait      int64             // nanoseconds that an answer waits for the disk; then the ledger is marked incomplete
	FileSystem   ledger.FileSystem // nil for that of the operating system
}

// Durability is where a watermark has been stored when its write is answered.
type Durability string

const (
	DurableNone    Durability = "none"    // nowhere: after a crash each group is fenced once
	DurableProcess Durability = "process" // in the kernel: survives a restart of the process; after a loss of power each group is fenced once
)

// Validate returns an error that describes the first missing or invalid value, and completes the session configuration.
// probesReportPosition states whether members answer probes with their position.
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
		return errorf("gateways must be empty where the fleet agrees on its list of gateways")
	}
	p.Session.FleetSize, p.Session.Self = max(1, len(p.Gateways)), 0
	if len(p.Gateways) > 1 {
		if p.Session.Self = slices.Index(p.Gateways, p.Listen); p.Session.Self < 0 {
			return errorf("gateways does not contain %v, on which this gateway listens for the others", p.Listen)
		}
		for i, g := range p.Gateways {
			if !g.IsValid() || !g.Addr().Is4() || g.Port() == 0 || slices.Contains(p.Gateways[:i], g) {
				return errorf("gateways contains %v twice, or it is not an IPv4 address with a port", g)
			}
		}
	}
	if p.SharePositions && p.Standalone() {
		return errorf("positions requires other gateways")
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

// Standalone reports whether there are no other gateways.
func (p *SessionConfig) Standalone() bool { return len(p.Gateways) < 2 && !p.Session.DynamicMembership }

// peerAddresses returns the addresses of the other gateways, keyed by their index in the list.
func (p *SessionConfig) peerAddresses() map[int]netip.AddrPort {
	addresses := map[int]netip.AddrPort{}
	for i, a := range p.Gateways {
		if i != p.Session.Self {
			addresses[i] = a
		}
	}
	return addresses
}

func (p *SessionConfig) keys() (keys peerwire.Keys) {
	for _, k := range p.Keys {
		keys = append(keys, peerwire.Key{ID: k.ID, Secret: k.Secret})
	}
	return keys
}

// fleetHash returns a hash of the list of gateways.
func (p *SessionConfig) fleetHash() uint32 {
	var addresses []string
	for _, g := range p.Gateways {
		addresses = append(addresses, g.String())
	}
	return peerwire.FleetHash(addresses)
}
