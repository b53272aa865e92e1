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
type reserved struct {
	g        *Gateway
	stamp    uint64
	books    map[agreement.Digest]*contracts.Book // those in force and next, read
	reading  map[agreement.Digest]bool
	inForce  *contracts.Book
	next     *contracts.Book // binds beside it until it is in force
	last     uint64          // version that the next one follows
	holdings []contracts.Reservation
	at       decide.Nanos // when they change next
	shares   any          // of the generation that they were told
	told     string       // as last logged
	account  *contracts.Account
	open     []counted    // contracts whose windows are open, or about to be
	reportAt decide.Nanos // when counts are told again
	keepAt   decide.Nanos
	keeping  bool
	asked    int
	now      standing
	working  bool   // the next one is worked out
	members  string // the fleet's members by which risks were looked at
	risky    bool   // that look is under way
	risks    []contracts.UnmetContract
	lookAt   decide.Nanos
	failed   string // why a book can't be read, as last logged
}

// lookSpan is between looks at whether members have come or gone. Ours: told within what a person takes for at once.
const lookSpan = 500 * decide.Millisecond

// held takes the books of what this gateway holds; a new one is read beside the loop.
func (r *reserved) held() {
	m := r.g.agreed.fleet.Manifest()
	if m.Revision == r.stamp {
		return
	}
	r.stamp = m.Revision
	r.inForce, r.next = nil, nil
	live := map[agreement.Digest]*contracts.Book{}
	for _, s := range m.Subjects {
		if s.Name != SubjectContracts {
			continue
		}
		r.last = s.LastVersion
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
				r.read(x.v.Digest)
			}
		}
	}
	r.books = live
	r.at = 0
}

func (r *reserved) read(d agreement.Digest) {
	if r.reading[d] {
		return
	}
	r.reading[d] = true
	text := r.g.agreed.fleet.Text(d)
	go func() {
		b, err := contracts.DecodeBook(text)
		r.g.post(func() {
			delete(r.reading, d)
			if err != nil { // what was held stays
				if err.Error() != r.failed {
					r.failed = err.Error()
					r.g.log.Error("the book of contracts can't be taken", "why", err)
				}
				return
			}
			r.books[d], r.stamp = b, 0
		})
	}()
}

var errNoBook = errors.New("this gateway does not hold the book of contracts yet")

// latest is the book that the next version follows, nil where it is not read yet.
func (r *reserved) latest() (*contracts.Book, error) {
	switch {
	case r.last == 0:
		return contracts.DecodeBook(nil)
	case r.next != nil:
		return r.next, nil
	case r.inForce != nil && len(r.reading) == 0:
		return r.inForce, nil
	}
	return nil, errNoBook
}

// carryOut holds what is to be held now. While another book is on its way the larger of both is: what is taken away from others
// acts at once.
func (r *reserved) carryOut() {
	r.held()
	now := r.g.clock.now()
	r.reports(now)
	if now >= r.lookAt && len(r.reading) == 0 {
		r.lookAt = now + lookSpan
		r.look(r.inForce)
	}
	shares := r.g.generations.inForce.shares
	if now >= r.at && len(r.reading) == 0 && !r.working { // beside the loop: a full book takes a while
		r.working, r.at = true, 1<<62
		unix := r.unix()
		books := []*contracts.Book{r.inForce, r.next}
		go func() {
			x := standingOf(books, unix)
			r.g.post(func() {
				r.working = false
				if r.now = x; x.next > 0 {
					r.at = min(r.at, r.g.clock.now()+max(0, decide.Nanos(x.next-r.unix())))
					r.g.deadlines.Add(int64(r.at), due{kind: dueWake})
				}
				r.apply(r.g.generations.inForce.shares)
			})
		}()
	}
	if r.shares != any(shares) {
		r.apply(shares)
	}
}

// standing is what is held and counted at a time, by books.
type standing struct {
	all   map[string]contracts.Reservation
	order []string
	next  int64 // when it changes, Unix nanoseconds, 0 for never
	open  []counted
}

