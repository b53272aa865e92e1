// Package experiment simulates scenarios for each combination of parameter values, seeds and variants, in parallel on all
// cores, and compares the variants by paired differences with confidence intervals. Results are appended to a file, so that
// an interrupted experiment can be resumed.
package experiment

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"sync"

	"magpieglade/rehearse"
)

// Plan describes an experiment: all scenarios are run with all parameter values, seeds and variants.
type Plan struct {
	Scenarios  []*rehearse.Scenario
	Seeds      int
	Variants   []Variant
	Parameters []Parameter
}

// Variant is a policy or a build to compare. The first variant of a plan is the baseline.
type Variant struct {
	Name    string
	Policy  string // empty for the scenario's own
	Program string // path of another build of this program, empty for this one
}

// Parameter is a numeric scenario setting with the values to try.
type Parameter struct {
	Name   string
	Values []float64
}

// ParameterSetters maps each parameter name to a function that sets it in a scenario.
var ParameterSetters = map[string]func(*rehearse.Scenario, float64){
	"rate":     func(s *rehearse.Scenario, x float64) { s.Traffic.Rate = x },
	"roam":     func(s *rehearse.Scenario, x float64) { s.Traffic.RoamingFraction = x },
	"sessions": func(s *rehearse.Scenario, x float64) { s.Traffic.Sessions = int(x) },
	"gateways": func(s *rehearse.Scenario, x float64) { s.Gateways = int(x) },
	"loss":     func(s *rehearse.Scenario, x float64) { s.Network.LossRatio = x },
	"far_ms":   func(s *rehearse.Scenario, x float64) { s.Network.InterZoneLatency = int64(x * 1e6) },
	"lag_ms": func(s *rehearse.Scenario, x float64) {
		forEachGroup(s, func(g *rehearse.GroupConfig) { g.ReplicationLag = int64(x * 1e6) })
	},
	"hold_ms": func(s *rehearse.Scenario, x float64) {
		forEachGroup(s, func(g *rehearse.GroupConfig) { g.ReplicaWait = int64(x * 1e6) })
	},
	"cores": func(s *rehearse.Scenario, x float64) {
		forEachGroup(s, func(g *rehearse.GroupConfig) { g.Cores = int(x) })
	},
}

func forEachGroup(s *rehearse.Scenario, f func(*rehearse.GroupConfig)) {
	s.Groups = slices.Clone(s.Groups)
	for i := range s.Groups {
		f(&s.Groups[i])
	}
}

// Run is the result of one simulated scenario. Its JSON form is a line of runs.jsonl.
type Run struct {
	Scenario        string
	ParameterValues string `json:"Point"` // "name=value " for each parameter
	Variant         string
	Seed            uint64
	Service         float64
	Worst10         float64
	WorstType       float64
	Violations      int    `json:"Broken"`
	TraceHash       string `json:"Mark"`
}

func (r *Run) key() string {
	return fmt.Sprint(r.Scenario, "|", r.ParameterValues, "|", r.Variant, "|", r.Seed)
}

// job is a scenario to simulate, with its result.
type job struct {
	Run
	scenario *rehearse.Scenario
	variant  *Variant
}

// jobs returns the jobs of all combinations, in the plan's order.
func (p *Plan) jobs() (all []job) {
	points := []map[string]float64{{}}
	for _, x := range p.Parameters {
		var extended []map[string]float64
		for _, values := range points {
			for _, v := range x.Values {
				next := map[string]float64{x.Name: v}
				for k, v := range values {
					next[k] = v
				}
				extended = append(extended, next)
			}
		}
		points = extended
	}
	for _, s := range p.Scenarios {
		for _, values := range points {
			point := ""
			for _, x := range p.Parameters {
				point += fmt.Sprintf("%s=%g ", x.Name, values[x.Name])
			}
			for seed := range p.Seeds {
				for i := range p.Variants {
					v := &p.Variants[i]
					scenario := *s
					for _, x := range p.Parameters {
						ParameterSetters[x.Name](&scenario, values[x.Name])
					}
					scenario.Seed = uint64(seed + 1)
					if v.Policy != "" {
						scenario.Policy = v.Policy
					}
					all = append(all, job{Run{Scenario: s.Name, ParameterValues: point, Variant: v.Name, Seed: scenario.Seed}, &scenario, v})
				}
			}
		}
	}
	return all
}

