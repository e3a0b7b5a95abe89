package relay

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/internal/pause"
	"github.com/lotusferry/lotusferry/placement/domainnode"
	"github.com/lotusferry/lotusferry/placement/residency"
)

// What the site promises.
const (
	// departureTarget is the longest time until a departure or document is acknowledged. Each call
	// ends after runnerCallTimeout, and the next one goes to another controller.
	departureTarget   = 8 * time.Second
	runnerCallTimeout = 900 * time.Millisecond
	// documentTarget is the longest time from when a document is acknowledged until all routers have it.
	documentTarget = 4 * time.Second
)

// The events of the tests.
const (
	// departingTogether runners depart each second.
	departingTogether = 25
	departureSeconds  = 3
	// A runner that leaves serves for minFinishing, and for up to finishingSpread more.
	minFinishing    = 4 * time.Second
	finishingSpread = time.Second
	// requestRate is the rate of requests for models over all routers in requests per second. While
	// a request runs, for requestTime, its router reports its demand.
	requestRate = 200
	requestTime = 1500 * time.Millisecond
	// requestStep is less than two reportIntervals, so that the router reports each time.
	requestStep = 400 * time.Millisecond
	// quietTime is for how long the leader is watched after the last event has ended.
	quietTime = 2 * time.Second
	// callRetryDelay is the pause before a failed call of a runner or operator is repeated.
	callRetryDelay = 100 * time.Millisecond
)

// callUntilAcknowledged calls one controller after the other until one acknowledges.
func (s *largeSite) callUntilAcknowledged(first int, call func(ctx context.Context, controller *domainnode.Node) error) {
	for index := first; s.ctx.Err() == nil; index++ {
		ctx, cancel := context.WithTimeout(s.ctx, runnerCallTimeout)
		err := call(ctx, s.controllers[index%len(s.controllers)].Node)
		cancel()
		if err == nil {
			return
		}
		s.mutex.Lock()
		s.failedCalls++
		s.mutex.Unlock()
		pause.For(s.ctx, callRetryDelay)
	}
}

// sendRequests has random routers report demand for models, as while they serve requests.
func (s *largeSite) sendRequests() {
	random := rand.New(rand.NewPCG(3, 1))
	for pause.For(s.ctx, time.Second/requestRate) {
		s.mutex.Lock()
		router := s.routers[random.IntN(len(s.routers))]
		s.mutex.Unlock()
		row := residency.Row{Service: "engine", Model: fmt.Sprint("model-", random.IntN(largeSiteModels))}
		go func() {
			for began := time.Now(); time.Since(began) < requestTime && s.ctx.Err() == nil; pause.For(s.ctx, requestStep) {
				router.countRequest(row, time.Second)
			}
		}()
	}
}

// replace has a runner announce that it is leaving, finish its requests and report its end, while
// another one starts.
func (s *largeSite) replace(index int, finishing time.Duration) {
	instance := s.runner(index)
	s.callForDeparture(index, instance, func(ctx context.Context, controller *domainnode.Node) error {
		heartbeat := s.heartbeatOf(index, math.MaxUint64)
		heartbeat.Leaving = true
		return controller.Heartbeat(ctx, heartbeat)
	})
	go s.sendHeartbeats(s.options.runners + index)
	pause.For(s.ctx, finishing)
	s.callForDeparture(index, instance, func(ctx context.Context, controller *domainnode.Node) error {
		return controller.Depart(ctx, instance, 0)
	})
}

// callForDeparture makes a call about the departure of a runner until it is acknowledged.
func (s *largeSite) callForDeparture(index int, instance string, call func(ctx context.Context, controller *domainnode.Node) error) {
	began := time.Now()
	s.mutex.Lock()
	s.departed[instance] = began
	s.mutex.Unlock()
	s.callUntilAcknowledged(index, call)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.departed[instance] = time.Time{}
	s.longestDeparture = max(s.longestDeparture, time.Since(began))
}

// replaceRunners replaces runners, departingTogether of them each second, and returns once all have
// ended.
func (s *largeSite) replaceRunners() {
	random := rand.New(rand.NewPCG(5, 1))
	var replacing sync.WaitGroup
	for second := range departureSeconds {
		for index := range departingTogether {
			finishing := minFinishing + time.Duration(random.Int64N(int64(finishingSpread)))
			replacing.Go(func() { s.replace(second*departingTogether+index, finishing) })
		}
		pause.For(s.ctx, time.Second)
	}
	replacing.Wait()
}

