package wellformed

import (
	"context"
	"net"
	"sync"

	"github.com/lotusferry/lotusferry/internal/network"
)

// Conn is a connection of HTTP/1 whose Read fails with ErrMalformed if the head of a response is not allowed. A Transport tells it when a
// response is expected.
type Conn struct {
	net.Conn

	mutex sync.Mutex
	heads headChecker
	// failure is the first problem that was found; nil for none.
	failure error
}

// Dial returns a function that dials Conns.
func Dial(dial network.DialFunc) network.DialFunc {
	return func(ctx context.Context, protocol, address string) (net.Conn, error) {
		conn, err := dial(ctx, protocol, address)
		if err != nil {
			return nil, err
		}
		return &Conn{Conn: conn}, nil
	}
}

// Read implements net.Conn. A connection that has failed stays so: bufio.Reader.ReadLine ignores the error after a part of a line.
func (c *Conn) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.failure == nil {
		c.failure = c.heads.check(buffer[:count])
	}
	if c.failure != nil {
		return 0, c.failure
	}
	return count, err
}

// NetConn returns the underlying connection.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// expect has the next bytes checked as the head of a response.
func (c *Conn) expect() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.heads.expect()
}
