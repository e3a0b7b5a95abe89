package traffic

import (
	"net"

	"github.com/prometheus/client_golang/prometheus"
)

// countedConn counts the bytes of a connection.
type countedConn struct {
	net.Conn
	sent     prometheus.Counter
	received prometheus.Counter
}

// Conn returns a connection to a peer in the zone that counts its bytes under the message.
func (c *Counter) Conn(conn net.Conn, message, zone string) net.Conn {
	nearness := string(c.NearnessOf(zone))
	return &countedConn{
		Conn: conn, sent: c.WithLabelValues(message, sent, nearness), received: c.WithLabelValues(message, received, nearness),
	}
}

// Read implements net.Conn.
func (c *countedConn) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	c.received.Add(float64(count))
	return count, err
}

// Write implements net.Conn.
func (c *countedConn) Write(buffer []byte) (int, error) {
	count, err := c.Conn.Write(buffer)
	c.sent.Add(float64(count))
	return count, err
}

// NetConn returns the underlying connection.
func (c *countedConn) NetConn() net.Conn { return c.Conn }
