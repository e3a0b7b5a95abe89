package engineapi

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"mime"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/lotusferry/lotusferry/internal/network"
	"github.com/lotusferry/lotusferry/internal/option"
	"github.com/lotusferry/lotusferry/internal/wellformed"
	"github.com/lotusferry/lotusferry/structs"
)

// ClientOptions configures a Client. Zero fields have the defaults given in parentheses.
type ClientOptions struct {
	// DialTimeout is the timeout for connecting (1 s).
	DialTimeout time.Duration
	// HeaderTimeout is the timeout for the response header (10 s). Engines send the
	// header when they accept a request, before the first token.
	HeaderTimeout time.Duration
	// CallTimeout is the timeout of a unary call other than Fetch (10 s).
	CallTimeout time.Duration
	// IdleTimeout is how long idle connections are kept open (90 s).
	IdleTimeout time.Duration
	// DrainTimeout is how long Stream.Close waits for the trailer of a finished
	// stream, so that its connection can be reused (50 ms).
	DrainTimeout time.Duration
	// StreamsPerHost is the maximum number of concurrent streams to an engine (512).
	StreamsPerHost int
	// CallsPerHost is the maximum number of concurrent unary calls to a back end (32).
	CallsPerHost int
	// MaxLine is the maximum length of a stream line in bytes (DefaultMaxLine).
	MaxLine int
	// MaxBody is the maximum size of a unary response body in bytes (16 MiB).
	MaxBody int64
	// Network is used to dial (TCP).
	Network network.Network
}

const (
	defaultDialTimeout    = time.Second
	defaultHeaderTimeout  = 10 * time.Second
	defaultCallTimeout    = 10 * time.Second
	defaultIdleTimeout    = 90 * time.Second
	defaultDrainTimeout   = 50 * time.Millisecond
	defaultStreamsPerHost = 512
	defaultCallsPerHost   = 32
	defaultMaxBody        = 16 << 20
	maxIdleConnections    = 16 << 10
	maxHeaderBytes        = 16 << 10
	maxErrorBody          = 16 << 10
	// maxEventOverhead is the maximum size of a token event without its text, in bytes.
	maxEventOverhead = 1 << 10
	// maxStreamTokens limits the number of tokens used to compute a stream's size limit.
	maxStreamTokens = 1 << 20
)

// withDefaults sets zero fields to their defaults.
func (o ClientOptions) withDefaults() ClientOptions {
	option.Default(&o.DialTimeout, defaultDialTimeout)
	option.Default(&o.HeaderTimeout, defaultHeaderTimeout)
	option.Default(&o.CallTimeout, defaultCallTimeout)
	option.Default(&o.IdleTimeout, defaultIdleTimeout)
	option.Default(&o.DrainTimeout, defaultDrainTimeout)
	option.Default(&o.StreamsPerHost, defaultStreamsPerHost)
	option.Default(&o.CallsPerHost, defaultCallsPerHost)
	option.Default(&o.MaxLine, DefaultMaxLine)
	option.Default(&o.MaxBody, defaultMaxBody)
	o.Network = network.OrTCP(o.Network)
	return o
}

// Client calls back ends. It is safe for concurrent use, and one Client is enough for
// a process. Streams and unary calls have separate connection pools, so that orders
// can be sent to an engine at its stream limit.
type Client struct {
	options ClientOptions
	streams *http.Client
	calls   *http.Client
	fetches *http.Client
}

// NewClient returns a Client with the given options.
func NewClient(options ClientOptions) *Client {
	options = options.withDefaults()
	calls := newTransport(options, options.CallsPerHost)
	calls.ResponseHeaderTimeout = options.HeaderTimeout
	streams := newTransport(options, options.StreamsPerHost)
	streams.ResponseHeaderTimeout = options.HeaderTimeout
	return &Client{
		options: options,
		streams: newHTTPClient(streams),
		calls:   newHTTPClient(calls),
		fetches: newHTTPClient(newTransport(options, options.StreamsPerHost)),
	}
}

func newTransport(options ClientOptions, maxConnsPerHost int) *http.Transport {
	return &http.Transport{
		DialContext:            wellformed.Dial(network.DialWithin(options.Network, options.DialTimeout)),
		MaxIdleConns:           maxIdleConnections,
		MaxIdleConnsPerHost:    maxConnsPerHost,
		MaxConnsPerHost:        maxConnsPerHost,
		IdleConnTimeout:        options.IdleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		DisableCompression:     true,
	}
}

