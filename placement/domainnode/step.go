package domainnode

import (
	"context"
	"fmt"
	"time"

	"github.com/go-kit/log/level"

	"github.com/lotusferry/lotusferry/internal/pause"
	"github.com/lotusferry/lotusferry/placement/fleet"
	"github.com/lotusferry/lotusferry/placement/residency"
)

const (
	// minStepPause is the minimum pause between two steps, so that events arriving meanwhile
	// share a step. The pause is also at least stepPauseFactor times the duration of the last
	// step, so that steps take at most a quarter of the leader's time. maxStepPause bounds it,
	// as a long step may be due to a suspended machine.
	minStepPause    = 15 * time.Millisecond
	stepPauseFactor = 3
	maxStepPause    = 300 * time.Millisecond
	// planInterval is the maximum time between two steps.
	planInterval = 100 * time.Millisecond
)

// run executes steps until the leadership ends.
func (l *leadership) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-l.wake:
		}
		l.mutex.Lock()
		ended := l.ended
		l.mutex.Unlock()
		if ended {
			return
		}
		began, next := l.now(), planInterval
		if l.isValid() {
			next = l.step(ctx)
		}
		took := l.now().Sub(began)
		l.node.metrics.stepTime.Observe(took.Seconds())
		l.node.workload.addStep(took)
		rest := min(maxStepPause, max(minStepPause, stepPauseFactor*took))
		pause.For(ctx, rest)
		timer.Reset(max(0, next-rest))
	}
}

// step updates the runners, plans loads and sends orders. It returns the time until the
// next step is due.
func (l *leadership) step(ctx context.Context) time.Duration {
	l.applyDocument()
	done := l.advance()
	l.recordEndedLoads(done.ended)
	for _, found := range done.judged {
		level.Info(l.logger).Log("msg", "A runner's speed was judged.", "runner", found.Instance,
			"slow", found.IsSlow, "pauses", found.Pauses, "slowness", fmt.Sprintf("%.2f", found.Slowness),
			"tokens_per_s", found.Pace.PromptRate, "event", found.Pace.Event, "bears", fmt.Sprintf("%.1f", found.Capacity))
	}
	for _, status := range done.questions {
		go l.requestReport(ctx, status)
	}
	for _, order := range done.orders {
		go l.sendOrder(ctx, order)
	}
	return done.next
}

// stepResult is what a step leaves to do without the mutex.
type stepResult struct {
	// questions are the runners to ask for reports, and orders the orders to send.
	questions []fleet.Status
	orders    []residency.Order
	// judged and ended are to be logged.
	judged []residency.Judgement
	ended  []residency.EndedLoad
	// next is the time until the next step is due.
	next time.Duration
}

// advance updates the runners, plans loads and publishes the view. It releases the mutex in between, so
// that answers to routers, relays and runners wait for one of the parts and not for all of them.
func (l *leadership) advance() stepResult {
	l.updateRunners()
	done := l.planLoads()
	l.publishPlan(&done)
	return done
}

func (l *leadership) updateRunners() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	at := l.now()
	l.registry.Expire(at)
	l.versions.Expire(at, l.versionRetention.After(at))
	l.endIntroductions(at)
	l.poison.Expire(at)
	l.updateDrains()
	l.refresh(at)
}

func (l *leadership) planLoads() stepResult {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	at := l.now()
	done := stepResult{questions: l.planner.RunnersToPoll(at), orders: l.planner.Plan(at)}
	close(l.planned)
	l.planned = make(chan struct{})
	return done
}

func (l *leadership) publishPlan(done *stepResult) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	at := l.now()
	l.publish(at)
	l.setLoads(l.planner.Loads(at))
	done.next = l.notifyRouters(at)
	done.judged = l.planner.TakeJudgements()
	done.ended = l.planner.TakeEndedLoads()
	l.proposePending()
	l.logSummary(at)
}

// notifyRouters announces the latest view: immediately to routers with requests waiting for
// a model that has become ready, to the others at the announcement interval. It returns the
// time until the next step is due. The caller holds the mutex.
func (l *leadership) notifyRouters(at time.Time) time.Duration {
	for _, router := range l.planner.WaitingRouters(at, l.planner.TakeArrived()) {
		l.notify(router)
	}
	next := planInterval
	if left := l.announcer.announceIfDue(at, l.currentVersions(), len(l.routers)); left > 0 {
		next = min(next, left)
	}
	if in, isKnown := l.planner.NextArrival(at); isKnown {
		next = min(next, in)
	}
	return next
}

// currentVersions returns the latest versions. The caller holds the mutex.
func (l *leadership) currentVersions() stateVersions {
	return stateVersions{view: l.views.Revision(), document: l.document, suspects: l.poison.Revision()}
}
