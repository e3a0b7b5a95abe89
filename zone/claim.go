package zone

import (
	"cmp"
	"container/heap"
	"maps"
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

// The bounds of the claims that a zone keeps. A claim that does not fit is
// refused before its request is executed; no kept claim makes way for a new one.
const (
	// MaxClaims bounds the number of claims of all states.
	MaxClaims = 100_000
	// MaxClaimBytes bounds the kept answers together with what held claims may
	// still need.
	MaxClaimBytes = 48 << 20
	// MaxAnswerBytes bounds one answer.
	MaxAnswerBytes = 1 << 20
	// DefaultAnswerBytes is set aside for the answer of a claim that names no size.
	DefaultAnswerBytes = 32 << 10
	// MaxExpiredClaims bounds the claims that one ClaimExpireCommand removes.
	MaxExpiredClaims = 10_000
	// MaxReleasedRequests bounds the released requests that are remembered. A begin
	// that comes later than that many releases holds its key again.
	MaxReleasedRequests = 16_384
	// claimRetryAfter is when a caller may come back after a full claim table.
	claimRetryAfter = 30 * time.Second
)

// ClaimBeginCommand claims a key for a request that may not be repeated. A
// resend by the same request and holder gets the same claim again. The holder
// sends it again with Attempt, Runner and Incarnation before it sends the
// request to an engine.
type ClaimBeginCommand struct {
	Key     structs.ClaimKey
	Request structs.RequestID
	Digest  uint64
	Holder  structs.DaemonID
	// Attempt numbers the holder's choices of a runner, so that a late resend
	// cannot bring back an earlier choice.
	Attempt     uint64
	Runner      structs.RunnerID
	Incarnation structs.Incarnation
	// AnswerBytes is the largest answer to expect; 0 means DefaultAnswerBytes.
	AnswerBytes int
}

// ClaimFinishCommand ends a held claim. Any daemon may send it that knows the
// outcome of the request.
type ClaimFinishCommand struct {
	Key     structs.ClaimKey
	Request structs.RequestID
	// State is ClaimFinished or ClaimUnknown.
	State structs.ClaimState
	// NotRun removes the claim instead, if there is one, because the request
	// certainly did not run and never will; State is not read. A begin of the
	// request that comes later is refused.
	NotRun bool
	// Answer is the whole answer, kept until ExpiresAt (ClaimFinished only).
	Answer    []byte
	ExpiresAt time.Time
}

// ClaimExpireCommand removes the finished claims whose time is over. Claims with
// an unknown outcome are kept for good.
type ClaimExpireCommand struct {
	// Now is the proposing leader's clock.
	Now time.Time
}

type claimRecord struct {
	claim   structs.Claim
	attempt uint64
	// bytes is the size of the kept answer, or what is set aside for it.
	bytes int64
}

type claimTable struct {
	records  map[structs.ClaimKey]*claimRecord
	expiry   expiryHeap
	bytes    int64
	released releasedRequests
}

func newClaimTable() claimTable {
	return claimTable{records: map[structs.ClaimKey]*claimRecord{}, released: newReleasedRequests()}
}

func (t *claimTable) begin(command *ClaimBeginCommand) Result {
	if command.Key == "" || command.Request == "" || command.AnswerBytes < 0 || command.AnswerBytes > MaxAnswerBytes {
		return refused(structs.ErrorInvalid, "the claim has no key, no request or too large an answer",
			"Give a key and ask for a shorter answer.")
	}
	if t.released.has(command.Request) {
		return refused(structs.ErrorConflict, "the request was released as not run before",
			"Send it again as a new request with the same key.")
	}
	record, ok := t.records[command.Key]
	if !ok {
		return t.create(command)
	}
	if record.claim.Digest != command.Digest {
		return refused(structs.ErrorInvalid, "the idempotency key was used for another request",
			"Use a new key for each new request.")
	}
	own := record.claim.State == structs.ClaimHeld &&
		record.claim.Request == command.Request && record.claim.Holder == command.Holder
	if !own {
		return Result{Claim: record.copyClaim()}
	}
	return record.choose(command)
}

func (t *claimTable) create(command *ClaimBeginCommand) Result {
	reserve := int64(command.AnswerBytes)
	if reserve == 0 {
		reserve = DefaultAnswerBytes
	}
	if len(t.records) >= MaxClaims || t.bytes+reserve > MaxClaimBytes {
		problem := structs.NewError(structs.ErrorOverloaded, "the zone keeps as many claims as it can",
			"Send the request again later with the same key.")
		problem.RetryAfter = claimRetryAfter
		return Result{Error: problem}
	}
	record := &claimRecord{
		claim: structs.Claim{
			Key: command.Key, Request: command.Request, Digest: command.Digest, Holder: command.Holder,
			State: structs.ClaimHeld, Runner: command.Runner, Incarnation: command.Incarnation,
		},
		attempt: command.Attempt,
		bytes:   reserve,
	}
	t.records[command.Key] = record
	t.bytes += reserve
	return Result{Claim: record.copyClaim(), ClaimNew: true}
}

// choose names the runner of the holder's next attempt.
func (r *claimRecord) choose(command *ClaimBeginCommand) Result {
	named := command.Runner != ""
	same := r.claim.Runner == command.Runner && r.claim.Incarnation == command.Incarnation
	switch {
	case !named || (same && command.Attempt <= r.attempt):
	case r.claim.Runner == "" || command.Attempt > r.attempt:
		r.claim.Runner = command.Runner
		r.claim.Incarnation = command.Incarnation
		r.attempt = command.Attempt
	default:
		result := refused(structs.ErrorConflict, "a later attempt of the request named its runner",
			"Number each attempt above the ones before.")
		result.Claim = r.copyClaim()
		return result
	}
	return Result{Claim: r.copyClaim(), ClaimNew: true}
}

func (t *claimTable) finish(command *ClaimFinishCommand) Result {
	record, ok := t.records[command.Key]
	if !ok || record.claim.Request != command.Request {
		if command.NotRun {
			t.released.add(command.Request)
			return Result{}
		}
		return refused(structs.ErrorNotFound, "the request holds no claim on the key", "Begin a claim first.")
	}
	if record.claim.State != structs.ClaimHeld {
		return record.finishAgain(command)
	}
	if command.NotRun {
		delete(t.records, command.Key)
		t.bytes -= record.bytes
		t.released.add(command.Request)
		return Result{}
	}
	return t.store(record, command)
}

func (r *claimRecord) finishAgain(command *ClaimFinishCommand) Result {
	result := Result{Claim: r.copyClaim()}
	if command.NotRun || command.State != r.claim.State {
		result.Error = structs.NewError(structs.ErrorConflict, "the claim has ended in another way",
			"Use the outcome that is recorded.")
	}
	return result
}

func (t *claimTable) store(record *claimRecord, command *ClaimFinishCommand) Result {
	switch command.State {
	case structs.ClaimFinished:
	case structs.ClaimUnknown:
		t.bytes -= record.bytes
		record.bytes = 0
		record.claim.State = structs.ClaimUnknown
		return Result{Claim: record.copyClaim()}
	default:
		return refused(structs.ErrorInvalid, "a claim ends as finished or outcome_unknown", "Name one of the two.")
	}
	if int64(len(command.Answer)) > record.bytes {
		return limit("the answer is larger than what the claim set aside",
			"Ask for a shorter answer, or end the claim as outcome_unknown.")
	}
	record.claim.State = structs.ClaimFinished
	record.claim.Answer = slices.Clone(command.Answer)
	record.claim.ExpiresAt = normalTime(command.ExpiresAt)
	t.bytes += int64(len(command.Answer)) - record.bytes
	record.bytes = int64(len(command.Answer))
	heap.Push(&t.expiry, expiryEntry{record.claim.ExpiresAt, command.Key})
	return Result{Claim: record.copyClaim()}
}

func (t *claimTable) expire(command *ClaimExpireCommand) Result {
	for range MaxExpiredClaims {
		if len(t.expiry) == 0 || t.expiry[0].at.After(command.Now) {
			break
		}
		entry := heap.Pop(&t.expiry).(expiryEntry)
		t.bytes -= t.records[entry.key].bytes
		delete(t.records, entry.key)
	}
	return Result{}
}

func (r *claimRecord) copyClaim() *structs.Claim {
	claim := r.claim
	claim.Answer = slices.Clone(r.claim.Answer)
	return &claim
}

// Claim returns the claim under the key, and false when there is none.
func (s *State) Claim(key structs.ClaimKey) (structs.Claim, bool) {
	record, ok := s.claims.records[key]
	if !ok {
		return structs.Claim{}, false
	}
	return *record.copyClaim(), true
}

// HeldClaims returns the claims whose outcome is open, ordered by key.
func (s *State) HeldClaims() []structs.Claim {
	var list []structs.Claim
	for _, key := range slices.Sorted(maps.Keys(s.claims.records)) {
		if record := s.claims.records[key]; record.claim.State == structs.ClaimHeld {
			list = append(list, *record.copyClaim())
		}
	}
	return list
}

// NextClaimExpiry returns when the next finished claim expires, and false when
// none is kept.
func (s *State) NextClaimExpiry() (time.Time, bool) {
	if len(s.claims.expiry) == 0 {
		return time.Time{}, false
	}
	return s.claims.expiry[0].at, true
}

type expiryEntry struct {
	at  time.Time
	key structs.ClaimKey
}

// expiryHeap orders the finished claims by expiry, then key.
type expiryHeap []expiryEntry

func (h expiryHeap) Len() int { return len(h) }
func (h expiryHeap) Less(i, j int) bool {
	return cmp.Or(h[i].at.Compare(h[j].at), cmp.Compare(h[i].key, h[j].key)) < 0
}
func (h expiryHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *expiryHeap) Push(entry any) { *h = append(*h, entry.(expiryEntry)) }

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	entry := (*h)[last]
	*h = (*h)[:last]
	return entry
}
