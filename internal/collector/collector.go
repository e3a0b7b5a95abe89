// Package collector adjusts the garbage collector to the live heap and the memory of the machine.
//
// It bounds the garbage between two collections to a fraction of the machine's memory, instead of a fixed
// percentage of the live heap. Small heaps are collected rarely, and large heaps do not grow too much.
package collector

import (
	"context"
	"math"
	"runtime/debug"
	"runtime/metrics"
	"time"
)

const (
	// garbageFraction is the fraction of the machine's memory that garbage may use between two collections.
	garbageFraction = 1.0 / 16
	// maximumPercent and minimumPercent bound the GC percentage. A lower minimum would make processes with a large
	// live heap and a high allocation rate spend too much time in collections.
	maximumPercent = 150
	minimumPercent = 100
	// memoryLimitFraction is the fraction of the machine's memory that is set as the soft memory limit.
	memoryLimitFraction = 0.6
	// pollInterval is the interval between adjustments.
	pollInterval = 2 * time.Second
)

// liveHeapMetric is the runtime metric of the heap marked live by the last collection.
const liveHeapMetric = "/gc/heap/live:bytes"

// Percent returns the GC percentage for a live heap on a machine with the given memory, both in bytes. 0 means that
// a size is unknown.
func Percent(live, memory uint64) int {
	if live == 0 || memory == 0 {
		return maximumPercent
	}
	percent := 100 * garbageFraction * float64(memory) / float64(live)
	return int(math.Min(maximumPercent, math.Max(minimumPercent, percent)))
}

// Run adjusts the garbage collector until ctx ends. memory is the machine's memory in bytes, 0 if unknown.
func Run(ctx context.Context, memory uint64) {
	if memory > 0 {
		debug.SetMemoryLimit(int64(float64(memory) * memoryLimitFraction))
	}
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	current := 0
	for {
		if percent := Percent(liveHeapBytes(), memory); percent != current {
			debug.SetGCPercent(percent)
			current = percent
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func liveHeapBytes() uint64 {
	sample := []metrics.Sample{{Name: liveHeapMetric}}
	metrics.Read(sample)
	if sample[0].Value.Kind() != metrics.KindUint64 {
		return 0
	}
	return sample[0].Value.Uint64()
}
