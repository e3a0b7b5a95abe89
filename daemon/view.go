package daemon

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"github.com/lotusferry/lotusferry/agreement/leadercall"
	"github.com/lotusferry/lotusferry/internal/pause"
	"github.com/lotusferry/lotusferry/request/router"
	"github.com/lotusferry/lotusferry/structs"
)

const (
	// demandPause is the shortest time between two demand reports of a router.
	demandPause   = 25 * time.Millisecond
	demandTimeout = 2 * time.Second
)

// viewLoop keeps the router's view of its zone up to date by long polls.
func (r *requestRouter) viewLoop(ctx context.Context) {
	defer r.viewStore.close()
	addresses := r.leader.Addresses()
	r.mutex.Lock()
	source := router.NewViewSource(len(addresses), r.view.View())
	r.mutex.Unlock()
	for ctx.Err() == nil {
		address := addresses[source.Controller()]
		view, err := r.readView(ctx, address, source.Next())
		if err != nil {
			level.Debug(r.logger).Log("msg", "The zone's view could not be read.", "address", address, "err", err)
			source.Failed()
			pause.For(ctx, leadercall.RetryDelay)
			continue
		}
		adopted, helps := source.Take(view)
		if !helps {
			pause.For(ctx, leadercall.RetryDelay)
			continue
		}
		r.keepView(adopted)
		r.adoptView(adopted)
		if !source.ReadsParts() {
			r.saveIfDue()
			r.serveByView()
		}
	}
}

func (r *requestRouter) readView(ctx context.Context, address string, request structs.ViewRequest) (structs.ZoneView, error) {
	reply := &ViewReply{}
	arguments := ViewArguments{
		SinceTable: request.SinceTable, SinceIndex: request.SinceIndex,
		Parts: true, Whole: request.Whole, After: request.After, Wait: router.ViewPoll,
	}
	if err := r.leader.Client().Call(ctx, address, methodZoneView, arguments, reply); err != nil {
		return structs.ZoneView{}, err
	}
	return reply.View, structs.AsError(reply.Error)
}

// loadView begins with the view that was saved, if there is a sound one.
func (r *requestRouter) loadView() {
	views, err := r.viewStore.load()
	if err != nil {
		level.Warn(r.logger).Log("msg", "The saved view cannot be read, or not to its end.", "err", err)
	}
	for _, view := range views {
		r.adoptView(view)
	}
	if len(views) > 0 {
		// What a failure has torn is put right before changes are added to it.
		r.saveIfDue()
		r.serveByView()
		known := r.view.View()
		level.Info(r.logger).Log("msg", "The router begins with its saved view.", "table_revision", known.Table.Revision, "index", known.Index)
	}
}

// keepView puts a change of the view on disk before the router works by it. After a
// failure the whole view is saved instead, once the change is adopted.
func (r *requestRouter) keepView(view structs.ZoneView) {
	r.mutex.Lock()
	known := r.core.TableRevision()
	r.mutex.Unlock()
	newer := view.Table.Revision > known
	if r.viewStore.changes == nil || view.Placement == nil && !newer && !view.Table.Full {
		return
	}
	if err := r.viewStore.append(view, newer); err != nil {
		level.Warn(r.logger).Log("msg", "A change of the view could not be saved.", "err", err)
	}
}

// saveIfDue saves the whole view when no changes can be kept after the saved one, or
// they have become many.
func (r *requestRouter) saveIfDue() {
	if !r.viewStore.isDue() {
		return
	}
	r.mutex.Lock()
	whole := r.view.View()
	r.mutex.Unlock()
	if whole.Index == 0 {
		return
	}
	if err := r.viewStore.replace(whole); err != nil {
		level.Warn(r.logger).Log("msg", "The view could not be saved.", "file", r.viewStore.basePath, "err", err)
	}
}

// serveByView lets requests in once the table was read to its end and saved.
func (r *requestRouter) serveByView() {
	r.mutex.Lock()
	// The log of a zone has an entry: a controller without one has just started.
	r.viewed = r.viewed || r.view.Index() > 0
	r.mutex.Unlock()
}

// adoptView hands the view to the core and keeps it.
func (r *requestRouter) adoptView(view structs.ZoneView) {
	r.mutex.Lock()
	r.view.Adopt(view)
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
		pause.For(ctx, demandPause)
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
	reply, err := leadercall.Call(ctx, r.leader, methodZoneDemand, DemandArguments{Report: report}, func() *DemandReply { return &DemandReply{} })
	if err != nil {
		schedule.Failed()
		level.Debug(r.logger).Log("msg", "The demand could not be reported.", "err", err)
		return
	}
	schedule.Acknowledged(now, scope, reply.Epoch)
}

// notViewed refuses a request to a router that knows no table yet.
func notViewed() structs.Rejection {
	refusal := structs.Rejection{
		Error: *structs.NewError(structs.ErrorUnavailable, "this router has not read its zone's table yet",
			"Send the request to another router, or come back after the time given."),
		Execution: structs.ExecutionNotRun,
	}
	refusal.Error.RetryAfter = router.MinRetryAfter
	return refusal
}
