package api

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/lotusferry/lotusferry/structs"
)

// Client calls the HTTP API of a router. Routers use it to forward requests to
// another zone, and the load tool uses it to generate requests.
type Client struct {
	http *http.Client
	// now is the clock used to convert deadlines to durations.
	now func() time.Time
}

// NewClient returns a Client that uses the given HTTP client, which must have no
// overall timeout because answers are streamed.
func NewClient(client *http.Client) *Client {
	return &Client{http: client, now: time.Now}
}

// clientBody is the body of the completion requests that Client sends.
type clientBody struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens,omitempty"`
	Stream    bool   `json:"stream"`
	samplingBody
}

// maxEventBytes is the maximum size of one stream event or one error body.
const maxEventBytes = 1 << 20

// Call sends a request to the router at baseURL ("http://127.0.0.1:8080"). The
// error is a *RefusedError. Its execution is ExecutionNotRun if the request was not
// sent, the value from the router's response if there is one, and ExecutionUnknown
// otherwise. forwardedFrom is the forwarding zone, or empty if the request is not
// forwarded. apiKey may be empty.
func (c *Client) Call(ctx context.Context, baseURL, apiKey string, forwardedFrom structs.ZoneID, request structs.Request) (Answer, error) {
	var isConnected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { isConnected.Store(true) }}
	ctx, cancel := context.WithCancel(httptrace.WithClientTrace(ctx, trace))
	httpRequest, err := c.newRequest(ctx, baseURL, apiKey, forwardedFrom, request)
	if err != nil {
		cancel()
		return nil, err
	}
	response, err := c.http.Do(httpRequest)
	if err != nil {
		cancel()
		return nil, classifySendError(err, isConnected.Load())
	}
	if response.StatusCode != http.StatusOK {
		defer cancel()
		defer response.Body.Close()
		return nil, decodeRefusal(response)
	}
	if request.Embedding {
		defer cancel()
		defer response.Body.Close()
		return readEmbedding(request.ID, response.Body)
	}
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(make([]byte, 0, 4096), maxEventBytes)
	return &clientAnswer{id: request.ID, body: response.Body, lines: lines, cancel: cancel}, nil
}

func (c *Client) newRequest(ctx context.Context, baseURL, apiKey string, forwardedFrom structs.ZoneID, request structs.Request) (*http.Request, error) {
	path, body := clientRequest(request)
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, errors.Wrap(err, "encode the request")
	}
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, baseURL+path, bytes.NewReader(encoded))
	if err != nil {
		return nil, errors.Wrap(err, "create the request")
	}
	httpRequest.Header.Set("Content-Type", "application/json")
	httpRequest.Header.Set(HeaderPriority, priorityLabel(request.Priority))
	if remaining := request.DeadlineAt.Sub(c.now()); !request.DeadlineAt.IsZero() {
		httpRequest.Header.Set(HeaderDeadline, max(remaining, time.Millisecond).String())
	}
	if request.IdempotencyKey != "" {
		httpRequest.Header.Set(HeaderIdempotencyKey, request.IdempotencyKey)
	}
	if forwardedFrom != "" {
		httpRequest.Header.Set(HeaderForwarded, string(forwardedFrom))
		httpRequest.Header.Set(HeaderCaller, request.Caller)
		if request.IfReady {
			httpRequest.Header.Set(HeaderForwardIf, ForwardIfReady)
		}
	}
	if apiKey != "" {
		httpRequest.Header.Set("Authorization", "Bearer "+apiKey)
	}
	return httpRequest, nil
}

// clientRequest returns the path and the body of a request.
func clientRequest(request structs.Request) (string, any) {
	if request.Embedding {
		return pathEmbeddings, embeddingsBody{Model: string(request.Row), Input: inputList{request.Prompt}}
	}
	return pathCompletions, clientBody{
		Model:        string(request.Row),
		Prompt:       request.Prompt,
		MaxTokens:    request.MaxTokens,
		Stream:       true,
		samplingBody: samplingBodyOf(request.Sampling),
	}
}

