package relay

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/internal/keys"
	"github.com/lotusferry/lotusferry/internal/pause"
	"github.com/lotusferry/lotusferry/placement/domainapi"
	"github.com/lotusferry/lotusferry/placement/poison"
	"github.com/lotusferry/lotusferry/placement/quota"
	"github.com/lotusferry/lotusferry/placement/site"
	"github.com/lotusferry/lotusferry/request/waiting"
)

// tenantDocument returns a document with a limited tenant, an unlimited one, and a public route.
func tenantDocument(version uint64) *site.Document {
	rank := 3
	document := testDocument()
	document.Version = version
	document.RequiresKeys = true
	document.Routes[1].Public = true
	document.Tenants = []site.Tenant{
		{Name: "limited", Keys: []keys.Hash{keys.HashAPIKey("key-1")}, Limit: site.RateLimit{
			Unit: site.UnitTokens, Rate: 1000, Burst: 1000, PlainTokens: 100,
		}},
		{Name: "free", Keys: []keys.Hash{keys.HashAPIKey("key-2")}, Priority: &rank},
	}
	return document
}

const testConfirmationTTL = 4 * time.Second

func newTenantRouter(answer func(ctx context.Context, attempt *Attempt) (*Answer, error)) (*Router, *scriptedBackend) {
	router, backend := newTestRouter(answer)
	router.options.ConfirmationTTL = testConfirmationTTL
	router.adoptDocument(tenantDocument(2))
	router.confirm(time.Now())
	return router, backend
}

// askAs sends a request with a credential and a size.
func askAs(router *Router, path string, credential Credential, size Size) *httptest.ResponseRecorder {
	recorder := httptest.NewRecorder()
	router.Serve(recorder, &Request{
		HTTP: httptest.NewRequest(http.MethodPost, "http://h"+path, nil), ID: "id", Arrived: time.Now(), Wait: 5 * time.Second,
		ResumeAfter: NoEvent, Credential: credential, Size: size,
	})
	return recorder
}

func always(answer func() (*Answer, error)) func(context.Context, *Attempt) (*Answer, error) {
	return func(context.Context, *Attempt) (*Answer, error) { return answer() }
}

func TestAPIKeysDetermineTenant(t *testing.T) {
	for _, test := range []struct {
		name       string
		path       string
		credential Credential
		size       Size
		status     int
		tenant     string
		priority   int
	}{
		{name: "key of a tenant without a limit", path: "/once/", credential: Credential{Key: "key-2"}, status: 200, tenant: "free", priority: 3},
		{name: "no key", path: "/once/", credential: Credential{Problem: "send a key"}, status: 401},
		{name: "unknown key", path: "/once/", credential: Credential{Key: "key-3"}, status: 401},
		{name: "no key on a public route", path: "/again/", credential: Credential{Problem: "send a key"}, status: 200},
		{name: "unknown key on a public route", path: "/again/", credential: Credential{Key: "key-3"}, status: 200},
		{name: "key on a public route", path: "/again/", credential: Credential{Key: "key-2"}, status: 200, tenant: "free", priority: 3},
		{name: "invalid size, limit in tokens", path: "/once/", credential: Credential{Key: "key-1"}, size: Size{Tokens: NoSize, Problem: "send two numbers"}, status: 400},
		{name: "invalid size, no limit", path: "/once/", credential: Credential{Key: "key-2"}, size: Size{Tokens: NoSize, Problem: "send two numbers"}, status: 200, tenant: "free", priority: 3},
		{name: "no route", path: "/nowhere/", credential: Credential{Key: "key-2"}, status: 404},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				router, backend := newTenantRouter(always(fine))
				recorder := askAs(router, test.path, test.credential, test.size)
				c.Assert(recorder.Code, qt.Equals, test.status)
				if test.status != http.StatusOK {
					c.Assert(backend.attempts, qt.HasLen, 0)
					return
				}
				c.Assert(backend.attempts[0].Tenant, qt.Equals, test.tenant)
				c.Assert(backend.attempts[0].Priority, qt.Equals, test.priority)
				c.Assert(backend.attempts[0].HidesKey, qt.IsTrue)
			})
		})
	}
}

func TestKeysExpireWithoutConfirmation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		router, backend := newTenantRouter(always(fine))
		key := Credential{Key: "key-2"}
		pause.For(t.Context(), testConfirmationTTL-time.Millisecond)
		c.Assert(askAs(router, "/once/", key, Size{}).Code, qt.Equals, http.StatusOK)
		pause.For(t.Context(), time.Millisecond)
		refused := askAs(router, "/once/", key, Size{})
		c.Assert(refused.Code, qt.Equals, http.StatusServiceUnavailable)
		c.Assert(refused.Header().Get("Retry-After"), qt.Equals, "0.5")
		// An unknown key may be valid in a newer document.
		c.Assert(askAs(router, "/once/", Credential{Key: "key-3"}, Size{}).Code, qt.Equals, http.StatusServiceUnavailable)
		c.Assert(askAs(router, "/again/", Credential{}, Size{}).Code, qt.Equals, http.StatusOK)
		c.Assert(backend.attempts, qt.HasLen, 2)
		router.confirm(time.Now())
		c.Assert(askAs(router, "/once/", key, Size{}).Code, qt.Equals, http.StatusOK)
	})
}

