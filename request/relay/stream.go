package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/placement/residency"
	"github.com/lotusferry/lotusferry/placement/site"
	"github.com/lotusferry/lotusferry/request/routing"
)

// relayStream passes on whole events, each as it comes.
func (x *exchange) relayStream(ctx context.Context, answer *Answer, watchdog *watchdog) result {
	if !answer.Signed {
		return result{outcome: routing.OutcomeBroken, reason: reasonNotSigned}
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
	x.notePassed(written)
	return controller.Flush()
}

const (
	// maxGaps are the gaps kept of a stream, minGaps the least that tell its pace.
	maxGaps = 48
	minGaps = 8
)

// notePassed notes that events were passed on now.
func (x *exchange) notePassed(events int) {
	at := time.Now()
	if !x.passedAt.IsZero() {
		gap := at.Sub(x.passedAt)
		x.pause = max(x.pause, gap)
		if events == 1 && len(x.gaps) < maxGaps {
			x.gaps = append(x.gaps, gap)
		}
	}
	x.passedAt = at
}

// notePace tells the router the usual gap of a stream that one runner made.
func (x *exchange) notePace(choice routing.Choice) {
	if x.route.Kind != site.KindStream || x.attempts != 1 || x.row.Model == "" {
		return
	}
	pace := residency.Pace{
		Service: x.row.Service, Model: x.row.Model, Instance: string(choice.Runner()),
		Paused: x.route.MaxPause > 0 && x.pause > x.route.MaxPause,
	}
	if len(x.gaps) >= minGaps {
		slices.Sort(x.gaps)
		pace.Gap = x.gaps[len(x.gaps)/4]
	}
	x.router.notePace(pace)
}
