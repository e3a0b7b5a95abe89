package api

import (
	"context"
	"errors"

	"github.com/lotusferry/lotusferry/structs"
)

// Service is the router interface that the HTTP API requires.
type Service interface {
	// Rows returns the rows of the active table.
	Rows(ctx context.Context) ([]structs.Row, error)
	// Submit submits a request to the router. The error is a *RefusedError or a *structs.Error.
	Submit(ctx context.Context, request structs.Request) (Answer, error)
}

// Answer is the stream of tokens of one request.
type Answer interface {
	// Next blocks until the next token is available. The last token has a Finish
	// reason; Next must not be called after it. A *RefusedError ends the answer early.
	Next(ctx context.Context) (structs.Token, error)
	// Close tells the router that the caller no longer reads the answer.
	Close()
}

// RefusedError is the error of a request without a complete answer.
type RefusedError struct {
	Refusal structs.Rejection
	// transfer is ErrNotSent, ErrBroken, or nil if the router refused the request.
	transfer error
}

// Transfer failures of a Client, for use with errors.Is.
var (
	// ErrNotSent means that no router received the request.
	ErrNotSent = errors.New("the request was not sent")
	// ErrBroken means that the connection ended before the answer was complete.
	ErrBroken = errors.New("the connection ended before the answer was complete")
)

// Error returns the message and the remedy.
func (e *RefusedError) Error() string { return e.Refusal.Error.Error() }

// Unwrap returns the *structs.Error and the transfer failure, if any.
func (e *RefusedError) Unwrap() []error {
	if e.transfer == nil {
		return []error{&e.Refusal.Error}
	}
	return []error{&e.Refusal.Error, e.transfer}
}
