package router

import (
	"fmt"
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

// sendAttempt simulates an adversarial engine, which rejects, loses, breaks, truncates,
// repeats, skips and mixes up the attempts it receives.
func (w *simulation) sendAttempt(send SendAttempt) {
	id := send.Attempt.Request()
	target := w.requests[id]
	if _, again := w.attempts[send.Attempt]; again {
		w.violate("attempt", "%s was sent twice", send.Attempt)
	}
	if !target.request.Repeatable() && target.claimedRunner != send.Runner {
		w.violate("claim", "%s was sent without a durable claim that names %s", id, send.Runner)
	}
	if w.leaving[send.Runner] {
		w.violate("leaving", "%s was sent to leaving %s", id, send.Runner)
	}
	attempt := &engineAttempt{request: target, incarnation: send.Incarnation}
	w.attempts[send.Attempt] = attempt
	switch w.random.IntN(8) {
	case 0:
		w.after(time.Second, AttemptFailed{Attempt: send.Attempt, Stage: NotSent})
	case 1:
		w.after(time.Second, AttemptFailed{Attempt: send.Attempt, Stage: RejectedByEngine})
	case 2:
		w.after(time.Second, AttemptFailed{Attempt: send.Attempt, Stage: Broken})
	default:
		attempt.received = true
		w.after(100*time.Millisecond, AttemptStarted{Attempt: send.Attempt})
		w.stream(send)
	}
}

// stream schedules the tokens of an attempt, with faults.
func (w *simulation) stream(send SendAttempt) {
	at := w.now
	if w.chance(20) {
		// The request is queued at the engine.
		at = at.Add(time.Duration(w.random.IntN(6000)) * time.Millisecond)
	}
	for index := send.Generate.ResumeFrom; index < answerTokens; index++ {
		at = at.Add(time.Duration(1+w.random.IntN(400)) * time.Millisecond)
		token := structs.Token{ID: send.Generate.ID, Index: index, Text: tokenText(send.Generate.Prompt, index)}
		if index == answerTokens-1 {
			token.Finish = structs.FinishStop
		}
		received := TokenReceived{Attempt: send.Attempt, Token: token}
		fault := w.random.IntN(60)
		if fault == 0 {
			continue
		}
		if fault == 1 {
			w.pending = append(w.pending, scheduled{at, AttemptFailed{Attempt: send.Attempt, Stage: Broken}})
		}
		if fault == 12 && index > send.Generate.ResumeFrom {
			// The engine rejects an attempt that it has started.
			w.pending = append(w.pending, scheduled{at, AttemptFailed{Attempt: send.Attempt, Stage: RejectedByEngine}})
			return
		}
		if fault == 2 {
			return
		}
		if fault == 3 {
			received.Token.Finish = structs.FinishError
		}
		if fault == 4 {
			foreign := received
			foreign.Token.ID = "request-0.1"
			if send.Attempt == "request-0.1" {
				foreign.Token.ID = "request-1.1"
			}
			foreign.Token.Text = "foreign"
			w.pending = append(w.pending, scheduled{at, foreign})
		}
		w.pending = append(w.pending, scheduled{at, received})
		if fault < 12 {
			w.pending = append(w.pending, scheduled{at.Add(time.Duration(w.random.IntN(300)) * time.Millisecond), received})
		}
	}
}

// askStatus fences the attempt unless Peek is set, and replies with its status or a
// failure.
func (w *simulation) askStatus(ask AskStatus) {
	attempt := w.attempts[ask.Attempt]
	if w.chance(30) {
		w.after(time.Second, StatusReplied{ID: ask.ID, Attempt: ask.Attempt, Peek: ask.Peek, Error: structs.NewError(structs.ErrorUnavailable, "lost", "Ask again.")})
		return
	}
	if ask.Peek {
		w.peek(ask, attempt)
		return
	}
	attempt.fenced = true
	status := &structs.RequestStatus{ID: structs.RequestID(ask.Attempt), State: structs.RunUnknown, Incarnation: attempt.incarnation}
	if attempt.received {
		status.State = structs.RunCancelled
		status.Started = attempt.executed
	}
	if w.chance(10) {
		status.Incarnation++
		status.State = structs.RunUnknown
		status.Started = false
	}
	w.after(time.Second, StatusReplied{ID: ask.ID, Attempt: ask.Attempt, Status: status})
}

// peek replies with the status of a running attempt, or RunUnknown if the engine has not
// received it yet. The reply may arrive after the attempt has started.
func (w *simulation) peek(ask AskStatus, attempt *engineAttempt) {
	status := &structs.RequestStatus{ID: structs.RequestID(ask.Attempt), State: structs.RunUnknown, Incarnation: attempt.incarnation}
	if attempt.executed || (attempt.received && w.chance(50)) {
		status.State = structs.RunQueued
		status.Started = attempt.executed
	}
	w.after(2*time.Second, StatusReplied{ID: ask.ID, Attempt: ask.Attempt, Status: status, Peek: true})
}

// beginClaim simulates the home zone of the key, which replies late, or records the claim
// and loses the reply.
func (w *simulation) beginClaim(begin BeginClaim) {
	reply := ClaimReplied{ID: begin.ID}
	current, exists := w.claims[begin.Claim.Key]
	if w.chance(10) {
		reply.Error = structs.NewError(structs.ErrorUnavailable, "no quorum", "Retry.")
		if w.chance(50) && !exists {
			w.claims[begin.Claim.Key] = begin.Claim
		}
		w.after(time.Second, reply)
		return
	}
	own := exists && current.State == structs.ClaimHeld && current.Request == begin.ID
	if !exists || own {
		current = begin.Claim
		w.claims[begin.Claim.Key] = current
		reply.New = true
	}
	reply.Claim = &current
	w.after(time.Second, reply)
	if w.chance(10) {
		w.after(2*time.Second, reply)
	}
}

func (w *simulation) finishClaim(finish FinishClaim) {
	current, exists := w.claims[finish.Claim.Key]
	if !exists || current.Request != finish.ID || current.State != structs.ClaimHeld {
		return
	}
	if finish.Claim.State == structs.ClaimReleased {
		delete(w.claims, finish.Claim.Key)
		return
	}
	w.claims[finish.Claim.Key] = finish.Claim
	if finish.Claim.State == structs.ClaimFinished {
		w.requests[finish.ID].answerKept = true
		w.checkAnswer(w.requests[finish.ID], finish.Answer)
		w.keptAnswers[finish.Claim.Key] = finish.Answer
	}
}

// fetchAnswer simulates the router that stores the answer, which may be late,
// unreachable, or return no answer or a different one.
func (w *simulation) fetchAnswer(fetch FetchAnswer) {
	reply := AnswerFetched{ID: fetch.ID, Answer: w.keptAnswers[fetch.Claim.Key]}
	switch draw := w.random.IntN(100); {
	case draw < 5:
		reply.Answer, reply.Unreachable = nil, true
	case draw < 10:
		reply.Answer = nil
	case draw < 20:
		reply.Answer = []byte("a different answer")
	}
	if fetch.Claim.State == structs.ClaimHeld {
		reply.Answer = nil
	}
	w.after(200*time.Millisecond, reply)
}

func tokenText(prompt string, index int) string { return fmt.Sprintf("%s/%d ", prompt, index) }
