package overload

import (
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

// heldMargin is how close to its deadline a refusal counts as held back.
const heldMargin = 150 * time.Millisecond

// settleTime passes after the first arrival before goodput is counted; the count
// ends with the last arrival, so that a backlog that drains later adds nothing.
const settleTime = 5 * time.Second

// The names of the figures. Shares are parts of 1, times are in seconds.
const (
	figureGoodput        = "goodput_per_second"
	figureOffered        = "offered_per_second"
	figureInTime         = "in_time_share"
	figureLate           = "late_share"
	figureWasted         = "wasted_token_share"
	figureFirstToken     = "first_token"
	figureLiveFirstToken = "live_first_token"
	figureLiveInTime     = "live_in_time_share"
	figurePrefixHits     = "prefix_hit_share"
	figureRefused        = "refused_share"
	figureRefusalTime    = "refusal_time"
	figureHeld           = "refused_at_deadline_share"
	figureRetryAfter     = "retry_after"
	figureReturnedInTime = "returned_in_time_share"
	figureWaitMiss       = "wait_estimate_error_mean"
	figureWaitMissP95    = "wait_estimate_error_p95"
	figureWaitBias       = "wait_estimate_bias"
	figureWait           = "wait_mean"
	figureWorstCaller    = "worst_caller_in_time_share"
)

// priorityNames tell the figures of the classes apart.
var priorityNames = [structs.PriorityCount]string{"batch", "standard", "live"}

// measurement is one figure of one run.
type measurement struct {
	name  string
	value float64
}

// measurements gathers the figures of one run.
type measurements struct{ all []measurement }

func (m *measurements) add(name string, value float64) {
	m.all = append(m.all, measurement{name, value})
}

// addShare adds part/whole, and nothing when there is no whole.
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

// addQuantiles sorts the values.
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

// measure sums up a run that has ended.
func (s *site) measure() []measurement {
	gathered := &measurements{}
	s.measureGoodput(gathered)
	s.measureFirstToken(gathered)
	s.measureRefusals(gathered)
	s.measureEstimates(gathered)
	s.measureCallers(gathered)
	return gathered.all
}

func (s *site) measureGoodput(gathered *measurements) {
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

// share counts calls, and those answered in time.
type share struct{ inTime, calls int }

func (c *share) add(target *call) {
	c.calls++
	if target.inTime() {
		c.inTime++
	}
}

// shares are those of calls that are counted apart, by name.
type shares map[string]*share

// of returns the share of the name; one that was not asked for before is empty.
func (s shares) of(name string) *share {
	counted := s[name]
	if counted == nil {
		counted = &share{}
		s[name] = counted
	}
	return counted
}

// length is how long calls arrive.
func (s *site) length() time.Duration {
	length := time.Duration(0)
	for _, stream := range s.scenario.streams {
		length = max(length, stream.until)
	}
	return length
}

func (s *site) measureFirstToken(gathered *measurements) {
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

func (s *site) measureRefusals(gathered *measurements) {
	var times, retryAfter []float64
	var timesOf [structs.PriorityCount][]float64
	held := 0
	var returned share
	for _, target := range s.calls {
		if target.returned {
			returned.add(target)
		}
		if target.refusal == nil {
			continue
		}
		took := (target.endedAt - target.arrivedAt).Seconds()
		times = append(times, took)
		timesOf[target.request.Priority] = append(timesOf[target.request.Priority], took)
		retryAfter = append(retryAfter, target.refusal.Error.RetryAfter.Seconds())
		if target.arrivedAt+target.patience-target.endedAt < heldMargin {
			held++
		}
	}
	gathered.addShare(figureRefused, len(times), len(s.calls))
	gathered.addShare(figureHeld, held, len(times))
	gathered.addQuantiles(figureRefusalTime, times)
	for priority, own := range timesOf {
		gathered.addQuantiles(figureRefusalTime+"_"+priorityNames[priority], own)
	}
	gathered.addQuantiles(figureRetryAfter, retryAfter)
	gathered.addShare(figureReturnedInTime, returned.inTime, returned.calls)
}

// measureEstimates compares the routers' estimates with what came; the FIFO has none.
func (s *site) measureEstimates(gathered *measurements) {
	if s.policy == PolicyFIFO {
		return
	}
	var misses, bias, waits []float64
	for _, target := range s.calls {
		if target.attempts == 0 {
			continue
		}
		miss := (target.estimated - target.waited).Seconds()
		bias = append(bias, miss)
		misses = append(misses, max(miss, -miss))
		waits = append(waits, target.waited.Seconds())
	}
	gathered.addMean(figureWaitMiss, misses)
	gathered.addMean(figureWaitBias, bias)
	gathered.addMean(figureWait, waits)
	if len(misses) > 0 {
		slices.Sort(misses)
		gathered.add(figureWaitMissP95, quantile(misses, 0.95))
	}
}

// measureCallers finds the caller that does not flood and is served worst.
func (s *site) measureCallers(gathered *measurements) {
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
