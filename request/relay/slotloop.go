package relay

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"github.com/lotusferry/lotusferry/agreement/leadercall"
	"github.com/lotusferry/lotusferry/internal/pause"
	"github.com/lotusferry/lotusferry/internal/wake"
	"github.com/lotusferry/lotusferry/placement/domainapi"
	"github.com/lotusferry/lotusferry/placement/fleet"
	"github.com/lotusferry/lotusferry/placement/slotlease"
	"github.com/lotusferry/lotusferry/structs"
)

const (
	// claimInterval is the least time between two calls to claim slots. Requests that arrive in between share the next one.
	claimInterval = 10 * time.Millisecond
	// claimTimeout bounds a call; grants of a later reply would have expired.
	claimTimeout = slotlease.TTL
	// claimRetryDelay is the delay after a failed call.
	claimRetryDelay = 100 * time.Millisecond
	// withoutLeaderAfter is how long no leader must have answered before the router uses its own share of the slots: longer
	// than an election usually takes.
	withoutLeaderAfter = time.Second
	// ownShareInterval is how often a router without a leader decides whether it may use a slot.
	ownShareInterval = 20 * time.Millisecond
	// ownShareDivisor divides the slots that routers without a leader use together if there are more of them than slots: they
	// choose their turns at random.
	ownShareDivisor = 2
	// defaultRunTime is the assumed time of a request at a runner that has not answered any.
	defaultRunTime = time.Second
	// minRejectionPause is the least time for which a router sends nothing without a leader to a brittle runner that rejected
	// a request.
	minRejectionPause = time.Second
)

// slotLoop claims slots of brittle runners and tells what this router uses of them, until ctx ends. It is idle while no service
// is brittle.
func (r *Router) slotLoop(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-r.wantsSlots:
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		next := r.claimSlots(ctx)
		if !pause.For(ctx, claimInterval) {
			return
		}
		timer.Stop()
		if !next.IsZero() {
			timer.Reset(max(0, next.Sub(r.now())))
		}
	}
}

// wakeSlots wakes the slot loop.
func (r *Router) wakeSlots() {
	wake.Up(r.wantsSlots)
}

// claimSlots sends the claims that are due. It returns when to look for further ones; zero if none are expected.
func (r *Router) claimSlots(ctx context.Context) time.Time {
	asked := r.now()
	r.mutex.Lock()
	claims, next := r.takeClaims(asked)
	r.mutex.Unlock()
	if len(claims) == 0 {
		return next
	}
	call, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	reply, err := leadercall.Call(call, r.caller, domainapi.MethodClaimSlots, domainapi.ClaimSlotsArguments{Router: r.options.Name, Claims: claims},
		func() *domainapi.ClaimSlotsReply { return &domainapi.ClaimSlotsReply{} })
	if err != nil {
		return r.claimFailed(ctx, len(claims), err)
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.slots.isWithoutLeader {
		level.Info(r.logger).Log("msg", "A leader lends slots of brittle runners again.", "after", asked.Sub(r.slots.failedSince))
	}
	r.slots.failedSince, r.slots.isWithoutLeader = time.Time{}, false
	r.metrics.slotClaims.WithLabelValues("answered").Add(float64(len(claims)))
	r.takeGrants(asked, claims, reply.Grants)
	// What is due next has changed with the grants.
	return r.now().Add(claimInterval)
}

// earlier returns the earlier of two times, of which a zero one is none.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// claimFailed records that no leader answered, and uses the router's own share if that has lasted. It returns when to claim
// again.
func (r *Router) claimFailed(ctx context.Context, claims int, err error) time.Time {
	r.metrics.slotClaims.WithLabelValues("failed").Add(float64(claims))
	r.mutex.Lock()
	now := r.now()
	if r.slots.failedSince.IsZero() {
		r.slots.failedSince = now
	}
	wasWithoutLeader := r.slots.isWithoutLeader
	r.slots.isWithoutLeader = now.Sub(r.slots.failedSince) >= withoutLeaderAfter
	isWithoutLeader, routers := r.slots.isWithoutLeader, r.routerCount.routers
	r.mutex.Unlock()
	if isWithoutLeader && !wasWithoutLeader {
		level.Info(r.logger).Log("msg", "No leader lends slots of brittle runners; this router uses its own share.", "runners", claims,
			"routers", routers, "err", err)
	}
	if isWithoutLeader {
		r.useOwnShare(ctx, now.Add(claimRetryDelay))
	}
	return r.now().Add(claimRetryDelay)
}

// useOwnShare has waiting requests use this router's share of the slots of brittle runners until the given time, as no leader
// lends any.
func (r *Router) useOwnShare(ctx context.Context, until time.Time) {
	for r.now().Before(until) && pause.For(ctx, ownShareInterval) {
		r.mutex.Lock()
		for id := range r.slotWants() {
			r.leaseOwnShare(id)
		}
		r.serveWaiters()
		r.mutex.Unlock()
	}
}

// leaseOwnShare lends the router its share of a runner's slots. If there are more routers than slots it gets one slot for a
// moment, with a probability by which half of the slots are used if all routers want them all the time. The caller must hold
// r.mutex.
func (r *Router) leaseOwnShare(id structs.RunnerID) {
	now, known := r.now(), r.slots.of(id)
	runner, routers := r.fleet.Runner(string(id)), r.routerCount.routers
	if runner == nil || routers <= 0 || now.Before(known.pausedUntil) {
		return
	}
	count := runner.Slots
	if count <= 0 {
		count = fleet.DefaultSlots
	}
	if count >= routers {
		r.lease(id, count/routers, now.Add(slotlease.TTL))
		return
	}
	runTime := r.balancer.RunTime(id)
	if runTime == 0 {
		runTime = defaultRunTime
	}
	turn := float64(ownShareInterval) / float64(max(runTime, ownShareInterval))
	if r.balancer.InFlight(id) == 0 && r.random.Float64() < turn*float64(count)/float64(ownShareDivisor*routers) {
		r.lease(id, 1, now.Add(ownShareInterval))
	}
}

// rejectionPause returns for how long this router, while it has no leader, sends nothing to a brittle runner that has rejected
// a request: so long that all routers together cause no more rejections than the runner bears. The caller must hold r.mutex.
func (r *Router) rejectionPause(id structs.RunnerID) time.Duration {
	perSecond, _ := r.brittle.Of(r.fleet.Runner(string(id)).Service)
	if perSecond <= 0 {
		return minRejectionPause
	}
	pause := time.Duration(float64(r.routerCount.routers) / perSecond * float64(time.Second))
	return max(minRejectionPause, pause)
}
