package api

import (
	"context"
	"errors"

	"github.com/lotusferry/lotusferry/structs"
)

// Service is what the HTTP interface needs of the router.
type Service interface {
	// Rows lists the rows of the table in force here.
	Rows(ctx context.Context) ([]structs.Row, error)
	// Submit hands a request to the router. The error is a *RefusedError or a *structs.Error.
	Submit(ctx context.Context, request structs.Request) (Answer, error)
}

// Answer is the stream of tokens of one request.
type Answer interface {
	// Next blocks until the next token. The last token has a Finish reason; after
	// it Next is not called again. A *RefusedError ends the answer early.
	Next(ctx context.Context) (structs.Token, error)
	// Close tells the router that the caller is gone or done.
	Close()
}

// RefusedError is the terminal answer to a request that got no full answer.
type RefusedError struct {
	Refusal structs.Rejection
	// transfer is ErrNotSent, ErrBroken or nil when the router itself refused.
	transfer error
}

// The transfer failures that a Client tells apart with errors.Is.
var (
	// ErrNotSent: no router received the request.
	ErrNotSent = errors.New("the request was not sent")
	// ErrBroken: the connection ended before the answer was whole.
	ErrBroken = errors.New("the answer broke off")
)

// Error implements error with the message and the remedy.
func (e *RefusedError) Error() string { return e.Refusal.Error.Error() }

// Unwrap gives the typed error and the transfer failure, if any.
func (e *RefusedError) Unwrap() []error {
	if e.transfer == nil {
		return []error{&e.Refusal.Error}
	}
	return []error{&e.Refusal.Error, e.transfer}
}
