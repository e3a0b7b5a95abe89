package routing

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/lotusferry/lotusferry/structs"
)

// SetPlacement replaces the runners and replicas. Attempts under way keep their
// counts; a runner with another incarnation starts anew.
func (b *Balancer) SetPlacement(placement structs.Placement) {
	b.setRunners(placement.Runners)
	previous := b.rows
	b.rows = make(map[structs.RowName]*row, len(previous))
	for _, placed := range placement.Replicas {
		b.addReplica(placed, previous)
	}
	for _, target := range b.runners {
		target.keepReplicas(b.rows)
	}
	for _, current := range b.rows {
		b.chooseSubset(current)
	}
}

// Leave takes the runner out of every choice at once and for the rest of its life.
func (b *Balancer) Leave(id structs.RunnerID) {
	target := b.runners[id]
	if target == nil || target.leaving {
		return
	}
	b.left[id] = target.info.Incarnation
	target.leaving = true
	for _, name := range target.rows {
		current := b.rows[name]
		if current != nil && target.replicas[name] != nil {
			current.ready--
		}
	}
}

func (b *Balancer) setRunners(infos []structs.RunnerInfo) {
	previous := b.runners
	b.runners = make(map[structs.RunnerID]*runner, len(infos))
	left := make(map[structs.RunnerID]structs.Incarnation)
	for _, info := range infos {
		target := previous[info.ID]
		if target == nil || target.info.Incarnation != info.Incarnation {
			target = b.newRunner(info)
		}
		incarnation, gone := b.left[info.ID]
		gone = gone && info.Incarnation <= incarnation
		if gone {
			left[info.ID] = incarnation
		}
		target.info = info
		target.leaving = info.Leaving || gone
		target.rows = target.rows[:0]
		b.runners[info.ID] = target
	}
	for id, old := range previous {
		if b.runners[id] != old {
			old.leaving = true
			old.replicas = nil
		}
	}
	b.left = left
}

func (b *Balancer) newRunner(info structs.RunnerInfo) *runner {
	b.lastNumber++
	return &runner{
		info:     info,
		number:   b.lastNumber,
		hash:     xxhash.Sum64String(string(b.options.Daemon) + "\x00" + string(info.ID)),
		maxBatch: b.options.MaxBatch,
		replicas: make(map[structs.RowName]*replica),
	}
}

// addReplica puts a ready replica in its row; every replica on a runner that
// is not leaving is a candidate for the subset.
func (b *Balancer) addReplica(placed structs.Replica, previous map[structs.RowName]*row) {
	target := b.runners[placed.Runner]
	if target == nil || placed.State != structs.ReplicaReady || placed.Incarnation != target.info.Incarnation {
		return
	}
	current := b.rows[placed.Row]
	if current == nil {
		current = previous[placed.Row]
		if current == nil {
			current = &row{name: placed.Row}
		}
		current.ready = 0
		current.subset = current.subset[:0]
		b.rows[placed.Row] = current
	}
	known := target.replicas[placed.Row]
	if known == nil {
		known = &replica{runner: target}
		target.replicas[placed.Row] = known
	}
	known.row = current
	target.rows = append(target.rows, placed.Row)
	if !target.leaving {
		current.ready++
		current.subset = append(current.subset, known)
	}
}

// keepReplicas drops replicas that are no longer placed and sorts the rows.
func (r *runner) keepReplicas(rows map[structs.RowName]*row) {
	slices.Sort(r.rows)
	for name := range r.replicas {
		if _, found := slices.BinarySearch(r.rows, name); !found || rows[name] == nil {
			delete(r.replicas, name)
		}
	}
}

// chooseSubset keeps the replicas on the runners with the highest hash of daemon
// and runner (rendezvous hashing): when a runner comes or goes, at most one
// member of the subset changes.
func (b *Balancer) chooseSubset(current *row) {
	slices.SortFunc(current.subset, func(left, right *replica) int {
		switch {
		case left.runner.hash > right.runner.hash:
			return -1
		case left.runner.hash < right.runner.hash:
			return 1
		}
		return 0
	})
	if len(current.subset) > b.options.SubsetSize {
		clear(current.subset[b.options.SubsetSize:])
		current.subset = current.subset[:b.options.SubsetSize]
	}
}
