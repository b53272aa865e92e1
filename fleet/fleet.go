// Package fleet hosts the modules by which gateways decide together. It carries the messages of package agreement between
// gateways, stores the log of voters, and tells the event loop what has been agreed on. Everything runs on the event loop
// except reading datagrams and writing to disk.
//
// fleet.go hosts the agreement, datagrams.go is the UDP socket, wire.go the message encoding and disk.go the persistent
// state.
package fleet

import (
	"errors"
	"fmt"
	"hash/fnv"
	"log/slog"
	"net/netip"
	"slices"
	"time"

	"golang.org/x/sys/unix"

	"magpieglade/agreement"
	"magpieglade/contracts"
	"magpieglade/internal/peerwire"
	"magpieglade/internal/store"
)

// Config is the operator's configuration of the agreement.
type Config struct {
	Agreement             agreement.Config // Self, Epoch, Seed and Seeds are set by Open
	Name                  string           // of this gateway in the list
	Zone                  string
	Listen                netip.AddrPort // address on which this gateway receives datagrams
	Build                 string
	FormatVersion         int              // settings format that this build reads
	Address               netip.AddrPort   // address at which others reach this gateway: Listen, unless there is address translation in between
	Seeds                 []netip.AddrPort // voters, or gateways that voted when the configuration was written
	Folder                string           // directory of the voter log; without one the gateway never votes
	FileSystem            store.FileSystem // nil for that of the operating system
	Keys                  peerwire.Keys
	CanaryFraction        float64 // of gateways that get a new version first, unless it conflicts with its predecessor; 0 is all at once
	ServeWithoutAgreement bool    // serves, not rejects, txns not covered by a tenant's setting while this gateway cannot renew its lease
}

// Validate returns an error that describes the first invalid setting.
func (p *Config) Validate() error {
	config := p.Agreement
	config.Self = 1
	switch {
	case p.Name == "":
		return errors.New("agreement: the gateway has no name")
	case !p.Listen.IsValid() || !p.Listen.Addr().Is4():
		return errors.New("agreement: listen is not an IPv4 address with a port")
	case !p.Address.IsValid() || !p.Address.Addr().Is4() || p.Address.Port() == 0:
		return errors.New("agreement: address is not an IPv4 address with a port")
	case p.Folder == "" && len(p.Seeds) == 0:
		return errors.New("agreement: neither a folder, which voting requires, nor voters to ask are configured")
	}
	if err := p.Keys.Check(); err != nil {
		return fmt.Errorf("agreement: %w", err)
	}
	return config.Validate()
}

// Host is the part of the event loop that Fleet calls.
type Host interface {
	Post(f func())                                  // runs f on the loop; may be called from any goroutine
	Now() int64                                     // nanoseconds of a monotonic clock whose zero is long before the start
	WakeAfter(delay int64)                          // calls ProcessDecisions again
	Prepare(m *agreement.Manifest)                  // applies m to everything that arrives from some moment on, then calls Adopt
	Outcome(proposalNo uint64, o agreement.Outcome) // of Propose
	// ReceiveCounts handles counts of another gateway; requestsAll: the sender requests all counts known here.
	ReceiveCounts(from agreement.ID, counts []contracts.Count, requestsAll bool)
	Logger() *slog.Logger
}

// Fleet is one gateway's instance of the agreement and of the modules that depend on it.
type Fleet struct {
	config       *Config
	host         Host
	module       *agreement.Agreement
	identity     identity
	datagrams    *Datagrams
	sealer       *peerwire.Sealer
	voterLog     *voterLog
	addresses    map[agreement.ID]netip.AddrPort // from the list, the configuration or a received datagram
	sealed       []byte
	body         []byte
	joinProposal uint64 // number of the pending proposal to join the list, else 0
	joined       bool
	everListed   bool    // was in the list since this start
	inList       bool    // is in the list now
	quotas       *Quotas // nil if there are no fleet-wide limits

	coordination *Coordination // nil if each gateway decides on its own

	dropped    uint64
	refusals   map[error]int
	closed     bool
	wakeAt     int64 // when the module next needs a round
	needsRound bool  // the module received input since its last round
}

