package residency

import "slices"

// runnerIndex lists the runners by the models that they hold, load or have copies of, sorted by
// instance. Snapshots use it in place of going through all runners, of which few change between two
// plans. It holds the state as of the last update.
type runnerIndex struct {
	// holders, coming and copies list the runners that may serve; see snapshot.
	holders, coming, copies map[Row][]*runner
	// services counts the runners of each service, and zones those that may serve.
	services map[string]int
	zones    map[serviceZone]int
	// changed lists the runners that have changed since the last update.
	changed []*runner
}

type serviceZone struct{ service, zone string }

// indexEntry is what the index lists of a runner.
type indexEntry struct {
	isListed bool
	service  string
	// zone is empty if the runner is not counted in one.
	zone string
	// holders, coming and copies are the models under which the runner is listed.
	holders, coming, copies []string
}

func newRunnerIndex() *runnerIndex {
	return &runnerIndex{
		holders: make(map[Row][]*runner), coming: make(map[Row][]*runner), copies: make(map[Row][]*runner),
		services: make(map[string]int), zones: make(map[serviceZone]int),
	}
}

// noteChanged records that a runner must be indexed again.
func (x *runnerIndex) noteChanged(r *runner) {
	if !r.isIndexStale {
		r.isIndexStale = true
		x.changed = append(x.changed, r)
	}
}

// update indexes the changed runners again. All of them are removed first, as the plan appends
// runners to lists regardless of their order.
func (x *runnerIndex) update() {
	for _, r := range x.changed {
		x.remove(r)
	}
	for _, r := range x.changed {
		r.isIndexStale = false
		if !r.isForgotten {
			x.add(r)
		}
	}
	clear(x.changed)
	x.changed = x.changed[:0]
}

func (x *runnerIndex) remove(r *runner) {
	entry := &r.indexed
	if !entry.isListed {
		return
	}
	decrement(x.services, entry.service)
	if entry.zone != "" {
		decrement(x.zones, serviceZone{entry.service, entry.zone})
	}
	removeFrom(x.holders, entry.service, entry.holders, r)
	removeFrom(x.coming, entry.service, entry.coming, r)
	removeFrom(x.copies, entry.service, entry.copies, r)
	*entry = indexEntry{holders: entry.holders[:0], coming: entry.coming[:0], copies: entry.copies[:0]}
}

func (x *runnerIndex) add(r *runner) {
	heartbeat, entry := &r.status.Heartbeat, &r.indexed
	entry.isListed, entry.service = true, heartbeat.Service
	x.services[heartbeat.Service]++
	if !r.status.MayServe() {
		return
	}
	if heartbeat.Zone != "" {
		entry.zone = heartbeat.Zone
		x.zones[serviceZone{heartbeat.Service, heartbeat.Zone}]++
	}
	for name, held := range r.holdings {
		switch held.phase {
		case phaseReady:
			entry.holders = append(entry.holders, name)
			insertInto(x.holders, r.rowOf(name), r)
		case phaseLoading, phaseUncertain:
			entry.coming = append(entry.coming, name)
			insertInto(x.coming, r.rowOf(name), r)
		}
	}
	for name := range r.copies {
		entry.copies = append(entry.copies, name)
		insertInto(x.copies, r.rowOf(name), r)
	}
}

// noteOrder updates the index with an order about a model. The runner is listed after the others
// that load the model until the next update.
func (x *runnerIndex) noteOrder(r *runner, operation Operation, model string) {
	row := r.rowOf(model)
	if operation == Load {
		r.indexed.coming = append(r.indexed.coming, model)
		x.coming[row] = append(x.coming[row], r)
		return
	}
	removeRunner(x.holders, row, r)
}

func decrement[K comparable](counts map[K]int, key K) {
	if counts[key]--; counts[key] <= 0 {
		delete(counts, key)
	}
}

func removeFrom(lists map[Row][]*runner, service string, models []string, r *runner) {
	for _, model := range models {
		removeRunner(lists, Row{Service: service, Model: model}, r)
	}
}

// removeRunner removes a runner from a list, and the list if that was its last runner.
func removeRunner(lists map[Row][]*runner, row Row, r *runner) {
	list := lists[row]
	if i := slices.Index(list, r); i >= 0 {
		list = slices.Delete(list, i, i+1)
		lists[row] = list
	}
	if len(list) == 0 {
		delete(lists, row)
	}
}

// insertInto inserts a runner into a list that is sorted by instance.
func insertInto(lists map[Row][]*runner, row Row, r *runner) {
	list := lists[row]
	i, _ := slices.BinarySearchFunc(list, r, byInstance)
	lists[row] = slices.Insert(list, i, r)
}
