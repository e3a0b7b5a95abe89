package hollow

import (
	"github.com/lotusferry/lotusferry/request/router"
	"github.com/lotusferry/lotusferry/structs"
)

// offer asks routers of other zones, in turn, to take a request now.
func (r *routerNode) offer(effect router.Offer) {
	record := r.requests[effect.ID]
	delete(r.requests, effect.ID)
	r.owner.zone.load.open--
	made := &offer{router: r, life: r.owner.life, record: record, left: effect.Zones}
	made.next()
}

// offer is one under way. It runs in its router's zone, except for put.
type offer struct {
	router  *routerNode
	life    int
	record  *callRecord
	left    []structs.ZoneID
	outcome router.OfferFailed
}

// next asks the next zone, or ends the offer.
func (o *offer) next() {
	home := o.router.owner.zone
	if len(o.left) == 0 {
		home.after(0, o.fail)
		return
	}
	id := o.left[0]
	o.left = o.left[1:]
	target := home.site.zoneByID(id)
	if target == nil || !home.site.connected(home, target, home.now) {
		o.outcome.Silent = append(o.outcome.Silent, id)
		o.next()
		return
	}
	home.post(target.partition, delayBetween(home, target), func() { o.put(target) })
}

// put hands the request to a router of the target, which takes it or refuses it at once.
func (o *offer) put(target *zoneSite) {
	home := o.router.owner.zone
	request := &o.record.request
	taken := false
	if chosen := target.readyRouter(); chosen != nil {
		request.Forwarded, request.IfReady = true, true
		target.load.open++
		taken = true
		o.record.returned = func() { taken = false }
		chosen.arrive(o.record)
		o.record.returned = nil
	}
	if taken {
		id := request.ID
		target.post(home.partition, delayBetween(home, target), func() { o.taken(id, target.id) })
		return
	}
	request.Forwarded, request.IfReady = false, false
	target.post(home.partition, delayBetween(home, target), func() {
		o.outcome.Refused = append(o.outcome.Refused, target.id)
		o.next()
	})
}

func (o *offer) taken(id structs.RequestID, by structs.ZoneID) {
	if o.router.current(o.life) {
		o.router.step(router.OfferTaken{ID: id, Zone: by})
	}
}

func (o *offer) fail() {
	home := o.router.owner.zone
	home.load.open++
	if !o.router.current(o.life) {
		o.record.end(home, outcomeCut, nil)
		return
	}
	o.outcome.ID = o.record.request.ID
	o.router.requests[o.outcome.ID] = o.record
	o.router.step(o.outcome)
}
