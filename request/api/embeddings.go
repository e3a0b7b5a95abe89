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
	// maxInputs is the maximum number of inputs in one embeddings request.
	maxInputs = 256
	// encodingBase64 selects vectors encoded as base64 of little-endian float32 values.
	encodingBase64 = "base64"
)

// embeddingsBody holds the supported fields of an OpenAI embeddings request.
type embeddingsBody struct {
	Model          string    `json:"model"`
	Input          inputList `json:"input"`
	EncodingFormat string    `json:"encoding_format,omitempty"`
	Dimensions     int       `json:"dimensions,omitempty"`
}

// inputList is decoded from one string or a list of strings.
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

// embeddingRequest is a decoded embeddings request, with one request for each input.
type embeddingRequest struct {
	model    string
	requests []structs.Request
	base64   bool
}

// embeddingResult is an embeddings request and its vectors, as JSON arrays of numbers.
type embeddingResult struct {
	embedding embeddingRequest
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
	decoded := embeddingRequest{model: body.Model, base64: body.EncodingFormat == encodingBase64}
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
		decoded.requests = append(decoded.requests, request)
	}
	return decoded, nil
}

func (b embeddingsBody) check() error {
	if len(b.Input) == 0 || len(b.Input) > maxInputs {
		return invalid("the request has no input or too many", fmt.Sprintf("Send 1 to %d strings as \"input\".", maxInputs))
	}
	for _, input := range b.Input {
		if input == "" {
			return invalid("an input is empty", "Remove empty strings from \"input\".")
		}
	}
	if b.Dimensions != 0 {
		return invalid("dimensions is not supported", "Omit \"dimensions\": the model determines the vector length.")
	}
	if b.EncodingFormat != "" && b.EncodingFormat != "float" && b.EncodingFormat != encodingBase64 {
		return invalid("the encoding_format "+b.EncodingFormat+" is unknown", "Set \"encoding_format\" to float or base64.")
	}
	return nil
}

func embeddingsEndpoint(service Service) endpoint.Endpoint {
	return func(ctx context.Context, input any) (any, error) {
		decoded := input.(embeddingRequest)
		answers, err := submitAll(ctx, service, decoded.requests)
		defer closeAll(answers)
		if err == nil && decoded.requests[0].IfReady {
			sendProcessing(ctx)
		}
		result := embeddingResult{embedding: decoded}
		for index := 0; err == nil && index < len(answers); index++ {
			var token structs.Token
			token, err = answers[index].Next(ctx)
			result.vectors = append(result.vectors, token.Text)
		}
		if err != nil {
			return nil, partialRefusal(err, len(decoded.requests))
		}
		return result, nil
	}
}

// submitAll submits all requests. On error it also returns the answers of those
// already submitted.
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

// partialRefusal converts the error of one input to that of the whole request, whose
// other inputs may have run.
func partialRefusal(err error, inputs int) error {
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

// embeddingList is the body of an OpenAI embeddings response.
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
	result := response.(embeddingResult)
	list := embeddingList{Object: "list", Model: result.embedding.model}
	for index, vector := range result.vectors {
		encoded, err := encodeVector(vector, result.embedding.base64)
		if err != nil {
			encodeError(ctx, err, w)
			return nil
		}
		list.Data = append(list.Data, embeddingItem{Object: "embedding", Index: index, Embedding: encoded})
		list.Usage.PromptTokens += len(strings.Fields(result.embedding.requests[index].Prompt))
	}
	list.Usage.TotalTokens = list.Usage.PromptTokens
	w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(w).Encode(list)
}

// encodeVector validates the engine's vector and encodes it in the requested format.
func encodeVector(vector string, asBase64 bool) (json.RawMessage, error) {
	var values []float32
	if err := json.Unmarshal([]byte(vector), &values); err != nil || len(values) == 0 {
		return nil, &RefusedError{Refusal: structs.Rejection{
			Error: *structs.NewError(structs.ErrorInternal, "the engine's answer is not a vector",
				"Choose an embedding model."),
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

// readEmbedding reads the response to a request with one input. The vector is the
// text of the only token.
func readEmbedding(id structs.RequestID, body io.Reader) (Answer, error) {
	var list embeddingList
	if err := json.NewDecoder(io.LimitReader(body, maxEventBytes)).Decode(&list); err != nil || len(list.Data) != 1 {
		return nil, incompleteAnswerError()
	}
	token := structs.Token{ID: id, Text: string(list.Data[0].Embedding), Finish: structs.FinishStop}
	return &singleTokenAnswer{token: token}, nil
}

// singleTokenAnswer is an Answer of one token that was already received.
type singleTokenAnswer struct{ token structs.Token }

// Next implements Answer.
func (a *singleTokenAnswer) Next(context.Context) (structs.Token, error) { return a.token, nil }

// Close implements Answer.
func (a *singleTokenAnswer) Close() {}
