package scheduler

import (
	"cmp"
	"slices"
	"time"

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
// others are ready or nothing needs them. Where the grant leaves no room for a
// replacement, it waits until the replica is idle.
func (p *planner) planLeaving(row *rowState) {
	for _, replica := range row.replicas {
		if replica.going || !replica.misplaced() {
			continue
		}
		replaced := row.ready >= min(row.wanted, row.limit)
		noRoom := !row.mayGrow() && replica.Busy == 0
		if replaced || noRoom || replica.State == structs.ReplicaLoading {
			p.unload(replica, ReasonLeaving)
		}
	}
}

// planIdle unloads replicas that nobody used for longer than they are kept. A
// base goes with the adapters on it, which are never a reason alone to keep it.
func (p *planner) planIdle(row *rowState) {
	if row.demand.Waiting > 0 || len(row.replicas) == 0 {
		return
	}
	for _, replica := range row.replicas {
		if row.usable <= row.minimum {
			return
		}
		if !replica.idle() || replica.misplaced() || !p.adaptersIdle(replica) {
			continue
		}
		resident := p.snapshot.Now.Sub(replica.Since)
		extra := row.usable > max(1, row.wanted) && resident > p.settings.MinimumKeepAlive && len(replica.adapters()) == 0
		if extra || !p.worthKeeping(replica) {
			p.unload(replica, ReasonIdle)
		}
	}
}

// adaptersIdle reports whether nothing holds the adapters on the replica.
func (p *planner) adaptersIdle(replica *replicaState) bool {
	for _, adapter := range replica.adapters() {
		needed := adapter.row.usable <= adapter.row.minimum
		if !adapter.going && (!adapter.idle() || adapter.row.demand.Waiting > 0 || needed) {
			return false
		}
	}
	return true
}

// worthKeeping reports whether the replica is within the time that it is kept
// for its own sake, or for that of one of its adapters.
func (p *planner) worthKeeping(replica *replicaState) bool {
	resident := p.snapshot.Now.Sub(replica.Since)
	if min(p.idleFor(replica.row), resident) <= p.keepAlive(replica.row) || p.worthExpecting(replica.row) {
		return true
	}
	adapters := replica.adapters()
	if len(adapters) > 0 && p.worthKeepingBase(replica) {
		return true
	}
	for _, adapter := range adapters {
		unused := min(p.idleFor(adapter.row), resident)
		kept := unused <= p.keepAliveWithBase(adapter.row, replica.row) || p.worthExpectingWithBase(adapter.row, replica.row)
		if !adapter.going && kept {
			return true
		}
	}
	return false
}

// worthKeepingBase reports whether the cold start that a base is expected to save
// all its adapters together within the next hour is worth the hour.
func (p *planner) worthKeepingBase(base *replicaState) bool {
	returns := p.returnWithin(base, expectationSeconds*time.Second)
	return returns*p.coldCost(base.row).Seconds() > expectationSeconds
}

func (r *replicaState) idle() bool {
	return !r.going && r.State == structs.ReplicaReady && r.Busy == 0
}
