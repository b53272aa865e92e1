package cli

import (
	"encoding/csv"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"os"
	"path/filepath"
	"text/tabwriter"
	"time"

	"magpieglade/rehearse"
	"magpieglade/rehearse/experiment"
	"magpieglade/rehearse/results"
)

// experimentCommands holds the commands that run many scenarios.
type experimentCommands struct {
	Run    experimentRun    `cmd:"" default:"withargs" help:"Run an experiment and report which variant does better; an interrupted experiment is resumed."`
	Search experimentSearch `cmd:"" help:"Search random faults for those that cost a policy the most, and shrink the scenario found."`
}

type experimentRun struct {
	File string `arg:"" type:"existingfile" help:"The experiment file." predictor:"file"`
	Out  string `default:"experiment" type:"path" help:"Folder for runs.jsonl, verdicts.csv and verdicts.html."`
	JSON bool   `name:"json" help:"The verdicts as lines of JSON."`
}

// Run executes the experiment, and prints and writes its verdicts.
func (e *experimentRun) Run(out io.Writer) error {
	plan, err := experiment.Read(e.File)
	if err != nil {
		return err
	}
	runs, err := plan.Execute(e.Out, experimentProgress(e.JSON))
	if err != nil {
		return err
	}
	verdicts := plan.Compare(runs)
	file, err := os.Create(filepath.Join(e.Out, "verdicts.csv"))
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	w := csv.NewWriter(file)
	_ = w.Write([]string{"scenario", "parameters", "variant", "measure", "mean", "than", "difference", "low", "high", "pairs", "says"})
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	if !e.JSON {
		fmt.Fprintln(table, "scenario\tparameters\tvariant\tmeasure\tmean\tthan\tdifference\twithin\tsays")
	}
	for _, v := range verdicts {
		format := func(value float64) string { return fmt.Sprintf("%.4f", value) }
		_ = w.Write([]string{v.Scenario, v.ParameterValues, v.Variant, v.Measure, format(v.Mean), format(v.Baseline), format(v.Difference), format(v.Low), format(v.High), fmt.Sprint(v.Pairs), v.Conclusion})
		if e.JSON {
			if err := json.NewEncoder(out).Encode(v); err != nil {
				return err
			}
			continue
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%.3f\t%.3f\t%+.4f\t%+.4f to %+.4f\t%s\n", v.Scenario, v.ParameterValues, v.Variant, v.Measure, v.Mean, v.Baseline, v.Difference, v.Low, v.High, v.Conclusion)
	}
	w.Flush()
	if err := w.Error(); err != nil {
		return err
	}
	page, err := os.Create(filepath.Join(e.Out, "verdicts.html"))
	if err != nil {
		return err
	}
	defer func() { _ = page.Close() }()
	if err := results.Verdicts(page, plan.Variants[0].Name, verdicts); err != nil {
		return err
	}
	return table.Flush()
}

// experimentProgress returns a callback that prints the progress of an experiment to standard error, every two seconds at
// most and at the end, with the remaining time estimated from the mean time of the runs so far.
func experimentProgress(quiet bool) func(done, all int) {
	began, shown, first := time.Now(), time.Now(), -1
	return func(done, all int) {
		if first < 0 {
			first = done - 1
		}
		if quiet || time.Since(shown) < 2*time.Second && done < all {
			return
		}
		shown = time.Now()
		left := time.Duration(float64(time.Since(began)) / float64(done-first) * float64(all-done)).Round(time.Second)
		fmt.Fprintf(os.Stderr, "%d of %d runs, %v left\n", done, all, left)
	}
}

type experimentSearch struct {
	Scenario string `arg:"" default:"calm" help:"The scenario with the fleet and the traffic: a built-in name or a file." predictor:"file"`
	Policy   string `default:"decide" help:"The policy whose worst case is searched for."`
	Against  string `help:"Another policy to compare with; the default is the same scenario without faults."`
	Days     int    `default:"100" help:"Number of scenarios to try."`
	Seed     uint64 `default:"1" help:"Seed of the random numbers."`
	Out      string `help:"File for the shrunk scenario." type:"path" placeholder:"FILE"`
}

// Run searches, prints the worst scenario and writes its shrunk form to a file.
func (e *experimentSearch) Run(out io.Writer) error {
	s, err := rehearse.Find(e.Scenario)
	if err != nil {
		return err
	}
	f, err := experiment.Search(s, e.Policy, e.Against, e.Days, e.Seed, experimentProgress(false))
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "the worst of %d scenarios loses %.3f with %d faults in %v; shrunk, %.3f with %d in %v (%d scenarios run)\n", e.Days, f.Loss, len(f.Scenario.Faults),
		time.Duration(f.Scenario.Length).Round(time.Millisecond), f.ShrunkLoss, len(f.Shrunk.Faults), time.Duration(f.Shrunk.Length).Round(time.Millisecond), f.Evaluations)
	for _, x := range f.Shrunk.Faults {
		fmt.Fprintf(out, "%8v  %s, for %v\n", time.Duration(x.At).Round(time.Millisecond), x, time.Duration(x.Duration).Round(time.Millisecond))
	}
	if e.Out == "" {
		return nil
	}
	f.Shrunk.Expect = rehearse.Expectation{Service: -1, Worst10: -1, WorstType: -1, NoViolations: true}
	return os.WriteFile(e.Out, f.Shrunk.HCL(), 0o644)
}

