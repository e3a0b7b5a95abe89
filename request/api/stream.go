package api

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/lotusferry/lotusferry/structs"
)

// streamEncoder writes an answer as server-sent events.
type streamEncoder struct {
	writer  http.ResponseWriter
	control *http.ResponseController
	reply   reply
	tokens  int
	// prefix and suffix surround the text in the events of middle tokens; buffer is
	// reused between events.
	prefix []byte
	suffix []byte
	buffer []byte
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

// writeToken writes one token. Events of middle tokens differ only in their text, so
// the rest of the event is encoded once.
func (s *streamEncoder) writeToken(token structs.Token) error {
	s.tokens++
	if s.tokens == 1 || token.Finish != "" {
		return s.writeEvent(s.chunk(token))
	}
	if s.prefix == nil {
		if err := s.encodeTemplate(); err != nil {
			return err
		}
	}
	s.buffer = append(s.buffer[:0], eventPrefix...)
	s.buffer = append(s.buffer, s.prefix...)
	s.buffer = appendQuoted(s.buffer, token.Text)
	s.buffer = append(s.buffer, s.suffix...)
	s.buffer = append(s.buffer, eventSuffix...)
	return s.write()
}

// placeholderText marks the position of the text in the encoded template.
const placeholderText = "\u2063"

// encodeTemplate encodes an event and splits it into prefix and suffix around its text.
func (s *streamEncoder) encodeTemplate() error {
	encoded, err := json.Marshal(s.chunk(structs.Token{Text: placeholderText}))
	if err != nil {
		return err
	}
	quoted := appendQuoted(nil, placeholderText)
	// The row name comes first and may also contain the placeholder.
	offset := bytes.LastIndex(encoded, quoted)
	s.prefix = encoded[:offset:offset]
	s.suffix = encoded[offset+len(quoted):]
	return nil
}

// chunk returns the event of a token.
func (s *streamEncoder) chunk(token structs.Token) completion {
	chunk := newCompletion(s.reply, true)
	part := choice{}
	if s.reply.generation.chat {
		part.Delta = &chatDelta{Content: token.Text}
		if s.tokens == 1 {
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
	return chunk
}

// appendQuoted appends text as a JSON string, encoded as by encoding/json.
func appendQuoted(buffer []byte, text string) []byte {
	for i := range len(text) {
		char := text[i]
		unescaped := char >= ' ' && char < utf8.RuneSelf && !strings.ContainsRune(`"\\<>&`, rune(char)) && char != 0x7f
		if unescaped {
			continue
		}
		// Marshal does not fail on strings.
		encoded, _ := json.Marshal(text)
		return append(buffer, encoded...)
	}
	buffer = append(buffer, '"')
	buffer = append(buffer, text...)
	return append(buffer, '"')
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

// fail ends a stream that cannot be completed with an error event. It sends no
// [DONE], so that clients do not treat the partial answer as complete.
func (s *streamEncoder) fail(err error) error {
	return s.writeEvent(errorBodyOf(err))
}

func (s *streamEncoder) writeEvent(value any) error {
	encoded, err := json.Marshal(value)
	if err != nil {
		return err
	}
	return s.writeRaw(encoded)
}

// eventPrefix and eventSuffix surround the data of a server-sent event.
const (
	eventPrefix = "data: "
	eventSuffix = "\n\n"
)

func (s *streamEncoder) writeRaw(data []byte) error {
	s.buffer = append(s.buffer[:0], eventPrefix...)
	s.buffer = append(s.buffer, data...)
	s.buffer = append(s.buffer, eventSuffix...)
	return s.write()
}

func (s *streamEncoder) write() error {
	setWriteDeadline(s.control, s.reply.writeTimeout)
	if _, err := s.writer.Write(s.buffer); err != nil {
		return err
	}
	return s.control.Flush()
}

// setWriteDeadline sets the deadline of the next write, so that a caller that does not
// read cannot hold memory or an engine.
func setWriteDeadline(control *http.ResponseController, timeout time.Duration) {
	if timeout <= 0 {
		return
	}
	// Writers that do not support deadlines, as in tests, have no timeout.
	_ = control.SetWriteDeadline(time.Now().Add(timeout))
}
