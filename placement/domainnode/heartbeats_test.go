package domainnode

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"github.com/lotusferry/lotusferry/internal/pause"
	"github.com/lotusferry/lotusferry/placement/fleet"
)

// fakeLeader records the batch sizes sent to the leader.
type fakeLeader struct {
	mutex sync.Mutex
	sizes []int
	err   error
	took  time.Duration
}

func (r *fakeLeader) send(ctx context.Context, heartbeats []fleet.Heartbeat) error {
	select {
	case <-time.After(r.took):
	case <-ctx.Done():
		return ctx.Err()
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.sizes = append(r.sizes, len(heartbeats))
	return r.err
}

func runForwarder(t *testing.T, leader *fakeLeader) *forwarder {
	f := newForwarder(leader.send)
	go f.run(t.Context())
	return f
}

func forwardMany(f *forwarder, count int) []error {
	outcomes := make([]error, count)
	var sending sync.WaitGroup
	for i := range count {
		sending.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
			defer cancel()
			outcomes[i] = f.forward(ctx, fleet.Heartbeat{Sequence: uint64(i)})
		})
		synctest.Wait()
	}
	sending.Wait()
	return outcomes
}

func TestHeartbeatsThatComeTogetherShareACall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		leader := &fakeLeader{took: 5 * time.Millisecond}
		f := runForwarder(t, leader)
		began := time.Now()
		for _, err := range forwardMany(f, maxBatch+50) {
			c.Assert(err, qt.IsNil)
		}
		c.Assert(leader.sizes, qt.DeepEquals, []int{1, maxBatch, 49})
		c.Assert(time.Since(began) < 100*time.Millisecond, qt.IsTrue)
	})
}

func TestFailedBatchFailsEveryHeartbeat(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		leader := &fakeLeader{err: errors.New("no leader")}
		f := runForwarder(t, leader)
		for _, err := range forwardMany(f, 10) {
			c.Assert(err, qt.ErrorMatches, "no leader")
		}
	})
}

func TestHungLeaderTimesOutHeartbeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		leader := &fakeLeader{took: time.Hour}
		f := runForwarder(t, leader)
		began := time.Now()
		for _, err := range forwardMany(f, 10) {
			c.Assert(err, qt.IsNotNil)
		}
		c.Assert(time.Since(began) <= callerTimeout, qt.IsTrue)
		leader.took = 0
		for _, err := range forwardMany(f, 1) {
			c.Assert(err, qt.IsNil, qt.Commentf("later heartbeats succeed"))
		}
	})
}

// forwardUnchanged forwards heartbeats of many runners that change only their sequence numbers.
func forwardUnchanged(f *forwarder, sequence uint64, count int) {
	for i := range count {
		go func() {
			heartbeat := fleet.Heartbeat{Instance: fmt.Sprint("r", i), Sequence: sequence, Models: []fleet.LoadedModel{{Name: "m"}}}
			_ = f.forward(context.Background(), heartbeat)
		}()
	}
}

// Many unchanged heartbeats share few calls, while one with a change is forwarded without delay.
func TestUnchangedHeartbeatsAreBatched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		leader := &fakeLeader{took: time.Millisecond}
		f := runForwarder(t, leader)
		forwardUnchanged(f, 1, 100)
		pause.For(t.Context(), time.Second)
		calls := func() int {
			leader.mutex.Lock()
			defer leader.mutex.Unlock()
			return len(leader.sizes)
		}
		before := calls()
		for step := range uint64(100) {
			forwardUnchanged(f, 2+step, 10)
			pause.For(t.Context(), 10*time.Millisecond)
		}
		c.Assert(calls()-before <= 6, qt.IsTrue, qt.Commentf("%d calls", calls()-before))
		for range 5 {
			forwardUnchanged(f, 200, 10)
			pause.For(t.Context(), 70*time.Millisecond)
			began := time.Now()
			c.Assert(f.forward(t.Context(), fleet.Heartbeat{Instance: "r1", Sequence: 300, Models: []fleet.LoadedModel{{Name: "other"}}}), qt.IsNil)
			c.Assert(time.Since(began) <= batchInterval+2*leader.took, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
			c.Assert(f.forward(t.Context(), fleet.Heartbeat{Instance: "r1", Sequence: 301, Models: []fleet.LoadedModel{{Name: "m"}}}), qt.IsNil)
		}
	})
}
