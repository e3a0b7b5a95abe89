package scheduler

import (
	"math"
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

const (
	// unseenUse is the probability of a use within an hour of an adapter of which
	// nothing is expected: once a week.
	unseenUse = 1.0 / (7 * 24)
	// maxCompanions bounds the adapters that one plan looks at.
	maxCompanions = 256
	// companionInterval is the least time between an adapter's last change of state in
	// the zone and the next load ahead of need beside a base. 24 zones make 1,440 such
	// loads an hour at most, beside the 7,300 that the site is designed for.
	companionInterval = time.Minute
)

// planCompanions loads one adapter ahead of need beside a base that is ready, where
// its few bytes are worth it. Plans take turns with the bases and with their adapters,
// so that each is looked at in time however many there are. Like planPrewarm it takes
// free memory only, and leaves a store read for requests.
func (p *planner) planCompanions() {
	if len(p.plan.Loads) > 0 || p.storeLoads+1 >= p.snapshot.StoreLoadBudget || p.adaptersChangedLately() {
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

// adaptersChangedLately tells whether an adapter's load began or ended within the
// companionInterval. The replicas themselves say so: nothing else is kept, and a new
// leader goes by the same times.
func (p *planner) adaptersChangedLately() bool {
	since := p.snapshot.Now.Add(-companionInterval)
	for _, replica := range p.snapshot.Replicas {
		if replica.Base != "" && replica.Since.After(since) {
			return true
		}
	}
	return false
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
