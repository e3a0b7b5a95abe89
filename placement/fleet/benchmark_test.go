package fleet

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/placement/pace"
)

// sizes are fleet sizes in runners.
var sizes = []int{300, 1000, 3000, 10000, 20000}

// newView returns a view of count runners with three models each. As in a decoded view, no strings
// are shared.
func newView(count int) View {
	view := View{Complete: true}
	for i := range count {
		runner := Runner{
			Instance: fmt.Sprintf("i-%08x#%d", i*2654435761%(1<<32), 1733195000000+i), Service: "lingua",
			Address: fmt.Sprintf("10.%d.%d.%d:8080", i>>16, i>>8&255, i&255), Zone: fmt.Sprint("sala-", i%5), Slots: 12,
			Pace: pace.Runner{PromptRate: 19000, Slowness: 1},
		}
		for held := range 3 {
			runner.Models = append(runner.Models, LoadedModel{Name: fmt.Sprintf("model-%06d", (i*3+held)%574), Adapters: []string{fmt.Sprint("a", i%9)}})
		}
		view.Runners = append(view.Runners, runner)
	}
	return view
}

// partialViewOf returns a partial view of count runners whose slots differ from round to round.
func partialViewOf(whole View, count, round int) View {
	changes := View{Partial: true, Complete: true}
	for i := range count {
		runner := whole.Runners[(round*7+i*131)%len(whole.Runners)]
		runner.Slots = 12 + round%2
		changes.Runners = append(changes.Runners, runner)
	}
	return changes
}

func BenchmarkDirectoryLearnPartialView(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			whole := newView(size)
			directory := NewDirectory()
			directory.ApplyView(whole)
			b.ReportAllocs()
			for round := 0; b.Loop(); round++ {
				directory.ApplyView(partialViewOf(whole, 3, round))
			}
		})
	}
}

func BenchmarkDirectoryLearnIncompleteView(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			whole := newView(size)
			directory := NewDirectory()
			directory.ApplyView(whole)
			first := View{Runners: whole.Runners[:size/2]}
			b.ReportAllocs()
			for b.Loop() {
				directory.ApplyView(first)
			}
		})
	}
}

func BenchmarkDecodeFullView(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			encoded, err := newView(size).Encode()
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(len(encoded.Bytes)), "bytes")
			b.ReportAllocs()
			for b.Loop() {
				if _, err := encoded.Decode(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// heapBytes returns the live heap size after a garbage collection.
func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// maxRunnerBytes bounds a router's memory per runner.
const maxRunnerBytes = 1000

// Guards against a Directory that keeps the strings of every decoded view alive.
func TestDirectoryMemoryPerRunnerIsBounded(t *testing.T) {
	const count = 10000
	encoded, err := newView(count).Encode()
	qt.Assert(t, err, qt.IsNil)
	before := heapBytes()
	directory := NewDirectory()
	for range 3 {
		view, err := encoded.Decode()
		qt.Assert(t, err, qt.IsNil)
		directory.ApplyView(view)
	}
	bytesPerRunner := float64(heapBytes()-before) / count
	t.Logf("%.0f bytes per runner", bytesPerRunner)
	qt.Assert(t, bytesPerRunner < maxRunnerBytes, qt.IsTrue, qt.Commentf("%.0f bytes per runner", bytesPerRunner))
	runtime.KeepAlive(directory)
	runtime.KeepAlive(encoded)
}

// newFilledRegistry returns a registry that has received one heartbeat from each of size runners.
func newFilledRegistry(size int) (*Registry, []Heartbeat) {
	registry := NewRegistry(start, testTiming)
	var heartbeats []Heartbeat
	for i, runner := range newView(size).Runners {
		heartbeat := Heartbeat{
			Instance: runner.Instance, Service: runner.Service, Address: runner.Address, Zone: runner.Zone, Slots: runner.Slots,
			Sequence: 1, Models: runner.Models,
		}
		registry.ObserveHeartbeat(start.Add(time.Duration(i)*time.Microsecond), heartbeat)
		heartbeats = append(heartbeats, heartbeat)
	}
	return registry, heartbeats
}

func BenchmarkRegistryRunners(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			registry, _ := newFilledRegistry(size)
			b.ReportAllocs()
			for b.Loop() {
				registry.Runners(start.Add(time.Second))
			}
		})
	}
}

func BenchmarkPublishOneChange(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			view := newView(size)
			view.Runners = sortedByInstance(view.Runners)
			publisher := NewPublisher()
			publisher.Publish(view)
			b.ReportAllocs()
			for round := 0; b.Loop(); round++ {
				next := view
				next.Runners = slices.Clone(view.Runners)
				next.Runners[round%size].Slots++
				publisher.Publish(next)
			}
		})
	}
}
