package relay

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"

	"github.com/lotusferry/lotusferry/internal/network/networktest"
	"github.com/lotusferry/lotusferry/internal/pause"
	"github.com/lotusferry/lotusferry/internal/transport"
	"github.com/lotusferry/lotusferry/placement/domainapi"
	"github.com/lotusferry/lotusferry/placement/fleet"
)

// PreviousWatchArguments and PreviousWatchReply have the fields of a release without packed loads that
// the test needs. They are exported for net/rpc.
type PreviousWatchArguments struct {
	Router   string
	Term     uint64
	Revision uint64
	MaxHold  time.Duration
}

type PreviousWatchReply struct {
	domainapi.Reply
	Term        uint64
	Revision    uint64
	Hold        time.Duration
	View        *fleet.EncodedView
	Loads       []fleet.Load
	Routers     int
	Controllers []string
}

// previousLeader is a leader of that release, which sends all loads with each reply.
type previousLeader struct {
	mutex sync.Mutex
	loads []fleet.Load
}

func (l *previousLeader) set(loads []fleet.Load) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.loads = loads
}

// Watch answers after the hold time, or at once to a router without a view.
func (l *previousLeader) Watch(arguments *PreviousWatchArguments, reply *PreviousWatchReply) error {
	if arguments.Revision == 0 {
		view, err := fleet.View{Complete: true, Runners: []fleet.Runner{loadsRunner("a#5"), loadsRunner("b#5")}}.Encode()
		if err != nil {
			return err
		}
		reply.View = &view
	} else {
		pause.For(context.Background(), domainapi.MinHold)
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	reply.Term, reply.Revision, reply.Hold, reply.Routers = 3, 1, domainapi.MinHold, 1
	reply.Controllers, reply.Loads = []string{controllerAddress}, l.loads
	return nil
}

const controllerAddress = "10.0.0.1:7000"

// A leader of the previous release omits empty loads, which mean that no runner is busy. A router that
// took them for "unchanged" would avoid runners for no reason.
func TestRouterFollowsLeaderOfPreviousRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		memory := networktest.NewMemory(0)
		server, err := transport.NewServer(log.NewNopLogger(), transport.Options{Address: controllerAddress, Network: memory})
		c.Assert(err, qt.IsNil)
		leader := &previousLeader{loads: []fleet.Load{{Instance: "a#5", Requests: 12, Reading: 0.5}}}
		c.Assert(server.Register(domainapi.ServiceName, leader), qt.IsNil)
		ctx, cancel := context.WithCancel(t.Context())
		router := New(Options{
			Logger: log.NewNopLogger(), Name: "router", Seeds: func() []string { return []string{controllerAddress} },
			Network: memory, Seed: 1,
		})
		var running sync.WaitGroup
		running.Go(server.Serve)
		running.Go(func() { router.Run(ctx) })
		pause.For(ctx, 2*time.Second)
		c.Check(router.isBusy("a#5", time.Now()), qt.IsTrue)
		c.Check(router.isBusy("b#5", time.Now()), qt.IsFalse)
		leader.set(nil)
		pause.For(ctx, 2*domainapi.MinHold)
		c.Check(router.isBusy("a#5", time.Now()), qt.IsFalse)
		cancel()
		server.Close()
		running.Wait()
	})
}
