package relay

import (
	"errors"
	"net/http"
	"time"
)

// giveUp answers a request for which no runner was found in time. last is the result of the last
// attempt, if any.
func (x *exchange) giveUp(err error, last result) {
	var retry *retryLaterError
	switch {
	case errors.As(err, &retry) && x.attempts == 0:
		x.rejectWithRetryAfter(retry)
		return
	case errors.As(err, &retry):
		last.reason, last.err = reasonNoRunner, err
	case errors.Is(err, errStopped):
		last.reason, last.err = "router_stops", err
	case errors.Is(err, errTimeout):
		last.reason, last.err = reasonNoRunner, err
	default:
		x.count(reasonCallerLeft)
		x.logUnserved(reasonCallerLeft, statusAborted, err)
		x.abort()
	}
	x.conclude(last)
}

// abort closes the caller's connection without the answer, or without the rest of it, and does not return. A caller that has left may have closed its
// sending side alone, and net/http would send it an empty success, or the end of a stream.
func (x *exchange) abort() { panic(http.ErrAbortHandler) }

// conclude answers a request after its last attempt.
func (x *exchange) conclude(ended result) {
	if ended.answer != nil && !x.isStarted {
		x.logUnserved(ended.reason, ended.answer.status, ended.err)
		x.sendBuffered(ended.answer)
		x.count(ended.reason)
		return
	}
	x.fail(ended.reason, ended.err)
}

// fail answers a request that no runner answered. Status 503 promises that the request has not run;
// otherwise the status is 502, or 504 after the deadline.
func (x *exchange) fail(reason string, err error) {
	x.count(reason)
	status := x.unservedStatus()
	x.logUnserved(reason, status, err)
	message := "the runner's answer was lost: " + reason
	retryAfter := minRetryAfter
	if x.attempts == 0 {
		message = "no runner could take the request: " + reason
		if reason == reasonNoRunner || reason == reasonShed || reason == reasonBudget {
			retryAfter = x.router.retryAfter(x.waiter)
		}
	}
	x.answerUnserved(status, retryAfter, message)
}

// unservedStatus returns the status with which a request that no runner answered is answered.
func (x *exchange) unservedStatus() int {
	switch {
	case x.isStarted:
		return statusAborted
	case x.attempts == 0:
		return http.StatusServiceUnavailable
	case x.timeLeft() <= 0:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

// answerUnserved answers a request that no runner answered, with its unservedStatus, or aborts a response that has started.
// Only callers of requests that have not run get a Retry-After.
func (x *exchange) answerUnserved(status int, retryAfter time.Duration, message string) {
	switch status {
	case statusAborted:
		x.abort()
	case http.StatusServiceUnavailable:
		reject(x.writer, status, retryAfter, message)
	case http.StatusGatewayTimeout:
		reject(x.writer, status, 0, "the request took too long")
	default:
		reject(x.writer, status, 0, message)
	}
}
