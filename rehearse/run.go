package rehearse

import (
	"fmt"
	"slices"
	"time"

	"magpieglade/rehearse/audit"
)

func sortIDs(ids []uint64) { slices.Sort(ids) }

// Report holds the results of one run of a scenario.
type Report struct {
	Scenario           *Scenario
	Clock              string // "simulated" or "real"
	Service            audit.Service
	Violations         []audit.Violation
	Marks              []Incident
	Members            []MemberSummary // indexed by member
	ReadFractions      map[string]float64
	EventCount         int    // events that the simulation processed
	TraceHash          uint64 // hash of the trace: equal traces have equal hashes
	Elapsed            time.Duration
	LogLines           []string // log lines of the run
	UnsupportedFaults  []string // faults that were not injected, as this clock doesn't support them
	FailedExpectations []string // descriptions of the expectations that were not met
}

// MemberSummary counts the queries of one member.
type MemberSummary struct {
	Name                             string
	Reads, Writes, Repeats, Rejected int
	Utilization                      float64 // fraction of its core time, at warm service times
}

// Simulate runs a scenario on a virtual clock.
func Simulate(s *Scenario, watch func(Progress)) (*Report, error) {
	start := time.Now()
	w, err := newSimulation(s, watch)
	if err != nil {
		return nil, err
	}
	w.run()
	r := newReport(s, &w.log, startTime, 10e6)
	r.Clock, r.EventCount, r.TraceHash, r.Marks, r.LogLines, r.Elapsed = "simulated", w.events, w.traceHash(), w.incidents, w.logLines, time.Since(start)
	return r, nil
}

// newReport evaluates an audit log. Request and response times are shifted to be relative to start.
func newReport(s *Scenario, log *audit.Log, start, slack int64) *Report {
	config := s.auditConfig(slack)
	shifted := *log
	shifted.Attempts = slices.Clone(log.Attempts)
	for i := range shifted.Attempts {
		shifted.Attempts[i].DueAt -= start
	}
	shifted.Responses = slices.Clone(log.Responses)
	for i := range shifted.Responses {
		shifted.Responses[i].At -= start
	}
	r := &Report{Scenario: s, Service: audit.Measure(config, &shifted), Violations: audit.Check(config, log), ReadFractions: map[string]float64{}}
	for _, name := range log.Names {
		r.Members = append(r.Members, MemberSummary{Name: name})
	}
	reads := 0
	primary := map[int]bool{}
	for _, w := range log.Submissions {
		p := &r.Members[w.Member]
		switch w.Kind {
		case audit.Write:
			p.Writes++
			primary[w.Member] = true
		case audit.Repeat:
			p.Repeats++
		case audit.Read:
			p.Reads++
			reads++
		case audit.Rejected:
			p.Rejected++
		}
		if w.Kind != audit.Rejected {
			p.Utilization += float64(w.Cost)
		}
	}
	for i := range r.Members {
		p := &r.Members[i]
		p.Utilization /= float64(s.Length) * float64(log.Cores[i])
		role := "replicas"
		if primary[i] {
			role = "members that wrote"
		}
		if reads > 0 {
			r.ReadFractions[role] += float64(p.Reads) / float64(reads)
		}
	}
	r.checkExpectations()
	return r
}

// checkExpectations records the expectations that were not met.
func (r *Report) checkExpectations() {
	e := &r.Scenario.Expect
	checkMin := func(what string, got, want float64) {
		if want >= 0 && got < want {
			r.FailedExpectations = append(r.FailedExpectations, fmt.Sprintf("%s is %.3f, expected at least %.3f", what, got, want))
		}
	}
	checkMin("service", r.Service.Overall, e.Service)
	checkMin("the worst ten seconds' service", r.Service.Worst10, e.Worst10)
	name, worst := r.Service.WorstType()
	checkMin("the service of "+name, worst, e.WorstType)
	if e.NoViolations && len(r.Violations) > 0 {
		r.FailedExpectations = append(r.FailedExpectations, fmt.Sprintf("%d broken rules", len(r.Violations)))
	}
}

// Difference compares one measure of two reports of the same scenario; Delta is Second minus First.
type Difference struct {
	Measure              string
	First, Second, Delta float64
}

// Differences compares two reports by overall service, worst ten seconds, violations, and each txn type's service and
// median latency in milliseconds.
func Differences(one, other *Report) (all []Difference) {
	add := func(what string, a, b float64) { all = append(all, Difference{what, a, b, b - a}) }
	add("service", one.Service.Overall, other.Service.Overall)
	add("worst ten seconds", one.Service.Worst10, other.Service.Worst10)
	for i := range one.Service.Types {
		a, b := &one.Service.Types[i], &other.Service.Types[i]
		add(a.Name, a.Service, b.Service)
		add(a.Name+", median in ms", float64(a.P50)/1e6, float64(b.P50)/1e6)
	}
	add("broken rules", float64(len(one.Violations)), float64(len(other.Violations)))
	return all
}
