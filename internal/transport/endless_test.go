package transport

import (
	"encoding/binary"
	"runtime"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/internal/network/networktest"
)

// Guards against bytes that are no message, without end or with a huge length, that take a daemon's memory.
func TestBytesThatAreNoMessageEndTheirConnection(t *testing.T) {
	const (
		limit    = 64 << 10
		sentMost = 16 << 20
		// gobBytes is what gob allocates at once for a message whose length it has read, whatever has come of it.
		gobBytes = 10 << 20
	)
	// gob encodes an unsigned number above 127 as its inverted size in bytes and the bytes.
	length := func(bytes uint32) string { return "\xfc" + string(binary.BigEndian.AppendUint32(nil, bytes)) }
	for name, test := range map[string]struct{ start, piece string }{
		"text":                    {"", "HTTP/1.1 200 OK\r\n"},
		"zeros":                   {"", "\x00"},
		"a message of a gigabyte": {length(1<<30 - 1), "x"},
		"a message of the limit":  {length(limit + 1), "x"},
		"empty messages":          {"", "\x01\x00"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				memory := networktest.NewMemory(0)
				server, _ := startServer(c, Options{Network: memory, MaxMessageBytes: limit})
				conn, err := memory.DialContext(t.Context(), "tcp", server.Address())
				c.Assert(err, qt.IsNil)
				var before, after runtime.MemStats
				runtime.ReadMemStats(&before)
				sent := networktest.SendWithoutEnd(conn, test.start, test.piece, sentMost)
				runtime.ReadMemStats(&after)
				c.Check(sent <= limit+2*networktest.DefaultBufferBytes, qt.IsTrue, qt.Commentf("%d bytes", sent))
				c.Check(after.TotalAlloc-before.TotalAlloc < gobBytes+64*limit, qt.IsTrue, qt.Commentf("%d bytes allocated", after.TotalAlloc-before.TotalAlloc))
				_ = conn.Close()
			})
		})
	}
}
