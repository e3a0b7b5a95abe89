package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"github.com/lotusferry/lotusferry/request/router"
	"github.com/lotusferry/lotusferry/structs"
)

// recoveryCalls bounds the ends of an earlier life that are recorded at the same time.
const recoveryCalls = 32

// unrecorded returns the ends of claims that an earlier life of this daemon may not
// have recorded, by the answers that it kept. The answers themselves stay on the disk.
func (k *answerKeeper) unrecorded(zones []structs.ZoneID) []router.FinishClaim {
	keys, err := k.store.Unrecorded()
	if err != nil {
		level.Error(k.logger).Log("msg", "The answers whose ends are not recorded could not be read.", "err", err)
		return nil
	}
	var ends []router.FinishClaim
	for _, key := range keys {
		answer, found := k.store.Get(key, time.Now())
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

// resume notes that the end of a claim of an earlier life is being recorded. The
// claim is renewed until then, so that its lease does not run out meanwhile.
func (h *claimHome) resume(request structs.RequestID) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.asked[request] = true
}

// recoverLoop records the ends that an earlier life of this daemon left, and returns.
// It changes nothing at a zone that has the end, or has ended the claim in another way:
// an unknown outcome stays unknown.
func (r *requestRouter) recoverLoop(ctx context.Context) {
	if len(r.unrecorded) == 0 {
		return
	}
	level.Info(r.logger).Log("msg", "The ends of requests are recorded that an earlier run of this daemon answered.", "requests", len(r.unrecorded))
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

// recordEnd records the end of a claim and notes on the disk that it is recorded.
func (r *requestRouter) recordEnd(ctx context.Context, effect router.FinishClaim) {
	if r.claims.finish(ctx, effect) && effect.Claim.State == structs.ClaimFinished {
		r.answers.store.Recorded(effect.Claim.Key, effect.ID)
	}
}
