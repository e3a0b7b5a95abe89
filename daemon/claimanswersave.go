package daemon

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"github.com/lotusferry/lotusferry/request/answerstore"
	"github.com/lotusferry/lotusferry/request/router"
	"github.com/lotusferry/lotusferry/structs"
)

const (
	// saveTimeout bounds how long the end of a claim waits until its answer is on the
	// disk. It is below a claim's lease.
	saveTimeout = 2 * time.Second
	// closeTimeout bounds how long the end of the daemon waits for a disk that hangs.
	closeTimeout = 5 * time.Second
	// freshOverheadBytes is what an answer on its way into the store counts beside its
	// data: a goroutine waits for it.
	freshOverheadBytes = 4 << 10
)

// hold makes an answer found from now on. It only touches memory. While a disk hangs,
// answers beyond memoryAnswerBytes are not held, and so not kept at all.
func (k *answerKeeper) hold(effect router.FinishClaim) {
	if len(effect.Answer) == 0 {
		return
	}
	answer := answerstore.Answer{Key: effect.Claim.Key, Request: effect.ID, Data: effect.Answer, ExpiresAt: effect.Claim.ExpiresAt}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.drop(answer.Key)
	if k.freshBytes+freshSize(answer) > memoryAnswerBytes {
		return
	}
	k.fresh[answer.Key] = answer
	k.freshBytes += freshSize(answer)
}

func freshSize(answer answerstore.Answer) int64 { return int64(len(answer.Data)) + freshOverheadBytes }

// drop forgets the answer that is held under a key; the caller holds the lock.
func (k *answerKeeper) drop(key structs.ClaimKey) {
	if answer, isHeld := k.fresh[key]; isHeld {
		delete(k.fresh, key)
		k.freshBytes -= freshSize(answer)
	}
}

// held returns the answer that hold took in for the effect.
func (k *answerKeeper) held(effect router.FinishClaim) (answerstore.Answer, bool) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	answer, isHeld := k.fresh[effect.Claim.Key]
	return answer, isHeld && answer.Request == effect.ID
}

// save moves an answer that hold took in to the store, and returns when it is there or
// after saveTimeout; at once when the store is late with another one already. Until the
// store has it, it is found in memory: a disk that hangs costs the answer at most, and
// not the claim. One that cannot be stored is lost: its request is still recorded as
// finished, and does not run again.
func (k *answerKeeper) save(ctx context.Context, effect router.FinishClaim) {
	answer, isHeld := k.held(effect)
	if !isHeld {
		if len(effect.Answer) > 0 {
			level.Error(k.logger).Log("msg", "An answer is not kept, because the disk hangs.", "request", effect.ID)
		}
		return
	}
	saved := make(chan struct{})
	k.writing.Go(func() {
		defer close(saved)
		k.put(answer)
	})
	onTime := k.lateAnswers() == 0 && within(ctx, saveTimeout, saved)
	if !onTime && ctx.Err() == nil {
		k.noteLate(saved)
	}
}

// put waits for the store as long as it takes.
func (k *answerKeeper) put(answer answerstore.Answer) {
	if err := k.store.Put(answer, time.Now()); err != nil {
		level.Error(k.logger).Log("msg", "An answer could not be kept.", "request", answer.Request, "err", err)
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.fresh[answer.Key].Request == answer.Request {
		k.drop(answer.Key)
	}
}

// noteLate counts an answer as late until it is saved.
func (k *answerKeeper) noteLate(saved <-chan struct{}) {
	k.mutex.Lock()
	k.late++
	first := k.late == 1
	k.mutex.Unlock()
	if first {
		level.Error(k.logger).Log("msg", "The disk does not take answers in time. Ends of requests are recorded without it.", "waited", saveTimeout)
	}
	k.writing.Go(func() {
		<-saved
		k.mutex.Lock()
		defer k.mutex.Unlock()
		k.late--
	})
}

func (k *answerKeeper) lateAnswers() int {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.late
}

// within waits for done at most for the time given and reports whether it came.
func within(ctx context.Context, limit time.Duration, done <-chan struct{}) bool {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-done:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// close closes the store. It does not wait longer than closeTimeout for a disk that
// hangs: the end of the process lets go of the file.
func (k *answerKeeper) close() {
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		k.writing.Wait()
		if err := k.store.Close(); err != nil {
			level.Error(k.logger).Log("msg", "The kept answers could not be closed.", "err", err)
		}
	}()
	if !within(context.Background(), closeTimeout, closed) {
		level.Error(k.logger).Log("msg", "The kept answers could not be closed, because the disk hangs.", "waited", closeTimeout)
	}
}
