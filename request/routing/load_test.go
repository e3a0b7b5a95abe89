package routing

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
)

// The simulated load: 60 runners, a quarter of them at 0.55 of the speed; 68 routers; one popular model on
// 6 runners and 39 others on 3 each; mostly short prompts; a rate that varies by ±55%. Runners process
// prompts in chunks between the steps of their streams.
const (
	loadRunners  = 60
	loadRouters  = 68
	loadModels   = 40
	hotReplicas  = 6
	coolReplicas = 3
	loadSlots    = 24
	// stepTime is the time for one token of each stream, in seconds; prefillRate is in prompt tokens per second,
	// and prefillChunk bounds the prompt tokens per step.
	stepTime     = 5.2e-3
	prefillRate  = 38400
	prefillChunk = 2048
	// eventTokens is the number of tokens per event, answerTokens per answer.
	eventTokens  = 7
	answerTokens = 70
	slowness     = 1 / 0.55
	// hotRate and coolRate are requests per second for the popular model and for all others.
	hotRate     = 100.0
	coolRate    = 395.0
	rateSwing   = 0.55
	swingPeriod = 12.0
	loadTime    = 24.0
	// reportInterval separates two load reports, in seconds.
	reportInterval = 0.5
	// shortTarget and longTarget bound the time to the first event of short and long prompts, and maxPause the
	// time between events, all in seconds.
	shortTarget = 0.4
	longTarget  = 0.6
	maxPause    = 0.5
)

// promptSize is a kind of prompt: its shared and own tokens, and its share of all prompts.
type promptSize struct {
	shared, own int64
	share       float64
}

var promptSizes = []promptSize{{155, 491, 0.90}, {800, 1400, 0.076}, {6300, 2890, 0.024}}

// stream is one request.
type stream struct {
	router, model, size int
	arrived             float64
	prefillLeft         int64
	tokens              int
	lastEvent, first    float64
	pause               float64
	runner              int
	choice              Choice
}

// engine simulates a runner.
type engine struct {
	slowness float64
	streams  []*stream
	queue    []*stream
	cached   map[[2]int]bool
	chunk    map[*stream]int64
	isBusy   bool
	// prefillTokenRate is the average of prompt tokens per second over prefillAverageTime, as of prefillRateAt.
	prefillTokenRate, prefillRateAt float64
	served                          int
}

const prefillAverageTime = 1.0

func (e *engine) uncached(s *stream) int64 {
	size := promptSizes[s.size]
	if e.cached[[2]int{s.model, s.size}] {
		return size.own
	}
	return size.shared + size.own
}

func (e *engine) prefillShare(now float64) float64 {
	return e.prefillTokenRate * math.Exp((e.prefillRateAt-now)/prefillAverageTime) * e.slowness / prefillRate
}

// accept queues a request.
func (e *engine) accept(now float64, s *stream) {
	s.prefillLeft = e.uncached(s)
	e.cached[[2]int{s.model, s.size}] = true
	e.prefillTokenRate = e.prefillTokenRate*math.Exp((e.prefillRateAt-now)/prefillAverageTime) + float64(s.prefillLeft)/prefillAverageTime
	e.prefillRateAt = now
	e.served++
	e.queue = append(e.queue, s)
}

// step begins a step and returns its duration; 0 if idle.
func (e *engine) step() float64 {
	for len(e.queue) > 0 && len(e.streams) < loadSlots {
		e.streams = append(e.streams, e.queue[0])
		e.queue = e.queue[1:]
	}
	if len(e.streams) == 0 {
		return 0
	}
	clear(e.chunk)
	left := int64(prefillChunk)
	for _, s := range e.streams {
		part := min(left, s.prefillLeft)
		e.chunk[s] = part
		left -= part
	}
	return e.slowness * (stepTime + float64(prefillChunk-left)/prefillRate)
}

// finish ends a step and returns the finished streams.
func (e *engine) finish(now float64) []*stream {
	var ended []*stream
	kept := e.streams[:0]
	for _, s := range e.streams {
		part, isIn := e.chunk[s]
		if s.prefillLeft -= part; s.prefillLeft > 0 || !isIn {
			kept = append(kept, s)
			continue
		}
		s.tokens++
		if s.tokens%eventTokens == 1 {
			s.recordEvent(now)
		}
		if s.tokens >= answerTokens {
			ended = append(ended, s)
			continue
		}
		kept = append(kept, s)
	}
	e.streams = kept
	return ended
}

func (s *stream) recordEvent(now float64) {
	if s.tokens == 1 {
		s.first = now - s.arrived
	} else {
		s.pause = max(s.pause, now-s.lastEvent)
	}
	s.lastEvent = now
}

// policy chooses runners for requests.
type policy interface {
	// choose returns a runner, or -1 if the request has to wait.
	choose(now float64, s *stream) int
	done(now float64, s *stream)
	// observe receives load reports written at an earlier time.
	observe(written float64, reports []runnerReport)
}

// runnerReport is the reported load of a runner.
type runnerReport struct {
	requests     int
	prefillShare float64
}

