package controller

import (
	"cmp"
	"slices"

	"github.com/lotusferry/lotusferry/placement/zone"
	"github.com/lotusferry/lotusferry/structs"
)

// reconcileReplicas compares the records of each runner with its report, proposes the
// outcomes and sends the next order.
func (d *decider) reconcileReplicas() {
	for _, runner := range d.runners {
		seen, ok := d.report(runner.ID, runner.Incarnation)
		if !ok || seen.Report.Fence.Epoch > d.input.Epoch {
			continue
		}
		var pending []structs.Order
		for _, replica := range d.byRunner[runner.ID] {
			replicaReconciler := reconciler{decider: d, replica: replica, seen: seen}
			replicaReconciler.engine, replicaReconciler.reported = findReplica(seen.Report, replica)
			if order := replicaReconciler.step(); order != nil {
				pending = append(pending, *order)
			}
		}
		// A prefetch is optional and must not delay other orders.
		if prefetch := d.reconcilePrefetch(runner, seen.Report); prefetch != nil && len(pending) == 0 {
			pending = append(pending, *prefetch)
		}
		if len(pending) > 0 {
			d.send(pending)
		}
	}
}

// hasCached reports whether the engine has the row's checkpoint in a tier above the store.
func hasCached(report structs.EngineReport, row structs.RowName) bool {
	return slices.ContainsFunc(report.Cached, func(entry structs.CachedRow) bool {
		return entry.Row == row && entry.Tier != structs.TierStore
	})
}

// send sends the runner's pending order with the lowest number, unless it was sent within
// the resend interval.
func (d *decider) send(pending []structs.Order) {
	order := slices.MinFunc(pending, func(a, b structs.Order) int {
		return cmp.Compare(a.Fence.Number, b.Fence.Number)
	})
	last := d.core.sent[order.Runner]
	if last.fence == order.Fence && d.withinResendInterval(last.at) {
		return
	}
	d.core.sent[order.Runner] = sentOrder{order.Fence, d.input.Now}
	d.decisions.Orders = append(d.decisions.Orders, order)
}

// findReplica returns the report's entry for the replica. An entry under an order from
// before the record was made is about an earlier replica, and is ignored.
func findReplica(report structs.EngineReport, replica zone.Replica) (structs.EngineReplica, bool) {
	for _, engine := range report.Replicas {
		if engine.Row == replica.Row {
			if engine.State == structs.ReplicaAbsent || engine.Fence.Number < replica.Reserved {
				break
			}
			return engine, true
		}
	}
	return structs.EngineReplica{}, false
}

// reconciler compares one replica record with its engine's report.
type reconciler struct {
	*decider
	replica  zone.Replica
	seen     ReportSeen
	engine   structs.EngineReplica
	reported bool
}

// step proposes the changes that the report implies and returns the order to send, or nil.
func (f *reconciler) step() *structs.Order {
	switch f.replica.State {
	case structs.ReplicaLoading:
		return f.stepLoading()
	case structs.ReplicaReady:
		f.stepReady()
		return nil
	default:
		return f.stepUnloading()
	}
}

// fence returns the fence under which this leader sends the replica's order.
func (f *reconciler) fence() structs.Fence {
	return structs.Fence{Epoch: f.input.Epoch, Number: f.replica.Order}
}

// fencePassed reports whether the reporting engine can no longer accept the order from
// this leader or an earlier one.
func (f *reconciler) fencePassed() bool { return !f.seen.Report.Fence.Before(f.fence()) }

// superseded reports whether the engine had accepted a newer order by the time of its report.
func (f *reconciler) superseded() bool { return f.fence().Before(f.seen.Report.Fence) }

func (f *reconciler) acknowledged() bool {
	return f.decider.acknowledged(f.replica.Runner, f.replica.Incarnation, f.fence())
}

// acknowledged reports whether the engine replied that it accepted the order with the
// fence, or a newer one, regardless of its last report.
func (d *decider) acknowledged(runner structs.RunnerID, incarnation structs.Incarnation, fence structs.Fence) bool {
	known := d.core.accepted[runner]
	return known.incarnation == incarnation && !known.fence.Before(fence)
}

