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
	// HTTP is the request as it came; its body has been read into Body.
	HTTP *http.Request
	// ID names the caller's attempt.
	ID      string
	Arrived time.Time
	// Wait is how long the caller waits; 0 if it does not say.
	Wait time.Duration
	Body []byte
	// Model and Adapter are what the request needs, or empty.
	Model   string
	Adapter string
	// Parts name the parts of the prompt, in order.
	Parts []string
	// Credential is what the caller showed of who it is.
	Credential Credential
	// Size is how large the request says that it is.
	Size Size
	// ResumeAfter is the event after which a stream goes on; NoEvent for none.
	ResumeAfter int64
}

// digest names what the request asks for. The caller is the name of its tenant, or empty.
func (r *Request) digest(caller string) poison.Digest {
	return poison.Content{
		Caller: caller, Method: r.HTTP.Method, Host: r.HTTP.Host, URI: r.HTTP.URL.RequestURI(), Body: r.Body,
	}.Digest()
}

// Credential is the key that a caller presented.
type Credential struct {
	// Key is empty if there is none, or none that can be read; then Problem tells the caller
	// what is wrong, and the remedy.
	Key     string
	Problem string
}

// Size is what a request tells of its size.
type Size struct {
	// Tokens are those of the prompt and the most of the answer; below 0 if it does not say.
	Tokens int64
	// Prompt and Answer are the two that Tokens sums up; 0 if it does not say.
	Prompt int64
	Answer int64
	// Parts are the tokens of each part of the prompt, in the order of Request.Parts; 0 for a
	// part that does not say.
	Parts []int64
	// Problem tells the caller what is wrong with the size; empty for nothing.
	Problem string
}

// Uncached is how many tokens of the prompt a runner reads that keeps so many of its first
// parts in its cache. Of a prompt without parts nothing is kept.
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

// NoSize is the Tokens of a request that does not tell its size.
const NoSize = -1

// NoEvent is the number before that of the first event.
const NoEvent = -1

// Attempt is one sending of a request to a runner.
type Attempt struct {
	Request *Request
	// Instance and Address are those of the runner.
	Instance string
	Address  string
	Service  string
	// Wait is the time that is left.
	Wait time.Duration
	// Priority is that of the tenant or the route; 0 is the most urgent.
	Priority int
	// Tenant is the name of the tenant whose key the caller holds, or empty.
	Tenant string
	// HidesKey is set if the caller's key is this site's own, which no runner may see.
	HidesKey bool
	// ResumeAfter is the last event that the caller has; NoEvent for none.
	ResumeAfter int64
	// Begin reports whether the request may still be sent: its runner wanted requests when it was chosen, and may want
	// none any more. Once it has returned true it goes on to. Nil stands for always.
	Begin func() bool
}

// MaySend reports whether the request may still be sent.
func (a *Attempt) MaySend() bool { return a.Begin == nil || a.Begin() }

// Answer is a runner's answer, of which the head has come.
type Answer struct {
	Status int
	Header http.Header
	// Body must be closed. Reading fails if the answer is cut short.
	Body io.ReadCloser
	// Length is that of the body, or -1 if the runner did not say.
	Length int64
	// NotRun is set if the runner promises that it has not run the request.
	NotRun bool
	// NotHeld is set if the runner does not hold what the request needs, or is not
	// the instance that was meant.
	NotHeld bool
	// Signed is set if the answer carries the runner's signature.
	Signed bool
	// IsStream is set if the body is a stream of events.
	IsStream bool
	// Notice is what the answer tells of the runner.
	Notice notice.Notice
}

// isTaken reports whether the runner took the request, whatever became of it.
func (a *Answer) isTaken() bool { return !a.NotHeld && !a.NotRun && a.Notice.Rest == 0 }

// tellsLimit reports whether the answer tells of the runner's rate limit. What does not hold what is needed may be
// another runner at the address of the one that was meant. That a runner names no limit counts of whole answers to what
// it ran: rejections and failures are made in other places, and taking one for the end of a need brings all routers
// down on a runner that asked for less.
func (a *Answer) tellsLimit() bool {
	if a.NotHeld {
		return false
	}
	isServed := a.Signed && !a.NotRun && a.Status >= http.StatusOK && a.Status < http.StatusMultipleChoices
	return isServed || a.Notice.Limit.IsNamed || a.Notice.Limit.Problem != ""
}

// Backend sends attempts to runners. The error is ErrNotSent, wrapped, if no byte of
// the request has left. Right before the first one leaves Send asks MaySend, and sends nothing if that denies it.
type Backend interface {
	Send(ctx context.Context, attempt *Attempt) (*Answer, error)
}
