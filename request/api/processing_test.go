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

// blockingService sends its answer once released is closed.
type blockingService struct {
	released  chan struct{}
	submitted structs.Request
}

func (s *blockingService) Rows(context.Context) ([]structs.Row, error) { return nil, nil }

func (s *blockingService) Submit(_ context.Context, request structs.Request) (Answer, error) {
	s.submitted = request
	return s, nil
}

func (s *blockingService) Next(ctx context.Context) (structs.Token, error) {
	select {
	case <-s.released:
		return structs.Token{Text: "[1]", Finish: structs.FinishStop}, nil
	case <-ctx.Done():
		return structs.Token{}, ctx.Err()
	}
}

func (s *blockingService) Close() {}

// The first token is released only after the client has received the status.
func TestConditionalRequestSendsProcessingBeforeFirstToken(t *testing.T) {
	for _, embedding := range []bool{false, true} {
		c := qt.New(t)
		service := &blockingService{released: make(chan struct{})}
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
		c.Assert(status, qt.Equals, statusProcessing)
		c.Assert(service.submitted.IfReady, qt.IsTrue)
		c.Assert(service.submitted.Forwarded, qt.IsTrue)
	}
}

func TestConditionIsIgnoredFromCallers(t *testing.T) {
	c := qt.New(t)
	service := &blockingService{released: make(chan struct{})}
	close(service.released)
	server := httptest.NewServer(NewHandler(log.NewNopLogger(), service, DefaultOptions()))
	defer server.Close()
	request := structs.Request{Row: "row", Prompt: "prompt", MaxTokens: 1, IfReady: true}
	_, err := NewClient(server.Client()).Call(context.Background(), server.URL, "", "zone-a", request)
	c.Assert(err, qt.IsNil)
	c.Assert(service.submitted.IfReady, qt.IsFalse)
}
