package simulate

import "github.com/lotusferry/lotusferry/structs"

// limitRecords follow how many replicas of each row there may be. A zone that has
// not yet heard of a lowered limit goes on under the older one, so the bound of a
// row is the highest limit that is in the table or in force in some zone.
//
// A replica counts from the moment when a zone's log reserved it until the log
// forgot it, or for as long as an engine holds it, whichever is longer.
type limitRecords struct {
	bounds map[structs.RowName]int
	// fell is the step at which the bound of a row last went down.
	fell map[structs.RowName]uint64
	step uint64
}

func newLimitRecords() *limitRecords {
	return &limitRecords{bounds: map[structs.RowName]int{}, fell: map[structs.RowName]uint64{}}
}

// update looks at all bounds again, after an accepted edit or an adoption.
func (r *limitRecords) update(l *ledger) {
	r.step++
	for _, row := range simulatedRows {
		bound := l.edits.maxReplicas(row)
		for _, record := range l.zones {
			bound = max(bound, record.rows[row].MaxReplicas)
		}
		if bound < r.bounds[row] {
			r.fell[row] = r.step
		}
		r.bounds[row] = bound
	}
}

// reserved notes a reservation that a zone's log committed.
func (l *ledger) reserved(zone structs.ZoneID, number structs.OrderNumber, replica placement) {
	l.limits.step++
	record := l.zones[zone]
	record.orders[number] = orderRecord{replica}
	record.replicas[replica] = l.limits.step
	l.checkGrowth(zone, replica.row)
}

// loaded notes a replica that an engine has begun to load. It counts already
// unless the zone's log does not record it.
func (l *ledger) loaded(h *engineHost, row structs.RowName) {
	if _, recorded := l.zones[h.zone].replicas[placement{row, h.id}]; !recorded {
		l.checkGrowth(h.zone, row)
	}
}

// census counts the replicas of a row.
type census struct {
	total  int
	inZone int
	// fresh are those reserved since the row's bound last went down.
	fresh int
}

func (l *ledger) count(zone structs.ZoneID, row structs.RowName) census {
	var counted census
	for name, record := range l.zones {
		for replica, step := range record.replicas {
			if replica.row == row {
				counted.add(name == zone, step > l.limits.fell[row])
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

func (c *census) add(inZone, fresh bool) {
	c.total++
	if inZone {
		c.inZone++
	}
	if fresh {
		c.fresh++
	}
}

// orderDecided judges an order that a zone's leader, who knows the table at the
// revision, has just decided on. The replica of a load counts since it was
// reserved; what was lowered since then must keep the engine from beginning.
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

// checkGrowth judges a row whose replicas have just become more in a zone.
//
// What a lowered limit left over is counted until it is unloaded: no zone may let
// the replicas of all zones become more than the highest limit that the table has
// had since the revision that the zone has in force. A zone that does not know of
// a lowered limit yet may go on, within its grant; but of the replicas reserved
// since the limit fell there must never be more than the limit.
func (l *ledger) checkGrowth(zone structs.ZoneID, row structs.RowName) {
	counted := l.count(zone, row)
	if bound := l.edits.highestSince(row, l.zones[zone].revision); counted.total > bound {
		l.judge.Report(checkerReplicas, "zone %s makes replica %d of %s while it knows that the table allows %d",
			zone, counted.total, row, bound)
	}
	if bound := l.limits.bounds[row]; counted.fresh > bound {
		l.judge.Report(checkerReplicas, "zone %s makes new replica %d of %s, the table allows %d in all zones",
			zone, counted.fresh, row, bound)
	}
	if held := l.held(zone, row); counted.inZone > held {
		l.judge.Report(checkerGrant, "zone %s makes replica %d of %s there, its grant allows %d",
			zone, counted.inZone, row, held)
	}
}
