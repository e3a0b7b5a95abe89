package controller

import (
	"time"

	"github.com/lotusferry/lotusferry/placement/zone"
	"github.com/lotusferry/lotusferry/structs"
)

// A prefetch counts as a read of the store until its checkpoint is reported, or for at
// most the allowance plus the factor times the read time at full speed. After that it
// is assumed to be rejected or failed.
const (
	prefetchReadFactor     = 4
	prefetchOrderAllowance = 5 * time.Second
)

// openPrefetch is a prefetch that may still be reading the store. Its record in the zone's
// state ends as soon as the engine has accepted the order.
type openPrefetch struct {
	row         structs.RowName
	order       structs.OrderNumber
	incarnation structs.Incarnation
	since       time.Time
}

// trackPrefetches adds the prefetches that the state shows, and drops those of earlier
// incarnations.
func (d *decider) trackPrefetches() {
	open := map[structs.RunnerID]openPrefetch{}
	for _, runner := range d.runners {
		known := d.core.prefetches[runner.ID]
		if runner.Prefetch != "" && known.order != runner.PrefetchOrder {
			known = openPrefetch{runner.Prefetch, runner.PrefetchOrder, runner.Incarnation, d.input.Now}
		}
		if known.row != "" && known.incarnation == runner.Incarnation {
			open[runner.ID] = known
		}
	}
	d.core.prefetches = open
}

// prefetching returns the row that the runner is prefetching from the store, or the empty
// name.
func (d *decider) prefetching(runner zone.Runner) structs.RowName {
	known, ok := d.core.prefetches[runner.ID]
	if !ok || !d.accepting(runner) || d.silentFor(runner) > d.core.options.VanishedAfter {
		return ""
	}
	seen, _ := d.report(runner.ID, runner.Incarnation)
	if hasCached(seen.Report, known.row) || d.input.Now.Sub(known.since) > d.maxPrefetchTime(known.row) {
		return ""
	}
	return known.row
}

// maxPrefetchTime returns how long a prefetch of the row counts at most.
func (d *decider) maxPrefetchTime(row structs.RowName) time.Duration {
	spec, _ := d.input.State.Row(row)
	rate := max(d.core.options.Settings.StoreBytesPerSecond, 1)
	seconds := prefetchReadFactor * float64(spec.MemoryBytes) / float64(rate)
	return prefetchOrderAllowance + time.Duration(seconds*float64(time.Second))
}

// reconcilePrefetch returns the runner's prefetch order if it must be sent. One that the
// engine can no longer accept is dropped; the planner may ask again.
func (d *decider) reconcilePrefetch(runner zone.Runner, report structs.EngineReport) *structs.Order {
	fence := structs.Fence{Epoch: d.input.Epoch, Number: runner.PrefetchOrder}
	if runner.Prefetch == "" || !d.accepting(runner) {
		return nil
	}
	row, exists := d.input.State.Row(runner.Prefetch)
	if !exists || !report.Fence.Before(fence) || hasCached(report, runner.Prefetch) {
		d.propose(zone.Command{Prefetch: &zone.PrefetchCommand{Runner: runner.ID, Incarnation: runner.Incarnation}})
		return nil
	}
	if d.acknowledged(runner.ID, runner.Incarnation, fence) {
		return nil
	}
	return &structs.Order{
		Fence: fence, Kind: structs.OrderPrefetch, Runner: runner.ID, Incarnation: runner.Incarnation,
		Row: row.Name, MemoryBytes: row.MemoryBytes, Tier: structs.TierDisk,
	}
}
