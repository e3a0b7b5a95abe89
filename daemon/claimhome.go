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

// claimHome is a home zone of keys as one router sees it.
type claimHome struct {
	leader *leadercall.Caller
	// far says that it is another zone, which a cut may keep out of reach for hours.
	far     bool
	timeout time.Duration

	mutex sync.Mutex
	// asked holds the requests whose claim the zone may hold, and whether the end
	// of the claim is being recorded.
	asked map[structs.RequestID]bool
	// silent is set while the zone does not answer.
	silent    bool
	renewing  bool
	renewedAt time.Time
}

func newClaimHome(leader *leadercall.Caller, far bool) *claimHome {
	home := &claimHome{leader: leader, far: far, timeout: claimTimeout, asked: map[structs.RequestID]bool{}}
	if far {
		home.timeout = farClaimTimeout
	}
	return home
}

// ask notes that the zone is asked for a claim; it refuses while another zone does
// not answer, so that nobody waits for it.
func (h *claimHome) ask(request structs.RequestID) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.far && h.silent {
		return false
	}
	if _, before := h.asked[request]; !before {
		h.asked[request] = false
	}
	return true
}

// forget notes that the zone holds no claim for the request, or has recorded its end.
func (h *claimHome) forget(request structs.RequestID) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	delete(h.asked, request)
}

// startEnd notes that the end of a request's claim is being recorded; it refuses
// when the zone was never asked for one.
func (h *claimHome) startEnd(request structs.RequestID) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if _, asked := h.asked[request]; !asked {
		return false
	}
	h.asked[request] = true
	return true
}

// endings counts the ends that are being recorded.
func (h *claimHome) endings() int {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	count := 0
	for _, ending := range h.asked {
		if ending {
			count++
		}
	}
	return count
}

// startRenewal returns the requests whose claims should be renewed now; due is
// false when none should, and no silent zone is to be tried.
func (h *claimHome) startRenewal(now time.Time) (requests []structs.RequestID, due bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	due = len(h.asked) > 0 && now.Sub(h.renewedAt) >= renewInterval
	if h.renewing || !(due || h.silent) {
		return nil, false
	}
	h.renewing = true
	return slices.Collect(maps.Keys(h.asked)), true
}

// endRenewal notes the end of the renewal that startRenewal began.
func (h *claimHome) endRenewal(startedAt time.Time, err error) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.renewing = false
	if err == nil {
		h.renewedAt = startedAt
	}
}

// call calls the zone's leader and notes whether the zone answers.
func (h *claimHome) call(ctx context.Context, arguments ClaimsArguments) (*ClaimsReply, error) {
	reply, err := leadercall.Call(ctx, h.leader, methodZoneClaims, arguments, func() *ClaimsReply { return &ClaimsReply{} })
	kind := structs.KindOf(err)
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.silent = kind == structs.ErrorUnavailable || kind == structs.ErrorDeadline
	return reply, err
}
