package routing

import (
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

const (
	// defaultZoneLatency is the assumed additional round-trip time to another zone: that of zones of one region.
	defaultZoneLatency = 2 * time.Millisecond
	// remotePenalty is what a runner of another zone must save besides the latency, for the cost of traffic between
	// zones and the exposure to failures of both. It is about two engine steps.
	remotePenalty = 10 * time.Millisecond
)

// zones holds what a Balancer knows of zones.
type zones struct {
	// unreachable is the set of zones whose runners are not chosen.
	unreachable map[structs.ZoneID]bool
	// latencies are the additional round-trip times to other zones, relative to the own zone.
	latencies map[structs.ZoneID]time.Duration
}

// SetZoneUnreachable sets whether the runners of a zone are excluded. When the zone is reachable again, earlier failures
// of its runners are cleared.
func (b *Balancer) SetZoneUnreachable(zone structs.ZoneID, isUnreachable bool) {
	if isUnreachable {
		b.zones.unreachable[zone] = true
		return
	}
	delete(b.zones.unreachable, zone)
	for _, target := range b.runners {
		if target.info.Zone == zone {
			target.clearFailures()
		}
	}
}

// ClearFailures forgets the failures of a runner, as it is reached in another way from now on.
func (b *Balancer) ClearFailures(id structs.RunnerID) {
	if target := b.runners[id]; target != nil {
		target.clearFailures()
	}
}

func (r *runner) clearFailures() {
	r.breaker.succeeded()
	for _, known := range r.replicas {
		known.breaker.succeeded()
		known.rate, known.ejectedUntil = failureRate{}, time.Time{}
	}
}

// SetZoneLatencies sets the additional round-trip times to other zones, relative to the own zone. Zones that are not listed
// have defaultZoneLatency.
func (b *Balancer) SetZoneLatencies(latencies map[structs.ZoneID]time.Duration) {
	b.zones.latencies = latencies
}

// remoteCost returns the additional cost of the runner's zone.
func (b *Balancer) remoteCost(target *runner) time.Duration {
	if !b.isRemote(target) {
		return 0
	}
	measured, isMeasured := b.zones.latencies[target.info.Zone]
	if !isMeasured {
		measured = defaultZoneLatency
	}
	return measured + remotePenalty
}

// spillRatio is the ratio of the best local to the best remote cost from which local and remote replicas are drawn
// alike. At a ratio of 1 only local ones are drawn: a remote stream depends on two zones, and a slightly later
// first event is not noticed.
const spillRatio = 1.5

// zoneCosts holds the lowest cost of replicas in the own zone and in others; 0 for none.
type zoneCosts struct{ local, remote float64 }

func (l *zoneCosts) add(isRemote bool, cost float64) {
	least := &l.local
	if isRemote {
		least = &l.remote
	}
	if *least == 0 || cost < *least {
		*least = cost
	}
}

// remoteShare returns the share of choices that include remote replicas. It may lie outside [0, 1].
func (l *zoneCosts) remoteShare() float64 {
	if l.local == 0 || l.remote == 0 {
		return 1
	}
	return (l.local/l.remote - 1) / (spillRatio - 1)
}

// isRemote reports whether the runner is in another zone than this daemon.
func (b *Balancer) isRemote(target *runner) bool {
	zone := target.info.Zone
	return b.options.Zone != "" && zone != "" && zone != b.options.Zone
}

// ReachableReplicas returns the number of the row's ready replicas in reachable zones.
func (b *Balancer) ReachableReplicas(name structs.RowName) int {
	wanted := b.rows[name]
	if wanted == nil {
		return 0
	}
	count := 0
	for _, known := range wanted.replicas {
		if !known.runner.leaving && !b.zones.unreachable[known.runner.info.Zone] {
			count++
		}
	}
	return count
}
