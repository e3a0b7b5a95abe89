package fairqueue

import (
	"math"
	"time"
)

const (
	// meterTime is the time constant of a row's average rate.
	meterTime = 2 * time.Second
	// minMeterCount and minBusyTime are the minimum number of admitted requests and duration of a
	// backlog for an estimate of the rate.
	minMeterCount = 4
	minBusyTime   = 500 * time.Millisecond
)

// meter averages the rate at which requests of a row are admitted while some wait.
type meter struct {
	busySince time.Time
	count     float64
	at        time.Time
}

func (m *meter) reset(at time.Time) { *m = meter{busySince: at, at: at} }

func (m *meter) add(at time.Time) {
	m.decay(at)
	m.count++
}

func (m *meter) decay(at time.Time) {
	if passed := at.Sub(m.at); passed > 0 {
		m.count *= math.Exp(-passed.Seconds() / meterTime.Seconds())
		m.at = at
	}
}

// perSecond returns the rate, or false if too little is known.
func (m *meter) perSecond(at time.Time) (float64, bool) {
	m.decay(at)
	busy := at.Sub(m.busySince)
	if busy < minBusyTime || m.count < minMeterCount {
		return 0, false
	}
	return m.count / (meterTime.Seconds() * (1 - math.Exp(-busy.Seconds()/meterTime.Seconds()))), true
}

// StartIn estimates the time until a waiting request is admitted, from the rate of its row and
// the requests ahead of it. It reports false if the rate is unknown.
func (q *Queue[V]) StartIn(now time.Time, entry *Entry[V]) (time.Duration, bool) {
	if entry.row == nil {
		return 0, false
	}
	pace, isKnown := entry.row.meter.perSecond(now)
	if !isKnown {
		return 0, false
	}
	return time.Duration(float64(q.Ahead(now, entry)+1) / pace * float64(time.Second)), true
}

// Ahead returns the number of requests of the row that precede the entry.
func (q *Queue[V]) Ahead(now time.Time, entry *Entry[V]) int {
	if entry.row == nil {
		return 0
	}
	ahead, isListed := 0, false
	entry.row.Each(func(other *Entry[V]) bool {
		isListed = isListed || other == entry
		if q.precedes(now, other, entry) || !isListed && !q.precedes(now, entry, other) {
			ahead++
		}
		return true
	})
	return ahead
}
