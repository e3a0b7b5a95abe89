package transport

import (
	"context"
	"crypto/tls"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"
)

// acceptRetryDelay is the delay after a failed accept, for example due to too many open
// files.
const acceptRetryDelay = 100 * time.Millisecond

// keepAlive detects unreachable peers of idle connections.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 10 * time.Second, Interval: 5 * time.Second, Count: 3}

// Server serves net/rpc calls of other daemons.
type Server struct {
	logger   log.Logger
	options  Options
	listener net.Listener
	rpc      *rpc.Server
	counters counters
	closed   chan struct{}

	mutex       sync.Mutex
	receivers   map[string]any
	connections map[net.Conn]struct{}
	handlers    sync.WaitGroup
}

// NewServer listens on options.Address. Connections are accepted by Serve.
func NewServer(logger log.Logger, options Options) (*Server, error) {
	options = options.withDefaults()
	listener, err := options.Network.Listen(context.Background(), options.Address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", options.Address)
	}
	return &Server{
		logger:      log.With(logger, "component", "transport"),
		options:     options,
		listener:    listener,
		rpc:         rpc.NewServer(),
		closed:      make(chan struct{}),
		receivers:   make(map[string]any),
		connections: make(map[net.Conn]struct{}),
	}, nil
}

// Address returns the address the server listens on, with its actual port.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Register registers the methods of receiver as the net/rpc service name.
func (s *Server) Register(name string, receiver any) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.register(name, receiver)
}

func (s *Server) register(name string, receiver any) error {
	if err := s.rpc.RegisterName(name, receiver); err != nil {
		return errors.Wrapf(err, "register service %s", name)
	}
	s.receivers[name] = receiver
	return nil
}

// Shared returns the receiver registered under name. If there is none, it registers the
// result of create first.
func (s *Server) Shared(name string, create func() any) (any, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if receiver, found := s.receivers[name]; found {
		return receiver, nil
	}
	receiver := create()
	if err := s.register(name, receiver); err != nil {
		return nil, err
	}
	return receiver, nil
}

// Stats returns the traffic counters.
func (s *Server) Stats() Stats { return s.counters.stats() }

// Serve accepts connections until Close.
func (s *Server) Serve() {
	for {
		conn, err := s.listener.Accept()
		if err == nil {
			s.start(conn)
			continue
		}
		select {
		case <-s.closed:
			return
		case <-time.After(acceptRetryDelay):
			level.Error(s.logger).Log("msg", "A connection could not be accepted.", "err", err)
		}
	}
}

func (s *Server) start(conn net.Conn) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	select {
	case <-s.closed:
		_ = conn.Close()
		return
	default:
	}
	s.connections[conn] = struct{}{}
	s.handlers.Go(func() { s.handle(conn) })
}

func (s *Server) handle(raw net.Conn) {
	defer s.removeConnection(raw)
	var conn net.Conn = newCountedConn(raw, &s.counters)
	if s.options.ServerTLS != nil {
		secured := tls.Server(conn, s.options.ServerTLS)
		ctx, cancel := context.WithTimeout(context.Background(), s.options.DialTimeout)
		err := secured.HandshakeContext(ctx)
		cancel()
		if err != nil {
			level.Warn(s.logger).Log("msg", "A connection was refused.", "peer", raw.RemoteAddr(), "err", err)
			return
		}
		conn = secured
	}
	codec := newServerCodec(conn, s.options)
	stop := make(chan struct{})
	defer close(stop)
	go codec.closeWith(s.closed, stop)
	s.rpc.ServeCodec(codec)
}

// closeWith unblocks a reader that waits for a slot when the server closes.
func (c *serverCodec) closeWith(closed, stop <-chan struct{}) {
	select {
	case <-closed:
		close(c.done)
	case <-stop:
	}
}

func (s *Server) removeConnection(conn net.Conn) {
	_ = conn.Close()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.connections, conn)
}

// Close stops listening, closes all connections and waits for the calls in progress.
func (s *Server) Close() {
	s.mutex.Lock()
	select {
	case <-s.closed:
	default:
		close(s.closed)
	}
	_ = s.listener.Close()
	for conn := range s.connections {
		_ = conn.Close()
	}
	s.mutex.Unlock()
	s.handlers.Wait()
}
