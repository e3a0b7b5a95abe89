package api

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"net/textproto"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"

	"github.com/lotusferry/lotusferry/structs"
)

// lateService answers once released.
type lateService struct {
	released  chan struct{}
	submitted structs.Request
}

func (s *lateService) Rows(context.Context) ([]structs.Row, error) { return nil, nil }

func (s *lateService) Submit(_ context.Context, request structs.Request) (Answer, error) {
	s.submitted = request
	return s, nil
}

func (s *lateService) Next(ctx context.Context) (structs.Token, error) {
	select {
	case <-s.released:
		return structs.Token{Text: "[1]", Finish: structs.FinishStop}, nil
	case <-ctx.Done():
		return structs.Token{}, ctx.Err()
	}
}

func (s *lateService) Close() {}

// TestConditionalRequestIsSaidToBeTakenBeforeItsFirstToken releases the first token
// only once the forwarding router has heard that the request is executed.
func TestConditionalRequestIsSaidToBeTakenBeforeItsFirstToken(t *testing.T) {
	for _, embedding := range []bool{false, true} {
		c := qt.New(t)
		service := &lateService{released: make(chan struct{})}
		options := DefaultOptions()
		options.FromDaemon = func(*http.Request) bool { return true }
		server := httptest.NewServer(NewHandler(log.NewNopLogger(), service, options))
		defer server.Close()
		status := 0
		ctx := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{
			Got1xxResponse: func(code int, _ textproto.MIMEHeader) error {
				status = code
				close(service.released)
				return nil
			},
		})
		request := structs.Request{Row: "row", Prompt: "prompt", MaxTokens: 1, IfReady: true, Embedding: embedding}
		answer, err := NewClient(server.Client()).Call(ctx, server.URL, "", "zone-a", request)
		c.Assert(err, qt.IsNil)
		defer answer.Close()
		_, err = answer.Next(ctx)
		c.Assert(err, qt.IsNil)
		c.Assert(status, qt.Equals, statusTaken)
		c.Assert(service.submitted.IfReady, qt.IsTrue)
		c.Assert(service.submitted.Forwarded, qt.IsTrue)
	}
}

func TestOnlyADaemonSetsTheCondition(t *testing.T) {
	c := qt.New(t)
	service := &lateService{released: make(chan struct{})}
	close(service.released)
	server := httptest.NewServer(NewHandler(log.NewNopLogger(), service, DefaultOptions()))
	defer server.Close()
	request := structs.Request{Row: "row", Prompt: "prompt", MaxTokens: 1, IfReady: true}
	_, err := NewClient(server.Client()).Call(context.Background(), server.URL, "", "zone-a", request)
	c.Assert(err, qt.IsNil)
	c.Assert(service.submitted.IfReady, qt.IsFalse)
}
