package cli

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"magpieglade/fleet"
	"magpieglade/quota"
)

type shares struct{ socket }

// Run tells of them.
func (s *shares) Run(out io.Writer) error {
	r, err := s.ask(out, "GET", "shares", nil)
	if err != nil || s.JSON {
		return err
	}
	return sharesTo(out, r.Limits)
}

// sharesTo writes what a gateway holds of the fleet's bounds, and of those that it keeps who holds what.
func sharesTo(out io.Writer, all []fleet.LimitStatus) error {
	if len(all) == 0 {
		_, err := fmt.Fprintln(out, "no bound is of the fleet: a tenant's are with fleet = true")
		return err
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "bound\tof\tkeeper\tholder\tpart\tused\twanted\tfor")
	row := func(p *fleet.LimitStatus, holder string, part, used, want, left int64) {
		span := "-"
		if left > 0 {
			span = fmt.Sprintf("%.1fs", float64(left)/1e9)
		}
		unit := func(n int64) string { return amount(n, p.Rate) }
		u := unit(used)
		if p.Rate {
			u = "-"
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", p.Name, unit(p.Amount), p.Allocator, holder, unit(part), u, unit(want), span)
	}
	for i := range all {
		p := &all[i]
		row(p, "this gateway", p.Allocation, p.Used, p.Demand, p.LeaseRemaining)
		lent := int64(0)
		for k, l := range p.Grants {
			row(p, "  "+p.HolderNames[k], l.Amount, l.Used, l.Demand, l.Remaining)
			lent += l.Amount
		}
		if len(p.Grants) > 0 {
			fmt.Fprintf(table, "%s\t%s\t%s\t  not lent\t%s\t\t\t\n", p.Name, amount(p.Amount, p.Rate), p.Allocator, amount(max(0, p.Amount-lent), p.Rate))
		}
	}
	return table.Flush()
}

// amount words units of a bound.
func amount(n int64, rate bool) string {
	if !rate {
		return fmt.Sprint(n)
	}
	return strings.TrimSuffix(fmt.Sprintf("%.1f", float64(n)/quota.UnitsPerTxn), ".0") + "/s"
}
