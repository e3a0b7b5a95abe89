package daemon

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"github.com/lotusferry/lotusferry/api"
	"github.com/lotusferry/lotusferry/config"
	"github.com/lotusferry/lotusferry/keys"
	"github.com/lotusferry/lotusferry/operatorapi"
)

// The timeouts of the HTTP servers. Answers are streams and have no write
// timeout; a caller that stops reading is bounded by its request's buffer.
const (
	headerTimeout  = 10 * time.Second
	bodyTimeout    = 30 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 32 << 10
)

// httpServer is a listener with its server.
type httpServer struct {
	name     string
	listener net.Listener
	server   *http.Server
}

// openHTTP opens the listeners for callers and operators.
func (d *Daemon) openHTTP() error {
	if address := d.config.Listen.Callers; address != "" && d.router != nil {
		options, err := callerOptions(d.config)
		if err != nil {
			return err
		}
		handler := api.NewHandler(d.logger, d.router, options)
		if err := d.listenHTTP("callers", address, handler); err != nil {
			return err
		}
	}
	if address := d.config.Listen.Operators; address != "" {
		handler, err := d.operatorHandler()
		if err != nil {
			return err
		}
		return d.listenHTTP("operators", address, handler)
	}
	return nil
}

func callerOptions(settings config.Config) (api.Options, error) {
	options := api.DefaultOptions()
	if settings.Development {
		options.FromDaemon = func(*http.Request) bool { return true }
	}
	options.MaxBodyBytes = settings.Limits.BodyBytes
	options.DefaultDeadline = settings.Limits.DefaultDeadline
	options.MaxDeadline = settings.Limits.MaximumDeadline
	for _, key := range settings.Callers {
		hash, err := keys.ParseHash(key.Hash)
		if err != nil {
			return options, errors.Wrap(err, "read the callers' keys")
		}
		options.Keys = append(options.Keys, api.CallerKey{Name: key.Name, Hash: hash, Highest: key.HighestPriority()})
	}
	return options, nil
}

func (d *Daemon) operatorHandler() (http.Handler, error) {
	var keyring *keys.Keyring
	if !d.config.Development {
		var entries []keys.Entry
		for _, operator := range d.config.Operators {
			hash, err := keys.ParseHash(operator.Hash)
			if err != nil {
				return nil, errors.Wrap(err, "read the operators' keys")
			}
			entries = append(entries, keys.Entry{Name: operator.Name, Hash: hash})
		}
		keyring = keys.NewKeyring(entries)
	}
	mux := http.NewServeMux()
	mux.Handle("/", operatorapi.NewHandler(d.logger, d.operators, operatorapi.HandlerOptions{
		Keys:      keyring,
		BodyBytes: d.config.Limits.OperatorBodyBytes,
	}))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", d.serveReady)
	mux.Handle("GET /metrics", d.metricsHandler())
	return mux, nil
}

// serveReady answers 200 once the daemon can serve: its groups know a leader and
// its router has the zone's table.
func (d *Daemon) serveReady(w http.ResponseWriter, _ *http.Request) {
	if reason := d.notReady(); reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// notReady says why the daemon cannot serve yet, or returns "".
func (d *Daemon) notReady() string {
	for _, member := range d.groups() {
		if member.Status().LeaderNode == 0 {
			return "a group has no leader: check that a majority of its members runs"
		}
	}
	if d.router != nil && !d.router.hasView() {
		return "the router has not read its zone's table yet: check that a controller of the zone runs"
	}
	return ""
}

func (d *Daemon) listenHTTP(name, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen for "+name)
	}
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       bodyTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	if d.reloader != nil {
		listener = tls.NewListener(listener, d.reloader.PublicServerConfig())
	}
	d.servers = append(d.servers, &httpServer{name: name, listener: listener, server: server})
	return nil
}

func (s *httpServer) serve(logger log.Logger) {
	err := s.server.Serve(s.listener)
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		level.Error(logger).Log("msg", "An HTTP server stopped.", "server", s.name, "err", err)
	}
}

// close lets requests in progress end while ctx lasts, then cuts them.
func (s *httpServer) close(ctx context.Context) {
	if err := s.server.Shutdown(ctx); err != nil {
		// The time for a planned end is over; what is still open is cut.
		_ = s.server.Close()
	}
}

// address returns where the server listens.
func (s *httpServer) address() string { return s.listener.Addr().String() }
