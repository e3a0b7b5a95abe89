package api

import (
	"bytes"
	"encoding/json"
)

// unsupportedBody holds the fields that ask for another answer than plain text. They
// are refused: to leave them out unsaid would give the caller a wrong answer.
type unsupportedBody struct {
	Tools          json.RawMessage `json:"tools"`
	Functions      json.RawMessage `json:"functions"`
	LogitBias      json.RawMessage `json:"logit_bias"`
	Logprobs       json.RawMessage `json:"logprobs"`
	TopLogprobs    json.RawMessage `json:"top_logprobs"`
	Audio          json.RawMessage `json:"audio"`
	Echo           json.RawMessage `json:"echo"`
	Suffix         json.RawMessage `json:"suffix"`
	BestOf         int             `json:"best_of"`
	ResponseFormat *struct {
		Type string `json:"type"`
	} `json:"response_format"`
}

// asksForNothing lists the values that mean the same as a field left out.
var asksForNothing = [][]byte{nil, []byte("null"), []byte("false"), []byte("0"), []byte("[]"), []byte("{}"), []byte(`""`)}

func asks(value json.RawMessage) bool {
	for _, nothing := range asksForNothing {
		if bytes.Equal(bytes.TrimSpace(value), nothing) {
			return false
		}
	}
	return true
}

func (b unsupportedBody) check() error {
	fields := []struct {
		name string
		asks bool
	}{
		{"tools", asks(b.Tools)},
		{"functions", asks(b.Functions)},
		{"logit_bias", asks(b.LogitBias)},
		{"logprobs", asks(b.Logprobs)},
		{"top_logprobs", asks(b.TopLogprobs)},
		{"audio", asks(b.Audio)},
		{"echo", asks(b.Echo)},
		{"suffix", asks(b.Suffix)},
		{"best_of", b.BestOf > 1},
		{"response_format", b.ResponseFormat != nil && b.ResponseFormat.Type != "" && b.ResponseFormat.Type != "text"},
	}
	for _, field := range fields {
		if field.asks {
			return invalid(field.name+" is not served here", "Leave \""+field.name+"\" out: the answer is plain text.")
		}
	}
	return nil
}
