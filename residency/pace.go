package residency

import "time"

const (
	// paceSmoothing is the weight of a new stream in a runner's usual pace.
	paceSmoothing = 0.3
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
	// slowHarm is the part of the requests on a slow runner that are expected to be
	// late because of it.
	slowHarm = 0.15
)

// pace is a runner's usual pace for one model.
type pace struct {
	gap     float64
	streams int
	// paused is the share of streams with too long a pause, and seen their number.
	paused float64
	seen   int
	seenAt time.Time
}

// paces holds the paces of the runners for each model; the rows name no adapter.
type paces map[Row]map[string]*pace

func (p paces) add(now time.Time, seen Pace) {
	row := Row{Service: seen.Service, Model: seen.Model}
	if p[row] == nil {
		p[row] = make(map[string]*pace)
	}
	known := p[row][seen.Instance]
	if known == nil {
		known = &pace{}
		p[row][seen.Instance] = known
	}
	known.addPaused(now, seen.Paused)
	if seen.Gap <= 0 {
		return
	}
	if known.streams == 0 {
		known.gap = seen.Gap.Seconds()
	}
	known.gap += paceSmoothing * (seen.Gap.Seconds() - known.gap)
	known.streams++
}

func (p *pace) addPaused(now time.Time, isPaused bool) {
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

// slowness is how many times as long as the quickest runner with the same model a
// runner takes; 1 if nothing is known. Of several models the least counts, as a
// runner may be slow with one because of what else it does.
func (p paces) slowness(instance string) float64 {
	least := 0.0
	for _, runners := range p {
		own := runners[instance]
		if own == nil || own.streams < minPaceStreams {
			continue
		}
		quickest := own.gap
		for _, other := range runners {
			if other.streams >= minPaceStreams {
				quickest = min(quickest, other.gap)
			}
		}
		if len(runners) > 1 && quickest > 0 && (least == 0 || own.gap/quickest < least) {
			least = own.gap / quickest
		}
	}
	return max(1, least)
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

// ObservePace takes the pace of streams that routers saw.
func (p *Planner) ObservePace(now time.Time, seen []Pace) {
	for _, each := range seen {
		if p.runners[each.Instance] != nil {
			p.paces.add(now, each)
		}
	}
}

// slowInterval is the pause between two comparisons of the runners.
const slowInterval = time.Second

// findSlow compares the runners from time to time.
func (p *Planner) findSlow(now time.Time) {
	if p.slow != nil && now.Sub(p.slowAt) < slowInterval {
		return
	}
	p.slowAt = now
	p.slow = make(map[string]bool)
	for instance, known := range p.runners {
		if p.paces.slowness(instance) > slowFactor || p.pauses(now, known) {
			p.slow[instance] = true
		}
	}
}

// pauses reports whether the runner is too slow for one of the models that it holds.
func (p *Planner) pauses(now time.Time, known *runner) bool {
	for model := range known.holdings {
		if p.paces.pauses(now, known.rowOf(model), known.status.Heartbeat.Instance) {
			return true
		}
	}
	return false
}

// IsSlow reports whether a runner was found to be slower than others, or too slow for
// one of the models that it holds.
func (p *Planner) IsSlow(instance string) bool { return p.slow[instance] }
