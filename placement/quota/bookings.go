package quota

import "time"

const (
	// bookingSlot is the resolution of booking times.
	bookingSlot = 100 * time.Millisecond
	// bookingTTL is how long after its time a booking is kept, to allow for a new connection and a
	// late timer.
	bookingTTL = 1500 * time.Millisecond
	// bookingTolerance is how early a booking may be redeemed.
	bookingTolerance = bookingSlot
	// timelyShare and lateShare are the parts of the sustained rate that may be booked by callers
	// whose answers will be in time, and by those whose answers will be late. The rest is left for
	// new requests, so that not every caller of a spike has to retry.
	timelyShare = 0.5
	lateShare   = 0.2
	// maxBookings bounds the bookings per tenant, which are scanned at each decision.
	maxBookings = 2048
)

// booking is an amount kept for a rejected caller with a retry time.
type booking struct {
	digest uint64
	cost   float64
	at     time.Time
	class  *classUse
}

// bookings holds the bookings of one tenant, sorted by time.
type bookings struct {
	entries []booking
	// slots is a buffer for the booked amount per slot.
	slots []float64
}

// expire deletes bookings that were not redeemed and subtracts them from their classes' use.
func (p *bookings) expire(at time.Time) {
	expired := 0
	for expired < len(p.entries) && at.Sub(p.entries[expired].at) > bookingTTL {
		p.entries[expired].class.served -= p.entries[expired].cost
		expired++
	}
	p.entries = p.entries[expired:]
}

// find returns the index of the first booking of a request, or -1.
func (p *bookings) find(digest uint64) int {
	if digest == 0 {
		return -1
	}
	for i := range p.entries {
		if p.entries[i].digest == digest {
			return i
		}
	}
	return -1
}

func (p *bookings) remove(index int) {
	p.entries = append(p.entries[:index], p.entries[index+1:]...)
}

func (p *bookings) add(added booking) {
	index := len(p.entries)
	for index > 0 && p.entries[index-1].at.After(added.at) {
		index--
	}
	p.entries = append(p.entries, booking{})
	copy(p.entries[index+1:], p.entries[index:])
	p.entries[index] = added
}

// required returns the amount that must be kept now to honor all bookings at the given rate per
// second.
func (p *bookings) required(at time.Time, rate float64) float64 {
	required, sum := 0.0, 0.0
	for i := range p.entries {
		sum += p.entries[i].cost
		required = max(required, sum-rate*max(0, p.entries[i].at.Sub(at)).Seconds())
	}
	return required
}

// earliest returns the first time, at least from, at which an amount of cost can be booked, given
// the rate per second and the current debt. It returns 0 if there is none within the horizon.
func (p *bookings) earliest(at time.Time, from, horizon time.Duration, rate, debt, cost float64) time.Duration {
	count := int(horizon / bookingSlot)
	p.fill(at, count)
	left, found := rate*float64(count)*bookingSlot.Seconds()-debt, time.Duration(0)
	for _, booked := range p.slots {
		left -= booked
	}
	// The cost must fit into all later slots as well.
	for slot := count - 1; slot >= 0; slot-- {
		in := time.Duration(slot+1) * bookingSlot
		if left < cost || in < from {
			break
		}
		found = in
		left += p.slots[slot] - rate*bookingSlot.Seconds()
	}
	return found
}

func (p *bookings) fill(at time.Time, count int) {
	if cap(p.slots) < count {
		p.slots = make([]float64, count)
	}
	p.slots = p.slots[:count]
	clear(p.slots)
	for i := range p.entries {
		slot := max(0, int((p.entries[i].at.Sub(at)-1)/bookingSlot))
		if slot < count {
			p.slots[slot] += p.entries[i].cost
		}
	}
}
