package lab

import (
	"html/template"
	"image/color"
	"maps"
	"math"
	"slices"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/text"
	"gonum.org/v1/plot/vg"

	"github.com/lotusferry/lotusferry/kit/report"
)

const (
	plotWidth  = 32 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
	lineWidth  = 1.2
	// legendRoom is the fraction by which the time axis is extended for the legend.
	legendRoom = 0.25
	// curveColors is the number of colours; further curves are dashed.
	curveColors   = 5
	faultFontSize = 7
	// faultNameHeight is the position of the fault names as a fraction of the height.
	faultNameHeight = 0.7
)

// faultColor is the shade of the fault periods.
var faultColor = color.NRGBA{R: 200, G: 60, B: 40, A: 45}

// curve is one line of a plot over the seconds of a run.
type curve struct {
	name   string
	figure func(Second) float64
}

// timePlots renders the timeline as SVG elements.
func timePlots(timeline []Second, faults []FaultEvent) ([]template.HTML, error) {
	var plots []template.HTML
	for _, wanted := range []struct {
		title, unit string
		curves      []curve
	}{
		{"First token, by the second in which calls were due", "seconds", []curve{
			{"p50", func(s Second) float64 { return s.FirstToken.P50 }},
			{"p95", func(s Second) float64 { return s.FirstToken.P95 }},
			{"p99", func(s Second) float64 { return s.FirstToken.P99 }},
		}},
		{"Outcomes of the calls due in each second", "calls", outcomeCurves(timeline)},
		{"Replicas held by the engines", "replicas", []curve{
			{"replicas", func(s Second) float64 { return float64(s.Replicas) }},
		}},
		{"Loaded accelerator memory", "GiB", []curve{
			{"loaded", func(s Second) float64 { return float64(s.LoadedBytes) / float64(gibibyte) }},
		}},
	} {
		drawn, err := timePlot(wanted.title, wanted.unit, timeline, faults, wanted.curves)
		if err != nil {
			return nil, err
		}
		plots = append(plots, drawn)
	}
	return plots, nil
}

// outcomeCurves returns the curves of answered and lost calls, of failed routers, and of
// each kind of refusal that occurred.
func outcomeCurves(timeline []Second) []curve {
	kinds := map[string]bool{}
	for _, second := range timeline {
		for kind := range second.Refused {
			kinds[kind] = true
		}
	}
	curves := []curve{
		{"answered", func(s Second) float64 { return float64(s.Answered) }},
		{"lost", func(s Second) float64 { return float64(s.Lost) }},
		{"router failed", func(s Second) float64 { return float64(s.Cut) }},
	}
	for _, kind := range slices.Sorted(maps.Keys(kinds)) {
		curves = append(curves, curve{"refused: " + kind, func(s Second) float64 { return float64(s.Refused[kind]) }})
	}
	return curves
}

func timePlot(title, unit string, timeline []Second, faults []FaultEvent, curves []curve) (template.HTML, error) {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = unit
	p.Y.Min = 0
	p.Add(plotter.NewGrid())
	top := 0.0
	for i, wanted := range curves {
		points := make(plotter.XYs, 0, len(timeline))
		for _, second := range timeline {
			value := wanted.figure(second)
			top = max(top, value)
			points = append(points, plotter.XY{X: float64(second.At), Y: value})
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return "", errors.Wrap(err, "plot "+title)
		}
		line.Color = plotutil.Color(i % curveColors)
		line.Dashes = plotutil.Dashes(i / curveColors)
		line.Width = vg.Points(lineWidth)
		p.Add(line)
		p.Legend.Add(wanted.name, line)
	}
	if err := addFaults(p, faults, top); err != nil {
		return "", err
	}
	p.X.Max = float64(len(timeline)) * (1 + legendRoom)
	p.Legend.Top = true
	return report.SVG(p, plotWidth, plotHeight)
}

// addFaults shades and labels the fault periods up to the height.
func addFaults(p *plot.Plot, faults []FaultEvent, height float64) error {
	if len(faults) == 0 {
		return nil
	}
	var names plotter.XYLabels
	for _, fault := range faults {
		band, err := faultBand(fault, height)
		if err != nil {
			return err
		}
		p.Add(band)
		names.XYs = append(names.XYs, plotter.XY{X: fault.AtSeconds, Y: faultNameHeight * height})
		names.Labels = append(names.Labels, fault.Kind)
	}
	labels, err := plotter.NewLabels(names)
	if err != nil {
		return errors.Wrap(err, "label the faults of a plot")
	}
	for i := range labels.TextStyle {
		labels.TextStyle[i].Rotation = math.Pi / 2
		labels.TextStyle[i].Font.Size = vg.Points(faultFontSize)
		labels.TextStyle[i].YAlign = text.YTop
	}
	p.Add(labels)
	return nil
}

// faultBand returns the shaded period of a fault up to the height.
func faultBand(fault FaultEvent, height float64) (*plotter.Polygon, error) {
	from, until := fault.AtSeconds, fault.AtSeconds+fault.ForSeconds
	band, err := plotter.NewPolygon(plotter.XYs{{X: from}, {X: until}, {X: until, Y: height}, {X: from, Y: height}})
	if err != nil {
		return nil, errors.Wrap(err, "plot a fault")
	}
	band.Color = faultColor
	band.LineStyle.Width = 0
	return band, nil
}
