package engineapi_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"github.com/lotusferry/lotusferry/internal/network/networktest"
	"github.com/lotusferry/lotusferry/request/engineapi"
	"github.com/lotusferry/lotusferry/structs"
)

func TestCallErrorStage(t *testing.T) {
	refused := engineapi.NewErrorBody(*structs.NewError(structs.ErrorOverloaded, "full", "wait"))
	refused.RetryAfter = time.Second
	body, err := json.Marshal(refused)
	qt.Assert(t, err, qt.IsNil)
	tests := []struct {
		name   string
		status int
		marker structs.Execution
		body   string
		want   engineapi.Stage
		kind   structs.ErrorKind
	}{
		{"503 with marker", 503, structs.ExecutionNotRun, string(body), engineapi.StageRefused, structs.ErrorOverloaded},
		{"400 with marker", 400, structs.ExecutionNotRun, string(body), engineapi.StageRefused, structs.ErrorOverloaded},
		{"marker without body", 404, structs.ExecutionNotRun, "", engineapi.StageRefused, structs.ErrorInternal},
		{"503 without marker", 503, "", string(body), engineapi.StageBroken, structs.ErrorOverloaded},
		{"other marker", 503, structs.ExecutionUnknown, string(body), engineapi.StageBroken, structs.ErrorOverloaded},
		{"500 with marker", 500, structs.ExecutionNotRun, string(body), engineapi.StageBroken, structs.ErrorOverloaded},
		{"redirect", 302, structs.ExecutionNotRun, "", engineapi.StageBroken, structs.ErrorInternal},
		{"endless error body", 503, "", strings.Repeat(" ", 1<<20) + string(body), engineapi.StageBroken, structs.ErrorInternal},
		{"200 without event stream", 200, "", "{}", engineapi.StageBroken, structs.ErrorInternal},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				client, address := serve(t, func(w http.ResponseWriter, r *http.Request) {
					w.Header().Set(engineapi.HeaderExecution, string(test.marker))
					w.Header().Set("Location", "/elsewhere")
					w.WriteHeader(test.status)
					_, _ = io.WriteString(w, test.body)
				})
				_, err := client.Generate(context.Background(), address, structs.GenerateRequest{ID: "r", MaxTokens: 1})
				var call *engineapi.CallError
				c.Assert(errors.As(err, &call), qt.IsTrue)
				c.Check(call.Stage, qt.Equals, test.want)
				c.Check(call.NotRun(), qt.Equals, test.want == engineapi.StageRefused)
				c.Check(call.Status, qt.Equals, test.status)
				c.Check(structs.KindOf(err), qt.Equals, test.kind)
			})
		})
	}
}

func TestRequestWithoutConnectionIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		memory := networktest.NewMemory(0)
		listener, err := memory.Listen(t.Context(), "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		address := listener.Addr().String()
		c.Assert(listener.Close(), qt.IsNil)
		client := engineapi.NewClient(engineapi.ClientOptions{Network: memory})
		defer client.Close()
		ctx := context.Background()
		_, err = client.Generate(ctx, address, structs.GenerateRequest{ID: "r", MaxTokens: 1})
		c.Check(engineapi.StageOf(err), qt.Equals, engineapi.StageNotSent)
		_, err = client.Order(ctx, address, structs.Order{})
		c.Check(engineapi.StageOf(err), qt.Equals, engineapi.StageNotSent)
		_, err = client.Order(ctx, "no address", structs.Order{})
		c.Check(engineapi.StageOf(err), qt.Equals, engineapi.StageNotSent)
	})
}

func TestConnectionClosedAfterRequestIsBroken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		client, address := serve(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
		ctx := context.Background()
		_, err := client.Generate(ctx, address, structs.GenerateRequest{ID: "r", MaxTokens: 1})
		c.Check(engineapi.StageOf(err), qt.Equals, engineapi.StageBroken)
		_, err = client.Order(ctx, address, structs.Order{})
		c.Check(engineapi.StageOf(err), qt.Equals, engineapi.StageBroken)
	})
}

func TestUnaryResponseValidation(t *testing.T) {
	tests := []struct {
		name   string
		body   string
		length string
		want   engineapi.Stage
	}{
		{name: "complete", body: `{"runner":"a"}`},
		{name: "too long", body: `{"runner":"` + strings.Repeat("a", 5000) + `"}`, want: engineapi.StageBroken},
		{name: "too much trailing space", body: `{"runner":"a"}` + strings.Repeat(" ", 5000), want: engineapi.StageBroken},
		{name: "truncated by connection", body: `{"runner":"a"}`, length: "100", want: engineapi.StageBroken},
		{name: "truncated value", body: `{"runner":"a"`, want: engineapi.StageBroken},
		{name: "two values", body: `{"runner":"a"}{}`, want: engineapi.StageBroken},
		{name: "wrong type", body: `{"runner":1}`, want: engineapi.StageBroken},
		{name: "empty", want: engineapi.StageBroken},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				client, address := serve(t, func(w http.ResponseWriter, r *http.Request) {
					if test.length != "" {
						w.Header().Set("Content-Length", test.length)
					}
					_, _ = io.WriteString(w, test.body)
				})
				report, err := client.Report(context.Background(), address)
				c.Check(engineapi.StageOf(err), qt.Equals, test.want)
				c.Check(report.Runner == "a", qt.Equals, test.want == "")
			})
		})
	}
}

func TestEmbeddingsReplyMustMatchRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		client, address := serve(t, func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.WriteString(w, `{"id":"r","vectors":[[1]]}`)
		})
		request := engineapi.EmbeddingsRequest{ID: "r", Inputs: []string{"x"}}
		_, err := client.Embeddings(context.Background(), address, request)
		c.Check(err, qt.IsNil)
		request.Inputs = []string{"x", "y"}
		_, err = client.Embeddings(context.Background(), address, request)
		c.Check(engineapi.StageOf(err), qt.Equals, engineapi.StageBroken)
		_, err = client.Embeddings(context.Background(), address, engineapi.EmbeddingsRequest{ID: "s", Inputs: []string{"x"}})
		c.Check(engineapi.StageOf(err), qt.Equals, engineapi.StageBroken)
	})
}

func TestPromptBlocksCommonPrefix(t *testing.T) {
	c := qt.New(t)
	block := strings.Repeat("a", engineapi.BlockBytes)
	first := engineapi.PromptBlocks("m", block+block+"tail")
	second := engineapi.PromptBlocks("m", block+strings.Repeat("b", engineapi.BlockBytes))
	c.Check(first, qt.HasLen, 2)
	c.Check(second, qt.HasLen, 2)
	c.Check(first[0], qt.Equals, second[0])
	c.Check(first[1], qt.Not(qt.Equals), second[1])
	c.Check(engineapi.PromptBlocks("other", block)[0], qt.Not(qt.Equals), first[0])
}
