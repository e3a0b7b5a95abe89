package domainnode

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/go-kit/log/level"

	"github.com/lotusferry/lotusferry/placement/domain"
	"github.com/lotusferry/lotusferry/placement/quota"
	"github.com/lotusferry/lotusferry/placement/residency"
	"github.com/lotusferry/lotusferry/placement/versions"
)

const (
	// summaryInterval is the interval of the demand log lines; each lists at most summaryModels
	// models.
	summaryInterval = 2 * time.Second
	summaryModels   = 8
)

// logSummary logs the demand and how it is met, and drops the state of unlisted runners. The
// caller holds the mutex.
func (l *leadership) logSummary(at time.Time) {
	if at.Sub(l.summarizedAt) < summaryInterval {
		return
	}
	l.summarizedAt = at
	l.proposeLearned(at)
	isListed := func(instance string) bool { return l.registry.Service(instance) != "" }
	l.tokens.Forget(isListed)
	l.slots.Forget(isListed)
	l.runnerLimits.Forget(isListed)
	var models []string
	waiting := 0
	for _, summary := range l.planner.Summary(at) {
		waiting += summary.Waiting
		if len(models) < summaryModels {
			models = append(models, fmt.Sprintf("%s:%.1f/s,%d+%d,w%d,a%d", summary.Model, summary.Rate,
				summary.Replicas, summary.Coming, summary.Waiting, summary.Active))
		}
	}
	usages := l.limits.TakeUsages(at)
	l.logTenants(at, usages)
	unmet := l.unmetNeeds()
	stores := l.storeStates()
	coverage := l.coverages()
	l.node.metrics.waiting.Set(float64(waiting))
	l.node.metrics.runners.Set(float64(l.views.Runners()))
	l.node.metrics.routers.Set(float64(len(l.routers)))
	l.node.metrics.relays.Set(float64(len(l.relayList().Relays)))
	l.node.metrics.version.Set(float64(l.document))
	level.Info(l.logger).Log("msg", "The demand is met so.", "waiting", waiting, "runners", l.views.Runners(),
		"models", strings.Join(models, " "), "unmet", unmet, "stores", stores,
		"coverage", coverage, "turns", l.turnStates(), "paces", l.paceStates(), "limits", limitStates(usages))
}

// paceStates reports the estimated performance of the runners of each service. The caller
// holds the mutex.
func (l *leadership) paceStates() string {
	var listed []string
	for _, state := range l.planner.PaceStates() {
		listed = append(listed, fmt.Sprintf("%s:%.0f tokens/s,%v,%.1f/s borne,scale %.2f,%d slow,%d unknown,error %.2f", state.Service,
			state.Typical.PromptRate, state.Typical.Event, state.Capacity, state.Scale, state.Slow, state.Unknown, state.Error))
		l.node.metrics.promptRate.WithLabelValues(state.Service).Set(state.Typical.PromptRate)
		l.node.metrics.eventTime.WithLabelValues(state.Service).Set(state.Typical.Event.Seconds())
		l.node.metrics.capacity.WithLabelValues(state.Service).Set(state.Capacity)
		l.node.metrics.paceError.WithLabelValues(state.Service).Set(state.Error)
		l.node.metrics.speeds.WithLabelValues(state.Service, "slow").Set(float64(state.Slow))
		l.node.metrics.speeds.WithLabelValues(state.Service, "unknown").Set(float64(state.Unknown))
	}
	return strings.Join(listed, " ")
}

// limitStates reports the tenants that used most of their limits: the rate drawn, the
// amount granted in the last window and its maximum, and the amount lent to routers.
func limitStates(usages []quota.Usage) string {
	usages = slices.Clone(usages)
	slices.SortStableFunc(usages, func(a, b quota.Usage) int { return cmp.Compare(b.Used/b.Most, a.Used/a.Most) })
	var listed []string
	for _, usage := range usages[:min(len(usages), summaryModels)] {
		listed = append(listed, fmt.Sprintf("%s:%.0f/s,%.0f of %.0f,%.0f lent", usage.Tenant,
			usage.Drawn/summaryInterval.Seconds(), usage.Used, usage.Most, usage.Lent))
	}
	return strings.Join(listed, " ")
}

// unmetNeeds reports the models that should be loaded and the obstacles. The caller holds
// the mutex.
func (l *leadership) unmetNeeds() string {
	var listed []string
	counts := make(map[residency.Obstacle]int)
	for _, wanted := range l.planner.Unmet() {
		counts[wanted.Obstacle]++
		if len(listed) < summaryModels {
			listed = append(listed, fmt.Sprintf("%s:%.1f,%s", wanted.Row.Model, wanted.Gain, wanted.Obstacle))
		}
	}
	for _, obstacle := range residency.Obstacles() {
		l.node.metrics.unmet.WithLabelValues(obstacle.String()).Set(float64(counts[obstacle]))
	}
	return strings.Join(listed, " ")
}

// storeStates reports the loads in progress from each weight store and their limit. The
// caller holds the mutex.
func (l *leadership) storeStates() string {
	var listed []string
	for _, state := range l.planner.Stores() {
		listed = append(listed, fmt.Sprintf("%s:%d/%d", state.Service, state.InProgress, state.Limit))
		l.node.metrics.storeLoads.WithLabelValues(state.Service).Set(float64(state.InProgress))
		l.node.metrics.storeLimit.WithLabelValues(state.Service).Set(float64(state.Limit))
	}
	return strings.Join(listed, " ")
}

