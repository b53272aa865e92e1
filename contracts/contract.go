// Package contracts has reserved capacity: contracts by which a tenant may have so many reads and writes a second in stated
// windows, whatever others ask for; whether one more can be kept; and what gateways hold for those that are live. All
// contracts are one book, a text that the fleet agrees on (package agreement). It runs without input or output, clock or
// chance of its own; times are Unix nanoseconds where nothing else is said. docs/contracts.md has the argument.
//
// contract.go is what a contract says, windows.go when, book.go its life from draft to end, calendar.go what is sold and what
// is left, holding.go what is held now.
package contracts

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/shopspring/decimal"
)

// Losses under which a contract is promised.
const (
	NoLoss     = "none"
	MemberLoss = "member" // one member of each group
	ZoneLoss   = "zone"   // one zone
)

// What becomes of txns beyond a contract's size.
const (
	RejectExcess = "decline"     // turned away
	BestEffort   = "best effort" // as if there were no contract
	PaidExcess   = "paid"        // the same, at a price, up to a ceiling
)

// Terms are what a contract says.
type Terms struct {
	Name             string          `json:"name"` // which no other contract that lives has
	Tenant           string          `json:"tenant"`
	Types            []string        `json:"types,omitempty"`  // txn types; none is all of the tenant's
	Groups           []int           `json:"groups,omitempty"` // none is all
	Reads            float64         `json:"reads,omitempty"`  // a second, at each of its groups
	Writes           float64         `json:"writes,omitempty"` // a second, at each of its groups
	InFlight         int             `json:"in_flight"`        // txns at a time that a gateway keeps room for
	MinReplicas      int             `json:"fan_out,omitempty"`
	MinZones         int             `json:"fan_zones,omitempty"` // reads go to so many replicas of each group, in so many zones, at the least
	Windows          []Window        `json:"windows"`
	RampDuration     int64           `json:"ramp,omitempty"` // nanoseconds before a window from which room is held
	CooldownDuration int64           `json:"cool,omitempty"` // and after it
	TargetLatency    int64           `json:"aim,omitempty"`  // SLA time, nanoseconds; 0 is the txn type's
	PromisedFraction float64         `json:"promised"`       // share of its txns that are served within that
	ExcessPolicy     string          `json:"beyond"`
	MaxExcessFactor  float64         `json:"ceiling,omitempty"` // times its size, up to which what is paid goes
	ToleratedLoss    string          `json:"loss"`
	Priority         int             `json:"rank,omitempty"` // who gives way first where all can't be kept: the least
	Price            decimal.Decimal `json:"price"`          // of a window
	Credit           decimal.Decimal `json:"credit"`         // for one in which the promise was not kept
}

// Check names what is wrong with terms.
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

// covers tells whether it is for a group.
func (t *Terms) covers(group int) bool { return len(t.Groups) == 0 || slices.Contains(t.Groups, group) }

// Held is a span over which room is held for a contract: a window with what comes before and after.
type ReservedWindow struct {
	TimeRange
	From, To int64 // with ramp and cool-down
}

// Spans are a contract's windows that touch a span, by time.
func (t *Terms) ReservedWindows(from, to int64) (all []ReservedWindow) {
	for i := range t.Windows {
		for _, s := range t.Windows[i].Occurrences(from-t.CooldownDuration, to+t.RampDuration) {
			all = append(all, ReservedWindow{s, s.Start - t.RampDuration, s.End + t.CooldownDuration})
		}
	}
	slices.SortFunc(all, func(x, y ReservedWindow) int { return int(min(1, max(-1, x.Start-y.Start))) })
	return all
}

// Phase is how a contract stands at a time.
type Phase string

// Phases of one that is booked.
const (
	Pending Phase = "booked"
	Ramping Phase = "ramping"
	Active  Phase = "active"
	Cooling Phase = "cooling"
	Ended   Phase = "ended"
)

// soon is how far ahead the next window of a series is, at the most, unless some are excepted.
const seriesLookahead = int64(8 * 24 * time.Hour)

// At is its phase, and the window that it is about: the present or else the next one.
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

// instant words a time for people.
func formatTime(at int64) string { return time.Unix(0, at).UTC().Format("2006-01-02 15:04 UTC") }
