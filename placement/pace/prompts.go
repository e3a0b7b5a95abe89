package pace

import (
	"math/bits"
	"slices"
	"time"
)

const (
	// keptFirsts is how many first events are kept for prompts of about one length, and
	// minFirsts how many must be there to tell anything: the quickest tenth of fewer is chance.
	keptFirsts = 64
	minFirsts  = 16
	// quietFirst is the share of prompts that find the runner with nothing else to read: what
	// their first events take is the runner's own time.
	quietFirst = 0.1
	// minSpread and leastTokens are by how much the mean lengths of two kinds of prompts must
	// differ for the difference of their first events to tell the time of a token: a first
	// event takes some ten milliseconds beside the prompt, and varies by as much.
	minSpread   = 1.5
	leastTokens = 500
	// maxOverhead is the part of the time to the first event that may be put down to other
	// things than the prompt where all prompts are about equally long.
	maxOverhead = 0.6
	// meanSmoothing is the weight of a new request in the means: a thousand requests make
	// them, as the few long prompts must be among them in their share.
	meanSmoothing = 0.002
	// minMeans is how many requests must have been seen for the means to count.
	minMeans = 16
)

// firsts are the times to the first event for prompts of about one length, newest last.
type firsts struct {
	own   []float64
	times []float64
	next  int
}

func (f *firsts) add(own, seconds float64) {
	if len(f.times) < keptFirsts {
		f.own, f.times = append(f.own, own), append(f.times, seconds)
		return
	}
	f.own[f.next], f.times[f.next] = own, seconds
	f.next = (f.next + 1) % keptFirsts
}

// quiet returns the mean length in tokens, and the time in seconds of those that had to wait
// for no other prompt.
func (f *firsts) quiet() (tokens, seconds float64) {
	for _, each := range f.own {
		tokens += each
	}
	sorted := slices.Clone(f.times)
	slices.Sort(sorted)
	return tokens / float64(len(f.own)), sorted[int(quietFirst*float64(len(sorted)))]
}

// mean is an average of the newest values in which the first count evenly.
type mean struct {
	value float64
	count int
}

func (m *mean) add(value float64) {
	m.count++
	weight := max(meanSmoothing, 1/float64(m.count))
	m.value += weight * (value - m.value)
}

// prompts are what is known of the requests of a service.
type prompts struct {
	// byLength holds first events by the binary logarithm of the prompt's own tokens.
	byLength map[int]*firsts
	tokens   mean
	// squares is the mean square of the tokens.
	squares mean
	events  mean
}

func newPrompts() *prompts { return &prompts{byLength: make(map[int]*firsts)} }

// add takes a sample from a runner of the slowness.
func (p *prompts) add(seen Sample, slowness float64) {
	if seen.Prompt > 0 {
		p.tokens.add(float64(seen.Prompt))
		p.squares.add(float64(seen.Prompt) * float64(seen.Prompt))
	}
	if seen.Events > 0 {
		p.events.add(float64(seen.Events))
	}
	if seen.First <= 0 || seen.Own <= 0 {
		return
	}
	length := bits.Len64(uint64(seen.Own))
	if p.byLength[length] == nil {
		p.byLength[length] = &firsts{}
	}
	p.byLength[length].add(float64(seen.Own), seen.First.Seconds()/slowness)
}

// rate is how many prompt tokens the usual runner reads a second; 0 if it is not known. It is
// the middle of what each two lengths tell by the difference of their first events, so that one
// length of which few were quick does not decide. Where all prompts are about equally long, the event
// that ends the reading is taken off.
func (p *prompts) rate(event time.Duration) float64 {
	var tokens, seconds []float64
	for length := range 64 {
		if kept := p.byLength[length]; kept != nil && len(kept.times) >= minFirsts {
			x, y := kept.quiet()
			tokens, seconds = append(tokens, x), append(seconds, y)
		}
	}
	var rates []float64
	for i := range tokens {
		for j := range i {
			isFar := tokens[i] >= minSpread*tokens[j] && tokens[i]-tokens[j] >= leastTokens
			if isFar && seconds[i] > seconds[j] {
				rates = append(rates, (tokens[i]-tokens[j])/(seconds[i]-seconds[j]))
			}
		}
	}
	if len(rates) > 0 {
		return median(rates)
	}
	if len(tokens) == 0 {
		return 0
	}
	last := len(tokens) - 1
	return tokens[last] / max(seconds[last]-event.Seconds(), (1-maxOverhead)*seconds[last])
}
