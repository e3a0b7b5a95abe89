package router

import (
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

const (
	// promptBytesPerToken makes the length of a prompt into tokens.
	promptBytesPerToken = 4
	// unknownAnswerTokens is taken for an answer whose length the caller does not bound.
	unknownAnswerTokens = 1024
)

// promptTokens is about how many tokens the request's prompt has.
func promptTokens(asked structs.Request) int {
	return (len(asked.Prompt) + promptBytesPerToken - 1) / promptBytesPerToken
}

// takeTokens charges the request's prompt and longest answer to its caller and row; a
// request that was charged before is not charged again. Otherwise wait is the time
// until they have the tokens.
func (c *Core) takeTokens(held *request) (wait time.Duration, ok bool) {
	if held.charged > 0 {
		return 0, true
	}
	answer := held.MaxTokens
	if answer <= 0 {
		answer = unknownAnswerTokens
	}
	wanted := promptTokens(held.Request) + answer
	wait, ok = c.tokens.Take(c.now, held.Caller, held.Row, wanted)
	if ok {
		held.charged = wanted
	}
	return wait, ok
}

// returnTokens gives back what a request that ends was charged and did not use. Each
// attempt counts its prompt.
func (c *Core) returnTokens(held *request) {
	unused := held.charged - held.attempts*promptTokens(held.Request) - held.delivered
	if unused > 0 {
		c.tokens.Return(c.now, held.Caller, held.Row, unused)
	}
	held.charged = 0
}
