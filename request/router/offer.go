package router

import (
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

const (
	// offerBudgetLimit and offerBudgetShare bound how long an offer may be without an
	// answer: a time, and a share of what is left until the deadline.
	offerBudgetLimit = 300 * time.Millisecond
	offerBudgetShare = 0.05
	// offerBudgetLeast is the shortest time in which another zone can answer.
	offerBudgetLeast = 20 * time.Millisecond
	// offerZoneLimit is how many zones one offer asks.
	offerZoneLimit = 2
	// refusalMemory is how long a zone that refused an offer of a row gets none of that
	// row, silenceMemory how long a zone that did not answer gets none at all.
	refusalMemory = 2 * time.Second
	silenceMemory = 10 * time.Second
)

// offer hands a new request for a row without a ready replica here to zones that
// may have one, and reports whether it did. Until the offer has failed, the request
// is no demand for a load in this zone.
func (c *Core) offer(incoming structs.Request, wanted *row) bool {
	if !incoming.Repeatable() || incoming.Forwarded || c.balancer.Ready(wanted.Name) > 0 {
		return false
	}
	// While it is not known whether any zone has a replica, one request asks for all.
	if wanted.offered > 0 && wanted.warmZone == "" {
		return false
	}
	left := incoming.DeadlineAt.Sub(c.now)
	budget := min(offerBudgetLimit, time.Duration(offerBudgetShare*float64(left)))
	zones := c.offerZones(wanted)
	if len(zones) == 0 || budget < offerBudgetLeast {
		return false
	}
	held := c.hold(incoming, wanted)
	held.phase = phaseOffered
	held.queuedAt = c.now
	wanted.offered++
	c.stats.Offered++
	c.emit(Offer{ID: held.ID, Zones: zones, Budget: budget})
	return true
}

// offerZones chooses the zones to ask: the one that last took a request of the
// row, then others from a random one on.
func (c *Core) offerZones(wanted *row) []structs.ZoneID {
	if len(wanted.elsewhere) == 0 {
		return nil
	}
	var chosen []structs.ZoneID
	first := c.options.Random.IntN(len(wanted.elsewhere))
	for index := range wanted.elsewhere {
		zone := wanted.elsewhere[(first+index)%len(wanted.elsewhere)]
		if c.now.Before(c.silentUntil[zone]) || c.now.Before(wanted.refusedUntil[zone]) {
			continue
		}
		chosen = append(chosen, zone)
		if zone == wanted.warmZone {
			chosen[0], chosen[len(chosen)-1] = zone, chosen[0]
		}
	}
	return chosen[:min(len(chosen), offerZoneLimit)]
}

// offerTaken lets go of a request that another zone executes.
func (c *Core) offerTaken(event OfferTaken) {
	held := c.requests[event.ID]
	if held == nil || held.phase != phaseOffered {
		return
	}
	held.row.warmZone = event.Zone
	c.stats.OffersTaken++
	c.release(held)
}

// offerFailed queues a request that no other zone took, as of its arrival.
func (c *Core) offerFailed(event OfferFailed) {
	c.rememberSilent(event.Silent)
	held := c.requests[event.ID]
	if held == nil || held.phase != phaseOffered {
		return
	}
	c.rememberRefused(held.row, event.Refused)
	held.row.offered--
	held.phase = phaseQueued
	held.uncertain = event.MayHaveRun
	c.noteDemand(held.row)
	c.noteUrgent(held.row)
	c.admit(held)
	c.endUnserved(held.row)
}

func (c *Core) rememberSilent(zones []structs.ZoneID) {
	for _, zone := range zones {
		if c.silentUntil == nil {
			c.silentUntil = map[structs.ZoneID]time.Time{}
		}
		c.silentUntil[zone] = c.now.Add(silenceMemory)
	}
}

func (c *Core) rememberRefused(offered *row, zones []structs.ZoneID) {
	for _, zone := range zones {
		if offered.refusedUntil == nil {
			offered.refusedUntil = map[structs.ZoneID]time.Time{}
		}
		offered.refusedUntil[zone] = c.now.Add(refusalMemory)
		if offered.warmZone == zone {
			offered.warmZone = ""
		}
	}
}

// refusesOffer ends a request that another zone offered and that could not start now.
func (c *Core) refusesOffer(incoming structs.Request, wanted *row) bool {
	if !incoming.IfReady || c.mutation == mutationQueueOffered {
		return false
	}
	_, free := c.balancer.Slots(c.now, wanted.Name)
	if free > 0 && wanted.waiting() == 0 {
		return false
	}
	c.refuseUnheld(incoming.ID, noRoom(wanted.Name))
	return true
}

// endIfWaiting ends an offered request that found no replica after all.
func (c *Core) endIfWaiting(held *request) {
	if !held.IfReady || c.mutation == mutationQueueOffered || c.requests[held.ID] != held || held.phase != phaseQueued {
		return
	}
	problem := noRoom(held.Row)
	c.refuseAs(held, problem, problem.RetryAfter)
}

func noRoom(name structs.RowName) structs.Error {
	problem := structs.NewError(structs.ErrorUnavailable,
		"no ready replica with room for row "+string(name)+" here", "Queue the request in its own zone.")
	problem.RetryAfter = MinimumRetryAfter
	return *problem
}
