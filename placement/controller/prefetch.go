package controller

import (
	"time"

	"github.com/lotusferry/lotusferry/placement/zone"
	"github.com/lotusferry/lotusferry/structs"
)

// The time for which a prefetch counts as a read of the store, unless its checkpoint
// is seen before: so many times as long as the read takes at full speed, and a fixed
// time for the order. After it, the prefetch is taken for refused or failed.
const (
	prefetchReadTimes = 4
	prefetchOrderTime = 5 * time.Second
)

// openPrefetch is a prefetch that may be reading the store. The zone's record of it
// ends as soon as the engine has accepted the order.
type openPrefetch struct {
	row         structs.RowName
	order       structs.OrderNumber
	incarnation structs.Incarnation
	since       time.Time
}

// followPrefetches notes the prefetches that the state shows, and forgets those
// that are over.
func (d *decider) followPrefetches() {
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

// prefetching returns the row that the runner copies from the store ahead of its
// load, or none.
func (d *decider) prefetching(runner zone.Runner) structs.RowName {
	known, ok := d.core.prefetches[runner.ID]
	if !ok || !d.accepting(runner) || d.silence(runner) > d.core.options.VanishedAfter {
		return ""
	}
	seen, _ := d.report(runner.ID, runner.Incarnation)
	if caches(seen.Report, known.row) || d.input.Now.Sub(known.since) > d.prefetchTime(known.row) {
		return ""
	}
	return known.row
}

// prefetchTime is how long a prefetch of the row counts at most.
func (d *decider) prefetchTime(row structs.RowName) time.Duration {
	spec, _ := d.input.State.Row(row)
	rate := max(d.core.options.Settings.StoreBytesPerSecond, 1)
	seconds := prefetchReadTimes * float64(spec.MemoryBytes) / float64(rate)
	return prefetchOrderTime + time.Duration(seconds*float64(time.Second))
}

// followPrefetch returns the runner's open prefetch order, if it has to be sent.
// A prefetch that the engine has passed over is not repeated: the plan asks again.
func (d *decider) followPrefetch(runner zone.Runner, report structs.EngineReport) *structs.Order {
	fence := structs.Fence{Epoch: d.input.Epoch, Number: runner.PrefetchOrder}
	if runner.Prefetch == "" || !d.accepting(runner) {
		return nil
	}
	row, exists := d.input.State.Row(runner.Prefetch)
	if !exists || !report.Fence.Before(fence) || caches(report, runner.Prefetch) {
		d.propose(zone.Command{Prefetch: &zone.PrefetchCommand{Runner: runner.ID, Incarnation: runner.Incarnation}})
		return nil
	}
	if d.replied(runner.ID, runner.Incarnation, fence) {
		return nil
	}
	return &structs.Order{
		Fence: fence, Kind: structs.OrderPrefetch, Runner: runner.ID, Incarnation: runner.Incarnation,
		Row: row.Name, MemoryBytes: row.MemoryBytes, Tier: structs.TierDisk,
	}
}
