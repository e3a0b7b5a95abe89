package structs

import "time"

// ClaimKey is the caller's idempotency key.
type ClaimKey string

// ClaimState is the state of a claim on a key.
type ClaimState string

// The states of a claim.
const (
	// ClaimHeld: an execution may be under way by Holder.
	ClaimHeld ClaimState = "held"
	// ClaimFinished: the answer is kept and replayed.
	ClaimFinished ClaimState = "finished"
	// ClaimUnknown: nobody can know whether it ran; this is for good.
	ClaimUnknown ClaimState = "outcome_unknown"
	// ClaimReleased: the request certainly did not run; the key is free again.
	ClaimReleased ClaimState = "released"
)

// Claim is the durable record, in the key's home zone, that a request which may
// not be repeated is or was executed.
type Claim struct {
	Key     ClaimKey
	Request RequestID
	// Digest is the hash of the request's content: another content under the
	// same key is refused.
	Digest uint64
	Holder DaemonID
	State  ClaimState
	// Runner and Incarnation name the engine that the holder was about to use,
	// so that the outcome can be asked after the holder's death.
	Runner      RunnerID
	Incarnation Incarnation
	// Answer is the whole answer, kept until ExpiresAt.
	Answer    []byte
	ExpiresAt time.Time
}
