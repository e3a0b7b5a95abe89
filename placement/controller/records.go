package controller

import (
	"github.com/lotusferry/lotusferry/placement/scheduler"
	"github.com/lotusferry/lotusferry/placement/zone"
	"github.com/lotusferry/lotusferry/structs"
)

// records are the runners and replicas of a zone's state, in order. Most rounds find
// them as the round before did: they are read anew only after a command about them.
type records struct {
	state    *zone.State
	index    uint64
	runners  []zone.Runner
	replicas []zone.Replica
	// on holds the part of replicas that is on each runner.
	on map[structs.RunnerID][]zone.Replica
}

// update reads the records unless they are those of the state already.
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
	r.on = make(map[structs.RunnerID][]zone.Replica, len(r.runners))
	for first := 0; first < len(r.replicas); {
		runner := r.replicas[first].Runner
		last := first
		for last < len(r.replicas) && r.replicas[last].Runner == runner {
			last++
		}
		r.on[runner] = r.replicas[first:last:last]
		first = last
	}
}

// snapshotBuffers are used again by each round's snapshot.
type snapshotBuffers struct {
	runners  []scheduler.Runner
	replicas []scheduler.Replica
}
