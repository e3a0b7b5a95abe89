package domainnode

import (
	"context"
	"sync"
	"time"

	"github.com/lotusferry/lotusferry/agreement/leadercall"
	"github.com/lotusferry/lotusferry/internal/pause"
	"github.com/lotusferry/lotusferry/placement/domainapi"
	"github.com/lotusferry/lotusferry/placement/fleet"
)

const (
	// gatherPause separates two calls that pass heartbeats on to the leader, so that on
	// a large site each carries many.
	gatherPause = 25 * time.Millisecond
	// maxForwarded bounds the heartbeats in one call.
	maxForwarded = 256
)

// forwarder passes heartbeats on to the leader: the first at once, those that come
// meanwhile together in the next call.
type forwarder struct {
	send func(ctx context.Context, heartbeats []fleet.Heartbeat) error
	// wake has room for one.
	wake chan struct{}

	mutex   sync.Mutex
	waiting []waitingHeartbeat
}

type waitingHeartbeat struct {
	heartbeat fleet.Heartbeat
	// done gets the outcome; it has room for one.
	done chan error
}

func newForwarder(send func(ctx context.Context, heartbeats []fleet.Heartbeat) error) *forwarder {
	return &forwarder{send: send, wake: make(chan struct{}, 1)}
}

// forward returns once the leader has the heartbeat, or with the reason why it has not.
func (f *forwarder) forward(ctx context.Context, heartbeat fleet.Heartbeat) error {
	done := make(chan error, 1)
	f.mutex.Lock()
	f.waiting = append(f.waiting, waitingHeartbeat{heartbeat, done})
	f.mutex.Unlock()
	select {
	case f.wake <- struct{}{}:
	default:
	}
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// run sends what waits until ctx ends.
func (f *forwarder) run(ctx context.Context) {
	for {
		select {
		case <-f.wake:
		case <-ctx.Done():
			return
		}
		for batch := f.take(); len(batch) > 0; batch = f.take() {
			f.sendBatch(ctx, batch)
			pause.For(ctx, gatherPause)
		}
	}
}

func (f *forwarder) sendBatch(ctx context.Context, batch []waitingHeartbeat) {
	heartbeats := make([]fleet.Heartbeat, len(batch))
	for i, each := range batch {
		heartbeats[i] = each.heartbeat
	}
	ctx, cancel := context.WithTimeout(ctx, callerTimeout)
	defer cancel()
	err := f.send(ctx, heartbeats)
	for _, each := range batch {
		each.done <- err
	}
}

// take hands out the next batch.
func (f *forwarder) take() []waitingHeartbeat {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	count := min(len(f.waiting), maxForwarded)
	batch := f.waiting[:count:count]
	f.waiting = f.waiting[count:]
	return batch
}

// sendHeartbeats passes heartbeats on to the leader.
func (n *Node) sendHeartbeats(ctx context.Context, heartbeats []fleet.Heartbeat) error {
	arguments := domainapi.HeartbeatsArguments{Heartbeats: heartbeats}
	_, err := leadercall.Call(ctx, n.caller, domainapi.MethodHeartbeats, arguments, newReply)
	return err
}
