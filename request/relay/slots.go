package relay

import (
	"time"

	"github.com/lotusferry/lotusferry/placement/slotlease"
	"github.com/lotusferry/lotusferry/request/fairqueue"
	"github.com/lotusferry/lotusferry/request/routing"
	"github.com/lotusferry/lotusferry/structs"
)

const (
	// leaseReserve is subtracted from the lifetime of a lease for the transit of a request to the runner.
	leaseReserve = 50 * time.Millisecond
	// maxClaimants bounds the waiting requests of one row for which one call claims slots.
	maxClaimants = 64
)

// slots holds the slots of brittle runners that the leader lent to this router. It is guarded by Router.mutex.
type slots struct {
	held map[structs.RunnerID]*heldSlots
	// nextExpiry is not after the end of the first lease that ends; zero if there is none.
	nextExpiry time.Time
	// failedSince is since when no leader answers claims; zero while one does. isWithoutLeader is set once this router uses its
	// own share.
	failedSince     time.Time
	isWithoutLeader bool
}

// heldSlots are the slots of one runner.
type heldSlots struct {
	// allowed is the number of requests that the router may have there when it begins another one, until the given time.
	allowed int
	until   time.Time
	// toldUsed is the number of requests that the leader was told at toldAt.
	toldUsed int
	toldAt   time.Time
	// isScarce is set if others need the slots that the router does not use.
	isScarce bool
	// isRejected is set if the runner rejected a request for want of room, until the leader is told.
	isRejected bool
	// deniedUntil is until when no further slots are claimed, as others have them.
	deniedUntil time.Time
	// pausedUntil is until when the runner gets no request without a lease of the leader, after it rejected one.
	pausedUntil time.Time
}

func newSlots() slots { return slots{held: make(map[structs.RunnerID]*heldSlots)} }

func (s *slots) of(id structs.RunnerID) *heldSlots {
	known := s.held[id]
	if known == nil {
		known = &heldSlots{}
		s.held[id] = known
	}
	return known
}

// forget drops a runner that is no longer listed.
func (s *slots) forget(id structs.RunnerID) { delete(s.held, id) }

// nextClaim returns when the leader should be told of a runner with the given number of requests of this router, and false
// if it need not.
func (h *heldSlots) nextClaim(now time.Time, used int) (time.Time, bool) {
	switch {
	case h.isRejected, h.isScarce && used < h.kept(now):
		return now, true
	case used != h.toldUsed:
		return h.toldAt.Add(slotlease.FirstReportDelay), true
	case used > 0:
		return h.toldAt.Add(slotlease.ReportInterval), true
	}
	return time.Time{}, false
}

// isIdle reports whether nothing need be remembered of a runner without requests of this router.
func (h *heldSlots) isIdle(now time.Time) bool {
	return h.allowed == 0 && !now.Before(h.deniedUntil) && !now.Before(h.pausedUntil)
}

// kept returns the number of slots that the leader cannot lend to others.
func (h *heldSlots) kept(now time.Time) int {
	if now.Before(h.until) {
		return max(h.toldUsed, h.allowed)
	}
	return h.toldUsed
}

// lease sets what the router may use of a runner's slots until the given time. The caller must hold r.mutex.
func (r *Router) lease(id structs.RunnerID, count int, until time.Time) {
	known := r.slots.of(id)
	known.allowed, known.until = count, until
	r.balancer.SetLease(id, count)
	if r.slots.nextExpiry.IsZero() || until.Before(r.slots.nextExpiry) {
		r.slots.nextExpiry = until
	}
}

// expireLeases ends the leases whose time is over. The caller must hold r.mutex.
func (r *Router) expireLeases() {
	now := r.now()
	if r.slots.nextExpiry.IsZero() || now.Before(r.slots.nextExpiry) {
		return
	}
	r.slots.nextExpiry = time.Time{}
	for id, known := range r.slots.held {
		switch {
		case known.allowed == 0:
		case !now.Before(known.until):
			known.allowed = 0
			r.balancer.SetLease(id, 0)
		case r.slots.nextExpiry.IsZero() || known.until.Before(r.slots.nextExpiry):
			r.slots.nextExpiry = known.until
		}
	}
}

