package domainnode

import (
	"context"
	"sync"
	"time"

	"github.com/lotusferry/lotusferry/agreement/leadercall"
	"github.com/lotusferry/lotusferry/internal/pause"
	"github.com/lotusferry/lotusferry/internal/wake"
	"github.com/lotusferry/lotusferry/placement/domainapi"
	"github.com/lotusferry/lotusferry/placement/fleet"
)

const (
	// batchInterval is the pause between two calls to the leader, so that each carries many
	// heartbeats on a large site.
	batchInterval = 25 * time.Millisecond
	// idleBatchInterval is the interval while heartbeats report no change. Runners wait up to
	// a second for the acknowledgement.
	idleBatchInterval = 250 * time.Millisecond
	// smallBatch is the largest batch after which idleBatchInterval is not applied.
	smallBatch = 4
	// maxBatch bounds the heartbeats in one call.
	maxBatch = 256
	// maxDelivered bounds the number of runners whose last heartbeat is retained.
	maxDelivered = 4096
)

// forwarder forwards heartbeats to the leader in batches. Heartbeats that arrive during a
// call share the next one. If many arrive without changes, calls are delayed by up to
// idleBatchInterval; a heartbeat with a change ends the delay.
type forwarder struct {
	send func(ctx context.Context, heartbeats []fleet.Heartbeat) error
	// wake and hasChange have a capacity of one.
	wake      chan struct{}
	hasChange chan struct{}

	mutex   sync.Mutex
	pending []pendingHeartbeat
	// delivered holds the last heartbeat of each runner that the leader acknowledged.
	delivered map[string]fleet.Heartbeat
}

type pendingHeartbeat struct {
	heartbeat fleet.Heartbeat
	// done has a capacity of one.
	done chan error
}

func newForwarder(send func(ctx context.Context, heartbeats []fleet.Heartbeat) error) *forwarder {
	return &forwarder{
		send: send, wake: make(chan struct{}, 1), hasChange: make(chan struct{}, 1), delivered: make(map[string]fleet.Heartbeat),
	}
}

// forward returns once the leader has acknowledged the heartbeat, or with an error.
func (f *forwarder) forward(ctx context.Context, heartbeat fleet.Heartbeat) error {
	done := make(chan error, 1)
	f.mutex.Lock()
	f.pending = append(f.pending, pendingHeartbeat{heartbeat, done})
	last, isKnown := f.delivered[heartbeat.Instance]
	f.mutex.Unlock()
	wake.Up(f.wake)
	if !isKnown || !last.IsRepeatedBy(heartbeat) {
		wake.Up(f.hasChange)
	}
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// run sends pending heartbeats until ctx ends.
func (f *forwarder) run(ctx context.Context) {
	for {
		select {
		case <-f.wake:
		case <-ctx.Done():
			return
		}
		for batch := f.nextBatch(); len(batch) > 0; batch = f.nextBatch() {
			f.sendBatch(ctx, batch)
			pause.For(ctx, batchInterval)
			if len(batch) > smallBatch {
				f.awaitChange(ctx)
			}
		}
	}
}

// awaitChange waits for a heartbeat with a change, at most for the rest of idleBatchInterval.
func (f *forwarder) awaitChange(ctx context.Context) {
	timer := time.NewTimer(idleBatchInterval - batchInterval)
	defer timer.Stop()
	select {
	case <-f.hasChange:
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (f *forwarder) sendBatch(ctx context.Context, batch []pendingHeartbeat) {
	heartbeats := make([]fleet.Heartbeat, len(batch))
	for i, each := range batch {
		heartbeats[i] = each.heartbeat
	}
	ctx, cancel := context.WithTimeout(ctx, callerTimeout)
	defer cancel()
	err := f.send(ctx, heartbeats)
	f.recordDelivery(heartbeats, err == nil)
	for _, each := range batch {
		each.done <- err
	}
}

// recordDelivery retains acknowledged heartbeats and drops those whose outcome is unknown.
func (f *forwarder) recordDelivery(heartbeats []fleet.Heartbeat, isAcknowledged bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if len(f.delivered) > maxDelivered {
		clear(f.delivered)
	}
	for _, heartbeat := range heartbeats {
		if isAcknowledged {
			f.delivered[heartbeat.Instance] = heartbeat
		} else {
			delete(f.delivered, heartbeat.Instance)
		}
	}
}

// nextBatch removes and returns the next batch.
func (f *forwarder) nextBatch() []pendingHeartbeat {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	count := min(len(f.pending), maxBatch)
	if count == len(f.pending) {
		// The batch contains all pending heartbeats, hence all changes.
		select {
		case <-f.hasChange:
		default:
		}
	}
	batch := f.pending[:count:count]
	f.pending = f.pending[count:]
	return batch
}

// sendHeartbeats sends heartbeats to the leader.
func (n *Node) sendHeartbeats(ctx context.Context, heartbeats []fleet.Heartbeat) error {
	arguments := domainapi.HeartbeatsArguments{Heartbeats: heartbeats}
	_, err := leadercall.Call(ctx, n.caller, domainapi.MethodHeartbeats, arguments, newReply)
	return err
}
