package transport

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"
	"go.uber.org/goleak"

	"github.com/lotusferry/lotusferry/internal/network/networktest"
	"github.com/lotusferry/lotusferry/structs"
)

const loopback = "127.0.0.1:0"

const (
	// shortTimeout is for calls that must time out. longTimeout is for calls that must
	// not, even on a busy machine.
	shortTimeout = 100 * time.Millisecond
	longTimeout  = 5 * time.Minute
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// echoService is the net/rpc service of the tests.
type echoService struct {
	gate    chan struct{}
	entered chan struct{}
}

// Echo returns the text.
func (e *echoService) Echo(text string, reply *string) error {
	*reply = text
	return nil
}

// Enlarge returns the text with 10,000 bytes appended.
func (e *echoService) Enlarge(text string, reply *string) error {
	*reply = text + string(make([]byte, 10_000))
	return nil
}

// Fail returns an error.
func (e *echoService) Fail(string, *string) error { return errors.New("method failed") }

// Wait sends to entered and returns the text after the gate is closed.
func (e *echoService) Wait(text string, reply *string) error {
	e.entered <- struct{}{}
	<-e.gate
	*reply = text
	return nil
}

func startServer(c *qt.C, options Options) (*Server, *echoService) {
	if options.Address == "" {
		options.Address = loopback
	}
	server, err := NewServer(log.NewNopLogger(), options)
	c.Assert(err, qt.IsNil)
	service := &echoService{gate: make(chan struct{}), entered: make(chan struct{}, 100)}
	c.Assert(server.Register("Echo", service), qt.IsNil)
	served := make(chan struct{})
	go func() {
		server.Serve()
		close(served)
	}()
	c.Cleanup(func() {
		server.Close()
		<-served
	})
	return server, service
}

func startClient(c *qt.C, options Options) *Client {
	client := NewClient(log.NewNopLogger(), options)
	c.Cleanup(client.Close)
	return client
}

func echo(client *Client, address, text string) (string, error) {
	var reply string
	err := client.Call(context.Background(), address, "Echo.Echo", text, &reply)
	return reply, err
}

// resetBackoff lets the next call dial immediately.
func resetBackoff(target *peer) {
	target.mutex.Lock()
	defer target.mutex.Unlock()
	target.retryAt = time.Time{}
}

// unresponsiveListener returns the address of a listener that never accepts.
func unresponsiveListener(c *qt.C) string {
	listener, err := net.Listen("tcp", loopback)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String()
}

func TestCallsShareOneConnection(t *testing.T) {
	c := qt.New(t)
	server, _ := startServer(c, Options{})
	client := startClient(c, Options{})
	for number := range 20 {
		reply, err := echo(client, server.Address(), fmt.Sprint(number))
		c.Assert(err, qt.IsNil)
		c.Assert(reply, qt.Equals, fmt.Sprint(number))
	}
	stats := client.Stats()
	c.Assert(stats.Connections, qt.Equals, uint64(1))
	c.Assert(stats.Calls, qt.Equals, uint64(20))
	c.Assert(stats.Failures, qt.Equals, uint64(0))
	c.Assert(stats.BytesOut, qt.Equals, server.Stats().BytesIn)
	c.Assert(stats.BytesIn > 0, qt.IsTrue)
}

func TestCallErrorKindsAndNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		memory := networktest.NewMemory(0)
		options := Options{Network: memory, MaxMessageBytes: 10_000}
		server, service := startServer(c, Options{Network: memory, MaxMessageBytes: 10_000})
		c.Cleanup(func() { close(service.gate) })
		closed, err := memory.Listen(t.Context(), loopback)
		c.Assert(err, qt.IsNil)
		c.Assert(closed.Close(), qt.IsNil)
		faults := &Faults{}
		faults.Cut("127.0.0.1:1")
		faults.Delay("127.0.0.1:2", time.Hour)
		options.Faults = faults
		cancelled, cancel := context.WithCancel(context.Background())
		cancel()
		// Only calls that must time out have a short timeout.
		short := shortTimeout
		for _, test := range []struct {
			name, address, method, text string
			ctx                         context.Context
			timeout                     time.Duration
			kind                        structs.ErrorKind
			notSent                     bool
		}{
			{"method fails", server.Address(), "Echo.Fail", "", nil, 0, structs.ErrorInternal, false},
			{"no such method", server.Address(), "Echo.None", "", nil, 0, structs.ErrorInternal, false},
			{"slow method", server.Address(), "Echo.Wait", "", nil, short, structs.ErrorDeadline, false},
			{"too large", server.Address(), "Echo.Echo", string(make([]byte, 20_000)), nil, 0, structs.ErrorInvalid, false},
			{"no listener", closed.Addr().String(), "Echo.Echo", "", nil, 0, structs.ErrorUnavailable, true},
			{"cut", "127.0.0.1:1", "Echo.Echo", "", nil, 0, structs.ErrorUnavailable, true},
			{"delayed", "127.0.0.1:2", "Echo.Echo", "", nil, short, structs.ErrorDeadline, true},
			{"cancelled", server.Address(), "Echo.Echo", "", cancelled, 0, structs.ErrorUnavailable, true},
		} {
			options := options
			options.CallTimeout = cmp.Or(test.timeout, longTimeout)
			client := startClient(c, options)
			ctx := test.ctx
			if ctx == nil {
				ctx = context.Background()
			}
			var reply string
			err := client.Call(ctx, test.address, test.method, test.text, &reply)
			about := qt.Commentf("%s: %v", test.name, err)
			c.Assert(structs.KindOf(err), qt.Equals, test.kind, about)
			c.Assert(NotSent(err), qt.Equals, test.notSent, about)
			c.Assert(client.Stats().Failures, qt.Equals, uint64(1), about)
		}
	})
}

func TestCallsFailImmediatelyDuringDialBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		memory := networktest.NewMemory(0)
		client := startClient(c, Options{Network: memory})
		closed, err := memory.Listen(t.Context(), loopback)
		c.Assert(err, qt.IsNil)
		address := closed.Addr().String()
		c.Assert(closed.Close(), qt.IsNil)
		_, err = echo(client, address, "")
		c.Assert(structs.KindOf(err), qt.Equals, structs.ErrorUnavailable)
		target := client.peer(address)
		target.mutex.Lock()
		target.retryAt = time.Now().Add(time.Hour)
		target.mutex.Unlock()
		_, err = echo(client, address, "")
		var typed *structs.Error
		c.Assert(errors.As(err, &typed), qt.IsTrue)
		c.Assert(typed.RetryAfter > time.Minute, qt.IsTrue)
		startServer(c, Options{Network: memory, Address: address})
		resetBackoff(target)
		reply, err := echo(client, address, "back")
		c.Assert(err, qt.IsNil)
		c.Assert(reply, qt.Equals, "back")
	})
}

// callUnresponsive starts calls whose requests the peer does not read.
func callUnresponsive(client *Client, address string) (failures chan error, count int) {
	const callers = 8
	failures = make(chan error, callers)
	for range callers {
		go func() {
			_, err := echo(client, address, string(make([]byte, 1<<20)))
			failures <- err
		}()
	}
	return failures, callers
}

// TestUnresponsivePeerDoesNotDelayOthers uses real time, because unsent calls block on a
// mutex, which stops virtual time.
func TestUnresponsivePeerDoesNotDelayOthers(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	silent := unresponsiveListener(c)
	server, _ := startServer(c, Options{})
	client := startClient(c, Options{CallTimeout: longTimeout})
	failures, count := callUnresponsive(client, silent)
	reply, err := echo(client, server.Address(), "quick")
	c.Assert(err, qt.IsNil)
	c.Assert(reply, qt.Equals, "quick")
	c.Assert(failures, qt.HasLen, 0)
	client.Close()
	for range count {
		c.Assert(structs.KindOf(<-failures), qt.Equals, structs.ErrorUnavailable)
	}
}

