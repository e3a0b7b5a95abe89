package hollow

import (
	"slices"
	"time"
)

// callTimeout bounds a call between daemons, as transport.DefaultCallTimeout does.
const callTimeout = 5 * time.Second

// zoneCut cuts a zone, or the zones of a region, off from all others for some
// virtual time.
type zoneCut struct {
	zones    []*zoneSite
	from, to int64
}

// parts reports whether the cut lies between two zones.
func (c zoneCut) parts(a, b *zoneSite) bool {
	return slices.Contains(c.zones, a) != slices.Contains(c.zones, b)
}

// connected reports whether messages pass between two zones. The plan of cuts
// does not change while partitions run.
func (s *site) connected(a, b *zoneSite, now int64) bool {
	if a == b {
		return true
	}
	for _, cut := range s.cuts {
		if cut.from <= now && now < cut.to && cut.parts(a, b) {
			return false
		}
	}
	return true
}

func delayBetween(a, b *zoneSite) time.Duration {
	switch {
	case a == b:
		return delayInZone
	case a.region == b.region:
		return delayInRegion
	}
	return delayFar
}

// send carries a message that nobody answers. It is lost when the zones are cut
// off from each other or the receiver is down.
func (s *site) send(from, to *process, kind traffic, bytes int, deliver func()) {
	from.traffic.sent[kind] += int64(bytes)
	if !s.connected(from.zone, to.zone, from.zone.now) {
		return
	}
	from.zone.post(to.zone.partition, delayBetween(from.zone, to.zone), func() {
		if !to.alive {
			return
		}
		to.traffic.received[kind] += int64(bytes)
		deliver()
	})
}

// exchange is a call under way, as its caller sees it.
type exchange struct {
	ended bool
	life  int
}

// answerFunc sends the answer of a call; then runs at the caller.
type answerFunc func(bytes int, then func())

// call carries a call to another daemon. serve runs there and may answer later;
// failed runs at the caller when there is no answer. One of the two ends the call.
func (s *site) call(from, to *process, kind traffic, bytes int, serve func(answer answerFunc), failed func()) {
	open := &exchange{life: from.life}
	end := func(then func()) {
		if open.ended || !from.alive || from.life != open.life {
			return
		}
		open.ended = true
		then()
	}
	delay := delayBetween(from.zone, to.zone)
	from.traffic.sent[kind] += int64(bytes)
	from.zone.after(callTimeout, func() { end(failed) })
	if !s.connected(from.zone, to.zone, from.zone.now) {
		return
	}
	answer := func(size int, then func()) {
		to.traffic.sent[kind] += int64(size)
		if !s.connected(from.zone, to.zone, to.zone.now) {
			return
		}
		to.zone.post(from.zone.partition, delay, func() {
			from.traffic.received[kind] += int64(size)
			end(then)
		})
	}
	from.zone.post(to.zone.partition, delay, func() {
		if !to.alive {
			to.zone.post(from.zone.partition, delay, func() { end(failed) })
			return
		}
		to.traffic.received[kind] += int64(bytes)
		serve(answer)
	})
}
