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

type experiments struct {
	Run    experimentRun    `cmd:"" default:"withargs" help:"Play an experiment's days and say which variant does better; what was interrupted goes on."`
	Search experimentSearch `cmd:"" help:"Find the day of faults by chance on which a policy loses most, and shrink it."`
}

type experimentRun struct {
	File string `arg:"" type:"existingfile" help:"The experiment's file." predictor:"file"`
	Out  string `default:"experiment" type:"path" help:"A folder for runs.jsonl, verdicts.csv and verdicts.html."`
	JSON bool   `name:"json" help:"The verdicts as lines of JSON."`
}

// Run plays it.
func (e *experimentRun) Run(out io.Writer) error {
	p, err := experiment.Read(e.File)
	if err != nil {
		return err
	}
	runs, err := p.Execute(e.Out, days(e.JSON))
	if err != nil {
		return err
	}
	verdicts := p.Compare(runs)
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
		x := func(x float64) string { return fmt.Sprintf("%.4f", x) }
		_ = w.Write([]string{v.Scenario, v.ParameterValues, v.Variant, v.Measure, x(v.Mean), x(v.Baseline), x(v.Difference), x(v.Low), x(v.High), fmt.Sprint(v.Pairs), v.Conclusion})
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
	if err := results.Verdicts(page, p.Variants[0].Name, verdicts); err != nil {
		return err
	}
	return table.Flush()
}

// days tells on standard error how far an experiment is, every few seconds, with the time that is left by what it took.
func days(quiet bool) func(done, all int) {
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
		fmt.Fprintf(os.Stderr, "%d of %d days, %v left\n", done, all, left)
	}
}

type experimentSearch struct {
	Scenario string `arg:"" default:"calm" help:"Whose fleet and traffic." predictor:"file"`
	Policy   string `default:"decide" help:"That is to lose."`
	Against  string `help:"Another policy; without it the same day without faults."`
	Days     int    `default:"100" help:"So many are tried."`
	Seed     uint64 `default:"1" help:"Of chance."`
	Out      string `help:"A file for the shrunk day." type:"path" placeholder:"FILE"`
}

// Run searches.
func (e *experimentSearch) Run(out io.Writer) error {
	s, err := rehearse.Find(e.Scenario)
	if err != nil {
		return err
	}
	f, err := experiment.Search(s, e.Policy, e.Against, e.Days, e.Seed, days(false))
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "the worst of %d days loses %.3f with %d faults in %v; shrunk, %.3f with %d in %v (%d days played)\n", e.Days, f.Loss, len(f.Scenario.Faults),
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

type load struct {
	Address  []string      `arg:"" help:"Of gateways, as 10.0.0.4:5432; sessions are spread over them."`
	Scenario string        `default:"calm" help:"Whose txn types and traffic: a ready scenario's name, or a file." predictor:"file"`
	Rate     float64       `help:"First tries a second, in the place of the scenario's."`
	For      time.Duration `help:"In the place of the scenario's length."`
	Cluster  int           `help:"That all txns name."`
	JSON     bool          `name:"json" help:"The figures as JSON."`
}

// Run drives them.
func (l *load) Run(out io.Writer) error {
	s, err := rehearse.Find(l.Scenario)
	if err != nil {
		return err
	}
	for _, a := range l.Address {
		if _, err := netip.ParseAddrPort(a); err != nil {
			return fmt.Errorf("%q is no address with a port", a)
		}
	}
	if l.Rate > 0 {
		s.Traffic.Rate = l.Rate
	}
	if l.For > 0 {
		s.Length = int64(l.For)
	}
	r, err := rehearse.RunLoad(&rehearse.Load{Scenario: s, Addresses: l.Address, Group: l.Cluster, SessionPrefix: uint32(time.Now().Unix())}, progress(l.JSON))
	if err != nil {
		return err
	}
	late := func(q float64) float64 { return float64(r.SendDelay.ValueAtQuantile(q)) / 1000 }
	if l.JSON {
		return json.NewEncoder(out).Encode(map[string]any{"service": r.Service.Overall, "asked": r.Service.Requested, "tries": r.Service.Attempts, "broken": len(r.Violations),
			"late_p50_ms": late(50), "late_p99_ms": late(99), "errors": r.Errors})
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "type\tservice\tasked\tserved\tdeclined\trolled back\tunanswered\tp50\tp99\t")
	for i := range r.Service.Types {
		t := &r.Service.Types[i]
		fmt.Fprintf(table, "%s\t%.3f\t%d\t%d\t%d\t%d\t%d\t%v\t%v\t\n", t.Name, t.Service, t.Requested, t.Served, t.Declined, t.RolledBack, t.Unanswered,
			time.Duration(t.P50).Round(100*time.Microsecond), time.Duration(t.P99).Round(100*time.Microsecond))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(out, "service %.3f; %d txns in %v, sent %.1f ms late at the median, %.1f ms at the 99th percentile; %d broken rules of answers and reads\n", r.Service.Overall,
		r.Service.Requested, r.Elapsed.Round(time.Millisecond), late(50), late(99), len(r.Violations))
	for what, n := range r.Errors {
		fmt.Fprintf(out, "%6d  %s\n", n, what)
	}
	return nil
}
