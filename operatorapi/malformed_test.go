package operatorapi_test

import (
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/internal/network/networktest"
	"github.com/lotusferry/lotusferry/operatorapi"
)

// Guards against an answer to an operator's command that is read although its head is not allowed.
func TestMalformedAnswersOfDaemonsAreNoAnswers(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 000 None\r\n", "HTTP/1.1 200 OK\r\nX Odd: 1\r\n", "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n"} {
		synctest.Test(t, func(t *testing.T) {
			memory := networktest.NewMemory(0)
			address := memory.ServeText(t, head+"Content-Type: application/json\r\n\r\n{}")
			client := operatorapi.NewClient(operatorapi.ClientOptions{Addresses: []string{address}, Network: memory})
			defer client.Close()
			_, err := client.Table(t.Context())
			qt.Assert(t, err, qt.IsNotNil, qt.Commentf("%q", head))
		})
	}
}
