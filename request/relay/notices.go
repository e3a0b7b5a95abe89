package relay

import (
	"errors"
	"strconv"
	"time"

	"github.com/go-kit/log/level"

	"github.com/lotusferry/lotusferry/internal/asynclog"
	"github.com/lotusferry/lotusferry/placement/notice"
	"github.com/lotusferry/lotusferry/request/paths"
	"github.com/lotusferry/lotusferry/request/routing"
	"github.com/lotusferry/lotusferry/structs"
)

// maxNoticeLogRate bounds the log lines per second about notices of runners.
const maxNoticeLogRate = 20

// cooldownEndDelay is added to the end of a cooldown before the queue is served, because the
// balancer uses another clock.
const cooldownEndDelay = time.Millisecond

// reasonUnwanted means that the request was not sent because the runner requested a cooldown or
// is leaving.
const reasonUnwanted = "unwanted"

// errUnwanted is the cancellation cause of such an attempt.
var errUnwanted = errors.New("the runner no longer accepts requests")

// notices is what runners reported about themselves in responses: cooldowns, during which the
// router must not send them requests, and that they are leaving. It is guarded by Router.mutex.
type notices struct {
	book *notice.Tracker
	// logLimiter limits the log lines about notices.
	logLimiter *asynclog.Limiter
	// cooldownTimer fires at the end of the next cooldown; nil before the first.
	cooldownTimer *time.Timer
}

func newNotices() notices {
	return notices{book: notice.NewTracker(), logLimiter: asynclog.NewLimiter(maxNoticeLogRate)}
}

// observeAnswer applies the notices in a response to a request sent at the given time. They hold
// for this incarnation of the runner, whatever later views say.
func (r *Router) observeAnswer(choice routing.Choice, path paths.Path, sent time.Time, answer *Answer) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	runner := choice.Runner()
	r.recordBytes(runner, path)
	r.recordEvent(runner)
	r.peers.paths.Sent(r.now(), path, runner, r.zones.watch.ZoneOf(runner), paths.OutcomeReached)
	if answer.tellsLimit() {
		r.noteLimit(runner, sent, answer.Notice.Limit)
	}
	r.observeBrittle(runner, sent, answer)
	if answer.isTaken() {
		r.notices.book.RecordAccepted(sent, string(runner))
		if choice.RecordAccepted() {
			r.serveWaiters()
		}
	}
	r.noteNotice(runner, answer.Notice)
	r.tellPeer(path, runner, answer.Notice)
}

// noteNotice records that a runner requests a cooldown or is leaving. A cooldown applies to
// this router only; that a runner is leaving is reported to the leader, which informs the other
// routers. The caller must hold r.mutex.
func (r *Router) noteNotice(runner structs.RunnerID, heard notice.Notice) {
	for _, problem := range heard.Problems {
		r.logNotice("What a runner says of itself cannot be read.", runner, "err", problem)
	}
	change := r.notices.book.Observe(r.now(), string(runner), heard)
	if change == (notice.Change{}) {
		return
	}
	if change.IsCoolingDown {
		r.metrics.cooldownsRequested.Inc()
		r.logNotice("A runner asks for rest.", runner, "for", heard.Cooldown)
	}
	if change.IsLeaving {
		r.logNotice("A runner says in an answer that it is leaving.", runner)
	}
	r.applyNotices(string(runner))
	if r.peers.server != nil {
		r.peers.server.Announce()
	}
	for attempt := range r.zones.attempts[r.zones.watch.ZoneOf(runner)] {
		if attempt.runner == runner {
			attempt.recall()
		}
	}
	r.deferAll()
	r.scheduleCooldownEnd()
	r.wakeReport()
}

// applyNotices excludes a candidate from selection while it cools down or is leaving. The caller must
// hold r.mutex.
func (r *Router) applyNotices(instance string) {
	if r.notices.book.IsEmpty() {
		return
	}
	if r.notices.book.IsLeaving(instance) {
		r.balancer.Leave(structs.RunnerID(instance))
	}
	r.setCooldown(instance, r.notices.book.CooldownEnd(instance).Sub(r.now()))
}

// scheduleCooldownEnd sets the timer for the end of the next cooldown. The caller must hold r.mutex.
func (r *Router) scheduleCooldownEnd() {
	now := r.now()
	r.metrics.coolingRunners.Set(float64(r.notices.book.CountCoolingDown(now)))
	if r.notices.cooldownTimer != nil {
		r.notices.cooldownTimer.Stop()
	}
	if next, isAny := r.notices.book.NextEnd(now); isAny {
		r.notices.cooldownTimer = time.AfterFunc(next.Sub(now)+cooldownEndDelay, r.endCooldown)
	}
}

// endCooldown serves the requests that waited for the end of a cooldown.
func (r *Router) endCooldown() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.serveWaiters()
	r.scheduleCooldownEnd()
}

// countSending counts a send to a runner that has a rate limit, cools down or is leaving. The caller
// must hold r.mutex.
func (r *Router) countSending(now time.Time, sent *watchdog) {
	instance, repeated := string(sent.runner), strconv.FormatBool(sent.isRepeated)
	if _, isNamed := r.runnerLimits.belief.Of(instance); isNamed {
		r.metrics.limitedSent.WithLabelValues(repeated).Inc()
	}
	if now.Before(r.notices.book.CooldownEnd(instance)) {
		r.metrics.unwantedSent.WithLabelValues("resting", repeated).Inc()
	}
	if r.notices.book.IsLeaving(instance) {
		r.metrics.unwantedSent.WithLabelValues("leaving", repeated).Inc()
	}
}

// logNotice logs a notice of a runner. The caller must hold r.mutex.
func (r *Router) logNotice(text string, runner structs.RunnerID, rest ...any) {
	suppressed, allowed := r.notices.logLimiter.Allow(r.now())
	if !allowed {
		return
	}
	fields := append([]any{"msg", text, "runner", string(runner)}, rest...)
	level.Info(r.logger).Log(append(fields, "not_logged", suppressed)...)
}
