package routing

import (
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

const (
	// minCooldown is the first cooldown of a replica after a rejection: about three stream
	// events, in which a full runner has probably finished a stream.
	minCooldown = 100 * time.Millisecond
	// maxCooldown bounds the cooldown, which doubles with each further rejection. An
	// unloaded model has left the placement by then.
	maxCooldown = 800 * time.Millisecond
)

// cooldown excludes a replica for some time after it rejected a request without a
// retry time. A replica that is placed again starts without one.
type cooldown struct {
	duration time.Duration
	until    time.Time
}

func (r *cooldown) isActive(now time.Time) bool { return now.Before(r.until) }

// start records a rejection. Rejections of requests sent before an active cooldown
// do not extend it.
func (r *cooldown) start(now time.Time) {
	if r.isActive(now) {
		return
	}
	r.duration = min(max(minCooldown, 2*r.duration), maxCooldown)
	r.until = now.Add(r.duration)
}

// end records that the replica serves requests.
func (r *cooldown) end() { *r = cooldown{} }

// probeInterval separates requests to a runner after its requested cooldown until it has accepted one, so that the
// requests that waited for the end do not arrive all at once. It is about the time to the first event of a stream.
const probeInterval = 250 * time.Millisecond

// requestedCooldown is the time for which a runner asked this router not to send requests of any row. Unlike a cooldown it
// does not end early on a success.
type requestedCooldown struct {
	until time.Time
	// isProbing is set from the first cooldown until the runner has accepted a request after it; probedAt is when the
	// last probe was sent.
	isProbing bool
	probedAt  time.Time
}

func (r *requestedCooldown) isActive(now time.Time) bool { return now.Before(r.until) }

// allows reports whether a request may be sent: none during the cooldown, then one per probeInterval until one is accepted.
func (r *requestedCooldown) allows(now time.Time) bool {
	return !r.isActive(now) && (!r.isProbing || now.Sub(r.probedAt) >= probeInterval)
}

// extend sets the end of the cooldown if it is later than the current one.
func (r *requestedCooldown) extend(until time.Time) {
	if until.After(r.until) {
		r.until, r.isProbing, r.probedAt = until, true, time.Time{}
	}
}

func (r *requestedCooldown) sent(now time.Time) {
	if r.isProbing {
		r.probedAt = now
	}
}

// compare orders runners that accept requests before those that requested a cooldown.
func (r *requestedCooldown) compare(other *requestedCooldown) int {
	switch {
	case r.isProbing == other.isProbing:
		return 0
	case r.isProbing:
		return 1
	}
	return -1
}

// CoolDown excludes a runner until the given time, whatever it answers to requests in flight. In rows with more replicas than
// the subset holds, another replica takes its place.
func (b *Balancer) CoolDown(id structs.RunnerID, until time.Time) {
	target := b.runners[id]
	if target == nil {
		return
	}
	wasProbing := target.requested.isProbing
	target.requested.extend(until)
	if !wasProbing {
		b.rebuildRows(target)
	}
}

// CooldownEnd returns the earliest end of the requested cooldowns of the row's runners that may get the work. It reports
// false if any of them accepts requests now, or if there is none.
func (b *Balancer) CooldownEnd(now time.Time, name structs.RowName, work *Work) (time.Time, bool) {
	wanted := b.rows[name].ofVersion(b.options.SubsetSize, work.Version)
	if wanted == nil {
		return time.Time{}, false
	}
	var first time.Time
	for _, candidate := range wanted.subset {
		target := candidate.runner
		if target.leaving || !work.allows(target) {
			continue
		}
		if !target.requested.isActive(now) {
			return time.Time{}, false
		}
		if first.IsZero() || target.requested.until.Before(first) {
			first = target.requested.until
		}
	}
	return first, !first.IsZero()
}
