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

	"github.com/lotusferry/lotusferry/internal/backoff"
	"github.com/lotusferry/lotusferry/structs"
)

const (
	// minBackoff is the backoff after the first failed dial. It doubles with each further
	// failure up to maxBackoff. Jitter selects a delay from its upper half.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
	// knownPeerBackoff bounds the backoff towards a peer that NoteReachable reported. It
	// keeps the dials of a peer that is overloaded and refuses them below ten a second.
	knownPeerBackoff = 100 * time.Millisecond
)

// peer is the client's state for one address.
type peer struct {
	address string
	client  *Client

	mutex sync.Mutex
	// current is the open connection, or nil.
	current *connection
	// dialing is closed when the dial in progress ends; nil if there is none.
	dialing  chan struct{}
	failures int
	failedAt time.Time
	retryAt  time.Time
	lastErr  error
}

// connection is an open connection with its calls in progress.
type connection struct {
	rpc     *rpc.Client
	counted *countedConn
	// mutex guards pending, the number of calls in progress, and pendingSince, the time
	// since which pending has been positive.
	mutex        sync.Mutex
	pending      int
	pendingSince time.Time
	// broken is set after a read error. It is guarded by the peer's mutex.
	broken bool
}

// connect returns the open connection, or dials if there is none. It fails immediately
// during the backoff after a failed dial.
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

// dial runs in its own goroutine, so that the end of one caller's context does not abort
// the dial for others.
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
		p.recordFailure(err)
		return
	}
	if opened.broken {
		p.recordFailure(io.ErrUnexpectedEOF)
		return
	}
	p.current = opened
}

// recordSuccess resets the backoff after a reply.
func (p *peer) recordSuccess() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.failures = 0
}

func (p *peer) open(ctx context.Context) (*connection, error) {
	raw, err := p.client.connectRepeatedly(ctx, p.address)
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
	codec := &clientCodec{
		messageCodec: newMessageCodec(conn, p.client.options),
		onReadError:  func(err error) { p.removeConnection(opened, err) },
		onMessage:    p.countMessage,
	}
	opened.rpc = rpc.NewClientWithCodec(codec)
	return opened, nil
}

func (p *peer) countMessage(method string, sent, received int) {
	if p.client.options.OnMessage != nil {
		p.client.options.OnMessage(p.address, method, sent, received)
	}
}

// tlsConfig returns the TLS configuration, with the dialled host as ServerName unless the
// configuration sets another or skips the verification.
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

// recordFailure sets the backoff before the next dial. The caller holds the mutex.
func (p *peer) recordFailure(err error) {
	pause := backoff.Delay(p.client.options.Random, minBackoff, maxBackoff, p.failures)
	p.failures++
	p.lastErr = err
	p.failedAt = time.Now()
	p.retryAt = p.failedAt.Add(pause)
}

// limitBackoff bounds the backoff in progress by knownPeerBackoff.
func (p *peer) limitBackoff() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if limit := p.failedAt.Add(knownPeerBackoff); p.retryAt.After(limit) {
		p.retryAt = limit
	}
}

// removeConnection removes a failed connection; a later call redials.
func (p *peer) removeConnection(failed *connection, err error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	failed.broken = true
	if p.current == failed {
		p.current = nil
		p.recordFailure(err)
	}
}

// drop removes a failed connection and closes it.
func (p *peer) drop(failed *connection, err error) {
	p.removeConnection(failed, err)
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

// beginCall counts a new call. It returns false if limit calls are in progress.
func (c *connection) beginCall(limit int) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.pending >= limit {
		return false
	}
	if c.pending == 0 {
		c.pendingSince = time.Now()
	}
	c.pending++
	return true
}

func (c *connection) endCall() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.pending--
}

// unresponsiveFor returns how long nothing has been received while calls were in
// progress. Calls that timed out count until their reply arrives.
func (c *connection) unresponsiveFor() time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.pending == 0 {
		return 0
	}
	since := c.counted.started.Add(time.Duration(c.counted.receivedAt.Load()))
	if c.pendingSince.After(since) {
		since = c.pendingSince
	}
	return time.Since(since)
}

func unreachableError(address string, cause error, retryAfter time.Duration) error {
	message := "peer " + address + " is unreachable"
	if cause != nil {
		message += " (" + cause.Error() + ")"
	}
	typed := structs.NewError(structs.ErrorUnavailable, message,
		"Check that the daemon is running and that the network between the zones is up.")
	var certificate *tls.CertificateVerificationError
	if errors.As(cause, &certificate) {
		typed.Kind = structs.ErrorDenied
		typed.Remedy = "Check that both daemons have valid certificates of the same CA."
	}
	typed.RetryAfter = retryAfter
	return notSentError{typed}
}
