package poison

import (
	"bytes"
	"maps"
	"slices"
	"time"
)

const (
	// minLosses is the number of losses at which a request must have been in flight to become a
	// suspect. Harmless requests that share runners with a crashing one rarely reach it.
	minLosses = 3
	// refuteAfter is how long after the report of a loss a heartbeat shows that the runner is
	// alive. It exceeds the delay of late heartbeats.
	refuteAfter = 4 * time.Second
	// lossTTL is how long a loss counts: longer than callers repeat a failed request, but short
	// enough that unrelated losses don't add up.
	lossTTL = time.Hour
	// maxLosses and maxDigests bound the memory for losses to a few MiB. The oldest losses are
	// evicted.
	maxLosses  = 256
	maxDigests = 1024
	// maxSuspects bounds the number of suspects.
	maxSuspects = 1024
	// trialTimeout ends a trial without a report. It is longer than callers wait for an answer.
	trialTimeout = time.Minute
	// retryDelay is when the caller of a request that has to wait for another trial may retry:
	// about the duration of a short answer.
	retryDelay = time.Second
	// minRefusal is how long a request is refused after its runner was lost in a trial. Each
	// further time is refusalGrowth times as long, up to maxRefusal, which allows at most three
	// trials in the first day.
	minRefusal    = time.Hour
	refusalGrowth = 6
	maxRefusal    = 24 * time.Hour
	// partTrials is the number of trials that must lose their runners before a part of prompts is refused for the first time:
	// many sound requests may share it, and a runner may be lost under one of them by chance.
	partTrials = 2
	// minPartRefusal is how long a part is refused for the first time, and minFirstPartRefusal a first part, which the most
	// requests share. It is short, so that a sound part that was unlucky is soon cleared by another trial. The next refusals
	// last minRefusal and maxRefusal.
	minPartRefusal      = 10 * time.Second
	minFirstPartRefusal = 3 * time.Second
	// judgeDelay is how long after the first report of a loss the trial of a part there is judged: all routers have told then
	// what else was in flight.
	judgeDelay = 100 * time.Millisecond
	// singleFirst is how long a request with several suspects waits after the last of them was listed, so that requests with some
	// of them can arrive and be tried first.
	singleFirst = time.Second
	// maxInconclusivePartTrials is how many inconclusive trials in a row a part of prompts may have before it is refused for
	// a moment.
	maxInconclusivePartTrials = 3
	// minInconclusiveRefusal is how long a request is refused after an inconclusive trial, in which
	// the caller disconnected or timed out. It doubles each time. After the first trial that a full
	// runner rejected, the refusal is only retryDelay.
	minInconclusiveRefusal = 30 * time.Second
)

// Tracker combines the reports of losses. Create one with New.
type Tracker struct {
	losses map[string]*loss
	// counts maps a request to the number of losses at which it was in flight.
	counts   map[Digest]int
	suspects map[Digest]*suspect
	trials   map[Digest]trial
	// waiting are the suspects of requests that wait for a trial.
	waiting  waitingSets
	revision uint64
	records  []Record
}

// loss is the loss of one runner, with the requests in flight.
type loss struct {
	at      time.Time
	digests map[Digest]bool
}

// suspect is a request that was in flight at minLosses losses or more.
type suspect struct {
	// observedAt is when it was last part of a loss, or recalled, and listedAt when it became a suspect.
	observedAt time.Time
	listedAt   time.Time
	// losses is the highest count of its losses.
	losses int
	// isPart is set for a part of prompts, isFirstPart if it was the first one in its latest trial.
	isPart      bool
	isFirstPart bool
	// hasFailed is set once a trial about it has lost its runner, rather than one about another suspect of the same request.
	hasFailed bool
	// isRecalled is set for suspects of the former leader, whose losses are unknown.
	isRecalled bool
	// refusals counts the trials that lost their runner, inconclusiveTrials the inconclusive ones.
	refusals           int
	inconclusiveTrials int
	// refusedUntil is the end of its refusal, trialLosses the runners that were lost in its trials since the last refusal for
	// that.
	refusedUntil time.Time
	trialLosses  []string
}

func (s *suspect) isRefused(now time.Time) bool { return now.Before(s.refusedUntil) }

// neededTrials returns the number of trials that must lose their runners before the suspect is refused.
func (s *suspect) neededTrials() int {
	if s.isPart && s.refusals == 0 {
		return partTrials
	}
	return 1
}

