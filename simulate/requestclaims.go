package simulate

import (
	"time"

	"github.com/lotusferry/lotusferry/router"
	"github.com/lotusferry/lotusferry/structs"
	"github.com/lotusferry/lotusferry/zone"
)

const (
	// claimCallTimeout bounds holding a claim, claimResend separates the tries.
	claimCallTimeout = 4 * time.Second
	claimResend      = 500 * time.Millisecond
)

// beginClaim holds the claim in the log of the key's home zone; a try without an
// answer is resent.
func (h *routerHost) beginClaim(effect router.BeginClaim) {
	claim := effect.Claim
	done := false
	reply := h.once(&done, effect.ID)
	if h.site.mutated(mutationNoClaim) {
		h.site.scheduler.After(commitMost, h.inLife(func() { reply(router.ClaimReplied{Claim: &claim, New: true}) }))
		return
	}
	group := h.site.groups[claim.Home]
	unavailable := structs.NewError(structs.ErrorUnavailable, "the home zone does not answer", "Come back.")
	if !h.canReach(group) {
		h.site.scheduler.After(dialTimeout, h.inLife(func() { reply(router.ClaimReplied{Error: unavailable, NotAsked: true}) }))
		return
	}
	begin := &zone.ClaimBeginCommand{
		Key: claim.Key, Request: claim.Request, Digest: claim.Digest, Holder: claim.Holder, Session: claim.Session,
		Attempt: effect.Choice, Runner: claim.Runner, Incarnation: claim.Incarnation,
		Address: claim.Address, EngineRequest: claim.EngineRequest, HolderAddress: claim.HolderAddress,
	}
	h.claims[effect.ID] = claim.Home
	h.propose(group, zone.ClaimOperation{Begin: begin}, &done, func(result zone.Result) {
		if result.Claim != nil && (result.Claim.Request != effect.ID || result.Claim.HeldBy() != claim.HeldBy()) {
			delete(h.claims, effect.ID)
		}
		reply(router.ClaimReplied{Claim: result.Claim, New: result.ClaimNew, Error: result.Error})
	})
	h.site.scheduler.After(claimCallTimeout, h.inLife(func() { reply(router.ClaimReplied{Error: unavailable}) }))
}

// once returns a function that hands the first of several answers to the core.
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

func (h *routerHost) canReach(group *zoneGroup) bool {
	network := h.site.network
	return network.Reachable(h.address(), group.address()) && network.Reachable(group.address(), h.address())
}

// finishClaim keeps the answer and repeats the claim's end until the zone has it.
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
	h.propose(h.site.groups[claim.Home], zone.ClaimOperation{Finish: finish}, &done, func(zone.Result) {
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

// propose sends an operation to a zone's group again and again until done is set
// or this life of the router is over. A try that a cut holds up arrives later.
func (h *routerHost) propose(group *zoneGroup, operation zone.ClaimOperation, done *bool, answer func(zone.Result)) {
	var try func()
	try = func() {
		if *done {
			return
		}
		link := newConnection(h.site.network, h.address(), group.address())
		life := h.life
		link.down.end.receive = func(message any) {
			if h.core != nil && h.life == life {
				answer(message.(zone.Result))
			}
		}
		link.up.end.receive = func(any) {
			group.propose(operation, func(result zone.Result) { link.down.send(result) })
		}
		link.up.send(operation)
		h.site.scheduler.After(claimResend, h.inLife(try))
	}
	try()
}
