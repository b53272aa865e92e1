package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"text/tabwriter"
	"time"

	"magpieglade/rehearse"
	"magpieglade/rehearse/audit"
	"magpieglade/rehearse/results"
)

// rehearseCommands holds the commands on fault scenarios.
type rehearseCommands struct {
	Run   rehearseRun   `cmd:"" default:"withargs" help:"Run a scenario and report; the default is the built-in scenario, which needs no configuration."`
	List  rehearseList  `cmd:"" help:"List the built-in scenarios."`
	Show  rehearseShow  `cmd:"" help:"Print a built-in scenario's file."`
	Check rehearseCheck `cmd:"" help:"Validate a scenario file; prints nothing and exits with status 0 if it is valid."`
}

type rehearseRun struct {
	Scenario  string  `arg:"" default:"default" help:"A built-in scenario's name, or a file that ends in .hcl." predictor:"file"`
	Real      bool    `help:"Run processes of this program on loopback sockets, in real time." xor:"clock"`
	Simulated bool    `help:"Run on a virtual clock, in one process (the default)." xor:"clock"`
	Both      bool    `help:"Run both ways, and show the differences of the results." xor:"clock"`
	Watch     bool    `help:"Show a live view of a real-time run on a terminal."`
	Seed      *uint64 `help:"Seed of the random numbers; overrides the scenario's."`
	Policy    string  `help:"How reads are routed; overrides the scenario's: decide, \"all to primary\" or \"least loaded\"."`
	Out       string  `help:"Folder for report.html, CSV files and JSON lines." type:"path" placeholder:"FOLDER"`
	JSON      bool    `name:"json" help:"The figures as JSON."`
	LogLines  bool    `name:"lines" help:"Also print the log lines of the run."`
}

// Run executes the scenario and reports; status 1 if an expectation failed.
func (p *rehearseRun) Run(out io.Writer) error {
	scenario, err := rehearse.Find(p.Scenario)
	if err != nil {
		return err
	}
	if p.Seed != nil {
		scenario.Seed = *p.Seed
	}
	if p.Policy != "" {
		scenario.Policy = p.Policy
	}
	var report *rehearse.Report
	var simulated *rehearse.Report
	if !p.Real {
		if report, err = rehearse.Simulate(scenario, nil); err != nil {
			return err
		}
		simulated = report
	}
	if p.Real || p.Both {
		if report, err = p.runReal(scenario); err != nil {
			return err
		}
	}
	if p.Out != "" {
		if err := results.Write(p.Out, report); err != nil {
			return err
		}
	}
	if p.JSON {
		worst, service := report.Service.WorstType()
		err = json.NewEncoder(out).Encode(map[string]any{"scenario": scenario.Name, "clock": report.Clock, "seed": scenario.Seed, "policy": scenario.Policy, "service": report.Service.Overall,
			"worst10": report.Service.Worst10, "worst_type": worst, "worst_type_service": service, "broken": len(report.Violations), "failed": report.FailedExpectations,
			"mark": fmt.Sprintf("%016x", report.TraceHash), "asked": report.Service.Requested, "events": report.EventCount})
	} else {
		err = printReport(out, report)
	}
	if err != nil {
		return err
	}
	if p.Both && !p.JSON {
		table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
		fmt.Fprintln(table, "\n\tsimulated\treal\tdifference\t")
		for _, d := range rehearse.Differences(simulated, report) {
			fmt.Fprintf(table, "%s\t%.3f\t%.3f\t%+.3f\t\n", d.Measure, d.First, d.Second, d.Delta)
		}
		if err := table.Flush(); err != nil {
			return err
		}
	}
	if p.LogLines {
		for _, l := range report.LogLines {
			fmt.Fprintln(out, l)
		}
	}
	if p.Out != "" && !p.JSON {
		fmt.Fprintln(out, "report:", filepath.Join(p.Out, "report.html"))
	}
	if len(report.FailedExpectations) > 0 {
		return fmt.Errorf("%s is not as expected", scenario.Name)
	}
	return nil
}

