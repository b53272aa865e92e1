package rehearse

import (
	"fmt"
	"math"
	"runtime"
	"strings"
	"testing"

	"magpieglade/rehearse/audit"
	"magpieglade/standin"
)

func find(t testing.TB, name string) *Scenario {
	t.Helper()
	s, err := Find(name)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func simulated(t testing.TB, s *Scenario) *Report {
	t.Helper()
	r, err := Simulate(s, nil)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// Every built-in scenario meets its expectations, including the five rules where it expects them.
func TestBuiltInScenarios(t *testing.T) {
	for _, name := range BuiltinNames() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := simulated(t, find(t, name))
			worst, x := r.Service.WorstType()
			t.Logf("service %.3f, worst ten seconds %.3f, %s %.3f, %d events in %v", r.Service.Overall, r.Service.Worst10, worst, x, r.EventCount, r.Elapsed)
			for _, f := range r.FailedExpectations {
				t.Error(f)
			}
			for _, v := range r.Violations[:min(len(r.Violations), 3)] {
				t.Error(v.Rule, v.Description, "\n", strings.Join(v.History, "\n "))
			}
		})
	}
}

// The same seed gives the same trace, to the byte, on any number of processors; another seed another one.
func TestSameSeedSameTrace(t *testing.T) {
	s := find(t, "chance")
	s.Length = 30e9
	want := simulated(t, s).TraceHash
	before := runtime.GOMAXPROCS(1)
	one := simulated(t, s).TraceHash
	runtime.GOMAXPROCS(before)
	if again := simulated(t, s).TraceHash; one != want || again != want {
		t.Fatal(want, one, again)
	}
	s.Seed++
	if simulated(t, s).TraceHash == want {
		t.Fatal("another seed gives the same trace")
	}
}

// queueScenario is a single database without network delay, read with one txn type.
func queueScenario(cores int, load float64) *Scenario {
	g := DefaultGroup()
	g.Members, g.Cores, g.ThrashingThreshold, g.MaxConnections, g.HandshakeTime = 1, cores, 1_000_000, 1_000_000, 0
	cost := int64(10e6)
	return &Scenario{Name: "queue", Length: 200e9, Seed: 3, Gateways: 1, Zones: []string{"a"}, Groups: []GroupConfig{g},
		Network: NetworkConfig{IntraZoneLatency: 1, InterZoneLatency: 1}, Policy: PolicyDecide, Sessions: Brought,
		Types:   []TypeConfig{{Type: audit.Type{Name: "any", Effect: "repeatable", Consistency: "eventual", Value: 1, TargetLatency: 60e9, MaxWait: 100e9}, Cost: cost, Distribution: Exponential, Weight: 1}},
		Traffic: TrafficConfig{Rate: load * float64(cores) * 1e9 / float64(cost), Sessions: 1000}}
}

// The model of a database against closed formulas: the mean wait of M/M/1 and M/M/c (Erlang C).
func TestQueueFormulas(t *testing.T) {
	for _, x := range []struct {
		cores int
		load  float64
	}{{1, 0.5}, {1, 0.7}, {4, 0.7}, {4, 0.85}} {
		s := queueScenario(x.cores, x.load)
		w, err := newSimulation(s, nil)
		if err != nil {
			t.Fatal(err)
		}
		// Queries go to the database directly: the module's limits would queue them at the gateway.
		d := w.databases[0]
		w.clients.closed = true
		waited, n := 0.0, 0
		var arrive func()
		arrive = func() {
			w.After(int64(w.rng.ExpFloat64()/s.Traffic.Rate*1e9), func() {
				arrive()
				at := w.Now
				q := &query{gateway: w.gateways[0], cost: w.drawServiceTime(&s.Types[0])}
				q.baseCost = q.cost
				took := q.cost
				q.respond = func(reply) { waited, n = waited+float64(w.Now-at-took), n+1 }
				d.receive(q)
			})
		}
		arrive()
		w.run()
		c, a := float64(x.cores), x.load*float64(x.cores)
		sum, term := 0.0, 1.0
		for k := range x.cores {
			if k > 0 {
				term *= a / float64(k)
			}
			sum += term
		}
		last := term * a / c / (1 - x.load)
		erlang := last / (sum + last)
		want := erlang / (c * (1 - x.load)) * float64(s.Types[0].Cost)
		got := waited / float64(n)
		t.Logf("%d cores at %.2f: mean wait %.2f ms, by the formula %.2f ms, %d queries", x.cores, x.load, got/1e6, want/1e6, n)
		if math.Abs(got-want) > 0.1*want {
			t.Errorf("%d cores at %.2f: mean wait %.2f ms, by the formula %.2f ms", x.cores, x.load, got/1e6, want/1e6)
		}
	}
}

