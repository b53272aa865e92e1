package gateway

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"magpieglade/agreement"
	"magpieglade/contracts"
	"magpieglade/decide"
	"magpieglade/routes"
)

// SubjectContracts is the agreement's subject for the book of contracts.
const SubjectContracts = "contracts"

// contractManager reserves slots for the contracts of the book that the fleet agreed on, and counts their txns.
type contractManager struct {
	g                  *Gateway
	revision           uint64
	books              map[agreement.Digest]*contracts.Book // decoded books of the versions in force and next
	decoding           map[agreement.Digest]bool
	inForce            *contracts.Book
	next               *contracts.Book // applies together with inForce until it is in force itself
	lastVersion        uint64          // version that the next proposal follows
	reservations       []contracts.Reservation
	nextChangeAt       decide.Nanos // when reservations change next
	appliedShares      any          // *routes.Shares of the generation that the reservations were applied to
	loggedReservations string       // text of the last log line
	account            *contracts.Account
	openContracts      []countedContract // contracts whose windows are open or about to open
	nextReportAt       decide.Nanos      // of counts, to the voters
	nextSaveAt         decide.Nanos
	saving             bool
	countRequests      int
	plan               reservationPlan
	planning           bool   // the next plan is being computed
	checkedMembers     string // members that the last check of risks was made for
	checkingRisks      bool   // a check is running
	risks              []contracts.UnmetContract
	nextRiskCheckAt    decide.Nanos
	lastDecodeError    string // last logged error of decoding a book
}

// riskCheckInterval is the time between checks whether members have come or gone: short enough that an operator takes the
// warning for immediate.
const riskCheckInterval = 500 * decide.Millisecond

// refreshBooks takes the books from the manifest that this gateway holds. A new book is decoded outside the event loop.
func (r *contractManager) refreshBooks() {
	m := r.g.agreement.fleet.Manifest()
	if m.Revision == r.revision {
		return
	}
	r.revision = m.Revision
	r.inForce, r.next = nil, nil
	books := map[agreement.Digest]*contracts.Book{}
	for _, s := range m.Subjects {
		if s.Name != SubjectContracts {
			continue
		}
		r.lastVersion = s.LastVersion
		for _, x := range []struct {
			v  *agreement.Version
			to **contracts.Book
		}{{s.InForce, &r.inForce}, {s.Next, &r.next}} {
			if x.v == nil {
				continue
			}
			if b := r.books[x.v.Digest]; b != nil {
				books[x.v.Digest], *x.to = b, b
			} else {
				r.decodeBook(x.v.Digest)
			}
		}
	}
	r.books = books
	r.nextChangeAt = 0
}

// decodeBook decodes a book in a goroutine, and has refreshBooks run again once it is decoded.
func (r *contractManager) decodeBook(d agreement.Digest) {
	if r.decoding[d] {
		return
	}
	r.decoding[d] = true
	text := r.g.agreement.fleet.Text(d)
	go func() {
		b, err := contracts.DecodeBook(text)
		r.g.post(func() {
			delete(r.decoding, d)
			if err != nil { // the former book stays in use
				if err.Error() != r.lastDecodeError {
					r.lastDecodeError = err.Error()
					r.g.log.Error("the book of contracts can't be decoded", "why", err)
				}
				return
			}
			r.books[d], r.revision = b, 0
		})
	}()
}

var errBookNotRead = errors.New("this gateway does not hold the book of contracts yet")

// latestBook returns the book that the next version follows, or errBookNotRead.
func (r *contractManager) latestBook() (*contracts.Book, error) {
	switch {
	case r.lastVersion == 0:
		return contracts.DecodeBook(nil)
	case r.next != nil:
		return r.next, nil
	case r.inForce != nil && len(r.decoding) == 0:
		return r.inForce, nil
	}
	return nil, errBookNotRead
}

