package weightstore

import (
	"math"
	"slices"
	"time"
)

// Key identifies a load.
type Key struct {
	Instance string
	Model    string
}

// Load is a load in progress or about to start.
type Load struct {
	Key Key
	// Nominal is the duration of the load if the store is not saturated.
	Nominal time.Duration
}

const (
	// initialConcurrency is the initial concurrency limit, unless set by SetInitialLimit.
	initialConcurrency = 4
	// rampUpFactor multiplies the proven concurrency to get the next limit, until the
	// store is first found saturated. Excess loads take longer, but the total throughput
	// of the store stays the same.
	rampUpFactor = 4
	// A load is slow, a sign of a saturated store, if it takes longer than slowFactor
	// times its nominal duration plus slowSlack, which covers reporting delays.
	slowFactor = 1.15
	slowSlack  = 400 * time.Millisecond
	// minDurationFactor times its nominal duration is the minimum duration of a load from
	// the store. A faster load came from an unknown copy and is ignored.
	minDurationFactor = 0.7
	// probeInterval is the time after the store was last saturated before a higher limit
	// is tried again.
	probeInterval = 20 * time.Second
	// urgentFactor times the limit is the maximum concurrency for urgent loads. Each load
	// then takes 1.5 times as long, which is less than waiting for another to end.
	urgentFactor = 1.5
	// minUrgentLimit is the smallest limit that urgent loads may exceed. Below it, an
	// additional load slows the others down more than running it after them.
	minUrgentLimit = 4
	// rampUpUtilization is the fraction of the limit that must be proven before the limit
	// is ramped up. The remaining loads are usually in progress and end within seconds.
	rampUpUtilization = 0.9
	// A load is fast, which permits ramping up the limit, if it takes at most fastFactor
	// times its nominal duration plus fastSlack.
	fastFactor = 1.02
	fastSlack  = 150 * time.Millisecond
	// A load is overdue after overdueFactor times its nominal duration plus overdueSlack,
	// which covers two runner heartbeats. At least minOverdueLoads must be overdue, since
	// a single load may have started late.
	overdueFactor   = 1.3
	overdueSlack    = 2 * time.Second
	minOverdueLoads = 2
	// probeUtilization is the fraction of the limit that must have been in use for a load
	// on time to raise the limit after saturation.
	probeUtilization = 0.8
)

// Limiter limits the loads from one store. Use New to create one.
type Limiter struct {
	// At most perWindow loads may start in each window.
	window     time.Duration
	perWindow  float64
	startTimes []time.Time
	// limit is the estimated number of concurrent loads served at full speed.
	limit float64
	// isLearned is set once limit is based on observed loads.
	isLearned bool
	// saturatedAt is when the store was last found saturated.
	saturatedAt time.Time
	// raisedAt is when the limit was last raised after saturation. Only loads started
	// since then can raise it again.
	raisedAt time.Time
	// lastSlowdown is the ratio of actual to nominal duration of the load that ended
	// last, or 1 if it was not slow.
	lastSlowdown float64
	// provenConcurrency is the largest average concurrency during a load that ended on
	// time, which a store that shares its bandwidth among all loads can sustain.
	provenConcurrency float64
	loads             map[Key]activeLoad
	// loadSeconds is the time integral of the number of loads up to loadSecondsAt.
	loadSeconds   float64
	loadSecondsAt time.Time
}

// activeLoad is a load in progress.
type activeLoad struct {
	nominal   time.Duration
	startedAt time.Time
	// loadSecondsAtStart is Limiter.loadSeconds when the load started.
	loadSecondsAtStart float64
	// concurrencyAtStart is the number of loads when it started, including itself.
	concurrencyAtStart float64
}

// New returns a limiter that allows perWindow loads to start in each window.
func New(window time.Duration, perWindow float64) *Limiter {
	return &Limiter{
		window: window, perWindow: perWindow, limit: initialConcurrency,
		lastSlowdown: 1, loads: make(map[Key]activeLoad),
	}
}

// SetRate sets the number of loads that may start in each window.
func (l *Limiter) SetRate(perWindow float64) { l.perWindow = perWindow }

