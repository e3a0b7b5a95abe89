package relay

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/placement/residency"
)

// A tenant pays for the turns that its requests use, and not for those that are given back unused, such
// as when its service may repeat no more.
func TestTurnThatIsGivenBackIsNotCharged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		router, _ := newTestRouter(nil)
		document := tenantDocument(2)
		router.adoptDocument(document)
		router.adoptView(holders("p1"))
		request := &Request{Arrived: time.Now()}
		x := &exchange{
			router: router, request: request, route: &document.Routes[0], tenant: &document.Tenants[0],
			ticket: ticketOf(request, &document.Routes[0], &document.Tenants[0]), row: residency.Row{Service: "plain"},
			deadline: time.Now().Add(10 * time.Second),
		}
		choice, given, err := x.acquireTurn(t.Context())
		c.Assert(err, qt.IsNil)
		x.giveTurnBack(choice, given)
		c.Assert(router.queue.TakeWork(), qt.HasLen, 0)
	})
}
