package router

import (
	"fmt"
	"time"

	"github.com/lotusferry/lotusferry/request/routing"
	"github.com/lotusferry/lotusferry/structs"
)

// unreachableHolderRetry is the RetryAfter when the router that holds the answer does not
// respond; it may be restarting.
const unreachableHolderRetry = 5 * time.Second

// claim returns the current claim of the request.
func (c *Core) claim(req *request) structs.Claim {
	claim := structs.Claim{
		Key:           claimKey(req.Request),
		Request:       req.ID,
		Digest:        RequestDigest(req.Request),
		Home:          HomeZone(c.options.Zones, req.IdempotencyKey),
		Holder:        c.options.Daemon,
		Session:       c.options.Session,
		HolderAddress: c.options.Address,
		State:         structs.ClaimHeld,
		ExpiresAt:     c.now.Add(c.options.AnswerTTL),
	}
	switch req.phase {
	case phaseBinding:
		setEngine(&claim, req, req.attemptID(req.attempts+1))
	case phaseRunning, phaseCheckingStatus:
		setEngine(&claim, req, req.attempt)
	}
	return claim
}

// setEngine records the chosen engine and the ID of its attempt in the claim.
func setEngine(claim *structs.Claim, req *request, attempt AttemptID) {
	claim.Choice = req.choices
	claim.Runner = req.choice.Runner()
	claim.Incarnation = req.choice.Incarnation()
	claim.Address = req.choice.Address()
	claim.EngineRequest = structs.RequestID(attempt)
}

// claimReplied continues a request with the result of its claim.
func (c *Core) claimReplied(event ClaimReplied) {
	req := c.requests[event.ID]
	if req == nil {
		c.finishOrphanedClaim(event.ID)
		return
	}
	if req.phase != phaseClaiming && req.phase != phaseBinding {
		return
	}
	switch {
	case event.NotAsked:
		c.claimNotAsked(req, event.Error)
	case event.Error != nil:
		c.claimFailed(req, event.Error)
	case event.Claim == nil:
		c.claimFailed(req, nil)
	case event.New || c.ownsClaim(req, event.Claim):
		req.claimHeld = true
		c.claimGranted(req, event.Claim)
	default:
		req.claimHeld = false
		c.answerFromClaim(req, event.Claim)
	}
}

// ownsClaim reports whether the claim is held by this request in the current incarnation of
// this router.
func (c *Core) ownsClaim(req *request, claim *structs.Claim) bool {
	own := structs.ClaimHolder{Daemon: c.options.Daemon, Session: c.options.Session}
	return claim != nil && claim.State == structs.ClaimHeld && claim.Request == req.ID && claim.HeldBy() == own
}

// claimGranted continues a request that holds its key. A reply that does not name the
// reserved replica belongs to an earlier BeginClaim and is ignored. An expired request is
// not sent, because engines remember rejected IDs only for a limited time.
func (c *Core) claimGranted(req *request, claim *structs.Claim) {
	if req.expired(c.now) {
		req.phase = c.releaseReservation(req)
		c.expire(req)
		return
	}
	if req.phase == phaseClaiming {
		c.admit(req)
		return
	}
	if claim.Runner == req.choice.Runner() && claim.Incarnation == req.choice.Incarnation() {
		c.send(req)
	}
}

// claimNotAsked rejects a request whose home zone is unreachable. Its claim is released
// only if the zone granted it before.
func (c *Core) claimNotAsked(req *request, problem *structs.Error) {
	req.phase = c.releaseReservation(req)
	home := HomeZone(c.options.Zones, req.IdempotencyKey)
	estimate := MinRetryAfter
	if problem != nil {
		estimate = max(estimate, problem.RetryAfter)
	}
	remedy := "Retry after the given delay with the same key."
	if home != c.options.Zone {
		remedy += fmt.Sprintf(" A new request may start its key with %q instead.", string(c.options.Zone)+keySeparator)
	}
	c.reject(req, structs.ErrorUnavailable, fmt.Sprintf("zone %s, the home of the key, cannot be reached from zone %s", home, c.options.Zone),
		remedy, estimate)
}

