package api

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/lotusferry/lotusferry/structs"
)

// Client calls the callers' interface of a router: a router uses it to forward a
// request to another zone, and the load tool to call as members do.
type Client struct {
	http *http.Client
	// now is the clock by which deadlines become durations.
	now func() time.Time
}

// NewClient makes a Client over the given HTTP client, which must have no
// overall timeout because answers are streams.
func NewClient(client *http.Client) *Client {
	return &Client{http: client, now: time.Now}
}

// clientBody is what Client sends: the plain completion request.
type clientBody struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens,omitempty"`
	Stream    bool   `json:"stream"`
	samplingBody
}

// maxEventBytes bounds one event of a stream and one error body.
const maxEventBytes = 1 << 20

// Call sends a request to the router at baseURL ("http://127.0.0.1:8080"). The
// error is a *RefusedError: with ExecutionNotRun when the request was certainly
// not sent, as the router says when it answered, and ExecutionUnknown otherwise.
// forwardedFrom names the forwarding zone, or is empty for a caller. apiKey may be empty.
func (c *Client) Call(ctx context.Context, baseURL, apiKey string, forwardedFrom structs.ZoneID, request structs.Request) (Answer, error) {
	ctx, cancel := context.WithCancel(ctx)
	post, err := c.newPost(ctx, baseURL, apiKey, forwardedFrom, request)
	if err != nil {
		cancel()
		return nil, err
	}
	response, err := c.http.Do(post)
	if err != nil {
		cancel()
		return nil, sendFailure(err)
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

func (c *Client) newPost(ctx context.Context, baseURL, apiKey string, forwardedFrom structs.ZoneID, request structs.Request) (*http.Request, error) {
	path, body := clientRequest(request)
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, errors.Wrap(err, "encode the request")
	}
	post, err := http.NewRequestWithContext(ctx, http.MethodPost, baseURL+path, bytes.NewReader(encoded))
	if err != nil {
		return nil, errors.Wrap(err, "make the request")
	}
	post.Header.Set("Content-Type", "application/json")
	post.Header.Set(HeaderPriority, priorityLabel(request.Priority))
	if remaining := request.DeadlineAt.Sub(c.now()); !request.DeadlineAt.IsZero() {
		post.Header.Set(HeaderDeadline, max(remaining, time.Millisecond).String())
	}
	if request.IdempotencyKey != "" {
		post.Header.Set(HeaderIdempotencyKey, request.IdempotencyKey)
	}
	if forwardedFrom != "" {
		post.Header.Set(HeaderForwarded, string(forwardedFrom))
		post.Header.Set(HeaderCaller, request.Caller)
		if request.IfReady {
			post.Header.Set(HeaderForwardIf, ForwardIfReady)
		}
	}
	if apiKey != "" {
		post.Header.Set("Authorization", "Bearer "+apiKey)
	}
	return post, nil
}

// clientRequest returns the path and the body for a request.
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

func refused(kind structs.ErrorKind, execution structs.Execution, message, remedy string) *RefusedError {
	return &RefusedError{Refusal: structs.Rejection{
		Error:     *structs.NewError(kind, message, remedy),
		Execution: execution,
	}}
}

// sendFailure classifies an error of http.Client.Do. Only a failed dial is
// certain not to have reached the router.
func sendFailure(err error) *RefusedError {
	if isDialError(err) {
		failure := refused(structs.ErrorUnavailable, structs.ExecutionNotRun,
			"the router cannot be reached", "try another router of the site")
		failure.transfer = ErrNotSent
		return failure
	}
	return brokenAnswer()
}

func isDialError(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

func decodeRefusal(response *http.Response) *RefusedError {
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxEventBytes))
	if err != nil {
		return brokenAnswer()
	}
	refusal, ok := refusalFrom(raw)
	if !ok {
		return refused(structs.ErrorInternal, structs.ExecutionUnknown,
			"the router answered "+response.Status+" without a reason", "look at the router's log")
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
	// The message that people read ends with the remedy.
	message := strings.TrimSuffix(body.Error.Message, ": "+body.Error.Remedy)
	return refused(structs.ErrorKind(body.Error.Type), structs.Execution(body.Error.Execution),
		message, body.Error.Remedy), true
}

func brokenAnswer() *RefusedError {
	failure := refused(structs.ErrorUnavailable, structs.ExecutionUnknown,
		"the answer broke off", "ask again with the same idempotency key to learn the outcome")
	failure.transfer = ErrBroken
	return failure
}

// clientAnswer reads the events of a streamed completion.
type clientAnswer struct {
	id     structs.RequestID
	body   io.ReadCloser
	lines  *bufio.Scanner
	cancel context.CancelFunc
	index  int
}

var (
	dataPrefix = []byte("data: ")
	// errorPrefix begins the event that ends an answer early.
	errorPrefix = []byte(`{"error"`)
)

// Next implements Answer. A stream that ends without a finish reason is an error.
func (a *clientAnswer) Next(context.Context) (structs.Token, error) {
	for a.lines.Scan() {
		data, isData := bytes.CutPrefix(a.lines.Bytes(), dataPrefix)
		if !isData {
			continue
		}
		return a.token(data)
	}
	return structs.Token{}, brokenAnswer()
}

func (a *clientAnswer) token(data []byte) (structs.Token, error) {
	if bytes.HasPrefix(data, errorPrefix) {
		refusal, isError := refusalFrom(data)
		if !isError {
			return structs.Token{}, brokenAnswer()
		}
		return structs.Token{}, refusal
	}
	var chunk completion
	if err := json.Unmarshal(data, &chunk); err != nil || len(chunk.Choices) != 1 || chunk.Choices[0].Text == nil {
		return structs.Token{}, brokenAnswer()
	}
	part := chunk.Choices[0]
	token := structs.Token{ID: a.id, Index: a.index, Text: *part.Text}
	if part.FinishReason != nil {
		token.Finish = structs.FinishReason(*part.FinishReason)
	}
	a.index++
	return token, nil
}

// Close implements Answer: it ends the connection, which cancels the request at the router.
func (a *clientAnswer) Close() {
	a.cancel()
	// The answer is over; an error on closing its body changes nothing.
	_ = a.body.Close()
}
