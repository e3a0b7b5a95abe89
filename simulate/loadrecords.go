package simulate

import (
	"fmt"
	"slices"

	"github.com/lotusferry/lotusferry/emulator"
	"github.com/lotusferry/lotusferry/structs"
)

// zoneRecord is what a zone's group committed, as far as the checkers need it.
type zoneRecord struct {
	// revision and limits are the table in force.
	revision uint64
	limits   map[structs.RowName]int
	// acted is the newest revision that a leader acted on.
	acted uint64
	// orders are the orders that the log recorded, by number.
	orders map[structs.OrderNumber]orderRecord
}

// orderRecord is an order that a zone's log recorded.
type orderRecord struct {
	row    structs.RowName
	runner structs.RunnerID
	// bound is how many replicas the table allowed anywhere when the replica was reserved.
	bound int
}

// engineRecord is what an engine holds, by its own records.
type engineRecord struct {
	zone   structs.ZoneID
	loaded map[structs.RowName]bool
	fence  structs.Fence
	// accepted is the last order that the engine accepted.
	accepted structs.Order
}

func newZoneRecord() *zoneRecord {
	return &zoneRecord{
		limits: map[structs.RowName]int{},
		orders: map[structs.OrderNumber]orderRecord{},
	}
}

// zoneCommitted follows a zone's log.
func (l *ledger) zoneCommitted(m *member, index uint64, outcome zoneOutcome) {
	if outcome.err != nil {
		l.judge.Report(checkerFailure, "a committed zone command cannot be decoded: %v", outcome.err)
		return
	}
	if outcome.result.Error != nil {
		return
	}
	record := l.zones[m.machine.Zone]
	command := outcome.command
	number := structs.OrderNumber(index)
	switch {
	case command.Adopt != nil:
		l.adopted(m, *command.Adopt, outcome.result.TableRevision)
	case command.Reserve != nil:
		row := command.Reserve.Row
		record.orders[number] = orderRecord{row, command.Reserve.Runner, l.bound(row)}
	case command.Transition != nil && outcome.result.Order == number:
		record.renumber(command.Transition.Order, number)
	case command.Touch != nil:
		record.renumber(command.Touch.Order, number)
	}
	if outcome.result.Order == number {
		l.site.trace.Note("recorded", string(m.group), fmt.Sprintf("order %d: %s on %s", number, record.orders[number].row, record.orders[number].runner))
	}
}

func (z *zoneRecord) renumber(from, to structs.OrderNumber) { z.orders[to] = z.orders[from] }

// adopted checks that a zone's table in force only goes forward and is the table
// as it was at that revision.
func (l *ledger) adopted(m *member, delta structs.TableDelta, revision uint64) {
	record := l.zones[m.machine.Zone]
	if revision < record.revision {
		l.judge.Report(checkerInForce, "zone %s went back from table revision %d to %d", m.machine.Zone, record.revision, revision)
	}
	if delta.Revision <= record.revision {
		return
	}
	record.revision = revision
	state := m.state.(*zoneMachine).state
	rows := state.Rows()
	if expected := l.edits.rowsAt(revision); !slices.Equal(rows, expected) {
		l.judge.Report(checkerInForce, "zone %s has other rows in force at revision %d than the table had: %v instead of %v",
			m.machine.Zone, revision, rows, expected)
	}
	record.limits = map[structs.RowName]int{}
	for _, row := range rows {
		record.limits[row.Name] = row.MaxReplicas
	}
	l.site.trace.Note("in-force", string(m.machine.Zone), fmt.Sprintf("revision %d", revision))
}

// bound is how many replicas of the row there may be at most now: by the table,
// or by an older table that some zone still acts on.
func (l *ledger) bound(row structs.RowName) int {
	bound := l.edits.maxReplicas(row)
	for _, record := range l.zones {
		bound = max(bound, record.limits[row])
	}
	return bound
}

func (l *ledger) engine(h *engineHost) *engineRecord {
	record := l.engines[h.id]
	if record == nil {
		record = &engineRecord{zone: h.zone, loaded: map[structs.RowName]bool{}}
		l.engines[h.id] = record
	}
	return record
}

