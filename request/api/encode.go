package api

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

// reply is a generation and its answer, passed from the endpoint to the encoder.
type reply struct {
	generation generation
	answer     Answer
	// first is the first token. The endpoint waits for it, so that a refusal can
	// still set the HTTP status.
	first   structs.Token
	created time.Time
	// writeTimeout is the timeout of one write; 0 means none.
	writeTimeout time.Duration
}

func encodeReply(ctx context.Context, w http.ResponseWriter, response any) error {
	r := response.(reply)
	defer r.answer.Close()
	w.Header().Set(HeaderRequestID, string(r.generation.request.ID))
	if r.generation.stream {
		// After a write error no other response is possible: the caller has
		// disconnected or stopped reading.
		_ = newStreamEncoder(w, r).run(ctx)
		return nil
	}
	return encodeComplete(ctx, w, r)
}

func encodeComplete(ctx context.Context, w http.ResponseWriter, r reply) error {
	var text strings.Builder
	token := r.first
	count := 0
	for {
		text.WriteString(token.Text)
		count++
		if token.Finish != "" {
			break
		}
		next, err := r.answer.Next(ctx)
		if err != nil {
			encodeError(ctx, err, w)
			return nil
		}
		token = next
	}
	body := newCompletion(r, false)
	finish := string(token.Finish)
	result := choice{FinishReason: &finish}
	content := text.String()
	if r.generation.chat {
		result.Message = &chatDelta{Role: "assistant", Content: content}
	} else {
		result.Text = &content
	}
	body.Choices = []choice{result}
	body.Usage = usageOf(r, count)
	w.Header().Set("Content-Type", "application/json")
	setWriteDeadline(http.NewResponseController(w), r.writeTimeout)
	return json.NewEncoder(w).Encode(body)
}

func newCompletion(r reply, chunk bool) completion {
	object := "text_completion"
	if r.generation.chat {
		object = "chat.completion"
		if chunk {
			object = "chat.completion.chunk"
		}
	}
	return completion{
		ID:      "cmpl-" + string(r.generation.request.ID),
		Object:  object,
		Created: r.created.Unix(),
		Model:   string(r.generation.request.Row),
		Choices: []choice{},
	}
}

func usageOf(r reply, completionTokens int) *usage {
	return &usage{
		PromptTokens:     r.generation.promptTokens,
		CompletionTokens: completionTokens,
		TotalTokens:      r.generation.promptTokens + completionTokens,
	}
}
