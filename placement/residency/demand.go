package residency

import (
	"math"
	"time"
)

// rowDemand is the demand for a row over all routers.
type rowDemand struct {
	// rate is the average number of requests per second as of ratedAt, and recent the same over a
	// shorter time.
	rate    float64
	recent  float64
	ratedAt time.Time
	// byZone is the rate by the zone of the routers.
	byZone zoneRates
	// objective is the shortest objective among recent requests.
	objective time.Duration
	// reports holds the latest report of each router.
	reports map[string]routerDemand
}

type routerDemand struct {
	demand Demand
	at     time.Time
}

// waiting summarizes the waiting requests for a row.
type waiting struct {
	row      Row
	count    int
	oldest   time.Duration
	priority int
	// zones lists the zones of the runners that some of the requests may use; nil for any.
	zones []string
}

// recentShare is the ratio of the averaging time of the recent rate to RateTime.
const recentShare = 0.35

// recentWeight is the weight of the recent rate when demand rises. Extrapolating the rise instead
// served callers worse on a site with few places (docs/design/large.md).
const recentWeight = 0.75

// expectedRate returns the rate to plan for: the long average, or more if the short one is higher.
func expectedRate(long, short float64) float64 {
	return max(long, recentWeight*short+(1-recentWeight)*long)
}

func (d *rowDemand) add(now time.Time, router string, demand Demand, rateTime time.Duration) {
	d.decay(now, rateTime)
	d.rate += float64(demand.Arrived) / rateTime.Seconds()
	d.recent += float64(demand.Arrived) / (rateTime.Seconds() * recentShare)
	if demand.Objective > 0 && (d.objective == 0 || demand.Objective < d.objective) {
		d.objective = demand.Objective
	}
	d.reports[router] = routerDemand{demand: demand, at: now}
}

func (d *rowDemand) decay(now time.Time, rateTime time.Duration) {
	if passed := now.Sub(d.ratedAt); passed > 0 && !d.ratedAt.IsZero() {
		left := math.Exp(-passed.Seconds() / rateTime.Seconds())
		d.rate *= left
		d.byZone.decay(left)
		d.recent *= math.Exp(-passed.Seconds() / (rateTime.Seconds() * recentShare))
	}
	d.ratedAt = now
}

// waits summarizes the reports that are not older than ttl, by the zones that the requests may use.
func (d *rowDemand) waits(now time.Time, row Row, ttl time.Duration) []waiting {
	var groups []waiting
	for _, report := range d.reports {
		age := now.Sub(report.at)
		if age > ttl || report.demand.Waiting == 0 {
			continue
		}
		groups = addWaiting(groups, waiting{
			row: row, count: report.demand.Waiting, oldest: report.demand.Oldest + age,
			priority: report.demand.Priority, zones: report.demand.Zones,
		})
	}
	return mergeCovered(groups)
}

// prune deletes reports older than ttl.
func (d *rowDemand) prune(now time.Time, ttl time.Duration) {
	for router, report := range d.reports {
		if now.Sub(report.at) > ttl {
			delete(d.reports, router)
		}
	}
}
