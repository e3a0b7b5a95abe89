package residency

import "github.com/lotusferry/lotusferry/site"

const (
	// busyShare is the share of a service's demand from which a model counts as busy.
	busyShare = 0.15
	// busyRate is the least demand, in requests a second, of a busy model.
	busyRate = 0.5
	// successorShare is the part of the last busy model's demand that its successor is
	// expected to get.
	successorShare = 0.35
)

// successor is a model that is expected to become busy.
type successor struct {
	model  string
	demand modelDemand
}

// anticipate finds the successor of each service. Operators list models in the order in
// which demand moves through them, so that the one after the last busy model is next:
// its first callers should not wait for a load.
func (p *Planner) anticipate() {
	clear(p.successors)
	for i := range p.document.Document.Services {
		service := &p.document.Document.Services[i]
		if service.Engine != nil {
			p.anticipateIn(service)
		}
	}
}

func (p *Planner) anticipateIn(service *site.Service) {
	models := service.Engine.Models
	total := 0.0
	demands := make([]modelDemand, len(models))
	for i := range models {
		demands[i] = p.tally.demands[Row{Service: service.Name, Model: models[i].Name}]
		total += demands[i].rate
	}
	last := -1
	for i, demand := range demands {
		if demand.rate >= busyRate && demand.rate >= busyShare*total {
			last = i
		}
	}
	if last < 0 || last+1 >= len(models) {
		return
	}
	expected := demands[last]
	expected.rate *= successorShare
	p.successors[service.Name] = successor{model: models[last+1].Name, demand: expected}
}
