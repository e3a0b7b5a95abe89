package api

import (
	"context"
	"net/http"
	"time"

	"github.com/go-kit/kit/endpoint"
	"github.com/go-kit/kit/transport"
	kithttp "github.com/go-kit/kit/transport/http"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/lotusferry/lotusferry/internal/keys"
	"github.com/lotusferry/lotusferry/structs"
)

// CallerKey associates the hash of an API key with a caller.
type CallerKey struct {
	Name string
	Hash keys.Hash
	// Highest is the highest priority allowed to the caller.
	Highest structs.Priority
}

// Options configures the HTTP API.
type Options struct {
	// MaxBodyBytes is the maximum size of a request body.
	MaxBodyBytes int64
	// DefaultDeadline applies to requests without HeaderDeadline; MaxDeadline is the
	// maximum value of the header.
	DefaultDeadline time.Duration
	MaxDeadline     time.Duration
	// DefaultMaxTokens and MaxTokens are the default and the maximum answer length in tokens.
	DefaultMaxTokens int
	MaxTokens        int
	// Keys returns the current API keys and is called for each request. If it is nil
	// or returns no keys, requests are not authenticated.
	Keys func() []CallerKey
	// FromDaemon reports whether another daemon of the site sent the request. Only
	// then are the forwarding headers accepted, and no API key is required. If it is
	// nil, no request is treated as forwarded.
	FromDaemon func(*http.Request) bool
	// WriteTimeout is the timeout of one write to the caller, after which the request
	// is cancelled and the connection closed. 0 means no timeout.
	WriteTimeout time.Duration
	// Now returns the current time.
	Now func() time.Time
}

// DefaultOptions returns limits suitable for a small site.
func DefaultOptions() Options {
	return Options{
		MaxBodyBytes:     1 << 20,
		DefaultDeadline:  30 * time.Second,
		MaxDeadline:      10 * time.Minute,
		DefaultMaxTokens: 256,
		MaxTokens:        8192,
		WriteTimeout:     20 * time.Second,
		Now:              time.Now,
	}
}

// NewHandler returns the HTTP API of service.
func NewHandler(logger log.Logger, service Service, options Options) http.Handler {
	logger = log.With(logger, "component", "api")
	decode := decoder{options: options}
	serverOptions := []kithttp.ServerOption{
		kithttp.ServerErrorEncoder(encodeError),
		// Refusals are frequent under overload and are counted by metrics, so they are
		// logged at debug level only.
		kithttp.ServerErrorHandler(transport.NewLogErrorHandler(level.Debug(log.With(logger, "msg", "A request was refused.")))),
	}
	generate := generateEndpoint(service, options)
	mux := http.NewServeMux()
	mux.Handle("POST "+pathChatCompletions, kithttp.NewServer(generate, decode.chat, encodeReply, serverOptions...))
	mux.Handle("POST "+pathCompletions, kithttp.NewServer(generate, decode.completion, encodeReply, serverOptions...))
	mux.Handle("POST "+pathEmbeddings, kithttp.NewServer(embeddingsEndpoint(service), decode.embeddings, encodeEmbeddings, serverOptions...))
	mux.Handle("GET "+pathModels, kithttp.NewServer(modelsEndpoint(service), kithttp.NopRequestDecoder, encodeModels, serverOptions...))
	mux.Handle("GET "+pathModels+"/{"+modelParameter+"...}", kithttp.NewServer(modelEndpoint(service), decodeModel, encodeModel, serverOptions...))
	mux.HandleFunc("/", serveNotFound)
	for _, path := range []string{pathChatCompletions, pathCompletions, pathEmbeddings} {
		mux.Handle(path, serveMethodNotAllowed(http.MethodPost))
	}
	mux.Handle(pathModels, serveMethodNotAllowed(http.MethodGet))
	return authenticate(withProcessing(mux), options)
}

func generateEndpoint(service Service, options Options) endpoint.Endpoint {
	return func(ctx context.Context, input any) (any, error) {
		decoded := input.(generation)
		answer, err := service.Submit(ctx, decoded.request)
		if err != nil {
			return nil, err
		}
		if decoded.request.IfReady {
			sendProcessing(ctx)
		}
		first, err := answer.Next(ctx)
		if err != nil {
			answer.Close()
			return nil, err
		}
		return reply{generation: decoded, answer: answer, first: first, created: options.Now(), writeTimeout: options.WriteTimeout}, nil
	}
}
