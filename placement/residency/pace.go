package residency

import "time"

const (
	// quickerSmoothing and slowerSmoothing are the weights of a new stream that was quicker
	// or slower than a runner's pace: what is sought is the pace with little else to do, as
	// the load of a runner must not pass for its speed.
	quickerSmoothing = 0.5
	slowerSmoothing  = 0.03
	// minPaceStreams is how many streams must have been seen before a runner's pace
	// counts.
	minPaceStreams = 2
	// slowFactor is by how much a runner must be slower than the quickest one with the
	// same model to count as slow.
	slowFactor = 1.15
	// pausedShare is the share of streams with too long a pause from which a runner
	// counts as slow for a model, and pausedLife how long that is believed without news.
	pausedShare = 0.12
	pausedLife  = 20 * time.Second
	// maxSlowHarm bounds the part of the requests on a slow runner that are expected to
	// be late because of it, and harmOfRate is that part for each request a second: the
	// more prompts are read, the more often streams pause for too long.
	maxSlowHarm = 0.6
	harmOfRate  = 0.2
)

// streamPace is a runner's usual pace for one model.
type streamPace struct {
	gap     float64
	streams int
	// paused is the share of streams with too long a pause, and seen their number.
	paused float64
	seen   int
	seenAt time.Time
}

// paces holds the paces of the runners for each model; the rows name no adapter.
type paces map[Row]map[string]*streamPace

func (p paces) add(now time.Time, seen Pace) {
	row := Row{Service: seen.Service, Model: seen.Model}
	if p[row] == nil {
		p[row] = make(map[string]*streamPace)
	}
	known := p[row][seen.Instance]
	if known == nil {
		known = &streamPace{}
		p[row][seen.Instance] = known
	}
	known.addPaused(now, seen.Paused)
	if seen.Gap <= 0 {
		return
	}
	if known.streams == 0 {
		known.gap = seen.Gap.Seconds()
	}
	smoothing := slowerSmoothing
	if seen.Gap.Seconds() < known.gap {
		smoothing = quickerSmoothing
	}
	known.gap += smoothing * (seen.Gap.Seconds() - known.gap)
	known.streams++
}

func (p *streamPace) addPaused(now time.Time, isPaused bool) {
	share := 0.0
	if isPaused {
		share = 1
	}
	p.seen++
	// The first streams count evenly.
	weight := max(pausedSmoothing, 1/float64(p.seen))
	p.paused += weight * (share - p.paused)
	p.seenAt = now
}

const (
	// pausedSmoothing is the weight of a new stream in the share of paused ones.
	pausedSmoothing = 0.08
	// minPausedStreams is how many streams must have been seen before the share counts.
	minPausedStreams = 4
)

// pauses reports whether too many streams of the model at the runner had too long a
// pause.
func (p paces) pauses(now time.Time, row Row, instance string) bool {
	known := p[row][instance]
	return known != nil && known.seen >= minPausedStreams && known.paused > pausedShare && now.Sub(known.seenAt) < pausedLife
}

// paceClass is what models share that take equally long for a token: the size of their
// weights decides it.
type paceClass struct {
	service string
	sizeMB  float64
}

// slowness is how many times as long as the quickest runner with a model of the same
// class each runner takes. Of several classes the least counts, as a runner may be slow
// with one because of what else it does. Runners that cannot be compared with another
// one are left out.
func (p paces) slowness(classOf func(row Row) paceClass) map[string]float64 {
	gaps := make(map[paceClass]map[string]float64)
	for row, runners := range p {
		class := classOf(row)
		if gaps[class] == nil {
			gaps[class] = make(map[string]float64)
		}
		for instance, known := range runners {
			if known.streams >= minPaceStreams {
				gaps[class][instance] = lesser(gaps[class][instance], known.gap)
			}
		}
	}
	slowness := make(map[string]float64)
	for _, runners := range gaps {
		if len(runners) < 2 {
			continue
		}
		quickest := 0.0
		for _, gap := range runners {
			quickest = lesser(quickest, gap)
		}
		for instance, gap := range runners {
			slowness[instance] = lesser(slowness[instance], gap/quickest)
		}
	}
	return slowness
}

// lesser is the lesser of two values of which zero stands for none.
func lesser(a, b float64) float64 {
	if a == 0 || b > 0 && b < a {
		return b
	}
	return a
}

// forget drops the paces of runners that are listed no more.
func (p paces) forget(isListed func(instance string) bool) {
	for row, runners := range p {
		for instance := range runners {
			if !isListed(instance) {
				delete(runners, instance)
			}
		}
		if len(runners) == 0 {
			delete(p, row)
		}
	}
}
