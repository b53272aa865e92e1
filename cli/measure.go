package cli

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"magpieglade/rehearse"
	"magpieglade/rehearse/results"
	"magpieglade/subset"
)

type measure struct {
	Sessions measureSessions `cmd:"" help:"Play days of sessions that move between gateways, in simulated time, and say what each policy costs."`
	Subsets  measureSubsets  `cmd:"" help:"Say how even subsets of members are by the size of a fleet, and what moves when one comes or goes."`
}

type measureSubsets struct {
	Gateways    []int  `default:"10,100,300,1000,2000" help:"Fleets."`
	Members     []int  `default:"12,120" help:"Members of a group."`
	Zones       int    `default:"3" help:"Zones."`
	Subset      int    `default:"4" help:"Members of a group that a gateway has at the least."`
	Connections int    `default:"20" help:"Gateways that a member has at the least."`
	Away        int    `default:"1" help:"Of a gateway's members those in other zones, at the least."`
	Seed        uint64 `default:"1" help:"Of chance."`
	Chart       string `type:"path" placeholder:"FILE" help:"Draw loads and moves against the size of the fleet, as a page."`
	JSON        bool   `name:"json" help:"A line of JSON for each size."`
}

// Run measures every combination.
func (m *measureSubsets) Run(out io.Writer) error {
	t := subset.Config{MinMembers: m.Subset, Connections: m.Connections, MinOtherZone: m.Away}
	if err := t.Validate(); err != nil {
		return err
	}
	if m.Zones < 1 || m.Zones > 26 {
		return errors.New("from 1 to 26 zones")
	}
	var all []rehearse.SubsetResult
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	if !m.JSON {
		fmt.Fprintln(table, "gateways\tmembers\tof a gateway\tof a member\tload\tJain's index\tin its zone\tmoved by a join\ta leave\ta member gone\tnext size\t")
	}
	for _, members := range m.Members {
		for _, n := range m.Gateways {
			if n < 1 || members < 1 {
				return errors.New("a fleet has a gateway and a member at the least")
			}
			r := rehearse.MeasureSubsets(rehearse.SubsetSize{Gateways: n, Members: members, Zones: m.Zones, Config: t, Seed: m.Seed})
			all = append(all, r)
			if m.JSON {
				if err := json.NewEncoder(out).Encode(r); err != nil {
					return err
				}
				continue
			}
			next := "-"
			if r.NextSizeAt > 0 {
				next = fmt.Sprintf("%d from %d on", r.NextSize, r.NextSizeAt)
			}
			fmt.Fprintf(table, "%d\t%d\t%d\t%d to %d\t%.2f to %.2f\t%.4f\t%.2f\t%.1f\t%.1f\t%.1f\t%s\t\n", n, members, r.Size, r.MinGateways, r.MaxGateways, r.MinLoad, r.MaxLoad, r.Jain, r.SameZoneFraction, r.MovedOnJoin, r.MovedOnLeave, r.MovedOnLoss, next)
		}
	}
	if err := table.Flush(); err != nil || m.Chart == "" {
		return err
	}
	var page bytes.Buffer
	if err := results.Subsets(&page, all); err != nil {
		return err
	}
	return os.WriteFile(m.Chart, page.Bytes(), 0o644)
}

type measureSessions struct {
	Gateways []int           `default:"2,3,100" help:"Fleets."`
	Roam     []float64       `default:"0,0.5,1" help:"Shares of txns at another gateway than the session's own."`
	Loss     []float64       `default:"0,0.1,1" help:"Shares of messages between gateways that are lost."`
	Lag      []time.Duration `default:"5ms,100ms,2s" help:"Lags of the replicas."`
	Policy   []string        `default:"covered,fenced,own,sticky,primary" enum:"covered,fenced,own,sticky,primary" help:"Policies."`
	Rate     float64         `default:"100" help:"Txns a second at each gateway."`
	Length   time.Duration   `default:"5s" help:"Simulated time of a day."`
	Kill     time.Duration   `help:"A gateway in turn is killed and started anew this often."`
	Budget   float64         `help:"Messages between gateways a txn."`
	Seed     uint64          `default:"1" help:"Of chance."`
	JSON     bool            `name:"json" help:"A line of JSON for each day."`
}

// Run plays every combination. Policies that send no messages are played once for all losses.
func (m *measureSessions) Run(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	if !m.JSON {
		fmt.Fprintln(table, "gateways\troam\tloss\tlag\tpolicy\treads\tstale\trefused\tfenced\tprimary\tp50\tp99\tmessages\tbytes\tmodule\t")
	}
	for _, n := range m.Gateways {
		for _, roam := range m.Roam {
			for _, loss := range m.Loss {
				for _, lag := range m.Lag {
					for _, policy := range m.Policy {
						if policy != "covered" && loss != m.Loss[0] {
							continue
						}
						d := rehearse.DefaultSessionConfig()
						d.Gateways, d.Roam, d.Loss, d.Lag, d.Policy = n, roam, loss, lag, rehearse.Policy(policy)
						d.Rate, d.Duration, d.KillInterval, d.Seed, d.MessagesPerTxn = m.Rate, m.Length, m.Kill, m.Seed, m.Budget
						r, err := rehearse.SimulateSessions(d)
						if err != nil {
							return err
						}
						if m.JSON {
							if err := json.NewEncoder(out).Encode(r); err != nil {
								return err
							}
							continue
						}
						fmt.Fprintf(table, "%d\t%.2f\t%.2f\t%v\t%s\t%d\t%d\t%d\t%.3f\t%.3f\t%v\t%v\t%.2f\t%.0f\t%v\t\n", n, roam, loss, lag, policy,
							r.Reads, r.Stale, r.Refused, r.FencedFraction, r.PrimaryFraction, r.P50.Round(10*time.Microsecond), r.P99.Round(10*time.Microsecond), r.MessagesPerTxn, r.BytesPerTxn, r.ModuleTimePerTxn.Round(100*time.Nanosecond))
					}
				}
			}
		}
	}
	return table.Flush()
}
