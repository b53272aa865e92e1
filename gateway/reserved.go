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

// SubjectContracts is the subject of the book of contracts.
const SubjectContracts = "contracts"

// reserved holds room for the contracts of the book that the fleet agreed on.
type contractManager struct {
	g                  *Gateway
	revision           uint64
	books              map[agreement.Digest]*contracts.Book // those in force and next, read
	decoding           map[agreement.Digest]bool
	inForce            *contracts.Book
	next               *contracts.Book // binds beside it until it is in force
	lastVersion        uint64          // version that the next one follows
	reservations       []contracts.Reservation
	nextChangeAt       decide.Nanos // when they change next
	appliedShares      any          // of the generation that they were told
	loggedReservations string       // as last logged
	account            *contracts.Account
	openContracts      []countedContract // contracts whose windows are open, or about to be
	nextReportAt       decide.Nanos      // when counts are told again
	nextSaveAt         decide.Nanos
	saving             bool
	countRequests      int
	plan               reservationPlan
	planning           bool   // the next one is worked out
	checkedMembers     string // the fleet's members by which risks were looked at
	checkingRisks      bool   // that look is under way
	risks              []contracts.UnmetContract
	nextRiskCheckAt    decide.Nanos
	lastDecodeError    string // why a book can't be read, as last logged
}

// lookSpan is between looks at whether members have come or gone. Ours: told within what a person takes for at once.
const riskCheckInterval = 500 * decide.Millisecond

// held takes the books of what this gateway holds; a new one is read beside the loop.
func (r *contractManager) refreshBooks() {
	m := r.g.agreed.f.Manifest()
	if m.Revision == r.revision {
		return
	}
	r.revision = m.Revision
	r.inForce, r.next = nil, nil
	live := map[agreement.Digest]*contracts.Book{}
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
				live[x.v.Digest], *x.to = b, b
			} else {
				r.decodeBook(x.v.Digest)
			}
		}
	}
	r.books = live
	r.nextChangeAt = 0
}

func (r *contractManager) decodeBook(d agreement.Digest) {
	if r.decoding[d] {
		return
	}
	r.decoding[d] = true
	text := r.g.agreed.f.Text(d)
	go func() {
		b, err := contracts.DecodeBook(text)
		r.g.post(func() {
			delete(r.decoding, d)
			if err != nil { // what was held stays
				if err.Error() != r.lastDecodeError {
					r.lastDecodeError = err.Error()
					r.g.log.Error("the book of contracts can't be taken", "why", err)
				}
				return
			}
			r.books[d], r.revision = b, 0
		})
	}()
}

var errBookNotRead = errors.New("this gateway does not hold the book of contracts yet")

// latest is the book that the next version follows, nil where it is not read yet.
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

// carryOut holds what is to be held now. While another book is on its way the larger of both is: what is taken away from others
// acts at once.
func (r *contractManager) update() {
	r.refreshBooks()
	now := r.g.clock.now()
	r.reportCounts(now)
	if now >= r.nextRiskCheckAt && len(r.decoding) == 0 {
		r.nextRiskCheckAt = now + riskCheckInterval
		r.checkRisks(r.inForce)
	}
	shares := r.g.generations.inForce.shares
	if now >= r.nextChangeAt && len(r.decoding) == 0 && !r.planning { // beside the loop: a full book takes a while
		r.planning, r.nextChangeAt = true, 1<<62
		unix := r.unixNow()
		books := []*contracts.Book{r.inForce, r.next}
		go func() {
			x := planReservations(books, unix)
			r.g.post(func() {
				r.planning = false
				if r.plan = x; x.nextChange > 0 {
					r.nextChangeAt = min(r.nextChangeAt, r.g.clock.now()+max(0, decide.Nanos(x.nextChange-r.unixNow())))
					r.g.deadlines.Add(int64(r.nextChangeAt), due{kind: dueWake})
				}
				r.apply(r.g.generations.inForce.shares)
			})
		}()
	}
	if r.appliedShares != any(shares) {
		r.apply(shares)
	}
}

// standing is what is held and counted at a time, by books.
type reservationPlan struct {
	byTenant      map[string]contracts.Reservation
	tenants       []string
	nextChange    int64 // when it changes, Unix nanoseconds, 0 for never
	openContracts []countedContract
}

func planReservations(books []*contracts.Book, unix int64) reservationPlan {
	x := reservationPlan{byTenant: map[string]contracts.Reservation{}}
	for _, b := range books {
		if b == nil {
			continue
		}
		list, next := b.Reservations(unix)
		if next > 0 && (x.nextChange == 0 || next < x.nextChange) {
			x.nextChange = next
		}
		for _, h := range list {
			if before, ok := x.byTenant[h.Tenant]; !ok {
				x.tenants = append(x.tenants, h.Tenant)
				x.byTenant[h.Tenant] = h
			} else if h.InFlight > before.InFlight {
				x.byTenant[h.Tenant] = h
			}
		}
	}
	x.openContracts = openContractsOf(books, unix)
	return x
}