// coverages reports how many models of each service are loaded, loading, copied or absent.
// The caller holds the mutex.
func (l *leadership) coverages() string {
	var listed []string
	for _, found := range l.planner.Coverages() {
		listed = append(listed, fmt.Sprintf("%s:%d loaded,%d coming,%d copied,%d absent,%d replicas,%d in one zone,%d at cold runners,%d in drained zones", found.Service,
			found.Loaded, found.Coming, found.Copied, found.Absent, found.Replicas, found.ZoneBound, found.ColdBound, found.Evacuated))
		l.node.metrics.zoneBound.WithLabelValues(found.Service).Set(float64(found.ZoneBound))
		l.node.metrics.coldBound.WithLabelValues(found.Service).Set(float64(found.ColdBound))
		l.node.metrics.evacuated.WithLabelValues(found.Service).Set(float64(found.Evacuated))
		for where, count := range map[string]int{
			"loaded": found.Loaded, "coming": found.Coming, "copied": found.Copied, "absent": found.Absent,
		} {
			l.node.metrics.coverage.WithLabelValues(found.Service, where).Set(float64(count))
		}
	}
	return strings.Join(listed, " ")
}

// turnStates reports how many models wait to be loaded and the longest wait. The caller
// holds the mutex.
func (l *leadership) turnStates() string {
	turns := l.planner.WaitingModels()
	for turn, count := range map[string]int{
		"gathering": turns.Gathering, "due": turns.Due, "unreachable": turns.Unreachable,
	} {
		l.node.metrics.waitedModels.WithLabelValues(turn).Set(float64(count))
	}
	return fmt.Sprintf("%d gathering,%d due,%d unreachable,oldest %v", turns.Gathering, turns.Due, turns.Unreachable,
		turns.Oldest.Round(time.Millisecond))
}

// recordEndedLoads logs and counts finished loads.
func (l *leadership) recordEndedLoads(ended []residency.EndedLoad) {
	for _, load := range ended {
		source := "copy"
		if load.FromStore {
			source = "store"
		}
		l.node.metrics.loadTime.WithLabelValues(source).Observe(load.Took.Seconds())
		l.node.metrics.loadExcess.WithLabelValues(source).Observe(max(0, load.Took-load.Expected).Seconds())
		level.Info(l.logger).Log("msg", "A load ended.", "runner", load.Instance, "model", load.Model, "source", source,
			"took", load.Took, "expected", load.Expected)
	}
}

// maxProposedRegistrations bounds the registrations in one command.
const maxProposedRegistrations = 512

// proposePending proposes pending registrations and suspects, one command at a time, since
// many runners register at once when a site starts. The caller holds the mutex.
func (l *leadership) proposePending() {
	changed := l.poison.TakeRecords()
	l.logSuspects(changed)
	l.pendingSuspects = append(l.pendingSuspects, changed...)
	if l.isProposing || len(l.pendingRegistrations) == 0 && len(l.pendingSuspects) == 0 {
		return
	}
	command := domain.Command{Suspects: l.pendingSuspects}
	l.pendingSuspects = nil
	for instance, registration := range l.pendingRegistrations {
		if len(command.Registrations) == maxProposedRegistrations {
			break
		}
		if l.introductions.IsPending(versions.Key{Service: registration.Service, Version: registration.Version}) {
			// The next leader lists runners of the versions in the log at once.
			continue
		}
		command.Registrations = append(command.Registrations, registration)
		delete(l.pendingRegistrations, instance)
	}
	if len(command.Suspects)+len(command.Registrations) == 0 {
		return
	}
	l.isProposing = true
	go l.propose(command)
}

// propose proposes a command that is not retried: its loss is not an error.
func (l *leadership) propose(command domain.Command) {
	ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
	defer cancel()
	encoded, err := command.Encode()
	if err == nil {
		_, err = l.member.group.Propose(ctx, encoded)
	}
	if err != nil {
		level.Debug(l.logger).Log("msg", "A proposal failed.", "err", err)
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.isProposing = false
}

// proposeLearned proposes to unregister silent runners, to record changed store limits and to forget software versions that
// are gone.
// The caller holds the mutex.
func (l *leadership) proposeLearned(at time.Time) {
	var command domain.Command
	stores := l.planner.Stores()
	silent := l.registry.Silent(at, l.options.timing().DeregistrationDelay())
	l.member.group.View(func() {
		for _, instance := range silent {
			if _, isRegistered := l.member.machine.Registered(instance); isRegistered {
				command.Silent = append(command.Silent, instance)
			}
		}
		for _, state := range stores {
			learned := domain.StoreLimit{Service: state.Service, AtOnce: state.Learned, IsCrowded: state.IsCrowded}
			if known, _ := l.member.machine.StoreLimit(state.Service); state.Learned > 0 && learned != known {
				command.StoreLimits = append(command.StoreLimits, learned)
			}
		}
		for _, key := range l.member.machine.Versions() {
			if !l.versions.Has(key) {
				command.Retired = append(command.Retired, key)
			}
		}
	})
	if len(command.Silent)+len(command.StoreLimits)+len(command.Retired) > 0 && !l.isProposing {
		l.isProposing = true
		go l.propose(command)
	}
}
