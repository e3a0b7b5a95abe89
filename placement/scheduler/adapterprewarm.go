package scheduler

import (
	"math"
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

const (
	// priorUseProbability is the assumed probability that an adapter without history is
	// used within an hour: once a week.
	priorUseProbability = 1.0 / (7 * 24)
	// maxAdapterCandidates bounds the adapters that one plan considers.
	maxAdapterCandidates = 256
	// adapterPrewarmInterval is the minimum time between an adapter's last change of state
	// in the zone and the next adapter prewarm. It bounds 24 zones to 1,440 such loads an
	// hour; the site is designed for 7,300 loads an hour.
	adapterPrewarmInterval = time.Minute
)

// planAdapterPrewarm prewarms one adapter on a runner with a ready base, where the expected saving
// is worth its memory. Successive plans start at different bases and adapters, so that
// each is considered in time. Like planPrewarm it uses free memory only, and leaves
// one store read for requests.
func (p *planner) planAdapterPrewarm() {
	if len(p.plan.Loads) > 0 || p.storeLoads+1 >= p.snapshot.StoreLoadBudget || p.adaptersChangedRecently() {
		return
	}
	bases := p.readyBases()
	if len(bases) == 0 {
		return
	}
	p.cached = map[structs.RowName]map[structs.RunnerID]structs.CacheTier{}
	runnersWithReserve := p.countRunnersWithReserve()
	offset := int(p.snapshot.Now.Unix() % math.MaxInt32)
	remaining := maxAdapterCandidates
	for i := range bases {
		base := bases[(offset+i)%len(bases)]
		names := p.snapshot.Table.AdaptersOf(base.Row)
		for k := range names {
			if remaining--; remaining < 0 {
				return
			}
			name := names[(offset/len(bases)+k)%len(names)]
			if p.prewarmAdapter(p.row(name), base, runnersWithReserve[base.runner.Role]) {
				return // The next plan sees this load in progress.
			}
		}
	}
}

// adaptersChangedRecently reports whether an adapter's load began or ended within
// adapterPrewarmInterval. It relies on the replica records alone, so that a new leader
// keeps the interval.
func (p *planner) adaptersChangedRecently() bool {
	since := p.snapshot.Now.Add(-adapterPrewarmInterval)
	for _, replica := range p.snapshot.Replicas {
		if replica.Base != "" && replica.Since.After(since) {
			return true
		}
	}
	return false
}

// readyBases returns the ready replicas of models on runners that accept work.
func (p *planner) readyBases() []*replicaState {
	var bases []*replicaState
	for _, runner := range p.runners {
		if runner.Leaving || runner.Lagging {
			continue
		}
		for _, replica := range runner.replicas {
			if replica.State == structs.ReplicaReady && !replica.unloading && replica.Base == "" {
				bases = append(bases, replica)
			}
		}
	}
	return bases
}

// prewarmAdapter loads the adapter on the runner of its base if it is absent, fits and is worth
// its memory, and reports whether it did.
func (p *planner) prewarmAdapter(adapter *rowState, base *replicaState, runnersWithReserve int) bool {
	runner := base.runner
	if !adapter.exists || adapter.recordCount > 0 || adapter.limit == 0 || adapter.frozen || adapter.MemoryBytes > runner.future {
		return false
	}
	expected := max(adapter.useProbability, priorUseProbability)
	if expected*p.coldStartCost(adapter).Seconds() <= expectationSeconds {
		return false
	}
	option := p.option(adapter, runner, math.Inf(1))
	if option == nil || !option.fitsNow || !p.leavesReserve(runner, option.need, runnersWithReserve) {
		return false
	}
	p.commit(adapter, option)
	return true
}
