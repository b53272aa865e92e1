package cli

import (
	"errors"
	"fmt"
	"strings"

	tea "github.com/charmbracelet/bubbletea"

	"magpieglade/agreement"
	"magpieglade/fleet"
	"magpieglade/quota"
)

// The live view of the fleet keeps the last state while the gateway does not respond, and ends on ctrl+c.
func Example_fleetScreen() {
	var m tea.Model = fleetScreen{control: "x"}
	show := func(msg tea.Msg) {
		m, _ = m.Update(msg)
		for _, line := range strings.Split(strings.TrimSpace(m.View()), "\n") {
			fmt.Println(strings.TrimRight(line, " "))
		}
	}
	v := &agreement.Version{No: 3, Author: "ann"}
	show(fleetSnapshot{status: &fleet.Status{Self: 1, IsVoter: true, Leader: 2, Term: 4, LeaseRemaining: 15e8, MaxDivergence: 3e9, Manifest: agreement.Manifest{
		Subjects: []agreement.SubjectStatus{{Name: "routes", InForce: v, Next: &agreement.Version{No: 4, Author: "bob"}}},
		Gateways: []agreement.Gateway{{ID: 1, Name: "n1", Address: "10.0.0.4:7946", Zone: "a", Vote: true}, {ID: 2, Name: "n2", Address: "10.0.0.5:7946", Vote: true}}},
		Leases: []agreement.GatewayLease{{ID: 1, Voter: 1, Remaining: 15e8}}}, limits: []fleet.LimitStatus{{Name: "portal, rate", Rate: true, Amount: 20000, Allocator: "n1", Allocation: 5000, Demand: 4000, LeaseRemaining: 2e9,
		Grants: []quota.Grant{{Holder: 1, Amount: 5000, Demand: 4000, Remaining: 3e9}}, HolderNames: []string{"n1"}}}})
	show(fleetSnapshot{err: errors.New("the gateway is gone")})
	_, end := m.Update(tea.KeyMsg{Type: tea.KeyCtrlC})
	fmt.Println(end() == tea.Quit())
	// Output:
	// lease [###############               ]
	// n1 may act for 1.5s; versions contradict each other for 3s at most
	// votes; n2 leads, term 4
	// routes: version 3 (000000000000) by ann, next version 4 (000000000000) by bob
	// gateway  address        zone  build  votes  lease  holds
	// n1       10.0.0.4:7946  a     -      true   1.5s   all
	// n2       10.0.0.5:7946  -     -      true   -      -
	//
	// bound         of    keeper  holder        part  used  wanted  for
	// portal, rate  20/s  n1      this gateway  5/s   -     4/s     2.0s
	// portal, rate  20/s  n1        n1          5/s   -     4/s     3.0s
	// portal, rate  20/s  n1        not lent    15/s
	// q ends
	// ! the gateway is gone
	// lease [###############               ]
	// n1 may act for 1.5s; versions contradict each other for 3s at most
	// votes; n2 leads, term 4
	// routes: version 3 (000000000000) by ann, next version 4 (000000000000) by bob
	// gateway  address        zone  build  votes  lease  holds
	// n1       10.0.0.4:7946  a     -      true   1.5s   all
	// n2       10.0.0.5:7946  -     -      true   -      -
	//
	// bound         of    keeper  holder        part  used  wanted  for
	// portal, rate  20/s  n1      this gateway  5/s   -     4/s     2.0s
	// portal, rate  20/s  n1        n1          5/s   -     4/s     3.0s
	// portal, rate  20/s  n1        not lent    15/s
	// q ends
	// true
}
