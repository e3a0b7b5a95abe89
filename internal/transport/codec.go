package transport

import (
	"bufio"
	"bytes"
	"encoding/gob"
	"io"
	"net"
	"net/rpc"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// readBufferBytes is the read buffer size of a connection.
const readBufferBytes = 16 << 10

// errMessageTooLarge reports a message above MaxMessageBytes. The connection cannot be
// used afterwards. Errors from the peer and net/rpc contain only its text.
var errMessageTooLarge = errors.New("message is larger than the limit")

// countedConn counts the bytes of a connection and records the time of the last receipt.
type countedConn struct {
	net.Conn
	counters *counters
	// receivedAt is the time of the last received byte, in nanoseconds since started.
	started    time.Time
	receivedAt atomic.Int64
}

func newCountedConn(conn net.Conn, counters *counters) *countedConn {
	counters.connections.Add(1)
	return &countedConn{Conn: conn, counters: counters, started: time.Now()}
}

// Read implements net.Conn.
func (c *countedConn) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	if count > 0 {
		c.counters.bytesIn.Add(uint64(count))
		c.receivedAt.Store(int64(time.Since(c.started)))
	}
	return count, err
}

// Write implements net.Conn. It counts the bytes before the peer can respond.
func (c *countedConn) Write(buffer []byte) (int, error) {
	c.counters.bytesOut.Add(uint64(len(buffer)))
	count, err := c.Conn.Write(buffer)
	unsent := len(buffer) - count
	c.counters.bytesOut.Add(-uint64(unsent))
	return count, err
}

// limitedReader returns errMessageTooLarge after remaining bytes. It implements
// io.ByteReader, so that gob does not read past the message.
type limitedReader struct {
	reader    *bufio.Reader
	remaining int
}

// Read implements io.Reader.
func (r *limitedReader) Read(buffer []byte) (int, error) {
	if r.remaining <= 0 {
		return 0, errMessageTooLarge
	}
	if len(buffer) > r.remaining {
		buffer = buffer[:r.remaining]
	}
	count, err := r.reader.Read(buffer)
	r.remaining -= count
	return count, err
}

// ReadByte implements io.ByteReader.
func (r *limitedReader) ReadByte() (byte, error) {
	if r.remaining <= 0 {
		return 0, errMessageTooLarge
	}
	value, err := r.reader.ReadByte()
	if err == nil {
		r.remaining--
	}
	return value, err
}

// messageCodec reads and writes gob messages of bounded size on one connection.
type messageCodec struct {
	conn         net.Conn
	limit        int
	writeTimeout time.Duration

	reader  limitedReader
	decoder *gob.Decoder
	buffer  bytes.Buffer
	encoder *gob.Encoder
	// written and wasRead are the sizes in bytes of the last message written and of the last value read.
	written int
	wasRead int
	// overrun is set after a message that was too large. The rest of it is still unread,
	// so no further message can be decoded.
	overrun bool
}

func newMessageCodec(conn net.Conn, options Options) *messageCodec {
	codec := &messageCodec{conn: conn, limit: options.MaxMessageBytes, writeTimeout: options.CallTimeout}
	codec.reader.reader = bufio.NewReaderSize(conn, readBufferBytes)
	codec.decoder = gob.NewDecoder(&codec.reader)
	codec.encoder = gob.NewEncoder(&codec.buffer)
	return codec
}

func (c *messageCodec) read(value any) error {
	if c.overrun {
		return io.ErrUnexpectedEOF
	}
	c.reader.remaining = c.limit
	err := c.decoder.Decode(value)
	c.wasRead = c.limit - c.reader.remaining
	c.overrun = errors.Is(err, errMessageTooLarge)
	return err
}

// write sends header and body in one write. After an error the peer's decoder no
// longer matches this encoder, so the connection is closed.
func (c *messageCodec) write(header, body any) error {
	err := c.encode(header, body)
	if err == nil {
		err = c.flush()
	}
	if err != nil {
		_ = c.conn.Close()
	}
	return err
}

func (c *messageCodec) encode(header, body any) error {
	c.buffer.Reset()
	if err := c.encoder.Encode(header); err != nil {
		return errors.Wrap(err, "encode header")
	}
	if err := c.encoder.Encode(body); err != nil {
		return errors.Wrap(err, "encode body")
	}
	c.written = c.buffer.Len()
	if c.written > c.limit {
		return errMessageTooLarge
	}
	return nil
}

func (c *messageCodec) flush() error {
	if err := c.conn.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
		return err
	}
	_, err := c.conn.Write(c.buffer.Bytes())
	if c.buffer.Cap() > maxKeptBufferBytes {
		c.buffer = bytes.Buffer{}
	}
	return err
}

// maxKeptBufferBytes bounds the write buffer of an idle connection. A server may have a thousand
// connections, each of which has had one large reply.
const maxKeptBufferBytes = 64 << 10

// clientCodec implements rpc.ClientCodec. It calls onReadError after a read error, so
// that no further calls use the connection, and onMessage for each message.
type clientCodec struct {
	*messageCodec
	onReadError func(error)
	onMessage   func(method string, sent, received int)
	// replying and headerBytes are the method of the reply being read and the size of its header.
	replying    string
	headerBytes int
}

// WriteRequest implements rpc.ClientCodec.
func (c *clientCodec) WriteRequest(request *rpc.Request, body any) error {
	err := c.write(request, body)
	if err == nil {
		c.onMessage(request.ServiceMethod, c.written, 0)
	}
	return err
}

// ReadResponseHeader implements rpc.ClientCodec.
func (c *clientCodec) ReadResponseHeader(response *rpc.Response) error {
	err := c.read(response)
	if err != nil {
		c.onReadError(err)
	}
	c.replying, c.headerBytes = response.ServiceMethod, c.wasRead
	return err
}

// ReadResponseBody implements rpc.ClientCodec.
func (c *clientCodec) ReadResponseBody(body any) error {
	err := c.read(body)
	if err == nil {
		c.onMessage(c.replying, 0, c.headerBytes+c.wasRead)
	}
	return err
}

// Close implements rpc.ClientCodec.
func (c *clientCodec) Close() error { return c.conn.Close() }

// serverCodec implements rpc.ServerCodec. It stops reading while the connection has the
// maximum number of calls in progress.
type serverCodec struct {
	*messageCodec
	slots chan struct{}
	done  chan struct{}
}

func newServerCodec(conn net.Conn, options Options) *serverCodec {
	return &serverCodec{
		messageCodec: newMessageCodec(conn, options),
		slots:        make(chan struct{}, options.MaxPendingCalls),
		done:         make(chan struct{}),
	}
}

// ReadRequestHeader implements rpc.ServerCodec.
func (c *serverCodec) ReadRequestHeader(request *rpc.Request) error {
	select {
	case c.slots <- struct{}{}:
	case <-c.done:
		return io.EOF
	}
	return c.read(request)
}

// ReadRequestBody implements rpc.ServerCodec.
func (c *serverCodec) ReadRequestBody(body any) error { return c.read(body) }

// WriteResponse implements rpc.ServerCodec. net/rpc calls it once per request.
func (c *serverCodec) WriteResponse(response *rpc.Response, body any) error {
	defer func() { <-c.slots }()
	return c.write(response, body)
}

// Close implements rpc.ServerCodec.
func (c *serverCodec) Close() error { return c.conn.Close() }
