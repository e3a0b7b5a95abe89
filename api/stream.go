package api

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/lotusferry/lotusferry/structs"
)

// streamEncoder writes an answer as server-sent events.
type streamEncoder struct {
	writer  http.ResponseWriter
	control *http.ResponseController
	reply   reply
	tokens  int
}

func newStreamEncoder(w http.ResponseWriter, r reply) *streamEncoder {
	return &streamEncoder{writer: w, control: http.NewResponseController(w), reply: r}
}

func (s *streamEncoder) run(ctx context.Context) error {
	header := s.writer.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-cache")
	token := s.reply.first
	for {
		if err := s.writeToken(token); err != nil {
			return err
		}
		if token.Finish != "" {
			return s.end()
		}
		next, err := s.reply.answer.Next(ctx)
		if err != nil {
			return s.fail(err)
		}
		token = next
	}
}

func (s *streamEncoder) writeToken(token structs.Token) error {
	chunk := newCompletion(s.reply, true)
	part := choice{}
	if s.reply.generation.chat {
		part.Delta = &chatDelta{Content: token.Text}
		if s.tokens == 0 {
			part.Delta.Role = "assistant"
		}
	} else {
		part.Text = &token.Text
	}
	if token.Finish != "" {
		finish := string(token.Finish)
		part.FinishReason = &finish
	}
	chunk.Choices = []choice{part}
	s.tokens++
	return s.writeEvent(chunk)
}

func (s *streamEncoder) end() error {
	if s.reply.generation.includeUsage {
		chunk := newCompletion(s.reply, true)
		chunk.Usage = usageOf(s.reply, s.tokens)
		if err := s.writeEvent(chunk); err != nil {
			return err
		}
	}
	return s.writeRaw([]byte("[DONE]"))
}

// fail ends a stream that cannot be completed. No [DONE] follows, so that a
// client never takes the part it got for the whole.
func (s *streamEncoder) fail(err error) error {
	_, body := errorAnswer(err)
	return s.writeEvent(body)
}

func (s *streamEncoder) writeEvent(value any) error {
	encoded, err := json.Marshal(value)
	if err != nil {
		return err
	}
	return s.writeRaw(encoded)
}

func (s *streamEncoder) writeRaw(data []byte) error {
	event := make([]byte, 0, len(data)+len("data: \n\n"))
	event = append(event, "data: "...)
	event = append(event, data...)
	event = append(event, '\n', '\n')
	if _, err := s.writer.Write(event); err != nil {
		return err
	}
	return s.control.Flush()
}