// Open restores the state of an earlier run. datagrams is the socket for other gateways.
func Open(p *Config, h Host, datagrams *Datagrams, seed uint64) (*Fleet, error) {
	self, err := loadIdentity(p.Folder, uint64(time.Now().UnixNano()))
	if err != nil {
		return nil, fmt.Errorf("agreement: %w", err)
	}
	f := &Fleet{config: p, host: h, identity: self, datagrams: datagrams, addresses: map[agreement.ID]netip.AddrPort{}, refusals: map[error]int{}}
	if f.sealer, err = peerwire.NewSealer(uint64(self.ID), uint32(self.Epoch>>16), p.Keys); err != nil {
		return nil, err
	}
	var records [][]byte
	if f.voterLog, records, err = openVoterLog(p.Folder, p.FileSystem, func(text string, err error) { h.Logger().Error("agreement: "+text, "why", err) }, f.writeSnapshot); err != nil {
		return nil, fmt.Errorf("agreement: %w", err)
	}
	config := p.Agreement
	config.Self, config.Epoch, config.Seed = self.ID, self.Epoch, seed
	for _, a := range p.Seeds {
		if a != p.Address {
			id := seedID(a)
			f.addresses[id] = a
			config.Seeds = append(config.Seeds, id)
		}
	}
	if f.module, err = agreement.New(config, records); err != nil {
		return nil, errors.Join(err, f.voterLog.close())
	}
	return f, nil
}

// seedID identifies the gateway at a seed address until the list provides its real ID.
func seedID(a netip.AddrPort) agreement.ID {
	h := fnv.New64a()
	_, _ = h.Write([]byte(a.String()))
	return agreement.ID(h.Sum64() | 1<<63)
}

// Close closes the log. Callbacks that run later are ignored.
func (f *Fleet) Close() error {
	f.closed = true
	return f.voterLog.close()
}

// Receive handles a datagram of another gateway.
func (f *Fleet) Receive(d Datagram) {
	from, body, err := f.sealer.Open(d.Data)
	var m agreement.Message
	if err == nil && len(body) > 0 && body[0] == quotaMessageKind {
		if f.quotas == nil {
			return
		}
		if err = f.quotas.receive(agreement.ID(from), body); err == nil {
			return
		}
	} else if err == nil && len(body) > 0 && body[0] == signalsMessageKind {
		if f.coordination == nil {
			return
		}
		if err = f.coordination.receive(body); err == nil {
			return
		}
	} else if err == nil && len(body) > 0 && body[0] == countsMessageKind {
		var counts []contracts.Count
		var requestsAll bool
		if counts, requestsAll, err = decodeCounts(body); err == nil {
			f.host.ReceiveCounts(agreement.ID(from), counts, requestsAll)
			return
		}
	} else if err == nil {
		m, err = decodeMessage(body)
	}
	if err != nil {
		if f.refusals[err]++; f.refusals[err] == 1 {
			f.host.Logger().Warn("agreement message refused", "why", err, "from", d.From)
		}
		return
	}
	if m.To == 0 {
		m.To = f.identity.ID
	}
	m.From = agreement.ID(from)
	if _, listed := f.addresses[m.From]; !listed {
		f.addresses[m.From] = d.From
	}
	f.requestRound()
	f.module.Receive(m)
}

// requestRound updates the clock of the module before input and has the next ProcessDecisions run it.
func (f *Fleet) requestRound() {
	f.needsRound = true
	f.module.Clock(f.host.Now())
}

