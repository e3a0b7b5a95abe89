package relay

import (
	"errors"
	"strconv"
	"time"

	"github.com/go-kit/log/level"

	"github.com/lotusferry/lotusferry/internal/asynclog"
	"github.com/lotusferry/lotusferry/placement/notice"
	"github.com/lotusferry/lotusferry/request/routing"
	"github.com/lotusferry/lotusferry/structs"
)

// maxNoticeLines is how many lines a second tell of what runners say of themselves.
const maxNoticeLines = 20

// restMargin is how long after the end of a rest those that wait are served: the choice goes by another clock than rests.
const restMargin = time.Millisecond

// reasonUnwanted is that of an attempt that was not sent, as its runner asked for rest or is leaving.
const reasonUnwanted = "unwanted"

// errUnwanted is the cause of ending such an attempt.
var errUnwanted = errors.New("the runner wants no requests any more")

// notices is what runners said of themselves in answers. The router's mutex guards it.
type notices struct {
	book *notice.Book
	// logged bounds the log lines about them.
	logged *asynclog.Limiter
	// restEnd goes off when the next rest ends; nil before the first.
	restEnd *time.Timer
}

func newNotices() notices {
	return notices{book: notice.NewBook(), logged: asynclog.NewLimiter(maxNoticeLines)}
}

// hear takes what an answer to a request that was sent at a time tells of its runner. What is kept of it stays with this
// life of the runner, whatever views say meanwhile.
func (r *Router) hear(choice routing.Choice, sent time.Time, answer *Answer) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	runner := choice.Runner()
	r.noteHeard(runner)
	if answer.tellsLimit() {
		r.noteLimit(runner, sent, answer.Notice.Limit)
	}
	if answer.isTaken() {
		r.notices.book.Took(sent, string(runner))
		if choice.Took() {
			r.serveWaiters()
		}
	}
	r.noteWishes(runner, answer.Notice)
}

// noteWishes takes that a runner asks for rest, or is leaving. A rest binds this router alone; that the runner is
// leaving is true for all, and the leader tells the others. It runs under the mutex.
func (r *Router) noteWishes(runner structs.RunnerID, heard notice.Notice) {
	for _, problem := range heard.Problems {
		r.logNotice("What a runner says of itself cannot be read.", runner, "err", problem)
	}
	change := r.notices.book.Hear(r.now(), string(runner), heard)
	if change == (notice.Change{}) {
		return
	}
	if change.IsResting {
		r.metrics.restsAsked.Inc()
		r.logNotice("A runner asks for rest.", runner, "for", heard.Rest)
	}
	if change.IsLeaving {
		r.logNotice("A runner says in an answer that it is leaving.", runner)
	}
	r.heed(string(runner))
	for attempt := range r.zones.attempts[r.zones.watch.ZoneOf(runner)] {
		if attempt.runner == runner {
			attempt.recall()
		}
	}
	r.deferAll()
	r.awaitRestEnd()
	r.wakeReport()
}

// heed has a placed runner get no requests while it wants none. It runs under the mutex.
func (r *Router) heed(instance string) {
	if r.notices.book.IsEmpty() {
		return
	}
	if r.notices.book.IsLeaving(instance) {
		r.balancer.Leave(structs.RunnerID(instance))
	}
	r.rest(instance, r.notices.book.RestsUntil(instance).Sub(r.now()))
}

// awaitRestEnd has those that wait be served when the next rest ends. It runs under the mutex.
func (r *Router) awaitRestEnd() {
	now := r.now()
	r.metrics.restingRunners.Set(float64(r.notices.book.Resting(now)))
	if r.notices.restEnd != nil {
		r.notices.restEnd.Stop()
	}
	if next, isAny := r.notices.book.NextEnd(now); isAny {
		r.notices.restEnd = time.AfterFunc(next.Sub(now)+restMargin, r.endRest)
	}
}

// endRest serves those that waited for the end of a rest.
func (r *Router) endRest() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.serveWaiters()
	r.awaitRestEnd()
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
