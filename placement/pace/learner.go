package pace

import (
	"iter"
	"math"
	"time"
)

const (
	// slownessRetention is how long a slowness is kept without a sample. It then decays towards 1,
	// to a third of its logarithm in decayTime, so that an unused runner is tried again.
	slownessRetention = time.Minute
	decayTime         = time.Minute
	// publishFactor is the ratio by which a figure must change to be published, since each change
	// is sent to all routers.
	publishFactor = 1.15
	// errorSmoothing is the weight of a stream in the error.
	errorSmoothing = 0.02
	// maxError bounds the error of a stream, since pauses don't indicate the speed.
	maxError = 1
)

// Learner learns the speed of runners from streams. It is not safe for concurrent use.
type Learner struct {
	runners map[string]*speed
	// observed holds those of the runners that have a slowness or gaps.
	observed    map[string]*speed
	services    map[string]*service
	typicalGaps map[Class]float64
}

// service is the state of a service, over all of its runners.
type service struct {
	prompts *promptStats
	// rate and event are the published figures of the typical runner: prompt tokens per second, and
	// the time between two events.
	rate  float64
	event time.Duration
	// tokens, squares and events are the published means of requests; see promptStats.
	tokens  float64
	squares float64
	events  float64
	// err is the mean relative error of the forecast gaps.
	err float64
	// smoothedRate is the smoothed prompt rate after the given number of updates.
	smoothedRate float64
	updates      int
}

// NewLearner returns a learner without samples.
func NewLearner() *Learner {
	return &Learner{runners: make(map[string]*speed), observed: make(map[string]*speed), services: make(map[string]*service), typicalGaps: make(map[Class]float64)}
}

// Expect adds a runner. slowness is that of the previous runner at its endpoint, or 0.
func (l *Learner) Expect(now time.Time, instance string, slowness float64) {
	if l.runners[instance] != nil {
		return
	}
	l.runners[instance] = &speed{slowness: slowness, published: slowness, seenAt: now}
	if slowness != 0 {
		l.observed[instance] = l.runners[instance]
	}
}

// Forget deletes the runners that are no longer listed.
func (l *Learner) Forget(isListed func(instance string) bool) {
	for instance := range l.runners {
		if !isListed(instance) {
			delete(l.runners, instance)
			delete(l.observed, instance)
		}
	}
}

// Add records a sample. Samples from runners that were not added by Expect are ignored.
func (l *Learner) Add(now time.Time, seen Sample) {
	runner := l.runners[seen.Instance]
	if runner == nil {
		return
	}
	slowness := l.slownessOf(seen.Instance)
	service := l.service(seen.Class.Service)
	service.prompts.add(seen, slowness)
	if seen.Gap <= 0 {
		return
	}
	typical := l.typicalGaps[seen.Class]
	if typical > 0 {
		wrong := min(maxError, math.Abs(typical*slowness/seen.Gap.Seconds()-1))
		service.err += errorSmoothing * (wrong - service.err)
	}
	runner.add(now, gap{seen.Class, seen.Gap.Seconds()}, typical)
	l.observed[seen.Instance] = runner
}

func (l *Learner) service(name string) *service {
	s := l.services[name]
	if s == nil {
		s = &service{prompts: newPromptStats()}
		l.services[name] = s
	}
	return s
}

// Judge estimates the slowness of the runners from the samples.
func (l *Learner) Judge(now time.Time) {
	found := newFitting()
	for _, runner := range l.observed {
		if now.Sub(runner.seenAt) > slownessRetention {
			runner.gaps = nil
		}
		if gaps := runner.unloadedGaps(); len(gaps) > 0 {
			found.add(runner, gaps)
		}
	}
	found.fit()
	for _, each := range found.classes {
		if each.runners >= 2 {
			l.typicalGaps[each.class] = each.typicalGap
		}
	}
	for _, each := range found.runners {
		if each.slowness > 0 {
			each.speed.slowness = each.slowness
		}
	}
	for _, runner := range l.observed {
		if slowness := runner.decayed(now); hasChanged(runner.published, slowness) {
			runner.published = slowness
		}
	}
	l.updateServices(found)
}

// slownessOf returns the estimated slowness of a runner, 1 if it is unknown.
func (l *Learner) slownessOf(instance string) float64 {
	if runner := l.runners[instance]; runner != nil && runner.slowness > 0 {
		return runner.slowness
	}
	return 1
}

// decayed returns the slowness of the runner, which decays without samples.
func (s *speed) decayed(now time.Time) float64 {
	over := now.Sub(s.seenAt) - slownessRetention
	if s.slowness == 0 || over <= 0 {
		return s.slowness
	}
	return math.Pow(s.slowness, math.Exp(-over.Seconds()/decayTime.Seconds()))
}

