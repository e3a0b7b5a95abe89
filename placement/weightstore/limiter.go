package weightstore

import (
	"math"
	"slices"
	"time"
)

// Key names a load.
type Key struct {
	Instance string
	Model    string
}

// Load is one that is under way, or for which a place is kept.
type Load struct {
	Key Key
	// Nominal is how long it takes while the store is not crowded.
	Nominal time.Duration
}

const (
	// firstConcurrency is how many loads at once are tried before anything is known of the
	// store, unless Expect says otherwise.
	firstConcurrency = 4
	// startFactor times the loads at once that the store has proved to bear are tried
	// next, until it was crowded for the first time: a store that bears 148 is known after
	// three rounds of loads. What is tried too many takes longer, but the store does as
	// much in all.
	startFactor = 4
	// slowFactor times its nominal duration, and slowSlack more, is how long a load may
	// take before the store counts as crowded. The slack covers the way of the news.
	slowFactor = 1.15
	slowSlack  = 400 * time.Millisecond
	// tooSoon times its nominal duration is what a load from the store takes at least: one
	// that ends sooner came from a copy of which nobody knew.
	tooSoon = 0.7
	// probePause is how long after a crowded time more loads at once are tried again: a
	// store that was slow for a while is not slow for ever.
	probePause = 20 * time.Second
	// urgentFactor times the limit is how many loads at once there may be with urgent ones: each
	// then takes half as long again, which is less than to wait for one of the others.
	urgentFactor = 1.5
	// leastUrgent is the limit from which on urgent loads may exceed it. Of fewer, one more slows
	// each down so much that all would end later than one after the other.
	leastUrgent = 4
	// triedShare is how much of the limit must be proved before more is tried: the rest is
	// under way as a rule, and tells within seconds whether the store bears it.
	triedShare = 0.9
	// quickFactor times its nominal duration, and quickSlack more, is what a load may take to
	// prove that the store bears more: one that is a tenth late shows that it does not.
	quickFactor = 1.02
	quickSlack  = 150 * time.Millisecond
	// overdueFactor times its nominal duration, and overdueSlack more, is when a load counts as
	// overdue: the slack covers two heartbeats of a runner. Two must be overdue, as one order may
	// have been executed late.
	overdueFactor = 1.3
	overdueSlack  = 2 * time.Second
	leastOverdue  = 2
	// fullShare is how much of the limit must have been in use for a load in time to
	// prove that the store bears it.
	fullShare = 0.8
)

// Limiter bounds the loads from one store. The zero value is not usable; call New.
type Limiter struct {
	// window and perWindow bound the beginnings: so many in each window.
	window    time.Duration
	perWindow float64
	begun     []time.Time
	// limit is how many loads at once the store is believed to serve at full speed.
	limit float64
	// isLearned is set once a load has shown anything of the store.
	isLearned bool
	// crowdedAt is when loads were last found to be slow.
	crowdedAt time.Time
	// raisedAt is when the limit was last raised after a crowded time: only loads that have
	// begun since show whether the store bears it.
	raisedAt time.Time
	// slowness is that of the load that ended last: its duration by the nominal one.
	slowness float64
	// proved is the largest average of loads under way beside one that ended in time: a store
	// that shares its speed among all bears as many.
	proved float64
	loads  map[Key]progress
	// used is the time integral of the number of loads, in seconds, up to usedAt.
	used   float64
	usedAt time.Time
}

// progress is what is kept of a load under way.
type progress struct {
	nominal time.Duration
	since   time.Time
	// used is Limiter.used at the beginning.
	used float64
	// beside is how many loads were under way when it began, itself included.
	beside float64
}

// New returns a limiter of a store from which in each window perWindow loads may begin.
func New(window time.Duration, perWindow float64) *Limiter {
	return &Limiter{
		window: window, perWindow: perWindow, limit: firstConcurrency,
		slowness: 1, loads: make(map[Key]progress),
	}
}

