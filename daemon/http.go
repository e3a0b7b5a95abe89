package daemon

import (
	"context"
	"crypto/tls"
	"fmt"
	stdlog "log"
	"net"
	"net/http"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"github.com/lotusferry/lotusferry/internal/network"
	"github.com/lotusferry/lotusferry/operatorapi"
	"github.com/lotusferry/lotusferry/request/api"
	"github.com/lotusferry/lotusferry/structs"
)

// Names of the HTTP servers.
const (
	callersServer   = "callers"
	operatorsServer = "operators"
)

type httpServer struct {
	name     string
	listener net.Listener
	server   *http.Server
}

// openHTTP opens the listeners for callers and operators.
func (d *Daemon) openHTTP() error {
	known, err := newAPIKeys(d.logger, d.config, d.options.settingsPath)
	if err != nil {
		return err
	}
	d.apiKeys = known
	if address := d.config.Listen.Callers; address != "" && d.router != nil {
		handler := d.closeWhenDraining(api.NewHandler(d.logger, d.router, d.callerOptions()))
		if err := d.listenHTTP(callersServer, address, handler); err != nil {
			return err
		}
	}
	if address := d.config.Listen.Operators; address != "" {
		return d.listenHTTP(operatorsServer, address, d.operatorHandler())
	}
	return nil
}

func (d *Daemon) callerOptions() api.Options {
	settings := d.config
	options := api.DefaultOptions()
	options.FromDaemon = forwardedByDaemon(d.reloader)
	options.WriteTimeout = d.options.limits.write
	options.MaxBodyBytes = settings.Limits.BodyBytes
	options.DefaultDeadline = settings.Limits.DefaultDeadline
	options.MaxDeadline = settings.Limits.MaximumDeadline
	options.Keys = d.apiKeys.callers
	return options
}

func (d *Daemon) operatorHandler() http.Handler {
	options := operatorapi.HandlerOptions{BodyBytes: d.config.Limits.OperatorBodyBytes}
	if !d.config.Development {
		options.Keys = d.apiKeys
	}
	mux := http.NewServeMux()
	mux.Handle("/", operatorapi.NewHandler(d.logger, d.operators, options))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", d.serveReady)
	mux.Handle("GET /metrics", d.metricsHandler())
	return mux
}

// serveReady responds with 200 if the daemon can serve requests.
func (d *Daemon) serveReady(w http.ResponseWriter, _ *http.Request) {
	if reason := d.notReady(); reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// notReady returns the reason why the daemon cannot serve, or "".
func (d *Daemon) notReady() string {
	if d.draining.Load() {
		return "a planned stop is in progress: use another daemon"
	}
	if d.drainedByOperator() {
		return "the daemon is being drained: use another one, or end the drain with lotusferryctl undrain"
	}
	for _, member := range d.groups() {
		if member.Status().LeaderNode == 0 {
			return "a group has no leader: check that a majority of its members is running"
		}
	}
	if d.router != nil && !d.router.hasView() {
		return "the router has not read its zone's table yet: check that a controller of the zone is running"
	}
	return ""
}

func (d *Daemon) listenHTTP(name, address string, handler http.Handler) error {
	listener, err := network.OrTCP(d.options.network).Listen(context.Background(), address)
	if err != nil {
		return listenError("listen."+name, address, err)
	}
	server := &http.Server{
		Handler:           withBodyTimeout(handler, d.options.limits.body),
		ReadHeaderTimeout: d.options.limits.header,
		IdleTimeout:       d.options.limits.idle,
		MaxHeaderBytes:    maxHeaderBytes,
		// net/http logs errors caused by peers, such as failed handshakes.
		ErrorLog: stdlog.New(log.NewStdlibAdapter(level.Info(log.With(d.logger, "component", "http", "server", name))), "", 0),
	}
	listener = newLimitListener(listener, d.options.limits.connections)
	switch {
	case d.reloader != nil && name == callersServer:
		listener = tls.NewListener(listener, d.reloader.CallersServerConfig())
	case d.reloader != nil:
		listener = tls.NewListener(listener, d.reloader.PublicServerConfig())
	}
	d.servers = append(d.servers, &httpServer{name: name, listener: listener, server: server})
	return nil
}

// listenError returns an error that names the setting with the unusable address.
func listenError(key, address string, err error) error {
	return structs.NewError(structs.ErrorInvalid,
		fmt.Sprintf("%s %s cannot be listened on: %s", key, address, err),
		"Stop the process that listens there, or configure a free address of this machine.")
}

// drainedByOperator reports whether an operator drains the daemon's router.
func (d *Daemon) drainedByOperator() bool { return d.router != nil && d.router.isDrained() }

// closeWhenDraining closes callers' connections after their responses once a graceful
// shutdown or a drain has begun.
func (d *Daemon) closeWhenDraining(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.draining.Load() || d.drainedByOperator() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

func (s *httpServer) serve(logger log.Logger) {
	err := s.server.Serve(s.listener)
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		level.Error(logger).Log("component", "http", "msg", "An HTTP server failed.", "server", s.name, "err", err)
	}
}

// close waits for responses in progress while ctx lasts and for abortGrace after it,
// then closes the connections. Operator calls get operatorsGrace only.
func (s *httpServer) close(ctx context.Context) {
	base := context.WithoutCancel(ctx)
	closing, cancel := context.WithCancel(base)
	if s.name == operatorsServer {
		closing, cancel = context.WithTimeout(base, operatorsGrace)
	}
	defer cancel()
	stop := context.AfterFunc(ctx, func() { time.AfterFunc(abortGrace, cancel) })
	defer stop()
	if err := s.server.Shutdown(closing); err != nil {
		// The grace period has expired.
		_ = s.server.Close()
	}
}
