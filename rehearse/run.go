package rehearse

import (
	"fmt"
	"slices"
	"time"

	"magpieglade/rehearse/audit"
)

func sortIDs(ids []uint64) { slices.Sort(ids) }

// Report is what came of a day.
type Report struct {
	Scenario           *Scenario
	Clock              string // "simulated" or "real"
	Service            audit.Service
	Violations         []audit.Violation
	Marks              []Mark
	Members            []MemberSummary // by member
	ReadFractions      map[string]float64
	EventCount         int    // of the simulation
	TraceHash          uint64 // the same for the same trace
	Elapsed            time.Duration
	LogLines           []string // what was said on the way
	UnsupportedFaults  []string // faults that this clock does not play
	FailedExpectations []string // expectations that were not met
}

// Place is what a member did.
type MemberSummary struct {
	Name                             string
	Reads, Writes, Repeats, Rejected int
	Utilization                      float64 // share of its cores, warm
}

// Simulate plays a scenario on a virtual clock.
func Simulate(s *Scenario, watch func(Progress)) (*Report, error) {
	start := time.Now()
	w, err := newWorld(s, watch)
	if err != nil {
		return nil, err
	}
	w.play()
	r := newReport(s, &w.log, begin, 10e6)
	r.Clock, r.EventCount, r.TraceHash, r.Marks, r.LogLines, r.Elapsed = "simulated", w.events, w.mark(), w.marks, w.lines, time.Since(start)
	return r, nil
}

// report works a log out; its times count from a start.
func newReport(s *Scenario, l *audit.Log, start, slack int64) *Report {
	t := s.auditConfig(slack)
	shifted := *l
	shifted.Attempts = slices.Clone(l.Attempts)
	for i := range shifted.Attempts {
		shifted.Attempts[i].DueAt -= start
	}
	shifted.Responses = slices.Clone(l.Responses)
	for i := range shifted.Responses {
		shifted.Responses[i].At -= start
	}
	r := &Report{Scenario: s, Service: audit.Measure(t, &shifted), Violations: audit.Check(t, l), ReadFractions: map[string]float64{}}
	for _, name := range l.Names {
		r.Members = append(r.Members, MemberSummary{Name: name})
	}
	reads := 0
	primary := map[int]bool{}
	for _, w := range l.Submissions {
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
		p.Utilization /= float64(s.Length) * float64(l.Cores[i])
		where := "replicas"
		if primary[i] {
			where = "members that wrote"
		}
		if reads > 0 {
			r.ReadFractions[where] += float64(p.Reads) / float64(reads)
		}
	}
	r.checkExpectations()
	return r
}

// expect names the expectations that were not met.
func (r *Report) checkExpectations() {
	e := &r.Scenario.Expect
	short := func(what string, got, want float64) {
		if want >= 0 && got < want {
			r.FailedExpectations = append(r.FailedExpectations, fmt.Sprintf("%s is %.3f, expected at least %.3f", what, got, want))
		}
	}
	short("service", r.Service.Overall, e.Service)
	short("the worst ten seconds' service", r.Service.Worst10, e.Worst10)
	name, worst := r.Service.WorstType()
	short("the service of "+name, worst, e.WorstType)
	if e.NoViolations && len(r.Violations) > 0 {
		r.FailedExpectations = append(r.FailedExpectations, fmt.Sprintf("%d broken rules", len(r.Violations)))
	}
}

// Difference is how far two reports of one scenario are apart.
type Difference struct {
	Measure              string
	First, Second, Delta float64
}

// Differences compares what both clocks tell: service, and each txn type's service and median in milliseconds.
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
