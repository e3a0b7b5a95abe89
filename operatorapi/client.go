package operatorapi

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	stderrors "errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/lotusferry/lotusferry/internal/network"
	"github.com/lotusferry/lotusferry/internal/wellformed"
	"github.com/lotusferry/lotusferry/structs"
)

const (
	defaultAttemptTimeout  = 10 * time.Second
	maximumLeaderRedirects = 3
	maximumResponseBytes   = 1 << 30
	// maximumHeadBytes bounds the head of a response.
	maximumHeadBytes = 64 << 10
)

// ClientOptions configures a Client.
type ClientOptions struct {
	// Addresses are the operator addresses (IP:port) of daemons, tried in order.
	Addresses []string
	// TLS is nil for plain HTTP, which only daemons in development mode accept.
	TLS *tls.Config
	// Key is the operator's API key; empty in development mode.
	Key string
	// AttemptTimeout bounds each attempt at an address; 0 means 10 s.
	AttemptTimeout time.Duration
	// Network is used to dial; nil means TCP.
	Network network.Network
}

// Client implements Service over HTTP. It tries the addresses in order, starting
// with the one that last succeeded, and follows redirects to the leader. All
// operations are idempotent, so a failed attempt is retried at the next address;
// an edit keeps its ID. A Client is safe for concurrent use.
type Client struct {
	options   ClientOptions
	client    *http.Client
	transport *http.Transport
	last      atomic.Int64
}

var _ Service = (*Client)(nil)

