package fairqueue

import (
	"slices"
	"strings"
	"time"

	"github.com/lotusferry/lotusferry/placement/shares"
)

// wordLife is how long a word on shares counts. Older words say too little of a rush; then the
// clocks of this queue alone decide.
const wordLife = 2 * time.Second

// SetShares adopts a word on who is above its share over all routers. Until it is old, tenants that
// are not go first, and among them the least slack decides alone: there is enough for all of
// them.
func (q *Queue[V]) SetShares(at time.Time, word shares.Word) {
	if !word.IsKnown {
		return
	}
	q.toldUntil = at.Add(wordLife)
	for _, known := range q.tenants {
		known.isAbove = false
	}
	for _, share := range word.Above {
		q.tenant(share.Tenant).isAbove = true
	}
}

// TakeWork lists the work that was let in since it was last taken, and who waits, by tenant.
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
