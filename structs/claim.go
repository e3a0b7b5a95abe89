package structs

import "time"

// ClaimKey is the caller's idempotency key.
type ClaimKey string

// ClaimState is the state of a claim on a key.
type ClaimState string

// The states of a claim.
const (
	// ClaimHeld: Holder may be executing the request.
	ClaimHeld ClaimState = "held"
	// ClaimFinished: the request ran to completion; Holder stores the answer for a limited time.
	ClaimFinished ClaimState = "finished"
	// ClaimUnknown: it cannot be determined whether the request ran. This state is final.
	ClaimUnknown ClaimState = "outcome_unknown"
	// ClaimReleased: the request certainly did not run; the key can be claimed again.
	ClaimReleased ClaimState = "released"
)

// SessionID identifies one incarnation of a daemon's process; 0 for none.
type SessionID uint64

// ClaimHolder is one incarnation of a daemon that holds claims.
type ClaimHolder struct {
	Daemon  DaemonID
	Session SessionID
}

// HeldBy returns the holder of the claim.
func (c Claim) HeldBy() ClaimHolder { return ClaimHolder{Daemon: c.Holder, Session: c.Session} }

// Claim is the durable record, in the key's home zone, of the execution of a request
// that must not be repeated. The answer itself is stored by the Holder.
type Claim struct {
	Key     ClaimKey
	Request RequestID
	// Digest is the hash of the request's content. The zone rejects other content
	// under the same key, unless the claim has been reduced to its key.
	Digest uint64
	// Home is the zone that decides about the key. It is set by routers, and empty in
	// the zone's own records.
	Home ZoneID
	// Holder is the daemon that executes the request and stores its answer, Session
	// its incarnation, and HolderAddress its address for other daemons. A finished
	// claim without a Holder is one whose answer is not known to be stored.
	Holder        DaemonID
	Session       SessionID
	HolderAddress string
	State         ClaimState
	// Choice is the number of times that the holder has chosen a runner.
	Choice uint64
	// Runner and Incarnation identify the engine that the holder was about to use, at
	// Address, where the attempt has the ID EngineRequest. They serve to determine the
	// outcome after the holder has failed.
	Runner        RunnerID
	Incarnation   Incarnation
	Address       string
	EngineRequest RequestID
	// ChosenAt is when the zone's leader received the latest choice, by its clock.
	ChosenAt time.Time
	// Answer identifies the finished answer; the zone stores nothing else of it.
	Answer AnswerMark
	// ExpiresAt is when the key of a finished request is no longer claimed.
	ExpiresAt time.Time
}

// AnswerMark is the encoded length of an answer in bytes, and its hash.
type AnswerMark struct {
	Bytes int
	Hash  uint64
}
