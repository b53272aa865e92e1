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

// metricsCommand prints a gateway's metrics.
type metricsCommand struct {
	Control string `help:"The gateway's control socket, as set in its operator file." env:"EDGE_CONTROL" required:"" type:"path" predictor:"file"`
}

// Run prints the metrics in the Prometheus text format.
func (m *metricsCommand) Run(out io.Writer) error {
	return control.Metrics(context.Background(), m.Control, out)
}

// fleetScreen is a live view of the fleet as one gateway knows it, refreshed twice a second.
type fleetScreen struct {
	control      string
	status       *fleet.Status
	limits       []fleet.LimitStatus
	coordination *fleet.CoordinationView // nil where the gateways don't coordinate
	names        map[uint64]string
	problem      string
}

// fleetSnapshot holds the replies of a gateway at one time, or the error of the request.
type fleetSnapshot struct {
	status       *fleet.Status
	limits       []fleet.LimitStatus
	coordination *fleet.CoordinationView
	names        map[uint64]string
	err          error
}

// fetch requests the state of the fleet from the gateway.
func (s fleetScreen) fetch() tea.Msg {
	r, err := control.Call(context.Background(), s.control, "GET", "fleet?all", nil)
	if err != nil {
		return fleetSnapshot{err: err}
	}
	limits, err := control.Call(context.Background(), s.control, "GET", "shares", nil)
	coordination, _ := control.Call(context.Background(), s.control, "GET", "chosen", nil) // fails where the operator file has no coordination block
	return fleetSnapshot{r.Fleet, limits.Limits, coordination.Coordination, coordination.MemberNames, err}
}

// Init implements tea.Model.
func (s fleetScreen) Init() tea.Cmd { return s.fetch }

// Update implements tea.Model.
func (s fleetScreen) Update(m tea.Msg) (tea.Model, tea.Cmd) {
	switch m := m.(type) {
	case fleetSnapshot:
		if s.problem = ""; m.err != nil { // the last state stays on the screen
			s.problem = m.err.Error()
		} else {
			s.status, s.limits, s.coordination, s.names = m.status, m.limits, m.coordination, m.names
		}
		return s, tea.Tick(500*time.Millisecond, func(time.Time) tea.Msg { return s.fetch() })
	case tea.KeyMsg:
		if m.String() == "ctrl+c" || m.String() == "q" {
			return s, tea.Quit
		}
	}
	return s, nil
}

// View implements tea.Model. The bar is drawn with characters, so no colour is needed.
func (s fleetScreen) View() string {
	var b strings.Builder
	if s.problem != "" {
		fmt.Fprintf(&b, "! %s\n", s.problem)
	}
	if s.status != nil {
		leaseFraction := min(1, max(0, float64(s.status.LeaseRemaining)/float64(max(1, s.status.MaxDivergence))))
		fmt.Fprintf(&b, "lease [%-30s]\n", strings.Repeat("#", int(30*leaseFraction)))
		_ = printFleetStatus(&b, s.status)
		if len(s.limits) > 0 {
			b.WriteString("\n")
			_ = printLimits(&b, s.limits)
		}
		if s.coordination != nil {
			b.WriteString("\n")
			if s.coordination.Subsets {
				_ = printSubsets(&b, s.coordination, s.names)
				b.WriteString("\n")
			}
			_ = printTurns(&b, s.coordination, s.names)
		}
	}
	b.WriteString("q ends\n")
	return b.String()
}

// watch shows the live view until the user ends it.
func (s *fleetStatus) watch(out io.Writer) error {
	_, err := tea.NewProgram(fleetScreen{control: s.Control}, tea.WithOutput(out)).Run()
	return err
}
