package simulate

import (
	"time"

	"github.com/lotusferry/lotusferry/request/router"
	"github.com/lotusferry/lotusferry/structs"
)

// engineWait is an attempt whose engine owes the next token.
type engineWait struct {
	// patience is how long the first token may take.
	patience time.Duration
	// heardAt is when the attempt was sent, or its engine last gave a token or said
	// that it had made more of them.
	heardAt time.Duration
	// askedAt is when the router asked about the silence, and zero before.
	askedAt time.Duration
	// heard says that a token came; made is how many the engine said that it had made.
	heard bool
	made  int
}

func newEngineWait(request structs.Request, sentAt time.Duration, now time.Time) *engineWait {
	left := request.DeadlineAt.Sub(now)
	return &engineWait{patience: router.DefaultStallCeiling + left/stallShare, heardAt: sentAt}
}

func (w *engineWait) hear(now time.Duration) {
	w.heard = true
	w.heardAt = now
	w.askedAt = 0
}

func (w *engineWait) ask(now time.Duration) {
	if w.askedAt == 0 {
		w.askedAt = now
	}
}

// answer takes what the engine itself says that it has made.
func (w *engineWait) answer(now time.Duration, status structs.RequestStatus) {
	if status.State == structs.RunRunning && status.Tokens > w.made {
		w.made = status.Tokens
		w.heardAt = now
		w.askedAt = 0
	}
}

// bound is how long the engine may be silent before the router leaves it or ends the
// request: a question comes on top, once.
func (w *engineWait) bound() time.Duration {
	bound := router.DefaultStallCeiling + stallSlack
	if !w.heard {
		bound = w.patience + stallSlack
	}
	if w.askedAt > 0 {
		bound += statusTimeout
	}
	return bound
}

// checkWaits looks for attempts that a router leaves with a silent engine.
func (r *requestRecords) checkWaits(host *routerHost) {
	for _, id := range sortedKeys(host.attempts) {
		wait := r.waits[id]
		if wait == nil || host.calls[id.Request()] == nil {
			continue
		}
		if silent := r.now() - wait.heardAt; silent > wait.bound() {
			r.site.judge.Report(checkerStall, "%s has waited for the next token of %s for %v", host.id, id, silent)
		}
	}
}

// engineSaid notes what an engine answers about an attempt, as it leaves the engine.
func (r *requestRecords) engineSaid(status structs.RequestStatus) {
	if wait := r.waits[router.AttemptID(status.ID)]; wait != nil {
		wait.answer(r.now(), status)
	}
}
