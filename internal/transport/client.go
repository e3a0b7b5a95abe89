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

// Client calls the services of other daemons. Its methods may be called from
// several goroutines.
type Client struct {
	logger   log.Logger
	options  Options
	counters counters
	context  context.Context
	cancel   context.CancelFunc

	mutex sync.Mutex
	peers map[string]*peer
}

// NewClient makes a client. It dials when it is first asked to call an address.
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

// Call runs a method ("Service.Method") at address and fills reply, a pointer.
// It returns within CallTimeout and by the deadline of ctx. Arguments must not be
// changed afterwards, even when Call failed, since they may still be on their way.
//
// The kinds of error: ErrorUnavailable when the peer cannot be reached or the
// connection broke, ErrorDeadline when time ran out, ErrorOverloaded when too
// many calls to the peer are in progress, ErrorInvalid for a message above the
// size limit, ErrorInternal with the peer's text when the method itself failed.
// Unless NotSent reports true, the method may have run.
func (c *Client) Call(ctx context.Context, address, method string, arguments, reply any) error {
	c.counters.calls.Add(1)
	err := c.call(ctx, address, method, arguments, reply)
	if err != nil {
		c.counters.failures.Add(1)
	}
	return err
}

func (c *Client) call(ctx context.Context, address, method string, arguments, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, c.options.CallTimeout)
	defer cancel()
	if err := c.options.Faults.wait(ctx, address); err != nil {
		return deadlineError(ctx, address)
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
	if !conn.begin(c.options.MaxPendingCalls) {
		return overloadedError(address)
	}
	err = c.exchange(ctx, target, conn, method, arguments, reply)
	if err == nil && c.options.Faults.isCut(address) {
		return brokenError(address, errCut)
	}
	return err
}

// exchange sends the request and waits for the reply, which is decoded into a
// value of its own, so that one that comes late cannot change the caller's.
func (c *Client) exchange(ctx context.Context, target *peer, conn *connection, method string, arguments, reply any) error {
	received := reflect.New(reflect.TypeOf(reply).Elem())
	done := make(chan *rpc.Call, 1)
	// Go blocks while the connection does not take the request.
	go func() {
		conn.rpc.Go(method, arguments, received.Interface(), done)
	}()
	select {
	case call := <-done:
		conn.end()
		if call.Error != nil {
			return c.failed(target, conn, call.Error)
		}
		target.succeeded()
		reflect.ValueOf(reply).Elem().Set(received.Elem())
		return nil
	case <-ctx.Done():
		go func() {
			<-done
			conn.end()
		}()
		if conn.silentFor() >= c.silenceLimit() {
			target.drop(conn, errors.New("the connection has gone silent"))
		}
		return sentDeadlineError(ctx, target.address)
	}
}

// silenceLimit is how long a connection with a call in progress may be silent
// before it counts as half open, whatever the deadlines of its calls. It is a little
// under the call timeout, so that the call that reveals it is not just short of it.
func (c *Client) silenceLimit() time.Duration { return c.options.CallTimeout * 9 / 10 }

func (c *Client) failed(target *peer, conn *connection, err error) error {
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
			"Send less at once, or raise the message limit on both ends.")
	case isRemote:
		return structs.NewError(structs.ErrorInternal,
			"peer "+target.address+" failed: "+err.Error(), "Look into the log of the daemon there.")
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

// Stats returns the traffic counters.
func (c *Client) Stats() Stats { return c.counters.stats() }

// Close closes all connections; calls in progress fail as unavailable.
func (c *Client) Close() {
	c.cancel()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, target := range c.peers {
		target.close()
	}
}
