package router

import (
	"fmt"
	"time"

	"github.com/lotusferry/lotusferry/request/routing"
	"github.com/lotusferry/lotusferry/structs"
)

// unreachableKeeperRetry is when a caller may ask again for an answer whose router
// does not answer: it may be restarting.
const unreachableKeeperRetry = 5 * time.Second

// claim is the request's claim as it stands.
func (c *Core) claim(held *request) structs.Claim {
	claim := structs.Claim{
		Key:           claimKey(held.Request),
		Request:       held.ID,
		Digest:        RequestDigest(held.Request),
		Home:          HomeZone(c.options.Zones, held.IdempotencyKey),
		Holder:        c.options.Daemon,
		Session:       c.options.Session,
		HolderAddress: c.options.Address,
		State:         structs.ClaimHeld,
		ExpiresAt:     c.now.Add(c.options.AnswerLife),
	}
	switch held.phase {
	case phaseBinding:
		nameEngine(&claim, held, held.attemptID(held.attempts+1))
	case phaseRunning, phaseAsking:
		nameEngine(&claim, held, held.attempt)
	}
	return claim
}

// nameEngine names the chosen engine and the attempt that it is or will be sent.
func nameEngine(claim *structs.Claim, held *request, attempt AttemptID) {
	claim.Choice = held.choices
	claim.Runner = held.choice.Runner()
	claim.Incarnation = held.choice.Incarnation()
	claim.Address = held.choice.Address()
	claim.EngineRequest = structs.RequestID(attempt)
}

// claimReplied goes on with a request whose claim was decided.
func (c *Core) claimReplied(event ClaimReplied) {
	held := c.requests[event.ID]
	if held == nil {
		c.releaseOrphan(event.ID)
		return
	}
	if held.phase != phaseClaiming && held.phase != phaseBinding {
		return
	}
	switch {
	case event.NotAsked:
		c.claimNotAsked(held, event.Error)
	case event.Error != nil:
		c.claimFailed(held, event.Error)
	case event.Claim == nil:
		c.claimFailed(held, nil)
	case event.New || c.holds(held, event.Claim):
		held.claimHeld = true
		c.claimed(held, event.Claim)
	default:
		held.claimHeld = false
		c.answerFromClaim(held, event.Claim)
	}
}

// holds reports whether the record says that this very request, in this router and
// life of it, holds its key.
func (c *Core) holds(held *request, claim *structs.Claim) bool {
	own := structs.ClaimHolder{Daemon: c.options.Daemon, Session: c.options.Session}
	return claim != nil && claim.State == structs.ClaimHeld && claim.Request == held.ID && claim.HeldBy() == own
}

// claimed goes on with a request that holds its key. A late answer that does not
// name the reserved replica answers an earlier BeginClaim. After its deadline a
// request is not sent: engines forget that they refused an ID long ago.
func (c *Core) claimed(held *request, claim *structs.Claim) {
	if held.expired(c.now) {
		held.phase = c.withoutOutstandingClaim(held)
		c.expire(held)
		return
	}
	if held.phase == phaseClaiming {
		c.admit(held)
		return
	}
	if claim.Runner == held.choice.Runner() && claim.Incarnation == held.choice.Incarnation() {
		c.send(held)
	}
}

// claimNotAsked ends a request whose home zone cannot be reached. Only a claim
// that the zone granted before has to be released.
func (c *Core) claimNotAsked(held *request, problem *structs.Error) {
	held.phase = c.withoutOutstandingClaim(held)
	home := HomeZone(c.options.Zones, held.IdempotencyKey)
	estimate := MinimumRetryAfter
	if problem != nil {
		estimate = max(estimate, problem.RetryAfter)
	}
	remedy := "Come back after the time given with the same key."
	if home != c.options.Zone {
		remedy += fmt.Sprintf(" A new request may start its key with %q instead.", string(c.options.Zone)+keySeparator)
	}
	c.refuse(held, structs.ErrorUnavailable, fmt.Sprintf("zone %s, the home of the key, cannot be reached from zone %s", home, c.options.Zone),
		remedy, estimate)
}

// claimFailed ends a request whose claim could not be decided. The zone may have
// recorded it all the same, so it is released.
func (c *Core) claimFailed(held *request, problem *structs.Error) {
	held.claimHeld = true
	held.phase = c.withoutOutstandingClaim(held)
	estimate := held.row.estimator.Service(held.MaxTokens)
	if problem != nil && problem.RetryAfter > 0 {
		estimate = problem.RetryAfter
	}
	switch structs.KindOf(asError(problem)) {
	case structs.ErrorInvalid:
		c.refuseAs(held, *problem, never)
	case structs.ErrorOverloaded:
		c.refuseAs(held, *problem, estimate)
	default:
		c.refuse(held, structs.ErrorUnavailable, "the request's key could not be claimed in its home zone",
			"Come back after the time given with the same key.", estimate)
	}
}

// asError keeps a missing problem a nil error.
func asError(problem *structs.Error) error {
	if problem == nil {
		return nil
	}
	return problem
}

// beginClaim asks for the claim, with the reserved replica if there is one.
func (c *Core) beginClaim(held *request) {
	if held.phase == phaseBinding {
		held.choices++
	}
	claim := c.claim(held)
	if held.claimHeld {
		// The zone knows it from the first one.
		claim.HolderAddress = ""
	}
	c.emit(BeginClaim{ID: held.ID, Claim: claim, Choice: claim.Choice})
}

