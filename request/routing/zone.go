package routing

import (
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

const (
	// usualWay is how much longer an answer from another zone takes where nothing was measured: the way
	// there and back between zones of one region.
	usualWay = 2 * time.Millisecond
	// wayPrice is what a runner of another zone must save beside the way itself: bytes between zones cost
	// their operators, and a loss of the other zone costs the request. It is two steps of a usual engine,
	// which callers do not notice.
	wayPrice = 10 * time.Millisecond
)

// zones is what a Balancer knows of zones.
type zones struct {
	// outOfReach holds the zones of which no runner is chosen.
	outOfReach map[structs.ZoneID]bool
	// ways are how much longer than within the own zone the way to others is, there and back.
	ways map[structs.ZoneID]time.Duration
}

// SetOutOfReach takes the runners of a zone out of every choice, or in again. What failed there while it
// got out of reach is not held against them.
func (b *Balancer) SetOutOfReach(zone structs.ZoneID, isOutOfReach bool) {
	if isOutOfReach {
		b.zones.outOfReach[zone] = true
		return
	}
	delete(b.zones.outOfReach, zone)
	for _, target := range b.runners {
		if target.info.Zone != zone {
			continue
		}
		target.breaker.succeeded()
		for _, known := range target.replicas {
			known.breaker.succeeded()
			known.rate, known.ejectedUntil = failureRate{}, time.Time{}
		}
	}
}

// SetWays says how much longer than within the own zone the way to runners of other zones is, there and
// back. Zones that are not listed count as usualWay.
func (b *Balancer) SetWays(ways map[structs.ZoneID]time.Duration) { b.zones.ways = ways }

// way is what it costs to send a request to the runner's zone, in place of the own one.
func (b *Balancer) way(target *runner) time.Duration {
	if !b.isFar(target) {
		return 0
	}
	measured, isMeasured := b.zones.ways[target.info.Zone]
	if !isMeasured {
		measured = usualWay
	}
	return measured + wayPrice
}

// spillFrom is how many times as long as at the best far replica a request must take at the best near
// one for all to be drawn from alike; at equal times the near ones alone are. A stream at a far runner
// is lost with either zone, and callers do not notice a first event that comes half as late
// again as tens of milliseconds.
const spillFrom = 1.5

// nearAndFar is what the best replicas of the own zone and of others are expected to take; 0 for none.
type nearAndFar struct{ near, far float64 }

func (l *nearAndFar) add(isFar bool, cost float64) {
	least := &l.near
	if isFar {
		least = &l.far
	}
	if *least == 0 || cost < *least {
		*least = cost
	}
}

// spill is how often far replicas are drawn from beside the near ones.
func (l *nearAndFar) spill() float64 {
	if l.near == 0 || l.far == 0 {
		return 1
	}
	return (l.near/l.far - 1) / (spillFrom - 1)
}

// isFar reports whether the runner is in another zone than this daemon.
func (b *Balancer) isFar(target *runner) bool {
	zone := target.info.Zone
	return b.options.Zone != "" && zone != "" && zone != b.options.Zone
}

// Reached counts the row's ready replicas in zones that are not out of reach.
func (b *Balancer) Reached(name structs.RowName) int {
	wanted := b.rows[name]
	if wanted == nil {
		return 0
	}
	count := 0
	for _, known := range wanted.replicas {
		if !known.runner.leaving && !b.zones.outOfReach[known.runner.info.Zone] {
			count++
		}
	}
	return count
}
