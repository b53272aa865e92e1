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

// measureCommands holds the commands that measure one part of the program.
type measureCommands struct {
	Sessions measureSessions `cmd:"" help:"Simulate sessions that move between gateways, and report what each policy costs."`
	Subsets  measureSubsets  `cmd:"" help:"Report how evenly subsets spread members by fleet size, and what moves when a gateway or member joins or leaves."`
}

type measureSubsets struct {
	Gateways     []int  `default:"10,100,300,1000,2000" help:"Fleet sizes."`
	Members      []int  `default:"12,120" help:"Group sizes."`
	Zones        int    `default:"3" help:"Number of zones."`
	MinMembers   int    `default:"4" name:"subset" help:"Minimum number of members of a group that a gateway has."`
	Connections  int    `default:"20" help:"Minimum number of gateways that a member has."`
	MinOtherZone int    `default:"1" name:"away" help:"Minimum number of a gateway's members in other zones."`
	Seed         uint64 `default:"1" help:"Seed of the random numbers."`
	Chart        string `type:"path" placeholder:"FILE" help:"Write a page with charts of load and moves by fleet size."`
	JSON         bool   `name:"json" help:"One line of JSON for each size."`
}

// Run measures each combination of group size and fleet size.
func (m *measureSubsets) Run(out io.Writer) error {
	config := subset.Config{MinMembers: m.MinMembers, Connections: m.Connections, MinOtherZone: m.MinOtherZone}
	if err := config.Validate(); err != nil {
		return err
	}
	if m.Zones < 1 || m.Zones > 26 {
		return errors.New("--zones must be from 1 to 26")
	}
	var all []rehearse.SubsetResult
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	if !m.JSON {
		fmt.Fprintln(table, "gateways\tmembers\tof a gateway\tof a member\tload\tJain's index\tin its zone\tmoved by a join\ta leave\ta member gone\tnext size\t")
	}
	for _, members := range m.Members {
		for _, gateways := range m.Gateways {
			if gateways < 1 || members < 1 {
				return errors.New("--gateways and --members must be at least 1")
			}
			result := rehearse.MeasureSubsets(rehearse.SubsetSize{Gateways: gateways, Members: members, Zones: m.Zones, Config: config, Seed: m.Seed})
			all = append(all, result)
			if m.JSON {
				if err := json.NewEncoder(out).Encode(result); err != nil {
					return err
				}
				continue
			}
			next := "-"
			if result.NextSizeAt > 0 {
				next = fmt.Sprintf("%d from %d on", result.NextSize, result.NextSizeAt)
			}
			fmt.Fprintf(table, "%d\t%d\t%d\t%d to %d\t%.2f to %.2f\t%.4f\t%.2f\t%.1f\t%.1f\t%.1f\t%s\t\n", gateways, members, result.Size, result.MinGateways, result.MaxGateways, result.MinLoad, result.MaxLoad, result.Jain, result.SameZoneFraction, result.MovedOnJoin, result.MovedOnLeave, result.MovedOnLoss, next)
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
	Gateways       []int           `default:"2,3,100" help:"Fleet sizes."`
	Roam           []float64       `default:"0,0.5,1" help:"Fractions of txns sent to another gateway than the session's own."`
	Loss           []float64       `default:"0,0.1,1" help:"Fractions of messages between gateways that are lost."`
	Lag            []time.Duration `default:"5ms,100ms,2s" help:"Replica lags."`
	Policy         []string        `default:"covered,fenced,own,sticky,primary" enum:"covered,fenced,own,sticky,primary" help:"Policies."`
	Rate           float64         `default:"100" help:"Txns a second at each gateway."`
	Duration       time.Duration   `default:"5s" name:"length" help:"Simulated duration of each run."`
	KillInterval   time.Duration   `name:"kill" help:"Interval at which one gateway after the other is killed and restarted."`
	MessagesPerTxn float64         `name:"budget" help:"Maximum number of messages between gateways per txn."`
	Seed           uint64          `default:"1" help:"Seed of the random numbers."`
	JSON           bool            `name:"json" help:"One line of JSON for each run."`
}

// Run simulates each combination. Policies that send no messages run with the first loss fraction only.
func (m *measureSessions) Run(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	if !m.JSON {
		fmt.Fprintln(table, "gateways\troam\tloss\tlag\tpolicy\treads\tstale\trefused\tfenced\tprimary\tp50\tp99\tmessages\tbytes\tmodule\t")
	}
	for _, gateways := range m.Gateways {
		for _, roam := range m.Roam {
			for _, loss := range m.Loss {
				for _, lag := range m.Lag {
					for _, policy := range m.Policy {
						if policy != "covered" && loss != m.Loss[0] {
							continue
						}
						config := rehearse.DefaultSessionConfig()
						config.Gateways, config.Roam, config.Loss, config.Lag, config.Policy = gateways, roam, loss, lag, rehearse.Policy(policy)
						config.Rate, config.Duration, config.KillInterval, config.Seed, config.MessagesPerTxn = m.Rate, m.Duration, m.KillInterval, m.Seed, m.MessagesPerTxn
						result, err := rehearse.SimulateSessions(config)
						if err != nil {
							return err
						}
						if m.JSON {
							if err := json.NewEncoder(out).Encode(result); err != nil {
								return err
							}
							continue
						}
						fmt.Fprintf(table, "%d\t%.2f\t%.2f\t%v\t%s\t%d\t%d\t%d\t%.3f\t%.3f\t%v\t%v\t%.2f\t%.0f\t%v\t\n", gateways, roam, loss, lag, policy,
							result.Reads, result.Stale, result.Refused, result.FencedFraction, result.PrimaryFraction, result.P50.Round(10*time.Microsecond), result.P99.Round(10*time.Microsecond), result.MessagesPerTxn, result.BytesPerTxn, result.ModuleTimePerTxn.Round(100*time.Nanosecond))
					}
				}
			}
		}
	}
	return table.Flush()
}
