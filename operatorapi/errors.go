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

// statuses gives each kind of error its HTTP status. Clients read the kind from
// the body; the status serves proxies and people.
var statuses = map[structs.ErrorKind]int{
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

// errorBody is the answer to a failed request.
type errorBody struct {
	Error errorContent `json:"error"`
}

// errorContent is a structs.Error on the wire. RetryAfterMs is in milliseconds.
type errorContent struct {
	Kind         structs.ErrorKind `json:"kind"`
	Message      string            `json:"message"`
	Remedy       string            `json:"remedy,omitempty"`
	RetryAfterMs int64             `json:"retry_after_ms,omitempty"`
	Leader       string            `json:"leader,omitempty"`
}

// typedError finds the *structs.Error in err's chain or makes one.
func typedError(err error) *structs.Error {
	var typed *structs.Error
	if stderrors.As(err, &typed) {
		return typed
	}
	if stderrors.Is(err, context.DeadlineExceeded) || stderrors.Is(err, context.Canceled) {
		return structs.NewError(structs.ErrorDeadline, "the time for the request is over",
			"Ask again, with a longer --timeout if need be.")
	}
	return structs.NewError(structs.ErrorInternal, err.Error(),
		"Look into the daemon's log and report the fault.")
}

func encodeError(_ context.Context, err error, writer http.ResponseWriter) {
	typed := typedError(err)
	status, known := statuses[typed.Kind]
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
	// The peer may be gone; nobody is left to be told.
	_ = json.NewEncoder(writer).Encode(errorBody{Error: content})
}

// decodeError reads what encodeError wrote. An answer of something else on the
// way counts as unavailable when it says so itself.
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
		"the answer "+strconv.Itoa(status)+" "+http.StatusText(status)+" is not one of a lotusferry daemon",
		"Check that the address is the operators' address of a daemon, and that --ca is given when it uses TLS.")
}
