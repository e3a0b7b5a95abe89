package fleet

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
)

// changeAtRandom returns a view that differs from the given one in one runner.
func changeAtRandom(random *rand.Rand, from View, step int) View {
	next := View{Complete: step > 40, Runners: slices.Clone(from.Runners)}
	switch index := random.IntN(12); {
	case index < len(next.Runners) && random.IntN(2) == 0:
		next.Runners = slices.Delete(next.Runners, index, index+1)
	case index < len(next.Runners):
		next.Runners[index].Models = []LoadedModel{{Name: fmt.Sprint("m", random.IntN(2))}}
	default:
		name := fmt.Sprint("r", random.IntN(14))
		isSame := func(runner Runner) bool { return runner.Instance == name }
		if !slices.ContainsFunc(next.Runners, isSame) {
			next.Runners = append(next.Runners, Runner{Instance: name, Address: "a" + name})
		}
	}
	return next
}

// Guards against a reader that changes between publishers missing a change, above all one that was
// undone between two revisions of the adopting publisher.
func TestReadersMayChangeBetweenPublisherAndItsAdopters(t *testing.T) {
	for seed := range uint64(60) {
		random := rand.New(rand.NewPCG(seed, 2))
		origin := NewPublisher()
		adopters := []*Publisher{NewPublisher(), NewPublisher()}
		current := View{}
		known := make([]View, 4)
		revisions := make([]uint64, len(known))
		for step := range 300 {
			current = changeAtRandom(random, current, step)
			origin.Publish(current)
			if random.IntN(3) == 0 {
				adopter := adopters[random.IntN(len(adopters))]
				qt.Assert(t, adopter.Adopt(origin.Since(adopter.Revision()), origin.Revision()), qt.IsTrue)
			}
			reader := random.IntN(len(known))
			source := slices.Concat([]*Publisher{origin}, adopters)[random.IntN(3)]
			if source.Revision() >= revisions[reader] && source.Revision() > 0 {
				known[reader] = Merge(known[reader], source.Since(revisions[reader]))
				revisions[reader] = source.Revision()
			}
		}
		for reader := range known {
			adopter := adopters[reader%2]
			adopter.Adopt(origin.Since(adopter.Revision()), origin.Revision())
			known[reader] = Merge(known[reader], adopter.Since(revisions[reader]))
			qt.Assert(t, slices.EqualFunc(sortedRunners(known[reader]), sortedRunners(current), Runner.Equal), qt.IsTrue,
				qt.Commentf("seed %d reader %d", seed, reader))
		}
	}
}

func TestAdoptRejectsWhatItCannotContinue(t *testing.T) {
	c := qt.New(t)
	publisher := NewPublisher()
	c.Assert(publisher.Adopt(View{Partial: true}, 3), qt.IsFalse, qt.Commentf("changes without a view before them"))
	c.Assert(publisher.Adopt(View{Complete: true, Runners: []Runner{{Instance: "a"}}}, 5), qt.IsTrue)
	c.Assert(publisher.Adopt(View{Partial: true}, 4), qt.IsFalse, qt.Commentf("an earlier revision"))
	c.Assert(publisher.Revision(), qt.Equals, uint64(5))
	c.Assert(publisher.Since(4).Partial, qt.IsFalse, qt.Commentf("changes before the full view are unknown"))
	c.Assert(publisher.Since(5).Partial, qt.IsTrue)
}

// Guards against a removed ID that removes the next incarnation at older routers.
func TestAdoptedRemovalsFollowIncarnations(t *testing.T) {
	c := qt.New(t)
	origin, adopter := NewPublisher(), NewPublisher()
	origin.Publish(View{Complete: true, Runners: []Runner{{Instance: Incarnation("r", 1)}, {Instance: "s"}}})
	adopter.Adopt(origin.Since(0), origin.Revision())
	known := origin.Revision()
	origin.Publish(View{Complete: true, Gone: []string{"r"}, Runners: []Runner{{Instance: "s"}}})
	adopter.Adopt(origin.Since(adopter.Revision()), origin.Revision())
	c.Assert(adopter.Since(known), qt.DeepEquals, origin.Since(known))
	origin.Publish(View{Complete: true, Runners: []Runner{{Instance: Incarnation("r", 2)}, {Instance: "s"}}})
	adopter.Adopt(origin.Since(adopter.Revision()), origin.Revision())
	c.Assert(adopter.Since(known).Removed, qt.DeepEquals, origin.Since(known).Removed)
}

func TestAdoptedGoneInstancesAreBounded(t *testing.T) {
	c := qt.New(t)
	publisher := NewPublisher()
	publisher.Adopt(View{Complete: true}, 1)
	for revision := uint64(2); revision < maxAdoptedGone+100; revision++ {
		publisher.Adopt(View{Partial: true, Complete: true, Gone: []string{fmt.Sprint(revision)}}, revision)
	}
	c.Assert(publisher.Since(0).Gone, qt.HasLen, maxAdoptedGone)
	c.Assert(publisher.goneAt, qt.HasLen, maxAdoptedGone)
}