// refusalTime returns the duration of the suspect's latest refusal after a trial.
func (s *suspect) refusalTime() time.Duration {
	switch {
	case !s.isPart:
		return refusalTime(s.refusals)
	case s.refusals <= 1 && s.isFirstPart:
		return minFirstPartRefusal
	case s.refusals <= 1:
		return minPartRefusal
	case s.refusals == 2:
		return minRefusal
	}
	return maxRefusal
}

// New returns an empty tracker.
func New() *Tracker {
	return &Tracker{
		losses: make(map[string]*loss), counts: make(map[Digest]int), suspects: make(map[Digest]*suspect), trials: make(map[Digest]trial),
		waiting: make(waitingSets),
	}
}

// RestoreSuspects restores the records of the former leader. Refusals start again, since their elapsed time
// is unknown.
func (t *Tracker) RestoreSuspects(now time.Time, records []Record) {
	for _, record := range records {
		recalled := &suspect{
			observedAt: now, listedAt: now, losses: record.Losses, isRecalled: true, refusals: record.Refusals, isPart: record.IsPart,
		}
		if record.RefusedFor > 0 {
			recalled.refusedUntil = now.Add(record.RefusedFor)
		}
		t.suspects[record.Digest] = recalled
		t.revision++
	}
}

// Observe records a router's report. It reports whether the loss is new.
func (t *Tracker) Observe(now time.Time, report Report) bool {
	known := t.losses[report.Instance]
	isNew := known == nil
	if isNew {
		t.evictLoss()
		known = &loss{at: now, digests: make(map[Digest]bool)}
		t.losses[report.Instance] = known
	}
	for _, digest := range report.Digests {
		t.addLoss(now, known, report.Instance, digest, false)
	}
	for _, digest := range report.Parts {
		t.addLoss(now, known, report.Instance, digest, true)
	}
	return isNew
}

// addLoss counts a loss for one request or part.
func (t *Tracker) addLoss(now time.Time, lost *loss, instance string, digest Digest, isPart bool) {
	if lost.digests[digest] || len(lost.digests) >= maxDigests {
		return
	}
	lost.digests[digest] = true
	t.counts[digest]++
	t.updateSuspect(now, digest, isPart)
	t.noteTrialLoss(now, digest, instance)
}

// evictLoss deletes the oldest loss if there are too many.
func (t *Tracker) evictLoss() {
	if len(t.losses) < maxLosses {
		return
	}
	oldest := ""
	for instance, each := range t.losses {
		if oldest == "" || each.at.Before(t.losses[oldest].at) || each.at.Equal(t.losses[oldest].at) && instance < oldest {
			oldest = instance
		}
	}
	t.deleteLoss(oldest)
}

// deleteLoss deletes a loss.
func (t *Tracker) deleteLoss(instance string) {
	for digest := range t.losses[instance].digests {
		t.counts[digest]--
		if t.counts[digest] == 0 {
			delete(t.counts, digest)
		}
	}
	delete(t.losses, instance)
}

// updateSuspect updates a suspect after a further loss, or adds the request as one.
func (t *Tracker) updateSuspect(now time.Time, digest Digest, isPart bool) {
	count := t.counts[digest]
	known := t.suspects[digest]
	switch {
	case known != nil && count > 0:
		known.observedAt, known.losses = now, max(known.losses, count)
	case known == nil && count >= minLosses && len(t.suspects) < maxSuspects:
		t.suspects[digest] = &suspect{observedAt: now, listedAt: now, losses: count, isPart: isPart}
		t.recordChange(digest)
	}
}

// refusalTime returns the duration of a request's nth refusal.
func refusalTime(refusals int) time.Duration {
	length := minRefusal
	for range refusals - 1 {
		if length >= maxRefusal {
			break
		}
		length *= refusalGrowth
	}
	return min(length, maxRefusal)
}

// ObserveHeartbeat records a new heartbeat of a runner. It reports whether the heartbeat refutes its loss.
func (t *Tracker) ObserveHeartbeat(now time.Time, instance string) bool {
	known := t.losses[instance]
	if known == nil || now.Sub(known.at) < refuteAfter {
		return false
	}
	t.Refute(now, instance)
	return true
}

// Refute discards the loss of a runner that was not lost.
func (t *Tracker) Refute(now time.Time, instance string) {
	known := t.losses[instance]
	if known == nil {
		return
	}
	t.deleteLoss(instance)
	for digest := range known.digests {
		t.revertLoss(now, digest, instance)
	}
}

