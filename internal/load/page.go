package load

import (
	"bytes"
	"html/template"
)

// bar is one bar of a plot.
type bar struct {
	Name  string
	Value float64
	Width float64 // in percent of the longest bar
}

type plot struct {
	Title string
	Unit  string
	Bars  []bar
}

var page = template.Must(template.New("report").Parse(`<!doctype html><meta charset="utf-8"><title>sesame-load</title>
<style>body{font:14px sans-serif;max-width:60em;margin:2em auto}td{padding:2px 8px}.b{background:#47a;height:14px}</style>
<h1>sesame-load</h1>
<p>{{.Report.Requests}} requests in {{printf "%.1f" .Report.Seconds}} s: {{.Report.Answered}} answered, {{.Report.NotRun}} refused (not run),
{{.Report.Unknown}} unknown, {{.Report.Away}} answered in another region. Violated guarantees: {{.Report.Violations}}.</p>
{{range .Plots}}<h2>{{.Title}} ({{.Unit}})</h2><table>{{range .Bars}}<tr><td>{{.Name}}<td>{{printf "%.2f" .Value}}<td style="width:30em"><div class="b" style="width:{{printf "%.1f" .Width}}%"></div>{{end}}</table>{{end}}
{{if .Report.Broken}}<h2>Violated guarantees</h2><ul>{{range .Report.Broken}}<li>{{.}}{{end}}</ul>{{end}}`))

// Page returns the report as an HTML page with plots.
func Page(r *Report) []byte {
	var out bytes.Buffer
	err := page.Execute(&out, struct {
		Report *Report
		Plots  []plot
	}{r, []plot{
		latencyPlot("First token", r.TTFT), latencyPlot("Gap between tokens", r.Gap),
		latencyPlot("Whole answer", r.Total), latencyPlot("Orders", r.Orders),
		newPlot("Outcomes", "requests", []bar{
			{Name: "answered", Value: float64(r.Answered)}, {Name: "not run", Value: float64(r.NotRun)},
			{Name: "unknown", Value: float64(r.Unknown)}, {Name: "resends", Value: float64(r.Resends)},
		}),
	}})
	if err != nil {
		return []byte(err.Error())
	}
	return out.Bytes()
}

func latencyPlot(title string, l *Latency) plot {
	return newPlot(title, "ms", []bar{{Name: "p50", Value: l.P50}, {Name: "p95", Value: l.P95}, {Name: "p99", Value: l.P99}})
}

func newPlot(title, unit string, bars []bar) plot {
	longest := 0.0
	for _, b := range bars {
		longest = max(longest, b.Value)
	}
	for i := range bars {
		if longest > 0 {
			bars[i].Width = 100 * bars[i].Value / longest
		}
	}
	return plot{title, unit, bars}
}