func priorityLabel(priority structs.Priority) string {
	switch priority {
	case structs.PriorityBatch:
		return "batch"
	case structs.PriorityLive:
		return "live"
	}
	return "standard"
}

func newRefusedError(kind structs.ErrorKind, execution structs.Execution, message, remedy string) *RefusedError {
	return &RefusedError{Refusal: structs.Rejection{
		Error:     *structs.NewError(kind, message, remedy),
		Execution: execution,
	}}
}

// classifySendError converts an error of http.Client.Do. It is certain that the request
// did not reach the router only after a failed dial, if there was no connection before it:
// http.Transport sends a request with a key again by itself when a kept connection is lost.
func classifySendError(err error, isConnected bool) *RefusedError {
	if isDialError(err) && !isConnected {
		failure := newRefusedError(structs.ErrorUnavailable, structs.ExecutionNotRun,
			"the router cannot be reached", "try another router of the site")
		failure.transfer = ErrNotSent
		return failure
	}
	return incompleteAnswerError()
}

func isDialError(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

func decodeRefusal(response *http.Response) *RefusedError {
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxEventBytes))
	if err != nil {
		return incompleteAnswerError()
	}
	refusal, ok := refusalFrom(raw)
	if !ok {
		return newRefusedError(structs.ErrorInternal, structs.ExecutionUnknown,
			"the router answered "+response.Status+" without an error body", "check the router's log")
	}
	if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil {
		refusal.Refusal.Error.RetryAfter = time.Duration(seconds) * time.Second
	}
	return refusal
}

func refusalFrom(raw []byte) (*RefusedError, bool) {
	var body errorBody
	if err := json.Unmarshal(raw, &body); err != nil || body.Error.Type == "" {
		return nil, false
	}
	// The encoded message ends with the remedy.
	message := strings.TrimSuffix(body.Error.Message, ": "+body.Error.Remedy)
	return newRefusedError(structs.ErrorKind(body.Error.Type), structs.Execution(body.Error.Execution),
		message, body.Error.Remedy), true
}

func incompleteAnswerError() *RefusedError {
	failure := newRefusedError(structs.ErrorUnavailable, structs.ExecutionUnknown,
		"the connection ended before the answer was complete", "retry with the same idempotency key to get the outcome")
	failure.transfer = ErrBroken
	return failure
}

// clientAnswer is the Answer that reads a streamed completion.
type clientAnswer struct {
	id     structs.RequestID
	body   io.ReadCloser
	lines  *bufio.Scanner
	cancel context.CancelFunc
	index  int
}

var (
	dataPrefix = []byte("data: ")
	// errorPrefix is the start of the event that ends an answer early.
	errorPrefix = []byte(`{"error"`)
)

// Next implements Answer. It returns an error if the stream ends without a finish reason.
func (a *clientAnswer) Next(context.Context) (structs.Token, error) {
	for a.lines.Scan() {
		data, isData := bytes.CutPrefix(a.lines.Bytes(), dataPrefix)
		if !isData {
			continue
		}
		return a.token(data)
	}
	return structs.Token{}, incompleteAnswerError()
}

func (a *clientAnswer) token(data []byte) (structs.Token, error) {
	if bytes.HasPrefix(data, errorPrefix) {
		refusal, isError := refusalFrom(data)
		if !isError {
			return structs.Token{}, incompleteAnswerError()
		}
		return structs.Token{}, refusal
	}
	var chunk completion
	if err := json.Unmarshal(data, &chunk); err != nil || len(chunk.Choices) != 1 || chunk.Choices[0].Text == nil {
		return structs.Token{}, incompleteAnswerError()
	}
	part := chunk.Choices[0]
	token := structs.Token{ID: a.id, Index: a.index, Text: *part.Text}
	if part.FinishReason != nil {
		token.Finish = structs.FinishReason(*part.FinishReason)
	}
	a.index++
	return token, nil
}

// Close implements Answer. It closes the connection, which cancels the request at the router.
func (a *clientAnswer) Close() {
	a.cancel()
	// The answer is no longer read, so a close error has no effect.
	_ = a.body.Close()
}
