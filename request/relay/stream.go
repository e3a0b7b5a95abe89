package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/lotusferry/lotusferry/request/routing"
	"github.com/lotusferry/lotusferry/request/standby"
	"github.com/lotusferry/lotusferry/structs"
)

// relayStream forwards complete events as they arrive.
func (x *exchange) relayStream(ctx context.Context, answer *Answer, watchdog *watchdog) result {
	if !answer.Signed {
		return result{outcome: routing.OutcomeBroken, reason: reasonNotSigned}
	}
	controller := http.NewResponseController(x.writer)
	reader := eventReader{answer: answer, watchdog: watchdog, buffer: make([]byte, streamBuffer)}
	events := &reader.events
	for {
		watchdog.beginRead()
		err := reader.read()
		isWhole := errors.Is(err, io.EOF) && events.isEmpty()
		switch {
		case watchdog.endRead(events.hasNext() || isWhole) && !isWhole:
			return x.contextResult(ctx, result{outcome: routing.OutcomeBroken, err: err})
		case errors.Is(err, ErrAnswerTooLong):
			return tooLong()
		}
		if events.hasNext() || events.isFull() {
			lastEvent := x.lastEvent
			watchdog.setForwarding(true)
			failure := x.passEvents(answer, events, controller, watchdog)
			watchdog.setForwarding(false)
			switch {
			case errors.Is(failure, errNotContinuous):
				return result{outcome: routing.OutcomeUnavailable, reason: reasonNotContinuous, err: failure}
			case errors.Is(failure, ErrAnswerTooLong):
				return tooLong()
			case failure != nil:
				return result{outcome: routing.OutcomeNeutral, isDone: true, reason: reasonCallerLeft, err: failure}
			}
			if x.lastEvent != lastEvent {
				watchdog.noteProgress()
			}
		}
		switch {
		case err == nil:
			continue
		case errors.Is(err, io.EOF) && events.isEmpty() && x.isContinuing && !x.handover.HasPassed():
			// Nothing shows that this is the caller's stream, and an empty answer would look complete.
			return result{outcome: routing.OutcomeUnavailable, reason: reasonNotContinuous, err: errNotContinuous}
		case errors.Is(err, io.EOF) && events.isEmpty():
			if !x.isStarted {
				x.sendHeader(answer)
			}
			return result{outcome: routing.OutcomeSuccess, isDone: true}
		case ctx.Err() != nil:
			return x.contextResult(ctx, result{outcome: routing.OutcomeBroken, err: err})
		}
		return cutShort(err)
	}
}

// streamBuffer is the size of the read buffer in bytes.
const streamBuffer = 8 << 10

// eventReader reads the events of an answer.
type eventReader struct {
	answer   *Answer
	watchdog *watchdog
	buffer   []byte
	events   eventSplitter
	// received is the number of bytes so far.
	received int64
}

// read reads until an event or a comment is complete, or too long, or until the answer ends or is too long.
func (e *eventReader) read() error {
	for {
		count, err := e.answer.Body.Read(e.buffer)
		if e.received += int64(count); e.received > e.answer.maxBytes() {
			return ErrAnswerTooLong
		}
		if count > 0 {
			e.events.add(e.buffer[:count])
			e.watchdog.noteBytes(!e.events.hasNext())
		}
		if err != nil || e.events.hasNext() || e.events.isFull() {
			return err
		}
	}
}

// passEvents forwards the complete events received so far, except those that the caller already
// has.
func (x *exchange) passEvents(answer *Answer, events *eventSplitter, controller *http.ResponseController, watchdog *watchdog) error {
	written, isComplete, hasPassed := 0, false, false
	defer func() {
		if isComplete {
			watchdog.noteEvents(hasPassed)
		}
	}()
	for event := events.next(); event != nil; event = events.next() {
		isComplete = true
		number, found := events.id, events.hasID
		if x.isContinuing && !x.follows(number, found, event) {
			return errors.Join(errNotContinuous, x.flushEvents(written, controller))
		}
		if found {
			if number <= x.lastEvent {
				continue
			}
			x.lastEvent = number
		}
		if !x.isStarted {
			// A resumed stream has another length than any single response.
			answer.Length = -1
			x.noteBegun()
			x.sendHeader(answer)
		}
		if _, err := x.writer.Write(event); err != nil {
			return err
		}
		written++
		isPart := found || !isComment(event)
		hasPassed = hasPassed || isPart
		if isPart && !found {
			// Another run would send it again, or something else in its place.
			x.endResumption()
			watchdog.stop()
		}
	}
	if events.isTooLong {
		return errors.Join(ErrAnswerTooLong, x.flushEvents(written, controller))
	}
	return x.flushEvents(written, controller)
}

// errNotContinuous means that the events of a continuation do not follow the last one that the caller
// has.
var errNotContinuous = errors.New("the events of the continuation do not follow those before")

// follows reports whether an event of a continuation is the next one for the caller. Comments, which
// keep a connection open, are no events.
func (x *exchange) follows(number int64, hasID bool, event []byte) bool {
	if !hasID {
		return isComment(event)
	}
	return standby.Follows(x.lastEvent, number)
}

// flushEvents sends the events written so far to the caller.
func (x *exchange) flushEvents(written int, controller *http.ResponseController) error {
	if written == 0 {
		return nil
	}
	x.handover.Passed(x.router.now())
	x.timing.notePassed(time.Now(), written)
	if x.timing.shouldReportGap() {
		x.reportGap()
	}
	return controller.Flush()
}

// noteSent records that the request is sent to a runner.
func (s *streamTiming) noteSent(runner structs.RunnerID) {
	s.runner = runner
	s.sentAt = time.Now()
}
