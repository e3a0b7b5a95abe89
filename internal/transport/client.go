package transport

import (
	"context"
	"net/rpc"
	"reflect"
	"strings"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/pkg/errors"

	"github.com/lotusferry/lotusferry/structs"
)

// Client calls the services of other daemons. It is safe for concurrent use.
type Client struct {
	logger   log.Logger
	options  Options
	counters counters
	context  context.Context
	cancel   context.CancelFunc

	mutex sync.Mutex
	peers map[string]*peer
}

// NewClient returns a Client, which dials an address on the first call to it.
func NewClient(logger log.Logger, options Options) *Client {
	ctx, cancel := context.WithCancel(context.Background())
	return &Client{
		logger:  log.With(logger, "component", "transport"),
		options: options.withDefaults(),
		context: ctx,
		cancel:  cancel,
		peers:   make(map[string]*peer),
	}
}

// Call calls a method ("Service.Method") at address and stores the result in reply, a
// pointer. It returns by the deadline of ctx, within DialTimeout while it waits for a
// connection, and within CallTimeout once it has one. The arguments must not be modified
// afterwards, even after an error, because they may still be in use.
//
// The error kinds are ErrorUnavailable if the peer is unreachable or the connection
// broke, ErrorDeadline after a timeout, ErrorOverloaded if too many calls to the peer are
// in progress, ErrorInvalid for a message above the size limit, and ErrorInternal with
// the peer's text if the method failed. Unless NotSent reports true, the method may have
// run.
func (c *Client) Call(ctx context.Context, address, method string, arguments, reply any) error {
	c.counters.calls.Add(1)
	err := c.call(ctx, address, method, arguments, reply)
	if err != nil {
		c.counters.failures.Add(1)
	}
	return err
}

func (c *Client) call(ctx context.Context, address, method string, arguments, reply any) error {
	if err := c.awaitFaults(ctx, address); err != nil {
		return err
	}
	if c.options.Faults.isCut(address) {
		return unreachableError(address, errCut, 0)
	}
	if ctx.Err() != nil {
		return deadlineError(ctx, address)
	}
	target := c.peer(address)
	conn, err := target.connect(ctx)
	if err != nil {
		return err
	}
	if !conn.beginCall(c.options.MaxPendingCalls) {
		return overloadedError(address)
	}
	err = c.exchange(ctx, target, conn, method, arguments, reply)
	if err == nil && c.options.Faults.isCut(address) {
		return brokenError(address, errCut)
	}
	return err
}

// awaitFaults waits out the injected delay of calls to an address.
func (c *Client) awaitFaults(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, c.options.CallTimeout)
	defer cancel()
	if c.options.Faults.wait(ctx, address) != nil {
		return deadlineError(ctx, address)
	}
	return nil
}

// exchange sends the request and waits for the reply. The reply is decoded into a
// separate value, so that a late reply does not modify the caller's.
//
// CallTimeout starts here and not before the dial: a connection that a slow dial opened
// late must still exceed unresponsiveLimit when its calls time out.
func (c *Client) exchange(ctx context.Context, target *peer, conn *connection, method string, arguments, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, c.options.CallTimeout)
	defer cancel()
	received := reflect.New(reflect.TypeOf(reply).Elem())
	done := make(chan *rpc.Call, 1)
	// Go blocks while the request cannot be written to the connection.
	go func() {
		conn.rpc.Go(method, arguments, received.Interface(), done)
	}()
	select {
	case call := <-done:
		conn.endCall()
		if call.Error != nil {
			return c.callError(target, conn, call.Error)
		}
		target.recordSuccess()
		reflect.ValueOf(reply).Elem().Set(received.Elem())
		return nil
	case <-ctx.Done():
		go func() {
			<-done
			conn.endCall()
		}()
		if conn.unresponsiveFor() >= c.unresponsiveLimit() {
			target.drop(conn, errors.New("the connection is unresponsive"))
		}
		return sentDeadlineError(ctx, target.address)
	}
}

// unresponsiveLimit returns how long a connection with calls in progress may receive
// nothing before it counts as half-open. It is slightly less than CallTimeout, so that a
// call that times out exceeds it. Both count from when the call has a connection.
func (c *Client) unresponsiveLimit() time.Duration { return c.options.CallTimeout * 9 / 10 }

func (c *Client) callError(target *peer, conn *connection, err error) error {
	var remote rpc.ServerError
	isRemote := errors.As(err, &remote)
	isTooLarge := strings.Contains(err.Error(), errMessageTooLarge.Error())
	if isTooLarge || !isRemote {
		target.drop(conn, err)
	}
	switch {
	case isTooLarge:
		return structs.NewError(structs.ErrorInvalid,
			"the message to or from "+target.address+" exceeds the size limit",
			"Send smaller messages, or raise the message limit at both ends.")
	case isRemote:
		return structs.NewError(structs.ErrorInternal,
			"peer "+target.address+" failed: "+err.Error(), "Check the log of that daemon.")
	}
	return brokenError(target.address, err)
}

func (c *Client) peer(address string) *peer {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	found := c.peers[address]
	if found == nil {
		found = &peer{address: address, client: c}
		c.peers[address] = found
	}
	return found
}

// NoteReachable tells the client that a message from or about a peer was just received,
// so that it does not wait out a backoff from when the peer was down.
func (c *Client) NoteReachable(address string) { c.peer(address).limitBackoff() }

// Stats returns the traffic counters.
func (c *Client) Stats() Stats { return c.counters.stats() }

// Close closes all connections. Calls in progress fail with ErrorUnavailable.
func (c *Client) Close() {
	c.cancel()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, target := range c.peers {
		target.close()
	}
}
