package api_test

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/request/api"
	"github.com/lotusferry/lotusferry/structs"
)

// Guards against an answer that promises that a request has not run while it runs: a caller that closes its sending side and reads on
// looks like one that has left.
func TestCallerThatClosesItsSendingSideGetsNoFalsePromise(t *testing.T) {
	for _, test := range []struct{ about, body string }{
		{"before the first token", `{"model":"silent","prompt":"p"}`},
		{"before the first token of a stream", `{"model":"silent","prompt":"p","stream":true}`},
		{"amid an answer", `{"model":"endless","prompt":"one two"}`},
		{"amid a stream", `{"model":"endless","prompt":"one two","stream":true}`},
	} {
		t.Run(test.about, func(t *testing.T) {
			c := qt.New(t)
			_, url := serve(t, nil)
			conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
			c.Assert(err, qt.IsNil)
			defer conn.Close()
			_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
			request, err := http.NewRequest(http.MethodPost, url+"/v1/completions", strings.NewReader(test.body))
			c.Assert(err, qt.IsNil)
			c.Assert(request.Write(conn), qt.IsNil)
			c.Assert(conn.(*net.TCPConn).CloseWrite(), qt.IsNil)
			answer, err := io.ReadAll(conn)
			c.Assert(err, qt.IsNil)
			c.Check(string(answer), qt.Not(qt.Contains), string(structs.ExecutionNotRun))
		})
	}
}

// Guards against the opposite fault: what is refused before it is submitted has not run.
func TestInvalidRequestHasNotRun(t *testing.T) {
	c := qt.New(t)
	_, url := serve(t, nil)
	for _, body := range []string{`{"model":"echo"}`, `{"prompt":"p"}`, `not JSON`, `{"model":"echo","prompt":"p","n":2}`} {
		response := post(c, url, "/v1/completions", body, nil)
		c.Check(response.Header.Get(api.HeaderExecution), qt.Equals, string(structs.ExecutionNotRun), qt.Commentf("%s", body))
		var decoded struct{ Error struct{ Execution string } }
		c.Assert(json.NewDecoder(response.Body).Decode(&decoded), qt.IsNil)
		c.Check(decoded.Error.Execution, qt.Equals, string(structs.ExecutionNotRun))
	}
}
