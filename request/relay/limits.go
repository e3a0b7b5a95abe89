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
	// drawPause separates two questions for requests that wait.
	drawPause = 5 * time.Millisecond
	// refillPause separates two questions for reserves only: the leader answers one of each
	// router a second at most.
	refillPause = time.Second
	// drawTimeout bounds one question, with the search for a leader.
	drawTimeout = 900 * time.Millisecond
)

// limits are the parts of tenants' limits that the router holds, and what asks for more.
type limits struct {
	// wake has room for one.
	wake chan struct{}

	mutex   sync.Mutex
	limiter *limiter.Limiter
	// refilledAt is when the leader was last asked.
	refilledAt time.Time
	// session names the life of this process to the leader, and question numbers its questions.
	session  uint64
	question uint64
}

func newLimits(session uint64) *limits {
	return &limits{wake: make(chan struct{}, 1), limiter: limiter.New(), session: session}
}

func (l *limits) wakeUp() {
	wake.Up(l.wake)
}

// isLow reports whether it is time to ask for reserves. It runs under the mutex.
func (l *limits) isLow(at time.Time) bool {
	if at.Sub(l.refilledAt) < refillPause {
		return false
	}
	_, soon := l.limiter.IsAsking(at)
	return soon
}

// await waits for what becomes of a request, at most for limit. It reports false if nobody said
// in time.
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

// limitLoop asks the leader for parts of limits until ctx ends.
func (r *Router) limitLoop(ctx context.Context) {
	for {
		select {
		case <-r.limits.wake:
		case <-ctx.Done():
			return
		}
		for r.drawOnce(ctx) {
			pause.For(ctx, drawPause)
		}
	}
}

// drawOnce asks the leader once, if there is something to ask for. It reports whether requests
// still wait.
func (r *Router) drawOnce(ctx context.Context) bool {
	asked := r.now()
	r.limits.mutex.Lock()
	wants := r.limits.limiter.Wants(asked)
	r.limits.refilledAt = asked
	r.limits.question++
	question := r.limits.question
	isWaiting, _ := r.limits.limiter.IsAsking(asked)
	r.limits.mutex.Unlock()
	if len(wants) == 0 || ctx.Err() != nil {
		return isWaiting && ctx.Err() == nil
	}
	grants, err := r.draw(ctx, question, wants)
	at := r.now()
	r.metrics.draws.Observe(at.Sub(asked).Seconds())
	if err != nil && ctx.Err() == nil {
		level.Debug(r.logger).Log("msg", "The leader could not be asked for parts of limits.", "tenants", len(wants), "err", err)
	}
	r.limits.mutex.Lock()
	defer r.limits.mutex.Unlock()
	if err == nil {
		r.limits.limiter.Adopt(asked, at, grants)
	}
	waiting, _ := r.limits.limiter.IsAsking(at)
	return waiting
}

func (r *Router) draw(ctx context.Context, question uint64, wants []quota.Want) ([]quota.Grant, error) {
	ctx, cancel := context.WithTimeout(ctx, drawTimeout)
	defer cancel()
	ageReturns(wants)
	arguments := domainapi.DrawArguments{Router: r.options.Name, Wants: wants, Session: r.limits.session, Question: question}
	reply, err := leadercall.Call(ctx, r.caller, domainapi.MethodDraw, arguments,
		func() *domainapi.DrawReply { return &domainapi.DrawReply{} })
	if err != nil {
		return nil, err
	}
	return reply.Grants, nil
}

// ageReturns adds to the ages of returns how long a question may be under way, and the search for
// a leader take: the leader counts ages from when it hears them, and must take nothing off that was
// granted after the return itself.
func ageReturns(wants []quota.Want) {
	for _, want := range wants {
		for i := range want.Returned {
			want.Returned[i].Age += drawTimeout
		}
	}
}
