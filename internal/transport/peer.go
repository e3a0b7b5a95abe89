package transport

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"github.com/lotusferry/lotusferry/structs"
)

const (
	// firstBackoff is the pause after the first failed dial; it doubles with each
	// further failure up to maxBackoff. The pause is drawn from its upper half.
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = 2 * time.Second
)

// peer is the client's side of one address.
type peer struct {
	address string
	client  *Client

	mutex sync.Mutex
	// current is the live connection, or nil.
	current *connection
	// dialing is closed when the dial in progress ends; nil when there is none.
	dialing  chan struct{}
	failures int
	retryAt  time.Time
	lastErr  error
}

// connection is one live connection with its calls in progress.
type connection struct {
	rpc     *rpc.Client
	counted *countedConn
	// waiting guards pending, the number of calls in progress, and waitingSince,
	// the time since which there has been one.
	waiting      sync.Mutex
	pending      int
	waitingSince time.Time
	// broken is set, under the peer's mutex, once the connection yields no more.
	broken bool
}

// connect returns the live connection, dialling when there is none. It fails at
// once during the pause after a failed dial.
func (p *peer) connect(ctx context.Context) (*connection, error) {
	for {
		p.mutex.Lock()
		if p.current != nil {
			defer p.mutex.Unlock()
			return p.current, nil
		}
		if p.dialing == nil {
			if pause := time.Until(p.retryAt); pause > 0 {
				defer p.mutex.Unlock()
				return nil, unreachableError(p.address, p.lastErr, pause)
			}
			p.dialing = make(chan struct{})
			go p.dial(p.dialing)
		}
		dialing := p.dialing
		p.mutex.Unlock()
		select {
		case <-dialing:
		case <-ctx.Done():
			return nil, deadlineError(ctx, p.address)
		case <-p.client.context.Done():
			return nil, closedError()
		}
	}
}

// dial runs on its own goroutine, so that a caller whose context ends does not
// waste the work for the others.
func (p *peer) dial(done chan struct{}) {
	ctx, cancel := context.WithTimeout(p.client.context, p.client.options.DialTimeout)
	defer cancel()
	opened, err := p.open(ctx)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	defer close(done)
	p.dialing = nil
	if err == nil && p.client.context.Err() != nil {
		_ = opened.rpc.Close()
		return
	}
	if err != nil {
		p.noteFailure(err)
		return
	}
	if opened.broken {
		p.noteFailure(io.ErrUnexpectedEOF)
		return
	}
	p.current = opened
}

// succeeded notes a reply: the next failure starts with the shortest pause again.
func (p *peer) succeeded() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.failures = 0
}

func (p *peer) open(ctx context.Context) (*connection, error) {
	raw, err := p.client.options.Network.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, err
	}
	counted := newCountedConn(raw, &p.client.counters)
	var conn net.Conn = counted
	if p.client.options.ClientTLS != nil || p.client.options.PeerTLS != nil {
		secured := tls.Client(counted, p.tlsConfig())
		if err := secured.HandshakeContext(ctx); err != nil {
			_ = raw.Close()
			return nil, err
		}
		conn = secured
	}
	opened := &connection{counted: counted}
	codec := clientCodec{
		messageCodec: newMessageCodec(conn, p.client.options),
		broken:       func(err error) { p.forget(opened, err) },
	}
	opened.rpc = rpc.NewClientWithCodec(codec)
	return opened, nil
}

// tlsConfig names the host that is dialled, unless the configuration names one.
func (p *peer) tlsConfig() *tls.Config {
	config := p.client.options.ClientTLS
	if p.client.options.PeerTLS != nil {
		config = p.client.options.PeerTLS(p.address)
	}
	if config.ServerName != "" || config.InsecureSkipVerify {
		return config
	}
	host, _, err := net.SplitHostPort(p.address)
	if err != nil {
		return config
	}
	config = config.Clone()
	config.ServerName = host
	return config
}

// noteFailure sets the pause before the next dial. The mutex is held.
func (p *peer) noteFailure(err error) {
	pause := min(firstBackoff<<min(p.failures, 10), maxBackoff)
	pause = pause/2 + time.Duration(p.client.options.Random()%uint64(pause/2))
	p.failures++
	p.lastErr = err
	p.retryAt = time.Now().Add(pause)
}

// forget takes a failed connection out of use; a later call dials again.
func (p *peer) forget(failed *connection, err error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	failed.broken = true
	if p.current == failed {
		p.current = nil
		p.noteFailure(err)
	}
}

// drop forgets a failed connection and closes it.
func (p *peer) drop(failed *connection, err error) {
	p.forget(failed, err)
	level.Warn(p.client.logger).Log("msg", "A connection was closed.", "peer", p.address, "err", err)
	_ = failed.rpc.Close()
}

func (p *peer) close() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.current != nil {
		_ = p.current.rpc.Close()
		p.current = nil
	}
}

// begin counts a call in; false when there are limit calls already.
func (c *connection) begin(limit int) bool {
	c.waiting.Lock()
	defer c.waiting.Unlock()
	if c.pending >= limit {
		return false
	}
	if c.pending == 0 {
		c.waitingSince = time.Now()
	}
	c.pending++
	return true
}

func (c *connection) end() {
	c.waiting.Lock()
	defer c.waiting.Unlock()
	c.pending--
}

// silentFor returns for how long nothing has been received although a call was in
// progress. Calls that gave up still count until their reply comes.
func (c *connection) silentFor() time.Duration {
	c.waiting.Lock()
	defer c.waiting.Unlock()
	if c.pending == 0 {
		return 0
	}
	since := c.counted.started.Add(time.Duration(c.counted.receivedAt.Load()))
	if c.waitingSince.After(since) {
		since = c.waitingSince
	}
	return time.Since(since)
}

func unreachableError(address string, cause error, retryAfter time.Duration) error {
	message := "peer " + address + " cannot be reached"
	if cause != nil {
		message += " (" + cause.Error() + ")"
	}
	typed := structs.NewError(structs.ErrorUnavailable, message,
		"Check that the daemon there runs and that the network between the zones is up.")
	var certificate *tls.CertificateVerificationError
	if errors.As(cause, &certificate) {
		typed.Kind = structs.ErrorDenied
		typed.Remedy = "Check that both daemons have certificates of the same CA that are still valid."
	}
	typed.RetryAfter = retryAfter
	return notSentError{typed}
}
