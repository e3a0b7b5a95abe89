package daemon

import (
	"context"
	"time"

	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"github.com/lotusferry/lotusferry/request/router"
	"github.com/lotusferry/lotusferry/structs"
)

const (
	// handOverTimeout bounds handing the leadership of one group over.
	handOverTimeout = 5 * time.Second
	// cutGrace is how long callers that are cut have to read their last answer.
	cutGrace = time.Second
	// operatorsGrace bounds the wait for operators' calls, which may be repeated;
	// a long poll would otherwise hold up the stop.
	operatorsGrace = 2 * time.Second
)

// ErrStopTimeout is the cause of a cut when a planned stop took too long.
var ErrStopTimeout = errors.New("timing.stop_timeout is over")

// unfinished counts what a planned stop waits for.
type unfinished struct {
	// waiting requests were never sent to an engine or another zone; running ones were.
	waiting int
	running int
	// unrecorded counts requests without a caller and calls to the zone group or
	// to engines, such as the recording of a claim's end.
	unrecorded int
}

func (u unfinished) none() bool { return u == unfinished{} }

// Stop is a planned stop: the daemon is no longer ready, hands its leadership
// over and refuses new requests; requests in progress and the ends of their
// claims finish while ctx lasts; then everything is closed. It returns how many
// requests were cut because ctx ended.
func (d *Daemon) Stop(ctx context.Context) int {
	d.draining.Store(true)
	d.handOver(ctx)
	cut := 0
	if d.router != nil {
		cut = d.router.drain(ctx)
	}
	// The daemon may have been elected again meanwhile.
	d.handOver(ctx)
	d.Close(ctx)
	return cut
}

// handOver transfers leadership of the groups that this daemon leads.
func (d *Daemon) handOver(ctx context.Context) {
	for _, member := range d.groups() {
		if !member.Status().IsLeader || ctx.Err() != nil {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
		err := member.TransferLeadership(ctx)
		cancel()
		if err != nil {
			level.Warn(d.logger).Log("component", "daemon", "msg", "Leadership could not be handed over.", "err", err)
		}
	}
}

// drain refuses new requests and waits until those in progress have ended and
// the ends of their claims are recorded, or until ctx ends. What is left then is
// refused, and how many requests that were is returned.
func (r *requestRouter) drain(ctx context.Context) int {
	r.mutex.Lock()
	r.draining = true
	r.mutex.Unlock()
	r.step(router.DrainStarted{})
	for {
		quiet := r.quiet.wait()
		left := r.unfinished()
		if left.none() {
			return 0
		}
		select {
		case <-ctx.Done():
			return r.cut(context.Cause(ctx), left)
		case <-quiet:
		}
	}
}

// unfinished counts what is in progress.
func (r *requestRouter) unfinished() unfinished {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var left unfinished
	for _, open := range r.calls {
		if open.sent {
			left.running++
		} else {
			left.waiting++
		}
	}
	left.unrecorded = int(r.working.Load())
	if !r.core.Idle() && len(r.calls) == 0 {
		left.unrecorded = max(left.unrecorded, 1)
	}
	return left
}

// cut refuses the requests that are left, saying of each whether it ran, and
// returns their number.
func (r *requestRouter) cut(cause error, left unfinished) int {
	level.Warn(r.logger).Log("msg", "The planned stop is cut short.", "cause", cause, "waiting_refused", left.waiting,
		"running_cut", left.running, "unrecorded", left.unrecorded)
	r.mutex.Lock()
	var ids []structs.RequestID
	for id, open := range r.calls {
		ids = append(ids, id)
		r.end(id, cutRefusal(open))
	}
	r.mutex.Unlock()
	for _, id := range ids {
		r.step(router.CallerGone{ID: id})
	}
	return len(ids)
}

// cutRefusal is the answer to a request that the end of a planned stop cuts. Only
// one that was never sent anywhere certainly did not run.
func cutRefusal(open *call) *structs.Rejection {
	refusal := &structs.Rejection{
		Error: *structs.NewError(structs.ErrorUnavailable, "this router stops before the answer is whole",
			"Send the request to another router, with the same key if there is one."),
		Execution: structs.ExecutionNotRun,
	}
	refusal.Error.RetryAfter = router.MinRetryAfter
	switch {
	case open.sent && open.request.Repeatable():
		refusal.Execution = structs.ExecutionPartial
	case open.sent:
		refusal.Execution = structs.ExecutionUnknown
	}
	return refusal
}
