package routing

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
)

// The load that these tests answer: 60 runners of which a quarter has 0.55 of the speed of the
// others, 68 routers that each see a small part of it, one model in demand on 6 of the runners and
// 39 less so on 3 each, short prompts beside a few that are 14 times as long, and a rate that
// swings by 55% up and down. Runners read prompts in pieces between the tokens of their streams.
const (
	loadRunners  = 60
	loadRouters  = 68
	loadModels   = 40
	hotReplicas  = 6
	coolReplicas = 3
	loadSlots    = 24
	// stepTime is how long a runner takes for one token of each of its streams, readRate how many
	// tokens of prompts it reads a second, and readPiece how many between two steps.
	stepTime  = 5.2e-3
	readRate  = 38400
	readPiece = 2048
	// eventTokens are the tokens of one event, answerTokens those of an answer.
	eventTokens  = 7
	answerTokens = 70
	slowness     = 1 / 0.55
	// hotRate and coolRate are requests a second for the model in demand and for all others.
	hotRate   = 100.0
	coolRate  = 395.0
	waveShare = 0.55
	waveTime  = 12.0
	loadTime  = 24.0
	// wordPause separates two words of the leader, as long as it holds a question for news.
	wordPause = 0.5
	// Callers of short prompts, who read along, want the first event within shortAim and those of
	// long ones within longAim; nobody wants a pause above maxPause.
	shortAim = 0.4
	longAim  = 0.6
	maxPause = 0.5
)

// promptSize is a kind of prompt: tokens that many share, tokens of its own, and its part of all.
type promptSize struct {
	shared, own int64
	share       float64
}

var promptSizes = []promptSize{{155, 491, 0.90}, {800, 1400, 0.076}, {6300, 2890, 0.024}}

// stream is one request of the load.
type stream struct {
	router, model, size int
	arrived             float64
	toRead              int64
	tokens              int
	lastEvent, first    float64
	pause               float64
	runner              int
	choice              Choice
}

// engine is a runner of the load.
type engine struct {
	slowness float64
	streams  []*stream
	queue    []*stream
	cached   map[[2]int]bool
	piece    map[*stream]int64
	isBusy   bool
	// reading is the tokens read a second, averaged over readTime, as of readAt.
	reading, readAt float64
	served          int
}

const readTime = 1.0

func (e *engine) uncached(s *stream) int64 {
	size := promptSizes[s.size]
	if e.cached[[2]int{s.model, s.size}] {
		return size.own
	}
	return size.shared + size.own
}

func (e *engine) readingAt(now float64) float64 {
	return e.reading * math.Exp((e.readAt-now)/readTime) * e.slowness / readRate
}

// accept takes a request.
func (e *engine) accept(now float64, s *stream) {
	s.toRead = e.uncached(s)
	e.cached[[2]int{s.model, s.size}] = true
	e.reading = e.reading*math.Exp((e.readAt-now)/readTime) + float64(s.toRead)/readTime
	e.readAt = now
	e.served++
	e.queue = append(e.queue, s)
}

// step begins a step and returns how long it takes; 0 if there is nothing to do.
func (e *engine) step() float64 {
	for len(e.queue) > 0 && len(e.streams) < loadSlots {
		e.streams = append(e.streams, e.queue[0])
		e.queue = e.queue[1:]
	}
	if len(e.streams) == 0 {
		return 0
	}
	clear(e.piece)
	left := int64(readPiece)
	for _, s := range e.streams {
		part := min(left, s.toRead)
		e.piece[s] = part
		left -= part
	}
	return e.slowness * (stepTime + float64(readPiece-left)/readRate)
}

