package relay

import (
	"maps"
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/placement/fleet"
	"github.com/lotusferry/lotusferry/placement/ratelimit"
	"github.com/lotusferry/lotusferry/placement/residency"
	"github.com/lotusferry/lotusferry/structs"
)

// aheadPause separates two questions for tokens that no request waits for: half of the life of one, in which the next
// request of a busy row comes.
const aheadPause = ratelimit.TokenLife / 2

// runnerLimits are the rate limits that runners name. The router's mutex guards them.
type runnerLimits struct {
	belief *ratelimit.Belief
	// ahead are the runners for which a token is to be asked though no request waits for one, and askedAt is when
	// there was the last such question for a runner.
	ahead   map[structs.RunnerID]bool
	askedAt map[structs.RunnerID]time.Time
}

func newRunnerLimits() runnerLimits {
	return runnerLimits{
		belief: ratelimit.NewBelief(),
		ahead:  make(map[structs.RunnerID]bool), askedAt: make(map[structs.RunnerID]time.Time),
	}
}

// noteLimit takes what a runner's answer to a request that was sent at a time tells of its rate limit. The limit is
// that of all routers together, of which only this one knows: from now on it sends what the leader lends it, and
// tells the leader at once, for the others to do the same.
// It runs under the mutex.
func (r *Router) noteLimit(runner structs.RunnerID, sent time.Time, notice ratelimit.Notice) {
	if notice.Problem != "" {
		r.logNotice("A runner's rate limit cannot be read.", runner, "err", notice.Problem)
	}
	// What was listed no more when the answer came has no limit to keep.
	if r.fleet.Runner(string(runner)) == nil || !r.runnerLimits.belief.Hear(r.now(), sent, string(runner), notice) {
		return
	}
	if notice.IsNamed {
		r.logNotice("A runner names a rate limit.", runner, "per_second", notice.PerSecond)
	} else {
		r.logNotice("A runner names no rate limit any more.", runner)
	}
	r.pace(string(runner))
	r.metrics.limitedRunners.Set(float64(r.runnerLimits.belief.Len()))
	if !notice.IsNamed {
		r.serveWaiters()
	}
	r.wakeReport()
}

// pace has a listed runner get only requests for which there are tokens while it is cold or names a limit. It runs
// under the mutex.
func (r *Router) pace(instance string) {
	_, isNamed := r.runnerLimits.belief.Of(instance)
	isCold := r.fleet.Runner(instance).Cold
	r.balancer.SetPaced(structs.RunnerID(instance), isCold, isNamed)
	r.placed.hasPaced = r.placed.hasPaced || isCold || isNamed
}

// wantAhead asks for tokens for the runners that name a limit and could have taken a request of the row that another
// one took: they take part as far as they say, and their answers tell when their limit is over. It runs under the
// mutex.
func (r *Router) wantAhead(row residency.Row) {
	limits := &r.runnerLimits
	if limits.belief.IsEmpty() {
		return
	}
	now := r.now()
	for _, id := range r.pacedRunners(row) {
		if _, isNamed := limits.belief.Of(string(id)); isNamed && now.Sub(limits.askedAt[id]) >= aheadPause {
			limits.ahead[id], limits.askedAt[id] = true, now
			r.wakeTokens()
		}
	}
}

// takeAhead hands out the runners for which a token is to be asked though no request waits for one. It runs under the
// mutex.
func (l *runnerLimits) takeAhead() []structs.RunnerID {
	if len(l.ahead) == 0 {
		return nil
	}
	taken := slices.Sorted(maps.Keys(l.ahead))
	clear(l.ahead)
	return taken
}

// forget drops a runner that is listed no more. It runs under the mutex.
func (l *runnerLimits) forget(id structs.RunnerID) {
	l.belief.Forget(string(id))
	delete(l.ahead, id)
	delete(l.askedAt, id)
}

// limitedRow is what the runners that hold a row's model take if all of them name a limit.
type limitedRow struct {
	// pace is how many requests a second they take together, and runners how many they are; 0 if one of them names
	// no limit, or there is none.
	pace    float64
	runners int
}

// limitsOf looks up what the runners of a row take. It runs under the mutex.
func (r *Router) limitsOf(row residency.Row) limitedRow {
	var found limitedRow
	if r.runnerLimits.belief.IsEmpty() {
		return found
	}
	r.fleet.Each(modelKey(row), func(runner *fleet.Runner) bool {
		if runner.Leaving || r.notices.book.IsLeaving(runner.Instance) {
			return true
		}
		perSecond, isNamed := r.runnerLimits.belief.Of(runner.Instance)
		if !isNamed {
			found = limitedRow{}
			return false
		}
		found.pace += max(ratelimit.LeastRate, perSecond)
		found.runners++
		return true
	})
	return found
}

// isAll reports whether all runners of the row name a limit.
func (l limitedRow) isAll() bool { return l.pace > 0 }

// timeFor is how long the runners need for so many requests.
func (l limitedRow) timeFor(requests int) time.Duration {
	return time.Duration(float64(requests) / l.pace * float64(time.Second))
}

// leastWait is how long a request has at least to wait that so many of this router go before, if other routers sent
// nothing and all tokens that may have gathered were there.
func (l limitedRow) leastWait(ahead int) time.Duration {
	return l.timeFor(max(0, ahead+1-l.runners*ratelimit.Burst))
}