// A confirmation counts from the time of the request, for the router's document only, and never
// from a leader of an earlier term.
func TestDocumentConfirmation(t *testing.T) {
	for _, test := range []struct {
		name        string
		reply       domainapi.WatchReply
		isConfirmed bool
	}{
		{name: "same version", reply: domainapi.WatchReply{Term: 5, Confirmed: 2}, isConfirmed: true},
		{name: "no confirmation", reply: domainapi.WatchReply{Term: 5}},
		{name: "newer version", reply: domainapi.WatchReply{Term: 5, Confirmed: 3}},
		{name: "deposed leader", reply: domainapi.WatchReply{Term: 4, Confirmed: 2}},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				router, _ := newTenantRouter(always(fine))
				pause.For(t.Context(), testConfirmationTTL)
				asked := time.Now()
				pause.For(t.Context(), time.Second)
				router.adopt(&test.reply, &domainapi.WatchArguments{Term: 5}, asked)
				c.Assert(router.isConfirmed(time.Now()), qt.Equals, test.isConfirmed)
				pause.For(t.Context(), testConfirmationTTL-time.Second)
				c.Assert(router.isConfirmed(time.Now()), qt.IsFalse)
			})
		})
	}
}

func TestRevokedKeyIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		router, _ := newTenantRouter(always(fine))
		changed := tenantDocument(3)
		changed.Tenants[1].Keys = []keys.Hash{keys.HashAPIKey("key-9")}
		router.adoptDocument(changed)
		c.Assert(askAs(router, "/once/", Credential{Key: "key-2"}, Size{}).Code, qt.Equals, http.StatusUnauthorized)
		c.Assert(askAs(router, "/once/", Credential{Key: "key-9"}, Size{}).Code, qt.Equals, http.StatusOK)
	})
}

// grantLimit gives the router a share of the limit, as a leader would.
func grantLimit(router *Router, amount float64) {
	router.limits.limiter.Adopt(time.Now(), time.Now(), []quota.Grant{{Tenant: "limited", Amount: amount, Keep: amount}})
}

func TestRequestsWithinReserveAreAdmittedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		router, backend := newTenantRouter(always(fine))
		grantLimit(router, 500)
		key := Credential{Key: "key-1"}
		c.Assert(askAs(router, "/once/", key, Size{Tokens: 400}).Code, qt.Equals, http.StatusOK)
		// A request of unknown size costs PlainTokens.
		c.Assert(askAs(router, "/once/", key, Size{Tokens: NoSize}).Code, qt.Equals, http.StatusOK)
		c.Assert(backend.attempts, qt.HasLen, 2)
		// Without a leader, the router cannot tell whether the limit allows more.
		began := time.Now()
		refused := askAs(router, "/once/", key, Size{Tokens: 100})
		c.Assert(refused.Code, qt.Equals, http.StatusServiceUnavailable)
		c.Assert(time.Since(began), qt.Equals, limitWait)
		c.Assert(backend.attempts, qt.HasLen, 2)
	})
}

func TestRequestBeyondLimitGetsRetryAfter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		router, backend := newTenantRouter(always(fine))
		answered := make(chan *httptest.ResponseRecorder)
		go func() { answered <- askAs(router, "/once/", Credential{Key: "key-1"}, Size{Tokens: 100}) }()
		synctest.Wait()
		router.limits.mutex.Lock()
		router.limits.limiter.Adopt(time.Now(), time.Now(), []quota.Grant{{Tenant: "limited", RoomIn: 1700 * time.Millisecond}})
		router.limits.mutex.Unlock()
		refused := <-answered
		c.Assert(refused.Code, qt.Equals, http.StatusTooManyRequests)
		c.Assert(refused.Header().Get("Retry-After"), qt.Equals, "1.7")
		c.Assert(backend.attempts, qt.HasLen, 0)
	})
}

func TestChargeIsRefundedIfNotRun(t *testing.T) {
	for name, test := range map[string]struct {
		answer func() (*Answer, error)
		left   float64
	}{
		"not sent": {notSent, 500}, "shed": {shed, 500}, "answered": {fine, 100}, "failed": {failed, 100}, "lost": {broken, 100},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				router, _ := newTenantRouter(always(test.answer))
				grantLimit(router, 500)
				askAs(router, "/once/", Credential{Key: "key-1"}, Size{Tokens: 400})
				c.Assert(held(router), qt.Equals, test.left)
			})
		})
	}
}

// held returns the router's share of the limit of the limited tenant.
func held(router *Router) float64 {
	return router.limits.limiter.Held(time.Now(), "limited")
}

func TestCallerMayLeaveBeforeLimitDecision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		router, _ := newTenantRouter(always(fine))
		ctx, leave := context.WithCancel(t.Context())
		answered := make(chan *tenantRejection)
		go func() {
			tenant := &tenantDocument(2).Tenants[0]
			ticket := waiting.Ticket{Tenant: tenant.Name, Deadline: time.Now().Add(5 * time.Second)}
			_, refused := router.admit(ctx, tenant, &Request{Size: Size{Tokens: 100}}, ticket, poison.Digest{})
			answered <- refused
		}()
		synctest.Wait()
		leave()
		c.Assert((<-answered).outcome, qt.Equals, "caller_left")
		now, _ := router.limits.limiter.NeedsLeader(time.Now())
		c.Assert(now, qt.IsFalse)
	})
}