// revertLoss reverts the effects of a discarded loss on a request.
func (t *Tracker) revertLoss(now time.Time, digest Digest, instance string) {
	found := t.suspects[digest]
	if found == nil {
		return
	}
	if at := slices.Index(found.trialLosses, instance); at >= 0 {
		found.trialLosses = slices.Delete(found.trialLosses, at, at+1)
		if !found.refusedUntil.IsZero() {
			found.refusedUntil = time.Time{}
			found.refusals = max(0, found.refusals-1)
			t.recordChange(digest)
		}
	}
	if t.counts[digest] < minLosses && !found.isRecalled && !found.isRefused(now) {
		t.removeSuspect(digest)
	}
}

// Ended records the outcome of an execution that did not lose its runner. The end of a trial that another one has followed is
// ignored.
func (t *Tracker) Ended(now time.Time, ending Ending) {
	switch {
	case ending.How == Succeeded:
		t.clearRequest(ending.Digest)
		return
	case !t.trials[ending.Digest].isEndedBy(ending):
		return
	}
	switch ending.How {
	case Inconclusive:
		t.endInconclusive(now, ending.Digest, 1)
	case Rejected:
		t.endInconclusive(now, ending.Digest, 0)
	case NotSent:
		delete(t.trials, ending.Digest)
	}
}

// clearRequest removes a request from all losses and suspects after a successful execution.
func (t *Tracker) clearRequest(digest Digest) {
	for _, each := range t.losses {
		delete(each.digests, digest)
	}
	delete(t.counts, digest)
	delete(t.trials, digest)
	if t.suspects[digest] != nil {
		t.removeSuspect(digest)
	}
}

func (t *Tracker) removeSuspect(digest Digest) {
	delete(t.suspects, digest)
	delete(t.trials, digest)
	t.revision++
	t.records = append(t.records, Record{Digest: digest, IsCleared: true})
}

// CancelTrials cancels the reported trials at a runner that had announced that it leaves.
func (t *Tracker) CancelTrials(report Report) {
	for _, digest := range report.Digests {
		if t.trials[digest].instance == report.Instance {
			delete(t.trials, digest)
		}
	}
}

// maxDoublings bounds refusals after inconclusive trials to about an hour.
const maxDoublings = 7

// Expire deletes expired losses and suspects, and ends overdue trials and refusals.
func (t *Tracker) Expire(now time.Time) {
	for digest, each := range t.trials {
		switch {
		case !each.lostAt.IsZero():
			if now.Sub(each.lostAt) >= judgeDelay {
				t.judgeTrial(now, digest)
			}
		case now.Sub(each.at) > trialTimeout:
			t.endInconclusive(now, digest, 1)
		}
	}
	for instance, each := range t.losses {
		if now.Sub(each.at) > lossTTL {
			t.deleteLoss(instance)
		}
	}
	t.waiting.expire(now)
	for digest, each := range t.suspects {
		switch {
		case each.isRefused(now):
		case each.refusedUntil.IsZero() && now.Sub(each.observedAt) > lossTTL:
			t.removeSuspect(digest)
		case !each.refusedUntil.IsZero():
			each.observedAt, each.refusedUntil, each.trialLosses = now, time.Time{}, nil
			t.recordChange(digest)
		}
	}
}

func (t *Tracker) recordChange(digest Digest) {
	t.revision++
	known := t.suspects[digest]
	record := Record{Digest: digest, Losses: known.losses, Refusals: known.refusals, IsPart: known.isPart}
	switch {
	case known.refusedUntil.IsZero():
	case len(known.trialLosses) >= 1 && known.refusals > 0:
		record.RefusedFor = known.refusalTime()
	case known.isPart:
		record.RefusedFor = retryDelay
	default:
		record.RefusedFor = minInconclusiveRefusal
	}
	t.records = append(t.records, record)
}

// TakeRecords returns and clears the changes to be replicated for later leaders.
func (t *Tracker) TakeRecords() []Record {
	taken := t.records
	t.records = nil
	return taken
}

// Revision returns the revision of the list.
func (t *Tracker) Revision() uint64 { return t.revision }

// Counts returns the number of suspects and how many of them are refused.
func (t *Tracker) Counts(now time.Time) (suspects, refused int) {
	for _, each := range t.suspects {
		if each.isRefused(now) {
			refused++
		}
	}
	return len(t.suspects), refused
}

// List returns the suspects for routers, sorted by digest.
func (t *Tracker) List(now time.Time) List {
	listed := List{Revision: t.revision}
	for _, digest := range slices.SortedFunc(maps.Keys(t.suspects), func(a, b Digest) int { return bytes.Compare(a[:], b[:]) }) {
		entry := Entry{Digest: digest}
		if known := t.suspects[digest]; known.isRefused(now) {
			entry.RefusedFor = known.refusedUntil.Sub(now)
		}
		listed.Entries = append(listed.Entries, entry)
	}
	return listed
}
