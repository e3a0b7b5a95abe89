package routing

import (
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/structs"
)

// withoutSizes hides the sizes of prompts from the policy.
type withoutSizes struct{ *balanced }

func (p withoutSizes) choose(now float64, s *stream) int {
	work := workOf(s)
	work.Prompt, work.Lengths = 0, nil
	return p.chooseFor(now, s, work)
}

// dedicated sends long prompts to one fast replica of each row and all others to the rest.
type dedicated struct {
	*balanced
	// longBalancers are the balancers for long prompts, one per router: one single-replica row per runner.
	longBalancers []*Balancer
}

func newDedicated(l *load) dedicated {
	p := dedicated{balanced: newBalanced(l, manyRouters())}
	var placed structs.Placement
	for number := range l.engines {
		placed.Runners = append(placed.Runners, structs.RunnerInfo{ID: runnerID(number)})
		placed.Replicas = append(placed.Replicas, structs.Replica{Row: rowName(number), Runner: runnerID(number), State: structs.ReplicaReady})
	}
	for range loadRouters {
		balancer := New(manyRouters(), rand.New(rand.NewPCG(1, 4)))
		balancer.SetPlacement(placed)
		p.longBalancers = append(p.longBalancers, balancer)
	}
	return p
}

func (p dedicated) choose(now float64, s *stream) int {
	work := workOf(s)
	holders := p.load.holders[s.model]
	holder := holders[0]
	for _, number := range holders {
		if p.load.engines[number].slowness < p.load.engines[holder].slowness {
			holder = number
		}
	}
	if s.size < len(promptSizes)-1 {
		work.Excluded = runnerID(holder)
		return p.chooseFor(now, s, work)
	}
	choice, found := p.longBalancers[s.router].PickFor(at(now), rowName(holder), work)
	if !found {
		return -1
	}
	choice.Sent(at(now), work.Prefixes)
	s.choice = choice
	return holder
}

// Weighting prompts by size serves no fewer requests in time than treating all alike, and more than
// dedicated replicas for long prompts do.
func TestLongPromptsAreWeightedBySize(t *testing.T) {
	weighted := simulate(0.3, nil, byExpectedTime)
	alike := simulate(0.3, nil, func(l *load) policy { return withoutSizes{newBalanced(l, manyRouters())} })
	separate := simulate(0.3, nil, func(l *load) policy { return newDedicated(l) })
	t.Logf("by size:   %v", weighted)
	t.Logf("all alike: %v", alike)
	t.Logf("dedicated: %v", separate)
	qt.Assert(t, weighted.inTime >= alike.inTime-0.002, qt.IsTrue)
	qt.Assert(t, weighted.lateLong <= alike.lateLong+0.005, qt.IsTrue)
	qt.Assert(t, weighted.inTime > separate.inTime, qt.IsTrue)
}
