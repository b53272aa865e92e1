package results

import (
	"html/template"
	"io"
	"time"

	"github.com/wcharczuk/go-chart/v2"

	"magpieglade/contracts"
)

// Statements writes a page with a chart and a table of the served fraction for each window of a contract. complete tells
// whether the counts of all gateways are included.
func Statements(out io.Writer, name string, all []contracts.Statement, complete bool) error {
	type windowChart struct {
		contracts.Statement
		Chart template.HTML
	}
	page := struct {
		Name    string
		Whole   bool
		Windows []windowChart
	}{Name: name, Whole: complete}
	for _, s := range all {
		window := windowChart{Statement: s}
		line := chart.ContinuousSeries{Name: "kept"}
		for _, interval := range s.Lines {
			line.XValues, line.YValues = append(line.XValues, float64(interval.At-s.Window.Start)/60e9), append(line.YValues, interval.ServedFraction)
		}
		if len(s.Lines) > 1 {
			var err error
			if window.Chart, err = draw(chart.Chart{Width: 900, Height: 320, Series: []chart.Series{line}, XAxis: chart.XAxis{Name: "minute"},
				YAxis: chart.YAxis{Name: "kept", Range: &chart.ContinuousRange{Min: 0, Max: 1.02}}}); err != nil {
				return err
			}
		}
		page.Windows = append(page.Windows, window)
	}
	return statementsPage.Execute(out, page)
}

var statementsPage = template.Must(template.New("statements").Funcs(template.FuncMap{"at": func(ns int64) string {
	return time.Unix(0, ns).UTC().Format("2006-01-02 15:04 UTC")
}}).Parse(`<!doctype html><html lang="en"><meta charset="utf-8"><title>{{.Name}}: what was kept</title>
<style>body{font-family:sans-serif;max-width:60em;margin:auto}td,th{padding:0 .6em;text-align:right}</style>
<h1>{{.Name}}: what was kept</h1>{{if not .Whole}}<p>Counts of one gateway only.</p>{{end}}
{{range .Windows}}<h2>{{at .Window.Start}} to {{at .Window.End}}</h2><p>Price {{.Price}}, credit {{.Credit}}{{if not .Final}}; the window is still open{{end}}.</p>
{{.Chart}}<table><tr><th>interval<th>gateways<th>size<th>asked<th>in time<th>late<th>no room<th>no member<th>unagreed<th>rolled back<th>left<th>kept<th>cause
{{range .Lines}}<tr><td>{{at .At}}<td>{{.Gateways}}<td>{{printf "%.0f" .Size}}<td>{{.Requested}}<td>{{.InTime}}<td>{{.Late}}<td>{{.Overloaded}}<td>{{.NoMember}}<td>{{.NoAgreement}}<td>{{.RolledBack}}<td>{{.Abandoned}}<td>{{printf "%.4f" .ServedFraction}}<td>{{.Cause}}
{{end}}</table>{{else}}<p>The contract had no window.</p>{{end}}
`))
