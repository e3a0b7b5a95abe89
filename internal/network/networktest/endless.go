package networktest

import (
	"context"
	"io"
	"strings"
	"testing"
)

const (
	// endlessPiece is the least size in bytes of what SendWithoutEnd writes at a time.
	endlessPiece = 4 << 10
	// maxEndless is the most that ServeWithoutEnd sends, in bytes.
	maxEndless = 32 << 20
)

// ServeWithoutEnd answers one connection of a network with the start, and then the byte x until it is closed. It returns the
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
		_, _ = conn.Read(make([]byte, endlessPiece))
		counted <- SendWithoutEnd(conn, start, "x", maxEndless)
	}()
	return listener.Addr().String(), counted
}

// SendWithoutEnd writes the start, and then the piece again and again until an error or until so many bytes were written. It
// returns how many were.
func SendWithoutEnd(to io.Writer, start, piece string, most int) (sent int) {
	sent, err := io.WriteString(to, start)
	piece = strings.Repeat(piece, 1+endlessPiece/len(piece))
	for err == nil && sent < most {
		var count int
		count, err = io.WriteString(to, piece)
		sent += count
	}
	return sent
}
