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

// requestRouter feeds events from callers, engines and the zone group to router.Core
// and executes its effects. The core is accessed only with mutex held; blocking work
// runs in separate goroutines without it.
type requestRouter struct {
	logger  log.Logger
	site    config.Site
	zone    structs.ZoneID
	daemon  structs.DaemonID
	engines *engineapi.Client
	peers   peerRouters
	leader  *leadercall.Caller
	claims  *claimManager
	answers *answerManager
	timing  config.Timing
	// unrecorded are the ends of claims that a previous run may not have recorded.
	unrecorded []router.FinishClaim

	mutex    sync.Mutex
	core     *router.Core
	calls    map[structs.RequestID]*call
	attempts map[router.AttemptID]*attempt
	metrics  *requestMetrics
	// view is the zone's view; viewReady is set once it is complete.
	view      *router.ViewCopy
	viewReady bool
	// viewStore persists the view. Used only by viewLoop.
	viewStore viewStore
	// relay tracks the router's share of the engine reports. Used only by relayLoop.
	relay *controller.ReportRelay
	// followed are the engines whose cache events are read.
	followed map[structs.RunnerID]*followedEngine
	// running tracks the goroutines that execute effects; working is their number.
	running sync.WaitGroup
	working atomic.Int64
	// draining is set when a graceful shutdown begins.
	draining bool
	// drained is set while an operator drains the daemon.
	drained bool
	// waiting is signalled when requests wait for a row without a ready replica.
	waiting notifier
	// viewChanged is signalled when a view is adopted.
	viewChanged notifier
	// workDone is signalled when a request or a background task ends.
	workDone notifier
	ctx      context.Context
}

// routerTick is the interval between tick events to the core.
const routerTick = 20 * time.Millisecond

// run runs the router's loops until ctx is done.
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
	if refusal := r.refusalOfNew(); refusal != nil {
		r.mutex.Unlock()
		r.metrics.end(refusal)
		return nil, &api.RefusedError{Refusal: *refusal}
	}
	r.calls[request.ID] = submitted
	r.mutex.Unlock()
	r.step(router.Arrived{Request: request})
	if request.IfReady {
		return submitted.answerOrRefusal()
	}
	return submitted, nil
}

// refusalOfNew returns the refusal of every new request, or nil if requests are
// accepted. The caller must hold r.mutex.
func (r *requestRouter) refusalOfNew() *structs.Rejection {
	var refusal structs.Rejection
	switch {
	case !r.viewReady:
		refusal = viewMissingRefusal()
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

// step passes an event to the core and executes the effects.
func (r *requestRouter) step(event router.Event) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.stepLocked(event)
}

// stepLocked is like step, but the caller must hold r.mutex.
func (r *requestRouter) stepLocked(event router.Event) {
	for _, effect := range r.core.Step(time.Now(), event) {
		r.execute(effect)
	}
	r.removeClosed(event)
	if r.core.DemandUrgent() {
		r.waiting.broadcast()
	}
	if r.draining {
		r.workDone.broadcast()
	}
}

// execute executes an effect. The caller must hold r.mutex, so it does not block.
func (r *requestRouter) execute(effect router.Effect) {
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

// background runs blocking work in a goroutine that a graceful shutdown waits for.
func (r *requestRouter) background(work func(context.Context)) {
	r.working.Add(1)
	r.running.Go(func() {
		work(r.ctx)
		r.working.Add(-1)
		r.workDone.broadcast()
	})
}

func (r *requestRouter) deliver(id structs.RequestID, token structs.Token) {
	if target, waiting := r.calls[id]; waiting {
		r.metrics.tokenAt(target, time.Now())
		target.deliver(token)
	}
}

// end removes a call from the table. Its handler may still read tokens already
// delivered.
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
	r.workDone.broadcast()
}

// replay answers a call with the stored answer of its key.
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

// removeClosed removes a call whose caller has disconnected.
func (r *requestRouter) removeClosed(event router.Event) {
	gone, isGone := event.(router.CallerGone)
	if !isGone {
		return
	}
	delete(r.calls, gone.ID)
	r.workDone.broadcast()
}

func (r *requestRouter) openCalls() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.calls)
}
