package router

import (
	"cmp"
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

// DemandScope selects the rows of a demand report.
type DemandScope int

// The scopes.
const (
	// DemandWhole lists every row with requests and replaces all earlier reports.
	DemandWhole DemandScope = iota
	// DemandChanged lists the rows whose demand differs from the last report.
	DemandChanged
	// DemandWaiting lists the rows whose number of waiting requests became zero, became
	// nonzero or changed significantly.
	DemandWaiting
)

// urgentInterval is the minimum time between urgent reports of a row without a ready
// replica whose demand has not grown much.
const urgentInterval = 500 * time.Millisecond

// reportedDemand is the last reported demand of a row.
type reportedDemand struct {
	waiting int
	running int
	highest structs.Priority
	at      time.Time
}

// Demand returns a report of all rows with requests now or since their previous report,
// sorted by name, as of the latest Step.
func (c *Core) Demand() structs.DemandReport {
	report, _ := c.DemandOf(DemandWhole)
	return report
}

// DemandOf returns a report of the rows of the scope, sorted by name, as of the latest
// Step, and starts a new reporting period for them. Rows without requests and arrivals
// become inactive. send is whether the report must be sent: an empty report keeps earlier
// ones valid at the leader, if there are any. After a report that did not reach the
// leader, the next one must be DemandWhole.
func (c *Core) DemandOf(scope DemandScope) (report structs.DemandReport, send bool) {
	known := len(c.reported) > 0
	if scope == DemandWhole {
		c.reported = map[structs.RowName]reportedDemand{}
	}
	c.demandUrgent = false
	report = structs.DemandReport{Daemon: c.options.Daemon, Partial: scope != DemandWhole}
	c.appendEnded(scope, &report)
	for _, current := range c.activeRows() {
		if current.localRequests() == 0 && current.arrivals == 0 {
			if scope != DemandWaiting && current.requestCount == 0 {
				c.deactivate(current)
			}
			continue
		}
		demand := c.rowDemand(current)
		if !c.inScope(scope, demand) {
			continue
		}
		report.Rows = append(report.Rows, demand)
		current.arrivals = 0
		c.reported[demand.Row] = reportedDemand{waiting: demand.Waiting, running: demand.Running, highest: demand.Highest, at: c.now}
	}
	slices.SortFunc(report.Rows, func(a, b structs.RowDemand) int { return cmp.Compare(a.Row, b.Row) })
	return report, len(report.Rows) > 0 || (known && scope != DemandWaiting)
}

// inScope reports whether a report of the scope lists the row.
func (c *Core) inScope(scope DemandScope, demand structs.RowDemand) bool {
	last := c.reported[demand.Row]
	switch scope {
	case DemandWhole:
		return true
	case DemandChanged:
		same := demand.Waiting == last.waiting && demand.Running == last.running && demand.Highest == last.highest
		return !same || demand.Arrived > 0
	default:
		unserved := demand.Unserved && demand.Arrived > 0
		return unserved || changedSignificantly(demand.Waiting, last.waiting)
	}
}

// changedSignificantly reports whether a count became zero, became nonzero or changed by
// at least half of its last value.
func changedSignificantly(now, last int) bool {
	return now != last && 2*max(now-last, last-now) >= last
}

// appendEnded appends the rows that were reported with requests and have none now.
func (c *Core) appendEnded(scope DemandScope, report *structs.DemandReport) {
	for name, last := range c.reported {
		current := c.active[name]
		isUsed := current != nil && current.localRequests()+current.arrivals > 0
		if isUsed || (scope == DemandWaiting && last.waiting == 0) {
			continue
		}
		delete(c.reported, name)
		if last.waiting+last.running > 0 {
			report.Rows = append(report.Rows, structs.RowDemand{Row: name})
		}
	}
}

// updateUrgency requests an immediate report of an arrival if the row has no ready
// replica and its last report is old or its demand has doubled since.
func (c *Core) updateUrgency(target *row) {
	if c.balancer.Ready(target.Name) > 0 {
		return
	}
	last, known := c.reported[target.Name]
	waiting := target.localRequests() - target.running
	if !known || c.now.Sub(last.at) >= urgentInterval || waiting >= 2*max(last.waiting, 1) {
		c.demandUrgent = true
	}
}

// DemandUrgent reports whether a DemandWaiting report is due immediately.
func (c *Core) DemandUrgent() bool { return c.demandUrgent }
