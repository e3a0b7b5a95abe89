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

// offer asks the routers of other zones to take a request that finds no ready
// replica here. It is called under the router's lock.
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

// runOffer asks the zones in turn until one has taken the request or the time for an
// answer is over.
func (r *requestRouter) runOffer(ctx context.Context, effect router.Offer, target *call) {
	end := time.Now().Add(effect.Budget)
	failed := router.OfferFailed{ID: effect.ID}
	for _, settings := range r.zonesNamed(effect.Zones) {
		if !time.Now().Before(end) {
			break
		}
		try := r.newOfferTry(ctx, target, settings.ID, end)
		answer, err := try.call(settings.Routers, target.request)
		switch {
		case err == nil && try.accept():
			r.passOn(ctx, effect.ID, target, answer)
			return
		case try.taken():
			r.failForward(effect.ID, target, err)
			return
		case ctx.Err() != nil:
			// The caller has gone, or this process ends.
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

// endOffer gives the request back to the core.
func (r *requestRouter) endOffer(failed router.OfferFailed, target *call) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	target.sent = failed.MayHaveRun
	r.stepLocked(failed)
}

// offerTaken tells the core that the zone executes the request, and takes that for
// the first sending: an offer alone sets sent, but is not measured.
func (r *requestRouter) offerTaken(target *call, zone structs.ZoneID) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	target.sent = false
	r.metrics.sentAt(target, time.Now())
	target.sent = true
	r.stepLocked(router.OfferTaken{ID: target.request.ID, Zone: zone})
}

// isNotRun reports whether a router answered that it does not run the request.
func isNotRun(err error) bool {
	refusal := refusalByRouter(err)
	return refusal != nil && refusal.Execution == structs.ExecutionNotRun
}

// offerTry is an offer to one zone. It is cancelled when its time is over before
// the zone has taken the request.
type offerTry struct {
	router *requestRouter
	target *call
	zone   structs.ZoneID
	ctx    context.Context
	cancel context.CancelFunc
	// timer gives up when the time is over.
	timer *time.Timer

	mutex sync.Mutex
	// isTaken says that the zone executes the request, isGivenUp that the time was
	// over before, and connected that it may have received it.
	isTaken   bool
	isGivenUp bool
	connected bool
}

func (r *requestRouter) newOfferTry(ctx context.Context, target *call, zone structs.ZoneID, end time.Time) *offerTry {
	// The parent's cancel ends this context too.
	ctx, cancel := context.WithCancel(ctx)
	try := &offerTry{router: r, target: target, zone: zone, cancel: cancel}
	try.timer = time.AfterFunc(time.Until(end), try.giveUp)
	try.ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { try.connect() },
		Got1xxResponse: func(int, textproto.MIMEHeader) error {
			try.accept()
			return nil
		},
	})
	return try
}

// call sends the request to the first router of the zone that can be reached.
func (t *offerTry) call(routers []string, request structs.Request) (api.Answer, error) {
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

func (t *offerTry) connect() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.connected = true
}

// giveUp cancels the offer unless the zone has taken the request. A timer that has
// fired cannot be stopped any more, so that accept may come first.
func (t *offerTry) giveUp() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.isTaken {
		return
	}
	t.isGivenUp = true
	t.cancel()
}

// accept notes that the zone executes the request, and reports whether it said so
// before the time was over.
func (t *offerTry) accept() bool {
	t.mutex.Lock()
	first := !t.isTaken && !t.isGivenUp && t.ctx.Err() == nil
	if first {
		t.isTaken = true
		t.timer.Stop()
	}
	taken := t.isTaken
	t.mutex.Unlock()
	if first {
		t.router.offerTaken(t.target, t.zone)
	}
	return taken
}

func (t *offerTry) taken() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.isTaken
}

func (t *offerTry) reached() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.connected
}