// run simulates the scenario, in this process or with another build, and stores the result.
func (j *job) run() error {
	if j.variant.Program != "" {
		return j.runExternal()
	}
	r, err := rehearse.Simulate(j.scenario, nil)
	if err != nil {
		return err
	}
	j.Service, j.Worst10, j.Violations, j.TraceHash = r.Service.Overall, r.Service.Worst10, len(r.Violations), fmt.Sprintf("%016x", r.TraceHash)
	_, j.WorstType = r.Service.WorstType()
	return nil
}

// runExternal runs the scenario with another build of the program.
func (j *job) runExternal() error {
	dir, err := os.MkdirTemp("", "experiment")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	file := filepath.Join(dir, "day.hcl")
	if err := os.WriteFile(file, j.scenario.HCL(), 0o600); err != nil {
		return err
	}
	cmd := exec.Command(j.variant.Program, "rehearse", "run", file, "--json")
	var problems bytes.Buffer
	cmd.Stderr = &problems
	out, err := cmd.Output() // exit status 1 only means that expectations were not met
	var response struct {
		Service, Worst10 float64
		WorstType        float64 `json:"worst_type_service"`
		Broken           int
		Mark             string
	}
	if e := json.Unmarshal(out, &response); e != nil {
		return fmt.Errorf("%s: %v %v: %s", j.variant.Program, err, e, problems.String())
	}
	j.Service, j.Worst10, j.WorstType, j.Violations, j.TraceHash = response.Service, response.Worst10, response.WorstType, response.Broken, response.Mark
	return nil
}

// Execute runs the jobs whose results are not yet in the folder, and returns the results of all jobs in the plan's order.
// progress is called after each job.
func (p *Plan) Execute(folder string, progress func(done, all int)) ([]Run, error) {
	if len(p.Variants) == 0 || len(p.Scenarios) == 0 || p.Seeds < 1 {
		return nil, fmt.Errorf("an experiment needs scenarios, seeds and variants")
	}
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return nil, err
	}
	path := filepath.Join(folder, "runs.jsonl")
	loaded, completeBytes, err := loadRuns(path)
	if err != nil {
		return nil, err
	}
	if err := os.Truncate(path, completeBytes); err != nil && !os.IsNotExist(err) { // drop a partial last line, left by an interrupted run
		return nil, err
	}
	file, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	jobs := p.jobs()
	var mu sync.Mutex
	var firstErr error
	done := 0
	next := make(chan *job)
	var wg sync.WaitGroup
	for range min(runtime.GOMAXPROCS(0), len(jobs)) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for j := range next {
				err := j.run()
				mu.Lock()
				if err == nil {
					var line []byte
					if line, err = json.Marshal(j.Run); err == nil {
						_, err = file.Write(append(line, '\n'))
					}
				}
				if err != nil && firstErr == nil {
					firstErr = err
				}
				done++
				if progress != nil {
					progress(done, len(jobs))
				}
				mu.Unlock()
			}
		}()
	}
	for i := range jobs {
		j := &jobs[i]
		if r, ok := loaded[j.key()]; ok {
			j.Run = r
			mu.Lock()
			done++
			mu.Unlock()
			continue
		}
		next <- j
	}
	close(next)
	wg.Wait()
	if firstErr != nil {
		return nil, firstErr
	}
	var all []Run
	for i := range jobs {
		all = append(all, jobs[i].Run)
	}
	return all, nil
}