// NewClient returns a Client, which connects on its first call.
func NewClient(options ClientOptions) *Client {
	if options.AttemptTimeout == 0 {
		options.AttemptTimeout = defaultAttemptTimeout
	}
	transport := &http.Transport{
		DialContext:            network.OrTCP(options.Network).DialContext,
		TLSClientConfig:        options.TLS,
		ForceAttemptHTTP2:      true,
		MaxResponseHeaderBytes: maximumHeadBytes,
	}
	return &Client{
		options:   options,
		transport: transport,
		client: &http.Client{
			Transport: wellformed.Transport{Base: transport},
			// An HTTP redirect could send the key to another host.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Table implements Service.
func (c *Client) Table(ctx context.Context) (TableView, error) {
	var view TableView
	err := c.call(ctx, call{method: http.MethodGet, path: pathTable}, decodeInto(&view))
	return view, err
}

// Apply implements Service.
func (c *Client) Apply(ctx context.Context, edit structs.Edit, dryRun bool) (structs.EditResult, error) {
	var result structs.EditResult
	query := url.Values{parameterDryRun: {strconv.FormatBool(dryRun)}}
	err := c.call(ctx, call{method: http.MethodPost, path: pathEdits, query: query, body: newEditBody(edit)}, decodeInto(&result))
	return result, err
}

// History implements Service.
func (c *Client) History(ctx context.Context, limit int) ([]structs.HistoryEntry, error) {
	var body historyBody
	query := url.Values{parameterLimit: {strconv.Itoa(limit)}}
	err := c.call(ctx, call{method: http.MethodGet, path: pathHistory, query: query}, decodeInto(&body))
	return body.Entries, err
}

// Status implements Service.
func (c *Client) Status(ctx context.Context) (SiteStatus, error) {
	var status SiteStatus
	err := c.call(ctx, call{method: http.MethodGet, path: pathStatus}, decodeInto(&status))
	return status, err
}

// Watch implements Service. wait is at most MaximumWait.
func (c *Client) Watch(ctx context.Context, since uint64, wait time.Duration) (TableChanges, error) {
	wait = min(wait, MaximumWait)
	query := url.Values{
		parameterSince: {strconv.FormatUint(since, 10)},
		parameterWait:  {wait.String()},
	}
	var changes TableChanges
	err := c.call(ctx, call{method: http.MethodGet, path: pathWatch, query: query, wait: wait}, decodeInto(&changes))
	return changes, err
}

// Drain implements Service.
func (c *Client) Drain(ctx context.Context, request DrainRequest) error {
	return c.call(ctx, call{method: http.MethodPost, path: pathDrains, body: request}, decodeInto(&emptyRequest{}))
}

// SaveSnapshot implements Service.
func (c *Client) SaveSnapshot(ctx context.Context, group string) ([]byte, error) {
	var snapshot []byte
	query := url.Values{parameterGroup: {group}}
	err := c.call(ctx, call{method: http.MethodGet, path: pathSnapshot, query: query}, func(content []byte) error {
		snapshot = content
		return nil
	})
	return snapshot, err
}

// call is the request of one operation.
type call struct {
	method string
	path   string
	query  url.Values
	body   any
	// wait is how long the daemon may delay its response.
	wait time.Duration
}

func decodeInto(into any) func([]byte) error {
	return func(content []byte) error { return json.Unmarshal(content, into) }
}

// call tries the addresses until one returns a final result. Only the error kinds
// unavailable and not_leader are retried at the next address.
func (c *Client) call(ctx context.Context, operation call, decode func([]byte) error) error {
	content, err := encodeBody(operation.body)
	if err != nil {
		return err
	}
	failure := error(structs.NewError(structs.ErrorInvalid, "no daemon address is set", "Set one with --address."))
	count := len(c.options.Addresses)
	first := int(c.last.Load())
	for offset := range count {
		index := (first + offset) % count
		failure = c.followLeader(ctx, c.options.Addresses[index], operation, content, decode)
		if !isRetryable(failure) {
			c.last.Store(int64(index))
			return failure
		}
		if ctx.Err() != nil {
			return typedError(ctx.Err())
		}
	}
	return failure
}

// isRetryable reports whether another daemon may succeed after err.
func isRetryable(err error) bool {
	kind := structs.KindOf(err)
	return kind == structs.ErrorUnavailable || kind == structs.ErrorNotLeader
}

// followLeader calls the daemon at address and follows leader redirects, at most
// maximumLeaderRedirects.
func (c *Client) followLeader(ctx context.Context, address string, operation call, content []byte, decode func([]byte) error) error {
	for redirects := 0; ; redirects++ {
		err := c.attempt(ctx, address, operation, content, decode)
		var typed *structs.Error
		if !stderrors.As(err, &typed) || typed.Kind != structs.ErrorNotLeader {
			return err
		}
		if typed.Leader == "" || typed.Leader == address || redirects == maximumLeaderRedirects {
			return err
		}
		address = typed.Leader
	}
}

func (c *Client) attempt(ctx context.Context, address string, operation call, content []byte, decode func([]byte) error) error {
	attempt, cancel := context.WithTimeout(ctx, c.options.AttemptTimeout+operation.wait)
	defer cancel()
	request, err := c.newRequest(attempt, address, operation, content)
	if err != nil {
		return err
	}
	response, err := c.client.Do(request)
	if err != nil {
		return transportError(ctx, address, err)
	}
	defer response.Body.Close()
	responseBody, err := io.ReadAll(io.LimitReader(response.Body, maximumResponseBytes))
	if err != nil {
		return transportError(ctx, address, err)
	}
	if response.StatusCode != http.StatusOK {
		return decodeError(response.StatusCode, responseBody)
	}
	if err := decode(responseBody); err != nil {
		return structs.NewError(structs.ErrorInternal,
			"the response of "+address+" cannot be decoded: "+err.Error(),
			"Check that the address is the operator address of a daemon of this version.")
	}
	return nil
}

func (c *Client) newRequest(ctx context.Context, address string, operation call, content []byte) (*http.Request, error) {
	target := url.URL{Scheme: "http", Host: address, Path: operation.path, RawQuery: operation.query.Encode()}
	if c.options.TLS != nil {
		target.Scheme = "https"
	}
	request, err := http.NewRequestWithContext(ctx, operation.method, target.String(), bytes.NewReader(content))
	if err != nil {
		return nil, structs.NewError(structs.ErrorInvalid, "the address "+address+" is not valid", "Write it as IP:port.")
	}
	if operation.body != nil {
		request.Header.Set("Content-Type", contentJSON)
	}
	if c.options.Key != "" {
		request.Header.Set("Authorization", "Bearer "+c.options.Key)
	}
	return request, nil
}

func encodeBody(body any) ([]byte, error) {
	if body == nil {
		return nil, nil
	}
	content, err := json.Marshal(body)
	return content, errors.Wrap(err, "encode the request")
}

// transportError returns the typed error of an attempt without a response.
func transportError(ctx context.Context, address string, err error) error {
	if ctx.Err() != nil {
		return typedError(ctx.Err())
	}
	var verification *tls.CertificateVerificationError
	if stderrors.As(err, &verification) {
		return structs.NewError(structs.ErrorDenied,
			"the certificate of "+address+" was rejected: "+verification.Err.Error(),
			"Set the site's CA with --ca, and issue the daemon's certificate for this address.")
	}
	return structs.NewError(structs.ErrorUnavailable,
		"no response from "+address+": "+err.Error(),
		"Retry, or set another daemon with --address; an edit that is sent again with its ID is applied once.")
}
