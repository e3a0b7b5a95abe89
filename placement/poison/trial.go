package poison

import (
	"slices"
	"time"
)

// trial is one execution of a suspect.
type trial struct {
	// asker identifies the attempt that may execute it.
	asker    string
	instance string
	at       time.Time
	// digests are those of the request's content and of the parts of its prompt.
	digests []Digest
	// lostAt is when the loss of the runner was reported; zero while it was not.
	lostAt time.Time
}

// isEndedBy reports whether an ending is that of the trial, and not of another request or of an earlier attempt.
func (t trial) isEndedBy(ending Ending) bool {
	return (ending.Instance == "" || ending.Instance == t.instance) && (ending.Asker == "" || ending.Asker == t.asker)
}

// Ask decides whether a request may be sent to a runner now, and if not, when the caller may retry. The digests are those of
// the request's content and of the parts of its prompt, in order. An asker that missed the answer may ask again. Nothing is tried at
// a runner that is believed lost: a further loss there would not be told from the known one.
func (t *Tracker) Ask(now time.Time, digests []Digest, asker, instance string) Decision {
	listed := t.listedOf(digests)
	if len(listed) == 0 {
		return Decision{Permission: Free}
	}
	subject := t.subject(now, digests)
	known := t.suspects[subject]
	switch {
	case known.isRefused(now):
		return Decision{Permission: Refused, RetryAfter: known.refusedUntil.Sub(now), Subject: subject}
	case t.losses[instance] != nil,
		t.isTriedByOther(listed, asker, instance),
		len(listed) > 1 && t.mustWaitForOthers(now, listed):
		t.waiting.add(now, listed)
		return Decision{Permission: Later, RetryAfter: retryDelay, Subject: subject}
	}
	t.waiting.remove(listed)
	t.trials[subject] = trial{asker: asker, instance: instance, at: now, digests: digests}
	return Decision{Permission: Trial, Subject: subject}
}

// listedOf returns those of the digests that are suspects.
func (t *Tracker) listedOf(digests []Digest) (listed []Digest) {
	for _, digest := range digests {
		if t.suspects[digest] != nil {
			listed = append(listed, digest)
		}
	}
	return listed
}

// mustWaitForOthers reports whether a request with the given suspects must wait, so that requests that tell more are tried first:
// those with some of its suspects only, and those with less suspicious ones beside.
func (t *Tracker) mustWaitForOthers(now time.Time, listed []Digest) bool {
	if now.Sub(t.lastListed(listed)) < singleFirst {
		return true
	}
	lost := t.mostLostTrials(listed)
	return t.waiting.has(now, func(other []Digest) bool {
		return isSubset(other, listed) || intersects(other, listed) && t.mostLostTrials(other) < lost
	})
}

// mostLostTrials returns the largest number of lost trials of one of the suspects.
func (t *Tracker) mostLostTrials(listed []Digest) (most int) {
	for _, digest := range listed {
		if known := t.suspects[digest]; known != nil {
			most = max(most, known.refusals*partTrials+len(known.trialLosses))
		}
	}
	return most
}

// isTriedByOther reports whether another request is on trial for one of the suspects, or at the same runner.
func (t *Tracker) isTriedByOther(listed []Digest, asker, instance string) bool {
	for tried, other := range t.trials {
		if other.asker != asker && (other.instance == instance || slices.Contains(listed, tried)) {
			return true
		}
	}
	return false
}

// lastListed returns when the newest suspect among the digests became one.
func (t *Tracker) lastListed(digests []Digest) (last time.Time) {
	for _, digest := range digests {
		if known := t.suspects[digest]; known != nil && known.listedAt.After(last) {
			last = known.listedAt
		}
	}
	return last
}

// subject returns the suspect that decides on a request and that a trial of it is about: one that is refused, or else the most
// suspicious one.
func (t *Tracker) subject(now time.Time, digests []Digest) (subject Digest) {
	var best suspicion
	hasAny := false
	for index, digest := range digests {
		known := t.suspects[digest]
		if known == nil {
			continue
		}
		if known.isRefused(now) {
			return digest
		}
		if found := suspicionOf(known, index); !hasAny || !found.isLess(best) {
			subject, best, hasAny = digest, found, true
		}
	}
	return subject
}

// suspicion orders the suspects of one request.
type suspicion struct {
	kind   suspectKind
	losses int
}

// suspectKind is what a suspect is in its request. Later kinds are more suspicious.
type suspectKind uint8

const (
	// wholeContent explains only that the same request was lost again.
	wholeContent suspectKind = iota
	// firstPart is shared by the most requests, and so is in flight at the most losses.
	firstPart
	laterPart
)

// firstPartIndex is the index of the first part of a prompt among the digests of a request, after that of the content.
const firstPartIndex = 1

// suspicionOf returns the suspicion against the suspect at an index of the request's digests.
func suspicionOf(known *suspect, index int) suspicion {
	found := suspicion{kind: laterPart, losses: known.losses}
	switch {
	case !known.isPart:
		found.kind = wholeContent
	case index <= firstPartIndex:
		found.kind = firstPart
	}
	return found
}

func (s suspicion) isLess(other suspicion) bool {
	return s.kind < other.kind || s.kind == other.kind && s.losses < other.losses
}