// event is a scheduled action.
type event struct {
	at     float64
	action func(now float64)
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// load is one simulation run.
type load struct {
	random     *rand.Rand
	engines    []*engine
	holders    [][]int
	popularity []float64
	policy     policy
	events     events
	// reportAge is the delay of load reports in seconds.
	reportAge float64
	// scale multiplies all rates.
	scale  float64
	ended  []*stream
	change func(l *load, now float64)
}

func newLoad(seed uint64, reportAge, scale float64) *load {
	l := &load{random: rand.New(rand.NewPCG(seed, 9)), reportAge: reportAge, scale: scale}
	for number := range loadRunners {
		speed := 1.0
		if number%4 == 1 {
			speed = slowness
		}
		l.engines = append(l.engines, &engine{slowness: speed, cached: map[[2]int]bool{}, chunk: map[*stream]int64{}})
	}
	total := 0.0
	for model := range loadModels {
		count, weight := coolReplicas, 0.0
		if model == 0 {
			count = hotReplicas
		} else {
			weight = 1 / math.Sqrt(float64(model))
		}
		total += weight
		l.popularity = append(l.popularity, weight)
		l.holders = append(l.holders, l.random.Perm(loadRunners)[:count])
	}
	// Two of the six runners of the popular model are slow.
	l.holders[0] = []int{0, 1, 2, 3, 4, 5}
	for model := range l.popularity {
		l.popularity[model] /= total
	}
	return l
}

func (l *load) at(when float64, what func(now float64)) { heap.Push(&l.events, event{when, what}) }

// run simulates the load with the policy.
func (l *load) run(p policy) result {
	l.policy = p
	l.at(0, func(now float64) { l.arrive(now, true) })
	l.at(0, func(now float64) { l.arrive(now, false) })
	l.at(reportInterval, l.report)
	if l.change != nil {
		l.at(loadTime/3, func(now float64) { l.change(l, now) })
	}
	for len(l.events) > 0 {
		next := heap.Pop(&l.events).(event)
		next.action(next.at)
	}
	return l.result()
}

// arrive adds a request and schedules the next one.
func (l *load) arrive(now float64, isHot bool) {
	rate := coolRate
	s := &stream{router: l.random.IntN(loadRouters), arrived: now, runner: -1}
	if isHot {
		rate = hotRate
	} else {
		s.model = l.drawModel()
	}
	point := l.random.Float64()
	for point > promptSizes[s.size].share && s.size < len(promptSizes)-1 {
		point -= promptSizes[s.size].share
		s.size++
	}
	l.send(now, s)
	rate *= l.scale * (1 + rateSwing*math.Sin(2*math.Pi*now/swingPeriod))
	if next := now + l.random.ExpFloat64()/rate; next < loadTime {
		l.at(next, func(now float64) { l.arrive(now, isHot) })
	}
}

func (l *load) drawModel() int {
	point := l.random.Float64()
	for model, weight := range l.popularity {
		if point -= weight; point < 0 {
			return model
		}
	}
	return loadModels - 1
}

// send lets the policy choose a runner and retries later if none has capacity.
func (l *load) send(now float64, s *stream) {
	s.runner = l.policy.choose(now, s)
	if s.runner < 0 {
		if now-s.arrived < 5 {
			l.at(now+0.02, func(now float64) { l.send(now, s) })
		} else {
			s.first, s.runner = math.Inf(1), 0
			l.ended = append(l.ended, s)
		}
		return
	}
	target := l.engines[s.runner]
	target.accept(now, s)
	if !target.isBusy {
		l.step(now, target)
	}
}

func (l *load) step(now float64, target *engine) {
	took := target.step()
	target.isBusy = took > 0
	if !target.isBusy {
		return
	}
	l.at(now+took, func(now float64) {
		for _, s := range target.finish(now) {
			l.policy.done(now, s)
			l.ended = append(l.ended, s)
		}
		l.step(now, target)
	})
}

// report writes the load reports, which reach all routers after reportAge.
func (l *load) report(now float64) {
	var written []runnerReport
	wrote := now
	for _, each := range l.engines {
		written = append(written, runnerReport{len(each.streams) + len(each.queue), each.prefillShare(now)})
	}
	l.at(now+l.reportAge, func(now float64) { l.policy.observe(wrote, written) })
	if now < loadTime {
		l.at(now+reportInterval, l.report)
	}
}

// result summarizes the requests of a run.
type result struct {
	// lateShort and lateLong are the shares of requests whose first event was late, paused of those with a pause
	// above maxPause, inTime of those with neither.
	lateShort, lateLong, paused, inTime float64
	// spread is the maximum over the mean of the requests per runner, hotSpread the same among the runners of
	// the popular model, relative to their capacity.
	spread, hotSpread float64
}

func (l *load) result() result {
	var r result
	short, long, good := 0, 0, 0
	for _, s := range l.ended {
		target, isLong := shortTarget, s.size == len(promptSizes)-1
		if isLong {
			target = longTarget
			long++
		} else {
			short++
		}
		if s.first > target && isLong {
			r.lateLong++
		} else if s.first > target {
			r.lateShort++
		}
		if s.pause > maxPause {
			r.paused++
		}
		if s.first <= target && s.pause <= maxPause {
			good++
		}
	}
	r.lateShort /= float64(short)
	r.lateLong /= float64(long)
	r.paused /= float64(len(l.ended))
	r.inTime = float64(good) / float64(len(l.ended))
	most, hotMost, hot, capacity := 0.0, 0.0, 0.0, 0.0
	for _, each := range l.engines {
		most = max(most, float64(each.served))
	}
	for _, number := range l.holders[0] {
		each := l.engines[number]
		hotMost = max(hotMost, float64(each.served)*each.slowness)
		hot += float64(each.served)
		capacity += 1 / each.slowness
	}
	r.spread = most * loadRunners / float64(len(l.ended))
	r.hotSpread = hotMost / (hot / capacity)
	return r
}

func (r result) String() string {
	return fmt.Sprintf("in time %.4f, late short %.4f long %.4f, paused %.4f, spread %.2f hot %.2f",
		r.inTime, r.lateShort, r.lateLong, r.paused, r.spread, r.hotSpread)
}
