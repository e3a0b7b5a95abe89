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
	// gatherPause separates two calls that pass heartbeats on to the leader, so that on
	// a large site each carries many.
	gatherPause = 25 * time.Millisecond
	// idleGatherPause is the same while they tell nothing but that their runners live. On the largest sites
	// that is true of nearly all of two thousand a second; their senders wait for a second, and the leader's
	// answer takes some tens of milliseconds.
	idleGatherPause = 250 * time.Millisecond
	// gatherAlone is how many heartbeats a call carries up to which those to come are as soon told one by one.
	gatherAlone = 4
	// maxForwarded bounds the heartbeats in one call.
	maxForwarded = 256
	// maxRemembered bounds the runners of which this controller knows what they said last.
	maxRemembered = 4096
)

// forwarder passes heartbeats on to the leader: the first at once, those that come
// meanwhile together in the next call. Where many come that tell nothing new, calls wait for more of them; one
// that tells something new ends such a wait.
type forwarder struct {
	send func(ctx context.Context, heartbeats []fleet.Heartbeat) error
	// wake and hasNews have room for one.
	wake    chan struct{}
	hasNews chan struct{}

	mutex   sync.Mutex
	waiting []waitingHeartbeat
	// said is what each runner said last that the leader has.
	said map[string]fleet.Heartbeat
}

type waitingHeartbeat struct {
	heartbeat fleet.Heartbeat
	// done gets the outcome; it has room for one.
	done chan error
}

func newForwarder(send func(ctx context.Context, heartbeats []fleet.Heartbeat) error) *forwarder {
	return &forwarder{
		send: send, wake: make(chan struct{}, 1), hasNews: make(chan struct{}, 1), said: make(map[string]fleet.Heartbeat),
	}
}

// forward returns once the leader has the heartbeat, or with the reason why it has not.
func (f *forwarder) forward(ctx context.Context, heartbeat fleet.Heartbeat) error {
	done := make(chan error, 1)
	f.mutex.Lock()
	f.waiting = append(f.waiting, waitingHeartbeat{heartbeat, done})
	said, isKnown := f.said[heartbeat.Instance]
	f.mutex.Unlock()
	wake.Up(f.wake)
	if !isKnown || !said.IsRepeatedBy(heartbeat) {
		wake.Up(f.hasNews)
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
			if len(batch) > gatherAlone {
				f.awaitNews(ctx)
			}
		}
	}
}

// awaitNews waits for a heartbeat that tells something new, at most for the rest of idleGatherPause.
func (f *forwarder) awaitNews(ctx context.Context) {
	timer := time.NewTimer(idleGatherPause - gatherPause)
	defer timer.Stop()
	select {
	case <-f.hasNews:
	case <-timer.C:
	case <-ctx.Done():
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
	f.remember(heartbeats, err == nil)
	for _, each := range batch {
		each.done <- err
	}
}

// remember notes what runners said that the leader has, or may not have.
func (f *forwarder) remember(heartbeats []fleet.Heartbeat, isHeard bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if len(f.said) > maxRemembered {
		clear(f.said)
	}
	for _, heartbeat := range heartbeats {
		if isHeard {
			f.said[heartbeat.Instance] = heartbeat
		} else {
			delete(f.said, heartbeat.Instance)
		}
	}
}

// take hands out the next batch.
func (f *forwarder) take() []waitingHeartbeat {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	count := min(len(f.waiting), maxForwarded)
	if count == len(f.waiting) {
		// What is new is in this batch.
		select {
		case <-f.hasNews:
		default:
		}
	}
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
