package domainnode

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"

	"github.com/lotusferry/lotusferry/agreement/group"
	"github.com/lotusferry/lotusferry/internal/network/networktest"
	"github.com/lotusferry/lotusferry/internal/pause"
	"github.com/lotusferry/lotusferry/placement/fleet"
	"github.com/lotusferry/lotusferry/placement/notice"
	"github.com/lotusferry/lotusferry/placement/residency"
	"github.com/lotusferry/lotusferry/placement/site"
	"github.com/lotusferry/lotusferry/structs"
)

// testDomain is a domain of controllers in virtual time.
type testDomain struct {
	c       *qt.C
	ctx     context.Context
	network *networktest.Memory
	// seeds may change while nodes read them.
	seeds atomic.Pointer[[]string]
	// nodesMutex guards nodes. Only the test itself changes them.
	nodesMutex sync.RWMutex
	nodes      map[int]*runningNode
	base       string
	folders    map[int]string
	engines    *fakeEngines
	// isBootstrapped is set once the group exists.
	isBootstrapped bool
	// suspended is how many nanoseconds each node's clock is ahead due to suspensions.
	suspended [maxTestNodes]atomic.Int64
	// fences enables FencesEnforced.
	fences bool
	// regions maps zones to regions; nodes relay if there are several.
	regions map[string]string
	// hasNoRelays keeps nodes from relaying.
	hasNoRelays bool
	// voters is the number of voters.
	voters int
}

// maxTestNodes bounds the nodes of a test.
const maxTestNodes = 8

type runningNode struct {
	*Node
	end  context.CancelFunc
	done chan struct{}
}

// fakeEngines records and accepts all orders. All runners return the same report.
type fakeEngines struct {
	mutex  sync.Mutex
	orders []sentOrder
	report residency.Report
	// notices maps a runner to the notice in its responses.
	notices map[string]notice.Notice
	// slow takes the orders instead, unless it is nil.
	slow *slowEngines
}

type sentOrder struct {
	holder Holder
	at     time.Time
}

func (e *fakeEngines) Order(ctx context.Context, holder Holder, order residency.Order, mayBegin func() bool) (residency.Outcome, notice.Notice) {
	e.mutex.Lock()
	slow := e.slow
	e.mutex.Unlock()
	if slow != nil {
		return slow.order(ctx, mayBegin), notice.Notice{}
	}
	if !mayBegin() {
		return residency.OutcomeNotSent, notice.Notice{}
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.orders = append(e.orders, sentOrder{holder, time.Now()})
	return residency.OutcomeAccepted, e.notices[order.Instance]
}

func (e *fakeEngines) Report(_ context.Context, runner fleet.Heartbeat) (residency.Report, notice.Notice, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.report, e.notices[runner.Instance], nil
}

func (e *fakeEngines) sent() []sentOrder {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return slices.Clone(e.orders)
}

func decodeTestDocument(source []byte) (*site.Document, error) {
	document := &site.Document{}
	if err := json.Unmarshal(source, document); err != nil {
		return nil, structs.NewError(structs.ErrorInvalid, err.Error(), "Send JSON.")
	}
	return document, nil
}

func machineIP(index int) netip.Addr { return netip.AddrFrom4([4]byte{10, 0, 0, byte(index + 1)}) }

func address(index int) string { return netip.AddrPortFrom(machineIP(index), 7000).String() }

func newTestDomain(t *testing.T) *testDomain {
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Minute)
	d := &testDomain{
		c: c, ctx: ctx, base: c.TempDir(), network: networktest.NewMemory(0),
		nodes: make(map[int]*runningNode), folders: make(map[int]string), engines: &fakeEngines{}, voters: 3,
	}
	d.setSeeds([]string{address(0), address(1), address(2)})
	c.Cleanup(func() {
		for index := range d.nodes {
			d.kill(index)
		}
		cancel()
	})
	return d
}

func (d *testDomain) setSeeds(seeds []string) { d.seeds.Store(&seeds) }

func (d *testDomain) start(indexes ...int) {
	for _, index := range indexes {
		if d.folders[index] == "" {
			d.folders[index] = filepath.Join(d.base, fmt.Sprint(index))
		}
		node, err := New(Options{
			Logger: log.NewNopLogger(), Name: fmt.Sprint("node-", index), Address: address(index),
			Seeds: func() []string { return *d.seeds.Load() }, Bootstrap: !d.isBootstrapped, DataFolder: d.folders[index], Voters: d.voters,
			OrderLease: 3 * time.Second, Decoder: decodeTestDocument, Engines: d.engines, Network: d.network.From(machineIP(index)), Seed: uint64(index) + 1,
			FencesEnforced: d.fences, Zones: []string{"zone-0", "zone-1"}, Zone: "zone-0", Regions: d.regions,
			Now: func() time.Time { return time.Now().Add(time.Duration(d.suspended[index].Load())) },
		})
		d.c.Assert(err, qt.IsNil)
		if d.hasNoRelays {
			node.relay = nil
		}
		ctx, end := context.WithCancel(context.Background())
		running := &runningNode{Node: node, end: end, done: make(chan struct{})}
		go func() {
			defer close(running.done)
			_ = node.Run(ctx)
		}()
		d.nodesMutex.Lock()
		d.nodes[index] = running
		d.nodesMutex.Unlock()
	}
}

