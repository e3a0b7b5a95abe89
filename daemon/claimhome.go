package daemon

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/lotusferry/lotusferry/agreement/leadercall"
	"github.com/lotusferry/lotusferry/structs"
)

// claimHome is a router's connection to one home zone of keys.
type claimHome struct {
	leader *leadercall.Caller
	// remote is set for zones other than the router's own.
	remote  bool
	timeout time.Duration

	mutex sync.Mutex
	// requests holds the requests that may have a claim in the zone; the value is true
	// while the end of the claim is being recorded.
	requests map[structs.RequestID]bool
	// unreachable is set while the zone does not reply.
	unreachable bool
	renewing    bool
	renewedAt   time.Time
}

func newClaimHome(leader *leadercall.Caller, remote bool) *claimHome {
	home := &claimHome{leader: leader, remote: remote, timeout: claimTimeout, requests: map[structs.RequestID]bool{}}
	if remote {
		home.timeout = remoteClaimTimeout
	}
	return home
}

// admit registers a request before its claim is begun. It reports false if the zone is
// remote and unreachable, so that the request does not wait for it.
func (h *claimHome) admit(request structs.RequestID) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.remote && h.unreachable {
		return false
	}
	if _, registered := h.requests[request]; !registered {
		h.requests[request] = false
	}
	return true
}

// forget removes a request that has no claim in the zone, or whose claim's end has been
// recorded.
func (h *claimHome) forget(request structs.RequestID) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	delete(h.requests, request)
}

// startEnd marks the end of a request's claim as being recorded. It reports false if
// the request is not registered.
func (h *claimHome) startEnd(request structs.RequestID) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if _, registered := h.requests[request]; !registered {
		return false
	}
	h.requests[request] = true
	return true
}

// pendingEnds returns the number of ends being recorded.
func (h *claimHome) pendingEnds() int {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	count := 0
	for _, ending := range h.requests {
		if ending {
			count++
		}
	}
	return count
}

// startRenewal returns the requests whose claims are to be renewed. It reports false if
// no renewal is due and the zone is not unreachable, or if a renewal is in progress.
func (h *claimHome) startRenewal(now time.Time) (requests []structs.RequestID, due bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	due = len(h.requests) > 0 && now.Sub(h.renewedAt) >= renewInterval
	if h.renewing || !(due || h.unreachable) {
		return nil, false
	}
	h.renewing = true
	return slices.Collect(maps.Keys(h.requests)), true
}

// endRenewal ends the renewal that startRenewal began.
func (h *claimHome) endRenewal(startedAt time.Time, err error) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.renewing = false
	if err == nil {
		h.renewedAt = startedAt
	}
}

// call calls the zone's leader and records whether the zone is reachable.
func (h *claimHome) call(ctx context.Context, arguments ClaimsArguments) (*ClaimsReply, error) {
	reply, err := leadercall.Call(ctx, h.leader, methodZoneClaims, arguments, func() *ClaimsReply { return &ClaimsReply{} })
	kind := structs.KindOf(err)
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.unreachable = kind == structs.ErrorUnavailable || kind == structs.ErrorDeadline
	return reply, err
}
