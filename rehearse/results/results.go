// Package results writes the results of rehearsals as JSON lines, CSV files and self-contained HTML pages.
package results

import (
	"bytes"
	"embed"
	"encoding/csv"
	"encoding/json"
	"fmt"
	"html/template"
	"io"
	"math"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/wcharczuk/go-chart/v2"
	"github.com/wcharczuk/go-chart/v2/drawing"

	"magpieglade/rehearse"
	"magpieglade/rehearse/audit"
	"magpieglade/rehearse/experiment"
)

//go:embed report.html verdicts.html
var templates embed.FS

// Write writes report.html, seconds.csv, members.csv, types.csv and broken.jsonl into a folder, which it creates if needed.
func Write(folder string, r *rehearse.Report) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	for name, write := range map[string]func(io.Writer, *rehearse.Report) error{
		"report.html": HTML, "seconds.csv": writeSeconds, "members.csv": writeMembers, "types.csv": writeTypes, "broken.jsonl": writeViolations} {
		var out bytes.Buffer
		if err := write(&out, r); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		if err := os.WriteFile(filepath.Join(folder, name), out.Bytes(), 0o644); err != nil {
			return err
		}
	}
	return nil
}

func formatFloat(x float64) string { return strconv.FormatFloat(x, 'f', 4, 64) }

func writeSeconds(out io.Writer, r *rehearse.Report) error {
	w := csv.NewWriter(out)
	_ = w.Write([]string{"second", "service"})
	for i, x := range r.Service.Seconds {
		text := formatFloat(x)
		if math.IsNaN(x) {
			text = ""
		}
		_ = w.Write([]string{strconv.Itoa(i), text})
	}
	w.Flush()
	return w.Error()
}

func writeMembers(out io.Writer, r *rehearse.Report) error {
	w := csv.NewWriter(out)
	_ = w.Write([]string{"member", "reads", "writes", "repeats", "missed", "busy"})
	for _, p := range r.Members {
		_ = w.Write([]string{p.Name, strconv.Itoa(p.Reads), strconv.Itoa(p.Writes), strconv.Itoa(p.Repeats), strconv.Itoa(p.Rejected), formatFloat(p.Utilization)})
	}
	w.Flush()
	return w.Error()
}

func writeTypes(out io.Writer, r *rehearse.Report) error {
	w := csv.NewWriter(out)
	_ = w.Write([]string{"type", "service", "asked", "served", "late", "declined", "rolled_back", "unanswered", "p50_ms", "p90_ms", "p99_ms", "worst_ms"})
	for i := range r.Service.Types {
		t := &r.Service.Types[i]
		_ = w.Write([]string{t.Name, formatFloat(t.Service), strconv.Itoa(t.Requested), strconv.Itoa(t.Served), formatFloat(t.LateFraction), strconv.Itoa(t.Declined),
			strconv.Itoa(t.RolledBack), strconv.Itoa(t.Unanswered), formatMillis(t.P50), formatMillis(t.P90), formatMillis(t.P99), formatMillis(t.Max)})
	}
	w.Flush()
	return w.Error()
}

func writeViolations(out io.Writer, r *rehearse.Report) error {
	e := json.NewEncoder(out)
	for _, v := range r.Violations {
		if err := e.Encode(v); err != nil {
			return err
		}
	}
	return nil
}

func formatMillis(ns int64) string { return strconv.FormatFloat(float64(ns)/1e6, 'f', 1, 64) }

// HTML writes the report page.
func HTML(out io.Writer, r *rehearse.Report) error {
	t, err := template.New("report.html").Funcs(template.FuncMap{
		"three": func(x float64) string { return strconv.FormatFloat(x, 'f', 3, 64) },
		"share": func(x float64) string { return strconv.FormatFloat(100*x, 'f', 1, 64) + " %" },
		"ms":    formatMillis,
		"span":  func(ns int64) string { return time.Duration(ns).String() },
	}).ParseFS(templates, "report.html")
	if err != nil {
		return err
	}
	service, err := serviceChart(r)
	if err != nil {
		return err
	}
	latency, err := latencyChart(r)
	if err != nil {
		return err
	}
	type rule struct {
		Name   string
		Broken int
	}
	var rules []rule
	for _, name := range audit.Rules {
		n := 0
		for _, v := range r.Violations {
			if v.Rule == name {
				n++
			}
		}
		rules = append(rules, rule{name, n})
	}
	worst, x := r.Service.WorstType()
	return t.Execute(out, map[string]any{"R": r, "Service": service, "Latency": latency, "Rules": rules, "Worst": worst, "WorstService": x,
		"First": r.Violations[:min(len(r.Violations), 20)]})
}

