package routing

import (
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

// SetPaced says whether a runner is paced, as it is cold or names a rate limit. It is chosen only with a token then:
// what many routers would send to it by its slots is more than it bears.
func (b *Balancer) SetPaced(id structs.RunnerID, isPaced bool) {
	if target := b.runners[id]; target != nil {
		target.paced = isPaced
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
		if candidate.rest.isOn(now) || !target.hasRoom(now, &b.options) || !target.breaker.allows(now) || !candidate.breaker.allows(now) {
			continue
		}
		listed = append(listed, target.info.ID)
	}
	return listed
}

// mayTake reports whether the runner is not paced, or there is a token for a request to it.
func (r *runner) mayTake() bool { return !r.paced || r.tokens > 0 }

// useToken counts a request that is sent to a paced runner.
func (r *runner) useToken() {
	if r.paced && r.tokens > 0 {
		r.tokens--
	}
}
