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
			"router", arguments.Router, "requests", len(report.Digests), "parts", len(report.Parts), "first_report", isNew, "suspects", suspects, "refused", refused)
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
	digests := arguments.Digests
	if len(digests) == 0 {
		digests = []poison.Digest{arguments.Digest}
	}
	decision := current.poison.Ask(s.node.now(), digests, arguments.Asker, arguments.Instance)
	reply.Permission, reply.ComeBackIn, reply.Subject = decision.Permission, decision.RetryAfter, decision.Subject
	current.node.metrics.trials.WithLabelValues(reply.Permission.String()).Inc()
	if reply.Permission == poison.Trial {
		level.Info(current.logger).Log("msg", "A suspected request is tried.", "content", arguments.Digest,
			"suspect", reply.Subject, "runner", arguments.Instance, "router", arguments.Router)
	}
	return nil
}

// suspectMessage returns the log message of a change of a suspect.
func suspectMessage(record poison.Record) string {
	switch {
	case record.IsCleared:
		return "Nothing speaks against a request any more."
	case record.RefusedFor > 0 && record.IsPart:
		return "Requests with a part of a prompt are refused for a while, as runners that ran such requests were lost."
	case record.RefusedFor > 0:
		return "A request is refused for a while, as its trial did not end well."
	case record.IsPart:
		return "A part of prompts may crash runners: requests with it are run by permission of the leader only."
	}
	return "A request may crash runners: it is run by permission of the leader only."
}

// suspectKey returns the key under which log lines tell a suspect.
func suspectKey(record poison.Record) string {
	if record.IsPart {
		return "part"
	}
	return "content"
}

// logSuspects logs changes of suspected requests.
func (l *leadership) logSuspects(records []poison.Record) {
	for _, record := range records {
		level.Info(l.logger).Log("msg", suspectMessage(record), suspectKey(record), record.Digest, "losses", record.Losses,
			"refusals", record.Refusals, "refused_for", record.RefusedFor)
	}
}
