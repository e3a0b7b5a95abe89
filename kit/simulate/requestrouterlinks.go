package simulate

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/kit/emulator"
	"github.com/lotusferry/lotusferry/request/router"
	"github.com/lotusferry/lotusferry/structs"
)

const (
	// statusTimeout bounds a status query to an engine, as in the daemon.
	statusTimeout = 2 * time.Second
	// forwardSlack is how long after its deadline a forwarded request is abandoned.
	forwardSlack = 100 * time.Millisecond
)

func sortedKeys[Key cmp.Ordered, Value any](values map[Key]Value) []Key {
	return slices.Sorted(maps.Keys(values))
}

// sendAttempt connects to the engine and sends the request.
func (h *routerHost) sendAttempt(effect router.SendAttempt) {
	engine := h.site.engineNamed(effect.Runner)
	current := &sentAttempt{effect: effect, next: effect.Generate.ResumeFrom}
	h.attempts[effect.Attempt] = current
	failed := h.ifSameProcess(func() { h.attemptFailed(current, router.NotSent) })
	opened := func(link *connection) {
		if h.core == nil || h.attempts[effect.Attempt] != current {
			return
		}
		current.connection = link
		link.down.end = connectionEnd{
			receive: func(message any) { h.engineAnswered(current, message.(emulator.EngineOutput)) },
			ended:   func() { h.attemptFailed(current, router.Broken) },
		}
		link.up.end.receive = func(message any) { engine.generate(link, message.(structs.GenerateRequest)) }
		generate := effect.Generate
		if h.site.mutated(mutationResumeStart) {
			generate.ResumeFrom = 0
		}
		link.up.send(generate)
	}
	h.site.dial(h.address(), engine.address(), engine.listening, opened, failed)
}

// engineAnswered passes an engine's output for an attempt to the core.
func (h *routerHost) engineAnswered(current *sentAttempt, output emulator.EngineOutput) {
	id := current.effect.Attempt
	if h.core == nil || h.attempts[id] != current {
		return
	}
	if output.Load != nil {
		h.step(router.LoadObserved{Runner: current.effect.Runner, Report: *output.Load})
	}
	switch output.Kind {
	case emulator.OutputAccepted:
		if !h.site.mutated(mutationNotRunAlways) {
			h.step(router.AttemptStarted{Attempt: id})
		}
	case emulator.OutputRefused:
		stage := router.Broken
		if output.Refusal.Execution == structs.ExecutionNotRun {
			stage = router.RejectedByEngine
		}
		h.attemptFailed(current, stage)
	case emulator.OutputToken:
		h.tokenReceived(current, output.Token)
	}
}

func (h *routerHost) tokenReceived(current *sentAttempt, token structs.Token) {
	id := current.effect.Attempt
	if len(token.Text) >= oversizedText || token.Finish == structs.FinishCancelled || token.Finish == structs.FinishError {
		h.attemptFailed(current, router.Broken)
		return
	}
	if h.site.mutated(mutationNoIDCheck) {
		token.ID = structs.RequestID(id)
	}
	if h.site.mutated(mutationResumeStart) {
		token.Index += current.effect.Generate.ResumeFrom
	}
	whole := token.Finish != ""
	h.step(router.TokenReceived{Attempt: id, Token: token})
	if whole {
		h.dropAttempt(current)
	}
}

func (h *routerHost) attemptFailed(current *sentAttempt, stage router.FailureStage) {
	id := current.effect.Attempt
	if h.core == nil || h.attempts[id] != current {
		return
	}
	h.dropAttempt(current)
	if stage == router.Broken && h.site.mutated(mutationNotRunAlways) {
		stage = router.RejectedByEngine
	}
	h.step(router.AttemptFailed{Attempt: id, Stage: stage})
}

func (h *routerHost) dropAttempt(current *sentAttempt) {
	delete(h.attempts, current.effect.Attempt)
	if current.connection != nil {
		current.connection.closeClient()
	}
}

// cancelAttempt closes the attempt's stream and sends one cancellation to the
// engine.
func (h *routerHost) cancelAttempt(id router.AttemptID) {
	current := h.attempts[id]
	if current == nil {
		return
	}
	h.dropAttempt(current)
	engine := h.site.engineNamed(current.effect.Runner)
	h.site.dial(h.address(), engine.address(), engine.listening, func(link *connection) {
		link.up.end.receive = func(any) { engine.askStatus(structs.RequestID(id), true, nil) }
		link.up.send(id)
	}, func() {})
}

