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
	"github.com/lotusferry/lotusferry/structs"
)

// ClientOptions are the limits of a Client. A zero field means its default.
type ClientOptions struct {
	// DialTimeout bounds the making of a connection (1 s).
	DialTimeout time.Duration
	// HeaderTimeout bounds the wait for the response header (10 s). An engine
	// sends the header when it accepts a request, before the first token.
	HeaderTimeout time.Duration
	// CallTimeout bounds a whole unary call (10 s); Fetch has only its context.
	CallTimeout time.Duration
	// IdleTimeout closes connections that were not used for so long (90 s).
	IdleTimeout time.Duration
	// DrainTimeout bounds how long Stream.Close waits for the trailer of a finished
	// stream, so that its connection can be used again (50 ms).
	DrainTimeout time.Duration
	// StreamsPerHost bounds the streams to one engine (512).
	StreamsPerHost int
	// CallsPerHost bounds the unary calls under way to one back end (32).
	CallsPerHost int
	// MaxLine bounds one line of a stream in bytes (DefaultMaxLine).
	MaxLine int
	// MaxBody bounds the body of a unary answer in bytes (16 MB).
	MaxBody int64
	// Network is what the client dials over; nil means TCP.
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
	// streamOverhead is what a token's event may take besides its text, in bytes.
	streamOverhead = 1 << 10
	// maxStreamTokens bounds the tokens that a stream's size is reckoned for.
	maxStreamTokens = 1 << 20
)

// withDefaults fills the zero fields.
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

// Client calls back ends. One Client serves a whole process; it is safe for
// concurrent use. Streams and unary calls have connections of their own, so that
// a full engine still answers orders.
type Client struct {
	options ClientOptions
	streams *http.Client
	calls   *http.Client
	fetches *http.Client
}

// NewClient makes a Client.
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

func newTransport(options ClientOptions, perHost int) *http.Transport {
	return &http.Transport{
		DialContext:            network.DialWithin(options.Network, options.DialTimeout),
		MaxIdleConns:           maxIdleConnections,
		MaxIdleConnsPerHost:    perHost,
		MaxConnsPerHost:        perHost,
		IdleConnTimeout:        options.IdleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		DisableCompression:     true,
	}
}

func newHTTPClient(transport *http.Transport) *http.Client {
	return &http.Client{
		Transport: transport,
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.streams.CloseIdleConnections()
	c.calls.CloseIdleConnections()
	c.fetches.CloseIdleConnections()
}

// Generate sends the request and returns its stream once the engine has accepted
// it. The caller must Close the stream. Errors are *CallError. Only ctx bounds the
// wait for a free connection to the engine, which counts as not sent, and the
// wait for tokens.
func (c *Client) Generate(ctx context.Context, address string, request structs.GenerateRequest) (*Stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	response, err := c.send(ctx, c.streams, http.MethodPost, address, PathGenerate, request)
	if err != nil {
		cancel()
		return nil, err
	}
	if err := checkStream(response); err != nil {
		_ = response.Body.Close()
		cancel()
		return nil, &CallError{Stage: StageBroken, Operation: PathGenerate, Address: address, Status: response.StatusCode, Err: err}
	}
	bounded := io.LimitReader(response.Body, c.streamLimit(request))
	return &Stream{
		address:  address,
		request:  request,
		body:     response.Body,
		decoder:  NewTokenDecoder(bounded, c.options.MaxLine),
		response: response,
		cancel:   cancel,
		drain:    c.options.DrainTimeout,
		next:     request.ResumeFrom,
	}, nil
}

// streamLimit bounds the body of a stream in bytes: a body cut there has no
// finish and is an error.
func (c *Client) streamLimit(request structs.GenerateRequest) int64 {
	wanted := min(max(request.MaxTokens-request.ResumeFrom, 0), maxStreamTokens)
	tokens := int64(wanted + 1 + maxRepeats)
	return tokens*streamOverhead + int64(c.options.MaxLine)
}

func checkStream(response *http.Response) error {
	mediaType, _, err := mime.ParseMediaType(response.Header.Get("Content-Type"))
	if err != nil || mediaType != ContentTypeEvents {
		return malformed("the answer is not an event stream")
	}
	return nil
}

// send makes and sends one request and returns a response of status 200. All
// errors are *CallError.
func (c *Client) send(ctx context.Context, client *http.Client, method, address, operation string, body any) (*http.Response, error) {
	request, err := newRequest(ctx, method, address, operation, body)
	if err != nil {
		return nil, &CallError{Stage: StageNotSent, Operation: operation, Address: address, Err: err}
	}
	return do(client, request)
}

// do sends the request and returns a response of status 200. All errors are
// *CallError; without a connection nothing was sent.
func do(client *http.Client, request *http.Request) (*http.Response, error) {
	call := &CallError{Stage: StageNotSent, Operation: request.URL.Path, Address: request.URL.Host}
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	response, err := client.Do(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err != nil {
		if connected.Load() {
			call.Stage = StageBroken
		}
		call.Err = err
		return nil, call
	}
	if response.StatusCode == http.StatusOK {
		return response, nil
	}
	defer func() { _ = response.Body.Close() }()
	return nil, refusal(call, response)
}

// refusal turns a response that is not 200 into a CallError. Only a client error
// or 503 that says not-run is a certain refusal.
func refusal(call *CallError, response *http.Response) *CallError {
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
		return nil, errors.Wrap(err, "make request")
	}
	if body != nil {
		request.Header.Set("Content-Type", ContentTypeJSON)
	}
	return request, nil
}