// noteNoRoom records that a brittle runner rejected a request for want of room: something that the leader does not know of
// takes its slots. The caller must hold r.mutex.
func (r *Router) noteNoRoom(id structs.RunnerID) {
	r.metrics.brittleRejections.Inc()
	known := r.slots.of(id)
	known.isRejected = true
	known.pausedUntil = r.now().Add(r.rejectionPause(id))
	r.lease(id, 0, r.now())
	r.wakeSlots()
}

// noteSlotEnd has the leader told that a request at a runner has ended, if others need the slot. The caller must hold
// r.mutex.
func (r *Router) noteSlotEnd(id structs.RunnerID) {
	if known := r.slots.held[id]; known != nil && known.isScarce {
		r.wakeSlots()
	}
}

// reportSlotsAgain has a new leader told what this router uses. The caller must hold r.mutex.
func (r *Router) reportSlotsAgain() {
	for _, known := range r.slots.held {
		known.toldAt = time.Time{}
	}
	r.wakeSlots()
}

// slotWants returns the number of further slots that waiting requests need, by runner. The caller must hold r.mutex.
func (r *Router) slotWants() map[structs.RunnerID]int {
	wants := make(map[structs.RunnerID]int)
	for row, state := range r.rows {
		if state.waiting() == 0 || !r.isBrittle(row.Service) {
			continue
		}
		for _, id := range r.leaseTargets(row, waitingWorks(state)) {
			wants[id]++
		}
	}
	return wants
}

// waitingWorks returns the works of waiting requests, at most maxClaimants.
func waitingWorks(state *rowState) []*routing.Work {
	var works []*routing.Work
	state.eachWaiter(func(entry *fairqueue.Entry[*waiter]) {
		if len(works) < maxClaimants {
			works = append(works, &entry.Value.work)
		}
	})
	return works
}

// takeClaims returns the claims that are due, and the time at which the next one is; zero if none is expected. What the claims
// give back may not be used from now on. The caller must hold r.mutex.
func (r *Router) takeClaims(now time.Time) (claims []slotlease.Claim, next time.Time) {
	r.expireLeases()
	wants := r.slotWants()
	for id := range wants {
		r.slots.of(id)
	}
	for id, known := range r.slots.held {
		used := r.balancer.InFlight(id)
		dueAt, isExpected := known.nextClaim(now, used)
		if now.Before(known.deniedUntil) {
			next = earlier(next, known.deniedUntil)
		}
		if wants[id] == 0 && (!isExpected || dueAt.After(now)) {
			if isExpected {
				next = earlier(next, dueAt)
			}
			if !isExpected && known.isIdle(now) {
				delete(r.slots.held, id)
			}
			continue
		}
		claim := slotlease.Claim{Instance: string(id), Used: used, Wanted: used + wants[id], Rejected: known.isRejected}
		if known.allowed > claim.Wanted {
			r.lease(id, claim.Wanted, known.until)
		}
		claims = append(claims, claim)
	}
	return claims, next
}

// takeGrants applies the answers to claims that were sent at asked. The caller must hold r.mutex.
func (r *Router) takeGrants(asked time.Time, claims []slotlease.Claim, grants []slotlease.Grant) {
	claimed := make(map[string]slotlease.Claim, len(claims))
	for _, claim := range claims {
		claimed[claim.Instance] = claim
	}
	for _, grant := range grants {
		id := structs.RunnerID(grant.Instance)
		claim, isClaimed := claimed[grant.Instance]
		known := r.slots.held[id]
		if !isClaimed || known == nil {
			continue
		}
		known.toldUsed, known.toldAt, known.isScarce = claim.Used, asked, grant.IsScarce
		if claim.Rejected {
			known.isRejected = false
		}
		if !grant.IsPending {
			r.lease(id, grant.Slots, asked.Add(slotlease.TTL-leaseReserve))
		}
		if grant.MoreIn > 0 {
			known.deniedUntil = r.now().Add(grant.MoreIn)
			r.denyLease(id, grant.MoreIn)
		}
	}
	r.serveWaiters()
}
