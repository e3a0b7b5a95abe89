package relay

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/internal/pause"
	"github.com/lotusferry/lotusferry/placement/fleet"
	"github.com/lotusferry/lotusferry/placement/notice"
	"github.com/lotusferry/lotusferry/placement/poison"
	"github.com/lotusferry/lotusferry/placement/residency"
	"github.com/lotusferry/lotusferry/structs"
)

// reregisterInterval is the interval at which all runners are listed as new incarnations, of which nothing is known.
const reregisterInterval = 2500 * time.Millisecond

// happen has random events of requests in progress happen until ctx ends.
func (s *configSeries) happen(ctx context.Context) {
	events := runningEvents()
	names := slices.Sorted(maps.Keys(events))
	for pause.For(ctx, s.draw(50*time.Millisecond, 400*time.Millisecond)) {
		if running := s.runningRequest(); running != nil {
			events[names[s.pick(len(names))]](running)
		}
	}
}

// runningRequest returns one of the requests that were sent last, or nil.
func (s *configSeries) runningRequest() *runningRequest {
	const latest = 8
	s.runners.mutex.Lock()
	last := s.runners.attempts[max(0, len(s.runners.attempts)-latest):]
	s.runners.mutex.Unlock()
	if len(last) == 0 {
		return nil
	}
	sent := last[s.pick(len(last))]
	running := &runningRequest{router: s.router, instance: sent.Instance, copyTo: sent.CopyTo, request: sent.Request}
	running.row = residency.Row{Service: sent.Service, Model: sent.Request.Model}
	running.locked(func(r *Router) { running.zone = r.zones.watch.ZoneOf(structs.RunnerID(sent.Instance)) })
	return running
}

// reregister has all runners listed as new incarnations every reregisterInterval until ctx ends.
func (s *configSeries) reregister(ctx context.Context) {
	for number := int64(1); pause.For(ctx, reregisterInterval); number++ {
		view := changingView()
		for i := range view.Runners {
			view.Runners[i].Instance = fleet.Incarnation(view.Runners[i].Instance, number)
		}
		s.router.adoptView(view)
		s.router.mutex.Lock()
		s.router.suspects.adopt(s.router.now(), &poison.List{})
		for _, runner := range view.Runners {
			whole := &Answer{Status: 200, Signed: true, Notice: notice.Notice{}}
			s.router.observeBrittle(structs.RunnerID(runner.Instance), s.router.now(), whole)
		}
		s.router.mutex.Unlock()
	}
}

// Guards against answers that are cut or lost when what the router learns of runners, zones and ways changes one after the other,
// beside configurations, while sound runners fall silent and no retry is left.
func TestSoundRunnersKeepRequestsInSeries(t *testing.T) {
	for seed := *seriesSeed; seed < *seriesSeed+uint64(*seriesCount); seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newConfigSeries(qt.New(t), seed)
				s.router.options.Dialer = NewRunnerDialer(unreachableNetwork{})
				ctx, end := context.WithCancel(t.Context())
				var disturbing sync.WaitGroup
				disturbing.Go(func() { s.happen(ctx) })
				disturbing.Go(func() { s.reregister(ctx) })
				s.run(t.Context())
				end()
				disturbing.Wait()
				t.Log(s.counts)
			})
		})
	}
}
