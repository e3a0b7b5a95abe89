package quota

import (
	"cmp"
	"slices"
	"time"
)

// Ask describes a waiting request, to decide which requests are admitted when a tenant exceeds its
// limit. Durations count from the query.
type Ask struct {
	// Class is the class of the request.
	Class string
	// Digest identifies the request when its caller retries; 0 if it cannot be identified.
	Digest uint64
	// Due is the time left until an answer would be late.
	Due time.Duration
	// Away is how long the caller may wait before it retries and still be served in time.
	Away time.Duration
}

// Answer is the decision on a request. A request that is neither admitted nor has a retry delay is
// undecided.
type Answer struct {
	IsAdmitted bool
	// ComeBackIn is the delay before a retry of a rejected request.
	ComeBackIn time.Duration
}

// asks returns the descriptions of the waiting requests and reports whether each may be answered
// individually. Routers of the previous version send none and serve their requests in order.
func (w Want) asks() (asks []Ask, isIndividual bool) {
	if len(w.Asks) == len(w.Waiting) {
		return w.Asks, true
	}
	return make([]Ask, len(w.Waiting)), false
}

// order returns the indices of the waiting requests, sorted by deadline and then by cost. It keeps
// the order of routers of the previous version.
func (w Want) order() []int {
	order := make([]int, len(w.Waiting))
	for i := range order {
		order[i] = i
	}
	if len(w.Asks) == len(w.Waiting) && len(order) > 1 {
		slices.SortStableFunc(order, func(a, b int) int {
			return cmp.Or(cmp.Compare(w.Asks[a].Due, w.Asks[b].Due), cmp.Compare(w.Waiting[a], w.Waiting[b]))
		})
	}
	return order
}
