package relay

import (
	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log/level"

	"github.com/lotusferry/lotusferry/request/routing"
)

// name returns the outcome of the attempt for metrics.
func (r result) name() string {
	if r.reason == "" {
		return "answered"
	}
	return r.reason
}

// count updates the metrics of a finished request.
func (x *exchange) count(outcome string) {
	kind := kindName(x.route.Kind)
	x.router.metrics.requests.WithLabelValues(kind, outcome).Inc()
	x.router.metrics.waited.WithLabelValues(kind).Observe(x.waited.Seconds())
	if !x.isStarted && x.attempts == 0 {
		x.router.metrics.unserved.WithLabelValues(kind).Observe(x.router.age(x.request).Seconds())
	}
	if x.isStarted {
		x.router.metrics.first.WithLabelValues(kind).Observe(x.startedAt.Sub(x.request.Arrived).Seconds())
	}
}

// statusAborted stands for the status of an answer whose connection is closed without it, or without the rest of it.
const statusAborted = 0

// log logs a request that no runner served, with the status that its caller gets and additional fields.
func (r *Router) log(request *Request, version uint64, outcome string, status int, err error, more ...any) {
	level.Info(r.logger).Log(append([]any{"msg", "A request was answered without a runner's success.", "request", request.ID,
		"host", request.HTTP.Host, "path", request.HTTP.URL.Path, "model", request.Model, "adapter", request.Adapter, "version", version,
		"age", r.age(request), "outcome", outcome, "answered", status, "err", err}, more...)...)
}

// logUnserved logs that no runner served the request, the status that its caller gets, and how many runners may have run it.
func (x *exchange) logUnserved(outcome string, status int, err error) {
	x.router.log(x.request, x.version, outcome, status, err, "runs", x.attempts, "content", x.keys.content)
}

// logServed logs an answered request: always if the response was late or took more than one send,
// otherwise a sample chosen by request ID.
func (x *exchange) logServed(choice routing.Choice, ended result) {
	first := x.startedAt.Sub(x.request.Arrived)
	isLate := x.isStarted && x.route.Objective > 0 && first > x.route.Objective ||
		x.route.MaxPause > 0 && x.timing.pause > x.route.MaxPause
	if isLate {
		x.router.metrics.late.WithLabelValues(kindName(x.route.Kind)).Inc()
	}
	if !isLate && x.sent == 1 && xxhash.Sum64String(x.request.ID)%servedLogSample != 0 {
		return
	}
	level.Info(x.router.logger).Log("msg", "A request was answered.", "request", x.request.ID, "content", x.keys.content, "route", x.route.Name,
		"runner", choice.Runner(), "peer", x.path.Peer, "model", x.row.Model, "adapter", x.row.Adapter, "late", isLate, "first", first, "expected", choice.ExpectedCost(),
		"waited", x.waited, "pause", x.timing.pause, "sent", x.sent, "age", x.router.age(x.request), "version", x.version, "outcome", ended.reason)
}

// servedLogSample is the sampling interval of ordinary responses in the log.
const servedLogSample = 16

func (x *exchange) logAttempt(choice routing.Choice, status int, ended result) {
	level.Info(x.router.logger).Log("msg", "An attempt ended.", "request", x.request.ID, "content", x.keys.content, "runner", choice.Runner(), "peer", x.path.Peer,
		"attempt", x.sent, "status", status, "outcome", ended.reason, "done", ended.isDone, "last_event", x.lastEvent,
		"age", x.router.age(x.request), "version", x.version, "err", ended.err)
}
