package fleet

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
)

// nextRandomView changes some runners of a view, and adds and removes some.
func nextRandomView(random *rand.Rand, former View) View {
	view := View{Complete: random.IntN(10) > 0}
	for _, runner := range former.Runners {
		if random.IntN(20) == 0 {
			if random.IntN(2) == 0 {
				view.Gone = append(view.Gone, runner.Instance)
			}
			continue
		}
		switch random.IntN(12) {
		case 0:
			runner.Slots++
		case 1:
			runner.Leaving = !runner.Leaving
		case 2:
			runner.Models = []LoadedModel{{Name: fmt.Sprint("m", random.IntN(3))}}
		case 3:
			runner.Recalled = false
		}
		view.Runners = append(view.Runners, runner)
	}
	for range random.IntN(4) {
		instance := Incarnation(fmt.Sprintf("i-%02d", random.IntN(40)), int64(random.IntN(3)))
		isSame := func(other Runner) bool { return other.Instance == instance }
		if !slices.ContainsFunc(view.Runners, isSame) {
			view.Runners = append(view.Runners, Runner{Instance: instance, Service: "s", Recalled: random.IntN(2) == 0})
		}
	}
	view.Runners = sortedByInstance(view.Runners)
	return view
}

// Guards against changes that a router never learns, as the list of changes lacks them.
func TestChangesSinceARevisionEqualComparisonOfAllRunners(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			c := qt.New(t)
			random := rand.New(rand.NewPCG(seed, seed))
			p := NewPublisher()
			view := View{}
			for range 600 {
				view = nextRandomView(random, view)
				p.Publish(view)
				for range 3 {
					checkChanges(c, p, uint64(random.IntN(int(p.Revision())+1)))
				}
			}
			c.Assert(len(p.changes) <= minChanges+2*len(view.Runners), qt.IsTrue)
		})
	}
}

// checkChanges compares the changes since a revision with those found by asking for each runner.
func checkChanges(c *qt.C, p *Publisher, known uint64) {
	c.Helper()
	var changed, first []Runner
	for i := range p.view.Runners {
		runner := &p.view.Runners[i]
		if p.changedAt[runner.Instance] > known {
			changed = append(changed, *runner)
		}
		if p.isTakeoverChange(runner, known) {
			first = append(first, *runner)
		}
	}
	c.Assert(p.TakeoverChangesSince(known).Runners, qt.DeepEquals, first)
	found := p.Since(known)
	if !found.Partial {
		return
	}
	c.Assert(found.Runners, qt.DeepEquals, changed)
	var removed []string
	for _, each := range p.removals {
		if each.revision > known && p.changedAt[each.instance] == 0 {
			removed = append(removed, each.instance)
		}
	}
	c.Assert(found.Removed, qt.DeepEquals, appendIDs(removed, p.isListed))
}
