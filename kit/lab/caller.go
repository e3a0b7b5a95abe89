package lab

import (
	"context"
	"errors"
	"time"

	"github.com/lotusferry/lotusferry/kit/emulator"
	"github.com/lotusferry/lotusferry/request/api"
	"github.com/lotusferry/lotusferry/structs"
)

// Outcome is the result of one call as recorded by the caller.
type Outcome struct {
	Request structs.Request
	// Router is the daemon that was called.
	Router structs.DaemonID
	// PlannedAt is the time at which the call was due (open loop); SentAt is the time at
	// which it was sent.
	PlannedAt time.Time
	SentAt    time.Time
	// FirstTokenAt is zero if no token was received.
	FirstTokenAt time.Time
	EndedAt      time.Time
	Tokens       int
	// LongestGap is the longest time between two consecutive tokens.
	LongestGap time.Duration
	Finish     structs.FinishReason
	// Refusal is set if the call was not completely answered.
	Refusal *structs.Rejection
	// NotSent and Broken tell that the transfer itself failed.
	NotSent bool
	Broken  bool
	// RouterDied tells that the router was killed or suspended during the call.
	RouterDied bool
	// Wrong describes how the answer differs from the expected one, or is "".
	Wrong string
}

// Answered reports whether the call was completely answered.
func (o Outcome) Answered() bool { return o.Finish != "" }

// target is a router to call.
type target struct {
	id  structs.DaemonID
	url string
}

// caller makes calls and checks the answers.
type caller struct {
	client *api.Client
	// key is the caller's API key, or "".
	key string
	// unchecked disables the comparison of answers, for engines that are not emulated.
	unchecked bool
}

// call makes one call and reads its answer to the end.
func (c caller) call(ctx context.Context, router target, request structs.Request) Outcome {
	outcome := Outcome{Request: request, Router: router.id, SentAt: time.Now()}
	answer, err := c.client.Call(ctx, router.url, c.key, "", request)
	if err != nil {
		return outcome.ended(err)
	}
	defer answer.Close()
	check := answerCheck{request: request}
	last := outcome.SentAt
	for {
		token, err := answer.Next(ctx)
		if err != nil {
			return outcome.ended(err)
		}
		now := time.Now()
		outcome.addToken(now, last)
		last = now
		check.add(token)
		if token.Finish != "" {
			outcome.Finish = token.Finish
			if !c.unchecked {
				outcome.Wrong = check.end(token.Finish)
			}
			return outcome.ended(nil)
		}
	}
}

func (o *Outcome) addToken(now, last time.Time) {
	if o.Tokens == 0 {
		o.FirstTokenAt = now
	} else {
		o.LongestGap = max(o.LongestGap, now.Sub(last))
	}
	o.Tokens++
}

func (o Outcome) ended(err error) Outcome {
	o.EndedAt = time.Now()
	if err == nil {
		return o
	}
	o.NotSent = errors.Is(err, api.ErrNotSent)
	o.Broken = errors.Is(err, api.ErrBroken)
	var refused *api.RefusedError
	if errors.As(err, &refused) {
		o.Refusal = &refused.Refusal
		return o
	}
	o.Refusal = &structs.Rejection{
		Error:     *structs.NewError(structs.ErrorInternal, err.Error(), "Check the report of the run for the actions of the router and the engines."),
		Execution: structs.ExecutionUnknown,
	}
	return o
}

// answerCheck compares an answer with the expected text of the emulated engines. A
// replayed answer arrives as a single token.
type answerCheck struct {
	request structs.Request
	text    []byte
}

func (c *answerCheck) add(token structs.Token) { c.text = append(c.text, token.Text...) }

// end describes how the complete answer differs from the expected one, or returns "".
func (c *answerCheck) end(finish structs.FinishReason) string {
	row, prompt := c.request.Row, c.request.Prompt
	if finish != emulator.ExpectedFinish(row, prompt, c.request.MaxTokens) {
		return "the finish reason is wrong"
	}
	var expected []byte
	for i := range emulator.ExpectedLength(row, prompt, c.request.MaxTokens) {
		expected = append(expected, emulator.ExpectedToken(row, prompt, i)...)
	}
	if string(expected) != string(c.text) {
		return "the text is not the expected answer to this request"
	}
	return ""
}
