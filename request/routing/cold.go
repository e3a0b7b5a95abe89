package routing

import (
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

// SetCold says whether a runner is cold. A cold runner is chosen only with a token: it falls over if many routers
// send to it what a warm one would bear.
func (b *Balancer) SetCold(id structs.RunnerID, isCold bool) {
	if target := b.runners[id]; target != nil {
		target.cold = isCold
	}
}

// Warm takes tokens for a cold runner, each for one request that is sent before DropTokens is called.
func (b *Balancer) Warm(id structs.RunnerID, tokens int) {
	if target := b.runners[id]; target != nil && tokens > 0 {
		target.tokens = tokens
		b.warmed = append(b.warmed, target)
	}
}

// DropTokens gives up the tokens that were not used.
func (b *Balancer) DropTokens() {
	for _, target := range b.warmed {
		target.tokens = 0
	}
	clear(b.warmed)
	b.warmed = b.warmed[:0]
}

// Cold lists the cold runners that a request of the row could get if there were a token for it.
func (b *Balancer) Cold(now time.Time, name structs.RowName) []structs.RunnerID {
	wanted := b.rows[name]
	if wanted == nil {
		return nil
	}
	var listed []structs.RunnerID
	for _, candidate := range wanted.subset {
		target := candidate.runner
		if !target.cold || target.leaving || target.failing || target.mayWarm() || b.zones.outOfReach[target.info.Zone] {
			continue
		}
		if candidate.rest.isOn(now) || !target.hasRoom(now, &b.options) || !target.breaker.allows(now) || !candidate.breaker.allows(now) {
			continue
		}
		listed = append(listed, target.info.ID)
	}
	return listed
}

// mayWarm reports whether the runner is warm, or there is a token for a request to it.
func (r *runner) mayWarm() bool { return !r.cold || r.tokens > 0 }

// useToken counts a request that is sent to a cold runner.
func (r *runner) useToken() {
	if r.cold && r.tokens > 0 {
		r.tokens--
	}
}
