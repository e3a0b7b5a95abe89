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

// EstimatorOptions are the estimates of an Estimator without observations; zero values
// mean the defaults.
type EstimatorOptions struct {
	Service  time.Duration
	ColdLoad time.Duration
}

// Estimator predicts when a request of one row would start, from moving averages of the
// service times and cold loads of the row, and tracks its own error.
type Estimator struct {
	options  EstimatorOptions
	service  average
	cold     average
	rate     average
	bias     average
	absolute average
	// starts is the interval between starts while other requests wait; arrivals are the
	// intervals between arrivals by priority.
	starts   interval
	arrivals [structs.PriorityCount]interval
}

// QueueState is the state of a queue and its row, from which the start of a request is
// estimated.
type QueueState struct {
	// Slots is the number of requests of the row that can run concurrently; Free of them
	// are free.
	Slots int
	Free  int
	// Ahead is the number of queued requests served first.
	Ahead int
	// Now and Priority determine which later arrivals are also served first.
	Now      time.Time
	Priority structs.Priority
	// MaxTokens is the token limit of the request, 0 if unknown.
	MaxTokens int
	// BusyFor is how long requests have been waiting (see BusyPeriod). Later arrivals of
	// higher priority are expected for busyOutlookFactor times as long.
	BusyFor time.Duration
	// ColdFor is the time since the start of a cold load; it is used when Slots is 0.
	ColdFor time.Duration
}

// Accuracy is the error of an estimator, as moving averages over the started requests:
// Bias is the estimated minus the actual wait, Absolute its magnitude.
type Accuracy struct {
	Bias     time.Duration
	Absolute time.Duration
}

// NewEstimator returns an Estimator without observations.
func NewEstimator(options EstimatorOptions) *Estimator {
	if options.Service <= 0 {
		options.Service = DefaultService
	}
	if options.ColdLoad <= 0 {
		options.ColdLoad = DefaultColdLoad
	}
	return &Estimator{options: options}
}

// ObserveService records the service time and the number of tokens of a complete answer.
func (e *Estimator) ObserveService(duration time.Duration, tokens int) {
	e.service.add(duration.Seconds())
	if tokens > 0 && duration > 0 {
		e.rate.add(float64(tokens) / duration.Seconds())
	}
}

// ObserveLoadReport uses the speed of one stream from an engine's report until a complete
// answer of the row has been observed.
func (e *Estimator) ObserveLoadReport(report structs.LoadReport) {
	if e.service.count == 0 && report.Running > 0 && report.TokensPerSecond > 0 {
		e.rate.add(report.TokensPerSecond / float64(report.Running))
	}
}

// Finish estimates the time until a request would be answered. The service time is added
// only for a request that must wait, and only if it was observed: a request that can
// start now is always attempted.
func (e *Estimator) Finish(state QueueState) time.Duration {
	start := e.Start(state)
	if start <= 0 || e.service.count == 0 {
		return start
	}
	return start + e.Service(state.MaxTokens)
}

// Observed reports whether a complete answer was observed.
func (e *Estimator) Observed() bool { return e.service.count > 0 }

// ObserveColdLoad records the time from the first demand for the row to a ready replica.
func (e *Estimator) ObserveColdLoad(duration time.Duration) { e.cold.add(duration.Seconds()) }

// ObserveStart records the estimated and the actual wait of a request.
func (e *Estimator) ObserveStart(estimated, actual time.Duration) {
	miss := (estimated - actual).Seconds()
	e.bias.add(miss)
	e.absolute.add(math.Abs(miss))
}

// Accuracy returns the error of the estimator.
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

// ColdLoad estimates the time from the first demand to a ready replica.
func (e *Estimator) ColdLoad() time.Duration {
	if e.cold.count > 0 {
		return seconds(e.cold.value)
	}
	return e.options.ColdLoad
}

// Start estimates the time until a request would start. Without a replica, it is the
// remaining load time plus the time to serve the queue with one slot. An overdue load is
// expected to take another quarter of the usual time.
func (e *Estimator) Start(state QueueState) time.Duration {
	if state.Slots > 0 {
		return e.wait(state, state.Slots, state.Free)
	}
	cold := e.ColdLoad()
	remaining := max(cold-state.ColdFor, cold/4)
	return remaining + e.wait(state, 1, 1)
}

func (e *Estimator) wait(state QueueState, slots, free int) time.Duration {
	queued := state.Ahead + 1 - free
	if queued <= 0 {
		return 0
	}
	if state.Slots > 0 && e.starts.gap.count >= minSamples {
		return seconds(e.timeForTurns(float64(queued), state))
	}
	perSlot := e.Service(state.MaxTokens) / time.Duration(slots)
	return time.Duration(queued) * perSlot
}

// ObserveArrival records that a request joined the queue.
func (e *Estimator) ObserveArrival(now time.Time, priority structs.Priority) {
	e.arrivals[clampPriority(priority)].add(now)
}

// ObserveTurn records that a request started; waiting tells whether others still wait.
func (e *Estimator) ObserveTurn(now time.Time, waiting bool) {
	e.starts.add(now)
	if !waiting {
		e.starts.pause()
	}
}

// timeForTurns returns the time in seconds until the given number of waiting requests
// have started. While the busy period is expected to last, later arrivals of higher
// priority start first.
func (e *Estimator) timeForTurns(turns float64, state QueueState) float64 {
	rate := 1 / max(e.starts.gap.value, minGap)
	remainingRate := rate
	for priority := clampPriority(state.Priority) + 1; priority < structs.PriorityCount; priority++ {
		remainingRate -= e.arrivals[priority].rate(state.Now)
	}
	remainingRate = max(remainingRate, rate/minShareDivisor)
	busy := busyOutlookFactor * state.BusyFor.Seconds()
	if turns <= remainingRate*busy {
		return turns / remainingRate
	}
	return busy + (turns-remainingRate*busy)/rate
}

// busyOutlookFactor is the expected remaining length of a busy period as a multiple of
// its length so far.
const busyOutlookFactor = 2

// minShareDivisor bounds the share taken by later arrivals of higher priority: a class
// gets a turn after being passed over DefaultMaxPassedOver times.
const minShareDivisor = DefaultMaxPassedOver + 1

// minSamples is the number of samples needed for an interval estimate.
const minSamples = 8

// minGap is the lower bound of an interval estimate, in seconds.
const minGap = 1e-6

// interval estimates the mean time between events.
type interval struct {
	last time.Time
	gap  average
}

// A gap is clipped to maxGapFactor times the mean, or to that of minMeanGap seconds if
// the mean is smaller.
const (
	maxGapFactor = 8
	minMeanGap   = 1e-3
)

// gapSmoothing is the weight of a new gap in the moving average.
const gapSmoothing = 0.03

func (i *interval) add(now time.Time) {
	if !i.last.IsZero() {
		i.gap.addWeighted(i.clip(now.Sub(i.last).Seconds()), gapSmoothing)
	}
	i.last = now
}

// clip limits the effect of a single long gap.
func (i *interval) clip(gap float64) float64 {
	if i.gap.count < minSamples {
		return gap
	}
	return min(gap, maxGapFactor*max(i.gap.value, minMeanGap))
}

// pause excludes the time until the next event.
func (i *interval) pause() { i.last = time.Time{} }

// rate returns the events per second; the time since the last event bounds it from above.
func (i *interval) rate(now time.Time) float64 {
	if i.gap.count < minSamples {
		return 0
	}
	return 1 / max(i.gap.value, now.Sub(i.last).Seconds(), minGap)
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
