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
	// saveTimeout bounds how long the end of a claim waits for its answer to be written
	// to disk. It is shorter than a claim's lease.
	saveTimeout = 2 * time.Second
	// closeTimeout bounds how long shutdown waits for a hung disk.
	closeTimeout = 5 * time.Second
	// pendingOverheadBytes is added to the size of each pending answer, for the
	// goroutine that writes it.
	pendingOverheadBytes = 4 << 10
)

// addPending makes an answer available from memory. It does no I/O. An answer that
// would exceed memoryAnswerBytes in total is dropped.
func (m *answerManager) addPending(effect router.FinishClaim) {
	if len(effect.Answer) == 0 {
		return
	}
	answer := answerstore.Answer{Key: effect.Claim.Key, Request: effect.ID, Data: effect.Answer, ExpiresAt: effect.Claim.ExpiresAt}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.removePending(answer.Key)
	if m.pendingBytes+pendingSize(answer) > memoryAnswerBytes {
		return
	}
	m.pending[answer.Key] = answer
	m.pendingBytes += pendingSize(answer)
}

func pendingSize(answer answerstore.Answer) int64 {
	return int64(len(answer.Data)) + pendingOverheadBytes
}

// removePending removes the pending answer of a key. The caller must hold k.mutex.
func (m *answerManager) removePending(key structs.ClaimKey) {
	if answer, isHeld := m.pending[key]; isHeld {
		delete(m.pending, key)
		m.pendingBytes -= pendingSize(answer)
	}
}

// pendingAnswer returns the answer that addPending added for the effect.
func (m *answerManager) pendingAnswer(effect router.FinishClaim) (answerstore.Answer, bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	answer, isHeld := m.pending[effect.Claim.Key]
	return answer, isHeld && answer.Request == effect.ID
}

// save writes a pending answer to the store. It returns when the write is done or after
// saveTimeout, and at once if an earlier write is late. The answer stays available in
// memory until it is written. If it cannot be written it is lost, but its request is
// still recorded as finished and does not run again.
func (m *answerManager) save(ctx context.Context, effect router.FinishClaim) {
	answer, isHeld := m.pendingAnswer(effect)
	if !isHeld {
		if len(effect.Answer) > 0 {
			level.Error(m.logger).Log("msg", "An answer was dropped because the disk hangs.", "request", effect.ID)
		}
		return
	}
	saved := make(chan struct{})
	m.writing.Go(func() {
		defer close(saved)
		m.put(answer)
	})
	onTime := m.lateAnswers() == 0 && within(ctx, saveTimeout, saved)
	if !onTime && ctx.Err() == nil {
		m.trackLate(saved)
	}
}

// put writes an answer to the store, with no time limit.
func (m *answerManager) put(answer answerstore.Answer) {
	if err := m.store.Put(answer, time.Now()); err != nil {
		level.Error(m.logger).Log("msg", "An answer could not be stored.", "request", answer.Request, "err", err)
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.pending[answer.Key].Request == answer.Request {
		m.removePending(answer.Key)
	}
}

// trackLate counts an answer as late until saved is closed.
func (m *answerManager) trackLate(saved <-chan struct{}) {
	m.mutex.Lock()
	m.late++
	first := m.late == 1
	m.mutex.Unlock()
	if first {
		level.Error(m.logger).Log("msg", "Writing answers to disk takes too long. Requests are recorded as finished without waiting for it.", "waited", saveTimeout)
	}
	m.writing.Go(func() {
		<-saved
		m.mutex.Lock()
		defer m.mutex.Unlock()
		m.late--
	})
}

func (m *answerManager) lateAnswers() int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.late
}

// within reports whether done is closed before limit expires or ctx is done.
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

// close closes the store. After closeTimeout it returns without waiting for a hung
// disk; the file is then released when the process exits.
func (m *answerManager) close() {
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		m.writing.Wait()
		if err := m.store.Close(); err != nil {
			level.Error(m.logger).Log("msg", "The answer store could not be closed.", "err", err)
		}
	}()
	if !within(context.Background(), closeTimeout, closed) {
		level.Error(m.logger).Log("msg", "The answer store could not be closed because the disk hangs.", "waited", closeTimeout)
	}
}
