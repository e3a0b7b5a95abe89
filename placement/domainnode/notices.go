package domainnode

import (
	"time"

	"github.com/go-kit/log/level"

	"github.com/lotusferry/lotusferry/placement/domainapi"
	"github.com/lotusferry/lotusferry/placement/notice"
)

// maxNoticeLogLines bounds the log lines per second about notices of runners.
const maxNoticeLogLines = 20

// observeNotices applies notices that runners sent to a router. A leaving runner is marked
// in the next view for all routers; it is not written to the raft log, as routers report it
// again to a new leader. A requested pause applies to that router only; the planner uses it
// to find runners that serve no router. The caller holds the mutex.
func (l *leadership) observeNotices(at time.Time, arguments *domainapi.DemandArguments) {
	for _, report := range arguments.Notices {
		if l.registry.Service(report.Instance) == "" {
			continue
		}
		l.planner.ObserveCooldown(at, report.Instance, report.RestsFor)
		if report.IsLeaving {
			l.markLeaving(at, report.Instance, arguments.Router)
		}
	}
}

// markLeaving marks a runner that announced in a response, rather than a heartbeat, that it
// is leaving. The caller holds the mutex.
func (l *leadership) markLeaving(at time.Time, instance, from string) {
	if l.registry.IsLeaving(instance) {
		return
	}
	l.registry.Depart(at, instance, false)
	l.poison.Refute(at, instance)
	l.node.metrics.departures.WithLabelValues("answer").Inc()
	if suppressed, allowed := l.loggedNotices.Allow(at); allowed {
		level.Info(l.logger).Log("msg", "A runner said in an answer that it is leaving.", "runner", instance, "asked_by", from, "not_logged", suppressed)
	}
}

// observeNotice applies the notice in a runner's response to an order or report request.
func (l *leadership) observeNotice(instance string, received notice.Notice) {
	if received.Cooldown <= 0 && !received.IsLeaving && len(received.Problems) == 0 {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	at := l.now()
	for _, problem := range received.Problems {
		if suppressed, allowed := l.loggedNotices.Allow(at); allowed {
			level.Info(l.logger).Log("msg", "What a runner says of itself cannot be read.", "runner", instance, "err", problem, "not_logged", suppressed)
		}
	}
	l.planner.PauseOrders(at, instance, received.Cooldown)
	if received.IsLeaving {
		l.markLeaving(at, instance, l.options.Name)
	}
}
