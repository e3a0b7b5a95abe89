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
}

// Situation is what the estimate depends on besides the history.
type Situation struct {
	// Slots is how many requests of the row can run at once; Free of them are free.
	Slots int
	Free  int
	// Ahead counts the queued requests that go first.
	Ahead int
	// MaxTokens is the request's bound, 0 if unknown.
	MaxTokens int
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
func (e *Estimator) Start(situation Situation) time.Duration {
	if situation.Slots > 0 {
		return e.wait(situation, situation.Slots, situation.Free)
	}
	cold := e.ColdLoad()
	remaining := max(cold-situation.ColdFor, cold/4)
	return remaining + e.wait(situation, 1, 1)
}

func (e *Estimator) wait(situation Situation, slots, free int) time.Duration {
	queued := situation.Ahead + 1 - free
	if queued <= 0 {
		return 0
	}
	perSlot := e.Service(situation.MaxTokens) / time.Duration(slots)
	return time.Duration(queued) * perSlot
}

// average is an exponentially weighted moving average.
type average struct {
	value float64
	count int
}

func (a *average) add(sample float64) {
	a.count++
	if a.count == 1 {
		a.value = sample
		return
	}
	a.value += smoothing * (sample - a.value)
}

func seconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Second))
}
