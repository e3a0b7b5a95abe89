package relay

import (
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/placement/residency"
	"github.com/lotusferry/lotusferry/placement/site"
	"github.com/lotusferry/lotusferry/structs"
)

const (
	// toldGaps is after how many gaps, and toldAfter after how long, a router tells the leader of
	// a stream that goes on: streams may last for many seconds, and a runner that has turned slow
	// should be known before they end. Of shorter ones it tells once.
	toldGaps  = 8
	toldAfter = 500 * time.Millisecond
	// minGaps is the least number that tells the pace of a stream that has ended.
	minGaps = 4
	// maxGaps is how many are kept of a stream.
	maxGaps = 48
)

// streamTiming is what a router sees of the time that a stream takes.
type streamTiming struct {
	runner structs.RunnerID
	// sentAt is when the request was last sent, firstAt when its first event was passed on, and
	// passedAt the last.
	sentAt   time.Time
	firstAt  time.Time
	passedAt time.Time
	// pause is the longest time between two events.
	pause  time.Duration
	events int
	// gaps are the first times between events that came one by one.
	gaps []time.Duration
	// isGapTold is set once the leader is told of the gaps.
	isGapTold bool
}

// passed notes that events were passed on.
func (s *streamTiming) passed(at time.Time, events int) {
	s.events += events
	if s.firstAt.IsZero() {
		s.firstAt = at
	}
	if !s.passedAt.IsZero() {
		gap := at.Sub(s.passedAt)
		s.pause = max(s.pause, gap)
		if events == 1 && !s.isGapTold && len(s.gaps) < maxGaps {
			s.gaps = append(s.gaps, gap)
		}
	}
	s.passedAt = at
}

// first is how long the first event took.
func (s *streamTiming) first() time.Duration {
	if s.firstAt.IsZero() {
		return 0
	}
	return s.firstAt.Sub(s.sentAt)
}

// tellsGap reports whether there are enough gaps to tell of them while the stream goes on.
func (s *streamTiming) tellsGap() bool {
	return !s.isGapTold && len(s.gaps) >= toldGaps && s.passedAt.Sub(s.firstAt) >= toldAfter
}

// gap is the median of the gaps, or 0 if they were told or are too few. Prompts that the runner
// reads stretch some gaps; after what holds the router up, and where an event holds fewer tokens than
// most, as the first and the last may, others are short.
func (s *streamTiming) gap() time.Duration {
	gaps := s.gaps
	if s.isGapTold || len(gaps) < minGaps {
		return 0
	}
	s.isGapTold = true
	slices.Sort(gaps)
	return gaps[(len(gaps)-1)/2]
}

// dropLast drops the gap before the last event of a whole stream, which may hold fewer tokens.
func (s *streamTiming) dropLast() {
	if len(s.gaps) > 0 && !s.isGapTold {
		s.gaps = s.gaps[:len(s.gaps)-1]
	}
}

// pace is what is told of the stream of an exchange that only one runner has run.
func (x *exchange) pace() (residency.Pace, bool) {
	if x.route.Kind != site.KindStream || x.attempts != 1 || x.row.Model == "" {
		return residency.Pace{}, false
	}
	return residency.Pace{Service: x.row.Service, Model: x.row.Model, Instance: string(x.seen.runner)}, true
}

// noteGap tells the router the pace of a stream that goes on.
func (x *exchange) noteGap() {
	told, isTold := x.pace()
	if !isTold {
		return
	}
	told.IsUnderWay = true
	told.Gap = x.seen.gap()
	x.router.notePace(told)
}

// notePace tells the router the pace of a stream that has ended.
func (x *exchange) notePace(ended result) {
	told, isTold := x.pace()
	if !isTold {
		return
	}
	told.Paused = x.route.MaxPause > 0 && x.seen.pause > x.route.MaxPause
	told.First = x.seen.first()
	told.IsLate = x.route.Objective > 0 && told.First > x.route.Objective
	if x.waiting != nil {
		told.Prompt = x.request.Size.Uncached(x.waiting.cachedParts)
	}
	if ended.isServed() {
		told.Events = x.seen.events
		x.seen.dropLast()
	}
	told.Gap = x.seen.gap()
	x.router.notePace(told)
}
