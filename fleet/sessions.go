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

// SessionHost is what sessions need of the event loop. Times are nanoseconds of its clock.
type SessionHost interface {
	Post(f func())
	Now() int64
	WakeAfter(span int64)
	Logger() *slog.Logger
	Started() <-chan struct{} // closed once Post works

	Serve(read uint64, floor session.Position)                  // route a read, which is to see at least this; 0 is nothing to wait for
	Refuse(read uint64, after int64)                            // nothing of it was sent
	Fence(group int, no uint64, turn int, wait int64) (ok bool) // ask who may be the primary; ok is false where nobody is
	News(entries []peerwire.Entry)                              // of members, by another gateway

	Waiting(answer slots.Ref) bool              // an answer that is kept until its mark is
	AnswerWaiting(answer slots.Ref, early bool) // give it; an early one's place is kept until Caught
	Caught(answer slots.Ref) bool               // the mark of an early one is written
	AnswerBy(answer slots.Ref, at int64)        // have Overdue called
}

// Sessions hosts the module in session: it tells it of reads, commits, fences and other gateways, and carries out what it
// decides. It belongs to the loop.
type Sessions struct {
	Config        *SessionConfig
	Module        *session.Sessions
	host          SessionHost
	peers         *Peers // nil where there are none
	tokens        *peerwire.Codec
	ledger        *ledgerWriter // nil where nothing is kept
	fleet         *Fleet        // whose list and lease it goes by, nil where there is one list for good
	fenceAttempts int           // members asked in turn while there is no primary
	startedAt     time.Time
}

// NewSessions prepares them; Open starts them. began is another at each start: nobody takes this run's notes for those of
// the last.
func NewSessions(h SessionHost, config *SessionConfig, seed uint64, startedAt time.Time) (*Sessions, error) {
	s := &Sessions{host: h, Config: config, startedAt: startedAt}
	var err error
	s.Module, err = session.New(config.Session, seed, uint64(startedAt.UnixNano()))
	return s, err
}

// Open takes up the ledger, and the address for other gateways. agreed is nil where no list is agreed on.
func (s *Sessions) Open(link *Datagrams, fleet *Fleet) (err error) {
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
		s.peers = NewPeers(s.tokens, link, s.host.Logger())
		s.peers.SetPeers(s.Config.Session.Self, s.Config.peerAddresses())
	}
	return nil
}

// Listed takes the fleet's list, before this gateway says that it holds it.
func (s *Sessions) SetMembership(m *agreement.Manifest) {
	membership := session.Membership{Self: -1, EndedVersion: m.LastEnded}
	others := map[int]netip.AddrPort{}
	for _, gateways := range [][]agreement.Gateway{m.Gateways, m.Departed} {
		for _, g := range gateways {
			if g.ID == s.fleet.Self() {
				membership.Self, membership.KnownToAll = g.Number, g.KnownToAll // a departed gateway is not
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

// Started tells that the loop runs.
func (s *Sessions) Started() {
	s.host.Logger().Info("sessions are covered", "source", s.Config.Session.Source, "gateways", s.Config.Session.FleetSize, "tokens", s.Config.Tokens)
}

// Close ends them.
func (s *Sessions) Close() {
	if s.ledger != nil {
		if err := s.ledger.ledger.Close(); err != nil {
			s.host.Logger().Info("ledger not closed in order", "why", err)
		}
	}
}

// Clock has the module know the time: what comes is told at its time.
func (s *Sessions) UpdateClock() { s.Module.SetTime(s.host.Now()) }

// Talks tells whether there are other gateways to hear.
func (s *Sessions) HasPeers() bool { return s.peers != nil }

// Heard tells the module what another gateway said.
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
		s.host.News(m.Entries)
	default:
		page := session.Page{Epoch: m.Epoch, Last: m.Last, First: m.First}
		for _, e := range m.Entries {
			page.Entries = append(page.Entries, session.Entry{Kind: session.EntryKind(e.Kind), Group: int(e.Group), Key: e.Key,
				Position: session.Position(e.Position), Age: int64(e.Age) * 1000})
		}
		s.Module.HandlePage(m.From, m.RequestNumber, page)
	}
}

// Read takes a session read, which waits for its floor until a time. brought is the position that its client says, 0 for
// none, and token a signed one.
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

// Committed notes a session's write before it is answered, and gives the token that its client is to carry, if any.
func (s *Sessions) RecordCommit(group int, sessionKey uint64, position session.Position) (token []byte) {
	if sessionKey == 0 {
		return nil
	}
	s.Module.RecordCommit(group, sessionKey, position)
	if s.Config.Tokens != TokensSigned || position == 0 {
		return nil
	}
	return s.tokens.AppendToken(nil, uint16(group), sessionKey, int64(position))
}

// Waits tells whether answers to sessions' writes are to wait for the ledger; Keep has one wait.
func (s *Sessions) WaitsForLedger() bool { return s.ledger != nil && s.ledger.waitForWrite }

// Keep gives what has changed to the ledger; the answer is given once it is written, or it is overdue.
func (s *Sessions) SaveChanges(answer slots.Ref) { s.ledger.append(answer) }

// Overdue is called at the time that AnswerBy told.
func (s *Sessions) AnswerOverdue(answer slots.Ref) { s.ledger.overdue(answer) }

// Fenced takes the answer to a fence: a position, 0 for none, and whether its member called itself primary in that very
// answer.
func (s *Sessions) FenceCompleted(group int, no uint64, position session.Position, primary bool) {
	if primary && position > 0 {
		s.Module.FenceCompleted(group, no, position)
		return
	}
	s.fenceAttempts++
	if position > 0 {
		s.Module.RecordMemberPosition(group, position)
	}
	s.Module.FenceFailed(group, no)
}

// Turn carries out what the module decides until there is nothing left.
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
			if !s.host.Fence(d.Group, d.RequestID, s.fenceAttempts, s.Config.Session.FenceTimeout) {
				s.Module.FenceFailed(d.Group, d.RequestID)
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

// TellNews tells all other gateways of members.
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
