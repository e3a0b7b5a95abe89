package relay

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/request/paths"
	"github.com/lotusferry/lotusferry/request/routing"
	"github.com/lotusferry/lotusferry/structs"
)

// attempt sends the request to a runner and forwards its response. A successor whose answer takes the place of this one is left in
// x.successor.
func (x *exchange) attempt(parent context.Context, choice routing.Choice) result {
	x.copied = nil
	d := x.newDispatch(parent, choice, &watchdog{isRepeated: x.sent > 0, wish: x.peerWish()})
	defer d.close()
	d.watchdog.observe(x)
	if x.mayLeaveRunner() {
		d.watchdog.start()
	}
	if !d.register() {
		return x.sendFailed(d.ctx, choice, d.watchdog.path, ErrNotSent)
	}
	x.beginCopy(choice)
	x.noteSending(d)
	d.send(&Attempt{ResumeAfter: x.lastEvent, CopyTo: x.copied.address(), IsContinuation: x.isContinuing})
	return x.finish(d)
}

// noteSending records that the request is sent to a runner whose answer may be forwarded.
func (x *exchange) noteSending(d *dispatch) {
	x.sent++
	x.path = d.watchdog.path
	x.runnerVersion = d.choice.Version()
	x.timing.noteSent(d.choice.Runner())
}

// finish forwards the response, and returns the result of the attempt.
func (x *exchange) finish(d *dispatch) result {
	ended := x.forward(d)
	x.successor = d.watchdog.end(ended)
	if x.successor == nil {
		x.countSuccessors(d.watchdog)
	}
	x.handoff = d.watchdog.handoff
	if ended.isDone {
		x.dropHandoff()
	}
	return ended
}

// countSuccessors takes over from an attempt how many successors may have run the request without their answers being used, and
// whether a retry is reserved.
func (x *exchange) countSuccessors(w *watchdog) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	x.sent += w.successorRuns
	x.attempts += w.successorRuns
	x.arrivals += w.successorRuns
	if !w.reservedAt.IsZero() {
		x.reservedAt = w.reservedAt
	}
}

// forward forwards the response, if there is one.
func (x *exchange) forward(d *dispatch) result {
	choice, path := d.choice, d.watchdog.path
	if d.err != nil {
		return x.sendFailed(d.ctx, choice, path, d.err)
	}
	x.arrivals++
	if d.begins(x.isStarted) {
		d.watchdog.resetSilence()
	}
	ended := x.receive(d.ctx, choice, d.answer, d.watchdog).withPeerLoss()
	x.noteLostPeer(path, ended)
	if ended.reason != "" || x.sent > 1 {
		x.logAttempt(choice, d.answer.Status, ended)
	}
	return ended
}

// tenantName returns the tenant's name, or "".
func (x *exchange) tenantName() string {
	if x.tenant == nil {
		return ""
	}
	return x.tenant.Name
}

// timeLeft returns the time until the deadline.
func (x *exchange) timeLeft() time.Duration { return x.deadline.Sub(x.router.now()) }

// runnerTime returns the time given to a runner.
func (x *exchange) runnerTime() time.Duration {
	left := x.timeLeft()
	return left - min(lastAnswerTime, left/lastAnswerShare)
}

func (x *exchange) sendFailed(ctx context.Context, choice routing.Choice, path paths.Path, err error) result {
	ended := sendFailure(err)
	if ended.isNotRun {
		if !errors.Is(context.Cause(ctx), errUnwanted) && !x.isContinuing {
			x.unsent++
		}
		if ctx.Err() == nil {
			x.router.noteNotReached(choice.Runner(), path, err)
		}
	} else {
		x.countRun()
		x.arrivals++
		if ctx.Err() == nil && path.IsDirect() && ended.reason == reasonSendFailed {
			x.router.connectionBroke(choice.Runner())
		}
	}
	if ctx.Err() != nil {
		ended = x.contextResult(ctx, ended)
	}
	ended = ended.withPeerLoss()
	x.noteLostPeer(path, ended)
	x.logAttempt(choice, 0, ended)
	return ended
}

// noteLostPeer has another peer used for the request after one through which an attempt was lost: whether the peer or
// the runner was lost cannot be told.
func (x *exchange) noteLostPeer(path paths.Path, ended result) {
	if ended.isLoss() {
		x.lostPeer = path.Peer
	}
}

// contextResult adds to a result the reason why the attempt's context ended.
func (x *exchange) contextResult(ctx context.Context, ended result) result {
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, errSilent):
		ended.reason = reasonSilent
	case errors.Is(cause, errZoneLost):
		ended.reason = reasonZoneLost
	case errors.Is(cause, errPathLost):
		ended.reason = reasonPathLost
	case errors.Is(cause, errPeerLost):
		ended.reason, ended.outcome = reasonPeerLost, routing.OutcomeNeutral
	case errors.Is(cause, errUnwanted):
		ended.reason = reasonUnwanted
		ended.outcome = routing.OutcomeNeutral
	case errors.Is(cause, errTimeout):
		ended.reason = "timeout"
		ended.outcome = routing.OutcomeNeutral
	case errors.Is(cause, errStopped):
		ended.reason = "router_stops"
		ended.outcome = routing.OutcomeNeutral
	default:
		ended.reason = reasonCallerLeft
		ended.outcome = routing.OutcomeNeutral
		ended.isDone = true
	}
	return ended
}

// receive reads a response and forwards it if it is final.
func (x *exchange) receive(ctx context.Context, choice routing.Choice, answer *Answer, watchdog *watchdog) result {
	switch {
	case x.isContinuing && answer.NotRun:
		return result{outcome: routing.OutcomeNeutral, isNotRun: true, reason: reasonNoCopy}
	case answer.NotHeld:
		x.countRejection()
		x.router.noteNotHeld(choice.Runner(), x.row)
		return result{outcome: routing.OutcomeUnavailable, isNotRun: true, reason: reasonNotHeld}
	case answer.NotRun:
		x.countRejection()
		x.noteRejection(choice.Runner())
		return result{outcome: routing.OutcomeRejected, isNotRun: true, reason: reasonShed}
	}
	x.countRun()
	if answer.Length > answer.maxBytes() && x.request.HTTP.Method != http.MethodHead {
		return tooLong()
	}
	if answer.IsStream && answer.Status == http.StatusOK {
		return x.relayStream(ctx, answer, watchdog)
	}
	if x.isContinuing {
		// The former run may have done part of the work, so that an error of the standby is not the
		// answer.
		return result{outcome: routing.OutcomeUnavailable, reason: reasonNotResumed}
	}
	return x.relayBuffered(ctx, answer, watchdog)
}

// countRun counts a runner that may have run the request. A continuation needs no attempt to be left, as it
// is the same run, but takes one: its standby may have begun a run of its own.
func (x *exchange) countRun() { x.attempts++ }

// countRejection counts a runner that rejected the request. A rejected continuation costs no more than
// its own try.
func (x *exchange) countRejection() {
	if !x.isContinuing {
		x.runnerRejections++
	}
}

// noteRejection records that a runner rejected the request. A runner that rejects it a second time
// is excluded.
func (x *exchange) noteRejection(runner structs.RunnerID) {
	if slices.Contains(x.rejectedBy, runner) {
		x.excluded = runner
	}
	x.rejectedBy = append(x.rejectedBy, runner)
}
