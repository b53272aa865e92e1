package rehearse

import (
	"fmt"
	"math"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"magpieglade/standin"
)

// Runs the default scenario, shortened to twelve seconds, in the simulation and with real processes: neither may violate a
// rule, and their service may differ by at most 0.04.
func TestSimulatedAndRealRunsAgree(t *testing.T) {
	program := filepath.Join(t.TempDir(), "magpieglade")
	if out, err := exec.Command("go", "build", "-o", program, "magpieglade/cmd/magpieglade").CombinedOutput(); err != nil {
		t.Fatal(err, string(out))
	}
	s := find(t, "default")
	s.Length, s.Traffic.Rate = 12e9, 300
	for i := range s.Faults {
		s.Faults[i].At /= 3
		s.Faults[i].Duration /= 3
	}
	s.Groups[0].DetectionTime = 600e6
	simulated := simulated(t, s)
	real, err := RunReal(s, program, nil)
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range []*Report{simulated, real} {
		for _, v := range r.Violations {
			t.Error(r.Clock, v.Rule, v.Description, v.History)
		}
	}
	for _, d := range Differences(simulated, real) {
		t.Logf("%-28s %.3f %.3f %+.3f", d.Measure, d.First, d.Second, d.Delta)
	}
	if d := real.Service.Overall - simulated.Service.Overall; math.Abs(d) > 0.04 {
		t.Errorf("%s apart: %+.3f", s.Name, d)
	}
}

// Gateways that are partitioned from each other must go on serving their clients, and serve nothing stale, in the simulation
// and with real processes. The real gateways form their fleet through a proxied network.
func TestPartitionedGateways(t *testing.T) {
	program := filepath.Join(t.TempDir(), "magpieglade")
	if out, err := exec.Command("go", "build", "-o", program, "magpieglade/cmd/magpieglade").CombinedOutput(); err != nil {
		t.Fatal(err, string(out))
	}
	s := find(t, "gateways-apart")
	s.Length, s.Gateways, s.Traffic.Rate = 9e9, 4, 250
	s.Faults = []Fault{{Kind: "apart", At: 1e9, Duration: 3e9, Gateway: 3, Factor: 1}, {Kind: "halves", At: 5e9, Duration: 2e9, Factor: 1}, {Kind: "rough", At: 7e9, Duration: 1e9, Factor: 0.6}}
	fenced := simulated(t, s)
	real, err := RunReal(s, program, nil)
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range []*Report{fenced, real} {
		if len(r.Violations) > 0 || r.Service.Overall < 0.95 || len(r.UnsupportedFaults) > 0 {
			t.Errorf("%s: served %.3f, broken %v, not played %v", r.Clock, r.Service.Overall, r.Violations, r.UnsupportedFaults)
		}
	}
}

// RunLoad must send txns on schedule without waiting for responses, and measure latency from the scheduled time. The server
// handles one query at a time in 20 ms, so at 60 txns per second the queue and the latency grow.
func TestRunLoadIsOpenLoop(t *testing.T) {
	m := standin.NewGroup(0).NewMember("m", true)
	defer m.Kill()
	m.SetCapacity(1, func(string) time.Duration { return 20 * time.Millisecond })
	s := find(t, "calm")
	s.Length, s.Traffic.Rate, s.Traffic.Retry = 3e9, 60, false
	for i := range s.Types {
		s.Types[i].Weight, s.Types[i].MaxWait = 0, 30e9
	}
	s.Types[0].Weight = 1
	r, err := RunLoad(&Load{Scenario: s, Addresses: []string{m.Address()}}, nil)
	if err != nil {
		t.Fatal(err)
	}
	x := &r.Service.Types[0]
	t.Logf("%d asked, p50 %v, worst %v, sent late by %d us at the 99th percentile", x.Requested, time.Duration(x.P50), time.Duration(x.Max), r.SendDelay.ValueAtQuantile(99))
	// A closed loop would wait for each response and measure 20 ms.
	if x.Served != x.Requested || x.Requested < 100 || time.Duration(x.Max) < 300*time.Millisecond || len(r.Violations) > 0 {
		t.Fatalf("%+v %v", x, r.Violations)
	}
}

// BenchmarkRunLoad measures by how much RunLoad misses its schedule at several rates, against a server in the same process
// that responds at once.
func BenchmarkRunLoad(b *testing.B) {
	for _, rate := range []float64{1000, 4000, 8000, 16000, 32000} {
		b.Run(fmt.Sprint("rate=", rate), func(b *testing.B) {
			m := standin.NewGroup(0).NewMember("m", true)
			defer m.Kill()
			s := find(b, "calm")
			s.Length, s.Traffic.Rate, s.Traffic.Sessions = 3e9, rate, 10_000
			for range b.N {
				r, err := RunLoad(&Load{Scenario: s, Addresses: []string{m.Address()}}, nil)
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(r.SendDelay.ValueAtQuantile(50))/1000, "late_p50_ms")
				b.ReportMetric(float64(r.SendDelay.ValueAtQuantile(99))/1000, "late_p99_ms")
				b.ReportMetric(float64(r.Service.Requested)/3, "sent/s")
				b.ReportMetric(r.Service.Overall, "service")
			}
		})
	}
}
