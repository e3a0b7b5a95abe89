package fairqueue

import (
	"math"
	"time"
)

const (
	// meterTime is the time over which a row's pace is averaged.
	meterTime = 2 * time.Second
	// minMetered and minBusy are the least that must have been let in, and for how long some must
	// have waited, before the pace of a row is one to go by.
	minMetered = 4
	minBusy    = 500 * time.Millisecond
)

// meter averages how many requests of a row are let in a second while some wait.
type meter struct {
	busySince time.Time
	count     float64
	at        time.Time
}

func (m *meter) begin(at time.Time) { *m = meter{busySince: at, at: at} }

func (m *meter) add(at time.Time) {
	m.fade(at)
	m.count++
}

func (m *meter) fade(at time.Time) {
	if passed := at.Sub(m.at); passed > 0 {
		m.count *= math.Exp(-passed.Seconds() / meterTime.Seconds())
		m.at = at
	}
}

// perSecond is the pace, or false if too little is known.
func (m *meter) perSecond(at time.Time) (float64, bool) {
	m.fade(at)
	busy := at.Sub(m.busySince)
	if busy < minBusy || m.count < minMetered {
		return 0, false
	}
	return m.count / (meterTime.Seconds() * (1 - math.Exp(-busy.Seconds()/meterTime.Seconds()))), true
}

// StartIn is after how long a request that waits should be let in, by the pace of its row and those
// that go before it now. It reports false if too little is known of the pace.
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

// Ahead counts the requests of its row that go before one that waits.
func (q *Queue[V]) Ahead(now time.Time, entry *Entry[V]) int {
	if entry.row == nil {
		return 0
	}
	ahead, isListed := 0, false
	entry.row.Each(func(other *Entry[V]) bool {
		isListed = isListed || other == entry
		if q.goesBefore(now, other, entry) || !isListed && !q.goesBefore(now, entry, other) {
			ahead++
		}
		return true
	})
	return ahead
}
