package simulate

import (
	"time"

	"github.com/lotusferry/lotusferry/request/answerstore"
	"github.com/lotusferry/lotusferry/request/router"
	"github.com/lotusferry/lotusferry/structs"
)

const (
	// answerStoreBytes is more than a router keeps in a run.
	answerStoreBytes = 64 << 20
	// syncLeast and syncMost bound the time until an answer is on a router's disk.
	syncLeast = 2 * time.Millisecond
	syncMost  = 15 * time.Millisecond
	// fetchTimeout bounds asking another router for an answer, as in the daemon.
	fetchTimeout = time.Second
	// lateResend bounds how long after the end of its answer a caller sends a request again.
	lateResend = 5 * time.Second
)

// routerDisk is what outlasts a router's process: the answers that it keeps.
type routerDisk struct {
	store answerstore.Store
	// number tells the disks of a router apart.
	number int
}

// replaceDisk gives the router an empty disk.
func (h *routerHost) replaceDisk() {
	h.disk = routerDisk{store: answerstore.NewMemory(answerStoreBytes), number: h.disk.number + 1}
}

// keepAnswer takes an answer in and calls saved once it is on disk, in this life.
func (h *routerHost) keepAnswer(effect router.FinishClaim, saved func()) {
	if len(effect.Answer) == 0 {
		saved()
		return
	}
	answer := answerstore.Answer{Key: effect.Claim.Key, Request: effect.ID, Data: effect.Answer, ExpiresAt: effect.Claim.ExpiresAt}
	h.fresh[answer.Key] = answer
	h.site.records.answerHeld(h, effect)
	h.site.scheduler.After(h.site.between(syncLeast, syncMost), h.inLife(func() {
		if err := h.disk.store.Put(answer, h.site.now()); err != nil {
			h.site.judge.Report(checkerShell, "an answer cannot be kept: %v", err)
		}
		h.site.records.answerSaved(h, effect)
		saved()
	}))
}

// findAnswer returns the answer that this life of the router finds under the key.
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

// fetchAnswer asks the claim's holder for its answer.
func (h *routerHost) fetchAnswer(effect router.FetchAnswer) {
	fetched := router.AnswerFetched{ID: effect.ID}
	if h.site.mutated(mutationNoAsk) && effect.Claim.State == structs.ClaimHeld {
		h.site.scheduler.After(commitMost, h.inLife(func() { h.step(fetched) }))
		return
	}
	holder := h.site.routerNamed(effect.Claim.Holder)
	if holder == h {
		fetched.Answer = h.findAnswer(effect.Claim)
		h.site.scheduler.After(commitLeast, h.inLife(func() { h.step(fetched) }))
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
	failed := h.inLife(func() { reply(nil, true) })
	h.site.scheduler.After(fetchTimeout, failed)
	running := func() bool { return holder.core != nil }
	h.site.dial(h.address(), holder.address(), running, func(link *connection) {
		link.down.end.receive = func(message any) { h.inLife(func() { reply(message.([]byte), false) })() }
		link.up.end.receive = func(any) {
			if holder.core != nil {
				link.down.send(holder.findAnswer(effect.Claim))
			}
		}
		link.up.send(effect.Claim.Key)
	}, failed)
}

// answerEnded brings about what waits for the end of an answer in the zone's log:
// the router dies before its caller sends the request again.
func (h *routerHost) answerEnded(id structs.RequestID) {
	if h.dieAtEnd == "" {
		return
	}
	h.site.counts.Requests.KeepersDied++
	if h.dieAtEnd == FaultKeeperDiskLost {
		h.replaceDisk()
	}
	h.dieAtEnd = ""
	caller := h.site.records.origin[id].caller
	h.crash(false)
	h.site.scheduler.After(h.site.between(time.Millisecond, lateResend), caller.resendAfterEnd)
}

// resendAfterEnd sends the request again although its whole answer has come, to a
// router of any zone, as a caller does that lost the answer.
func (c *requestCaller) resendAfterEnd() {
	chosen := c.site.routers[c.site.random.IntN(len(c.site.routers))]
	if c.gone || len(c.submissions) >= submissionLimit || !chosen.listening() || chosen.drain {
		return
	}
	c.send(chosen).afterEnd = true
}
