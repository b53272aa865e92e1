package agreement

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
)

// The files under testdata are reviewed by a person: operators' requests and their outcomes, what each gateway
// holds, when leases expire and return, who leads. `go test ./agreement -run Transcripts -update` regenerates them.
func TestTranscripts(t *testing.T) {
	ignore := func(o Outcome) {}
	cases := map[string]func(w *simulation){
		"calm": func(w *simulation) {
			w.nodes[3].proposeVersion("routes", 0, "first", []string{"a bound"}, ignore)
			w.run(3 * second)
			w.nodes[4].proposeVersion("routes", 1, "second", nil, ignore)
			w.run(2 * second)
			w.nodes[3].proposeVersion("routes", 2, "third", []string{"a drain"}, ignore)
			w.run(2 * second)
		},
		"leader-killed": func(w *simulation) {
			w.nodes[3].proposeVersion("routes", 0, "first", []string{"a bound"}, ignore)
			p := w.leader()
			w.until(second, func() bool { return w.agreedAt["routes1"] > 0 })
			p.kill()
			w.run(8 * second)
			p.start(false)
			w.record("%s is restarted", p.name)
			w.run(5 * second)
		},
		"cut": func(w *simulation) {
			w.record("g4 and g5 are cut off from the others")
			w.blocked = func(from, to *process) bool { return (from.name >= "g4") != (to.name >= "g4") }
			w.nodes[0].proposeVersion("routes", 0, "of the many", []string{"a tenant moved"}, ignore)
			w.nodes[3].proposeVersion("routes", 0, "of the few", []string{"a tenant moved"}, ignore)
			w.run(9 * second)
			w.record("the partition is healed")
			w.blocked = func(_, _ *process) bool { return false }
			w.run(4 * second)
			w.nodes[3].proposeVersion("routes", 0, "of the few", []string{"a tenant moved"}, ignore)
			w.run(2 * second)
		},
		"stopped": func(w *simulation) {
			w.nodes[0].proposeVersion("routes", 0, "first", []string{"a bound"}, ignore)
			w.run(3 * second)
			w.record("g5 is paused")
			w.nodes[4].pause(true)
			w.run(second)
			w.nodes[0].proposeVersion("routes", 1, "second", []string{"a drain"}, ignore)
			w.run(6 * second)
			w.record("g5 resumes")
			w.nodes[4].pause(false)
			w.run(second)
		},
		"two-operators": func(w *simulation) {
			w.nodes[3].proposeVersion("routes", 0, "of one", []string{"a bound"}, ignore)
			w.nodes[4].proposeVersion("routes", 0, "of the other", []string{"a bound"}, ignore)
			w.run(10 * second)
		},
		"steps": func(w *simulation) {
			w.canaryFraction = 0.4
			w.nodes[4].proposeVersion("routes", 0, "tried", nil, ignore)
			w.run(4 * second)
			w.nodes[3].proposeVersion("routes", 1, "tried and dropped", nil, ignore)
			w.run(second / 10)
			w.nodes[3].propose(Proposal{Abort: &Abort{"routes", 2, "health worsened"}}, "", 5*second, func(o Outcome) { w.record("outcome for g4: %+v", o) })
			w.run(2 * second)
			w.nodes[3].proposeVersion("routes", 2, "another", []string{"a bound"}, ignore)
			w.run(2 * second)
		},
		"new-voter": func(w *simulation) {
			w.nodes[3].propose(Proposal{VoterChange: &VoterChange{w.nodes[3].id, true}}, "", 5*second, func(o Outcome) { w.record("outcome for g4: %+v", o) })
			w.run(4 * second)
			w.nodes[3].propose(Proposal{VoterChange: &VoterChange{w.nodes[1].id, false}}, "", 5*second, func(o Outcome) { w.record("outcome for g4: %+v", o) })
			w.run(4 * second)
			w.record("voters: g2 %v, g4 %v", w.nodes[1].a.voter.isVoter(), w.nodes[3].a.voter.isVoter())
		},
	}
	for name, run := range cases {
		t.Run(name, func(t *testing.T) {
			w := newSimulation(t, 7, 5)
			w.bootstrap(3)
			w.run(3 * second)
			w.trace, w.leases = true, map[string]bool{}
			startedAt := w.Now
			run(w)
			for i, line := range w.transcript {
				at := 0.0
				_, _ = fmt.Sscanf(line, "%f", &at)
				w.transcript[i] = fmt.Sprintf("%7.3f%s", at-float64(startedAt-second)/1e9, line[7:])
			}
			goldie.New(t, goldie.WithNameSuffix(".txt")).Assert(t, name, []byte(strings.Join(w.transcript, "\n")+"\n"))
		})
	}
}

// Time without a leader after the leader is killed. Run by hand: -bench Election -benchtime 1x.
func BenchmarkElection(b *testing.B) {
	var electionTimes, allLeasedTimes []int64
	for seed := range uint64(300) {
		w := newSimulation(b, seed, 5)
		w.bootstrap(3)
		w.run(3*second + int64(seed)*7e6)
		p, killedAt := w.leader(), w.Now
		p.kill()
		w.until(20*second, func() bool { return w.leader() != nil })
		electionTimes = append(electionTimes, w.Now-killedAt)
		w.until(20*second, func() bool { return w.countLeased() == 4 })
		allLeasedTimes = append(allLeasedTimes, w.Now-killedAt)
	}
	slices.Sort(electionTimes)
	slices.Sort(allLeasedTimes)
	for percentile, index := range map[string]int{"p50": 150, "p99": 297} {
		b.ReportMetric(float64(electionTimes[index])/1e6, percentile+"-leader-ms")
		b.ReportMetric(float64(allLeasedTimes[index])/1e6, percentile+"-all-act-ms")
	}
}

// Messages per gateway, and the time that a change takes. Run by hand: -bench Fleet -benchtime 1x.
func BenchmarkFleet(b *testing.B) {
	for _, n := range []int{5, 300, 1000, 2000} {
		for _, down := range []int{0, 1, n / 5} {
			b.Run(fmt.Sprintf("%d gateways, %d away", n, down), func(b *testing.B) {
				for range b.N {
					w := newSimulation(b, 1, n)
					w.bootstrap(3)
					b.ReportMetric(float64(w.Now-second)/1e6, "ms/found")
					w.run(5 * second)
					for _, p := range w.nodes[n-down:] {
						p.pause(true)
					}
					w.run(5 * second)
					sent, bytes := w.sent, w.bytes
					w.run(10 * second)
					b.ReportMetric(float64(w.sent-sent)/10/float64(n), "messages/gateway/s")
					b.ReportMetric(float64(w.bytes-bytes)/10/float64(n), "B/gateway/s")
					for no := range uint64(2) { // the second is the one that matters, as the first has no predecessor to contradict
						startedAt := w.Now
						w.nodes[0].proposeVersion("routes", no, strings.Repeat(fmt.Sprint("text ", no), 1000), []string{"a bound"}, nil)
						w.until(20*second, func() bool { return w.countInForce("routes", no+1) == n-down })
						b.ReportMetric(float64(w.Now-startedAt)/1e6, "ms/change")
						w.run(5 * second)
					}
				}
			})
		}
	}
}
