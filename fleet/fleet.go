// Package fleet hosts what gateways decide together: it carries the messages of package agreement between gateways,
// keeps the log of those that vote, and tells the event loop what is agreed on. All of it belongs to that loop, but for
// the reading of datagrams and the writing of the disk.
//
// fleet.go is the host, datagrams.go the address for other gateways, wire.go the form of messages, disk.go what
// outlives the process.
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

// Plan is what the operator says of the agreement.
type Config struct {
	Agreement             agreement.Config // Self, Epoch, Seed and Seeds are set by New
	Name                  string           // of this gateway, in the list
	Zone                  string
	Listen                netip.AddrPort // where this gateway takes what others send
	Build                 string
	FormatVersion         int              // of settings that this build reads
	Address               netip.AddrPort   // at which others reach it: Listen, where nothing stands between
	Seeds                 []netip.AddrPort // gateways that vote, or did when this was written
	Folder                string           // where a gateway that votes keeps the log; without one it never votes
	FileSystem            store.FileSystem // nil is the operating system's
	Keys                  peerwire.Keys
	CanaryFraction        float64 // of the gateways that get a version before all do, if it does not contradict its predecessor; 0 is all at once
	ServeWithoutAgreement bool    // txns that no tenant's setting speaks of, while this gateway can't renew: served, not declined
}

// Check names what is wrong with it.
func (p *Config) Validate() error {
	t := p.Agreement
	t.Self = 1
	switch {
	case p.Name == "":
		return errors.New("agreement: the gateway has no name")
	case !p.Listen.IsValid() || !p.Listen.Addr().Is4():
		return errors.New("agreement: listen is no IPv4 address with a port")
	case !p.Address.IsValid() || !p.Address.Addr().Is4() || p.Address.Port() == 0:
		return errors.New("agreement: address is no IPv4 address with a port")
	case p.Folder == "" && len(p.Seeds) == 0:
		return errors.New("agreement: it has neither a folder, to vote, nor voters to ask")
	}
	if err := p.Keys.Check(); err != nil {
		return fmt.Errorf("agreement: %w", err)
	}
	return t.Validate()
}

// Host is what it needs of the event loop.
type Host interface {
	Post(f func())                          // run something on the loop, from any goroutine
	Now() int64                             // nanoseconds of a clock that never goes back, 0 long before the start
	WakeAfter(span int64)                   // have Turn called again
	Prepare(m *agreement.Manifest)          // have all that arrives from some moment on be decided by it, and call Adopt then
	Outcome(no uint64, o agreement.Outcome) // of Ask
	// Counts takes those that another gateway tells; it may ask for all that are known.
	Counts(from agreement.ID, all []contracts.Count, asks bool)
	Logger() *slog.Logger //
}

// Fleet is one gateway's part.
type Fleet struct {
	config       *Config
	host         Host
	module       *agreement.Agreement
	identity     identity
	datagrams    *Datagrams
	sealer       *peerwire.Sealer
	voterLog     *voterLog
	addresses    map[agreement.ID]netip.AddrPort // by the list, by the plan, or by what came from there
	sealed       []byte
	body         []byte
	joinProposal uint64 // the wish to be in the list that is under way
	joined       bool
	everListed   bool    // it was in the list since its start
	inList       bool    // and is
	quotas       *Quotas // nil where no bound is the fleet's

	coordination *Coordination // nil where each gateway chooses for itself

	dropped    uint64
	refusals   map[error]int
	closed     bool
	wakeAt     int64 // when the module wants a round
	needsRound bool  // it was told something since its last one
}

// Open takes up what a former run left. link is the address that the gateway has for others.
func Open(p *Config, h Host, link *Datagrams, seed uint64) (*Fleet, error) {
	me, err := loadIdentity(p.Folder, uint64(time.Now().UnixNano()))
	if err != nil {
		return nil, fmt.Errorf("agreement: %w", err)
	}
	f := &Fleet{config: p, host: h, identity: me, datagrams: link, addresses: map[agreement.ID]netip.AddrPort{}, refusals: map[error]int{}}
	if f.sealer, err = peerwire.NewSealer(uint64(me.ID), uint32(me.Epoch>>16), p.Keys); err != nil {
		return nil, err
	}
	var records [][]byte
	if f.voterLog, records, err = openVoterLog(p.Folder, p.FileSystem, func(text string, err error) { h.Logger().Error("agreement: "+text, "why", err) }, f.writeSnapshot); err != nil {
		return nil, fmt.Errorf("agreement: %w", err)
	}
	t := p.Agreement
	t.Self, t.Epoch, t.Seed = me.ID, me.Epoch, seed
	for _, a := range p.Seeds {
		if a != p.Address {
			id := seedID(a)
			f.addresses[id] = a
			t.Seeds = append(t.Seeds, id)
		}
	}
	if f.module, err = agreement.New(t, records); err != nil {
		return nil, errors.Join(err, f.voterLog.close())
	}
	return f, nil
}

// seedID stands for whoever is at an address, until the list tells its ID.
func seedID(a netip.AddrPort) agreement.ID {
	h := fnv.New64a()
	_, _ = h.Write([]byte(a.String()))
	return agreement.ID(h.Sum64() | 1<<63)
}