// SetRate changes how many loads may begin in each window.
func (l *Limiter) SetRate(perWindow float64) { l.perWindow = perWindow }

// Limit is how many loads at once the store is believed to serve at full speed.
func (l *Limiter) Limit() int { return max(1, int(l.limit)) }

// Expect says how many loads at once to try while nothing is known of the store.
func (l *Limiter) Expect(first int) {
	if !l.isLearned {
		l.limit = float64(max(1, first))
	}
}

// Learned returns what is known of the store, for Recall. isCrowded is set if loads were
// found to be slow; it is false as well as long as nothing is known, when limit is 0.
func (l *Limiter) Learned() (limit int, isCrowded bool) {
	if !l.isLearned {
		return 0, false
	}
	return l.Limit(), !l.crowdedAt.IsZero()
}

// Recall takes what another limiter of the same store had learned.
func (l *Limiter) Recall(now time.Time, limit int, isCrowded bool) {
	if limit <= 0 {
		return
	}
	l.isLearned, l.limit = true, float64(limit)
	if isCrowded {
		l.crowdedAt = now
	}
}

// UnderWay is the number of loads under way.
func (l *Limiter) UnderWay() int { return len(l.loads) }

// MayBegin reports whether one more load may begin beside those under way and further
// ones for which places are kept.
func (l *Limiter) MayBegin(now time.Time, kept int) bool {
	return l.isWithinRate(now, kept) && len(l.loads)+kept < l.Limit()
}

// MayBeginUrgent reports whether an urgent load may begin although the store is in full use: all
// loads take a little longer then, but this one need not wait for another to end.
func (l *Limiter) MayBeginUrgent(now time.Time, kept int) bool {
	return l.isWithinRate(now, kept) && len(l.loads)+kept < l.urgentLimit()
}

// urgentLimit is how many loads at once there may be with urgent ones.
func (l *Limiter) urgentLimit() int {
	if l.Limit() < leastUrgent {
		return l.Limit()
	}
	return int(math.Ceil(urgentFactor * l.limit))
}

// isWithinRate reports whether one more load may begin now by the rate of the store alone.
func (l *Limiter) isWithinRate(now time.Time, kept int) bool {
	l.begun = slices.DeleteFunc(l.begun, func(at time.Time) bool { return now.Sub(at) > l.window })
	return float64(len(l.begun)+kept+1) <= max(1, l.perWindow)
}

// Begin notes a load that begins.
func (l *Limiter) Begin(now time.Time, load Load) {
	l.begun = append(l.begun, now)
	l.track(now, load)
}

func (l *Limiter) track(now time.Time, load Load) {
	l.integrate(now)
	l.loads[load.Key] = progress{nominal: load.Nominal, since: now, used: l.used, beside: float64(len(l.loads) + 1)}
}

// Update tells which loads are under way now. Of those that no longer are, isReady says
// which have ended with the model loaded; the others were given up.
func (l *Limiter) Update(now time.Time, underWay []Load, isReady func(Key) bool) {
	l.integrate(now)
	current := make(map[Key]bool, len(underWay))
	for _, load := range underWay {
		current[load.Key] = true
		if _, isKnown := l.loads[load.Key]; !isKnown {
			l.track(now, load)
		}
	}
	for key, known := range l.loads {
		if current[key] {
			continue
		}
		delete(l.loads, key)
		if isReady(key) {
			l.ended(now, known)
		}
	}
	l.learnOverdue(now)
}

// integrate brings used up to now.
func (l *Limiter) integrate(now time.Time) {
	if passed := now.Sub(l.usedAt); passed > 0 && !l.usedAt.IsZero() {
		l.used += passed.Seconds() * float64(len(l.loads))
	}
	l.usedAt = now
}

