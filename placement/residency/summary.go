package residency

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// ModelSummary is what the planner knows of a model.
type ModelSummary struct {
	Service string
	Model   string
	// Rate is the demand in requests a second.
	Rate     float64
	Waiting  int
	Active   int
	Replicas int
	// Coming counts the runners that load it.
	Coming int
}

// Summary lists the models with demand, the most demanded first.
func (p *Planner) Summary(now time.Time) []ModelSummary {
	p.takeTally(now)
	summaries := make([]ModelSummary, 0, len(p.tally.demands))
	for row, demand := range p.tally.demands {
		summary := ModelSummary{
			Service: row.Service, Model: row.Model, Rate: demand.rate, Waiting: p.tally.waiting[row],
			Replicas: len(p.holders(row)), Coming: len(p.coming(row)),
		}
		for key, count := range p.tally.active {
			if key.row == row {
				summary.Active += count
			}
		}
		summaries = append(summaries, summary)
	}
	slices.SortFunc(summaries, func(a, b ModelSummary) int {
		return cmp.Or(cmp.Compare(b.Rate, a.Rate), strings.Compare(a.Model, b.Model))
	})
	return summaries
}
