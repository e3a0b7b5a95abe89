package daemon

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"github.com/lotusferry/lotusferry/router"
	"github.com/lotusferry/lotusferry/structs"
)

const (
	// demandPause is the shortest time between two demand reports of a router.
	demandPause   = 25 * time.Millisecond
	demandTimeout = 2 * time.Second
)

// viewLoop keeps the router's view of its zone up to date by long polls.
func (r *requestRouter) viewLoop(ctx context.Context) {
	r.mutex.Lock()
	sinceTable, sinceIndex := r.core.TableRevision(), r.view.index
	r.mutex.Unlock()
	for next := 0; ctx.Err() == nil; {
		addresses := r.leader.addresses
		address := addresses[next%len(addresses)]
		reply := &ViewReply{}
		arguments := ViewArguments{SinceTable: sinceTable, SinceIndex: sinceIndex, Wait: maxWait}
		err := r.leader.client.Call(ctx, address, methodZoneView, arguments, reply)
		if err == nil {
			err = asError(reply.Error)
		}
		if err != nil {
			level.Debug(r.logger).Log("msg", "The zone's view could not be read.", "address", address, "err", err)
			next++
			pause(ctx, retryPause)
			continue
		}
		if reply.View.Index < sinceIndex {
			// This controller is behind what the router already has.
			next++
			pause(ctx, retryPause)
			continue
		}
		r.adoptView(reply.View)
		sinceTable = max(sinceTable, reply.View.Table.Revision)
		sinceIndex = reply.View.Index
	}
}

// adoptView hands the view to the core and keeps it.
func (r *requestRouter) adoptView(view structs.ZoneView) {
	r.mutex.Lock()
	// The log of a zone has an entry: a controller without one has just started.
	r.viewed = r.viewed || view.Index > 0
	r.view.adopt(view)
	r.stepLocked(router.ViewChanged{View: view})
	r.mutex.Unlock()
	r.viewChanged.broadcast()
}

// hasView reports whether the router has read its zone's table.
func (r *requestRouter) hasView() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.viewed
}

// demandLoop reports the router's demand to the zone leader: at once what waits
// for a row without a ready replica, and every report interval what changed.
func (r *requestRouter) demandLoop(ctx context.Context) {
	schedule := router.NewDemandSchedule(r.timing.ReportInterval)
	for {
		waiting := r.waiting.wait()
		timer := time.NewTimer(r.timing.ReportInterval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-waiting:
		case <-timer.C:
		}
		timer.Stop()
		r.reportDemand(ctx, schedule)
		pause(ctx, demandPause)
	}
}

func (r *requestRouter) reportDemand(ctx context.Context, schedule *router.DemandSchedule) {
	now := time.Now()
	scope := schedule.Next(now)
	r.mutex.Lock()
	report, send := r.core.DemandOf(scope)
	r.mutex.Unlock()
	if !send {
		schedule.Skipped(now, scope)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, demandTimeout)
	defer cancel()
	reply, err := callLeader(ctx, r.leader, methodZoneDemand, DemandArguments{Report: report}, func() *DemandReply { return &DemandReply{} })
	if err != nil {
		schedule.Failed()
		level.Debug(r.logger).Log("msg", "The demand could not be reported.", "err", err)
		return
	}
	schedule.Acknowledged(now, scope, reply.Epoch)
}
