package simulate

import (
	"github.com/lotusferry/lotusferry/request/router"
	"github.com/lotusferry/lotusferry/structs"
)

// offerTaken informs the offering router that the request is executed.
type offerTaken struct{}

// requestOffer is an offer of a request to other zones.
type requestOffer struct {
	host   *routerHost
	call   *servedCall
	effect router.Offer
	// zone is the zone being asked; link is set once its router is connected.
	zone  structs.ZoneID
	link  *connection
	taken bool
	// ended is set once the core has the outcome.
	ended   bool
	refused []structs.ZoneID
	silent  []structs.ZoneID
}

// offer asks one router of each zone in turn until one accepts the request or the
// time budget is spent.
func (h *routerHost) offer(effect router.Offer) {
	call := h.calls[effect.ID]
	if call == nil {
		return
	}
	made := &requestOffer{host: h, call: call, effect: effect}
	h.site.scheduler.After(effect.Budget, h.ifSameProcess(made.timeOut))
	made.ask(effect.Zones)
}

func (o *requestOffer) open() bool {
	return !o.ended && !o.taken && o.host.core != nil && o.host.calls[o.effect.ID] == o.call
}

func (o *requestOffer) ask(zones []structs.ZoneID) {
	if !o.open() {
		return
	}
	if len(zones) == 0 {
		o.fail(false)
		return
	}
	o.zone = zones[0]
	site := o.host.site
	routers := site.routersOf(o.zone)
	next := routers[site.random.IntN(len(routers))]
	unreached := o.host.ifSameProcess(func() {
		if o.open() {
			o.silent = append(o.silent, o.zone)
			o.ask(zones[1:])
		}
	})
	site.dial(o.host.address(), next.address(), next.listening, func(link *connection) { o.opened(link, next, zones) }, unreached)
}

// opened sends the request on a connection to a router of the zone.
func (o *requestOffer) opened(link *connection, next *routerHost, zones []structs.ZoneID) {
	if !o.open() {
		return
	}
	o.link = link
	o.call.forward = link
	request := o.call.request
	request.Forwarded, request.IfReady = true, true
	link.up.end.receive = func(any) {
		if next.core != nil {
			next.accept(link, request, o.call.submission)
			return
		}
		link.closeServer()
	}
	link.down.end = connectionEnd{
		receive: func(message any) { o.answered(link, message, zones) },
		ended:   o.host.ifSameProcess(func() { o.broken(link) }),
	}
	link.up.send(request.ID)
}

func (o *requestOffer) answered(link *connection, message any, zones []structs.ZoneID) {
	if o.taken {
		o.host.forwardAnswered(o.effect.ID, message)
		return
	}
	if !o.open() || o.link != link {
		return
	}
	if _, isTaken := message.(offerTaken); isTaken {
		o.taken = true
		o.host.step(router.OfferTaken{ID: o.effect.ID, Zone: o.zone})
		wait := o.call.request.DeadlineAt.Add(forwardSlack).Sub(o.host.site.now())
		o.host.site.scheduler.After(wait, o.host.ifSameProcess(func() { o.host.giveUpForward(o.effect.ID) }))
		return
	}
	o.refused = append(o.refused, o.zone)
	o.link, o.call.forward = nil, nil
	link.closeClient()
	o.ask(zones[1:])
}

func (o *requestOffer) broken(link *connection) {
	switch {
	case o.taken:
		o.host.forwardFailed(o.effect.ID, router.Broken)
	case o.open() && o.link == link:
		o.timeOut()
	}
}

// timeOut ends an offer that the current zone did not answer.
func (o *requestOffer) timeOut() {
	if !o.open() {
		return
	}
	reached := o.link != nil
	if reached {
		o.link.closeClient()
	}
	o.silent = append(o.silent, o.zone)
	o.fail(reached)
}

func (o *requestOffer) fail(mayHaveRun bool) {
	o.ended = true
	o.link, o.call.forward = nil, nil
	o.host.step(router.OfferFailed{ID: o.effect.ID, Rejected: o.refused, TimedOut: o.silent, MayHaveRun: mayHaveRun})
}
