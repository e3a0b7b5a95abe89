package routing

import (
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

// SetPaced sets whether a runner is paced, because it is cold or has a rate limit. A paced runner is chosen only with a
// token, as many routers filling its slots would overload it.
func (b *Balancer) SetPaced(id structs.RunnerID, isCold, isLimited bool) {
	if target := b.runners[id]; target != nil {
		target.paced, target.limited = isCold || isLimited, isLimited
	}
}

// GiveTokens sets the tokens of a paced runner. Each allows one request until DropTokens is called.
func (b *Balancer) GiveTokens(id structs.RunnerID, tokens int) {
	if target := b.runners[id]; target != nil && tokens > 0 {
		target.tokens = tokens
		b.tokenHolders = append(b.tokenHolders, target)
	}
}

// DropTokens discards all unused tokens.
func (b *Balancer) DropTokens() {
	for _, target := range b.tokenHolders {
		target.tokens = 0
	}
	clear(b.tokenHolders)
	b.tokenHolders = b.tokenHolders[:0]
}

// Paced returns the paced runners without tokens that could otherwise get the work.
func (b *Balancer) Paced(now time.Time, name structs.RowName, work *Work) []structs.RunnerID {
	wanted := b.rows[name].ofVersion(b.options.SubsetSize, work.Version)
	if wanted == nil {
		return nil
	}
	var listed []structs.RunnerID
	for _, candidate := range wanted.subset {
		target := candidate.runner
		if !work.allows(target) || !target.paced || target.leaving || target.failing || target.mayReceive() || b.zones.unreachable[target.info.Zone] {
			continue
		}
		if candidate.cooldown.isActive(now) || !target.requested.allows(now) || !target.hasCapacity(now, &b.options, b.routers) || !target.breaker.allows(now) || !candidate.breaker.allows(now) {
			continue
		}
		listed = append(listed, target.info.ID)
	}
	return listed
}

// limitedProbeInterval is the time without an answer after which the next request uses a token of a rate-limited runner
// regardless of cost: only answers show whether the runner is still over its limit. Cold runners are excluded, as they
// report themselves when they are warm.
const limitedProbeInterval = 2 * time.Second

// limitedToProbe returns a replica on a rate-limited runner that has a token and has not answered for
// limitedProbeInterval, or nil.
func (b *Balancer) limitedToProbe(now time.Time, wanted *row, work *Work) *replica {
	if len(b.tokenHolders) == 0 {
		return nil
	}
	for _, candidate := range wanted.subset {
		target := candidate.runner
		if target.limited && target.tokens > 0 && now.Sub(target.answeredAt) >= limitedProbeInterval && b.isUsable(now, candidate, work) {
			return candidate
		}
	}
	return nil
}

// mayReceive reports whether the runner is not paced or has a token.
func (r *runner) mayReceive() bool { return !r.paced || r.tokens > 0 }

// useToken uses up a token of a paced runner.
func (r *runner) useToken() {
	if r.paced && r.tokens > 0 {
		r.tokens--
	}
}
