package relay

import (
	"context"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"github.com/lotusferry/lotusferry/agreement/leadercall"
	"github.com/lotusferry/lotusferry/internal/pause"
	"github.com/lotusferry/lotusferry/internal/wake"
	"github.com/lotusferry/lotusferry/placement/domainapi"
	"github.com/lotusferry/lotusferry/placement/ratelimit"
	"github.com/lotusferry/lotusferry/placement/residency"
	"github.com/lotusferry/lotusferry/request/fairqueue"
	"github.com/lotusferry/lotusferry/request/routing"
	"github.com/lotusferry/lotusferry/structs"
)

const (
	// tokenInterval is the interval between token requests. Requests that arrive in between share
	// the next one.
	tokenInterval = 10 * time.Millisecond
	// tokenRetryDelay is the delay after a failed token request.
	tokenRetryDelay = 100 * time.Millisecond
	// tokenTimeout bounds a token request; tokens of a later response would have expired.
	tokenTimeout = ratelimit.TokenTTL
	// tokenReserve is subtracted from the lifetime of tokens for the transit of the request to the
	// runner.
	tokenReserve = 50 * time.Millisecond
)

// tokenLoop requests tokens for paced runners, that is, cold or rate-limited ones, while requests
// wait that no other runner can serve, until ctx ends.
func (r *Router) tokenLoop(ctx context.Context) {
	for {
		select {
		case <-r.wantsTokens:
		case <-ctx.Done():
			return
		}
		for again := r.requestTokens(ctx); again > 0; again = r.requestTokens(ctx) {
			if !pause.For(ctx, again) {
				return
			}
		}
	}
}

// wakeTokens wakes the token loop.
func (r *Router) wakeTokens() {
	wake.Up(r.wantsTokens)
}

// requestTokens sends one token request, if any tokens are wanted. It returns the delay before the
// next one for waiting requests; 0 for none.
func (r *Router) requestTokens(ctx context.Context) time.Duration {
	wants := r.tokenWants()
	if len(wants) == 0 || ctx.Err() != nil {
		return 0
	}
	asked := r.now()
	call, cancel := context.WithTimeout(ctx, tokenTimeout)
	defer cancel()
	reply, err := leadercall.Call(call, r.caller, domainapi.MethodWarmUp, domainapi.WarmUpArguments{Router: r.options.Name, Wants: wants},
		func() *domainapi.WarmUpReply { return &domainapi.WarmUpReply{} })
	if err != nil {
		level.Debug(r.logger).Log("msg", "The token request to the leader failed.", "runners", len(wants), "err", err)
		return tokenRetryDelay
	}
	again := r.takeTokens(reply.Grants, asked.Add(ratelimit.TokenTTL-tokenReserve))
	if !slices.ContainsFunc(wants, hasWaiters) {
		// Requests that start to wait wake the loop.
		return 0
	}
	return again
}

// hasWaiters reports whether requests wait for the tokens.
func hasWaiters(want ratelimit.Want) bool { return !want.IsAhead }

// tokenWants distributes the waiting requests over the paced runners that can serve them, and adds
// prefetched tokens.
func (r *Router) tokenWants() []ratelimit.Want {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.expireTokens()
	counts := make(map[structs.RunnerID]int)
	for row, state := range r.rows {
		for _, queue := range state.queues() {
			r.addTokenWants(counts, row, queue)
		}
	}
	wants := make([]ratelimit.Want, 0, len(counts))
	for id, requests := range counts {
		wants = append(wants, ratelimit.Want{Instance: string(id), Requests: requests})
	}
	for _, id := range r.runnerLimits.takePrefetch() {
		if counts[id] == 0 {
			wants = append(wants, ratelimit.Want{Instance: string(id), Requests: 1, IsAhead: true})
		}
	}
	return wants
}

// addTokenWants distributes the requests of a queue over the paced runners that may serve them. The caller must hold r.mutex.
func (r *Router) addTokenWants(counts map[structs.RunnerID]int, row residency.Row, queue *fairqueue.Row[*waiter]) {
	waiting := queue.Len()
	if waiting == 0 {
		return
	}
	var work routing.Work
	queue.Each(func(entry *fairqueue.Entry[*waiter]) bool {
		// All requests of a queue have the same limits.
		work.Version, work.Zones = entry.Value.work.Version, entry.Value.work.Zones
		return false
	})
	paced := r.pacedRunners(row, &work)
	if len(paced) == 0 {
		return
	}
	first := r.random.IntN(len(paced))
	for i := range waiting {
		counts[paced[(first+i)%len(paced)]]++
	}
}

// takeTokens applies tokens that are valid until the given time and serves the queue. It returns
// the delay before the next token request.
func (r *Router) takeTokens(grants []ratelimit.Grant, until time.Time) time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	again := tokenInterval
	granted := 0
	r.balancer.DropTokens()
	r.tokensUntil = until
	for _, grant := range grants {
		r.balancer.GiveTokens(structs.RunnerID(grant.Instance), grant.Requests)
		granted += grant.Requests
	}
	if granted > 0 {
		r.metrics.coldRequests.Add(float64(granted))
		r.serveWaiters()
		return again
	}
	for _, grant := range grants {
		again = max(again, min(grant.MoreIn, tokenRetryDelay))
	}
	return again
}

// expireTokens drops expired tokens. The caller must hold r.mutex.
func (r *Router) expireTokens() {
	if !r.tokensUntil.IsZero() && r.now().After(r.tokensUntil) {
		r.balancer.DropTokens()
		r.tokensUntil = time.Time{}
	}
}
