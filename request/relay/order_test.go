package relay

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/internal/pause"
	"github.com/lotusferry/lotusferry/placement/fleet"
	"github.com/lotusferry/lotusferry/placement/residency"
	"github.com/lotusferry/lotusferry/placement/shares"
	"github.com/lotusferry/lotusferry/placement/site"
	"github.com/lotusferry/lotusferry/request/fairqueue"
)

type fairEntry = fairqueue.Entry[*waiter]

// streamTime is the duration of a stream at the runner of newCrowdedRouter.
const streamTime = 300 * time.Millisecond

// newCrowdedRouter returns a router with a single one-slot runner for its model, and a second route
// with a long objective.
func newCrowdedRouter() (*Router, *scriptedBackend) {
	router, backend := newTestRouter(func(ctx context.Context, _ *Attempt) (*Answer, error) {
		pause.For(ctx, streamTime)
		return stream(events(1, 1), io.EOF)
	})
	document := testDocument()
	document.Version = 2
	patient := document.Routes[2]
	patient.Name, patient.PathPrefix, patient.Objective = "patient", "/patient/", 6*time.Second
	document.Routes = append(document.Routes, patient)
	router.adoptDocument(document)
	router.adoptView(fleet.View{Complete: true, Runners: []fleet.Runner{
		{Instance: "e1", Service: "engine", Address: "e1", Slots: 1, Models: []fleet.LoadedModel{{Name: "m"}}},
	}, Gone: []string{"e2", "p1", "p2"}})
	return router, backend
}

// askAsync sends a request in the background and returns once it is waiting.
func askAsync(t *testing.T, router *Router, ctx context.Context, path, model string, answered chan<- *httptest.ResponseRecorder) {
	t.Helper()
	go func() {
		recorder, _ := ask(router, ctx, path, model)
		answered <- recorder
	}()
	synctest.Wait()
}

func waitingCount(router *Router) int {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	return router.rowState(residency.Row{Service: "engine", Model: "m"}).waiters.Len()
}

// fillRunner sends requests until one waits, and returns how many were sent.
func fillRunner(t *testing.T, router *Router, answered chan *httptest.ResponseRecorder) int {
	for sent := 1; ; sent++ {
		askAsync(t, router, t.Context(), "/patient/filler", "m", answered)
		// The slots are freed one after the other.
		pause.For(t.Context(), 5*time.Millisecond)
		if waitingCount(router) > 0 {
			return sent
		}
	}
}

func TestUrgentRequestOvertakesOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		router, backend := newCrowdedRouter()
		answered := make(chan *httptest.ResponseRecorder, 20)
		sent := fillRunner(t, router, answered)
		askAsync(t, router, t.Context(), "/patient/second", "m", answered)
		askAsync(t, router, t.Context(), "/stream/urgent", "m", answered)
		for range sent + 2 {
			c.Assert((<-answered).Code, qt.Equals, http.StatusOK)
		}
		// This is the first one served after the runner was full.
		c.Assert(backend.attempts[sent-1].Request.HTTP.URL.Path, qt.Equals, "/stream/urgent")
	})
}

func TestCanceledRequestLeavesQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		router, _ := newCrowdedRouter()
		answered := make(chan *httptest.ResponseRecorder, 20)
		fillRunner(t, router, answered)
		ctx, leave := context.WithCancel(t.Context())
		askAsync(t, router, ctx, "/patient/leaves", "m", answered)
		c.Assert(waitingCount(router), qt.Equals, 2)
		leave()
		synctest.Wait()
		c.Assert(waitingCount(router), qt.Equals, 1)
		pause.For(t.Context(), 5*time.Second)
	})
}

// With sixty requests waiting, a request with a late deadline must be rejected at once, and an
// urgent one served.
func TestRequestBehindLongQueueIsRejectedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		router, _ := newCrowdedRouter()
		answered := make(chan *httptest.ResponseRecorder, 100)
		askAsync(t, router, t.Context(), "/patient/first", "m", answered)
		for range 60 {
			askAsync(t, router, t.Context(), "/stream/x", "m", answered)
		}
		// At first the service rate is unknown and no request is rejected.
		c.Assert(answered, qt.HasLen, 0)
		pause.For(t.Context(), 1100*time.Millisecond)
		began := time.Now()
		refused, _ := ask(router, t.Context(), "/patient/late", "m")
		c.Assert(refused.Code, qt.Equals, http.StatusServiceUnavailable)
		c.Assert(time.Since(began), qt.Equals, time.Duration(0))
		c.Assert(refused.Body.String(), qt.Contains, "too many requests wait")
		c.Assert(retryAfter(c, refused) > retrySlack, qt.IsTrue)
		served, _ := ask(router, t.Context(), "/stream/late", "m")
		c.Assert(served.Code, qt.Equals, http.StatusOK)
		pause.For(t.Context(), 10*time.Second)
	})
}

// A tenant above its share over all routers must wait for one below it, until the shares reported
// by the leader expire.
func TestReportedSharesOrderTenants(t *testing.T) {
	for name, test := range map[string]struct {
		age   time.Duration
		first string
	}{"fresh shares": {0, "free"}, "expired shares": {3 * time.Second, "limited"}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				router, _ := newCrowdedRouter()
				document := tenantDocument(3)
				document.Tenants[0].Limit, document.Tenants[1].Priority = site.RateLimit{}, nil
				router.adoptDocument(document)
				router.queue.SetShares(router.now(), shares.Overuse{IsKnown: true, Above: []shares.Share{{Tenant: "limited", Use: 4}}})
				pause.For(t.Context(), test.age)
				var first string
				row := residency.Row{Service: "engine", Model: "m"}
				for _, tenant := range []int{1, 0} {
					wanted := &waiter{row: row, ticket: ticketOf(&Request{Arrived: time.Now()}, &document.Routes[2], &document.Tenants[tenant])}
					router.mutex.Lock()
					for {
						if _, found := router.pickFirst(router.rowState(row), wanted); !found {
							break
						}
					}
					router.mutex.Unlock()
				}
				router.queue.ServeRow(router.now(), &router.rowState(row).waiters, func(entry *fairEntry) bool {
					if first == "" {
						first = entry.Ticket.Tenant
					}
					return false
				})
				c.Assert(first, qt.Equals, test.first)
			})
		})
	}
}