// claimFailed rejects a request whose claim was not decided. The claim is released,
// because the zone may have recorded it.
func (c *Core) claimFailed(req *request, problem *structs.Error) {
	req.claimHeld = true
	req.phase = c.releaseReservation(req)
	estimate := req.row.estimator.Service(req.MaxTokens)
	if problem != nil && problem.RetryAfter > 0 {
		estimate = problem.RetryAfter
	}
	switch structs.KindOf(asError(problem)) {
	case structs.ErrorInvalid:
		c.rejectAs(req, *problem, noRetry)
	case structs.ErrorOverloaded:
		c.rejectAs(req, *problem, estimate)
	default:
		c.reject(req, structs.ErrorUnavailable, "the idempotency key could not be claimed in its home zone",
			"Retry after the given delay with the same key.", estimate)
	}
}

// asError returns a nil error for a nil problem.
func asError(problem *structs.Error) error {
	if problem == nil {
		return nil
	}
	return problem
}

// beginClaim requests the claim, naming the reserved replica if there is one.
func (c *Core) beginClaim(req *request) {
	if req.phase == phaseBinding {
		req.choices++
	}
	claim := c.claim(req)
	if req.claimHeld {
		// The zone has recorded it from an earlier BeginClaim.
		claim.HolderAddress = ""
	}
	c.emit(BeginClaim{ID: req.ID, Claim: claim, Choice: claim.Choice})
}

// claimWithRunner claims the key and names the runner in one operation if a replica is
// free, which saves an entry in the log of the zone. It reports whether it did.
func (c *Core) claimWithRunner(req *request) bool {
	state := c.queueState(req.row, req.Request)
	inTime := req.row.estimator.Finish(state) < req.DeadlineAt.Sub(c.now)
	if !inTime || req.row.waiting() > 0 {
		return false
	}
	choice, free := c.balancer.Pick(c.now, req.row.Name, req.prefixHashes(), req.avoid)
	if !free {
		return false
	}
	if _, ok := c.takeTokens(req); !ok {
		return false
	}
	req.queuedAt = c.now
	req.estimatedWait = req.row.estimator.Start(state)
	req.row.estimator.ObserveArrival(c.now, req.Priority)
	req.row.virtualTime = max(req.row.virtualTime, c.virtualTime)
	req.row.chargeTurn()
	req.row.estimator.ObserveTurn(c.now, false)
	c.begin(req, choice)
	return true
}

// releaseReservation frees the reserved replica, if any, and returns the phase of a
// request without an unanswered BeginClaim.
func (c *Core) releaseReservation(req *request) phase {
	if req.phase == phaseBinding {
		c.endAttempt(req, routing.OutcomeNeutral)
	}
	return phaseBackoff
}

// answerFromClaim handles a request whose key is claimed by another request.
func (c *Core) answerFromClaim(req *request, claim *structs.Claim) {
	req.phase = c.releaseReservation(req)
	if claim.Digest != RequestDigest(req.Request) {
		c.reject(req, structs.ErrorInvalid, "the key was used for another request", "Use a new key for a new request.", noRetry)
		return
	}
	switch claim.State {
	case structs.ClaimFinished:
		req.completed = true
		c.fetchAnswer(req, claim)
	case structs.ClaimHeld:
		req.mayHaveRun = true
		c.fetchAnswer(req, claim)
	case structs.ClaimReleased:
		c.reject(req, structs.ErrorUnavailable, "the claim on this key has just been released",
			"Retry after the given delay with the same key.", 0)
	default:
		req.mayHaveRun = true
		c.rejectUnknown(req, "it is unknown whether the request with this key ran")
	}
}

