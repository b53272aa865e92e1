package cli

import (
	"fmt"
	"os"
	"strings"
	"time"

	tea "github.com/charmbracelet/bubbletea"

	"magpieglade/rehearse"
)

// live is a view of a day under way.
type live struct {
	s    *rehearse.Scenario
	at   rehearse.Progress
	past []float64 // served of asked, by report
	last rehearse.Progress
	over bool
}

type dayOver struct{}

// Init is for bubbletea.
func (live) Init() tea.Cmd { return nil }

// Update is for bubbletea.
func (l live) Update(m tea.Msg) (tea.Model, tea.Cmd) {
	switch m := m.(type) {
	case rehearse.Progress:
		if asked := m.Requested - l.last.Requested; asked > 0 {
			l.past = append(l.past, float64(m.Served-l.last.Served)/float64(asked))
		}
		l.at, l.last = m, m
	case dayOver:
		l.over = true
		return l, tea.Quit
	case tea.KeyMsg:
		if m.String() == "ctrl+c" || m.String() == "q" { // the day goes on, without a view
			return l, tea.Quit
		}
	}
	return l, nil
}

// View is for bubbletea. Bars are by characters: no colour is needed.
func (l live) View() string {
	var b strings.Builder
	done := 0.0
	if l.at.Length > 0 {
		done = float64(l.at.At) / float64(l.at.Length)
	}
	left := time.Duration(l.s.Length - l.at.At).Round(time.Second)
	fmt.Fprintf(&b, "%s  [%-40s] %v left\n%d asked, %d served\n", l.s.Name, strings.Repeat("#", int(40*min(1, done))), left, l.at.Requested, l.at.Served)
	for i := max(0, len(l.past)-10); i < len(l.past); i++ {
		fmt.Fprintf(&b, "%-40s %.3f\n", strings.Repeat("=", int(40*max(0, min(1, l.past[i])))), l.past[i])
	}
	for _, f := range l.s.Faults {
		if f.At <= l.at.At && (f.Duration == 0 || l.at.At < f.At+f.Duration) {
			fmt.Fprintf(&b, "! %s\n", f)
		}
	}
	return b.String()
}

// watched plays a day under a view; where there is no terminal it tells plain lines.
func watched(s *rehearse.Scenario, play func(func(rehearse.Progress)) (*rehearse.Report, error)) (r *rehearse.Report, err error) {
	if info, e := os.Stderr.Stat(); e != nil || info.Mode()&os.ModeCharDevice == 0 {
		return play(progress(false))
	}
	view := tea.NewProgram(live{s: s}, tea.WithOutput(os.Stderr))
	done := make(chan struct{})
	go func() {
		defer close(done)
		r, err = play(func(p rehearse.Progress) { view.Send(p) })
		view.Send(dayOver{})
	}()
	if _, e := view.Run(); e != nil {
		fmt.Fprintln(os.Stderr, "no view:", e)
	}
	<-done
	return r, err
}
