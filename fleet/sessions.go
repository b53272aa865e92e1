package fleet

import (
	"log/slog"
	"net/netip"
	"time"

	"magpieglade/agreement"
	"magpieglade/internal/peerwire"
	"magpieglade/internal/slots"
	"magpieglade/session"
)

// SessionHost is the part of the event loop that Sessions calls. Times are nanoseconds of its clock.
type SessionHost interface {
	Post(f func())
	Now() int64
	WakeAfter(delay int64)
	Logger() *slog.Logger
	Started() <-chan struct{} // closed once Post works

	Serve(readID uint64, minPosition session.Position) // routes a read to a member that has reached minPosition; 0 for any
	Refuse(readID uint64, retryAfter int64)            // rejects a read of which nothing was sent
	// Fence routes the read of a decision to the primary of its group, whose answer completes the fence request. While no
	// primary is known it queries a member that may be one: the members in turn.
	Fence(d *session.Decision, timeout int64) FenceRoute
	ReceivePositions(entries []peerwire.Entry) // of members, reported by another gateway

	IsWaiting(answer slots.Ref) bool                    // whether the answer still waits for its change to be written
	ReleaseAnswer(answer slots.Ref, early bool)         // sends it; the slot of an early answer is kept until EarlyAnswerWritten
	EarlyAnswerWritten(answer slots.Ref) bool           // the change of an early answer has been written; false if the slot is not that of one
	SetAnswerDeadline(answer slots.Ref, deadline int64) // calls AnswerOverdue at the deadline
}

// FenceRoute is what became of a fence request.
type FenceRoute int

const (
	FenceNotSent   FenceRoute = iota // there is no member to ask
	FenceAtPrimary                   // the read is on its way to the primary
	FenceSearching                   // a member that may be the primary was queried; the read waits on
)

// Sessions hosts the session module: it passes reads, commits, fences and messages of other gateways to it, and carries out
// its decisions. It must be used from the event loop only.
type Sessions struct {
	Config    *SessionConfig
	Module    *session.Sessions
	host      SessionHost
	peers     *Peers // nil if there are no other gateways
	tokens    *peerwire.Codec
	ledger    *ledgerWriter // nil without a ledger
	fleet     *Fleet        // provides the list of gateways and the lease; nil if the list is static
	startedAt time.Time
}

// NewSessions creates the module; Open opens the ledger and the peers. startedAt must differ at each start: it is the epoch
// that keeps peers from taking the entries of this run for those of the last.
func NewSessions(h SessionHost, config *SessionConfig, seed uint64, startedAt time.Time) (*Sessions, error) {
	s := &Sessions{host: h, Config: config, startedAt: startedAt}
	var err error
	s.Module, err = session.New(config.Session, seed, uint64(startedAt.UnixNano()))
	return s, err
}

// Open restores the ledger and sets up the exchange with other gateways. fleet is nil if the list of gateways is static.
func (s *Sessions) Open(datagrams *Datagrams, fleet *Fleet) (err error) {
	incarnation := uint32(s.startedAt.UnixNano() >> 16)
	s.fleet = fleet
	if s.Config.Ledger.Folder != "" {
		if s.ledger, err = openLedger(s, s.Config.Ledger); err != nil {
			return err
		}
	}
	if s.Config.Standalone() && s.Config.Tokens != TokensSigned {
		return nil
	}
	if s.tokens, err = peerwire.NewCodec(s.Config.Session.Self, s.Config.fleetHash(), incarnation, s.Config.keys()); err != nil {
		s.Close()
		return err
	}
	if !s.Config.Standalone() {
		s.peers = NewPeers(s.tokens, datagrams, s.host.Logger())
		s.peers.SetPeers(s.Config.Session.Self, s.Config.peerAddresses())
	}
	return nil
}

// SetMembership applies the agreed list of gateways. It must be called before this gateway reports that it has the list.
func (s *Sessions) SetMembership(m *agreement.Manifest) {
	membership := session.Membership{Self: -1, EndedVersion: m.LastEnded}
	others := map[int]netip.AddrPort{}
	for _, gateways := range [][]agreement.Gateway{m.Gateways, m.Departed} {
		for _, g := range gateways {
			if g.ID == s.fleet.Self() {
				membership.Self, membership.KnownToAll = g.Number, g.KnownToAll // false for a departed gateway
				continue
			}
			membership.Peers = append(membership.Peers, g.Number)
			if a, err := netip.ParseAddrPort(g.Address); err == nil {
				others[g.Number] = a
			}
		}
	}
	s.peers.SetPeers(max(0, membership.Self), others)
	s.UpdateClock()
	s.Module.SetMembership(membership)
}

// Started is called once the event loop runs.
func (s *Sessions) Started() {
	s.host.Logger().Info("session consistency enabled", "source", s.Config.Session.Source, "gateways", s.Config.Session.FleetSize, "tokens", s.Config.Tokens)
}

// Close closes the ledger.
func (s *Sessions) Close() {
	if s.ledger != nil {
		if err := s.ledger.ledger.Close(); err != nil {
			s.host.Logger().Info("ledger not closed cleanly", "why", err)
		}
	}
}

// UpdateClock passes the current time to the module. It precedes each input: what arrives is recorded when it is read, which may
// be long after the last round.
func (s *Sessions) UpdateClock() { s.Module.SetTime(s.host.Now()) }

// HasPeers reports whether messages are exchanged with other gateways.
func (s *Sessions) HasPeers() bool { return s.peers != nil }