// orderAnswered checks an engine's acceptance of an order.
func (l *ledger) orderAnswered(h *engineHost, order structs.Order, reply structs.OrderReply) {
	if !reply.Accepted {
		l.site.counts.OrdersRefused++
		l.site.trace.Note("order-refused", string(h.id), describeOrder(order)+" "+reply.Reason)
		return
	}
	l.site.noteOrder("order-accepted", string(h.id), order)
	record := l.engine(h)
	if order.Fence.Before(record.fence) {
		l.judge.Report(checkerFence, "engine %s accepted order %v after %v", h.id, order.Fence, record.fence)
	}
	if order.Fence == record.fence && order != record.accepted {
		l.judge.Report(checkerFence, "engine %s accepted two different orders under %v", h.id, order.Fence)
	}
	record.fence = order.Fence
	record.accepted = order
	recorded, ok := l.zones[h.zone].orders[order.Fence.Number]
	if !ok || recorded.row != order.Row || recorded.runner != h.id {
		l.judge.Report(checkerReservation, "engine %s accepted order %v for %s, which the zone's log did not record",
			h.id, order.Fence, order.Row)
	}
}

// replicaChanged follows the engine's own records and checks the replica limit
// whenever the replicas of a row grow in number.
func (l *ledger) replicaChanged(h *engineHost, change emulator.ReplicaChange) {
	l.site.trace.Note("replica", string(h.id), fmt.Sprintf("%s %s", change.Row, change.State))
	record := l.engine(h)
	if change.MemoryUsed > engineMemory {
		l.judge.Report(checkerMemory, "engine %s uses %d bytes of %d", h.id, change.MemoryUsed, engineMemory)
	}
	switch change.State {
	case structs.ReplicaAbsent:
		delete(record.loaded, change.Row)
		l.site.counts.Unloads++
	case structs.ReplicaLoading:
		record.loaded[change.Row] = true
		l.site.counts.Loads++
		l.checkGrowth(h, change.Row)
	}
}

// checkGrowth judges a replica that an engine has begun to load.
func (l *ledger) checkGrowth(h *engineHost, row structs.RowName) {
	inZone, total := 0, 0
	for _, record := range l.engines {
		if record.loaded[row] {
			total++
			if record.zone == h.zone {
				inZone++
			}
		}
	}
	number := l.engine(h).accepted.Fence.Number
	bound := max(l.bound(row), l.zones[h.zone].orders[number].bound)
	if total > bound {
		l.judge.Report(checkerReplicas, "engine %s loads replica %d of %s, the table allows %d", h.id, total, row, bound)
	}
	if held := l.held(h.zone, row); inZone > held {
		l.judge.Report(checkerGrant, "engine %s loads replica %d of %s in zone %s, which holds a grant of %d",
			h.id, inZone, row, h.zone, held)
	}
}

// held is how many replicas of the row the zone may have by the global group.
func (l *ledger) held(zone structs.ZoneID, row structs.RowName) int {
	if l.newestTable == nil {
		return 0
	}
	for _, grant := range l.newestTable.Grants(row) {
		if grant.Zone == zone {
			return grant.Held
		}
	}
	return 0
}

// overcommitted reports loads that an engine refused for lack of memory: the
// zone's reservations must never lead to one.
func (l *ledger) overcommitted(h *engineHost) {
	if violations := h.engine.Records().Violations; len(violations) > 0 {
		l.judge.Report(checkerMemory, "engine %s was ordered beyond its memory: %s", h.id, violations[0].Detail)
	}
}

// engineDied forgets what an engine held.
func (l *ledger) engineDied(h *engineHost) {
	l.engines[h.id] = &engineRecord{zone: h.zone, loaded: map[structs.RowName]bool{}}
	l.site.trace.Note("engine-died", string(h.id), "")
}

func describeOrder(order structs.Order) string {
	return fmt.Sprintf("%s %s fence %d.%d incarnation %d", order.Kind, order.Row, order.Fence.Epoch, order.Fence.Number, order.Incarnation)
}
