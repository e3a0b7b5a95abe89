package transport

import (
	"context"
	"errors"

	"github.com/lotusferry/lotusferry/structs"
)

// notSentError is the error of a call whose request was not sent.
type notSentError struct{ cause *structs.Error }

// Error implements error.
func (e notSentError) Error() string { return e.cause.Error() }

// Unwrap returns the typed error.
func (e notSentError) Unwrap() error { return e.cause }

// NotSent reports whether err, from Client.Call, means that no part of the request was
// sent, so that the method did not run.
func NotSent(err error) bool {
	var notSent notSentError
	return errors.As(err, &notSent)
}

func brokenError(address string, cause error) error {
	return structs.NewError(structs.ErrorUnavailable,
		"the connection to "+address+" broke during a call ("+cause.Error()+")",
		"Retry if the call is idempotent; it may have run.")
}

func deadlineError(ctx context.Context, address string) error {
	return notSentError{timeError(ctx, address, "Retry with a longer timeout; the call did not run.")}
}

func sentDeadlineError(ctx context.Context, address string) error {
	return timeError(ctx, address, "Retry if the call is idempotent; it may have run.")
}

// timeError returns ErrorDeadline after a timeout, and ErrorUnavailable if the caller
// cancelled the call.
func timeError(ctx context.Context, address, remedy string) *structs.Error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return structs.NewError(structs.ErrorDeadline, "no reply from "+address+" in time", remedy)
	}
	return structs.NewError(structs.ErrorUnavailable, "the call to "+address+" was cancelled", remedy)
}

func overloadedError(address string) error {
	return notSentError{structs.NewError(structs.ErrorOverloaded,
		"too many calls to "+address+" are in progress", "Retry later, and check why the peer is slow.")}
}

func closedError() error {
	return notSentError{structs.NewError(structs.ErrorUnavailable,
		"the client is closed", "The daemon is stopping; use another one.")}
}
