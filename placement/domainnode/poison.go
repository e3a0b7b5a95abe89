package domainnode

import (
	"time"

	"github.com/go-kit/log/level"

	"github.com/lotusferry/lotusferry/placement/domainapi"
	"github.com/lotusferry/lotusferry/placement/fleet"
	"github.com/lotusferry/lotusferry/placement/poison"
	"github.com/lotusferry/lotusferry/structs"
)

// applyHeartbeat applies a heartbeat, which may show that a runner is not lost. It reports
// whether the heartbeat was accepted rather than outdated. The caller holds the mutex.
func (l *leadership) applyHeartbeat(at time.Time, heartbeat fleet.Heartbeat) bool {
	before := l.registry.Sequence(heartbeat.Instance)
	former := l.registry.Latest(fleet.IDOf(heartbeat.Instance))
	if !l.registry.ObserveHeartbeat(at, heartbeat) {
		return false
	}
	if former != heartbeat.Instance && former != fleet.IDOf(heartbeat.Instance) {
		level.Info(l.logger).Log("msg", "A runner has started again under its ID.", "runner", heartbeat.Instance, "before", former)
	}
	if heartbeat.Sequence <= before {
		return true
	}
	if l.poison.ObserveHeartbeat(at, heartbeat.Instance) {
		level.Info(l.logger).Log("msg", "A runner whose connections broke is still running; its requests are not suspected.",
			"runner", heartbeat.Instance)
	}
	return true
}

// observeLosses applies a router's reports of broken connections. Requests at a runner that
// announced its departure are not suspected. The caller holds the mutex.
func (l *leadership) observeLosses(at time.Time, arguments *domainapi.DemandArguments) {
	for _, ending := range arguments.Endings {
		l.poison.Ended(at, ending)
	}
	for _, report := range arguments.Losses {
		if l.registry.IsLeaving(report.Instance) {
			l.poison.CancelTrials(report)
			continue
		}
		isNew := l.poison.Observe(at, report)
		suspects, refused := l.poison.Counts(at)
		l.node.metrics.suspects.WithLabelValues("suspected").Set(float64(suspects - refused))
		l.node.metrics.suspects.WithLabelValues("refused").Set(float64(refused))
		if isNew {
			l.node.metrics.losses.Inc()
		}
		level.Info(l.logger).Log("msg", "Requests were under way at a runner when its connections broke.", "runner", report.Instance,
			"router", arguments.Router, "requests", len(report.Digests), "first_report", isNew, "suspects", suspects, "refused", refused)
	}
}

// Try decides whether a suspected request may be sent to a runner.
func (s *service) Try(arguments *domainapi.TryArguments, reply *domainapi.TryReply) error {
	_, current, err := s.leader()
	if err != nil {
		reply.Error = structs.AsTyped(err)
		return nil
	}
	current.mutex.Lock()
	defer current.mutex.Unlock()
	reply.Permission, reply.ComeBackIn = current.poison.Ask(s.node.now(), arguments.Digest, arguments.Asker, arguments.Instance)
	current.node.metrics.trials.WithLabelValues(reply.Permission.String()).Inc()
	if reply.Permission == poison.Trial {
		level.Info(current.logger).Log("msg", "A suspected request is tried.", "content", arguments.Digest,
			"runner", arguments.Instance, "router", arguments.Router)
	}
	return nil
}

// logSuspects logs changes of suspected requests.
func (l *leadership) logSuspects(records []poison.Record) {
	for _, record := range records {
		message := "A request may crash runners: it is run by permission of the leader only."
		switch {
		case record.IsCleared:
			message = "Nothing speaks against a request any more."
		case record.RefusedFor > 0:
			message = "A request is refused for a while, as its trial did not end well."
		}
		level.Info(l.logger).Log("msg", message, "content", record.Digest, "losses", record.Losses,
			"refusals", record.Refusals, "refused_for", record.RefusedFor)
	}
}
