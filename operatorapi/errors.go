package operatorapi

import (
	"context"
	"encoding/json"
	stderrors "errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

// httpStatuses maps error kinds to HTTP statuses. Clients use the kind in the body;
// the status is for proxies and people.
var httpStatuses = map[structs.ErrorKind]int{
	structs.ErrorInvalid:     http.StatusBadRequest,
	structs.ErrorConflict:    http.StatusConflict,
	structs.ErrorNotFound:    http.StatusNotFound,
	structs.ErrorNotLeader:   http.StatusMisdirectedRequest,
	structs.ErrorUnavailable: http.StatusServiceUnavailable,
	structs.ErrorOverloaded:  http.StatusTooManyRequests,
	structs.ErrorDeadline:    http.StatusGatewayTimeout,
	structs.ErrorLimit:       http.StatusUnprocessableEntity,
	structs.ErrorFenced:      http.StatusPreconditionFailed,
	structs.ErrorDenied:      http.StatusForbidden,
	structs.ErrorInternal:    http.StatusInternalServerError,
	structs.ErrorCorrupt:     http.StatusInternalServerError,
}

// errorBody is the response body of a failed request.
type errorBody struct {
	Error errorContent `json:"error"`
}

// errorContent is the wire form of structs.Error.
type errorContent struct {
	Kind         structs.ErrorKind `json:"kind"`
	Message      string            `json:"message"`
	Remedy       string            `json:"remedy,omitempty"`
	RetryAfterMs int64             `json:"retry_after_ms,omitempty"`
	Leader       string            `json:"leader,omitempty"`
}

// typedError returns the *structs.Error in the chain of err, or a new one.
func typedError(err error) *structs.Error {
	var typed *structs.Error
	if stderrors.As(err, &typed) {
		return typed
	}
	if stderrors.Is(err, context.DeadlineExceeded) || stderrors.Is(err, context.Canceled) {
		return structs.NewError(structs.ErrorDeadline, "the request timed out or was cancelled",
			"Retry, with a longer --timeout if necessary.")
	}
	return structs.NewError(structs.ErrorInternal, err.Error(),
		"Check the daemon's log and report the error.")
}

func encodeError(_ context.Context, err error, writer http.ResponseWriter) {
	typed := typedError(err)
	status, known := httpStatuses[typed.Kind]
	if !known {
		status = http.StatusInternalServerError
	}
	content := errorContent{
		Kind:         typed.Kind,
		Message:      typed.Message,
		Remedy:       typed.Remedy,
		RetryAfterMs: typed.RetryAfter.Milliseconds(),
		Leader:       typed.Leader,
	}
	header := writer.Header()
	header.Set("Content-Type", contentJSON)
	if typed.RetryAfter > 0 {
		seconds := int(math.Ceil(typed.RetryAfter.Seconds()))
		header.Set("Retry-After", strconv.Itoa(seconds))
	}
	writer.WriteHeader(status)
	// A write error means that the client has disconnected.
	_ = json.NewEncoder(writer).Encode(errorBody{Error: content})
}

// decodeError decodes the output of encodeError. Gateway and unavailability statuses
// of other servers, such as proxies, become unavailable.
func decodeError(status int, content []byte) *structs.Error {
	var body errorBody
	if json.Unmarshal(content, &body) == nil && body.Error.Kind != "" {
		return &structs.Error{
			Kind:       body.Error.Kind,
			Message:    body.Error.Message,
			Remedy:     body.Error.Remedy,
			RetryAfter: time.Duration(body.Error.RetryAfterMs) * time.Millisecond,
			Leader:     body.Error.Leader,
		}
	}
	kind := structs.ErrorInternal
	if status == http.StatusBadGateway || status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout {
		kind = structs.ErrorUnavailable
	}
	return structs.NewError(kind,
		"the response "+strconv.Itoa(status)+" "+http.StatusText(status)+" is not from a lotusferry daemon",
		"Check that the address is the operator address of a daemon, and that --ca is set if it uses TLS.")
}
