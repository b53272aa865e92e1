package routes

import (
	"fmt"
	"strings"
)

// Why two documents must not be in force at the same time; a difference that only orders or places txns is no reason.
func ExampleConflicts() {
	before := &Document{MaxInFlight: 100, Drained: []Member{{Name: "s1"}},
		Tenants: []Tenant{{Name: "portal", Rate: 20}, {Name: "old"}},
		Routes:  []Route{{Name: "reports", Types: []string{"my-report"}, Tenant: "portal", TargetLatency: 3e8}, {Name: "rest"}}}
	after := &Document{MaxInFlight: 100, Excluded: []Member{{Name: "s2"}},
		Tenants: []Tenant{{Name: "portal", Rate: 10}},
		Routes:  []Route{{Name: "reports", Types: []string{"my-report"}, Tenant: "portal", RunAs: "record", TargetLatency: 2e8}, {Name: "rest", Zones: []string{"a"}}}}
	fmt.Println(strings.Join(Conflicts(before, after), "\n"))
	placed := *before
	placed.Routes = []Route{before.Routes[0], {Name: "rest", Zones: []string{"a"}, RetryRatio: 0.1}}
	placed.LogLevel = "warn"
	fmt.Println(len(Conflicts(before, &placed)), len(Conflicts(nil, before)) > 0, len(Conflicts(nil, nil)))
	// Output:
	// a bound's sum: tenant portal, weight 0 in_flight 0 bytes 0 rate 20 burst 0 connections 0 and weight 0 in_flight 0 bytes 0 rate 10 burst 0 connections 0
	// tenant old is taken away
	// route reports: what it matches, or what its txns are run as, whose and where, is changed
	// an exclusion: of s2
	// a drain: of s1 is ended
	// 0 true 0
}
