package controller

import (
	"github.com/lotusferry/lotusferry/placement/scheduler"
	"github.com/lotusferry/lotusferry/placement/zone"
	"github.com/lotusferry/lotusferry/structs"
)

// records caches the sorted runners and replicas of a zone's state. They are read again
// only after a command that changes them.
type records struct {
	state    *zone.State
	index    uint64
	runners  []zone.Runner
	replicas []zone.Replica
	// byRunner holds the subslice of replicas on each runner.
	byRunner map[structs.RunnerID][]zone.Replica
}

// update reads the records again if the state has changed.
func (r *records) update(state *zone.State) {
	if r.state == state && r.index == state.RecordsIndex() {
		return
	}
	r.state = state
	r.index = state.RecordsIndex()
	r.runners = state.Runners()
	r.replicas = r.replicas[:0]
	for _, runner := range r.runners {
		r.replicas = append(r.replicas, state.ReplicasOn(runner.ID)...)
	}
	r.byRunner = make(map[structs.RunnerID][]zone.Replica, len(r.runners))
	for first := 0; first < len(r.replicas); {
		runner := r.replicas[first].Runner
		last := first
		for last < len(r.replicas) && r.replicas[last].Runner == runner {
			last++
		}
		r.byRunner[runner] = r.replicas[first:last:last]
		first = last
	}
}

// snapshotBuffers are reused by the snapshots of successive decisions.
type snapshotBuffers struct {
	runners  []scheduler.Runner
	replicas []scheduler.Replica
}
