package relay

import (
	"strconv"
	"time"

	"github.com/go-kit/log/level"

	"github.com/lotusferry/lotusferry/internal/asynclog"
	"github.com/lotusferry/lotusferry/placement/ratelimit"
	"github.com/lotusferry/lotusferry/structs"
)

// maxLimitLines is how many lines a second tell of runners' rate limits.
const maxLimitLines = 20

// runnerLimits are the rate limits that runners name, as this router heard. The router's mutex guards them.
type runnerLimits struct {
	named map[structs.RunnerID]float64
	// logged bounds the log lines about them.
	logged *asynclog.Limiter
}

func newRunnerLimits() runnerLimits {
	return runnerLimits{named: make(map[structs.RunnerID]float64), logged: asynclog.NewLimiter(maxLimitLines)}
}

// noteLimit takes what a runner's answer tells of its rate limit.
func (r *Router) noteLimit(runner structs.RunnerID, notice ratelimit.Notice) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known, isKnown := r.runnerLimits.named[runner]
	switch {
	case notice.Problem != "":
		r.logLimit("A runner's rate limit cannot be read.", runner, "err", notice.Problem)
	case notice.IsNamed && (!isKnown || known != notice.PerSecond):
		r.runnerLimits.named[runner] = notice.PerSecond
		r.logLimit("A runner names a rate limit.", runner, "per_second", notice.PerSecond)
	case !notice.IsNamed && isKnown:
		delete(r.runnerLimits.named, runner)
		r.logLimit("A runner names no rate limit any more.", runner, "per_second", known)
	}
	r.metrics.limitedRunners.Set(float64(len(r.runnerLimits.named)))
}

// noteSentToLimited counts a request that is sent to a runner that names a rate limit.
func (r *Router) noteSentToLimited(runner structs.RunnerID, isRepeated bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if _, isKnown := r.runnerLimits.named[runner]; isKnown {
		r.metrics.limitedSent.WithLabelValues(strconv.FormatBool(isRepeated)).Inc()
	}
}

// forgetLimit drops a runner that is listed no more. It runs under the mutex.
func (r *Router) forgetLimit(runner structs.RunnerID) { delete(r.runnerLimits.named, runner) }

// logLimit tells of a runner's rate limit. It runs under the mutex.
func (r *Router) logLimit(text string, runner structs.RunnerID, rest ...any) {
	suppressed, allowed := r.runnerLimits.logged.Allow(time.Now())
	if !allowed {
		return
	}
	fields := append([]any{"msg", text, "runner", string(runner)}, rest...)
	level.Info(r.logger).Log(append(fields, "not_logged", suppressed)...)
}
