package router

import (
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

// Effect is something the shell must do. Effects are values, but for Deliver,
// which comes as a pointer into memory that the Core uses again.
type Effect interface{ effect() }

// SendAttempt asks to send Generate to the runner at Address. Failures come back
// as AttemptFailed, tokens as TokenReceived.
type SendAttempt struct {
	Attempt     AttemptID
	Runner      structs.RunnerID
	Address     string
	Incarnation structs.Incarnation
	Generate    structs.GenerateRequest
	// EstimatedWait is the wait for this attempt that was expected when the request
	// was admitted, and Waited the actual one. Both are zero for later attempts.
	EstimatedWait time.Duration
	Waited        time.Duration
}

// CancelAttempt asks to cancel the attempt at its engine and close its stream.
type CancelAttempt struct{ Attempt AttemptID }

// BeginClaim asks the group of the zone Claim.Home to hold the claim durably. Runner
// and Incarnation are set before each attempt: in the first one if a replica is free,
// else the same request sends it again. The zone records them and answers New. ClaimReplied answers each one, with an Error
// if the zone's answer did not come.
type BeginClaim struct {
	ID    structs.RequestID
	Claim structs.Claim
	// Choice numbers the request's choices of a runner; 0 names none yet.
	Choice uint64
}

// FinishClaim asks the group of the zone Claim.Home to record the claim's end:
// finished, unknown, or released (it certainly did not run and never will). It has
// no effect on a claim that another request holds or that has ended. The shell
// repeats it until the zone has it; the request's caller does not wait.
//
// Answer is the whole encoded answer of a finished claim. The shell finds it for
// every FetchAnswer from now on, and keeps it on its disk, if it has one, before it
// records the end.
type FinishClaim struct {
	ID     structs.RequestID
	Claim  structs.Claim
	Answer []byte
}

// FetchAnswer asks the router Claim.Holder, which may be this one, for the answer
// that it keeps to the request under Claim.Key. Of a claim that is still held, only
// an answer of Claim.Request counts. AnswerFetched answers it, within a second or two.
type FetchAnswer struct {
	ID    structs.RequestID
	Claim structs.Claim
}

// AskStatus asks the engine what became of an attempt. The shell first cancels
// the attempt at the engine, which fences its ID, and asks only once the engine
// has acknowledged the cancellation; otherwise it answers with an Error.
type AskStatus struct {
	ID      structs.RequestID
	Attempt AttemptID
	Runner  structs.RunnerID
	Address string
	// Peek asks about a silent attempt that goes on: the shell does not cancel it,
	// and says so in its answer.
	Peek bool
}

// Deliver hands the caller the next token. The pointer is valid until the next
// call of Step.
type Deliver struct {
	ID    structs.RequestID
	Token structs.Token
}

// Finish ends a request whose whole answer was delivered.
type Finish struct {
	ID     structs.RequestID
	Finish structs.FinishReason
}

// Replay ends a request whose key was already answered; DecodeAnswer reads Answer.
type Replay struct {
	ID     structs.RequestID
	Answer []byte
}

// Refuse ends a request that gets no whole answer.
type Refuse struct {
	ID      structs.RequestID
	Refusal structs.Refusal
}

// Forward hands the request to a router of another zone with Forwarded set. The
// shell tries Zones in order until one has received it.
type Forward struct {
	ID    structs.RequestID
	Zones []structs.ZoneID
}

// Offer hands the request to a router of another zone with Forwarded and IfReady
// set. The shell tries Zones in order and answers OfferTaken once one has said that
// it executes the request, or OfferFailed once all have refused it or Budget is over.
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
func (Refuse) effect()        {}
func (Forward) effect()       {}
func (Offer) effect()         {}
