// Package contracts implements reserved capacity: contracts that guarantee a tenant a rate of reads and writes
// in stated windows regardless of other load, admission of further contracts, and the reservations that
// gateways hold for active ones. All contracts form one book, a text that the fleet agrees on (package
// agreement). The package does no I/O and has no clock or randomness of its own; times are Unix nanoseconds
// unless stated otherwise. docs/contracts.md explains the design.
//
// contract.go defines the terms, windows.go the time windows, book.go the lifecycle from draft to
// cancellation, calendar.go booked and free capacity, holding.go the current reservations and usage.go the
// counts and statements.
package contracts

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/shopspring/decimal"
)

// Losses that a contract tolerates.
const (
	NoLoss     = "none"
	MemberLoss = "member" // one member of each group
	ZoneLoss   = "zone"   // one zone
)

// Policies for txns beyond a contract's size.
const (
	RejectExcess = "decline"     // shed
	BestEffort   = "best effort" // served as if there were no contract
	PaidExcess   = "paid"        // served as if there were no contract, at a price, up to MaxExcessFactor
)

// Terms are the terms of a contract.
type Terms struct {
	Name             string          `json:"name"` // unique among contracts that are not cancelled
	Tenant           string          `json:"tenant"`
	Types            []string        `json:"types,omitempty"`  // txn types; empty means all of the tenant's
	Groups           []int           `json:"groups,omitempty"` // empty means all
	Reads            float64         `json:"reads,omitempty"`  // per second, at each of its groups
	Writes           float64         `json:"writes,omitempty"` // per second, at each of its groups
	InFlight         int             `json:"in_flight"`        // slots reserved at each gateway
	MinReplicas      int             `json:"fan_out,omitempty"`
	MinZones         int             `json:"fan_zones,omitempty"` // reads are spread over at least MinReplicas replicas of each group, in at least MinZones zones
	Windows          []Window        `json:"windows"`
	RampDuration     int64           `json:"ramp,omitempty"` // nanoseconds before a window from which slots are reserved
	CooldownDuration int64           `json:"cool,omitempty"` // nanoseconds after a window until which slots are reserved
	TargetLatency    int64           `json:"aim,omitempty"`  // SLA target, nanoseconds; 0 uses the txn type's
	PromisedFraction float64         `json:"promised"`       // fraction of its txns to be served within TargetLatency
	ExcessPolicy     string          `json:"beyond"`
	MaxExcessFactor  float64         `json:"ceiling,omitempty"` // limit of paid traffic, as a multiple of the contract's size
	ToleratedLoss    string          `json:"loss"`
	Priority         int             `json:"rank,omitempty"` // if not all contracts can be kept, those of the lowest priority are given up first
	Price            decimal.Decimal `json:"price"`          // per window
	Credit           decimal.Decimal `json:"credit"`         // per window in which the promise was not kept
}

// Check reports the first invalid term.
func (t *Terms) Check() error {
	switch {
	case t.Name == "":
		return errors.New("a contract has a name")
	case t.Tenant == "":
		return fmt.Errorf("contract %q: it has no tenant", t.Name)
	case t.Reads < 0 || t.Writes < 0 || t.Reads+t.Writes == 0:
		return fmt.Errorf("contract %q: it is for reads or writes a second, or both", t.Name)
	case t.InFlight < 1 || t.InFlight > 1_000_000:
		return fmt.Errorf("contract %q: in_flight is from 1 to 1000000", t.Name)
	case t.MinReplicas < 0 || t.MinZones < 0 || t.MinZones > max(1, t.MinReplicas):
		return fmt.Errorf("contract %q: reads can't go to more zones than replicas", t.Name)
	case len(t.Windows) == 0:
		return fmt.Errorf("contract %q: it has no window", t.Name)
	case t.RampDuration < 0 || t.CooldownDuration < 0 || t.TargetLatency < 0:
		return fmt.Errorf("contract %q: a span is below 0", t.Name)
	case t.PromisedFraction <= 0 || t.PromisedFraction > 1:
		return fmt.Errorf("contract %q: promised is a share above 0, at most 1", t.Name)
	case !slices.Contains([]string{RejectExcess, BestEffort, PaidExcess}, t.ExcessPolicy):
		return fmt.Errorf("contract %q: beyond is %q, %q or %q", t.Name, RejectExcess, BestEffort, PaidExcess)
	case t.ExcessPolicy == PaidExcess && t.MaxExcessFactor <= 1:
		return fmt.Errorf("contract %q: a ceiling is above 1", t.Name)
	case !slices.Contains([]string{NoLoss, MemberLoss, ZoneLoss}, t.ToleratedLoss):
		return fmt.Errorf("contract %q: loss is %q, %q or %q", t.Name, NoLoss, MemberLoss, ZoneLoss)
	case t.Price.IsNegative() || t.Credit.IsNegative():
		return fmt.Errorf("contract %q: an amount is below 0", t.Name)
	}
	for i := range t.Windows {
		if err := t.Windows[i].Check(); err != nil {
			return fmt.Errorf("contract %q, window %d: %w", t.Name, i+1, err)
		}
	}
	if all := t.ReservedWindows(0, 1<<62); len(all) == 0 {
		return fmt.Errorf("contract %q: all of its windows are excepted", t.Name)
	}
	return nil
}

// covers returns whether the contract applies to a group.
func (t *Terms) covers(group int) bool { return len(t.Groups) == 0 || slices.Contains(t.Groups, group) }

// ReservedWindow is a window together with its ramp and cooldown, during which capacity is reserved.
type ReservedWindow struct {
	TimeRange
	From, To int64 // including ramp and cooldown
}

// ReservedWindows returns the windows that overlap a time range including ramp and cooldown, by time.
func (t *Terms) ReservedWindows(from, to int64) (all []ReservedWindow) {
	for i := range t.Windows {
		for _, s := range t.Windows[i].Occurrences(from-t.CooldownDuration, to+t.RampDuration) {
			all = append(all, ReservedWindow{s, s.Start - t.RampDuration, s.End + t.CooldownDuration})
		}
	}
	slices.SortFunc(all, func(x, y ReservedWindow) int { return int(min(1, max(-1, x.Start-y.Start))) })
	return all
}

// Phase is the state of a booked contract at a time.
type Phase string

// Phases of a booked contract.
const (
	Pending Phase = "booked"
	Ramping Phase = "ramping"
	Active  Phase = "active"
	Cooling Phase = "cooling"
	Ended   Phase = "ended"
)

// seriesLookahead is the largest distance to the next window of a series that has no exceptions.
const seriesLookahead = int64(8 * 24 * time.Hour)

// PhaseAt returns the phase at a time and the window it refers to: the current one, or else the next.
func (t *Terms) PhaseAt(now int64) (Phase, ReservedWindow) {
	all := t.ReservedWindows(now, now+seriesLookahead)
	if len(all) == 0 {
		all = t.ReservedWindows(now, 1<<62)
	}
	for _, h := range all {
		switch {
		case now >= h.To:
		case now < h.From:
			return Pending, h
		case now < h.Start:
			return Ramping, h
		case now < h.End:
			return Active, h
		default:
			return Cooling, h
		}
	}
	return Ended, ReservedWindow{}
}

// formatTime formats a time for messages.
func formatTime(at int64) string { return time.Unix(0, at).UTC().Format("2006-01-02 15:04 UTC") }
