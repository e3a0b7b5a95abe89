package admission

import (
	"math"
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

// Defaults of EstimatorOptions.
const (
	DefaultService  = 2 * time.Second
	DefaultColdLoad = 5 * time.Second
)

// smoothing is the weight of a new observation in the moving averages.
const smoothing = 0.2

// EstimatorOptions are what an Estimator believes before it has observed
// anything; zero values mean the defaults.
type EstimatorOptions struct {
	Service  time.Duration
	ColdLoad time.Duration
}

// Estimator predicts when a request for one row would start, from moving
// averages of the row's service times and cold loads, and tracks its own error.
type Estimator struct {
	options  EstimatorOptions
	service  average
	cold     average
	rate     average
	bias     average
	absolute average
	// starts is the pace at which requests start while others wait; arrivals that
	// at which requests of each priority join the queue.
	starts   interval
	arrivals [structs.PriorityCount]interval
}

// QueueState is what the estimate depends on besides the history.
type QueueState struct {
	// Slots is how many requests of the row can run at once; Free of them are free.
	Slots int
	Free  int
	// Ahead counts the queued requests that go first.
	Ahead int
	// Now and Priority tell which later arrivals go first, too.
	Now      time.Time
	Priority structs.Priority
	// MaxTokens is the request's bound, 0 if unknown.
	MaxTokens int
	// BusyFor is how long requests have had to wait (see BusyFor); later arrivals of higher
	// priority are expected for rushOutlook times as long.
	BusyFor time.Duration
	// ColdFor is how long a load has been awaited; it counts when Slots is 0.
	ColdFor time.Duration
}

// Accuracy is the estimator's error as moving averages over the requests that
// started: Bias is estimated minus actual wait, Absolute its magnitude.
type Accuracy struct {
	Bias     time.Duration
	Absolute time.Duration
}

// NewEstimator makes an Estimator without observations.
func NewEstimator(options EstimatorOptions) *Estimator {
	if options.Service <= 0 {
		options.Service = DefaultService
	}
	if options.ColdLoad <= 0 {
		options.ColdLoad = DefaultColdLoad
	}
	return &Estimator{options: options}
}

// ObserveService records that a whole answer of so many tokens took duration.
func (e *Estimator) ObserveService(duration time.Duration, tokens int) {
	e.service.add(duration.Seconds())
	if tokens > 0 && duration > 0 {
		e.rate.add(float64(tokens) / duration.Seconds())
	}
}

// ObserveLoadReport takes the speed of one stream from an engine's report as
// long as no answer of the row was observed.
func (e *Estimator) ObserveLoadReport(report structs.LoadReport) {
	if e.service.count == 0 && report.Running > 0 && report.TokensPerSecond > 0 {
		e.rate.add(report.TokensPerSecond / float64(report.Running))
	}
}

// Finish estimates how long it takes until a request would be answered. What a
// request needs once it started counts only for one that must wait, and only if
// it was observed: a request that can start at once is worth trying.
func (e *Estimator) Finish(situation QueueState) time.Duration {
	start := e.Start(situation)
	if start <= 0 || e.service.count == 0 {
		return start
	}
	return start + e.Service(situation.MaxTokens)
}

// Observed reports whether a whole answer was observed.
func (e *Estimator) Observed() bool { return e.service.count > 0 }

// ObserveColdLoad records how long the row was awaited until a replica was ready.
func (e *Estimator) ObserveColdLoad(duration time.Duration) { e.cold.add(duration.Seconds()) }

// ObserveStart records a request's estimated and actual wait.
func (e *Estimator) ObserveStart(estimated, actual time.Duration) {
	miss := (estimated - actual).Seconds()
	e.bias.add(miss)
	e.absolute.add(math.Abs(miss))
}

// Accuracy returns the estimator's error.
func (e *Estimator) Accuracy() Accuracy {
	return Accuracy{Bias: seconds(e.bias.value), Absolute: seconds(e.absolute.value)}
}

// Service estimates how long a request occupies its slot.
func (e *Estimator) Service(maxTokens int) time.Duration {
	if e.service.count > 0 {
		return seconds(e.service.value)
	}
	if e.rate.count > 0 && maxTokens > 0 {
		return seconds(float64(maxTokens) / e.rate.value)
	}
	return e.options.Service
}

// ColdLoad estimates how long a load takes from the first demand.
func (e *Estimator) ColdLoad() time.Duration {
	if e.cold.count > 0 {
		return seconds(e.cold.value)
	}
	return e.options.ColdLoad
}

// Start estimates how long a request would wait until it starts. When the row
// has no replica, the load comes first and the queue is then taken to be served
// one by one. A load that takes longer than expected is expected to need a
// quarter of the usual time more.
func (e *Estimator) Start(situation QueueState) time.Duration {
	if situation.Slots > 0 {
		return e.wait(situation, situation.Slots, situation.Free)
	}
	cold := e.ColdLoad()
	remaining := max(cold-situation.ColdFor, cold/4)
	return remaining + e.wait(situation, 1, 1)
}

func (e *Estimator) wait(situation QueueState, slots, free int) time.Duration {
	queued := situation.Ahead + 1 - free
	if queued <= 0 {
		return 0
	}
	if situation.Slots > 0 && e.starts.gap.count >= turnsKnown {
		return seconds(e.turnsTake(float64(queued), situation))
	}
	perSlot := e.Service(situation.MaxTokens) / time.Duration(slots)
	return time.Duration(queued) * perSlot
}

// ObserveArrival records that a request joined the queue.
func (e *Estimator) ObserveArrival(now time.Time, priority structs.Priority) {
	e.arrivals[clampPriority(priority)].add(now)
}

// ObserveTurn records that a request started; waiting says that others wait still.
func (e *Estimator) ObserveTurn(now time.Time, waiting bool) {
	e.starts.add(now)
	if !waiting {
		e.starts.pause()
	}
}

// turnsTake returns in how many seconds so many of the waiting requests start. As long
// as the rush is expected to go on, later arrivals of higher priority start first.
func (e *Estimator) turnsTake(turns float64, situation QueueState) float64 {
	rate := 1 / max(e.starts.gap.value, shortestGap)
	left := rate
	for priority := clampPriority(situation.Priority) + 1; priority < structs.PriorityCount; priority++ {
		left -= e.arrivals[priority].rate(situation.Now)
	}
	left = max(left, rate/leastShareDivisor)
	rush := busyOutlookFactor * situation.BusyFor.Seconds()
	if turns <= left*rush {
		return turns / left
	}
	return rush + (turns-left*rush)/rate
}

// busyOutlookFactor is how many times as long as it has lasted a rush is expected to go on.
const busyOutlookFactor = 2

// leastShareDivisor bounds what later arrivals of higher priority leave: a class that
// was passed over DefaultGuardAfter times gets a turn.
const leastShareDivisor = DefaultGuardAfter + 1

// turnsKnown is how many turns make a pace.
const turnsKnown = 8

// shortestGap bounds a pace, in seconds.
const shortestGap = 1e-6

// interval is the mean time between events.
type interval struct {
	last time.Time
	gap  average
}

// A gap counts for at most longestGapFactor times the mean, which is taken to be
// leastKnownGap seconds at least.
const (
	longestGapFactor = 8
	leastKnownGap    = 1e-3
)

// intervalSmoothing is the weight of a new gap.
const intervalSmoothing = 0.03

func (i *interval) add(now time.Time) {
	if !i.last.IsZero() {
		i.gap.addWeighted(i.clipped(now.Sub(i.last).Seconds()), intervalSmoothing)
	}
	i.last = now
}

// clipped bounds a gap, so that one hiccup does not count for many turns.
func (i *interval) clipped(gap float64) float64 {
	if i.gap.count < turnsKnown {
		return gap
	}
	return min(gap, longestGapFactor*max(i.gap.value, leastKnownGap))
}

// pause leaves out the time until the next event.
func (i *interval) pause() { i.last = time.Time{} }

// rate returns the events a second; a silence lowers it.
func (i *interval) rate(now time.Time) float64 {
	if i.gap.count < turnsKnown {
		return 0
	}
	return 1 / max(i.gap.value, now.Sub(i.last).Seconds(), shortestGap)
}

// average is an exponentially weighted moving average.
type average struct {
	value float64
	count int
}

func (a *average) add(sample float64) { a.addWeighted(sample, smoothing) }

func (a *average) addWeighted(sample, weight float64) {
	a.count++
	if a.count == 1 {
		a.value = sample
		return
	}
	a.value += weight * (sample - a.value)
}

func seconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Second))
}
