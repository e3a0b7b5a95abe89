package api_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/request/api"
	"github.com/lotusferry/lotusferry/structs"
)

// wholeAnswer is an answer of a router whose connection can be used again.
const wholeAnswer = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" +
	"3b\r\ndata: {\"choices\":[{\"text\":\"one\",\"finish_reason\":\"stop\"}]}\n\n\r\n0\r\n\r\n"

// failingRouter answers the first request and then ends, as a process that is killed: it reads the second request on the
// connection, which may run, and closes its listener and the connection. It returns its URL and the number of requests read.
func failingRouter(c *qt.C) (url string, arrived *atomic.Int32) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	arrived = &atomic.Int32{}
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		reader := bufio.NewReader(conn)
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			if arrived.Add(1) > 1 {
				_ = listener.Close()
				return
			}
			_, _ = io.WriteString(conn, wholeAnswer)
		}
	}()
	c.Cleanup(func() { _ = listener.Close() })
	return "http://" + listener.Addr().String(), arrived
}

// Guards against a forwarded request with a key that is reported as not run though the other router may run it: http.Transport
// sends it again by itself after the loss of a kept connection, and cannot connect any more.
func TestRequestThatMayHaveRunIsNotReportedAsNotSent(t *testing.T) {
	c := qt.New(t)
	url, arrived := failingRouter(c)
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	client := api.NewClient(&http.Client{Transport: transport})
	request := structs.Request{Row: "row", Prompt: "prompt", MaxTokens: 1, IdempotencyKey: "key"}
	answer, err := client.Call(context.Background(), url, "", "zone-a", request)
	c.Assert(err, qt.IsNil)
	_, err = answer.Next(context.Background())
	c.Assert(err, qt.IsNil)
	// Only a connection whose answer was read to its end is used again.
	_, err = answer.Next(context.Background())
	c.Assert(err, qt.IsNotNil)
	answer.Close()

	_, err = client.Call(context.Background(), url, "", "zone-a", request)
	c.Assert(arrived.Load(), qt.Equals, int32(2))
	c.Check(errors.Is(err, api.ErrNotSent), qt.IsFalse)
	var refused *api.RefusedError
	c.Assert(errors.As(err, &refused), qt.IsTrue)
	c.Check(refused.Refusal.Execution, qt.Equals, structs.ExecutionUnknown)
}
