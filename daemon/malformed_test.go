package daemon

import (
	"errors"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/internal/network/networktest"
	"github.com/lotusferry/lotusferry/request/api"
	"github.com/lotusferry/lotusferry/structs"
)

// Guards against an answer of another zone's router whose head is not allowed, and whose promise that a request has not run is believed.
func TestMalformedAnswersOfRoutersAreNoAnswers(t *testing.T) {
	const refusal = `{"error":{"type":"busy","message":"busy","execution":"not_run"}}`
	for _, head := range []string{"HTTP/1.1 000 None\r\n", "HTTP/1.1 503 Service Unavailable\r\nX Odd: 1\r\n", "HTTP/1.1 600 None\r\n"} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			memory := networktest.NewMemory(0)
			peers := newPeerRouters(memory, nil, nil)
			address := memory.ServeText(t, head+"Content-Type: application/json\r\n\r\n"+refusal)
			_, err := peers.client.Call(t.Context(), peers.scheme+address, "", "zone-a", structs.Request{Row: "r", Prompt: "p", MaxTokens: 1})
			var refused *api.RefusedError
			c.Assert(errors.As(err, &refused), qt.IsTrue)
			c.Assert(refused.Refusal.Execution, qt.Equals, structs.ExecutionUnknown, qt.Commentf("%q", head))
		})
	}
}
