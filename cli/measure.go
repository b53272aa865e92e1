package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"magpieglade/rehearse"
)

type measure struct {
	Sessions measureSessions `cmd:"" help:"Play days of sessions that move between gateways, in simulated time, and say what each policy costs."`
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
						d := rehearse.DefaultSessionDay()
						d.Gateways, d.Roam, d.Loss, d.Lag, d.Policy = n, roam, loss, lag, rehearse.Policy(policy)
						d.Rate, d.Length, d.Kill, d.Seed, d.Budget = m.Rate, m.Length, m.Kill, m.Seed, m.Budget
						r, err := rehearse.PlaySessions(d)
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
							r.Reads, r.Stale, r.Refused, r.Fenced, r.Primary, r.P50.Round(10*time.Microsecond), r.P99.Round(10*time.Microsecond), r.Messages, r.Bytes, r.Module.Round(100*time.Nanosecond))
					}
				}
			}
		}
	}
	return table.Flush()
}
