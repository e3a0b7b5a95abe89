package relay

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/placement/residency"
)

// A tenant must not be charged for a runner that is released unused, as when the retry budget is
// exhausted.
func TestReleasedRunnerIsNotCharged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		router, _ := newTestRouter(nil)
		document := tenantDocument(2)
		router.adoptDocument(document)
		router.adoptView(plainView("p1"))
		request := &Request{Arrived: time.Now()}
		x := &exchange{
			router: router, request: request, route: &document.Routes[0], tenant: &document.Tenants[0],
			ticket: ticketOf(request, &document.Routes[0], &document.Tenants[0]), row: residency.Row{Service: "plain"},
			deadline: time.Now().Add(10 * time.Second),
		}
		choice, given, err := x.acquireRunner(t.Context())
		c.Assert(err, qt.IsNil)
		x.releaseRunner(choice, given)
		c.Assert(router.queue.TakeWork(), qt.HasLen, 0)
	})
}
