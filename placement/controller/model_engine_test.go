package controller

import (
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

// engine models an engine: a fence, and replicas whose state changes over time.
type engine struct {
	id          structs.RunnerID
	incarnation structs.Incarnation
	fence       structs.Fence
	replicas    map[structs.RowName]*engineReplica
	cached      []structs.CachedRow
	// lastReadyOrder is the last order under which each row became ready.
	lastReadyOrder map[structs.RowName]structs.OrderNumber
}

type engineReplica struct {
	structs.EngineReplica
	memory   int64
	changeAt time.Time
}

func (e *engine) restart() {
	e.incarnation++
	e.fence = structs.Fence{}
	e.replicas = map[structs.RowName]*engineReplica{}
	e.cached = nil
	e.lastReadyOrder = map[structs.RowName]structs.OrderNumber{}
}

// advance completes loads and unloads that are due, and starts and ends requests.
func (m *model) advance(e *engine) {
	for _, row := range modelRows {
		replica := e.replicas[row.Name]
		if replica == nil {
			continue
		}
		done := !m.now.Before(replica.changeAt)
		switch {
		case done && replica.State == structs.ReplicaUnloading:
			delete(e.replicas, row.Name)
		case done && replica.State == structs.ReplicaLoading:
			replica.State = structs.ReplicaReady
			e.lastReadyOrder[row.Name] = replica.Fence.Number
		case replica.Running > 0 && m.random.IntN(4) == 0:
			replica.Running = 0
		case m.routable(e.id, row.Name) && m.demand[row.Name] && replica.State == structs.ReplicaReady && m.random.IntN(4) == 0:
			replica.Running = 1
		case replica.State == structs.ReplicaReady && m.chance(1000):
			delete(e.replicas, row.Name) // The engine lost the replica.
		}
	}
}

func (m *model) report(e *engine) ReportSeen {
	report := structs.EngineReport{
		Runner: e.id, Incarnation: e.incarnation, Role: "answers", Fence: e.fence, MemoryBytes: engineMemory,
	}
	report.Cached = slices.Clone(e.cached)
	for _, row := range modelRows {
		if replica := e.replicas[row.Name]; replica != nil {
			report.Replicas = append(report.Replicas, replica.EngineReplica)
		}
	}
	return ReportSeen{report, m.now}
}

func (m *model) engine(id structs.RunnerID) *engine {
	return m.engines[slices.IndexFunc(m.engines, func(e *engine) bool { return e.id == id })]
}

// execute delivers an order to its engine, and the engine's reply to the leader.
func (m *model) execute(order structs.Order) {
	e := m.engine(order.Runner)
	isRejected := m.rejectsPrefetch && order.Kind == structs.OrderPrefetch
	if order.Incarnation != e.incarnation || order.Fence.Before(e.fence) || isRejected {
		return
	}
	if e.fence.Before(order.Fence) {
		e.fence = order.Fence
		m.applyOrder(e, order)
	}
	if !m.chance(3) && order.Fence.Epoch == m.epoch {
		m.core.ObserveReply(e.id, structs.OrderReply{Accepted: true, Fence: e.fence, Incarnation: e.incarnation})
	}
}

func (m *model) applyOrder(e *engine, order structs.Order) {
	replica := e.replicas[order.Row]
	changeAt := m.now.Add(time.Duration(m.random.Int64N(int64(2 * time.Second))))
	if order.Kind == structs.OrderUnload {
		if replica == nil {
			return
		}
		if replica.Running > 0 {
			m.fail("%s unloads %s with a request in progress", e.id, order.Row)
		}
		replica.State, replica.Fence, replica.changeAt = structs.ReplicaUnloading, order.Fence, changeAt
		return
	}
	if order.Kind == structs.OrderPrefetch {
		m.prefetches++
		e.cached = append(e.cached, structs.CachedRow{Row: order.Row, Tier: order.Tier})
		return
	}
	base := e.replicas[order.Base]
	if m.chance(5) || (order.Base != "" && (base == nil || base.State != structs.ReplicaReady)) {
		m.failedLoads++
		return
	}
	m.loads++
	if replica == nil {
		replica = &engineReplica{memory: order.MemoryBytes, changeAt: changeAt}
		replica.Row, replica.State = order.Row, structs.ReplicaLoading
		e.replicas[order.Row] = replica
	}
	replica.Fence = order.Fence
}
