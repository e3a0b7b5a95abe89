package zonewatch

import (
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

const (
	// minRetryInterval is the initial time between two probes of an unreachable zone. It doubles up to
	// maxRetryInterval.
	minRetryInterval = 150 * time.Millisecond
	maxRetryInterval = 500 * time.Millisecond
	// confirmInterval separates the successful connects that a zone needs to become reachable, and
	// minConfirms is their initial number.
	confirmInterval = 60 * time.Millisecond
	minConfirms     = 2
	// maxConfirms bounds that number, which doubles with each loss within flapWindow after a recovery.
	maxConfirms = 8
	flapWindow  = 10 * time.Second
)

// zone is the state of one zone.
type zone struct {
	id structs.ZoneID
	// ids and leaving list the runners that are not leaving and those that are, sorted. A leader marks
	// all runners of a lost zone as leaving.
	ids     []structs.RunnerID
	leaving []structs.RunnerID
	// open counts the open requests; silentSince is since when nothing was received although there was
	// one.
	open        int
	silentSince time.Time
	// heardAt is when a request of the zone last received data.
	heardAt time.Time
	// refutations counts refuted suspicions; quick responses decrement it.
	refutations int
	refutedAt   time.Time
	// suspicion is the active one; nil for none.
	suspicion *suspicion
	// isLost is set while the zone is unreachable. The retry fields below are used only then.
	isLost        bool
	returnedAt    time.Time
	retryInterval time.Duration
	retryAt       time.Time
	// retryNumber is the number of the retry in flight; 0 for none.
	retryNumber uint64
	confirmed   int
	// confirms is the number of consecutive successful connects needed to become reachable.
	confirms int
}

// suspicion is a suspected zone loss that is being checked.
type suspicion struct {
	number uint64
	cause  Cause
	began  time.Time
	// pending counts the probes without an outcome, and remaining lists the runners to probe once
	// all of them have failed.
	pending   int
	remaining []structs.RunnerID
	asked     int
	// needed is the number of probes that must fail.
	needed int
}

// ask returns probes of the next remaining runners, at most count.
func (z *zone) ask(count int) []Probe {
	count = min(count, len(z.suspicion.remaining))
	probes := make([]Probe, 0, count)
	for _, id := range z.suspicion.remaining[:count] {
		probes = append(probes, Probe{z.id, id, z.suspicion.number})
	}
	z.suspicion.remaining = z.suspicion.remaining[count:]
	z.suspicion.pending = count
	z.suspicion.asked += count
	return probes
}

// refute ends a suspicion that was wrong.
func (z *zone) refute(now time.Time) {
	z.suspicion = nil
	z.refutations = min(maxRefutations, z.refutations+1)
	z.refutedAt = now
}

// markLost marks the zone as unreachable.
func (z *zone) markLost(now time.Time) Change {
	change := Change{
		Zone: z.id, IsLost: true, Cause: z.suspicion.cause, After: now.Sub(z.suspicion.began),
		Runners: z.suspicion.asked, Open: z.open,
	}
	z.suspicion = nil
	z.isLost = true
	z.retryInterval, z.retryAt = minRetryInterval, now.Add(minRetryInterval)
	z.retryNumber, z.confirmed = 0, 0
	if !z.returnedAt.IsZero() && now.Sub(z.returnedAt) < flapWindow {
		z.confirms = min(maxConfirms, 2*z.confirms)
	} else {
		z.confirms = minConfirms
	}
	return change
}

// retried records the outcome of a retry of an unreachable zone.
func (z *zone) retried(now time.Time, probe Probe, outcome Outcome) []Change {
	if z.retryNumber == 0 || z.retryNumber != probe.number {
		return nil
	}
	z.retryNumber = 0
	switch outcome {
	case OutcomeAnswered:
	case OutcomeUnknown:
		z.retryAt = now.Add(z.retryInterval)
		return nil
	default:
		z.confirmed = 0
		z.retryInterval = min(maxRetryInterval, 2*z.retryInterval)
		z.retryAt = now.Add(z.retryInterval)
		return nil
	}
	z.confirmed++
	if z.confirmed < z.confirms {
		z.retryAt = now.Add(confirmInterval)
		return nil
	}
	z.isLost = false
	z.returnedAt, z.silentSince = now, now
	z.refutations = 0
	return []Change{{Zone: z.id, Runners: z.confirmed, Open: z.open}}
}

// isSilent reports whether requests are open and nothing was received for too long.
func (z *zone) isSilent(now time.Time) bool {
	limit := z.silenceLimit()
	return z.open > 0 && now.Sub(z.silentSince) >= limit && now.Sub(z.refutedAt) >= limit
}

// silenceLimit returns how long the zone may be silent.
func (z *zone) silenceLimit() time.Duration { return silenceTimeout << z.refutations }
