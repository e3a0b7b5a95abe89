package tunnel

import (
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/internal/network/networktest"
)

// Guards against a peer whose answer is believed although its head is not allowed.
func TestMalformedAnswersOfPeerAreNoAnswers(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 000 None\r\n", "HTTP/1.1 200 OK\r\nX Odd: 1\r\n", "HTTP/1.1 502 Bad Gateway\r\nX-Odd : 1\r\n"} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			memory := networktest.NewMemory(0)
			peer := memory.ServeText(t, head+"\r\n")
			_, err := Dial(t.Context(), memory, peer, runnerAddress)
			var failed *Error
			c.Assert(err, qt.ErrorAs, &failed)
			c.Assert(failed.Cause, qt.Equals, CausePeer)
			c.Assert(Tell(t.Context(), memory, peer, Notice{Runner: runnerAddress}), qt.ErrorAs, &failed)
			c.Assert(failed.Cause, qt.Equals, CausePeer)
			err = Watch(t.Context(), memory, peer, func(Status) { c.Error("a status was read") })
			c.Assert(err, qt.ErrorAs, &failed)
		})
	}
}
