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

// SessionID tells the lives of a daemon's process apart. 0 names none.
type SessionID uint64

// ClaimHolder is one life of a daemon that holds claims.
type ClaimHolder struct {
	Daemon  DaemonID
	Session SessionID
}

// HeldBy returns who holds the claim.
func (c Claim) HeldBy() ClaimHolder { return ClaimHolder{Daemon: c.Holder, Session: c.Session} }

// Claim is the durable record, in the key's home zone, that a request which may
// not be repeated is or was executed.
type Claim struct {
	Key     ClaimKey
	Request RequestID
	// Digest is the hash of the request's content: another content under the
	// same key is refused.
	Digest uint64
	// Home is the zone that decides about the key. Routers set it; the records of
	// the zone itself leave it empty.
	Home ZoneID
	// Holder is the daemon that executes the request, Session its life.
	Holder  DaemonID
	Session SessionID
	State   ClaimState
	// Choice numbers the holder's choices of a runner; 0 means none yet.
	Choice uint64
	// Runner and Incarnation name the engine that the holder was about to use,
	// so that the outcome can be asked after the holder's death at Address, where
	// the engine knows the attempt as EngineRequest.
	Runner        RunnerID
	Incarnation   Incarnation
	Address       string
	EngineRequest RequestID
	// ChosenAt is when the zone's leader took in the latest choice, by its clock.
	ChosenAt time.Time
	// Answer is the whole answer, kept until ExpiresAt or until answers that expire
	// later need its place; the claim itself is kept until ExpiresAt.
	Answer    []byte
	ExpiresAt time.Time
}
