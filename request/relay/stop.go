package relay

import "context"

// stops are the two steps of a planned stop.
type stops struct {
	// waiting ends when requests that no runner has got yet are to be refused.
	waiting       context.Context
	refuseWaiting context.CancelFunc
	// cut ends when whatever is left is to be answered at once.
	cut    context.Context
	cutAll context.CancelFunc
}

func newStops() stops {
	var made stops
	made.waiting, made.refuseWaiting = context.WithCancel(context.Background())
	made.cut, made.cutAll = context.WithCancel(context.Background())
	return made
}

// RefuseWaiting refuses the requests that wait for a runner, now and from now on, so
// that their callers find another router in time.
func (r *Router) RefuseWaiting() { r.stop.refuseWaiting() }

// CutAll ends all requests in progress: those whose answers have not begun are
// answered, the others are broken off.
func (r *Router) CutAll() { r.stop.cutAll() }