// ProcessDecisions carries out the decisions of the module until none is left. It is called in every iteration of the
// loop, most of which only handle txns: it returns early if the module has neither new input nor a due timer.
func (f *Fleet) ProcessDecisions() {
	now := f.host.Now()
	if !f.needsRound && now < f.wakeAt {
		return
	}
	f.needsRound = false
	f.module.Clock(now)
	f.proposeJoin()
	for d, ok := f.module.Next(); ok; d, ok = f.module.Next() {
		switch d.Kind {
		case agreement.Send:
			f.send(&d.Message)
		case agreement.Save:
			f.save(d.Records, d.ReplaceAll)
		case agreement.Prepare:
			f.host.Prepare(f.module.Pending())
		case agreement.Answer:
			if d.ProposalNo == f.joinProposal {
				f.joinProposal, f.joined = 0, d.Result.Done
				continue
			}
			if f.quotas == nil || !f.quotas.handleOutcome(d.ProposalNo, d.Result) {
				f.host.Outcome(d.ProposalNo, d.Result)
			}
		case agreement.Wake:
			f.wakeAt = now + d.After
			f.host.WakeAfter(d.After)
		case agreement.Log:
			f.host.Logger().Info("agreement: " + d.Text)
		}
	}
}

// proposeJoin proposes to add this gateway to the list, once per start: a gateway that was removed stays out until it
// restarts.
func (f *Fleet) proposeJoin() {
	if f.joined || f.joinProposal != 0 {
		return
	}
	if v, _, _, _ := f.module.Role(); !v && len(f.config.Seeds) == 0 {
		return // the fleet has not been bootstrapped yet
	}
	f.joinProposal, _ = f.module.Propose(agreement.Proposal{Join: f.ownEntry()}, nil, f.config.Agreement.StartupWait())
}

func (f *Fleet) ownEntry() *agreement.Gateway {
	return &agreement.Gateway{ID: f.identity.ID, Name: f.config.Name, Address: f.config.Address.String(), Zone: f.config.Zone, Build: f.config.Build, FormatVersion: f.config.FormatVersion}
}

func (f *Fleet) send(m *agreement.Message) {
	to, ok := f.addresses[m.To]
	if !ok {
		f.dropped++
		return
	}
	x := *m
	if x.To == seedID(to) {
		x.To = 0
	}
	var err error
	if f.body, err = appendMessage(f.body[:0], &x); err != nil {
		f.dropped++
		return
	}
	f.sendSealed(f.body, to)
}

func (f *Fleet) sendSealed(body []byte, to netip.AddrPort) {
	var err error
	if f.sealed, err = f.sealer.Seal(f.sealed[:0], body); err != nil || !f.datagrams.Send(f.sealed, &unix.SockaddrInet4{Port: int(to.Port()), Addr: to.Addr().As4()}) {
		f.dropped++
	}
}

// save writes records to disk and retries every second while that fails: a voter that cannot store its messages must not
// send them.
func (f *Fleet) save(records [][]byte, replaceAll bool) {
	if f.voterLog.store == nil {
		f.host.Logger().Error("agreement: cannot vote without a folder")
		return
	}
	f.voterLog.store.Append(records, func(err error) {
		f.host.Post(func() {
			switch {
			case f.closed:
			case err != nil:
				f.host.Logger().Error("agreement: the log is not kept, this gateway does not vote meanwhile", "why", err)
				time.AfterFunc(time.Second, func() { f.host.Post(func() { f.save(records, replaceAll) }) })
			default:
				if replaceAll {
					f.voterLog.store.Snapshot(records)
				}
				f.requestRound()
				f.module.Saved()
			}
		})
	})
}

// writeSnapshot replaces the stored records with the current ones. The store requests it when it has grown or when writes
// fail.
func (f *Fleet) writeSnapshot() {
	f.host.Post(func() {
		if !f.closed && f.module != nil {
			f.voterLog.store.Snapshot(f.module.Records())
		}
	})
}

