package domainnode

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/go-kit/log/level"

	"github.com/lotusferry/lotusferry/placement/domain"
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
	var unmet []string
	for _, wanted := range l.planner.Unmet() {
		if len(unmet) < summaryModels {
			unmet = append(unmet, fmt.Sprintf("%s:%.1f,%s", wanted.Row.Model, wanted.Gain, wanted.Obstacle))
		}
	}
	l.node.metrics.waiting.Set(float64(waiting))
	l.node.metrics.runners.Set(float64(l.views.Runners()))
	l.node.metrics.routers.Set(float64(len(l.routers)))
	l.node.metrics.version.Set(float64(l.document))
	level.Info(l.logger).Log("msg", "The demand is met so.", "waiting", waiting, "runners", l.views.Runners(),
		"models", strings.Join(models, " "), "unmet", strings.Join(unmet, " "), "store", l.planner.StoreSummary())
}

// maxRecorded bounds the registrations in one command.
const maxRecorded = 512

// recordRegistrations puts what has gathered in the log, in one command at a time: many
// runners register at once when a site starts. It runs under the mutex.
func (l *leadership) recordRegistrations() {
	if l.isRecording || len(l.unrecorded) == 0 {
		return
	}
	var command domain.Command
	for instance, registration := range l.unrecorded {
		if len(command.Registrations) == maxRecorded {
			break
		}
		command.Registrations = append(command.Registrations, registration)
		delete(l.unrecorded, instance)
	}
	l.isRecording = true
	go l.record(command)
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
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.isRecording = false
}

// forgetSilent takes runners that have been silent for long out of the log.
func (l *leadership) forgetSilent(at time.Time) {
	var command domain.Command
	silent := l.registry.Silent(at, forgetRunnerAfter)
	l.member.group.View(func() {
		for _, instance := range silent {
			if _, isRegistered := l.member.machine.Registered(instance); isRegistered {
				command.Silent = append(command.Silent, instance)
			}
		}
	})
	if len(command.Silent) > 0 && !l.isRecording {
		l.isRecording = true
		go l.record(command)
	}
}

// forgetRunnerAfter is how long a runner must be silent before it is no longer
// recalled by the leaders to come.
const forgetRunnerAfter = 20 * time.Second
