package engineapi_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/internal/network/networktest"
	"github.com/lotusferry/lotusferry/request/engineapi"
	"github.com/lotusferry/lotusferry/structs"
)

// Guards against engines whose answers without end take memory or processor until a deadline: each has to end at once, at
// the limit of what it is read as.
func TestEndlessAnswersOfEnginesEndAtOnce(t *testing.T) {
	const (
		ok        = "HTTP/1.1 200 OK\r\n"
		events    = ok + "Content-Type: " + engineapi.ContentTypeEvents + "\r\n\r\n"
		endless   = 16 << 20
		readLimit = 1 << 20
	)
	for name, test := range map[string]struct{ start, piece string }{
		"a header":          {ok + "A: ", "x"},
		"headers":           {ok, "A: b\r\n"},
		"interim answers":   {"", "HTTP/1.1 102 Processing\r\n\r\n"},
		"no answer":         {"", "x"},
		"an error's body":   {"HTTP/1.1 500 Internal Server Error\r\n\r\n{\"kind\":\"", "x"},
		"a line":            {events, "x"},
		"an event's data":   {events, "data: x\n"},
		"comments":          {events, ": x\n"},
		"empty lines":       {events, "\n"},
		"ignored fields":    {events, "event: x\n"},
		"a reply of blanks": {ok + "Content-Type: application/json\r\n\r\n", " "},
		"a reply's list":    {ok + "Content-Type: application/json\r\n\r\n[", "[],"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				memory := networktest.NewMemory(0)
				listener, err := memory.Listen(t.Context(), "127.0.0.1:0")
				c.Assert(err, qt.IsNil)
				sent := make(chan int)
				go func() {
					for {
						conn, err := listener.Accept()
						if err != nil {
							return
						}
						_, _ = conn.Read(make([]byte, 4096))
						sent <- networktest.SendWithoutEnd(conn, test.start, test.piece, endless)
						_ = conn.Close()
					}
				}()
				client := engineapi.NewClient(engineapi.ClientOptions{MaxLine: 2048, MaxBody: 4096, Network: memory})
				began := time.Now()
				go func() {
					stream, err := client.Generate(context.Background(), listener.Addr().String(), structs.GenerateRequest{ID: "r", MaxTokens: 4})
					if err == nil {
						_, err = readAll(stream)
						stream.Close()
					}
					c.Check(err, qt.Not(qt.IsNil))
				}()
				c.Check(<-sent < readLimit, qt.IsTrue)
				go func() {
					_, err := client.Order(context.Background(), listener.Addr().String(), structs.Order{})
					c.Check(err, qt.Not(qt.IsNil))
				}()
				c.Check(<-sent < readLimit, qt.IsTrue)
				synctest.Wait()
				c.Check(time.Since(began) < time.Second, qt.IsTrue, qt.Commentf("%s", time.Since(began)))
				client.Close()
				_ = listener.Close()
			})
		})
	}
}
