package router

import (
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

const (
	// promptBytesPerToken estimates the number of tokens from the length of a prompt.
	promptBytesPerToken = 4
	// defaultAnswerTokens is assumed for an answer without a limit.
	defaultAnswerTokens = 1024
)

// promptTokens estimates the number of tokens in the prompt.
func promptTokens(asked structs.Request) int {
	return (len(asked.Prompt) + promptBytesPerToken - 1) / promptBytesPerToken
}

// takeTokens charges the prompt and the longest possible answer to the caller and the
// row, unless the request was charged before. If ok is false, wait is the time until the
// tokens are available.
func (c *Core) takeTokens(req *request) (wait time.Duration, ok bool) {
	if req.chargedTokens > 0 {
		return 0, true
	}
	answer := req.MaxTokens
	if answer <= 0 {
		answer = defaultAnswerTokens
	}
	wanted := promptTokens(req.Request) + answer
	wait, ok = c.tokens.Take(c.now, req.Caller, req.Row, wanted)
	if ok {
		req.chargedTokens = wanted
	}
	return wait, ok
}

// returnTokens refunds the unused tokens of a request that ends. Each attempt uses its
// prompt.
func (c *Core) returnTokens(req *request) {
	unused := req.chargedTokens - req.attempts*promptTokens(req.Request) - req.delivered
	if unused > 0 {
		c.tokens.Return(c.now, req.Caller, req.Row, unused)
	}
	req.chargedTokens = 0
}
