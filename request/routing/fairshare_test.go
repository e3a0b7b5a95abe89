package routing

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/structs"
)

// The simulated site: routers that share the one replica of a row. Together they need 55 to 58 of its 64 slots.
const (
	sharingRouters = 9
	sharedSlots    = 64
	sharedRunTime  = 320 * time.Millisecond
	// loadInterval is the time between two load reports, which are as of loadDelay before.
	loadInterval = 500 * time.Millisecond
	loadDelay    = 200 * time.Millisecond
	// The requests of cutRouters are stuck from cutFrom to cutUntil.
	cutRouters = 3
	cutFrom    = 2 * time.Second
	cutUntil   = 3500 * time.Millisecond
	// settledFrom is when the effects of the cut must be over, and sharingTime the time of the simulation.
	settledFrom = 8 * time.Second
	sharingTime = 16 * time.Second
	sharingStep = 10 * time.Millisecond
	// maxSettledWait bounds how long requests wait afterwards.
	maxSettledWait = 100 * time.Millisecond
)

// sharingRouter is a router with the arrival times of its waiting requests.
type sharingRouter struct {
	balancer *Balancer
	waiting  []time.Time
	running  []sharedAttempt
}

// sharedAttempt is an attempt that has run until endsAt.
type sharedAttempt struct {
	choice Choice
	endsAt time.Time
}

// sharedLoad is a load of routers that share one replica.
type sharedLoad struct {
	routers []*sharingRouter
	// interval returns the time between two requests at a router.
	interval func(router int) time.Duration
	// history is the number of attempts in flight after each step.
	history []int
	// longestWait and mostInFlight are those since settledFrom.
	longestWait  time.Duration
	mostInFlight int
}

func newSharedLoad(seed uint64, interval func(router int) time.Duration) *sharedLoad {
	l := &sharedLoad{interval: interval}
	for number := range sharingRouters {
		b := New(manyRouters(), rand.New(rand.NewPCG(seed, uint64(number))))
		b.SetPlacement(placement(1))
		b.SetBatch("runner-0", sharedSlots)
		b.SetRouters(sharingRouters)
		l.routers = append(l.routers, &sharingRouter{balancer: b})
	}
	return l
}

// run simulates the load; the first report is sent at the given phase.
func (l *sharedLoad) run(phase time.Duration) {
	for passed := time.Duration(0); passed < sharingTime; passed += sharingStep {
		now := start.Add(passed)
		if passed >= phase+loadDelay && (passed-phase)%loadInterval == 0 {
			l.report(now)
		}
		inFlight := 0
		for number, r := range l.routers {
			isStuck := number < cutRouters && passed >= cutFrom && passed < cutUntil
			r.end(now, isStuck)
			if passed%l.interval(number) == time.Duration(number)*sharingStep%l.interval(number) {
				r.waiting = append(r.waiting, now)
			}
			waited := r.send(now)
			if passed >= settledFrom {
				l.longestWait = max(l.longestWait, waited)
			}
			inFlight += len(r.running)
		}
		l.history = append(l.history, inFlight)
		if passed >= settledFrom {
			l.mostInFlight = max(l.mostInFlight, inFlight)
		}
	}
}

// report tells all routers the load as of loadDelay before.
func (l *sharedLoad) report(now time.Time) {
	running := l.history[len(l.history)-int(loadDelay/sharingStep)]
	for _, r := range l.routers {
		r.balancer.ObserveLoad("runner-0", structs.LoadReport{Running: running, ObservedAt: now.Add(-loadDelay)})
	}
}

// end ends the attempts that have run for their time, unless they are stuck.
func (r *sharingRouter) end(now time.Time, isStuck bool) {
	if isStuck {
		return
	}
	r.running = slices.DeleteFunc(r.running, func(each sharedAttempt) bool {
		if now.Before(each.endsAt) {
			return false
		}
		each.choice.Done(now, OutcomeSuccess)
		return true
	})
}

// send sends the waiting requests for which there is room, and returns the longest wait among them and those that wait on.
func (r *sharingRouter) send(now time.Time) (waited time.Duration) {
	if len(r.waiting) > 0 {
		waited = now.Sub(r.waiting[0])
	}
	for len(r.waiting) > 0 {
		choice, found := r.balancer.Pick(now, "row", nil, "")
		if !found {
			return waited
		}
		choice.Sent(now, nil)
		r.running = append(r.running, sharedAttempt{choice, now.Add(sharedRunTime)})
		r.waiting = r.waiting[1:]
	}
	return waited
}

// Guards against routers that go on to hold and release all their requests in step after a disturbance: while a load report
// shows that others fill the only replica, all routers wait for the next one, and then all of them take its free slots.
// The demand fits, so that it must be served without long waits, and without more requests at the runner than its slots.
func TestRoutersShareReplicaEvenlyAfterDisturbance(t *testing.T) {
	for name, interval := range map[string]func(router int) time.Duration{
		"even demand": func(int) time.Duration { return 50 * time.Millisecond },
		"most demand at two routers": func(router int) time.Duration {
			if router == 0 || router == sharingRouters-1 {
				return 20 * time.Millisecond
			}
			return 100 * time.Millisecond
		},
	} {
		for phase := time.Duration(0); phase < loadInterval; phase += 50 * time.Millisecond {
			t.Run(fmt.Sprint(name, ", reports at ", phase), func(t *testing.T) {
				c := qt.New(t)
				l := newSharedLoad(uint64(phase), interval)
				l.run(phase)
				c.Logf("waits of %s, %d requests at the runner", l.longestWait, l.mostInFlight)
				c.Check(l.longestWait <= maxSettledWait, qt.IsTrue, qt.Commentf("a request waited for %s", l.longestWait))
				c.Check(l.mostInFlight <= sharedSlots+DefaultQueueSlack, qt.IsTrue, qt.Commentf("%d requests at the runner", l.mostInFlight))
			})
		}
	}
}
