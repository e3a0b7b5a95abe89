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

// Merge is the reference implementation of Directory.ApplyView. It returns the view that a router knows
// after applying a newer one.
func Merge(known, update View) View {
	if update.Partial {
		return mergePartial(known, update)
	}
	update.Runners = slices.Clone(update.Runners)
	keepRecalled(known.Runners, update.Runners)
	if update.Complete {
		return update
	}
	merged := View{Runners: slices.Clone(update.Runners), Gone: update.Gone}
	replaced := newReplaced(update.Runners, update.Gone)
	for _, runner := range known.Runners {
		if !replaced.contains(&runner) {
			runner.Unconfirmed = true
			merged.Runners = append(merged.Runners, runner)
		}
	}
	return merged
}

// replaced holds the keys of the runners that a later view replaces.
type replaced struct {
	instances map[string]bool
	addresses map[string]bool
	// incarnations maps a runner ID to the incarnation that the later view lists.
	incarnations map[string]string
}

// newReplaced returns the keys of the listed runners and the ended instances.
func newReplaced(runners []Runner, ended ...[]string) replaced {
	r := replaced{
		instances:    make(map[string]bool, len(runners)),
		addresses:    make(map[string]bool, len(runners)),
		incarnations: make(map[string]string),
	}
	for i := range runners {
		r.instances[runners[i].Instance] = true
		r.addresses[runners[i].Address] = true
		r.incarnations[IDOf(runners[i].Instance)] = runners[i].Instance
	}
	for _, names := range ended {
		for _, instance := range names {
			r.instances[instance] = true
		}
	}
	delete(r.addresses, "")
	return r
}

// contains reports whether the later view lists or ends the instance, or lists another one at its
// address or another incarnation of it.
func (r *replaced) contains(runner *Runner) bool {
	if r.instances[runner.Instance] || r.addresses[runner.Address] {
		return true
	}
	return r.incarnations[IDOf(runner.Instance)] != ""
}

// mergePartial applies a partial view. A complete one removes what its leader never listed.
func mergePartial(known, changes View) View {
	merged := View{Complete: changes.Complete, Gone: changes.Gone, Runners: slices.Clone(changes.Runners)}
	keepRecalled(known.Runners, merged.Runners)
	replaced := newReplaced(changes.Runners, changes.Removed, changes.Gone)
	for _, runner := range known.Runners {
		if replaced.contains(&runner) || changes.Complete && runner.Unconfirmed {
			continue
		}
		merged.Runners = append(merged.Runners, runner)
	}
	return merged
}

// keepRecalled copies known state to runners that the leader has not heard from yet.
func keepRecalled(known, update []Runner) {
	for i := range update {
		for _, former := range known {
			if !update[i].Recalled || former.Instance != update[i].Instance {
				continue
			}
			update[i].Cold = update[i].Cold || former.Cold
			if len(update[i].Models) == 0 {
				update[i].Models = former.Models
			}
		}
	}
}

// view returns all runners of the directory, sorted by instance.
func (d *Directory) view() View {
	var view View
	for _, instance := range slices.Sorted(slices.Values(d.Instances())) {
		view.Runners = append(view.Runners, *d.Runner(instance))
	}
	return view
}

// randomRunner draws from few IDs, start times and addresses, so that they collide.
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

// randomView lists each address and each runner ID at most once, as a leader does.
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

// Compares a Directory with the reference implementation over random views: its runners, model
// index and reported changes.
func TestDirectoryMatchesReferenceMerge(t *testing.T) {
	for seed := range uint64(200) {
		c := qt.New(t)
		random := rand.New(rand.NewPCG(seed, 3))
		directory := NewDirectory()
		want := View{}
		for range 60 {
			before := directory.view()
			next := randomView(random)
			want = Merge(want, next)
			changes := directory.ApplyView(next)
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

func TestUpdateHoldsUntilNextViewOfRunner(t *testing.T) {
	c := qt.New(t)
	directory := NewDirectory()
	view := View{Complete: true, Runners: []Runner{{Instance: "a", Service: "s", Models: []LoadedModel{{Name: "m"}}}}}
	directory.ApplyView(view)
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
	c.Assert(directory.ApplyView(view).Changed, qt.DeepEquals, []string{"a"})
	c.Assert(count(), qt.Equals, 1)
	directory.Update("a", func(*Runner) bool { return false })
	c.Assert(directory.Len(), qt.Equals, 0)
	directory.Update("a", func(*Runner) bool { return true })
}
