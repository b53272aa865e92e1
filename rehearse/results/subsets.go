package results

import (
	"fmt"
	"html/template"
	"io"

	"github.com/wcharczuk/go-chart/v2"

	"magpieglade/rehearse"
)

// Subsets writes a page with charts of load balance and subset changes by fleet size.
func Subsets(out io.Writer, all []rehearse.SubsetResult) error {
	byMembers := map[int][]rehearse.SubsetResult{}
	var members []int
	for _, r := range all {
		if len(byMembers[r.Members]) == 0 {
			members = append(members, r.Members)
		}
		byMembers[r.Members] = append(byMembers[r.Members], r)
	}
	page := struct{ Charts []template.HTML }{}
	for _, x := range []struct {
		name  string
		value func(rehearse.SubsetResult) float64
	}{{"load of the most loaded member, as a multiple of the mean", func(r rehearse.SubsetResult) float64 { return r.MaxLoad }},
		{"maximum connections of a member", func(r rehearse.SubsetResult) float64 { return float64(r.MaxGateways) }},
		{"subsets that change when a gateway joins", func(r rehearse.SubsetResult) float64 { return r.MovedOnJoin }},
		{"subsets that change when a gateway leaves", func(r rehearse.SubsetResult) float64 { return r.MovedOnLeave }}} {
		c := chart.Chart{Title: x.name, Width: 900, Height: 320, XAxis: chart.XAxis{Name: "gateways"}, YAxis: chart.YAxis{Name: x.name}}
		for _, m := range members {
			line := chart.ContinuousSeries{Name: fmt.Sprint(m, " members")}
			for _, r := range byMembers[m] {
				line.XValues, line.YValues = append(line.XValues, float64(r.Gateways)), append(line.YValues, x.value(r))
			}
			if len(line.XValues) > 1 {
				c.Series = append(c.Series, line)
			}
		}
		if len(c.Series) == 0 {
			return fmt.Errorf("a chart needs two sizes of a fleet")
		}
		c.Elements = []chart.Renderable{chart.Legend(&c)}
		drawn, err := draw(c)
		if err != nil {
			return fmt.Errorf("%s: %w", x.name, err)
		}
		page.Charts = append(page.Charts, drawn)
	}
	return subsetsPage.Execute(out, page)
}

var subsetsPage = template.Must(template.New("subsets").Parse("<!doctype html><meta charset=utf-8><title>Subsets of members</title><h1>Subsets of members</h1>{{range .Charts}}{{.}}{{end}}\n"))
