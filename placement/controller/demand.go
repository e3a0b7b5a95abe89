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
	// rateHalfLife is the half-life of an arrival in the smoothed rate.
	rateHalfLife = 30 * time.Second
	// maxTrackedRows bounds the rows whose use is remembered.
	maxTrackedRows = 100_000
)

// demandTable holds the routers' current demand and the observed use of rows.
type demandTable struct {
	reports map[structs.DaemonID]routerDemand
	uses    map[structs.RowName]*rowUse
	// usageHistory records the arrivals at all routers.
	usageHistory *scheduler.UsageHistory
}

// routerDemand is a router's demand, merged from its partial reports. It is dropped when
// the newest report is too old.
type routerDemand struct {
	at   time.Time
	rows map[structs.RowName]reportedRow
}

// reportedRow is a router's last report on a row, and its time.
type reportedRow struct {
	structs.RowDemand
	at time.Time
}

// rowUse is the observed use of one row.
type rowUse struct {
	lastUsed    time.Time
	lastArrival time.Time
	gaps        scheduler.Interarrivals
	// arrivals is the decayed count of arrivals as of lastArrival.
	arrivals float64
}

func newDemandTable() demandTable {
	return demandTable{
		reports:      map[structs.DaemonID]routerDemand{},
		uses:         map[structs.RowName]*rowUse{},
		usageHistory: scheduler.NewUsageHistory(),
	}
}

func (t *demandTable) observe(now time.Time, report structs.DemandReport) {
	seen := routerDemand{now, t.reports[report.Daemon].rows}
	if !report.Partial || seen.rows == nil {
		seen.rows = make(map[structs.RowName]reportedRow, len(report.Rows))
	}
	t.reports[report.Daemon] = seen
	for _, row := range report.Rows {
		if row.Waiting+row.Running+row.Arrived == 0 {
			delete(seen.rows, row.Row)
			continue
		}
		seen.rows[row.Row] = reportedRow{row, now}
		if row.Arrived > 0 {
			t.usageHistory.Observe(now, row.Row)
		}
		use := t.use(row.Row)
		if use == nil {
			continue
		}
		use.lastUsed = now
		if row.Arrived > 0 {
			use.recordArrivals(now, row.Arrived)
		}
	}
}

// use returns the row's record, or nil if too many rows are tracked.
func (t *demandTable) use(row structs.RowName) *rowUse {
	use, ok := t.uses[row]
	if !ok && len(t.uses) < maxTrackedRows {
		use = &rowUse{}
		t.uses[row] = use
	}
	return use
}

func (u *rowUse) recordArrivals(now time.Time, count int) {
	if !u.lastArrival.IsZero() {
		if gap := now.Sub(u.lastArrival); gap >= time.Second {
			u.gaps.Observe(gap)
		}
	}
	u.arrivals = u.decayedArrivals(now) + float64(count)
	u.lastArrival = now
}

func (u *rowUse) decayedArrivals(now time.Time) float64 {
	if u.lastArrival.IsZero() {
		return 0
	}
	return u.arrivals * math.Exp2(-now.Sub(u.lastArrival).Seconds()/rateHalfLife.Seconds())
}

// rate returns the smoothed arrival rate, in requests per second.
func (u *rowUse) rate(now time.Time) float64 {
	return u.decayedArrivals(now) * math.Ln2 / rateHalfLife.Seconds()
}

// collect returns the sum of the reports that are not older than maxAge. It adds the given
// rows, so that their last use is known.
func (t *demandTable) collect(now time.Time, maxAge time.Duration, rows map[structs.RowName]bool) []scheduler.Demand {
	sums := map[structs.RowName]*scheduler.Demand{}
	for row := range rows {
		sums[row] = &scheduler.Demand{Row: row}
	}
	for daemon, seen := range t.reports {
		if now.Sub(seen.at) > maxAge {
			delete(t.reports, daemon)
			continue
		}
		for name, row := range seen.rows {
			addDemand(sums, row.RowDemand, now.Sub(row.at))
			// A row that newer partial reports omit is unchanged: its requests continue.
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
