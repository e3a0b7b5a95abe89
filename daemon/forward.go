package daemon

import (
	"context"
	"errors"

	"github.com/lotusferry/lotusferry/api"
	"github.com/lotusferry/lotusferry/router"
	"github.com/lotusferry/lotusferry/structs"
)

// forward hands a request to a router of another zone and passes its tokens on.
func (r *requestRouter) forward(effect router.Forward) {
	target, waiting := r.calls[effect.ID]
	if !waiting {
		return
	}
	ctx, cancel := context.WithCancel(r.ctx)
	target.mutex.Lock()
	target.gone = func() {
		cancel()
		r.step(router.CallerGone{ID: effect.ID})
	}
	target.mutex.Unlock()
	r.running.Go(func() {
		defer cancel()
		r.runForward(ctx, effect, target)
	})
}

func (r *requestRouter) runForward(ctx context.Context, effect router.Forward, target *call) {
	answer, err := r.openForward(ctx, effect, target.request)
	if err != nil {
		r.failForward(effect, target, err)
		return
	}
	defer answer.Close()
	for {
		token, err := answer.Next(ctx)
		if err != nil {
			r.failForward(effect, target, err)
			return
		}
		target.deliver(token)
		if token.Finish != "" {
			r.endForward(effect.ID, nil)
			return
		}
		target.awaitSpace(ctx)
	}
}

// openForward tries the routers of the zones in turn until one has received the request.
func (r *requestRouter) openForward(ctx context.Context, effect router.Forward, request structs.Request) (api.Answer, error) {
	var last error
	for _, zone := range effect.Zones {
		settings, known := r.site.ZoneByID(zone)
		if !known {
			continue
		}
		for _, address := range settings.Routers {
			answer, err := r.peers.Call(ctx, "http://"+address, "", r.zone, request)
			if err == nil || !errors.Is(err, api.ErrNotSent) {
				return answer, err
			}
			last = err
		}
	}
	if last == nil {
		last = &api.RefusedError{Refusal: structs.Refusal{
			Error: *structs.NewError(structs.ErrorUnavailable, "no router of the zones that serve this row is known",
				"ask the operators to list routers for every zone in the settings"),
			Execution: structs.ExecutionNotRun,
		}}
	}
	return nil, last
}

// failForward ends a forwarded request that got no whole answer. What the other
// router said of its execution is passed on; a broken connection is judged by
// the core.
func (r *requestRouter) failForward(effect router.Forward, target *call, err error) {
	var refused *api.RefusedError
	if errors.As(err, &refused) && !errors.Is(err, api.ErrNotSent) && !errors.Is(err, api.ErrBroken) {
		r.endForward(effect.ID, &refused.Refusal)
		return
	}
	stage := router.Broken
	if errors.Is(err, api.ErrNotSent) {
		stage = router.NotSent
	}
	r.step(router.ForwardFailed{
		ID:         effect.ID,
		Row:        target.request.Row,
		Repeatable: target.request.Repeatable(),
		Stage:      stage,
		Error:      asTyped(err),
	})
}

func (r *requestRouter) endForward(id structs.RequestID, refusal *structs.Refusal) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.end(id, refusal)
}
