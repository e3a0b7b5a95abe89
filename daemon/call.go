package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/lotusferry/lotusferry/request/api"
	"github.com/lotusferry/lotusferry/structs"
)

// The bounds of what waits for a slow caller; at either the stream is no longer
// read from the engine, which then slows down by itself.
const (
	bufferedTokens = 256
	bufferedBytes  = 64 << 10
)

// call is one request between the router's decisions and the HTTP handler that
// waits for the answer. It implements api.Answer. One goroutine calls Next, and
// one at a time awaitSpace.
type call struct {
	request structs.Request
	// gone is called, once, when the caller goes; it is guarded by mutex.
	gone func()
	// sent is set, under the router's lock, once the request has gone to an engine
	// or another zone, so that it may have run.
	sent bool
	// times belong to the goroutine that delivers.
	times callTimes
	// ready holds a value when Next has something to look at, space when
	// awaitSpace has.
	ready chan struct{}
	space chan struct{}

	mutex   sync.Mutex
	tokens  []structs.Token
	next    int
	bytes   int
	refusal *structs.Rejection
	closed  bool
}

func newCall(request structs.Request, gone func()) *call {
	return &call{
		request: request,
		times:   callTimes{arrived: time.Now()},
		gone:    gone,
		ready:   make(chan struct{}, 1),
		space:   make(chan struct{}, 1),
	}
}

// wake wakes the goroutine that waits on a channel, now or later.
func wake(waiter chan struct{}) {
	select {
	case waiter <- struct{}{}:
	default:
	}
}

// Next implements api.Answer.
func (c *call) Next(ctx context.Context) (structs.Token, error) {
	for {
		token, ready, err := c.take()
		if ready || err != nil {
			return token, err
		}
		select {
		case <-ctx.Done():
			return structs.Token{}, ctx.Err()
		case <-c.ready:
		}
	}
}

func (c *call) take() (structs.Token, bool, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.next < len(c.tokens) {
		token := c.tokens[c.next]
		c.next++
		c.bytes -= len(token.Text)
		if c.next == len(c.tokens) {
			clear(c.tokens)
			c.tokens = c.tokens[:0]
			c.next = 0
		}
		wake(c.space)
		return token, true, nil
	}
	if c.refusal != nil {
		return structs.Token{}, false, &api.RefusedError{Refusal: *c.refusal}
	}
	return structs.Token{}, false, nil
}

// unlessRefused returns the call, or the refusal that has ended it already.
func (c *call) unlessRefused() (api.Answer, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.refusal != nil {
		return nil, &api.RefusedError{Refusal: *c.refusal}
	}
	return c, nil
}

// whenGone sets what Close calls when the caller goes.
func (c *call) whenGone(gone func()) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.gone = gone
}

// Close implements api.Answer.
func (c *call) Close() {
	c.mutex.Lock()
	first := !c.closed
	c.closed = true
	gone := c.gone
	c.mutex.Unlock()
	wake(c.space)
	if first {
		gone()
	}
}

// deliver appends a token. The caller holds the router's lock, which keeps the order.
func (c *call) deliver(token structs.Token) {
	c.mutex.Lock()
	if c.next >= bufferedTokens {
		c.tokens = append(c.tokens[:0], c.tokens[c.next:]...)
		c.next = 0
	}
	c.tokens = append(c.tokens, token)
	c.bytes += len(token.Text)
	c.mutex.Unlock()
	wake(c.ready)
}

// refuse ends the call without a whole answer.
func (c *call) refuse(refusal structs.Rejection) {
	c.mutex.Lock()
	c.refusal = &refusal
	c.mutex.Unlock()
	wake(c.ready)
}

// awaitSpace blocks while the caller is slow; it returns when there is room, the
// caller is gone, or ctx ends.
func (c *call) awaitSpace(ctx context.Context) {
	for !c.hasSpace() {
		select {
		case <-ctx.Done():
			return
		case <-c.space:
		}
	}
}

func (c *call) hasSpace() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.closed || len(c.tokens)-c.next < bufferedTokens && c.bytes < bufferedBytes
}
