package router

import (
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

// Effect is an action for the driver. Effects are values, except Deliver, which is a
// pointer to memory that the Core reuses.
type Effect interface{ effect() }

// SendAttempt sends Generate to the runner at Address. Failures are returned as
// AttemptFailed, tokens as TokenReceived.
type SendAttempt struct {
	Attempt     AttemptID
	Runner      structs.RunnerID
	Address     string
	Incarnation structs.Incarnation
	Generate    structs.GenerateRequest
	// EstimatedWait is the queueing delay estimated at admission, Waited the actual one.
	// Both are zero after the first attempt.
	EstimatedWait time.Duration
	Waited        time.Duration
}

// CancelAttempt cancels the attempt at its engine and closes its stream.
type CancelAttempt struct{ Attempt AttemptID }

// BeginClaim asks the group of zone Claim.Home to hold the claim durably. Runner and
// Incarnation are set before each attempt: in the first BeginClaim if a replica is free,
// otherwise in a later one of the same request, for which the zone updates the record and
// answers New. Each is answered by ClaimReplied, with an Error if the zone did not
// answer.
type BeginClaim struct {
	ID    structs.RequestID
	Claim structs.Claim
	// Choice numbers the runners chosen for the request; 0 means that none is named yet.
	Choice uint64
}

// FinishClaim asks the group of zone Claim.Home to record the end of the claim: finished,
// unknown, or released (the request certainly did not run and never will). It has no
// effect on a claim that another request holds or that has ended. The driver retries it
// until the zone has recorded it; the caller does not wait for that.
//
// Answer is the complete encoded answer of a finished claim. The driver returns it for
// every FetchAnswer from now on, and writes it to disk, if it has one, before it records
// the end.
type FinishClaim struct {
	ID     structs.RequestID
	Claim  structs.Claim
	Answer []byte
}

// FetchAnswer asks the router Claim.Holder, possibly this one, for its stored answer to
// the request under Claim.Key. For a claim that is still held, only an answer of
// Claim.Request counts. It is answered by AnswerFetched within a second or two.
type FetchAnswer struct {
	ID    structs.RequestID
	Claim structs.Claim
}

// AskStatus asks the engine for the state of an attempt. The driver first cancels the
// attempt at the engine, which fences its ID, and asks only after the engine has
// acknowledged the cancellation; otherwise it replies with an Error.
type AskStatus struct {
	ID      structs.RequestID
	Attempt AttemptID
	Runner  structs.RunnerID
	Address string
	// Peek asks about a running attempt without cancelling it; the reply carries the
	// flag.
	Peek bool
}

// Deliver passes the next token to the caller. The pointer is valid until the next call
// of Step.
type Deliver struct {
	ID    structs.RequestID
	Token structs.Token
}

// Finish ends a request whose answer was delivered completely.
type Finish struct {
	ID     structs.RequestID
	Finish structs.FinishReason
}

// Replay ends a request whose key was already answered; DecodeAnswer decodes Answer.
type Replay struct {
	ID     structs.RequestID
	Answer []byte
}

// Reject ends a request without a complete answer.
type Reject struct {
	ID        structs.RequestID
	Rejection structs.Rejection
}

// Forward sends the request to a router of another zone with Forwarded set. The driver
// tries Zones in order until one has received it.
type Forward struct {
	ID    structs.RequestID
	Zones []structs.ZoneID
}

// Offer sends the request to a router of another zone with Forwarded and IfReady set. The
// driver tries Zones in order and reports OfferTaken once a zone accepts the request, or
// OfferFailed once all have rejected it or Budget has elapsed.
type Offer struct {
	ID     structs.RequestID
	Zones  []structs.ZoneID
	Budget time.Duration
}

func (SendAttempt) effect()   {}
func (CancelAttempt) effect() {}
func (BeginClaim) effect()    {}
func (FinishClaim) effect()   {}
func (FetchAnswer) effect()   {}
func (AskStatus) effect()     {}
func (*Deliver) effect()      {}
func (Finish) effect()        {}
func (Replay) effect()        {}
func (Reject) effect()        {}
func (Forward) effect()       {}
func (Offer) effect()         {}