// A group that lost its primary accepts writes again after its detection time; a replica's apply falls behind when commits
// arrive faster than it applies them.
func TestGroupModel(t *testing.T) {
	s := find(t, "calm")
	s.Groups = []GroupConfig{DefaultGroup()}
	s.Faults = []Fault{{Kind: "crash", At: 5e9, Duration: 4e9, Member: "0.0"}}
	r := simulated(t, s)
	t.Logf("%v", r.LogLines)
	found := false
	for _, l := range r.LogLines {
		found = found || strings.Contains(l, "67000.0 ms  0.") && strings.Contains(l, "is the primary")
	}
	if !found {
		t.Error("no primary 2 s after the crash")
	}

	w, err := newSimulation(s, nil)
	if err != nil {
		t.Fatal(err)
	}
	c, replica := w.groups[0], w.databases[1]
	c.plan.ApplyTime, c.plan.ReplicationLag = 10e6, 5e6
	for i := range 100 { // a commit each 5 ms, each applied in 10 ms: the last is applied 1,000 ms after the first came
		w.Now = startTime + int64(i)*5e6
		c.log = append(c.log, commit{position: w.Now, session: 1, version: uint64(i + 1)})
	}
	w.Now = startTime + 5e6 + 999e6
	if v := replica.appliedPosition(); v >= c.log[99].position {
		t.Error("the last commit is applied too soon", v)
	}
	w.Now += 1e6
	if v := replica.appliedPosition(); v < c.log[99].position {
		t.Error("the last commit is applied too late", v)
	}
}

// The baselines show their weaknesses: without tokens reads are stale, with all reads on the primary a fleet serves less.
func TestBaselines(t *testing.T) {
	s := find(t, "slow-apply")
	s.Policy = PolicyLeastLoaded
	stale := 0
	for _, v := range simulated(t, s).Violations {
		if v.Rule == audit.RuleNoStaleRead {
			stale++
		}
	}
	if stale == 0 {
		t.Error("no stale read without tokens")
	}
	s = find(t, "slow-apply") // each gateway knows only its own writes
	s.Sessions = "own"
	stale = 0
	for _, v := range simulated(t, s).Violations {
		if v.Rule == audit.RuleNoStaleRead {
			stale++
		}
	}
	if stale == 0 {
		t.Error("no stale read where gateways tell one another nothing")
	}
	s = find(t, "jump")
	s.Policy = PolicyAllToPrimary
	main := simulated(t, s)
	s.Policy = PolicyDecide
	if ours := simulated(t, s); ours.Service.Overall <= main.Service.Overall {
		t.Error(ours.Service.Overall, main.Service.Overall)
	}
}

// A scenario of a thousand bad clients a second drives no fewer txns, and none of them is lost.
func TestBadClients(t *testing.T) {
	m := standin.NewGroup(0).NewMember("m", true)
	defer m.Kill()
	s := find(t, "bad-clients")
	s.Length, s.Traffic.BadClientRate = 2e9, 1000
	r, err := RunLoad(&Load{Scenario: s, Addresses: []string{m.Address()}}, nil)
	if err != nil || r.Service.Requested < 600 || len(r.Violations) > 0 || r.Service.Overall < 0.8 {
		t.Fatal(err, r.Service.Requested, r.Service.Overall, r.Violations)
	}
}