// loadRuns reads the results of earlier runs, and returns the number of bytes up to the end of the last complete line.
func loadRuns(path string) (all map[string]Run, completeBytes int64, err error) {
	all = map[string]Run{}
	text, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		return all, 0, nil
	} else if err != nil {
		return nil, 0, err
	}
	for lines := bufio.NewReader(bytes.NewReader(text)); ; {
		line, err := lines.ReadBytes('\n')
		if err != nil {
			return all, completeBytes, nil
		}
		var r Run
		if err := json.Unmarshal(line, &r); err != nil {
			return nil, 0, fmt.Errorf("%s: byte %d: %w", path, completeBytes, err)
		}
		all[r.key()] = r
		completeBytes += int64(len(line))
	}
}

// Verdict compares one measure of a variant with the baseline.
type Verdict struct {
	Scenario              string
	ParameterValues       string `json:"Point"`
	Variant               string
	Measure               string
	Mean                  float64 // of the variant
	Baseline              float64 `json:"Than"` // mean of the first variant
	Difference, Low, High float64 // mean of the paired differences and its 95% confidence interval
	Pairs                 int
	Conclusion            string `json:"Says"` // "better", "worse" or "can't tell"
}

// Measures are the quantities by which variants are compared; greater is better.
var Measures = []struct {
	Name string
	Of   func(*Run) float64
}{
	{"service", func(r *Run) float64 { return r.Service }},
	{"worst10", func(r *Run) float64 { return r.Worst10 }},
	{"worst type", func(r *Run) float64 { return r.WorstType }},
	{"rules", func(r *Run) float64 { return -float64(r.Violations) }},
}

// Compare compares each variant with the first one, by pairs of runs with the same seed.
func (p *Plan) Compare(runs []Run) (all []Verdict) {
	runsByKey := map[string]*Run{}
	type group struct{ scenario, point string }
	var groups []group
	for i := range runs {
		r := &runs[i]
		runsByKey[r.key()] = r
		if group := (group{r.Scenario, r.ParameterValues}); !slices.Contains(groups, group) {
			groups = append(groups, group)
		}
	}
	for _, group := range groups {
		for _, v := range p.Variants[1:] {
			for _, m := range Measures {
				verdict := Verdict{Scenario: group.scenario, ParameterValues: group.point, Variant: v.Name, Measure: m.Name}
				var differences []float64
				for seed := range p.Seeds {
					a := runsByKey[(&Run{Scenario: group.scenario, ParameterValues: group.point, Variant: p.Variants[0].Name, Seed: uint64(seed + 1)}).key()]
					b := runsByKey[(&Run{Scenario: group.scenario, ParameterValues: group.point, Variant: v.Name, Seed: uint64(seed + 1)}).key()]
					verdict.Mean, verdict.Baseline = verdict.Mean+m.Of(b), verdict.Baseline+m.Of(a)
					differences = append(differences, m.Of(b)-m.Of(a))
				}
				n := float64(len(differences))
				verdict.Pairs, verdict.Mean, verdict.Baseline = len(differences), verdict.Mean/n, verdict.Baseline/n
				verdict.Difference, verdict.Low, verdict.High = Bootstrap(differences, 1)
				switch {
				case verdict.Low > 0:
					verdict.Conclusion = "better"
				case verdict.High < 0:
					verdict.Conclusion = "worse"
				default:
					verdict.Conclusion = "can't tell"
				}
				all = append(all, verdict)
			}
		}
	}
	return all
}

// bootstrapResamples keeps the confidence bounds stable to a hundredth of the interval's width.
const bootstrapResamples = 4000

// Bootstrap returns the mean of the values and its 95% confidence interval, by the percentile bootstrap (Efron 1979). With
// fewer than five values the bounds are infinite.
func Bootstrap(all []float64, seed uint64) (mean, low, high float64) {
	for _, x := range all {
		mean += x / float64(len(all))
	}
	if len(all) < 5 {
		return mean, math.Inf(-1), math.Inf(1)
	}
	rng := rand.New(rand.NewPCG(seed, 21))
	means := make([]float64, bootstrapResamples)
	for i := range means {
		for range all {
			means[i] += all[rng.IntN(len(all))] / float64(len(all))
		}
	}
	slices.Sort(means)
	return mean, means[bootstrapResamples*25/1000], means[bootstrapResamples*975/1000]
}
