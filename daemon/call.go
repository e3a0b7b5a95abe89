package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/lotusferry/lotusferry/request/api"
	"github.com/lotusferry/lotusferry/structs"
)

// Limits on the tokens buffered for a slow caller. At either limit the engine's stream
// is no longer read, and flow control slows the engine down.
const (
	bufferedTokens = 256
	bufferedBytes  = 64 << 10
)

// call passes the answer to one request from the router core to the HTTP handler. It
// implements api.Answer. Next must be called from one goroutine at a time, and so must
// waitForSpace.
type call struct {
	request structs.Request
	// onClose is called once, when the caller closes the answer. Guarded by mutex.
	onClose func()
	// sent is set once the request was sent to an engine or another zone and so may
	// have run. Guarded by the router's mutex.
	sent bool
	// times is used only by the goroutine that delivers tokens.
	times callTimes
	// ready signals Next that the state has changed; space signals waitForSpace.
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
		onClose: gone,
		ready:   make(chan struct{}, 1),
		space:   make(chan struct{}, 1),
	}
}

// notify wakes the receiver of a channel with a buffer of one, now or at its next
// receive.
func notify(waiter chan struct{}) {
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
		notify(c.space)
		return token, true, nil
	}
	if c.refusal != nil {
		return structs.Token{}, false, &api.RefusedError{Refusal: *c.refusal}
	}
	return structs.Token{}, false, nil
}

// answerOrRefusal returns the call, or an error if it has already been refused.
func (c *call) answerOrRefusal() (api.Answer, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.refusal != nil {
		return nil, &api.RefusedError{Refusal: *c.refusal}
	}
	return c, nil
}

// setOnClose replaces the function that Close calls.
func (c *call) setOnClose(gone func()) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.onClose = gone
}

// Close implements api.Answer.
func (c *call) Close() {
	c.mutex.Lock()
	first := !c.closed
	c.closed = true
	gone := c.onClose
	c.mutex.Unlock()
	notify(c.space)
	if first {
		gone()
	}
}

// deliver appends a token. The caller must hold the router's mutex, which keeps tokens
// in order.
func (c *call) deliver(token structs.Token) {
	c.mutex.Lock()
	if c.next >= bufferedTokens {
		c.tokens = append(c.tokens[:0], c.tokens[c.next:]...)
		c.next = 0
	}
	c.tokens = append(c.tokens, token)
	c.bytes += len(token.Text)
	c.mutex.Unlock()
	notify(c.ready)
}

// refuse ends the call with a refusal.
func (c *call) refuse(refusal structs.Rejection) {
	c.mutex.Lock()
	c.refusal = &refusal
	c.mutex.Unlock()
	notify(c.ready)
}

// waitForSpace blocks until the buffer has room, the call is closed, or ctx is done.
func (c *call) waitForSpace(ctx context.Context) {
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
