package router

import (
	"strings"

	"github.com/lotusferry/lotusferry/structs"
)

// AttemptID names one attempt to run a request on an engine. It is the request's
// ID, a point and the number of the attempt; the engine knows the attempt by
// this ID, and it is never used again.
type AttemptID string

// Request is the ID of the request that the attempt belongs to.
func (a AttemptID) Request() structs.RequestID {
	end := strings.LastIndexByte(string(a), attemptSeparator)
	return structs.RequestID(a[:max(end, 0)])
}

// attemptSeparator stands between a request's ID and the attempt's number.
const attemptSeparator = '.'

// FailureStage says how far an attempt or a forward came before it failed.
type FailureStage uint8

// The stages of failure.
const (
	// NotSent: nothing reached the other side; it certainly did not run.
	NotSent FailureStage = iota
	// RefusedByEngine: the engine answered that it does not run the attempt; it
	// certainly did not run.
	RefusedByEngine
	// Broken: the connection ended after the request was sent; it may have run.
	Broken
)

// Event is something that happened; the shell hands it to Core.Step.
type Event interface{ event() }

// Arrived is a new request of a caller or of another zone's router. Request.ID
// must be unique for the life of the site.
type Arrived struct{ Request structs.Request }

// CallerGone says that nobody waits for the request any more.
type CallerGone struct{ ID structs.RequestID }

// ClaimReplied answers BeginClaim. Claim is the record as the home zone holds
// it, with the runner that was named last; New is true when it is held for this
// very request. Error is set when the zone refused or could not decide; NotAsked
// says that this BeginClaim never reached the zone and never will.
type ClaimReplied struct {
	ID       structs.RequestID
	Claim    *structs.Claim
	New      bool
	Error    *structs.Error
	NotAsked bool
}

// AnswerFetched answers FetchAnswer. Answer is empty when the router does not have
// the answer, and Unreachable is set when it did not say.
type AnswerFetched struct {
	ID          structs.RequestID
	Answer      []byte
	Unreachable bool
}

// AttemptStarted says that the engine accepted the attempt.
type AttemptStarted struct{ Attempt AttemptID }

// TokenReceived is one token of an attempt's stream. A shell that handles many
// tokens may pass a pointer to a TokenReceived that it uses again.
type TokenReceived struct {
	Attempt AttemptID
	Token   structs.Token
}

// AttemptFailed says that the attempt's stream ended without a whole answer.
type AttemptFailed struct {
	Attempt AttemptID
	Stage   FailureStage
	Error   *structs.Error
}

// StatusReplied answers AskStatus. Error is set when the engine could not be
// asked or did not acknowledge the cancellation.
type StatusReplied struct {
	ID      structs.RequestID
	Attempt AttemptID
	Status  *structs.RequestStatus
	Error   *structs.Error
	// Peek is that of AskStatus: the attempt was not cancelled.
	Peek bool
}

// ForwardFailed says that no zone of a Forward gave a whole answer. Stage is
// NotSent when no zone received the request.
type ForwardFailed struct {
	ID         structs.RequestID
	Row        structs.RowName
	Repeatable bool
	Stage      FailureStage
	Error      *structs.Error
}

// OfferTaken says that the zone executes the request of an Offer. From then on it
// is like a request that was forwarded.
type OfferTaken struct {
	ID   structs.RequestID
	Zone structs.ZoneID
}

// OfferFailed says that no zone took the request of an Offer: Refused are the zones that
// said so, Silent those that did not answer in time. MayHaveRun is set when a zone
// that received the request is among the silent ones.
type OfferFailed struct {
	ID         structs.RequestID
	Refused    []structs.ZoneID
	Silent     []structs.ZoneID
	MayHaveRun bool
}

// ViewChanged brings the zone's table, grants and placement.
type ViewChanged struct{ View structs.ZoneView }

// LoadObserved brings a runner's lagging load report.
type LoadObserved struct {
	Runner structs.RunnerID
	Report structs.LoadReport
}

// CacheEvent says that a runner cached or evicted a prompt prefix (see
// routing.PrefixHashes), or that its cache is empty. Events may be late and may
// be missing. An engine's event about several blocks becomes one CacheEvent for
// each, with the same Sequence.
type CacheEvent struct {
	Runner   structs.RunnerID
	Sequence uint64
	// Row is part of what PrefixHash covers.
	Row        structs.RowName
	PrefixHash uint64
	Evicted    bool
	Cleared    bool
}

// RunnerLeaving says that the runner gets no new attempt from now on.
type RunnerLeaving struct{ Runner structs.RunnerID }

// DrainStarted says that this router stops: it takes no new request and finishes
// those it has.
type DrainStarted struct{}

// Tick lets time pass. The shell ticks at NextDeadline at the latest.
type Tick struct{}

func (Arrived) event()        {}
func (CallerGone) event()     {}
func (ClaimReplied) event()   {}
func (AnswerFetched) event()  {}
func (AttemptStarted) event() {}
func (TokenReceived) event()  {}
func (AttemptFailed) event()  {}
func (StatusReplied) event()  {}
func (ForwardFailed) event()  {}
func (OfferTaken) event()     {}
func (OfferFailed) event()    {}
func (ViewChanged) event()    {}
func (LoadObserved) event()   {}
func (CacheEvent) event()     {}
func (RunnerLeaving) event()  {}
func (DrainStarted) event()   {}
func (Tick) event()           {}
