package asynclog

import (
	"bytes"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// blockedWriter blocks each Write until release is closed.
type blockedWriter struct {
	release chan struct{}
	bytes.Buffer
}

func (s *blockedWriter) Write(lines []byte) (int, error) {
	<-s.release
	return s.Buffer.Write(lines)
}

func TestBlockedOutputDoesNotBlockWrite(t *testing.T) {
	c := qt.New(t)
	output := &blockedWriter{release: make(chan struct{})}
	w := New(output)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	for range 1000 {
		count, err := w.Write(line)
		c.Assert(err, qt.IsNil)
		c.Assert(count, qt.Equals, len(line))
	}
	close(output.release)
	w.Close()
	written := output.String()
	c.Assert(strings.Count(written, "x\n") < 600, qt.IsTrue)
	c.Assert(written, qt.Contains, "Lines were dropped.")
}

func TestLinesAreWrittenInOrder(t *testing.T) {
	c := qt.New(t)
	var output bytes.Buffer
	w := New(&output)
	_, _ = w.Write([]byte("one\n"))
	_, _ = w.Write([]byte("two\n"))
	w.Close()
	c.Assert(output.String(), qt.Equals, "one\ntwo\n")
}
