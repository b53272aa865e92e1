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

// txnOutcome is how a txn ended, for the counts of its contract.
type txnOutcome uint8

const (
	outcomeServed txnOutcome = iota
	outcomeOverloaded
	outcomeNoMember
	outcomeNoAgreement
	outcomeRolledBack
	outcomeAbandoned
)

// outcomeOfRejection returns the outcome of a rejected txn.
func outcomeOfRejection(reason routes.RejectReason) txnOutcome {
	switch reason {
	case routes.AgreementUnavailable:
		return outcomeNoAgreement
	case routes.Allowed:
		return outcomeNoMember
	}
	return outcomeOverloaded
}

// countedContract is a contract with a window in which its txns are counted.
type countedContract struct {
	number        uint64
	tenant        string
	types         []string
	groups        []int
	window        contracts.ReservedWindow
	targetLatency decide.Nanos
}

// ReceiveCounts merges the counts of another gateway, and replies with all counts known here if it requests them.
func (a *fleetAgreement) ReceiveCounts(from agreement.ID, counts []contracts.Count, requestsAll bool) {
	r := a.g.contracts
	if r == nil || r.account == nil {
		return
	}
	r.account.Merge(counts, r.unixNow())
	if requestsAll {
		a.fleet.SendCounts(from, r.account.All(), false)
	}
}

// unixNow returns the gateway's time in Unix nanoseconds.
func (r *contractManager) unixNow() int64 { return int64(r.g.sessionPosition(r.g.clock.now())) }

// loadAccount creates the account from the counts that an earlier run saved.
func (r *contractManager) loadAccount() error {
	stored, err := r.g.agreement.fleet.LoadCounts()
	if err != nil {
		return fmt.Errorf("the account of contracts can't be read, move it away: %w", err)
	}
	r.account = contracts.NewAccount(uint64(r.g.agreement.fleet.Self()), r.g.agreement.fleet.Epoch(), stored)
	return nil
}

// openContractsOf returns the contracts whose windows are open or about to open by the books that apply.
func openContractsOf(books []*contracts.Book, unix int64) (open []countedContract) {
	for _, b := range books {
		if b == nil {
			continue
		}
		for _, c := range b.BookedContracts() {
			terms := &c.Latest().Terms
			if phase, window := terms.PhaseAt(unix); phase != contracts.Ended && phase != contracts.Pending && !slices.ContainsFunc(open, func(x countedContract) bool { return x.number == c.No }) {
				open = append(open, countedContract{c.No, terms.Tenant, terms.Types, terms.Groups, window, decide.Nanos(terms.TargetLatency)})
			}
		}
	}
	return open
}

// countTxn counts a txn that has been answered, or that gets no answer any more.
func (r *contractManager) countTxn(t *txn, committed bool) {
	if len(r.openContracts) == 0 || t.route.Tenant < 0 || t.generation == nil || t.generation.table == nil {
		return
	}
	tenant := t.generation.table.Tenants[t.route.Tenant].Name
	now := r.unixNow()
	for i := range r.openContracts {
		contract := &r.openContracts[i]
		if contract.tenant != tenant || now < contract.window.Start || now >= contract.window.End || len(contract.groups) > 0 && !slices.Contains(contract.groups, t.comment.Group) ||
			len(contract.types) > 0 && !slices.Contains(contract.types, r.g.names.Classes[t.class].Name) {
			continue
		}
		targetLatency := r.g.generations.targetLatency(t)
		if contract.targetLatency > 0 {
			targetLatency = contract.targetLatency
		}
		counts := contracts.Counts{Requested: 1}
		switch {
		case committed && r.g.clock.now()-t.arrived <= targetLatency:
			counts.InTime = 1
		case committed:
			counts.Late = 1
		case t.ending == outcomeOverloaded:
			counts.Overloaded = 1
		case t.ending == outcomeNoAgreement:
			counts.NoAgreement = 1
		case t.ending == outcomeRolledBack:
			counts.RolledBack = 1
		case t.ending == outcomeAbandoned:
			counts.Abandoned = 1
		default:
			counts.NoMember = 1
		}
		r.account.Add(contract.number, now, counts)
		return // a txn counts for the first matching contract only
	}
}

// maxCountRequests is how often a voter requests the counts of the others after its start, as messages may be lost.
const maxCountRequests = 3

// saveInterval is the time between writes of the account. Voters have each other's counts, so at most this much is lost, and
// only if all voters are killed at once.
const saveInterval = time.Second

// reportCounts sends changed counts to the voters; a voter also saves the account.
func (r *contractManager) reportCounts(now decide.Nanos) {
	if now < r.nextReportAt {
		return
	}
	r.nextReportAt = now + decide.Nanos(contracts.ReportInterval)
	fleet := r.g.agreement.fleet
	others, isVoter := fleet.Voters()
	counts := r.account.Report(r.unixNow(), !isVoter)
	// A voter that has started requests the counts of the others: its saved account may lack the last seconds.
	requestsAll := isVoter && r.countRequests < maxCountRequests
	if len(counts) == 0 && !requestsAll {
		return
	}
	r.g.agreement.WakeAfter(contracts.ReportInterval)
	if requestsAll {
		r.countRequests++
	}
	for _, id := range others {
		fleet.SendCounts(id, counts, requestsAll)
	}
	if isVoter && now >= r.nextSaveAt && !r.saving {
		r.saving, r.nextSaveAt = true, now+decide.Nanos(saveInterval)
		stored := r.account.All()
		go func() {
			err := fleet.SaveCounts(stored)
			r.g.post(func() {
				if r.saving = false; err != nil {
					r.g.log.Error("the account of contracts can't be saved", "why", err)
				}
			})
		}()
	}
}

// Statements returns a contract's statements for its windows that overlap an interval in Unix nanoseconds. complete reports
// that this gateway is a voter and so knows the counts of all gateways.
func (g *Gateway) Statements(ctx context.Context, name string, from, to int64) (all []contracts.Statement, complete bool, err error) {
	err = g.inLoop(ctx, func() error {
		if g.contracts == nil {
			return errors.New("this gateway agrees on nothing with others")
		}
		b, err := g.contracts.latestBook()
		if err != nil {
			return err
		}
		c := b.Find(name)
		if c == nil {
			return fmt.Errorf("there is no contract %q", name)
		}
		_, complete = g.agreement.fleet.Voters()
		all = g.contracts.account.Statements(c, from, to, g.contracts.unixNow())
		return nil
	})
	return all, complete, err
}
