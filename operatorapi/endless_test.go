package operatorapi_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/internal/network/networktest"
	"github.com/lotusferry/lotusferry/operatorapi"
)

// Guards against a head without end that an operator's command reads until its timeout.
func TestEndlessHeadsOfDaemonsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		memory := networktest.NewMemory(0)
		address, sent := memory.ServeWithoutEnd(t, "HTTP/1.1 200 OK\r\nLong: ")
		client := operatorapi.NewClient(operatorapi.ClientOptions{Addresses: []string{address}, Network: memory})
		defer client.Close()
		began := time.Now()
		_, err := client.Table(t.Context())
		c.Assert(err, qt.IsNotNil)
		c.Check(<-sent < 1<<20, qt.IsTrue)
		c.Check(time.Since(began) < time.Second, qt.IsTrue)
	})
}
