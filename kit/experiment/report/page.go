package report

import (
	"fmt"
	"html/template"
	"io"

	"github.com/pkg/errors"

	shared "github.com/lotusferry/lotusferry/kit/report"
)

// pageGroup is a Group with its plots as inline SVG.
type pageGroup struct {
	Group
	Plots []template.HTML
}

var page = template.Must(template.New("page").Funcs(template.FuncMap{
	"percent": func(s Spread) string { return fmt.Sprintf("%.3f %%", 100*s.Mean) },
	"seconds": func(s Spread) string { return fmt.Sprintf("%.2f (%.2f–%.2f)", s.Mean, s.Min, s.Max) },
	"number":  func(s Spread) string { return fmt.Sprintf("%.1f (%.1f–%.1f)", s.Mean, s.Min, s.Max) },
	"onOff": func(on bool) string {
		if on {
			return "on"
		}
		return "off"
	},
}).Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>lotusferry experiment</title>
<style>body{font-family:sans-serif;margin:2em;max-width:80em}table{border-collapse:collapse}
td,th{border:1px solid #999;padding:.3em .6em;text-align:right}td:first-child,th:first-child{text-align:left}
.missed{color:#a00}code{background:#eee;padding:.2em}</style></head><body>
<h1>Replica placement: {{.Days}} days of simulated time</h1>
<p>Reproduce with <code>{{.Command}}</code></p>
<p>Values are means over the seeds, with minimum and maximum. <em>Cold wait</em> covers all live calls: the time
from arrival to first token if no replica was ready, otherwise 0. <em>Cold start</em> covers only the cold calls.</p>
<p>Violations: {{len .Violations}}{{range .Violations}}<br><span class="missed">{{.Invariant}}: {{.Detail}}</span>{{end}}</p>
{{range .PageGroups}}<h2>{{.Site}}, faults {{onOff .Faults}}</h2>
<table><tr><th>policy</th><th>cold share</th><th>cold wait p50 (s)</th><th>p99</th><th>p99.9</th><th>cold start p50 (s)</th><th>p99</th><th>p99.9</th>
<th>live in time</th><th>gate in time</th><th>idle accelerator hours</th><th>loads an hour</th><th>violations</th></tr>
{{range .Policies}}<tr><td>{{.Policy}}</td><td>{{percent .ColdShare}}</td><td>{{seconds .ColdWaitP50}}</td><td>{{seconds .ColdWaitP99}}</td><td>{{seconds .ColdWaitP999}}</td>
<td>{{seconds .ColdStartP50}}</td><td>{{seconds .ColdStartP99}}</td><td>{{seconds .ColdStartP999}}</td>
<td>{{percent .LiveInTime}}</td><td>{{percent .GateInTime}}</td><td>{{number .IdleHours}}</td><td>{{number .LoadsPerHour}}</td><td>{{.Violations}}</td></tr>
{{end}}</table>
{{if .Targets}}<h3>Targets</h3><table><tr><th>target</th><th>measured</th><th>bound</th><th>met</th><th>figures</th></tr>
{{range .Targets}}<tr{{if not .Met}} class="missed"{{end}}><td>{{.Name}}</td><td>{{printf "%.3f" .Measured}}</td><td>{{.Bound}}</td><td>{{.Met}}</td><td>{{.Detail}}</td></tr>
{{end}}</table>{{end}}
{{range .Plots}}{{.}}
{{end}}{{end}}</body></html>
`))

// WriteHTML writes the report to w as an HTML page.
func (r Report) WriteHTML(w io.Writer) error {
	view := struct {
		Report
		PageGroups []pageGroup
	}{Report: r}
	for _, group := range r.Groups {
		plots, err := r.plots(group)
		if err != nil {
			return err
		}
		view.PageGroups = append(view.PageGroups, pageGroup{group, plots})
	}
	return errors.Wrap(page.Execute(w, view), "write HTML report")
}

func (r Report) plots(group Group) ([]template.HTML, error) {
	var plots []template.HTML
	for _, measure := range coldWaitMetrics {
		plot, err := r.tradeOff(group, measure)
		if err != nil {
			return nil, err
		}
		plots = append(plots, plot)
	}
	wait, err := bars(group, "p99 cold wait over live calls", "seconds", func(s Summary) float64 { return s.ColdWaitP99.Mean })
	if err != nil {
		return nil, err
	}
	idle, err := bars(group, "Idle accelerator hours", "hours", func(s Summary) float64 { return s.IdleHours.Mean })
	if err != nil {
		return nil, err
	}
	return append(plots, wait, idle), nil
}

// WriteFolder writes report.json and report.html to the folder, creating it if
// necessary.
func (r Report) WriteFolder(folder string) error {
	return shared.WriteFolder(folder, r, r.WriteHTML)
}