// putDocument puts the second document until that is acknowledged.
func (s *largeSite) putDocument() {
	source := s.document(2)
	s.callUntilAcknowledged(7, func(ctx context.Context, controller *domainnode.Node) error {
		return controller.PutDocument(ctx, source)
	})
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.acknowledgedAt = time.Now()
}

// routersWithout returns how many routers lack a version of the document.
func (s *largeSite) routersWithout(version uint64) (count int) {
	for _, router := range s.routers {
		if router.version() < version {
			count++
		}
	}
	return count
}

// pendingDepartures returns how many departures are not acknowledged, and for how long the first of
// them has been reported.
func (s *largeSite) pendingDepartures() (count int, longest time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, began := range s.departed {
		if !began.IsZero() {
			count++
			longest = max(longest, time.Since(began))
		}
	}
	return count, longest
}

// checkPromises has events happen at the same time and fails the test unless the leader goes on to
// lead, departures are acknowledged in time and, if a document is put, it reaches all routers in
// time. It returns once all has ended and the leader has led for quietTime afterwards.
func (s *largeSite) checkPromises(isPut bool, events ...func()) {
	s.c.Helper()
	began := time.Now()
	var happening sync.WaitGroup
	for _, event := range events {
		happening.Go(event)
	}
	ended := make(chan struct{})
	go func() {
		happening.Wait()
		close(ended)
	}()
	quietSince := began
	for time.Since(quietSince) < quietTime {
		pending, longest := s.pendingDepartures()
		s.mutex.Lock()
		leaderships, acknowledgedAt, failedCalls := slices.Clone(s.leaderships), s.acknowledgedAt, s.failedCalls
		s.mutex.Unlock()
		lacking := 0
		if isPut {
			lacking = s.routersWithout(2)
		}
		state := qt.Commentf("%v after the first event, at %v: %d departures are pending, %d routers lack the document, %d calls of runners failed; leaderships %v",
			time.Since(began), time.Since(s.startedAt), pending, lacking, failedCalls, leaderships)
		s.c.Assert(leaderships, qt.HasLen, 1, state)
		s.c.Assert(s.controllers[leaderships[0].controller].Leads(), qt.IsTrue, state)
		s.c.Assert(longest <= departureTarget, qt.IsTrue, state)
		s.c.Assert(acknowledgedAt.IsZero() || lacking == 0 || time.Since(acknowledgedAt) <= documentTarget, qt.IsTrue, state)
		s.c.Assert(!isPut || !acknowledgedAt.IsZero() || time.Since(began) <= departureTarget, qt.IsTrue, state)
		select {
		case <-ended:
		default:
			quietSince = time.Now()
		}
		if lacking > 0 {
			quietSince = time.Now()
		}
		pause.For(s.ctx, 10*time.Millisecond)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.c.Logf("longest departure %v, %d calls of runners failed", s.longestDeparture, s.failedCalls)
}

// Guards against a leader that loses its leadership to the answers of a thousand routers when
// runners depart together.
func TestLeaderOfLargeSiteHoldsWhileRunnersDepart(t *testing.T) {
	t.Parallel()
	onLargeSite(t, 1, func(s *largeSite) {
		s.checkPromises(false, s.replaceRunners)
	})
}

// Guards against a leader that loses its leadership while a thousand routers get a large document,
// and against routers that get it late.
func TestLeaderOfLargeSiteHoldsWhileDocumentIsSpread(t *testing.T) {
	t.Parallel()
	onLargeSite(t, 1, func(s *largeSite) {
		s.checkPromises(true, s.putDocument)
	})
}

// Guards against a leader that loses its leadership, and against late departures and documents, when
// runners depart together while a thousand routers get a large document.
func TestLeaderOfLargeSiteHoldsWhileRunnersDepartAndDocumentIsSpread(t *testing.T) {
	t.Parallel()
	onLargeSite(t, 1, func(s *largeSite) {
		s.checkPromises(true, s.replaceRunners, s.putDocument)
	})
}
