package daemon

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"github.com/lotusferry/lotusferry/agreement/leadercall"
	"github.com/lotusferry/lotusferry/config"
	"github.com/lotusferry/lotusferry/internal/pause"
	"github.com/lotusferry/lotusferry/placement/controller"
	"github.com/lotusferry/lotusferry/request/api"
	"github.com/lotusferry/lotusferry/request/engineapi"
	"github.com/lotusferry/lotusferry/request/router"
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
	peers   peerRouters
	leader  *leadercall.Caller
	claims  *claimKeeper
	answers *answerKeeper
	timing  config.Timing
	// unrecorded are the ends that an earlier life may not have recorded.
	unrecorded []router.FinishClaim

	mutex    sync.Mutex
	core     *router.Core
	calls    map[structs.RequestID]*call
	attempts map[router.AttemptID]*attempt
	metrics  *requestMetrics
	// view is the zone's view; viewed is set once it was read.
	view   *router.ViewCopy
	viewed bool
	// viewStore keeps the view on disk. Only the view's loop uses it.
	viewStore viewStore
	// relay is the router's part in reading engine reports; only its loop uses it.
	relay *controller.ReportRelay
	// followed are the engines whose cache events are read.
	followed map[structs.RunnerID]*followedEngine
	// running holds the goroutines that carry out effects; working counts them.
	running sync.WaitGroup
	working atomic.Int64
	// draining is set once a planned stop has begun.
	draining bool
	// drained is set while an operator drains the daemon: it takes no new request.
	drained bool
	// waiting wakes the demand loop when requests wait for a row without a replica.
	waiting notifier
	// viewChanged is signalled when a view was adopted.
	viewChanged notifier
	// quiet is signalled when less is in progress.
	quiet notifier
	ctx   context.Context
}

// routerTick is how often time passes for the router's decisions.
const routerTick = 20 * time.Millisecond

// run drives the router until ctx ends: ticks, demand reports and the view.
func (r *requestRouter) run(ctx context.Context) {
	var loops sync.WaitGroup
	for _, loop := range []func(context.Context){r.tickLoop, r.demandLoop, r.viewLoop, r.relayLoop, r.cacheLoop, r.claims.renewLoop, r.recoverLoop, r.answers.expireLoop} {
		loops.Go(func() { loop(ctx) })
	}
	loops.Wait()
}

func (r *requestRouter) tickLoop(ctx context.Context) {
	for pause.For(ctx, routerTick) {
		r.step(router.Tick{})
	}
}

// Submit implements api.Service.
func (r *requestRouter) Submit(_ context.Context, request structs.Request) (api.Answer, error) {
	submitted := newCall(request, func() { r.step(router.CallerGone{ID: request.ID}) })
	r.metrics.accepted.Inc()
	r.mutex.Lock()
	if refusal := r.cannotTake(); refusal != nil {
		r.mutex.Unlock()
		r.metrics.end(refusal)
		return nil, &api.RefusedError{Refusal: *refusal}
	}
	r.calls[request.ID] = submitted
	r.mutex.Unlock()
	r.step(router.Arrived{Request: request})
	if request.IfReady {
		return submitted.unlessRefused()
	}
	return submitted, nil
}

// cannotTake is the answer to every new request, or nil; it is called under the lock.
func (r *requestRouter) cannotTake() *structs.Rejection {
	var refusal structs.Rejection
	switch {
	case !r.viewed:
		refusal = notViewed()
	case r.drained:
		refusal = drainedRefusal()
	default:
		return nil
	}
	return &refusal
}

// Rows implements api.Service.
func (r *requestRouter) Rows(context.Context) ([]structs.Row, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.core.Rows(), nil
}

// step hands one event to the core and carries out the effects.
func (r *requestRouter) step(event router.Event) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.stepLocked(event)
}

// stepLocked is step for those who hold the lock.
func (r *requestRouter) stepLocked(event router.Event) {
	for _, effect := range r.core.Step(time.Now(), event) {
		r.carryOut(effect)
	}
	r.forgetGone(event)
	if r.core.DemandUrgent() {
		r.waiting.broadcast()
	}
	if r.draining {
		r.quiet.broadcast()
	}
}

// carryOut is called under the lock: it only touches memory and starts goroutines.
func (r *requestRouter) carryOut(effect router.Effect) {
	switch effect := effect.(type) {
	case *router.Deliver:
		r.deliver(effect.ID, effect.Token)
	case router.Finish:
		r.end(effect.ID, nil)
	case router.Reject:
		r.end(effect.ID, &effect.Rejection)
	case router.Replay:
		r.replay(effect)
	case router.SendAttempt:
		r.startAttempt(effect)
	case router.CancelAttempt:
		r.cancelAttempt(effect.Attempt)
	case router.AskStatus:
		r.background(func(ctx context.Context) { r.askStatus(ctx, effect) })
	case router.BeginClaim:
		r.background(func(ctx context.Context) { r.step(r.claims.begin(ctx, effect)) })
	case router.FinishClaim:
		r.finishClaim(effect)
	case router.FetchAnswer:
		r.background(func(ctx context.Context) { r.step(r.answers.fetch(ctx, effect)) })
	case router.Forward:
		r.forward(effect)
	case router.Offer:
		r.offer(effect)
	}
}

// background runs work that may block; a planned stop waits for it.
func (r *requestRouter) background(work func(context.Context)) {
	r.working.Add(1)
	r.running.Go(func() {
		work(r.ctx)
		r.working.Add(-1)
		r.quiet.broadcast()
	})
}

func (r *requestRouter) deliver(id structs.RequestID, token structs.Token) {
	if target, waiting := r.calls[id]; waiting {
		r.metrics.tokenAt(target, time.Now())
		target.deliver(token)
	}
}

// end removes a call from the table; its handler still reads what was delivered.
func (r *requestRouter) end(id structs.RequestID, refusal *structs.Rejection) {
	target, waiting := r.calls[id]
	if !waiting {
		return
	}
	delete(r.calls, id)
	r.metrics.end(refusal)
	if refusal != nil {
		target.refuse(*refusal)
	}
	r.quiet.broadcast()
}

// replay answers a call with the answer that is kept under its key.
func (r *requestRouter) replay(effect router.Replay) {
	target, waiting := r.calls[effect.ID]
	if !waiting {
		return
	}
	answer, err := router.DecodeAnswer(effect.Answer)
	if err != nil {
		r.end(effect.ID, &structs.Rejection{Error: *structs.AsTyped(err), Execution: structs.ExecutionUnknown})
		return
	}
	target.deliver(structs.Token{ID: effect.ID, Text: answer.Text, Finish: answer.Finish})
	r.end(effect.ID, nil)
}

// forgetGone removes a call whose caller is gone from the table.
func (r *requestRouter) forgetGone(event router.Event) {
	gone, isGone := event.(router.CallerGone)
	if !isGone {
		return
	}
	delete(r.calls, gone.ID)
	r.quiet.broadcast()
}

func (r *requestRouter) openCalls() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.calls)
}
