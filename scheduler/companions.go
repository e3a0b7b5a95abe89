package scheduler

import (
	"math"

	"github.com/lotusferry/lotusferry/structs"
)

const (
	// unseenUse is the probability of a use within an hour of an adapter of which
	// nothing is expected: once a week.
	unseenUse = 1.0 / (7 * 24)
	// maxCompanions bounds the adapters that one plan looks at.
	maxCompanions = 256
)

// planCompanions loads one adapter ahead of need beside a base that is ready, where
// its few bytes are worth it. Plans take turns with the bases and with their adapters,
// so that each is looked at in time however many there are. Like planPrewarm it takes
// free memory only, and leaves a store read for requests.
func (p *planner) planCompanions() {
	if len(p.plan.Loads) > 0 || p.storeLoads+1 >= p.snapshot.StoreLoadBudget {
		return
	}
	bases := p.readyBases()
	if len(bases) == 0 {
		return
	}
	p.cached = map[structs.RowName]map[structs.RunnerID]structs.CacheTier{}
	roomy := p.roomyRunners()
	turn := int(p.snapshot.Now.Unix() % math.MaxInt32)
	left := maxCompanions
	for i := range bases {
		base := bases[(turn+i)%len(bases)]
		names := p.snapshot.Table.AdaptersOf(base.Row)
		for k := range names {
			if left--; left < 0 {
				return
			}
			name := names[(turn/len(bases)+k)%len(names)]
			if p.loadCompanion(p.row(name), base, roomy[base.runner.Role]) {
				return // The next plan sees this one under way.
			}
		}
	}
}

// readyBases returns the ready replicas of models on runners that take work.
func (p *planner) readyBases() []*replicaState {
	var bases []*replicaState
	for _, runner := range p.runners {
		if runner.Leaving || runner.Lagging {
			continue
		}
		for _, replica := range runner.replicas {
			if replica.State == structs.ReplicaReady && !replica.going && replica.Base == "" {
				bases = append(bases, replica)
			}
		}
	}
	return bases
}

// loadCompanion loads the adapter beside the base if it is absent, fits, and is worth it.
func (p *planner) loadCompanion(adapter *rowState, base *replicaState, roomy int) bool {
	runner := base.runner
	if !adapter.exists || adapter.records > 0 || adapter.limit == 0 || adapter.frozen || adapter.MemoryBytes > runner.future {
		return false
	}
	expected := max(adapter.expected, unseenUse)
	if expected*p.coldCost(adapter).Seconds() <= expectationSeconds {
		return false
	}
	option := p.option(adapter, runner, math.Inf(1))
	if option == nil || !option.now || !p.leavesReserve(runner, option.need, roomy) {
		return false
	}
	p.take(adapter, option)
	return true
}
