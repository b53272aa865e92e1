package cli

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"magpieglade/fleet"
)

type fleetSubsets struct{ controlOptions }

// Run prints which gateways have which members.
func (s *fleetSubsets) Run(out io.Writer) error {
	r, err := s.request(out, "GET", "chosen", nil)
	if err != nil || s.JSON {
		return err
	}
	return printSubsets(out, r.Coordination, r.MemberNames)
}

// printSubsets prints each member with the gateways that have it. A bar of 20 characters is the mean of the member's group.
func printSubsets(out io.Writer, v *fleet.CoordinationView, names map[uint64]string) error {
	if !v.Subsets {
		_, err := fmt.Fprintln(out, "each gateway has every member: set subset (for example subset = 4) in the coordination block to give each gateway some of them")
		return err
	}
	mean, count := map[int]float64{}, map[int]int{}
	for i := range v.Members {
		m := &v.Members[i]
		mean[m.Group] += float64(len(m.Holders))
		count[m.Group]++
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "group\tmember\tzone\there\tgateways\t\tin flight\twho")
	for _, m := range sortedMembers(v, names) {
		here := "-"
		if m.Assigned {
			here = "yes"
		}
		if m.Primary {
			here += ", primary"
		}
		bar := strings.Repeat("#", int(20*float64(len(m.Holders))*float64(count[m.Group])/max(1, mean[m.Group])+0.5))
		load := "-"
		if m.Summary.HealthReports+int(m.Summary.Latency) > 0 {
			load = fmt.Sprint(m.Summary.Load)
		}
		holders := m.Holders
		if more := len(holders) - 6; more > 0 {
			holders = append(slices.Clone(holders[:6]), fmt.Sprintf("and %d more", more))
		}
		fmt.Fprintf(table, "%d\t%s\t%s\t%s\t%d\t%s\t%s\t%s\n", m.Group, names[m.Key], cmp.Or(m.Zone, "-"), here, len(m.Holders), bar, load, strings.Join(holders, " "))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for no := range v.Size {
		if v.WidenedBy[no] > 0 {
			fmt.Fprintf(out, "group %d: subset widened by %d here: members are suspect or lag, or no primary is known\n", no, v.WidenedBy[no])
		}
	}
	return nil
}

// sortedMembers returns the members sorted by group and name.
func sortedMembers(v *fleet.CoordinationView, names map[uint64]string) []fleet.MemberView {
	return slices.SortedFunc(slices.Values(v.Members), func(x, y fleet.MemberView) int {
		return cmp.Or(cmp.Compare(x.Group, y.Group), strings.Compare(names[x.Key], names[y.Key]))
	})
}

type fleetTurns struct{ controlOptions }

// Run prints the turns and the health of members as other gateways report it.
func (t *fleetTurns) Run(out io.Writer) error {
	r, err := t.request(out, "GET", "chosen", nil)
	if err != nil || t.JSON {
		return err
	}
	return printTurns(out, r.Coordination, r.MemberNames)
}

// printTurns prints the state of each turn and each member's summary of the other gateways' reports.
func printTurns(out io.Writer, v *fleet.CoordinationView, names map[uint64]string) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	if len(v.Turns) > 0 {
		fmt.Fprintln(table, "turn\tround\there")
	}
	for _, t := range v.Turns {
		here := "waits for nothing"
		switch {
		case t.Running:
			here = "goes"
		case t.After >= 0:
			here = fmt.Sprintf("goes in %v unless another gateway does, batch %d", time.Duration(t.After).Round(time.Millisecond), t.Batch)
		}
		fmt.Fprintf(table, "%s\t%d\t%s\n", cmp.Or(names[t.Key], fmt.Sprintf("%x", t.Key)), t.Round, here)
	}
	fmt.Fprintln(table, "member\tothers find it\tlatency\tin flight\toldest word")
	for _, m := range sortedMembers(v, names) {
		summary, health := m.Summary, "-"
		if summary.HealthReports > 0 {
			health = fmt.Sprintf("unhealthy %d of %d", summary.UnhealthyReports, summary.HealthReports)
			if m.Unhealthy {
				health += ", so it is treated as unhealthy"
			}
		}
		latency := "-"
		if summary.Latency > 0 {
			latency = (time.Duration(summary.Latency) * time.Microsecond).Round(100 * time.Microsecond).String()
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%.1fs\n", names[m.Key], health, latency, summary.Load, float64(summary.OldestAge)/1e9)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(out, "%d messages sent to others so far\n", v.SentMessages)
	return err
}
