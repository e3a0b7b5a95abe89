package relay

import (
	"bytes"
	"strconv"
)

// maxEventBytes bounds an event, and what comes between two events with rising IDs. The client in package api has the same bound. A
// router holds one incomplete event for each stream.
const maxEventBytes = 1 << 20

// keptEventBuffer is the largest buffer in bytes that a stream keeps after a long event.
const keptEventBuffer = 8 * streamBuffer

// eventSplitter splits a byte stream into server-sent events.
type eventSplitter struct {
	buffer []byte
	// start is where the first event begins that was not returned, and searched is where the search for its end goes on.
	start, searched int
	// id is that of the event that next returned last, if hasID is set.
	id    int64
	hasID bool
	// isEnded is set if the event between start and searched is complete.
	isEnded bool
	// nextID follows the highest ID so far, and sinceID is the size of what came after the event with that ID.
	nextID  int64
	sinceID int
	// isTooLong is set once maxEventBytes are exceeded. No more events are returned then.
	isTooLong bool
}

// add appends bytes of the stream.
func (s *eventSplitter) add(more []byte) {
	if s.start > 0 {
		left := copy(s.buffer, s.buffer[s.start:])
		s.buffer, s.searched, s.start = s.buffer[:left], s.searched-s.start, 0
	}
	if len(s.buffer) == 0 && cap(s.buffer) > keptEventBuffer {
		s.buffer = nil
	}
	s.buffer = append(s.buffer, more...)
}

// hasNext reports whether next returns an event or a comment.
func (s *eventSplitter) hasNext() bool {
	if !s.isEnded {
		s.isEnded = s.findEnd()
	}
	return s.isEnded
}

// next returns the next complete event or comment with its terminator, or nil. The slice is valid until the
// next call of add.
func (s *eventSplitter) next() []byte {
	isComplete := s.hasNext()
	s.isEnded = false
	event := s.buffer[s.start:s.searched]
	if isComplete {
		s.noteID(event)
	}
	s.isTooLong = s.isTooLong || len(event) > maxEventBytes || s.sinceID > maxEventBytes
	if !isComplete || s.isTooLong {
		return nil
	}
	s.start = s.searched
	return event
}

// noteID records the ID of an event. Events without one, with one that does not rise, and comments bring a stream no further.
func (s *eventSplitter) noteID(event []byte) {
	s.id, s.hasID = eventID(event)
	if s.hasID && s.id >= s.nextID {
		s.nextID, s.sinceID = s.id+1, 0
		return
	}
	s.sinceID += len(event)
}

// findEnd moves searched behind the end of the event that begins at start, or to the end of the buffer if it is incomplete.
func (s *eventSplitter) findEnd() (isComplete bool) {
	for s.searched < len(s.buffer) {
		newline := bytes.IndexByte(s.buffer[s.searched:], '\n')
		if newline < 0 {
			s.searched = len(s.buffer)
			return false
		}
		s.searched += newline + 1
		if endsEvent(s.buffer[s.start:s.searched]) {
			return true
		}
	}
	return false
}

// endsEvent reports whether a text that ends with a newline ends with a blank line.
func endsEvent(text []byte) bool {
	return bytes.HasSuffix(text, []byte("\n\n")) || bytes.HasSuffix(text, []byte("\r\n\r\n"))
}

// isFull reports whether the event that is not complete is too long.
func (s *eventSplitter) isFull() bool { return len(s.buffer)-s.start > maxEventBytes }

// isEmpty reports whether no incomplete event is left.
func (s *eventSplitter) isEmpty() bool { return len(bytes.TrimSpace(s.buffer[s.start:])) == 0 }

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