// Receive handles a message of another gateway.
func (s *Sessions) Receive(data []byte) {
	m, ok := s.peers.Read(data)
	if !ok {
		return
	}
	s.UpdateClock()
	switch m.Type {
	case peerwire.TypeRequest:
		s.Module.HandleRequest(m.From, m.RequestNumber, m.Epoch, m.Last)
	case peerwire.TypePositions:
		s.host.ReceivePositions(m.Entries)
	default:
		page := session.Page{Epoch: m.Epoch, Last: m.Last, First: m.First}
		for _, e := range m.Entries {
			page.Entries = append(page.Entries, session.Entry{Kind: session.EntryKind(e.Kind), Group: int(e.Group), Key: e.Key,
				Position: session.Position(e.Position), Age: int64(e.Age) * 1000})
		}
		s.Module.HandlePage(m.From, m.RequestNumber, page)
	}
}

// AddRead adds a session read, which waits until deadline for a member that has reached its minimum position.
// clientPosition is the position sent by the client, 0 for none, and token a signed one.
func (s *Sessions) AddRead(id uint64, group int, sessionKey uint64, clientPosition session.Position, token []byte, deadline int64) {
	complete := false
	switch s.Config.Tokens {
	case TokensComplete:
		complete = true
	case TokensSigned:
		clientPosition = 0
		if p, ok := s.tokens.ReadToken(token, uint16(group), sessionKey); ok {
			clientPosition, complete = session.Position(p), true
		}
	}
	s.Module.AddRead(id, group, sessionKey, clientPosition, complete, deadline)
}

// RecordCommit records a session's write before it is answered, and returns the token for its client, if any.
func (s *Sessions) RecordCommit(group int, sessionKey uint64, position session.Position) (token []byte) {
	if sessionKey == 0 {
		return nil
	}
	s.UpdateClock()
	s.Module.RecordCommit(group, sessionKey, position)
	if s.Config.Tokens != TokensSigned || position == 0 {
		return nil
	}
	return s.tokens.AppendToken(nil, uint16(group), sessionKey, int64(position))
}

// WaitsForLedger reports whether answers to session writes wait for the ledger; SaveChanges makes one wait.
func (s *Sessions) WaitsForLedger() bool { return s.ledger != nil && s.ledger.waitForWrite }

// SaveChanges appends the changes to the ledger; the answer is released once they are written or it is overdue.
func (s *Sessions) SaveChanges(answer slots.Ref) { s.ledger.append(answer) }

// AnswerOverdue is called at the deadline set with SessionHost.SetAnswerDeadline.
func (s *Sessions) AnswerOverdue(answer slots.Ref) { s.ledger.overdue(answer) }

// FenceCompleted handles the answer of a primary to the read of a fence: the position that it told, 0 for none.
func (s *Sessions) FenceCompleted(group int, requestID uint64, position session.Position) {
	s.UpdateClock()
	s.Module.FenceCompleted(group, requestID, position)
}

// FenceFailed handles the end of a fence that no primary answered, and the position that a member told instead, 0 for
// none.
func (s *Sessions) FenceFailed(group int, requestID uint64, position session.Position) {
	s.UpdateClock()
	if position > 0 {
		s.Module.RecordMemberPosition(group, position)
	}
	s.Module.FenceFailed(group, requestID)
}

// ProcessDecisions carries out the decisions of the module until none is left.
func (s *Sessions) ProcessDecisions() {
	s.UpdateClock()
	if s.fleet != nil {
		s.Module.SetLeaseExpiry(s.fleet.LeaseUntil())
	}
	for {
		d, ok := s.Module.Next()
		if !ok {
			if s.ledger != nil {
				s.ledger.append(slots.Ref{})
			}
			return
		}
		switch d.Kind {
		case session.Serve:
			s.host.Serve(d.ReadID, d.Floor)
		case session.Refuse:
			s.host.Refuse(d.ReadID, d.Delay)
		case session.Fence:
			switch s.host.Fence(&d, s.Config.Session.FenceTimeout) {
			case FenceNotSent:
				s.Module.FenceFailed(d.Group, d.RequestID)
			case FenceAtPrimary:
				s.Module.ReadRouted(d.ReadID)
			}
		case session.RequestEntries, session.SendEntries:
			s.send(&d)
		case session.Wake:
			s.host.WakeAfter(d.Delay)
		case session.Log:
			s.host.Logger().Info(d.Text)
		}
	}
}

func (s *Sessions) send(d *session.Decision) {
	m := peerwire.Message{Type: peerwire.TypeRequest, RequestNumber: d.RequestID, Epoch: d.Page.Epoch, Last: d.Page.Last, First: d.Page.First}
	if d.Kind == session.SendEntries {
		m.Type = peerwire.TypeReport
	}
	for _, e := range d.Page.Entries {
		m.Entries = append(m.Entries, peerwire.Entry{Kind: uint8(e.Kind), Group: uint16(e.Group), Key: e.Key,
			Position: int64(e.Position), Age: peerwire.AgeMicros(e.Age)})
	}
	s.peers.Send(d.Peer, &m)
}

// SendPositions sends the positions of members to all other gateways.
func (s *Sessions) SendPositions(entries []peerwire.Entry) {
	for len(entries) > 0 {
		n := min(len(entries), peerwire.MaxEntries)
		m := peerwire.Message{Type: peerwire.TypePositions, Entries: entries[:n]}
		for _, to := range s.peers.Numbers() {
			s.peers.Send(to, &m)
		}
		entries = entries[n:]
	}
}