// runReal runs the scenario in real time with processes of this program.
func (p *rehearseRun) runReal(s *rehearse.Scenario) (r *rehearse.Report, err error) {
	program, err := os.Executable()
	if err != nil {
		return nil, err
	}
	if !p.Watch {
		return rehearse.RunReal(s, program, progressPrinter(p.JSON))
	}
	return runWithLiveView(s, func(onProgress func(rehearse.Progress)) (*rehearse.Report, error) {
		return rehearse.RunReal(s, program, onProgress)
	})
}

// progressPrinter returns a callback that prints a line to standard error for each progress report of a real-time run.
func progressPrinter(quiet bool) func(rehearse.Progress) {
	return func(p rehearse.Progress) {
		if !quiet {
			fmt.Fprintf(os.Stderr, "%v of %v, %d asked, %d served\n", time.Duration(p.At).Round(time.Second), time.Duration(p.Length), p.Requested, p.Served)
		}
	}
}

// printReport prints a report as text.
func printReport(out io.Writer, report *rehearse.Report) error {
	scenario := report.Scenario
	fmt.Fprintf(out, "%s: %s\n", scenario.Name, scenario.Description)
	fmt.Fprintf(out, "%s clock, seed %d, %d gateways, %d members, %v, played in %v\n\n", report.Clock, scenario.Seed, scenario.Gateways, len(report.Members),
		time.Duration(scenario.Length), report.Elapsed.Round(time.Millisecond))
	for _, m := range report.Marks {
		fmt.Fprintf(out, "%8v  %s", time.Duration(m.At), m.Text)
		if m.For > 0 {
			fmt.Fprintf(out, ", for %v", time.Duration(m.For))
		}
		fmt.Fprintln(out)
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "\ntype\tservice\tasked\tserved\tlate\tdeclined\trolled back\tunanswered\tp50\tp99\t")
	for i := range report.Service.Types {
		t := &report.Service.Types[i]
		fmt.Fprintf(table, "%s\t%.3f\t%d\t%d\t%.3f\t%d\t%d\t%d\t%v\t%v\t\n", t.Name, t.Service, t.Requested, t.Served, t.LateFraction, t.Declined, t.RolledBack,
			t.Unanswered, time.Duration(t.P50).Round(100*time.Microsecond), time.Duration(t.P99).Round(100*time.Microsecond))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	fmt.Fprintln(out)
	for _, rule := range audit.Rules {
		n := 0
		for _, v := range report.Violations {
			if v.Rule == rule {
				n++
			}
		}
		result := "kept"
		if n > 0 {
			result = fmt.Sprintf("broken %d times", n)
		}
		fmt.Fprintf(out, "%-28s %s\n", rule, result)
	}
	for _, v := range report.Violations[:min(3, len(report.Violations))] {
		fmt.Fprintf(out, "\n%s: %s\n", v.Rule, v.Description)
		for _, h := range v.History {
			fmt.Fprintln(out, "  ", h)
		}
	}
	worst, worstService := report.Service.WorstType()
	fmt.Fprintf(out, "\nservice %.3f, worst ten seconds %.3f, %s %.3f\n", report.Service.Overall, report.Service.Worst10, worst, worstService)
	for _, f := range report.UnsupportedFaults {
		fmt.Fprintln(out, "not played in real time:", f)
	}
	for _, f := range report.FailedExpectations {
		fmt.Fprintln(out, "not as expected:", f)
	}
	return nil
}

type rehearseList struct{}

// Run lists the built-in scenarios with their descriptions.
func (*rehearseList) Run(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, name := range rehearse.BuiltinNames() {
		s, err := rehearse.Find(name)
		if err != nil {
			return err
		}
		fmt.Fprintf(table, "%s\t%s\n", name, s.Description)
	}
	return table.Flush()
}

type rehearseShow struct {
	Scenario string `arg:"" default:"default" help:"The scenario's name."`
}

// Run prints the scenario's file.
func (s *rehearseShow) Run(out io.Writer) error {
	text, err := rehearse.BuiltinText(s.Scenario)
	if err == nil {
		_, err = out.Write(text)
	}
	return err
}

type rehearseCheck struct {
	File string `arg:"" type:"existingfile" help:"The scenario file." predictor:"file"`
}

// Run validates the file.
func (c *rehearseCheck) Run() error {
	_, err := rehearse.Read(c.File)
	return err
}
