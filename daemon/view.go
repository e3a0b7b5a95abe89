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
	// demandPause is the minimum time between two demand reports.
	demandPause   = 25 * time.Millisecond
	demandTimeout = 2 * time.Second
)

// viewLoop keeps the router's view of its zone current by long polling.
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
		r.saveChange(adopted)
		r.adoptView(adopted)
		if !source.ReadsParts() {
			r.saveIfDue()
			r.markViewReady()
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

// loadView loads the saved view, if it is valid.
func (r *requestRouter) loadView() {
	views, err := r.viewStore.load()
	if err != nil {
		level.Warn(r.logger).Log("msg", "The saved view is damaged or incomplete.", "err", err)
	}
	for _, view := range views {
		r.adoptView(view)
	}
	if len(views) > 0 {
		// Repairs a torn end of the file before changes are appended.
		r.saveIfDue()
		r.markViewReady()
		known := r.view.View()
		level.Info(r.logger).Log("msg", "The router starts with its saved view.", "table_revision", known.Table.Revision, "index", known.Index)
	}
}

// saveChange writes a change of the view to disk before the router applies it. After a
// write error, the whole view is saved once the change is adopted.
func (r *requestRouter) saveChange(view structs.ZoneView) {
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

// saveIfDue saves the whole view if changes cannot be appended to the saved one or have
// grown too large.
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

// markViewReady allows requests once the whole table has been read and saved.
func (r *requestRouter) markViewReady() {
	r.mutex.Lock()
	// The log of a zone has at least one entry; a controller with index 0 has just
	// started.
	r.viewReady = r.viewReady || r.view.Index() > 0
	r.mutex.Unlock()
}

// adoptView applies the view here and in the core.
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
	return r.viewReady
}

// demandLoop reports the router's demand to the zone leader: immediately for requests
// that wait for a row without a ready replica, and every report interval for other
// changes.
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

// viewMissingRefusal is the refusal of requests before the table has been read.
func viewMissingRefusal() structs.Rejection {
	refusal := structs.Rejection{
		Error: *structs.NewError(structs.ErrorUnavailable, "this router has not read its zone's table yet",
			"Send the request to another router, or come back after the time given."),
		Execution: structs.ExecutionNotRun,
	}
	refusal.Error.RetryAfter = router.MinRetryAfter
	return refusal
}