// serviceChart draws the service of each second, and each fault as a numbered line with its own dash pattern, so that the
// chart doesn't depend on colour.
func serviceChart(r *rehearse.Report) (template.HTML, error) {
	line := chart.ContinuousSeries{Name: "service", Style: chart.Style{StrokeColor: drawing.ColorBlack, StrokeWidth: 2}}
	for i, x := range r.Service.Seconds {
		if !math.IsNaN(x) {
			line.XValues, line.YValues = append(line.XValues, float64(i)), append(line.YValues, x)
		}
	}
	if len(line.XValues) < 2 {
		return "", nil
	}
	all := []chart.Series{line}
	for i, m := range r.Marks {
		from, to := float64(m.At)/1e9, float64(m.At+m.For)/1e9
		y := 0.03 + 0.06*float64(i%5)
		all = append(all, chart.ContinuousSeries{XValues: []float64{from, max(to, from+0.2)}, YValues: []float64{y, y},
			Style: chart.Style{StrokeColor: drawing.ColorBlack, StrokeWidth: 5, StrokeDashArray: []float64{2, 2 + 3*float64(i%4)}}},
			chart.AnnotationSeries{Annotations: []chart.Value2{{XValue: from, YValue: y, Label: strconv.Itoa(i + 1)}}})
	}
	return draw(chart.Chart{Width: 900, Height: 320, Series: all,
		XAxis: chart.XAxis{Name: "second"}, YAxis: chart.YAxis{Name: "service", Range: &chart.ContinuousRange{Min: 0, Max: 1.02}}})
}

// latencyChart draws each txn type's latency quantiles on a logarithmic scale. Latency counts from the scheduled time.
func latencyChart(r *rehearse.Report) (template.HTML, error) {
	at := []float64{5, 10, 20, 30, 40, 50, 60, 70, 80, 90, 95, 99}
	var all []chart.Series
	for i := range r.Service.Types {
		t := &r.Service.Types[i]
		if t.Served == 0 {
			continue
		}
		line := chart.ContinuousSeries{Name: t.Name, Style: chart.Style{StrokeColor: drawing.ColorBlack, StrokeWidth: 2, StrokeDashArray: []float64{8, 1 + 4*float64(i)}}}
		for k, ns := range t.Quantiles(at) {
			line.XValues, line.YValues = append(line.XValues, at[k]), append(line.YValues, math.Log10(max(0.01, float64(ns)/1e6)))
		}
		k := (2 + 2*i) % len(at) // each label at another quantile, to avoid overlaps
		all = append(all, line, chart.AnnotationSeries{Annotations: []chart.Value2{{XValue: line.XValues[k], YValue: line.YValues[k], Label: t.Name}}})
	}
	if len(all) == 0 {
		return "", nil
	}
	return draw(chart.Chart{Width: 900, Height: 320, Series: all, XAxis: chart.XAxis{Name: "percent of the served"}, YAxis: chart.YAxis{Name: "ms",
		ValueFormatter: func(v any) string { return strconv.FormatFloat(math.Pow(10, v.(float64)), 'g', 2, 64) }}})
}

func draw(c chart.Chart) (template.HTML, error) {
	var out bytes.Buffer
	if err := c.Render(chart.SVG, &out); err != nil {
		return "", err
	}
	// Let the page's style determine the size.
	svg := bytes.Replace(out.Bytes(), []byte(`width="900" height="320"`), []byte(`viewBox="0 0 900 320" role="img"`), 1)
	return template.HTML(svg), nil // safe: consists of numbers and of names that the chart library escapes
}

// Verdicts writes the page of an experiment's verdicts. first is the name of the baseline variant.
func Verdicts(out io.Writer, first string, all []experiment.Verdict) error {
	t, err := template.ParseFS(templates, "verdicts.html")
	if err != nil {
		return err
	}
	return t.Execute(out, map[string]any{"First": first, "Verdicts": all})
}
