package structs

import "errors"

// AsError converts a typed error to an error, so that a nil pointer gives a nil error.
func AsError(typed *Error) error {
	if typed == nil {
		return nil
	}
	return typed
}

// AsTyped returns the first *Error in err's chain, or wraps err as an internal one.
func AsTyped(err error) *Error {
	if err == nil {
		return nil
	}
	var typed *Error
	if errors.As(err, &typed) {
		return typed
	}
	return NewError(ErrorInternal, err.Error(), "Look in the daemon's log for the cause, then send it again.")
}
