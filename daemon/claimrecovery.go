package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"github.com/lotusferry/lotusferry/request/router"
	"github.com/lotusferry/lotusferry/structs"
)

// recoveryCalls bounds the number of ends recorded concurrently after a restart.
const recoveryCalls = 32

// unrecorded returns the ends of claims that a previous run of this daemon may not have
// recorded, according to its answer store. The answers themselves remain on disk.
func (m *answerManager) unrecorded(zones []structs.ZoneID) []router.FinishClaim {
	keys, err := m.store.Unrecorded()
	if err != nil {
		level.Error(m.logger).Log("msg", "The unrecorded answers could not be read from the answer store.", "err", err)
		return nil
	}
	var ends []router.FinishClaim
	for _, key := range keys {
		answer, found := m.store.Get(key, time.Now())
		if !found {
			continue
		}
		ends = append(ends, router.FinishClaim{ID: answer.Request, Claim: structs.Claim{
			Key:       key,
			Request:   answer.Request,
			Home:      router.HomeOfClaim(zones, key),
			State:     structs.ClaimFinished,
			ExpiresAt: answer.ExpiresAt,
			Answer:    router.MarkAnswer(answer.Data),
		}})
	}
	return ends
}

// resume registers a claim of a previous run whose end is being recorded, so that its
// lease is renewed until then.
func (h *claimHome) resume(request structs.RequestID) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.requests[request] = true
}

// recoverLoop records the ends left by a previous run, and returns. A zone that has
// already recorded an end ignores it, so a claim whose outcome was recorded as unknown
// stays so.
func (r *requestRouter) recoverLoop(ctx context.Context) {
	if len(r.unrecorded) == 0 {
		return
	}
	level.Info(r.logger).Log("msg", "Recording the ends of requests that a previous run of this daemon answered.", "requests", len(r.unrecorded))
	for _, end := range r.unrecorded {
		if home, known := r.claims.homes[end.Claim.Home]; known {
			home.resume(end.ID)
		}
	}
	var recording sync.WaitGroup
	defer recording.Wait()
	free := make(chan struct{}, recoveryCalls)
	for _, end := range r.unrecorded {
		select {
		case free <- struct{}{}:
		case <-ctx.Done():
			return
		}
		recording.Go(func() {
			r.recordEnd(ctx, end)
			<-free
		})
	}
}

// recordEnd records the end of a claim in its home zone, then marks the stored answer
// as recorded.
func (r *requestRouter) recordEnd(ctx context.Context, effect router.FinishClaim) {
	if r.claims.finish(ctx, effect) && effect.Claim.State == structs.ClaimFinished {
		r.answers.store.Recorded(effect.Claim.Key, effect.ID)
	}
}
