package report

import (
	"html/template"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"

	"github.com/lotusferry/lotusferry/kit/experiment"
	shared "github.com/lotusferry/lotusferry/kit/report"
)

const (
	plotWidth  = 13 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
	barWidth   = 1 * vg.Centimeter
)

// metric is a per-run value with its axis label.
type metric struct {
	title string
	value func(experiment.Run) float64
}

var coldWaitMetrics = []metric{
	{"mean cold wait over live calls (s)", func(r experiment.Run) float64 { return r.ColdWait.Mean }},
	{"p99 cold wait over live calls (s)", func(r experiment.Run) float64 { return r.ColdWait.P99 }},
}

// tradeOff returns a scatter plot of the metric against idle accelerator hours,
// with one point per run.
func (r Report) tradeOff(group Group, measure metric) (template.HTML, error) {
	p := plot.New()
	p.Title.Text = "Trade-off, each seed"
	p.X.Label.Text = "idle accelerator hours"
	p.Y.Label.Text = measure.title
	p.X.Min, p.Y.Min = 0, 0
	for i, summary := range group.Policies {
		var points plotter.XYs
		for _, run := range r.Runs {
			if run.Site == group.Site && run.Faults == group.Faults && run.Policy == summary.Policy {
				points = append(points, plotter.XY{X: run.IdleHours, Y: measure.value(run)})
			}
		}
		scatter, err := plotter.NewScatter(points)
		if err != nil {
			return "", errors.Wrap(err, "plot the trade-off")
		}
		scatter.GlyphStyle = draw.GlyphStyle{Color: plotutil.Color(i), Radius: vg.Points(4), Shape: plotutil.Shape(i)}
		p.Add(scatter)
		p.Legend.Add(string(summary.Policy), scatter)
	}
	p.Add(plotter.NewGrid())
	return shared.SVG(p, plotWidth, plotHeight)
}

// bars returns a bar chart of one value per policy.
func bars(group Group, title, unit string, figure func(Summary) float64) (template.HTML, error) {
	p := plot.New()
	p.Title.Text = title
	p.Y.Label.Text = unit
	p.Y.Min = 0
	var values plotter.Values
	var names []string
	for _, summary := range group.Policies {
		values = append(values, figure(summary))
		names = append(names, string(summary.Policy))
	}
	chart, err := plotter.NewBarChart(values, barWidth)
	if err != nil {
		return "", errors.Wrap(err, "plot "+title)
	}
	chart.Color = plotutil.Color(0)
	p.Add(chart)
	p.NominalX(names...)
	return shared.SVG(p, plotWidth, plotHeight)
}
