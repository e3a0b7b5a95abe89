package residency

import "github.com/lotusferry/lotusferry/placement/site"

const (
	// blockedLateShare is the share of late requests for models with copies at a runner while it
	// loads another one within their objectives. All of them are late if the load takes longer.
	blockedLateShare = 0.3
	// minSharedReplicas is the number of replicas from which a model doesn't depend on its copies:
	// the others serve it while one is evicted.
	minSharedReplicas = 2
)

// addCopyDemand computes how many requests per second depend on the copies at each runner. The
// demand for a model with few replicas is split evenly among the runners with a copy.
func (t *snapshot) addCopyDemand() {
	t.copyDemand = make(map[*runner]float64)
	for row := range t.demands {
		rate := t.demandPerCopy(row)
		if rate == 0 {
			continue
		}
		for _, r := range t.copies[row] {
			t.copyDemand[r] += rate
		}
	}
}

// demandPerCopy returns the requests per second for a model that depend on each of its copies.
func (t *snapshot) demandPerCopy(row Row) float64 {
	copies := len(t.copies[row])
	if copies == 0 || len(t.holders[row]) >= minSharedReplicas {
		return 0
	}
	return t.demands[row].rate / float64(copies)
}

// blockedCopyCost returns the number of requests that become late because the runner loads a model
// and can't load from its other copies meanwhile. It keeps runners with the only copy of a model in
// demand free, and long loads away from runners on whose copies many requests depend.
func (p *Planner) blockedCopyCost(r *runner, model *site.Model) float64 {
	row := r.rowOf(model.Name)
	rate := p.snapshot.copyDemand[r]
	if r.hasCopy(model.Name) {
		rate -= p.snapshot.demandPerCopy(row)
	}
	seconds := loadTime(r, model).Seconds()
	lateShare := blockedLateShare
	if !r.hasCopy(model.Name) {
		lateShare = 1
	}
	return max(0, rate) * seconds * lateShare
}
