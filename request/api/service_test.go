package api_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"

	"github.com/lotusferry/lotusferry/internal/keys"
	"github.com/lotusferry/lotusferry/request/api"
	"github.com/lotusferry/lotusferry/structs"
)

// fakeService selects its answer by the row: "echo" streams the words of the prompt,
// "endless" never ends, "silent" sends nothing, "unknown" fails with unknown execution, "full" is refused,
// "broken" fails after one token, and "vector" returns embeddings.
type fakeService struct {
	mutex    sync.Mutex
	requests []structs.Request
	closed   chan structs.RequestID
}

func (s *fakeService) Rows(context.Context) ([]structs.Row, error) {
	return []structs.Row{{Name: "echo"}, {Name: "echo/adapter"}, {Name: "vector"}}, nil
}

func (s *fakeService) Submit(_ context.Context, request structs.Request) (api.Answer, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.requests = append(s.requests, request)
	return &fakeAnswer{service: s, request: request, words: strings.Fields(request.Prompt)}, nil
}

// last returns the most recent request.
func (s *fakeService) last() structs.Request {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.requests[len(s.requests)-1]
}

type fakeAnswer struct {
	service *fakeService
	request structs.Request
	words   []string
	next    int
}

func (a *fakeAnswer) Next(ctx context.Context) (structs.Token, error) {
	token := structs.Token{ID: a.request.ID, Index: a.next}
	switch {
	case a.request.Row == "full":
		full := structs.NewError(structs.ErrorOverloaded, "the queue of the row is full", "Come back after the time given.")
		full.RetryAfter = 1500 * time.Millisecond
		return token, &api.RefusedError{Refusal: structs.Rejection{Error: *full, Execution: structs.ExecutionNotRun}}
	case a.request.Row == "unknown", a.request.Row == "broken" && a.next > 0:
		lost := structs.NewError(structs.ErrorUnavailable, "the stream broke", "Find out by other means.")
		return token, &api.RefusedError{Refusal: structs.Rejection{Error: *lost, Execution: structs.ExecutionUnknown}}
	case a.request.Row == "silent", a.request.Row == "endless" && a.next > 0:
		<-ctx.Done()
		return token, ctx.Err()
	case a.request.Row == "vector":
		token.Text = fmt.Sprintf("[%d,0.5]", len(a.request.Prompt))
		token.Finish = structs.FinishStop
		return token, nil
	}
	token.Text = a.words[a.next]
	a.next++
	if a.next == len(a.words) {
		token.Finish = structs.FinishStop
	}
	return token, nil
}

func (a *fakeAnswer) Close() { a.service.closed <- a.request.ID }

// serve starts the HTTP API of a fakeService.
func serve(t testing.TB, change func(*api.Options)) (*fakeService, string) {
	service := &fakeService{closed: make(chan structs.RequestID, 64)}
	options := api.DefaultOptions()
	if change != nil {
		change(&options)
	}
	server := httptest.NewServer(api.NewHandler(log.NewNopLogger(), service, options))
	t.Cleanup(server.Close)
	return service, server.URL
}

func post(c *qt.C, url, path, body string, header map[string]string) *http.Response {
	request, err := http.NewRequest(http.MethodPost, url+path, strings.NewReader(body))
	c.Assert(err, qt.IsNil)
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { response.Body.Close() })
	return response
}

const echoBody = `{"model":"echo","prompt":"one two"}`

func TestCallerAuthenticationAndPriority(t *testing.T) {
	key, hash := keys.NewAPIKey()
	highest := func(priority structs.Priority) func(*api.Options) {
		return func(options *api.Options) {
			options.Keys = func() []api.CallerKey { return []api.CallerKey{{Name: "cellar", Hash: hash, Highest: priority}} }
		}
	}
	for _, test := range []struct {
		about    string
		highest  structs.Priority
		key      string
		priority string
		status   int
		wanted   structs.Priority
	}{
		{"no key", structs.PriorityLive, "", "", http.StatusUnauthorized, 0},
		{"unknown key", structs.PriorityLive, "lfk_x", "", http.StatusUnauthorized, 0},
		{"known key", structs.PriorityLive, key, "live", http.StatusOK, structs.PriorityLive},
		{"the default is standard", structs.PriorityLive, key, "", http.StatusOK, structs.PriorityStandard},
		{"the default is not above the caller's", structs.PriorityBatch, key, "", http.StatusOK, structs.PriorityBatch},
		{"above the caller's", structs.PriorityStandard, key, "live", http.StatusForbidden, 0},
		{"at the caller's", structs.PriorityStandard, key, "standard", http.StatusOK, structs.PriorityStandard},
	} {
		t.Run(test.about, func(t *testing.T) {
			c := qt.New(t)
			service, url := serve(t, highest(test.highest))
			header := map[string]string{"Authorization": "Bearer " + test.key, api.HeaderPriority: test.priority}
			response := post(c, url, "/v1/completions", echoBody, header)
			c.Assert(response.StatusCode, qt.Equals, test.status)
			if test.status != http.StatusOK {
				c.Assert(response.Header.Get(api.HeaderExecution), qt.Equals, string(structs.ExecutionNotRun))
				c.Assert(service.requests, qt.HasLen, 0)
				return
			}
			c.Assert(service.last().Priority, qt.Equals, test.wanted)
			c.Assert(service.last().Caller, qt.Equals, "cellar")
		})
	}
}

