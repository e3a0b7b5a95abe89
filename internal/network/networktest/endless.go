package networktest

import (
	"context"
	"net"
	"strings"
	"testing"
)

const (
	// endlessPiece is the size in bytes of the pieces that ServeWithoutEnd sends, and maxEndless the most that it sends in all.
	endlessPiece = 4 << 10
	maxEndless   = 32 << 20
)

// ServeWithoutEnd answers one connection of a network with the start and then the byte x until it is closed. It returns the
// address, and a channel with the number of bytes sent.
func (m *Memory) ServeWithoutEnd(tb testing.TB, start string) (address string, sent <-chan int) {
	tb.Helper()
	listener, err := m.Listen(context.Background(), anyAddress)
	if err != nil {
		tb.Fatal(err)
	}
	counted := make(chan int, 1)
	go func() {
		defer listener.Close()
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		counted <- sendWithoutEnd(conn, start)
	}()
	return listener.Addr().String(), counted
}

func sendWithoutEnd(conn net.Conn, start string) (sent int) {
	_, _ = conn.Read(make([]byte, endlessPiece))
	piece := []byte(start)
	for sent < maxEndless {
		count, err := conn.Write(piece)
		sent += count
		if err != nil {
			break
		}
		piece = []byte(strings.Repeat("x", endlessPiece))
	}
	return sent
}
