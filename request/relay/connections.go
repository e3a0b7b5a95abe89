package relay

import (
	"net"
	"slices"
	"sync"
)

// Connections are those over which a request was sent. A runner may send an answer once more where a later one on the same
// connection is due, so that a request whose former answer came over a connection must not be sent over it again: the copy
// could not be told from the new answer. The zero value is empty; a nil pointer remembers nothing. Connections are safe for
// concurrent use.
type Connections struct {
	mutex sync.Mutex
	used  []net.Conn
}

// Add records that the request is sent over a connection.
func (c *Connections) Add(conn net.Conn) {
	if c == nil {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.used = append(c.used, conn)
}

// Has reports whether the request was sent over the connection.
func (c *Connections) Has(conn net.Conn) bool {
	if c == nil {
		return false
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return slices.Contains(c.used, conn)
}
