package zone

import (
	"maps"
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

// Limits on the claims of a zone. A claim that does not fit is rejected before its
// request is executed. Expired claims are removed first; then the finished claims
// with the earliest expiry are reduced to their keys (see keyOnlyClaims). Held
// claims, claims with an unknown outcome and unexpired keys are never evicted.
const (
	// MaxClaims is the maximum number of held, unknown and complete finished claims.
	MaxClaims = 100_000
	// MaxClaimKeys is the maximum number of claims reduced to their keys.
	MaxClaimKeys = 4 << 20
	// MaxExpiredClaims is the maximum number of complete claims removed by one
	// ClaimExpireCommand.
	MaxExpiredClaims = 10_000
	// MaxReleasedRequests is the number of released requests remembered. A begin
	// delayed past that many later releases claims its key again.
	MaxReleasedRequests = 16_384
	// claimRetryAfter is the retry delay returned when the claim table is full.
	claimRetryAfter = 30 * time.Second
)

// ClaimBeginCommand claims a key for a request that must not run twice. Resending
// it for the same request and holder returns the same claim. The holder sends it
// again, with the fields from Attempt to EngineRequest set, before it sends the
// request to an engine. It is encoded as an array, so new fields must be appended.
type ClaimBeginCommand struct {
	//lint:ignore U1000 The codec reads its tag.
	_msgpack struct{} `msgpack:",as_array"`

	Key     structs.ClaimKey
	Request structs.RequestID
	Digest  uint64
	Holder  structs.DaemonID
	Session structs.SessionID
	// Attempt numbers the holder's runner choices, so that a late resend cannot
	// restore an earlier choice.
	Attempt     uint64
	Runner      structs.RunnerID
	Incarnation structs.Incarnation
	// Address is the runner's address, EngineRequest the attempt's ID at its engine.
	Address       string
	EngineRequest structs.RequestID
	// AnswerBytes is ignored; log entries of earlier versions contain it.
	AnswerBytes int
	// HolderAddress is the address from which other daemons fetch the answer. It is
	// needed only in the command that creates the claim.
	HolderAddress string
}

// ClaimFinishCommand ends a held claim. It is sent by the holder, or by the zone's
// leader if the holder has died. It is encoded as an array, like ClaimBeginCommand.
type ClaimFinishCommand struct {
	//lint:ignore U1000 The codec reads its tag.
	_msgpack struct{} `msgpack:",as_array"`

	Key     structs.ClaimKey
	Request structs.RequestID
	// State is ClaimFinished or ClaimUnknown.
	State structs.ClaimState
	// NotRun removes the claim, if any, because the request did not run and never
	// will; State is ignored. A later begin of the request is rejected.
	NotRun bool
	// EarlierAnswer is ignored; log entries of earlier versions store the answer here.
	EarlierAnswer []byte
	// ExpiresAt is when the key may be claimed again (ClaimFinished only).
	ExpiresAt time.Time
	// Resolve is set by a leader that ends the claim on behalf of its holder. The
	// command then takes effect only if Choice is still the holder's latest choice,
	// since the outcome of one choice does not apply to the next.
	Resolve bool
	Choice  uint64
	// AnswerBytes and AnswerHash identify the answer stored by the holder
	// (ClaimFinished only).
	AnswerBytes int
	AnswerHash  uint64
}

// ClaimExpireCommand removes expired finished claims. Claims with an unknown
// outcome never expire.
type ClaimExpireCommand struct {
	// Now is the proposing leader's clock.
	Now time.Time
}

type claimRecord struct {
	claim structs.Claim
}

// claimTable holds the claims on the zone's keys. Each key is in at most one of
// open, finished and keyOnly.
type claimTable struct {
	// open contains the claims that are held or have an unknown outcome.
	open map[structs.ClaimKey]*claimRecord
	// held contains the claims in open that have not ended.
	held     map[structs.ClaimKey]*claimRecord
	finished finishedClaims
	keyOnly  keyOnlyClaims
	released releasedRequests
}

func newClaimTable() claimTable {
	return claimTable{
		open:     map[structs.ClaimKey]*claimRecord{},
		held:     map[structs.ClaimKey]*claimRecord{},
		finished: newFinishedClaims(),
		released: newReleasedRequests(),
	}
}

// begin claims a key for a request, or records the runner of its next attempt. The
// time at is the proposing leader's clock.
func (t *claimTable) begin(command *ClaimBeginCommand, at time.Time) Result {
	if command.Key == "" || command.Request == "" {
		return rejected(structs.ErrorInvalid, "the claim has no key or no request", "Give both.")
	}
	if t.released.has(command.Request) {
		return rejected(structs.ErrorConflict, "the request was released as not run before",
			"Send it again as a new request with the same key.")
	}
	record, isOpen := t.open[command.Key]
	if !isOpen {
		return t.beginNotOpen(command, at)
	}
	if record.claim.Digest != command.Digest {
		return digestMismatch()
	}
	own := record.claim.State == structs.ClaimHeld &&
		record.claim.Request == command.Request &&
		record.claim.Holder == command.Holder && record.claim.Session == command.Session
	if !own {
		return Result{Claim: record.copyClaim()}
	}
	return record.choose(command, at)
}

// beginNotOpen returns the finished claim on the key, or creates a claim.
func (t *claimTable) beginNotOpen(command *ClaimBeginCommand, at time.Time) Result {
	hash := hashKey(command.Key)
	if known, isFinished := t.finished.get(hash); isFinished {
		if known.digest != command.Digest {
			return digestMismatch()
		}
		return Result{Claim: t.finished.claim(command.Key, known)}
	}
	if t.keyOnly.has(hash) {
		return Result{Claim: &structs.Claim{Key: command.Key, Digest: command.Digest, State: structs.ClaimFinished}}
	}
	return t.create(command, at)
}

func digestMismatch() Result {
	return rejected(structs.ErrorInvalid, "the idempotency key was used for another request",
		"Use a new key for each new request.")
}

func (t *claimTable) create(command *ClaimBeginCommand, at time.Time) Result {
	if !t.makeRoom() {
		problem := structs.NewError(structs.ErrorOverloaded, "the zone's claim table is full",
			"Send the request again later with the same key.")
		problem.RetryAfter = claimRetryAfter
		return Result{Error: problem}
	}
	record := &claimRecord{claim: structs.Claim{
		Key: command.Key, Request: command.Request, Digest: command.Digest,
		Holder: command.Holder, Session: command.Session, HolderAddress: command.HolderAddress, State: structs.ClaimHeld,
	}}
	record.setChoice(command, at)
	t.open[command.Key] = record
	t.held[command.Key] = record
	return Result{Claim: record.copyClaim(), ClaimNew: true}
}

// makeRoom reduces the finished claim with the earliest expiry to its key if the
// table is full. It reports whether a claim can be added.
func (t *claimTable) makeRoom() bool {
	if len(t.open)+t.finished.count() < MaxClaims {
		return true
	}
	if t.finished.count() == 0 || t.keyOnly.count >= MaxClaimKeys {
		return false
	}
	hash, oldest := t.finished.removeFirst()
	t.keyOnly.add(hash, oldest.expiresAt)
	return true
}

func (r *claimRecord) setChoice(command *ClaimBeginCommand, at time.Time) {
	r.claim.Choice = command.Attempt
	r.claim.Runner = command.Runner
	r.claim.Incarnation = command.Incarnation
	r.claim.Address = command.Address
	r.claim.EngineRequest = command.EngineRequest
	r.claim.ChosenAt = normalTime(at)
}

// choose records the runner of the holder's next attempt.
func (r *claimRecord) choose(command *ClaimBeginCommand, at time.Time) Result {
	named := command.Runner != ""
	same := r.claim.Runner == command.Runner && r.claim.Incarnation == command.Incarnation
	switch {
	case !named || (same && command.Attempt <= r.claim.Choice):
	case r.claim.Runner == "" || command.Attempt > r.claim.Choice:
		r.setChoice(command, at)
	default:
		result := rejected(structs.ErrorConflict, "a later attempt of the request named its runner",
			"Number each attempt above the ones before.")
		result.Claim = r.copyClaim()
		return result
	}
	return Result{Claim: r.copyClaim(), ClaimNew: true}
}

func (t *claimTable) finish(command *ClaimFinishCommand) Result {
	record, isOpen := t.open[command.Key]
	if !isOpen {
		return t.finishNotOpen(command)
	}
	if record.claim.Request != command.Request {
		return t.finishUnheld(command)
	}
	if record.claim.State != structs.ClaimHeld {
		return finishAgain(record.copyClaim(), command)
	}
	if command.Resolve && command.Choice != record.claim.Choice {
		result := rejected(structs.ErrorConflict, "the holder has since chosen another runner", "Resolve the claim again for the latest choice.")
		result.Claim = record.copyClaim()
		return result
	}
	if command.NotRun {
		delete(t.open, command.Key)
		delete(t.held, command.Key)
		t.released.add(command.Request)
		return Result{}
	}
	return t.store(record, command)
}

// finishNotOpen handles the end of a claim that has finished or was never held.
func (t *claimTable) finishNotOpen(command *ClaimFinishCommand) Result {
	known, isFinished := t.finished.get(hashKey(command.Key))
	if isFinished && known.request == hashRequest(command.Request) {
		return finishAgain(t.finished.claim(command.Key, known), command)
	}
	return t.finishUnheld(command)
}

// finishUnheld handles the end of a claim for a request that holds none.
func (t *claimTable) finishUnheld(command *ClaimFinishCommand) Result {
	if command.NotRun {
		t.released.add(command.Request)
		return Result{}
	}
	return rejected(structs.ErrorNotFound, "the request holds no claim on the key", "Begin a claim first.")
}

// finishAgain handles a repeated end of a claim. It returns ErrorConflict if the
// outcome differs from the recorded one.
func finishAgain(claim *structs.Claim, command *ClaimFinishCommand) Result {
	result := Result{Claim: claim}
	if command.NotRun || command.State != claim.State {
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
		record.claim.State = structs.ClaimUnknown
		return Result{Claim: record.copyClaim()}
	default:
		return rejected(structs.ErrorInvalid, "a claim must end as finished or outcome_unknown", "Use one of these states.")
	}
	delete(t.held, command.Key)
	delete(t.open, command.Key)
	known := t.finished.add(record.claim, command)
	return Result{Claim: t.finished.claim(command.Key, known)}
}

func (t *claimTable) expire(command *ClaimExpireCommand) Result {
	now := command.Now.Unix()
	for range MaxExpiredClaims {
		first, any := t.finished.firstExpiry()
		if !any || int64(first) > now {
			break
		}
		t.finished.removeFirst()
	}
	t.keyOnly.expire(now)
	return Result{}
}

func (r *claimRecord) copyClaim() *structs.Claim {
	claim := r.claim
	return &claim
}

// Claim returns the claim on the key, and false if there is none.
func (s *State) Claim(key structs.ClaimKey) (structs.Claim, bool) {
	if record, isOpen := s.claims.open[key]; isOpen {
		return *record.copyClaim(), true
	}
	hash := hashKey(key)
	if known, isFinished := s.claims.finished.get(hash); isFinished {
		return *s.claims.finished.claim(key, known), true
	}
	if s.claims.keyOnly.has(hash) {
		return structs.Claim{Key: key, State: structs.ClaimFinished}, true
	}
	return structs.Claim{}, false
}

// HeldClaims returns the claims that have not ended, ordered by key.
func (s *State) HeldClaims() []structs.Claim {
	list := make([]structs.Claim, 0, len(s.claims.held))
	for _, key := range slices.Sorted(maps.Keys(s.claims.held)) {
		list = append(list, *s.claims.held[key].copyClaim())
	}
	return list
}

// ClaimCounts contains the numbers of a zone's claims by state.
type ClaimCounts struct {
	// Held claims are kept until they end; Unknown claims never expire.
	Held, Unknown int
	// Finished claims record who stores the answer; Keys are reduced to their key.
	Finished, Keys int
}

// ClaimCounts returns the numbers of claims by state.
func (s *State) ClaimCounts() ClaimCounts {
	return ClaimCounts{
		Held:     len(s.claims.held),
		Unknown:  len(s.claims.open) - len(s.claims.held),
		Finished: s.claims.finished.count(),
		Keys:     s.claims.keyOnly.count,
	}
}

// NextClaimExpiry returns when the next finished claim expires, and false if there
// is none.
func (s *State) NextClaimExpiry() (time.Time, bool) {
	next, any := s.claims.finished.firstExpiry()
	if end, anyKey := s.claims.keyOnly.firstEnd(); anyKey && (!any || end < next) {
		next, any = end, true
	}
	return time.Unix(int64(next), 0).UTC(), any
}
