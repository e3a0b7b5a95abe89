package zonewatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

const (
	// silenceTimeout is how long a zone with open requests may be silent before it is suspected.
	// Stream events arrive every 40 ms or so, and the first event of a single request usually within
	// 150 ms. A wrong suspicion costs a few connects.
	silenceTimeout = 200 * time.Millisecond
	// maxRefutations bounds how often silenceTimeout doubles: once per refuted suspicion. It is halved
	// when a zone responds in less than half of the time. So zones with slow answers are not probed five
	// times a second.
	maxRefutations = 3
	// probeCount is the number of runners probed when a zone is suspected. At a packet loss of 2.5% a
	// connect fails in 5 of 100 cases, and three together in 1 of 8,000.
	probeCount = 3
	// refusedProbeCount is the number of probes that must fail if some were refused, which usually means
	// a crashed process on a reachable machine. If a quarter of all runners crash, three refuse in 1 of 64
	// cases and eight in 1 of 65,000. Refusals arrive at once, so the probes cost no time.
	refusedProbeCount = 8
	// minRunners is the minimum number of runners to tell a lost zone from a dead runner.
	minRunners = 2
)

// Cause is the reason why a zone was suspected.
type Cause string

// Causes of suspicions.
const (
	CauseConnect Cause = "a connect failed"
	CauseSilence Cause = "open requests are silent"
	CauseOther   Cause = "another zone is out of reach"
	CauseLeader  Cause = "the leader is silent"
)

// Probe asks the caller to connect to a runner and to pass the outcome to Watch.Probed.
type Probe struct {
	Zone   structs.ZoneID
	Runner structs.RunnerID
	// number identifies the suspicion or retry that the probe belongs to.
	number uint64
}

// Outcome is the result of a Probe.
type Outcome uint8

// Outcomes of a Probe.
const (
	// OutcomeAnswered means that the runner accepted the connection.
	OutcomeAnswered Outcome = iota + 1
	// OutcomeFailed means that there was no answer in time.
	OutcomeFailed
	// OutcomeRefused means that the connection was refused.
	OutcomeRefused
	// OutcomeUnknown means that the router itself was delayed, so that nothing was learned.
	OutcomeUnknown
)

// Change reports that a zone became unreachable or reachable again.
type Change struct {
	Zone   structs.ZoneID
	IsLost bool
	// Cause and After describe the suspicion: its reason and its age. Both are empty for a zone that
	// is reachable again.
	Cause Cause
	After time.Duration
	// Runners counts the runners that were probed without success, or that answered.
	Runners int
	// Open counts the open requests of the zone.
	Open int
}

// ConnectFailed records a failed connect to a runner. It returns the probes to make in the runner's
// zone.
func (w *Watch) ConnectFailed(now time.Time, id structs.RunnerID) []Probe {
	known := w.runners[id]
	if known == nil {
		return nil
	}
	return w.suspect(now, known.zone, CauseConnect, id)
}

// LeaderSilent records that the leader has been silent for longer than usual. This router may be partitioned
// and have too few requests to notice. It returns probes for all zones that were not heard from just now.
func (w *Watch) LeaderSilent(now time.Time) []Probe {
	var probes []Probe
	for _, each := range w.sortedZones() {
		if now.Sub(each.heardAt) >= silenceTimeout {
			probes = append(probes, w.suspect(now, each, CauseLeader, "")...)
		}
	}
	return probes
}

// suspect starts a suspicion unless one is active. The runner that raised it is probed only if there
// are too few others.
func (w *Watch) suspect(now time.Time, suspected *zone, cause Cause, raisedBy structs.RunnerID) []Probe {
	if suspected.isLost || suspected.suspicion != nil || len(suspected.ids) < minRunners {
		return nil
	}
	ids := slices.Clone(suspected.ids)
	w.random.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	// Probe the runners heard from last first, as they are the most likely to be alive.
	slices.SortStableFunc(ids, func(a, b structs.RunnerID) int {
		return cmp.Or(cmp.Compare(lastRank(a == raisedBy), lastRank(b == raisedBy)), w.runners[b].heardAt.Compare(w.runners[a].heardAt))
	})
	ids = ids[:min(refusedProbeCount, len(ids))]
	w.lastNumber++
	suspected.suspicion = &suspicion{number: w.lastNumber, cause: cause, began: now, remaining: ids, needed: probeCount}
	if cause == CauseSilence || cause == CauseLeader {
		// Most silences have other causes, which a single answer shows at a third of the cost.
		return suspected.ask(1)
	}
	return suspected.ask(probeCount)
}

func lastRank(isLast bool) int {
	if isLast {
		return 1
	}
	return 0
}

// Probed records the outcome of a Probe. It returns the changes and further probes.
func (w *Watch) Probed(now time.Time, probe Probe, outcome Outcome) (changes []Change, probes []Probe) {
	asked := w.zones[probe.Zone]
	switch {
	case asked == nil:
		return nil, nil
	case asked.isLost:
		return asked.retried(now, probe, outcome), nil
	case asked.suspicion == nil || asked.suspicion.number != probe.number:
		return nil, nil
	case outcome == OutcomeAnswered || outcome == OutcomeUnknown:
		asked.refute(now)
		return nil, nil
	case outcome == OutcomeRefused:
		asked.suspicion.needed = refusedProbeCount
	}
	asked.suspicion.pending--
	if asked.suspicion.pending > 0 {
		return nil, nil
	}
	if more := asked.suspicion.needed - asked.suspicion.asked; more > 0 && len(asked.suspicion.remaining) > 0 {
		return nil, asked.ask(more)
	}
	if !w.isOtherReachable(asked) {
		// A router that reaches no other zone has no alternative and keeps using this one.
		asked.suspicion = nil
		asked.refutations = min(maxRefutations, asked.refutations+1)
		return nil, nil
	}
	changes = []Change{asked.markLost(now)}
	for _, other := range w.sortedZones() {
		if other != asked {
			probes = append(probes, w.suspect(now, other, CauseOther, "")...)
		}
	}
	return changes, probes
}

// isOtherReachable reports whether any zone except the given one is reachable.
func (w *Watch) isOtherReachable(except *zone) bool {
	for _, other := range w.zones {
		if other != except && !other.isLost && len(other.ids) > 0 {
			return true
		}
	}
	return false
}

// Step returns the probes that are due. It should be called several times per silenceTimeout.
func (w *Watch) Step(now time.Time) []Probe {
	var probes []Probe
	for _, each := range w.sortedZones() {
		switch {
		case each.isLost:
			if probe, isDue := w.retryProbe(now, each); isDue {
				probes = append(probes, probe)
			}
		case each.isSilent(now):
			probes = append(probes, w.suspect(now, each, CauseSilence, "")...)
		}
	}
	return probes
}

// retryProbe returns a probe of an unreachable zone if one is due. The interval is randomized, so that
// routers do not probe at the same time.
func (w *Watch) retryProbe(now time.Time, lost *zone) (Probe, bool) {
	ids := lost.ids
	if len(ids) == 0 {
		ids = lost.leaving
	}
	if lost.retryNumber != 0 || now.Before(lost.retryAt) || len(ids) == 0 {
		return Probe{}, false
	}
	if spread := time.Duration(w.random.Int64N(int64(minRetryInterval))); lost.confirmed == 0 && now.Before(lost.retryAt.Add(spread)) {
		return Probe{}, false
	}
	w.lastNumber++
	lost.retryNumber = w.lastNumber
	return Probe{lost.id, ids[w.random.IntN(len(ids))], w.lastNumber}, true
}
