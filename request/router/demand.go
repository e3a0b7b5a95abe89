package router

import (
	"cmp"
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

// DemandScope says which rows a demand report lists.
type DemandScope int

// The scopes.
const (
	// DemandWhole lists every row with requests and replaces what the leader knows.
	DemandWhole DemandScope = iota
	// DemandChanged lists the rows that differ from what was last reported of them.
	DemandChanged
	// DemandWaiting lists, of those, the rows whose waiting requests became some,
	// none, or many more or less.
	DemandWaiting
)

// urgentAgain is the time after which another arrival for a row without a ready
// replica is reported at once again.
const urgentAgain = 500 * time.Millisecond

// reportedDemand is what the leader was last told of a row.
type reportedDemand struct {
	waiting int
	running int
	highest structs.Priority
	at      time.Time
}

// Demand reports all rows with requests now or since their previous report,
// sorted by name, as of the latest Step.
func (c *Core) Demand() structs.DemandReport {
	report, _ := c.DemandOf(DemandWhole)
	return report
}

// DemandOf reports the rows of the scope, sorted by name, as of the latest Step,
// and starts a new reporting period for them. A row that is reported with neither
// requests nor arrivals is in use no more. It says whether the report needs to be
// sent: an empty one keeps the earlier ones alive at the leader, if there are any.
// After a report that did not reach the leader the next one must be whole.
func (c *Core) DemandOf(scope DemandScope) (report structs.DemandReport, send bool) {
	known := len(c.reported) > 0
	if scope == DemandWhole {
		c.reported = map[structs.RowName]reportedDemand{}
	}
	c.demandUrgent = false
	report = structs.DemandReport{Daemon: c.options.Daemon, Partial: scope != DemandWhole}
	c.reportEnded(scope, &report)
	for _, current := range c.activeRows() {
		if current.wanting() == 0 && current.arrived == 0 {
			if scope != DemandWaiting && current.held == 0 {
				c.deactivate(current)
			}
			continue
		}
		demand := c.rowDemand(current)
		if !c.isNews(scope, demand) {
			continue
		}
		report.Rows = append(report.Rows, demand)
		current.arrived = 0
		c.reported[demand.Row] = reportedDemand{waiting: demand.Waiting, running: demand.Running, highest: demand.Highest, at: c.now}
	}
	slices.SortFunc(report.Rows, func(a, b structs.RowDemand) int { return cmp.Compare(a.Row, b.Row) })
	return report, len(report.Rows) > 0 || (known && scope != DemandWaiting)
}

// isNews reports whether a report of the scope lists the row.
func (c *Core) isNews(scope DemandScope, demand structs.RowDemand) bool {
	last := c.reported[demand.Row]
	switch scope {
	case DemandWhole:
		return true
	case DemandChanged:
		same := demand.Waiting == last.waiting && demand.Running == last.running && demand.Highest == last.highest
		return !same || demand.Arrived > 0
	default:
		unserved := demand.Unserved && demand.Arrived > 0
		return unserved || movedMuch(demand.Waiting, last.waiting)
	}
}

// movedMuch reports whether the count became some, none, or half as many again
// or less.
func movedMuch(now, last int) bool {
	return now != last && 2*max(now-last, last-now) >= last
}

// reportEnded adds the rows that were reported with requests and have none now.
func (c *Core) reportEnded(scope DemandScope, report *structs.DemandReport) {
	for name, last := range c.reported {
		current := c.active[name]
		isUsed := current != nil && current.wanting()+current.arrived > 0
		if isUsed || (scope == DemandWaiting && last.waiting == 0) {
			continue
		}
		delete(c.reported, name)
		if last.waiting+last.running > 0 {
			report.Rows = append(report.Rows, structs.RowDemand{Row: name})
		}
	}
}

// noteUrgent notes that the leader should hear of an arrival at once: the row has
// no ready replica, and the leader was not told of it lately or of half as many.
func (c *Core) noteUrgent(wanted *row) {
	if c.balancer.Ready(wanted.Name) > 0 {
		return
	}
	last, known := c.reported[wanted.Name]
	waiting := wanted.wanting() - wanted.running
	if !known || c.now.Sub(last.at) >= urgentAgain || waiting >= 2*max(last.waiting, 1) {
		c.demandUrgent = true
	}
}

// DemandUrgent reports whether a report of scope DemandWaiting is due at once.
func (c *Core) DemandUrgent() bool { return c.demandUrgent }
