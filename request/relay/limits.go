package relay

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"github.com/lotusferry/lotusferry/agreement/leadercall"
	"github.com/lotusferry/lotusferry/internal/pause"
	"github.com/lotusferry/lotusferry/internal/wake"
	"github.com/lotusferry/lotusferry/placement/domainapi"
	"github.com/lotusferry/lotusferry/placement/quota"
	"github.com/lotusferry/lotusferry/request/limiter"
)

const (
	// drawInterval is the interval between draws for waiting requests.
	drawInterval = 5 * time.Millisecond
	// refillInterval is the interval between draws for reserves only. The leader answers at most
	// one of those per router and second.
	refillInterval = time.Second
	// drawTimeout bounds one draw, including the search for a leader.
	drawTimeout = 900 * time.Millisecond
)

// limits holds the router's shares of tenants' rate limits and requests more from the leader.
type limits struct {
	// wake has capacity 1.
	wake chan struct{}

	mutex   sync.Mutex
	limiter *limiter.Limiter
	// refilledAt is the time of the last draw.
	refilledAt time.Time
	// session identifies this incarnation of the router to the leader; sequence numbers its draws.
	session  uint64
	sequence uint64
}

func newLimits(session uint64) *limits {
	return &limits{wake: make(chan struct{}, 1), limiter: limiter.New(), session: session}
}

func (l *limits) wakeUp() {
	wake.Up(l.wake)
}

// isLow reports whether reserves should be drawn. The caller must hold l.mutex.
func (l *limits) isLow(at time.Time) bool {
	if at.Sub(l.refilledAt) < refillInterval {
		return false
	}
	_, soon := l.limiter.NeedsLeader(at)
	return soon
}

// await waits at most limit for the verdict on a request. It returns false if there is none in
// time.
func (l *limits) await(ctx context.Context, waiter *limiter.Waiter, settled chan limiter.Verdict, limit time.Duration) (limiter.Verdict, bool) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case verdict := <-settled:
		return verdict, true
	case <-timer.C:
	case <-ctx.Done():
	}
	l.mutex.Lock()
	isCancelled := l.limiter.Cancel(waiter)
	l.mutex.Unlock()
	if isCancelled {
		return limiter.Verdict{}, false
	}
	return <-settled, true
}

// limitLoop draws shares of limits from the leader until ctx ends.
func (r *Router) limitLoop(ctx context.Context) {
	for {
		select {
		case <-r.limits.wake:
		case <-ctx.Done():
			return
		}
		for r.drawOnce(ctx) {
			pause.For(ctx, drawInterval)
		}
	}
}

// drawOnce sends one draw if anything is wanted. It reports whether requests still wait.
func (r *Router) drawOnce(ctx context.Context) bool {
	asked := r.now()
	r.limits.mutex.Lock()
	wants := r.limits.limiter.Wants(asked)
	r.limits.refilledAt = asked
	r.limits.sequence++
	sequence := r.limits.sequence
	isWaiting, _ := r.limits.limiter.NeedsLeader(asked)
	r.limits.mutex.Unlock()
	if len(wants) == 0 || ctx.Err() != nil {
		return isWaiting && ctx.Err() == nil
	}
	grants, err := r.draw(ctx, sequence, wants)
	at := r.now()
	r.metrics.draws.Observe(at.Sub(asked).Seconds())
	if err != nil && ctx.Err() == nil {
		level.Debug(r.logger).Log("msg", "The request to the leader for shares of limits failed.", "tenants", len(wants), "err", err)
	}
	r.limits.mutex.Lock()
	defer r.limits.mutex.Unlock()
	if err == nil {
		r.limits.limiter.Adopt(asked, at, grants)
	}
	waiting, _ := r.limits.limiter.NeedsLeader(at)
	return waiting
}

func (r *Router) draw(ctx context.Context, sequence uint64, wants []quota.Want) ([]quota.Grant, error) {
	ctx, cancel := context.WithTimeout(ctx, drawTimeout)
	defer cancel()
	ageReturns(wants)
	arguments := domainapi.DrawArguments{Router: r.options.Name, Wants: wants, Session: r.limits.session, Question: sequence}
	reply, err := leadercall.Call(ctx, r.caller, domainapi.MethodDraw, arguments,
		func() *domainapi.DrawReply { return &domainapi.DrawReply{} })
	if err != nil {
		return nil, err
	}
	return reply.Grants, nil
}

// ageReturns adds the longest transit time to the ages of returned shares. The leader counts ages
// from arrival and must not deduct a return from a later grant.
func ageReturns(wants []quota.Want) {
	for _, want := range wants {
		for i := range want.Returned {
			want.Returned[i].Age += drawTimeout
		}
	}
}
