package operatorapi

import (
	"context"
	"net/http"
	"strings"

	"github.com/go-kit/kit/endpoint"
	"github.com/go-kit/kit/transport"
	httptransport "github.com/go-kit/kit/transport/http"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/lotusferry/lotusferry/structs"
)

const defaultBodyBytes = 64 << 20

// KeyLookup returns the owner of an API key. It is called for each request.
type KeyLookup interface {
	Lookup(key string) (owner string, known bool)
}

// HandlerOptions configures NewHandler.
type HandlerOptions struct {
	// Keys authenticates operators. nil disables authentication, for development mode.
	Keys KeyLookup
	// BodyBytes bounds the request body; 0 means 64 MiB.
	BodyBytes int64
}

// NewHandler returns a handler that serves service over HTTP. If Keys is set, the
// author of an edit is the owner of the API key, and the author in the request is
// ignored.
func NewHandler(logger log.Logger, service Service, options HandlerOptions) http.Handler {
	logger = log.With(logger, "component", "operatorapi")
	if options.BodyBytes == 0 {
		options.BodyBytes = defaultBodyBytes
	}
	serve := func(next endpoint.Endpoint, decode httptransport.DecodeRequestFunc, encode httptransport.EncodeResponseFunc) http.Handler {
		return httptransport.NewServer(next, requireOperator(decode), encode,
			httptransport.ServerBefore(authenticate(options.Keys)),
			httptransport.ServerErrorEncoder(encodeError),
			httptransport.ServerErrorHandler(logErrors(logger)),
		)
	}
	mux := http.NewServeMux()
	mux.Handle("GET "+pathTable, serve(tableEndpoint(service), decodeEmpty, encodeJSON))
	mux.Handle("POST "+pathEdits, serve(applyEndpoint(service), decodeApply, encodeJSON))
	mux.Handle("GET "+pathHistory, serve(historyEndpoint(service), decodeHistory, encodeJSON))
	mux.Handle("GET "+pathWatch, serve(watchEndpoint(service), decodeWatch, encodeJSON))
	mux.Handle("GET "+pathStatus, serve(statusEndpoint(service), decodeEmpty, encodeJSON))
	mux.Handle("POST "+pathDrains, serve(drainEndpoint(service), decodeDrain, encodeJSON))
	mux.Handle("GET "+pathSnapshot, serve(snapshotEndpoint(service), decodeSnapshot, encodeBinary))
	mux.Handle("GET "+pathMembers, serve(membersEndpoint(service), decodeEmpty, encodeJSON))
	mux.Handle("POST "+pathMembers, serve(changeMemberEndpoint(service), decodeMemberChange, encodeJSON))
	return http.MaxBytesHandler(mux, options.BodyBytes)
}

// logErrors logs internal errors and corruption only. Errors of the operator are
// returned in the response.
func logErrors(logger log.Logger) transport.ErrorHandler {
	return transport.ErrorHandlerFunc(func(_ context.Context, err error) {
		kind := typedError(err).Kind
		if kind == structs.ErrorInternal || kind == structs.ErrorCorrupt {
			level.Error(logger).Log("msg", "Operator request failed.", "err", err)
		}
	})
}

// operatorKey is the context key for operator.
type operatorKey struct{}

// operator is the sender of a request. Its name is empty in development mode.
type operator struct {
	name    string
	allowed bool
}

func operatorFromContext(ctx context.Context) operator {
	sender, _ := ctx.Value(operatorKey{}).(operator)
	return sender
}

func authenticate(known KeyLookup) httptransport.RequestFunc {
	return func(ctx context.Context, request *http.Request) context.Context {
		sender := operator{allowed: known == nil}
		if known != nil {
			key, bearer := strings.CutPrefix(request.Header.Get("Authorization"), "Bearer ")
			name, found := known.Lookup(key)
			sender = operator{name: name, allowed: bearer && found}
		}
		return context.WithValue(ctx, operatorKey{}, sender)
	}
}

// requireOperator rejects unauthenticated requests before their body is read.
func requireOperator(decode httptransport.DecodeRequestFunc) httptransport.DecodeRequestFunc {
	return func(ctx context.Context, request *http.Request) (any, error) {
		if !operatorFromContext(ctx).allowed {
			return nil, structs.NewError(structs.ErrorDenied, "the operator's key is missing or unknown",
				"Use --key-file to set a key whose hash is listed under operators in the daemon's settings.")
		}
		return decode(ctx, request)
	}
}

func tableEndpoint(service Service) endpoint.Endpoint {
	return func(ctx context.Context, _ any) (any, error) { return service.Table(ctx) }
}

func applyEndpoint(service Service) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		apply := request.(applyRequest)
		if name := operatorFromContext(ctx).name; name != "" {
			apply.edit.Author = name
		}
		return service.Apply(ctx, apply.edit, apply.dryRun)
	}
}

func historyEndpoint(service Service) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		entries, err := service.History(ctx, request.(historyRequest).limit)
		return historyBody{Entries: entries}, err
	}
}

func watchEndpoint(service Service) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		watch := request.(watchRequest)
		return service.Watch(ctx, watch.since, watch.wait)
	}
}

func statusEndpoint(service Service) endpoint.Endpoint {
	return func(ctx context.Context, _ any) (any, error) { return service.Status(ctx) }
}

func drainEndpoint(service Service) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		return emptyRequest{}, service.Drain(ctx, request.(DrainRequest))
	}
}

func snapshotEndpoint(service Service) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		return service.SaveSnapshot(ctx, request.(snapshotRequest).group)
	}
}
