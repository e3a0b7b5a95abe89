package domainnode

import (
	"time"

	"github.com/go-kit/log/level"

	"github.com/lotusferry/lotusferry/placement/domainapi"
	"github.com/lotusferry/lotusferry/placement/notice"
)

// maxNoticeLines is how many lines a second tell of what runners said to routers.
const maxNoticeLines = 20

// observeNotices takes what runners said to a router. That one is leaving is true for all routers, which the next view
// tells; it is not in the log, as all that heard it keep to it and tell a new leader, and the runner says so itself in its
// heartbeats. A rest binds that router alone, and tells the planner who serves nobody. It runs under the mutex.
func (l *leadership) observeNotices(at time.Time, arguments *domainapi.DemandArguments) {
	for _, heard := range arguments.Notices {
		if l.registry.Service(heard.Instance) == "" {
			continue
		}
		l.planner.ObserveRest(at, heard.Instance, heard.RestsFor)
		if heard.IsLeaving {
			l.learnLeaving(at, heard.Instance, arguments.Router)
		}
	}
}

// learnLeaving takes a runner's word that it is leaving, given in an answer and not in a heartbeat. It runs under the mutex.
func (l *leadership) learnLeaving(at time.Time, instance, from string) {
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

// hearRunner takes what a runner's answer to an order or a question tells of it.
func (l *leadership) hearRunner(instance string, heard notice.Notice) {
	if heard.Rest <= 0 && !heard.IsLeaving && len(heard.Problems) == 0 {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	at := l.now()
	for _, problem := range heard.Problems {
		if suppressed, allowed := l.loggedNotices.Allow(at); allowed {
			level.Info(l.logger).Log("msg", "What a runner says of itself cannot be read.", "runner", instance, "err", problem, "not_logged", suppressed)
		}
	}
	l.planner.PauseOrders(at, instance, heard.Rest)
	if heard.IsLeaving {
		l.learnLeaving(at, instance, l.options.Name)
	}
}
