package mirror

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/placement/domainapi"
	"github.com/lotusferry/lotusferry/placement/fleet"
)

var testLoads = []fleet.Load{{Instance: "a", Requests: 3}, {Instance: "b", Requests: 5}}

// syncLoads lets the mirror ask the leader, whose answer has loads or says that the known ones hold.
func (l *testLeader) syncLoads(loads []fleet.Load, isKept bool) {
	l.c.Helper()
	question := l.mirror.Question(l.at)
	reply := l.reply(question)
	reply.State.KeepsLoads = isKept
	if !isKept {
		reply.State.PackedLoads = fleet.PackLoads(loads)
	}
	l.c.Assert(l.mirror.Adopt(l.at, l.at, l.at, &question, reply), qt.IsNil)
}

// counted returns the arguments of a router that the leader counts.
func (l *testLeader) counted(arguments domainapi.WatchArguments) domainapi.WatchArguments {
	l.c.Helper()
	l.mirror.Observe(l.at, &arguments, testHold)
	if report, isDue := l.mirror.Report(l.at); isDue {
		l.mirror.AdoptReport(l.at, &report, l.reply(report))
	}
	return arguments
}

// Guards against routers that take kept loads for the end of all load, or for later than they are.
func TestLoadsArePassedOnInTheFormThatARouterTakes(t *testing.T) {
	l := newTestLeader(t)
	l.syncLoads(testLoads, false)
	former := l.counted(domainapi.WatchArguments{Router: "former"})
	packed := l.counted(domainapi.WatchArguments{Router: "packed", TakesPackedLoads: true})
	l.pass(100 * time.Millisecond)
	l.syncLoads(nil, true)
	l.pass(50 * time.Millisecond)

	reply := l.answer(former, l.at)
	l.c.Assert(reply.Loads, qt.DeepEquals, testLoads, qt.Commentf("a router of the previous release"))
	l.c.Assert(reply.KeepsLoads, qt.IsFalse)
	l.c.Assert(reply.LoadsAge, qt.Equals, 150*time.Millisecond)

	reply = l.answer(packed, l.at)
	loads, err := fleet.UnpackLoads(reply.PackedLoads)
	l.c.Assert(err, qt.IsNil)
	l.c.Assert(loads, qt.DeepEquals, testLoads)
	l.c.Assert(reply.Loads, qt.HasLen, 0)

	packed.Term, packed.LoadsAge = l.term, domainapi.MinLoadsInterval-time.Millisecond
	reply = l.answer(packed, l.at)
	l.c.Assert(reply.KeepsLoads, qt.IsTrue)
	l.c.Assert(reply.PackedLoads, qt.HasLen, 0)
}

// Guards against loads of a former leader that count as those of the present one.
func TestLoadsEndWithTheTerm(t *testing.T) {
	l := newTestLeader(t)
	l.syncLoads(testLoads, false)
	l.c.Assert(l.mirror.Question(l.at).LoadsAge, qt.Equals, time.Duration(1))
	l.term++
	l.sync()
	l.syncLoads(testLoads[:1], false)
	arguments := l.counted(domainapi.WatchArguments{Router: "r"})
	l.c.Assert(l.answer(arguments, l.at).Loads, qt.DeepEquals, testLoads[:1])
}

// Guards against a list of controllers in each reply, which is larger than the rest of most of them.
func TestControllersAreSentOnlyWhenTheyDiffer(t *testing.T) {
	l := newTestLeader(t)
	question := l.mirror.Question(l.at)
	reply := l.reply(question)
	reply.State.Controllers = []string{"10.0.0.1:1", "10.0.0.2:1"}
	l.c.Assert(l.mirror.Adopt(l.at, l.at, l.at, &question, reply), qt.IsNil)
	arguments := l.counted(domainapi.WatchArguments{Router: "r"})
	l.c.Assert(l.answer(arguments, l.at).Controllers, qt.HasLen, 2)
	arguments.Controllers = domainapi.HashAddresses(reply.State.Controllers)
	l.c.Assert(l.answer(arguments, l.at).Controllers, qt.HasLen, 0)
}
