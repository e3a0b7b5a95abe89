package lab

import (
	"context"
	"errors"
	"time"

	"github.com/lotusferry/lotusferry/kit/emulator"
	"github.com/lotusferry/lotusferry/request/api"
	"github.com/lotusferry/lotusferry/structs"
)

// Outcome is what one call of the kit came to, from the caller's own records.
type Outcome struct {
	Request structs.Request
	// Router is the daemon that was called.
	Router structs.DaemonID
	// PlannedAt is when the call was due (open loop); SentAt when it was sent.
	PlannedAt time.Time
	SentAt    time.Time
	// FirstTokenAt is zero when no token came.
	FirstTokenAt time.Time
	EndedAt      time.Time
	Tokens       int
	// LongestGap is the longest time between two tokens.
	LongestGap time.Duration
	Finish     structs.FinishReason
	// Refusal is set when the call got no whole answer.
	Refusal *structs.Rejection
	// NotSent and Broken tell that the transfer itself failed.
	NotSent bool
	Broken  bool
	// RouterDied tells that the router was killed or frozen while the call was open.
	RouterDied bool
	// Wrong describes an answer that is not the one to this request, or "".
	Wrong string
}

// Answered reports whether the call got its whole answer.
func (o Outcome) Answered() bool { return o.Finish != "" }

// target is a router that is called.
type target struct {
	id  structs.DaemonID
	url string
}

// caller makes calls and checks every token of the answers.
type caller struct {
	client *api.Client
	// key is the caller's API key, or empty.
	key string
	// unchecked accepts any text, of engines that are not the stand-ins.
	unchecked bool
}

// call makes one call and follows it to its end.
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
		Error:     *structs.NewError(structs.ErrorInternal, err.Error(), "Look in the report of the run for what the router and the engines did."),
		Execution: structs.ExecutionUnknown,
	}
	return o
}

// answerCheck compares an answer with the text that the stand-in engines must
// give to exactly this request. A replayed answer comes as one token.
type answerCheck struct {
	request structs.Request
	text    []byte
}

func (c *answerCheck) add(token structs.Token) { c.text = append(c.text, token.Text...) }

// end returns what is wrong with the whole answer, or "".
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
		return "the text is not the answer to this request"
	}
	return ""
}
