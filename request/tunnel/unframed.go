package tunnel

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"

	"github.com/lotusferry/lotusferry/internal/network"
)

// unframedConn is a tunnel through a peer of the version before, which sends no frames. Its end is that of the runner only
// if the peer still runs: when the peer's process is killed, the system ends its connections in the same way.
type unframedConn struct {
	net.Conn
	reader  *bufio.Reader
	network network.Network
	peer    string
}

// Read implements net.Conn. It returns ErrPeerEnded if the connection has ended and the peer answers no more.
func (c *unframedConn) Read(buffer []byte) (int, error) {
	count, err := c.reader.Read(buffer)
	if errors.Is(err, io.EOF) && !isRunning(c.network, c.peer) {
		return count, ErrPeerEnded
	}
	return count, err
}

// isRunning reports whether the peer's process sends its status within statusTimeout of the connect.
func isRunning(over network.Network, peer string) bool {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	hasAnswered := false
	_ = Watch(ctx, over, peer, func(Status) {
		hasAnswered = true
		cancel()
	})
	return hasAnswered
}
