package relay

import "time"

const (
	// routerCountTTL is how long a router may use its share of Extra without an update of the
	// number of routers.
	routerCountTTL = 10 * time.Second
	// contactSettleTime is how long a router must have heard leaders before it takes their number of routers for
	// complete: all routers watch a new leader within that time. maxContactGap is the longest time between two reports
	// in it, several times the interval between watches.
	contactSettleTime = 3 * time.Second
	maxContactGap     = 2 * time.Second
)

// routerCount is the number of routers among which bounds over all routers are divided. It rises with any report of the
// leader and falls late: a new leader knows few routers at first, and those that it never hears of use their shares for
// routerCountTTL and keep what they used in the window of the retry budget.
type routerCount struct {
	// routers is the largest number reported within the time given to observe, at the time of the last report.
	routers int
	at      time.Time
	// contactSince is when the first of the reports came that followed each other within maxContactGap, and
	// settledUntil until when the number is complete, as that had lasted for contactSettleTime.
	contactSince time.Time
	settledUntil time.Time
	// recent are the reports that may still be the largest: each is larger than all later ones.
	recent []countReport
}

type countReport struct {
	routers int
	at      time.Time
}

// observe adds a report as of the time at. Numbers of reports that are older than hold are forgotten.
func (g *routerCount) observe(at time.Time, routers int, hold time.Duration) {
	if at.Sub(g.at) > maxContactGap {
		g.contactSince = at
	}
	if at.Sub(g.contactSince) >= contactSettleTime {
		g.settledUntil = at.Add(hold)
	}
	for len(g.recent) > 0 && g.recent[len(g.recent)-1].routers <= routers {
		g.recent = g.recent[:len(g.recent)-1]
	}
	g.recent = append(g.recent, countReport{routers: routers, at: at})
	for at.Sub(g.recent[0].at) > hold {
		g.recent = g.recent[1:]
	}
	g.routers, g.at = g.recent[0].routers, at
}

// share returns the router's share of extra, or 0 if the number of routers is not known, not complete or has expired.
func (g *routerCount) share(now time.Time, extra float64) float64 {
	if g.routers <= 0 || now.Sub(g.at) > routerCountTTL || now.After(g.settledUntil) {
		return 0
	}
	return extra * extraShare / float64(g.routers)
}
