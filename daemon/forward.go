package daemon

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/lotusferry/lotusferry/config"
	"github.com/lotusferry/lotusferry/internal/keys"
	"github.com/lotusferry/lotusferry/internal/network"
	"github.com/lotusferry/lotusferry/internal/transport"
	"github.com/lotusferry/lotusferry/request/api"
	"github.com/lotusferry/lotusferry/request/router"
	"github.com/lotusferry/lotusferry/structs"
)

const (
	// peerDialTimeout bounds connecting to a router of another zone, with the TLS
	// handshake: a zone that is cut off must not take the request's time.
	peerDialTimeout = time.Second
	// forwardMargin is how long after its deadline a forwarded request is given up:
	// the other router ends it at the deadline.
	forwardMargin = time.Second
	// peerConnections is how many idle connections to one router are kept.
	peerConnections = 64
	peerIdleTimeout = 90 * time.Second
)

// peerRouters calls the routers of other zones.
type peerRouters struct {
	client *api.Client
	scheme string
}

// newPeerRouters makes the client that forwards requests. Outside development
// mode it shows the daemon's certificate and takes only daemons of the site. It
// has no overall timeout because answers are streams.
func newPeerRouters(dialled network.Network, reloader *keys.Reloader, faults *transport.Faults) peerRouters {
	base := &http.Transport{
		DialContext:         network.DialWithin(network.OrTCP(dialled), peerDialTimeout),
		TLSHandshakeTimeout: peerDialTimeout,
		MaxIdleConnsPerHost: peerConnections,
		IdleConnTimeout:     peerIdleTimeout,
	}
	scheme := "http://"
	if reloader != nil {
		scheme = "https://"
		base.TLSClientConfig = reloader.ClientConfig("")
	}
	return peerRouters{client: api.NewClient(&http.Client{Transport: faults.HTTP(base)}), scheme: scheme}
}

// forwardedByDaemon tells the callers' interface which requests another daemon
// sent: in development mode any that says so, otherwise those over a connection
// with a certificate of a daemon of the site.
func forwardedByDaemon(reloader *keys.Reloader) func(*http.Request) bool {
	if reloader == nil {
		return func(*http.Request) bool { return true }
	}
	return func(r *http.Request) bool {
		if r.TLS == nil {
			return false
		}
		_, err := reloader.VerifyDaemon(*r.TLS)
		return err == nil
	}
}

// forward hands a request to a router of another zone and passes its tokens on.
// It is called under the router's lock.
func (r *requestRouter) forward(effect router.Forward) {
	target, waiting := r.calls[effect.ID]
	if !waiting {
		return
	}
	r.metrics.sentAt(target, time.Now())
	target.sent = true
	ctx, cancel := r.peerContext(target)
	r.background(func(context.Context) {
		defer cancel()
		r.runForward(ctx, effect, target)
	})
}

// peerContext makes the context of asking other zones for the answer to a call. It
// ends when the caller goes, and forwardMargin after the deadline.
func (r *requestRouter) peerContext(target *call) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithDeadline(r.ctx, target.request.DeadlineAt.Add(forwardMargin))
	target.whenGone(func() {
		cancel()
		r.step(router.CallerGone{ID: target.request.ID})
	})
	return ctx, cancel
}

func (r *requestRouter) runForward(ctx context.Context, effect router.Forward, target *call) {
	answer, err := r.openForward(ctx, effect, target.request)
	if err != nil {
		r.failForward(effect.ID, target, err)
		return
	}
	r.passOn(ctx, effect.ID, target, answer)
}

// passOn hands the caller what another zone's router answers.
func (r *requestRouter) passOn(ctx context.Context, id structs.RequestID, target *call, answer api.Answer) {
	defer answer.Close()
	for {
		token, err := answer.Next(ctx)
		if err != nil {
			r.failForward(id, target, err)
			return
		}
		r.metrics.tokenAt(target, time.Now())
		target.deliver(token)
		if token.Finish != "" {
			r.endForward(id, nil)
			return
		}
		target.awaitSpace(ctx)
	}
}

// openForward tries the routers of the zones in turn until one has taken the
// request. One that is stopping or cannot serve yet refuses it as not run, which
// makes it safe to ask the next.
func (r *requestRouter) openForward(ctx context.Context, effect router.Forward, request structs.Request) (api.Answer, error) {
	var last error
	for _, settings := range r.zonesNamed(effect.Zones) {
		for _, address := range settings.Routers {
			answer, err := r.peers.client.Call(ctx, r.peers.scheme+address, "", r.zone, request)
			if err == nil || !mayAskNext(err) {
				return answer, err
			}
			last = err
		}
	}
	if last == nil {
		last = &api.RefusedError{Refusal: structs.Rejection{
			Error: *structs.NewError(structs.ErrorUnavailable, "no router of the zones that serve this row is known",
				"Have the operators list routers for every zone in the settings."),
			Execution: structs.ExecutionNotRun,
		}}
	}
	return nil, last
}

func (r *requestRouter) zonesNamed(ids []structs.ZoneID) []config.Zone {
	var zones []config.Zone
	for _, id := range ids {
		if settings, known := r.site.ZoneByID(id); known {
			zones = append(zones, settings)
		}
	}
	return zones
}

// mayAskNext reports whether the request certainly did not run at the router that
// was asked, and another one may take it.
func mayAskNext(err error) bool {
	if errors.Is(err, api.ErrNotSent) {
		return true
	}
	refusal := refusalByRouter(err)
	return refusal != nil && refusal.Execution == structs.ExecutionNotRun && refusal.Error.Kind == structs.ErrorUnavailable
}

// refusalByRouter returns what the router that was asked refused the request with;
// it is nil when the request did not reach one, or its answer broke off.
func refusalByRouter(err error) *structs.Rejection {
	var refused *api.RefusedError
	if !errors.As(err, &refused) || errors.Is(err, api.ErrNotSent) || errors.Is(err, api.ErrBroken) {
		return nil
	}
	return &refused.Refusal
}

// failForward ends a forwarded request that got no whole answer. What the other
// router said of its execution is passed on; a broken connection is judged by
// the core.
func (r *requestRouter) failForward(id structs.RequestID, target *call, err error) {
	if refusal := refusalByRouter(err); refusal != nil {
		r.endForward(id, refusal)
		return
	}
	stage := router.Broken
	if errors.Is(err, api.ErrNotSent) {
		stage = router.NotSent
	}
	r.step(router.ForwardFailed{
		ID:         id,
		Row:        target.request.Row,
		Repeatable: target.request.Repeatable(),
		Stage:      stage,
		Error:      structs.AsTyped(err),
	})
}

func (r *requestRouter) endForward(id structs.RequestID, refusal *structs.Rejection) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.end(id, refusal)
}
