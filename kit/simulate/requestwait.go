package simulate

import (
	"time"

	"github.com/lotusferry/lotusferry/request/router"
	"github.com/lotusferry/lotusferry/structs"
)

// engineWait tracks an attempt that waits for its engine's next token.
type engineWait struct {
	// firstTokenLimit is the time limit of the first token.
	firstTokenLimit time.Duration
	// progressAt is when the attempt was sent, a token arrived, or the engine last
	// reported progress.
	progressAt time.Duration
	// askedAt is when the router queried the engine's status since then; zero if it
	// did not.
	askedAt time.Duration
	// hasToken reports whether a token has arrived; reportedTokens is the number of
	// tokens that the engine reported.
	hasToken       bool
	reportedTokens int
}

func newEngineWait(request structs.Request, sentAt time.Duration, now time.Time) *engineWait {
	left := request.DeadlineAt.Sub(now)
	return &engineWait{firstTokenLimit: router.DefaultStallCeiling + left/stallShare, progressAt: sentAt}
}

func (w *engineWait) tokenReceived(now time.Duration) {
	w.hasToken = true
	w.progressAt = now
	w.askedAt = 0
}

func (w *engineWait) statusRequested(now time.Duration) {
	if w.askedAt == 0 {
		w.askedAt = now
	}
}

// statusReported records the status reported by the engine.
func (w *engineWait) statusReported(now time.Duration, status structs.RequestStatus) {
	if status.State == structs.RunRunning && status.Tokens > w.reportedTokens {
		w.reportedTokens = status.Tokens
		w.progressAt = now
		w.askedAt = 0
	}
}

// bound returns how long the engine may be unresponsive before the router must
// abandon the attempt. One status query extends it.
func (w *engineWait) bound() time.Duration {
	bound := router.DefaultStallCeiling + stallSlack
	if !w.hasToken {
		bound = w.firstTokenLimit + stallSlack
	}
	if w.askedAt > 0 {
		bound += statusTimeout
	}
	return bound
}

// checkWaits checks that a router does not wait too long for an unresponsive engine.
func (r *requestRecords) checkWaits(host *routerHost) {
	for _, id := range sortedKeys(host.attempts) {
		wait := r.waits[id]
		if wait == nil || host.calls[id.Request()] == nil {
			continue
		}
		if silent := r.now() - wait.progressAt; silent > wait.bound() {
			r.site.judge.Report(checkerStall, "%s has waited for the next token of %s for %v", host.id, id, silent)
		}
	}
}

// statusAnswered records an engine's status answer when it leaves the engine.
func (r *requestRecords) statusAnswered(status structs.RequestStatus) {
	if wait := r.waits[router.AttemptID(status.ID)]; wait != nil {
		wait.statusReported(r.now(), status)
	}
}
