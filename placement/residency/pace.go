package residency

import "time"

const (
	// pausedShare is the share of streams with too long a pause from which routers are told
	// that a runner is slow, and pausedLife how long that is believed without news.
	pausedShare = 0.12
	pausedLife  = 20 * time.Second
	// pausedSmoothing is the weight of a new stream in the share of paused ones.
	pausedSmoothing = 0.08
	// minPausedStreams is how many streams must have been seen before the share counts.
	minPausedStreams = 4
)

// pausedStreams is the share of a runner's streams of a model with too long a pause.
type pausedStreams struct {
	share  float64
	seen   int
	seenAt time.Time
}

// pauses holds the paused streams of the runners for each model; the rows name no adapter.
type pauses map[Row]map[string]*pausedStreams

// add counts a stream that has ended.
func (p pauses) add(now time.Time, seen Pace) {
	row := Row{Service: seen.Service, Model: seen.Model}
	if p[row] == nil {
		p[row] = make(map[string]*pausedStreams)
	}
	known := p[row][seen.Instance]
	if known == nil {
		known = &pausedStreams{}
		p[row][seen.Instance] = known
	}
	share := 0.0
	if seen.Paused {
		share = 1
	}
	known.seen++
	// The first streams count evenly.
	weight := max(pausedSmoothing, 1/float64(known.seen))
	known.share += weight * (share - known.share)
	known.seenAt = now
}

// isHigh reports whether too many streams of the model at the runner had too long a pause.
func (p pauses) isHigh(now time.Time, row Row, instance string) bool {
	known := p[row][instance]
	return known != nil && known.seen >= minPausedStreams && known.share > pausedShare && now.Sub(known.seenAt) < pausedLife
}

// forget drops the runners that are listed no more.
func (p pauses) forget(isListed func(instance string) bool) {
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
