package api

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

// statusOf maps error kinds to HTTP status codes.
var statusOf = map[structs.ErrorKind]int{
	structs.ErrorInvalid:     http.StatusBadRequest,
	structs.ErrorConflict:    http.StatusConflict,
	structs.ErrorNotFound:    http.StatusNotFound,
	structs.ErrorNotLeader:   http.StatusServiceUnavailable,
	structs.ErrorUnavailable: http.StatusServiceUnavailable,
	structs.ErrorOverloaded:  http.StatusTooManyRequests,
	structs.ErrorDeadline:    http.StatusServiceUnavailable,
	structs.ErrorLimit:       http.StatusTooManyRequests,
	structs.ErrorDenied:      http.StatusForbidden,
	structs.ErrorInternal:    http.StatusInternalServerError,
}

// errorBodyOf returns the response body for err.
func errorBodyOf(err error) errorBody {
	typed := typedError(err)
	return errorBody{Error: errorDetail{
		Message:   typed.Error(),
		Type:      string(typed.Kind),
		Code:      string(typed.Kind),
		Remedy:    typed.Remedy,
		Execution: string(executionOf(err)),
	}}
}

func typedError(err error) *structs.Error {
	var typed *structs.Error
	if errors.As(err, &typed) {
		return typed
	}
	return structs.NewError(structs.ErrorInternal, err.Error(), "Report this to the operators with the request ID.")
}

// executionOf returns the execution state in err. A *structs.Error is raised before the
// request reaches the router. Any other error ends the wait for an answer, as when the
// caller seems to have left, while the request may run.
func executionOf(err error) structs.Execution {
	var refused *RefusedError
	if errors.As(err, &refused) {
		return refused.Refusal.Execution
	}
	var raised *structs.Error
	if errors.As(err, &raised) {
		return structs.ExecutionNotRun
	}
	return structs.ExecutionUnknown
}

// encodeError writes err as JSON. It is a go-kit error encoder.
func encodeError(_ context.Context, err error, w http.ResponseWriter) {
	status, known := statusOf[typedError(err).Kind]
	if !known {
		status = http.StatusInternalServerError
	}
	writeError(w, status, err)
}

func writeError(w http.ResponseWriter, status int, err error) {
	body := errorBodyOf(err)
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(HeaderExecution, body.Error.Execution)
	if wait := typedError(err).RetryAfter; wait > 0 {
		header.Set("Retry-After", retryAfterSeconds(wait))
	}
	switch structs.Execution(body.Error.Execution) {
	case structs.ExecutionUnknown, structs.ExecutionDone:
		header.Set(HeaderShouldRetry, "false")
	}
	w.WriteHeader(status)
	// A write error means that the caller has disconnected.
	_ = json.NewEncoder(w).Encode(body)
}

func retryAfterSeconds(wait time.Duration) string {
	return strconv.Itoa(int(math.Ceil(wait.Seconds())))
}
