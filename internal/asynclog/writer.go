// Package asynclog writes log lines without blocking the caller. Lines for a slow
// output are buffered in bounded memory; lines that exceed it are dropped and counted.
package asynclog

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxPendingBytes bounds the buffered lines.
	maxPendingBytes = 256 << 10
	// flushTimeout bounds the wait for the output in Close.
	flushTimeout = 500 * time.Millisecond
)

// Writer is an asynchronous io.Writer. Each Write must be one line. It is safe for
// concurrent use.
type Writer struct {
	output io.Writer
	wake   chan struct{}
	done   chan struct{}

	mutex   sync.Mutex
	pending []byte
	dropped int
	// total is the number of lines dropped since New.
	total  uint64
	closed bool
}

// New returns a Writer to output. Close stops its goroutine.
func New(output io.Writer) *Writer {
	w := &Writer{output: output, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Write buffers a line, or drops it if the buffer is full. It never blocks or fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mutex.Lock()
	if w.closed || len(w.pending)+len(line) > maxPendingBytes {
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

// Dropped returns the number of lines dropped since New.
func (w *Writer) Dropped() uint64 {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.total
}

// Close writes the buffered lines, waiting for the output at most flushTimeout. Later
// lines are dropped.
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
