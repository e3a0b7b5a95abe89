package structs

import (
	"errors"
	"time"
)

// ErrorKind classifies an Error. Callers branch on the kind, never on the message.
type ErrorKind string

// The kinds of error.
const (
	// ErrorInvalid: the input is invalid, and retrying does not help.
	ErrorInvalid ErrorKind = "invalid"
	// ErrorConflict: the input is based on an older revision.
	ErrorConflict ErrorKind = "conflict"
	// ErrorNotFound: no such row, runner, zone or claim.
	ErrorNotFound ErrorKind = "not_found"
	// ErrorNotLeader: another member is the leader; Leader may be its address.
	ErrorNotLeader ErrorKind = "not_leader"
	// ErrorUnavailable: a quorum or a peer is unreachable.
	ErrorUnavailable ErrorKind = "unavailable"
	// ErrorOverloaded: a queue or a budget is full.
	ErrorOverloaded ErrorKind = "overloaded"
	// ErrorDeadline: the deadline cannot be met or has passed.
	ErrorDeadline ErrorKind = "deadline"
	// ErrorLimit: a replica, memory or grant limit forbids the command.
	ErrorLimit ErrorKind = "limit"
	// ErrorFenced: the order is older than one already accepted.
	ErrorFenced ErrorKind = "fenced"
	// ErrorDenied: the caller's or peer's credentials do not allow it.
	ErrorDenied ErrorKind = "denied"
	// ErrorInternal: a fault of lotusferry or of a back end.
	ErrorInternal ErrorKind = "internal"
	// ErrorCorrupt: data on disk failed its checksum.
	ErrorCorrupt ErrorKind = "corrupt"
)

// Error is the typed error of lotusferry. It includes a remedy for the reader. It is
// sent within the replies of net/rpc calls, since net/rpc transfers errors as strings.
type Error struct {
	Kind    ErrorKind
	Message string
	// Remedy is a full sentence with the recommended action.
	Remedy string
	// RetryAfter is the delay before a retry; zero if a retry does not help or no time
	// is known.
	RetryAfter time.Duration
	// Leader is the address of the leader if known (ErrorNotLeader only).
	Leader string
}

// NewError returns an Error of the given kind with its remedy.
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

// KindOf returns the kind of the first *Error in err's chain, ErrorInternal if there
// is none, or "" if err is nil.
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
