package residency

import "time"

const (
	// pausedShare is the share of paused streams from which a runner is reported to routers as slow,
	// and pausedTTL how long that is valid without a further stream.
	pausedShare = 0.12
	pausedTTL   = 20 * time.Second
	// pausedSmoothing is the weight of a stream in the share of paused ones.
	pausedSmoothing = 0.08
	// minPausedStreams is the number of streams from which the share is used.
	minPausedStreams = 4
)

// pausedStreams is the share of a runner's streams of a model with a pause that is too long.
type pausedStreams struct {
	share  float64
	seen   int
	seenAt time.Time
}

// pauses holds the paused streams of the runners for each model; its rows have no adapter.
type pauses map[Row]map[string]*pausedStreams

// add counts a stream that has ended.
func (p pauses) add(now time.Time, seen Pace) {
	row := Row{Service: seen.Service, Model: seen.Model}
	if p[row] == nil {
		p[row] = make(map[string]*pausedStreams)
	}
	streams := p[row][seen.Instance]
	if streams == nil {
		streams = &pausedStreams{}
		p[row][seen.Instance] = streams
	}
	share := 0.0
	if seen.Paused {
		share = 1
	}
	streams.seen++
	// The first streams have equal weight.
	weight := max(pausedSmoothing, 1/float64(streams.seen))
	streams.share += weight * (share - streams.share)
	streams.seenAt = now
}

// isHigh reports whether too many of the streams paused for too long.
func (streams *pausedStreams) isHigh(now time.Time) bool {
	return streams.seen >= minPausedStreams && streams.share > pausedShare && now.Sub(streams.seenAt) < pausedTTL
}

// forget deletes the runners that are no longer listed.
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
