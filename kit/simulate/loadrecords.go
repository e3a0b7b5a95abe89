package simulate

import (
	"fmt"
	"slices"

	"github.com/lotusferry/lotusferry/kit/emulator"
	"github.com/lotusferry/lotusferry/structs"
)

// zoneRecord holds what a zone's group committed, as far as the checkers need it.
type zoneRecord struct {
	// revision and rows are the table in force.
	revision uint64
	rows     map[structs.RowName]structs.Row
	// acted is the newest revision that a leader acted on.
	acted uint64
	// orders holds the orders recorded in the log by number.
	orders map[structs.OrderNumber]orderRecord
	// replicas maps the replicas recorded in the log to the step of their
	// reservation.
	replicas     map[placement]uint64
	incarnations map[structs.RunnerID]structs.Incarnation
}

// placement identifies a replica by row and runner.
type placement struct {
	row    structs.RowName
	runner structs.RunnerID
}

// orderRecord is an order recorded in a zone's log.
type orderRecord struct{ placement }

// engineRecord is the state of an engine by the engine's own records.
type engineRecord struct {
	zone   structs.ZoneID
	loaded map[structs.RowName]bool
	fence  structs.Fence
	// accepted is the last order that the engine accepted.
	accepted structs.Order
}

func newZoneRecord() *zoneRecord {
	return &zoneRecord{
		rows:         map[structs.RowName]structs.Row{},
		orders:       map[structs.OrderNumber]orderRecord{},
		replicas:     map[placement]uint64{},
		incarnations: map[structs.RunnerID]structs.Incarnation{},
	}
}

// zoneCommitted records and checks a committed zone command.
func (l *ledger) zoneCommitted(m *member, index uint64, outcome zoneOutcome) {
	if outcome.err != nil {
		l.judge.Report(checkerFailure, "a committed zone command cannot be decoded: %v", outcome.err)
		return
	}
	if problem := outcome.result.Error; problem != nil {
		l.site.trace.Note("zone-refused", string(m.group), problem.Message)
		return
	}
	record := l.zones[m.machine.Zone]
	command := outcome.command
	number := structs.OrderNumber(index)
	switch {
	case command.Adopt != nil || command.AdoptPart != nil:
		l.adopted(m, outcome.result.TableRevision)
	case command.Runner != nil:
		record.registered(command.Runner.Info)
	case command.Reserve != nil:
		l.reserved(m.machine.Zone, number, placement{command.Reserve.Row, command.Reserve.Runner})
	case command.Prefetch != nil && outcome.result.Order == number:
		record.orders[number] = orderRecord{placement{command.Prefetch.Row, command.Prefetch.Runner}}
	case command.Remove != nil:
		delete(record.replicas, placement{command.Remove.Row, command.Remove.Runner})
	case command.Transition != nil && outcome.result.Order == number:
		record.renumber(command.Transition.Order, number)
	case command.Touch != nil:
		record.renumber(command.Touch.Order, number)
	}
	state := m.state.(*zoneMachine).state
	l.grantSteps.zoneCommitted(m.machine.Zone, state, command)
	l.orderSteps.zoneCommitted(m.machine.Zone, state, number, command)
	if outcome.result.Order == number {
		recorded := record.orders[number]
		l.site.trace.Note("recorded", string(m.group), fmt.Sprintf("order %d: %s on %s", number, recorded.row, recorded.runner))
	}
}

// registered removes the replicas of a runner that restarted empty.
func (z *zoneRecord) registered(info structs.RunnerInfo) {
	if info.Incarnation <= z.incarnations[info.ID] {
		return
	}
	z.incarnations[info.ID] = info.Incarnation
	for replica := range z.replicas {
		if replica.runner == info.ID {
			delete(z.replicas, replica)
		}
	}
}

func (z *zoneRecord) renumber(from, to structs.OrderNumber) { z.orders[to] = z.orders[from] }

// adopted checks that a zone's table in force never goes back and equals the table
// at that revision.
func (l *ledger) adopted(m *member, revision uint64) {
	record := l.zones[m.machine.Zone]
	if revision < record.revision {
		l.judge.Report(checkerInForce, "zone %s went back from table revision %d to %d", m.machine.Zone, record.revision, revision)
	}
	if revision <= record.revision {
		return
	}
	l.site.progress.adopted(m.machine.Zone, record.revision, revision)
	record.revision = revision
	state := m.state.(*zoneMachine).state
	rows := state.Rows()
	if expected := l.edits.rowsAt(revision); !slices.Equal(rows, expected) {
		l.judge.Report(checkerInForce, "zone %s has other rows in force at revision %d than the table had: %v instead of %v",
			m.machine.Zone, revision, rows, expected)
	}
	record.rows = map[structs.RowName]structs.Row{}
	for _, row := range rows {
		record.rows[row.Name] = row
	}
	l.limits.update(l)
	l.site.trace.Note("in-force", string(m.machine.Zone), fmt.Sprintf("revision %d", revision))
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
	l.orderSteps.answered(h, order, reply)
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

// replicaChanged records an engine's replica change and checks the replica limit
// when a load begins.
func (l *ledger) replicaChanged(h *engineHost, change emulator.ReplicaChange) {
	l.site.trace.Note("replica", string(h.id), fmt.Sprintf("%s %s", change.Row, change.State))
	l.orderSteps.replicaChanged(h, change.Row, change.State)
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
		l.loaded(h, change.Row)
		l.site.loadBegan(h)
	}
}

// held returns how many replicas of the row the global group grants to the zone.
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

// overcommitted checks that no engine refused a load for lack of memory:
// reservations must prevent that.
func (l *ledger) overcommitted(h *engineHost) {
	if violations := h.engine.Records().Violations; len(violations) > 0 {
		l.judge.Report(checkerMemory, "engine %s received a load beyond its memory: %s", h.id, violations[0].Detail)
	}
}

// checkLeaving checks that a runner listed as leaving gets no new work.
func (l *ledger) checkLeaving(order structs.Order) {
	for _, host := range l.site.engines {
		if host.id != order.Runner || host.leavingSince == 0 || order.Kind == structs.OrderUnload {
			continue
		}
		if listed := l.site.scheduler.Now() - host.leavingSince; listed > leavingBound {
			l.judge.Report(checkerLeaving, "engine %s gets the order to %s %s, %v after it was listed as leaving",
				host.id, order.Kind, order.Row, listed)
		}
	}
}

// engineDied resets the record of an engine.
func (l *ledger) engineDied(h *engineHost) {
	l.engines[h.id] = &engineRecord{zone: h.zone, loaded: map[structs.RowName]bool{}}
	l.site.trace.Note("engine-died", string(h.id), "")
}

func describeOrder(order structs.Order) string {
	return fmt.Sprintf("%s %s fence %d.%d incarnation %d", order.Kind, order.Row, order.Fence.Epoch, order.Fence.Number, order.Incarnation)
}