// finish ends a step and returns the streams that have ended.
func (e *engine) finish(now float64) []*stream {
	var ended []*stream
	kept := e.streams[:0]
	for _, s := range e.streams {
		part, isIn := e.piece[s]
		if s.toRead -= part; s.toRead > 0 || !isIn {
			kept = append(kept, s)
			continue
		}
		s.tokens++
		if s.tokens%eventTokens == 1 {
			s.noteEvent(now)
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

func (s *stream) noteEvent(now float64) {
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
	// word is the news of the leader, written at a time before now.
	word(written float64, news []news)
}

// news is what the leader knows of a runner.
type news struct {
	requests int
	reading  float64
}

// event is something that happens in a load.
type event struct {
	at   float64
	what func(now float64)
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

// load is one run.
type load struct {
	random  *rand.Rand
	engines []*engine
	holders [][]int
	popular []float64
	policy  policy
	events  events
	// wordAge is how old the word of the leader is when it comes.
	wordAge float64
	// scale multiplies all rates.
	scale  float64
	ended  []*stream
	change func(l *load, now float64)
}

func newLoad(seed uint64, wordAge, scale float64) *load {
	l := &load{random: rand.New(rand.NewPCG(seed, 9)), wordAge: wordAge, scale: scale}
	for number := range loadRunners {
		speed := 1.0
		if number%4 == 1 {
			speed = slowness
		}
		l.engines = append(l.engines, &engine{slowness: speed, cached: map[[2]int]bool{}, piece: map[*stream]int64{}})
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
		l.popular = append(l.popular, weight)
		l.holders = append(l.holders, l.random.Perm(loadRunners)[:count])
	}
	// Two of the six that hold the model in demand are slow.
	l.holders[0] = []int{0, 1, 2, 3, 4, 5}
	for model := range l.popular {
		l.popular[model] /= total
	}
	return l
}

func (l *load) at(when float64, what func(now float64)) { heap.Push(&l.events, event{when, what}) }

// run plays the load.
func (l *load) run(p policy) result {
	l.policy = p
	l.at(0, func(now float64) { l.arrive(now, true) })
	l.at(0, func(now float64) { l.arrive(now, false) })
	l.at(wordPause, l.tell)
	if l.change != nil {
		l.at(loadTime/3, func(now float64) { l.change(l, now) })
	}
	for len(l.events) > 0 {
		next := heap.Pop(&l.events).(event)
		next.what(next.at)
	}
	return l.result()
}

// arrive lets a request come, and then the next one.
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
	rate *= l.scale * (1 + waveShare*math.Sin(2*math.Pi*now/waveTime))
	if next := now + l.random.ExpFloat64()/rate; next < loadTime {
		l.at(next, func(now float64) { l.arrive(now, isHot) })
	}
}

func (l *load) drawModel() int {
	point := l.random.Float64()
	for model, weight := range l.popular {
		if point -= weight; point < 0 {
			return model
		}
	}
	return loadModels - 1
}

// send lets the policy choose, again in a while if no runner has room.
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

// tell writes the word of the leader, which comes wordAge later to all routers at once.
func (l *load) tell(now float64) {
	var written []news
	wrote := now
	for _, each := range l.engines {
		written = append(written, news{len(each.streams) + len(each.queue), each.readingAt(now)})
	}
	l.at(now+l.wordAge, func(now float64) { l.policy.word(wrote, written) })
	if now < loadTime {
		l.at(now+wordPause, l.tell)
	}
}

// result is what callers saw.
type result struct {
	// lateShort and lateLong are the shares of requests whose first event came after the aim,
	// paused that of those with too long a pause, inAim that of those without any of these.
	lateShort, lateLong, paused, inAim float64
	// spread is the most requests that one runner got over the mean, hotSpread the same over
	// the holders of the model in demand, by what each can bear.
	spread, hotSpread float64
}

func (l *load) result() result {
	var r result
	short, long, good := 0, 0, 0
	for _, s := range l.ended {
		aim, isLong := shortAim, s.size == len(promptSizes)-1
		if isLong {
			aim = longAim
			long++
		} else {
			short++
		}
		if s.first > aim && isLong {
			r.lateLong++
		} else if s.first > aim {
			r.lateShort++
		}
		if s.pause > maxPause {
			r.paused++
		}
		if s.first <= aim && s.pause <= maxPause {
			good++
		}
	}
	r.lateShort /= float64(short)
	r.lateLong /= float64(long)
	r.paused /= float64(len(l.ended))
	r.inAim = float64(good) / float64(len(l.ended))
	most, hotMost, hot, bear := 0.0, 0.0, 0.0, 0.0
	for _, each := range l.engines {
		most = max(most, float64(each.served))
	}
	for _, number := range l.holders[0] {
		each := l.engines[number]
		hotMost = max(hotMost, float64(each.served)*each.slowness)
		hot += float64(each.served)
		bear += 1 / each.slowness
	}
	r.spread = most * loadRunners / float64(len(l.ended))
	r.hotSpread = hotMost / (hot / bear)
	return r
}

func (r result) String() string {
	return fmt.Sprintf("in aim %.4f, late short %.4f long %.4f, paused %.4f, spread %.2f hot %.2f",
		r.inAim, r.lateShort, r.lateLong, r.paused, r.spread, r.hotSpread)
}
