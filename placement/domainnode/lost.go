package domainnode

import (
	"github.com/go-kit/log/level"

	"github.com/lotusferry/lotusferry/placement/fleet"
)

// updateLost logs and counts runners that became unreachable or reachable again. The caller
// holds the mutex.
func (l *leadership) updateLost(statuses []fleet.Status) {
	lost := make(map[string]bool)
	for i := range statuses {
		status := &statuses[i]
		if !status.Lost {
			continue
		}
		instance := status.Heartbeat.Instance
		lost[instance] = true
		if !l.lost[instance] {
			level.Info(l.logger).Log("msg", "A runner is taken for lost, as routers could not reach it.", "runner", instance,
				"address", status.Heartbeat.Address, "routers", status.UnreachableReports, "silent", status.Silent)
		}
	}
	for instance := range l.lost {
		if !lost[instance] {
			level.Info(l.logger).Log("msg", "A runner is no longer taken for lost.", "runner", instance)
		}
	}
	l.lost = lost
	l.node.metrics.lost.Set(float64(len(lost)))
}
