package daemon

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"

	"github.com/lotusferry/lotusferry/request/answerstore"
	"github.com/lotusferry/lotusferry/request/router"
	"github.com/lotusferry/lotusferry/structs"
)

// hungStore is a store whose writes block until released is closed.
type hungStore struct {
	answerstore.Store
	released chan struct{}
}

func (s *hungStore) Put(answer answerstore.Answer, now time.Time) error {
	<-s.released
	return s.Store.Put(answer, now)
}

func (s *hungStore) Expire(now time.Time) error {
	<-s.released
	return s.Store.Expire(now)
}

// newHungRouter returns a router that can end claims and whose answer store hangs.
func newHungRouter(c *qt.C) (*claimsZone, *requestRouter, *hungStore) {
	served, claims := newClaimsSite(c)
	store := &hungStore{Store: answerstore.NewMemory(memoryAnswerBytes), released: make(chan struct{})}
	ctx, cancel := context.WithCancel(context.Background())
	ended := &requestRouter{ctx: ctx, claims: claims, answers: newAnswerManager(log.NewNopLogger(), "daemon", nil, store)}
	c.Cleanup(cancel)
	return served, ended, store
}

// unexpiredFinish returns an effect that ends a claim with an answer that has not
// expired.
func unexpiredFinish(answer string) router.FinishClaim {
	effect := finishEffect(answer)
	effect.Claim.ExpiresAt = time.Now().Add(time.Hour)
	return effect
}

func TestHungDiskHoldsUpNoEndOfAClaim(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		served, ended, store := newHungRouter(c)
		c.Assert(ended.claims.begin(context.Background(), beginEffect("a")).New, qt.IsTrue)
		effect := unexpiredFinish("done")
		ended.finishClaim(effect)
		ended.running.Wait()
		c.Assert(served.claim().State, qt.Equals, structs.ClaimFinished)
		c.Assert(served.claim().Answer, qt.Equals, router.MarkAnswer(effect.Answer))
		// The answer is found in memory, and in the store once it is released.
		asked := AnswerArguments{Key: effect.Claim.Key}
		c.Assert(string(ended.answers.find(asked)), qt.Equals, "done")
		c.Assert(ended.answers.lateAnswers(), qt.Equals, 1)
		close(store.released)
		ended.answers.writing.Wait()
		c.Assert(ended.answers.lateAnswers(), qt.Equals, 0)
		c.Assert(ended.answers.pending, qt.HasLen, 0)
		c.Assert(ended.answers.pendingBytes, qt.Equals, int64(0))
		c.Assert(string(ended.answers.find(asked)), qt.Equals, "done")
	})
}

// TestOnlyTheFirstAnswerWaitsForAHungDisk measures waits in virtual time.
func TestOnlyTheFirstAnswerWaitsForAHungDisk(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		_, ended, store := newHungRouter(c)
		for number, wait := range []time.Duration{saveTimeout, 0, 0} {
			effect := unexpiredFinish("done")
			effect.Claim.Key += structs.ClaimKey(strings.Repeat("+", number))
			started := time.Now()
			ended.answers.addPending(effect)
			ended.answers.save(ended.ctx, effect)
			c.Assert(time.Since(started), qt.Equals, wait)
		}
		close(store.released)
		ended.answers.writing.Wait()
		c.Assert(store.Usage().Answers, qt.Equals, 3)
	})
}

func TestPendingAnswersAreBounded(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		served, ended, store := newHungRouter(c)
		fits := unexpiredFinish(strings.Repeat("a", memoryAnswerBytes-pendingOverheadBytes))
		fits.ID, fits.Claim.Request, fits.Claim.Key = "before", "before", "caller/a:before"
		ended.answers.addPending(fits)
		c.Assert(ended.claims.begin(context.Background(), beginEffect("a")).New, qt.IsTrue)
		effect := unexpiredFinish("done")
		ended.finishClaim(effect)
		ended.running.Wait()
		c.Assert(served.claim().State, qt.Equals, structs.ClaimFinished)
		c.Assert(ended.answers.find(AnswerArguments{Key: effect.Claim.Key}), qt.HasLen, 0)
		c.Assert(ended.answers.find(AnswerArguments{Key: fits.Claim.Key}), qt.HasLen, len(fits.Answer))
		close(store.released)
	})
}

func TestHungDiskDoesNotBlockClose(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		_, ended, store := newHungRouter(c)
		effect := unexpiredFinish("done")
		ended.answers.addPending(effect)
		ended.answers.save(ended.ctx, effect)
		ctx, cancel := context.WithTimeout(ended.ctx, 2*answerExpiryInterval)
		defer cancel()
		ended.answers.expireLoop(ctx)
		started := time.Now()
		ended.answers.close()
		c.Assert(time.Since(started), qt.Equals, closeTimeout)
		close(store.released)
	})
}
