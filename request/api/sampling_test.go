package api_test

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/openai/openai-go/v3"

	"github.com/lotusferry/lotusferry/request/api"
	"github.com/lotusferry/lotusferry/structs"
)

func errorMessage(c *qt.C, response *http.Response) string {
	var body struct {
		Error struct{ Message string }
	}
	c.Assert(json.NewDecoder(response.Body).Decode(&body), qt.IsNil)
	return body.Error.Message
}

func pointer[T any](value T) *T { return &value }

func TestSamplingIsSubmittedAndForwarded(t *testing.T) {
	c := qt.New(t)
	service, url := serve(t, nil)
	client := openaiClient(url)
	params := chatParams("echo")
	params.Temperature = openai.Float(0)
	params.TopP = openai.Float(0.9)
	params.FrequencyPenalty = openai.Float(-1)
	params.PresencePenalty = openai.Float(2)
	params.Seed = openai.Int(7)
	params.Stop = openai.ChatCompletionNewParamsStopUnion{OfStringArray: []string{"END", "\n"}}
	_, err := client.Chat.Completions.New(context.Background(), params)
	c.Assert(err, qt.IsNil)
	want := &structs.Sampling{
		Temperature: pointer(0.0), TopP: pointer(0.9), FrequencyPenalty: pointer(-1.0), PresencePenalty: pointer(2.0),
		Seed: pointer(int64(7)), Stop: []string{"END", "\n"},
	}
	c.Check(service.last().Sampling, qt.DeepEquals, want)

	sent := service.last()
	answer, err := api.NewClient(http.DefaultClient).Call(context.Background(), url, "", "north", sent)
	c.Assert(err, qt.IsNil)
	defer answer.Close()
	_, err = answer.Next(context.Background())
	c.Assert(err, qt.IsNil)
	c.Check(service.last().Sampling, qt.DeepEquals, want)
}

func TestDefaultSeed(t *testing.T) {
	c := qt.New(t)
	service, url := serve(t, nil)
	seeds := map[int64]bool{}
	for _, stop := range []string{`null`, `"x"`, `[]`} {
		c.Assert(post(c, url, "/v1/completions", `{"model":"echo","prompt":"one two","stop":`+stop+`}`, nil).StatusCode, qt.Equals, http.StatusOK)
		seeds[*service.last().Sampling.Seed] = true
	}
	c.Check(seeds, qt.HasLen, 3)
	keyedSeeds := map[int64]bool{}
	for range 2 {
		c.Assert(post(c, url, "/v1/completions", echoBody, map[string]string{api.HeaderIdempotencyKey: "lot-7"}).StatusCode, qt.Equals, http.StatusOK)
		keyedSeeds[*service.last().Sampling.Seed] = true
	}
	c.Check(keyedSeeds, qt.HasLen, 1)
	for seed := range seeds {
		c.Check(seed >= 0, qt.IsTrue)
	}
}

func TestUnsupportedFieldsAreRefused(t *testing.T) {
	for field, problem := range map[string]string{
		`"temperature":2.1`:                        "temperature 2.1 is out of range: Set \"temperature\" to 0 to 2",
		`"top_p":-0.1`:                             "top_p -0.1 is out of range",
		`"presence_penalty":3`:                     "presence_penalty 3 is out of range",
		`"stop":["a","b","c","d","e"]`:             "too many stop strings",
		`"stop":""`:                                "a stop string is empty",
		`"stop":5`:                                 "not the expected JSON",
		`"tools":[{"type":"function"}]`:            "tools is not supported: Omit \"tools\"",
		`"logprobs":true`:                          "logprobs is not supported",
		`"logit_bias":{"5":1}`:                     "logit_bias is not supported",
		`"echo":true`:                              "echo is not supported",
		`"best_of":2`:                              "best_of is not supported",
		`"response_format":{"type":"json_object"}`: "response_format is not supported",
		`"tools":[],"logprobs":null,"echo":false,"suffix":"","best_of":1,"response_format":{"type":"text"}`: "",
	} {
		c := qt.New(t)
		service, url := serve(t, nil)
		response := post(c, url, "/v1/completions", `{"model":"echo","prompt":"one two",`+field+`}`, nil)
		if problem == "" {
			c.Check(response.StatusCode, qt.Equals, http.StatusOK, qt.Commentf(field))
			continue
		}
		c.Check(response.StatusCode, qt.Equals, http.StatusBadRequest, qt.Commentf(field))
		c.Check(errorMessage(c, response), qt.Contains, problem)
		c.Check(service.requests, qt.HasLen, 0)
	}
}
