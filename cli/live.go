package cli

import (
	"fmt"
	"os"
	"strings"
	"time"

	tea "github.com/charmbracelet/bubbletea"

	"magpieglade/rehearse"
)

// liveView shows the progress of a running scenario.
type liveView struct {
	scenario        *rehearse.Scenario
	latest          rehearse.Progress
	servedFractions []float64 // served of requested between two progress reports
	previous        rehearse.Progress
	finished        bool
}

// runFinished is the message that ends the view.
type runFinished struct{}

// Init implements tea.Model.
func (liveView) Init() tea.Cmd { return nil }

// Update implements tea.Model.
func (l liveView) Update(m tea.Msg) (tea.Model, tea.Cmd) {
	switch m := m.(type) {
	case rehearse.Progress:
		if asked := m.Requested - l.previous.Requested; asked > 0 {
			l.servedFractions = append(l.servedFractions, float64(m.Served-l.previous.Served)/float64(asked))
		}
		l.latest, l.previous = m, m
	case runFinished:
		l.finished = true
		return l, tea.Quit
	case tea.KeyMsg:
		if m.String() == "ctrl+c" || m.String() == "q" { // the scenario continues without the view
			return l, tea.Quit
		}
	}
	return l, nil
}

// View implements tea.Model. Bars are drawn with characters, so no colour is needed.
func (l liveView) View() string {
	var b strings.Builder
	done := 0.0
	if l.latest.Length > 0 {
		done = float64(l.latest.At) / float64(l.latest.Length)
	}
	left := time.Duration(l.scenario.Length - l.latest.At).Round(time.Second)
	fmt.Fprintf(&b, "%s  [%-40s] %v left\n%d asked, %d served\n", l.scenario.Name, strings.Repeat("#", int(40*min(1, done))), left, l.latest.Requested, l.latest.Served)
	for i := max(0, len(l.servedFractions)-10); i < len(l.servedFractions); i++ {
		fmt.Fprintf(&b, "%-40s %.3f\n", strings.Repeat("=", int(40*max(0, min(1, l.servedFractions[i])))), l.servedFractions[i])
	}
	for _, f := range l.scenario.Faults {
		if f.At <= l.latest.At && (f.Duration == 0 || l.latest.At < f.At+f.Duration) {
			fmt.Fprintf(&b, "! %s\n", f)
		}
	}
	return b.String()
}

// runWithLiveView runs a scenario with a live view; without a terminal it prints progress lines.
func runWithLiveView(s *rehearse.Scenario, run func(func(rehearse.Progress)) (*rehearse.Report, error)) (r *rehearse.Report, err error) {
	if info, e := os.Stderr.Stat(); e != nil || info.Mode()&os.ModeCharDevice == 0 {
		return run(progressPrinter(false))
	}
	view := tea.NewProgram(liveView{scenario: s}, tea.WithOutput(os.Stderr))
	done := make(chan struct{})
	go func() {
		defer close(done)
		r, err = run(func(p rehearse.Progress) { view.Send(p) })
		view.Send(runFinished{})
	}()
	if _, e := view.Run(); e != nil {
		fmt.Fprintln(os.Stderr, "live view failed:", e)
	}
	<-done
	return r, err
}
