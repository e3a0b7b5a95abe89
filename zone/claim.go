package zone

import (
	"container/heap"
	"maps"
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

// The bounds of the claims that a zone keeps. A claim that does not fit is
// refused before its request is executed. No kept claim makes way for a new one,
// but the answers that expire first do: their keys stay claimed.
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
// sends it again with Attempt, Runner and what follows from it before it sends
// the request to an engine. It is encoded as an array, so fields are only ever
// added at its end.
type ClaimBeginCommand struct {
	//lint:ignore U1000 The codec reads its tag.
	_msgpack struct{} `msgpack:",as_array"`

	Key     structs.ClaimKey
	Request structs.RequestID
	Digest  uint64
	Holder  structs.DaemonID
	Session structs.SessionID
	// Attempt numbers the holder's choices of a runner, so that a late resend
	// cannot bring back an earlier choice.
	Attempt     uint64
	Runner      structs.RunnerID
	Incarnation structs.Incarnation
	// Address is the runner's, EngineRequest the ID of the attempt at its engine.
	Address       string
	EngineRequest structs.RequestID
	// AnswerBytes is the largest answer to expect; 0 means DefaultAnswerBytes.
	AnswerBytes int
}

// ClaimFinishCommand ends a held claim. The holder sends it, or the zone's leader
// for a holder that died. It is encoded as an array, like ClaimBeginCommand.
type ClaimFinishCommand struct {
	//lint:ignore U1000 The codec reads its tag.
	_msgpack struct{} `msgpack:",as_array"`

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
	// Resolve is set by a leader that ends the claim for its holder. The command
	// then takes effect only while Choice is the holder's latest one, because what
	// is known of one choice says nothing of the next.
	Resolve bool
	Choice  uint64
}

// ClaimExpireCommand removes the finished claims whose time is over. Claims with
// an unknown outcome are kept for good.
type ClaimExpireCommand struct {
	// Now is the proposing leader's clock.
	Now time.Time
}

type claimRecord struct {
	claim structs.Claim
	// bytes is the size of the kept answer, or what is set aside for it.
	bytes int64
}

type claimTable struct {
	records map[structs.ClaimKey]*claimRecord
	// held is the part of records whose outcome is open.
	held map[structs.ClaimKey]*claimRecord
	// expiry holds the finished claims, answers those of them that have an answer.
	expiry   expiryHeap
	answers  expiryHeap
	bytes    int64
	released releasedRequests
}

func newClaimTable() claimTable {
	return claimTable{
		records:  map[structs.ClaimKey]*claimRecord{},
		held:     map[structs.ClaimKey]*claimRecord{},
		released: newReleasedRequests(),
	}
}

// begin holds a key for a request, or names the runner of its next attempt. The
// time is the proposing leader's.
func (t *claimTable) begin(command *ClaimBeginCommand, at time.Time) Result {
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
		return t.create(command, at)
	}
	if record.claim.Digest != command.Digest {
		return refused(structs.ErrorInvalid, "the idempotency key was used for another request",
			"Use a new key for each new request.")
	}
	own := record.claim.State == structs.ClaimHeld &&
		record.claim.Request == command.Request &&
		record.claim.Holder == command.Holder && record.claim.Session == command.Session
	if !own {
		return Result{Claim: record.copyClaim()}
	}
	return record.choose(command, at)
}

func (t *claimTable) create(command *ClaimBeginCommand, at time.Time) Result {
	reserve := int64(command.AnswerBytes)
	if reserve == 0 {
		reserve = DefaultAnswerBytes
	}
	t.dropAnswers(MaxClaimBytes - reserve)
	if len(t.records) >= MaxClaims || t.bytes+reserve > MaxClaimBytes {
		problem := structs.NewError(structs.ErrorOverloaded, "the zone keeps as many claims as it can",
			"Send the request again later with the same key.")
		problem.RetryAfter = claimRetryAfter
		return Result{Error: problem}
	}
	record := &claimRecord{
		claim: structs.Claim{
			Key: command.Key, Request: command.Request, Digest: command.Digest,
			Holder: command.Holder, Session: command.Session, State: structs.ClaimHeld,
		},
		bytes: reserve,
	}
	record.setChoice(command, at)
	t.records[command.Key] = record
	t.held[command.Key] = record
	t.bytes += reserve
	return Result{Claim: record.copyClaim(), ClaimNew: true}
}

func (r *claimRecord) setChoice(command *ClaimBeginCommand, at time.Time) {
	r.claim.Choice = command.Attempt
	r.claim.Runner = command.Runner
	r.claim.Incarnation = command.Incarnation
	r.claim.Address = command.Address
	r.claim.EngineRequest = command.EngineRequest
	r.claim.ChosenAt = normalTime(at)
}

// choose names the runner of the holder's next attempt.
func (r *claimRecord) choose(command *ClaimBeginCommand, at time.Time) Result {
	named := command.Runner != ""
	same := r.claim.Runner == command.Runner && r.claim.Incarnation == command.Incarnation
	switch {
	case !named || (same && command.Attempt <= r.claim.Choice):
	case r.claim.Runner == "" || command.Attempt > r.claim.Choice:
		r.setChoice(command, at)
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
	if command.Resolve && command.Choice != record.claim.Choice {
		result := refused(structs.ErrorConflict, "the holder has chosen a runner since", "Decide again about the latest choice.")
		result.Claim = record.copyClaim()
		return result
	}
	if command.NotRun {
		delete(t.records, command.Key)
		delete(t.held, command.Key)
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
		delete(t.held, command.Key)
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
	delete(t.held, command.Key)
	record.claim.State = structs.ClaimFinished
	record.claim.Answer = slices.Clone(command.Answer)
	record.claim.ExpiresAt = normalTime(command.ExpiresAt)
	t.bytes += int64(len(command.Answer)) - record.bytes
	record.bytes = int64(len(command.Answer))
	heap.Push(&t.expiry, expiryEntry{record.claim.ExpiresAt, command.Key})
	if record.bytes > 0 {
		heap.Push(&t.answers, expiryEntry{record.claim.ExpiresAt, command.Key})
	}
	return Result{Claim: record.copyClaim()}
}

func (t *claimTable) expire(command *ClaimExpireCommand) Result {
	for range MaxExpiredClaims {
		if len(t.expiry) == 0 || t.expiry[0].at.After(command.Now) {
			break
		}
		entry := heap.Pop(&t.expiry).(expiryEntry)
		if len(t.answers) > 0 && t.answers[0].key == entry.key {
			heap.Pop(&t.answers)
		}
		t.bytes -= t.records[entry.key].bytes
		delete(t.records, entry.key)
	}
	return Result{}
}

// dropAnswers drops the answers that expire first until at most the given number
// of bytes is in use, or none is left.
func (t *claimTable) dropAnswers(most int64) {
	for t.bytes > most && len(t.answers) > 0 {
		entry := heap.Pop(&t.answers).(expiryEntry)
		record := t.records[entry.key]
		t.bytes -= record.bytes
		record.bytes = 0
		record.claim.Answer = nil
	}
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
	list := make([]structs.Claim, 0, len(s.claims.held))
	for _, key := range slices.Sorted(maps.Keys(s.claims.held)) {
		list = append(list, *s.claims.held[key].copyClaim())
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
