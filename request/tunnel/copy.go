package tunnel

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/lotusferry/lotusferry/internal/network"
)

const (
	// copyBytes is the size of the buffer of each direction.
	copyBytes = 4 << 10
	// lingerTime is how long a tunnel outlives the runner's side of it, so that the router reads all that the runner has sent: closing a
	// connection on which data has not been read resets it.
	lingerTime = time.Second
)

// copyBothWays copies until both sides have ended.
func (l *link) copyBothWays(fromRouter io.Reader) {
	frames := &frameWriter{to: l.router}
	var copying sync.WaitGroup
	copying.Go(func() { l.copyFromRouter(fromRouter, frames) })
	copying.Go(func() { l.copyFromRunner(frames) })
	copying.Wait()
}

// copyFromRouter copies what the router sends until it ends its side, and then ends the runner's. What the runner no longer takes is
// discarded: it may have answered before.
func (l *link) copyFromRouter(from io.Reader, frames *frameWriter) {
	err := copyUntilEnd(&runnerWriter{l.runner, frames}, from)
	var failed *writeError
	if errors.As(err, &failed) {
		_, err = io.Copy(io.Discard, from)
	}
	l.end(err)
}

// copyFromRunner copies what the runner sends until it ends its side, and tells the router how it did.
func (l *link) copyFromRunner(frames *frameWriter) {
	if !l.isFramed {
		l.end(copyUntilEnd(l.router, l.runner))
		return
	}
	err := copyUntilEnd(frames, l.runner)
	var failed *writeError
	if errors.As(err, &failed) {
		l.end(err)
		return
	}
	hasFailed := err != nil
	if err = frames.writeEnd(hasFailed); err != nil {
		l.end(err)
		return
	}
	if half, isHalf := network.As[interface{ CloseWrite() error }](l.router); isHalf && hasFailed {
		// Routers that do not know the frame of a failure wait for the end of the connection.
		_ = half.CloseWrite()
	}
	time.AfterFunc(lingerTime, func() { l.end(nil) })
}

// runnerWriter writes to the runner and notes how much it takes.
type runnerWriter struct {
	runner net.Conn
	frames *frameWriter
}

// Write implements io.Writer.
func (w *runnerWriter) Write(part []byte) (int, error) {
	count, err := w.runner.Write(part)
	w.frames.noteTaken(count, err)
	return count, err
}

// end closes both connections: with a reset after an error, so that what was cut short does not look complete. The first call decides.
func (l *link) end(err error) {
	if err != nil {
		reset(l.router)
		reset(l.runner)
		return
	}
	_ = l.router.Close()
	_ = l.runner.Close()
}

// writeError is an error of copyUntilEnd that is one of writing.
type writeError struct{ error }

// Unwrap returns the underlying error.
func (e *writeError) Unwrap() error { return e.error }

// copyUntilEnd returns nil at the end of the input. It uses plain reads and writes, as each event of a stream has
// to be passed on at once.
func copyUntilEnd(to io.Writer, from io.Reader) error {
	buffer := make([]byte, copyBytes)
	for {
		count, err := from.Read(buffer)
		if count > 0 {
			if _, err := to.Write(buffer[:count]); err != nil {
				return &writeError{err}
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// reset closes a connection so that its peer sees an error.
func reset(conn net.Conn) {
	if lingering, isTCP := network.As[interface{ SetLinger(seconds int) error }](conn); isTCP {
		_ = lingering.SetLinger(0)
	}
	_ = conn.Close()
}
