package tunnel

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
)

const (
	// framingHeader is set by a router that reads frames, and in the answer of a peer that sends them. Routers and
	// peers of the version before do neither.
	framingHeader = "Tunnel-Framing"
	// framingVersion is the value of framingHeader.
	framingVersion = "1"
	// frameHeaderBytes is the size of the length, big-endian, that precedes the bytes of each frame.
	frameHeaderBytes = 2
)

// frameWriter writes each part in a frame of its own. A connection that a peer's process did not end looks the same as one
// that it ended, so the end of what the runner sent is a frame too: one of length 0.
type frameWriter struct{ to io.Writer }

// Write implements io.Writer. A part has at most 65,535 bytes, and an empty one writes nothing.
func (w *frameWriter) Write(part []byte) (int, error) {
	if len(part) == 0 {
		return 0, nil
	}
	written, err := w.writeFrame(part)
	return max(0, int(written)-frameHeaderBytes), err
}

// writeEnd writes the frame that marks the end.
func (w *frameWriter) writeEnd() error {
	_, err := w.writeFrame(nil)
	return err
}

func (w *frameWriter) writeFrame(part []byte) (int64, error) {
	header := binary.BigEndian.AppendUint16(nil, uint16(len(part)))
	frame := net.Buffers{header, part}
	return frame.WriteTo(w.to)
}

// framedConn is a connection whose other end sends frames. Reading ends with io.EOF after the frame that marks the end, and
// with ErrPeerEnded if the connection ends before.
type framedConn struct {
	net.Conn
	reader *bufio.Reader
	// left are the bytes of the current frame that have not been read.
	left    int
	isEnded bool
}

// Read implements net.Conn.
func (c *framedConn) Read(buffer []byte) (int, error) {
	if c.left == 0 && !c.isEnded {
		if err := c.nextFrame(); err != nil {
			return 0, endedEarly(err)
		}
	}
	if c.isEnded {
		return 0, io.EOF
	}
	count, err := c.reader.Read(buffer[:min(len(buffer), c.left)])
	c.left -= count
	return count, endedEarly(err)
}

// nextFrame reads the length of the next frame.
func (c *framedConn) nextFrame() error {
	header, err := c.reader.Peek(frameHeaderBytes)
	if err != nil {
		return err
	}
	c.left = int(binary.BigEndian.Uint16(header))
	c.isEnded = c.left == 0
	_, err = c.reader.Discard(frameHeaderBytes)
	return err
}

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
