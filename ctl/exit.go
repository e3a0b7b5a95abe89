package ctl

import (
	stderrors "errors"
	"fmt"

	"github.com/jessevdk/go-flags"

	"github.com/lotusferry/lotusferry/structs"
)

// The exit codes of lotusferryctl.
const (
	ExitOK = 0
	// ExitInternal: a fault of the program or of a daemon.
	ExitInternal = 1
	// ExitUsage: the command line is wrong.
	ExitUsage = 2
	// ExitRefused: the input has problems, which are listed.
	ExitRefused = 3
	// ExitConflict: the input was made against an older revision, or a file is
	// there already.
	ExitConflict = 4
	// ExitUnavailable: no daemon could answer, or the answer was lost.
	ExitUnavailable = 5
	// ExitWaitTimedOut: the edit was accepted, but is not known to be in force in
	// every zone yet.
	ExitWaitTimedOut = 6
	// ExitDenied: the key or a certificate was refused.
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

// exitError carries an exit code that the kind of its error does not tell.
type exitError struct {
	code int
	// cause is nil when everything has been printed already.
	cause error
}

// Error implements error.
func (e *exitError) Error() string {
	if e.cause == nil {
		return fmt.Sprintf("exit code %d", e.code)
	}
	return e.cause.Error()
}

// Unwrap gives the cause to errors.Is and errors.As.
func (e *exitError) Unwrap() error { return e.cause }

// exitCode returns the exit code for the error of a command.
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
