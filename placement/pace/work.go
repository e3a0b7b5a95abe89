package pace

import (
	"math"
	"time"
)

// Work describes the requests of a service at its typical runner, and how long their callers wait.
// The zero value means that it is unknown.
type Work struct {
	// Reading is the mean time to read the prompt of a request.
	Reading time.Duration
	// BlockingRead is the mean reading time of the prompt that an arriving request finds being
	// read: the mean square over the mean, as long prompts are met more often.
	BlockingRead time.Duration
	// Stream is the duration of a stream from its first event to its last while no prompt is read.
	Stream time.Duration
	// MaxWait is the longest pause between events, or wait for the first, that is in time.
	MaxWait time.Duration
	// Slots is the number of requests that a runner executes at once; 0 if it is unlimited.
	Slots int
}

// IsKnown reports whether the work is sufficient to compute the capacity of a runner.
func (w Work) IsKnown() bool {
	return w.Reading > 0 && w.BlockingRead > 0 && w.Stream > 0 && w.MaxWait > 0
}

const (
	// maxLateShare is the share of late requests that defines the capacity: 95 in 100 requests are
	// in time.
	maxLateShare = 0.05
	// maxPrompts bounds the number of consecutive prompts that are counted. If more of them are
	// still in time, the share of time spent reading limits the capacity.
	maxPrompts = 64
	// loadSteps is the number of rates for which the share of late requests is computed.
	loadSteps = 40
)

// Load gives the share of late requests of a runner by rate. It is a table, as each plan looks up
// thousands of values.
type Load struct {
	// step is the rate between two entries of late, in requests per second.
	step float64
	// late is the share of late requests at the rates 0, step, 2*step and so on; 1 above.
	late     [loadSteps + 1]float64
	capacity float64
}

// At returns the load of a runner with the given slowness.
func (w Work) At(slowness float64) *Load {
	l := &Load{step: 1 / (w.Reading.Seconds() * slowness) / loadSteps}
	for i := range l.late {
		l.late[i] = w.late(float64(i)*l.step, slowness)
	}
	for i := 1; i < len(l.late); i++ {
		if l.late[i] <= maxLateShare {
			l.capacity = float64(i) * l.step
			continue
		}
		within := (maxLateShare - l.late[i-1]) / (l.late[i] - l.late[i-1])
		l.capacity = (float64(i-1) + within) * l.step
		break
	}
	return l
}

// Capacity returns the rate in requests per second at which maxLateShare of them are late.
func (l *Load) Capacity() float64 { return l.capacity }

// Late returns the share of requests that are late at a rate in requests per second.
func (l *Load) Late(rate float64) float64 {
	at := max(0, rate) / l.step
	i := int(at)
	if i >= loadSteps {
		return 1
	}
	return l.late[i] + (at-float64(i))*(l.late[i+1]-l.late[i])
}

// late returns the share of requests with a pause or a first event that takes longer than MaxWait.
//
// All streams of a runner pause while it reads prompts. With Poisson arrivals and a share u of its
// time spent reading, n prompts are read in a row with the probability of the Borel distribution,
// e^(-un) (un)^(n-1) / n!. A stream is late if a row during it takes longer than MaxWait.
func (w Work) late(rate, slowness float64) float64 {
	reading := rate * w.Reading.Seconds() * slowness
	if reading >= 1 {
		return 1
	}
	stream := w.Stream.Seconds() * slowness / (1 - reading)
	if w.Slots > 0 && rate*stream > float64(w.Slots) {
		return 1
	}
	each := w.BlockingRead.Seconds() * slowness
	prompts := int(math.Ceil(w.MaxWait.Seconds() / each))
	rows := reading / each * (1 - reading)
	return min(1, rows*stream*longRows(reading, min(prompts, maxPrompts)))
}

// longRows returns the share of rows with at least the given number of prompts.
func longRows(reading float64, minCount int) float64 {
	if reading <= 0 {
		return 0
	}
	shorter := 0.0
	for n := 1; n < minCount; n++ {
		count := float64(n)
		factorial, _ := math.Lgamma(count + 1)
		shorter += math.Exp(-reading*count + (count-1)*math.Log(reading*count) - factorial)
	}
	return max(0, 1-shorter)
}
