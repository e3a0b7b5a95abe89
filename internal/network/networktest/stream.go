package networktest

import (
	"bytes"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// stream is one direction of a connection.
type stream struct {
	limit int

	mutex   sync.Mutex
	changed *sync.Cond
	// sent is what was written and not read yet, at most limit bytes.
	sent bytes.Buffer
	// writerClosed and readerClosed are set when that end was closed, and broken when
	// the connection was reset.
	writerClosed, readerClosed, broken bool
	reading, writing                   deadline
}

func newStream(limit int) *stream {
	s := &stream{limit: limit}
	s.changed = sync.NewCond(&s.mutex)
	return s
}

func (s *stream) read(buffer []byte) (int, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for {
		switch {
		case s.readerClosed:
			return 0, net.ErrClosed
		case s.reading.passed():
			return 0, os.ErrDeadlineExceeded
		case s.sent.Len() > 0:
			s.changed.Broadcast()
			return s.sent.Read(buffer)
		case s.broken:
			return 0, os.NewSyscallError("read", syscall.ECONNRESET)
		case s.writerClosed:
			return 0, io.EOF
		}
		s.changed.Wait()
	}
}

func (s *stream) write(buffer []byte) (int, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	written := 0
	for {
		switch {
		case s.writerClosed:
			return written, net.ErrClosed
		case s.writing.passed():
			return written, os.ErrDeadlineExceeded
		case s.broken, s.readerClosed:
			return written, os.NewSyscallError("write", syscall.ECONNRESET)
		}
		part := min(s.limit-s.sent.Len(), len(buffer)-written)
		if part > 0 {
			// Writing to a bytes.Buffer never fails.
			_, _ = s.sent.Write(buffer[written : written+part])
			written += part
			s.changed.Broadcast()
		}
		if written == len(buffer) {
			return written, nil
		}
		s.changed.Wait()
	}
}

// closeWriter ends the stream after what was sent.
func (s *stream) closeWriter() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.writerClosed = true
	s.writing.stop()
	s.changed.Broadcast()
}

// closeReader reports whether something was sent that is not read any more.
func (s *stream) closeReader() (bool, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.readerClosed {
		return false, net.ErrClosed
	}
	s.readerClosed = true
	s.reading.stop()
	s.changed.Broadcast()
	return s.sent.Len() > 0, nil
}

// reset ends the stream with an error after what was sent.
func (s *stream) reset() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.broken = true
	s.changed.Broadcast()
}

func (s *stream) setReadDeadline(at time.Time) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.readerClosed {
		return net.ErrClosed
	}
	s.reading.set(at, s)
	return nil
}

func (s *stream) setWriteDeadline(at time.Time) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.writerClosed {
		return net.ErrClosed
	}
	s.writing.set(at, s)
	return nil
}

// wake lets waiting ends look again.
func (s *stream) wake() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.changed.Broadcast()
}

// deadline is the time after which reads or writes of a stream fail; the stream's
// mutex guards it.
type deadline struct {
	at    time.Time
	timer *time.Timer
}

func (d *deadline) set(at time.Time, s *stream) {
	d.stop()
	d.at = at
	switch {
	case at.IsZero():
	case d.passed():
		s.changed.Broadcast()
	default:
		d.timer = time.AfterFunc(time.Until(at), s.wake)
	}
}

func (d *deadline) stop() {
	if d.timer != nil {
		d.timer.Stop()
		d.timer = nil
	}
}

func (d *deadline) passed() bool { return !d.at.IsZero() && !time.Now().Before(d.at) }
