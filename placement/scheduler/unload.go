package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

// unload plans to unload the replica; if adapters are on it, only those, since they must
// go first. It returns false if the replica cannot be unloaded now.
func (p *planner) unload(replica *replicaState, reason Reason) bool {
	if replica.unloading || replica.runner.Lagging {
		return false
	}
	adapters := replica.adapters()
	for _, adapter := range adapters {
		p.unload(adapter, reason)
	}
	if !replica.misplaced() {
		replica.row.count(replica, -1)
	}
	replica.unloading = true
	replica.runner.future += replica.MemoryBytes
	if len(adapters) > 0 {
		return true
	}
	p.plan.Unloads = append(p.plan.Unloads, UnloadDecision{replica.Row, replica.runner.ID, reason})
	return true
}

// adapters returns the adapters on the replica, including those that are unloading.
func (r *replicaState) adapters() []*replicaState {
	var list []*replicaState
	for _, other := range r.runner.replicas {
		if other.Base == r.Row {
			list = append(list, other)
		}
	}
	return list
}

// planSurplus unloads replicas above the limit, including busy ones: routers send
// nothing more to an unloading replica, and it is removed once it is idle.
func (p *planner) planSurplus(row *rowState) {
	surplus := row.recordCount - row.limit
	for _, replica := range row.replicas {
		if replica.unloading {
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

// planLeaving unloads misplaced replicas once enough others are ready or none are needed.
// If the grant leaves no room for a replacement, it waits until the replica is idle.
func (p *planner) planLeaving(row *rowState) {
	for _, replica := range row.replicas {
		if replica.unloading || !replica.misplaced() {
			continue
		}
		replaced := row.readyCount >= min(row.wantedReplicas, row.limit)
		noRoom := !row.mayGrow() && replica.Busy == 0
		if replaced || noRoom || replica.State == structs.ReplicaLoading {
			p.unload(replica, ReasonLeaving)
		}
	}
}

// planIdle unloads replicas that were idle for longer than their keep-alive time. The
// adapters on a base are unloaded with it.
func (p *planner) planIdle(row *rowState) {
	if row.demand.Waiting > 0 || len(row.replicas) == 0 {
		return
	}
	for _, replica := range row.replicas {
		if row.usableCount <= row.minimum {
			return
		}
		if !replica.idle() || replica.misplaced() || !p.adaptersIdle(replica) {
			continue
		}
		resident := p.snapshot.Now.Sub(replica.Since)
		extra := row.usableCount > max(1, row.wantedReplicas) && resident > p.settings.MinKeepAlive && len(replica.adapters()) == 0
		if extra || !p.worthKeeping(replica) {
			p.unload(replica, ReasonIdle)
		}
	}
}

// adaptersIdle reports whether all adapters on the replica are idle and not needed.
func (p *planner) adaptersIdle(replica *replicaState) bool {
	for _, adapter := range replica.adapters() {
		needed := adapter.row.usableCount <= adapter.row.minimum
		if !adapter.unloading && (!adapter.idle() || adapter.row.demand.Waiting > 0 || needed) {
			return false
		}
	}
	return true
}

// worthKeeping reports whether the replica is within its own keep-alive time or that of
// one of its adapters, or is expected to be used soon.
func (p *planner) worthKeeping(replica *replicaState) bool {
	resident := p.snapshot.Now.Sub(replica.Since)
	if min(p.idleFor(replica.row), resident) <= p.keepAlive(replica.row) || p.worthPrewarming(replica.row) {
		return true
	}
	adapters := replica.adapters()
	if len(adapters) > 0 && p.worthKeepingBase(replica) {
		return true
	}
	for _, adapter := range adapters {
		unused := min(p.idleFor(adapter.row), resident)
		kept := unused <= p.keepAliveWithBase(adapter.row, replica.row) || p.worthPrewarmingWithBase(adapter.row, replica.row)
		if !adapter.unloading && kept {
			return true
		}
	}
	return false
}

// worthKeepingBase reports whether the cold-start time that a base is expected to save
// itself and its adapters within the next hour is worth more than the idle hour.
func (p *planner) worthKeepingBase(base *replicaState) bool {
	returns := p.replicaReturnProbability(base, expectationSeconds*time.Second)
	return returns*p.coldStartCost(base.row).Seconds() > expectationSeconds
}

func (r *replicaState) idle() bool {
	return !r.unloading && r.State == structs.ReplicaReady && r.Busy == 0
}