// update applies the reservations that are due now. While another book is pending the larger reservation of both books
// applies, so that slots taken away from other tenants are withheld at once.
func (r *contractManager) update() {
	r.refreshBooks()
	now := r.g.clock.now()
	r.reportCounts(now)
	if now >= r.nextRiskCheckAt && len(r.decoding) == 0 {
		r.nextRiskCheckAt = now + riskCheckInterval
		r.checkRisks(r.inForce)
	}
	shares := r.g.generations.inForce.shares
	if now >= r.nextChangeAt && len(r.decoding) == 0 && !r.planning { // outside the event loop, as a full book takes long
		r.planning, r.nextChangeAt = true, 1<<62
		unixNow := r.unixNow()
		books := []*contracts.Book{r.inForce, r.next}
		go func() {
			x := planReservations(books, unixNow)
			r.g.post(func() {
				r.planning = false
				if r.plan = x; x.nextChange > 0 {
					r.nextChangeAt = min(r.nextChangeAt, r.g.clock.now()+max(0, decide.Nanos(x.nextChange-r.unixNow())))
					r.g.deadlines.Add(int64(r.nextChangeAt), timerEvent{kind: timerWake})
				}
				r.apply(r.g.generations.inForce.shares)
			})
		}()
	}
	if r.appliedShares != any(shares) {
		r.apply(shares)
	}
}

// reservationPlan holds the reservations and the counted contracts of some books at a moment.
type reservationPlan struct {
	byTenant      map[string]contracts.Reservation
	tenants       []string
	nextChange    int64 // time of the next change in Unix nanoseconds, 0 for never
	openContracts []countedContract
}

// planReservations merges the reservations of some books: of two for one tenant the larger counts.
func planReservations(books []*contracts.Book, unix int64) reservationPlan {
	plan := reservationPlan{byTenant: map[string]contracts.Reservation{}}
	for _, b := range books {
		if b == nil {
			continue
		}
		list, next := b.Reservations(unix)
		if next > 0 && (plan.nextChange == 0 || next < plan.nextChange) {
			plan.nextChange = next
		}
		for _, reservation := range list {
			if former, ok := plan.byTenant[reservation.Tenant]; !ok {
				plan.tenants = append(plan.tenants, reservation.Tenant)
				plan.byTenant[reservation.Tenant] = reservation
			} else if reservation.InFlight > former.InFlight {
				plan.byTenant[reservation.Tenant] = reservation
			}
		}
	}
	plan.openContracts = openContractsOf(books, unix)
	return plan
}

// apply reserves the planned slots in the given shares, those in force, and logs a change.
func (r *contractManager) apply(shares *routes.Shares) {
	byTenant, tenants := r.plan.byTenant, r.plan.tenants
	r.openContracts = r.plan.openContracts
	r.appliedShares, r.reservations = shares, nil
	slotsByTenant := map[int32]int{}
	var texts []string
	table := r.g.generations.inForce.table
	for _, name := range tenants {
		reservation := byTenant[name]
		r.reservations = append(r.reservations, reservation)
		tenantIndex := -1
		if table != nil && table.MaxInFlight > 0 {
			for i := range table.Tenants {
				if table.Tenants[i].Name == name {
					tenantIndex = i
				}
			}
		}
		if tenantIndex < 0 { // without an in-flight limit there are no slots to reserve
			texts = append(texts, fmt.Sprintf("%s: none, as the settings have no in_flight or no such tenant", name))
			continue
		}
		slotsByTenant[int32(tenantIndex)] = reservation.InFlight
		texts = append(texts, fmt.Sprintf("%s: %d in flight for %s", name, reservation.InFlight, strings.Join(reservation.Names, ", ")))
	}
	if shares != nil {
		shares.HoldSlots(slotsByTenant)
	}
	if text := strings.Join(texts, "; "); text != r.loggedReservations {
		r.loggedReservations = text
		r.g.log.Info("contracts: room held", "for", text)
	}
}

