package fleet

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/google/go-cmp/cmp/cmpopts"
)

// Merge is what a Directory must come to, written for all runners at once. It returns what a router knows after it learned a newer view. An incomplete
// view adds to what is known and takes away only what is certainly gone, so that a
// new leader, which has not heard the heartbeats yet, empties no router's list.
func Merge(known, learned View) View {
	if learned.Partial {
		return mergePartial(known, learned)
	}
	learned.Runners = slices.Clone(learned.Runners)
	keepRecalled(known.Runners, learned.Runners)
	if learned.Complete {
		return learned
	}
	merged := View{Runners: slices.Clone(learned.Runners), Gone: learned.Gone}
	replaced := replacedBy(learned.Runners, learned.Gone)
	for _, runner := range known.Runners {
		if !replaced.contains(&runner) {
			runner.Unconfirmed = true
			merged.Runners = append(merged.Runners, runner)
		}
	}
	return merged
}

// replaced are the runners of an earlier view that a later one tells otherwise of.
type replaced struct {
	instances map[string]bool
	addresses map[string]bool
	// lives are, by ID, those that the later view lists.
	lives map[string]string
}

// replacedBy are the runners in the place of which others are listed, or that have ended.
func replacedBy(runners []Runner, ended ...[]string) replaced {
	r := replaced{
		instances: make(map[string]bool, len(runners)),
		addresses: make(map[string]bool, len(runners)),
		lives:     make(map[string]string),
	}
	for i := range runners {
		r.instances[runners[i].Instance] = true
		r.addresses[runners[i].Address] = true
		r.lives[IDOf(runners[i].Instance)] = runners[i].Instance
	}
	for _, names := range ended {
		for _, instance := range names {
			r.instances[instance] = true
		}
	}
	delete(r.addresses, "")
	return r
}

// contains reports whether the later view tells of the runner's instance, of another one at its address, or of a
// later life of it.
func (r *replaced) contains(runner *Runner) bool {
	if r.instances[runner.Instance] || r.addresses[runner.Address] {
		return true
	}
	return r.lives[IDOf(runner.Instance)] != ""
}

// mergePartial adds changes to what is known. Once a view is complete, what its leader
// never listed is gone.
func mergePartial(known, changes View) View {
	merged := View{Complete: changes.Complete, Gone: changes.Gone, Runners: slices.Clone(changes.Runners)}
	keepRecalled(known.Runners, merged.Runners)
	replaced := replacedBy(changes.Runners, changes.Removed, changes.Gone)
	for _, runner := range known.Runners {
		if replaced.contains(&runner) || changes.Complete && runner.Unconfirmed {
			continue
		}
		merged.Runners = append(merged.Runners, runner)
	}
	return merged
}

// keepRecalled has runners that the leader has not heard yet stay as they were.
func keepRecalled(known, learned []Runner) {
	for i := range learned {
		for _, former := range known {
			if !learned[i].Recalled || former.Instance != learned[i].Instance {
				continue
			}
			learned[i].Cold = learned[i].Cold || former.Cold
			if len(learned[i].Models) == 0 {
				learned[i].Models = former.Models
			}
		}
	}
}

// view lists what a directory knows, by instance.
func (d *Directory) view() View {
	var view View
	for _, instance := range slices.Sorted(slices.Values(d.Instances())) {
		view.Runners = append(view.Runners, *d.Runner(instance))
	}
	return view
}

// randomRunner has one of few IDs, lives and addresses, so that these meet.
func randomRunner(random *rand.Rand) Runner {
	runner := Runner{
		Instance: Incarnation(fmt.Sprint("r", random.IntN(8)), int64(random.IntN(3))), Service: "s",
		Address: fmt.Sprint("a", random.IntN(10)), Cold: random.IntN(4) == 0, Recalled: random.IntN(4) == 0,
	}
	for model := range 3 {
		if random.IntN(2) == 0 {
			runner.Models = append(runner.Models, LoadedModel{Name: fmt.Sprint("m", model)})
		}
	}
	return runner
}

