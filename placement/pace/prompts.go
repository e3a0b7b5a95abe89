package pace

import (
	"math/bits"
	"slices"
	"time"
)

const (
	// keptFirsts is how many first events are kept for prompts of about one length, and
	// minFirsts how many must be there to tell anything: the quickest tenth of fewer is chance.
	keptFirsts = 256
	minFirsts  = 16
	// middleFirst is the quantile of the first events of a length by which it is held against
	// another length: what prompts wait for each other is the same for both and cancels out, and
	// the quickest are often those that a cache holds without a router knowing. quietFirst is
	// that for a length alone: its prompts found nothing else to read.
	middleFirst = 0.4
	quietFirst  = 0.15
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
	// minMeans is how many requests must have been seen for the means to count: the first
	// streams to end are the short ones.
	minMeans = 48
)

// firsts are the times to the first event for prompts of about one length, newest last.
type firsts struct {
	tokens []float64
	times  []float64
	next   int
}

func (f *firsts) add(tokens, seconds float64) {
	if len(f.times) < keptFirsts {
		f.tokens, f.times = append(f.tokens, tokens), append(f.times, seconds)
		return
	}
	f.tokens[f.next], f.times[f.next] = tokens, seconds
	f.next = (f.next + 1) % keptFirsts
}

// length is the mean length of the prompts in tokens.
func (f *firsts) length() float64 {
	sum := 0.0
	for _, each := range f.tokens {
		sum += each
	}
	return sum / float64(len(f.tokens))
}

// quantile is that of the times, in seconds.
func (f *firsts) quantile(share float64) float64 {
	sorted := slices.Clone(f.times)
	slices.Sort(sorted)
	return sorted[int(share*float64(len(sorted)))]
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
	// byLength holds first events by the binary logarithm of the tokens that were read.
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
	if seen.First <= 0 || seen.Prompt <= 0 {
		return
	}
	length := bits.Len64(uint64(seen.Prompt))
	if p.byLength[length] == nil {
		p.byLength[length] = &firsts{}
	}
	p.byLength[length].add(float64(seen.Prompt), seen.First.Seconds()/slowness)
}

// rate is how many prompt tokens the usual runner reads a second; 0 if it is not known. It is
// the middle of what each two lengths tell by the difference of their first events, so that one
// length of which few were quick does not decide. Where all prompts are about equally long, the event
// that ends the reading is taken off.
func (p *prompts) rate(event time.Duration) float64 {
	var kept []*firsts
	for length := range 64 {
		if found := p.byLength[length]; found != nil && len(found.times) >= minFirsts {
			kept = append(kept, found)
		}
	}
	if len(kept) == 0 {
		return 0
	}
	if rates := differences(kept); len(rates) > 0 {
		return median(rates)
	}
	longest := kept[len(kept)-1]
	took := longest.quantile(quietFirst)
	return longest.length() / max(took-event.Seconds(), (1-maxOverhead)*took)
}

// differences are the rates that each two lengths tell, which are far enough from each other.
func differences(kept []*firsts) []float64 {
	tokens, seconds := make([]float64, len(kept)), make([]float64, len(kept))
	for i, each := range kept {
		tokens[i], seconds[i] = each.length(), each.quantile(middleFirst)
	}
	var rates []float64
	for i := range kept {
		for j := range i {
			isFar := tokens[i] >= minSpread*tokens[j] && tokens[i]-tokens[j] >= leastTokens
			if isFar && seconds[i] > seconds[j] {
				rates = append(rates, (tokens[i]-tokens[j])/(seconds[i]-seconds[j]))
			}
		}
	}
	return rates
}
