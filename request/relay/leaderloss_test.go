package relay

import (
	"flag"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/internal/pause"
)

var leaderLossSeed = flag.Uint64("leader-loss-seed", 1, "seed of the large sites whose leader is killed")

// Views and documents of a tenth of the size of those of the whole fleet, behind links of a tenth of the bandwidth, take
// as long as those.
const (
	lossDivisor        = 10
	lossRunners        = 500
	lossNameDigits     = 64
	lossServices       = 100
	lossDocumentBytes  = largeSiteDocumentBytes / lossDivisor
	lossControllerLink = controllerLinkBytes / lossDivisor
	lossRouterLink     = 1.25e6 / lossDivisor
	// lossViewBytes is about the size of a full view.
	lossViewBytes = 200_000 / lossDivisor
)

const (
	// killedRouters of a hundred routers are killed. They are started again after routerOutage.
	killedRouters = 33
	routerOutage  = 1100 * time.Millisecond
	// lossWatched is for how long the next leader is watched after the routers were started again.
	lossWatched = 5 * time.Second
)

// leaderLoss is a case in which the leader and a third of the routers are killed.
type leaderLoss struct {
	name string
	// routersAfter is how long after the leader the routers are killed.
	routersAfter time.Duration
}

// killLeader ends the process of the leader.
func (s *largeSite) killLeader() {
	s.c.Helper()
	index := slices.IndexFunc(s.controllers, func(controller *largeSiteController) bool { return controller.Leads() })
	s.c.Assert(index >= 0, qt.IsTrue)
	s.controllers[index].end()
}

// killRouters ends the processes of a third of the routers and starts them again after routerOutage. It returns the
// indexes of these routers.
func (s *largeSite) killRouters(random *rand.Rand) []int {
	killed := random.Perm(len(s.routers))[:len(s.routers)*killedRouters/100]
	for _, index := range killed {
		s.ends[index]()
	}
	pause.For(s.ctx, routerOutage)
	for _, index := range killed {
		s.setRouter(index, s.startRouter(index))
	}
	return killed
}

// lacks returns how many of the routers have not got the document or the runners.
func (s *largeSite) lacks(routers []int) (count int) {
	for _, index := range routers {
		router := s.routers[index]
		router.mutex.Lock()
		if router.version() < 2 || router.fleet.Len() < lossRunners {
			count++
		}
		router.mutex.Unlock()
	}
	return count
}

// begunLeaderships returns the leaderships so far.
func (s *largeSite) begunLeaderships() []startedLeadership {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.Clone(s.leaderships)
}

// nextLeader returns the leadership after the one that was killed.
func (s *largeSite) nextLeader() startedLeadership {
	s.c.Helper()
	leaderships := s.begunLeaderships()
	s.c.Assert(leaderships, qt.HasLen, 2, qt.Commentf("%v", leaderships))
	return leaderships[1]
}

// checkNextLeader fails the test unless the leader after the one that was killed leads for lossWatched, the routers that were
// started again have all that they need within documentTarget, and they have the views from the relays: the leader does not
// send more of them than there are controllers.
func (s *largeSite) checkNextLeader(started []int) {
	s.c.Helper()
	leader := s.nextLeader()
	began := time.Now()
	var completeAfter time.Duration
	for time.Since(began) < lossWatched {
		leaderships := s.begunLeaderships()
		lacking, took := s.lacks(started), time.Since(began)
		state := qt.Commentf("%v after %d routers were started again: %d are incomplete; leaderships %v", took, len(started), lacking, leaderships)
		s.c.Assert(leaderships, qt.HasLen, 2, state)
		s.c.Assert(s.controllers[leader.controller].Leads(), qt.IsTrue, state)
		s.c.Assert(lacking == 0 || took <= documentTarget, qt.IsTrue, state)
		if lacking == 0 && completeAfter == 0 {
			completeAfter = took
		}
		pause.For(s.ctx, 20*time.Millisecond)
	}
	views := s.network.largeMessages(largeSiteControllerIP(leader.controller)) - leader.largeMessages
	s.c.Logf("%d routers were complete %v after they were started again; the leader sent %d full views to routers", len(started), completeAfter, views)
	s.c.Assert(views <= largeSiteControllers, qt.IsTrue, qt.Commentf("the leader sent %d full views to routers", views))
}

// Guards against a leader that loses its leadership to the routers that start again after the leader before was killed: what
// it sends then must not grow with their number.
func TestLeaderOfLargeSiteHoldsAfterOneWasKilled(t *testing.T) {
	options := largeSiteOptions{
		regions: 1, runners: lossRunners, nameDigits: lossNameDigits, services: lossServices, viewBytes: lossViewBytes, documentBytes: lossDocumentBytes,
		controllerLink: lossControllerLink, routerLink: lossRouterLink, seed: *leaderLossSeed,
	}
	for _, loss := range []leaderLoss{
		{name: "the routers at the same time"},
		{name: "the routers two seconds later", routersAfter: 2 * time.Second},
	} {
		t.Run(loss.name, func(t *testing.T) {
			t.Parallel()
			onLargeSiteOf(t, options, func(s *largeSite) {
				random := rand.New(rand.NewPCG(options.seed, 1))
				go s.replaceRunners()
				pause.For(s.ctx, time.Second+time.Duration(random.Int64N(int64(time.Second))))
				s.putDocument()
				s.killLeader()
				pause.For(s.ctx, loss.routersAfter)
				s.checkNextLeader(s.killRouters(random))
			})
		})
	}
}
