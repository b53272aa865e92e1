package cli

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"magpieglade/fleet"
	"magpieglade/quota"
)

type fleetShares struct{ controlOptions }

// Run prints the fleet-wide limits.
func (s *fleetShares) Run(out io.Writer) error {
	r, err := s.request(out, "GET", "shares", nil)
	if err != nil || s.JSON {
		return err
	}
	return printLimits(out, r.Limits)
}

// printLimits prints a gateway's allocation of each fleet-wide limit, and all grants of those it is the allocator of.
func printLimits(out io.Writer, all []fleet.LimitStatus) error {
	if len(all) == 0 {
		_, err := fmt.Fprintln(out, "there are no fleet-wide limits: set fleet = true for a tenant to make its limits fleet-wide")
		return err
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "bound\tof\tkeeper\tholder\tpart\tused\twanted\tfor")
	row := func(limit *fleet.LimitStatus, holder string, allocation, used, want, remaining int64) {
		lease := "-"
		if remaining > 0 {
			lease = fmt.Sprintf("%.1fs", float64(remaining)/1e9)
		}
		unit := func(n int64) string { return formatAmount(n, limit.Rate) }
		usedText := unit(used)
		if limit.Rate {
			usedText = "-"
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", limit.Name, unit(limit.Amount), limit.Allocator, holder, unit(allocation), usedText, unit(want), lease)
	}
	for i := range all {
		limit := &all[i]
		row(limit, "this gateway", limit.Allocation, limit.Used, limit.Demand, limit.LeaseRemaining)
		granted := int64(0)
		for k, grant := range limit.Grants {
			row(limit, "  "+limit.HolderNames[k], grant.Amount, grant.Used, grant.Demand, grant.Remaining)
			granted += grant.Amount
		}
		if len(limit.Grants) > 0 {
			fmt.Fprintf(table, "%s\t%s\t%s\t  not lent\t%s\t\t\t\n", limit.Name, formatAmount(limit.Amount, limit.Rate), limit.Allocator, formatAmount(max(0, limit.Amount-granted), limit.Rate))
		}
	}
	return table.Flush()
}

// formatAmount formats an amount of a limit; that of a rate is in txns a second.
func formatAmount(n int64, rate bool) string {
	if !rate {
		return fmt.Sprint(n)
	}
	return strings.TrimSuffix(fmt.Sprintf("%.1f", float64(n)/quota.UnitsPerTxn), ".0") + "/s"
}
