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
	"github.com/lotusferry/lotusferry/internal/wellformed"
	"github.com/lotusferry/lotusferry/request/api"
	"github.com/lotusferry/lotusferry/request/router"
	"github.com/lotusferry/lotusferry/structs"
)

const (
	// peerDialTimeout bounds connecting to a router of another zone, and the TLS
	// handshake, so that an unreachable zone does not use up the request's deadline.
	peerDialTimeout = time.Second
	// forwardGrace is how long past its deadline a forwarded request is kept. The other
	// router ends it at the deadline.
	forwardGrace = time.Second
	// peerConnections is the maximum number of idle connections per router.
	peerConnections = 64
	peerIdleTimeout = 90 * time.Second
)

type peerRouters struct {
	client *api.Client
	scheme string
}

// newPeerRouters returns the client that forwards requests. Outside development mode it
// uses mutual TLS among the daemons of the site. It has no overall timeout because
// answers are streams.
func newPeerRouters(dialled network.Network, reloader *keys.Reloader, faults *transport.Faults) peerRouters {
	base := &http.Transport{
		DialContext:            network.DialWithin(network.OrTCP(dialled), peerDialTimeout),
		TLSHandshakeTimeout:    peerDialTimeout,
		MaxIdleConnsPerHost:    peerConnections,
		IdleConnTimeout:        peerIdleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
	scheme := "http://"
	if reloader != nil {
		scheme = "https://"
		base.TLSClientConfig = reloader.ClientConfig("")
	}
	return peerRouters{client: api.NewClient(&http.Client{Transport: faults.HTTP(wellformed.Transport{Base: base})}), scheme: scheme}
}

// forwardedByDaemon returns a function that reports whether a request may be marked as
// forwarded by a daemon. In development mode any request may; otherwise its client
// certificate must be that of a daemon of the site.
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

// forward sends a request to a router of another zone and relays its tokens. The caller
// must hold r.mutex.
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

// peerContext returns the context for calling other zones on behalf of a call. It is
// cancelled when the caller disconnects, and forwardGrace after the deadline.
func (r *requestRouter) peerContext(target *call) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithDeadline(r.ctx, target.request.DeadlineAt.Add(forwardGrace))
	target.setOnClose(func() {
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
	r.relayAnswer(ctx, effect.ID, target, answer)
}

// relayAnswer delivers another router's answer to the caller.
func (r *requestRouter) relayAnswer(ctx context.Context, id structs.RequestID, target *call, answer api.Answer) {
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
		target.waitForSpace(ctx)
	}
}

// openForward tries the routers of the zones in turn until one accepts the request. A
// router that is stopping or not ready refuses it as not run, so it is safe to try the
// next.
func (r *requestRouter) openForward(ctx context.Context, effect router.Forward, request structs.Request) (api.Answer, error) {
	var last error
	for _, settings := range r.zonesNamed(effect.Zones) {
		for _, address := range settings.Routers {
			answer, err := r.peers.client.Call(ctx, r.peers.scheme+address, "", r.zone, request)
			if err == nil || !canTryNextRouter(err) {
				return answer, err
			}
			last = err
		}
	}
	if last == nil {
		last = &api.RefusedError{Refusal: structs.Rejection{
			Error: *structs.NewError(structs.ErrorUnavailable, "no router of the zones that serve this row is known",
				"Ask the operators to list routers for every zone in the settings."),
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

// canTryNextRouter reports whether the request is known not to have run at the router
// that was tried and another router may accept it.
func canTryNextRouter(err error) bool {
	if errors.Is(err, api.ErrNotSent) {
		return true
	}
	refusal := refusalByRouter(err)
	return refusal != nil && refusal.Execution == structs.ExecutionNotRun && refusal.Error.Kind == structs.ErrorUnavailable
}

// refusalByRouter returns the refusal by the called router, or nil if the request did
// not reach one or its answer was interrupted.
func refusalByRouter(err error) *structs.Rejection {
	var refused *api.RefusedError
	if !errors.As(err, &refused) || errors.Is(err, api.ErrNotSent) || errors.Is(err, api.ErrBroken) {
		return nil
	}
	return &refused.Refusal
}

// failForward ends a forwarded request that has no complete answer. A refusal by the
// other router is passed to the caller; a broken connection is handled by the core.
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