// node returns a running node, or nil.
func (d *testDomain) node(index int) *runningNode {
	d.nodesMutex.RLock()
	defer d.nodesMutex.RUnlock()
	return d.nodes[index]
}

// kill stops a node without a planned stop.
func (d *testDomain) kill(index int) {
	d.nodesMutex.Lock()
	running := d.nodes[index]
	delete(d.nodes, index)
	d.nodesMutex.Unlock()
	running.end()
	<-running.done
}

// wipe kills a running node and removes its store.
func (d *testDomain) wipe(index int) {
	if d.nodes[index] != nil {
		d.kill(index)
	}
	d.c.Assert(os.Remove(filepath.Join(d.folders[index], storeFile)), qt.IsNil)
}

func (d *testDomain) await(what string, holds func() bool) {
	for !holds() {
		if !pause.For(d.ctx, 10*time.Millisecond) {
			d.c.Fatalf("timed out waiting for %s", what)
		}
	}
}

func (d *testDomain) status(index int) (group.Status, bool) {
	running := d.node(index)
	if running == nil {
		return group.Status{}, false
	}
	m, err := running.current()
	if err != nil {
		return group.Status{}, false
	}
	return m.group.Status(), true
}

// leader returns the index of the node that leads with a valid lease, or -1.
func (d *testDomain) leader() int {
	for index := range maxTestNodes {
		if status, known := d.status(index); known && status.IsLeader && status.LeaseValid {
			return index
		}
	}
	return -1
}

func (d *testDomain) awaitLeader() int {
	d.await("a leader", func() bool { return d.leader() >= 0 })
	return d.leader()
}

// awaitVoters waits until the group's voters are exactly the given nodes.
func (d *testDomain) awaitVoters(indexes ...int) {
	d.await(fmt.Sprint("voters ", indexes), func() bool {
		leader := d.leader()
		if leader < 0 {
			return false
		}
		status, _ := d.status(leader)
		if len(status.CommittedMembership.Voters) != len(indexes) {
			return false
		}
		for _, index := range indexes {
			own, known := d.status(index)
			if !known || !status.CommittedMembership.HasVoter(own.Node) {
				return false
			}
		}
		return true
	})
}

func (d *testDomain) bootstrap(indexes ...int) {
	d.start(indexes...)
	d.awaitVoters(0, 1, 2)
	d.isBootstrapped = true
}

func source(version int) []byte {
	return fmt.Appendf(nil, `{"Version":%d,"Limits":{"MaxBodyBytes":1}}`, version)
}

// put submits a document to all nodes in turn until one acknowledges it.
func (d *testDomain) put(version int) {
	d.await(fmt.Sprint("the acknowledgement of version ", version), func() bool {
		for _, running := range d.nodes {
			if running.PutDocument(d.ctx, source(version)) == nil {
				return true
			}
		}
		return false
	})
}

// read returns the document from a node, retrying errors.
func (d *testDomain) read(index int) string {
	var found []byte
	d.await("a read", func() bool {
		read, err := d.nodes[index].Document(d.ctx)
		found = read
		return err == nil
	})
	return string(found)
}

func inDomain(t *testing.T, test func(d *testDomain)) {
	t.Helper()
	t.Parallel()
	synctest.Test(t, func(t *testing.T) { test(newTestDomain(t)) })
}

func TestSeedsBootstrapGroupAndOthersJoin(t *testing.T) {
	inDomain(t, func(d *testDomain) {
		d.start(3, 2, 1, 0)
		d.awaitVoters(0, 1, 2)
		d.await("the fourth as a learner", func() bool {
			status, _ := d.status(d.awaitLeader())
			return len(status.CommittedMembership.Learners) == 1
		})
		d.put(4)
		for index := range 4 {
			d.c.Assert(d.read(index), qt.Equals, string(source(4)))
		}
	})
}

