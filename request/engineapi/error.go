package engineapi

import (
	stderrors "errors"
	"fmt"

	"github.com/lotusferry/lotusferry/structs"
)

// Stage is the stage at which a call failed.
type Stage string

const (
	// StageNotSent means that no byte of the request was sent, so it did not run.
	StageNotSent Stage = "not_sent"
	// StageRefused means that the back end reported that the request did not run.
	StageRefused Stage = "refused"
	// StageBroken means that the request may have reached the back end and run.
	StageBroken Stage = "broken"
)

// CallError is the error of a failed call to a back end.
type CallError struct {
	Stage Stage
	// Operation is the path of the call.
	Operation string
	Address   string
	// Status is the HTTP status, or 0 if there was no response.
	Status int
	// Err is the cause. It is a *structs.Error if the back end sent one.
	Err error
}

// Error implements error.
func (e *CallError) Error() string {
	return fmt.Sprintf("call %s at %s (%s): %v", e.Operation, e.Address, e.Stage, e.Err)
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// NotRun reports whether the request is known not to have run.
func (e *CallError) NotRun() bool {
	return e.Stage == StageNotSent || e.Stage == StageRefused
}

// StageOf returns the stage of the first *CallError in err's chain, StageBroken if
// there is none, and "" if err is nil.
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

// malformed returns the error for a response that violates the protocol.
func malformed(message string) *structs.Error {
	return structs.NewError(structs.ErrorInternal, message, "Check the back end's version and its log.")
}