func newHTTPClient(transport *http.Transport) *http.Client {
	return &http.Client{
		Transport: wellformed.Transport{Base: transport},
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.streams.CloseIdleConnections()
	c.calls.CloseIdleConnections()
	c.fetches.CloseIdleConnections()
}

// Generate sends the request and returns its stream once the engine has accepted it.
// The caller must Close the stream. Errors are of type *CallError. Waiting for a free
// connection to the engine, which counts as not sent, and for tokens has no timeout
// other than that of ctx.
func (c *Client) Generate(ctx context.Context, address string, request structs.GenerateRequest) (*Stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	response, err := c.send(ctx, c.streams, http.MethodPost, address, PathGenerate, request)
	if err != nil {
		cancel()
		return nil, err
	}
	if err := checkContentType(response); err != nil {
		_ = response.Body.Close()
		cancel()
		return nil, &CallError{Stage: StageBroken, Operation: PathGenerate, Address: address, Status: response.StatusCode, Err: err}
	}
	bounded := io.LimitReader(response.Body, c.streamLimit(request))
	return &Stream{
		address:      address,
		request:      request,
		body:         response.Body,
		decoder:      NewTokenDecoder(bounded, c.options.MaxLine),
		response:     response,
		cancel:       cancel,
		drainTimeout: c.options.DrainTimeout,
		next:         request.ResumeFrom,
	}, nil
}

// streamLimit returns the maximum size of a stream body in bytes. A longer body is
// truncated, so that it has no finish reason and results in an error.
func (c *Client) streamLimit(request structs.GenerateRequest) int64 {
	remaining := min(max(request.MaxTokens-request.ResumeFrom, 0), maxStreamTokens)
	tokens := int64(remaining + 1 + maxRepeats)
	return tokens*maxEventOverhead + int64(c.options.MaxLine)
}

func checkContentType(response *http.Response) error {
	mediaType, _, err := mime.ParseMediaType(response.Header.Get("Content-Type"))
	if err != nil || mediaType != ContentTypeEvents {
		return malformed("the answer is not an event stream")
	}
	return nil
}

// send creates and sends a request and returns a response with status 200. Errors are
// of type *CallError.
func (c *Client) send(ctx context.Context, client *http.Client, method, address, operation string, body any) (*http.Response, error) {
	request, err := newRequest(ctx, method, address, operation, body)
	if err != nil {
		return nil, &CallError{Stage: StageNotSent, Operation: operation, Address: address, Err: err}
	}
	return do(client, request)
}

// do sends the request and returns a response with status 200. Errors are of type
// *CallError, with StageNotSent if no connection was obtained.
func do(client *http.Client, request *http.Request) (*http.Response, error) {
	callErr := &CallError{Stage: StageNotSent, Operation: request.URL.Path, Address: request.URL.Host}
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	response, err := client.Do(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err != nil {
		if connected.Load() {
			callErr.Stage = StageBroken
		}
		callErr.Err = err
		return nil, callErr
	}
	if response.StatusCode == http.StatusOK {
		return response, nil
	}
	defer func() { _ = response.Body.Close() }()
	return nil, responseError(callErr, response)
}

// responseError completes call from a response whose status is not 200. The stage is
// StageRefused only for a 4xx or 503 response with ExecutionNotRun.
func responseError(call *CallError, response *http.Response) *CallError {
	call.Status = response.StatusCode
	call.Stage = StageBroken
	clientError := response.StatusCode >= http.StatusBadRequest && response.StatusCode < http.StatusInternalServerError
	notRun := response.Header.Get(HeaderExecution) == string(structs.ExecutionNotRun)
	if notRun && (clientError || response.StatusCode == http.StatusServiceUnavailable) {
		call.Stage = StageRefused
	}
	var body ErrorBody
	err := json.NewDecoder(io.LimitReader(response.Body, maxErrorBody)).Decode(&body)
	if err != nil || body.Kind == "" {
		call.Err = malformed("the back end answered " + response.Status)
		return call
	}
	call.Err = body.Err()
	return call
}

func newRequest(ctx context.Context, method, address, operation string, body any) (*http.Request, error) {
	var reader io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return nil, errors.Wrap(err, "encode request")
		}
		reader = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+operation, reader)
	if err != nil {
		return nil, errors.Wrap(err, "create request")
	}
	if body != nil {
		request.Header.Set("Content-Type", ContentTypeJSON)
	}
	return request, nil
}
