package tunnel

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/lotusferry/lotusferry/internal/network"
)

const (
	// maxTunnels bounds the open tunnels of a peer. Each takes some 36 kB and two descriptors.
	maxTunnels = 1024
	// readHeaderTimeout bounds the time in which a router sends its question, and the time until its next one.
	readHeaderTimeout = 2 * time.Second
	// maxNoticeBytes bounds the body of a Notice.
	maxNoticeBytes = 1 << 10
)

// Options configures a Server.
type Options struct {
	Logger log.Logger
	// Dial connects to a runner directly.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// IsRunner reports whether a runner is known at the address.
	IsRunner func(address string) bool
	// IsUnwilling reports whether the runner at the address wants no requests of this machine; nil for never.
	IsUnwilling func(address string) bool
	// TakeNotice is called with what a runner said in an answer that went through a tunnel; nil for none.
	TakeNotice func(told Notice)
	// Status returns the state of the process; IsStopping is set by the Server itself.
	Status func() Status
	// Observe is called with the outcome of each question for a tunnel; nil for none.
	Observe func(outcome string)
}

// Outcomes passed to Options.Observe besides the causes of errors.
const (
	outcomeOpened   = "opened"
	outcomeUnknown  = "runner_unknown"
	outcomeStopping = "stopping"
	outcomeBusy     = "busy"
	// outcomeUnwilling means that the runner has asked this machine for a cooldown, or is leaving.
	outcomeUnwilling = "runner_unwilling"
)

// Server accepts tunnels of peers. Create one with NewServer.
type Server struct {
	options Options
	server  *http.Server

	mutex      sync.Mutex
	isStopping bool
	open       map[*link]bool
	// changed is closed and replaced when the state has changed.
	changed chan struct{}
}

// link is the two connections of a tunnel.
type link struct {
	router net.Conn
	// runner tells a reset that a write has seen from an end.
	runner *network.ResetAwareConn
	// isFramed is set if the router reads frames.
	isFramed bool
}

// NewServer returns a Server. Serve starts it.
func NewServer(options Options) *Server {
	if options.IsUnwilling == nil {
		options.IsUnwilling = func(string) bool { return false }
	}
	if options.TakeNotice == nil {
		options.TakeNotice = func(Notice) {}
	}
	if options.Observe == nil {
		options.Observe = func(string) {}
	}
	s := &Server{options: options, open: make(map[*link]bool), changed: make(chan struct{})}
	s.server = &http.Server{
		Handler: s, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeadBytes,
	}
	return s
}

// Serve accepts connections until Close.
func (s *Server) Serve(listener net.Listener) {
	err := s.server.Serve(listener)
	if !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		level.Error(s.options.Logger).Log("msg", "The server for tunnels of peers failed.", "err", err)
	}
}

// Open returns the number of open tunnels.
func (s *Server) Open() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.open)
}

// StopAccepting rejects new tunnels and tells the routers that use this one.
func (s *Server) StopAccepting() {
	s.mutex.Lock()
	s.isStopping = true
	s.mutex.Unlock()
	s.Announce()
}

// Announce sends the current status to the routers that use this one, without waiting for statusInterval.
func (s *Server) Announce() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	close(s.changed)
	s.changed = make(chan struct{})
}

// Close ends the server and all tunnels.
func (s *Server) Close() {
	s.mutex.Lock()
	s.isStopping = true
	open := s.open
	s.open = make(map[*link]bool)
	s.mutex.Unlock()
	_ = s.server.Close()
	for each := range open {
		reset(each.router)
		reset(each.runner)
	}
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	switch {
	case request.Method == http.MethodConnect:
		s.connect(writer, request)
	case request.Method == http.MethodGet && request.URL.Path == statusPath:
		s.streamStatus(writer, request)
	case request.Method == http.MethodPost && request.URL.Path == noticePath:
		s.takeNotice(writer, request)
	default:
		http.NotFound(writer, request)
	}
}

