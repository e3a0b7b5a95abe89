package relay

import "context"

// stops holds the contexts of the two phases of a graceful shutdown.
type stops struct {
	// waiting ends when requests without a runner are to be rejected.
	waiting       context.Context
	rejectWaiting context.CancelFunc
	// cut ends when all remaining requests are to be ended.
	cut       context.Context
	cancelAll context.CancelFunc
}

func newStops() stops {
	var made stops
	made.waiting, made.rejectWaiting = context.WithCancel(context.Background())
	made.cut, made.cancelAll = context.WithCancel(context.Background())
	return made
}

// RejectWaiting rejects the requests that wait for a runner, now and in the future, so that their
// callers can use another router in time.
func (r *Router) RejectWaiting() { r.stop.rejectWaiting() }

// CancelAll ends all requests in progress: those whose response has not started get an error response,
// the others are aborted.
func (r *Router) CancelAll() { r.stop.cancelAll() }
