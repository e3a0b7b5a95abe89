package relay

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/placement/quota"
)

// suspendableClock is the clock of a machine that a test suspends: timers stop meanwhile, so that
// only the clock shows it.
type suspendableClock struct{ suspended atomic.Int64 }

func (m *suspendableClock) Now() time.Time { return time.Now().Add(time.Duration(m.suspended.Load())) }

func (m *suspendableClock) suspend(length time.Duration) { m.suspended.Add(int64(length)) }

// withSuspendableClock runs a test with a router that uses a suspendableClock.
func withSuspendableClock(t *testing.T, answer func(ctx context.Context, attempt *Attempt) (*Answer, error),
	test func(c *qt.C, machine *suspendableClock, router *Router, backend *scriptedBackend)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		machine := &suspendableClock{}
		router, backend := newTenantRouter(answer)
		router.options.Now = machine.Now
		test(qt.New(t), machine, router, backend)
	})
}

func TestKeysExpireDuringSuspension(t *testing.T) {
	withSuspendableClock(t, always(fine), func(c *qt.C, machine *suspendableClock, router *Router, _ *scriptedBackend) {
		c.Assert(askAs(router, "/again/x", Credential{Key: "key-2"}, Size{Tokens: NoSize}).Code, qt.Equals, http.StatusOK)
		machine.suspend(testConfirmationTTL)
		c.Assert(askAs(router, "/again/x", Credential{Key: "key-2"}, Size{Tokens: NoSize}).Code, qt.Equals, http.StatusServiceUnavailable)
	})
}

func TestRetryBudgetExpiresDuringSuspension(t *testing.T) {
	withSuspendableClock(t, always(fine), func(c *qt.C, machine *suspendableClock, router *Router, _ *scriptedBackend) {
		c.Assert(router.mayRepeat("plain"), qt.IsTrue)
		machine.suspend(routerCountTTL + time.Second)
		c.Assert(router.mayRepeat("plain"), qt.IsFalse)
	})
}

// A reserve may have been granted to others during the suspension.
func TestReservesExpireDuringSuspension(t *testing.T) {
	withSuspendableClock(t, always(fine), func(c *qt.C, machine *suspendableClock, router *Router, _ *scriptedBackend) {
		held := func() float64 {
			router.limits.mutex.Lock()
			defer router.limits.mutex.Unlock()
			return router.limits.limiter.Held(router.now(), "limited")
		}
		router.limits.mutex.Lock()
		router.limits.limiter.Adopt(router.now(), router.now(), []quota.Grant{{Tenant: "limited", Amount: 500, Keep: 500}})
		router.limits.mutex.Unlock()
		c.Assert(held() > 0, qt.IsTrue)
		machine.suspend(7 * time.Second)
		c.Assert(held(), qt.Equals, 0.0)
	})
}

// A request received before a suspension must not get more time than its deadline allows.
func TestSuspensionCountsAgainstDeadline(t *testing.T) {
	var machine *suspendableClock
	suspendThenFail := func(context.Context, *Attempt) (*Answer, error) {
		machine.suspend(3 * time.Second)
		return failed()
	}
	withSuspendableClock(t, func(ctx context.Context, attempt *Attempt) (*Answer, error) { return suspendThenFail(ctx, attempt) },
		func(c *qt.C, own *suspendableClock, router *Router, backend *scriptedBackend) {
			machine = own
			c.Assert(askAs(router, "/again/x", Credential{Key: "key-2"}, Size{Tokens: NoSize}).Code, qt.Equals, http.StatusInternalServerError)
			c.Assert(backend.attempts, qt.HasLen, 2)
			c.Assert(backend.attempts[0].Wait > 4900*time.Millisecond, qt.IsTrue)
			c.Assert(backend.attempts[1].Wait <= 2*time.Second, qt.IsTrue, qt.Commentf("%v", backend.attempts[1].Wait))
		})
}

// A request must not be sent after its deadline.
func TestRequestIsNotSentAfterDeadline(t *testing.T) {
	var machine *suspendableClock
	withSuspendableClock(t, func(context.Context, *Attempt) (*Answer, error) {
		machine.suspend(6 * time.Second)
		return notSent()
	}, func(c *qt.C, own *suspendableClock, router *Router, backend *scriptedBackend) {
		machine = own
		c.Assert(askAs(router, "/again/x", Credential{Key: "key-2"}, Size{Tokens: NoSize}).Code, qt.Equals, http.StatusServiceUnavailable)
		c.Assert(backend.attempts, qt.HasLen, 1)
	})
}
