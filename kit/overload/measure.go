package overload

import (
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

// atDeadlineMargin is the time before a deadline within which a refusal counts as
// made at the deadline.
const atDeadlineMargin = 150 * time.Millisecond

// settleTime is the initial transient excluded from goodput. Answers after the
// arrival period are excluded too, so that draining a backlog does not count.
const settleTime = 5 * time.Second

// The names of the metrics. Shares are in [0, 1], times in seconds.
const (
	figureGoodput           = "goodput_per_second"
	figureOffered           = "offered_per_second"
	figureInTime            = "in_time_share"
	figureLate              = "late_share"
	figureWasted            = "wasted_token_share"
	figureFirstToken        = "first_token"
	figureLiveFirstToken    = "live_first_token"
	figureLiveInTime        = "live_in_time_share"
	figurePrefixHits        = "prefix_hit_share"
	figureRefused           = "refused_share"
	figureRefusalTime       = "refusal_time"
	figureRefusedAtDeadline = "refused_at_deadline_share"
	figureRetryAfter        = "retry_after"
	figureRetriedInTime     = "returned_in_time_share"
	figureWaitError         = "wait_estimate_error_mean"
	figureWaitErrorP95      = "wait_estimate_error_p95"
	figureWaitBias          = "wait_estimate_bias"
	figureWait              = "wait_mean"
	figureWorstCaller       = "worst_caller_in_time_share"
)

// priorityNames are the suffixes of metrics by priority.
var priorityNames = [structs.PriorityCount]string{"batch", "standard", "live"}

// measurement is the value of one metric in one run.
type measurement struct {
	name  string
	value float64
}

// measurements collects the metrics of one run.
type measurements struct{ all []measurement }

func (m *measurements) add(name string, value float64) {
	m.all = append(m.all, measurement{name, value})
}

// addShare adds part/whole, or nothing if whole is zero.
func (m *measurements) addShare(name string, part, whole int) {
	if whole > 0 {
		m.add(name, float64(part)/float64(whole))
	}
}

func (m *measurements) addMean(name string, values []float64) {
	if len(values) == 0 {
		return
	}
	sum := 0.0
	for _, value := range values {
		sum += value
	}
	m.add(name, sum/float64(len(values)))
}

// addQuantiles adds the median and the 95th and 99th percentiles. It sorts values.
func (m *measurements) addQuantiles(name string, values []float64) {
	if len(values) == 0 {
		return
	}
	slices.Sort(values)
	m.add(name+"_p50", quantile(values, 0.5))
	m.add(name+"_p95", quantile(values, 0.95))
	m.add(name+"_p99", quantile(values, 0.99))
}

func quantile(sorted []float64, part float64) float64 {
	return sorted[min(int(part*float64(len(sorted))), len(sorted)-1)]
}

// measure returns the metrics of a finished run.
func (s *simulation) measure() []measurement {
	gathered := &measurements{}
	s.measureGoodput(gathered)
	s.measureFirstToken(gathered)
	s.measureRefusals(gathered)
	s.measureEstimates(gathered)
	s.measureCallers(gathered)
	return gathered.all
}

func (s *simulation) measureGoodput(gathered *measurements) {
	var inTime, late, wasted, tokens int
	from, until := warmUp+settleTime, warmUp+s.length()
	labels := shares{}
	for _, target := range s.calls {
		tokens += target.tokens
		labels.of(target.label).add(target)
		if target.inTime() {
			if target.endedAt >= from && target.endedAt < until {
				inTime++
			}
			continue
		}
		wasted += target.tokens
		if target.refusal == nil {
			late++
		}
	}
	seconds := s.length().Seconds()
	gathered.add(figureOffered, float64(len(s.calls))/seconds)
	gathered.add(figureGoodput, float64(inTime)/(until-from).Seconds())
	gathered.addShare(figureLate, late, len(s.calls))
	gathered.addShare(figureWasted, wasted, tokens)
	for _, label := range []string{labelAll, labelBurst, labelOthers, labelFlood} {
		if counted := labels[label]; counted != nil {
			gathered.addShare(figureInTime+"_"+label, counted.inTime, counted.calls)
		}
	}
}

// share counts calls and those answered in time.
type share struct{ inTime, calls int }

func (c *share) add(target *call) {
	c.calls++
	if target.inTime() {
		c.inTime++
	}
}

// shares holds separate counts of groups of calls by name.
type shares map[string]*share

// of returns the share with the given name, creating it if absent.
func (s shares) of(name string) *share {
	counted := s[name]
	if counted == nil {
		counted = &share{}
		s[name] = counted
	}
	return counted
}

// length returns the duration of the arrival period.
func (s *simulation) length() time.Duration {
	length := time.Duration(0)
	for _, stream := range s.scenario.streams {
		length = max(length, stream.until)
	}
	return length
}

func (s *simulation) measureFirstToken(gathered *measurements) {
	var waits, liveWaits []float64
	var live share
	for _, target := range s.calls {
		isLive := target.request.Priority == structs.PriorityLive
		if isLive {
			live.add(target)
		}
		if !target.inTime() {
			continue
		}
		wait := (target.firstAt - target.arrivedAt).Seconds()
		waits = append(waits, wait)
		if isLive {
			liveWaits = append(liveWaits, wait)
		}
	}
	gathered.addQuantiles(figureFirstToken, waits)
	gathered.addQuantiles(figureLiveFirstToken, liveWaits)
	gathered.addShare(figureLiveInTime, live.inTime, live.calls)
	all, cached := 0, 0
	for _, engine := range s.engines {
		prompt, hit := engine.promptTokens()
		all += prompt
		cached += hit
	}
	gathered.addShare(figurePrefixHits, cached, all)
}

func (s *simulation) measureRefusals(gathered *measurements) {
	var times, retryAfter []float64
	var timesOf [structs.PriorityCount][]float64
	atDeadline := 0
	var retried share
	for _, target := range s.calls {
		if target.retried {
			retried.add(target)
		}
		if target.refusal == nil {
			continue
		}
		took := (target.endedAt - target.arrivedAt).Seconds()
		times = append(times, took)
		timesOf[target.request.Priority] = append(timesOf[target.request.Priority], took)
		retryAfter = append(retryAfter, target.refusal.Error.RetryAfter.Seconds())
		if target.arrivedAt+target.timeout-target.endedAt < atDeadlineMargin {
			atDeadline++
		}
	}
	gathered.addShare(figureRefused, len(times), len(s.calls))
	gathered.addShare(figureRefusedAtDeadline, atDeadline, len(times))
	gathered.addQuantiles(figureRefusalTime, times)
	for priority, own := range timesOf {
		gathered.addQuantiles(figureRefusalTime+"_"+priorityNames[priority], own)
	}
	gathered.addQuantiles(figureRetryAfter, retryAfter)
	gathered.addShare(figureRetriedInTime, retried.inTime, retried.calls)
}

// measureEstimates compares the wait estimates of the routers with the measured
// waits. The FIFO router makes no estimates.
func (s *simulation) measureEstimates(gathered *measurements) {
	if s.policy == PolicyFIFO {
		return
	}
	var absoluteErrors, bias, waits []float64
	for _, target := range s.calls {
		if target.attempts == 0 {
			continue
		}
		waitError := (target.estimated - target.waited).Seconds()
		bias = append(bias, waitError)
		absoluteErrors = append(absoluteErrors, max(waitError, -waitError))
		waits = append(waits, target.waited.Seconds())
	}
	gathered.addMean(figureWaitError, absoluteErrors)
	gathered.addMean(figureWaitBias, bias)
	gathered.addMean(figureWait, waits)
	if len(absoluteErrors) > 0 {
		slices.Sort(absoluteErrors)
		gathered.add(figureWaitErrorP95, quantile(absoluteErrors, 0.95))
	}
}

// measureCallers adds the lowest in-time share among the callers that do not flood.
func (s *simulation) measureCallers(gathered *measurements) {
	callers := shares{}
	for _, target := range s.calls {
		if target.label == labelOthers {
			callers.of(target.request.Caller).add(target)
		}
	}
	if len(callers) == 0 {
		return
	}
	worst := 1.0
	for _, counted := range callers {
		worst = min(worst, float64(counted.inTime)/float64(counted.calls))
	}
	gathered.add(figureWorstCaller, worst)
}