// Close ends it; nothing is posted afterwards that it would take.
func (f *Fleet) Close() error {
	f.closed = true
	return f.voterLog.close()
}

// Heard takes a datagram.
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
			f.host.Counts(agreement.ID(from), counts, requestsAll)
			return
		}
	} else if err == nil {
		m, err = decodeMessage(body)
	}
	if err != nil {
		if f.refusals[err]++; f.refusals[err] == 1 {
			f.host.Logger().Warn("message of the agreement refused", "why", err, "from", d.From)
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

// stir has the module take something, and Turn ask it.
func (f *Fleet) requestRound() {
	f.needsRound = true
	f.module.Clock(f.host.Now())
}

// Turn carries out what the module decides until there is nothing left. It comes with each of the loop's turns, most of
// which are txns': then nothing was told to the module, and nothing of it is due.
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

// join has this gateway in the list, once in each of its lives; one that is taken out stays out until it starts again.
func (f *Fleet) proposeJoin() {
	if f.joined || f.joinProposal != 0 {
		return
	}
	if v, _, _, _ := f.module.Role(); !v && len(f.config.Seeds) == 0 {
		return // nobody has founded the fleet yet
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

// save has records on the disk, again and again while it takes none: a voter that can't keep what it says says nothing.
func (f *Fleet) save(records [][]byte, replaceAll bool) {
	if f.voterLog.store == nil {
		f.host.Logger().Error("agreement: this gateway has no folder and can't vote")
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

// wanted: the store asks for all records in the place of those before, as it has grown or takes none.
func (f *Fleet) writeSnapshot() {
	f.host.Post(func() {
		if !f.closed && f.module != nil {
			f.voterLog.store.Snapshot(f.module.Records())
		}
	})
}

// Adopt tells that txns are decided by what was prepared, if that was of this stamp.
func (f *Fleet) Adopt(revision uint64) {
	f.requestRound()
	if m := f.module.Pending(); f.quotas != nil && m != nil && m.Revision == revision { // before it is said that this gateway knows
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
	for id := range f.addresses { // of those that left, and of seeds whose place the list has taken
		if id>>63 == 0 && !listed[id] {
			delete(f.addresses, id)
		}
	}
}

// Ask has the fleet agree on something; Host.Outcome tells what became of it.
func (f *Fleet) Propose(proposal agreement.Proposal, text []byte, timeout time.Duration) (uint64, error) {
	f.requestRound()
	return f.module.Propose(proposal, text, int64(timeout))
}

// Found begins a fleet with this gateway as its one voter.
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

// Self is this gateway's ID, and Well tells that a version which it tries is well with it.
func (f *Fleet) Self() agreement.ID { return f.identity.ID }

// Well tells that.
func (f *Fleet) ReportHealthy(version uint64) {
	f.requestRound()
	f.module.ReportHealthy(version)
}

// Leased is until when this gateway may act on what it holds.
func (f *Fleet) LeaseUntil() int64 { return f.module.LeaseUntil() }

// Held is what it holds, and Text the text of one of its versions.
func (f *Fleet) Manifest() *agreement.Manifest { return f.module.Manifest() }

// Awaits tells whether a manifest of this stamp is what it waits to act on: a later one may have taken its place.
func (f *Fleet) IsPending(revision uint64) bool {
	m := f.module.Pending()
	return m != nil && m.Revision == revision
}

// Coming is what it waits to act on.
func (f *Fleet) Pending() *agreement.Manifest { return f.module.Pending() }

// Out tells that this gateway was taken out of the list.
func (f *Fleet) Removed() bool {
	return f.module.Manifest().Revision > 0 && f.joined && f.everListed && f.joinProposal == 0 && !f.inList
}

// Text gives a version's.
func (f *Fleet) Text(d agreement.Digest) []byte { return f.module.Text(d) }

// Plan is what the operator said.
func (f *Fleet) Config() *Config { return f.config }

// Status is how this gateway stands to the fleet.
type Status struct {
	Self           agreement.ID
	IsVoter        bool `json:"Votes"`
	Leader         agreement.ID
	Term           uint64
	LeaseRemaining int64                    `json:"Left"` // of its lease; below 0 it is careful
	MaxDivergence  int64                    `json:"Stated"`
	Manifest       agreement.Manifest       `json:"Held"`
	History        []agreement.Subject      // at one that votes
	Leases         []agreement.GatewayLease `json:"Seen"` // what voters know of all gateways, where they were asked
}

// Survey asks all voters what they know of the others; Surveyed gives what has come and whether it is all.
func (f *Fleet) Survey() {
	f.requestRound()
	f.module.Survey()
}

// Surveyed gives it.
func (f *Fleet) SurveyResult() ([]agreement.GatewayLease, bool) {
	f.requestRound()
	return f.module.SurveyResult()
}

// Status tells it.
func (f *Fleet) Status() Status {
	s := Status{Self: f.identity.ID, LeaseRemaining: f.LeaseUntil() - f.host.Now(), MaxDivergence: f.config.Agreement.MaxDivergence(), Manifest: *f.Manifest()}
	s.IsVoter, s.Leader, s.Term, _ = f.module.Role()
	if b := f.module.State(); b != nil {
		s.History = slices.Clone(b.Subjects)
	}
	return s
}
