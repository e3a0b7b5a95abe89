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

// CallerKey lets a caller in that knows the API key with this hash.
type CallerKey struct {
	Name string
	Hash keys.Hash
	// Highest is the highest priority that the caller may ask for.
	Highest structs.Priority
}

// Options sets the limits of the callers' interface.
type Options struct {
	// MaxBodyBytes bounds a request body.
	MaxBodyBytes int64
	// DefaultDeadline applies to requests without the deadline header, MaxDeadline bounds it.
	DefaultDeadline time.Duration
	MaxDeadline     time.Duration
	// DefaultMaxTokens and MaxTokens bound the answer's length in tokens.
	DefaultMaxTokens int
	MaxTokens        int
	// Keys returns the callers' API keys as they are now; it is asked at each request.
	// nil, or no key at all, means that no key is asked for.
	Keys func() []CallerKey
	// FromDaemon reports whether another daemon of the site sent the request:
	// only then is it taken as forwarded, for the caller that it names, and needs
	// no key. nil means that no daemon forwards here.
	FromDaemon func(*http.Request) bool
	// WriteTimeout bounds one write to a caller that does not read; then its
	// request is cancelled and the connection cut. 0 means no bound.
	WriteTimeout time.Duration
	// Now is the clock.
	Now func() time.Time
}

// DefaultOptions returns limits that suit a small site.
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

// NewHandler returns the callers' interface over service.
func NewHandler(logger log.Logger, service Service, options Options) http.Handler {
	logger = log.With(logger, "component", "api")
	decode := decoder{options: options}
	serverOptions := []kithttp.ServerOption{
		kithttp.ServerErrorEncoder(encodeError),
		// Refusals are no faults of the daemon, and come in numbers under overload; the
		// metrics count them.
		kithttp.ServerErrorHandler(transport.NewLogErrorHandler(level.Debug(log.With(logger, "msg", "A request was refused.")))),
	}
	generate := generateEndpoint(service, options)
	mux := http.NewServeMux()
	mux.Handle("POST "+pathChatCompletions, kithttp.NewServer(generate, decode.chat, encodeReply, serverOptions...))
	mux.Handle("POST "+pathCompletions, kithttp.NewServer(generate, decode.completion, encodeReply, serverOptions...))
	mux.Handle("POST "+pathEmbeddings, kithttp.NewServer(embeddingsEndpoint(service), decode.embeddings, encodeEmbeddings, serverOptions...))
	mux.Handle("GET "+pathModels, kithttp.NewServer(modelsEndpoint(service), kithttp.NopRequestDecoder, encodeModels, serverOptions...))
	mux.Handle("GET "+pathModels+"/{"+modelParameter+"...}", kithttp.NewServer(modelEndpoint(service), decodeModel, encodeModel, serverOptions...))
	mux.HandleFunc("/", serveUnknown)
	for _, path := range []string{pathChatCompletions, pathCompletions, pathEmbeddings} {
		mux.Handle(path, serveOnly(http.MethodPost))
	}
	mux.Handle(pathModels, serveOnly(http.MethodGet))
	return authenticate(withTaken(mux), options)
}

func generateEndpoint(service Service, options Options) endpoint.Endpoint {
	return func(ctx context.Context, input any) (any, error) {
		wanted := input.(generation)
		answer, err := service.Submit(ctx, wanted.request)
		if err != nil {
			return nil, err
		}
		if wanted.request.IfReady {
			sayTaken(ctx)
		}
		first, err := answer.Next(ctx)
		if err != nil {
			answer.Close()
			return nil, err
		}
		return reply{generation: wanted, answer: answer, first: first, created: options.Now(), writeTimeout: options.WriteTimeout}, nil
	}
}
