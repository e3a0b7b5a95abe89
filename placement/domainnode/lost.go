package domainnode

import (
	"github.com/go-kit/log/level"

	"github.com/lotusferry/lotusferry/placement/fleet"
)

// noteLost logs and counts the runners that are taken for lost, and those that are not any
// more. It runs under the mutex.
func (l *leadership) noteLost(statuses []fleet.Status) {
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
				"address", status.Heartbeat.Address, "routers", status.Complaints, "silent", status.Silent)
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
