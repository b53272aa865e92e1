package gateway

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"magpieglade/agreement"
	"magpieglade/contracts"
	"magpieglade/decide"
	"magpieglade/routes"
)

// ending is why a txn was not served, for who counts.
type txnOutcome uint8

const (
	outcomeServed txnOutcome = iota
	outcomeOverloaded
	outcomeNoMember
	outcomeNoAgreement
	outcomeRolledBack
	outcomeAbandoned
)

// endingOf is that of a txn that is turned away.
func outcomeOfRejection(reason routes.RejectReason) txnOutcome {
	switch reason {
	case routes.AgreementUnavailable:
		return outcomeNoAgreement
	case routes.Allowed:
		return outcomeNoMember
	}
	return outcomeOverloaded
}

// counted is a contract in one of its windows: its txns are counted.
type countedContract struct {
	number        uint64
	tenant        string
	types         []string
	groups        []int
	window        contracts.ReservedWindow
	targetLatency decide.Nanos
}

// ReceiveCounts takes what another gateway tells.
func (a *agreed) ReceiveCounts(from agreement.ID, counts []contracts.Count, requestsAll bool) {
	r := a.g.reserved
	if r == nil || r.account == nil {
		return
	}
	r.account.Merge(counts, r.unixNow())
	if requestsAll {
		a.f.SendCounts(from, r.account.All(), false)
	}
}

func (r *contractManager) unixNow() int64 { return int64(r.g.sessionPosition(r.g.clock.now())) }

// opens begins the account, with what a former run kept.
func (r *contractManager) loadAccount() error {
	stored, err := r.g.agreed.f.LoadCounts()
	if err != nil {
		return fmt.Errorf("the account of contracts can't be read, move it away: %w", err)
	}
	r.account = contracts.NewAccount(uint64(r.g.agreed.f.Self()), r.g.agreed.f.Epoch(), stored)
	return nil
}

// windows are the contracts whose windows are open, or about to be, by the books that bind.
func openContractsOf(books []*contracts.Book, unix int64) (open []countedContract) {
	for _, b := range books {
		if b == nil {
			continue
		}
		for _, c := range b.BookedContracts() {
			t := &c.Latest().Terms
			if phase, h := t.PhaseAt(unix); phase != contracts.Ended && phase != contracts.Pending && !slices.ContainsFunc(open, func(x countedContract) bool { return x.number == c.No }) {
				open = append(open, countedContract{c.No, t.Tenant, t.Types, t.Groups, h, decide.Nanos(t.TargetLatency)})
			}
		}
	}
	return open
}

// count counts a txn that has its answer, or has none any more.
func (r *contractManager) countTxn(t *txn, committed bool) {
	if len(r.openContracts) == 0 || t.route.Tenant < 0 || t.generation == nil || t.generation.table == nil {
		return
	}
	tenant := t.generation.table.Tenants[t.route.Tenant].Name
	now := r.unixNow()
	for i := range r.openContracts {
		c := &r.openContracts[i]
		if c.tenant != tenant || now < c.window.Start || now >= c.window.End || len(c.groups) > 0 && !slices.Contains(c.groups, t.comment.Group) ||
			len(c.types) > 0 && !slices.Contains(c.types, r.g.names.Classes[t.class].Name) {
			continue
		}
		targetLatency := r.g.generations.aimOf(t)
		if c.targetLatency > 0 {
			targetLatency = c.targetLatency
		}
		x := contracts.Counts{Requested: 1}
		switch {
		case committed && r.g.clock.now()-t.arrived <= targetLatency:
			x.InTime = 1
		case committed:
			x.Late = 1
		case t.ending == outcomeOverloaded:
			x.Overloaded = 1
		case t.ending == outcomeNoAgreement:
			x.NoAgreement = 1
		case t.ending == outcomeRolledBack:
			x.RolledBack = 1
		case t.ending == outcomeAbandoned:
			x.Abandoned = 1
		default:
			x.NoMember = 1
		}
		r.account.Add(c.number, now, x)
		return // the first that it counts for
	}
}

// askTimes is how often it asks, as messages may be lost.
const maxCountRequests = 3

// keepSpan is between writes of an account. Ours: voters have each other's, so this is what is lost if all are killed at once.
const saveInterval = time.Second

// reports tells those that vote what has changed, and keeps the account at one that votes.
func (r *contractManager) reportCounts(now decide.Nanos) {
	if now < r.nextReportAt {
		return
	}
	r.nextReportAt = now + decide.Nanos(contracts.ReportInterval)
	f := r.g.agreed.f
	others, isVoter := f.Voters()
	counts := r.account.Report(r.unixNow(), !isVoter)
	// One that votes and has started asks the others: what it kept on its disk may lack the last seconds.
	requestsAll := isVoter && r.countRequests < maxCountRequests
	if len(counts) == 0 && !requestsAll {
		return
	}
	r.g.agreed.WakeAfter(contracts.ReportInterval)
	if requestsAll {
		r.countRequests++
	}
	for _, id := range others {
		f.SendCounts(id, counts, requestsAll)
	}
	if isVoter && now >= r.nextSaveAt && !r.saving {
		r.saving, r.nextSaveAt = true, now+decide.Nanos(saveInterval)
		stored := r.account.All()
		go func() {
			err := f.SaveCounts(stored)
			r.g.post(func() {
				if r.saving = false; err != nil {
					r.g.log.Error("the account of contracts is not kept", "why", err)
				}
			})
		}()
	}
}

// Statements are those of a contract for its windows that touch a span of Unix nanoseconds; whole tells that this gateway votes,
// and so knows what all count.
func (g *Gateway) Statements(ctx context.Context, name string, from, to int64) (all []contracts.Statement, complete bool, err error) {
	err = g.inLoop(ctx, func() error {
		if g.reserved == nil {
			return errors.New("this gateway agrees on nothing with others")
		}
		b, err := g.reserved.latestBook()
		if err != nil {
			return err
		}
		c := b.Find(name)
		if c == nil {
			return fmt.Errorf("there is no contract %q", name)
		}
		_, complete = g.agreed.f.Voters()
		all = g.reserved.account.Statements(c, from, to, g.reserved.unixNow())
		return nil
	})
	return all, complete, err
}
