package domainnode

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"

	"github.com/lotusferry/lotusferry/internal/pause"
	"github.com/lotusferry/lotusferry/placement/domainapi"
)

// workload counts what a controller has done since it was last logged. It tells apart why a leader is
// slow: bytes that fill its link, work that takes its processor, or writes to its disk. Its methods are
// safe for concurrent use.
type workload struct {
	// watches and demands are calls of routers, questions and reports calls of relays.
	watches, demands, questions, reports atomic.Int64
	// fullViews are the views in replies that list all runners, wantedViews those of them that a router got out of turn
	// because its requests waited. handOvers are the replies that leave a router's full view to its relay.
	fullViews, wantedViews, handOvers atomic.Int64
	// heartbeats are those of runners, not the calls that carry them.
	heartbeats atomic.Int64
	// replyBytes are the bytes of views and documents in replies.
	replyBytes atomic.Int64
	// refreshTime and stepTime are in nanoseconds.
	refreshes, refreshTime atomic.Int64
	steps, stepTime        atomic.Int64
	// The longest times: until a tick of the group was handled, of a round trip to another member, of
	// a write to the store, and until the mutex of the leadership was free.
	tickDelay, roundTrip, write, mutexWait longest
}

// longest is the longest of several durations.
type longest struct{ nanoseconds atomic.Int64 }

func (l *longest) note(took time.Duration) {
	for {
		known := l.nanoseconds.Load()
		if int64(took) <= known || l.nanoseconds.CompareAndSwap(known, int64(took)) {
			return
		}
	}
}

// take returns the longest duration since the last call.
func (l *longest) take() time.Duration { return time.Duration(l.nanoseconds.Swap(0)) }

// addReply counts the bytes of a reply's view and document.
func (w *workload) addReply(reply *domainapi.WatchReply) {
	bytes := 0
	if reply.View != nil {
		bytes += len(reply.View.Bytes)
	}
	if reply.Document != nil {
		bytes += len(reply.Document.Source)
	}
	w.replyBytes.Add(int64(bytes))
}

// addStep counts a step of the leader.
func (w *workload) addStep(took time.Duration) {
	w.steps.Add(1)
	w.stepTime.Add(int64(took))
}

// addRefresh counts a look at all runners.
func (w *workload) addRefresh(took time.Duration) {
	w.refreshes.Add(1)
	w.refreshTime.Add(int64(took))
}

func (n *Node) noteWrite(took time.Duration) {
	n.metrics.storeWriteTime.Observe(took.Seconds())
	n.workload.write.note(took)
}

func (n *Node) noteTick(late time.Duration) {
	n.metrics.tickDelay.Observe(late.Seconds())
	n.workload.tickDelay.note(late)
}

func (n *Node) noteRoundTrip(took time.Duration) {
	n.metrics.roundTripTime.Observe(took.Seconds())
	n.workload.roundTrip.note(took)
}

// workloadLoop logs the work of a leader until ctx ends. It takes no lock, so that it also reports a
// leader whose mutex is held for long.
func (l *leadership) workloadLoop(ctx context.Context) {
	w := &l.node.workload
	for pause.For(ctx, summaryInterval) {
		level.Info(l.logger).Log("msg", "The work of this leader.",
			"watches", w.watches.Swap(0), "demands", w.demands.Swap(0), "relays", w.questions.Swap(0), "reports", w.reports.Swap(0), "heartbeats", w.heartbeats.Swap(0),
			"full_views", w.fullViews.Swap(0), "wanted_views", w.wantedViews.Swap(0), "hand_overs", w.handOvers.Swap(0),
			"reply_bytes", w.replyBytes.Swap(0), "announcements", l.announcer.count.Swap(0),
			"steps", w.steps.Swap(0), "step_time", time.Duration(w.stepTime.Swap(0)),
			"refreshes", w.refreshes.Swap(0), "refresh_time", time.Duration(w.refreshTime.Swap(0)),
			"tick_delay", w.tickDelay.take(), "round_trip", w.roundTrip.take(), "write", w.write.take(), "mutex_wait", w.mutexWait.take())
	}
}
