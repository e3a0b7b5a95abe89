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
	// requestTime is by how much one request more at a runner delays the others there: it turns a way
	// into requests, in which the score counts.
	requestTime = 5 * time.Millisecond
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
	zone := target.info.Zone
	if b.options.Zone == "" || zone == "" || zone == b.options.Zone {
		return 0
	}
	measured, isMeasured := b.zones.ways[zone]
	if !isMeasured {
		measured = usualWay
	}
	return measured + wayPrice
}

// firstSample draws the first replica to look at, as its index in the subset: one of the own zone, if
// there is any, so that near replicas are considered however many far ones there are.
func (b *Balancer) firstSample(wanted *row) int {
	if len(wanted.near) > 0 {
		return wanted.near[b.random.IntN(len(wanted.near))]
	}
	return b.random.IntN(len(wanted.subset))
}

// farSamples is how many replicas are looked at beside the usual ones: a far one where there are both, so
// that many near ones which all have much to do spill over.
func (b *Balancer) farSamples(wanted *row) int {
	if len(wanted.near) > 0 && len(wanted.far) > 0 {
		return 1
	}
	return 0
}

// listNear lists which replicas of the row's subset are in the own zone.
func (b *Balancer) listNear(current *row) {
	current.near, current.far = current.near[:0], current.far[:0]
	if b.options.Zone == "" {
		return
	}
	for index, candidate := range current.subset {
		if candidate.runner.info.Zone == b.options.Zone {
			current.near = append(current.near, index)
		} else {
			current.far = append(current.far, index)
		}
	}
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
