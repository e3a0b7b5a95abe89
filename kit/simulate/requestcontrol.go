package simulate

import (
	"time"

	"github.com/lotusferry/lotusferry/request/router"
	"github.com/lotusferry/lotusferry/structs"
)

const (
	// controlTimeout bounds a router's request to a controller.
	controlTimeout = 2500 * time.Millisecond
	// demandPause is the delay of an urgent demand report, which limits their rate.
	demandPause = 25 * time.Millisecond
)

// viewRequest asks a controller for the changes since the revisions.
type viewRequest struct {
	number  int
	request structs.ViewRequest
}

// viewAnswer answers the viewRequest of the number.
type viewAnswer struct {
	number int
	view   structs.ZoneView
}

// demandCall carries a router's demand report, demandAnswer the epoch of the leader
// that accepted it.
type demandCall struct {
	number int
	report structs.DemandReport
}

type demandAnswer struct {
	number int
	epoch  structs.Epoch
}

// controlClient is the state of a router process's requests to the controllers of
// its zone.
type controlClient struct {
	source *router.ViewSource
	// polls counts the view requests; pollStarted is the start of the long poll that
	// the latest belongs to, and polling is set while it is unanswered.
	polls       int
	pollStarted time.Duration
	polling     bool

	schedule *router.DemandSchedule
	// demands counts the demand reports; reporting is set while the latest, with its
	// scope and time, is unanswered.
	demands   int
	reporting bool
	scope     router.DemandScope
	madeAt    time.Time
	// urgentPlanned is set while an urgent report is scheduled.
	urgentPlanned bool
}

// followControllers starts polling for views and reporting demand.
func (h *routerHost) followControllers() {
	controllers := len(h.site.controlled.daemonsOf(h.zone))
	h.control = &controlClient{
		source:   router.NewViewSource(controllers, structs.ZoneView{}),
		schedule: router.NewDemandSchedule(h.site.controlled.pace.demand),
	}
	h.beginPoll()
	h.demandLoop()
}

// beginPoll starts a long poll, which consists of short ones.
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
	h.site.scheduler.After(controlTimeout, h.ifSameProcess(func() {
		if control.polling && control.polls == number {
			control.source.Failed()
			h.beginPoll()
		}
	}))
}

// viewAnswered handles a controller's answer: it adopts a changed view and continues
// or restarts the long poll.
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
		h.site.scheduler.After(pause, h.ifSameProcess(h.poll))
		return
	}
	if adopted, helps := control.source.Take(answer.view); helps {
		h.viewed = h.viewed || adopted.Index > 0 && !control.source.ReadsParts()
		h.step(router.ViewChanged{View: adopted})
	}
	h.site.scheduler.After(pause, h.ifSameProcess(h.beginPoll))
}

// answerView answers a router from the state applied by this controller.
func (d *daemon) answerView(from Address, request viewRequest) {
	m := d.zoneMember
	if m.node == nil {
		return
	}
	view := d.controller.state.ViewFor(request.request)
	view.Epoch = structs.Epoch(m.node.Term())
	d.site.network.Send(d.machine.Address, from, viewAnswer{request.number, view})
}

// demandLoop reports the router's demand periodically.
func (h *routerHost) demandLoop() {
	h.reportDemand()
	h.site.scheduler.After(h.site.controlled.pace.demand, h.ifSameProcess(h.demandLoop))
}

// reportDemand sends a due report to all controllers of the zone; the leader handles
// it.
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

// reportUrgent schedules an early report if requests wait for a row without a
// replica.
func (h *routerHost) reportUrgent() {
	control := h.control
	if control.urgentPlanned || !h.core.DemandUrgent() {
		return
	}
	control.urgentPlanned = true
	h.site.scheduler.After(demandPause, h.ifSameProcess(func() {
		control.urgentPlanned = false
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

// handleDemand handles a router's report if this controller leads.
func (d *daemon) handleDemand(from Address, call demandCall) {
	if !d.isLeader(groupName(d.machine.Zone)) {
		return
	}
	d.controller.observeDemand(call.report)
	epoch := structs.Epoch(d.zoneMember.node.Term())
	d.site.network.Send(d.machine.Address, from, demandAnswer{call.number, epoch})
}
