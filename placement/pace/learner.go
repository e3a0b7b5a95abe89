package pace

import (
	"math"
	"time"
)

const (
	// believedFor is how long a slowness is believed without news: a runner that is left alone
	// for it is worth another try. It then fades towards that of the usual one, to a third in
	// fadeTime.
	believedFor = time.Minute
	fadeTime    = time.Minute
	// tellFactor is by how much a figure must change to be told anew: each news goes to every
	// router, and 15 in 100 change no choice.
	tellFactor = 1.15
	// errorSmoothing is the weight of a new stream in the error.
	errorSmoothing = 0.02
	// maxError bounds the error of a single stream: pauses are no matter of speed.
	maxError = 1
)

// Learner learns from streams what work takes at runners. Its methods must not run at the same
// time.
type Learner struct {
	runners  map[string]*speed
	services map[string]*service
	usual    map[Class]float64
}

// service is what is known of the runners of a service together.
type service struct {
	prompts *prompts
	// rate and event are those of the usual runner as last told: prompt tokens a second, and
	// the time between two events.
	rate  float64
	event time.Duration
	// tokens, squares and events are the means of requests as last told; see prompts.
	tokens  float64
	squares float64
	events  float64
	// err is the mean part by which forecasts of gaps were wrong.
	err float64
}

// NewLearner makes a learner that knows nothing.
func NewLearner() *Learner {
	return &Learner{runners: make(map[string]*speed), services: make(map[string]*service), usual: make(map[Class]float64)}
}

// Expect makes a runner known. Its slowness is what was believed of one in its place, or 0.
func (l *Learner) Expect(now time.Time, instance string, slowness float64) {
	if l.runners[instance] == nil {
		l.runners[instance] = &speed{slowness: slowness, told: slowness, seenAt: now}
	}
}

// Forget drops the runners that are listed no more.
func (l *Learner) Forget(isListed func(instance string) bool) {
	for instance := range l.runners {
		if !isListed(instance) {
			delete(l.runners, instance)
		}
	}
}

// Add takes what was seen of a stream. Those at runners that are not expected are passed over.
func (l *Learner) Add(now time.Time, seen Sample) {
	known := l.runners[seen.Instance]
	if known == nil {
		return
	}
	slowness := l.believed(seen.Instance)
	of := l.service(seen.Class.Service)
	of.prompts.add(seen, slowness)
	if seen.Gap <= 0 {
		return
	}
	usual := l.usual[seen.Class]
	if usual > 0 {
		wrong := min(maxError, math.Abs(usual*slowness/seen.Gap.Seconds()-1))
		of.err += errorSmoothing * (wrong - of.err)
	}
	known.add(now, gap{seen.Class, seen.Gap.Seconds()}, usual)
}

func (l *Learner) service(name string) *service {
	known := l.services[name]
	if known == nil {
		known = &service{prompts: newPrompts()}
		l.services[name] = known
	}
	return known
}

// Judge compares the runners.
func (l *Learner) Judge(now time.Time) {
	gaps := make(map[string]map[Class]float64, len(l.runners))
	for instance, known := range l.runners {
		if now.Sub(known.seenAt) > believedFor {
			known.gaps = nil
		}
		if found := known.quiet(); len(found) > 0 {
			gaps[instance] = found
		}
	}
	found := newFitting(gaps, l.believed)
	for class, usual := range found.usual {
		l.usual[class] = usual
	}
	for instance, known := range l.runners {
		if slowness := found.slowness[instance]; slowness > 0 {
			known.slowness = slowness
		}
		if slowness := known.fading(now); hasChanged(known.told, slowness) {
			known.told = slowness
		}
	}
	l.judgeServices(found)
}

// believed is the slowness of a runner, 1 if nothing tells.
func (l *Learner) believed(instance string) float64 {
	if known := l.runners[instance]; known != nil && known.slowness > 0 {
		return known.slowness
	}
	return 1
}

// fading is the slowness that is believed of a runner that was last seen a while ago.
func (s *speed) fading(now time.Time) float64 {
	over := now.Sub(s.seenAt) - believedFor
	if s.slowness == 0 || over <= 0 {
		return s.slowness
	}
	return math.Pow(s.slowness, math.Exp(-over.Seconds()/fadeTime.Seconds()))
}

// judgeServices tells figures of the services anew that have changed much.
func (l *Learner) judgeServices(found *fitting) {
	events := make(map[string][]float64)
	for class, usual := range found.usual {
		events[class.Service] = append(events[class.Service], usual)
	}
	for name, known := range l.services {
		if len(events[name]) > 0 {
			known.tellEvent(median(events[name]))
		}
		if rate := known.prompts.rate(known.event); hasChanged(known.rate, rate) {
			known.rate = rate
		}
		known.tellMeans()
	}
}

func (s *service) tellEvent(seconds float64) {
	if hasChanged(s.event.Seconds(), seconds) {
		s.event = time.Duration(seconds * float64(time.Second))
	}
}

func (s *service) tellMeans() {
	tokens, squares, events := s.prompts.tokens, s.prompts.squares, s.prompts.events
	if tokens.count < minMeans || events.count < minMeans {
		return
	}
	if hasChanged(s.tokens, tokens.value) || hasChanged(s.squares, squares.value) || hasChanged(s.events, events.value) {
		s.tokens, s.squares, s.events = tokens.value, squares.value, events.value
	}
}

// hasChanged reports whether a figure is far enough from the one that was told.
func hasChanged(told, now float64) bool {
	if told <= 0 || now <= 0 {
		return now > 0 && told <= 0
	}
	return now > told*tellFactor || now < told/tellFactor
}

// Slowness is how many times as long as the usual runner a runner takes, as of the last
// judgement; 0 if nothing tells.
func (l *Learner) Slowness(instance string) float64 {
	if known := l.runners[instance]; known != nil {
		return known.told
	}
	return 0
}

// Runner is what work takes at a runner of a service, as of the last judgement.
func (l *Learner) Runner(name, instance string) Runner {
	slowness := l.Slowness(instance)
	known := l.services[name]
	if known == nil || known.rate <= 0 {
		return Runner{Slowness: rounded(slowness)}
	}
	relative := max(slowness, minSlowness)
	if slowness == 0 {
		relative = 1
	}
	return Runner{
		PromptRate: math.Round(known.rate / relative),
		Event:      time.Duration(float64(known.event) * relative).Round(100 * time.Microsecond),
		Slowness:   rounded(slowness),
	}
}

// minSlowness bounds what is made of a runner that seems quicker than the usual one.
const minSlowness = 0.25

// rounded leaves two digits, for the news to be short.
func rounded(value float64) float64 { return math.Round(value*100) / 100 }

// Work is what the requests of a service take at its usual runner. The caller adds what the
// learner does not see: patience and slots.
func (l *Learner) Work(name string) Work {
	known := l.services[name]
	if known == nil || known.rate <= 0 || known.tokens <= 0 {
		return Work{}
	}
	seconds := func(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }
	return Work{
		Reading:   seconds(known.tokens / known.rate),
		Hindrance: seconds(known.squares / known.tokens / known.rate),
		Stream:    seconds(known.events * known.event.Seconds()),
	}
}

// Error is the mean part by which forecasts of the time between events were wrong.
func (l *Learner) Error(name string) float64 {
	if known := l.services[name]; known != nil {
		return known.err
	}
	return 0
}
