package routes

import (
	"fmt"
	"strings"
)

// Why two documents must not be in force side by side; what only orders or places is none.
func ExampleClashes() {
	before := &Document{InFlight: 100, Drained: []Member{{Name: "s1"}},
		Tenants: []Tenant{{Name: "portal", Rate: 20}, {Name: "old"}},
		Routes:  []Route{{Name: "reports", Types: []string{"my-report"}, Tenant: "portal", Aim: 3e8}, {Name: "rest"}}}
	after := &Document{InFlight: 100, Excluded: []Member{{Name: "s2"}},
		Tenants: []Tenant{{Name: "portal", Rate: 10}},
		Routes:  []Route{{Name: "reports", Types: []string{"my-report"}, Tenant: "portal", Type: "record", Aim: 2e8}, {Name: "rest", Zones: []string{"a"}}}}
	fmt.Println(strings.Join(Clashes(before, after), "\n"))
	placed := *before
	placed.Routes = []Route{before.Routes[0], {Name: "rest", Zones: []string{"a"}, Retries: 0.1}}
	placed.Log = "warn"
	fmt.Println(len(Clashes(before, &placed)), len(Clashes(nil, before)) > 0, len(Clashes(nil, nil)))
	// Output:
	// a bound's sum: tenant portal, weight 0 in_flight 0 bytes 0 rate 20 burst 0 connections 0 and weight 0 in_flight 0 bytes 0 rate 10 burst 0 connections 0
	// tenant old is taken away
	// route reports: what it matches, or what its txns are run as, whose and where, is changed
	// an exclusion: of s2
	// a drain: of s1 is ended
	// 0 true 0
}
