package fairqueue

import (
	"slices"
	"strings"
	"time"

	"github.com/lotusferry/lotusferry/placement/shares"
)

// sharesTTL is how long a report on shares is used before the clocks of this queue decide
// alone.
const sharesTTL = 2 * time.Second

// SetShares adopts a report on the tenants above their share over all routers. Until it
// expires, tenants within their share go first, ordered by slack alone, as there is enough
// capacity for all of them.
func (q *Queue[V]) SetShares(at time.Time, report shares.Overuse) {
	if !report.IsKnown {
		return
	}
	q.sharesUntil = at.Add(sharesTTL)
	for _, known := range q.tenants {
		known.isAboveShare = false
	}
	for _, share := range report.Above {
		q.tenant(share.Tenant).isAboveShare = true
	}
}

// TakeWork returns the work admitted since the last call and the waiting requests, by tenant.
func (q *Queue[V]) TakeWork() []shares.Work {
	var works []shares.Work
	for name, known := range q.tenants {
		if name == "" || known.done == 0 && known.waiting == 0 {
			continue
		}
		works = append(works, shares.Work{Tenant: name, Done: known.done, Waiting: known.waiting})
		known.done = 0
	}
	slices.SortFunc(works, func(a, b shares.Work) int { return strings.Compare(a.Tenant, b.Tenant) })
	return works
}
