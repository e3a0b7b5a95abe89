package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/lotusferry/lotusferry/request/routing"
	"github.com/lotusferry/lotusferry/structs"
)

// relayStream passes on whole events, each as it comes.
func (x *exchange) relayStream(ctx context.Context, answer *Answer, watchdog *watchdog) result {
	if !answer.Signed {
		return result{outcome: routing.OutcomeBroken, reason: "not_signed"}
	}
	controller := http.NewResponseController(x.writer)
	var events eventSplitter
	buffer := make([]byte, streamBuffer)
	for {
		count, err := answer.Body.Read(buffer)
		if count > 0 {
			watchdog.heard()
			events.add(buffer[:count])
			if failure := x.passEvents(answer, &events, controller); failure != nil {
				return result{outcome: routing.OutcomeNeutral, isDone: true, reason: "caller_left", err: failure}
			}
		}
		switch {
		case err == nil:
			continue
		case errors.Is(err, io.EOF) && events.isEmpty():
			if !x.isStarted {
				x.start(answer)
			}
			return result{outcome: routing.OutcomeSuccess, isDone: true}
		case ctx.Err() != nil:
			return x.ended(ctx, result{outcome: routing.OutcomeBroken, err: err})
		}
		return result{outcome: routing.OutcomeBroken, reason: reasonCutShort, err: err}
	}
}

// streamBuffer is read at once from a stream.
const streamBuffer = 8 << 10

// passEvents passes on the whole events that have come. Events that the caller has
// already are dropped.
func (x *exchange) passEvents(answer *Answer, events *eventSplitter, controller *http.ResponseController) error {
	written := 0
	for event := events.next(); event != nil; event = events.next() {
		if number, found := eventID(event); found {
			if number <= x.lastEvent {
				continue
			}
			x.lastEvent = number
		}
		if !x.isStarted {
			// The length is that of one runner's answer only.
			answer.Length = -1
			x.start(answer)
		}
		if _, err := x.writer.Write(event); err != nil {
			return err
		}
		written++
	}
	if written == 0 {
		return nil
	}
	x.seen.passed(time.Now(), written)
	if x.seen.tellsGap() {
		x.noteGap()
	}
	return controller.Flush()
}

// sent notes that the request is sent to a runner now.
func (s *streamTiming) sent(runner structs.RunnerID) {
	s.runner = runner
	s.sentAt = time.Now()
}
