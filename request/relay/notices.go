package relay

import (
	"strconv"
	"time"

	"github.com/go-kit/log/level"

	"github.com/lotusferry/lotusferry/internal/asynclog"
	"github.com/lotusferry/lotusferry/placement/notice"
	"github.com/lotusferry/lotusferry/structs"
)

// maxNoticeLines is how many lines a second tell of what runners say of themselves.
const maxNoticeLines = 20

// notices is what runners said of themselves in answers. The router's mutex guards it.
type notices struct {
	book *notice.Book
	// logged bounds the log lines about them.
	logged *asynclog.Limiter
}

func newNotices() notices {
	return notices{book: notice.NewBook(), logged: asynclog.NewLimiter(maxNoticeLines)}
}

// hear takes what an answer to a request that was sent at a time tells of its runner.
func (r *Router) hear(runner structs.RunnerID, sent time.Time, answer *Answer) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.noteHeard(runner)
	if answer.tellsLimit() {
		r.noteLimit(runner, sent, answer.Notice.Limit)
	}
	r.noteRest(r.now(), runner, answer.Notice)
}

// noteRest notes that a runner asks for rest, or is leaving. It runs under the mutex.
func (r *Router) noteRest(now time.Time, runner structs.RunnerID, heard notice.Notice) {
	for _, problem := range heard.Problems {
		r.logNotice("What a runner says of itself cannot be read.", runner, "err", problem)
	}
	change := r.notices.book.Hear(now, string(runner), heard)
	if change.IsResting {
		r.metrics.restsAsked.Inc()
		r.logNotice("A runner asks for rest.", runner, "for", heard.Rest)
	}
	if change.IsLeaving {
		r.logNotice("A runner says in an answer that it is leaving.", runner)
	}
	r.metrics.restingRunners.Set(float64(r.notices.book.Resting(now)))
}

// noteSending counts a request that is sent to a runner that said something of itself. It runs under the mutex.
func (r *Router) noteSending(now time.Time, sent *watchdog) {
	instance, repeated := string(sent.runner), strconv.FormatBool(sent.isRepeated)
	if _, isNamed := r.runnerLimits.belief.Of(instance); isNamed {
		r.metrics.limitedSent.WithLabelValues(repeated).Inc()
	}
	if now.Before(r.notices.book.RestsUntil(instance)) {
		r.metrics.unwantedSent.WithLabelValues("resting", repeated).Inc()
	}
	if r.notices.book.IsLeaving(instance) {
		r.metrics.unwantedSent.WithLabelValues("leaving", repeated).Inc()
	}
}

// logNotice tells of what a runner says of itself. It runs under the mutex.
func (r *Router) logNotice(text string, runner structs.RunnerID, rest ...any) {
	suppressed, allowed := r.notices.logged.Allow(r.now())
	if !allowed {
		return
	}
	fields := append([]any{"msg", text, "runner", string(runner)}, rest...)
	level.Info(r.logger).Log(append(fields, "not_logged", suppressed)...)
}
