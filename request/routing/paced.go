package routing

import (
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

// SetPaced says whether a runner is paced, as it is cold or names a rate limit. It is chosen only with a token then:
// what many routers would send to it by its slots is more than it bears.
func (b *Balancer) SetPaced(id structs.RunnerID, isCold, isLimited bool) {
	if target := b.runners[id]; target != nil {
		target.paced, target.limited = isCold || isLimited, isLimited
	}
}

// GiveTokens takes tokens for a paced runner, each for one request that is sent before DropTokens is called.
func (b *Balancer) GiveTokens(id structs.RunnerID, tokens int) {
	if target := b.runners[id]; target != nil && tokens > 0 {
		target.tokens = tokens
		b.withTokens = append(b.withTokens, target)
	}
}

// DropTokens gives up the tokens that were not used.
func (b *Balancer) DropTokens() {
	for _, target := range b.withTokens {
		target.tokens = 0
	}
	clear(b.withTokens)
	b.withTokens = b.withTokens[:0]
}

// Paced lists the paced runners that a request of the row could get if there were a token for it.
func (b *Balancer) Paced(now time.Time, name structs.RowName) []structs.RunnerID {
	wanted := b.rows[name]
	if wanted == nil {
		return nil
	}
	var listed []structs.RunnerID
	for _, candidate := range wanted.subset {
		target := candidate.runner
		if !target.paced || target.leaving || target.failing || target.mayTake() || b.zones.outOfReach[target.info.Zone] {
			continue
		}
		if candidate.rest.isOn(now) || !target.asked.allows(now) || !target.hasRoom(now, &b.options) || !target.breaker.allows(now) || !candidate.breaker.allows(now) {
			continue
		}
		listed = append(listed, target.info.ID)
	}
	return listed
}

// unheardTime is after how long without an answer of a runner that names a limit a token for it is used by the next
// request, whatever others are expected to take: answers tell whether its limit is over, and a runner that others can
// stand in for would be asked by chance only. It costs one request in so long at most what another runner saves it. Cold
// runners tell themselves when they are warm, and stay the last to be chosen.
const unheardTime = 2 * time.Second

// unheard returns a replica at a runner that names a limit, has not answered for unheardTime, and for which there is a
// token; nil for none.
func (b *Balancer) unheard(now time.Time, wanted *row, work *Work) *replica {
	if len(b.withTokens) == 0 {
		return nil
	}
	for _, candidate := range wanted.subset {
		target := candidate.runner
		if target.limited && target.tokens > 0 && now.Sub(target.answeredAt) >= unheardTime && b.usable(now, candidate, work) {
			return candidate
		}
	}
	return nil
}

// mayTake reports whether the runner is not paced, or there is a token for a request to it.
func (r *runner) mayTake() bool { return !r.paced || r.tokens > 0 }

// useToken counts a request that is sent to a paced runner.
func (r *runner) useToken() {
	if r.paced && r.tokens > 0 {
		r.tokens--
	}
}
