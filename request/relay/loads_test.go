package relay

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"

	"github.com/lotusferry/lotusferry/placement/domainapi"
	"github.com/lotusferry/lotusferry/placement/fleet"
)

func newLoadsRouter() *Router {
	r := New(Options{Logger: log.NewNopLogger(), Name: "router", Seed: 1})
	r.adoptView(fleet.View{Complete: true, Runners: []fleet.Runner{loadsRunner("a#5"), loadsRunner("b#5")}})
	return r
}

func loadsRunner(instance string) fleet.Runner {
	return fleet.Runner{
		Instance: instance, Service: "s", Address: "10.0.0." + instance[:1] + ":1", Slots: 12,
		Models: []fleet.LoadedModel{{Name: "m"}},
	}
}

// A router must get the same loads from leaders of both releases.
func TestLoadsAreAdoptedInBothForms(t *testing.T) {
	loads := []fleet.Load{{Instance: "a#5", Requests: 12, Reading: 0.5}, {Instance: "unlisted#5", Requests: 12}}
	for _, test := range []struct {
		name  string
		reply domainapi.WatchReply
	}{
		{"previous release", domainapi.WatchReply{Loads: loads}},
		{"packed", domainapi.WatchReply{PackedLoads: fleet.PackLoads(loads)}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			r := newLoadsRouter()
			r.adoptLoads(&test.reply)
			c.Assert(r.isBusy("a#5", time.Now()), qt.IsTrue)
			c.Assert(r.isBusy("b#5", time.Now()), qt.IsFalse)
			c.Assert(r.loads.listed["a#5"].Reading, qt.Equals, 0.5)
			// A leader of the previous release sends no loads when no runner is busy.
			none := domainapi.WatchReply{}
			if test.reply.PackedLoads != nil {
				none.PackedLoads = fleet.PackLoads(nil)
			}
			r.adoptLoads(&none)
			c.Assert(r.isBusy("a#5", time.Now()), qt.IsFalse)
		})
	}
}

// A reply that keeps the loads must neither clear nor renew them, and must tell those of runners
// that were listed since: without loads a new runner looks idle.
func TestKeptLoadsHoldForNewRunnersToo(t *testing.T) {
	c := qt.New(t)
	r := newLoadsRouter()
	c.Assert(r.loadsAge(r.now()), qt.Equals, time.Duration(0))
	r.adoptLoads(&domainapi.WatchReply{KeepsLoads: true})
	c.Assert(r.loadsAge(r.now()), qt.Equals, time.Duration(0))
	r.adoptLoads(&domainapi.WatchReply{PackedLoads: fleet.PackLoads([]fleet.Load{
		{Instance: "a#5", Requests: 12}, {Instance: "c#5", Requests: 12},
	})})
	received, observed := r.loads.receivedAt, r.loads.observedAt
	r.adoptView(fleet.View{Complete: true, Runners: []fleet.Runner{loadsRunner("a#5"), loadsRunner("b#5"), loadsRunner("c#5")}})
	c.Assert(r.isBusy("c#5", time.Now()), qt.IsFalse)
	r.adoptLoads(&domainapi.WatchReply{KeepsLoads: true})
	c.Assert(r.isBusy("c#5", time.Now()), qt.IsTrue)
	c.Assert(r.isBusy("a#5", time.Now()), qt.IsTrue)
	c.Assert(r.balancer.IsCrowded(observed.Add(loadTTL), "a#5"), qt.IsFalse)
	c.Assert(r.loads.receivedAt, qt.Equals, received)
	// A runner that was removed and listed again has lost its load in the balancer.
	r.adoptView(fleet.View{Complete: true, Runners: []fleet.Runner{loadsRunner("a#5"), loadsRunner("b#5")}})
	r.adoptView(fleet.View{Complete: true, Runners: []fleet.Runner{loadsRunner("a#5"), loadsRunner("b#5"), loadsRunner("c#5")}})
	r.adoptLoads(&domainapi.WatchReply{KeepsLoads: true})
	c.Assert(r.isBusy("c#5", time.Now()), qt.IsTrue)
}

// Malformed loads must not clear those that the router has.
func TestMalformedLoadsAreIgnored(t *testing.T) {
	c := qt.New(t)
	r := newLoadsRouter()
	r.adoptLoads(&domainapi.WatchReply{PackedLoads: fleet.PackLoads([]fleet.Load{{Instance: "a#5", Requests: 12}})})
	r.adoptLoads(&domainapi.WatchReply{PackedLoads: []byte{99}})
	c.Assert(r.isBusy("a#5", time.Now()), qt.IsTrue)
}
