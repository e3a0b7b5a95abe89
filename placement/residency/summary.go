package residency

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// ModelSummary is the state of a model.
type ModelSummary struct {
	Service string
	Model   string
	// Rate is the demand in requests per second.
	Rate     float64
	Waiting  int
	Active   int
	Replicas int
	// Coming is the number of runners that load the model.
	Coming int
}

// Summary returns the models with demand, by descending rate.
func (p *Planner) Summary(now time.Time) []ModelSummary {
	p.takeSnapshot(now)
	active := make(map[Row]int)
	for key, count := range p.snapshot.active {
		active[key.row] += count
	}
	summaries := make([]ModelSummary, 0, len(p.snapshot.demands))
	for row, demand := range p.snapshot.demands {
		summary := ModelSummary{
			Service: row.Service, Model: row.Model, Rate: demand.rate, Waiting: p.snapshot.waiting[row],
			Active: active[row], Replicas: len(p.holders(row)), Coming: len(p.coming(row)),
		}
		summaries = append(summaries, summary)
	}
	slices.SortFunc(summaries, func(a, b ModelSummary) int {
		return cmp.Or(cmp.Compare(b.Rate, a.Rate), strings.Compare(a.Model, b.Model))
	})
	return summaries
}
