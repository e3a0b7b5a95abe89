package engineapi

import (
	stderrors "errors"
	"fmt"

	"github.com/lotusferry/lotusferry/structs"
)

// Stage tells how far a failed call got.
type Stage string

// The stages of a failed call.
const (
	// StageNotSent: no byte of the request was sent. The request did not run.
	StageNotSent Stage = "not_sent"
	// StageRefused: the back end said that the request did not run.
	StageRefused Stage = "refused"
	// StageBroken: the request may have reached the back end; it may have run.
	StageBroken Stage = "broken"
)

// CallError is the error of every failed call to a back end.
type CallError struct {
	Stage Stage
	// Operation is the path called.
	Operation string
	Address   string
	// Status is the HTTP status, or 0 when there was no response.
	Status int
	// Err is the cause; it is a *structs.Error when the back end sent one.
	Err error
}

// Error implements error.
func (e *CallError) Error() string {
	return fmt.Sprintf("call %s at %s (%s): %v", e.Operation, e.Address, e.Stage, e.Err)
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// NotRun reports whether it is certain that the request did not run.
func (e *CallError) NotRun() bool {
	return e.Stage == StageNotSent || e.Stage == StageRefused
}

// StageOf returns the stage of the first *CallError in err's chain. An error
// that carries none counts as broken, and nil as "".
func StageOf(err error) Stage {
	if err == nil {
		return ""
	}
	var call *CallError
	if stderrors.As(err, &call) {
		return call.Stage
	}
	return StageBroken
}

// malformed makes the error of an answer that breaks the protocol.
func malformed(message string) *structs.Error {
	return structs.NewError(structs.ErrorInternal, message, "Check the back end's version and its log.")
}