// Guards against a half-open connection that stays in use after all its calls have timed out, so that
// further calls time out on it.
func TestUnresponsiveConnectionIsDropped(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	silent := unresponsiveListener(c)
	client := startClient(c, Options{CallTimeout: shortTimeout})
	failures, count := callUnresponsive(client, silent)
	for range count {
		kind := structs.KindOf(<-failures)
		c.Assert(kind == structs.ErrorDeadline || kind == structs.ErrorUnavailable, qt.IsTrue, qt.Commentf("%s", kind))
	}
	target := client.peer(silent)
	target.mutex.Lock()
	defer target.mutex.Unlock()
	c.Assert(target.current, qt.IsNil)
}

func TestCancelledCallKeepsItsConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		memory := networktest.NewMemory(0)
		server, service := startServer(c, Options{Network: memory})
		client := startClient(c, Options{Network: memory})
		ctx, cancel := context.WithCancel(context.Background())
		reply := "unchanged"
		failed := make(chan error)
		go func() { failed <- client.Call(ctx, server.Address(), "Echo.Wait", "late", &reply) }()
		<-service.entered
		cancel()
		c.Assert(structs.KindOf(<-failed), qt.Equals, structs.ErrorUnavailable)
		close(service.gate) // the late reply is discarded
		other, err := echo(client, server.Address(), "next")
		c.Assert(err, qt.IsNil)
		c.Assert(other, qt.Equals, "next")
		c.Assert(reply, qt.Equals, "unchanged")
		c.Assert(client.Stats().Connections, qt.Equals, uint64(1))
	})
}

func TestPendingCallsAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		memory := networktest.NewMemory(0)
		server, service := startServer(c, Options{Network: memory})
		client := startClient(c, Options{Network: memory, MaxPendingCalls: 2})
		answered := make(chan error)
		for range 2 {
			go func() {
				var reply string
				answered <- client.Call(context.Background(), server.Address(), "Echo.Wait", "", &reply)
			}()
		}
		<-service.entered
		<-service.entered
		_, err := echo(client, server.Address(), "")
		c.Assert(structs.KindOf(err), qt.Equals, structs.ErrorOverloaded)
		c.Assert(NotSent(err), qt.IsTrue)
		close(service.gate)
		c.Assert(<-answered, qt.IsNil)
		c.Assert(<-answered, qt.IsNil)
	})
}

func TestReceiverRejectsOversizedMessages(t *testing.T) {
	const small = 1000
	for _, test := range []struct {
		name           string
		server, client Options
		method, text   string
	}{
		{"request", Options{MaxMessageBytes: small}, Options{}, "Echo.Echo", string(make([]byte, 10*small))},
		{"reply", Options{}, Options{MaxMessageBytes: small}, "Echo.Enlarge", "text"},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				memory := networktest.NewMemory(0)
				test.server.Network, test.client.Network = memory, memory
				server, _ := startServer(c, test.server)
				client := startClient(c, test.client)
				var reply string
				err := client.Call(context.Background(), server.Address(), test.method, test.text, &reply)
				c.Assert(structs.KindOf(err), qt.Equals, structs.ErrorInvalid, qt.Commentf("%v", err))
				resetBackoff(client.peer(server.Address()))
				reply, err = echo(client, server.Address(), "next")
				c.Assert(err, qt.IsNil)
				c.Assert(reply, qt.Equals, "next")
			})
		})
	}
}

func TestCutDropsTheReplyOfACallInProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		memory := networktest.NewMemory(0)
		server, service := startServer(c, Options{Network: memory})
		faults := &Faults{}
		client := startClient(c, Options{Network: memory, Faults: faults})
		failed := make(chan error)
		go func() {
			var reply string
			failed <- client.Call(context.Background(), server.Address(), "Echo.Wait", "", &reply)
		}()
		<-service.entered
		faults.Cut(server.Address())
		close(service.gate)
		err := <-failed
		c.Assert(structs.KindOf(err), qt.Equals, structs.ErrorUnavailable)
		c.Assert(NotSent(err), qt.IsFalse)
		faults.Heal(server.Address())
		_, err = echo(client, server.Address(), "")
		c.Assert(err, qt.IsNil)
	})
}
