package lab

import (
	"fmt"
	"html/template"
	"io"

	"github.com/pkg/errors"

	"github.com/lotusferry/lotusferry/kit/report"
)

// page is the data of a run's HTML page.
type page struct {
	Title   string
	Command string
	// Facts are additional lines about the run.
	Facts      []string
	Totals     Totals
	Latencies  []namedPercentiles
	Faults     []FaultEvent
	Violations []Violation
	Plots      []template.HTML
}

type namedPercentiles struct {
	Name string
	Percentiles
}

var pageTemplate = template.Must(template.New("page").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Title}}</title>
<style>body{font-family:sans-serif;margin:2em}table{border-collapse:collapse;margin:1em 0}
td,th{border:1px solid #999;padding:.3em .6em;text-align:right}td:first-child,th:first-child{text-align:left}
.broken{color:#a00}code{background:#eee;padding:.2em}svg{display:block;max-width:100%;height:auto}</style></head><body>
<h1>{{.Title}}</h1>
<p>Repeat it with <code>{{.Command}}</code>. The figures stand in <code>report.json</code> beside this page.</p>
{{range .Facts}}<p>{{.}}</p>
{{end}}<p>Violations: {{len .Violations}}{{range .Violations}}<br><span class="broken">{{.Invariant}}: {{.Detail}}</span>{{end}}</p>
<table><tr><th>calls</th><th>number</th></tr>
<tr><td>made</td><td>{{.Totals.Requests}}</td></tr><tr><td>answered</td><td>{{.Totals.Answered}}</td></tr>
{{range $kind, $count := .Totals.RefusedBy}}<tr><td>refused: {{$kind}}</td><td>{{$count}}</td></tr>
{{end}}<tr><td>lost</td><td>{{.Totals.Lost}}</td></tr><tr><td>router failed, no time left to retry</td><td>{{.Totals.Cut}}</td></tr>
{{range $message, $count := .Totals.RefusedFor}}<tr><td>refused because {{$message}}</td><td>{{$count}}</td></tr>
{{end}}<tr><td>share of live calls answered in time</td><td>{{printf "%.4f" .Totals.LiveInTime}}</td></tr></table>
<table><tr><th>seconds</th><th>count</th><th>p50</th><th>p95</th><th>p99</th><th>max</th></tr>
{{range .Latencies}}<tr><td>{{.Name}}</td><td>{{.Count}}</td><td>{{printf "%.4f" .P50}}</td><td>{{printf "%.4f" .P95}}</td><td>{{printf "%.4f" .P99}}</td><td>{{printf "%.4f" .Max}}</td></tr>
{{end}}</table>
{{if .Faults}}<p>The shaded times are those of the faults:</p>
{{end}}{{range .Plots}}{{.}}
{{end}}{{if .Faults}}<table><tr><th>fault</th><th>target</th><th>at (s)</th><th>for (s)</th></tr>
{{range .Faults}}<tr><td>{{.Kind}}</td><td>{{.Target}}</td><td>{{printf "%.1f" .AtSeconds}}</td><td>{{printf "%.1f" .ForSeconds}}</td></tr>
{{end}}</table>{{end}}</body></html>
`))

func (p page) write(w io.Writer, timeline []Second) error {
	if len(timeline) > 0 {
		plots, err := timePlots(timeline, p.Faults)
		if err != nil {
			return err
		}
		p.Plots = plots
	}
	return errors.Wrap(pageTemplate.Execute(w, p), "write the page")
}

// WriteHTML writes the report as one page with its timeline as plots.
func (r Report) WriteHTML(w io.Writer) error {
	return page{
		Title:   fmt.Sprintf("Fleet run of %s, seed %d", r.Site, r.Seed),
		Command: r.Command,
		Facts: []string{
			fmt.Sprintf("%d daemons, %d engines, %.0f s under load, %d faults, %d planned stops, %d machines listed as leaving.",
				r.Daemons, r.Engines, r.DurationSeconds, len(r.Faults), r.PlannedStops, r.Notices),
			fmt.Sprintf("%d edits under load; the whole table took %.2f s at first; %.3f idle accelerator hours.", r.Edits, r.EditSeconds, r.IdleAcceleratorHours),
		},
		Totals: r.Totals,
		Latencies: []namedPercentiles{
			{"cold start", r.ColdStart}, {"first token otherwise", r.FirstToken},
			{"longest gap between tokens", r.TokenGap}, {"edit in force in a zone", r.EditInForce},
		},
		Faults:     r.Faults,
		Violations: r.Violations,
	}.write(w, r.Timeline)
}

// WriteFolder writes the report as JSON and as a page.
func (r Report) WriteFolder(folder string) error { return report.WriteFolder(folder, r, r.WriteHTML) }

// WriteHTML writes the report as one page with its timeline as plots.
func (r LoadReport) WriteHTML(w io.Writer) error {
	return page{
		Title:   "Load run",
		Command: r.Command,
		Facts:   []string{fmt.Sprintf("Targets %v, %.0f s, %d calls planned.", r.Targets, r.DurationSeconds, r.Planned)},
		Totals:  r.Totals,
		Latencies: []namedPercentiles{
			{"first token", r.FirstToken}, {"longest gap between tokens", r.TokenGap}, {"sent late", r.SendLag},
		},
		Violations: r.Violations,
	}.write(w, r.Timeline)
}

// WriteFolder writes the report as JSON and as a page.
func (r LoadReport) WriteFolder(folder string) error {
	return report.WriteFolder(folder, r, r.WriteHTML)
}