// apply holds room in the shares in force, and logs a change.
func (r *contractManager) apply(shares *routes.Shares) {
	all, order := r.plan.byTenant, r.plan.tenants
	r.openContracts = r.plan.openContracts
	r.appliedShares, r.reservations = shares, nil
	held := map[int32]int{}
	var words []string
	table := r.g.generations.inForce.table
	for _, name := range order {
		h := all[name]
		r.reservations = append(r.reservations, h)
		at := -1
		if table != nil && table.MaxInFlight > 0 {
			for i := range table.Tenants {
				if table.Tenants[i].Name == name {
					at = i
				}
			}
		}
		if at < 0 { // nothing is bounded here that room could be held of
			words = append(words, fmt.Sprintf("%s: none, as the settings have no in_flight or no such tenant", name))
			continue
		}
		held[int32(at)] = h.InFlight
		words = append(words, fmt.Sprintf("%s: %d in flight for %s", name, h.InFlight, strings.Join(h.Names, ", ")))
	}
	if shares != nil {
		shares.HoldSlots(held)
	}
	if text := strings.Join(words, "; "); text != r.loggedReservations {
		r.loggedReservations = text
		r.g.log.Info("contracts: room held", "for", text)
	}
}

// look tells of contracts that the fleet as it is can't keep, once it has changed: worked out beside the loop.
func (r *contractManager) checkRisks(book *contracts.Book) {
	fleet := r.activeMembers()
	members := fmt.Sprint(fleet, r.revision)
	if members == r.checkedMembers || r.checkingRisks || book == nil {
		return
	}
	r.checkedMembers, r.checkingRisks = members, true
	unix := r.unixNow()
	go func() {
		risks := book.UnmetContracts(fleet, unix)
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

// fleet is the members there are, by the list.
func (r *contractManager) activeMembers() contracts.Fleet {
	f := contracts.Fleet{}
	for _, h := range r.g.discovery.list.hosts {
		if r.g.generations.health(&h.entry) != "active" {
			continue
		}
		if f[h.entry.Block] == nil {
			f[h.entry.Block] = map[string]int{}
		}
		f[h.entry.Block][h.entry.Site]++
	}
	return f
}

// contractTries is how often a wish is put anew where another one was first.
const maxContractAttempts = 8

// Contract has the fleet agree on the book as it is after a wish. Of two that are asked for at once at two gateways one
// comes first, and the other is looked at again by the book after that.
func (g *Gateway) ProposeContract(ctx context.Context, proposal contracts.Proposal) error {
	var err error
	for range maxContractAttempts {
		var book *contracts.Book
		var members contracts.Fleet
		version := agreement.Version{Subject: SubjectContracts, Author: proposal.Author, Reason: proposal.Reason, FormatVersion: 1}
		if err = g.inLoop(ctx, func() (err error) {
			if g.reserved == nil {
				return errors.New("this gateway agrees on nothing with others")
			}
			g.reserved.refreshBooks()
			book, err = g.reserved.latestBook()
			members, version.Predecessor, proposal.At = g.reserved.activeMembers(), g.reserved.lastVersion, g.reserved.unixNow()
			return err
		}); err == nil { // beside the loop: a large book takes a while
			next, applyErr := book.Apply(&proposal, members)
			if applyErr != nil {
				return applyErr
			}
			text := next.Encode()
			if version.ProposedAt = proposal.At; proposal.ChangesReservations(book) {
				version.Conflicts = []string{"a reserved share"}
			}
			_, err = g.ask(ctx, func() (agreement.Proposal, []byte, error) { return agreement.Proposal{Version: &version}, text, nil })
		}
		if err == nil || !errors.Is(err, errBookNotRead) && !strings.Contains(err.Error(), "it follows version") {
			return err
		}
		time.Sleep(200 * time.Millisecond) // until this gateway holds what was first
	}
	return err
}

// ContractsView is the book as a gateway holds it.
type ContractsView struct {
	Book         *contracts.Book
	Fleet        contracts.Fleet
	Now          int64
	Reservations []contracts.Reservation `json:"Holdings"`
	Pending      bool                    `json:"Coming"` // another book binds beside it, until all have it
}

// Contracts tells of the book; nil where the gateway agrees on nothing.
func (g *Gateway) Contracts(ctx context.Context) (v *ContractsView, err error) {
	err = g.inLoop(ctx, func() error {
		if g.reserved == nil {
			return nil
		}
		g.reserved.refreshBooks()
		b, err := g.reserved.latestBook()
		if err != nil {
			return err
		}
		v = &ContractsView{b, g.reserved.activeMembers(), int64(g.sessionPosition(g.clock.now())), g.reserved.reservations, g.reserved.next != nil}
		return nil
	})
	return v, err
}
