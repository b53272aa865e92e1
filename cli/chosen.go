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

type subsets struct{ socket }

// Run tells of them.
func (s *subsets) Run(out io.Writer) error {
	r, err := s.ask(out, "GET", "chosen", nil)
	if err != nil || s.JSON {
		return err
	}
	return subsetsTo(out, r.Coordination, r.MemberNames)
}

// subsetsTo writes who has which member; a bar of twenty is the mean of its group.
func subsetsTo(out io.Writer, v *fleet.CoordinationView, names map[uint64]string) error {
	if !v.Subsets {
		_, err := fmt.Fprintln(out, "each gateway has every member: subset = 4 in the block coordination gives each some")
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
	for _, m := range inOrder(v, names) {
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
		who := m.Holders
		if more := len(who) - 6; more > 0 {
			who = append(slices.Clone(who[:6]), fmt.Sprintf("and %d more", more))
		}
		fmt.Fprintf(table, "%d\t%s\t%s\t%s\t%d\t%s\t%s\t%s\n", m.Group, names[m.Key], cmp.Or(m.Zone, "-"), here, len(m.Holders), bar, load, strings.Join(who, " "))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for no := range v.Size {
		if v.WidenedBy[no] > 0 {
			fmt.Fprintf(out, "group %d: wider by %d here, as members are suspect, lag or no primary is known\n", no, v.WidenedBy[no])
		}
	}
	return nil
}

// inOrder are the members by group and name.
func inOrder(v *fleet.CoordinationView, names map[uint64]string) []fleet.MemberView {
	return slices.SortedFunc(slices.Values(v.Members), func(x, y fleet.MemberView) int {
		return cmp.Or(cmp.Compare(x.Group, y.Group), strings.Compare(names[x.Key], names[y.Key]))
	})
}

type turnsNow struct{ socket }

// Run tells of them.
func (t *turnsNow) Run(out io.Writer) error {
	r, err := t.ask(out, "GET", "chosen", nil)
	if err != nil || t.JSON {
		return err
	}
	return turnsTo(out, r.Coordination, r.MemberNames)
}

func turnsTo(out io.Writer, v *fleet.CoordinationView, names map[uint64]string) error {
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
			here = fmt.Sprintf("goes in %v if nobody does, lot %d", time.Duration(t.After).Round(time.Millisecond), t.Batch)
		}
		fmt.Fprintf(table, "%s\t%d\t%s\n", cmp.Or(names[t.Key], fmt.Sprintf("%x", t.Key)), t.Round, here)
	}
	fmt.Fprintln(table, "member\tothers find it\tlatency\tin flight\toldest word")
	for _, m := range inOrder(v, names) {
		k, found := m.Summary, "-"
		if k.HealthReports > 0 {
			found = fmt.Sprintf("ill %d of %d", k.UnhealthyReports, k.HealthReports)
			if m.Unhealthy {
				found += ", so it is taken for ill"
			}
		}
		latency := "-"
		if k.Latency > 0 {
			latency = (time.Duration(k.Latency) * time.Microsecond).Round(100 * time.Microsecond).String()
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%.1fs\n", names[m.Key], found, latency, k.Load, float64(k.OldestAge)/1e9)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(out, "%d messages sent to others so far\n", v.SentMessages)
	return err
}
