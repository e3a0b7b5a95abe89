package quota

import "time"

const (
	// promiseSlot is how finely promises are timed: much less than callers stay away.
	promiseSlot = 100 * time.Millisecond
	// promiseLife is how long after its time a promise is kept: a new connection and a late
	// timer fit in, as for callers that come back for a model.
	promiseLife = 1500 * time.Millisecond
	// promiseEarly is how much before its time a promise is honoured.
	promiseEarly = promiseSlot
	// timelyShare and lateShare are the parts of the rate of the seconds to come that may be
	// promised to callers whose answers will be in time then, and that will be late. The rest is
	// for who comes first then: to promise all would make each caller of a rush come twice.
	timelyShare = 0.5
	lateShare   = 0.2
	// maxPromises bounds the promises of a tenant, which are looked through at each decision.
	maxPromises = 2048
)

// promise is room that a caller was told to come back for.
type promise struct {
	digest uint64
	cost   float64
	at     time.Time
	class  *classUse
}

// promises are those of one tenant, by time.
type promises struct {
	listed []promise
	// slots has the sum of each slot to come; it is kept to spare its allocation.
	slots []float64
}

// expire drops promises that nobody has come for, and gives them back to their classes.
func (p *promises) expire(at time.Time) {
	kept := 0
	for kept < len(p.listed) && at.Sub(p.listed[kept].at) > promiseLife {
		p.listed[kept].class.served -= p.listed[kept].cost
		kept++
	}
	p.listed = p.listed[kept:]
}

// find returns the place of the first promise to a request, or -1.
func (p *promises) find(digest uint64) int {
	if digest == 0 {
		return -1
	}
	for i := range p.listed {
		if p.listed[i].digest == digest {
			return i
		}
	}
	return -1
}

func (p *promises) remove(place int) {
	p.listed = append(p.listed[:place], p.listed[place+1:]...)
}

func (p *promises) add(added promise) {
	place := len(p.listed)
	for place > 0 && p.listed[place-1].at.After(added.at) {
		place--
	}
	p.listed = append(p.listed, promise{})
	copy(p.listed[place+1:], p.listed[place:])
	p.listed[place] = added
}

// need is how much must be left now for all promises to be kept, if rate comes in a second.
func (p *promises) need(at time.Time, rate float64) float64 {
	need, sum := 0.0, 0.0
	for i := range p.listed {
		sum += p.listed[i].cost
		need = max(need, sum-rate*max(0, p.listed[i].at.Sub(at)).Seconds())
	}
	return need
}

// earliest is the first time from a time on at which there is room for a cost, if rate comes in a
// second and debt is missing now; 0 if there is none within the horizon.
func (p *promises) earliest(at time.Time, from, horizon time.Duration, rate, debt, cost float64) time.Duration {
	count := int(horizon / promiseSlot)
	p.fill(at, count)
	left, found := rate*float64(count)*promiseSlot.Seconds()-debt, time.Duration(0)
	for _, booked := range p.slots {
		left -= booked
	}
	// Room must be left in all slots from then on.
	for slot := count - 1; slot >= 0; slot-- {
		in := time.Duration(slot+1) * promiseSlot
		if left < cost || in < from {
			break
		}
		found = in
		left += p.slots[slot] - rate*promiseSlot.Seconds()
	}
	return found
}

func (p *promises) fill(at time.Time, count int) {
	if cap(p.slots) < count {
		p.slots = make([]float64, count)
	}
	p.slots = p.slots[:count]
	clear(p.slots)
	for i := range p.listed {
		slot := max(0, int((p.listed[i].at.Sub(at)-1)/promiseSlot))
		if slot < count {
			p.slots[slot] += p.listed[i].cost
		}
	}
}
