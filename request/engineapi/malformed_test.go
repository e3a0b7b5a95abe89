package engineapi_test

import (
	"errors"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/internal/network/networktest"
	"github.com/lotusferry/lotusferry/request/engineapi"
	"github.com/lotusferry/lotusferry/structs"
)

// Guards against answers of engines whose heads are not allowed, and that are read, or whose promise that a request has not run is
// believed.
func TestMalformedAnswersOfEnginesAreNoAnswers(t *testing.T) {
	const notRun = engineapi.HeaderExecution + ": " + string(structs.ExecutionNotRun) + "\r\n"
	for name, text := range map[string]string{
		"status 000":                  "HTTP/1.1 000 None\r\n" + notRun + "Content-Length: 2\r\n\r\n{}",
		"status 600":                  "HTTP/1.1 600 None\r\n" + notRun + "Content-Length: 2\r\n\r\n{}",
		"blank in a name":             "HTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}",
		"blank in a name, not run":    "HTTP/1.1 503 Service Unavailable\r\nX Odd: 1\r\n" + notRun + "Content-Length: 2\r\n\r\n{}",
		"blank in a name, interim":    "HTTP/1.1 102 Processing\r\nX Odd: 1\r\n\r\nHTTP/1.1 503 Service Unavailable\r\n" + notRun + "Content-Length: 2\r\n\r\n{}",
		"length and encoding":         "HTTP/1.1 503 Service Unavailable\r\n" + notRun + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
		"blank in a trailer's name":   "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\nX Odd: 1\r\n\r\n",
		"blank before the colon, 200": "HTTP/1.1 200 OK\r\nContent-Type : " + engineapi.ContentTypeEvents + "\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				memory := networktest.NewMemory(0)
				address := memory.ServeText(t, text)
				client := engineapi.NewClient(engineapi.ClientOptions{Network: memory})
				defer client.Close()
				_, err := client.Generate(t.Context(), address, structs.GenerateRequest{ID: "r", MaxTokens: 4})
				var failed *engineapi.CallError
				c.Assert(errors.As(err, &failed), qt.IsTrue)
				c.Assert(failed.Stage, qt.Equals, engineapi.StageBroken)
			})
		})
	}
}
