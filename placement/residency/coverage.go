package residency

import (
	"slices"
	"strings"
)

// Coverage tells how many of a service's models can be served how soon. Each model counts
// in one of Loaded, Coming, Copied and Absent.
type Coverage struct {
	Service string
	// Loaded models are ready at one runner at least.
	Loaded int
	// Coming models are loaded by a runner, but ready at none.
	Coming int
	// Copied models are at no runner, but some runner's machine has a copy.
	Copied int
	// Absent models must come from the weight store.
	Absent int
	// Replicas counts the loaded replicas of all models.
	Replicas int
	// ZoneBound counts models in demand that are ready in one zone alone, of several.
	ZoneBound int
}

// Coverages lists the coverage of each service with models, as of the last tally.
func (p *Planner) Coverages() []Coverage {
	if p.document == nil || p.tally == nil {
		return nil
	}
	var listed []Coverage
	for i := range p.document.Document.Services {
		service := &p.document.Document.Services[i]
		if service.Engine == nil {
			continue
		}
		found := Coverage{Service: service.Name}
		for _, model := range service.Engine.Models {
			row := Row{Service: service.Name, Model: model.Name}
			found.add(p.tally, row)
			if p.isZoneBound(row) {
				found.ZoneBound++
			}
		}
		listed = append(listed, found)
	}
	slices.SortFunc(listed, func(a, b Coverage) int { return strings.Compare(a.Service, b.Service) })
	return listed
}

func (c *Coverage) add(t *tally, row Row) {
	c.Replicas += len(t.holders[row])
	switch {
	case len(t.holders[row]) > 0:
		c.Loaded++
	case len(t.coming[row]) > 0:
		c.Coming++
	case len(t.copies[row]) > 0:
		c.Copied++
	default:
		c.Absent++
	}
}
