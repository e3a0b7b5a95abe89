package router

import (
	"container/heap"
	"strconv"
	"time"

	"github.com/lotusferry/lotusferry/request/routing"
	"github.com/lotusferry/lotusferry/structs"
)

// phase is the state of a request.
type phase uint8

const (
	// phaseClaiming: BeginClaim is unanswered.
	phaseClaiming phase = iota
	// phaseQueued: the request waits in its row's queue.
	phaseQueued
	// phaseBinding: a replica is reserved and BeginClaim with its runner is unanswered.
	phaseBinding
	// phaseRunning: an attempt was sent.
	phaseRunning
	// phaseCheckingStatus: an attempt broke and its engine is asked for its status.
	phaseCheckingStatus
	// phaseBackoff: the request waits before it is queued again.
	phaseBackoff
	// phaseFetching: another request holds or held the key, and its router is asked for
	// the answer.
	phaseFetching
	// phaseOffered: another zone is asked to execute the request.
	phaseOffered
)

// request is the state of one request. Its size is bounded by the request itself and,
// with a key, by Options.AnswerLimit.
type request struct {
	structs.Request
	row   *row
	phase phase
	// callerGone is set when the caller has disconnected.
	callerGone bool
	// attempts counts the attempts sent, choices the runners named in the claim.
	attempts int
	choices  uint64
	// attempt is the latest attempt, choice the replica that it is or will be sent to.
	attempt AttemptID
	choice  routing.Choice
	// avoid is the runner of the last failed attempt.
	avoid structs.RunnerID
	// accepted is set when the engine has accepted the current attempt.
	accepted bool
	// mayHaveRun is set when an earlier attempt may have run in part.
	mayHaveRun bool
	// completed is set when the claim shows that a request under this key ran to
	// completion.
	completed bool
	// claim is the claim of the other request, in phaseFetching.
	claim *structs.Claim
	// claimHeld is set when the home zone holds the claim, or may hold it.
	claimHeld bool
	// delivered counts the tokens received, resumedFrom those received before the current
	// attempt.
	delivered   int
	resumedFrom int
	// answer is the text received so far for a request with a key.
	answer []byte
	// statusAsks counts the status requests for the current attempt.
	statusAsks  int
	prefixes    [routing.PrefixHashLimit]uint64
	prefixCount int
	queuedAt    time.Time
	// chargedTokens is the number of tokens charged to the caller and the row.
	chargedTokens int
	// estimatedWait is the queueing delay estimated at admission.
	estimatedWait time.Duration
	sentAt        time.Time
	// lastProgressAt is when the current attempt was sent or last returned a token.
	lastProgressAt time.Time
	// paused is set while the driver does not read the stream of the attempt.
	paused bool
	// peeking is set while a Peek about the current attempt is unanswered and no token
	// has arrived since; peekedTokens and started are the number of tokens made and
	// whether the run had started, as the engine last reported them.
	peeking      bool
	peekedTokens int
	started      bool
	// wakeAt is when Tick next processes the request, position its index in the timers.
	wakeAt   time.Time
	position int
}

func (r *request) prefixHashes() []uint64 { return r.prefixes[:r.prefixCount] }

func (r *request) hashPrompt() {
	hashes := routing.PrefixHashes(r.prefixes[:0], r.Request.Row, r.Prompt)
	r.prefixCount = len(hashes)
}

func (r *request) nextAttempt() AttemptID {
	r.attempts++
	return r.attemptID(r.attempts)
}

func (r *request) attemptID(number int) AttemptID {
	return AttemptID(string(r.ID) + string(attemptSeparator) + strconv.Itoa(number))
}

// execution returns what is known about the execution of the request if it ends now.
func (r *request) execution() structs.Execution {
	outstanding := r.phase == phaseRunning || r.phase == phaseCheckingStatus || r.phase == phaseOffered
	switch {
	case r.completed:
		return structs.ExecutionDone
	case !outstanding && !r.mayHaveRun:
		return structs.ExecutionNotRun
	case r.Repeatable():
		return structs.ExecutionPartial
	}
	return structs.ExecutionUnknown
}

// hasRun reports whether the current or an earlier attempt is known to have started.
func (r *request) hasRun() bool { return r.delivered > 0 || r.started }

// expired reports whether the deadline has passed.
func (r *request) expired(now time.Time) bool { return !r.DeadlineAt.After(now) }

// timers is a heap of requests ordered by wakeAt.
type timers []*request

var _ heap.Interface = (*timers)(nil)

// Len implements heap.Interface.
func (t timers) Len() int { return len(t) }

// Less implements heap.Interface; the ID makes the order total.
func (t timers) Less(i, j int) bool {
	if !t[i].wakeAt.Equal(t[j].wakeAt) {
		return t[i].wakeAt.Before(t[j].wakeAt)
	}
	return t[i].ID < t[j].ID
}

// Swap implements heap.Interface.
func (t timers) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].position = i
	t[j].position = j
}

// Push implements heap.Interface.
func (t *timers) Push(item any) {
	added := item.(*request)
	added.position = len(*t)
	*t = append(*t, added)
}

// Pop implements heap.Interface.
func (t *timers) Pop() any {
	last := len(*t) - 1
	leaving := (*t)[last]
	(*t)[last] = nil
	*t = (*t)[:last]
	return leaving
}
