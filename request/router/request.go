package router

import (
	"container/heap"
	"strconv"
	"time"

	"github.com/lotusferry/lotusferry/request/routing"
	"github.com/lotusferry/lotusferry/structs"
)

// phase is where a request is in its life.
type phase uint8

const (
	// phaseClaiming: the key's claim was asked for.
	phaseClaiming phase = iota
	// phaseQueued: the request waits in its row's queue.
	phaseQueued
	// phaseBinding: a replica is reserved and is being named in the claim.
	phaseBinding
	// phaseRunning: an attempt was sent.
	phaseRunning
	// phaseAsking: an attempt broke and its engine is asked about it.
	phaseAsking
	// phaseBackoff: the request waits before it joins the queue again.
	phaseBackoff
	// phaseFetching: another request with the key ran or runs, and the router that
	// executed it is asked for the answer.
	phaseFetching
	// phaseOffered: another zone is asked to take the request.
	phaseOffered
)

// request is the state of one request; its size is bounded by the request itself
// and, with a key, by Options.AnswerLimit.
type request struct {
	structs.Request
	row   *row
	phase phase
	// gone says that nobody waits for the answer.
	gone bool
	// attempts and choices count what was sent, and what was named in the claim.
	attempts int
	choices  uint64
	// attempt is the newest attempt, choice the replica it was or will be sent to.
	attempt AttemptID
	choice  routing.Choice
	// avoid is the runner of the attempt that failed last.
	avoid structs.RunnerID
	// accepted says that the engine is known to have taken the current attempt.
	accepted bool
	// uncertain says that an earlier attempt may have run in part.
	uncertain bool
	// done says that the request under this key ran whole, as its claim shows.
	done bool
	// claim is the claim of the other request, in phaseFetching.
	claim *structs.Claim
	// claimHeld says that the home zone holds the claim, or may.
	claimHeld bool
	// delivered counts the tokens that were received, resumedFrom those of them that
	// came before the current attempt.
	delivered   int
	resumedFrom int
	// answer is the text so far of a request with a key.
	answer []byte
	// statusAsks counts how often an engine was asked about the current attempt.
	statusAsks  int
	prefixes    [routing.PrefixHashLimit]uint64
	prefixCount int
	queuedAt    time.Time
	// charged is how many tokens its caller and row were charged.
	charged int
	// estimated is the wait that was expected when the request was admitted.
	estimated time.Duration
	// sentAt is when the current attempt was sent.
	sentAt time.Time
	// heardAt is when the current attempt was sent or last gave a token.
	heardAt time.Time
	// paused says that the shell does not read the attempt's stream now.
	paused bool
	// peeking says that the engine was asked about the current attempt's silence and
	// that nothing was heard since; peekedTokens is how many tokens it said that it
	// had made, and started that it had begun.
	peeking      bool
	peekedTokens int
	started      bool
	// wakeAt is when Tick looks at the request, position its place in the timers.
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

// execution is what is known of the request if it ends now.
func (r *request) execution() structs.Execution {
	outstanding := r.phase == phaseRunning || r.phase == phaseAsking || r.phase == phaseOffered
	switch {
	case r.done:
		return structs.ExecutionDone
	case !outstanding && !r.uncertain:
		return structs.ExecutionNotRun
	case r.Repeatable():
		return structs.ExecutionPartial
	}
	return structs.ExecutionUnknown
}

// ran reports whether the current attempt, or one before it, is known to have run.
func (r *request) ran() bool { return r.delivered > 0 || r.started }

// expired reports whether the deadline has come.
func (r *request) expired(now time.Time) bool { return !r.DeadlineAt.After(now) }

// timers orders requests by wakeAt.
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
