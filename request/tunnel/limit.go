package tunnel

import (
	"bufio"
	"errors"
	"math"
	"net"
	"net/http"
	"time"

	"github.com/lotusferry/lotusferry/internal/wellformed"
)

const (
	// maxHeadBytes bounds the head of a question and of a peer's answer to it.
	maxHeadBytes = 16 << 10
	// maxStatusBytes bounds what is read of a peer's Status in a statusInterval. A Notice takes up to 400 bytes.
	maxStatusBytes = 4 << 20
)

// errTooLong is the error of reading beyond a limit.
var errTooLong = errors.New("the peer sent more than its answer may have")

// limitedReader reads from a connection and fails with errTooLong once the bytes that remain have been read.
type limitedReader struct {
	conn      net.Conn
	remaining int64
	// allowedAt is the time of the last call of allow.
	allowedAt time.Time
}

// Read implements io.Reader.
func (r *limitedReader) Read(buffer []byte) (int, error) {
	if r.remaining <= 0 {
		return 0, errTooLong
	}
	count, err := r.conn.Read(buffer[:min(int64(len(buffer)), r.remaining)])
	r.remaining -= int64(count)
	return count, err
}

// allow sets the bytes that remain.
func (r *limitedReader) allow(bytes int64) { r.remaining, r.allowedAt = bytes, time.Now() }

// allowAll removes the limit.
func (r *limitedReader) allowAll() { r.remaining = math.MaxInt64 }

// readHead reads the head of the answer to a question, which may be nil for a GET. What follows is read through the
// returned readers: limited bounds what reader takes from the connection.
func readHead(conn net.Conn, question *http.Request) (answer *http.Response, reader *bufio.Reader, limited *limitedReader, err error) {
	limited = &limitedReader{conn: conn}
	limited.allow(maxHeadBytes)
	reader = bufio.NewReader(limited)
	answer, err = http.ReadResponse(reader, question)
	if err != nil && limited.remaining <= 0 {
		// http.ReadResponse reports the end of its input in place of its error.
		err = errTooLong
	}
	if err == nil {
		err = wellformed.Check(answer)
	}
	return answer, reader, limited, err
}
