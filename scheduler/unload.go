package scheduler

import (
	"cmp"
	"slices"

	"github.com/lotusferry/lotusferry/structs"
)

// unload plans to unload the replica, or, while adapters are on it, those first.
// It returns false when nothing can be unloaded there now.
func (p *planner) unload(replica *replicaState, reason Reason) bool {
	if replica.going || replica.runner.Lagging {
		return false
	}
	adapters := replica.adapters()
	for _, adapter := range adapters {
		p.unload(adapter, reason)
	}
	if !replica.misplaced() {
		replica.row.count(replica, -1)
	}
	replica.going = true
	replica.runner.future += replica.MemoryBytes
	if len(adapters) > 0 {
		return true
	}
	p.plan.Unloads = append(p.plan.Unloads, UnloadDecision{replica.Row, replica.runner.ID, reason})
	return true
}

// adapters returns the adapters that are on this replica, unloading ones too.
func (r *replicaState) adapters() []*replicaState {
	var list []*replicaState
	for _, other := range r.runner.replicas {
		if other.Base == r.Row {
			list = append(list, other)
		}
	}
	return list
}

// planSurplus unloads what is above the limit, also when it is busy: routers
// send nothing more to an unloading replica, and it goes once it is idle.
func (p *planner) planSurplus(row *rowState) {
	surplus := row.records - row.limit
	for _, replica := range row.replicas {
		if replica.going {
			surplus--
		}
	}
	if surplus <= 0 {
		return
	}
	victims := slices.Clone(row.replicas)
	slices.SortStableFunc(victims, func(a, b *replicaState) int {
		return cmp.Or(
			compareBool(b.misplaced(), a.misplaced()),
			compareBool(b.State == structs.ReplicaLoading, a.State == structs.ReplicaLoading),
			cmp.Compare(len(a.adapters()), len(b.adapters())),
			cmp.Compare(a.Busy, b.Busy),
		)
	})
	for _, replica := range victims {
		if surplus > 0 && p.unload(replica, ReasonSurplus) {
			surplus--
		}
	}
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// planLeaving unloads replicas on runners that are not for the row, once enough
// others are ready or nothing needs them. Where the limit leaves no room for a
// replacement, it waits until the replica is idle.
func (p *planner) planLeaving(row *rowState) {
	for _, replica := range row.replicas {
		if replica.going || !replica.misplaced() {
			continue
		}
		replaced := row.ready >= min(row.wanted, row.limit)
		noRoom := row.records >= row.limit && replica.Busy == 0
		if replaced || noRoom || replica.State == structs.ReplicaLoading {
			p.unload(replica, ReasonLeaving)
		}
	}
}

// planIdle unloads replicas that nobody used for longer than they are kept.
func (p *planner) planIdle(row *rowState) {
	if row.demand.Waiting > 0 || len(row.replicas) == 0 {
		return
	}
	keep := p.keepAlive(row)
	for _, replica := range row.replicas {
		if row.usable <= row.MinReplicas {
			return
		}
		if !replica.idle() || len(replica.adapters()) > 0 || replica.misplaced() {
			continue
		}
		resident := p.snapshot.Now.Sub(replica.Since)
		unused := min(p.idleFor(row), resident)
		extra := row.usable > max(1, row.wanted) && resident > p.settings.MinimumKeepAlive
		if unused > keep || extra {
			p.unload(replica, ReasonIdle)
		}
	}
}

func (r *replicaState) idle() bool {
	return !r.going && r.State == structs.ReplicaReady && r.Busy == 0
}
