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
	"github.com/lotusferry/lotusferry/structs"
)

const (
	defaultAttemptTimeout = 10 * time.Second
	maximumLeaderFollows  = 3
	maximumAnswerBytes    = 1 << 30
)

// ClientOptions adjusts NewClient.
type ClientOptions struct {
	// Addresses are operators' addresses (IP:port), tried in turn.
	Addresses []string
	// TLS is nil for plain HTTP, which is for development mode only.
	TLS *tls.Config
	// Key is the operator's API key; empty in development mode.
	Key string
	// AttemptTimeout bounds one attempt at one address; 10 s when 0.
	AttemptTimeout time.Duration
	// Network is what the client dials over; nil means TCP.
	Network network.Network
}

// Client implements Service over HTTP. It tries the addresses in turn, beginning
// with the one that answered last, and follows the leader that a daemon names.
// Every operation is safe to send again, so an attempt whose answer was lost is
// repeated at the next address; an Edit keeps its ID. A Client is safe for
// concurrent use.
type Client struct {
	options   ClientOptions
	client    *http.Client
	transport *http.Transport
	last      atomic.Int64
}

var _ Service = (*Client)(nil)

// NewClient returns a Client. It connects at the first call.
func NewClient(options ClientOptions) *Client {
	if options.AttemptTimeout == 0 {
		options.AttemptTimeout = defaultAttemptTimeout
	}
	transport := &http.Transport{
		DialContext:       network.OrTCP(options.Network).DialContext,
		TLSClientConfig:   options.TLS,
		ForceAttemptHTTP2: true,
	}
	return &Client{
		options:   options,
		transport: transport,
		client: &http.Client{
			Transport: transport,
			// A redirect would carry the key elsewhere.
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

// call is one operation on its way to whichever daemon answers.
type call struct {
	method string
	path   string
	query  url.Values
	body   any
	// wait is how long the daemon may hold the answer back.
	wait time.Duration
}

func decodeInto(into any) func([]byte) error {
	return func(content []byte) error { return json.Unmarshal(content, into) }
}

// call tries the addresses until one gives a final answer. Only unavailable and
// not_leader lead to the next address.
func (c *Client) call(ctx context.Context, operation call, decode func([]byte) error) error {
	content, err := encodeBody(operation.body)
	if err != nil {
		return err
	}
	failure := error(structs.NewError(structs.ErrorInvalid, "no address of a daemon is known", "Give one with --address."))
	count := len(c.options.Addresses)
	first := int(c.last.Load())
	for offset := range count {
		index := (first + offset) % count
		failure = c.follow(ctx, c.options.Addresses[index], operation, content, decode)
		if !another(failure) {
			c.last.Store(int64(index))
			return failure
		}
		if ctx.Err() != nil {
			return typedError(ctx.Err())
		}
	}
	return failure
}

// another reports whether another daemon may know better.
func another(err error) bool {
	kind := structs.KindOf(err)
	return kind == structs.ErrorUnavailable || kind == structs.ErrorNotLeader
}

// follow asks the daemon at address, then the leaders that are named.
func (c *Client) follow(ctx context.Context, address string, operation call, content []byte, decode func([]byte) error) error {
	for follows := 0; ; follows++ {
		err := c.attempt(ctx, address, operation, content, decode)
		var typed *structs.Error
		if !stderrors.As(err, &typed) || typed.Kind != structs.ErrorNotLeader {
			return err
		}
		if typed.Leader == "" || typed.Leader == address || follows == maximumLeaderFollows {
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
		return unreachable(ctx, address, err)
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maximumAnswerBytes))
	if err != nil {
		return unreachable(ctx, address, err)
	}
	if response.StatusCode != http.StatusOK {
		return decodeError(response.StatusCode, answer)
	}
	if err := decode(answer); err != nil {
		return structs.NewError(structs.ErrorInternal,
			"the answer of "+address+" cannot be read: "+err.Error(),
			"Check that the address is the operators' address of a daemon of this version.")
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
		return nil, structs.NewError(structs.ErrorInvalid, "the address "+address+" cannot be used", "Write it as IP:port.")
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
	return content, errors.Wrap(err, "encode a request")
}

// unreachable types the error of an attempt that brought no answer.
func unreachable(ctx context.Context, address string, err error) error {
	if ctx.Err() != nil {
		return typedError(ctx.Err())
	}
	var verification *tls.CertificateVerificationError
	if stderrors.As(err, &verification) {
		return structs.NewError(structs.ErrorDenied,
			"the certificate of "+address+" is refused: "+verification.Err.Error(),
			"Give the site's CA with --ca, and issue the daemon's certificate for this address.")
	}
	return structs.NewError(structs.ErrorUnavailable,
		"no answer came from "+address+": "+err.Error(),
		"Ask again, or give another daemon with --address; an edit that is sent again with its ID is made once.")
}
