package structs

import "errors"

// AsError turns a typed error into an error without making a nil one non-nil.
func AsError(typed *Error) error {
	if typed == nil {
		return nil
	}
	return typed
}

// AsTyped gives the typed error in err's chain, or wraps err as an internal one.
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
