package transport

import (
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/internal/network/networktest"
)

// messageCounter sums the bytes of messages by method.
type messageCounter struct {
	address        string
	mutex          sync.Mutex
	sent, received map[string]int
	messages       int
}

func (m *messageCounter) count(address, method string, sent, received int) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.address = address
	m.sent[method] += sent
	m.received[method] += received
	m.messages++
}

func sumOf(bytes map[string]int) (sum int) {
	for _, each := range bytes {
		sum += each
	}
	return sum
}

// Without TLS, the bytes of all messages are those on the wire: none is missed or counted twice, and
// each goes to its own method, also when calls fail or overlap.
func TestEachMessageIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		memory := networktest.NewMemory(0)
		server, service := startServer(c, Options{Network: memory})
		counter := &messageCounter{sent: make(map[string]int), received: make(map[string]int)}
		client := startClient(c, Options{Network: memory, OnMessage: counter.count})
		call := func(method, text string) error {
			var reply string
			return client.Call(context.Background(), server.Address(), method, text, &reply)
		}
		waited := make(chan error)
		go func() { waited <- call("Echo.Wait", "late") }()
		<-service.entered
		c.Assert(call("Echo.Enlarge", "a"), qt.IsNil)
		c.Assert(call("Echo.Echo", strings.Repeat("b", 5000)), qt.IsNil)
		c.Assert(call("Echo.Fail", "c"), qt.ErrorMatches, ".*method failed.*")
		close(service.gate)
		c.Assert(<-waited, qt.IsNil)
		synctest.Wait()
		counter.mutex.Lock()
		defer counter.mutex.Unlock()
		stats := client.Stats()
		c.Assert(uint64(sumOf(counter.sent)), qt.Equals, stats.BytesOut)
		c.Assert(uint64(sumOf(counter.received)), qt.Equals, stats.BytesIn)
		c.Assert(counter.messages, qt.Equals, 8)
		c.Assert(counter.address, qt.Equals, server.Address())
		c.Assert(counter.received["Echo.Enlarge"] > 10_000 && counter.sent["Echo.Enlarge"] < 500, qt.IsTrue)
		c.Assert(counter.sent["Echo.Echo"] > 5000 && counter.received["Echo.Echo"] > 5000, qt.IsTrue)
		c.Assert(counter.sent["Echo.Wait"] > 0 && counter.received["Echo.Wait"] > 0, qt.IsTrue)
		c.Assert(counter.received["Echo.Fail"] > 0, qt.IsTrue)
	})
}
