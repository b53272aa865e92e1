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

type rehearsal struct {
	Run   play          `cmd:"" default:"withargs" help:"Play a scenario and report: by the built-in one, with nothing configured."`
	List  listScenarios `cmd:"" help:"List the ready scenarios."`
	Show  showScenario  `cmd:"" help:"Print a ready scenario's file."`
	Check checkScenario `cmd:"" help:"Say what is wrong with a scenario's file; nothing and status 0 if it is good."`
}

type play struct {
	Scenario  string  `arg:"" default:"default" help:"A ready scenario's name, or a file that ends in .hcl." predictor:"file"`
	Real      bool    `help:"With processes of this program on loopback sockets, in real time." xor:"clock"`
	Simulated bool    `help:"On a virtual clock, in one process (as without a word)." xor:"clock"`
	Both      bool    `help:"On both, and how far their figures are apart." xor:"clock"`
	Watch     bool    `help:"A live view of a real day, on a terminal."`
	Seed      *uint64 `help:"Of chance, in the place of the scenario's."`
	Policy    string  `help:"How reads are placed, in the place of the scenario's: decide, \"all to primary\" or \"least loaded\"."`
	Out       string  `help:"A folder for report.html, CSV and lines of JSON." type:"path" placeholder:"FOLDER"`
	JSON      bool    `name:"json" help:"The figures as JSON."`
	Lines     bool    `help:"Also what was said on the way."`
}

// Run plays it; status 1 where it is not as expected.
func (p *play) Run(out io.Writer) error {
	s, err := rehearse.Find(p.Scenario)
	if err != nil {
		return err
	}
	if p.Seed != nil {
		s.Seed = *p.Seed
	}
	if p.Policy != "" {
		s.Policy = p.Policy
	}
	var r *rehearse.Report
	var simulated *rehearse.Report
	if !p.Real {
		if r, err = rehearse.Simulate(s, nil); err != nil {
			return err
		}
		simulated = r
	}
	if p.Real || p.Both {
		if r, err = p.inRealTime(s); err != nil {
			return err
		}
	}
	if p.Out != "" {
		if err := results.Write(p.Out, r); err != nil {
			return err
		}
	}
	if p.JSON {
		worst, x := r.Service.WorstType()
		err = json.NewEncoder(out).Encode(map[string]any{"scenario": s.Name, "clock": r.Clock, "seed": s.Seed, "policy": s.Policy, "service": r.Service.Overall,
			"worst10": r.Service.Worst10, "worst_type": worst, "worst_type_service": x, "broken": len(r.Violations), "failed": r.FailedExpectations,
			"mark": fmt.Sprintf("%016x", r.TraceHash), "asked": r.Service.Requested, "events": r.EventCount})
	} else {
		err = tell(out, r)
	}
	if err != nil {
		return err
	}
	if p.Both && !p.JSON {
		table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
		fmt.Fprintln(table, "\n\tsimulated\treal\tdifference\t")
		for _, d := range rehearse.Differences(simulated, r) {
			fmt.Fprintf(table, "%s\t%.3f\t%.3f\t%+.3f\t\n", d.Measure, d.First, d.Second, d.Delta)
		}
		if err := table.Flush(); err != nil {
			return err
		}
	}
	if p.Lines {
		for _, l := range r.LogLines {
			fmt.Fprintln(out, l)
		}
	}
	if p.Out != "" && !p.JSON {
		fmt.Fprintln(out, "report:", filepath.Join(p.Out, "report.html"))
	}
	if len(r.FailedExpectations) > 0 {
		return fmt.Errorf("%s is not as expected", s.Name)
	}
	return nil
}

// inRealTime plays it with processes of this program.
func (p *play) inRealTime(s *rehearse.Scenario) (r *rehearse.Report, err error) {
	program, err := os.Executable()
	if err != nil {
		return nil, err
	}
	if !p.Watch {
		return rehearse.RunReal(s, program, progress(p.JSON))
	}
	return watched(s, func(told func(rehearse.Progress)) (*rehearse.Report, error) {
		return rehearse.RunReal(s, program, told)
	})
}

// progress writes a line every few seconds of a real day.
func progress(quiet bool) func(rehearse.Progress) {
	return func(p rehearse.Progress) {
		if !quiet {
			fmt.Fprintf(os.Stderr, "%v of %v, %d asked, %d served\n", time.Duration(p.At).Round(time.Second), time.Duration(p.Length), p.Requested, p.Served)
		}
	}
}

// tell words a report.
func tell(out io.Writer, r *rehearse.Report) error {
	s := r.Scenario
	fmt.Fprintf(out, "%s: %s\n", s.Name, s.Description)
	fmt.Fprintf(out, "%s clock, seed %d, %d gateways, %d members, %v, played in %v\n\n", r.Clock, s.Seed, s.Gateways, len(r.Members),
		time.Duration(s.Length), r.Elapsed.Round(time.Millisecond))
	for _, m := range r.Marks {
		fmt.Fprintf(out, "%8v  %s", time.Duration(m.At), m.Text)
		if m.For > 0 {
			fmt.Fprintf(out, ", for %v", time.Duration(m.For))
		}
		fmt.Fprintln(out)
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "\ntype\tservice\tasked\tserved\tlate\tdeclined\trolled back\tunanswered\tp50\tp99\t")
	for i := range r.Service.Types {
		t := &r.Service.Types[i]
		fmt.Fprintf(table, "%s\t%.3f\t%d\t%d\t%.3f\t%d\t%d\t%d\t%v\t%v\t\n", t.Name, t.Service, t.Requested, t.Served, t.LateFraction, t.Declined, t.RolledBack,
			t.Unanswered, time.Duration(t.P50).Round(100*time.Microsecond), time.Duration(t.P99).Round(100*time.Microsecond))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	fmt.Fprintln(out)
	for _, rule := range audit.Rules {
		n := 0
		for _, v := range r.Violations {
			if v.Rule == rule {
				n++
			}
		}
		what := "kept"
		if n > 0 {
			what = fmt.Sprintf("broken %d times", n)
		}
		fmt.Fprintf(out, "%-28s %s\n", rule, what)
	}
	for _, v := range r.Violations[:min(3, len(r.Violations))] {
		fmt.Fprintf(out, "\n%s: %s\n", v.Rule, v.Description)
		for _, h := range v.History {
			fmt.Fprintln(out, "  ", h)
		}
	}
	worst, x := r.Service.WorstType()
	fmt.Fprintf(out, "\nservice %.3f, worst ten seconds %.3f, %s %.3f\n", r.Service.Overall, r.Service.Worst10, worst, x)
	for _, f := range r.UnsupportedFaults {
		fmt.Fprintln(out, "not played in real time:", f)
	}
	for _, f := range r.FailedExpectations {
		fmt.Fprintln(out, "not as expected:", f)
	}
	return nil
}

type listScenarios struct{}

// Run lists them.
func (*listScenarios) Run(out io.Writer) error {
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

type showScenario struct {
	Scenario string `arg:"" default:"default" help:"Its name."`
}

// Run prints it.
func (s *showScenario) Run(out io.Writer) error {
	text, err := rehearse.BuiltinText(s.Scenario)
	if err == nil {
		_, err = out.Write(text)
	}
	return err
}

type checkScenario struct {
	File string `arg:"" type:"existingfile" help:"The scenario's file." predictor:"file"`
}

// Run reads it.
func (c *checkScenario) Run() error {
	_, err := rehearse.Read(c.File)
	return err
}
