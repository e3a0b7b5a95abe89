package domainnode

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"github.com/lotusferry/lotusferry/placement/fleet"
)

// recordedCalls stands in for the leader.
type recordedCalls struct {
	mutex sync.Mutex
	sizes []int
	err   error
	took  time.Duration
}

func (r *recordedCalls) send(ctx context.Context, heartbeats []fleet.Heartbeat) error {
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

func runForwarder(t *testing.T, leader *recordedCalls) *forwarder {
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
		leader := &recordedCalls{took: 5 * time.Millisecond}
		f := runForwarder(t, leader)
		began := time.Now()
		for _, err := range forwardMany(f, maxForwarded+50) {
			c.Assert(err, qt.IsNil)
		}
		c.Assert(leader.sizes, qt.DeepEquals, []int{1, maxForwarded, 49})
		c.Assert(time.Since(began) < 100*time.Millisecond, qt.IsTrue)
	})
}

func TestEveryHeartbeatOfACallLearnsItsFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		leader := &recordedCalls{err: errors.New("no leader")}
		f := runForwarder(t, leader)
		for _, err := range forwardMany(f, 10) {
			c.Assert(err, qt.ErrorMatches, "no leader")
		}
	})
}

func TestHungLeaderHoldsNoHeartbeatBeyondItsTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		leader := &recordedCalls{took: time.Hour}
		f := runForwarder(t, leader)
		began := time.Now()
		for _, err := range forwardMany(f, 10) {
			c.Assert(err, qt.IsNotNil)
		}
		c.Assert(time.Since(began) <= callerTimeout, qt.IsTrue)
		leader.took = 0
		for _, err := range forwardMany(f, 1) {
			c.Assert(err, qt.IsNil, qt.Commentf("the next ones go on"))
		}
	})
}
