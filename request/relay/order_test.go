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

// servedTime is what a stream takes at the runner of newCrowdedRouter.
const servedTime = 300 * time.Millisecond

// newCrowdedRouter has one runner for its model, with few places, and a second, patient route.
func newCrowdedRouter() (*Router, *scriptedBackend) {
	router, backend := newTestRouter(func(ctx context.Context, _ *Attempt) (*Answer, error) {
		pause.For(ctx, servedTime)
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

// come sends a request in the background and counts it as waiting for its answer.
func come(t *testing.T, router *Router, ctx context.Context, path, model string, answered chan<- *httptest.ResponseRecorder) {
	t.Helper()
	go func() {
		recorder, _ := ask(router, ctx, path, model)
		answered <- recorder
	}()
	synctest.Wait()
}

func waitingIn(router *Router) int {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	return router.rowState(residency.Row{Service: "engine", Model: "m"}).waiters.Len()
}

// fill sends requests until one waits, and returns how many were sent.
func fill(t *testing.T, router *Router, answered chan *httptest.ResponseRecorder) int {
	for sent := 1; ; sent++ {
		come(t, router, t.Context(), "/patient/filler", "m", answered)
		// The places are free one after the other.
		pause.For(t.Context(), 5*time.Millisecond)
		if waitingIn(router) > 0 {
			return sent
		}
	}
}

func TestUrgentRequestPassesOneThatCanWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		router, backend := newCrowdedRouter()
		answered := make(chan *httptest.ResponseRecorder, 20)
		sent := fill(t, router, answered)
		come(t, router, t.Context(), "/patient/second", "m", answered)
		come(t, router, t.Context(), "/stream/urgent", "m", answered)
		for range sent + 2 {
			c.Assert((<-answered).Code, qt.Equals, http.StatusOK)
		}
		// The first that was let in after the places were full.
		c.Assert(backend.attempts[sent-1].Request.HTTP.URL.Path, qt.Equals, "/stream/urgent")
	})
}

func TestCallerThatLeavesFreesItsPlaceAmongThoseThatWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		router, _ := newCrowdedRouter()
		answered := make(chan *httptest.ResponseRecorder, 20)
		fill(t, router, answered)
		ctx, leave := context.WithCancel(t.Context())
		come(t, router, ctx, "/patient/leaves", "m", answered)
		c.Assert(waitingIn(router), qt.Equals, 2)
		leave()
		synctest.Wait()
		c.Assert(waitingIn(router), qt.Equals, 1)
		pause.For(t.Context(), 5*time.Second)
	})
}

// Sixty requests wait where some ten a second are served. One that comes then and can wait has them all
// before it, and is told so at once; one that can still be in time goes before them.
func TestRequestThatTooManyGoBeforeIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		router, _ := newCrowdedRouter()
		answered := make(chan *httptest.ResponseRecorder, 100)
		come(t, router, t.Context(), "/patient/first", "m", answered)
		for range 60 {
			come(t, router, t.Context(), "/stream/x", "m", answered)
		}
		// Too little is known of the pace at first, and nobody is refused.
		c.Assert(answered, qt.HasLen, 0)
		pause.For(t.Context(), 1100*time.Millisecond)
		began := time.Now()
		refused, _ := ask(router, t.Context(), "/patient/late", "m")
		c.Assert(refused.Code, qt.Equals, http.StatusServiceUnavailable)
		c.Assert(time.Since(began), qt.Equals, time.Duration(0))
		c.Assert(refused.Body.String(), qt.Contains, "too many requests wait")
		c.Assert(retryAfter(c, refused) > returnSlack, qt.IsTrue)
		served, _ := ask(router, t.Context(), "/stream/late", "m")
		c.Assert(served.Code, qt.Equals, http.StatusOK)
		pause.For(t.Context(), 10*time.Second)
	})
}

// A tenant that is above its share over all routers waits for one that is not, until the word is old.
func TestWordOnSharesDecidesBetweenTenants(t *testing.T) {
	for name, test := range map[string]struct {
		age   time.Duration
		first string
	}{"fresh word": {0, "free"}, "old word": {3 * time.Second, "limited"}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				router, _ := newCrowdedRouter()
				document := tenantDocument(3)
				document.Tenants[0].Limit, document.Tenants[1].Priority = site.RateLimit{}, nil
				router.adoptDocument(document)
				router.queue.SetShares(router.now(), shares.Word{IsKnown: true, Above: []shares.Share{{Tenant: "limited", Use: 4}}})
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
