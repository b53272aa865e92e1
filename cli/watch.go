package cli

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	tea "github.com/charmbracelet/bubbletea"

	"magpieglade/fleet"
	"magpieglade/internal/control"
)

// metrics prints what a gateway counts.
type metrics struct {
	Control string `help:"The gateway's control socket, as its operator's file has it." env:"EDGE_CONTROL" required:"" type:"path" predictor:"file"`
}

// Run prints it.
func (m *metrics) Run(out io.Writer) error {
	return control.Metrics(context.Background(), m.Control, out)
}

// screen is a view of the fleet as one gateway knows it, twice a second.
type screen struct {
	control string
	now     *fleet.Status
	shares  []fleet.LimitStatus
	chosen  *fleet.CoordinationView // nil where gateways choose nothing together
	names   map[uint64]string
	problem string
}

type looked struct {
	status *fleet.Status
	shares []fleet.LimitStatus
	chosen *fleet.CoordinationView
	names  map[uint64]string
	err    error
}

// look asks the gateway.
func (s screen) look() tea.Msg {
	r, err := control.Call(context.Background(), s.control, "GET", "fleet?all", nil)
	if err != nil {
		return looked{err: err}
	}
	x, err := control.Call(context.Background(), s.control, "GET", "shares", nil)
	c, _ := control.Call(context.Background(), s.control, "GET", "chosen", nil) // it has none where the file has no such block
	return looked{r.Fleet, x.Limits, c.Coordination, c.MemberNames, err}
}

// Init is for bubbletea.
func (s screen) Init() tea.Cmd { return s.look }

// Update is for bubbletea.
func (s screen) Update(m tea.Msg) (tea.Model, tea.Cmd) {
	switch m := m.(type) {
	case looked:
		if s.problem = ""; m.err != nil { // what was seen last stays
			s.problem = m.err.Error()
		} else {
			s.now, s.shares, s.chosen, s.names = m.status, m.shares, m.chosen, m.names
		}
		return s, tea.Tick(500*time.Millisecond, func(time.Time) tea.Msg { return s.look() })
	case tea.KeyMsg:
		if m.String() == "ctrl+c" || m.String() == "q" {
			return s, tea.Quit
		}
	}
	return s, nil
}

// View is for bubbletea. The bar is by characters: no colour is needed.
func (s screen) View() string {
	var b strings.Builder
	if s.problem != "" {
		fmt.Fprintf(&b, "! %s\n", s.problem)
	}
	if s.now != nil {
		part := min(1, max(0, float64(s.now.LeaseRemaining)/float64(max(1, s.now.MaxDivergence))))
		fmt.Fprintf(&b, "lease [%-30s]\n", strings.Repeat("#", int(30*part)))
		_ = fleetTo(&b, s.now)
		if len(s.shares) > 0 {
			b.WriteString("\n")
			_ = sharesTo(&b, s.shares)
		}
		if s.chosen != nil {
			b.WriteString("\n")
			if s.chosen.Subsets {
				_ = subsetsTo(&b, s.chosen, s.names)
				b.WriteString("\n")
			}
			_ = turnsTo(&b, s.chosen, s.names)
		}
	}
	b.WriteString("q ends\n")
	return b.String()
}

func (s *fleetStatus) watch(out io.Writer) error {
	_, err := tea.NewProgram(screen{control: s.Control}, tea.WithOutput(out)).Run()
	return err
}
