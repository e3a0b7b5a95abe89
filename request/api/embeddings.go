package api

import (
	"context"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"strings"

	"github.com/go-kit/kit/endpoint"

	"github.com/lotusferry/lotusferry/structs"
)

const (
	// maxInputs bounds the inputs of one request for embeddings.
	maxInputs = 256
	// encodingBase64 asks for a vector as base64 of little-endian float32 values.
	encodingBase64 = "base64"
)

// embeddingsBody is the part of an OpenAI request for embeddings that lotusferry reads.
type embeddingsBody struct {
	Model          string    `json:"model"`
	Input          inputList `json:"input"`
	EncodingFormat string    `json:"encoding_format,omitempty"`
	Dimensions     int       `json:"dimensions,omitempty"`
}

// inputList is one string or a list of strings.
type inputList []string

// UnmarshalJSON implements json.Unmarshaler.
func (l *inputList) UnmarshalJSON(data []byte) error {
	var one string
	if err := json.Unmarshal(data, &one); err == nil {
		*l = inputList{one}
		return nil
	}
	var many []string
	if err := json.Unmarshal(data, &many); err != nil {
		return errors.New("input is neither a string nor a list of strings")
	}
	*l = many
	return nil
}

// embedding is a decoded request for embeddings: one request for each input.
type embedding struct {
	model    string
	requests []structs.Request
	base64   bool
}

// embedded is an embedding with its answers, as JSON lists of numbers.
type embedded struct {
	embedding embedding
	vectors   []string
}

func (d decoder) embeddings(_ context.Context, r *http.Request) (any, error) {
	body, err := readBody[embeddingsBody](r, d.options.MaxBodyBytes)
	if err != nil {
		return nil, err
	}
	if err := body.check(); err != nil {
		return nil, err
	}
	wanted := embedding{model: body.Model, base64: body.EncodingFormat == encodingBase64}
	for index, input := range body.Input {
		request, err := d.request(r, body.Model)
		if err != nil {
			return nil, err
		}
		request.Prompt = input
		request.MaxTokens = 1
		request.Embedding = true
		if request.IdempotencyKey != "" && len(body.Input) > 1 {
			request.IdempotencyKey += fmt.Sprintf("/%d", index)
		}
		wanted.requests = append(wanted.requests, request)
	}
	return wanted, nil
}

func (b embeddingsBody) check() error {
	if len(b.Input) == 0 || len(b.Input) > maxInputs {
		return invalid("the request has no input or too many", fmt.Sprintf("Send 1 to %d strings as \"input\".", maxInputs))
	}
	for _, input := range b.Input {
		if input == "" {
			return invalid("an input is empty", "Leave empty strings out of \"input\".")
		}
	}
	if b.Dimensions != 0 {
		return invalid("dimensions cannot be chosen", "Leave \"dimensions\" out: the model decides the length of its vectors.")
	}
	if b.EncodingFormat != "" && b.EncodingFormat != "float" && b.EncodingFormat != encodingBase64 {
		return invalid("the encoding_format "+b.EncodingFormat+" is not known", "Set \"encoding_format\" to float or base64.")
	}
	return nil
}

func embeddingsEndpoint(service Service) endpoint.Endpoint {
	return func(ctx context.Context, input any) (any, error) {
		wanted := input.(embedding)
		answers, err := submitAll(ctx, service, wanted.requests)
		defer closeAll(answers)
		if err == nil && wanted.requests[0].IfReady {
			sayTaken(ctx)
		}
		done := embedded{embedding: wanted}
		for index := 0; err == nil && index < len(answers); index++ {
			var token structs.Token
			token, err = answers[index].Next(ctx)
			done.vectors = append(done.vectors, token.Text)
		}
		if err != nil {
			return nil, partOf(err, len(wanted.requests))
		}
		return done, nil
	}
}

// submitAll submits the requests together; it returns those submitted before an error.
func submitAll(ctx context.Context, service Service, requests []structs.Request) ([]Answer, error) {
	var answers []Answer
	for _, request := range requests {
		answer, err := service.Submit(ctx, request)
		if err != nil {
			return answers, err
		}
		answers = append(answers, answer)
	}
	return answers, nil
}

func closeAll(answers []Answer) {
	for _, answer := range answers {
		answer.Close()
	}
}

// partOf makes the refusal of one input that of the whole request: the other
// inputs may have run.
func partOf(err error, inputs int) error {
	if inputs == 1 || executionOf(err) != structs.ExecutionNotRun {
		return err
	}
	return &RefusedError{Refusal: structs.Rejection{Error: *typedError(err), Execution: structs.ExecutionPartial}}
}

type embeddingItem struct {
	Object    string          `json:"object"`
	Index     int             `json:"index"`
	Embedding json.RawMessage `json:"embedding"`
}

// embeddingList is the answer in the shape that OpenAI clients expect.
type embeddingList struct {
	Object string          `json:"object"`
	Data   []embeddingItem `json:"data"`
	Model  string          `json:"model"`
	Usage  embeddingUsage  `json:"usage"`
}

type embeddingUsage struct {
	PromptTokens int `json:"prompt_tokens"`
	TotalTokens  int `json:"total_tokens"`
}

func encodeEmbeddings(ctx context.Context, w http.ResponseWriter, response any) error {
	done := response.(embedded)
	list := embeddingList{Object: "list", Model: done.embedding.model}
	for index, vector := range done.vectors {
		encoded, err := encodeVector(vector, done.embedding.base64)
		if err != nil {
			encodeError(ctx, err, w)
			return nil
		}
		list.Data = append(list.Data, embeddingItem{Object: "embedding", Index: index, Embedding: encoded})
		list.Usage.PromptTokens += len(strings.Fields(done.embedding.requests[index].Prompt))
	}
	list.Usage.TotalTokens = list.Usage.PromptTokens
	w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(w).Encode(list)
}

// encodeVector checks the engine's vector and encodes it as the caller wants it.
func encodeVector(vector string, asBase64 bool) (json.RawMessage, error) {
	var values []float32
	if err := json.Unmarshal([]byte(vector), &values); err != nil || len(values) == 0 {
		return nil, &RefusedError{Refusal: structs.Rejection{
			Error: *structs.NewError(structs.ErrorInternal, "the engine's answer is not a vector",
				"Choose a model that makes embeddings."),
			Execution: structs.ExecutionPartial,
		}}
	}
	if !asBase64 {
		return json.RawMessage(vector), nil
	}
	raw := make([]byte, 0, 4*len(values))
	for _, value := range values {
		raw = binary.LittleEndian.AppendUint32(raw, math.Float32bits(value))
	}
	return json.Marshal(base64.StdEncoding.EncodeToString(raw))
}

// readEmbedding reads the answer to a request for one embedding as its one token.
func readEmbedding(id structs.RequestID, body io.Reader) (Answer, error) {
	var list embeddingList
	if err := json.NewDecoder(io.LimitReader(body, maxEventBytes)).Decode(&list); err != nil || len(list.Data) != 1 {
		return nil, brokenAnswer()
	}
	token := structs.Token{ID: id, Text: string(list.Data[0].Embedding), Finish: structs.FinishStop}
	return &wholeAnswer{token: token}, nil
}

// wholeAnswer is an answer of one token that has arrived already.
type wholeAnswer struct{ token structs.Token }

// Next implements Answer.
func (a *wholeAnswer) Next(context.Context) (structs.Token, error) { return a.token, nil }

// Close implements Answer.
func (a *wholeAnswer) Close() {}
