package overload

import (
	"fmt"
	"time"

	"github.com/lotusferry/lotusferry/request/router"
	"github.com/lotusferry/lotusferry/request/routing"
	"github.com/lotusferry/lotusferry/structs"
)

// fifo is a baseline router with a single queue.
type fifo struct {
	now      time.Time
	runners  []structs.RunnerInfo
	inFlight map[structs.RunnerID]int
	queue    []*fifoRequest
	attempts map[router.AttemptID]*fifoRequest
	pending  []*fifoRequest
	effects  []router.Effect
}

type fifoRequest struct {
	structs.Request
	runner structs.RunnerID
	ended  bool
}

func (r *fifoRequest) attempt() router.AttemptID { return router.AttemptID(r.ID + ".1") }

func newFIFO() *fifo {
	return &fifo{inFlight: map[structs.RunnerID]int{}, attempts: map[router.AttemptID]*fifoRequest{}}
}

// Step implements routerCore.
func (f *fifo) Step(now time.Time, event router.Event) []router.Effect {
	f.now = now
	f.effects = nil
	switch event := event.(type) {
	case router.ViewChanged:
		f.runners = event.View.Placement.Runners
	case router.Arrived:
		added := &fifoRequest{Request: event.Request}
		f.queue = append(f.queue, added)
		f.pending = append(f.pending, added)
	case router.TokenReceived:
		f.receive(event)
	case router.AttemptFailed:
		if failed := f.attempts[event.Attempt]; failed != nil {
			f.refuse(failed)
		}
	case router.Tick:
		f.expire(now)
	}
	f.dispatch()
	return f.effects
}

func (f *fifo) receive(event router.TokenReceived) {
	target := f.attempts[event.Attempt]
	if target == nil {
		return
	}
	token := event.Token
	token.ID = target.ID
	f.effects = append(f.effects, &router.Deliver{ID: target.ID, Token: token})
	if token.Finish != "" {
		f.end(target)
		f.effects = append(f.effects, router.Finish{ID: target.ID, Finish: token.Finish})
	}
}

func (f *fifo) dispatch() {
	for len(f.queue) > 0 {
		next := f.queue[0]
		if next.ended {
			f.queue = f.queue[1:]
			continue
		}
		chosen := f.leastLoaded()
		if chosen == nil {
			return
		}
		f.queue = f.queue[1:]
		next.runner = chosen.ID
		f.inFlight[chosen.ID]++
		f.attempts[next.attempt()] = next
		f.effects = append(f.effects, router.SendAttempt{
			Attempt: next.attempt(), Runner: chosen.ID, Incarnation: chosen.Incarnation,
			Generate: structs.GenerateRequest{
				ID: structs.RequestID(next.attempt()), Row: next.Row, Prompt: next.Prompt, MaxTokens: next.MaxTokens,
			},
		})
	}
}

// leastLoaded returns the runner with the fewest requests in flight from this
// router, or nil if all are full.
func (f *fifo) leastLoaded() *structs.RunnerInfo {
	var best *structs.RunnerInfo
	for index := range f.runners {
		candidate := &f.runners[index]
		full := f.inFlight[candidate.ID] >= maxBatch+routing.DefaultQueueSlack
		if !full && (best == nil || f.inFlight[candidate.ID] < f.inFlight[best.ID]) {
			best = candidate
		}
	}
	return best
}

func (f *fifo) expire(now time.Time) {
	kept := f.pending[:0]
	for _, current := range f.pending {
		if current.ended {
			continue
		}
		if current.DeadlineAt.After(now) {
			kept = append(kept, current)
			continue
		}
		f.refuse(current)
	}
	f.pending = kept
}

func (f *fifo) refuse(given *fifoRequest) {
	execution := structs.ExecutionNotRun
	if given.runner != "" {
		execution = structs.ExecutionPartial
		f.effects = append(f.effects, router.CancelAttempt{Attempt: given.attempt()})
	}
	f.end(given)
	problem := structs.NewError(structs.ErrorDeadline, "the deadline passed before the answer was complete", fmt.Sprintf("Retry after %v.", fixedRetryAfter))
	problem.RetryAfter = fixedRetryAfter
	f.effects = append(f.effects, router.Reject{ID: given.ID, Rejection: structs.Rejection{Error: *problem, Execution: execution}})
}

func (f *fifo) end(done *fifoRequest) {
	done.ended = true
	if done.runner != "" {
		f.inFlight[done.runner]--
		delete(f.attempts, done.attempt())
	}
}

// fixedRetryAfter is the retry delay in all refusals of the FIFO router.
const fixedRetryAfter = time.Second

// fifoTick is the interval at which the FIFO router checks deadlines.
const fifoTick = 100 * time.Millisecond

// NextDeadline implements routerCore.
func (f *fifo) NextDeadline() (time.Time, bool) { return f.now.Add(fifoTick), len(f.pending) > 0 }
