package api_test

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"github.com/lotusferry/lotusferry/request/api"
	"github.com/lotusferry/lotusferry/structs"
)

// The tests of this file call the API with the OpenAI client library.

func openaiClient(url string) openai.Client {
	return openai.NewClient(option.WithBaseURL(url+"/v1"), option.WithAPIKey("key"), option.WithMaxRetries(0))
}

func chatParams(model string) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:         model,
		Messages:      []openai.ChatCompletionMessageParamUnion{openai.UserMessage("what is lot 7")},
		StreamOptions: openai.ChatCompletionStreamOptionsParam{IncludeUsage: openai.Bool(true)},
	}
}

func TestOpenAIChatCompletion(t *testing.T) {
	c := qt.New(t)
	service, url := serve(t, nil)
	client := openaiClient(url)
	completion, err := client.Chat.Completions.New(context.Background(), chatParams("echo"),
		option.WithHeader(api.HeaderIdempotencyKey, "lot-7"))
	c.Assert(err, qt.IsNil)
	c.Assert(completion.Choices, qt.HasLen, 1)
	c.Assert(completion.Choices[0].Message.Content, qt.Equals, "user:whatislot7")
	c.Assert(completion.Choices[0].FinishReason, qt.Equals, "stop")
	c.Assert(completion.Usage.CompletionTokens, qt.Equals, int64(5))
	c.Assert(service.last().IdempotencyKey, qt.Equals, "lot-7")
}

func TestOpenAIStreaming(t *testing.T) {
	c := qt.New(t)
	_, url := serve(t, nil)
	client := openaiClient(url)
	stream := client.Chat.Completions.NewStreaming(context.Background(), chatParams("echo"))
	defer stream.Close()
	accumulated := openai.ChatCompletionAccumulator{}
	for stream.Next() {
		c.Assert(accumulated.AddChunk(stream.Current()), qt.IsTrue)
	}
	c.Assert(stream.Err(), qt.IsNil)
	c.Assert(accumulated.Choices[0].Message.Content, qt.Equals, "user:whatislot7")
	c.Assert(accumulated.Choices[0].FinishReason, qt.Equals, "stop")
	c.Assert(accumulated.Usage.TotalTokens, qt.Equals, int64(10))
}

func TestOpenAIErrors(t *testing.T) {
	c := qt.New(t)
	_, url := serve(t, nil)
	client := openaiClient(url)
	_, err := client.Chat.Completions.New(context.Background(), chatParams("full"))
	var refused *openai.Error
	c.Assert(errors.As(err, &refused), qt.IsTrue)
	c.Assert(refused.StatusCode, qt.Equals, http.StatusTooManyRequests)
	c.Assert(refused.Type, qt.Equals, string(structs.ErrorOverloaded))
	c.Assert(refused.Message, qt.Contains, "Come back after the time given.")
	c.Assert(refused.Response.Header.Get("Retry-After"), qt.Equals, "2")

	stream := client.Chat.Completions.NewStreaming(context.Background(), chatParams("broken"))
	defer stream.Close()
	tokens := 0
	for stream.Next() {
		tokens++
	}
	c.Assert(tokens, qt.Equals, 1)
	c.Assert(stream.Err(), qt.ErrorMatches, "(?s).*the stream broke.*")
}

func TestOpenAIClientRetriesOnlyRequestsThatDidNotRun(t *testing.T) {
	for _, test := range []struct {
		row      string
		requests int
	}{{"full", 2}, {"unknown", 1}} {
		c := qt.New(t)
		service, url := serve(t, nil)
		client := openaiClient(url)
		_, err := client.Chat.Completions.New(context.Background(), chatParams(test.row), option.WithMaxRetries(1))
		c.Check(err, qt.IsNotNil)
		c.Check(service.requests, qt.HasLen, test.requests, qt.Commentf(test.row))
	}
}

