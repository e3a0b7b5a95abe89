package residency

import (
	"slices"
	"strings"
)

// Coverage describes how fast the models of a service can be served. Each model counts in one of
// Loaded, Coming, Copied and Absent.
type Coverage struct {
	Service string
	// Loaded models are ready at one runner or more.
	Loaded int
	// Coming models are being loaded, but ready at no runner.
	Coming int
	// Copied models are at no runner, but the machine of one has a copy.
	Copied int
	// Absent models must be loaded from the weight store.
	Absent int
	// Replicas is the number of loaded replicas of all models.
	Replicas int
	// ZoneBound is the number of models in demand that are ready in only one of several zones.
	ZoneBound int
	// ColdBound is the number of models in demand that are ready at cold runners alone.
	ColdBound int
	// Evacuated is the number of models in demand that only runners of drained zones hold.
	Evacuated int
}

// minEvacuatedRate is the demand in requests per second from which a model counts as evacuated: about
// one request in the last half minute.
const minEvacuatedRate = 0.002

// Coverages returns the coverage of each service with models, as of the last snapshot.
func (p *Planner) Coverages() []Coverage {
	if p.document == nil || p.snapshot == nil {
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
			found.add(p.snapshot, row)
			if p.isZoneBound(row) {
				found.ZoneBound++
			}
			if p.isColdBound(row) {
				found.ColdBound++
			}
			if p.isEvacuated(row) && p.modelDemand(row).rate >= minEvacuatedRate {
				found.Evacuated++
			}
		}
		listed = append(listed, found)
	}
	slices.SortFunc(listed, func(a, b Coverage) int { return strings.Compare(a.Service, b.Service) })
	return listed
}

func (c *Coverage) add(t *snapshot, row Row) {
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
