package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"

	"github.com/lotusferry/lotusferry/api"
	"github.com/lotusferry/lotusferry/config"
	"github.com/lotusferry/lotusferry/engineapi"
	"github.com/lotusferry/lotusferry/router"
	"github.com/lotusferry/lotusferry/structs"
)

// requestRouter feeds the router's decisions (router.Core) from callers, engines
// and the zone group, and carries out their effects. All access to the core is
// under mutex; whatever may block is done outside it, on its own goroutine.
type requestRouter struct {
	logger  log.Logger
	site    config.Site
	zone    structs.ZoneID
	daemon  structs.DaemonID
	engines *engineapi.Client
	peers   *api.Client
	leader  *leaderCaller
	timing  config.Timing

	mutex    sync.Mutex
	core     *router.Core
	calls    map[structs.RequestID]*call
	attempts map[router.AttemptID]*attempt
	rows     map[structs.RowName]structs.Row
	// viewed is set once the zone's table was read.
	viewed bool
	// claimNumber numbers the BeginClaim effects, so that the zone group can tell
	// a request's later choice of a runner from an earlier one that was delayed.
	claimNumber uint64
	// running counts the goroutines that carry out effects, for a planned stop.
	running sync.WaitGroup
	// waiting wakes the demand loop when requests wait.
	waiting notifier
	// quiet is signalled when the core may have become idle.
	quiet notifier
	ctx   context.Context
}

// routerTick is how often time passes for the router's decisions.
const routerTick = 20 * time.Millisecond

// run drives the router until ctx ends: ticks, demand reports and the view.
func (r *requestRouter) run(ctx context.Context) {
	var loops sync.WaitGroup
	for _, loop := range []func(context.Context){r.tickLoop, r.demandLoop, r.viewLoop} {
		loops.Go(func() { loop(ctx) })
	}
	loops.Wait()
}

func (r *requestRouter) tickLoop(ctx context.Context) {
	for pause(ctx, routerTick) {
		r.step(router.Tick{})
	}
}

// Submit implements api.Service.
func (r *requestRouter) Submit(_ context.Context, request structs.Request) (api.Answer, error) {
	submitted := newCall(request, func() { r.step(router.CallerGone{ID: request.ID}) })
	r.mutex.Lock()
	r.calls[request.ID] = submitted
	r.mutex.Unlock()
	r.step(router.Arrived{Request: request})
	r.waiting.broadcast()
	return submitted, nil
}

// Rows implements api.Service.
func (r *requestRouter) Rows(context.Context) ([]structs.Row, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return sortedRows(r.rows), nil
}

// step hands one event to the core and carries out the effects.
func (r *requestRouter) step(event router.Event) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, effect := range r.core.Step(time.Now(), event) {
		r.carryOut(effect)
	}
	r.forgetGone(event)
}

// carryOut is called under the lock: it only touches memory and starts goroutines.
func (r *requestRouter) carryOut(effect router.Effect) {
	switch effect := effect.(type) {
	case *router.Deliver:
		r.deliver(effect.ID, effect.Token)
	case router.Finish:
		r.end(effect.ID, nil)
	case router.Refuse:
		r.end(effect.ID, &effect.Refusal)
	case router.Replay:
		r.replay(effect)
	case router.SendAttempt:
		r.startAttempt(effect)
	case router.CancelAttempt:
		r.cancelAttempt(effect.Attempt)
	case router.AskStatus:
		r.background(func(ctx context.Context) { r.askStatus(ctx, effect) })
	case router.BeginClaim:
		r.claimNumber++
		number := r.claimNumber
		r.background(func(ctx context.Context) { r.beginClaim(ctx, effect, number) })
	case router.FinishClaim:
		r.background(func(ctx context.Context) { r.finishClaim(ctx, effect) })
	case router.Forward:
		r.forward(effect)
	}
}

// background runs work that may block; a planned stop waits for it.
func (r *requestRouter) background(work func(context.Context)) {
	r.running.Go(func() { work(r.ctx) })
}

func (r *requestRouter) deliver(id structs.RequestID, token structs.Token) {
	if target, waiting := r.calls[id]; waiting {
		target.deliver(token)
	}
}

// end removes a call from the table; its handler still reads what was delivered.
func (r *requestRouter) end(id structs.RequestID, refusal *structs.Refusal) {
	target, waiting := r.calls[id]
	if !waiting {
		return
	}
	delete(r.calls, id)
	if refusal != nil {
		target.refuse(*refusal)
	}
	r.quiet.broadcast()
}

func (r *requestRouter) replay(effect router.Replay) {
	target, waiting := r.calls[effect.ID]
	if !waiting {
		return
	}
	answer, err := router.DecodeAnswer(effect.Answer)
	if err != nil {
		r.end(effect.ID, &structs.Refusal{Error: *asTyped(err), Execution: structs.ExecutionUnknown})
		return
	}
	target.deliver(structs.Token{ID: effect.ID, Text: answer.Text, Finish: answer.Finish})
	r.end(effect.ID, nil)
}

func (r *requestRouter) forgetGone(event router.Event) {
	gone, isGone := event.(router.CallerGone)
	if !isGone {
		return
	}
	delete(r.calls, gone.ID)
	r.quiet.broadcast()
}

// drain stops taking new requests and waits until those in progress have ended
// or ctx ends. It returns how many were cut.
func (r *requestRouter) drain(ctx context.Context) int {
	r.step(router.DrainStarted{})
	for {
		quiet := r.quiet.wait()
		open := r.openCalls()
		if open == 0 {
			return 0
		}
		select {
		case <-ctx.Done():
			return open
		case <-quiet:
		}
	}
}

func (r *requestRouter) openCalls() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.calls)
}