// An error in a file is reported with its location.
func TestParseErrors(t *testing.T) {
	for text, want := range map[string]string{
		"length = 5":                          "x.hcl:1:10: length is no span of at least 1s",
		"lenth = \"5s\"":                      "x.hcl:1:1: Unsupported argument",
		"gateways = 0":                        "x.hcl:1:12: gateways is out of range",
		"fault \"fire\" {\n}":                 "x.hcl:1:7: unknown fault \"fire\"",
		"fault \"crash\" {\n  at = \"1s\"\n}": "x.hcl:1:1: member is lacking",
		"fault \"lag\" {\n  at = \"1s\"\n  for = \"1s\"\n  lag = \"1s\"\n  member = \"0.9\"\n}": "x.hcl:5:12: there is no member 0.9",
		"fault \"cut\" {\n  at = \"1s\"\n  for = \"1s\"\n  zone = \"z\"\n}":                     "x.hcl:4:10: zone has the unknown value \"z\"",
		"type \"a\" {\n  need = \"lag_bound\"\n}":                                               "x.hcl:1:1: bound is lacking",
		"type \"a\" {\n  need = \"mutate\"\n}":                                                  "x.hcl:1:1: type \"a\": what changes data",
		"group {}\ngroup {\n  cold = \"3s\"\n}":                                                 "x.hcl:2:1: groups differ",
		"traffic {\n  jump {}\n}":                                                               "x.hcl:2:3: at is lacking",
		"traffic {}\ntraffic {}":                                                                "x.hcl:2:1: a second block of traffic",
		"random {\n  kinds = [\"x\"]\n}":                                                        "x.hcl:2:11: unknown fault \"x\"",
		"expect {\n  service = 2\n}":                                                            "x.hcl:2:13: service is out of range",
		"policy = \"luck\"":                                                                     "x.hcl:1:10: policy has the unknown value",
	} {
		if _, err := Parse([]byte(text), "x.hcl"); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, not %q", text, err, want)
		}
	}
}

// Parsing ends whatever the file holds, and what it accepts passes Validate.
func FuzzParse(f *testing.F) {
	for _, name := range BuiltinNames() {
		text, _ := BuiltinText(name)
		f.Add(string(text))
	}
	f.Fuzz(func(t *testing.T, text string) {
		if s, err := Parse([]byte(text), "x.hcl"); err == nil && s.Validate() != nil {
			t.Fatal(s.Validate())
		}
	})
}

// BenchmarkFleet measures events per second by fleet size.
func BenchmarkFleet(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 2000} {
		b.Run("gateways="+fmt.Sprint(n), func(b *testing.B) {
			for range b.N {
				s := find(b, "many-gateways")
				s.Gateways, s.Length = n, 5e9
				groups := max(1, n/4/4)
				s.Groups = nil
				for range groups {
					g := DefaultGroup()
					g.Members, g.MaxConnections = 4, 2*n
					s.Groups = append(s.Groups, g)
				}
				s.Traffic.Rate, s.Traffic.Bursts, s.Faults = 400*float64(groups), nil, nil
				r := simulated(b, s)
				var m runtime.MemStats
				runtime.ReadMemStats(&m)
				b.ReportMetric(float64(r.EventCount)/r.Elapsed.Seconds(), "events/s")
				b.ReportMetric(float64(s.Length)/1e9/r.Elapsed.Seconds(), "simulated_s/s")
				b.ReportMetric(float64(m.HeapAlloc)/1e6, "MB")
				b.ReportMetric(r.Service.Overall, "service")
				if len(r.Violations) > 0 {
					b.Error(r.Violations[0])
				}
			}
		})
	}
}
