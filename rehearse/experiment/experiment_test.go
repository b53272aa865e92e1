package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"magpieglade/rehearse"
)

func smallScenario(t testing.TB, name string) *rehearse.Scenario {
	t.Helper()
	s, err := rehearse.Find(name)
	if err != nil {
		t.Fatal(err)
	}
	s.Length, s.Traffic.Rate = 8e9, 150
	return s
}

// Each built-in scenario, encoded as HCL and parsed again, must be equal to the original, so that another build that reads
// the file simulates the same.
func TestHCLRoundTrip(t *testing.T) {
	for _, name := range rehearse.BuiltinNames() {
		s, err := rehearse.Find(name)
		if err != nil {
			t.Fatal(err)
		}
		again, err := rehearse.Parse(s.HCL(), name+".hcl")
		if err != nil || !reflect.DeepEqual(s, again) {
			t.Fatalf("%s: %v\n%+v\n%+v", name, err, s, again)
		}
	}
}

// Compare must report a worse policy as worse and an identical one as indistinguishable. An experiment whose file was cut in
// the middle of a line must resume to the same result without repeating the runs on complete lines.
func TestCompareAndResume(t *testing.T) {
	p := &Plan{Scenarios: []*rehearse.Scenario{smallScenario(t, "jump")}, Seeds: 6,
		Variants:   []Variant{{Name: "ours"}, {Name: "same", Policy: rehearse.PolicyDecide}, {Name: "main", Policy: rehearse.PolicyAllToPrimary}},
		Parameters: []Parameter{{"rate", []float64{300, 900}}, {"cores", []float64{1}}}}
	p.Scenarios[0].Traffic.Bursts = nil
	folder := t.TempDir()
	want, err := p.Execute(folder, nil)
	if err != nil {
		t.Fatal(err)
	}
	says := map[string]string{}
	for _, v := range p.Compare(want) {
		says[v.ParameterValues+v.Variant+" "+v.Measure] = v.Conclusion
	}
	if says["rate=900 cores=1 main service"] != "worse" || says["rate=900 cores=1 same service"] != "can't tell" {
		t.Fatal(says)
	}
	path := filepath.Join(folder, "runs.jsonl")
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, text[:len(text)*2/3], 0o600); err != nil {
		t.Fatal(err)
	}
	before := strings.Count(string(text[:len(text)*2/3]), "\n")
	played := 0
	got, err := p.Execute(folder, func(int, int) { played++ })
	if err != nil || !reflect.DeepEqual(got, want) || played != len(want)-before {
		t.Fatal(err, played, len(want), before, reflect.DeepEqual(got, want))
	}
}

// The 95% interval must contain the true mean in about 95% of 200 samples, and be infinite for fewer than five values.
func TestBootstrap(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	held := 0
	for i := range 200 {
		var all []float64
		for range 30 {
			all = append(all, 5+rng.NormFloat64())
		}
		if _, low, high := Bootstrap(all, uint64(i)); low <= 5 && 5 <= high {
			held++
		}
	}
	if held < 180 || held > 198 {
		t.Error(held, "of 200")
	}
	if _, low, high := Bootstrap([]float64{1, 1, 1}, 1); !math.IsInf(low, -1) || !math.IsInf(high, 1) {
		t.Error(low, high)
	}
}

// The shrunk scenario of a search must be no longer than the one found, have no more faults, be smaller in one of the two,
// and still show the loss. The same seed must find the same scenario.
func TestSearch(t *testing.T) {
	s := smallScenario(t, "calm")
	s.Length = 15e9
	f, err := Search(s, rehearse.PolicyDecide, "", 12, 1, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("loss %.3f with %d faults in %v ns, shrunk to %.3f with %d faults in %v ns, %d evaluations", f.Loss, len(f.Scenario.Faults), f.Scenario.Length, f.ShrunkLoss, len(f.Shrunk.Faults), f.Shrunk.Length, f.Evaluations)
	if f.Loss <= 0 || f.ShrunkLoss < minRemainingLossFraction*f.Loss || len(f.Shrunk.Faults) > len(f.Scenario.Faults) || f.Shrunk.Length > f.Scenario.Length ||
		len(f.Shrunk.Faults) == len(f.Scenario.Faults) && f.Shrunk.Length == f.Scenario.Length {
		t.Fatalf("%+v", f)
	}
	again, err := Search(s, rehearse.PolicyDecide, "", 12, 1, nil)
	if err != nil || !reflect.DeepEqual(again, f) {
		t.Fatal("a second search with the same seed found another scenario")
	}
}

// Errors in an experiment file carry the file position.
func Example_wrong() {
	dir, _ := os.MkdirTemp("", "x")
	defer func() { _ = os.RemoveAll(dir) }()
	path := filepath.Join(dir, "e.hcl")
	for _, text := range []string{
		"scenarios = [\"calm\"]\nseeds = 3\nvariant \"a\" {}\nvariant \"b\" {\n  policy = \"luck\"\n}",
		"scenarios = [\"nowhere\"]\nseeds = 3\nvariant \"a\" {}",
		"scenarios = [\"calm\"]\nseeds = 0\nvariant \"a\" {}",
		"scenarios = [\"calm\"]\nseeds = 1\nvariant \"a\" {}\nparameter \"x\" {\n  values = [1]\n}",
		"scenarios = [\"calm\"]\nsedes = 1",
	} {
		_ = os.WriteFile(path, []byte(text), 0o600)
		_, err := Read(path)
		said, _, _ := strings.Cut(strings.ReplaceAll(fmt.Sprint(err), dir+"/", ""), ": it is one of")
		fmt.Println(said)
	}
	// Output:
	// e.hcl:4:1: variant "b": unknown policy "luck"
	// there is no ready scenario "nowhere"
	// e.hcl: an experiment needs scenarios, seeds and variants
	// e.hcl:4:1: parameter "x" is unknown or has no values
	// e.hcl:1:1: Missing required argument: The argument "seeds" is required, but no definition was found.
	// e.hcl:2:1: Unsupported argument: An argument named "sedes" is not expected here. Did you mean "seeds"?
}
