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

// sizes are those of fleets, in runners.
var sizes = []int{300, 1000, 3000, 10000, 20000}

// fleetOf makes a view of so many runners with three models each, as it comes from the wire: no text is shared.
func fleetOf(count int) View {
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

// changesOf is a partial view in which some runners say something else each time.
func changesOf(whole View, count, round int) View {
	changes := View{Partial: true, Complete: true}
	for i := range count {
		runner := whole.Runners[(round*7+i*131)%len(whole.Runners)]
		runner.Slots = 12 + round%2
		changes.Runners = append(changes.Runners, runner)
	}
	return changes
}

func BenchmarkDirectoryLearnsAChangeOfThreeRunners(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			whole := fleetOf(size)
			directory := NewDirectory()
			directory.Learn(whole)
			b.ReportAllocs()
			for round := 0; b.Loop(); round++ {
				directory.Learn(changesOf(whole, 3, round))
			}
		})
	}
}

func BenchmarkDirectoryLearnsTheFirstViewOfANewLeader(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			whole := fleetOf(size)
			directory := NewDirectory()
			directory.Learn(whole)
			first := View{Runners: whole.Runners[:size/2]}
			b.ReportAllocs()
			for b.Loop() {
				directory.Learn(first)
			}
		})
	}
}

func BenchmarkDecodeOfAWholeView(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			encoded, err := fleetOf(size).Encode()
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

// heapBytes is what lives in the heap.
func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// maxRunnerBytes is what a router may keep of a runner: 10 MB at ten thousand.
const maxRunnerBytes = 1000

// A router keeps a bounded memory of each runner, however it was told of it.
func TestDirectoryKeepsLittleOfEachRunner(t *testing.T) {
	const count = 10000
	encoded, err := fleetOf(count).Encode()
	qt.Assert(t, err, qt.IsNil)
	before := heapBytes()
	directory := NewDirectory()
	for range 3 {
		view, err := encoded.Decode()
		qt.Assert(t, err, qt.IsNil)
		directory.Learn(view)
	}
	each := float64(heapBytes()-before) / count
	t.Logf("%.0f bytes a runner", each)
	qt.Assert(t, each < maxRunnerBytes, qt.IsTrue, qt.Commentf("%.0f bytes a runner", each))
	runtime.KeepAlive(directory)
	runtime.KeepAlive(encoded)
}

// heardFleet is a registry that has heard so many runners.
func heardFleet(size int) (*Registry, []Heartbeat) {
	registry := NewRegistry(start, testTiming)
	var heartbeats []Heartbeat
	for i, runner := range fleetOf(size).Runners {
		heartbeat := Heartbeat{
			Instance: runner.Instance, Service: runner.Service, Address: runner.Address, Zone: runner.Zone, Slots: runner.Slots,
			Sequence: 1, Models: runner.Models,
		}
		registry.Hear(start.Add(time.Duration(i)*time.Microsecond), heartbeat)
		heartbeats = append(heartbeats, heartbeat)
	}
	return registry, heartbeats
}

func BenchmarkRegistryRunners(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			registry, _ := heardFleet(size)
			b.ReportAllocs()
			for b.Loop() {
				registry.Runners(start.Add(time.Second))
			}
		})
	}
}

func BenchmarkPublishOfOneChange(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			view := fleetOf(size)
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
