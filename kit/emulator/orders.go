package emulator

import (
	"fmt"

	"github.com/lotusferry/lotusferry/structs"
)

// handleOrder accepts or refuses a fenced order.
func (e *Engine) handleOrder(call CallID, order structs.Order) {
	reason, repeated := e.checkFence(order)
	if reason == "" && !repeated {
		reason = e.execute(order)
		if reason == "" {
			e.fence = order.Fence
			e.lastOrder = order
			e.records.AcceptedOrders++
		}
	}
	if reason != "" {
		refusal := OrderRefusal{At: e.now, Order: order, Reason: reason}
		e.records.RefusedOrders = appendLimited(e.records.RefusedOrders, refusal, e.options.RecordLimit, &e.records.Dropped)
	}
	reply := structs.OrderReply{Accepted: reason == "", Fence: e.fence, Incarnation: e.incarnation, Reason: reason}
	e.emit(EngineOutput{Kind: OutputOrder, Call: call, Order: &reply})
}

// checkFence returns the reason for refusing an order, or whether it repeats the last
// accepted order.
func (e *Engine) checkFence(order structs.Order) (reason string, repeated bool) {
	switch {
	case order.Runner != e.options.Runner:
		return fmt.Sprintf("the order is for runner %q: read the machine list again", order.Runner), false
	case order.Incarnation != e.incarnation:
		return fmt.Sprintf("the engine's incarnation is %d: read its report again", e.incarnation), false
	case order == e.lastOrder:
		return "", true
	case !e.fence.Before(order.Fence):
		return "a newer order was accepted: step down as leader or read the zone log again", false
	}
	return "", false
}

// execute starts an order. A non-empty reason means that the order had no effect.
func (e *Engine) execute(order structs.Order) string {
	switch order.Kind {
	case structs.OrderLoad:
		return e.load(order)
	case structs.OrderUnload:
		return e.unload(order)
	case structs.OrderRole:
		return e.changeRole(order)
	case structs.OrderPrefetch:
		return e.prefetch(order)
	}
	return fmt.Sprintf("unknown kind of order %q: check the controller's version", order.Kind)
}

func (e *Engine) load(order structs.Order) string {
	if order.Row == "" || order.MemoryBytes <= 0 {
		return "the order lacks a row or its memory: check the row in the table"
	}
	present := e.replicas[order.Row]
	if present != nil && present.state == structs.ReplicaUnloading {
		return "the row is being unloaded: send the order again once the report shows it absent"
	}
	if present != nil && present.state != structs.ReplicaAbsent {
		present.fence = order.Fence
		return ""
	}
	if order.Base != "" {
		base := e.replicas[order.Base]
		if base == nil || (base.state != structs.ReplicaReady && base.state != structs.ReplicaLoading) {
			return fmt.Sprintf("the base %q is not loaded: load it first", order.Base)
		}
	}
	if e.memoryUsed+order.MemoryBytes > e.options.MemoryBytes {
		detail := fmt.Sprintf("%d bytes are used of %d, the load needs %d", e.memoryUsed, e.options.MemoryBytes, order.MemoryBytes)
		violation := Violation{At: e.now, Order: order, Detail: detail}
		e.records.Violations = appendLimited(e.records.Violations, violation, e.options.RecordLimit, &e.records.Dropped)
		return detail + ": unload another row first"
	}
	e.addReplica(order)
	return ""
}

func (e *Engine) addReplica(order structs.Order) {
	target := &replica{row: order.Row, base: order.Base, sizeBytes: order.MemoryBytes, fence: order.Fence}
	if e.replicas == nil {
		e.replicas = make(map[structs.RowName]*replica)
	}
	e.replicas[order.Row] = target
	e.memoryUsed += order.MemoryBytes
	e.setState(target, structs.ReplicaLoading)
	e.beginLoad(target)
}

func (e *Engine) unload(order structs.Order) string {
	target := e.replicas[order.Row]
	if target == nil {
		return ""
	}
	if len(e.dependants(order.Row)) > 0 {
		return "adapters of the row are loaded: unload them first"
	}
	target.fence = order.Fence
	switch target.state {
	case structs.ReplicaAbsent:
		delete(e.replicas, order.Row)
	case structs.ReplicaLoading:
		e.setState(target, structs.ReplicaAbsent)
		delete(e.replicas, order.Row)
	case structs.ReplicaReady:
		e.setState(target, structs.ReplicaUnloading)
		if target.pending == 0 {
			e.finishUnload(target)
		}
	}
	return ""
}

func (e *Engine) changeRole(order structs.Order) string {
	for _, held := range e.replicas {
		if held.state != structs.ReplicaAbsent {
			return "rows are loaded: unload them before the role changes"
		}
	}
	e.role = order.Role
	return ""
}

func (e *Engine) prefetch(order structs.Order) string {
	if order.Row == "" || order.MemoryBytes <= 0 {
		return "the order lacks a row or its memory: check the row in the table"
	}
	toMemory := order.Tier == structs.TierMemory
	if !toMemory && order.Tier != structs.TierDisk {
		return fmt.Sprintf("nothing can be prefetched into tier %q: use memory or disk", order.Tier)
	}
	switch e.checkpoints.Tier(order.Row) {
	case structs.TierMemory:
	case structs.TierDisk:
		if toMemory {
			e.copyToMemory(order.Row, order.MemoryBytes)
		}
	default:
		e.beginFetch(order.Row, fetch{sizeBytes: order.MemoryBytes, toMemory: toMemory})
	}
	return ""
}

// copyToMemory copies a checkpoint from disk to host memory.
func (e *Engine) copyToMemory(row structs.RowName, sizeBytes int64) {
	duration := e.faults.slow(transferTime(sizeBytes, e.options.DiskSpeed))
	e.after(duration, func() {
		e.checkpoints.Put(structs.TierMemory, row, sizeBytes)
		e.report.stale = true
	})
}
