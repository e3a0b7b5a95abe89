package relay

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/lotusferry/lotusferry/placement/notice"
	"github.com/lotusferry/lotusferry/placement/poison"
)

// Request is a caller's request.
type Request struct {
	// HTTP is the request as received; its body has been read into Body.
	HTTP *http.Request
	// ID identifies the caller's attempt.
	ID      string
	Arrived time.Time
	// Wait is how long the caller waits; 0 if unknown.
	Wait time.Duration
	Body []byte
	// Model and Adapter are what the request needs; possibly empty.
	Model   string
	Adapter string
	// Parts are the IDs of the parts of the prompt, in order. All but the last may be shared with other requests.
	Parts []string
	// Credential is the API key presented by the caller.
	Credential Credential
	// Size is the announced size of the request.
	Size Size
	// ResumeAfter is the ID of the event after which a stream is resumed; NoEvent for none.
	ResumeAfter int64
	// FirstAttemptID is the ID of the caller's attempt that brought the first event of a stream that it takes up; empty for none.
	FirstAttemptID string
}

// digest identifies the content of the request. caller is the name of the tenant, or empty.
func (r *Request) digest(caller string) poison.Digest {
	return poison.Content{
		Caller: caller, Method: r.HTTP.Method, Host: r.HTTP.Host, URI: r.HTTP.URL.RequestURI(), Body: r.Body,
	}.Digest()
}

// maxPartDigests bounds the parts of a prompt that are told apart if runners crash.
const maxPartDigests = 32

// partDigests returns the digests of the parts of the prompt that other requests may share, in order.
func (r *Request) partDigests() []poison.Digest {
	shared := min(len(r.Parts)-1, maxPartDigests)
	if shared <= 0 {
		return nil
	}
	digests := make([]poison.Digest, shared)
	for i := range digests {
		digests[i] = poison.PartDigest(r.Parts[i])
	}
	return digests
}

// Credential is an API key, or the reason why there is none.
type Credential struct {
	// Key is empty if there is no readable key. Problem then tells the caller how to fix it.
	Key     string
	Problem string
}

// Size is the announced size of a request.
type Size struct {
	// Tokens is the number of prompt tokens plus the maximum number of answer tokens; negative if
	// unknown.
	Tokens int64
	// Prompt and Answer are the terms of Tokens; 0 if unknown.
	Prompt int64
	Answer int64
	// Parts are the tokens of each prompt part, in the order of Request.Parts; 0 if unknown.
	Parts []int64
	// Problem tells the caller why the size is invalid; empty if it is valid.
	Problem string
}

// Uncached returns the number of prompt tokens that a runner must process that has cached the given
// number of leading parts. A prompt without parts is not cached.
func (s Size) Uncached(cachedParts int) int64 {
	if len(s.Parts) == 0 {
		return s.Prompt
	}
	tokens := int64(0)
	for _, part := range s.Parts[min(max(0, cachedParts), len(s.Parts)):] {
		tokens += part
	}
	return tokens
}

// NoSize is the value of Size.Tokens for a request of unknown size.
const NoSize = -1

// NoEvent precedes the ID of the first event.
const NoEvent = -1

// Attempt is one send of a request to a runner.
type Attempt struct {
	Request *Request
	// Instance and Address identify the runner.
	Instance string
	Address  string
	// Peer is the address of the peer through which the runner is reached; empty for the direct way.
	Peer    string
	Service string
	// Wait is the remaining time.
	Wait time.Duration
	// Priority is that of the tenant or the route; 0 is the most urgent.
	Priority int
	// Tenant is the name of the caller's tenant, or empty.
	Tenant string
	// HidesKey is set if the caller's API key belongs to this site and must not be forwarded.
	HidesKey bool
	// ResumeAfter is the ID of the last event that the caller has; NoEvent for none.
	ResumeAfter int64
	// CopyTo is the address of the runner to which the memory of the stream is copied while it runs;
	// empty for none.
	CopyTo string
	// IsContinuation is set if the stream goes on from the copy of its memory at this runner, which
	// must not run the request without that copy.
	IsContinuation bool
	// Used are the connections over which the request was sent before. Send must use another one, and adds it.
	Used *Connections
	// Connected is called when the request is given to a connection, with a function that returns the bytes received over it since.
	// Nil means never.
	Connected func(received func() int64)
	// Begin reports whether the request may still be sent, as the runner may have requested a cooldown
	// period or announced that it is leaving since it was chosen. After returning true once it
	// always does. Nil means always.
	Begin func() bool
}

// MaySend reports whether the request may still be sent.
func (a *Attempt) MaySend() bool { return a.Begin == nil || a.Begin() }

// Answer is a runner's response whose header has been received.
type Answer struct {
	Status int
	Header http.Header
	// Body must be closed. Reading fails if the response is truncated, with ErrMalformedAnswer if the connection is not the reason.
	Body io.ReadCloser
	// Length is the length of the body, or -1 if unknown.
	Length int64
	// NotRun is set if the runner guarantees that it has not run the request.
	NotRun bool
	// NotHeld is set if the runner does not hold what the request needs, or is not the addressed
	// instance.
	NotHeld bool
	// Signed is set if the response carries the runner's signature.
	Signed bool
	// IsStream is set if the body is an event stream.
	IsStream bool
	// Notice is what the response says about the runner itself.
	Notice notice.Notice
}

// isFailure reports whether the answer is no success.
func (a *Answer) isFailure() bool { return a.Status >= http.StatusMultipleChoices }

// maxBytes returns the most bytes of the body that are read.
func (a *Answer) maxBytes() int64 {
	if a.isFailure() {
		return maxBuffered
	}
	return maxAnswerBytes
}

// isTaken reports whether the runner accepted the request, whatever its outcome.
func (a *Answer) isTaken() bool { return !a.NotHeld && !a.NotRun && a.Notice.Cooldown == 0 }

// tellsLimit reports whether the response is evidence of the runner's rate limit, or of its
// absence. A response with NotHeld may come from another runner. Only a successful response proves
// that there is no limit: rejections and errors may omit it, and dropping the limit by mistake
// would make all routers overload the runner.
func (a *Answer) tellsLimit() bool {
	if a.NotHeld {
		return false
	}
	isServed := a.Signed && !a.NotRun && a.Status >= http.StatusOK && a.Status < http.StatusMultipleChoices
	return isServed || a.Notice.Limit.IsNamed || a.Notice.Limit.Problem != ""
}

// Backend sends attempts to runners. The error wraps ErrNotSent if no byte of the request was sent, and then a
// *tunnel.Error if a peer was the reason. It wraps ErrForeignAnswer, ErrMalformedAnswer or ErrAnswerTooLong if the runner sent something
// else than an answer to the request.
// Send must call MaySend right before the first byte, and send nothing if it returns false.
type Backend interface {
	Send(ctx context.Context, attempt *Attempt) (*Answer, error)
}

// Prober is a Backend that can check whether a runner is silent, apart from any request.
type Prober interface {
	// Probe returns nil once the instance at the address, reached through the peer if that is not empty, has answered something that
	// takes no slot.
	Probe(ctx context.Context, instance, address, peer string) error
}