func TestPutIgnoresSameOrOlderVersions(t *testing.T) {
	inDomain(t, func(d *testDomain) {
		d.bootstrap(0, 1, 2)
		d.put(5)
		d.put(3)
		other := []byte(`{"Version":5,"Limits":{"MaxBodyBytes":99}}`)
		d.await("the acknowledgement of other content", func() bool { return d.nodes[1].PutDocument(d.ctx, other) == nil })
		d.c.Assert(d.read(2), qt.Equals, string(source(5)))
		err := d.nodes[0].PutDocument(d.ctx, []byte(`{"Version":9,"Routes":[{"Name":"r"}]}`))
		d.c.Assert(structs.KindOf(err), qt.Equals, structs.ErrorInvalid)
		d.c.Assert(d.read(0), qt.Equals, string(source(5)))
	})
}

func TestMinorityRejectsCalls(t *testing.T) {
	inDomain(t, func(d *testDomain) {
		d.bootstrap(0, 1, 2)
		d.put(1)
		d.kill(1)
		d.kill(2)
		pause.For(d.ctx, 5*time.Second)
		_, err := d.nodes[0].Document(d.ctx)
		d.c.Assert(structs.KindOf(err), qt.Equals, structs.ErrorUnavailable)
		d.c.Assert(d.nodes[0].PutDocument(d.ctx, source(2)), qt.IsNotNil)
		d.c.Assert(d.nodes[0].Heartbeat(d.ctx, fleet.Heartbeat{Instance: "r", Leaving: true}), qt.IsNotNil)
		d.c.Assert(d.nodes[0].Depart(d.ctx, "r", 0), qt.IsNotNil)
	})
}

func TestStandbyTakesThePlaceOfALostVoterAndTheLostOneJoinsAnew(t *testing.T) {
	inDomain(t, func(d *testDomain) {
		d.bootstrap(0, 1, 2, 3)
		d.put(1)
		d.kill(0)
		d.awaitVoters(1, 2, 3)
		d.put(2)
		before := d.folders[0]
		d.start(0)
		d.await("the former voter as a learner", func() bool {
			own, known := d.status(0)
			leader, _ := d.status(d.awaitLeader())
			return known && leader.CommittedMembership.HasLearner(own.Node)
		})
		d.c.Assert(d.folders[0], qt.Equals, before)
		d.c.Assert(d.read(0), qt.Equals, string(source(2)))
	})
}

func TestSuccessiveDiskLossesKeepDocument(t *testing.T) {
	inDomain(t, func(d *testDomain) {
		d.bootstrap(0, 1, 2)
		for round := 1; round <= 6; round++ {
			d.put(round)
			victim := round % 3
			d.wipe(victim)
			pause.For(d.ctx, time.Second)
			d.start(victim)
			d.awaitVoters(0, 1, 2)
		}
		d.c.Assert(d.read(0), qt.Equals, string(source(6)))
	})
}

// One disk is lost right after an acknowledgement, and all other nodes restart.
func TestDiskLossAndFullRestartKeepDocument(t *testing.T) {
	inDomain(t, func(d *testDomain) {
		d.bootstrap(0, 1, 2)
		for round := 1; round <= 6; round++ {
			d.put(round)
			victim := d.leader()
			if round%2 == 0 || victim < 0 {
				victim = round % 3
			}
			d.wipe(victim)
			for index := range 3 {
				if d.nodes[index] != nil {
					d.kill(index)
				}
			}
			d.start(0, 1, 2)
			d.awaitVoters(0, 1, 2)
			d.c.Assert(d.read(victim), qt.Equals, string(source(round)))
		}
	})
}

// A member that missed a commit and one that lost its disk must not elect a leader.
func TestStaleMemberAndEmptyDiskFormNoQuorum(t *testing.T) {
	inDomain(t, func(d *testDomain) {
		d.bootstrap(0, 1, 2)
		d.put(1)
		d.kill(2)
		d.put(2)
		d.wipe(0)
		d.kill(1)
		d.start(2, 0)
		pause.For(d.ctx, 10*time.Second)
		d.c.Assert(d.leader(), qt.Equals, -1)
		d.start(1)
		d.awaitVoters(0, 1, 2)
		d.c.Assert(d.read(2), qt.Equals, string(source(2)))
	})
}

func TestLostControllerIsReplacedByEmptyOne(t *testing.T) {
	inDomain(t, func(d *testDomain) {
		d.bootstrap(0, 1, 2)
		d.put(1)
		for next := 3; next < 6; next++ {
			d.kill(next - 3)
			// A new node is configured with running controllers.
			d.setSeeds([]string{address(next - 2), address(next - 1)})
			d.start(next)
			d.awaitVoters(next-2, next-1, next)
		}
		d.put(2)
		d.c.Assert(d.read(5), qt.Equals, string(source(2)))
	})
}

