package zone

import (
	"maps"
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

// The bounds of the claims that a zone keeps. A claim that does not fit is refused
// before its request is executed. Place is made in this order: claims whose time
// is over go; then the finished claims that expire first are shortened to their
// keys (see forgottenAnswers). A held claim, one with an unknown outcome, and a key
// whose time is not over never make way.
const (
	// MaxClaims bounds the claims that are held, unknown, or finished and kept whole.
	MaxClaims = 100_000
	// MaxClaimKeys bounds the claims that are shortened to their keys.
	MaxClaimKeys = 4 << 20
	// MaxExpiredClaims bounds the whole claims that one ClaimExpireCommand removes.
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
	// AnswerBytes is not read: log entries of earlier versions have it.
	AnswerBytes int
	// HolderAddress is where other daemons ask the holder for the answer. Only the
	// command that makes the claim needs it.
	HolderAddress string
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
	// EarlierAnswer is not read: log entries of earlier versions have the answer here.
	EarlierAnswer []byte
	// ExpiresAt is until when the key stays claimed (ClaimFinished only).
	ExpiresAt time.Time
	// Resolve is set by a leader that ends the claim for its holder. The command
	// then takes effect only while Choice is the holder's latest one, because what
	// is known of one choice says nothing of the next.
	Resolve bool
	Choice  uint64
	// AnswerBytes and AnswerHash are the mark of the answer that the holder keeps
	// (ClaimFinished only).
	AnswerBytes int
	AnswerHash  uint64
}

// ClaimExpireCommand removes the finished claims whose time is over. Claims with
// an unknown outcome are kept for good.
type ClaimExpireCommand struct {
	// Now is the proposing leader's clock.
	Now time.Time
}

type claimRecord struct {
	claim structs.Claim
}

// claimTable holds the claims on the zone's keys. Each key is in one of open,
// finished and forgotten.
type claimTable struct {
	// open are the claims that are held or whose outcome is unknown.
	open map[structs.ClaimKey]*claimRecord
	// held is the part of open whose outcome is open.
	held      map[structs.ClaimKey]*claimRecord
	finished  finishedClaims
	forgotten forgottenAnswers
	released  releasedRequests
}

func newClaimTable() claimTable {
	return claimTable{
		open:     map[structs.ClaimKey]*claimRecord{},
		held:     map[structs.ClaimKey]*claimRecord{},
		finished: newFinishedClaims(),
		released: newReleasedRequests(),
	}
}

// begin holds a key for a request, or names the runner of its next attempt. The
// time is the proposing leader's.
func (t *claimTable) begin(command *ClaimBeginCommand, at time.Time) Result {
	if command.Key == "" || command.Request == "" {
		return refused(structs.ErrorInvalid, "the claim has no key or no request", "Give both.")
	}
	if t.released.has(command.Request) {
		return refused(structs.ErrorConflict, "the request was released as not run before",
			"Send it again as a new request with the same key.")
	}
	record, isOpen := t.open[command.Key]
	if !isOpen {
		return t.beginUnopened(command, at)
	}
	if record.claim.Digest != command.Digest {
		return otherContent()
	}
	own := record.claim.State == structs.ClaimHeld &&
		record.claim.Request == command.Request &&
		record.claim.Holder == command.Holder && record.claim.Session == command.Session
	if !own {
		return Result{Claim: record.copyClaim()}
	}
	return record.choose(command, at)
}

// beginUnopened tells that the key's request has finished, or makes a claim.
func (t *claimTable) beginUnopened(command *ClaimBeginCommand, at time.Time) Result {
	hash := hashKey(command.Key)
	if known, isFinished := t.finished.get(hash); isFinished {
		if known.digest != command.Digest {
			return otherContent()
		}
		return Result{Claim: t.finished.claim(command.Key, known)}
	}
	if t.forgotten.has(hash) {
		return Result{Claim: &structs.Claim{Key: command.Key, Digest: command.Digest, State: structs.ClaimFinished}}
	}
	return t.create(command, at)
}

func otherContent() Result {
	return refused(structs.ErrorInvalid, "the idempotency key was used for another request",
		"Use a new key for each new request.")
}

func (t *claimTable) create(command *ClaimBeginCommand, at time.Time) Result {
	if !t.makePlace() {
		problem := structs.NewError(structs.ErrorOverloaded, "the zone keeps as many claims as it can",
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

// makePlace shortens the finished claim that expires first if there is no place
// for one more claim. It reports whether there is place now.
func (t *claimTable) makePlace() bool {
	if len(t.open)+t.finished.count() < MaxClaims {
		return true
	}
	if t.finished.count() == 0 || t.forgotten.count >= MaxClaimKeys {
		return false
	}
	hash, oldest := t.finished.removeFirst()
	t.forgotten.add(hash, oldest.expiresAt)
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
	record, isOpen := t.open[command.Key]
	if !isOpen {
		return t.finishUnopened(command)
	}
	if record.claim.Request != command.Request {
		return t.finishUnheld(command)
	}
	if record.claim.State != structs.ClaimHeld {
		return finishAgain(record.copyClaim(), command)
	}
	if command.Resolve && command.Choice != record.claim.Choice {
		result := refused(structs.ErrorConflict, "the holder has chosen a runner since", "Decide again about the latest choice.")
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

// finishUnopened ends a claim that is not open: it has finished, or was never held.
func (t *claimTable) finishUnopened(command *ClaimFinishCommand) Result {
	known, isFinished := t.finished.get(hashKey(command.Key))
	if isFinished && known.request == hashRequest(command.Request) {
		return finishAgain(t.finished.claim(command.Key, known), command)
	}
	return t.finishUnheld(command)
}

// finishUnheld ends the claim of a request that holds none.
func (t *claimTable) finishUnheld(command *ClaimFinishCommand) Result {
	if command.NotRun {
		t.released.add(command.Request)
		return Result{}
	}
	return refused(structs.ErrorNotFound, "the request holds no claim on the key", "Begin a claim first.")
}

// finishAgain ends a claim that has ended before.
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
		return refused(structs.ErrorInvalid, "a claim ends as finished or outcome_unknown", "Name one of the two.")
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
	t.forgotten.expire(now)
	return Result{}
}

func (r *claimRecord) copyClaim() *structs.Claim {
	claim := r.claim
	return &claim
}

// Claim returns the claim under the key, and false when there is none.
func (s *State) Claim(key structs.ClaimKey) (structs.Claim, bool) {
	if record, isOpen := s.claims.open[key]; isOpen {
		return *record.copyClaim(), true
	}
	hash := hashKey(key)
	if known, isFinished := s.claims.finished.get(hash); isFinished {
		return *s.claims.finished.claim(key, known), true
	}
	if s.claims.forgotten.has(hash) {
		return structs.Claim{Key: key, State: structs.ClaimFinished}, true
	}
	return structs.Claim{}, false
}

// HeldClaims returns the claims whose outcome is open, ordered by key.
func (s *State) HeldClaims() []structs.Claim {
	list := make([]structs.Claim, 0, len(s.claims.held))
	for _, key := range slices.Sorted(maps.Keys(s.claims.held)) {
		list = append(list, *s.claims.held[key].copyClaim())
	}
	return list
}

// ClaimCounts says how many claims a zone keeps.
type ClaimCounts struct {
	// Held and Unknown claims are kept until they end, or for good.
	Held, Unknown int
	// Finished claims name who keeps the answer; Keys are shortened to their key.
	Finished, Keys int
}

// ClaimCounts counts the kept claims.
func (s *State) ClaimCounts() ClaimCounts {
	return ClaimCounts{
		Held:     len(s.claims.held),
		Unknown:  len(s.claims.open) - len(s.claims.held),
		Finished: s.claims.finished.count(),
		Keys:     s.claims.forgotten.count,
	}
}

// NextClaimExpiry returns when the next finished claim expires, and false when
// none is kept.
func (s *State) NextClaimExpiry() (time.Time, bool) {
	next, any := s.claims.finished.firstExpiry()
	if end, anyKey := s.claims.forgotten.firstEnd(); anyKey && (!any || end < next) {
		next, any = end, true
	}
	return time.Unix(int64(next), 0).UTC(), any
}
