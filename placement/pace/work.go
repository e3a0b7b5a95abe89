package pace

import (
	"math"
	"time"
)

// Work is what the requests of a service take at its usual runner, and how long their callers
// bear to wait. The zero value says nothing.
type Work struct {
	// Reading is how long the prompt of a request is read, on average.
	Reading time.Duration
	// Hindrance is how long the prompt is read on average that another request comes upon: the
	// mean square over the mean, as a long prompt is in the way for longer.
	Hindrance time.Duration
	// Stream is how long a stream takes from its first event to its last while nothing is read.
	Stream time.Duration
	// Patience is the longest pause between events, or wait for the first, that is in time.
	Patience time.Duration
	// Slots is how many requests a runner executes at once; 0 for no bound.
	Slots int
}

// IsKnown reports whether enough is known to say what a runner bears.
func (w Work) IsKnown() bool {
	return w.Reading > 0 && w.Hindrance > 0 && w.Stream > 0 && w.Patience > 0
}

const (
	// borneLate is the part of requests that may be late for a runner to count as bearing its
	// load: callers are promised that 95 in 100 get their tokens in time.
	borneLate = 0.05
	// maxPrompts bounds the prompts that are counted in a row. Rows that are longer than this
	// and still in time are those of prompts that are short beside the patience; then the
	// share of time spent reading is what binds.
	maxPrompts = 64
	// loadSteps is the number of rates for which the part of late requests is worked out.
	loadSteps = 40
)

// Load tells what a runner bears: which part of its requests is late at which rate. It is read
// from a table, as plans ask thousands of times.
type Load struct {
	// step is the rate between two entries of late, in requests a second.
	step float64
	// late is the part of late requests at 0, step, 2 step and so on; 1 above.
	late  [loadSteps + 1]float64
	borne float64
}

// At works out what a runner bears that takes slowness times as long as the usual one.
func (w Work) At(slowness float64) *Load {
	l := &Load{step: 1 / (w.Reading.Seconds() * slowness) / loadSteps}
	for i := range l.late {
		l.late[i] = w.late(float64(i)*l.step, slowness)
	}
	for i := 1; i < len(l.late); i++ {
		if l.late[i] <= borneLate {
			l.borne = float64(i) * l.step
			continue
		}
		within := (borneLate - l.late[i-1]) / (l.late[i] - l.late[i-1])
		l.borne = (float64(i-1) + within) * l.step
		break
	}
	return l
}

// Borne is how many requests a second the runner bears.
func (l *Load) Borne() float64 { return l.borne }

// Late is the part of the requests that are late at a rate of requests a second.
func (l *Load) Late(rate float64) float64 {
	at := max(0, rate) / l.step
	i := int(at)
	if i >= loadSteps {
		return 1
	}
	return l.late[i] + (at-float64(i))*(l.late[i+1]-l.late[i])
}

// late is the part of requests that see a pause or a first event beyond their patience.
//
// While prompts are read all streams of the runner pause. Prompts come at random, so that with
// a share u of its time spent reading, n prompts are read in a row with the probability of the
// Borel distribution, e^(-un) (un)^(n-1) / n!. A stream is late if in its time a row takes longer
// than the patience.
func (w Work) late(rate, slowness float64) float64 {
	reading := rate * w.Reading.Seconds() * slowness
	if reading >= 1 {
		return 1
	}
	stream := w.Stream.Seconds() * slowness / (1 - reading)
	if w.Slots > 0 && rate*stream > float64(w.Slots) {
		return 1
	}
	each := w.Hindrance.Seconds() * slowness
	prompts := int(math.Ceil(w.Patience.Seconds() / each))
	rows := reading / each * (1 - reading)
	return min(1, rows*stream*longRows(reading, min(prompts, maxPrompts)))
}

// longRows is the part of rows of prompts that have at least so many prompts.
func longRows(reading float64, least int) float64 {
	if reading <= 0 {
		return 0
	}
	shorter := 0.0
	for n := 1; n < least; n++ {
		count := float64(n)
		factorial, _ := math.Lgamma(count + 1)
		shorter += math.Exp(-reading*count + (count-1)*math.Log(reading*count) - factorial)
	}
	return max(0, 1-shorter)
}