// noteTrialLoss records that the runner of a trial was lost. That of a part is judged once all routers have reported the loss.
func (t *Tracker) noteTrialLoss(now time.Time, digest Digest, instance string) {
	tried, isTried := t.trials[digest]
	known := t.suspects[digest]
	switch {
	case !isTried || tried.instance != instance || known == nil || !tried.lostAt.IsZero():
	case known.isPart:
		tried.lostAt = now
		t.trials[digest] = tried
	default:
		t.failTrial(now, digest, instance)
	}
}

// judgeTrial ends the trial of a part whose runner was lost. It counts against the part unless another suspect that was in flight
// there explains the loss as well.
func (t *Tracker) judgeTrial(now time.Time, digest Digest) {
	tried := t.trials[digest]
	lost, known := t.losses[tried.instance], t.suspects[digest]
	if lost == nil {
		// The loss was refuted.
		delete(t.trials, digest)
		return
	}
	for other := range lost.digests {
		rival := t.suspects[other]
		if rival == nil || !rival.isPart || other == digest {
			continue
		}
		isMoreSuspicious := rival.losses >= known.losses && !slices.Contains(tried.digests, other)
		if isMoreSuspicious || rival.isRefused(now) {
			delete(t.trials, digest)
			return
		}
	}
	t.failTrial(now, digest, tried.instance)
}

// failTrial ends a trial at the lost runner, and refuses suspects with enough lost trials. The loss counts against the suspect that
// was on trial. If that is not the first part of the prompt, it also counts against that one: it may be the bad one, but the
// others were more suspicious.
func (t *Tracker) failTrial(now time.Time, digest Digest, instance string) {
	tried := t.trials[digest]
	delete(t.trials, digest)
	if first := tried.firstPart(); first != digest && t.suspects[digest].isPart && t.isOpen(first) {
		t.suspects[first].isFirstPart = true
		t.noteLostTrial(now, first, instance)
	}
	known := t.suspects[digest]
	known.isFirstPart = tried.firstPart() == digest
	known.hasFailed = true
	t.noteLostTrial(now, digest, instance)
}

// firstPart returns the first part of the prompt of the request on trial; the zero digest if it has none.
func (t trial) firstPart() Digest {
	if len(t.digests) <= firstPartIndex {
		return Digest{}
	}
	return t.digests[firstPartIndex]
}

// isOpen reports whether the digest is a suspect that is not refused.
func (t *Tracker) isOpen(digest Digest) bool {
	known := t.suspects[digest]
	return known != nil && known.refusedUntil.IsZero()
}

// noteLostTrial counts a lost trial against a suspect, and refuses it if it has enough of them.
func (t *Tracker) noteLostTrial(now time.Time, digest Digest, instance string) {
	known := t.suspects[digest]
	known.inconclusiveTrials = 0
	known.trialLosses = append(known.trialLosses, instance)
	if !known.hasFailed || len(known.trialLosses) < known.neededTrials() {
		return
	}
	known.refusals++
	known.refusedUntil = now.Add(known.refusalTime())
	t.recordChange(digest)
	if known.isPart {
		t.excuseOthers(digest)
	}
}

// excuseOthers discards the lost trials of other suspects that the refused one explains, as it was in flight there. One that was
// refused for these alone is tried again once the other one is refused for the second time.
func (t *Tracker) excuseOthers(refused Digest) {
	isConfirmed := t.suspects[refused].refusals > 1
	isExplained := func(instance string) bool {
		lost := t.losses[instance]
		return lost != nil && lost.digests[refused]
	}
	for digest, other := range t.suspects {
		isOpen := other.refusedUntil.IsZero()
		if digest == refused || !other.isPart || !isOpen && (!isConfirmed || other.refusals > 1) {
			continue
		}
		other.trialLosses = slices.DeleteFunc(other.trialLosses, isExplained)
		if !isOpen && len(other.trialLosses) == 0 {
			other.refusals, other.refusedUntil = 0, time.Time{}
			t.recordChange(digest)
		}
	}
}

// endInconclusive ends a trial that was inconclusive. The refusal is at least as long as after
// atLeast earlier inconclusive trials.
func (t *Tracker) endInconclusive(now time.Time, digest Digest, atLeast int) {
	if _, isTried := t.trials[digest]; !isTried {
		return
	}
	delete(t.trials, digest)
	known := t.suspects[digest]
	if known.isPart {
		t.endInconclusivePart(now, digest, known)
		return
	}
	before := max(known.inconclusiveTrials, atLeast)
	known.refusedUntil = now.Add(inconclusiveRefusalTime(before))
	known.inconclusiveTrials = before + 1
	t.recordChange(digest)
}

// endInconclusivePart ends an inconclusive trial of a part of prompts. Sound requests that share it must not wait for the
// caller of one of them that left, so that it is refused only after several in a row.
func (t *Tracker) endInconclusivePart(now time.Time, digest Digest, known *suspect) {
	known.inconclusiveTrials++
	if excess := known.inconclusiveTrials - maxInconclusivePartTrials; excess >= 0 {
		known.refusedUntil = now.Add(retryDelay << min(excess, maxDoublings))
		t.recordChange(digest)
	}
}

// inconclusiveRefusalTime returns the duration of the refusal after an inconclusive trial that had
// the given number of such trials before it.
func inconclusiveRefusalTime(before int) time.Duration {
	if before == 0 {
		return retryDelay
	}
	return minInconclusiveRefusal << min(before-1, maxDoublings)
}
