package structs

import (
	"errors"
	"time"
)

// ErrorKind classifies an Error. Callers branch on the kind, never on the message.
type ErrorKind string

// The kinds of error.
const (
	// ErrorInvalid: the input is wrong and will stay wrong.
	ErrorInvalid ErrorKind = "invalid"
	// ErrorConflict: the input was made against an older revision.
	ErrorConflict ErrorKind = "conflict"
	// ErrorNotFound: no such row, runner, zone or claim.
	ErrorNotFound ErrorKind = "not_found"
	// ErrorNotLeader: another member must be asked; Leader may name it.
	ErrorNotLeader ErrorKind = "not_leader"
	// ErrorUnavailable: a quorum or a peer cannot be reached now.
	ErrorUnavailable ErrorKind = "unavailable"
	// ErrorOverloaded: a queue or a budget is full.
	ErrorOverloaded ErrorKind = "overloaded"
	// ErrorDeadline: the deadline cannot be met or has passed.
	ErrorDeadline ErrorKind = "deadline"
	// ErrorLimit: a replica, memory or grant limit forbids the command.
	ErrorLimit ErrorKind = "limit"
	// ErrorFenced: an order is older than one already accepted.
	ErrorFenced ErrorKind = "fenced"
	// ErrorDenied: the caller's or peer's credentials do not allow it.
	ErrorDenied ErrorKind = "denied"
	// ErrorInternal: a fault of lotusferry or of a back end.
	ErrorInternal ErrorKind = "internal"
	// ErrorCorrupt: data on disk failed its checksum.
	ErrorCorrupt ErrorKind = "corrupt"
)

// Error is the typed error of lotusferry. Its message names the remedy, so that
// the person who reads it knows what to do next. It crosses net/rpc inside
// replies, because net/rpc itself carries only strings.
type Error struct {
	Kind    ErrorKind
	Message string
	// Remedy is a full sentence that says what to do.
	Remedy string
	// RetryAfter is when to come back; zero means that coming back is of no use
	// or that no time is known.
	RetryAfter time.Duration
	// Leader is the address of the member to ask instead (ErrorNotLeader only).
	Leader string
}

// NewError makes an Error of the given kind with its remedy.
func NewError(kind ErrorKind, message, remedy string) *Error {
	return &Error{Kind: kind, Message: message, Remedy: remedy}
}

// Error implements error: the message, then the remedy.
func (e *Error) Error() string {
	if e.Remedy == "" {
		return e.Message
	}
	return e.Message + ": " + e.Remedy
}

// KindOf returns the kind of the first *Error in err's chain, or ErrorInternal
// when err carries none, or "" when err is nil.
func KindOf(err error) ErrorKind {
	if err == nil {
		return ""
	}
	var typed *Error
	if errors.As(err, &typed) {
		return typed.Kind
	}
	return ErrorInternal
}
