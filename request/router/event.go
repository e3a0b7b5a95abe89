package router

import (
	"strings"

	"github.com/lotusferry/lotusferry/structs"
)

// AttemptID names one attempt to run a request on an engine: the ID of the request, a dot
// and the number of the attempt. The engine knows the attempt by this ID, which is never
// reused.
type AttemptID string

// Request returns the ID of the request that the attempt belongs to.
func (a AttemptID) Request() structs.RequestID {
	end := strings.LastIndexByte(string(a), attemptSeparator)
	return structs.RequestID(a[:max(end, 0)])
}

// attemptSeparator separates the ID of the request from the number of the attempt.
const attemptSeparator = '.'

// FailureStage is how far an attempt or a forward got before it failed.
type FailureStage uint8

// The stages of failure.
const (
	// NotSent: nothing reached the other side; the request certainly did not run.
	NotSent FailureStage = iota
	// RejectedByEngine: the engine rejected the attempt; the request certainly did not run.
	RejectedByEngine
	// Broken: the connection ended after the request was sent; the request may have run.
	Broken
)

// Event is an input of Core.Step.
type Event interface{ event() }

// Arrived is a new request of a caller or of a router in another zone. Request.ID must be
// unique for the lifetime of the site.
type Arrived struct{ Request structs.Request }

// CallerGone reports that the caller no longer waits for the request.
type CallerGone struct{ ID structs.RequestID }

// ClaimReplied answers BeginClaim. Claim is the record in the home zone, with the runner
// named last; New is true when it is held for this request. Error is set when the zone
// rejected or could not decide. NotAsked reports that this BeginClaim never reached the
// zone and never will.
type ClaimReplied struct {
	ID       structs.RequestID
	Claim    *structs.Claim
	New      bool
	Error    *structs.Error
	NotAsked bool
}

// AnswerFetched answers FetchAnswer. Answer is empty when the router does not have the
// answer; Unreachable is set when the router did not reply.
type AnswerFetched struct {
	ID          structs.RequestID
	Answer      []byte
	Unreachable bool
}

// AttemptStarted reports that the engine accepted the attempt.
type AttemptStarted struct{ Attempt AttemptID }

// TokenReceived is one token of the stream of an attempt. A driver may pass a pointer to
// a reused TokenReceived to avoid allocations.
type TokenReceived struct {
	Attempt AttemptID
	Token   structs.Token
}

// AttemptFailed reports that the stream of the attempt ended before the answer was
// complete.
type AttemptFailed struct {
	Attempt AttemptID
	Stage   FailureStage
	Error   *structs.Error
}

// StatusReplied answers AskStatus. Error is set when the engine could not be asked or did
// not acknowledge the cancellation.
type StatusReplied struct {
	ID      structs.RequestID
	Attempt AttemptID
	Status  *structs.RequestStatus
	Error   *structs.Error
	// Peek is copied from AskStatus: the attempt was not cancelled.
	Peek bool
}

// ForwardFailed reports that no zone of a Forward returned a complete answer. Stage is
// NotSent when no zone received the request.
type ForwardFailed struct {
	ID         structs.RequestID
	Row        structs.RowName
	Repeatable bool
	Stage      FailureStage
	Error      *structs.Error
}

// OfferTaken reports that the zone executes the request of an Offer, which is handled
// like a forwarded request from then on.
type OfferTaken struct {
	ID   structs.RequestID
	Zone structs.ZoneID
}

// OfferFailed reports that no zone accepted the request of an Offer. Rejected lists the
// zones that rejected it, TimedOut those that did not answer in time. MayHaveRun is set when
// one of the latter received the request.
type OfferFailed struct {
	ID         structs.RequestID
	Rejected   []structs.ZoneID
	TimedOut   []structs.ZoneID
	MayHaveRun bool
}

// ViewChanged carries changes of the table, grants and placement of the zone.
type ViewChanged struct{ View structs.ZoneView }

// LoadObserved carries a load report of a runner, which may be out of date.
type LoadObserved struct {
	Runner structs.RunnerID
	Report structs.LoadReport
}

// CacheEvent reports that a runner cached or evicted a prompt prefix (see
// routing.PrefixHashes), or cleared its cache. Events may be late or lost. An engine
// event about several blocks becomes one CacheEvent for each, with the same Sequence.
type CacheEvent struct {
	Runner   structs.RunnerID
	Sequence uint64
	// Row is covered by PrefixHash.
	Row        structs.RowName
	PrefixHash uint64
	Evicted    bool
	Cleared    bool
}

// RunnerLeaving reports that the runner accepts no new attempts.
type RunnerLeaving struct{ Runner structs.RunnerID }

// DrainStarted reports that the router is shutting down: it accepts no new requests and
// finishes the current ones.
type DrainStarted struct{}

// DrainCut reports that the driver has refused all requests, because the time to finish
// them is over. None of them is sent from then on.
type DrainCut struct{}

// Tick advances the time. The driver sends it at NextDeadline at the latest.
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
func (DrainCut) event()       {}
func (Tick) event()           {}
