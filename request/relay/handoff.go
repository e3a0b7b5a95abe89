package relay

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"github.com/lotusferry/lotusferry/placement/poison"
	"github.com/lotusferry/lotusferry/request/paths"
	"github.com/lotusferry/lotusferry/request/routing"
	"github.com/lotusferry/lotusferry/request/standby"
	"github.com/lotusferry/lotusferry/structs"
)

// maxOverlap is how long a copied stream stays at its silent runner after it was sent to its standby. Runners may work on one request
// together for 400 ms; the rest is for the end of the connection to reach the former one.
const maxOverlap = 250 * time.Millisecond

// handoff is the continuation of a copied stream that is sent while its silent runner still has it.
type handoff struct {
	next *dispatch
	// copied is the copy of the continuation; nil for none.
	copied *streamCopy
	// answered is closed once the standby has answered or the send has failed.
	answered chan struct{}
}

// beginRead records that the answer is read, and endRead that something was read. In between, the stream may be handed to its standby.
func (w *watchdog) beginRead() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.isReading = true
}

// endRead waits until it is decided which runner keeps the stream, and reports whether the standby has it. goesOn is set if the runner
// has sent something: a continuation that was not sent yet is not needed then. A probe of the standby is not waited for.
func (w *watchdog) endRead(goesOn bool) (isHandedOff bool) {
	w.mutex.Lock()
	w.isReading = false
	deciding, asked := w.deciding, w.asked
	if deciding != nil && w.endProbe != nil {
		w.endProbe()
	}
	w.mutex.Unlock()
	if deciding != nil {
		if goesOn && asked != nil {
			asked.recall()
		}
		<-deciding
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.handoff != nil
}

// leaveForStandby sends the stream to its standby, and cancels the attempt unless the standby certainly does not go on with it.
// Until that is decided, nothing else uses the exchange. since is the begin of the silence that was found.
func (w *watchdog) leaveForStandby(since time.Time) {
	if !w.beginDeciding(since) {
		return
	}
	taken := w.handOff()
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.handoff = taken
	if taken != nil {
		w.cancel(errSilent)
	}
	close(w.deciding)
	w.deciding, w.endProbe, w.asked = nil, nil, nil
}

// beginDeciding reports whether the runner is still silent and the exchange waits for it.
func (w *watchdog) beginDeciding(since time.Time) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.isStopped || !w.isReading || w.hasLostStandby || w.handoff != nil || !w.since.Equal(since) {
		return false
	}
	w.deciding = make(chan struct{})
	return true
}

// handOff sends the stream to its standby if that may continue it and the budget allows the retry. It returns nil if the stream stays
// where it is.
func (w *watchdog) handOff() *handoff {
	x := w.exchange
	choice, isUsable := w.usableStandby()
	if !isUsable || !x.router.allowsRepeat(x.row.Service) || !w.probe(choice) {
		return nil
	}
	// The probe may have taken long.
	choice, isUsable = w.usableStandby()
	if !isUsable || !x.router.mayRepeat(x.row.Service) {
		return nil
	}
	x.router.noteUnreachable(w.runner)
	h := w.sendToStandby(choice)
	if h.mayHaveBegun() {
		return h
	}
	h.fail(w)
	return nil
}

// usableStandby returns the standby, and false if it would not be asked to continue the stream if the runner were lost now, or is silent
// as well.
func (w *watchdog) usableStandby() (routing.Choice, bool) {
	x := w.exchange
	state := x.handover
	copied, verdict := state.Lost(x.router.now(), x.newLoss())
	if verdict != standby.VerdictContinue || x.isTrial {
		return routing.Choice{}, false
	}
	choice, isUsable := x.router.standbyAt(x.row, copied.Runner)
	return choice, isUsable && w.mayAnswer(copied.Runner)
}

// probe reports whether the standby has answered a probe before the runner went on: one that is silent as well would get the stream, as it
// does not answer in time, and might reject it later.
func (w *watchdog) probe(choice routing.Choice) bool {
	x := w.exchange
	prober, isProber := x.router.options.Backend.(Prober)
	if !isProber {
		return true
	}
	ctx, end := context.WithCancel(w.parent)
	defer end()
	if !w.beginProbe(end) {
		return false
	}
	err := prober.Probe(ctx, string(choice.Runner()), choice.Address(), x.router.peerTo(choice.Runner(), x.peerWish()))
	if ctx.Err() != nil {
		return false
	}
	w.setLostStandby(err != nil)
	return err == nil
}

// countSuccessorRun counts another runner that may have run the request and whose answer is not used.
func (w *watchdog) countSuccessorRun() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.successorRuns++
}

// setLostStandby records whether the standby was found unable to go on with the stream.
func (w *watchdog) setLostStandby(isLost bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.hasLostStandby = isLost
}

// beginProbe sets what ends the probe of the standby, and returns false if the runner has gone on.
func (w *watchdog) beginProbe(end context.CancelFunc) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.endProbe = end
	return w.isReading
}

// peerTo returns the address of the peer through which a runner is reached; empty for the direct way.
func (r *Router) peerTo(id structs.RunnerID, wish paths.Wish) string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.peers.paths.Choose(r.now(), id, r.zones.watch.ZoneOf(id), wish).Peer
}