func TestOpenAICancelClosesAnswer(t *testing.T) {
	c := qt.New(t)
	service, url := serve(t, nil)
	client := openaiClient(url)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	stream := client.Chat.Completions.NewStreaming(ctx, chatParams("endless"))
	defer stream.Close()
	c.Assert(stream.Next(), qt.IsTrue)
	cancel()
	c.Assert(stream.Next(), qt.IsFalse)
	c.Assert(<-service.closed, qt.Equals, service.last().ID)
}

func TestOpenAIModels(t *testing.T) {
	c := qt.New(t)
	_, url := serve(t, nil)
	client := openaiClient(url)
	page, err := client.Models.List(context.Background())
	c.Assert(err, qt.IsNil)
	var names []string
	for _, model := range page.Data {
		names = append(names, model.ID)
	}
	c.Assert(strings.Join(names, " "), qt.Equals, "echo echo/adapter vector")
}

func TestOpenAIModel(t *testing.T) {
	c := qt.New(t)
	_, url := serve(t, nil)
	client := openaiClient(url)
	for _, name := range []string{"echo", "echo/adapter"} {
		model, err := client.Models.Get(context.Background(), name)
		c.Assert(err, qt.IsNil)
		c.Check(model.ID, qt.Equals, name)
	}
	_, err := client.Models.Get(context.Background(), "none")
	var refused *openai.Error
	c.Assert(errors.As(err, &refused), qt.IsTrue)
	c.Check(refused.StatusCode, qt.Equals, http.StatusNotFound)
	c.Check(refused.Message, qt.Contains, "the table has no row none: List the models")
}

func TestUnknownPathAndMethodErrors(t *testing.T) {
	c := qt.New(t)
	_, url := serve(t, nil)
	client := openaiClient(url)
	_, err := client.Files.List(context.Background(), openai.FileListParams{})
	var refused *openai.Error
	c.Assert(errors.As(err, &refused), qt.IsTrue)
	c.Check(refused.StatusCode, qt.Equals, http.StatusNotFound)
	c.Check(refused.Message, qt.Contains, "unknown path /v1/files: Use /v1/chat/completions")

	reply, err := http.Get(url + "/v1/embeddings")
	c.Assert(err, qt.IsNil)
	defer reply.Body.Close()
	c.Check(reply.StatusCode, qt.Equals, http.StatusMethodNotAllowed)
	c.Check(reply.Header.Get("Allow"), qt.Equals, http.MethodPost)
	c.Check(reply.Header.Get("Content-Type"), qt.Equals, "application/json")
}

func TestOpenAIEmbeddings(t *testing.T) {
	for _, test := range []struct {
		about string
		input openai.EmbeddingNewParamsInputUnion
		want  [][]float64
	}{
		{"string", openai.EmbeddingNewParamsInputUnion{OfString: openai.String("four")}, [][]float64{{4, 0.5}}},
		{"list", openai.EmbeddingNewParamsInputUnion{OfArrayOfStrings: []string{"a", "bb"}}, [][]float64{{1, 0.5}, {2, 0.5}}},
	} {
		t.Run(test.about, func(t *testing.T) {
			c := qt.New(t)
			_, url := serve(t, nil)
			client := openaiClient(url)
			reply, err := client.Embeddings.New(context.Background(), openai.EmbeddingNewParams{Model: "vector", Input: test.input})
			c.Assert(err, qt.IsNil)
			c.Assert(string(reply.Object), qt.Equals, "list")
			c.Assert(reply.Usage.TotalTokens, qt.Equals, int64(len(test.want)))
			for index, want := range test.want {
				c.Assert(reply.Data[index].Index, qt.Equals, int64(index))
				c.Assert(reply.Data[index].Embedding, qt.DeepEquals, want)
			}
			coded := post(c, url, "/v1/embeddings", `{"model":"vector","input":"four","encoding_format":"base64"}`, nil)
			c.Assert(coded.StatusCode, qt.Equals, http.StatusOK)
		})
	}
}