// Limit returns the estimated number of concurrent loads served at full speed.
func (l *Limiter) Limit() int { return max(1, int(l.limit)) }

// SetInitialLimit sets the concurrency limit unless it has already been learned from loads.
func (l *Limiter) SetInitialLimit(first int) {
	if !l.isLearned {
		l.limit = float64(max(1, first))
	}
}

// Learned returns the learned limit, and whether the store was ever found saturated, for
// use with RestoreLearned. It returns 0 and false if nothing has been learned.
func (l *Limiter) Learned() (limit int, isSaturated bool) {
	if !l.isLearned {
		return 0, false
	}
	return l.Limit(), !l.saturatedAt.IsZero()
}

// RestoreLearned restores the result of Learned from another limiter of the same store.
func (l *Limiter) RestoreLearned(now time.Time, limit int, isSaturated bool) {
	if limit <= 0 {
		return
	}
	l.isLearned, l.limit = true, float64(limit)
	if isSaturated {
		l.saturatedAt = now
	}
}

// InProgress returns the number of loads in progress.
func (l *Limiter) InProgress() int { return len(l.loads) }

// MayBegin reports whether one more load may start, given the loads in progress and the
// number of reserved loads.
func (l *Limiter) MayBegin(now time.Time, reserved int) bool {
	return l.isWithinRate(now, reserved) && len(l.loads)+reserved < l.Limit()
}

// MayBeginUrgent is like MayBegin for an urgent load, which may exceed the concurrency
// limit: all loads then take longer, but the urgent one need not wait.
func (l *Limiter) MayBeginUrgent(now time.Time, reserved int) bool {
	return l.isWithinRate(now, reserved) && len(l.loads)+reserved < l.urgentLimit()
}

// urgentLimit returns the maximum concurrency for urgent loads.
func (l *Limiter) urgentLimit() int {
	if l.Limit() < minUrgentLimit {
		return l.Limit()
	}
	return int(math.Ceil(urgentFactor * l.limit))
}

// isWithinRate reports whether the rate of the store allows one more load to start.
func (l *Limiter) isWithinRate(now time.Time, reserved int) bool {
	l.startTimes = slices.DeleteFunc(l.startTimes, func(at time.Time) bool { return now.Sub(at) > l.window })
	return float64(len(l.startTimes)+reserved+1) <= max(1, l.perWindow)
}

// Begin records the start of a load.
func (l *Limiter) Begin(now time.Time, load Load) {
	l.startTimes = append(l.startTimes, now)
	l.track(now, load)
}

func (l *Limiter) track(now time.Time, load Load) {
	l.integrate(now)
	l.loads[load.Key] = activeLoad{nominal: load.Nominal, startedAt: now, loadSecondsAtStart: l.loadSeconds, concurrencyAtStart: float64(len(l.loads) + 1)}
}

// Update sets the loads in progress. For loads that are no longer in progress, isReady
// reports whether the model was loaded; the others were aborted.
func (l *Limiter) Update(now time.Time, inProgress []Load, isReady func(Key) bool) {
	l.integrate(now)
	current := make(map[Key]bool, len(inProgress))
	for _, load := range inProgress {
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
			l.learnFromCompleted(now, known)
		}
	}
	l.learnFromOverdue(now)
}

// integrate updates loadSeconds to now.
func (l *Limiter) integrate(now time.Time) {
	if passed := now.Sub(l.loadSecondsAt); passed > 0 && !l.loadSecondsAt.IsZero() {
		l.loadSeconds += passed.Seconds() * float64(len(l.loads))
	}
	l.loadSecondsAt = now
}

