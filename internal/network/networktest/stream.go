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

	mutex sync.Mutex
	cond  *sync.Cond
	// ends are the machines between which the stream runs.
	ends []*machine
	// buffered holds the data written but not yet read, at most limit bytes. Its last held bytes
	// were written while a machine was cut off and have not arrived.
	buffered bytes.Buffer
	held     int
	// writerClosed and readerClosed are set when that end is closed, and isReset when the
	// connection is reset.
	writerClosed, readerClosed, isReset bool
	// hasTimedOut is set when an end has given up because packets were lost for too long.
	hasTimedOut                 bool
	readDeadline, writeDeadline deadline
}

func newStream(limit int, ends []*machine) *stream {
	s := &stream{limit: limit, ends: ends}
	s.cond = sync.NewCond(&s.mutex)
	for _, end := range ends {
		end.add(s)
	}
	return s
}

func (s *stream) read(buffer []byte) (int, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for {
		isCut := isCutOff(s.ends)
		arrived := s.buffered.Len() - s.held
		switch {
		case s.readerClosed:
			return 0, net.ErrClosed
		case s.readDeadline.expired():
			return 0, os.ErrDeadlineExceeded
		case arrived > 0:
			s.cond.Broadcast()
			return s.buffered.Read(buffer[:min(len(buffer), arrived)])
		case s.hasTimedOut:
			return 0, errTimedOut("read")
		case isCut:
		case s.isReset:
			return 0, os.NewSyscallError("read", syscall.ECONNRESET)
		case s.writerClosed:
			return 0, io.EOF
		}
		s.cond.Wait()
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
		case s.writeDeadline.expired():
			return written, os.ErrDeadlineExceeded
		case s.hasTimedOut:
			return written, errTimedOut("write")
		case s.isReset, s.readerClosed:
			return written, os.NewSyscallError("write", syscall.ECONNRESET)
		}
		part := min(s.limit-s.buffered.Len(), len(buffer)-written)
		if part > 0 {
			// bytes.Buffer.Write never returns an error.
			_, _ = s.buffered.Write(buffer[written : written+part])
			written += part
			if isCutOff(s.ends) {
				s.held += part
			}
			s.cond.Broadcast()
		}
		if written == len(buffer) {
			return written, nil
		}
		s.cond.Wait()
	}
}

// closeWriter ends the stream after the buffered data.
func (s *stream) closeWriter() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.writerClosed = true
	s.writeDeadline.stop()
	s.cond.Broadcast()
}

// discard drops the data that has not arrived.
func (s *stream) discard() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if isCutOff(s.ends) {
		s.buffered.Truncate(s.buffered.Len() - s.held)
		s.held = 0
	}
}

// closeReader closes the reading end and reports whether unread data was discarded.
func (s *stream) closeReader() (bool, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.readerClosed {
		return false, net.ErrClosed
	}
	s.readerClosed = true
	s.readDeadline.stop()
	s.cond.Broadcast()
	for _, end := range s.ends {
		end.remove(s)
	}
	return s.buffered.Len() > 0, nil
}

// reset ends the stream with an error after the buffered data.
func (s *stream) reset() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.isReset = true
	s.cond.Broadcast()
}

func (s *stream) setReadDeadline(at time.Time) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.readerClosed {
		return net.ErrClosed
	}
	s.readDeadline.set(at, s)
	return nil
}

func (s *stream) setWriteDeadline(at time.Time) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.writerClosed {
		return net.ErrClosed
	}
	s.writeDeadline.set(at, s)
	return nil
}

// wake unblocks waiting readers and writers, which check their state again. What was held has
// arrived if no machine is cut off any more.
func (s *stream) wake() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !isCutOff(s.ends) {
		s.held = 0
	}
	s.cond.Broadcast()
}

// deadline is the read or write deadline of a stream, guarded by the stream's mutex.
type deadline struct {
	at    time.Time
	timer *time.Timer
}

func (d *deadline) set(at time.Time, s *stream) {
	d.stop()
	d.at = at
	switch {
	case at.IsZero():
	case d.expired():
		s.cond.Broadcast()
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

func (d *deadline) expired() bool { return !d.at.IsZero() && !time.Now().Before(d.at) }
