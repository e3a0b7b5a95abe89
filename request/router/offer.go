package router

import (
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

const (
	// offerBudgetMax and offerBudgetShare limit how long an offer may be unanswered: a
	// duration, and a fraction of the time until the deadline.
	offerBudgetMax   = 300 * time.Millisecond
	offerBudgetShare = 0.05
	// offerBudgetMin is the shortest useful budget of an offer.
	offerBudgetMin = 20 * time.Millisecond
	// offerZoneLimit is the number of zones tried by one offer.
	offerZoneLimit = 2
	// rejectionBackoff is how long a zone that rejected an offer of a row gets no offers of
	// that row; unresponsiveBackoff is how long a zone that did not answer gets no offers
	// at all.
	rejectionBackoff    = 2 * time.Second
	unresponsiveBackoff = 10 * time.Second
)

// offer offers a new request for a row without a ready replica to zones that may have
// one, and reports whether it did. The request does not count as demand of this zone
// until the offer fails.
func (c *Core) offer(incoming structs.Request, target *row) bool {
	if !incoming.Repeatable() || incoming.Forwarded || c.balancer.Ready(target.Name) > 0 {
		return false
	}
	// Until a zone is known to have a replica, only one offer is outstanding.
	if target.offered > 0 && target.warmZone == "" {
		return false
	}
	left := incoming.DeadlineAt.Sub(c.now)
	budget := min(offerBudgetMax, time.Duration(offerBudgetShare*float64(left)))
	zones := c.offerZones(target)
	if len(zones) == 0 || budget < offerBudgetMin {
		return false
	}
	req := c.track(incoming, target)
	req.phase = phaseOffered
	req.queuedAt = c.now
	target.offered++
	c.stats.Offered++
	c.emit(Offer{ID: req.ID, Zones: zones, Budget: budget})
	return true
}

// offerZones returns the zones to try: the one that last accepted a request of the row,
// then others, starting at a random one.
func (c *Core) offerZones(target *row) []structs.ZoneID {
	if len(target.elsewhere) == 0 {
		return nil
	}
	var chosen []structs.ZoneID
	first := c.options.Random.IntN(len(target.elsewhere))
	for index := range target.elsewhere {
		zone := target.elsewhere[(first+index)%len(target.elsewhere)]
		if c.now.Before(c.unresponsiveUntil[zone]) || c.now.Before(target.rejectedUntil[zone]) {
			continue
		}
		chosen = append(chosen, zone)
		if zone == target.warmZone {
			chosen[0], chosen[len(chosen)-1] = zone, chosen[0]
		}
	}
	return chosen[:min(len(chosen), offerZoneLimit)]
}

// offerTaken drops a request that another zone executes.
func (c *Core) offerTaken(event OfferTaken) {
	req := c.requests[event.ID]
	if req == nil || req.phase != phaseOffered {
		return
	}
	req.row.warmZone = event.Zone
	c.stats.OffersTaken++
	c.untrack(req)
}

// offerFailed queues a request that no other zone accepted, as of its arrival.
func (c *Core) offerFailed(event OfferFailed) {
	c.recordUnresponsive(event.TimedOut)
	req := c.requests[event.ID]
	if req == nil || req.phase != phaseOffered {
		return
	}
	c.recordRejections(req.row, event.Rejected)
	req.row.offered--
	req.phase = phaseQueued
	req.mayHaveRun = event.MayHaveRun
	c.recordArrival(req.row)
	c.updateUrgency(req.row)
	c.admit(req)
	c.endUnserved(req.row)
}

func (c *Core) recordUnresponsive(zones []structs.ZoneID) {
	for _, zone := range zones {
		if c.unresponsiveUntil == nil {
			c.unresponsiveUntil = map[structs.ZoneID]time.Time{}
		}
		c.unresponsiveUntil[zone] = c.now.Add(unresponsiveBackoff)
	}
}

func (c *Core) recordRejections(offered *row, zones []structs.ZoneID) {
	for _, zone := range zones {
		if offered.rejectedUntil == nil {
			offered.rejectedUntil = map[structs.ZoneID]time.Time{}
		}
		offered.rejectedUntil[zone] = c.now.Add(rejectionBackoff)
		if offered.warmZone == zone {
			offered.warmZone = ""
		}
	}
}

// rejectOfferIfBusy rejects a request offered by another zone if it cannot start now.
func (c *Core) rejectOfferIfBusy(incoming structs.Request, target *row) bool {
	if !incoming.IfReady || c.mutation == mutationQueueOffered {
		return false
	}
	_, free := c.balancer.Slots(c.now, target.Name)
	if free > 0 && target.waiting() == 0 {
		return false
	}
	c.rejectUntracked(incoming.ID, noCapacity(target.Name))
	return true
}

// endIfWaiting rejects an offered request that was queued because it found no replica.
func (c *Core) endIfWaiting(req *request) {
	if !req.IfReady || c.mutation == mutationQueueOffered || c.requests[req.ID] != req || req.phase != phaseQueued {
		return
	}
	problem := noCapacity(req.Row)
	c.rejectAs(req, problem, problem.RetryAfter)
}

func noCapacity(name structs.RowName) structs.Error {
	problem := structs.NewError(structs.ErrorUnavailable,
		"no ready replica with free capacity for row "+string(name)+" in this zone", "Queue the request in its own zone.")
	problem.RetryAfter = MinRetryAfter
	return *problem
}
