package relay

import (
	"context"
	"time"

	"github.com/lotusferry/lotusferry/internal/pause"
	"github.com/lotusferry/lotusferry/placement/poison"
	"github.com/lotusferry/lotusferry/placement/site"
	"github.com/lotusferry/lotusferry/request/routing"
)

const (
	// maxWaitShare is the largest fraction of its time that a request waits for a runner. The rest
	// is left for the caller to be served elsewhere or on a retry.
	maxWaitShare = 0.45
	// permitRetryDelay is the interval between permission requests for a suspected request.
	permitRetryDelay = 150 * time.Millisecond
)

// acquireRunner waits for a runner and for permission to send the request to it, until waitLimit.
// The choice must be released unless permission is denied.
func (x *exchange) acquireRunner(ctx context.Context) (routing.Choice, permit, error) {
	began := x.router.now()
	defer func() { x.waited += x.router.now().Sub(began) }()
	for {
		choice, err := x.awaitRunner(ctx)
		if err != nil {
			return choice, permit{}, err
		}
		given := x.requestPermit(ctx, choice.Runner())
		if x.timeLeft() <= 0 {
			// Timers do not fire while the machine is suspended.
			x.releaseRunner(choice, given)
			return choice, given, errTimeout
		}
		if ctx.Err() != nil {
			x.releaseRunner(choice, given)
			return choice, given, context.Cause(ctx)
		}
		if x.isTooLateToBegin() {
			x.releaseRunner(choice, given)
			return choice, given, errStopped
		}
		if given.isGranted() {
			return choice, given, nil
		}
		x.releaseChoice(choice)
		mustEnd := given.permission == poison.Refused || x.router.now().Add(permitRetryDelay).After(x.waitLimit())
		if mustEnd || !pause.For(ctx, permitRetryDelay) {
			return choice, given, nil
		}
	}
}

// isTooLateToBegin reports whether the router rejects requests that wait, and this one was not sent yet: there may be too little time left
// for its answer. Its body may have come late.
func (x *exchange) isTooLateToBegin() bool { return x.sent == 0 && x.router.stop.waiting.Err() != nil }

// releaseRunner undoes acquireRunner for a request that is not sent.
func (x *exchange) releaseRunner(choice routing.Choice, given permit) {
	x.releaseChoice(choice)
	x.reportEnd(choice.Runner(), given, result{isNotRun: true})
}

// releaseChoice releases a runner that the request is not sent to, and refunds the work charged for
// it.
func (x *exchange) releaseChoice(choice routing.Choice) {
	x.router.refundWork(x.ticket)
	x.router.release(x.row, choice, routing.OutcomeNeutral)
}

// waitLimit returns the time at which a request without a runner is abandoned.
func (x *exchange) waitLimit() time.Time {
	limit := x.request.Arrived.Add(fraction(x.deadline.Sub(x.request.Arrived), maxWaitShare))
	if x.route.Kind != site.KindStream || x.isStarted {
		return limit
	}
	maxWait := x.request.Arrived.Add(x.router.options.MaxWait.of(x.route) * 9 / 10)
	if maxWait.Before(limit) {
		return maxWait
	}
	return limit
}

// awaitRunner waits for a runner until waitLimit.
func (x *exchange) awaitRunner(ctx context.Context) (routing.Choice, error) {
	limit := x.waitLimit()
	ctx, cancel := context.WithTimeoutCause(ctx, limit.Sub(x.router.now()), errTimeout)
	defer cancel()
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	defer context.AfterFunc(x.router.stop.waiting, func() { end(errStopped) })()
	x.waiter = &waiter{
		row: x.row, work: x.work(), ticket: x.currentTicket(), until: limit,
		mayDefer: x.attempts == 0, regions: x.regions,
	}
	return x.router.acquire(ctx, x.waiter)
}

// work returns what the request needs from a runner and which runners to avoid.
func (x *exchange) work() routing.Work {
	work := routing.Work{
		Prefixes: x.prefixes, Prompt: x.request.Size.Uncached(0), Avoid: x.avoid, Excluded: x.excluded,
		Version: x.boundVersion,
	}
	if x.regions != nil {
		work.Zones = x.regions.zones
	}
	end := int64(0)
	for _, part := range x.request.Size.Parts {
		end += part
		work.Lengths = append(work.Lengths, end)
	}
	return work
}
