package simulate

import (
	"time"

	"github.com/lotusferry/lotusferry/request/answerstore"
	"github.com/lotusferry/lotusferry/request/router"
	"github.com/lotusferry/lotusferry/structs"
)

const (
	// answerStoreBytes exceeds what a router stores in a run.
	answerStoreBytes = 64 << 20
	// minAnswerSync and maxAnswerSync bound the time until an answer is on a
	// router's disk.
	minAnswerSync = 2 * time.Millisecond
	maxAnswerSync = 15 * time.Millisecond
	// fetchTimeout bounds fetching an answer from another router, as in the daemon.
	fetchTimeout = time.Second
	// lateResend bounds the time from the end of an answer to a resend of the
	// request.
	lateResend = 5 * time.Second
)

// routerDisk is the state that survives a restart of a router: its stored answers.
type routerDisk struct {
	store answerstore.Store
	// number distinguishes the disks of a router.
	number int
}

// replaceDisk replaces the router's disk by an empty one.
func (h *routerHost) replaceDisk() {
	h.disk = routerDisk{store: answerstore.NewMemory(answerStoreBytes), number: h.disk.number + 1}
}

// keepAnswer stores an answer and calls saved once it is on disk, unless the process
// has ended by then.
func (h *routerHost) keepAnswer(effect router.FinishClaim, saved func()) {
	if len(effect.Answer) == 0 {
		saved()
		return
	}
	answer := answerstore.Answer{Key: effect.Claim.Key, Request: effect.ID, Data: effect.Answer, ExpiresAt: effect.Claim.ExpiresAt}
	h.fresh[answer.Key] = answer
	h.site.records.answerHeld(h, effect)
	h.site.scheduler.After(h.site.between(minAnswerSync, maxAnswerSync), h.ifSameProcess(func() {
		if err := h.disk.store.Put(answer, h.site.now()); err != nil {
			h.site.judge.Report(checkerShell, "an answer cannot be kept: %v", err)
		}
		h.site.records.answerSaved(h, effect)
		saved()
	}))
}

// findAnswer returns the answer that this router process finds under the key, or
// nil.
func (h *routerHost) findAnswer(claim structs.Claim) []byte {
	answer, found := h.fresh[claim.Key]
	if !found && !h.site.mutated(mutationForgetDisk) {
		answer, found = h.disk.store.Get(claim.Key, h.site.now())
	}
	if !found || claim.State == structs.ClaimHeld && answer.Request != claim.Request {
		return nil
	}
	return answer.Data
}

// fetchAnswer requests the answer from the claim's holder.
func (h *routerHost) fetchAnswer(effect router.FetchAnswer) {
	fetched := router.AnswerFetched{ID: effect.ID}
	if h.site.mutated(mutationNoAsk) && effect.Claim.State == structs.ClaimHeld {
		h.site.scheduler.After(maxCommitDelay, h.ifSameProcess(func() { h.step(fetched) }))
		return
	}
	holder := h.site.routerNamed(effect.Claim.Holder)
	if holder == h {
		fetched.Answer = h.findAnswer(effect.Claim)
		h.site.scheduler.After(minCommitDelay, h.ifSameProcess(func() { h.step(fetched) }))
		return
	}
	done := false
	reply := func(answer []byte, unreachable bool) {
		if !done && h.core != nil {
			done = true
			fetched.Answer, fetched.Unreachable = answer, unreachable
			h.step(fetched)
		}
	}
	failed := h.ifSameProcess(func() { reply(nil, true) })
	h.site.scheduler.After(fetchTimeout, failed)
	running := func() bool { return holder.core != nil }
	h.site.dial(h.address(), holder.address(), running, func(link *connection) {
		link.down.end.receive = func(message any) { h.ifSameProcess(func() { reply(message.([]byte), false) })() }
		link.up.end.receive = func(any) {
			if holder.core != nil {
				link.down.send(holder.findAnswer(effect.Claim))
			}
		}
		link.up.send(effect.Claim.Key)
	}, failed)
}

// answerEnded triggers an armed FaultKeeperDies or FaultKeeperDiskLost once the
// zone's log has the end of the answer: the router dies before its caller resends
// the request.
func (h *routerHost) answerEnded(id structs.RequestID) {
	if h.crashAtFinish == "" {
		return
	}
	h.site.counts.Requests.KeepersDied++
	if h.crashAtFinish == FaultKeeperDiskLost {
		h.replaceDisk()
	}
	h.crashAtFinish = ""
	caller := h.site.records.origin[id].caller
	h.crash(false)
	h.site.scheduler.After(h.site.between(time.Millisecond, lateResend), caller.resendAfterEnd)
}

// resendAfterEnd resends the request after its complete answer, to a router of any
// zone, as a caller that lost the answer does.
func (c *requestCaller) resendAfterEnd() {
	chosen := c.site.routers[c.site.random.IntN(len(c.site.routers))]
	if c.gone || len(c.submissions) >= submissionLimit || !chosen.listening() || chosen.drain {
		return
	}
	c.send(chosen).afterEnd = true
}
