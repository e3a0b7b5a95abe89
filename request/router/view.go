package router

import (
	"github.com/lotusferry/lotusferry/request/admission"
	"github.com/lotusferry/lotusferry/structs"
)

// viewChanged applies changes of the view. A table delta that is older or not contiguous
// with the known table is ignored.
func (c *Core) viewChanged(view structs.ZoneView) {
	delta := view.Table
	contiguous := delta.Full || delta.SinceRevision <= c.tableRevision
	if contiguous && delta.Revision >= c.tableRevision {
		c.adoptTable(delta)
	}
	c.adoptGrants(delta.Grants)
	c.adoptPlacement(view)
	for _, current := range c.activeRows() {
		c.recordColdLoad(current)
		c.endUnserved(current)
	}
	c.dispatchAll()
}

// adoptPlacement applies a full placement, or changes contiguous with the known one. The
// log index of a group restored from a backup starts again.
func (c *Core) adoptPlacement(view structs.ZoneView) {
	if view.Replaced(c.viewEpoch) {
		return
	}
	if view.RestoredSince(c.viewEpoch) {
		c.viewIndex = 0
	}
	c.viewEpoch = max(c.viewEpoch, view.Epoch)
	whole := view.Placement != nil && !view.Placement.Partial
	contiguous := whole || view.SinceIndex <= c.viewIndex
	if !contiguous || view.Index < c.viewIndex {
		return
	}
	c.viewIndex = view.Index
	if view.Placement != nil {
		c.balancer.SetPlacement(*view.Placement)
		c.roles.adopt(c.now, *view.Placement)
	}
}

func (c *Core) adoptTable(delta structs.TableDelta) {
	c.tableRevision = delta.Revision
	if delta.Full {
		for _, known := range c.rows {
			known.listed = false
		}
	}
	for _, name := range delta.Deleted {
		if known := c.rows[name]; known != nil {
			known.listed = false
		}
	}
	for _, changed := range delta.Rows {
		c.listRow(changed)
	}
	for _, place := range delta.Elsewhere {
		if known := c.rows[place.Row]; known != nil {
			known.elsewhere = c.otherZones(place.Zones)
		}
	}
	for _, name := range delta.Deleted {
		c.dropRow(c.rows[name])
	}
	if delta.Full {
		for _, known := range c.rows {
			c.dropRow(known)
		}
	}
}

// listRow adds or updates a row of the table. A row that was not listed starts without
// grants, because their sequence may start again.
func (c *Core) listRow(changed structs.Row) {
	known := c.rows[changed.Name]
	if known == nil {
		known = &row{}
		c.rows[changed.Name] = known
	}
	if !known.listed {
		known.listed = true
		known.limit = 0
		known.grantSequence = 0
		known.elsewhere = nil
	}
	known.Row = changed
}

// dropRow removes an unlisted row after its last request has ended.
func (c *Core) dropRow(known *row) {
	if known != nil && !known.listed && known.requestCount == 0 {
		delete(c.rows, known.Name)
		delete(c.active, known.Name)
	}
}

func (c *Core) otherZones(zones []structs.ZoneID) []structs.ZoneID {
	var others []structs.ZoneID
	for _, zone := range zones {
		if zone != c.options.Zone {
			others = append(others, zone)
		}
	}
	return others
}

// adoptGrants applies grants in any order; grants with an older sequence are ignored.
func (c *Core) adoptGrants(grants []structs.Grant) {
	for _, grant := range grants {
		known := c.rows[grant.Row]
		if known == nil || grant.Zone != c.options.Zone || grant.Sequence < known.grantSequence {
			continue
		}
		known.grantSequence = grant.Sequence
		known.limit = grant.Limit
	}
}

// endUnserved ends the waiting requests of a row that was removed, that only other zones
// may load, or whose role has no runners here. Requests that may be forwarded are
// forwarded.
func (c *Core) endUnserved(current *row) {
	if current.waiting() == 0 {
		return
	}
	moved := current.limit <= 0 && len(current.elsewhere) > 0
	lost := c.roleLost(current)
	if current.listed && (c.balancer.Ready(current.Name) > 0 || !moved && !lost) {
		return
	}
	var waiting []*request
	current.queue.Each(func(item admission.Item) bool {
		waiting = append(waiting, c.requests[item.ID])
		return true
	})
	for _, req := range waiting {
		if c.endIfRowRemoved(req) {
			continue
		}
		if lost && (req.Forwarded || len(current.elsewhere) == 0) {
			problem := c.noRunner(current)
			c.rejectAs(req, problem, problem.RetryAfter)
			continue
		}
		if !req.Repeatable() || req.Forwarded || req.mayHaveRun || req.attempts > 0 {
			c.giveUp(req, "the row is served by another zone now")
			continue
		}
		c.untrack(req)
		c.forward(req.ID, current.elsewhere)
	}
}

func (c *Core) loadObserved(event LoadObserved) {
	c.balancer.ObserveLoad(event.Runner, event.Report)
	for _, name := range c.balancer.Rows(event.Runner) {
		if current := c.active[name]; current != nil {
			current.estimator.ObserveLoadReport(event.Report)
		}
	}
	c.freedRunners = append(c.freedRunners, event.Runner)
}