type loadCommand struct {
	Address  []string      `arg:"" help:"Addresses of gateways, as 10.0.0.4:5432; sessions are spread over them."`
	Scenario string        `default:"calm" help:"The scenario with the txn types and the traffic: a built-in name or a file." predictor:"file"`
	Rate     float64       `help:"Requests a second without retries; overrides the scenario's rate."`
	Duration time.Duration `name:"for" help:"Duration of the load; overrides the scenario's length."`
	Cluster  int           `help:"The cluster that all txns name."`
	JSON     bool          `name:"json" help:"The figures as JSON."`
}

// Run sends the load and prints the service of each txn type.
func (l *loadCommand) Run(out io.Writer) error {
	scenario, err := rehearse.Find(l.Scenario)
	if err != nil {
		return err
	}
	for _, a := range l.Address {
		if _, err := netip.ParseAddrPort(a); err != nil {
			return fmt.Errorf("%q is not an address with a port", a)
		}
	}
	if l.Rate > 0 {
		scenario.Traffic.Rate = l.Rate
	}
	if l.Duration > 0 {
		scenario.Length = int64(l.Duration)
	}
	report, err := rehearse.RunLoad(&rehearse.Load{Scenario: scenario, Addresses: l.Address, Group: l.Cluster, SessionPrefix: uint32(time.Now().Unix())}, progressPrinter(l.JSON))
	if err != nil {
		return err
	}
	late := func(q float64) float64 { return float64(report.SendDelay.ValueAtQuantile(q)) / 1000 }
	if l.JSON {
		return json.NewEncoder(out).Encode(map[string]any{"service": report.Service.Overall, "asked": report.Service.Requested, "tries": report.Service.Attempts, "broken": len(report.Violations),
			"late_p50_ms": late(50), "late_p99_ms": late(99), "errors": report.Errors})
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "type\tservice\tasked\tserved\tdeclined\trolled back\tunanswered\tp50\tp99\t")
	for i := range report.Service.Types {
		t := &report.Service.Types[i]
		fmt.Fprintf(table, "%s\t%.3f\t%d\t%d\t%d\t%d\t%d\t%v\t%v\t\n", t.Name, t.Service, t.Requested, t.Served, t.Declined, t.RolledBack, t.Unanswered,
			time.Duration(t.P50).Round(100*time.Microsecond), time.Duration(t.P99).Round(100*time.Microsecond))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(out, "service %.3f; %d txns in %v, sent %.1f ms late at the median, %.1f ms at the 99th percentile; %d broken rules of answers and reads\n", report.Service.Overall,
		report.Service.Requested, report.Elapsed.Round(time.Millisecond), late(50), late(99), len(report.Violations))
	for what, n := range report.Errors {
		fmt.Fprintf(out, "%6d  %s\n", n, what)
	}
	return nil
}
