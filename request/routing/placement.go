package routing

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/lotusferry/lotusferry/placement/pace"
	"github.com/lotusferry/lotusferry/structs"
)

// SetPlacement sets the runners and their replicas. A partial placement replaces only
// the runners that it lists. Attempts in flight keep their counts; a runner with
// another incarnation starts with fresh state.
func (b *Balancer) SetPlacement(placement structs.Placement) {
	changed := make(changedRows)
	if !placement.Partial {
		b.retireUnlisted(placement.Runners, changed)
	}
	for _, info := range placement.Runners {
		b.setRunner(info, changed)
	}
	for _, placed := range placement.Replicas {
		b.addReplica(placed, changed)
	}
	for _, info := range placement.Runners {
		b.runners[info.ID].dropUnplaced()
	}
	for current := range changed {
		b.rebuild(current)
	}
}

// changedRows is the set of rows whose replicas may have changed. The rows are rebuilt
// independently, so their order does not matter.
type changedRows map[*row]struct{}

// Leave excludes the runner for the rest of its incarnation.
func (b *Balancer) Leave(id structs.RunnerID) {
	target := b.runners[id]
	if target == nil || target.leaving {
		return
	}
	b.departed[id] = target.info.Incarnation
	target.leaving = true
	b.rebuildRows(target)
}

// rebuildRows rebuilds the subsets of the rows on the runner.
func (b *Balancer) rebuildRows(target *runner) {
	for _, name := range target.rows {
		if current := b.rows[name]; current != nil {
			b.rebuild(current)
		}
	}
}

// retireUnlisted retires the runners that a full placement does not list.
func (b *Balancer) retireUnlisted(infos []structs.RunnerInfo, changed changedRows) {
	listed := make(map[structs.RunnerID]struct{}, len(infos))
	for _, info := range infos {
		listed[info.ID] = struct{}{}
	}
	for id, target := range b.runners {
		if _, kept := listed[id]; !kept {
			b.retire(target, changed)
		}
	}
	for id := range b.departed {
		if _, kept := listed[id]; !kept {
			delete(b.departed, id)
		}
	}
}

// Drop removes a runner, as a full placement that does not list it would.
func (b *Balancer) Drop(id structs.RunnerID) {
	delete(b.departed, id)
	target := b.runners[id]
	if target == nil {
		return
	}
	changed := make(changedRows)
	b.retire(target, changed)
	for current := range changed {
		b.rebuild(current)
	}
}

// retire removes one incarnation of a runner; attempts in flight still refer to it.
func (b *Balancer) retire(target *runner, changed changedRows) {
	target.unplaceAll(changed)
	target.leaving = true
	target.replicas = nil
	delete(b.runners, target.info.ID)
}

// setRunner adopts the description of a runner. Its replicas are added afterwards.
func (b *Balancer) setRunner(info structs.RunnerInfo, changed changedRows) {
	target := b.runners[info.ID]
	if target != nil && target.info.Incarnation != info.Incarnation {
		b.retire(target, changed)
		target = nil
	}
	if target == nil {
		target = b.newRunner(info)
		b.runners[info.ID] = target
	}
	target.unplaceAll(changed)
	incarnation, left := b.departed[info.ID]
	if left && info.Incarnation > incarnation {
		delete(b.departed, info.ID)
		left = false
	}
	target.info = info
	target.leaving = info.Leaving || left
}

func (b *Balancer) newRunner(info structs.RunnerInfo) *runner {
	b.lastNumber++
	return &runner{
		info:     info,
		number:   b.lastNumber,
		hash:     xxhash.Sum64String(string(b.options.Daemon) + "\x00" + string(info.ID)),
		maxBatch: b.options.MaxBatch,
		pace:     withDefaultSlowness(pace.Runner{}),
		replicas: make(map[structs.RowName]*replica),
	}
}

// addReplica adds a ready replica to its row. Replicas on runners that are not leaving
// are candidates for the subset.
func (b *Balancer) addReplica(placed structs.Replica, changed changedRows) {
	target := b.runners[placed.Runner]
	if target == nil || placed.State != structs.ReplicaReady || placed.Incarnation != target.info.Incarnation {
		return
	}
	current := b.rows[placed.Row]
	if current == nil {
		current = &row{name: placed.Row}
		b.rows[placed.Row] = current
	}
	known := target.replicas[placed.Row]
	if known == nil {
		known = &replica{row: current, runner: target}
		target.replicas[placed.Row] = known
		current.replicas = append(current.replicas, known)
	}
	if known.placed {
		return
	}
	known.placed = true
	target.rows = append(target.rows, placed.Row)
	changed[current] = struct{}{}
}

// unplaceAll marks the runner's replicas as no longer placed.
func (r *runner) unplaceAll(changed changedRows) {
	for _, known := range r.replicas {
		known.placed = false
		changed[known.row] = struct{}{}
	}
	r.rows = r.rows[:0]
}

// dropUnplaced removes the replicas that are no longer placed and sorts the rows.
func (r *runner) dropUnplaced() {
	slices.Sort(r.rows)
	for name, known := range r.replicas {
		if !known.placed {
			delete(r.replicas, name)
		}
	}
}

// rebuild updates the placed replicas of the row and its subset: the replicas on the
// runners with the highest hash of daemon and runner (rendezvous hashing), so that at
// most one member changes when a runner is added or removed. Runners that requested a
// cooldown and have not accepted a request since come last.
func (b *Balancer) rebuild(current *row) {
	current.replicas = slices.DeleteFunc(current.replicas, func(known *replica) bool { return !known.placed })
	if len(current.replicas) == 0 {
		delete(b.rows, current.name)
	}
	clear(current.subset)
	current.subset = current.subset[:0]
	for _, known := range current.replicas {
		if !known.runner.leaving {
			current.subset = append(current.subset, known)
		}
	}
	current.ready = len(current.subset)
	current.limitSubset(b.options.SubsetSize)
}

// limitSubset keeps the first replicas of the subset, at most size.
func (r *row) limitSubset(size int) {
	slices.SortFunc(r.subset, func(left, right *replica) int {
		return cmp.Or(left.runner.requested.compare(&right.runner.requested), cmp.Compare(right.runner.hash, left.runner.hash),
			cmp.Compare(left.runner.number, right.runner.number))
	})
	if len(r.subset) > size {
		clear(r.subset[size:])
		r.subset = r.subset[:size]
	}
}
