package controller

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/placement/scheduler"
	"github.com/lotusferry/lotusferry/structs"
)

const (
	// rateHalfLife is the time after which an arrival counts half in the rate.
	rateHalfLife = 30 * time.Second
	// maxTrackedRows bounds the rows of which use is remembered.
	maxTrackedRows = 100_000
)

// demandTable holds the routers' newest reports and what was learned from all.
type demandTable struct {
	reports map[structs.DaemonID]demandSeen
	uses    map[structs.RowName]*rowUse
	// rhythms are learned from the arrivals of all routers.
	rhythms *scheduler.Rhythms
}

// demandSeen is a router's demand, put together from its reports. It is dropped
// when the newest report is too old.
type demandSeen struct {
	at   time.Time
	rows map[structs.RowName]rowSeen
}

// rowSeen is what a router last said of a row, and when.
type rowSeen struct {
	structs.RowDemand
	at time.Time
}

// rowUse is what is remembered of the use of one row.
type rowUse struct {
	lastUsed    time.Time
	lastArrival time.Time
	gaps        scheduler.Interarrivals
	// arrivals is the decayed count of arrivals as of lastArrival.
	arrivals float64
}

func newDemandTable() demandTable {
	return demandTable{
		reports: map[structs.DaemonID]demandSeen{},
		uses:    map[structs.RowName]*rowUse{},
		rhythms: scheduler.NewRhythms(),
	}
}

func (t *demandTable) observe(now time.Time, report structs.DemandReport) {
	seen := demandSeen{now, t.reports[report.Daemon].rows}
	if !report.Partial || seen.rows == nil {
		seen.rows = make(map[structs.RowName]rowSeen, len(report.Rows))
	}
	t.reports[report.Daemon] = seen
	for _, row := range report.Rows {
		if row.Waiting+row.Running+row.Arrived == 0 {
			delete(seen.rows, row.Row)
			continue
		}
		seen.rows[row.Row] = rowSeen{row, now}
		if row.Arrived > 0 {
			t.rhythms.Observe(now, row.Row)
		}
		use := t.use(row.Row)
		if use == nil {
			continue
		}
		use.lastUsed = now
		if row.Arrived > 0 {
			use.arrive(now, row.Arrived)
		}
	}
}

// use returns the row's record, or nil when too many rows are remembered.
func (t *demandTable) use(row structs.RowName) *rowUse {
	use, ok := t.uses[row]
	if !ok && len(t.uses) < maxTrackedRows {
		use = &rowUse{}
		t.uses[row] = use
	}
	return use
}

func (u *rowUse) arrive(now time.Time, count int) {
	if !u.lastArrival.IsZero() {
		if gap := now.Sub(u.lastArrival); gap >= time.Second {
			u.gaps.Observe(gap)
		}
	}
	u.arrivals = u.decayed(now) + float64(count)
	u.lastArrival = now
}

func (u *rowUse) decayed(now time.Time) float64 {
	if u.lastArrival.IsZero() {
		return 0
	}
	return u.arrivals * math.Exp2(-now.Sub(u.lastArrival).Seconds()/rateHalfLife.Seconds())
}

// rate is the smoothed rate of arrivals, in requests a second.
func (u *rowUse) rate(now time.Time) float64 {
	return u.decayed(now) * math.Ln2 / rateHalfLife.Seconds()
}

// collect sums the reports that are not too old, and adds the rows named, so
// that their last use is known.
func (t *demandTable) collect(now time.Time, keep time.Duration, rows map[structs.RowName]bool) []scheduler.Demand {
	sums := map[structs.RowName]*scheduler.Demand{}
	for row := range rows {
		sums[row] = &scheduler.Demand{Row: row}
	}
	for daemon, seen := range t.reports {
		if now.Sub(seen.at) > keep {
			delete(t.reports, daemon)
			continue
		}
		for name, row := range seen.rows {
			addDemand(sums, row.RowDemand, now.Sub(row.at))
			// What is reported no more has not changed: its requests go on.
			if use := t.uses[name]; use != nil && row.Waiting+row.Running > 0 {
				use.lastUsed = latest(use.lastUsed, seen.at)
			}
		}
	}
	list := make([]scheduler.Demand, 0, len(sums))
	for _, row := range slices.Sorted(maps.Keys(sums)) {
		demand := sums[row]
		if use := t.uses[row]; use != nil {
			demand.LastUsed = use.lastUsed
			demand.RatePerSecond = use.rate(now)
		}
		list = append(list, *demand)
	}
	return list
}

func addDemand(sums map[structs.RowName]*scheduler.Demand, row structs.RowDemand, age time.Duration) {
	sum := sums[row.Row]
	if sum == nil {
		sum = &scheduler.Demand{Row: row.Row}
		sums[row.Row] = sum
	}
	sum.Waiting += row.Waiting
	sum.Running += row.Running
	if row.Waiting > 0 {
		sum.Highest = max(sum.Highest, row.Highest)
		sum.OldestWait = max(sum.OldestWait, row.OldestWait+age)
	}
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
