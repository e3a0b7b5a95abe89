package api

import "encoding/json"

// chatMessage is one message of a chat. Content is a string or a list of text parts.
type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// contentPart is one part of a message's content; only text parts are taken.
type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// generationBody is the part of an OpenAI request that lotusferry reads, of
// both chat completions (Messages) and completions (Prompt).
type generationBody struct {
	Model               string          `json:"model"`
	Messages            []chatMessage   `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	Stream              bool            `json:"stream"`
	StreamOptions       *streamOptions  `json:"stream_options"`
	N                   int             `json:"n"`
	samplingBody
	unsupportedBody
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// usage counts tokens as OpenAI clients expect them. Prompt tokens are words of
// the prompt, since the tokenizer is the engine's.
type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type chatDelta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// choice serves all four shapes: chat and completion, whole and chunk.
type choice struct {
	Index        int        `json:"index"`
	Message      *chatDelta `json:"message,omitempty"`
	Delta        *chatDelta `json:"delta,omitempty"`
	Text         *string    `json:"text,omitempty"`
	FinishReason *string    `json:"finish_reason"`
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// errorBody is the answer to a request that failed, as OpenAI clients expect it.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message   string  `json:"message"`
	Type      string  `json:"type"`
	Param     *string `json:"param"`
	Code      string  `json:"code"`
	Execution string  `json:"execution,omitempty"`
	Remedy    string  `json:"remedy,omitempty"`
}