// fetchAnswer requests the answer from the router that holds the claim. The router may
// have the answer even while the zone records the claim as held, because the last token
// is delivered before the zone records the end.
func (c *Core) fetchAnswer(req *request, claim *structs.Claim) {
	req.claim = claim
	if claim.Holder == "" || claim.HolderAddress == "" && claim.Holder != c.options.Daemon {
		c.rejectWithoutAnswer(req, false)
		return
	}
	req.phase = phaseFetching
	c.emit(FetchAnswer{ID: req.ID, Claim: *claim})
}

// answerFetched replays the fetched answer if it matches the claim.
func (c *Core) answerFetched(event AnswerFetched) {
	req := c.requests[event.ID]
	if req == nil || req.phase != phaseFetching {
		return
	}
	kept := len(event.Answer) > 0 && !event.Unreachable
	if req.claim.State == structs.ClaimFinished && MarkAnswer(event.Answer) != req.claim.Answer && c.mutation != mutationReplayAny {
		kept = false
	}
	if !kept {
		c.rejectWithoutAnswer(req, event.Unreachable)
		return
	}
	c.stats.Replayed++
	c.untrack(req)
	if !req.callerGone {
		c.emit(Replay{ID: req.ID, Answer: event.Answer})
	}
}

// rejectWithoutAnswer rejects a request whose key is claimed by another request and whose
// answer is not available. The request is not executed.
func (c *Core) rejectWithoutAnswer(req *request, unreachable bool) {
	const sameKey = "Retry after the given delay with the same key."
	switch {
	case req.claim.State == structs.ClaimHeld:
		c.reject(req, structs.ErrorConflict, "a request with this key is in progress", sameKey,
			req.row.estimator.Service(req.MaxTokens))
	case unreachable:
		c.reject(req, structs.ErrorConflict, "the request with this key ran, and the router that stores its answer does not respond",
			sameKey, unreachableHolderRetry)
	default:
		c.reject(req, structs.ErrorConflict, "the request with this key ran, and its answer is no longer kept",
			"Use the answer that was given before, or send the request with a new key to run it again.", noRetry)
	}
}

// finishClaim records the end of the claim together with the complete answer.
func (c *Core) finishClaim(req *request, reason structs.FinishReason) {
	if req.Repeatable() {
		return
	}
	claim := c.claim(req)
	answer, err := EncodeAnswer(Answer{Text: string(req.answer), Tokens: req.delivered, Finish: reason})
	claim.State = structs.ClaimFinished
	claim.Answer = MarkAnswer(answer)
	if err != nil || c.mutation == mutationDropAnswer {
		claim.State = structs.ClaimUnknown
		claim.Answer = structs.AnswerMark{}
		answer = nil
	}
	c.emit(FinishClaim{ID: req.ID, Claim: claim, Answer: answer})
}

// endClaim ends the claim of a request without a complete answer. If a BeginClaim is
// unanswered, the claim ends when its reply arrives.
func (c *Core) endClaim(req *request, execution structs.Execution) {
	if req.Repeatable() {
		return
	}
	claim := c.claim(req)
	claim.State = structs.ClaimUnknown
	if execution == structs.ExecutionNotRun {
		claim.State = structs.ClaimReleased
	}
	if req.phase == phaseClaiming || req.phase == phaseBinding {
		c.orphanedClaims[req.ID] = claim
		return
	}
	if req.claimHeld {
		c.emit(FinishClaim{ID: req.ID, Claim: claim})
	}
}

// finishOrphanedClaim ends a claim that was decided after its request had ended.
func (c *Core) finishOrphanedClaim(id structs.RequestID) {
	claim, found := c.orphanedClaims[id]
	if !found {
		return
	}
	delete(c.orphanedClaims, id)
	if c.mutation == mutationLeakClaim {
		return
	}
	c.emit(FinishClaim{ID: id, Claim: claim})
}
