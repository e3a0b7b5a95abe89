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
	"github.com/lotusferry/lotusferry/structs"
)

const (
	// tokenPause separates two questions for requests to paced runners: a part of what a first event takes,
	// in which others that come together share a question.
	tokenPause = 10 * time.Millisecond
	// tokenRetry is the pause after a question that nobody answered.
	tokenRetry = 100 * time.Millisecond
	// tokenTimeout bounds a question: later, its tokens could not be used any more.
	tokenTimeout = ratelimit.TokenLife
	// tokenReserve is kept of the life of tokens, for the way of the request to its runner.
	tokenReserve = 50 * time.Millisecond
)

// tokenLoop asks the leader for requests that may be sent to paced runners, while requests wait that have no
// other runner, until ctx ends.
func (r *Router) tokenLoop(ctx context.Context) {
	for {
		select {
		case <-r.wantsTokens:
		case <-ctx.Done():
			return
		}
		for again := r.askTokens(ctx); again > 0; again = r.askTokens(ctx) {
			if !pause.For(ctx, again) {
				return
			}
		}
	}
}

// wakeTokens has the leader be asked if requests wait that only paced runners can take.
func (r *Router) wakeTokens() {
	wake.Up(r.wantsTokens)
}

// askTokens asks once, if requests wait that only paced runners can take, or tokens are wanted ahead. It returns after
// how long to ask again for requests that wait; 0 for not at all.
func (r *Router) askTokens(ctx context.Context) time.Duration {
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
		level.Debug(r.logger).Log("msg", "The leader could not be asked for requests to paced runners.", "runners", len(wants), "err", err)
		return tokenRetry
	}
	again := r.takeTokens(reply.Grants, asked.Add(ratelimit.TokenLife-tokenReserve))
	if !slices.ContainsFunc(wants, isWaitedFor) {
		// Requests that begin to wait meanwhile ask at once.
		return 0
	}
	return again
}

// isWaitedFor reports whether requests wait for the tokens.
func isWaitedFor(want ratelimit.Want) bool { return !want.IsAhead }

// tokenWants spreads the requests that wait over the paced runners that hold what they need, and adds those that are
// to be asked for ahead.
func (r *Router) tokenWants() []ratelimit.Want {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.expireTokens()
	counts := make(map[structs.RunnerID]int)
	for row, state := range r.rows {
		waiting := state.waiting()
		if waiting == 0 {
			continue
		}
		paced := r.pacedRunners(row)
		for i, first := 0, r.random.IntN(max(1, len(paced))); i < waiting && len(paced) > 0; i++ {
			counts[paced[(first+i)%len(paced)]]++
		}
	}
	wants := make([]ratelimit.Want, 0, len(counts))
	for id, requests := range counts {
		wants = append(wants, ratelimit.Want{Instance: string(id), Requests: requests})
	}
	for _, id := range r.runnerLimits.takeAhead() {
		if counts[id] == 0 {
			wants = append(wants, ratelimit.Want{Instance: string(id), Requests: 1, IsAhead: true})
		}
	}
	return wants
}

// takeTokens lets requests that wait have the paced runners for which there are tokens until a time. It returns
// after how long to ask again.
func (r *Router) takeTokens(grants []ratelimit.Grant, until time.Time) time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	again := tokenPause
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
		again = max(again, min(grant.MoreIn, tokenRetry))
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
