// Package collector has the garbage collector run by what lives in the heap and by the memory of the machine.
//
// With a fixed percentage a heap of 20 MB grows by twice as much before it is collected, on each of a thousand
// machines. Here the garbage between two collections is bounded instead: a small heap may grow by a large part
// of itself, which costs few collections, and a large one by a small part.
package collector

import (
	"context"
	"math"
	"runtime/debug"
	"runtime/metrics"
	"time"
)

const (
	// garbageShare is the part of the machine's memory that garbage may take: 11 MB of 184, with which a router
	// that holds 12 MB collects about as often as with a heap that doubles.
	garbageShare = 1.0 / 16
	// most and least bound by how much of what lives the heap may grow, in percent. With most a process at rest
	// collects once in minutes. Below least the leader of a large site, of which 130 MB live and which makes tens of
	// megabytes of garbage in each step, would collect twice a second and have no time for its runners.
	most  = 150
	least = 100
	// limitShare is the part of the machine's memory that the Go heap may fill before the collector works harder
	// still.
	limitShare = 0.6
	// pause separates two looks at what lives: it changes with the size of a site, in seconds.
	pause = 2 * time.Second
)

// liveBytes names the metric of what the last collection left.
const liveBytes = "/gc/heap/live:bytes"

// Percent is by how much of what lives the heap should grow between two collections, on a machine of so much
// memory.
func Percent(live, memory uint64) int {
	if live == 0 || memory == 0 {
		return most
	}
	percent := 100 * garbageShare * float64(memory) / float64(live)
	return int(math.Min(most, math.Max(least, percent)))
}

// Run adjusts the collector until ctx ends. A memory of 0 bytes is not known.
func Run(ctx context.Context, memory uint64) {
	if memory > 0 {
		debug.SetMemoryLimit(int64(float64(memory) * limitShare))
	}
	ticker := time.NewTicker(pause)
	defer ticker.Stop()
	set := 0
	for {
		if percent := Percent(live(), memory); percent != set {
			debug.SetGCPercent(percent)
			set = percent
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func live() uint64 {
	sample := []metrics.Sample{{Name: liveBytes}}
	metrics.Read(sample)
	if sample[0].Value.Kind() != metrics.KindUint64 {
		return 0
	}
	return sample[0].Value.Uint64()
}
