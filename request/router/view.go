package router

import (
	"github.com/lotusferry/lotusferry/request/admission"
	"github.com/lotusferry/lotusferry/structs"
)

// viewChanged adopts the zone's changes. A table delta that does not join on to
// what is known, or is older, changes nothing.
func (c *Core) viewChanged(view structs.ZoneView) {
	delta := view.Table
	joins := delta.Full || delta.SinceRevision <= c.tableRevision
	if joins && delta.Revision >= c.tableRevision {
		c.adoptTable(delta)
	}
	c.adoptGrants(delta.Grants)
	c.adoptPlacement(view)
	for _, current := range c.activeRows() {
		c.noteReady(current)
		c.endUnserved(current)
	}
	c.dispatchAll()
}

// adoptPlacement takes a whole placement, or changes that join on to what is known.
// Of a group that was restored from a backup the log begins anew.
func (c *Core) adoptPlacement(view structs.ZoneView) {
	if view.Replaced(c.viewEpoch) {
		return
	}
	if view.RestoredSince(c.viewEpoch) {
		c.viewIndex = 0
	}
	c.viewEpoch = max(c.viewEpoch, view.Epoch)
	whole := view.Placement != nil && !view.Placement.Partial
	joins := whole || view.SinceIndex <= c.viewIndex
	if !joins || view.Index < c.viewIndex {
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

// listRow adopts a row; one that was not listed starts without grants, whose
// sequence may begin anew.
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

// dropRow forgets a row that is not listed once its last request has ended.
func (c *Core) dropRow(known *row) {
	if known != nil && !known.listed && known.held == 0 {
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

// adoptGrants takes grants in any order; only a newer sequence counts.
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

// endUnserved ends the waiting requests of a row that was removed, that only
// other zones serve now, or whose role has lost its runners here; those that may be
// forwarded are.
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
	for _, held := range waiting {
		if c.endIfRowGone(held) {
			continue
		}
		if lost && (held.Forwarded || len(current.elsewhere) == 0) {
			problem := c.noRunner(current)
			c.refuseAs(held, problem, problem.RetryAfter)
			continue
		}
		if !held.Repeatable() || held.Forwarded || held.uncertain || held.attempts > 0 {
			c.giveUp(held, "the row is served by another zone now")
			continue
		}
		c.release(held)
		c.forward(held.ID, current.elsewhere)
	}
}

func (c *Core) loadObserved(event LoadObserved) {
	c.balancer.ObserveLoad(event.Runner, event.Report)
	for _, name := range c.balancer.Rows(event.Runner) {
		if current := c.active[name]; current != nil {
			current.estimator.ObserveLoadReport(event.Report)
		}
	}
	c.freed = append(c.freed, event.Runner)
}
