package pace

import (
	"math/bits"
	"slices"
	"time"
)

const (
	// maxFirsts is the number of first events kept for prompts of similar length, and minFirsts the
	// number from which they are used: a low quantile of fewer is not significant.
	maxFirsts = 256
	minFirsts = 16
	// relativeQuantile is the quantile of the first events by which two lengths are compared: the
	// time that prompts wait for each other is the same for both and cancels out, and lower
	// quantiles may be prompts that a cache holds without the router's knowledge. absoluteQuantile
	// is the quantile for a single length, of prompts that waited for no others.
	relativeQuantile = 0.4
	absoluteQuantile = 0.15
	// minSpread and minTokens are the minimum ratio and difference of two mean prompt lengths that
	// are compared. A first event takes about ten milliseconds besides the prompt, and varies by as
	// much.
	minSpread = 1.5
	minTokens = 500
	// maxOverhead is the maximum share of the time to the first event that is not attributed to the
	// prompt if all prompts have similar lengths.
	maxOverhead = 0.6
	// meanSmoothing is the weight of a request in the means. It is small, so that rare long prompts
	// count with their share.
	meanSmoothing = 0.002
	// minMeans is the number of requests from which the means are used, since the first streams to
	// end are short ones.
	minMeans = 48
)

// firstEvents holds the times to the first event for prompts of similar length in a ring buffer.
type firstEvents struct {
	tokens []float64
	times  []float64
	next   int
}

func (f *firstEvents) add(tokens, seconds float64) {
	if len(f.times) < maxFirsts {
		f.tokens, f.times = append(f.tokens, tokens), append(f.times, seconds)
		return
	}
	f.tokens[f.next], f.times[f.next] = tokens, seconds
	f.next = (f.next + 1) % maxFirsts
}

// length returns the mean length of the prompts in tokens.
func (f *firstEvents) length() float64 {
	sum := 0.0
	for _, each := range f.tokens {
		sum += each
	}
	return sum / float64(len(f.tokens))
}

// quantile returns a quantile of the times in seconds.
func (f *firstEvents) quantile(share float64) float64 {
	sorted := slices.Clone(f.times)
	slices.Sort(sorted)
	return sorted[int(share*float64(len(sorted)))]
}

// mean is an exponential moving average whose first values have equal weight.
type mean struct {
	value float64
	count int
}

func (m *mean) add(value float64) {
	m.count++
	weight := max(meanSmoothing, 1/float64(m.count))
	m.value += weight * (value - m.value)
}

// promptStats holds the statistics of the requests of a service.
type promptStats struct {
	// byLength holds first events by the binary logarithm of the tokens read.
	byLength map[int]*firstEvents
	tokens   mean
	// squares is the mean square of the tokens.
	squares mean
	events  mean
}

func newPromptStats() *promptStats { return &promptStats{byLength: make(map[int]*firstEvents)} }

// add records a sample from a runner with the slowness.
func (p *promptStats) add(seen Sample, slowness float64) {
	if seen.Prompt > 0 {
		p.tokens.add(float64(seen.Prompt))
		p.squares.add(float64(seen.Prompt) * float64(seen.Prompt))
	}
	if seen.Events > 0 {
		p.events.add(float64(seen.Events))
	}
	if seen.First <= 0 || seen.Prompt <= 0 {
		return
	}
	length := bits.Len64(uint64(seen.Prompt))
	if p.byLength[length] == nil {
		p.byLength[length] = &firstEvents{}
	}
	p.byLength[length].add(float64(seen.Prompt), seen.First.Seconds()/slowness)
}

// rate returns the prompt tokens per second of the typical runner; 0 if it is unknown. It is the
// median of the rates given by all pairs of lengths, so that a single length with few fast first
// events doesn't decide. If all prompts have similar lengths, the event that follows the reading is
// subtracted.
func (p *promptStats) rate(event time.Duration) float64 {
	var lengths []*firstEvents
	for length := range 64 {
		if found := p.byLength[length]; found != nil && len(found.times) >= minFirsts {
			lengths = append(lengths, found)
		}
	}
	if len(lengths) == 0 {
		return 0
	}
	if rates := pairwiseRates(lengths); len(rates) > 0 {
		return median(rates)
	}
	longest := lengths[len(lengths)-1]
	took := longest.quantile(absoluteQuantile)
	return longest.length() / max(took-event.Seconds(), (1-maxOverhead)*took)
}

// pairwiseRates returns the rates given by all pairs of sufficiently different lengths.
func pairwiseRates(lengths []*firstEvents) []float64 {
	tokens, seconds := make([]float64, len(lengths)), make([]float64, len(lengths))
	for i, each := range lengths {
		tokens[i], seconds[i] = each.length(), each.quantile(relativeQuantile)
	}
	var rates []float64
	for i := range lengths {
		for j := range i {
			isFar := tokens[i] >= minSpread*tokens[j] && tokens[i]-tokens[j] >= minTokens
			if isFar && seconds[i] > seconds[j] {
				rates = append(rates, (tokens[i]-tokens[j])/(seconds[i]-seconds[j]))
			}
		}
	}
	return rates
}
