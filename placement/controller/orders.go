package controller

import (
	"cmp"
	"slices"

	"github.com/lotusferry/lotusferry/placement/zone"
	"github.com/lotusferry/lotusferry/structs"
)

// followReplicas compares the records of each runner with its report: it records
// outcomes and sends the order that is due next.
func (d *decider) followReplicas() {
	for _, runner := range d.runners {
		seen, ok := d.report(runner.ID, runner.Incarnation)
		if !ok || seen.Report.Fence.Epoch > d.input.Epoch {
			continue
		}
		var pending []structs.Order
		for _, replica := range d.on[runner.ID] {
			follow := follower{decider: d, replica: replica, seen: seen}
			follow.engine, follow.shown = findReplica(seen.Report, replica)
			if order := follow.step(); order != nil {
				pending = append(pending, *order)
			}
		}
		// A prefetch is only a help: it holds up nothing else.
		if prefetch := d.followPrefetch(runner, seen.Report); prefetch != nil && len(pending) == 0 {
			pending = append(pending, *prefetch)
		}
		if len(pending) > 0 {
			d.send(pending)
		}
	}
}

// caches reports whether the engine has the row's checkpoint nearer than the store.
func caches(report structs.EngineReport, row structs.RowName) bool {
	return slices.ContainsFunc(report.Cached, func(entry structs.CachedRow) bool {
		return entry.Row == row && entry.Tier != structs.TierStore
	})
}

// send sends the pending order of one runner that was recorded first, if the
// engine is not known to have accepted it and it was not sent just now.
func (d *decider) send(pending []structs.Order) {
	order := slices.MinFunc(pending, func(a, b structs.Order) int {
		return cmp.Compare(a.Fence.Number, b.Fence.Number)
	})
	last := d.core.sent[order.Runner]
	if last.fence == order.Fence && d.recent(last.at) {
		return
	}
	d.core.sent[order.Runner] = sentOrder{order.Fence, d.input.Now}
	d.decisions.Orders = append(d.decisions.Orders, order)
}

// findReplica returns what the report says of the replica. What the engine did
// under an order from before the record was made is about an earlier replica.
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

// follower follows one replica record.
type follower struct {
	*decider
	replica zone.Replica
	seen    ReportSeen
	engine  structs.EngineReplica
	shown   bool
}

// step proposes what the report shows to be due and returns the order to send, or nil.
func (f *follower) step() *structs.Order {
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

// fence is the fence under which this leader sends the replica's order.
func (f *follower) fence() structs.Fence {
	return structs.Fence{Epoch: f.input.Epoch, Number: f.replica.Order}
}

// passed reports whether the reporting engine can no longer accept the order
// from this leader or an earlier one.
func (f *follower) passed() bool { return !f.seen.Report.Fence.Before(f.fence()) }

// overtaken reports whether it had accepted a newer order by then.
func (f *follower) overtaken() bool { return f.fence().Before(f.seen.Report.Fence) }

func (f *follower) replied() bool {
	return f.decider.replied(f.replica.Runner, f.replica.Incarnation, f.fence())
}

// replied reports whether the engine answered that it accepted the order of the
// fence, or a newer one, whatever its last report says.
func (d *decider) replied(runner structs.RunnerID, incarnation structs.Incarnation, fence structs.Fence) bool {
	known := d.core.accepted[runner]
	return known.incarnation == incarnation && !known.fence.Before(fence)
}

func (f *follower) stepLoading() *structs.Order {
	switch {
	case f.shown && f.engine.State == structs.ReplicaReady:
		f.transition(f.replica, structs.ReplicaReady)
	case f.shown:
	case f.passed() && !f.overtaken():
		f.fail()
	case !f.baseReady() || !f.accepting() || !f.granted():
	case f.overtaken():
		f.touch()
	case !f.replied():
		return f.order(structs.OrderLoad)
	}
	return nil
}

// accepting reports whether the runner may get new replicas. One that was
// reserved before the runner began to leave is unloaded by the next plan.
func (f *follower) accepting() bool {
	runner, ok := f.input.State.Runner(f.replica.Runner)
	return ok && f.decider.accepting(runner)
}

// granted reports whether the grant allows the row's replicas to become more. One
// that was reserved under an older grant and is not loading yet waits, or is
// unloaded by the next plan.
func (f *follower) granted() bool {
	grant := f.input.State.Grant(f.replica.Row)
	return !grant.Frozen && f.input.State.CountOf(f.replica.Row) <= grant.Limit
}

// baseReady reports whether the replica's base, if it needs one, is ready.
func (f *follower) baseReady() bool {
	if f.replica.Base == "" {
		return true
	}
	base, ok := f.input.State.Replica(f.replica.Runner, f.replica.Base)
	return ok && base.State == structs.ReplicaReady
}

// fail removes a replica whose load failed; adapters that wait for it go first.
func (f *follower) fail() {
	if !f.unloadAdapters() {
		f.remove()
	}
}

// unloadAdapters moves the adapters that need the replica to unloading, and
// reports whether any are there still.
func (f *follower) unloadAdapters() bool {
	found := false
	for _, other := range f.on[f.replica.Runner] {
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

// stepReady unloads, for the record's sake, what the engine lost. The reports
// that showed the replica ready are from before the record says so; only a later
// one can show a loss. Fences do not tell, for an order of an earlier number may
// have been accepted after this one's, under a later epoch.
func (f *follower) stepReady() {
	lost := !f.shown && f.seen.ReceivedAt.After(f.replica.Since)
	if lost && !f.unloadAdapters() {
		f.transition(f.replica, structs.ReplicaUnloading)
	}
}

func (f *follower) stepUnloading() *structs.Order {
	switch {
	case !f.shown && f.passed():
		f.remove()
	case f.shown && f.passed() && f.engine.Fence.Number >= f.replica.Order:
		// The engine is unloading it.
	case f.busy():
	case f.overtaken():
		f.touch()
	case !f.replied():
		return f.order(structs.OrderUnload)
	}
	return nil
}

// busy reports whether requests may still be on the replica: it shows some, or
// its report, which may also be from before the load, is older than the routers'
// knowledge that the replica is unloading.
func (f *follower) busy() bool {
	if f.engine.State == structs.ReplicaUnloading {
		return false
	}
	settled := f.replica.Since.Add(f.core.options.UnloadDelay)
	return f.engine.Running+f.engine.Queued > 0 || f.seen.ReceivedAt.Before(settled)
}

func (f *follower) touch() {
	f.propose(zone.Command{Touch: &zone.TouchCommand{
		Row: f.replica.Row, Runner: f.replica.Runner, Order: f.replica.Order,
	}})
}

func (f *follower) remove() {
	f.propose(zone.Command{Remove: &zone.RemoveCommand{
		Row: f.replica.Row, Runner: f.replica.Runner, Order: f.replica.Order,
	}})
}

func (f *follower) order(kind structs.OrderKind) *structs.Order {
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
