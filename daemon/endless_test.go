package daemon

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/internal/network/networktest"
	"github.com/lotusferry/lotusferry/structs"
)

// Guards against a head without end of another zone's router that is read until the request's deadline.
func TestEndlessHeadsOfRoutersEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		memory := networktest.NewMemory(0)
		address, sent := memory.ServeWithoutEnd(t, "HTTP/1.1 200 OK\r\nLong: ")
		peers := newPeerRouters(memory, nil, nil)
		began := time.Now()
		_, err := peers.client.Call(t.Context(), peers.scheme+address, "", "zone-a", structs.Request{Row: "r", Prompt: "p", MaxTokens: 1})
		c.Assert(err, qt.IsNotNil)
		c.Check(<-sent < 1<<20, qt.IsTrue)
		c.Check(time.Since(began) < time.Second, qt.IsTrue)
	})
}
