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

// machineClock is that of a machine that a test suspends: its timers stand still meanwhile, so that
// only the clock shows it.
type machineClock struct{ suspended atomic.Int64 }

func (m *machineClock) Now() time.Time { return time.Now().Add(time.Duration(m.suspended.Load())) }

func (m *machineClock) suspend(length time.Duration) { m.suspended.Add(int64(length)) }

// onMachine gives a test a router on a machine of its own.
func onMachine(t *testing.T, answer func(ctx context.Context, attempt *Attempt) (*Answer, error),
	test func(c *qt.C, machine *machineClock, router *Router, backend *scriptedBackend)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		machine := &machineClock{}
		router, backend := newTenantRouter(answer)
		router.options.Now = machine.Now
		test(qt.New(t), machine, router, backend)
	})
}

func TestKeysAreNotGoodAfterASuspension(t *testing.T) {
	onMachine(t, always(fine), func(c *qt.C, machine *machineClock, router *Router, _ *scriptedBackend) {
		c.Assert(askAs(router, "/again/x", Credential{Key: "key-2"}, Size{Tokens: NoSize}).Code, qt.Equals, http.StatusOK)
		machine.suspend(testLife)
		c.Assert(askAs(router, "/again/x", Credential{Key: "key-2"}, Size{Tokens: NoSize}).Code, qt.Equals, http.StatusServiceUnavailable)
	})
}

func TestRepeatsAreNotGrantedAfterASuspension(t *testing.T) {
	onMachine(t, always(fine), func(c *qt.C, machine *machineClock, router *Router, _ *scriptedBackend) {
		c.Assert(router.mayRepeat("plain"), qt.IsTrue)
		machine.suspend(grantLife + time.Second)
		c.Assert(router.mayRepeat("plain"), qt.IsFalse)
	})
}

// What a router holds of a limit may have been granted to others meanwhile.
func TestReservesAreOverAfterASuspension(t *testing.T) {
	onMachine(t, always(fine), func(c *qt.C, machine *machineClock, router *Router, _ *scriptedBackend) {
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

// A request that was taken before a suspension has less time left than timers tell.
func TestTimeOfARequestGoesOnInASuspension(t *testing.T) {
	var machine *machineClock
	suspendThenFail := func(context.Context, *Attempt) (*Answer, error) {
		machine.suspend(3 * time.Second)
		return failed()
	}
	onMachine(t, func(ctx context.Context, attempt *Attempt) (*Answer, error) { return suspendThenFail(ctx, attempt) },
		func(c *qt.C, own *machineClock, router *Router, backend *scriptedBackend) {
			machine = own
			c.Assert(askAs(router, "/again/x", Credential{Key: "key-2"}, Size{Tokens: NoSize}).Code, qt.Equals, http.StatusInternalServerError)
			c.Assert(backend.attempts, qt.HasLen, 2)
			c.Assert(backend.attempts[0].Wait > 4900*time.Millisecond, qt.IsTrue)
			c.Assert(backend.attempts[1].Wait <= 2*time.Second, qt.IsTrue, qt.Commentf("%v", backend.attempts[1].Wait))
		})
}

// A request whose time is over is sent to nobody.
func TestRequestIsNotSentAfterItsTime(t *testing.T) {
	var machine *machineClock
	onMachine(t, func(context.Context, *Attempt) (*Answer, error) {
		machine.suspend(6 * time.Second)
		return notSent()
	}, func(c *qt.C, own *machineClock, router *Router, backend *scriptedBackend) {
		machine = own
		c.Assert(askAs(router, "/again/x", Credential{Key: "key-2"}, Size{Tokens: NoSize}).Code, qt.Equals, http.StatusServiceUnavailable)
		c.Assert(backend.attempts, qt.HasLen, 1)
	})
}