// updateServices publishes the figures of the services that have changed by publishFactor.
func (l *Learner) updateServices(found *fitting) {
	events := make(map[string][]float64)
	for _, each := range found.classes {
		if each.runners >= 2 {
			events[each.class.Service] = append(events[each.class.Service], each.typicalGap)
		}
	}
	for name, service := range l.services {
		if len(events[name]) > 0 {
			service.publishEvent(median(events[name]))
		}
		service.publishRate(service.prompts.rate(service.event))
		service.publishMeans()
	}
}

// publishRate updates the smoothed prompt rate with an estimate from recent requests.
func (s *service) publishRate(rate float64) {
	if rate <= 0 {
		return
	}
	s.updates++
	weight := rateRise
	if rate < s.smoothedRate {
		weight = max(rateFall, 1/float64(s.updates))
	}
	if s.smoothedRate == 0 {
		weight = 1
	}
	s.smoothedRate += weight * (rate - s.smoothedRate)
	if hasChanged(s.rate, s.smoothedRate) {
		s.rate = s.smoothedRate
	}
}

const (
	// rateRise and rateFall are the weights of an update, once a second, with a prompt rate above
	// or below the smoothed one. Prompts that wait for each other at overloaded runners look slower
	// than they are, never faster, and the planner must not take that for a lower capacity. In an
	// overload of 20 s, 31,000 tokens per second seemed to be 12,000, and a model with 160 requests
	// per second was queued behind rare ones.
	rateRise = 0.3
	rateFall = 0.005
)

func (s *service) publishEvent(seconds float64) {
	if hasChanged(s.event.Seconds(), seconds) {
		s.event = time.Duration(seconds * float64(time.Second))
	}
}

func (s *service) publishMeans() {
	tokens, squares, events := s.prompts.tokens, s.prompts.squares, s.prompts.events
	if tokens.count < minMeans || events.count < minMeans {
		return
	}
	if hasChanged(s.tokens, tokens.value) || hasChanged(s.squares, squares.value) || hasChanged(s.events, events.value) {
		s.tokens, s.squares, s.events = tokens.value, squares.value, events.value
	}
}

// hasChanged reports whether a figure differs from the published one by publishFactor.
func hasChanged(published, now float64) bool {
	if published <= 0 || now <= 0 {
		return now > 0 && published <= 0
	}
	return now > published*publishFactor || now < published/publishFactor
}

// Slowness returns the time that a runner takes relative to the typical one, as of the last call of
// Judge; 0 if it is unknown.
func (l *Learner) Slowness(instance string) float64 {
	if runner := l.runners[instance]; runner != nil {
		return runner.published
	}
	return 0
}

// Known returns the runners of known slowness with their slowness, as Slowness does.
func (l *Learner) Known() iter.Seq2[string, float64] {
	return func(yield func(string, float64) bool) {
		for instance, runner := range l.observed {
			if runner.published > 0 && !yield(instance, runner.published) {
				return
			}
		}
	}
}

// Runner returns the speed of a runner of a service as of the last call of Judge.
func (l *Learner) Runner(name, instance string) Runner {
	slowness := l.Slowness(instance)
	service := l.services[name]
	if service == nil || service.rate <= 0 {
		return Runner{Slowness: rounded(slowness)}
	}
	relative := max(slowness, minSlowness)
	if slowness == 0 {
		relative = 1
	}
	return Runner{
		PromptRate: math.Round(service.rate / relative),
		Event:      time.Duration(float64(service.event) * relative).Round(100 * time.Microsecond),
		Slowness:   rounded(slowness),
	}
}

// minSlowness bounds the slowness of a runner that seems faster than the typical one.
const minSlowness = 0.25

// rounded rounds to two digits, to keep messages short.
func rounded(value float64) float64 { return math.Round(value*100) / 100 }

// Work returns the work of the requests of a service at its typical runner. The caller sets MaxWait
// and Slots, which the learner doesn't know.
func (l *Learner) Work(name string) Work {
	service := l.services[name]
	if service == nil || service.rate <= 0 || service.tokens <= 0 {
		return Work{}
	}
	seconds := func(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }
	return Work{
		Reading:      seconds(service.tokens / service.rate),
		BlockingRead: seconds(service.squares / service.tokens / service.rate),
		Stream:       seconds(service.events * service.event.Seconds()),
	}
}

// Error returns the mean relative error of the forecast time between events.
func (l *Learner) Error(name string) float64 {
	if service := l.services[name]; service != nil {
		return service.err
	}
	return 0
}
