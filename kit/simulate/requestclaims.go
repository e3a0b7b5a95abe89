package simulate

import (
	"time"

	"github.com/lotusferry/lotusferry/placement/zone"
	"github.com/lotusferry/lotusferry/request/router"
	"github.com/lotusferry/lotusferry/structs"
)

const (
	// claimCallTimeout bounds the acquisition of a claim; claimResend is the retry
	// interval.
	claimCallTimeout = 4 * time.Second
	claimResend      = 500 * time.Millisecond
	// redirectPause is the pause before a router asks the next group member after
	// one that does not lead.
	redirectPause = 50 * time.Millisecond
)

// beginClaim acquires the claim in the log of the key's home zone, with retries.
func (h *routerHost) beginClaim(effect router.BeginClaim) {
	claim := effect.Claim
	done := false
	reply := h.once(&done, effect.ID)
	if h.site.mutated(mutationNoClaim) {
		h.site.scheduler.After(maxCommitDelay, h.ifSameProcess(func() { reply(router.ClaimReplied{Claim: &claim, New: true}) }))
		return
	}
	home := h.homes[claim.Home]
	unavailable := structs.NewError(structs.ErrorUnavailable, "the home zone does not answer", "Try again later.")
	if !h.canReach(home.next()) {
		h.site.scheduler.After(dialTimeout, h.ifSameProcess(func() { reply(router.ClaimReplied{Error: unavailable, NotAsked: true}) }))
		return
	}
	begin := &zone.ClaimBeginCommand{
		Key: claim.Key, Request: claim.Request, Digest: claim.Digest, Holder: claim.Holder, Session: claim.Session,
		Attempt: effect.Choice, Runner: claim.Runner, Incarnation: claim.Incarnation,
		Address: claim.Address, EngineRequest: claim.EngineRequest, HolderAddress: claim.HolderAddress,
	}
	h.claims[effect.ID] = claim.Home
	h.propose(home, zone.ClaimOperation{Begin: begin}, &done, func(result zone.Result) {
		if result.Claim != nil && (result.Claim.Request != effect.ID || result.Claim.HeldBy() != claim.HeldBy()) {
			delete(h.claims, effect.ID)
		}
		reply(router.ClaimReplied{Claim: result.Claim, New: result.ClaimNew, Error: result.Error})
	})
	h.site.scheduler.After(claimCallTimeout, h.ifSameProcess(func() { reply(router.ClaimReplied{Error: unavailable}) }))
}

// once returns a function that passes only the first of several answers to the core.
func (h *routerHost) once(done *bool, id structs.RequestID) func(router.ClaimReplied) {
	return func(replied router.ClaimReplied) {
		if *done {
			return
		}
		*done = true
		replied.ID = id
		h.step(replied)
	}
}

func (h *routerHost) canReach(member groupMember) bool {
	network := h.site.network
	return network.Reachable(h.address(), member.address()) && network.Reachable(member.address(), h.address())
}

// finishClaim stores the answer and sends the end of the claim until the zone has
// it.
func (h *routerHost) finishClaim(effect router.FinishClaim) {
	h.finishing++
	h.keepAnswer(effect, func() { h.recordEnd(effect) })
}

func (h *routerHost) recordEnd(effect router.FinishClaim) {
	claim := effect.Claim
	done := false
	finish := &zone.ClaimFinishCommand{
		Key: claim.Key, Request: claim.Request, State: claim.State, NotRun: claim.State == structs.ClaimReleased,
		AnswerBytes: claim.Answer.Bytes, AnswerHash: claim.Answer.Hash, ExpiresAt: claim.ExpiresAt,
	}
	h.propose(h.homes[claim.Home], zone.ClaimOperation{Finish: finish}, &done, func(zone.Result) {
		if !done {
			done = true
			h.finishing--
			delete(h.claims, effect.ID)
			if claim.State == structs.ClaimFinished {
				h.answerEnded(effect.ID)
			}
			h.stopWhenIdle()
		}
	})
}

// propose sends an operation to a zone's group repeatedly until done is set or the
// router's process ends. An attempt delayed by a cut arrives later.
func (h *routerHost) propose(home homeGroup, operation zone.ClaimOperation, done *bool, answer func(zone.Result)) {
	if *done {
		return
	}
	member := home.next()
	again := func() { h.propose(home, operation, done, answer) }
	redirected := false
	link := newConnection(h.site.network, h.address(), member.address())
	life := h.life
	link.down.end.receive = func(message any) {
		result := message.(zone.Result)
		switch {
		case h.core == nil || h.life != life:
		case result.Error != nil && result.Error.Kind == structs.ErrorNotLeader:
			redirected = true
			home.failed(member)
			h.site.scheduler.After(redirectPause, h.ifSameProcess(again))
		default:
			answer(result)
		}
	}
	link.up.end.receive = func(any) {
		member.propose(operation, func(result zone.Result) { link.down.send(result) })
	}
	link.up.send(operation)
	h.site.scheduler.After(claimResend, h.ifSameProcess(func() {
		if !redirected && !*done {
			home.failed(member)
			again()
		}
	}))
}
