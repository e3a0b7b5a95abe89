package api

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

// reply is a generation and its answer, between endpoint and encoder.
type reply struct {
	generation generation
	answer     Answer
	// first is the first token: the endpoint waits for it, so that a refusal
	// still gets its own HTTP status.
	first   structs.Token
	created time.Time
	// writeTimeout bounds one write; 0 means no bound.
	writeTimeout time.Duration
}

func encodeReply(ctx context.Context, w http.ResponseWriter, response any) error {
	r := response.(reply)
	defer r.answer.Close()
	w.Header().Set(HeaderRequestID, string(r.generation.request.ID))
	if r.generation.stream {
		// An error of writing means that the caller is gone or does not read; the
		// answer has begun, and nothing else can be said.
		_ = newStreamEncoder(w, r).run(ctx)
		return nil
	}
	return encodeWhole(ctx, w, r)
}

func encodeWhole(ctx context.Context, w http.ResponseWriter, r reply) error {
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
	whole := choice{FinishReason: &finish}
	content := text.String()
	if r.generation.chat {
		whole.Message = &chatDelta{Role: "assistant", Content: content}
	} else {
		whole.Text = &content
	}
	body.Choices = []choice{whole}
	body.Usage = usageOf(r, count)
	w.Header().Set("Content-Type", "application/json")
	boundWrite(http.NewResponseController(w), r.writeTimeout)
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