// learnFromCompleted updates the limit after a load has completed. The smaller slowdown
// of the last two loads counts, because a single slow load may have been reported late.
//
// A store may share its bandwidth among all loads or fix the speed of each load at its
// start. A load on time therefore proves the smaller of the concurrency at its start and
// the average concurrency, and a slow load is evidence against the larger one.
func (l *Limiter) learnFromCompleted(now time.Time, load activeLoad) {
	took := now.Sub(load.startedAt)
	if load.nominal <= 0 || took < time.Duration(minDurationFactor*float64(load.nominal)) {
		return
	}
	average := l.averageConcurrency(now, load)
	minConcurrency, maxConcurrency := min(load.concurrencyAtStart, average), l.maxConcurrency(load, average)
	slowdown := took.Seconds() / load.nominal.Seconds()
	if took <= time.Duration(slowFactor*float64(load.nominal))+slowSlack {
		slowdown = 1
		l.provenConcurrency = max(l.provenConcurrency, average)
	}
	confirmedSlowdown := min(slowdown, l.lastSlowdown)
	l.lastSlowdown = slowdown
	l.isLearned = true
	switch {
	case confirmedSlowdown > 1:
		l.saturatedAt = now
		l.limit = max(1, min(l.limit, math.Round(maxConcurrency/confirmedSlowdown)))
	case slowdown > 1:
	case l.saturatedAt.IsZero() && minConcurrency >= rampUpUtilization*l.limit && isFast(took, load.nominal):
		l.limit = max(l.limit, nextLimit(minConcurrency))
	case !l.saturatedAt.IsZero() && minConcurrency >= probeUtilization*l.limit && now.Sub(l.saturatedAt) > probeInterval && !load.startedAt.Before(l.raisedAt):
		l.limit++
		l.raisedAt = now
	}
}

// nextLimit returns the next limit after the given concurrency was proven. Small limits
// are raised by one, because exceeding the capacity of a small store delays all loads.
func nextLimit(proven float64) float64 {
	if rounded := math.Round(proven); rounded < minUrgentLimit {
		return rounded + 1
	}
	return math.Round(rampUpFactor * proven)
}

// averageConcurrency returns the average number of loads since the load started.
func (l *Limiter) averageConcurrency(now time.Time, load activeLoad) float64 {
	return (l.loadSeconds - load.loadSecondsAtStart) / max(time.Millisecond, now.Sub(load.startedAt)).Seconds()
}

// maxConcurrency returns the concurrency that may have slowed down a load: that at its
// start or, if higher and not yet proven, the average.
func (l *Limiter) maxConcurrency(load activeLoad, average float64) float64 {
	if average <= l.provenConcurrency {
		return load.concurrencyAtStart
	}
	return max(load.concurrencyAtStart, average)
}

// learnFromOverdue lowers the limit if loads are overdue. The longer they take, the lower
// the estimate. It uses the second lowest estimate, since one load is not sufficient
// evidence.
func (l *Limiter) learnFromOverdue(now time.Time) {
	var estimates []float64
	for _, load := range l.loads {
		took := now.Sub(load.startedAt)
		if load.nominal <= 0 || took <= time.Duration(overdueFactor*float64(load.nominal))+overdueSlack {
			continue
		}
		estimates = append(estimates, l.maxConcurrency(load, l.averageConcurrency(now, load))*load.nominal.Seconds()/took.Seconds())
	}
	if len(estimates) < minOverdueLoads {
		return
	}
	slices.Sort(estimates)
	if found := max(1, math.Round(estimates[minOverdueLoads-1])); found < l.limit {
		l.limit, l.isLearned, l.saturatedAt = found, true, now
	}
}

// isFast reports whether a load took no longer than at a store with spare capacity.
func isFast(took, nominal time.Duration) bool {
	return took <= time.Duration(fastFactor*float64(nominal))+fastSlack
}

// Expected returns the expected duration of a load that starts now.
func (l *Limiter) Expected(nominal time.Duration) time.Duration {
	slowdown := max(1, float64(len(l.loads)+1)/max(1, l.limit))
	return time.Duration(float64(nominal) * slowdown)
}

// Remaining returns the expected remaining duration of a load, or 0 if it is unknown. For
// an overdue load, it returns the time by which the load is overdue.
func (l *Limiter) Remaining(now time.Time, key Key) time.Duration {
	known, isKnown := l.loads[key]
	if !isKnown {
		return 0
	}
	slowdown := max(1, max(known.concurrencyAtStart, l.averageConcurrency(now, known))/max(1, l.limit))
	left := time.Duration(float64(known.nominal)*slowdown) - now.Sub(known.startedAt)
	if known.nominal <= 0 {
		return max(0, left)
	}
	// The remaining duration of an overdue load is estimated as its delay so far.
	return max(left, -left)
}
