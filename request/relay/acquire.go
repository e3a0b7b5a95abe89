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
	// maxWaitShare is the part of its time that a request may wait for a runner; after
	// it, its caller may still be served elsewhere or a little later.
	maxWaitShare = 0.45
	// turnPause separates two questions whether a suspected request may run now: a part of what a
	// short answer takes, and some tens of questions for a request at most.
	turnPause = 150 * time.Millisecond
)

// acquireTurn waits for a runner, and then for permission to send the request there, as long as the
// caller is likely to. The choice must be given back unless permission is denied.
func (x *exchange) acquireTurn(ctx context.Context) (routing.Choice, permit, error) {
	began := x.router.now()
	defer func() { x.waited += x.router.now().Sub(began) }()
	for {
		choice, err := x.acquire(ctx)
		if err != nil {
			return choice, permit{}, err
		}
		given := x.askPermit(ctx, choice.Runner())
		if x.timeLeft() <= 0 {
			// The machine may have been suspended, so that no timer has gone off.
			x.giveTurnBack(choice, given)
			return choice, given, errTimeout
		}
		if given.isGranted() {
			return choice, given, nil
		}
		x.giveChoiceBack(choice)
		mustEnd := given.permission == poison.Refused || x.router.now().Add(turnPause).After(x.waitLimit())
		if mustEnd || !pause.For(ctx, turnPause) {
			return choice, given, nil
		}
	}
}

// giveTurnBack gives up what acquireTurn returned.
func (x *exchange) giveTurnBack(choice routing.Choice, given permit) {
	x.giveChoiceBack(choice)
	x.noteEnd(choice.Runner(), given.isTrial(), result{isNotRun: true})
}

// giveChoiceBack gives up a runner that the request is not sent to, and the work that was counted for it.
func (x *exchange) giveChoiceBack(choice routing.Choice) {
	x.router.notServed(x.ticket)
	x.router.release(x.row, choice, routing.OutcomeNeutral)
}

// waitLimit is when a request that no runner was found for is given up.
func (x *exchange) waitLimit() time.Time {
	limit := x.request.Arrived.Add(share(x.deadline.Sub(x.request.Arrived), maxWaitShare))
	if x.route.Kind != site.KindStream || x.isStarted {
		return limit
	}
	patience := x.request.Arrived.Add(x.router.options.Patience.of(x.route) * 9 / 10)
	if patience.Before(limit) {
		return patience
	}
	return limit
}

// acquire waits for a runner.
func (x *exchange) acquire(ctx context.Context) (routing.Choice, error) {
	limit := x.waitLimit()
	ctx, cancel := context.WithTimeoutCause(ctx, limit.Sub(x.router.now()), errTimeout)
	defer cancel()
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	defer context.AfterFunc(x.router.stop.waiting, func() { end(errStopped) })()
	x.waiting = &waiter{
		row: x.row, work: x.work(), ticket: x.presentTicket(), until: limit,
		mayDefer: x.attempts == 0, home: x.home,
	}
	return x.router.acquire(ctx, x.waiting)
}

// work is what the request asks of a runner, and which runners it should not get.
func (x *exchange) work() routing.Work {
	work := routing.Work{
		Prefixes: x.prefixes, Prompt: x.request.Size.Uncached(0), Avoid: x.avoid, Barred: x.barred,
	}
	if x.home != nil {
		work.Zones = x.home.zones
	}
	end := int64(0)
	for _, part := range x.request.Size.Parts {
		end += part
		work.Lengths = append(work.Lengths, end)
	}
	return work
}
