package quota

import (
	"cmp"
	"slices"
	"time"
)

// Ask tells what decides which of a tenant's requests get room while it asks for more than its
// limit. Times count from the question.
type Ask struct {
	// Class names the kind of request.
	Class string
	// Digest names the request, so that it is known when its caller comes back; 0 for one that
	// cannot be known.
	Digest uint64
	// Due is how much longer an answer would be in time.
	Due time.Duration
	// Away is how long its caller may stay away and still be served after it came back.
	Away time.Duration
}

// Answer is what becomes of a request. One that is neither admitted nor told to come back is
// not decided yet.
type Answer struct {
	IsAdmitted bool
	ComeBackIn time.Duration
}

// asks returns those of the requests that wait, and whether each may be answered by itself.
// Routers of the version before send none: what they are granted serves their requests in the
// order in which they wait.
func (w Want) asks() (asks []Ask, isEach bool) {
	if len(w.Asks) == len(w.Waiting) {
		return w.Asks, true
	}
	return make([]Ask, len(w.Waiting)), false
}

// order lists the requests that wait by their place in the question: the one that is late soonest
// first, and of two the smaller. It leaves the order to routers of the version before.
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
