// Package asynclog writes log lines without ever holding up their author: lines wait
// in bounded memory for a slow output, and those for which there is no room are
// dropped and counted.
package asynclog

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxPending bounds the bytes that wait for the output.
	maxPending = 256 << 10
	// flushTimeout bounds how long Close waits for the output.
	flushTimeout = 500 * time.Millisecond
)

// Writer implements io.Writer. Each Write is one line.
type Writer struct {
	output io.Writer
	wake   chan struct{}
	done   chan struct{}

	mutex   sync.Mutex
	pending []byte
	dropped int
	// total counts all lines dropped since the start.
	total  uint64
	closed bool
}

// New makes a writer to output. Close ends it.
func New(output io.Writer) *Writer {
	w := &Writer{output: output, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Write takes a line and returns at once. It never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mutex.Lock()
	if w.closed || len(w.pending)+len(line) > maxPending {
		w.dropped++
		w.total++
	} else {
		w.pending = append(w.pending, line...)
	}
	w.mutex.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Dropped is how many lines were dropped since the start.
func (w *Writer) Dropped() uint64 {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.total
}

// Close writes what waits, if the output takes it in time.
func (w *Writer) Close() {
	w.mutex.Lock()
	w.closed = true
	w.mutex.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	select {
	case <-w.done:
	case <-time.After(flushTimeout):
	}
}

func (w *Writer) run() {
	defer close(w.done)
	var spare []byte
	for range w.wake {
		w.mutex.Lock()
		lines, dropped, closed := w.pending, w.dropped, w.closed
		w.pending, w.dropped = spare[:0], 0
		w.mutex.Unlock()
		if dropped > 0 {
			lines = fmt.Appendf(lines, "level=warn component=log msg=\"Lines were dropped.\" count=%d\n", dropped)
		}
		if len(lines) > 0 {
			_, _ = w.output.Write(lines)
		}
		spare = lines
		if closed {
			return
		}
	}
}
