package domainnode

import (
	"fmt"
	"testing"
	"time"

	"github.com/lotusferry/lotusferry/placement/fleet"
	"github.com/lotusferry/lotusferry/placement/ratelimit"
	"github.com/lotusferry/lotusferry/placement/residency"
	"github.com/lotusferry/lotusferry/placement/versions"
)

// benchmarkLeadership returns a leadership with the given number of runners and their heartbeats.
func benchmarkLeadership(runners int, at time.Time) (*leadership, []fleet.Heartbeat) {
	options := Options{Heartbeat: 5 * time.Second, Now: func() time.Time { return at }}
	l := &leadership{
		node: &Node{options: options, metrics: newMetrics(Options{})}, options: options,
		registry: fleet.NewRegistry(at, options.timing()), planner: residency.NewPlanner(residency.Options{}, at),
		views: fleet.NewPublisher(), failing: fleet.NewOutlierDetector(), tokens: ratelimit.New(at), cold: make(map[string]bool),
		runnerLimits: ratelimit.NewLimits(), lost: make(map[string]bool),
		versions: versions.NewTracker(),
	}
	heartbeats := make([]fleet.Heartbeat, runners)
	for i := range heartbeats {
		heartbeats[i] = fleet.Heartbeat{
			Instance: fmt.Sprintf("i-%08x", i), Service: "s", Address: fmt.Sprintf("10.%d.%d.%d:80", i>>16, i>>8&255, i&255), Zone: fmt.Sprint("z", i%5),
			Slots: 12, Sequence: 1, Models: []fleet.LoadedModel{{Name: fmt.Sprint("m", i%574)}},
		}
		l.registry.ObserveHeartbeat(at, heartbeats[i])
	}
	return l, heartbeats
}

// BenchmarkRefresh measures a refresh of the runners and view after one heartbeat.
func BenchmarkRefresh(b *testing.B) {
	for _, runners := range []int{300, 1000, 3000, 10000, 20000} {
		b.Run(fmt.Sprint(runners), func(b *testing.B) {
			at := time.Unix(1000, 0)
			l, heartbeats := benchmarkLeadership(runners, at)
			l.refresh(at)
			b.ReportAllocs()
			for round := 0; b.Loop(); round++ {
				heard := &heartbeats[round%runners]
				heard.Sequence++
				l.registry.ObserveHeartbeat(at, *heard)
				l.refresh(at)
			}
		})
	}
}