// checkRisks logs the contracts that the active members cannot fulfil, whenever the members have changed. The check runs
// outside the event loop.
func (r *contractManager) checkRisks(book *contracts.Book) {
	fleet := r.activeMembers()
	memberCounts := fmt.Sprint(fleet, r.revision)
	if memberCounts == r.checkedMembers || r.checkingRisks || book == nil {
		return
	}
	r.checkedMembers, r.checkingRisks = memberCounts, true
	now := r.unixNow()
	go func() {
		risks := book.UnmetContracts(fleet, now)
		r.g.post(func() {
			r.checkingRisks = false
			for _, x := range risks {
				if !slices.ContainsFunc(r.risks, func(o contracts.UnmetContract) bool { return o.No == x.No }) {
					r.g.log.Warn("contracts: at risk", "contract", x.Name, "from", time.Unix(0, x.Start).UTC().Format(time.RFC3339), "why", x.Reason)
				}
			}
			for _, o := range r.risks {
				if !slices.ContainsFunc(risks, func(x contracts.UnmetContract) bool { return o.No == x.No }) {
					r.g.log.Info("contracts: no longer at risk", "contract", o.Name)
				}
			}
			r.risks = risks
		})
	}()
}

// activeMembers counts the active members of the list by group and zone.
func (r *contractManager) activeMembers() contracts.Fleet {
	members := contracts.Fleet{}
	for _, h := range r.g.discovery.list.hosts {
		if r.g.generations.memberHealth(&h.entry) != "active" {
			continue
		}
		if members[h.entry.Block] == nil {
			members[h.entry.Block] = map[string]int{}
		}
		members[h.entry.Block][h.entry.Site]++
	}
	return members
}

// maxContractAttempts is how often a proposal is made when others come before it.
const maxContractAttempts = 8

// ProposeContract has the fleet agree on the book as changed by a proposal. Of two concurrent proposals at two gateways one
// comes first, and the other is checked again against the book that results.
func (g *Gateway) ProposeContract(ctx context.Context, proposal contracts.Proposal) error {
	var err error
	for range maxContractAttempts {
		var book *contracts.Book
		var members contracts.Fleet
		version := agreement.Version{Subject: SubjectContracts, Author: proposal.Author, Reason: proposal.Reason, FormatVersion: 1}
		if err = g.inLoop(ctx, func() (err error) {
			if g.contracts == nil {
				return errors.New("this gateway agrees on nothing with others")
			}
			g.contracts.refreshBooks()
			book, err = g.contracts.latestBook()
			members, version.Predecessor, proposal.At = g.contracts.activeMembers(), g.contracts.lastVersion, g.contracts.unixNow()
			return err
		}); err == nil { // outside the event loop, as a large book takes long
			changed, applyErr := book.Apply(&proposal, members)
			if applyErr != nil {
				return applyErr
			}
			text := changed.Encode()
			if version.ProposedAt = proposal.At; proposal.ChangesReservations(book) {
				version.Conflicts = []string{"a reserved share"}
			}
			_, err = g.proposeAndWait(ctx, func() (agreement.Proposal, []byte, error) { return agreement.Proposal{Version: &version}, text, nil })
		}
		if err == nil || !errors.Is(err, errBookNotRead) && !strings.Contains(err.Error(), "it follows version") {
			return err
		}
		time.Sleep(200 * time.Millisecond) // until this gateway holds the version that came first
	}
	return err
}

// ContractsView is a gateway's view of the book of contracts.
type ContractsView struct {
	Book         *contracts.Book
	Fleet        contracts.Fleet
	Now          int64
	Reservations []contracts.Reservation `json:"Holdings"`
	Pending      bool                    `json:"Coming"` // another book applies as well until all gateways have it
}

// Contracts returns the gateway's view of the book, nil if it takes part in no agreement.
func (g *Gateway) Contracts(ctx context.Context) (view *ContractsView, err error) {
	err = g.inLoop(ctx, func() error {
		if g.contracts == nil {
			return nil
		}
		g.contracts.refreshBooks()
		b, err := g.contracts.latestBook()
		if err != nil {
			return err
		}
		view = &ContractsView{b, g.contracts.activeMembers(), int64(g.sessionPosition(g.clock.now())), g.contracts.reservations, g.contracts.next != nil}
		return nil
	})
	return view, err
}
