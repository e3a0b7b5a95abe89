package transport

import (
	"io"
	"net"
	"net/rpc"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a server whose memory is taken by the write buffers of idle connections: a thousand
// routers that have each had the full view of a large site once.
func TestIdleConnectionKeepsNoLargeBuffer(t *testing.T) {
	c := qt.New(t)
	const (
		largeReplyBytes    = 200 << 10
		idleBytesPerClient = 100 << 10
	)
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	go func() { _, _ = io.Copy(io.Discard, far) }()
	codec := newServerCodec(near, Options{}.withDefaults())
	body := make([]byte, largeReplyBytes)
	for range 3 {
		codec.slots <- struct{}{}
		c.Assert(codec.WriteResponse(&rpc.Response{ServiceMethod: "Domain.Watch"}, &body), qt.IsNil)
		c.Assert(codec.buffer.Cap() <= idleBytesPerClient, qt.IsTrue, qt.Commentf("%d bytes", codec.buffer.Cap()))
	}
}
