package domainnode

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/go-kit/log/level"

	"github.com/lotusferry/lotusferry/domain"
)

const (
	// summaryInterval is the pause between two lines about the demand, and
	// summaryModels how many models each lists at most.
	summaryInterval = 2 * time.Second
	summaryModels   = 8
)

// sumUp logs the demand and how it is met, and forgets what has been silent for long.
// It runs under the mutex.
func (l *leadership) sumUp(at time.Time) {
	if at.Sub(l.summedUpAt) < summaryInterval {
		return
	}
	l.summedUpAt = at
	l.forgetSilent(at)
	var models []string
	waiting := 0
	for _, summary := range l.planner.Summary(at) {
		waiting += summary.Waiting
		if len(models) < summaryModels {
			models = append(models, fmt.Sprintf("%s:%.1f/s,%d+%d,w%d,a%d", summary.Model, summary.Rate,
				summary.Replicas, summary.Coming, summary.Waiting, summary.Active))
		}
	}
	l.node.metrics.waiting.Set(float64(waiting))
	l.node.metrics.runners.Set(float64(l.views.Runners()))
	l.node.metrics.routers.Set(float64(len(l.routers)))
	l.node.metrics.version.Set(float64(l.document))
	level.Info(l.logger).Log("msg", "The demand is met so.", "waiting", waiting, "runners", l.views.Runners(),
		"models", strings.Join(models, " "))
}

// record proposes a command whose loss costs only time.
func (l *leadership) record(command domain.Command) {
	ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
	defer cancel()
	encoded, err := command.Encode()
	if err == nil {
		_, err = l.member.group.Propose(ctx, encoded)
	}
	if err != nil {
		level.Debug(l.logger).Log("msg", "A command was not recorded.", "err", err)
	}
}

// forgetSilent takes runners that have been silent for long out of the log.
func (l *leadership) forgetSilent(at time.Time) {
	for _, instance := range l.registry.Silent(at, forgetRunnerAfter) {
		isRegistered := false
		l.member.group.View(func() { _, isRegistered = l.member.machine.Registered(instance) })
		if isRegistered {
			go l.record(domain.Command{Forget: instance})
		}
	}
}

// forgetRunnerAfter is how long a runner must be silent before it is no longer
// recalled by the leaders to come.
const forgetRunnerAfter = 20 * time.Second