// claimWithRunner claims the key with the runner named at once, which saves an entry
// of the zone's log, if a replica is free for the request. It reports whether it did.
func (c *Core) claimWithRunner(held *request) bool {
	situation := c.situation(held.row, held.Request)
	inTime := held.row.estimator.Finish(situation) < held.DeadlineAt.Sub(c.now)
	if !inTime || held.row.waiting() > 0 {
		return false
	}
	choice, free := c.balancer.Pick(c.now, held.row.Name, held.prefixHashes(), held.avoid)
	if !free {
		return false
	}
	if _, ok := c.takeTokens(held); !ok {
		return false
	}
	held.queuedAt = c.now
	held.estimated = held.row.estimator.Start(situation)
	held.row.estimator.ObserveArrival(c.now, held.Priority)
	held.row.turns = max(held.row.turns, c.rowTurns)
	held.row.countTurn()
	held.row.estimator.ObserveTurn(c.now, false)
	c.begin(held, choice)
	return true
}

// withoutOutstandingClaim returns the phase of a request whose BeginClaim has
// been answered: a reserved replica is given back.
func (c *Core) withoutOutstandingClaim(held *request) phase {
	if held.phase == phaseBinding {
		c.endAttempt(held, routing.OutcomeNeutral)
	}
	return phaseBackoff
}

// answerFromClaim ends a request whose key is someone else's.
func (c *Core) answerFromClaim(held *request, claim *structs.Claim) {
	held.phase = c.withoutOutstandingClaim(held)
	if claim.Digest != RequestDigest(held.Request) {
		c.refuse(held, structs.ErrorInvalid, "the key was used for another request", "Use a new key for a new request.", never)
		return
	}
	switch claim.State {
	case structs.ClaimFinished:
		held.done = true
		c.fetchAnswer(held, claim)
	case structs.ClaimHeld:
		held.uncertain = true
		c.fetchAnswer(held, claim)
	case structs.ClaimReleased:
		c.refuse(held, structs.ErrorUnavailable, "the claim on this key has just been released",
			"Come back after the time given with the same key.", 0)
	default:
		held.uncertain = true
		c.refuseUnknown(held, "it cannot be known whether the request with this key ran")
	}
}

// fetchAnswer asks the router that executes or executed the request with the key for
// its answer. Of a request that the zone still holds as in progress the router may
// have the whole answer already: its caller had the last token before the zone could
// record the end.
func (c *Core) fetchAnswer(held *request, claim *structs.Claim) {
	held.claim = claim
	if claim.Holder == "" || claim.HolderAddress == "" && claim.Holder != c.options.Daemon {
		c.refuseUnfetched(held, false)
		return
	}
	held.phase = phaseFetching
	c.emit(FetchAnswer{ID: held.ID, Claim: *claim})
}

// answerFetched ends a request with the answer under its key, if that is the one
// which the claim is of.
func (c *Core) answerFetched(event AnswerFetched) {
	held := c.requests[event.ID]
	if held == nil || held.phase != phaseFetching {
		return
	}
	kept := len(event.Answer) > 0 && !event.Unreachable
	if held.claim.State == structs.ClaimFinished && MarkAnswer(event.Answer) != held.claim.Answer && c.mutation != mutationReplayAny {
		kept = false
	}
	if !kept {
		c.refuseUnfetched(held, event.Unreachable)
		return
	}
	c.stats.Replayed++
	c.release(held)
	if !held.gone {
		c.emit(Replay{ID: held.ID, Answer: event.Answer})
	}
}

// refuseUnfetched ends a request whose key is another's and whose answer was not
// had from the router that executes or executed it. It does not run again.
func (c *Core) refuseUnfetched(held *request, unreachable bool) {
	const sameKey = "Come back after the time given with the same key."
	switch {
	case held.claim.State == structs.ClaimHeld:
		c.refuse(held, structs.ErrorConflict, "a request with this key is in progress", sameKey,
			held.row.estimator.Service(held.MaxTokens))
	case unreachable:
		c.refuse(held, structs.ErrorConflict, "the request with this key ran, and the router that keeps its answer does not answer",
			sameKey, unreachableKeeperRetry)
	default:
		c.refuse(held, structs.ErrorConflict, "the request with this key ran, and its answer is no longer kept",
			"Use the answer that was given before, or send the request with a new key to run it again.", never)
	}
}

// finishClaim keeps the whole answer and records that there is one.
func (c *Core) finishClaim(held *request, reason structs.FinishReason) {
	if held.Repeatable() {
		return
	}
	claim := c.claim(held)
	answer, err := EncodeAnswer(Answer{Text: string(held.answer), Tokens: held.delivered, Finish: reason})
	claim.State = structs.ClaimFinished
	claim.Answer = MarkAnswer(answer)
	if err != nil || c.mutation == mutationForgetAnswer {
		claim.State = structs.ClaimUnknown
		claim.Answer = structs.AnswerMark{}
		answer = nil
	}
	c.emit(FinishClaim{ID: held.ID, Claim: claim, Answer: answer})
}

// endClaim ends the claim of a request without a whole answer. While a
// BeginClaim is unanswered, the release waits for its answer.
func (c *Core) endClaim(held *request, execution structs.Execution) {
	if held.Repeatable() {
		return
	}
	claim := c.claim(held)
	claim.State = structs.ClaimUnknown
	if execution == structs.ExecutionNotRun {
		claim.State = structs.ClaimReleased
	}
	if held.phase == phaseClaiming || held.phase == phaseBinding {
		c.orphans[held.ID] = claim
		return
	}
	if held.claimHeld {
		c.emit(FinishClaim{ID: held.ID, Claim: claim})
	}
}

// releaseOrphan releases a claim that was decided after its request had ended.
func (c *Core) releaseOrphan(id structs.RequestID) {
	claim, found := c.orphans[id]
	if !found {
		return
	}
	delete(c.orphans, id)
	if c.mutation == mutationLeakClaim {
		return
	}
	c.emit(FinishClaim{ID: id, Claim: claim})
}