// Adopt confirms that txns are decided by the prepared manifest, if it has this revision.
func (f *Fleet) Adopt(revision uint64) {
	f.requestRound()
	if m := f.module.Pending(); f.quotas != nil && m != nil && m.Revision == revision { // before the agreement reports that this gateway has it
		f.quotas.updateAssignment(m, f.module.Text)
	}
	f.module.Adopt(revision)
	f.inList = false
	listed := map[agreement.ID]bool{}
	for _, g := range f.module.Manifest().Gateways {
		listed[g.ID] = true
		if g.ID == f.identity.ID {
			f.inList, f.everListed = true, true
		}
		if a, err := netip.ParseAddrPort(g.Address); err == nil {
			f.addresses[g.ID] = a
		}
	}
	for id := range f.addresses { // removed gateways; IDs with the top bit set are seeds
		if id>>63 == 0 && !listed[id] {
			delete(f.addresses, id)
		}
	}
}

// Propose submits a proposal to the agreement; Host.Outcome receives the outcome.
func (f *Fleet) Propose(proposal agreement.Proposal, text []byte, timeout time.Duration) (uint64, error) {
	f.requestRound()
	return f.module.Propose(proposal, text, int64(timeout))
}

// Bootstrap creates a fleet with this gateway as its only voter.
func (f *Fleet) Bootstrap() error {
	if f.voterLog.store == nil {
		return errors.New("this gateway has no folder to keep the log in")
	}
	f.requestRound()
	if err := f.module.Bootstrap(*f.ownEntry()); err != nil {
		return err
	}
	f.joined = true
	return nil
}

// Self returns this gateway's ID.
func (f *Fleet) Self() agreement.ID { return f.identity.ID }

// ReportHealthy reports that a version under test works at this gateway.
func (f *Fleet) ReportHealthy(version uint64) {
	f.requestRound()
	f.module.ReportHealthy(version)
}

// LeaseUntil returns until when this gateway may act on its manifest.
func (f *Fleet) LeaseUntil() int64 { return f.module.LeaseUntil() }

// Manifest returns the manifest in force at this gateway.
func (f *Fleet) Manifest() *agreement.Manifest { return f.module.Manifest() }

// IsPending reports whether the pending manifest has this revision: a later one may have replaced it.
func (f *Fleet) IsPending(revision uint64) bool {
	m := f.module.Pending()
	return m != nil && m.Revision == revision
}

// Pending returns the manifest that waits to be adopted, or nil.
func (f *Fleet) Pending() *agreement.Manifest { return f.module.Pending() }

// Removed reports whether this gateway was removed from the list.
func (f *Fleet) Removed() bool {
	return f.module.Manifest().Revision > 0 && f.joined && f.everListed && f.joinProposal == 0 && !f.inList
}

// Text returns the text of a version.
func (f *Fleet) Text(d agreement.Digest) []byte { return f.module.Text(d) }

// Config returns the configuration.
func (f *Fleet) Config() *Config { return f.config }

// Status describes the state of the agreement at this gateway.
type Status struct {
	Self           agreement.ID
	IsVoter        bool `json:"Votes"`
	Leader         agreement.ID
	Term           uint64
	LeaseRemaining int64                    `json:"Left"` // nanoseconds of the lease; below 0 the gateway acts as without agreement
	MaxDivergence  int64                    `json:"Stated"`
	Manifest       agreement.Manifest       `json:"Held"`
	History        []agreement.Subject      // at voters only
	Leases         []agreement.GatewayLease `json:"Seen"` // what the voters know of all gateways, after a survey
}

// Survey asks all voters what they know of the other gateways.
func (f *Fleet) Survey() {
	f.requestRound()
	f.module.Survey()
}

// SurveyResult returns the responses to the survey so far and whether it is complete.
func (f *Fleet) SurveyResult() ([]agreement.GatewayLease, bool) {
	f.requestRound()
	return f.module.SurveyResult()
}

// Status returns the current state.
func (f *Fleet) Status() Status {
	s := Status{Self: f.identity.ID, LeaseRemaining: f.LeaseUntil() - f.host.Now(), MaxDivergence: f.config.Agreement.MaxDivergence(), Manifest: *f.Manifest()}
	s.IsVoter, s.Leader, s.Term, _ = f.module.Role()
	if b := f.module.State(); b != nil {
		s.History = slices.Clone(b.Subjects)
	}
	return s
}
