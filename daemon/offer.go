package daemon

import (
	"context"
	"errors"
	"net/http/httptrace"
	"net/textproto"
	"sync"
	"time"

	"github.com/lotusferry/lotusferry/request/api"
	"github.com/lotusferry/lotusferry/request/router"
	"github.com/lotusferry/lotusferry/structs"
)

// offer offers a request without a ready replica in this zone to the routers of other
// zones. The caller must hold r.mutex.
func (r *requestRouter) offer(effect router.Offer) {
	target, waiting := r.calls[effect.ID]
	if !waiting {
		return
	}
	target.sent = true
	ctx, cancel := r.peerContext(target)
	r.background(func(context.Context) {
		defer cancel()
		r.runOffer(ctx, effect, target)
	})
}

// runOffer tries the zones in turn until one accepts the request or the budget is used
// up.
func (r *requestRouter) runOffer(ctx context.Context, effect router.Offer, target *call) {
	end := time.Now().Add(effect.Budget)
	failed := router.OfferFailed{ID: effect.ID}
	for _, settings := range r.zonesNamed(effect.Zones) {
		if !time.Now().Before(end) {
			break
		}
		try := r.newOfferAttempt(ctx, target, settings.ID, end)
		answer, err := try.call(settings.Routers, target.request)
		switch {
		case err == nil && try.accept():
			r.relayAnswer(ctx, effect.ID, target, answer)
			return
		case try.accepted():
			r.failForward(effect.ID, target, err)
			return
		case ctx.Err() != nil:
			// The caller has disconnected, or the daemon is stopping.
			return
		case isNotRun(err):
			failed.Rejected = append(failed.Rejected, settings.ID)
		default:
			closeAnswer(answer)
			failed.TimedOut = append(failed.TimedOut, settings.ID)
			failed.MayHaveRun = failed.MayHaveRun || try.reached()
		}
		if failed.MayHaveRun {
			break
		}
	}
	r.endOffer(failed, target)
}

func closeAnswer(answer api.Answer) {
	if answer != nil {
		answer.Close()
	}
}

// endOffer returns a request that no zone accepted to the core.
func (r *requestRouter) endOffer(failed router.OfferFailed, target *call) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	target.sent = failed.MayHaveRun
	r.stepLocked(failed)
}

// offerTaken tells the core that the zone runs the request. It resets sent, which the
// offer has set, so that the queue time is measured up to now.
func (r *requestRouter) offerTaken(target *call, zone structs.ZoneID) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	target.sent = false
	r.metrics.sentAt(target, time.Now())
	target.sent = true
	r.stepLocked(router.OfferTaken{ID: target.request.ID, Zone: zone})
}

// isNotRun reports whether err is a router's refusal of a request that did not run.
func isNotRun(err error) bool {
	refusal := refusalByRouter(err)
	return refusal != nil && refusal.Execution == structs.ExecutionNotRun
}

// offerAttempt is an offer to one zone. It is cancelled if the zone does not accept the
// request in time.
type offerAttempt struct {
	router *requestRouter
	target *call
	zone   structs.ZoneID
	ctx    context.Context
	cancel context.CancelFunc
	// timer calls timeOut at the end of the budget.
	timer *time.Timer

	mutex sync.Mutex
	// isAccepted is set when the zone accepts the request, isTimedOut when the time ran
	// out first, and connected when the zone may have received the request.
	isAccepted bool
	isTimedOut bool
	connected  bool
}

func (r *requestRouter) newOfferAttempt(ctx context.Context, target *call, zone structs.ZoneID, end time.Time) *offerAttempt {
	// The parent's cancellation ends this context too.
	ctx, cancel := context.WithCancel(ctx)
	try := &offerAttempt{router: r, target: target, zone: zone, cancel: cancel}
	try.timer = time.AfterFunc(time.Until(end), try.timeOut)
	try.ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { try.connect() },
		Got1xxResponse: func(int, textproto.MIMEHeader) error {
			try.accept()
			return nil
		},
	})
	return try
}

// call sends the request to the first reachable router of the zone.
func (t *offerAttempt) call(routers []string, request structs.Request) (api.Answer, error) {
	defer t.timer.Stop()
	request.IfReady = true
	peers := t.router.peers
	err := error(structs.NewError(structs.ErrorUnavailable, "no router of the zone is known", "List its routers in the settings."))
	for _, address := range routers {
		var answer api.Answer
		answer, err = peers.client.Call(t.ctx, peers.scheme+address, "", t.router.zone, request)
		if err == nil || !errors.Is(err, api.ErrNotSent) {
			return answer, err
		}
	}
	return nil, err
}

func (t *offerAttempt) connect() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.connected = true
}

// timeOut cancels the offer unless the zone has accepted the request. It may run after
// accept, because a timer that has fired cannot be stopped.
func (t *offerAttempt) timeOut() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.isAccepted {
		return
	}
	t.isTimedOut = true
	t.cancel()
}

// accept records that the zone runs the request. It reports whether the zone accepted
// in time.
func (t *offerAttempt) accept() bool {
	t.mutex.Lock()
	first := !t.isAccepted && !t.isTimedOut && t.ctx.Err() == nil
	if first {
		t.isAccepted = true
		t.timer.Stop()
	}
	taken := t.isAccepted
	t.mutex.Unlock()
	if first {
		t.router.offerTaken(t.target, t.zone)
	}
	return taken
}

func (t *offerAttempt) accepted() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.isAccepted
}

func (t *offerAttempt) reached() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.connected
}
