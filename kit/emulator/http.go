package emulator

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/go-kit/kit/endpoint"
	kithttp "github.com/go-kit/kit/transport/http"
	"github.com/pkg/errors"

	"github.com/lotusferry/lotusferry/request/engineapi"
	"github.com/lotusferry/lotusferry/structs"
)

// maxRequestBody is the maximum size of a request body in bytes.
const maxRequestBody = 16 << 20

// errReset makes a server close the connection without a response.
var errReset = errors.New("connection reset")

// refusalError is the error of a refused call.
type refusalError struct {
	refusal structs.Rejection
}

// Error implements error.
func (e *refusalError) Error() string { return e.refusal.Error.Error() }

// newHandler returns the go-kit handler of a unary call.
func newHandler[Request, Reply any](decode func(*http.Request) (Request, error), answer func(context.Context, Request) (Reply, error)) http.Handler {
	call := endpoint.Endpoint(func(ctx context.Context, request any) (any, error) {
		return answer(ctx, request.(Request))
	})
	decodeAny := func(_ context.Context, request *http.Request) (any, error) { return decode(request) }
	return kithttp.NewServer(call, decodeAny, kithttp.EncodeJSONResponse, kithttp.ServerErrorEncoder(writeError))
}

// decodeBody decodes the JSON body of a request.
func decodeBody[Request any](request *http.Request) (Request, error) {
	var decoded Request
	body, err := io.ReadAll(io.LimitReader(request.Body, maxRequestBody+1))
	if err != nil {
		return decoded, errReset
	}
	if len(body) > maxRequestBody {
		return decoded, invalidRequest("the body is too long")
	}
	if err := json.Unmarshal(body, &decoded); err != nil {
		return decoded, invalidRequest("the body is not valid: " + err.Error())
	}
	return decoded, nil
}

// noBody is the decoder for calls without a body.
func noBody(*http.Request) (struct{}, error) { return struct{}{}, nil }

func invalidRequest(message string) error {
	refusal := notRun(structs.NewError(structs.ErrorInvalid, message, "Send the request in the format of the engine protocol."))
	return &refusalError{refusal: *refusal}
}

// writeError responds with the refusal in err. On any other error it aborts the
// connection.
func writeError(_ context.Context, err error, w http.ResponseWriter) {
	var refused *refusalError
	if !errors.As(err, &refused) {
		panic(http.ErrAbortHandler)
	}
	writeRefusal(w, refused.refusal)
}

func writeRefusal(w http.ResponseWriter, refusal structs.Rejection) {
	w.Header().Set("Content-Type", engineapi.ContentTypeJSON)
	if refusal.Execution == structs.ExecutionNotRun {
		w.Header().Set(engineapi.HeaderExecution, string(refusal.Execution))
	}
	w.WriteHeader(httpStatus(refusal.Error.Kind))
	_ = json.NewEncoder(w).Encode(engineapi.NewErrorBody(refusal.Error))
}

func httpStatus(kind structs.ErrorKind) int {
	switch kind {
	case structs.ErrorInvalid:
		return http.StatusBadRequest
	case structs.ErrorNotFound:
		return http.StatusNotFound
	case structs.ErrorConflict, structs.ErrorFenced, structs.ErrorLimit:
		return http.StatusConflict
	case structs.ErrorOverloaded, structs.ErrorUnavailable:
		return http.StatusServiceUnavailable
	}
	return http.StatusInternalServerError
}

// requireMethod responds with 405 to any other method.
func requireMethod(method string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != method {
			w.Header().Set("Allow", method)
			w.WriteHeader(http.StatusMethodNotAllowed)
			return
		}
		next.ServeHTTP(w, r)
	})
}
