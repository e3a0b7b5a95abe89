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
	// before and after stand around the text of a token in the middle of the
	// answer; buffer is used again for each event.
	before []byte
	after  []byte
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

// writeToken writes one token. Those in the middle of an answer differ in their
// text only, so that the rest of their event is encoded once.
func (s *streamEncoder) writeToken(token structs.Token) error {
	s.tokens++
	if s.tokens == 1 || token.Finish != "" {
		return s.writeEvent(s.chunk(token))
	}
	if s.before == nil {
		if err := s.encodeFrame(); err != nil {
			return err
		}
	}
	s.buffer = append(s.buffer[:0], eventStart...)
	s.buffer = append(s.buffer, s.before...)
	s.buffer = appendQuoted(s.buffer, token.Text)
	s.buffer = append(s.buffer, s.after...)
	s.buffer = append(s.buffer, eventEnd...)
	return s.write()
}

// frameText stands for the text of a token while the rest of its event is encoded.
const frameText = "\u2063"

// encodeFrame encodes an event and cuts it around its text.
func (s *streamEncoder) encodeFrame() error {
	encoded, err := json.Marshal(s.chunk(structs.Token{Text: frameText}))
	if err != nil {
		return err
	}
	quoted := appendQuoted(nil, frameText)
	// The text comes after the caller's own row name, which may hold the same mark.
	place := bytes.LastIndex(encoded, quoted)
	s.before = encoded[:place:place]
	s.after = encoded[place+len(quoted):]
	return nil
}

// chunk makes the event of a token.
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

// appendQuoted appends text as a JSON string, as encoding/json writes it.
func appendQuoted(buffer []byte, text string) []byte {
	for i := range len(text) {
		char := text[i]
		plain := char >= ' ' && char < utf8.RuneSelf && !strings.ContainsRune(`"\\<>&`, rune(char)) && char != 0x7f
		if plain {
			continue
		}
		// A string is always encoded.
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

// fail ends a stream that cannot be completed. No [DONE] follows, so that a
// client never takes the part it got for the whole.
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

// eventStart and eventEnd stand around the data of an event.
const (
	eventStart = "data: "
	eventEnd   = "\n\n"
)

func (s *streamEncoder) writeRaw(data []byte) error {
	s.buffer = append(s.buffer[:0], eventStart...)
	s.buffer = append(s.buffer, data...)
	s.buffer = append(s.buffer, eventEnd...)
	return s.write()
}

func (s *streamEncoder) write() error {
	boundWrite(s.control, s.reply.writeTimeout)
	if _, err := s.writer.Write(s.buffer); err != nil {
		return err
	}
	return s.control.Flush()
}

// boundWrite gives the next write a deadline, so that a caller that does not read
// holds neither memory nor an engine.
func boundWrite(control *http.ResponseController, timeout time.Duration) {
	if timeout <= 0 {
		return
	}
	// A writer without deadlines, as of a test, is written to without bound.
	_ = control.SetWriteDeadline(time.Now().Add(timeout))
}
