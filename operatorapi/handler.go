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

// KeyLookup tells whose API key was presented. It is asked at each request.
type KeyLookup interface {
	Lookup(key string) (owner string, known bool)
}

// HandlerOptions adjusts NewHandler.
type HandlerOptions struct {
	// Keys lets operators in. nil lets everybody in and is for development mode only.
	Keys KeyLookup
	// BodyBytes bounds a request's body; 64 MiB when 0.
	BodyBytes int64
}

// NewHandler serves service over HTTP. With Keys set, the author of an edit is
// always the name of the operator's key, whatever the request says.
func NewHandler(logger log.Logger, service Service, options HandlerOptions) http.Handler {
	logger = log.With(logger, "component", "operatorapi")
	if options.BodyBytes == 0 {
		options.BodyBytes = defaultBodyBytes
	}
	serve := func(next endpoint.Endpoint, decode httptransport.DecodeRequestFunc, encode httptransport.EncodeResponseFunc) http.Handler {
		return httptransport.NewServer(next, authenticated(decode), encode,
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

// logErrors logs the faults of the daemon; what the operator did wrong is
// answered and not logged.
func logErrors(logger log.Logger) transport.ErrorHandler {
	return transport.ErrorHandlerFunc(func(_ context.Context, err error) {
		kind := typedError(err).Kind
		if kind == structs.ErrorInternal || kind == structs.ErrorCorrupt {
			level.Error(logger).Log("msg", "A request of an operator failed.", "err", err)
		}
	})
}

// operatorKey is the context key of the operator.
type operatorKey struct{}

// operator is who sent a request. Anonymous operators exist in development mode.
type operator struct {
	name    string
	allowed bool
}

func operatorOf(ctx context.Context) operator {
	who, _ := ctx.Value(operatorKey{}).(operator)
	return who
}

func authenticate(known KeyLookup) httptransport.RequestFunc {
	return func(ctx context.Context, request *http.Request) context.Context {
		who := operator{allowed: known == nil}
		if known != nil {
			key, bearer := strings.CutPrefix(request.Header.Get("Authorization"), "Bearer ")
			name, found := known.Lookup(key)
			who = operator{name: name, allowed: bearer && found}
		}
		return context.WithValue(ctx, operatorKey{}, who)
	}
}

// authenticated refuses a request before its body is read.
func authenticated(decode httptransport.DecodeRequestFunc) httptransport.DecodeRequestFunc {
	return func(ctx context.Context, request *http.Request) (any, error) {
		if !operatorOf(ctx).allowed {
			return nil, structs.NewError(structs.ErrorDenied, "the operator's key is missing or unknown",
				"Give a key with --key-file whose hash stands under operators in the daemon's settings.")
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
		if name := operatorOf(ctx).name; name != "" {
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
