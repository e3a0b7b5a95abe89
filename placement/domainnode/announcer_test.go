package domainnode

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/internal/pause"
	"github.com/lotusferry/lotusferry/placement/domainapi"
	"github.com/lotusferry/lotusferry/placement/fleet"
	"github.com/lotusferry/lotusferry/placement/residency"
	"github.com/lotusferry/lotusferry/structs"
)

func TestAnnouncementsAreRateLimitedByRouterCount(t *testing.T) {
	c := qt.New(t)
	a := newAnnouncer()
	start := time.Unix(1000, 0)
	c.Assert(a.announceIfDue(start, stateVersions{view: 1, document: 5}, 300), qt.Equals, time.Duration(0), qt.Commentf("the first announcement is immediate"))
	c.Assert(a.announceIfDue(start.Add(100*time.Millisecond), stateVersions{view: 2, document: 5}, 300), qt.Equals, 200*time.Millisecond)
	c.Assert(a.announced, qt.Equals, stateVersions{view: 1, document: 5})
	c.Assert(a.announceIfDue(start.Add(200*time.Millisecond), stateVersions{view: 2, document: 6}, 300), qt.Equals, 100*time.Millisecond, qt.Commentf("documents are rate-limited as well"))
	c.Assert(a.announceIfDue(start.Add(300*time.Millisecond), stateVersions{view: 3, document: 7}, 300), qt.Equals, time.Duration(0))
	c.Assert(a.announced, qt.Equals, stateVersions{view: 3, document: 7})
	c.Assert(a.announceIfDue(start.Add(400*time.Millisecond), stateVersions{view: 3, document: 7}, 300), qt.Equals, time.Duration(0), qt.Commentf("no change"))
	a.announce(start.Add(410*time.Millisecond), stateVersions{view: 4, document: 7})
	c.Assert(a.announced, qt.Equals, stateVersions{view: 4, document: 7}, qt.Commentf("departures are not rate-limited"))
}

func TestNotifySignalsOneRouter(t *testing.T) {
	c := qt.New(t)
	a := newAnnouncer()
	a.notify("one")
	a.notify("one")
	c.Assert(a.notification("one"), qt.HasLen, 1)
	c.Assert(a.notification("other"), qt.HasLen, 0)
}

// The announcement interval for hundreds of routers must not delay a router with a request
// waiting for an adapter.
func TestWaitingRouterLearnsOfAdapterQuickly(t *testing.T) {
	inDomain(t, func(d *testDomain) {
		held := []fleet.LoadedModel{{Name: "m"}}
		d.engines.report = residency.Report{Models: held}
		d.bootstrap(0, 1, 2)
		document := []byte(`{"Version":3,"Services":[{"Name":"s","Engine":{"WeightsMB":1000,"MaxAdapters":8,"LoadsPerSecond":9,` +
			`"Models":[{"Name":"m","SizeMB":1,"Adapters":50}]}}]}`)
		d.await("the document", func() bool { return d.nodes[0].PutDocument(d.ctx, document) == nil })
		leading := d.nodes[d.awaitLeader()]
		heartbeat := fleet.Heartbeat{Instance: "r", Service: "s", Address: "10.9.9.9:1", Sequence: 1, Models: held}
		d.await("a heartbeat", func() bool { return leading.Heartbeat(d.ctx, heartbeat) == nil })
		pause.For(d.ctx, 5*time.Second)
		m, err := leading.current()
		d.c.Assert(err, qt.IsNil)
		for i := range 300 {
			m.currentLeadership().recordContact(fmt.Sprint("router-", i), 1, domainapi.MaxHold)
		}
		for adapter := range 8 {
			took := d.adapterLatency(leading, fmt.Sprint("a", adapter))
			d.c.Assert(took < 200*time.Millisecond, qt.IsTrue, qt.Commentf("adapter %d: %v", adapter, took))
			pause.For(d.ctx, 137*time.Millisecond)
		}
	})
}

// adapterLatency returns the time from a router's report of a waiting request until its view
// lists a runner with the adapter.
func (d *testDomain) adapterLatency(leading *runningNode, adapter string) time.Duration {
	calls := &service{node: leading.Node}
	row := residency.Row{Service: "s", Model: "m", Adapter: adapter}
	began := time.Now()
	go func() {
		demand := residency.Demand{Row: row, Waiting: 1, Arrived: 1}
		_ = calls.Demand(&domainapi.DemandArguments{Router: "router-0", Demands: []residency.Demand{demand}}, &domainapi.DemandReply{})
	}()
	known := domainapi.WatchArguments{Router: "router-0", Version: 3}
	for time.Since(began) < 10*time.Second {
		var reply domainapi.WatchReply
		d.c.Assert(calls.Watch(&known, &reply), qt.IsNil)
		d.c.Assert(structs.AsError(reply.Error), qt.IsNil)
		known.Term, known.Revision = reply.Term, reply.Revision
		if reply.View == nil {
			continue
		}
		view, err := reply.View.Decode()
		d.c.Assert(err, qt.IsNil)
		for _, runner := range view.Runners {
			if len(runner.Models) > 0 && slices.Contains(runner.Models[0].Adapters, adapter) {
				return time.Since(began)
			}
		}
	}
	return time.Since(began)
}
