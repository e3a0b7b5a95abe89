package api

import (
	"bytes"
	"encoding/json"
)

// unsupportedBody holds the OpenAI fields that are not supported. Requests that set
// them are refused, because ignoring them would change the answer.
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

// unsetValues lists the values that are equivalent to an omitted field.
var unsetValues = [][]byte{nil, []byte("null"), []byte("false"), []byte("0"), []byte("[]"), []byte("{}"), []byte(`""`)}

func isSet(value json.RawMessage) bool {
	for _, unset := range unsetValues {
		if bytes.Equal(bytes.TrimSpace(value), unset) {
			return false
		}
	}
	return true
}

func (b unsupportedBody) check() error {
	fields := []struct {
		name  string
		isSet bool
	}{
		{"tools", isSet(b.Tools)},
		{"functions", isSet(b.Functions)},
		{"logit_bias", isSet(b.LogitBias)},
		{"logprobs", isSet(b.Logprobs)},
		{"top_logprobs", isSet(b.TopLogprobs)},
		{"audio", isSet(b.Audio)},
		{"echo", isSet(b.Echo)},
		{"suffix", isSet(b.Suffix)},
		{"best_of", b.BestOf > 1},
		{"response_format", b.ResponseFormat != nil && b.ResponseFormat.Type != "" && b.ResponseFormat.Type != "text"},
	}
	for _, field := range fields {
		if field.isSet {
			return invalid(field.name+" is not supported", "Omit \""+field.name+"\": only plain text answers are supported.")
		}
	}
	return nil
}