// askStatus requests the status of the attempt from its engine, which also fences it
// unless Peek is set.
func (h *routerHost) askStatus(effect router.AskStatus) {
	engine := h.site.engineNamed(effect.Runner)
	done := false
	reply := func(status *structs.RequestStatus) {
		if done || h.core == nil {
			return
		}
		done = true
		if effect.Peek && h.site.mutated(mutationWaitSpent) {
			status = h.pretendProgress(effect)
		}
		replied := router.StatusReplied{ID: effect.ID, Attempt: effect.Attempt, Status: status, Peek: effect.Peek}
		if status == nil {
			replied.Error = structs.NewError(structs.ErrorUnavailable, "the engine does not answer", "Ask again.")
		}
		h.step(replied)
	}
	failed := h.ifSameProcess(func() { reply(nil) })
	h.site.scheduler.After(statusTimeout, failed)
	h.site.dial(h.address(), engine.address(), engine.listening, func(link *connection) {
		link.down.end.receive = func(message any) {
			status := message.(structs.RequestStatus)
			h.ifSameProcess(func() { reply(&status) })()
		}
		link.up.end.receive = func(any) {
			engine.askStatus(structs.RequestID(effect.Attempt), !effect.Peek, func(status structs.RequestStatus) { link.down.send(status) })
		}
		link.up.send(effect.Attempt)
	}, failed)
}

// pretendProgress returns the status of an attempt that appears to make steady
// progress.
func (h *routerHost) pretendProgress(effect router.AskStatus) *structs.RequestStatus {
	return &structs.RequestStatus{
		ID: structs.RequestID(effect.Attempt), State: structs.RunRunning, Started: true,
		Incarnation: h.site.engineNamed(effect.Runner).incarnation,
		Tokens:      int(h.site.scheduler.Now() / time.Millisecond),
	}
}

// forward sends a request to the first reachable router of the zones.
func (h *routerHost) forward(effect router.Forward) {
	var candidates []*routerHost
	for _, zone := range effect.Zones {
		candidates = append(candidates, h.site.routersOf(zone)...)
	}
	call := h.calls[effect.ID]
	if call == nil {
		return
	}
	wait := call.request.DeadlineAt.Add(forwardSlack).Sub(h.site.now())
	h.site.scheduler.After(wait, h.ifSameProcess(func() { h.giveUpForward(effect.ID) }))
	h.tryForward(effect.ID, candidates)
}

// giveUpForward ends a forwarded request without an answer after its deadline.
func (h *routerHost) giveUpForward(id structs.RequestID) {
	call := h.calls[id]
	switch {
	case call == nil:
	case call.forward == nil:
		h.forwardFailed(id, router.NotSent)
	default:
		call.forward.closeClient()
		h.forwardFailed(id, router.Broken)
	}
}

func (h *routerHost) tryForward(id structs.RequestID, candidates []*routerHost) {
	call := h.calls[id]
	if call == nil {
		return
	}
	if len(candidates) == 0 {
		h.forwardFailed(id, router.NotSent)
		return
	}
	next := candidates[0]
	opened := func(link *connection) {
		if h.core == nil || h.calls[id] != call {
			return
		}
		h.openForward(id, call, next, link)
	}
	h.site.dial(h.address(), next.address(), next.listening, opened, h.ifSameProcess(func() { h.tryForward(id, candidates[1:]) }))
}

func (h *routerHost) openForward(id structs.RequestID, call *servedCall, next *routerHost, link *connection) {
	call.forward = link
	request := call.request
	request.Forwarded = true
	link.up.end.receive = func(any) {
		if next.core != nil {
			next.accept(link, request, call.submission)
			return
		}
		link.closeServer()
	}
	link.down.end = connectionEnd{
		receive: func(message any) { h.forwardAnswered(id, message) },
		ended:   h.ifSameProcess(func() { h.forwardFailed(id, router.Broken) }),
	}
	link.up.send(request.ID)
}

func (h *routerHost) forwardAnswered(id structs.RequestID, message any) {
	if h.core == nil || h.calls[id] == nil {
		return
	}
	switch content := message.(type) {
	case structs.Token:
		h.deliver(id, content)
	case terminal:
		h.end(id, content)
	}
}

func (h *routerHost) forwardFailed(id structs.RequestID, stage router.FailureStage) {
	call := h.calls[id]
	if call == nil {
		return
	}
	h.step(router.ForwardFailed{ID: id, Row: call.request.Row, Repeatable: call.request.Repeatable(), Stage: stage})
}
