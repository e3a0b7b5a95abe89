package api

import "encoding/json"

// chatMessage is one chat message. Content is a string or a list of text parts.
type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// contentPart is one part of a message's content. Only text parts are supported.
type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// generationBody holds the supported fields of OpenAI chat completion (Messages) and
// completion (Prompt) requests.
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

// usage holds token counts. PromptTokens counts the words of the prompt, because the
// router has no tokenizer.
type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type chatDelta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// choice is used for chats and completions, streamed or not.
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

// errorBody is the body of an OpenAI error response.
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
