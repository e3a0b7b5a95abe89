package ctl

import (
	stderrors "errors"
	"fmt"

	"github.com/jessevdk/go-flags"

	"github.com/lotusferry/lotusferry/structs"
)

// Exit codes of lotusferryctl.
const (
	ExitOK = 0
	// ExitInternal reports an internal error of the program or of a daemon.
	ExitInternal = 1
	// ExitUsage reports an invalid command line.
	ExitUsage = 2
	// ExitRefused reports invalid input. The output lists its problems.
	ExitRefused = 3
	// ExitConflict reports that the input is based on an older revision, or that a file
	// already exists.
	ExitConflict = 4
	// ExitUnavailable reports that no daemon responded or the response was lost.
	ExitUnavailable = 5
	// ExitWaitTimedOut reports that the edit was accepted, but not confirmed in every
	// zone within the timeout.
	ExitWaitTimedOut = 6
	// ExitDenied reports that the key or a certificate was rejected.
	ExitDenied = 7
)

var exitCodes = map[structs.ErrorKind]int{
	structs.ErrorInvalid:     ExitRefused,
	structs.ErrorLimit:       ExitRefused,
	structs.ErrorNotFound:    ExitRefused,
	structs.ErrorCorrupt:     ExitRefused,
	structs.ErrorConflict:    ExitConflict,
	structs.ErrorUnavailable: ExitUnavailable,
	structs.ErrorNotLeader:   ExitUnavailable,
	structs.ErrorOverloaded:  ExitUnavailable,
	structs.ErrorDeadline:    ExitUnavailable,
	structs.ErrorDenied:      ExitDenied,
}

// exitError is an error with an explicit exit code.
type exitError struct {
	code int
	// cause is nil if the command has already printed the error.
	cause error
}

// Error implements error.
func (e *exitError) Error() string {
	if e.cause == nil {
		return fmt.Sprintf("exit code %d", e.code)
	}
	return e.cause.Error()
}

// Unwrap returns the cause.
func (e *exitError) Unwrap() error { return e.cause }

// exitCode returns the exit code for err.
func exitCode(err error) int {
	if err == nil {
		return ExitOK
	}
	var withCode *exitError
	if stderrors.As(err, &withCode) {
		return withCode.code
	}
	var usage *flags.Error
	if stderrors.As(err, &usage) {
		if usage.Type == flags.ErrHelp {
			return ExitOK
		}
		return ExitUsage
	}
	if code, known := exitCodes[structs.KindOf(err)]; known {
		return code
	}
	return ExitInternal
}

func usageError(message string) error {
	return &exitError{code: ExitUsage, cause: structs.NewError(structs.ErrorInvalid, message, "See --help.")}
}