// mayAnswer is isBetter for callers that do not hold the router's mutex.
func (w *watchdog) mayAnswer(id structs.RunnerID) bool {
	r := w.exchange.router
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return w.isBetter(id)
}

// sendToStandby sends the continuation in the background.
func (w *watchdog) sendToStandby(choice routing.Choice) *handoff {
	x := w.exchange
	asked := &watchdog{isRepeated: true, wish: x.peerWish(), begun: make(chan struct{})}
	h := &handoff{next: x.newDispatch(w.parent, choice, asked), answered: make(chan struct{})}
	w.setAsked(asked)
	x.router.countSend(x.row, choice)
	if !h.next.register() {
		h.next.err = ErrNotSent
		close(h.answered)
		return h
	}
	h.copied = x.copyContinuation(choice, w.runner)
	attempt := &Attempt{ResumeAfter: x.lastEvent, CopyTo: h.copied.address(), IsContinuation: true}
	go func() {
		defer close(h.answered)
		h.next.send(attempt)
	}()
	return h
}

// setAsked sets what watches the continuation, and recalls that if the exchange no longer waits for the runner.
func (w *watchdog) setAsked(asked *watchdog) {
	w.mutex.Lock()
	w.asked = asked
	isReading := w.isReading
	w.mutex.Unlock()
	if !isReading {
		asked.recall()
	}
}

// copyContinuation decides whether the memory of the continuation of a stream is copied while it runs at the chosen runner. from is the
// runner that the stream leaves.
func (x *exchange) copyContinuation(choice routing.Choice, from structs.RunnerID) *streamCopy {
	lostAt := x.lostAt
	x.isContinuing, x.lostAt = true, append(slices.Clone(lostAt), from)
	made := x.makeCopy(choice)
	x.isContinuing, x.lostAt = false, lostAt
	return made
}

// mayHaveBegun waits for the answer of the standby, for maxOverlap at most after the request was sent, and reports whether the standby
// goes on with the stream or may have begun with it: two runners must not go on with one request, whatever became of the answer.
func (h *handoff) mayHaveBegun() bool {
	select {
	case <-h.answered:
		return h.next.mayHaveRun()
	case <-h.next.watchdog.begun:
	}
	overlap := time.NewTimer(maxOverlap)
	defer overlap.Stop()
	select {
	case <-h.answered:
		return h.next.mayHaveRun()
	case <-overlap.C:
		return true
	}
}

// fail ends a continuation that the standby did not begin. Its copy is used up unless it was not needed.
func (h *handoff) fail(w *watchdog) {
	x := w.exchange
	ended := h.next.failure()
	if h.next.err == nil && h.next.answer.NotRun {
		ended = result{outcome: routing.OutcomeNeutral, isNotRun: true, reason: reasonNoCopy}
	}
	isRecalled := ended.isNotRun && errors.Is(context.Cause(h.next.ctx), errUnwanted)
	h.next.reportFailure(ended)
	h.release(x, ended.outcome)
	if isRecalled {
		return
	}
	x.handover.UseUpCopy()
	w.setLostStandby(true)
	if !ended.isNotRun {
		w.countSuccessorRun()
	}
	x.router.metrics.continuations.WithLabelValues(continuationOutcome(ended)).Inc()
	h.logFailure(w, ended)
}

// release ends a continuation whose answer is not used.
func (h *handoff) release(x *exchange, outcome routing.Outcome) {
	h.next.close()
	x.router.dropCopy(h.copied)
	x.router.release(x.row, h.next.choice, outcome)
}

// logFailure records that a stream stays at its silent runner.
func (h *handoff) logFailure(w *watchdog, ended result) {
	x := w.exchange
	suppressed, isAllowed := x.router.continuationLog.Allow(x.router.now())
	if !isAllowed {
		return
	}
	level.Info(x.router.logger).Log("msg", "A stream stays at its silent runner, as its standby does not continue it.", "request", x.request.ID,
		"content", x.keys.content, "runner", w.runner, "silent", w.silentFor(), "standby", h.next.choice.Runner(), "ended", ended.reason,
		"last_event", x.lastEvent, "age", x.router.age(x.request), "not_logged", suppressed, "err", ended.err)
}

// takeHandoff returns the continuation to which the stream was handed, to be followed; nil for none.
func (x *exchange) takeHandoff() *handoff {
	taken := x.handoff
	x.handoff = nil
	return taken
}

// dropHandoff withdraws a continuation that is not needed, because the stream has ended.
func (x *exchange) dropHandoff() {
	h := x.takeHandoff()
	if h == nil {
		return
	}
	h.next.cancel(errOvertaken)
	<-h.answered
	x.attempts++
	h.release(x, routing.OutcomeNeutral)
}

// followStandby forwards the rest of a stream from the standby to which it was handed.
func (x *exchange) followStandby(h *handoff) (result, string) {
	d := h.next
	defer d.close()
	x.router.dropCopy(x.copied)
	x.copied = h.copied
	x.handover.Continued(x.handoverCopy(h.copied))
	x.isContinuing = true
	x.noteSending(d)
	d.watchdog.observe(x)
	<-h.answered
	ended := x.finish(d)
	x.isContinuing = false
	x.endAttempt(d.choice, permit{permission: poison.Free}, ended)
	return ended, continuationOutcome(ended)
}
