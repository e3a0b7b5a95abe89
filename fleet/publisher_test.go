package fleet

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

func sortedRunners(view View) []Runner {
	return slices.SortedFunc(slices.Values(view.Runners), func(a, b Runner) int { return strings.Compare(a.Instance, b.Instance) })
}

// Routers that ask at different times must all come to know the same view.
func TestPartialViewsAddUpToTheWholeOne(t *testing.T) {
	for seed := range uint64(30) {
		random := rand.New(rand.NewPCG(seed, 1))
		publisher := NewPublisher()
		current := View{}
		known := make([]View, 4)
		revisions := make([]uint64, len(known))
		for step := range 400 {
			next := View{Complete: step > 40, Runners: slices.Clone(current.Runners)}
			switch index := random.IntN(12); {
			case index < len(next.Runners) && random.IntN(3) == 0:
				next.Runners = slices.Delete(next.Runners, index, index+1)
			case index < len(next.Runners):
				next.Runners[index].Models = []LoadedModel{{Name: fmt.Sprint("m", random.IntN(5))}}
			default:
				next.Runners = append(next.Runners, Runner{Instance: fmt.Sprint("r", step), Address: fmt.Sprint("a", step)})
			}
			current = next
			publisher.Publish(current)
			asking := random.IntN(len(known))
			known[asking] = Merge(known[asking], publisher.Since(revisions[asking]))
			revisions[asking] = publisher.Revision()
		}
		for asking := range known {
			known[asking] = Merge(known[asking], publisher.Since(revisions[asking]))
			qt.Assert(t, slices.EqualFunc(sortedRunners(known[asking]), sortedRunners(current), Runner.Equal), qt.IsTrue,
				qt.Commentf("seed %d router %d", seed, asking))
		}
	}
}

func TestOnlyChangesAreTold(t *testing.T) {
	c := qt.New(t)
	publisher := NewPublisher()
	whole := View{Complete: true, Runners: []Runner{{Instance: "a"}, {Instance: "b"}, {Instance: "c"}}}
	c.Assert(publisher.Publish(whole), qt.IsTrue)
	c.Assert(publisher.Publish(whole), qt.IsFalse)
	known := publisher.Revision()
	c.Assert(publisher.Publish(View{Complete: true, Runners: []Runner{{Instance: "a"}, {Instance: "b", Leaving: true}}}), qt.IsTrue)
	c.Assert(publisher.Since(known), qt.DeepEquals, View{
		Partial: true, Complete: true, Runners: []Runner{{Instance: "b", Leaving: true}}, Removed: []string{"c"},
	})
	c.Assert(publisher.Since(0).Partial, qt.IsFalse)
}
