package relay

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"github.com/lotusferry/lotusferry/agreement/leadercall"
	"github.com/lotusferry/lotusferry/internal/pause"
	"github.com/lotusferry/lotusferry/internal/wake"
	"github.com/lotusferry/lotusferry/placement/domainapi"
	"github.com/lotusferry/lotusferry/placement/warmup"
	"github.com/lotusferry/lotusferry/structs"
)

const (
	// warmUpPause separates two questions for requests to cold runners: a part of what a first event takes,
	// in which others that come together share a question.
	warmUpPause = 10 * time.Millisecond
	// warmUpRetry is the pause after a question that nobody answered.
	warmUpRetry = 100 * time.Millisecond
	// warmUpTimeout bounds a question: later, its tokens could not be used any more.
	warmUpTimeout = warmup.TokenLife
	// warmUpReserve is kept of the life of tokens, for the way of the request to its runner.
	warmUpReserve = 50 * time.Millisecond
)

// warmUpLoop asks the leader for requests that may be sent to cold runners, while requests wait that have no
// other runner, until ctx ends.
func (r *Router) warmUpLoop(ctx context.Context) {
	for {
		select {
		case <-r.warmUp:
		case <-ctx.Done():
			return
		}
		for again := r.askWarmUp(ctx); again > 0; again = r.askWarmUp(ctx) {
			if !pause.For(ctx, again) {
				return
			}
		}
	}
}

// wakeWarmUp has the leader be asked if requests wait that only cold runners can take.
func (r *Router) wakeWarmUp() {
	wake.Up(r.warmUp)
}

// askWarmUp asks once, if requests wait that only cold runners can take. It returns after how long it should be
// asked again; 0 for not at all.
func (r *Router) askWarmUp(ctx context.Context) time.Duration {
	wants := r.warmUpWants()
	if len(wants) == 0 || ctx.Err() != nil {
		return 0
	}
	asked := r.now()
	call, cancel := context.WithTimeout(ctx, warmUpTimeout)
	defer cancel()
	reply, err := leadercall.Call(call, r.caller, domainapi.MethodWarmUp, domainapi.WarmUpArguments{Router: r.options.Name, Wants: wants},
		func() *domainapi.WarmUpReply { return &domainapi.WarmUpReply{} })
	if err != nil {
		level.Debug(r.logger).Log("msg", "The leader could not be asked for requests to cold runners.", "runners", len(wants), "err", err)
		return warmUpRetry
	}
	return r.takeWarmUp(reply.Grants, asked.Add(warmup.TokenLife-warmUpReserve))
}

// warmUpWants spreads the requests that wait over the cold runners that hold what they need.
func (r *Router) warmUpWants() []warmup.Want {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.expireTokens()
	counts := make(map[structs.RunnerID]int)
	for row, state := range r.rows {
		waiting := state.waiting()
		if waiting == 0 {
			continue
		}
		cold := r.coldRunners(row)
		for i, first := 0, r.random.IntN(max(1, len(cold))); i < waiting && len(cold) > 0; i++ {
			counts[cold[(first+i)%len(cold)]]++
		}
	}
	wants := make([]warmup.Want, 0, len(counts))
	for id, requests := range counts {
		wants = append(wants, warmup.Want{Instance: string(id), Requests: requests})
	}
	return wants
}

// takeWarmUp lets requests that wait have the cold runners for which there are tokens until a time. It returns
// after how long to ask again.
func (r *Router) takeWarmUp(grants []warmup.Grant, until time.Time) time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	again := warmUpPause
	granted := 0
	r.balancer.DropTokens()
	r.tokensUntil = until
	for _, grant := range grants {
		r.balancer.Warm(structs.RunnerID(grant.Instance), grant.Requests)
		granted += grant.Requests
	}
	if granted > 0 {
		r.metrics.coldRequests.Add(float64(granted))
		r.serveWaiters()
		return again
	}
	for _, grant := range grants {
		again = max(again, min(grant.MoreIn, warmUpRetry))
	}
	return again
}

// expireTokens gives up the tokens whose time is over. It runs under the mutex.
func (r *Router) expireTokens() {
	if !r.tokensUntil.IsZero() && r.now().After(r.tokensUntil) {
		r.balancer.DropTokens()
		r.tokensUntil = time.Time{}
	}
}
