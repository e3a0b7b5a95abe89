package relay

import (
	"maps"
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/placement/fleet"
	"github.com/lotusferry/lotusferry/placement/ratelimit"
	"github.com/lotusferry/lotusferry/placement/residency"
	"github.com/lotusferry/lotusferry/request/routing"
	"github.com/lotusferry/lotusferry/structs"
)

// prefetchInterval is the interval between token requests for a runner that no request waits for.
const prefetchInterval = ratelimit.TokenTTL / 2

// runnerLimits holds the rate limits announced by runners. It is guarded by Router.mutex.
type runnerLimits struct {
	belief *ratelimit.LimitCache
	// prefetch are the runners for which a token is to be requested although no request waits.
	// requestedAt is the time of the last such request for each runner.
	prefetch    map[structs.RunnerID]bool
	requestedAt map[structs.RunnerID]time.Time
}

func newRunnerLimits() runnerLimits {
	return runnerLimits{
		belief:   ratelimit.NewLimitCache(),
		prefetch: make(map[structs.RunnerID]bool), requestedAt: make(map[structs.RunnerID]time.Time),
	}
}

// noteLimit applies the rate limit in the response to a request sent at the given time. The limit
// is shared by all routers: from now on requests are sent to the runner only for tokens of the
// leader, which is told at once and informs the other routers. The caller must hold r.mutex.
func (r *Router) noteLimit(runner structs.RunnerID, sent time.Time, notice ratelimit.Notice) {
	if notice.Problem != "" {
		r.logNotice("The rate limit announced by a runner could not be parsed.", runner, "err", notice.Problem)
	}
	// A runner that is no longer listed has no limit to track.
	if r.fleet.Runner(string(runner)) == nil || !r.runnerLimits.belief.ObserveAnswer(r.now(), sent, string(runner), notice) {
		return
	}
	switch {
	case notice.IsNamed:
		r.logNotice("A runner names a rate limit.", runner, "per_second", notice.PerSecond)
	default:
		r.logNotice("A runner names no rate limit any more.", runner)
	}
	r.updatePacing(string(runner))
	r.metrics.limitedRunners.Set(float64(r.runnerLimits.belief.Len()))
	if !notice.IsNamed {
		r.serveWaiters()
	}
	r.wakeReport()
}

// updatePacing makes a listed runner require tokens while it is cold or has a rate limit. The
// caller must hold r.mutex.
func (r *Router) updatePacing(instance string) {
	_, isNamed := r.runnerLimits.belief.Of(instance)
	isCold := r.fleet.Runner(instance).Cold
	r.balancer.SetPaced(structs.RunnerID(instance), isCold, isNamed)
	r.candidates.hasPaced = r.candidates.hasPaced || isCold || isNamed
}

// prefetchTokens requests tokens for the rate-limited runners that could have served a request of
// the row that was sent elsewhere. They then get their share of the traffic, and their responses
// tell when a limit has ended. The caller must hold r.mutex.
func (r *Router) prefetchTokens(row residency.Row) {
	limits := &r.runnerLimits
	if limits.belief.IsEmpty() {
		return
	}
	now := r.now()
	for _, id := range r.pacedRunners(row, &routing.Work{}) {
		if _, isNamed := limits.belief.Of(string(id)); isNamed && now.Sub(limits.requestedAt[id]) >= prefetchInterval {
			limits.prefetch[id], limits.requestedAt[id] = true, now
			r.wakeTokens()
		}
	}
}

// takePrefetch returns the sorted runners to request tokens for although no request waits, and
// resets them. The caller must hold the router's mutex.
func (l *runnerLimits) takePrefetch() []structs.RunnerID {
	if len(l.prefetch) == 0 {
		return nil
	}
	taken := slices.Sorted(maps.Keys(l.prefetch))
	clear(l.prefetch)
	return taken
}

// forget drops a runner that is no longer listed. The caller must hold the router's mutex.
func (l *runnerLimits) forget(id structs.RunnerID) {
	l.belief.Forget(string(id))
	delete(l.prefetch, id)
	delete(l.requestedAt, id)
}

// rowLimit is the combined rate limit of the runners that hold a row's model.
type rowLimit struct {
	// rate is in requests per second for all runners together; 0 if one of them has no limit, or
	// there is none.
	rate    float64
	runners int
}

// rowLimitOf returns the combined limit of the runners of a row. The caller must hold r.mutex.
func (r *Router) rowLimitOf(row residency.Row) rowLimit {
	var found rowLimit
	if r.runnerLimits.belief.IsEmpty() {
		return found
	}
	r.fleet.Each(modelKey(row), func(runner *fleet.Runner) bool {
		if runner.Leaving || r.notices.book.IsLeaving(runner.Instance) {
			return true
		}
		perSecond, isNamed := r.runnerLimits.belief.Of(runner.Instance)
		if !isNamed {
			found = rowLimit{}
			return false
		}
		found.rate += max(ratelimit.MinRate, perSecond)
		found.runners++
		return true
	})
	return found
}

// isLimited reports whether all runners of the row have a rate limit.
func (l rowLimit) isLimited() bool { return l.rate > 0 }

// timeFor returns the time that the runners need for the given number of requests.
func (l rowLimit) timeFor(requests int) time.Duration {
	return time.Duration(float64(requests) / l.rate * float64(time.Second))
}

// minWait returns the minimum wait of a request with the given number of this router's requests
// ahead, assuming full token buckets and no other traffic.
func (l rowLimit) minWait(ahead int) time.Duration {
	return l.timeFor(max(0, ahead+1-l.runners*ratelimit.Burst))
}