func (f *reconciler) stepLoading() *structs.Order {
	switch {
	case f.reported && f.engine.State == structs.ReplicaReady:
		f.transition(f.replica, structs.ReplicaReady)
	case f.reported:
	case f.fencePassed() && !f.superseded():
		f.fail()
	case !f.baseReady() || !f.accepting() || !f.granted():
	case f.superseded():
		f.touch()
	case !f.acknowledged():
		return f.order(structs.OrderLoad)
	}
	return nil
}

// accepting reports whether the runner may get new replicas. A replica reserved before its
// runner began to leave is unloaded by the next plan.
func (f *reconciler) accepting() bool {
	runner, ok := f.input.State.Runner(f.replica.Runner)
	return ok && f.decider.accepting(runner)
}

// granted reports whether the grant allows the load. A replica that was reserved under an
// older grant and is not loading yet waits, or is unloaded by the next plan.
func (f *reconciler) granted() bool {
	grant := f.input.State.Grant(f.replica.Row)
	return !grant.Frozen && f.input.State.CountOf(f.replica.Row) <= grant.Limit
}

// baseReady reports whether the replica's base is ready or it needs none.
func (f *reconciler) baseReady() bool {
	if f.replica.Base == "" {
		return true
	}
	base, ok := f.input.State.Replica(f.replica.Runner, f.replica.Base)
	return ok && base.State == structs.ReplicaReady
}

// fail removes a replica whose load failed, after the adapters that depend on it.
func (f *reconciler) fail() {
	if !f.unloadAdapters() {
		f.remove()
	}
}

// unloadAdapters proposes to unload the adapters on the replica, and reports whether any
// remain.
func (f *reconciler) unloadAdapters() bool {
	found := false
	for _, other := range f.byRunner[f.replica.Runner] {
		if other.Base != f.replica.Row {
			continue
		}
		found = true
		if other.State != structs.ReplicaUnloading {
			f.transition(other, structs.ReplicaUnloading)
		}
	}
	return found
}

// stepReady proposes to unload a ready replica that the engine lost. Only a report from
// after the record became ready can show a loss. Fences cannot, since an order with a lower
// number may have been accepted after this one under a later epoch.
func (f *reconciler) stepReady() {
	lost := !f.reported && f.seen.ReceivedAt.After(f.replica.Since)
	if lost && !f.unloadAdapters() {
		f.transition(f.replica, structs.ReplicaUnloading)
	}
}

func (f *reconciler) stepUnloading() *structs.Order {
	switch {
	case !f.reported && f.fencePassed():
		f.remove()
	case f.reported && f.fencePassed() && f.engine.Fence.Number >= f.replica.Order:
		// The engine is unloading the replica.
	case f.busy():
	case f.superseded():
		f.touch()
	case !f.acknowledged():
		return f.order(structs.OrderUnload)
	}
	return nil
}

// busy reports whether requests may still run on the replica: the report shows some, or it
// is older than the time by which routers know that the replica is unloading.
func (f *reconciler) busy() bool {
	if f.engine.State == structs.ReplicaUnloading {
		return false
	}
	routersInformed := f.replica.Since.Add(f.core.options.UnloadDelay)
	return f.engine.Running+f.engine.Queued > 0 || f.seen.ReceivedAt.Before(routersInformed)
}

func (f *reconciler) touch() {
	f.propose(zone.Command{Touch: &zone.TouchCommand{
		Row: f.replica.Row, Runner: f.replica.Runner, Order: f.replica.Order,
	}})
}

func (f *reconciler) remove() {
	f.propose(zone.Command{Remove: &zone.RemoveCommand{
		Row: f.replica.Row, Runner: f.replica.Runner, Order: f.replica.Order,
	}})
}

func (f *reconciler) order(kind structs.OrderKind) *structs.Order {
	return &structs.Order{
		Fence:       f.fence(),
		Kind:        kind,
		Runner:      f.replica.Runner,
		Incarnation: f.replica.Incarnation,
		Row:         f.replica.Row,
		Base:        f.replica.Base,
		MemoryBytes: f.replica.MemoryBytes,
	}
}
