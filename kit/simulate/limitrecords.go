package simulate

import "github.com/lotusferry/lotusferry/structs"

// limitRecords tracks the bound on the replicas of each row. A zone that has not
// learned of a lowered limit continues under the older one, so the bound is the
// highest limit in the table or in force in any zone.
//
// A replica counts from its reservation in a zone's log until its removal there, or
// while an engine holds it, whichever is longer.
type limitRecords struct {
	bounds map[structs.RowName]int
	// loweredAt is the step at which the bound of a row last decreased.
	loweredAt map[structs.RowName]uint64
	step      uint64
}

func newLimitRecords() *limitRecords {
	return &limitRecords{bounds: map[structs.RowName]int{}, loweredAt: map[structs.RowName]uint64{}}
}

// update recomputes all bounds after an accepted edit or an adoption.
func (r *limitRecords) update(l *ledger) {
	r.step++
	for _, row := range simulatedRows {
		bound := l.edits.maxReplicas(row)
		for _, record := range l.zones {
			bound = max(bound, record.rows[row].MaxReplicas)
		}
		if bound < r.bounds[row] {
			r.loweredAt[row] = r.step
		}
		r.bounds[row] = bound
	}
}

// reserved records a committed reservation of a zone's log.
func (l *ledger) reserved(zone structs.ZoneID, number structs.OrderNumber, replica placement) {
	l.limits.step++
	record := l.zones[zone]
	record.orders[number] = orderRecord{replica}
	record.replicas[replica] = l.limits.step
	l.checkGrowth(zone, replica.row)
}

// loaded records a replica that an engine began to load. It counts anew only if the
// zone's log does not record it.
func (l *ledger) loaded(h *engineHost, row structs.RowName) {
	if _, recorded := l.zones[h.zone].replicas[placement{row, h.id}]; !recorded {
		l.checkGrowth(h.zone, row)
	}
}

// replicaCount counts the replicas of a row.
type replicaCount struct {
	total  int
	inZone int
	// sinceLowered counts those reserved since the row's bound last decreased.
	sinceLowered int
}

func (l *ledger) count(zone structs.ZoneID, row structs.RowName) replicaCount {
	var counted replicaCount
	for name, record := range l.zones {
		for replica, step := range record.replicas {
			if replica.row == row {
				counted.add(name == zone, step > l.limits.loweredAt[row])
			}
		}
	}
	for runner, record := range l.engines {
		if _, recorded := l.zones[record.zone].replicas[placement{row, runner}]; record.loaded[row] && !recorded {
			counted.add(record.zone == zone, true)
		}
	}
	return counted
}

func (c *replicaCount) add(inZone, fresh bool) {
	c.total++
	if inZone {
		c.inZone++
	}
	if fresh {
		c.sinceLowered++
	}
}

// orderDecided checks an order decided by a zone leader that knows the table at the
// revision. A load must respect the limits lowered since its reservation.
func (l *ledger) orderDecided(zone structs.ZoneID, revision uint64, order structs.Order) {
	l.checkLeaving(order)
	engine := l.engines[order.Runner]
	isLoaded := engine != nil && engine.loaded[order.Row]
	if order.Kind != structs.OrderLoad || isLoaded {
		return
	}
	counted := l.count(zone, order.Row)
	if bound := l.edits.highestSince(order.Row, revision); counted.total > bound {
		l.judge.Report(checkerReplicas, "zone %s orders to load one of %d replicas of %s while it knows that the table allows %d",
			zone, counted.total, order.Row, bound)
	}
}

// checkGrowth checks a row whose replicas increased in a zone.
//
// Replicas above a lowered limit count until they are unloaded: no zone may raise
// the total above the highest limit that the table has had since the revision in
// force in the zone. A zone that has not learned of a lowered limit may continue
// within its grant, but the replicas reserved since the limit was lowered must not
// exceed it.
func (l *ledger) checkGrowth(zone structs.ZoneID, row structs.RowName) {
	counted := l.count(zone, row)
	if bound := l.edits.highestSince(row, l.zones[zone].revision); counted.total > bound {
		l.judge.Report(checkerReplicas, "zone %s makes replica %d of %s while it knows that the table allows %d",
			zone, counted.total, row, bound)
	}
	if bound := l.limits.bounds[row]; counted.sinceLowered > bound {
		l.judge.Report(checkerReplicas, "zone %s makes new replica %d of %s, the table allows %d in all zones",
			zone, counted.sinceLowered, row, bound)
	}
	if held := l.held(zone, row); counted.inZone > held {
		l.judge.Report(checkerGrant, "zone %s makes replica %d of %s there, its grant allows %d",
			zone, counted.inZone, row, held)
	}
}
