package routing

import (
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/structs"
)

// sizeless hides the sizes of prompts from a policy.
type sizeless struct{ *balanced }

func (p sizeless) choose(now float64, s *stream) int {
	work := workOf(s)
	work.Prompt, work.Lengths = 0, nil
	return p.chooseFor(now, s, work)
}

// apart sends long prompts to one quick replica of each row and all else to the others.
type apart struct {
	*balanced
	// kept are the balancers for long prompts, of each router: a row of one replica for each runner.
	kept []*Balancer
}

func newApart(l *load) apart {
	p := apart{balanced: newBalanced(l, manyRouters())}
	var placed structs.Placement
	for number := range l.engines {
		placed.Runners = append(placed.Runners, structs.RunnerInfo{ID: runnerID(number)})
		placed.Replicas = append(placed.Replicas, structs.Replica{Row: rowName(number), Runner: runnerID(number), State: structs.ReplicaReady})
	}
	for range loadRouters {
		balancer := New(manyRouters(), rand.New(rand.NewPCG(1, 4)))
		balancer.SetPlacement(placed)
		p.kept = append(p.kept, balancer)
	}
	return p
}

func (p apart) choose(now float64, s *stream) int {
	work := workOf(s)
	holders := p.load.holders[s.model]
	kept := holders[0]
	for _, number := range holders {
		if p.load.engines[number].slowness < p.load.engines[kept].slowness {
			kept = number
		}
	}
	if s.size < len(promptSizes)-1 {
		work.Barred = runnerID(kept)
		return p.chooseFor(now, s, work)
	}
	choice, found := p.kept[s.router].PickFor(at(now), rowName(kept), work)
	if !found {
		return -1
	}
	choice.Sent(at(now), work.Prefixes)
	s.choice = choice
	return kept
}

// A few long prompts hold up the streams of their runners and are late themselves where those are
// busy. To weigh them by their size serves about as many callers in time as to take all prompts for
// alike; to keep replicas for them serves more of them and spares nearly all pauses, and costs
// many more of the short ones, as the replicas that are kept stand idle between two.
func TestLongPromptsAreWeighedByTheirSize(t *testing.T) {
	weighed := play(0.3, nil, byTime)
	alike := play(0.3, nil, func(l *load) policy { return sizeless{newBalanced(l, manyRouters())} })
	kept := play(0.3, nil, func(l *load) policy { return newApart(l) })
	t.Logf("weighed:       %v", weighed)
	t.Logf("all alike:     %v", alike)
	t.Logf("replicas kept: %v", kept)
	qt.Assert(t, weighed.inAim >= alike.inAim-0.002, qt.IsTrue)
	qt.Assert(t, weighed.lateLong <= alike.lateLong+0.005, qt.IsTrue)
	qt.Assert(t, weighed.inAim > kept.inAim, qt.IsTrue)
}