// connect opens a tunnel to the runner named by the request and serves it to its end.
func (s *Server) connect(writer http.ResponseWriter, request *http.Request) {
	address := request.Host
	if outcome, status := s.rejection(address); outcome != "" {
		s.options.Observe(outcome)
		http.Error(writer, outcome, status)
		return
	}
	runner, err := s.options.Dial(request.Context(), address)
	if err != nil {
		s.options.Observe(CauseRunner.String())
		http.Error(writer, err.Error(), http.StatusBadGateway)
		return
	}
	router, buffered, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		_ = runner.Close()
		http.Error(writer, err.Error(), http.StatusInternalServerError)
		return
	}
	opened := &link{router: router, runner: network.NewResetAwareConn(runner), isFramed: request.Header.Get(framingHeader) == framingVersion}
	if !s.add(opened) {
		reset(router)
		reset(runner)
		return
	}
	defer s.remove(opened)
	s.options.Observe(outcomeOpened)
	if _, err := io.WriteString(router, opened.acceptance()); err != nil {
		reset(router)
		reset(runner)
		return
	}
	// The question is read with a buffer that may hold the first bytes for the runner.
	opened.copyBothWays(buffered.Reader)
}

// acceptance returns the answer to the question for a tunnel.
func (l *link) acceptance() string {
	if l.isFramed {
		return "HTTP/1.1 200 Connected\r\n" + framingHeader + ": " + framingVersion + "\r\n\r\n"
	}
	return "HTTP/1.1 200 Connected\r\n\r\n"
}

// rejection returns why a tunnel is rejected, with the status of the answer; an empty outcome accepts it.
func (s *Server) rejection(address string) (outcome string, status int) {
	own := s.options.Status()
	s.mutex.Lock()
	isStopping, isFull := s.isStopping, len(s.open) >= maxTunnels
	s.mutex.Unlock()
	switch {
	case isStopping:
		return outcomeStopping, http.StatusServiceUnavailable
	case isFull || own.IsBusy:
		return outcomeBusy, http.StatusServiceUnavailable
	case !s.options.IsRunner(address):
		return outcomeUnknown, http.StatusForbidden
	case s.options.IsUnwilling(address):
		return outcomeUnwilling, http.StatusForbidden
	}
	return "", 0
}

// add records a tunnel, unless the server is closed.
func (s *Server) add(opened *link) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.isStopping {
		return false
	}
	s.open[opened] = true
	return true
}

func (s *Server) remove(closed *link) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.open, closed)
}

// takeNotice passes on what a runner said in an answer that went through a tunnel.
func (s *Server) takeNotice(writer http.ResponseWriter, request *http.Request) {
	var told Notice
	_ = http.NewResponseController(writer).SetReadDeadline(time.Now().Add(noticeTimeout))
	if err := json.NewDecoder(http.MaxBytesReader(writer, request.Body, maxNoticeBytes)).Decode(&told); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	s.options.TakeNotice(told)
	writer.WriteHeader(http.StatusNoContent)
}

// streamStatus sends the status at each statusInterval and when it has changed, until the router leaves.
func (s *Server) streamStatus(writer http.ResponseWriter, request *http.Request) {
	control, encoder := http.NewResponseController(writer), json.NewEncoder(writer)
	for {
		s.mutex.Lock()
		changed, isStopping := s.changed, s.isStopping
		isFull := len(s.open) >= maxTunnels
		s.mutex.Unlock()
		status := s.options.Status()
		status.IsStopping, status.IsBusy = isStopping, status.IsBusy || isFull
		if encoder.Encode(status) != nil || control.Flush() != nil {
			return
		}
		timer := time.NewTimer(statusInterval)
		select {
		case <-timer.C:
		case <-changed:
		case <-request.Context().Done():
			timer.Stop()
			return
		}
		timer.Stop()
	}
}
