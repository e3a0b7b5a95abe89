package standby

import (
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

const (
	// maxContinuations bounds how often one stream is continued.
	maxContinuations = 2
	// minCopyAge is how long after its first event a stream must have run before it is continued.
	// Runners send the memory of a stream a few times a second, so that earlier there may be no copy.
	// A standby that loses its answers may then run the request although it has no copy.
	minCopyAge = 300 * time.Millisecond
	// minTime is the minimum time left with which a stream is continued.
	minTime = 20 * time.Millisecond
	// maxLosses is how many runners may be lost under one content before its streams are no longer
	// continued: one less than the number that makes the content a suspect of package poison, so
	// that no request becomes one by its continuations alone.
	maxLosses = 2
)

// Copy is the copy of a stream's memory at its standby.
type Copy struct {
	Runner structs.RunnerID
	// TTL is how long the standby keeps the copy after its last part; 0 if unknown.
	TTL time.Duration
}

// phase is the state of a stream as far as continuations are concerned.
type phase uint8

const (
	// The zero value is a stream that has not been sent.
	_ phase = iota
	// phaseRunning: one run is in progress, the first or a continuation.
	phaseRunning
	// phaseLost: the former run's connection is closed, and the copy may be taken up once.
	phaseLost
	// phaseEnded: no further run is continued.
	phaseEnded
)

// Handover is the state of one stream. It has one run at most at any time: a continuation can be
// recorded only after Lost, which must be called after the former run's connection was closed, and
// it uses up the copy. The zero value is a stream that has not been sent.
type Handover struct {
	phase phase
	// copy is the copy of the run in progress, or of the lost run; nil for none.
	copy *Copy
	// firstPassedAt and passedAt are when the first and the latest event of the run were forwarded; zero if
	// there was none.
	firstPassedAt time.Time
	passedAt      time.Time
	continued     int
}

// Sent records that the stream is sent to a runner, with its copy if there is one.
func (h *Handover) Sent(copied *Copy) {
	if h.phase == phaseEnded {
		return
	}
	h.phase, h.copy, h.firstPassedAt, h.passedAt = phaseRunning, copied, time.Time{}, time.Time{}
}

// Passed records that events of the run were forwarded.
func (h *Handover) Passed(now time.Time) {
	if h.firstPassedAt.IsZero() {
		h.firstPassedAt = now
	}
	h.passedAt = now
}

// HasPassed reports whether an event of the run in progress was forwarded.
func (h *Handover) HasPassed() bool { return !h.firstPassedAt.IsZero() }

// HasCopy reports whether the run in progress is copied.
func (h *Handover) HasCopy() bool { return h.phase == phaseRunning && h.copy != nil }

// MayCopy reports whether a copy of the next run could be continued.
func (h *Handover) MayCopy() bool { return h.phase != phaseEnded && h.continued < maxContinuations }

// UseUpCopy records that the standby was asked to continue the stream and did not, while the run goes on.
func (h *Handover) UseUpCopy() { h.copy = nil }

// IsContinued reports whether the stream was continued.
func (h *Handover) IsContinued() bool { return h.continued > 0 }

// End records that the stream may not be continued any more.
func (h *Handover) End() { h.phase, h.copy = phaseEnded, nil }

// Verdict says what follows after the loss of a stream.
type Verdict uint8

const (
	// VerdictNoCopy means that there is no copy to continue from.
	VerdictNoCopy Verdict = iota
	// VerdictContinue means that the stream is continued at the standby.
	VerdictContinue
	// VerdictLate means that too little time is left, or that the standby no longer keeps the copy.
	VerdictLate
	// VerdictSuspected means that the request may have crashed its runners.
	VerdictSuspected
)

// Loss is what is known when a stream is lost.
type Loss struct {
	// TimeLeft is the time until the request's deadline.
	TimeLeft time.Duration
	// IsSuspected is set if the request may not be sent without the leader's permission.
	IsSuspected bool
	// Runners is the number of runners known to be lost under the content, including this one.
	Runners int
}

// Lost ends a run whose connection is closed, and decides whether it is continued. The copy can be
// used only once, whatever the verdict.
func (h *Handover) Lost(now time.Time, loss Loss) (Copy, Verdict) {
	copied := h.copy
	isRunning := h.phase == phaseRunning
	h.copy = nil
	if isRunning {
		h.phase = phaseLost
	}
	switch {
	case !isRunning || copied == nil || h.continued >= maxContinuations || !h.isCopied(now):
		return Copy{}, VerdictNoCopy
	case loss.TimeLeft < minTime || h.isExpired(now, copied):
		return *copied, VerdictLate
	case loss.IsSuspected || loss.Runners >= maxLosses:
		return *copied, VerdictSuspected
	}
	return *copied, VerdictContinue
}

// Continued records that the lost stream is sent to its standby, with its next copy if there is one.
// It returns false if no lost run may be continued.
func (h *Handover) Continued(next *Copy) bool {
	if h.phase != phaseLost || h.continued >= maxContinuations {
		return false
	}
	h.continued++
	h.Sent(next)
	return true
}

// isCopied reports whether the run lasted long enough for its standby to have a copy.
func (h *Handover) isCopied(now time.Time) bool {
	return !h.firstPassedAt.IsZero() && now.Sub(h.firstPassedAt) >= minCopyAge
}

// isExpired reports whether the standby has dropped the copy. Without an event it is unknown when the
// latest part was sent, as parts of the prompt are copied while it is read.
func (h *Handover) isExpired(now time.Time, copied *Copy) bool {
	return copied.TTL > 0 && !h.passedAt.IsZero() && now.Sub(h.passedAt) > copied.TTL
}

// Follows reports whether an event may be the next one of a continued stream. last is the ID of the
// latest event that the caller has, negative for none. Streams number their events from 0 or 1.
func Follows(last, next int64) bool {
	if last < 0 {
		return next == 0 || next == 1
	}
	return next == last+1
}
