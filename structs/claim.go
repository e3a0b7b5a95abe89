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
	// ClaimFinished: it ran whole; Holder keeps the answer for a while.
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
// not be repeated is or was executed. The answer is no part of it: its Holder
// keeps that.
type Claim struct {
	Key     ClaimKey
	Request RequestID
	// Digest is the hash of the request's content: another content under the
	// same key is refused. The zone compares it; of a claim that it has shortened
	// to its key it is no longer known.
	Digest uint64
	// Home is the zone that decides about the key. Routers set it; the records of
	// the zone itself leave it empty.
	Home ZoneID
	// Holder is the daemon that executes the request and keeps its answer, Session
	// its life, HolderAddress where other daemons call it. A finished claim without
	// a Holder is one whose answer nobody is known to keep.
	Holder        DaemonID
	Session       SessionID
	HolderAddress string
	State         ClaimState
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
	// Answer tells the finished answer from any other; the zone keeps nothing more of it.
	Answer AnswerMark
	// ExpiresAt is until when the key of a finished request stays claimed.
	ExpiresAt time.Time
}

// AnswerMark is what a claim keeps of an answer: its encoded length in bytes and
// its hash.
type AnswerMark struct {
	Bytes int
	Hash  uint64
}