// randomView lists runners as a leader does: one at an address, and one life of each.
func randomView(random *rand.Rand) View {
	view := View{Partial: random.IntN(2) == 0, Complete: random.IntN(3) == 0}
	for range random.IntN(6) {
		next := randomRunner(random)
		isTaken := slices.ContainsFunc(view.Runners, func(other Runner) bool {
			return other.Address == next.Address || IDOf(other.Instance) == IDOf(next.Instance)
		})
		if !isTaken {
			view.Runners = append(view.Runners, next)
		}
	}
	for _, ended := range []*[]string{&view.Gone, &view.Removed} {
		gone := randomRunner(random).Instance
		isListed := slices.ContainsFunc(view.Runners, func(other Runner) bool { return other.Instance == gone })
		if !isListed && (view.Partial || ended == &view.Gone) {
			*ended = append(*ended, gone)
		}
	}
	return view
}

// Whatever views come, a directory knows what all runners looked at anew come to, finds them by their models, and
// tells all that has changed.
func TestDirectoryKnowsWhatViewsAddUpTo(t *testing.T) {
	for seed := range uint64(200) {
		c := qt.New(t)
		random := rand.New(rand.NewPCG(seed, 3))
		directory := NewDirectory()
		want := View{}
		for range 60 {
			before := directory.view()
			next := randomView(random)
			want = Merge(want, next)
			changes := directory.Learn(next)
			known := directory.view()
			slices.SortFunc(want.Runners, func(a, b Runner) int { return cmp.Compare(a.Instance, b.Instance) })
			c.Assert(known.Runners, qt.CmpEquals(cmpopts.EquateEmpty()), want.Runners)
			assertChanges(c, before, known, changes)
			assertHolders(c, directory)
		}
	}
}

func assertChanges(c *qt.C, before, after View, changes Changes) {
	former := make(map[string]Runner)
	for _, runner := range before.Runners {
		former[runner.Instance] = runner
	}
	var changed []string
	for _, runner := range after.Runners {
		known, isKnown := former[runner.Instance]
		if !isKnown || !known.Equal(runner) {
			changed = append(changed, runner.Instance)
		}
		delete(former, runner.Instance)
	}
	for _, instance := range changed {
		c.Assert(changes.Changed, qt.Contains, instance)
	}
	for instance := range former {
		c.Assert(changes.Removed, qt.Contains, instance)
	}
}

func assertHolders(c *qt.C, directory *Directory) {
	for model := range 3 {
		name := fmt.Sprint("m", model)
		var want, found []string
		for _, runner := range directory.view().Runners {
			if slices.ContainsFunc(runner.Models, func(held LoadedModel) bool { return held.Name == name }) {
				want = append(want, runner.Instance)
			}
		}
		directory.Each(ModelKey{"s", name}, func(runner *Runner) bool {
			found = append(found, runner.Instance)
			return true
		})
		slices.Sort(found)
		c.Assert(found, qt.DeepEquals, want)
	}
	count := 0
	directory.Each(ModelKey{Service: "s"}, func(*Runner) bool {
		count++
		return true
	})
	c.Assert(count, qt.Equals, directory.Len())
}

func TestUpdateHoldsUntilTheNextViewThatTellsOfTheRunner(t *testing.T) {
	c := qt.New(t)
	directory := NewDirectory()
	told := View{Complete: true, Runners: []Runner{{Instance: "a", Service: "s", Models: []LoadedModel{{Name: "m"}}}}}
	directory.Learn(told)
	directory.Update("a", func(runner *Runner) bool {
		runner.Models = nil
		return true
	})
	count := func() (count int) {
		directory.Each(ModelKey{"s", "m"}, func(*Runner) bool {
			count++
			return true
		})
		return count
	}
	c.Assert(count(), qt.Equals, 0)
	c.Assert(directory.Learn(told).Changed, qt.DeepEquals, []string{"a"})
	c.Assert(count(), qt.Equals, 1)
	directory.Update("a", func(*Runner) bool { return false })
	c.Assert(directory.Len(), qt.Equals, 0)
	directory.Update("a", func(*Runner) bool { return true })
}
