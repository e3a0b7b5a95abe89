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
	// leadershipTransferTimeout bounds the transfer of one group's leadership.
	leadershipTransferTimeout = 5 * time.Second
	// abortGrace is how long callers of aborted requests have to read the end of their
	// answer.
	abortGrace = time.Second
	// operatorsGrace bounds the wait for operator calls, which are safe to repeat; a
	// long poll would otherwise delay shutdown.
	operatorsGrace = 2 * time.Second
)

// ErrStopTimeout is the cancellation cause when a graceful shutdown exceeds its
// timeout.
var ErrStopTimeout = errors.New("timing.stop_timeout is over")

// unfinished counts the work that a graceful shutdown waits for.
type unfinished struct {
	// waiting is the number of requests never sent to an engine or another zone;
	// running is the number of those sent.
	waiting int
	running int
	// unrecorded is the number of requests without a caller and of calls to the zone
	// group or to engines, such as recording the end of a claim.
	unrecorded int
}

func (u unfinished) none() bool { return u == unfinished{} }

// Stop shuts the daemon down gracefully. The daemon reports that it is not ready,
// transfers its leadership and refuses new requests; requests in progress and the ends
// of their claims may finish until ctx is done. Stop returns the number of requests
// aborted because ctx was done.
func (d *Daemon) Stop(ctx context.Context) int {
	d.draining.Store(true)
	d.transferLeadership(ctx)
	cut := 0
	if d.router != nil {
		cut = d.router.drain(ctx)
	}
	// The daemon may have been elected again in the meantime.
	d.transferLeadership(ctx)
	d.Close(ctx)
	return cut
}

// transferLeadership transfers the leadership of the groups that this daemon leads.
func (d *Daemon) transferLeadership(ctx context.Context) {
	for _, member := range d.groups() {
		if !member.Status().IsLeader || ctx.Err() != nil {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, leadershipTransferTimeout)
		err := member.TransferLeadership(ctx)
		cancel()
		if err != nil {
			level.Warn(d.logger).Log("component", "daemon", "msg", "Leadership could not be transferred.", "err", err)
		}
	}
}

// drain refuses new requests and waits until those in progress have ended and the ends
// of their claims are recorded, or until ctx is done. It then aborts the rest and
// returns their number.
func (r *requestRouter) drain(ctx context.Context) int {
	r.mutex.Lock()
	r.draining = true
	r.mutex.Unlock()
	r.step(router.DrainStarted{})
	for {
		quiet := r.workDone.wait()
		left := r.unfinished()
		if left.none() {
			return 0
		}
		select {
		case <-ctx.Done():
			return r.abort(context.Cause(ctx), left)
		case <-quiet:
		}
	}
}

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

// abort refuses the remaining requests and returns their number.
func (r *requestRouter) abort(cause error, left unfinished) int {
	level.Warn(r.logger).Log("msg", "The planned stop is cut short.", "cause", cause, "waiting_refused", left.waiting,
		"running_cut", left.running, "unrecorded", left.unrecorded)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	count := len(r.calls)
	for id, open := range r.calls {
		r.end(id, abortRefusal(open))
	}
	r.stepLocked(router.DrainCut{})
	return count
}

// abortRefusal returns the refusal of a request aborted at shutdown. Only a request
// that was never sent is known not to have run.
func abortRefusal(open *call) *structs.Rejection {
	refusal := &structs.Rejection{
		Error: *structs.NewError(structs.ErrorUnavailable, "this router stops before the answer is complete",
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