func TestEmptyDisksCreateNoSecondGroup(t *testing.T) {
	inDomain(t, func(d *testDomain) {
		d.bootstrap(0, 1, 2)
		d.put(1)
		d.wipe(0)
		d.kill(1)
		d.kill(2)
		d.start(0)
		pause.For(d.ctx, 10*time.Second)
		status, known := d.status(0)
		d.c.Assert(known, qt.IsTrue)
		d.c.Assert(status.Held, qt.IsTrue)
		d.start(1, 2)
		d.awaitVoters(0, 1, 2)
		d.c.Assert(d.read(0), qt.Equals, string(source(1)))
	})
}

func TestDepartureSurvivesLeaderChange(t *testing.T) {
	inDomain(t, func(d *testDomain) {
		d.bootstrap(0, 1, 2)
		leader := d.awaitLeader()
		d.await("the departure", func() bool { return d.nodes[leader].Depart(d.ctx, "r", 0) == nil })
		d.kill(leader)
		next := d.awaitLeader()
		d.await("a late heartbeat", func() bool {
			return d.nodes[next].Heartbeat(d.ctx, fleet.Heartbeat{Instance: "r", Address: "10.9.9.9:1", Sequence: 9}) == nil
		})
		m, err := d.nodes[next].current()
		d.c.Assert(err, qt.IsNil)
		m.currentLeadership().mutex.Lock()
		defer m.currentLeadership().mutex.Unlock()
		d.c.Assert(m.currentLeadership().registry.Runners(time.Now()), qt.HasLen, 0)
	})
}

func TestNewLeaderKnowsTheRunners(t *testing.T) {
	inDomain(t, func(d *testDomain) {
		d.bootstrap(0, 1, 2)
		leader := d.awaitLeader()
		heartbeat := fleet.Heartbeat{Instance: "r", Service: "s", Address: "10.9.9.9:1", Slots: 4, Sequence: 1}
		d.await("a heartbeat", func() bool { return d.nodes[leader].Heartbeat(d.ctx, heartbeat) == nil })
		pause.For(d.ctx, time.Second)
		d.kill(leader)
		next := d.awaitLeader()
		m, err := d.nodes[next].current()
		d.c.Assert(err, qt.IsNil)
		d.await("the leadership", func() bool { return m.currentLeadership() != nil })
		m.currentLeadership().mutex.Lock()
		defer m.currentLeadership().mutex.Unlock()
		runners := m.currentLeadership().registry.Runners(time.Now())
		d.c.Assert(runners, qt.HasLen, 1)
		d.c.Assert(runners[0].Recalled, qt.IsTrue)
	})
}

func TestOrdersOfSuccessiveLeadersAreOneLeaseApart(t *testing.T) {
	inDomain(t, func(d *testDomain) {
		d.bootstrap(0, 1, 2)
		document := []byte(`{"Version":3,"Services":[{"Name":"s","Engine":{"WeightsMB":1000,"MaxAdapters":8,"LoadsPerSecond":9,` +
			`"Models":[{"Name":"m","SizeMB":1,"Adapters":50}]}}]}`)
		d.await("the document", func() bool { return d.nodes[0].PutDocument(d.ctx, document) == nil })
		work := func(seconds int) {
			for step := range seconds * 5 {
				leader := d.awaitLeader()
				m, err := d.nodes[leader].current()
				if err == nil {
					if current := m.currentLeadership(); current != nil {
						current.receiveHeartbeat(fleet.Heartbeat{
							Instance: "r", Service: "s", Address: "10.9.9.9:1", Sequence: uint64(time.Now().UnixMilli()),
							Models: []fleet.LoadedModel{{Name: "m"}},
						})
						current.mutex.Lock()
						row := residency.Row{Service: "s", Model: "m", Adapter: fmt.Sprint("a", step)}
						current.planner.Observe(time.Now(), "router", []residency.Demand{{Row: row, Waiting: 1, Arrived: 1}})
						current.mutex.Unlock()
						current.wakePlan()
					}
				}
				pause.For(d.ctx, 200*time.Millisecond)
			}
		}
		for range 3 {
			work(8)
			leader := d.awaitLeader()
			d.kill(leader)
			d.awaitLeader()
			d.start(leader)
		}
		orders := d.engines.sent()
		d.c.Assert(len(orders) > 20, qt.IsTrue, qt.Commentf("%d orders", len(orders)))
		holders := make(map[Holder]bool)
		for i, order := range orders {
			holders[order.holder] = true
			if i > 0 && orders[i-1].holder != order.holder {
				d.c.Assert(order.holder.Token > orders[i-1].holder.Token, qt.IsTrue)
				d.c.Assert(order.at.Sub(orders[i-1].at) >= 3*time.Second, qt.IsTrue)
			}
		}
		d.c.Assert(len(holders) >= 3, qt.IsTrue)
	})
}
