package fleet

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func sortedRunners(view View) []Runner {
	return slices.SortedFunc(slices.Values(view.Runners), func(a, b Runner) int { return strings.Compare(a.Instance, b.Instance) })
}

// Guards against routers that fetch changes at different times ending up with different views.
func TestPartialViewsAddUpToFullView(t *testing.T) {
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
			router := random.IntN(len(known))
			known[router] = Merge(known[router], publisher.Since(revisions[router]))
			revisions[router] = publisher.Revision()
		}
		for router := range known {
			known[router] = Merge(known[router], publisher.Since(revisions[router]))
			qt.Assert(t, slices.EqualFunc(sortedRunners(known[router]), sortedRunners(current), Runner.Equal), qt.IsTrue,
				qt.Commentf("seed %d router %d", seed, router))
		}
	}
}

func TestSinceReturnsOnlyChanges(t *testing.T) {
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

// Guards against routers dropping runners that a new leader has not heard from yet, before it is
// complete.
func TestCompleteViewRemovesUnconfirmedRunners(t *testing.T) {
	c := qt.New(t)
	known := View{Complete: true, Runners: []Runner{{Instance: "old", Address: "1"}, {Instance: "leaving", Address: "2"}, {Instance: "heard", Address: "3"}}}
	leader := NewPublisher()
	leader.Publish(View{Runners: []Runner{{Instance: "new", Address: "4"}}})
	names := func() []string {
		var listed []string
		for _, runner := range sortedRunners(known) {
			listed = append(listed, runner.Instance)
		}
		return listed
	}
	follow := func(view View) {
		revision := leader.Revision()
		leader.Publish(view)
		changes := leader.Since(revision)
		c.Assert(changes.Partial, qt.IsTrue)
		known = Merge(known, changes)
	}
	known = Merge(known, leader.Since(0))
	c.Assert(names(), qt.DeepEquals, []string{"heard", "leaving", "new", "old"})
	follow(View{Gone: []string{"leaving"}, Runners: []Runner{{Instance: "heard", Address: "3"}, {Instance: "new", Address: "4"}}})
	c.Assert(names(), qt.DeepEquals, []string{"heard", "new", "old"})
	follow(View{Complete: true, Gone: []string{"leaving"}, Runners: []Runner{{Instance: "heard", Address: "3"}, {Instance: "new", Address: "4"}}})
	c.Assert(names(), qt.DeepEquals, []string{"heard", "new"})
}

func TestViewIsEncodedOncePerRevision(t *testing.T) {
	c := qt.New(t)
	publisher := NewPublisher()
	view := View{Complete: true}
	for i := range 500 {
		view.Runners = append(view.Runners, Runner{Instance: fmt.Sprintf("r%03d", i), Models: []LoadedModel{{Name: "m"}}})
	}
	publisher.Publish(view)
	first, err := publisher.EncodedSince(0)
	c.Assert(err, qt.IsNil)
	c.Assert(first.IsPacked, qt.IsTrue)
	second, err := publisher.EncodedSince(0)
	c.Assert(err, qt.IsNil)
	c.Assert(&first.Bytes[0], qt.Equals, &second.Bytes[0])
	decoded, err := first.Decode()
	c.Assert(err, qt.IsNil)
	c.Assert(decoded.Equal(view), qt.IsTrue)
	view.Runners = view.Runners[1:]
	known := publisher.Revision()
	publisher.Publish(view)
	changes, err := publisher.EncodedSince(known)
	c.Assert(err, qt.IsNil)
	c.Assert(changes.IsPacked, qt.IsFalse)
	decoded, err = changes.Decode()
	c.Assert(err, qt.IsNil)
	c.Assert(decoded.Removed, qt.DeepEquals, []string{"r000"})
	_, err = EncodedView{IsPacked: true, Bytes: []byte("torn")}.Decode()
	c.Assert(err, qt.IsNotNil)
}

// Guards against a cached full view that lists a runner again after its reader has seen it leave.
func TestFullViewIsNoOlderThanKnownRevision(t *testing.T) {
	c := qt.New(t)
	publisher := NewPublisher()
	view := newView(2000)
	publisher.Publish(view)
	_, first, err := publisher.Whole(start, 0)
	c.Assert(err, qt.IsNil)
	view.Runners = slices.Clone(view.Runners[1:])
	publisher.Publish(view)
	_, kept, err := publisher.Whole(start.Add(time.Second), first)
	c.Assert(err, qt.IsNil)
	c.Assert(kept, qt.Equals, first)
	_, fresh, err := publisher.Whole(start.Add(time.Second), publisher.Revision())
	c.Assert(err, qt.IsNil)
	c.Assert(fresh, qt.Equals, publisher.Revision())
}

func TestIsListedFindsIncarnationsByID(t *testing.T) {
	c := qt.New(t)
	publisher := NewPublisher()
	publisher.Publish(View{Runners: []Runner{{Instance: "a"}, {Instance: "a!b"}, {Instance: "b#7"}, {Instance: "bc#1"}, {Instance: "d0"}}})
	for id, want := range map[string]bool{"a": true, "a!b": true, "b": true, "bc": true, "d0": true, "": false, "c": false, "d": false, "a!": false, "z": false} {
		c.Assert(publisher.isListed(id), qt.Equals, want, qt.Commentf("%q", id))
	}
}

// Guards against results of Since that read memory reused for a later view.
func TestSpareMemoryDoesNotChangeViews(t *testing.T) {
	for seed := range uint64(50) {
		c := qt.New(t)
		random := rand.New(rand.NewPCG(seed, 5))
		inSpare, fresh := NewPublisher(), NewPublisher()
		listed := make(map[string]int)
		for range 60 {
			for range random.IntN(3) {
				name := fmt.Sprint("i-", random.IntN(12))
				if listed[name] > 0 && random.IntN(3) == 0 {
					delete(listed, name)
				} else {
					listed[name] = 1 + random.IntN(4)
				}
			}
			fill := func(runners []Runner) View {
				for _, name := range slices.Sorted(maps.Keys(listed)) {
					runners = append(runners, Runner{Instance: name, Address: name, Slots: listed[name]})
				}
				return View{Complete: true, Runners: runners}
			}
			c.Assert(inSpare.Publish(fill(inSpare.Spare())), qt.Equals, fresh.Publish(fill(nil)))
			c.Assert(inSpare.Revision(), qt.Equals, fresh.Revision())
			known := uint64(random.IntN(int(fresh.Revision()) + 1))
			got, want := inSpare.Since(known), fresh.Since(known)
			c.Assert(got.Equal(want) && slices.Equal(got.Removed, want.Removed), qt.IsTrue, qt.Commentf("since %d", known))
		}
	}
}
