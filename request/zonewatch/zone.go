package zonewatch

import (
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

const (
	// firstRetry is the time between two tries of a zone that is out of reach, at first, and
	// lastRetry the longest, to which it doubles: a zone that is back is used within a second.
	firstRetry = 150 * time.Millisecond
	lastRetry  = 500 * time.Millisecond
	// confirmPause separates the answered connects that a zone needs to be used again, and
	// leastConfirms is their number at first.
	confirmPause  = 60 * time.Millisecond
	leastConfirms = 2
	// maxConfirms bounds that number, which doubles with each loss within calmTime after a
	// return: a zone that comes and goes is left alone for half a second more at most.
	maxConfirms = 8
	calmTime    = 10 * time.Second
)

// zone is what is known of one zone.
type zone struct {
	id structs.ZoneID
	// ids lists its runners that are not leaving, sorted, and leaving the others: a leader calls all
	// of a lost zone leaving.
	ids     []structs.RunnerID
	leaving []structs.RunnerID
	// open counts requests under way; quietSince is since when nothing was heard though there
	// was one.
	open       int
	quietSince time.Time
	// heardAt is when a request there last got something.
	heardAt time.Time
	// refuted counts suspicions that proved wrong, less those for which it was quick again.
	refuted   int
	refutedAt time.Time
	// round is the suspicion being settled; nil for none.
	round *round
	// isLost is set while the zone is out of reach; the fields below count only then.
	isLost     bool
	returnedAt time.Time
	retry      time.Duration
	retryAt    time.Time
	// trying is the number of the try under way; 0 for none.
	trying    uint64
	confirmed int
	// confirms is how many answered connects in a row the zone needs to be used again.
	confirms int
}

// round is one suspicion being settled.
type round struct {
	number uint64
	cause  Cause
	began  time.Time
	// open counts those asked that have not said anything yet, and waiting are those to be asked
	// once they have all failed.
	open    int
	waiting []structs.RunnerID
	asked   int
	// needed is how many must have failed.
	needed int
}

// ask asks the next runners of the round, as many of them as there are.
func (z *zone) ask(count int) []Probe {
	count = min(count, len(z.round.waiting))
	probes := make([]Probe, 0, count)
	for _, id := range z.round.waiting[:count] {
		probes = append(probes, Probe{z.id, id, z.round.number})
	}
	z.round.waiting = z.round.waiting[count:]
	z.round.open = count
	z.round.asked += count
	return probes
}

// refute ends a suspicion that was wrong.
func (z *zone) refute(now time.Time) {
	z.round = nil
	z.refuted = min(maxRefuted, z.refuted+1)
	z.refutedAt = now
}

// lose takes the zone as out of reach.
func (z *zone) lose(now time.Time) Change {
	change := Change{
		Zone: z.id, IsLost: true, Cause: z.round.cause, After: now.Sub(z.round.began),
		Runners: z.round.asked, Open: z.open,
	}
	z.round = nil
	z.isLost = true
	z.retry, z.retryAt = firstRetry, now.Add(firstRetry)
	z.trying, z.confirmed = 0, 0
	if !z.returnedAt.IsZero() && now.Sub(z.returnedAt) < calmTime {
		z.confirms = min(maxConfirms, 2*z.confirms)
	} else {
		z.confirms = leastConfirms
	}
	return change
}

// retried takes the outcome of a try of a zone that is out of reach.
func (z *zone) retried(now time.Time, probe Probe, outcome Outcome) []Change {
	if z.trying == 0 || z.trying != probe.number {
		return nil
	}
	z.trying = 0
	switch outcome {
	case OutcomeAnswered:
	case OutcomeUnknown:
		z.retryAt = now.Add(z.retry)
		return nil
	default:
		z.confirmed = 0
		z.retry = min(lastRetry, 2*z.retry)
		z.retryAt = now.Add(z.retry)
		return nil
	}
	z.confirmed++
	if z.confirmed < z.confirms {
		z.retryAt = now.Add(confirmPause)
		return nil
	}
	z.isLost = false
	z.returnedAt, z.quietSince = now, now
	z.refuted = 0
	return []Change{{Zone: z.id, Runners: z.confirmed, Open: z.open}}
}

// isSilent reports whether requests are under way and nothing has been heard for too long.
func (z *zone) isSilent(now time.Time) bool {
	patience := z.patience()
	return z.open > 0 && now.Sub(z.quietSince) >= patience && now.Sub(z.refutedAt) >= patience
}

// patience is how long nothing may be heard from the zone.
func (z *zone) patience() time.Duration { return silentAfter << z.refuted }
