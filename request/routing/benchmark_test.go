package routing

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/lotusferry/lotusferry/structs"
)

// BenchmarkPick compares the balancer with a random choice and with a scan for the
// fewest attempts in flight. Every iteration sends one attempt and, with half of the
// slots in use, ends an older one. The metric spread is the largest load of a runner
// over the mean, in the subset or among the runners of the baseline.
func BenchmarkPick(b *testing.B) {
	prefixes := PrefixHashes(nil, "row", strings.Repeat("a", PrefixBlockBytes<<PrefixHashLimit))
	for _, runners := range []int{12, 420, 10000} {
		balancer := newBalancer(runners, Options{})
		b.Run(fmt.Sprintf("power-of-two/runners=%d", runners), func(b *testing.B) { benchmarkBalancer(b, balancer, nil) })
		balancer = newBalancer(runners, Options{})
		b.Run(fmt.Sprintf("power-of-two-and-prefix/runners=%d", runners), func(b *testing.B) { benchmarkBalancer(b, balancer, prefixes) })
		loads := make([]int, runners)
		random := rand.New(rand.NewPCG(1, 1))
		b.Run(fmt.Sprintf("baseline=random/runners=%d", runners), func(b *testing.B) {
			benchmarkPlain(b, loads, func() int { return random.IntN(runners) })
		})
		clear(loads)
		b.Run(fmt.Sprintf("baseline=least-in-flight/runners=%d", runners), func(b *testing.B) {
			benchmarkPlain(b, loads, func() int { return leastInFlight(loads) })
		})
	}
}

func benchmarkBalancer(b *testing.B, balancer *Balancer, prefixes []uint64) {
	size := len(balancer.rows["row"].subset)
	inFlight := make([]Choice, 4*size)
	b.ReportAllocs()
	for index := 0; b.Loop(); index++ {
		slot := index % len(inFlight)
		if index >= len(inFlight) {
			inFlight[slot].Done(start, OutcomeSuccess)
		}
		choice, ok := balancer.Pick(start, "row", prefixes, "")
		if !ok {
			b.Fatal("no replica has room")
		}
		choice.Sent(start, prefixes)
		inFlight[slot] = choice
	}
	highest := 0
	for _, member := range balancer.rows["row"].subset {
		highest = max(highest, member.runner.inFlight)
	}
	b.ReportMetric(float64(highest)/4, "spread")
}

// BenchmarkDraw measures the weighted draw among up to 60 replicas of known pace and load.
func BenchmarkDraw(b *testing.B) {
	for _, runners := range []int{6, 16, 60} {
		options := manyRouters()
		balancer := newBalancer(runners, options)
		for number := range runners {
			id := runnerID(number)
			balancer.SetBatch(id, 64)
			balancer.SetPace(id, paceOf(&engine{slowness: 1 + float64(number%4)}))
			balancer.ObserveLoad(id, structs.LoadReport{Running: number % 20, ObservedAt: start})
		}
		b.Run(fmt.Sprintf("runners=%d", runners), func(b *testing.B) {
			benchmarkBalancer(b, balancer, []uint64{1, 2})
		})
	}
}

func benchmarkPlain(b *testing.B, loads []int, pick func() int) {
	inFlight := make([]int, 4*len(loads))
	b.ReportAllocs()
	for index := 0; b.Loop(); index++ {
		slot := index % len(inFlight)
		if index >= len(inFlight) {
			loads[inFlight[slot]]--
		}
		inFlight[slot] = pick()
		loads[inFlight[slot]]++
	}
	highest := 0
	for _, load := range loads {
		highest = max(highest, load)
	}
	b.ReportMetric(float64(highest)/4, "spread")
}

func leastInFlight(loads []int) int {
	least := 0
	for index, load := range loads {
		if load < loads[least] {
			least = index
		}
	}
	return least
}

// BenchmarkSetPlacement measures full and partial placements.
func BenchmarkSetPlacement(b *testing.B) {
	for _, runners := range []int{12, 420, 10000} {
		balancer := newBalancer(runners, Options{})
		placed := placement(runners)
		b.Run(fmt.Sprintf("runners=%d", runners), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				balancer.SetPlacement(placed)
			}
		})
		change := structs.Placement{Partial: true, Runners: placed.Runners[:1], Replicas: placed.Replicas[:1]}
		b.Run(fmt.Sprintf("runners=%d/changed=1", runners), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				balancer.SetPlacement(change)
			}
		})
	}
}
