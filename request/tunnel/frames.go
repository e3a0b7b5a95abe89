package tunnel

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// framingHeader is set by a router that reads frames, and in the answer of a peer that sends them. Routers and
	// peers of the version before do neither.
	framingHeader = "Tunnel-Framing"
	// framingVersion is the value of framingHeader.
	framingVersion = "1"
	// frameHeaderBytes is the size of the length, big-endian, that precedes the bytes of each frame.
	frameHeaderBytes = 2
	// endLength is the length in the frame that marks an orderly end, and failureLength that of one that marks a failure, as a reset.
	// Routers of the version before wait for the bytes of the latter until the tunnel ends, which is a failure as well.
	endLength     = 0
	failureLength = math.MaxUint16
	// countBytes is the size of each count of bytes, big-endian, that follows the frame of an orderly end.
	countBytes = 8
)

// frameWriter writes each part in a frame of its own. A connection that a peer's process did not end looks the same as one
// that it ended, so the end of what the runner sent is a frame too. After an orderly end it writes how many bytes the runner has taken, at
// once and whenever that changes: a runner that ends its connection while it is sent a request resets it later.
type frameWriter struct {
	to io.Writer

	mutex sync.Mutex
	// taken counts the bytes that were written to the runner, takenNone if a write failed. isEnded is set after an orderly end.
	taken   uint64
	isEnded bool
}

// takenNone is sent in place of the count of bytes once the runner has failed.
const takenNone = math.MaxUint64

// Write implements io.Writer. A part has less than failureLength bytes, and an empty one writes nothing.
func (w *frameWriter) Write(part []byte) (int, error) {
	if len(part) == 0 {
		return 0, nil
	}
	written, err := w.writeFrame(len(part), part)
	return max(0, int(written)-frameHeaderBytes), err
}

// writeEnd writes the frame that marks how the runner's connection ended.
func (w *frameWriter) writeEnd(hasFailed bool) error {
	if hasFailed {
		_, err := w.writeFrame(failureLength, nil)
		return err
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.isEnded = true
	_, err := w.writeFrame(endLength, binary.BigEndian.AppendUint64(nil, w.taken))
	return err
}

// noteTaken records that a write to the runner has ended.
func (w *frameWriter) noteTaken(count int, err error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.taken += uint64(count)
	if err != nil {
		w.taken = takenNone
	}
	if w.isEnded {
		// An error is that of the router, which copyFromRouter will read.
		_, _ = w.to.Write(binary.BigEndian.AppendUint64(nil, w.taken))
	}
}

func (w *frameWriter) writeFrame(length int, part []byte) (int64, error) {
	header := binary.BigEndian.AppendUint16(nil, uint16(length))
	frame := net.Buffers{header, part}
	return frame.WriteTo(w.to)
}

// framedConn is a connection whose other end sends frames. Reading ends with io.EOF after the frame that marks an orderly end, with
// errRunnerFailed after the one that marks a failure, and with ErrPeerEnded if the connection ends before.
type framedConn struct {
	net.Conn
	reader *bufio.Reader
	// written counts the bytes of all writes, those in progress included.
	written atomic.Uint64
	// left are the bytes of the current frame that have not been read.
	left int
	// end is the error after the last frame; nil before.
	end error
}

// Read implements net.Conn.
func (c *framedConn) Read(buffer []byte) (int, error) {
	if c.left == 0 && c.end == nil {
		if err := c.nextFrame(); err != nil {
			return 0, endedEarly(err)
		}
	}
	if c.end != nil {
		return 0, c.end
	}
	count, err := c.reader.Read(buffer[:min(len(buffer), c.left)])
	c.left -= count
	return count, endedEarly(err)
}

// Write implements net.Conn.
func (c *framedConn) Write(buffer []byte) (int, error) {
	c.written.Add(uint64(len(buffer)))
	return c.Conn.Write(buffer)
}

// ConfirmEnd waits until the runner has taken all that was written, at most for the given time, after reading has ended with io.EOF. It
// returns an ECONNRESET if the runner failed meanwhile. Without a word of the peer the end holds.
func (c *framedConn) ConfirmEnd(atMost time.Duration) error {
	if !errors.Is(c.end, io.EOF) {
		return nil
	}
	_ = c.SetReadDeadline(time.Now().Add(atMost))
	defer func() { _ = c.SetReadDeadline(time.Time{}) }()
	var count [countBytes]byte
	for {
		if _, err := io.ReadFull(c.reader, count[:]); err != nil {
			return nil
		}
		switch taken := binary.BigEndian.Uint64(count[:]); {
		case taken == takenNone:
			return errRunnerFailed
		case taken >= c.written.Load():
			return nil
		}
	}
}

// nextFrame reads the length of the next frame.
func (c *framedConn) nextFrame() error {
	header, err := c.reader.Peek(frameHeaderBytes)
	if err != nil {
		return err
	}
	switch length := int(binary.BigEndian.Uint16(header)); length {
	case endLength:
		c.end = io.EOF
	case failureLength:
		c.end = errRunnerFailed
	default:
		c.left = length
	}
	_, err = c.reader.Discard(frameHeaderBytes)
	return err
}

// errRunnerFailed is the error of reading from a tunnel whose connection to the runner has failed. It is an ECONNRESET.
var errRunnerFailed = fmt.Errorf("the runner's connection failed at the peer: %w", syscall.ECONNRESET)

// ErrPeerEnded is the error of reading from a tunnel whose connection has ended before the runner's. It is an
// io.ErrUnexpectedEOF.
var ErrPeerEnded = fmt.Errorf("the peer ended the tunnel, not the runner: %w", io.ErrUnexpectedEOF)

// endedEarly returns ErrPeerEnded for io.EOF, and other errors as they are.
func endedEarly(err error) error {
	if errors.Is(err, io.EOF) {
		return ErrPeerEnded
	}
	return err
}