func standingOf(books []*contracts.Book, unix int64) standing {
	x := standing{all: map[string]contracts.Reservation{}}
	for _, b := range books {
		if b == nil {
			continue
		}
		list, next := b.Reservations(unix)
		if next > 0 && (x.next == 0 || next < x.next) {
			x.next = next
		}
		for _, h := range list {
			if before, ok := x.all[h.Tenant]; !ok {
				x.order = append(x.order, h.Tenant)
				x.all[h.Tenant] = h
			} else if h.InFlight > before.InFlight {
				x.all[h.Tenant] = h
			}
		}
	}
	x.open = windows(books, unix)
	return x
}

// apply holds room in the shares in force, and logs a change.
func (r *reserved) apply(shares *routes.Shares) {
	all, order := r.now.all, r.now.order
	r.open = r.now.open
	r.shares, r.holdings = shares, nil
	held := map[int32]int{}
	var words []string
	table := r.g.generations.inForce.table
	for _, name := range order {
		h := all[name]
		r.holdings = append(r.holdings, h)
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
	if text := strings.Join(words, "; "); text != r.told {
		r.told = text
		r.g.log.Info("contracts: room held", "for", text)
	}
}

// look tells of contracts that the fleet as it is can't keep, once it has changed: worked out beside the loop.
func (r *reserved) look(b *contracts.Book) {
	f := r.fleet()
	members := fmt.Sprint(f, r.stamp)
	if members == r.members || r.risky || b == nil {
		return
	}
	r.members, r.risky = members, true
	unix := r.unix()
	go func() {
		risks := b.UnmetContracts(f, unix)
		r.g.post(func() {
			r.risky = false
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
func (r *reserved) fleet() contracts.Fleet {
	f := contracts.Fleet{}
	for _, h := range r.g.discovery.list.hosts {
		if r.g.generations.memberHealth(&h.entry) != "active" {
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
const contractTries = 8

// Contract has the fleet agree on the book as it is after a wish. Of two that are asked for at once at two gateways one
// comes first, and the other is looked at again by the book after that.
func (g *Gateway) Contract(ctx context.Context, w contracts.Proposal) error {
	var err error
	for range contractTries {
		var b *contracts.Book
		var f contracts.Fleet
		v := agreement.Version{Subject: SubjectContracts, Author: w.Author, Reason: w.Reason, FormatVersion: 1}
		if err = g.inLoop(ctx, func() (err error) {
			if g.reserved == nil {
				return errors.New("this gateway agrees on nothing with others")
			}
			g.reserved.held()
			b, err = g.reserved.latest()
			f, v.Predecessor, w.At = g.reserved.fleet(), g.reserved.last, g.reserved.unix()
			return err
		}); err == nil { // beside the loop: a large book takes a while
			next, wrong := b.Apply(&w, f)
			if wrong != nil {
				return wrong
			}
			text := next.Encode()
			if v.ProposedAt = w.At; w.ChangesReservations(b) {
				v.Conflicts = []string{"a reserved share"}
			}
			_, err = g.proposeAndWait(ctx, func() (agreement.Proposal, []byte, error) { return agreement.Proposal{Version: &v}, text, nil })
		}
		if err == nil || !errors.Is(err, errNoBook) && !strings.Contains(err.Error(), "it follows version") {
			return err
		}
		time.Sleep(200 * time.Millisecond) // until this gateway holds what was first
	}
	return err
}

// ContractsView is the book as a gateway holds it.
type ContractsView struct {
	Book     *contracts.Book
	Fleet    contracts.Fleet
	Now      int64
	Holdings []contracts.Reservation
	Coming   bool // another book binds beside it, until all have it
}

// Contracts tells of the book; nil where the gateway agrees on nothing.
func (g *Gateway) Contracts(ctx context.Context) (v *ContractsView, err error) {
	err = g.inLoop(ctx, func() error {
		if g.reserved == nil {
			return nil
		}
		g.reserved.held()
		b, err := g.reserved.latest()
		if err != nil {
			return err
		}
		v = &ContractsView{b, g.reserved.fleet(), int64(g.position(g.clock.now())), g.reserved.holdings, g.reserved.next != nil}
		return nil
	})
	return v, err
}
