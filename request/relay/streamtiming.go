package relay

import (
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/placement/residency"
	"github.com/lotusferry/lotusferry/placement/site"
	"github.com/lotusferry/lotusferry/structs"
)

const (
	// earlyReportGaps and earlyReportAfter are the number of gaps and the time after which the
	// timing of a running stream is reported, so that the leader learns of a slow runner before
	// long streams end.
	earlyReportGaps  = 8
	earlyReportAfter = 500 * time.Millisecond
	// minGaps is the minimum number of gaps for a meaningful median.
	minGaps = 4
	// maxGaps bounds the gaps kept of a stream.
	maxGaps = 48
)

// streamTiming records the timing of a stream.
type streamTiming struct {
	runner structs.RunnerID
	// sentAt is when the request was last sent, firstAt when the first event was forwarded, and
	// passedAt when the latest one was.
	sentAt   time.Time
	firstAt  time.Time
	passedAt time.Time
	// pause is the longest time between two events.
	pause  time.Duration
	events int
	// gaps are the first times between events that arrived one by one.
	gaps []time.Duration
	// isGapReported is set once the gaps were reported.
	isGapReported bool
}

// notePassed records that events were forwarded.
func (s *streamTiming) notePassed(at time.Time, events int) {
	s.events += events
	if s.firstAt.IsZero() {
		s.firstAt = at
	}
	if !s.passedAt.IsZero() {
		gap := at.Sub(s.passedAt)
		s.pause = max(s.pause, gap)
		if events == 1 && !s.isGapReported && len(s.gaps) < maxGaps {
			s.gaps = append(s.gaps, gap)
		}
	}
	s.passedAt = at
}

// first returns the time to the first event, or 0 if there was none.
func (s *streamTiming) first() time.Duration {
	if s.firstAt.IsZero() {
		return 0
	}
	return s.firstAt.Sub(s.sentAt)
}

// shouldReportGap reports whether there are enough gaps to report them before the stream ends.
func (s *streamTiming) shouldReportGap() bool {
	return !s.isGapReported && len(s.gaps) >= earlyReportGaps && s.passedAt.Sub(s.firstAt) >= earlyReportAfter
}

// gap returns the median of the gaps, or 0 if they are too few or were reported. The median ignores
// gaps stretched by prompt processing of other requests, and short ones after a delay of the router
// or before events with few tokens.
func (s *streamTiming) gap() time.Duration {
	gaps := s.gaps
	if s.isGapReported || len(gaps) < minGaps {
		return 0
	}
	s.isGapReported = true
	slices.Sort(gaps)
	return gaps[(len(gaps)-1)/2]
}

// dropLast drops the gap before the final event of a stream, which may hold fewer tokens.
func (s *streamTiming) dropLast() {
	if len(s.gaps) > 0 && !s.isGapReported {
		s.gaps = s.gaps[:len(s.gaps)-1]
	}
}

// newPace returns the report of the stream of an exchange that only one runner has run, and false
// for others.
func (x *exchange) newPace() (residency.Pace, bool) {
	if x.route.Kind != site.KindStream || x.attempts != 1 || x.handover.IsContinued() || x.row.Model == "" {
		return residency.Pace{}, false
	}
	return residency.Pace{Service: x.row.Service, Model: x.row.Model, Instance: string(x.timing.runner)}, true
}

// reportGap queues the timing of a running stream for the next report.
func (x *exchange) reportGap() {
	pace, isReportable := x.newPace()
	if !isReportable {
		return
	}
	pace.IsUnderWay = true
	pace.Gap = x.timing.gap()
	x.router.addPace(pace)
}

// reportPace queues the timing of a finished stream for the next report.
func (x *exchange) reportPace(ended result) {
	pace, isReportable := x.newPace()
	if !isReportable {
		return
	}
	pace.Paused = x.route.MaxPause > 0 && x.timing.pause > x.route.MaxPause
	pace.First = x.timing.first()
	pace.IsLate = x.route.Objective > 0 && pace.First > x.route.Objective
	if x.waiter != nil {
		pace.Prompt = x.request.Size.Uncached(x.waiter.cachedParts)
	}
	if ended.isServed() {
		pace.Events = x.timing.events
		x.timing.dropLast()
	}
	pace.Gap = x.timing.gap()
	x.router.addPace(pace)
}
