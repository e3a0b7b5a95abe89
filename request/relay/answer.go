package relay

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/lotusferry/lotusferry/request/routing"
)

type wholeAnswer struct {
	status int
	header http.Header
	body   []byte
}

// relayWhole reads the whole answer before it is passed on, so that one that is cut
// short can be asked for again.
func (x *exchange) relayWhole(ctx context.Context, answer *Answer, watchdog *watchdog) result {
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxBuffered+1))
	switch {
	case err != nil && ctx.Err() != nil:
		return x.ended(ctx, result{outcome: routing.OutcomeBroken, err: err})
	case err != nil:
		return result{outcome: routing.OutcomeBroken, reason: reasonCutShort, err: err}
	case x.isStarted:
		// A stream that goes on elsewhere must go on as a stream.
		return result{outcome: routing.OutcomeRefused, reason: "not_resumed"}
	case answer.Status < http.StatusMultipleChoices && !answer.Signed:
		return result{outcome: routing.OutcomeBroken, reason: reasonNotSigned}
	case len(body) > maxBuffered:
		watchdog.stop()
		return x.relayLarge(answer, body)
	}
	whole := &wholeAnswer{status: answer.Status, header: answer.Header, body: body}
	if answer.Status >= http.StatusInternalServerError {
		ended := result{outcome: routing.OutcomeRefused, reason: reasonRunnerFailed, answer: whole}
		if answer.Status == http.StatusGatewayTimeout {
			// The time was too short, which is not the runner's fault.
			ended.outcome = routing.OutcomeNeutral
		}
		return ended
	}
	x.pass(whole)
	return result{outcome: routing.OutcomeSuccess, isDone: true}
}

// relayLarge passes on an answer that is too large to be held.
func (x *exchange) relayLarge(answer *Answer, begun []byte) result {
	x.start(answer)
	if _, err := x.writer.Write(begun); err != nil {
		return result{outcome: routing.OutcomeNeutral, isDone: true, reason: "caller_left", err: err}
	}
	if _, err := io.Copy(x.writer, answer.Body); err != nil {
		return result{outcome: routing.OutcomeBroken, reason: reasonCutShort, err: err}
	}
	return result{outcome: routing.OutcomeSuccess, isDone: true}
}

func (x *exchange) start(answer *Answer) {
	copyHeader(x.writer.Header(), answer.Header)
	if answer.Length >= 0 {
		x.writer.Header().Set("Content-Length", strconv.FormatInt(answer.Length, 10))
	}
	x.writer.WriteHeader(answer.Status)
	x.isStarted, x.begunAt = true, x.router.now()
}

// pass sends a whole answer to the caller.
func (x *exchange) pass(whole *wholeAnswer) {
	copyHeader(x.writer.Header(), whole.header)
	x.writer.Header().Set("Content-Length", strconv.Itoa(len(whole.body)))
	x.writer.WriteHeader(whole.status)
	x.isStarted, x.begunAt = true, x.router.now()
	_, _ = x.writer.Write(whole.body)
}

// refuse answers in the router's own name.
func refuse(writer http.ResponseWriter, status int, retryAfter time.Duration, message string) {
	header := writer.Header()
	header.Set("Content-Type", "text/plain; charset=utf-8")
	if retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', -1, 64))
	}
	header.Set("Content-Length", strconv.Itoa(len(message)+1))
	writer.WriteHeader(status)
	_, _ = io.WriteString(writer, message+"\n")
}

// copyHeader copies an answer's header. net/http would add a content type that the
// runner did not give.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
	if _, known := from["Content-Type"]; !known {
		to["Content-Type"] = nil
	}
}
