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
type ending uint8

const (
	endServed ending = iota
	endNoRoom
	endNoMember
	endUnagreed
	endRolledBack
	endLeft
)

// endingOf is that of a txn that is turned away.
func endingOf(why routes.RejectReason) ending {
	switch why {
	case routes.AgreementUnavailable:
		return endUnagreed
	case routes.Allowed:
		return endNoMember
	}
	return endNoRoom
}

// counted is a contract in one of its windows: its txns are counted.
type counted struct {
	no     uint64
	tenant string
	types  []string
	groups []int
	window contracts.ReservedWindow
	aim    decide.Nanos
}

// ReceiveCounts takes what another gateway tells.
func (a *fleetAgreement) ReceiveCounts(from agreement.ID, all []contracts.Count, asks bool) {
	r := a.g.reserved
	if r == nil || r.account == nil {
		return
	}
	r.account.Merge(all, r.unix())
	if asks {
		a.fleet.SendCounts(from, r.account.All(), false)
	}
}

func (r *reserved) unix() int64 { return int64(r.g.position(r.g.clock.now())) }

// opens begins the account, with what a former run kept.
func (r *reserved) opens() error {
	kept, err := r.g.agreed.fleet.LoadCounts()
	if err != nil {
		return fmt.Errorf("the account of contracts can't be read, move it away: %w", err)
	}
	r.account = contracts.NewAccount(uint64(r.g.agreed.fleet.Self()), r.g.agreed.fleet.Epoch(), kept)
	return nil
}

// windows are the contracts whose windows are open, or about to be, by the books that bind.
func windows(books []*contracts.Book, unix int64) (open []counted) {
	for _, b := range books {
		if b == nil {
			continue
		}
		for _, c := range b.BookedContracts() {
			t := &c.Latest().Terms
			if phase, h := t.PhaseAt(unix); phase != contracts.Ended && phase != contracts.Pending && !slices.ContainsFunc(open, func(x counted) bool { return x.no == c.No }) {
				open = append(open, counted{c.No, t.Tenant, t.Types, t.Groups, h, decide.Nanos(t.TargetLatency)})
			}
		}
	}
	return open
}

// count counts a txn that has its answer, or has none any more.
func (r *reserved) count(t *txn, committed bool) {
	if len(r.open) == 0 || t.route.Tenant < 0 || t.generation == nil || t.generation.table == nil {
		return
	}
	tenant := t.generation.table.Tenants[t.route.Tenant].Name
	now := r.unix()
	for i := range r.open {
		c := &r.open[i]
		if c.tenant != tenant || now < c.window.Start || now >= c.window.End || len(c.groups) > 0 && !slices.Contains(c.groups, t.comment.Group) ||
			len(c.types) > 0 && !slices.Contains(c.types, r.g.names.Classes[t.class].Name) {
			continue
		}
		aim := r.g.generations.targetLatency(t)
		if c.aim > 0 {
			aim = c.aim
		}
		x := contracts.Counts{Requested: 1}
		switch {
		case committed && r.g.clock.now()-t.arrived <= aim:
			x.InTime = 1
		case committed:
			x.Late = 1
		case t.ending == endNoRoom:
			x.Overloaded = 1
		case t.ending == endUnagreed:
			x.NoAgreement = 1
		case t.ending == endRolledBack:
			x.RolledBack = 1
		case t.ending == endLeft:
			x.Abandoned = 1
		default:
			x.NoMember = 1
		}
		r.account.Add(c.no, now, x)
		return // the first that it counts for
	}
}

// askTimes is how often it asks, as messages may be lost.
const askTimes = 3

// keepSpan is between writes of an account. Ours: voters have each other's, so this is what is lost if all are killed at once.
const keepSpan = time.Second

// reports tells those that vote what has changed, and keeps the account at one that votes.
func (r *reserved) reports(now decide.Nanos) {
	if now < r.reportAt {
		return
	}
	r.reportAt = now + decide.Nanos(contracts.ReportInterval)
	f := r.g.agreed.fleet
	others, votes := f.Voters()
	all := r.account.Report(r.unix(), !votes)
	// One that votes and has started asks the others: what it kept on its disk may lack the last seconds.
	asks := votes && r.asked < askTimes
	if len(all) == 0 && !asks {
		return
	}
	r.g.agreed.WakeAfter(contracts.ReportInterval)
	if asks {
		r.asked++
	}
	for _, id := range others {
		f.SendCounts(id, all, asks)
	}
	if votes && now >= r.keepAt && !r.keeping {
		r.keeping, r.keepAt = true, now+decide.Nanos(keepSpan)
		kept := r.account.All()
		go func() {
			err := f.SaveCounts(kept)
			r.g.post(func() {
				if r.keeping = false; err != nil {
					r.g.log.Error("the account of contracts is not kept", "why", err)
				}
			})
		}()
	}
}

// Statements are those of a contract for its windows that touch a span of Unix nanoseconds; whole tells that this gateway votes,
// and so knows what all count.
func (g *Gateway) Statements(ctx context.Context, name string, from, to int64) (all []contracts.Statement, whole bool, err error) {
	err = g.inLoop(ctx, func() error {
		if g.reserved == nil {
			return errors.New("this gateway agrees on nothing with others")
		}
		b, err := g.reserved.latest()
		if err != nil {
			return err
		}
		c := b.Find(name)
		if c == nil {
			return fmt.Errorf("there is no contract %q", name)
		}
		_, whole = g.agreed.fleet.Voters()
		all = g.reserved.account.Statements(c, from, to, g.reserved.unix())
		return nil
	})
	return all, whole, err
}