// ended learns from a load that has ended. A single slow one proves nothing, as the news
// of it may have been late: the quicker of the last two counts.
//
// A store may share its speed among the loads under way, or give a load its speed when it
// begins. So a load in time proves what was under way both when it began and on average,
// and one that was slow tells of the larger of the two.
func (l *Limiter) ended(now time.Time, load progress) {
	took := now.Sub(load.since)
	if load.nominal <= 0 || took < time.Duration(tooSoon*float64(load.nominal)) {
		return
	}
	average := l.average(now, load)
	least, most := min(load.beside, average), l.most(load, average)
	slowness := took.Seconds() / load.nominal.Seconds()
	if took <= time.Duration(slowFactor*float64(load.nominal))+slowSlack {
		slowness = 1
		l.proved = max(l.proved, average)
	}
	quicker := min(slowness, l.slowness)
	l.slowness = slowness
	l.isLearned = true
	switch {
	case quicker > 1:
		l.crowdedAt = now
		l.limit = max(1, min(l.limit, math.Round(most/quicker)))
	case slowness > 1:
	case l.crowdedAt.IsZero() && least >= triedShare*l.limit && isQuick(took, load.nominal):
		l.limit = max(l.limit, nextTried(least))
	case !l.crowdedAt.IsZero() && least >= fullShare*l.limit && now.Sub(l.crowdedAt) > probePause && !load.since.Before(l.raisedAt):
		l.limit++
		l.raisedAt = now
	}
}

// nextTried is how many loads at once to try after so many ended in time. A store that serves two
// at once holds eight up for four times as long, in which a model in demand has no replica: few are
// followed by one more.
func nextTried(proved float64) float64 {
	if few := math.Round(proved); few < leastUrgent {
		return few + 1
	}
	return math.Round(startFactor * proved)
}

// average is how many loads were under way on average since a load began.
func (l *Limiter) average(now time.Time, load progress) float64 {
	return (l.used - load.used) / max(time.Millisecond, now.Sub(load.since)).Seconds()
}

// most is how many loads a slow one may have been slow for: those under way when it began,
// or on average, if the store may be one that shares its speed among all.
func (l *Limiter) most(load progress, average float64) float64 {
	if average <= l.proved {
		return load.beside
	}
	return max(load.beside, average)
}

// learnOverdue learns from loads that should have ended long ago. The longer they take the less
// the store bears. The most telling one is passed over, as a single one proves nothing.
func (l *Limiter) learnOverdue(now time.Time) {
	var places []float64
	for _, load := range l.loads {
		took := now.Sub(load.since)
		if load.nominal <= 0 || took <= time.Duration(overdueFactor*float64(load.nominal))+overdueSlack {
			continue
		}
		places = append(places, l.most(load, l.average(now, load))*load.nominal.Seconds()/took.Seconds())
	}
	if len(places) < leastOverdue {
		return
	}
	slices.Sort(places)
	if found := max(1, math.Round(places[leastOverdue-1])); found < l.limit {
		l.limit, l.isLearned, l.crowdedAt = found, true, now
	}
}

// isQuick reports whether a load took no longer than it does at a store with places left.
func isQuick(took, nominal time.Duration) bool {
	return took <= time.Duration(quickFactor*float64(nominal))+quickSlack
}

// Expected is how long a load takes that begins now.
func (l *Limiter) Expected(nominal time.Duration) time.Duration {
	crowding := max(1, float64(len(l.loads)+1)/max(1, l.limit))
	return time.Duration(float64(nominal) * crowding)
}

// Remaining is how long a load under way is still expected to take; 0 if it is not
// known. Of one that should have ended it is as long as it is overdue.
func (l *Limiter) Remaining(now time.Time, key Key) time.Duration {
	known, isKnown := l.loads[key]
	if !isKnown {
		return 0
	}
	crowding := max(1, max(known.beside, l.average(now, known))/max(1, l.limit))
	left := time.Duration(float64(known.nominal)*crowding) - now.Sub(known.since)
	if known.nominal <= 0 {
		return max(0, left)
	}
	// How long one that is overdue still takes nobody knows; about as long again.
	return max(left, -left)
}
