package daemon

import (
	"cmp"
	"context"
	"maps"
	"slices"
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
	var sinceTable, sinceIndex uint64
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

// adoptView hands the view to the core and keeps the rows for /v1/models.
func (r *requestRouter) adoptView(view structs.ZoneView) {
	r.mutex.Lock()
	r.viewed = true
	if view.Table.Full {
		r.rows = make(map[structs.RowName]structs.Row, len(view.Table.Rows))
	}
	for _, row := range view.Table.Rows {
		r.rows[row.Name] = row
	}
	for _, name := range view.Table.Deleted {
		delete(r.rows, name)
	}
	r.mutex.Unlock()
	r.step(router.ViewChanged{View: view})
}

// hasView reports whether the router has read its zone's table.
func (r *requestRouter) hasView() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.viewed
}

func sortedRows(rows map[structs.RowName]structs.Row) []structs.Row {
	return slices.SortedFunc(maps.Values(rows), func(a, b structs.Row) int { return cmp.Compare(a.Name, b.Name) })
}

// demandLoop reports the router's demand to the zone leader: at once when a
// request starts to wait, and every report interval otherwise.
func (r *requestRouter) demandLoop(ctx context.Context) {
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
		r.reportDemand(ctx)
		pause(ctx, demandPause)
	}
}

func (r *requestRouter) reportDemand(ctx context.Context) {
	r.mutex.Lock()
	report := r.core.Demand()
	r.mutex.Unlock()
	if len(report.Rows) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, demandTimeout)
	defer cancel()
	_, err := callLeader(ctx, r.leader, methodZoneDemand, DemandArguments{Report: report}, func() *DemandReply { return &DemandReply{} })
	if err != nil {
		level.Debug(r.logger).Log("msg", "The demand could not be reported.", "err", err)
	}
}
