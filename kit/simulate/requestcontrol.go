package simulate

import (
	"time"

	"github.com/lotusferry/lotusferry/request/router"
	"github.com/lotusferry/lotusferry/structs"
)

const (
	// controlTimeout bounds a router's call to a controller.
	controlTimeout = 2500 * time.Millisecond
	// demandPause is the shortest time between two urgent reports of demand.
	demandPause = 25 * time.Millisecond
)

// viewRequest asks a controller for what changed since the revisions.
type viewRequest struct {
	number  int
	request structs.ViewRequest
}

// viewAnswer carries the view that a viewRequest of the number asked for.
type viewAnswer struct {
	number int
	view   structs.ZoneView
}

// demandCall carries a router's demand report, demandAnswer the epoch of the leader
// that took it.
type demandCall struct {
	number int
	report structs.DemandReport
}

type demandAnswer struct {
	number int
	epoch  structs.Epoch
}

// controlClient is what a router, in one life, knows of its calls to the
// controllers of its zone.
type controlClient struct {
	source *router.ViewSource
	// polls counts the requests for a view; pollStarted is when the long poll began
	// that the latest belongs to, and polling is set while it has no answer.
	polls       int
	pollStarted time.Duration
	polling     bool

	schedule *router.DemandSchedule
	// demands counts the reports of demand; reporting is set while the latest, of the
	// scope and made at the time, has no answer.
	demands   int
	reporting bool
	scope     router.DemandScope
	madeAt    time.Time
	// hurrying is set while an urgent report is planned.
	hurrying bool
}

// followControllers begins to ask for views and to report demand.
func (h *routerHost) followControllers() {
	controllers := len(h.site.controlled.daemonsOf(h.zone))
	h.control = &controlClient{
		source:   router.NewViewSource(controllers, structs.ZoneView{}),
		schedule: router.NewDemandSchedule(h.site.controlled.pace.demand),
	}
	h.beginPoll()
	h.demandLoop()
}

// beginPoll begins a long poll, which is made of short ones.
func (h *routerHost) beginPoll() {
	h.control.pollStarted = h.site.scheduler.Now()
	h.poll()
}

func (h *routerHost) poll() {
	control := h.control
	control.polls++
	control.polling = true
	number := control.polls
	asked := h.site.controlled.daemonsOf(h.zone)[control.source.Controller()]
	h.site.network.Send(h.address(), asked.machine.Address, viewRequest{number, control.source.Next()})
	h.site.scheduler.After(controlTimeout, h.inLife(func() {
		if control.polling && control.polls == number {
			control.source.Failed()
			h.beginPoll()
		}
	}))
}

// viewAnswered takes a controller's answer: news, or the next part or the end of the
// long poll.
func (h *routerHost) viewAnswered(answer viewAnswer) {
	control := h.control
	if !control.polling || answer.number != control.polls {
		return
	}
	control.polling = false
	since := control.source.Next().SinceTable
	ended := h.site.scheduler.Now()-control.pollStarted >= router.ViewPoll
	pause := h.site.controlled.pace.view
	if !answer.view.HasChanges(since) && !ended {
		h.site.scheduler.After(pause, h.inLife(h.poll))
		return
	}
	if adopted, helps := control.source.Take(answer.view); helps {
		h.viewed = h.viewed || adopted.Index > 0 && !control.source.ReadsParts()
		h.step(router.ViewChanged{View: adopted})
	}
	h.site.scheduler.After(pause, h.inLife(h.beginPoll))
}

// answerView answers a router from what this controller has applied.
func (d *daemon) answerView(from Address, request viewRequest) {
	m := d.zoneMember
	if m.node == nil {
		return
	}
	view := d.controller.state.ViewFor(request.request)
	view.Epoch = structs.Epoch(m.node.Term())
	d.site.network.Send(d.machine.Address, from, viewAnswer{request.number, view})
}

// demandLoop reports the router's demand again and again.
func (h *routerHost) demandLoop() {
	h.reportDemand()
	h.site.scheduler.After(h.site.controlled.pace.demand, h.inLife(h.demandLoop))
}

// reportDemand sends the report that is due to all controllers; the leader takes it.
func (h *routerHost) reportDemand() {
	control := h.control
	if control.reporting {
		control.schedule.Failed()
	}
	now := h.site.now()
	scope := control.schedule.Next(now)
	report, send := h.core.DemandOf(scope)
	control.reporting = send
	if !send {
		control.schedule.Skipped(now, scope)
		return
	}
	control.demands++
	control.scope, control.madeAt = scope, now
	for _, d := range h.site.controlled.daemonsOf(h.zone) {
		h.site.network.Send(h.address(), d.machine.Address, demandCall{control.demands, report})
	}
}

// reportUrgent plans a report at once when requests wait for a row without a replica.
func (h *routerHost) reportUrgent() {
	control := h.control
	if control.hurrying || !h.core.DemandUrgent() {
		return
	}
	control.hurrying = true
	h.site.scheduler.After(demandPause, h.inLife(func() {
		control.hurrying = false
		h.reportDemand()
	}))
}

func (h *routerHost) demandAnswered(answer demandAnswer) {
	control := h.control
	if control.reporting && answer.number == control.demands {
		control.reporting = false
		control.schedule.Acknowledged(control.madeAt, control.scope, answer.epoch)
	}
}

// takeDemand takes a router's report if this controller leads.
func (d *daemon) takeDemand(from Address, call demandCall) {
	if !d.isLeader(groupName(d.machine.Zone)) {
		return
	}
	d.controller.observeDemand(call.report)
	epoch := structs.Epoch(d.zoneMember.node.Term())
	d.site.network.Send(d.machine.Address, from, demandAnswer{call.number, epoch})
}
