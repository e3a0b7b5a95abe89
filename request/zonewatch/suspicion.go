package zonewatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

const (
	// silentAfter is how long nothing may be heard from a zone with open requests before it is
	// suspected. Events of streams come every 40 ms or so, and a request that is the only one of
	// its zone has its first event within 150 ms as a rule; a suspicion that proves wrong costs
	// three connects.
	silentAfter = 200 * time.Millisecond
	// maxRefuted bounds how often silentAfter doubles: once with each suspicion that proved wrong, and
	// back as soon as a zone is heard of in less than half of the time. Zones whose answers take long
	// are not asked five times a second.
	maxRefuted = 3
	// witnesses is how many runners are asked when a zone is suspected. On a link that loses
	// 2.5% of the packets a connect fails in 5 of 100 cases within a few times its usual time, and
	// three together in 1 of 8,000.
	witnesses = 3
	// refusedWitnesses is how many must have refused a connect where some did: a refusal comes from a
	// machine in reach as a rule, of which the process has died. When a quarter of all runners crashes
	// at once, three refuse in 1 of 64 cases, eight in 1 of 65,000; it costs no time, as refusals come at once.
	refusedWitnesses = 8
	// leastWitnesses is how many runners a zone must have to be told from a single dead one.
	leastWitnesses = 2
)

// Cause is why a zone was suspected.
type Cause string

// The causes.
const (
	CauseConnect Cause = "a connect failed"
	CauseSilence Cause = "open requests are silent"
	CauseOther   Cause = "another zone is out of reach"
	CauseLeader  Cause = "the leader is silent"
)

// Probe asks the caller to connect to a runner and to pass the outcome to Probed.
type Probe struct {
	Zone   structs.ZoneID
	Runner structs.RunnerID
	// number is that of the suspicion, or of the try, which the probe is for.
	number uint64
}

// Outcome is how a Probe ended.
type Outcome uint8

// The outcomes.
const (
	// OutcomeAnswered: the runner took the connection.
	OutcomeAnswered Outcome = iota + 1
	// OutcomeFailed: it said nothing in time.
	OutcomeFailed
	// OutcomeRefused: the connection was refused.
	OutcomeRefused
	// OutcomeUnknown: the router itself was late, so that nothing was learned.
	OutcomeUnknown
)

// Change is a zone that got out of reach, or is reached again.
type Change struct {
	Zone   structs.ZoneID
	IsLost bool
	// Cause and After are those of the suspicion: how long ago it arose. Both are empty for a
	// zone that is reached again.
	Cause Cause
	After time.Duration
	// Runners counts those that were asked in vain, or that answered.
	Runners int
	// Open counts the requests under way there.
	Open int
}

// ConnectFailed notes that a runner could not be connected to. It returns the runners to ask about
// the zone.
func (w *Watch) ConnectFailed(now time.Time, id structs.RunnerID) []Probe {
	known := w.runners[id]
	if known == nil {
		return nil
	}
	return w.suspect(now, known.zone, CauseConnect, id)
}

// LeaderSilent notes that the leader has not been heard for longer than usual: this router may be in a part
// of the site that is cut off, and send so little elsewhere that its requests do not tell. It returns the
// runners to ask, of zones that were not heard of just now.
func (w *Watch) LeaderSilent(now time.Time) []Probe {
	var probes []Probe
	for _, each := range w.sorted() {
		if now.Sub(each.heardAt) >= silentAfter {
			probes = append(probes, w.suspect(now, each, CauseLeader, "")...)
		}
	}
	return probes
}

// suspect begins a round, unless one is under way. The runner that raised the suspicion is not asked
// if there are others enough.
func (w *Watch) suspect(now time.Time, suspected *zone, cause Cause, raisedBy structs.RunnerID) []Probe {
	if suspected.isLost || suspected.round != nil || len(suspected.ids) < leastWitnesses {
		return nil
	}
	ids := slices.Clone(suspected.ids)
	w.random.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	// Whoever was heard last is the most likely to be alive.
	slices.SortStableFunc(ids, func(a, b structs.RunnerID) int {
		return cmp.Or(cmp.Compare(order(a == raisedBy), order(b == raisedBy)), w.runners[b].heardAt.Compare(w.runners[a].heardAt))
	})
	ids = ids[:min(refusedWitnesses, len(ids))]
	w.lastNumber++
	suspected.round = &round{number: w.lastNumber, cause: cause, began: now, waiting: ids, needed: witnesses}
	if cause == CauseSilence || cause == CauseLeader {
		// Most silences have other causes: one runner that answers tells so at a third of the cost.
		return suspected.ask(1)
	}
	return suspected.ask(witnesses)
}

func order(isLast bool) int {
	if isLast {
		return 1
	}
	return 0
}

// Probed takes the outcome of a Probe. It returns what has changed, and more runners to ask.
func (w *Watch) Probed(now time.Time, probe Probe, outcome Outcome) (changes []Change, probes []Probe) {
	asked := w.zones[probe.Zone]
	switch {
	case asked == nil:
		return nil, nil
	case asked.isLost:
		return asked.retried(now, probe, outcome), nil
	case asked.round == nil || asked.round.number != probe.number:
		return nil, nil
	case outcome == OutcomeAnswered || outcome == OutcomeUnknown:
		asked.refute(now)
		return nil, nil
	case outcome == OutcomeRefused:
		asked.round.needed = refusedWitnesses
	}
	asked.round.open--
	if asked.round.open > 0 {
		return nil, nil
	}
	if more := asked.round.needed - asked.round.asked; more > 0 && len(asked.round.waiting) > 0 {
		return nil, asked.ask(more)
	}
	if !w.isElsewhereReached(asked) {
		// A router that reaches nobody at all goes on as it was: there is nothing that it could do better.
		asked.round = nil
		asked.refuted = min(maxRefuted, asked.refuted+1)
		return nil, nil
	}
	changes = []Change{asked.lose(now)}
	for _, other := range w.sorted() {
		if other != asked {
			probes = append(probes, w.suspect(now, other, CauseOther, "")...)
		}
	}
	return changes, probes
}

// isElsewhereReached reports whether another zone is not lost.
func (w *Watch) isElsewhereReached(but *zone) bool {
	for _, other := range w.zones {
		if other != but && !other.isLost && len(other.ids) > 0 {
			return true
		}
	}
	return false
}

// Step looks at the time: it returns the runners to ask now. It is to be called a few times in
// silentAfter.
func (w *Watch) Step(now time.Time) []Probe {
	var probes []Probe
	for _, each := range w.sorted() {
		switch {
		case each.isLost:
			if probe, isDue := w.tryAgain(now, each); isDue {
				probes = append(probes, probe)
			}
		case each.isSilent(now):
			probes = append(probes, w.suspect(now, each, CauseSilence, "")...)
		}
	}
	return probes
}

// tryAgain picks a runner of a zone that is out of reach, if it is time to. The time between two
// tries is spread, so that routers do not try together.
func (w *Watch) tryAgain(now time.Time, lost *zone) (Probe, bool) {
	ids := lost.ids
	if len(ids) == 0 {
		ids = lost.leaving
	}
	if lost.trying != 0 || now.Before(lost.retryAt) || len(ids) == 0 {
		return Probe{}, false
	}
	if spread := time.Duration(w.random.Int64N(int64(firstRetry))); lost.confirmed == 0 && now.Before(lost.retryAt.Add(spread)) {
		return Probe{}, false
	}
	w.lastNumber++
	lost.trying = w.lastNumber
	return Probe{lost.id, ids[w.random.IntN(len(ids))], w.lastNumber}, true
}