func TestForwardingRequiresDaemon(t *testing.T) {
	_, hash := keys.NewAPIKey()
	for _, daemon := range []bool{true, false} {
		t.Run(fmt.Sprint("daemon ", daemon), func(t *testing.T) {
			c := qt.New(t)
			service, url := serve(t, func(options *api.Options) {
				options.Keys = func() []api.CallerKey { return []api.CallerKey{{Name: "other", Hash: hash}} }
				options.FromDaemon = func(*http.Request) bool { return daemon }
			})
			request := structs.Request{ID: "r", Row: "echo", Prompt: "one two", Caller: "cellar", IdempotencyKey: "a:1",
				DeadlineAt: time.Now().Add(time.Minute)}
			answer, err := api.NewClient(http.DefaultClient).Call(context.Background(), url, "", "zone-b", request)
			if !daemon {
				c.Assert(structs.KindOf(err), qt.Equals, structs.ErrorDenied)
				return
			}
			c.Assert(err, qt.IsNil)
			defer answer.Close()
			got := service.last()
			c.Assert(got.Caller, qt.Equals, "cellar")
			c.Assert(got.Forwarded, qt.IsTrue)
			c.Assert(got.IdempotencyKey, qt.Equals, "a:1")
		})
	}
}

func TestEmbeddingIsForwardedAsOneToken(t *testing.T) {
	c := qt.New(t)
	service, url := serve(t, nil)
	request := structs.Request{ID: "r", Row: "vector", Prompt: "four", MaxTokens: 1, Embedding: true}
	answer, err := api.NewClient(http.DefaultClient).Call(context.Background(), url, "", "", request)
	c.Assert(err, qt.IsNil)
	token, err := answer.Next(context.Background())
	c.Assert(err, qt.IsNil)
	c.Assert(token, qt.Equals, structs.Token{ID: "r", Text: "[4,0.5]", Finish: structs.FinishStop})
	c.Assert(service.last().Embedding, qt.IsTrue)
}

func TestInvalidEmbeddingRequestsAreRefused(t *testing.T) {
	for _, body := range []string{
		`{"model":"vector","input":[]}`,
		`{"model":"vector","input":""}`,
		`{"model":"vector","input":[1,2]}`,
		`{"model":"vector","input":"a","dimensions":3}`,
		`{"model":"vector","input":"a","encoding_format":"int8"}`,
		`{"input":"a"}`,
	} {
		c := qt.New(t)
		service, url := serve(t, nil)
		response := post(c, url, "/v1/embeddings", body, nil)
		c.Check(response.StatusCode, qt.Equals, http.StatusBadRequest, qt.Commentf(body))
		c.Check(service.requests, qt.HasLen, 0)
	}
}

func TestRefusedEmbeddingInputExecution(t *testing.T) {
	for _, test := range []struct {
		input string
		want  structs.Execution
	}{{`"a"`, structs.ExecutionNotRun}, {`["a","b"]`, structs.ExecutionPartial}} {
		c := qt.New(t)
		_, url := serve(t, nil)
		response := post(c, url, "/v1/embeddings", `{"model":"full","input":`+test.input+`}`, nil)
		c.Check(response.StatusCode, qt.Equals, http.StatusTooManyRequests)
		c.Check(response.Header.Get("Retry-After"), qt.Equals, "2")
		c.Check(response.Header.Get(api.HeaderExecution), qt.Equals, string(test.want))
	}
}
