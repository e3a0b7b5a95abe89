package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/lotusferry/lotusferry/request/routing"
)

type bufferedAnswer struct {
	status int
	header http.Header
	body   []byte
}

// relayBuffered reads the whole response before sending any of it, so that a truncated response can
// be retried.
func (x *exchange) relayBuffered(ctx context.Context, answer *Answer, watchdog *watchdog) result {
	switch {
	case x.isStarted:
		// A stream that has started can only be continued by another stream.
		return result{outcome: routing.OutcomeUnavailable, reason: reasonNotResumed}
	case !answer.isFailure() && !answer.Signed:
		return result{outcome: routing.OutcomeBroken, reason: reasonNotSigned}
	}
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxBuffered+1))
	switch {
	case err != nil && ctx.Err() != nil:
		return x.contextResult(ctx, result{outcome: routing.OutcomeBroken, err: err})
	case err != nil:
		return cutShort(err)
	case x.isFalsePromise(answer):
		return result{outcome: routing.OutcomeUnavailable, reason: reasonRunnerFailed, err: errNoPromise}
	case len(body) > maxBuffered && answer.isFailure():
		return tooLong()
	case len(body) > maxBuffered:
		watchdog.stop()
		return x.relayLarge(ctx, answer, body)
	}
	whole := &bufferedAnswer{status: answer.Status, header: answer.Header, body: body}
	if answer.Status >= http.StatusInternalServerError {
		ended := result{outcome: routing.OutcomeUnavailable, reason: reasonRunnerFailed, answer: whole}
		if answer.Status == http.StatusGatewayTimeout {
			// The deadline was too short, which is no fault of the runner.
			ended.outcome = routing.OutcomeNeutral
		}
		return ended
	}
	x.sendBuffered(whole)
	return result{outcome: routing.OutcomeSuccess, isDone: true}
}

// errNoPromise means that a runner answered with a status that promises that the request has not run, and did not say so.
var errNoPromise = errors.New("the runner's status promises that the request has not run, and its header does not")

// isFalsePromise reports whether the caller would take the runner's answer for a promise that the request has not run and may be
// sent again, although the runner did not make it and the request may run only once.
func (x *exchange) isFalsePromise(answer *Answer) bool {
	switch answer.Status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return !x.route.MayRepeat()
	}
	return false
}

// relayLarge forwards a successful response that exceeds maxBuffered. begun holds the bytes read so far.
func (x *exchange) relayLarge(ctx context.Context, answer *Answer, begun []byte) result {
	// The events of a continuation cannot follow a body that is no stream.
	x.endResumption()
	x.sendHeader(answer)
	if _, err := x.writer.Write(begun); err != nil {
		return result{outcome: routing.OutcomeNeutral, isDone: true, reason: reasonCallerLeft, err: err}
	}
	left := maxAnswerBytes - int64(len(begun))
	copied, err := io.Copy(x.writer, io.LimitReader(answer.Body, left+1))
	switch {
	case copied > left:
		return tooLong()
	case err != nil && ctx.Err() != nil:
		return x.contextResult(ctx, result{outcome: routing.OutcomeBroken, err: err})
	case err != nil:
		return cutShort(err)
	}
	return result{outcome: routing.OutcomeSuccess, isDone: true}
}

func (x *exchange) sendHeader(answer *Answer) {
	copyHeader(x.writer.Header(), answer.Header)
	if answer.Length >= 0 {
		x.writer.Header().Set("Content-Length", strconv.FormatInt(answer.Length, 10))
	}
	x.writer.WriteHeader(answer.Status)
	x.isStarted, x.startedAt = true, x.router.now()
}

// sendBuffered writes a buffered response to the caller.
func (x *exchange) sendBuffered(whole *bufferedAnswer) {
	copyHeader(x.writer.Header(), whole.header)
	x.writer.Header().Set("Content-Length", strconv.Itoa(len(whole.body)))
	x.writer.WriteHeader(whole.status)
	x.isStarted, x.startedAt = true, x.router.now()
	_, _ = x.writer.Write(whole.body)
}

// reject writes a response of the router itself.
func reject(writer http.ResponseWriter, status int, retryAfter time.Duration, message string) {
	header := writer.Header()
	header.Set("Content-Type", "text/plain; charset=utf-8")
	if retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', -1, 64))
	}
	header.Set("Content-Length", strconv.Itoa(len(message)+1))
	writer.WriteHeader(status)
	_, _ = io.WriteString(writer, message+"\n")
}

// copyHeader copies a response header. A nil Content-Type keeps net/http from adding one that the
// runner did not send.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
	if _, known := from["Content-Type"]; !known {
		to["Content-Type"] = nil
	}
}
