package relay

import (
	"bytes"
	"strconv"
)

// eventSplitter splits a byte stream into server-sent events.
type eventSplitter struct{ rest []byte }

var eventEnds = [][]byte{[]byte("\n\n"), []byte("\r\n\r\n")}

// add appends bytes of the stream.
func (s *eventSplitter) add(more []byte) { s.rest = append(s.rest, more...) }

// next returns the next complete event with its terminator, or nil. The slice is valid until the
// next call of add.
func (s *eventSplitter) next() []byte {
	end := -1
	for _, mark := range eventEnds {
		if at := bytes.Index(s.rest, mark); at >= 0 && (end < 0 || at+len(mark) < end) {
			end = at + len(mark)
		}
	}
	if end < 0 {
		return nil
	}
	event := s.rest[:end]
	s.rest = s.rest[end:]
	return event
}

// isEmpty reports whether no incomplete event is left.
func (s *eventSplitter) isEmpty() bool { return len(bytes.TrimSpace(s.rest)) == 0 }

// eventID returns the ID of an event, and false if it has no valid one.
func eventID(event []byte) (int64, bool) {
	for line := range bytes.Lines(event) {
		value, found := bytes.CutPrefix(line, []byte("id:"))
		if !found {
			continue
		}
		number, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		return number, err == nil
	}
	return 0, false
}

// isComment reports whether all lines of an event are comments.
func isComment(event []byte) bool {
	for line := range bytes.Lines(event) {
		if text := bytes.TrimSpace(line); len(text) > 0 && text[0] != ':' {
			return false
		}
	}
	return true
}
