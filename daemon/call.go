package daemon

import (
	"context"
	"sync"

	"github.com/lotusferry/lotusferry/api"
	"github.com/lotusferry/lotusferry/structs"
)

// bufferedTokens is how many tokens wait for a slow caller before its stream is
// no longer read from the engine.
const bufferedTokens = 256

// call is one request between the router's decisions and the HTTP handler that
// waits for the answer. It implements api.Answer.
type call struct {
	request structs.Request
	gone    func()

	mutex   sync.Mutex
	tokens  []structs.Token
	refusal *structs.Refusal
	changed notifier
	closed  bool
}

func newCall(request structs.Request, gone func()) *call {
	return &call{request: request, gone: gone}
}

// Next implements api.Answer.
func (c *call) Next(ctx context.Context) (structs.Token, error) {
	for {
		changed := c.changed.wait()
		token, ready, err := c.take()
		if ready || err != nil {
			return token, err
		}
		select {
		case <-ctx.Done():
			return structs.Token{}, ctx.Err()
		case <-changed:
		}
	}
}

func (c *call) take() (structs.Token, bool, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.tokens) > 0 {
		token := c.tokens[0]
		c.tokens = c.tokens[1:]
		if len(c.tokens) == bufferedTokens-1 {
			c.changed.broadcast()
		}
		return token, true, nil
	}
	if c.refusal != nil {
		return structs.Token{}, false, &api.RefusedError{Refusal: *c.refusal}
	}
	return structs.Token{}, false, nil
}

// Close implements api.Answer.
func (c *call) Close() {
	c.mutex.Lock()
	first := !c.closed
	c.closed = true
	c.mutex.Unlock()
	c.changed.broadcast()
	if first {
		c.gone()
	}
}

// deliver appends a token. The caller holds the router's lock, which keeps the order.
func (c *call) deliver(token structs.Token) {
	c.mutex.Lock()
	c.tokens = append(c.tokens, token)
	c.mutex.Unlock()
	c.changed.broadcast()
}

// refuse ends the call without a whole answer.
func (c *call) refuse(refusal structs.Refusal) {
	c.mutex.Lock()
	c.refusal = &refusal
	c.mutex.Unlock()
	c.changed.broadcast()
}

// awaitSpace blocks while the caller is slow; it returns when there is room, the
// caller is gone, or ctx ends.
func (c *call) awaitSpace(ctx context.Context) {
	for {
		changed := c.changed.wait()
		if c.hasSpace() {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

func (c *call) hasSpace() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.closed || len(c.tokens) < bufferedTokens
}
