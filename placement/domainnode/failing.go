package domainnode

import (
	"time"

	"github.com/go-kit/log/level"

	"github.com/lotusferry/lotusferry/placement/domainapi"
	"github.com/lotusferry/lotusferry/placement/fleet"
)

// observeAttempts records the outcomes of a router's attempts. The next view lists failing
// runners. The caller holds the mutex.
func (l *leadership) observeAttempts(at time.Time, arguments *domainapi.DemandArguments) {
	for _, ended := range arguments.Attempts {
		if !l.failing.Observe(at, arguments.Router, ended) {
			continue
		}
		l.node.metrics.failing.Inc()
		level.Warn(l.logger).Log("msg", "A runner fails what it is sent and rests.", "runner", ended.Instance,
			"last_router", arguments.Router, "answered", ended.Answered, "failed", ended.Failed)
	}
}

// forgetFailing drops the records of unlisted runners. The caller holds the mutex.
func (l *leadership) forgetFailing(at time.Time, statuses []fleet.Status) {
	if l.failing.IsEmpty() {
		return
	}
	listed := make(map[string]bool, len(statuses))
	for i := range statuses {
		listed[statuses[i].Heartbeat.Instance] = true
	}
	l.failing.Forget(at, func(instance string) bool { return listed[instance] })
}
